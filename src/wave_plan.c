#include "wave_plan.h"

#include <glib.h>
#include <xxhash.h>

/* Returns true if the host is under a maintenance claim of the wave. */
static bool
in_wave(const gv_ledger_host_t *h, const gv_wave_t *w)
{
    return h->claim != NULL && h->claim->kind == GV_CLAIM_MAINTENANCE &&
           GvStr_Equal(h->claim->wave, w->name);
}

/* Adds one to the count of the host's rack and returns it. Two racks with
   the same hash count as one, which only makes the plan more cautious. */
static int
count_rack(GHashTable *racks, const gv_ledger_host_t *h)
{
    uint64_t hash = XXH3_64bits_withSeed(h->rack.p, h->rack.n,
                                         XXH3_64bits(h->dc.p, h->dc.n));
    gpointer key = (gpointer)(uintptr_t)hash;
    int n = GPOINTER_TO_INT(g_hash_table_lookup(racks, key)) + 1;
    g_hash_table_insert(racks, key, GINT_TO_POINTER(n));
    return n;
}

/* Counts the hosts of the wave's pool and collects its limits. */
gv_wave_count_t
GvWave_Count(const gv_ledger_t *l, const gv_wave_t *w)
{
    gv_wave_count_t c = {0};
    const GPtrArray *hosts = GvLedger_Hosts(l);
    GHashTable *racks = g_hash_table_new(NULL, NULL);
    for (guint i = 0; i < hosts->len; i++) {
        const gv_ledger_host_t *h = hosts->pdata[i];
        if (!GvStr_Equal(h->pool, w->pool)) {
            continue;
        }
        c.slots = MAX(c.slots, h->slots);
        c.wave_claims += in_wave(h, w);
        if (h->claim != NULL) {
            c.claims++;
        }
        else if (h->state == GV_HOST_UP) {
            c.up++;
            int here = count_rack(racks, h);
            c.max_rack_hosts = MAX(c.max_rack_hosts, here);
        }
        else {
            c.failed++;
        }
    }
    g_hash_table_destroy(racks);
    const gv_settings_t *s = GvLedger_Settings(l);
    for (int i = 0; i < GvSettings_ServiceCount(s); i++) {
        const gv_service_t *sv = GvSettings_ServiceAt(s, i);
        if (GvStr_Equal(sv->pool, w->pool)) {
            c.min_hosts = MAX(c.min_hosts, sv->min_hosts);
        }
    }
    const gv_pool_t *p = GvSettings_Pool(s, w->pool);
    c.max_out = p == NULL ? 0 : p->max_out;
    return c;
}

/* Returns true if the host can be claimed together with the n hosts in out:
   the same data centre and another rack. The ledger cannot check this, since
   it has no claims for the hosts in out yet. */
static bool
fits(const gv_ledger_host_t *h, const gv_ledger_host_t **out, int n)
{
    for (int i = 0; i < n; i++) {
        if (!GvStr_Equal(h->dc, out[i]->dc) ||
            GvStr_Equal(h->rack, out[i]->rack)) {
            return false;
        }
    }
    return true;
}

/* Chooses up to max hosts to claim next, so that at most `width` hosts are
   under a claim of the wave. Only hosts of data centre dc are chosen, unless
   dc is empty. Returns their number; all claims can be granted together unless
   the ledger changes. */
int
GvWave_Propose(const gv_ledger_t *l, const gv_wave_t *w,
               const gv_wave_count_t *c, int width, gv_str_t dc,
               const gv_ledger_host_t **out, int max)
{
    if (w->state != GV_WAVE_RUNNING) {
        return 0;
    }
    /* The ledger grants only one claim until the wave's first host is healthy
       again. */
    int limit = w->healthy == 0 ? 1 : MIN(width, w->width);
    limit = MIN(limit - c->wave_claims, c->max_out - c->claims);
    limit = MIN(limit, c->up - c->min_hosts);
    limit = MIN(limit, max);
    int n = 0;
    char reason[200];
    const GPtrArray *hosts = GvLedger_Hosts(l);
    for (guint i = 0; i < hosts->len && n < limit; i++) {
        const gv_ledger_host_t *h = hosts->pdata[i];
        if (GvStr_Equal(h->pool, w->pool) &&
            (dc.n == 0 || GvStr_Equal(h->dc, dc)) && fits(h, out, n) &&
            GvLedger_CanClaim(l, h->name, GV_CLAIM_MAINTENANCE, w->name,
                              GV_STR(""), reason, sizeof reason) == 0) {
            out[n++] = h;
        }
    }
    return n;
}

/* Returns true if data centre a precedes b: `last` precedes all others, which
   follow in name order. */
static bool
precedes(gv_str_t a, gv_str_t b, gv_str_t last)
{
    if (GvStr_Equal(a, b) || GvStr_Equal(b, last)) {
        return false;
    }
    return GvStr_Equal(a, last) || GvStr_Compare(a, b) < 0;
}

/* Returns how many data centres with a host to claim for the wave precede dc.
   The first is `last`, where the wave had its last claim, so that the wave
   stays in one data centre while it makes progress there. */
int
GvWave_RankDc(const gv_ledger_t *l, const gv_wave_t *w, gv_str_t dc,
              gv_str_t last)
{
    char reason[200];
    GHashTable *before = g_hash_table_new(g_str_hash, g_str_equal);
    const GPtrArray *hosts = GvLedger_Hosts(l);
    for (guint i = 0; i < hosts->len; i++) {
        const gv_ledger_host_t *h = hosts->pdata[i];
        if (GvStr_Equal(h->pool, w->pool) && precedes(h->dc, dc, last) &&
            !g_hash_table_contains(before, h->dc.p) &&
            GvLedger_CanClaim(l, h->name, GV_CLAIM_MAINTENANCE, w->name,
                              GV_STR(""), reason, sizeof reason) == 0) {
            g_hash_table_add(before, (gpointer)h->dc.p);
        }
    }
    int n = (int)g_hash_table_size(before);
    g_hash_table_destroy(before);
    return n;
}
