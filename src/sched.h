#ifndef GV_SCHED_H
#define GV_SCHED_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "job.h"

/* The leader: places the tasks of jobs on targets, keeps their
   leases, and takes note of their ends. It performs no input or output and
   reads no clock: events come in as calls with the time, orders leave through
   the functions of gv_sched_ops_t, and every start is written to the store
   before it is ordered. All times are milliseconds; "now" is monotonic. */

typedef struct gv_sched_s gv_sched_t;

/* What a target says of itself, or the platform of it. */
typedef struct {
    gv_str_t id;
    gv_str_t host; /* on which it runs; may be empty */
    gv_str_t addr;
    gv_str_t service; /* the pool that it works for */
    gv_str_t dc;
    gv_str_t rack;
    gv_str_t labels; /* separated by single spaces */
    gv_resources_t room;
    bool draining;
    int64_t left_ms;   /* a draining target stays at least this long */
    int64_t warmup_ms; /* it is slow for this long after its start */
    int64_t born;      /* start of this life; 0: not said */
} gv_target_info_t;

/* A queue and the service that runs it, as the settings in force have it. */
typedef struct {
    gv_str_t name;
    gv_str_t service;
    int attempts;
    int priority;
    int objective_ms;
    double stretch;
    bool advice; /* only targets allowed by the advice service run it */
} gv_queue_info_t;

typedef struct {
    gv_str_t name;
    bool standby; /* its hosts are off and cost nothing */
} gv_service_info_t;

typedef struct {
    const char *target;
    const char *addr;
    const gv_job_t *job;
    int task;
    uint32_t run;
    int64_t deadline_ms; /* on the target's clock */
    const char *saved;   /* or NULL */
    const char *ticket;  /* of the advice service, or NULL */
    bool retry;          /* on a new connection */
} gv_start_order_t;

typedef struct {
    const char *target;
    const char *addr;
    const char *task; /* full name */
    uint32_t run;
} gv_stop_order_t;

typedef struct {
    const char *target;
    const char *addr;
    int64_t deadline_ms; /* on the target's clock; 0: leases stay */
    uint64_t noted;      /* ends up to this one are stored */
    int wait_ms;
    bool retry;
} gv_hold_order_t;

/* A question whether targets may run a step. */
typedef struct {
    const char *step; /* ID.K.STEP */
    const char *const *targets;
    int n_targets;
} gv_advice_order_t;

typedef struct {
    gv_str_t target;
    gv_str_t ticket;
} gv_ticket_row_t;

typedef struct {
    void *user;
    void (*start)(void *user, const gv_start_order_t *o);
    void (*stop)(void *user, const gv_stop_order_t *o);
    void (*hold)(void *user, const gv_hold_order_t *o);
    /* NULL without an advice service: queues that need it wait. */
    void (*advise)(void *user, const gv_advice_order_t *o);
} gv_sched_ops_t;

typedef struct {
    gv_sched_ops_t ops;
    uint64_t epoch;   /* fence of every order */
    int lease_ms;     /* what runs ends unless it is held this often */
    int max_lease_ms; /* longest lease that an earlier scheduler gave */
    int64_t now_ms;
} gv_sched_opts_t;

typedef enum {
    GV_ORDER_DONE,
    GV_ORDER_NO_ANSWER, /* it may have been carried out, or may be later */
    GV_ORDER_NOT_SENT,
    GV_ORDER_BUSY,           /* the target did nothing */
    GV_ORDER_NO_ROOM,        /* it has no room */
    GV_ORDER_OLD_RUN,        /* it knows this run or a newer one */
    GV_ORDER_LATE,           /* the deadline had passed */
    GV_ORDER_FENCED,         /* a newer scheduler is the leader */
    GV_ORDER_OTHER_INSTANCE, /* another target, or life of it, answered */
    GV_ORDER_NO_TICKET,      /* the target did nothing */
    GV_ORDER_REFUSED         /* any other reason */
} gv_order_result_t;

typedef struct {
    gv_order_result_t result;
    int64_t clock_ms; /* of the target; 0: not said */
    int64_t born;
} gv_order_answer_t;

typedef enum {
    GV_END_DONE,
    GV_END_FAILED,
    GV_END_STOPPED,
    GV_END_LAPSED,
    GV_END_BROKEN,
    GV_END_ALONE
} gv_end_kind_t;

typedef struct {
    gv_str_t task; /* full name */
    gv_str_t saved;
    double usage; /* tail in ms of a lasting task with a goal, else cores */
    uint32_t run;
    int percent;
} gv_running_t;

typedef struct {
    uint64_t number;
    gv_str_t task;
    uint32_t run;
    gv_end_kind_t how;
    gv_str_t saved;
} gv_ended_t;

typedef struct {
    gv_order_answer_t answer;
    const gv_running_t *running;
    int n_running;
    const gv_ended_t *ended;
    int n_ended;
} gv_hold_answer_t;

gv_sched_t *GvSched_New(const gv_sched_opts_t *o);
void GvSched_Free(gv_sched_t *s);

/* Beliefs */
void GvSched_SetQueues(gv_sched_t *s, const gv_queue_info_t *queues, int n);
void GvSched_SetTarget(gv_sched_t *s, const gv_target_info_t *info,
                       int64_t now_ms);
void GvSched_RemoveTarget(gv_sched_t *s, gv_str_t id, int64_t now_ms);
/* Removes every target that is not in the set of ids. */
void GvSched_KeepTargets(gv_sched_t *s, GHashTable *ids, int64_t now_ms);
void GvSched_AddJob(gv_sched_t *s, const gv_job_t *job, int64_t now_ms);
void GvSched_Cancel(gv_sched_t *s, gv_str_t job, int64_t now_ms);

/* Results of orders */
void GvSched_HandleStartAnswer(gv_sched_t *s, const char *target,
                               const char *task, uint32_t run,
                               const gv_order_answer_t *a, int64_t now_ms);
void GvSched_HandleStopAnswer(gv_sched_t *s, const char *target,
                              const char *task, uint32_t run,
                              const gv_order_answer_t *a, int64_t now_ms);
void GvSched_HandleHoldAnswer(gv_sched_t *s, const char *target,
                              const gv_hold_answer_t *a, int64_t now_ms);

/* Takes the answer about a step; ok false: there is none. */
void GvSched_HandleAdvice(gv_sched_t *s, const char *step, bool ok,
                          const gv_ticket_row_t *rows, int n, int valid_ms,
                          int64_t now_ms);

/* Places tasks, renews leases and ends what has lapsed. Returns the time of
   the next call that is needed without an event. */
int64_t GvSched_Run(gv_sched_t *s, int64_t now_ms, int64_t wall_ms);

/* Progress that has to be written: calls add for each record and returns how
   many. Until GvSched_ConfirmBatch, no further batch is given out. */
typedef void (*gv_sched_add_t)(void *user, gv_str_t key, gv_str_t value);
int GvSched_TakeBatch(gv_sched_t *s, gv_sched_add_t add, void *user);
void GvSched_ConfirmBatch(gv_sched_t *s, int64_t now_ms);

bool GvSched_IsFenced(const gv_sched_t *s);

/* The platform's list of hosts, asked for at asked_ms: for each host its
   present target, or an empty one while it is down. Ends the runs of targets
   that are gone for certain, without waiting for their leases. */
void GvSched_CheckHosts(gv_sched_t *s, GHashTable *target_of_host,
                        int64_t asked_ms, int64_t now_ms);
/* Returns the number of targets with runs that do not answer. */
int GvSched_CountUnresponsive(const gv_sched_t *s);

/* What planning of pools needs of a target. */
typedef struct {
    const char *id;
    const char *service;
    const char *rack;
    int runs;
    int lasting; /* runs that last */
    bool draining;
    bool reserved;
    gv_resources_t room;
    gv_resources_t free;
} gv_target_view_t;

typedef struct {
    int64_t wanted_cpu; /* of tasks that could run now, thousandths */
    int64_t used_cpu;
    int64_t arriving_cpu; /* that new jobs use if they go on coming so */
    int64_t expected_cpu; /* of a burst that is about to begin */
    int waiting;          /* tasks */
} gv_demand_t;

/* Every job that an earlier scheduler may have started has been added. Before
   this, what targets list of jobs that are not known here is left alone, and
   nothing is placed: their runs take room, and an end that a target forgets
   unread would make its task run again. */
void GvSched_SetJobsLoaded(gv_sched_t *s);
bool GvSched_HasJobsLoaded(const gv_sched_t *s);
bool GvSched_View(const gv_sched_t *s, gv_str_t target, gv_target_view_t *v);
gv_demand_t GvSched_Demand(gv_sched_t *s, gv_str_t service, int64_t ahead_ms,
                           int64_t now_ms, int64_t wall_ms);
/* Learns when work came in from jobs that an earlier scheduler has handled, in
   the order of their acceptance. */
void GvSched_ReplayArrivals(gv_sched_t *s, const gv_job_t *const *jobs, int n,
                            int64_t now_ms, int64_t wall_ms);
/* When that target began its life, wall clock; 0: not known. */
int64_t GvSched_TargetStartMs(const gv_sched_t *s, gv_str_t target);
void GvSched_Reserve(gv_sched_t *s, gv_str_t target, bool reserved);
int GvSched_Evacuate(gv_sched_t *s, gv_str_t target, bool short_too,
                     int64_t now_ms);
void GvSched_EndTarget(gv_sched_t *s, gv_str_t target, int64_t now_ms);

#endif
