#ifndef GV_RESERVE_H
#define GV_RESERVE_H

#include <stdint.h>

#include "registry.h"
#include "wave.h"

/* One pool as the reserve policy sees it. */
typedef struct {
    const gv_pool_t *pool;
    gv_demand_t demand;
    int hosts;            /* up and unclaimed */
    int slots;            /* of one host */
    int min_hosts;        /* largest min_hosts of the pool's services */
    int64_t last_move_ms; /* of this pool; 0: never */
} gv_reserve_pool_t;

typedef struct {
    int from; /* index of a pool, -1: no move */
    int to;
} gv_reserve_move_t;

/* Shared by the policies. */
int GvReserve_FindSpare(const gv_reserve_pool_t *p, int n, int i);

/* Plug-in: proposes at most one move between a pool and its spare pool.
   "hysteresis" is the default; "static" (never moves) and "eager" (no
   hysteresis) are baselines. */
typedef struct {
    gv_plugin_t plugin;
    gv_reserve_move_t (*propose)(const gv_reserve_pool_t *p, int n,
                                 int64_t now_ms);
} gv_reserve_policy_t;

#endif
