#include "job.h"

#include <glib.h>

#include "error.h"
#include "limits.h"

/* Returns a job without steps that has one occurrence. */
gv_job_t *
GvJob_New(void)
{
    gv_job_t *job = g_new0(gv_job_t, 1);
    job->occurrences = 1;
    job->attempts = 1;
    job->stretch = 1;
    return job;
}

/* Releases a job and all that it holds; NULL is allowed. */
void
GvJob_Free(gv_job_t *job)
{
    if (job == NULL) {
        return;
    }
    for (int i = 0; i < job->n_steps; i++) {
        g_free(job->steps[i].after);
        GvStr_Free(&job->steps[i].label);
        GvStr_Free(&job->steps[i].rack);
        GvStr_Free(&job->steps[i].image);
    }
    for (int i = 0; job->tasks != NULL && i < job->n_tasks; i++) {
        g_free(job->tasks[i].saved);
        GvFailedRuns_Clear(&job->tasks[i].failed_runs);
    }
    g_free(job->steps);
    g_free(job->tasks);
    GvStr_Free(&job->id);
    GvStr_Free(&job->queue);
    GvStr_Free(&job->service);
    GvStr_Free(&job->spec);
    GvStr_Free(&job->account);
    g_free(job);
}

/* Returns true if the figures of a step are in range and it depends on earlier
   steps only. `number` is its own. */
static bool
step_valid(const gv_step_t *s, int number)
{
    if (s->count < 1 || s->count > GV_JOB_TASKS_MAX || s->need.cpu < 0 ||
        s->need.memory < 0 || s->need.gpu < 0) {
        return false;
    }
    for (int i = 0; i < s->n_after; i++) {
        if (s->after[i] < 0 || s->after[i] >= number) {
            return false;
        }
    }
    return true;
}

/* Checks a complete definition of a job and allocates its tasks. Returns 0,
   GV_EINVAL for a malformed definition, or GV_ETOOBIG for more than
   GV_JOB_TASKS_MAX tasks. */
int
GvJob_Prepare(gv_job_t *job)
{
    int64_t each = 0;
    if (job->n_steps < 1 || job->occurrences < 1 || !GvJob_IsId(job->id) ||
        job->spec.n > GV_JOB_SPEC_BYTES) {
        return GV_EINVAL;
    }
    for (int i = 0; i < job->n_steps; i++) {
        if (!step_valid(&job->steps[i], i)) {
            return GV_EINVAL;
        }
        each += job->steps[i].count;
    }
    if (each * job->occurrences > GV_JOB_TASKS_MAX) {
        return GV_ETOOBIG;
    }
    job->tasks_per_occurrence = (int)each;
    job->n_tasks = (int)each * job->occurrences;
    job->tasks = g_new0(gv_task_t, (gsize)job->n_tasks);
    return GV_OK;
}

/* Returns about how much memory a complete job takes, with what the leader
   keeps for its tasks. It does not change with the job's progress. */
size_t
GvJob_Bytes(const gv_job_t *job)
{
    size_t bytes = sizeof *job + job->id.n + job->queue.n + job->service.n +
                   job->spec.n + job->account.n +
                   (size_t)job->n_tasks * GV_JOB_TASK_BYTES;
    for (int i = 0; i < job->n_steps; i++) {
        const gv_step_t *s = &job->steps[i];
        bytes += sizeof *s + (size_t)s->n_after * sizeof *s->after +
                 s->label.n + s->rack.n + s->image.n;
    }
    return bytes;
}

/* Returns the state that is reported to callers. */
gv_job_state_t
GvJob_State(const gv_job_t *job)
{
    if (job->n_done == job->n_tasks) {
        return GV_JOB_DONE;
    }
    if (job->cancelled) {
        return GV_JOB_CANCELLED;
    }
    if (job->failed) {
        return GV_JOB_FAILED;
    }
    return job->begun ? GV_JOB_RUNNING : GV_JOB_QUEUED;
}

/* Returns the name of a state, as sent to callers and logged. */
const char *
GvJob_StateName(gv_job_state_t state)
{
    switch (state) {
    case GV_JOB_QUEUED:
        return "queued";
    case GV_JOB_RUNNING:
        return "running";
    case GV_JOB_DONE:
        return "done";
    case GV_JOB_FAILED:
        return "failed";
    case GV_JOB_CANCELLED:
        return "cancelled";
    }
    return "unknown";
}

/* Returns true if no further task of the job will start. */
bool
GvJob_Ended(const gv_job_t *job)
{
    return job->cancelled || job->failed || job->n_done == job->n_tasks;
}

/* Returns true if some task has a run that may still exist on its target. */
bool
GvJob_HasPlaced(const gv_job_t *job)
{
    for (int i = 0; i < job->n_tasks; i++) {
        if (job->tasks[i].state == GV_TASK_PLACED) {
            return true;
        }
    }
    return false;
}

/* Returns true if some step runs until the job is cancelled. */
bool
GvJob_IsLongRunning(const gv_job_t *job)
{
    for (int i = 0; i < job->n_steps; i++) {
        if (job->steps[i].long_running) {
            return true;
        }
    }
    return false;
}

/* Returns true if id has the form of a job's identifier: GV_JOB_ID_BYTES hex
   digits. */
bool
GvJob_IsId(gv_str_t id)
{
    if (id.n != GV_JOB_ID_BYTES) {
        return false;
    }
    for (size_t i = 0; i < id.n; i++) {
        if (!g_ascii_isxdigit(id.p[i])) {
            return false;
        }
    }
    return true;
}

/* Returns the number of a task within its job, or -1 if there is none at that
   position. */
int
GvJob_TaskOf(const gv_job_t *job, gv_task_place_t at)
{
    int task = at.occurrence * job->tasks_per_occurrence;
    if (at.occurrence < 0 || at.occurrence >= job->occurrences ||
        at.step < 0 || at.step >= job->n_steps || at.index < 0 ||
        at.index >= job->steps[at.step].count) {
        return -1;
    }
    for (int i = 0; i < at.step; i++) {
        task += job->steps[i].count;
    }
    return task + at.index;
}

gv_task_place_t
GvJob_PlaceOf(const gv_job_t *job, int task)
{
    gv_task_place_t at = {.occurrence = task / job->tasks_per_occurrence};
    int left = task % job->tasks_per_occurrence;
    while (left >= job->steps[at.step].count) {
        left -= job->steps[at.step].count;
        at.step++;
    }
    at.index = left;
    return at;
}

const gv_step_t *
GvJob_StepOf(const gv_job_t *job, int task)
{
    return &job->steps[GvJob_PlaceOf(job, task).step];
}

/* Returns true if a caller may see and cancel the job: it is of the caller's
   account or of none, or its queue is the open one that was asked. */
bool
GvJob_MayAccess(const gv_job_t *job, gv_str_t account, gv_str_t open_queue)
{
    return job->account.n == 0 || GvStr_Equal(job->account, account) ||
           (open_queue.n > 0 && GvStr_Equal(open_queue, job->queue));
}

/* Notes that a run of a task has failed. Returns false if that is known, or if
   it is a late run of a long-running task, whose failures are not counted, and
   another one is known. */
bool
GvJob_AddFailedRun(gv_job_t *job, int task, uint32_t run)
{
    gv_failed_runs_t *f = &job->tasks[task].failed_runs;
    if (GvJob_StepOf(job, task)->long_running) {
        run = MIN(run, GV_FAILED_RUNS_LATE);
    }
    return GvFailedRuns_Add(f, run);
}

/* Returns how many runs of a task have failed, or of its gang: all members run
   under one number, and that run counts once, however many of them failed. */
int
GvJob_CountFailedRuns(const gv_job_t *job, int task)
{
    const gv_step_t *step = GvJob_StepOf(job, task);
    int first = step->gang ? task - GvJob_PlaceOf(job, task).index : task;
    int n = step->gang ? step->count : 1;
    const gv_failed_runs_t **list = g_new(const gv_failed_runs_t *, (gsize)n);
    for (int i = 0; i < n; i++) {
        list[i] = &job->tasks[first + i].failed_runs;
    }
    int count = GvFailedRuns_Count(list, n);
    g_free(list);
    return count;
}

/* Returns true if all tasks of a step are done in that occurrence. */
bool
GvJob_StepDone(const gv_job_t *job, int occurrence, int step)
{
    int first = GvJob_TaskOf(job, (gv_task_place_t){occurrence, step, 0});
    for (int i = 0; i < job->steps[step].count; i++) {
        if (job->tasks[first + i].state != GV_TASK_DONE) {
            return false;
        }
    }
    return true;
}

/* Returns true if the tasks of a step may start: the occurrence is due, and
   all steps that this one depends on are done. */
bool
GvJob_StepReady(const gv_job_t *job, int occurrence, int step, int64_t wall_ms)
{
    const gv_step_t *s = &job->steps[step];
    if (job->timed &&
        wall_ms < job->first_ms + occurrence * job->interval_ms) {
        return false;
    }
    for (int i = 0; i < s->n_after; i++) {
        if (!GvJob_StepDone(job, occurrence, s->after[i])) {
            return false;
        }
    }
    return true;
}

bool
GvResources_Equal(gv_resources_t a, gv_resources_t b)
{
    return a.cpu == b.cpu && a.memory == b.memory && a.gpu == b.gpu;
}

/* Returns true if no resource of need exceeds that of free. */
bool
GvResources_Fit(gv_resources_t need, gv_resources_t free)
{
    return need.cpu <= free.cpu && need.memory <= free.memory &&
           need.gpu <= free.gpu;
}

void
GvResources_Add(gv_resources_t *to, gv_resources_t add)
{
    to->cpu += add.cpu;
    to->memory += add.memory;
    to->gpu += add.gpu;
}

void
GvResources_Subtract(gv_resources_t *from, gv_resources_t take)
{
    from->cpu -= take.cpu;
    from->memory -= take.memory;
    from->gpu -= take.gpu;
}
