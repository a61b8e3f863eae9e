#include "pool_plan.h"

#include <glib.h>

#include "limits.h"

/* Returns the cpu that a pool is sized for, thousandths of a core. */
int64_t
GvPoolPlan_NeedCpu(const gv_demand_t *d)
{
    return MAX(d->used_cpu + d->wanted_cpu,
               MAX(d->arriving_cpu * GV_POOL_RAMP_TIMES, d->expected_cpu));
}

/* Sizes the hosts of pools without any like the largest of the others: such a
   pool would want none. */
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

/* Returns the number of hosts that a pool should have. Tasks do not divide
   evenly over hosts: a part of each counts as unusable. */
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
    return (int)MAX(wanted, pool->keep);
}

/* Returns the pool to help first, or -1: one that has fewer hosts than it is
   to keep, else the one that lacks most. A burst that lacks many must not
   leave another service without any. */
static int
neediest(const gv_plan_pool_t *pools, const int *have, int n_pools)
{
    int best = -1;
    int most = 0;
    for (int i = 0; i < n_pools; i++) {
        int lack = GvPoolPlan_WantedHosts(&pools[i]) - have[i];
        if (lack > 0 && have[i] < pools[i].keep) {
            lack += GV_POOL_MOVES_MAX;
        }
        if (lack > most) {
            most = lack;
            best = i;
        }
    }
    return best;
}

/* Returns the best host to take for another pool: one that is off, else the
   one that is empty soonest, of the pool with most hosts to spare; -1 for
   none. */
static int
donor(const gv_plan_pool_t *pools, const int *have,
      const gv_plan_host_t *hosts, const bool *used, int n_hosts)
{
    int best = -1;
    int best_spare = 0;
    for (int i = 0; i < n_hosts; i++) {
        const gv_plan_pool_t *pool = &pools[hosts[i].pool];
        int spare = have[hosts[i].pool] - GvPoolPlan_WantedHosts(pool);
        if (used[i] || !hosts[i].free || spare <= 0 ||
            hosts[i].runs > GV_POOL_DONOR_RUNS) {
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

/* Returns the number of hosts that a pool has beyond what it needs now. */
static int
headroom(const gv_plan_pool_t *pool, int have)
{
    gv_plan_pool_t least = *pool;
    least.keep = 0;
    return have - GvPoolPlan_WantedHosts(&least);
}

/* Returns the pool with the least headroom, or with the most, among those
   that run work; -1 for none. */
static int
extreme(const gv_plan_pool_t *pools, const int *have, int n_pools, bool most)
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

/* Returns an empty host of a pool that was idle for a while, or -1. */
static int
idle_host(const gv_plan_host_t *hosts, const bool *used, int n_hosts, int pool)
{
    for (int i = 0; i < n_hosts; i++) {
        if (!used[i] && hosts[i].pool == pool && hosts[i].free &&
            hosts[i].runs == 0 && hosts[i].idle_ms >= GV_POOL_SPREAD_MS) {
            return i;
        }
    }
    return -1;
}

/* Spreads hosts that are to spare over the pools, so that a burst finds some
   wherever it begins. Returns the number of moves. */
static int
spread(const gv_plan_pool_t *pools, int *have, int n_pools,
       const gv_plan_host_t *hosts, bool *used, int n_hosts,
       gv_plan_move_t *out, int max)
{
    int n = 0;
    while (n < max) {
        int from = extreme(pools, have, n_pools, true);
        int to = extreme(pools, have, n_pools, false);
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

/* Plans moves: pools that lack hosts get those that are off or to spare; what
   no pool needs and has been empty for a while is turned off. Returns the
   number of moves, at most max. */
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
    int to = neediest(pools, have, n_pools);
    while (to >= 0 && n < max) {
        int host = donor(pools, have, hosts, used, n_hosts);
        if (host < 0) {
            break;
        }
        used[host] = true;
        have[hosts[host].pool]--;
        have[to]++;
        out[n++] = (gv_plan_move_t){host, to};
        to = neediest(pools, have, n_pools);
    }
    n += spread(pools, have, n_pools, hosts, used, n_hosts, out + n, max - n);
    int off = standby_pool(pools, n_pools);
    for (int i = 0; off >= 0 && i < n_hosts && n < max; i++) {
        int pool = hosts[i].pool;
        if (used[i] || !hosts[i].free || hosts[i].runs > 0 ||
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
