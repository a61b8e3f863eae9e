#include <glib.h>

#include "limits.h"
#include "reserve.h"

/* Ratio of slots that are planned to be busy. */
#define PLANNED_UTILIZATION 0.8

/* A pool gives a host back only if its surplus is larger than this. */
#define MIN_SURPLUS_HOSTS 2.5

/* Returns the share of weight_waiting in the sum of both weights, 0 to 1; 0.5
   if both are 0. */
static double
waiting_share(const gv_reserve_pool_t *p)
{
    double w = p->pool->weight_waiting;
    double b = p->pool->weight_buffer;
    return w + b > 0 ? w / (w + b) : 0.5;
}

/* Returns how many hosts the pool needs. The weights set a level between the
   smoothed demand and its recent peak: requests wait if the peak is not
   covered, and hosts are idle as a buffer if it is. */
static double
needed_hosts(const gv_reserve_pool_t *p)
{
    const gv_demand_t *d = &p->demand;
    double share = waiting_share(p);
    double above = MAX(d->peak_slots - d->busy_slots, 0);
    double slots = d->busy_slots + share * above;
    return slots / PLANNED_UTILIZATION / MAX(p->slots, 1);
}

/* Returns true if the pool's last move is at least min_ms ago. */
static bool
cooled_down(const gv_reserve_pool_t *p, int64_t now, int64_t min_ms)
{
    return p->last_move_ms == 0 || now - p->last_move_ms >= min_ms;
}

/* Returns true if the pool can give a host away: it keeps min_hosts and one
   more, so that one host can still be in maintenance or fail. */
static bool
can_give(const gv_reserve_pool_t *p)
{
    return p->hosts > p->min_hosts + 1;
}

/* Moves a host to the pool that lacks the most, or else back to the spare pool
   from the pool with the largest surplus. MIN_SURPLUS_HOSTS and the time
   since the pool's last move keep hosts from moving to and fro. */
static gv_reserve_move_t
propose(const gv_reserve_pool_t *p, int n, int64_t now_ms)
{
    gv_reserve_move_t up = {-1, -1};
    gv_reserve_move_t down = {-1, -1};
    double lack = 0;
    double surplus = MIN_SURPLUS_HOSTS;
    for (int i = 0; i < n; i++) {
        int s = p[i].pool->is_spare ? -1 : GvReserve_FindSpare(p, n, i);
        if (s < 0) {
            continue;
        }
        double diff = needed_hosts(&p[i]) - p[i].hosts;
        if (diff > lack && can_give(&p[s]) &&
            needed_hosts(&p[s]) <= p[s].hosts - 1 &&
            cooled_down(&p[i], now_ms, GV_RESERVE_UP_MS)) {
            lack = diff;
            up = (gv_reserve_move_t){s, i};
        }
        int64_t down_ms =
            (int64_t)(GV_RESERVE_DOWN_MS * 2 * waiting_share(&p[i]));
        if (-diff > surplus && can_give(&p[i]) &&
            cooled_down(&p[i], now_ms, down_ms)) {
            surplus = -diff;
            down = (gv_reserve_move_t){i, s};
        }
    }
    return up.from >= 0 ? up : down;
}

static gv_reserve_policy_t hysteresis = {.plugin = {.name = "hysteresis"},
                                         .propose = propose};
GV_REGISTER(GV_PLUGIN_RESERVE, hysteresis);
