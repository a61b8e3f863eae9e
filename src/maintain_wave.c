#include <inttypes.h>
#include <string.h>

#include "maintain_private.h"
#include "wave_plan.h"

/* Limit of the claims that one round proposes for a wave. */
#define CLAIMS_MAX 16

/* Load of one service at a peer, from its last heartbeat. */
typedef struct {
    char service[GV_NAME_MAX_BYTES + 1];
    int queued; /* requests */
    int busy;   /* slots */
} peer_load_t;

/* Stores the loads in a peer's heartbeat. */
void
GvMaintain_OnHeartbeat(gv_maintain_t *m, gv_str_t from,
                       const gv_msg_heartbeat_t *h)
{
    GArray *loads = g_array_new(FALSE, TRUE, sizeof(peer_load_t));
    for (int i = 0; i < h->n_loads; i++) {
        peer_load_t l = {.queued = h->loads[i].queued,
                         .busy = h->loads[i].busy};
        gv_str_t s = h->loads[i].service;
        memcpy(l.service, s.p, MIN(s.n, sizeof l.service - 1));
        g_array_append_val(loads, l);
    }
    pthread_mutex_lock(&m->lock);
    g_hash_table_replace(m->peer_loads, g_strndup(from.p, from.n), loads);
    pthread_mutex_unlock(&m->lock);
}

/* Returns the demand entry of a pool; creates it on first use. */
static gv_pool_demand_t *
demand_entry(gv_maintain_t *m, gv_str_t pool)
{
    gv_pool_demand_t *d = g_hash_table_lookup(m->demands, pool.p);
    if (d == NULL) {
        d = g_new0(gv_pool_demand_t, 1);
        g_hash_table_insert(m->demands, g_strndup(pool.p, pool.n), d);
    }
    return d;
}

/* Adds the loads of the live peers for the pool: the slots in use to *busy,
   the waiting requests to *queued. */
static void
add_peer_loads(gv_maintain_t *m, const gv_settings_t *s, gv_str_t pool,
               double *busy, double *queued)
{
    GHashTableIter it;
    gpointer name;
    gpointer value;
    pthread_mutex_lock(&m->lock);
    g_hash_table_iter_init(&it, m->peer_loads);
    while (g_hash_table_iter_next(&it, &name, &value)) {
        const GArray *loads = value;
        if (!GvPeers_IsAlive(m->kernel->peers, GvStr_C(name), NULL)) {
            continue;
        }
        for (guint i = 0; i < loads->len; i++) {
            const peer_load_t *l = &g_array_index(loads, peer_load_t, i);
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

/* Updates the demand entry from the claims of the pool: the data centre under
   maintenance, the number of moves, and the time of the last move, which is
   the time when the last one ended, or now while one is in progress. */
static void
update_claims(gv_pool_demand_t *d, const gv_ledger_t *l, gv_str_t pool,
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

/* Updates the demand of every pool from the own load and the loads of the live
   peers of the region. Time constants as in the dispatcher: 10 s for the
   smoothed demand, 2 min for the decay of the peak. */
void
GvMaintain_UpdateDemand(gv_maintain_t *m, const gv_ledger_t *l, int64_t now_ms,
                        int64_t elapsed_ms)
{
    gv_settings_t *s = GvLedger_Settings(l);
    for (int i = 0; s != NULL && i < GvSettings_PoolCount(s); i++) {
        gv_str_t pool = GvSettings_PoolAt(s, i)->name;
        gv_pool_demand_t *d = demand_entry(m, pool);
        gv_demand_t own = GvDispatch_Demand(m->kernel->dispatch, pool);
        double busy = own.busy_slots;
        double queued = own.queued;
        add_peer_loads(m, s, pool, &busy, &queued);
        /* Slots in use, and slots needed to clear the queue in a second. */
        double now_slots = busy + queued * own.run_ms / 1000;
        double elapsed = (double)elapsed_ms;
        d->queued = queued;
        d->busy_slots += (now_slots - d->busy_slots) * MIN(elapsed / 10e3, 1);
        d->peak_slots -= d->peak_slots * MIN(elapsed / 120e3, 1);
        d->peak_slots = MAX(d->peak_slots, now_slots);
        update_claims(d, l, pool, now_ms);
    }
}

/* Returns the demand of the pool as the policies take it. */
static gv_demand_t
policy_demand(gv_maintain_t *m, gv_str_t pool)
{
    const gv_pool_demand_t *d = demand_entry(m, pool);
    gv_demand_t r = GvDispatch_Demand(m->kernel->dispatch, pool);
    r.busy_slots = d->busy_slots;
    r.peak_slots = d->peak_slots;
    r.queued = d->queued;
    return r;
}

/* Proposes a claim with this incarnation of the entry host as the holder. */
static void
propose_claim(gv_maintain_t *m, GPtrArray *out, gv_str_t host,
              gv_claim_kind_t kind, gv_str_t wave, gv_str_t to_pool,
              const char *key)
{
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    GvLedger_PackClaim(&sb, host, kind, wave, to_pool, m->kernel->conf.name,
                       m->kernel->incarnation);
    GvMaintain_Propose(out, "claim", sb, "%s", key);
}

/* Returns true if the wave may continue in the own data centre: at once if it
   is the first one with hosts to claim, otherwise after the wave has made no
   progress for GV_WAVE_TURN_MS per preceding data centre, for example because
   the first one is disconnected. If two data centres propose claims at the
   same time, the ledger accepts those of one. */
static bool
is_own_turn(gv_maintain_t *m, const gv_ledger_t *l, const gv_wave_t *w,
            int64_t now_ms)
{
    char key[200];
    g_snprintf(key, sizeof key, "turn of wave %.*s %" PRIu64 " after %d",
               GV_STR_ARG(w->name), w->offset, w->healthy);
    int64_t idle_ms = GvMaintain_PendingMs(m, key, now_ms);
    int turn = GvWave_RankDc(l, w, m->kernel->conf.dc,
                             GvStr_C(demand_entry(m, w->pool)->wave_dc));
    return idle_ms >= (int64_t)turn * GV_WAVE_TURN_MS;
}

/* Proposes claims for running waves, only on hosts of the own data centre,
   because the holder of a claim must be able to reach the target. */
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
        gv_demand_t d = policy_demand(m, w->pool);
        const gv_ledger_host_t *hosts[CLAIMS_MAX];
        int n = m->wave_policy->plan(l, w, &d, m->kernel->conf.dc, hosts,
                                     CLAIMS_MAX);
        if (n == 0 || !is_own_turn(m, l, w, now_ms)) {
            continue;
        }
        for (int j = 0; j < n; j++) {
            char key[256];
            g_snprintf(key, sizeof key, "claim %.*s wave %.*s %" PRIu64,
                       GV_STR_ARG(hosts[j]->name), GV_STR_ARG(w->name),
                       w->offset);
            if (GvMaintain_IsDue(m, key, now_ms)) {
                propose_claim(m, out, hosts[j]->name, GV_CLAIM_MAINTENANCE,
                              w->name, GV_STR(""), key);
            }
        }
    }
}

/* Describes a pool for the reserve policy. */
static gv_reserve_pool_t
describe_pool(gv_maintain_t *m, const gv_ledger_t *l, const gv_pool_t *pool)
{
    gv_settings_t *s = GvLedger_Settings(l);
    gv_reserve_pool_t r = {
        .pool = pool,
        .demand = policy_demand(m, pool->name),
        .last_move_ms = demand_entry(m, pool->name)->last_move_ms,
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

/* Proposes to move the first host of the own data centre that may be moved
   from the pool `from` to the pool `to`. */
static void
propose_move(gv_maintain_t *m, const gv_ledger_t *l, gv_str_t from,
             gv_str_t to, int64_t now_ms, GPtrArray *out)
{
    const GPtrArray *hosts = GvLedger_Hosts(l);
    for (guint i = 0; i < hosts->len; i++) {
        const gv_ledger_host_t *h = hosts->pdata[i];
        char why[200];
        char key[256];
        if (!GvStr_Equal(h->pool, from) ||
            !GvStr_Equal(h->dc, m->kernel->conf.dc) ||
            GvLedger_CanClaim(l, h->name, GV_CLAIM_MOVE, GV_STR(""), to, why,
                              sizeof why) != 0) {
            continue;
        }
        g_snprintf(key, sizeof key, "claim %.*s move %.*s",
                   GV_STR_ARG(h->name), GV_STR_ARG(to));
        if (GvMaintain_IsDue(m, key, now_ms)) {
            propose_claim(m, out, h->name, GV_CLAIM_MOVE, GV_STR(""), to, key);
        }
        return;
    }
}

/* Proposes the move that the reserve policy selects between a pool and its
   spare pool, unless a move of either pool is already in progress. */
void
GvMaintain_PlanMoves(gv_maintain_t *m, const gv_ledger_t *l, int64_t now_ms,
                     GPtrArray *out)
{
    gv_settings_t *s = GvLedger_Settings(l);
    int n = s != NULL ? GvSettings_PoolCount(s) : 0;
    gv_reserve_pool_t *pools = g_new0(gv_reserve_pool_t, n + 1);
    for (int i = 0; i < n; i++) {
        pools[i] = describe_pool(m, l, GvSettings_PoolAt(s, i));
    }
    gv_reserve_move_t mv = {-1, -1};
    if (n > 1) {
        mv = m->reserve_policy->propose(pools, n, now_ms);
    }
    if (mv.from >= 0) {
        gv_str_t from = pools[mv.from].pool->name;
        gv_str_t to = pools[mv.to].pool->name;
        if (demand_entry(m, from)->moves == 0 &&
            demand_entry(m, to)->moves == 0) {
            propose_move(m, l, from, to, now_ms, out);
        }
    }
    g_free(pools);
}
