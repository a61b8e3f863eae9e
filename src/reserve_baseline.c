#include <glib.h>

#include "reserve.h"

/* Baseline: never moves a host. */
static gv_reserve_move_t
propose_none(const gv_reserve_pool_t *p, int n, int64_t now_ms)
{
    (void)p;
    (void)n;
    (void)now_ms;
    return (gv_reserve_move_t){-1, -1};
}

/* Returns how many hosts the pool lacks for its current demand; negative: has
   more than it needs. */
static double
missing_hosts(const gv_reserve_pool_t *p)
{
    return (p->demand.busy_slots + p->demand.queued) / MAX(p->slots, 1) -
           p->hosts;
}

/* Baseline: moves a host as soon as the current demand calls for it. */
static gv_reserve_move_t
propose_eager(const gv_reserve_pool_t *p, int n, int64_t now_ms)
{
    (void)now_ms;
    for (int i = 0; i < n; i++) {
        int s = p[i].pool->is_spare ? -1 : GvReserve_FindSpare(p, n, i);
        if (s < 0) {
            continue;
        }
        if (missing_hosts(&p[i]) > 0 && p[s].hosts > p[s].min_hosts) {
            return (gv_reserve_move_t){s, i};
        }
        if (missing_hosts(&p[i]) <= -1 && p[i].hosts > p[i].min_hosts) {
            return (gv_reserve_move_t){i, s};
        }
    }
    return (gv_reserve_move_t){-1, -1};
}

static gv_reserve_policy_t static_policy = {.plugin = {.name = "static"},
                                            .propose = propose_none};
GV_REGISTER(GV_PLUGIN_RESERVE, static_policy);

static gv_reserve_policy_t eager = {.plugin = {.name = "eager"},
                                    .propose = propose_eager};
GV_REGISTER(GV_PLUGIN_RESERVE, eager);
