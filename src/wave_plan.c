#include "wave_plan.h"

#include <glib.h>

static bool
in_wave(const gv_lhost_t *h, const gv_wave_t *w)
{
    return h->claim != NULL && h->claim->kind == GV_CLAIM_MAINTENANCE &&
           GvStr_Equal(h->claim->wave, w->name);
}

/* Counts the hosts of the wave's pool. */
gv_wave_count_t
GvWave_Count(const gv_ledger_t *l, const gv_wave_t *w)
{
    gv_wave_count_t c = {0};
    const GPtrArray *hosts = GvLedger_Hosts(l);
    for (guint i = 0; i < hosts->len; i++) {
        const gv_lhost_t *h = hosts->pdata[i];
        if (!GvStr_Equal(h->pool, w->pool)) {
            continue;
        }
        c.up += h->state == GV_HOST_UP && h->claim == NULL;
        c.claims += in_wave(h, w);
        c.slots = MAX(c.slots, h->slots);
    }
    return c;
}

/* Hosts that the pool can lose now, by the services' min_hosts and the
   pool's max_out. */
static int
room(const gv_ledger_t *l, const gv_wave_t *w, int up)
{
    gv_settings_t *s = GvLedger_Settings(l);
    int least = 0;
    for (int i = 0; i < GvSettings_ServiceCount(s); i++) {
        const gv_service_t *sv = GvSettings_ServiceAt(s, i);
        if (GvStr_Equal(sv->pool, w->pool)) {
            least = MAX(least, sv->min_hosts);
        }
    }
    const gv_pool_t *p = GvSettings_Pool(s, w->pool);
    int claimed = 0;
    const GPtrArray *hosts = GvLedger_Hosts(l);
    for (guint i = 0; i < hosts->len; i++) {
        const gv_lhost_t *h = hosts->pdata[i];
        claimed += h->claim != NULL && GvStr_Equal(h->pool, w->pool);
    }
    return p == NULL ? 0 : MIN(up - least, p->max_out - claimed);
}

/* A host chosen in this call is not in the ledger yet, so its data centre and
   rack guards are applied here. */
static bool
fits(const gv_lhost_t *h, const gv_lhost_t **out, int n)
{
    for (int i = 0; i < n; i++) {
        if (!GvStr_Equal(h->dc, out[i]->dc) ||
            GvStr_Equal(h->rack, out[i]->rack)) {
            return false;
        }
    }
    return true;
}

/* Names hosts to claim next, so that at most `width` hosts are under a claim
   of the wave. Returns how many; all claims can be granted together unless
   the ledger changes. */
int
GvWave_Propose(const gv_ledger_t *l, const gv_wave_t *w, int width,
               const gv_lhost_t **out, int max)
{
    if (w->state != GV_WAVE_RUNNING) {
        return 0;
    }
    gv_wave_count_t c = GvWave_Count(l, w);
    /* Until the first host is back the ledger grants a single claim. */
    int limit = w->healthy == 0 ? 1 : MIN(width, w->width);
    limit = MIN(limit - c.claims, room(l, w, c.up));
    limit = MIN(limit, max);
    int n = 0;
    char reason[200];
    const GPtrArray *hosts = GvLedger_Hosts(l);
    for (guint i = 0; i < hosts->len && n < limit; i++) {
        const gv_lhost_t *h = hosts->pdata[i];
        if (GvStr_Equal(h->pool, w->pool) && fits(h, out, n) &&
            GvLedger_CanClaim(l, h->name, GV_CLAIM_MAINTENANCE, w->name,
                              GV_STR(""), reason, sizeof reason) == 0) {
            out[n++] = h;
        }
    }
    return n;
}
