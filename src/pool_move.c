#include <string.h>

#include "evlog.h"
#include "limits.h"
#include "pool_private.h"

/* Moves of hosts between pools: collects the input of the plan and begins the
   planned moves. */

typedef struct {
    GPtrArray *names; /* char *, borrowed */
    GArray *pools;    /* gv_plan_pool_t */
    GPtrArray *hosts; /* gv_host_t * */
    GArray *views;    /* gv_plan_host_t */
} gv_plan_input_t;

/* Returns the index of a pool, which is added with its demand if it is new. */
static int
pool_index(gv_pools_t *p, gv_plan_input_t *in, const char *name,
           int64_t now_ms, int64_t wall_ms)
{
    for (guint i = 0; i < in->names->len; i++) {
        if (strcmp(g_ptr_array_index(in->names, i), name) == 0) {
            return (int)i;
        }
    }
    gv_demand_t d =
        GvSched_Demand(p->opts.sched, GvStr_C(name),
                       p->opts.move_ms + GV_RHYTHM_AHEAD_MS, now_ms, wall_ms);
    gv_plan_pool_t pool = {
        .need_cpu = GvPoolPlan_NeedCpu(&d),
        .lacking_hosts = d.lacking_hosts,
        .standby = GvPools_IsStandby(p, name),
        .fixed = g_hash_table_lookup(p->services, name) == NULL,
        .min_hosts = GV_POOL_MIN_HOSTS,
        .power_off_after_ms = GV_POOL_POWER_OFF_MS,
    };
    g_array_append_val(in->pools, pool);
    g_ptr_array_add(in->names, (gpointer)name);
    return (int)in->names->len - 1;
}

/* Adds a host to the input. It counts for the pool that it moves to, if any;
   hosts in maintenance or on a draining target do not count as capacity. */
static void
add_host(gv_pools_t *p, gv_plan_input_t *in, gv_host_t *h, int64_t now_ms,
         int64_t wall_ms)
{
    gv_target_view_t v = {0};
    const char *name = h->to_pool != NULL ? h->to_pool : h->pool;
    if (name == NULL) {
        return;
    }
    int pool = pool_index(p, in, name, now_ms, wall_ms);
    gv_plan_pool_t *pl = &g_array_index(in->pools, gv_plan_pool_t, pool);
    bool seen = h->target != NULL &&
                GvSched_View(p->opts.sched, GvStr_C(h->target), &v);
    if (h->wave == 0 && (h->state == GV_HOST_UP || h->to_pool != NULL) &&
        !v.draining) {
        pl->hosts++;
        pl->coming_hosts += h->to_pool != NULL ? 1 : 0;
        pl->host_cpu = MAX(pl->host_cpu, h->cpu);
    }
    gv_plan_host_t view = {
        .pool = pool,
        .movable =
            h->operation == GV_OPERATION_NONE && h->state == GV_HOST_UP &&
            now_ms >= h->next_ms && GvPools_MayOrder(p, h, now_ms, wall_ms) &&
            (pl->standby ||
             (seen && v.n_long_running == 0 && !v.draining && !v.reserved)),
        .runs = v.runs,
        .idle_ms = h->idle_since_ms == 0 ? 0 : now_ms - h->idle_since_ms,
    };
    g_array_append_val(in->views, view);
    g_ptr_array_add(in->hosts, h);
}

/* Logs every GV_POOL_LOG_MS how many hosts each pool has and should have. */
static void
log_pools(gv_pools_t *p, const gv_plan_input_t *in, int64_t now_ms)
{
    if (now_ms - p->logged_ms < GV_POOL_LOG_MS) {
        return;
    }
    p->logged_ms = now_ms;
    for (guint i = 0; i < in->names->len; i++) {
        const gv_plan_pool_t *pl =
            &g_array_index(in->pools, gv_plan_pool_t, i);
        GvEvlog_Write("pool", "pool=%s hosts=%d wanted=%d need_cpu=%lld%s",
                      (const char *)g_ptr_array_index(in->names, i), pl->hosts,
                      GvPoolPlan_WantedHosts(pl), (long long)pl->need_cpu,
                      pl->standby ? " standby=1" : "");
    }
}

static void
begin_moves(gv_pools_t *p, gv_plan_input_t *in, int64_t now_ms)
{
    gv_plan_move_t moves[GV_POOL_MOVES_MAX];
    int n = GvPoolPlan_Moves((gv_plan_pool_t *)in->pools->data,
                             (int)in->pools->len,
                             (gv_plan_host_t *)in->views->data,
                             (int)in->views->len, moves, GV_POOL_MOVES_MAX);
    for (int i = 0; i < n; i++) {
        gv_host_t *h = g_ptr_array_index(in->hosts, moves[i].host);
        GvPools_BeginOperation(
            p, h, 0, g_ptr_array_index(in->names, moves[i].to), now_ms);
    }
}

/* Plans and begins moves, every GV_POOL_PLAN_MS. */
void
GvPools_Plan(gv_pools_t *p, int64_t now_ms, int64_t wall_ms)
{
    GHashTableIter it;
    gpointer key;
    gpointer value;
    if (now_ms - p->planned_ms < GV_POOL_PLAN_MS) {
        return;
    }
    p->planned_ms = now_ms;
    gv_plan_input_t in = {
        .names = g_ptr_array_new(),
        .pools = g_array_new(FALSE, TRUE, sizeof(gv_plan_pool_t)),
        .hosts = g_ptr_array_new(),
        .views = g_array_new(FALSE, TRUE, sizeof(gv_plan_host_t)),
    };
    /* A service has a pool even if none of its hosts is listed. */
    g_hash_table_iter_init(&it, p->services);
    while (g_hash_table_iter_next(&it, &key, NULL)) {
        (void)pool_index(p, &in, key, now_ms, wall_ms);
    }
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        add_host(p, &in, value, now_ms, wall_ms);
    }
    GvPoolPlan_SetHostCpu((gv_plan_pool_t *)in.pools->data,
                          (int)in.pools->len);
    log_pools(p, &in, now_ms);
    begin_moves(p, &in, now_ms);
    g_ptr_array_free(in.names, TRUE);
    g_array_free(in.pools, TRUE);
    g_ptr_array_free(in.hosts, TRUE);
    g_array_free(in.views, TRUE);
}
