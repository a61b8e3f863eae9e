#ifndef GV_RUN_TIME_H
#define GV_RUN_TIME_H

#include <stdbool.h>
#include <stdint.h>

#include <msgpack.h>

#include "job.h"

/* Learns from finished runs how long the tasks of a step take: a distribution
   for each combination of queue, image and shape of the step, and for each
   queue that of the ratio of real to declared time. No input or output and no
   clock. */

typedef struct gv_run_times_s gv_run_times_t;

/* Whether a target is slow: the mean of the newest runs' deviations from what
   was expected of them, as logarithms to base 2. */
typedef struct {
    int runs; /* at most GV_RUN_PACE_RUNS */
    double deviation;
} gv_run_pace_t;

/* A run that has ended as done. */
typedef struct {
    int64_t ms;
    bool resumed; /* from a saved state: only a part of the task */
    bool warming; /* its target was slow after its start */
    bool distant; /* its target was not in the rack of the task's data */
} gv_finished_run_t;

typedef enum {
    GV_RUN_TIME_DECLARED,  /* as the caller says */
    GV_RUN_TIME_CORRECTED, /* as the caller says, times the usual ratio */
    GV_RUN_TIME_QUEUE,     /* by runs of the queue */
    GV_RUN_TIME_SHAPE,     /* by runs of such steps of the queue */
    GV_RUN_TIME_IMAGE      /* by runs of such steps with the same image */
} gv_run_time_source_t;

typedef struct {
    gv_run_time_source_t source;
    double typical_ms; /* half of the runs take longer */
    double high_ms;    /* a tenth of the runs takes longer */
} gv_run_time_t;

gv_run_times_t *GvRunTimes_New(void);
void GvRunTimes_Free(gv_run_times_t *rt);
void GvRunTimes_Add(gv_run_times_t *rt, const gv_job_t *job,
                    const gv_step_t *step, const gv_finished_run_t *run,
                    gv_run_pace_t *pace);
gv_run_time_t GvRunTimes_Expect(gv_run_times_t *rt, const gv_job_t *job,
                                const gv_step_t *step);
bool GvRunPace_IsSlow(const gv_run_pace_t *pace);
int GvRunTimes_Count(const gv_run_times_t *rt);

bool GvRunTimes_HasChanged(const gv_run_times_t *rt);
void GvRunTimes_Pack(gv_run_times_t *rt, msgpack_sbuffer *out);
int GvRunTimes_Read(gv_run_times_t *rt, gv_str_t bytes);

#endif
