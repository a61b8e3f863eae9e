#include <glib.h>

#include "limits.h"
#include "reserve.h"

/* Slots are planned to be this busy. */
#define PLANNED_USE 0.8

/* The part of the weights that is on waiting. */
static double
cover_of(const gv_reserve_pool_t *p)
{
    double w = p->pool->weight_waiting;
    double b = p->pool->weight_buffer;
    return w + b > 0 ? w / (w + b) : 0.5;
}

/* Hosts that the pool needs for its demand. The weights choose a level
   between the smoothed demand and its recent peak: waiting costs more when
   the peak is not covered, buffer costs more when it is. */
static double
need_of(const gv_reserve_pool_t *p)
{
    const gv_demand_t *d = &p->demand;
    double cover = cover_of(p);
    double above = MAX(d->peak_slots - d->busy_slots, 0);
    double slots = d->busy_slots + cover * above;
    return slots / PLANNED_USE / MAX(p->slots, 1);
}

static bool
rested(const gv_reserve_pool_t *p, int64_t now, int64_t ms)
{
    return p->last_move_ms == 0 || now - p->last_move_ms >= ms;
}

/* Hosts that a pool can give away: it keeps its min_hosts, and one more so
   that a wave or a failure does not stop at the budget. */
static bool
can_give(const gv_reserve_pool_t *p)
{
    return p->hosts > p->min_hosts + 1;
}

/* Moves a host to the pool that lacks most, or else takes one back from the
   pool with the most to spare. The gap between both rules and the time since
   the pool's last move keep hosts from moving to and fro. */
static gv_reserve_move_t
propose(const gv_reserve_pool_t *p, int n, int64_t now_ms)
{
    gv_reserve_move_t up = {-1, -1};
    gv_reserve_move_t down = {-1, -1};
    double lack = 0;
    double extra = 2.5;
    for (int i = 0; i < n; i++) {
        int s = p[i].pool->is_spare ? -1 : GvReserve_FindSpare(p, n, i);
        if (s < 0) {
            continue;
        }
        double diff = need_of(&p[i]) - p[i].hosts;
        if (diff > lack && can_give(&p[s]) &&
            need_of(&p[s]) <= p[s].hosts - 1 &&
            rested(&p[i], now_ms, GV_RESERVE_UP_MS)) {
            lack = diff;
            up = (gv_reserve_move_t){s, i};
        }
        int64_t down_ms = (int64_t)(GV_RESERVE_DOWN_MS * 2 * cover_of(&p[i]));
        if (-diff > extra && can_give(&p[i]) &&
            rested(&p[i], now_ms, down_ms)) {
            extra = -diff;
            down = (gv_reserve_move_t){i, s};
        }
    }
    return up.from >= 0 ? up : down;
}

static gv_reserve_policy_t hysteresis = {.plugin = {.name = "hysteresis"},
                                         .propose = propose};
GV_REGISTER(GV_PLUGIN_RESERVE, hysteresis);
