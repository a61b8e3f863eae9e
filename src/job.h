#ifndef GV_JOB_H
#define GV_JOB_H

#include <stdbool.h>
#include <stdint.h>

#include "failed_runs.h"
#include "str.h"

/* Jobs: each has steps, each step has tasks that run on targets. Holds the
   definition of a job and the progress of its tasks. */

/* Resources of a target, or those that one task needs. */
typedef struct {
    int64_t cpu;    /* thousandths of a core */
    int64_t memory; /* MB */
    int64_t gpu;
} gv_resources_t;

typedef struct {
    int count; /* tasks */
    gv_resources_t need;
    int estimate_ms; /* declared run time of one task; may be far off */
    int *after;      /* numbers of earlier steps that must be done first */
    int n_after;
    /* Limits; 0: none */
    int max_per_target;       /* tasks of one occurrence on one target */
    int max_unavailable;      /* tasks that planned stops may affect at once */
    int tail_latency_goal_ms; /* of a long-running task; 0: none */
    bool checkpoint;    /* a run saves states that the next can resume from */
    bool gang;          /* tasks only make progress while all of them run */
    bool same_rack;     /* tasks are slower if spread over racks */
    bool allows_copies; /* a task may have several runs at the same time */
    bool long_running;  /* tasks run until the job is cancelled */
    bool uses_leftover_cpu; /* tasks run on cpu that others do not use */
    gv_str_t label;         /* that the target must have; empty: none needed */
    gv_str_t rack;          /* where the input data is; empty: no preference */
    gv_str_t image;         /* what the tasks run */
} gv_step_t;

typedef enum {
    GV_TASK_WAITING,
    GV_TASK_PLACED, /* an order to start on `target` may have been sent */
    GV_TASK_DONE
} gv_task_state_t;

typedef struct {
    gv_task_state_t state;
    int crashes;        /* of its target, soon after its start */
    int doubtful;       /* other crashes of its target, after its start */
    int unconfirmed;    /* those where it may not have been started */
    bool suspect;       /* it may crash its targets: it gets one for itself */
    bool confirmed;     /* its newest run was started; noted of suspects */
    int64_t retry_ms;   /* no start before, monotonic; not stored */
    uint32_t run;       /* number of the newest run; 0: none yet */
    const char *target; /* interned; of the newest run */
    int64_t target_started_ms; /* of its incarnation then; 0: unknown */
    gv_failed_runs_t failed_runs;
    char *saved; /* state to resume from, or NULL */
} gv_task_t;

typedef enum {
    GV_JOB_QUEUED,
    GV_JOB_RUNNING,
    GV_JOB_DONE,
    GV_JOB_FAILED,
    GV_JOB_CANCELLED
} gv_job_state_t;

typedef struct {
    gv_str_t id;
    gv_str_t queue;   /* name of the queue that it was submitted to */
    gv_str_t service; /* that ran the queue's jobs when it was accepted */
    gv_str_t spec;    /* passed to every task; opaque here */
    gv_str_t account; /* client account that submitted it; empty: none */
    int attempts;     /* failed runs of one task that fail the job */
    int priority;     /* 0 goes first */
    /* An occurrence is due objective_ms + stretch * the run time of its
       longest chain of steps after its begin. */
    int objective_ms;
    double stretch;
    int64_t accepted_ms; /* wall clock of the entry host that accepted it */
    int n_steps;
    gv_step_t *steps;
    int occurrences;  /* times that the steps run; at least 1 */
    bool timed;       /* occurrences start at set times */
    int64_t first_ms; /* wall clock; occurrence K starts K intervals later */
    int64_t interval_ms;

    /* Progress */
    bool cancelled;
    bool failed;
    bool begun; /* some task was placed and its target did not refuse it */
    int64_t ended_ms; /* wall clock; 0: has not ended */
    int tasks_per_occurrence;
    int n_tasks;
    int n_done;
    gv_task_t *tasks; /* ordered by occurrence, step and index */
} gv_job_t;

/* Position of a task within its job. */
typedef struct {
    int occurrence;
    int step;
    int index;
} gv_task_place_t;

gv_job_t *GvJob_New(void);
void GvJob_Free(gv_job_t *job);
int GvJob_Prepare(gv_job_t *job);
size_t GvJob_Bytes(const gv_job_t *job);
gv_job_state_t GvJob_State(const gv_job_t *job);
const char *GvJob_StateName(gv_job_state_t state);
bool GvJob_Ended(const gv_job_t *job);
bool GvJob_HasPlaced(const gv_job_t *job);
bool GvJob_IsLongRunning(const gv_job_t *job);
bool GvJob_IsId(gv_str_t id);
bool GvJob_MayAccess(const gv_job_t *job, gv_str_t account,
                     gv_str_t open_queue);
int GvJob_TaskOf(const gv_job_t *job, gv_task_place_t at);
gv_task_place_t GvJob_PlaceOf(const gv_job_t *job, int task);
const gv_step_t *GvJob_StepOf(const gv_job_t *job, int task);
bool GvJob_AddFailedRun(gv_job_t *job, int task, uint32_t run);
int GvJob_CountFailedRuns(const gv_job_t *job, int task);
bool GvJob_StepDone(const gv_job_t *job, int occurrence, int step);
bool GvJob_StepReady(const gv_job_t *job, int occurrence, int step,
                     int64_t wall_ms);

bool GvResources_Equal(gv_resources_t a, gv_resources_t b);
bool GvResources_Fit(gv_resources_t need, gv_resources_t free);
void GvResources_Add(gv_resources_t *to, gv_resources_t add);
void GvResources_Subtract(gv_resources_t *from, gv_resources_t take);

#endif
