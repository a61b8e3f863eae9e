#ifndef GV_RESERVE_H
#define GV_RESERVE_H

#include <stdint.h>

#include "registry.h"
#include "wave.h"

/* One pool as the reserve policy sees it. */
typedef struct {
    const gv_pool_t *pool;
    gv_demand_t demand;
    int hosts;            /* hosts that are up and not claimed */
    int slots;            /* slots of one host */
    int min_hosts;        /* largest min_hosts of the pool's services */
    int64_t last_move_ms; /* time of this pool's last move; 0: none yet */
} gv_reserve_pool_t;

typedef struct {
    int from; /* index of a pool; -1: no move */
    int to;   /* index of a pool */
} gv_reserve_move_t;

/* Returns the index of the spare pool of pool i, or -1 if there is none. */
int GvReserve_FindSpare(const gv_reserve_pool_t *p, int n, int i);

/* Plug-in: proposes to move at most one host between a pool and its spare
   pool. "hysteresis" is the default; "static" (never moves) and "eager" (no
   hysteresis) are baselines. */
typedef struct {
    gv_plugin_t plugin;
    gv_reserve_move_t (*propose)(const gv_reserve_pool_t *p, int n,
                                 int64_t now_ms);
} gv_reserve_policy_t;

#endif
