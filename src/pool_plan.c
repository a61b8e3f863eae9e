#include "pool_plan.h"

#include <glib.h>

#include "limits.h"

/* Returns the cpu that a pool should have, in thousandths of a core: that of
   running and waiting tasks, or more if bursts rise or are expected. */
int64_t
GvPoolPlan_NeedCpu(const gv_demand_t *d)
{
    return MAX(d->used_cpu + d->wanted_cpu,
               MAX(d->arriving_cpu * GV_POOL_ARRIVAL_FACTOR, d->expected_cpu));
}

/* Sets host_cpu of pools without hosts to the largest of all pools: with 0,
   the plan would want no hosts for them. */
void
GvPoolPlan_SetHostCpu(gv_plan_pool_t *pools, int n_pools)
{
    int64_t largest = 0;
    for (int i = 0; i < n_pools; i++) {
        largest = MAX(largest, pools[i].host_cpu);
    }
    for (int i = 0; i < n_pools; i++) {
        if (pools[i].host_cpu == 0) {
            pools[i].host_cpu = largest;
        }
    }
}

/* Returns how many hosts a pool should have, whatever its demand of cpu. */
static int
least_hosts(const gv_plan_pool_t *pool)
{
    int more = pool->lacking_hosts - pool->coming_hosts;
    return MAX(pool->min_hosts, more > 0 ? pool->hosts + more : 0);
}

/* Returns the number of hosts that a pool should have. Only
   GV_POOL_FILL_PERCENT of a host's cpu is counted, since tasks do not divide
   evenly over hosts. */
int
GvPoolPlan_WantedHosts(const gv_plan_pool_t *pool)
{
    if (pool->fixed) {
        return pool->hosts;
    }
    if (pool->standby || pool->host_cpu <= 0) {
        return 0;
    }
    int64_t usable = pool->host_cpu * GV_POOL_FILL_PERCENT / 100;
    int64_t wanted = (pool->need_cpu + usable - 1) / usable;
    return (int)MAX(wanted, least_hosts(pool));
}

/* Returns the pool that gets the next host, or -1: the one that lacks most. A
   pool with too few hosts whatever its demand of cpu counts as lacking
   GV_POOL_MOVES_MAX more: a service with a large burst must not leave another
   without hosts, or without a place for a long-running task. */
static int
pool_lacking_most(const gv_plan_pool_t *pools, const int *have, int n_pools)
{
    int best = -1;
    int most = 0;
    for (int i = 0; i < n_pools; i++) {
        int lack = GvPoolPlan_WantedHosts(&pools[i]) - have[i];
        if (lack > 0 && have[i] < least_hosts(&pools[i])) {
            lack += GV_POOL_MOVES_MAX;
        }
        if (lack > most) {
            most = lack;
            best = i;
        }
    }
    return best;
}

/* Returns the host to move to a pool that lacks hosts: one that is off, else
   the one with the fewest runs, and among those one of the pool with the most
   spare hosts; -1 for none. */
static int
host_to_take(const gv_plan_pool_t *pools, const int *have,
             const gv_plan_host_t *hosts, const bool *used, int n_hosts)
{
    int best = -1;
    int best_spare = 0;
    for (int i = 0; i < n_hosts; i++) {
        const gv_plan_pool_t *pool = &pools[hosts[i].pool];
        int spare = have[hosts[i].pool] - GvPoolPlan_WantedHosts(pool);
        if (used[i] || !hosts[i].movable || spare <= 0 ||
            hosts[i].runs > GV_POOL_MOVE_RUNS_MAX) {
            continue;
        }
        if (pool->standby) {
            return i;
        }
        if (best < 0 || hosts[i].runs < hosts[best].runs ||
            (hosts[i].runs == hosts[best].runs && spare > best_spare)) {
            best = i;
            best_spare = spare;
        }
    }
    return best;
}

static int
standby_pool(const gv_plan_pool_t *pools, int n_pools)
{
    for (int i = 0; i < n_pools; i++) {
        if (pools[i].standby) {
            return i;
        }
    }
    return -1;
}

/* Returns how many hosts a pool has beyond those that its demand needs;
   min_hosts is not counted. */
static int
headroom(const gv_plan_pool_t *pool, int have)
{
    gv_plan_pool_t least = *pool;
    least.min_hosts = 0;
    least.lacking_hosts = 0;
    return have - GvPoolPlan_WantedHosts(&least);
}

/* Returns the pool with the least headroom, or with the most if `most`, among
   those that are neither standby nor fixed; -1 for none. */
static int
pool_by_headroom(const gv_plan_pool_t *pools, const int *have, int n_pools,
                 bool most)
{
    int best = -1;
    for (int i = 0; i < n_pools; i++) {
        if (pools[i].standby || pools[i].fixed) {
            continue;
        }
        int diff = best < 0 ? 0
                            : headroom(&pools[i], have[i]) -
                                  headroom(&pools[best], have[best]);
        if (best < 0 || (most ? diff > 0 : diff < 0)) {
            best = i;
        }
    }
    return best;
}

/* Returns a movable host of a pool that has been idle for
   GV_POOL_SPREAD_IDLE_MS, or -1. */
static int
idle_host(const gv_plan_host_t *hosts, const bool *used, int n_hosts, int pool)
{
    for (int i = 0; i < n_hosts; i++) {
        if (!used[i] && hosts[i].pool == pool && hosts[i].movable &&
            hosts[i].runs == 0 && hosts[i].idle_ms >= GV_POOL_SPREAD_IDLE_MS) {
            return i;
        }
    }
    return -1;
}

/* Evens out the headroom of the pools with idle hosts, so that a burst finds
   spare hosts in whichever pool it begins. Returns the number of moves, at
   most max. */
static int
spread(const gv_plan_pool_t *pools, int *have, int n_pools,
       const gv_plan_host_t *hosts, bool *used, int n_hosts,
       gv_plan_move_t *out, int max)
{
    int n = 0;
    while (n < max) {
        int from = pool_by_headroom(pools, have, n_pools, true);
        int to = pool_by_headroom(pools, have, n_pools, false);
        if (from < 0 || headroom(&pools[from], have[from]) -
                                headroom(&pools[to], have[to]) <
                            GV_POOL_SPREAD_HOSTS) {
            break;
        }
        int host = idle_host(hosts, used, n_hosts, from);
        if (host < 0) {
            break;
        }
        used[host] = true;
        have[from]--;
        have[to]++;
        out[n++] = (gv_plan_move_t){host, to};
    }
    return n;
}

/* Plans moves: pools that lack hosts get those that are off or spare, idle
   hosts are spread over the pools, and spare hosts that have been idle for
   power_off_after_ms are moved to the standby pool, which turns them off.
   Returns the number of moves, at most max. */
int
GvPoolPlan_Moves(const gv_plan_pool_t *pools, int n_pools,
                 const gv_plan_host_t *hosts, int n_hosts, gv_plan_move_t *out,
                 int max)
{
    int n = 0;
    int *have = g_new0(int, (gsize)n_pools + 1);
    bool *used = g_new0(bool, (gsize)n_hosts + 1);
    for (int i = 0; i < n_pools; i++) {
        have[i] = pools[i].hosts;
    }
    int to = pool_lacking_most(pools, have, n_pools);
    while (to >= 0 && n < max) {
        int host = host_to_take(pools, have, hosts, used, n_hosts);
        if (host < 0) {
            break;
        }
        used[host] = true;
        have[hosts[host].pool]--;
        have[to]++;
        out[n++] = (gv_plan_move_t){host, to};
        to = pool_lacking_most(pools, have, n_pools);
    }
    n += spread(pools, have, n_pools, hosts, used, n_hosts, out + n, max - n);
    int off = standby_pool(pools, n_pools);
    for (int i = 0; off >= 0 && i < n_hosts && n < max; i++) {
        int pool = hosts[i].pool;
        if (used[i] || !hosts[i].movable || hosts[i].runs > 0 ||
            pools[pool].standby ||
            hosts[i].idle_ms < pools[pool].power_off_after_ms ||
            have[pool] <= GvPoolPlan_WantedHosts(&pools[pool])) {
            continue;
        }
        have[pool]--;
        out[n++] = (gv_plan_move_t){i, off};
    }
    g_free(have);
    g_free(used);
    return n;
}
