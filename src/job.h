#ifndef GV_JOB_H
#define GV_JOB_H

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/* Jobs: steps of tasks that run on targets, and how far each task is. */

/* Room on a target, or what one task asks of it. */
typedef struct {
    int64_t cpu;    /* thousandths of a core */
    int64_t memory; /* MB */
    int64_t gpu;
} gv_resources_t;

typedef struct {
    int count; /* tasks */
    gv_resources_t need;
    int estimate_ms; /* declared run time of one task; rough */
    int *after;      /* earlier steps whose tasks must all be done first */
    int n_after;
    int max_per_target;  /* tasks of one occurrence on one target; 0: any */
    int max_unavailable; /* tasks that planned work may hold down at once */
    int tail_latency_goal_ms; /* a lasting task's bound on its response times
                               */
    bool checkpoint;          /* a run leaves states to resume from */
    bool gang;      /* all tasks run at the same time or none works */
    bool same_rack; /* slower on more than one rack */
    bool copies;    /* several runs of a task may exist at once */
    bool lasts;     /* runs until the job is cancelled */
    bool fills;     /* uses cpu that other tasks leave over */
    gv_str_t label; /* that the target must have; empty: any */
    gv_str_t rack;  /* where the data lies; empty: none */
    gv_str_t image; /* what the tasks run */
} gv_step_t;

typedef enum {
    GV_TASK_WAITING,
    GV_TASK_PLACED, /* a start on `target` was or may have been sent */
    GV_TASK_DONE
} gv_task_state_t;

typedef struct {
    gv_task_state_t state;
    int failures;       /* runs that ended as failed */
    uint32_t run;       /* number of the newest start; 0: none yet */
    const char *target; /* interned; of the newest start */
    char *saved;        /* state to resume from, or NULL */
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
    gv_str_t queue;      /* name of the queue that accepted it */
    gv_str_t service;    /* whose targets ran that queue then */
    gv_str_t spec;       /* passed to every task */
    int attempts;        /* failed runs of one task that fail the job */
    int priority;        /* 0 is first */
    int objective_ms;    /* on top of the stretched chain of work */
    double stretch;      /* allowed time as a multiple of the chain of work */
    int64_t accepted_ms; /* wall clock of the entry host that accepted it */
    int n_steps;
    gv_step_t *steps;
    int occurrences; /* times that the steps run; at least 1 */
    bool timed;
    int64_t first_ms; /* wall clock; occurrence K is due K intervals later */
    int64_t interval_ms;

    /* Progress */
    bool cancelled;
    bool failed;
    bool begun; /* some task was placed and not refused */
    int64_t ended_ms;
    int tasks_per_occurrence; /* tasks of one occurrence */
    int n_tasks;
    int n_done;
    gv_task_t *tasks; /* by occurrence, step and index */
} gv_job_t;

/* The place of a task within its job. */
typedef struct {
    int occurrence;
    int step;
    int index;
} gv_task_place_t;

gv_job_t *GvJob_New(void);
void GvJob_Free(gv_job_t *job);
int GvJob_Prepare(gv_job_t *job);
gv_job_state_t GvJob_State(const gv_job_t *job);
const char *GvJob_StateName(gv_job_state_t state);
bool GvJob_Ended(const gv_job_t *job);
bool GvJob_HasPlaced(const gv_job_t *job);
bool GvJob_IsLongRunning(const gv_job_t *job);
bool GvJob_IsId(gv_str_t id);
int GvJob_TaskOf(const gv_job_t *job, gv_task_place_t at);
gv_task_place_t GvJob_PlaceOf(const gv_job_t *job, int task);
const gv_step_t *GvJob_StepOf(const gv_job_t *job, int task);
bool GvJob_StepDone(const gv_job_t *job, int occurrence, int step);
bool GvJob_StepReady(const gv_job_t *job, int occurrence, int step,
                     int64_t wall_ms);

bool GvResources_Fit(gv_resources_t need, gv_resources_t free);
void GvResources_Add(gv_resources_t *to, gv_resources_t add);
void GvResources_Subtract(gv_resources_t *from, gv_resources_t take);

#endif
