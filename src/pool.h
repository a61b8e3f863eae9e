#ifndef GV_POOL_H
#define GV_POOL_H

#include "sched.h"

/* Hosts and the pools that they belong to: maintenance waves, and moves of
   hosts between pools according to demand. Only the leader gives these orders,
   under its fence. This module does no input or output and reads no clock:
   orders go through gv_pool_ops_t. All times are milliseconds. */

typedef struct gv_pools_s gv_pools_t;

typedef enum {
    GV_HOST_UP,
    GV_HOST_MOVING,
    GV_HOST_MAINTENANCE,
    GV_HOST_DOWN
} gv_host_state_t;

/* A host as listed by the platform. */
typedef struct {
    gv_str_t id;
    gv_str_t pool;
    gv_str_t target; /* that runs on the host; empty for none */
    gv_host_state_t state;
    int64_t cpu; /* thousandths of a core */
} gv_host_info_t;

/* Result of an order. */
typedef enum {
    GV_POOL_DONE,
    GV_POOL_FENCED,  /* nothing done: a newer leader has given orders */
    GV_POOL_NOT_NOW, /* nothing done: host is not up, or not in the wave */
    GV_POOL_INVALID, /* nothing done: no such host or pool */
    GV_POOL_RETRY,   /* nothing done: refused for now */
    GV_POOL_UNKNOWN  /* may be done */
} gv_pool_result_t;

typedef struct {
    void *user;
    /* Asks for a list of all hosts; the result goes to GvPools_Listed. */
    void (*list)(void *user);
    /* Orders; results go to GvPools_Moved and GvPools_Maintained. */
    void (*move)(void *user, const char *host, const char *pool);
    void (*maintain)(void *user, const char *host, int wave);
    /* Reports to the platform that a wave runs or is done; the result goes to
       GvPools_Reported. */
    void (*report)(void *user, int wave, bool done);
    /* Stores the progress of a wave. */
    void (*store)(void *user, int wave, gv_str_t bytes);
} gv_pool_ops_t;

typedef struct {
    gv_pool_ops_t ops;
    gv_sched_t *sched;
    int64_t first_order_ms; /* see GvPools_MayOrder */
    int64_t now_ms;
    int maintenance_ms; /* duration of a host's maintenance */
    int move_ms;        /* duration of a move */
} gv_pool_opts_t;

/* How much of the list of hosts was read. */
typedef enum {
    GV_HOST_LIST_FAILED,
    GV_HOST_LIST_PARTLY, /* some entries could not be read */
    GV_HOST_LIST_WHOLE
} gv_host_list_t;

gv_pools_t *GvPools_New(const gv_pool_opts_t *o);
void GvPools_Free(gv_pools_t *p);
void GvPools_SetServices(gv_pools_t *p, const gv_service_info_t *services,
                         int n);
void GvPools_SetWave(gv_pools_t *p, int wave, const gv_str_t *hosts, int n,
                     int64_t duration_ms, int cap, gv_str_t stored,
                     int64_t now_ms, int64_t wall_ms);
void GvPools_Listed(gv_pools_t *p, const gv_host_info_t *hosts, int n,
                    gv_host_list_t list, int64_t now_ms);
void GvPools_CheckTarget(gv_pools_t *p, gv_str_t target, int64_t now_ms);
void GvPools_Moved(gv_pools_t *p, const char *host, gv_pool_result_t r,
                   int64_t now_ms);
void GvPools_Maintained(gv_pools_t *p, const char *host, int wave,
                        gv_pool_result_t r, int64_t now_ms);
void GvPools_Reported(gv_pools_t *p, int wave, bool done, bool stored,
                      int64_t now_ms);
void GvPools_Step(gv_pools_t *p, bool may_order, int64_t now_ms,
                  int64_t wall_ms);

#endif
