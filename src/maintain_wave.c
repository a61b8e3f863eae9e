#include <inttypes.h>
#include <string.h>

#include "maintain_private.h"
#include "wave_plan.h"

/* Claims that one round proposes, at most. */
#define CLAIMS_MAX 16

typedef struct {
    char service[GV_NAME_MAX_BYTES + 1];
    int queued;
    int busy;
} load_t;

/* Keeps the loads that a peer's heartbeat tells. */
void
GvMaintain_OnHeartbeat(gv_maintain_t *m, gv_str_t from,
                       const gv_msg_heartbeat_t *h)
{
    GArray *loads = g_array_new(FALSE, TRUE, sizeof(load_t));
    for (int i = 0; i < h->n_loads; i++) {
        load_t l = {.queued = h->loads[i].queued, .busy = h->loads[i].busy};
        gv_str_t s = h->loads[i].service;
        memcpy(l.service, s.p, MIN(s.n, sizeof l.service - 1));
        g_array_append_val(loads, l);
    }
    pthread_mutex_lock(&m->lock);
    g_hash_table_replace(m->loads, g_strndup(from.p, from.n), loads);
    pthread_mutex_unlock(&m->lock);
}

/* Returns the row of a pool, which is made on first use. */
static gv_pool_demand_t *
demand_of(gv_maintain_t *m, gv_str_t pool)
{
    gv_pool_demand_t *d = g_hash_table_lookup(m->demands, pool.p);
    if (d == NULL) {
        d = g_new0(gv_pool_demand_t, 1);
        g_hash_table_insert(m->demands, g_strndup(pool.p, pool.n), d);
    }
    return d;
}

/* Adds the loads of the live peers for the pool. */
static void
peer_load(gv_maintain_t *m, const gv_settings_t *s, gv_str_t pool,
          double *busy, double *queued)
{
    GHashTableIter it;
    gpointer name;
    gpointer value;
    pthread_mutex_lock(&m->lock);
    g_hash_table_iter_init(&it, m->loads);
    while (g_hash_table_iter_next(&it, &name, &value)) {
        const GArray *loads = value;
        if (!GvPeers_Alive(m->k->peers, GvStr_C(name), NULL)) {
            continue;
        }
        for (guint i = 0; i < loads->len; i++) {
            const load_t *l = &g_array_index(loads, load_t, i);
            const gv_service_t *sv =
                GvSettings_Service(s, GvStr_C(l->service));
            if (sv != NULL && GvStr_Equal(sv->pool, pool)) {
                *busy += l->busy;
                *queued += l->queued;
            }
        }
    }
    pthread_mutex_unlock(&m->lock);
}

/* Follows the claims of the pool: the data centre under maintenance, and the
   moves; the last one is over when none is in progress any more. */
static void
note_claims(gv_pool_demand_t *d, const gv_ledger_t *l, gv_str_t pool,
            int64_t now_ms)
{
    const GPtrArray *hosts = GvLedger_Hosts(l);
    int moves = 0;
    for (guint i = 0; i < hosts->len; i++) {
        const gv_ledger_host_t *h = hosts->pdata[i];
        moves += h->claim != NULL && h->claim->kind == GV_CLAIM_MOVE &&
                 (GvStr_Equal(h->pool, pool) ||
                  GvStr_Equal(h->claim->to_pool, pool));
        if (h->claim != NULL && h->claim->kind == GV_CLAIM_MAINTENANCE &&
            GvStr_Equal(h->pool, pool)) {
            g_strlcpy(d->wave_dc, h->dc.p, sizeof d->wave_dc);
        }
    }
    if (moves > 0 || d->moves > 0) {
        d->last_move_ms = now_ms;
    }
    d->moves = moves;
}

/* Follows the demand of every pool: the own load and that of the peers of the
   region. Time constants as in the dispatcher: 10 s and 2 min. */
void
GvMaintain_UpdateDemand(gv_maintain_t *m, const gv_ledger_t *l, int64_t now_ms,
                        int64_t dt_ms)
{
    gv_settings_t *s = GvLedger_Settings(l);
    for (int i = 0; s != NULL && i < GvSettings_PoolCount(s); i++) {
        gv_str_t pool = GvSettings_PoolAt(s, i)->name;
        gv_pool_demand_t *d = demand_of(m, pool);
        gv_demand_t own = GvDispatch_Demand(m->k->dispatch, pool);
        double busy = own.busy_slots;
        double queued = own.queued;
        peer_load(m, s, pool, &busy, &queued);
        /* Slots that would work off the queue within a second. */
        double now_slots = busy + queued * own.run_ms / 1000;
        double dt = (double)dt_ms;
        d->queued = queued;
        d->busy_slots += (now_slots - d->busy_slots) * MIN(dt / 10e3, 1);
        d->peak_slots -= d->peak_slots * MIN(dt / 120e3, 1);
        d->peak_slots = MAX(d->peak_slots, now_slots);
        note_claims(d, l, pool, now_ms);
    }
}

/* Returns the demand of the pool for the policies. */
static gv_demand_t
demand(gv_maintain_t *m, gv_str_t pool)
{
    const gv_pool_demand_t *d = demand_of(m, pool);
    gv_demand_t r = GvDispatch_Demand(m->k->dispatch, pool);
    r.busy_slots = d->busy_slots;
    r.peak_slots = d->peak_slots;
    r.queued = d->queued;
    return r;
}

/* Wants a claim held by this incarnation. */
static void
want_claim(gv_maintain_t *m, GPtrArray *out, gv_str_t host,
           gv_claim_kind_t kind, gv_str_t wave, gv_str_t to_pool,
           const char *key)
{
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    GvLedger_PackClaim(&sb, host, kind, wave, to_pool, m->k->conf.name,
                       m->k->incarnation);
    GvMaintain_Propose(out, "claim", sb, "%s", key);
}

/* Tells whether the wave may go on in the own data centre: at once if that is
   the first with hosts to claim, else when it has stood still for a time, for
   example because the first one is cut off. The ledger resolves a race. */
static bool
is_turn(gv_maintain_t *m, const gv_ledger_t *l, const gv_wave_t *w,
        int64_t now_ms)
{
    char key[200];
    g_snprintf(key, sizeof key, "turn of wave %.*s %" PRIu64 " after %d",
               GV_STR_ARG(w->name), w->offset, w->healthy);
    int64_t still_ms = GvMaintain_PendingMs(m, key, now_ms);
    int turn = GvWave_RankDc(l, w, m->k->conf.dc,
                             GvStr_C(demand_of(m, w->pool)->wave_dc));
    return still_ms >= (int64_t)turn * GV_WAVE_TURN_MS;
}

/* Wants claims for running waves on hosts of the own data centre, whose
   holder has to reach the target. */
void
GvMaintain_PlanWaves(gv_maintain_t *m, const gv_ledger_t *l, int64_t now_ms,
                     GPtrArray *out)
{
    const GPtrArray *waves = GvLedger_Waves(l);
    for (guint i = 0; i < waves->len; i++) {
        const gv_wave_t *w = waves->pdata[i];
        if (w->state != GV_WAVE_RUNNING) {
            continue;
        }
        gv_demand_t d = demand(m, w->pool);
        const gv_ledger_host_t *hosts[CLAIMS_MAX];
        int n =
            m->wave_policy->plan(l, w, &d, m->k->conf.dc, hosts, CLAIMS_MAX);
        if (n == 0 || !is_turn(m, l, w, now_ms)) {
            continue;
        }
        for (int j = 0; j < n; j++) {
            char key[256];
            g_snprintf(key, sizeof key, "claim %.*s wave %.*s %" PRIu64,
                       GV_STR_ARG(hosts[j]->name), GV_STR_ARG(w->name),
                       w->offset);
            if (GvMaintain_IsDue(m, key, now_ms)) {
                want_claim(m, out, hosts[j]->name, GV_CLAIM_MAINTENANCE,
                           w->name, GV_STR(""), key);
            }
        }
    }
}

/* Describes a pool for the reserve policy. */
static gv_reserve_pool_t
reserve_row(gv_maintain_t *m, const gv_ledger_t *l, const gv_pool_t *pool)
{
    gv_settings_t *s = GvLedger_Settings(l);
    gv_reserve_pool_t r = {
        .pool = pool,
        .demand = demand(m, pool->name),
        .last_move_ms = demand_of(m, pool->name)->last_move_ms,
    };
    const GPtrArray *hosts = GvLedger_Hosts(l);
    for (guint i = 0; i < hosts->len; i++) {
        const gv_ledger_host_t *h = hosts->pdata[i];
        if (GvStr_Equal(h->pool, pool->name)) {
            r.hosts += h->state == GV_HOST_UP && h->claim == NULL;
            r.slots = MAX(r.slots, h->slots);
        }
    }
    for (int i = 0; i < GvSettings_ServiceCount(s); i++) {
        const gv_service_t *sv = GvSettings_ServiceAt(s, i);
        if (GvStr_Equal(sv->pool, pool->name)) {
            r.min_hosts = MAX(r.min_hosts, sv->min_hosts);
        }
    }
    return r;
}

/* Wants the first host of the own data centre that may move between the
   pools. */
static void
want_move(gv_maintain_t *m, const gv_ledger_t *l, gv_str_t from, gv_str_t to,
          int64_t now_ms, GPtrArray *out)
{
    const GPtrArray *hosts = GvLedger_Hosts(l);
    for (guint i = 0; i < hosts->len; i++) {
        const gv_ledger_host_t *h = hosts->pdata[i];
        char why[200];
        char key[256];
        if (!GvStr_Equal(h->pool, from) ||
            !GvStr_Equal(h->dc, m->k->conf.dc) ||
            GvLedger_CanClaim(l, h->name, GV_CLAIM_MOVE, GV_STR(""), to, why,
                              sizeof why) != 0) {
            continue;
        }
        g_snprintf(key, sizeof key, "claim %.*s move %.*s",
                   GV_STR_ARG(h->name), GV_STR_ARG(to));
        if (GvMaintain_IsDue(m, key, now_ms)) {
            want_claim(m, out, h->name, GV_CLAIM_MOVE, GV_STR(""), to, key);
        }
        return;
    }
}

/* Asks the reserve policy for a move between a pool and its spare pool. While
   a move of either pool is in progress there is no other. */
void
GvMaintain_PlanMoves(gv_maintain_t *m, const gv_ledger_t *l, int64_t now_ms,
                     GPtrArray *out)
{
    gv_settings_t *s = GvLedger_Settings(l);
    int n = s != NULL ? GvSettings_PoolCount(s) : 0;
    gv_reserve_pool_t *pools = g_new0(gv_reserve_pool_t, n + 1);
    for (int i = 0; i < n; i++) {
        pools[i] = reserve_row(m, l, GvSettings_PoolAt(s, i));
    }
    gv_reserve_move_t mv = {-1, -1};
    if (n > 1) {
        mv = m->reserve_policy->propose(pools, n, now_ms);
    }
    if (mv.from >= 0) {
        gv_str_t from = pools[mv.from].pool->name;
        gv_str_t to = pools[mv.to].pool->name;
        if (demand_of(m, from)->moves == 0 && demand_of(m, to)->moves == 0) {
            want_move(m, l, from, to, now_ms, out);
        }
    }
    g_free(pools);
}
