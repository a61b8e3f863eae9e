#ifndef GV_POOL_H
#define GV_POOL_H

#include "sched.h"

/* Hosts and the pools that they belong to: maintenance waves, and moves that
   let hosts follow demand. One process at a time gives these orders, under
   the fence of the leader. No input or output and no clock:
   orders leave through gv_pool_ops_t. All times are milliseconds. */

typedef struct gv_pools_s gv_pools_t;

typedef enum {
    GV_HOST_UP,
    GV_HOST_MOVING,
    GV_HOST_MAINTENANCE,
    GV_HOST_DOWN
} gv_host_state_t;

/* A host as the platform lists it. */
typedef struct {
    gv_str_t id;
    gv_str_t pool;
    gv_str_t target; /* that runs on it; empty for none */
    gv_host_state_t state;
    int64_t cpu; /* thousandths of a core */
} gv_host_info_t;

typedef enum {
    GV_POOL_DONE,
    GV_POOL_FENCED,
    GV_POOL_NOT_NOW, /* nothing done: the host is not up, or not of the wave */
    GV_POOL_INVALID, /* nothing done: no such host or pool */
    GV_POOL_RETRY,   /* nothing done: refused for now */
    GV_POOL_UNKNOWN  /* it may be done */
} gv_pool_result_t;

typedef struct {
    void *user;
    void (*list)(void *user);
    void (*move)(void *user, const char *host, const char *pool);
    void (*maintain)(void *user, const char *host, int wave);
    /* Tells operators how far a wave is. */
    void (*report)(void *user, int wave, bool done);
    /* Stores the progress of a wave. */
    void (*store)(void *user, int wave, gv_str_t bytes);
} gv_pool_ops_t;

typedef struct {
    gv_pool_ops_t ops;
    gv_sched_t *sched;
    int64_t first_order_ms; /* an earlier scheduler may give orders before */
    int64_t now_ms;
    int maintenance_ms;
    int move_ms;
} gv_pool_opts_t;

gv_pools_t *GvPools_New(const gv_pool_opts_t *o);
void GvPools_Free(gv_pools_t *p);
void GvPools_SetServices(gv_pools_t *p, const gv_service_info_t *services,
                         int n);
/* A wave asks that each host is maintained within duration_ms, at most cap at
   once. `stored` is the progress of an earlier scheduler, or empty. */
void GvPools_SetWave(gv_pools_t *p, int wave, const gv_str_t *hosts, int n,
                     int64_t duration_ms, int cap, gv_str_t stored,
                     int64_t now_ms, int64_t wall_ms);
void GvPools_Listed(gv_pools_t *p, const gv_host_info_t *hosts, int n, bool ok,
                    int64_t now_ms);
/* A target says on which host it runs. */
void GvPools_SetTarget(gv_pools_t *p, gv_str_t host, gv_str_t target,
                       gv_str_t pool, int64_t now_ms);
void GvPools_Moved(gv_pools_t *p, const char *host, gv_pool_result_t r,
                   int64_t now_ms);
void GvPools_Maintained(gv_pools_t *p, const char *host, int wave,
                        gv_pool_result_t r, int64_t now_ms);
/* Goes on with waves and moves; may_order: the store has confirmed recently
   that this process is the leader. */
void GvPools_Step(gv_pools_t *p, bool may_order, int64_t now_ms,
                  int64_t wall_ms);

#endif
