#include "pool_plan.h"

#include <glib.h>

#include "limits.h"

/* Returns the number of hosts that a pool should have. Tasks do not divide
   evenly over hosts: a part of each counts as unusable. */
int
GvPoolPlan_Wanted(const gv_plan_pool_t *pool)
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
        int lack = GvPoolPlan_Wanted(&pools[i]) - have[i];
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
        int spare = have[hosts[i].pool] - GvPoolPlan_Wanted(pool);
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
    int off = standby_pool(pools, n_pools);
    for (int i = 0; off >= 0 && i < n_hosts && n < max; i++) {
        int pool = hosts[i].pool;
        if (used[i] || !hosts[i].free || hosts[i].runs > 0 ||
            pools[pool].standby ||
            hosts[i].idle_ms < pools[pool].park_after_ms ||
            have[pool] <= GvPoolPlan_Wanted(&pools[pool])) {
            continue;
        }
        have[pool]--;
        out[n++] = (gv_plan_move_t){i, off};
    }
    g_free(have);
    g_free(used);
    return n;
}
