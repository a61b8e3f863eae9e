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

static double
lack_of(const gv_reserve_pool_t *p)
{
    return (p->demand.busy_slots + p->demand.queued) / MAX(p->slots, 1) -
           p->hosts;
}

/* Baseline: follows the current demand at once. */
static gv_reserve_move_t
propose_eager(const gv_reserve_pool_t *p, int n, int64_t now_ms)
{
    (void)now_ms;
    for (int i = 0; i < n; i++) {
        int s = p[i].pool->is_spare ? -1 : GvReserve_FindSpare(p, n, i);
        if (s < 0) {
            continue;
        }
        if (lack_of(&p[i]) > 0 && p[s].hosts > p[s].min_hosts) {
            return (gv_reserve_move_t){s, i};
        }
        if (lack_of(&p[i]) <= -1 && p[i].hosts > p[i].min_hosts) {
            return (gv_reserve_move_t){i, s};
        }
    }
    return (gv_reserve_move_t){-1, -1};
}

static gv_reserve_policy_t none = {.plugin = {.name = "static"},
                                   .propose = propose_none};
GV_REGISTER(GV_PLUGIN_RESERVE, none);

static gv_reserve_policy_t eager = {.plugin = {.name = "eager"},
                                    .propose = propose_eager};
GV_REGISTER(GV_PLUGIN_RESERVE, eager);
