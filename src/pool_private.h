#ifndef GV_POOL_PRIVATE_H
#define GV_POOL_PRIVATE_H

#include "pool.h"
#include "pool_plan.h"

/* Shared by the files of pools only. */

typedef enum {
    GV_OPERATION_NONE,
    GV_OPERATION_EMPTYING, /* gets no new tasks; what runs ends or is stopped
                            */
    GV_OPERATION_ORDERED,  /* an order is open */
    GV_OPERATION_AWAY      /* the order is done; the host comes back up */
} gv_operation_t;

typedef struct {
    char *id;
    char *pool;
    char *target; /* newest; NULL for none */
    char *before; /* target at the time of the order */
    char *to;     /* pool of a move in progress; NULL: maintenance */
    gv_host_state_t state;
    int64_t cpu;
    gv_operation_t operation;
    int wave;
    bool listed;
    int64_t since_ms;   /* of the operation */
    int64_t next_ms;    /* of the next try */
    int64_t idle_ms;    /* empty since; 0: not empty */
    int64_t arrived_ms; /* in this pool */
} gv_host_t;

typedef enum {
    GV_WAVE_HOST_WAITING,
    GV_WAVE_HOST_STARTED,
    GV_WAVE_HOST_DONE
} gv_wave_host_state_t;

typedef struct {
    int number;
    int cap;
    int64_t deadline_wall_ms;
    int n_hosts;
    char **hosts;
    gv_wave_host_state_t *turns; /* by host */
    bool done;
    bool reported_running;
} gv_wave_t;

struct gv_pools_s {
    gv_pool_opts_t o;
    bool fenced;
    bool listing;
    bool known;       /* the hosts were listed once */
    int64_t asked_ms; /* of the newest list */
    int64_t listed_ms;
    int64_t planned_ms;
    int64_t logged_ms;
    GHashTable *hosts;    /* id -> gv_host_t * */
    GHashTable *services; /* name -> standby as a pointer */
    GPtrArray *waves;     /* gv_wave_t * */
};

gv_host_t *GvPools_FindHost(const gv_pools_t *p, const char *id);
bool GvPools_MayOrder(const gv_pools_t *p, const gv_host_t *h, int64_t now_ms,
                      int64_t wall_ms);
bool GvPools_IsStandby(const gv_pools_t *p, const char *pool);
void GvPools_BeginOperation(gv_pools_t *p, gv_host_t *h, int wave,
                            const char *to, int64_t now_ms);
void GvPools_EndOperation(gv_pools_t *p, gv_host_t *h);
void GvPools_StepWaves(gv_pools_t *p, int64_t now_ms, int64_t wall_ms);
void GvPools_StoreWave(gv_pools_t *p, gv_wave_t *w);
void GvPools_Plan(gv_pools_t *p, int64_t now_ms, int64_t wall_ms);

#endif
