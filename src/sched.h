#ifndef GV_SCHED_H
#define GV_SCHED_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "job.h"

/* The scheduler, which runs on the leader: places the tasks of jobs on
   targets, renews the leases of their runs and records how these end. It
   performs no input or output and reads no clock: events arrive as calls with
   the time, orders are sent through the functions of gv_sched_ops_t, and the
   progress that holds a start is stored before the start is ordered. All times
   are milliseconds; now_ms is monotonic, wall_ms is wall clock.

   A run is one start of a task on one target. A hold is the order that renews
   the lease of a target's runs and returns which runs are live and which have
   ended. */

typedef struct gv_sched_s gv_sched_t;

/* Properties of a target, as its record in the platform's store has them. */
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
    int64_t remaining_ms; /* a draining target stays up at least so long */
    int64_t warmup_ms;    /* runs on it are slow for this much longer */
    int64_t started_ms; /* start of this incarnation, wall clock; 0: unknown */
} gv_target_info_t;

/* A queue of the current settings and the service whose targets run it. */
typedef struct {
    gv_str_t name;
    gv_str_t service;
    int attempts; /* failed runs of one task that fail the job */
    int priority; /* 0 is first */
    /* Objective for the duration of a job: objective_ms, and stretch times its
       critical path. */
    int objective_ms;
    double stretch;
    bool needs_advice; /* only targets allowed by the advice service run it */
    bool needs_key;    /* callers have to name a key of a client account */
} gv_queue_info_t;

/* A client account of the current settings. */
typedef struct {
    gv_str_t name;
    int64_t weight; /* its share of a full service relative to others; also the
                       jobs a second that it may submit on average */
    gv_resources_t limit; /* that its tasks may use at the same time, on all
                             targets together; 0: no limit */
} gv_account_info_t;

typedef struct {
    gv_str_t name;
    bool standby;     /* its hosts are powered off and cost nothing */
    bool checks_room; /* its targets refuse starts that exceed their room */
} gv_service_info_t;

typedef struct {
    const char *target;
    const char *addr;
    const gv_job_t *job;
    int task;
    uint32_t run;        /* number of the run */
    int64_t deadline_ms; /* end of its lease, on the target's clock */
    const char *saved;   /* state to resume from, or NULL */
    const char *ticket;  /* of the advice service, or NULL */
    bool retry;          /* to be sent on a new connection */
} gv_start_order_t;

typedef struct {
    const char *target;
    const char *addr;
    const char *task; /* full name, ID.K.STEP.INDEX */
    uint32_t run;
} gv_stop_order_t;

typedef struct {
    const char *target;
    const char *addr;
    int64_t deadline_ms;  /* new end of its leases, on its clock; 0: as is */
    uint64_t ends_stored; /* the target may forget ends up to this number */
    int wait_ms;          /* the target may wait for an end for so long */
    bool retry;           /* to be sent on a new connection */
} gv_hold_order_t;

/* A request for advice which of these targets may run a step. */
typedef struct {
    const char *step; /* full name, ID.K.STEP */
    const char *const *targets;
    int n_targets;
} gv_advice_order_t;

/* A target that may run the step, and the ticket that its starts need. */
typedef struct {
    gv_str_t target;
    gv_str_t ticket;
} gv_ticket_row_t;

/* Functions that send orders; their answers arrive later, through the
   GvSched_Handle functions. */
typedef struct {
    void *user;
    void (*start)(void *user, const gv_start_order_t *o);
    void (*stop)(void *user, const gv_stop_order_t *o);
    void (*hold)(void *user, const gv_hold_order_t *o);
    /* NULL without an advice service: jobs that need advice then wait. */
    void (*advise)(void *user, const gv_advice_order_t *o);
} gv_sched_ops_t;

typedef struct {
    gv_sched_ops_t ops;
    uint64_t epoch;   /* of this leader; fencing token of every order */
    int lease_ms;     /* a target ends runs that no hold renews for so long */
    int max_lease_ms; /* longest lease that a target grants */
    /* Targets that do not check their room get no starts while their records
       were read longer ago than this; 0: no limit. */
    int records_max_age_ms;
    bool learn_run_times; /* from finished runs, to order and place tasks */
    int64_t now_ms;
    /* When the newest record of the former leader was read; 0: unknown, and
       now_ms counts in its place. */
    int64_t former_ms;
} gv_sched_opts_t;

typedef enum {
    GV_ORDER_DONE,
    GV_ORDER_NO_ANSWER, /* it may have been carried out, or may be later */
    GV_ORDER_NOT_SENT,
    /* The target did not carry it out: */
    GV_ORDER_BUSY,           /* it is overloaded or unhealthy */
    GV_ORDER_NO_ROOM,        /* it lacks free resources */
    GV_ORDER_OLD_RUN,        /* it has seen this run of the task or a newer */
    GV_ORDER_LATE,           /* the deadline had passed on its clock */
    GV_ORDER_FENCED,         /* it has seen the epoch of a newer leader */
    GV_ORDER_OTHER_INSTANCE, /* another target, or incarnation, answered */
    GV_ORDER_NO_TICKET,      /* it did not accept the ticket */
    GV_ORDER_REFUSED         /* any other reason */
} gv_order_result_t;

typedef struct {
    gv_order_result_t result;
    int64_t clock_ms;   /* of the target; 0: not in the answer */
    int64_t started_ms; /* of its incarnation; 0: not in the answer */
    int64_t sent_ms;    /* when the order was sent; 0: when the run or the hold
                           was last ordered */
    bool broken;        /* without an answer: its connection was refused or
                           broken off, as when its process has ended */
} gv_order_answer_t;

/* How a run ended, as its target reports it. */
typedef enum {
    GV_END_DONE,
    GV_END_FAILED,
    GV_END_STOPPED, /* by an order */
    GV_END_LAPSED,  /* its lease ended */
    GV_END_BROKEN,
    GV_END_ALONE
} gv_end_kind_t;

/* A live run in the answer to a hold. */
typedef struct {
    gv_str_t task;  /* full name */
    gv_str_t saved; /* newest state to resume from; empty: none */
    /* Cores in use, or tail latency in ms of a long-running task with a goal
       for it. */
    double usage;
    uint32_t run;
    int percent; /* done; of a long-running task: 100 once it serves */
} gv_running_t;

/* An ended run in the answer to a hold. */
typedef struct {
    uint64_t number; /* ends of a target are numbered in order */
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
    bool ends_cut; /* the target may have more ends than these */
} gv_hold_answer_t;

gv_sched_t *GvSched_New(const gv_sched_opts_t *o);
void GvSched_Free(gv_sched_t *s);

/* State of the outside world: settings, targets and jobs */
void GvSched_SetQueues(gv_sched_t *s, const gv_queue_info_t *queues, int n);
void GvSched_SetServices(gv_sched_t *s, const gv_service_info_t *services,
                         int n);
void GvSched_SetAccounts(gv_sched_t *s, const gv_account_info_t *accounts,
                         int n, int64_t now_ms);
void GvSched_SetRecordsRead(gv_sched_t *s, int64_t read_ms);
void GvSched_SetTarget(gv_sched_t *s, const gv_target_info_t *info,
                       int64_t now_ms);
void GvSched_RemoveTarget(gv_sched_t *s, gv_str_t id, int64_t now_ms);
void GvSched_KeepTargets(gv_sched_t *s, GHashTable *ids, int64_t now_ms);
void GvSched_AddJob(gv_sched_t *s, const gv_job_t *job, int64_t now_ms);
void GvSched_Cancel(gv_sched_t *s, gv_str_t job, int64_t now_ms);

/* Answers to orders; target, task and run are those of the order */
void GvSched_HandleStartAnswer(gv_sched_t *s, const char *target,
                               const char *task, uint32_t run,
                               const gv_order_answer_t *a, int64_t now_ms);
void GvSched_HandleStopAnswer(gv_sched_t *s, const char *target,
                              const char *task, uint32_t run,
                              const gv_order_answer_t *a, int64_t now_ms);
void GvSched_HandleHoldAnswer(gv_sched_t *s, const char *target,
                              const gv_hold_answer_t *a, int64_t now_ms);
void GvSched_HandleAdvice(gv_sched_t *s, const char *step, bool ok,
                          const gv_ticket_row_t *rows, int n, int valid_ms,
                          int64_t now_ms);

int64_t GvSched_Run(gv_sched_t *s, int64_t now_ms, int64_t wall_ms);

/* Progress of jobs is written to the store in batches, one at a time:
   GvSched_TakeBatch passes each record to `add`, and GvSched_ConfirmBatch
   follows once they are stored. */
typedef void (*gv_sched_add_t)(void *user, gv_str_t key, gv_str_t value);
int GvSched_TakeBatch(gv_sched_t *s, gv_sched_add_t add, void *user);
void GvSched_ConfirmBatch(gv_sched_t *s, int64_t now_ms);
int GvSched_LoadRunTimes(gv_sched_t *s, gv_str_t bytes);
void GvSched_PackLeases(gv_sched_t *s, int64_t now_ms, GByteArray *out);
void GvSched_UnpackLeases(gv_sched_t *s);
int GvSched_LoadLeases(gv_sched_t *s, gv_str_t bytes);

bool GvSched_IsFenced(const gv_sched_t *s);

/* What the platform's list of hosts says of one host. */
typedef struct {
    const char *target; /* that is up on it; empty for none */
    bool unnamed;       /* it is up, but its target is not named */
    bool down;          /* it has failed; else it is up, or was ordered away */
    bool ordered;       /* an order for it has no result yet: its target may
                           have ended since or not */
} gv_listed_host_t;

typedef struct {
    GHashTable *hosts; /* id -> gv_listed_host_t * */
    bool whole;        /* no host of the fleet is missing */
    int64_t asked_ms;  /* when the list was requested */
} gv_listed_hosts_t;

void GvSched_CheckHosts(gv_sched_t *s, const gv_listed_hosts_t *list,
                        int64_t now_ms);
int GvSched_CountUnresponsive(const gv_sched_t *s);

/* What the planning of pools needs to know of a target. */
typedef struct {
    const char *id;
    const char *service;
    const char *rack;
    int runs;
    int n_long_running; /* runs of long-running tasks */
    bool draining;
    bool reserved;
    gv_resources_t room;
    gv_resources_t free;
} gv_target_view_t;

/* Demand of a service; cpu in thousandths of a core. */
typedef struct {
    int64_t wanted_cpu; /* of waiting tasks that may start now */
    int64_t used_cpu;
    int64_t arriving_cpu; /* of new jobs, at the present rate of arrivals */
    int64_t expected_cpu; /* of a burst that is about to begin */
    int waiting;          /* number of waiting tasks that may start now */
    int lacking_hosts;    /* for long-running tasks that none of its targets
                             could hold, whatever else runs there */
} gv_demand_t;

void GvSched_SetJobsLoaded(gv_sched_t *s);
bool GvSched_HasJobsLoaded(const gv_sched_t *s);
bool GvSched_View(const gv_sched_t *s, gv_str_t target, gv_target_view_t *v);
gv_demand_t GvSched_Demand(gv_sched_t *s, gv_str_t service, int64_t ahead_ms,
                           int64_t now_ms, int64_t wall_ms);
void GvSched_ReplayArrivals(gv_sched_t *s, const gv_job_t *const *jobs, int n,
                            int64_t now_ms, int64_t wall_ms);
int64_t GvSched_TargetStartMs(const gv_sched_t *s, gv_str_t target);
const gv_target_info_t *GvSched_AnsweredEntry(const gv_sched_t *s,
                                              gv_str_t target);
int GvSched_CountRuns(const gv_sched_t *s, gv_str_t target);
void GvSched_Reserve(gv_sched_t *s, gv_str_t target, bool reserved);
int GvSched_Evacuate(gv_sched_t *s, gv_str_t target, bool short_too,
                     int64_t now_ms);
void GvSched_EndTarget(gv_sched_t *s, gv_str_t target, int64_t now_ms);

#endif
