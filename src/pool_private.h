#ifndef GV_POOL_PRIVATE_H
#define GV_POOL_PRIVATE_H

#include "pool.h"
#include "pool_plan.h"

/* Shared by pool.c, pool_move.c and pool_wave.c only. */

/* Stage of the operation of a host: maintenance or a move. */
typedef enum {
    GV_OPERATION_NONE,
    GV_OPERATION_EMPTYING, /* no new tasks; runs end or are stopped */
    GV_OPERATION_ORDERED,  /* an order has no result yet */
    GV_OPERATION_AWAY      /* order accepted; until the host is up again */
} gv_operation_t;

typedef struct {
    char *id;
    char *pool;
    char *target;       /* newest on the host; NULL for none */
    GQueue former;      /* char *: targets before it, GV_POOL_FORMER_MAX */
    int64_t started_ms; /* newest known start of a target, wall clock */
    int64_t entered_ms; /* when an entry first named the present target; 0:
                           only lists did */
    char *old_target;   /* target at the time of the order, or NULL */
    char *reserved; /* target that gets no tasks for the operation, or NULL */
    char *to_pool;  /* pool of a move in progress; NULL: maintenance */
    gv_host_state_t state;
    int64_t cpu;
    gv_operation_t operation;
    bool unanswered;       /* an order of the operation got no answer: it may
                              have been carried out */
    int wave;              /* of a maintenance; 0: none */
    bool listed;           /* in the newest list */
    bool list_behind;      /* which is older than what an entry has said */
    bool unnamed;          /* which has it as up without naming its target */
    int64_t since_ms;      /* begin of the operation, or of being away */
    int64_t next_ms;       /* earliest time of the next order */
    int refusals;          /* orders refused in a row */
    int64_t idle_since_ms; /* up and without runs since then; 0: is not */
    int64_t pool_since_ms; /* since when it is in this pool */
} gv_host_t;

typedef enum {
    GV_WAVE_HOST_WAITING,
    GV_WAVE_HOST_STARTED, /* maintenance was ordered and accepted */
    GV_WAVE_HOST_DONE     /* is up again, or has left the fleet */
} gv_wave_host_state_t;

typedef enum {
    GV_WAVE_NOT_REPORTED,
    GV_WAVE_REPORTED_RUNNING,
    GV_WAVE_REPORTED_DONE
} gv_wave_report_t;

typedef struct {
    int number;
    int cap; /* hosts in maintenance at once, at most */
    int64_t deadline_wall_ms;
    int n_hosts;
    char **hosts;
    gv_wave_host_state_t *host_states; /* same order as hosts */
    bool done;
    gv_wave_report_t reported; /* newest stored report of this process */
    bool report_pending;       /* a report has no result yet */
    int64_t report_next_ms;    /* earliest time of the next report */
} gv_wave_t;

struct gv_pools_s {
    gv_pool_opts_t opts;
    bool fenced;          /* an order was fenced: gives no more orders */
    bool listing;         /* a list was asked for */
    bool hosts_known;     /* a list of the hosts was read */
    bool hosts_whole;     /* the newest one: no host of the fleet is missing */
    int64_t list_sent_ms; /* when the newest list was asked for */
    int64_t listed_ms;    /* when its answer came; 0: list at once */
    int64_t stepped_ms;   /* newest step of all hosts */
    int64_t planned_ms;   /* newest plan of moves */
    int64_t logged_ms;    /* newest log of the pools */
    GHashTable *hosts;    /* id -> gv_host_t * */
    GHashTable *services; /* name -> 1, or 2 for a standby pool */
    GPtrArray *waves;     /* gv_wave_t * */
};

gv_host_t *GvPools_FindHost(const gv_pools_t *p, const char *id);
bool GvPools_MayOrder(const gv_pools_t *p, const gv_host_t *h, int64_t now_ms,
                      int64_t wall_ms);
bool GvPools_IsStandby(const gv_pools_t *p, const char *pool);
void GvPools_BeginOperation(gv_pools_t *p, gv_host_t *h, int wave,
                            const char *to_pool, int64_t now_ms);
void GvPools_EndOperation(gv_pools_t *p, gv_host_t *h);
void GvPools_StepWaves(gv_pools_t *p, int64_t now_ms, int64_t wall_ms);
void GvPools_StoreWave(gv_pools_t *p, gv_wave_t *w);
void GvPools_Plan(gv_pools_t *p, int64_t now_ms, int64_t wall_ms);

#endif
