#ifndef GV_POOL_PLAN_H
#define GV_POOL_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include "sched.h"

/* Which host moves to which pool, so that hosts follow demand and none is
   paid for that nothing needs. Pure: all that it knows comes in. */

typedef struct {
    int64_t need_cpu;       /* of what runs, waits and is about to come */
    int64_t host_cpu;       /* of one host; thousandths of a core */
    int hosts;              /* that serve it or are on their way there */
    int keep;               /* never fewer hosts than this */
    int power_off_after_ms; /* a host that is empty for so long may be turned
                               off */
    bool fixed;             /* gets no hosts and gives none */
    bool standby;           /* hosts there are off and cost nothing */
} gv_plan_pool_t;

typedef struct {
    int pool;        /* index */
    bool free;       /* without another operation, and nothing there lasts */
    int runs;        /* short tasks that have to end before it moves */
    int64_t idle_ms; /* empty for so long */
} gv_plan_host_t;

typedef struct {
    int host;
    int to;
} gv_plan_move_t;

int64_t GvPoolPlan_NeedCpu(const gv_demand_t *d);
void GvPoolPlan_SetHostCpu(gv_plan_pool_t *pools, int n_pools);
int GvPoolPlan_WantedHosts(const gv_plan_pool_t *pool);
int GvPoolPlan_Moves(const gv_plan_pool_t *pools, int n_pools,
                     const gv_plan_host_t *hosts, int n_hosts,
                     gv_plan_move_t *out, int max);

#endif
