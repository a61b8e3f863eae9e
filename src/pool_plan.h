#ifndef GV_POOL_PLAN_H
#define GV_POOL_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include "sched.h"

/* Plans which hosts move to which pools, so that hosts follow demand and hosts
   that nothing needs are off and cost nothing. The functions depend on their
   arguments only. */

typedef struct {
    int64_t need_cpu;  /* see GvPoolPlan_NeedCpu */
    int64_t host_cpu;  /* of one host, thousandths of a core; 0: no host */
    int hosts;         /* in the pool or moving there */
    int min_hosts;     /* the pool should never have fewer */
    int lacking_hosts; /* more hosts that its long-running tasks need */
    int coming_hosts;  /* counted in `hosts`, but still moving there */
    int power_off_after_ms; /* idle time before a host may be off */
    bool fixed;             /* gets no hosts and gives none */
    bool standby;           /* hosts there are off and cost nothing */
} gv_plan_pool_t;

typedef struct {
    int pool;        /* index */
    bool movable;    /* has no operation and no long-running task */
    int runs;        /* tasks that have to end before it can move */
    int64_t idle_ms; /* time without runs; 0: has some */
} gv_plan_host_t;

typedef struct {
    int host; /* index */
    int to;   /* index of the pool */
} gv_plan_move_t;

int64_t GvPoolPlan_NeedCpu(const gv_demand_t *d);
void GvPoolPlan_SetHostCpu(gv_plan_pool_t *pools, int n_pools);
int GvPoolPlan_WantedHosts(const gv_plan_pool_t *pool);
int GvPoolPlan_Moves(const gv_plan_pool_t *pools, int n_pools,
                     const gv_plan_host_t *hosts, int n_hosts,
                     gv_plan_move_t *out, int max);

#endif
