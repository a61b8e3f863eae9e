#include <string.h>

#include "counter.h"
#include "evlog.h"
#include "limits.h"
#include "sched_private.h"

/* Runs of tasks, from their placement to their end. */

/* Returns what a run takes of the target's free resources. */
static gv_resources_t
charged_resources(const gv_step_t *step)
{
    gv_resources_t need = step->need;
    if (step->uses_leftover_cpu) {
        need.cpu = 0;
    }
    return need;
}

/* Returns the kind of log lines about runs of the job. */
gv_evlog_kind_t
GvSched_LogKind(const gv_active_job_t *a)
{
    return a->long_running ? GV_EVLOG_RARE : GV_EVLOG_ROUTINE;
}

/* Adds a run of a task on a target, under that number, which takes the
   target's room. The progress of the job is left as it is: GvSched_RecordRun
   or GvSched_UndoRun has to follow for a new placement (GV_RUN_STORING). */
gv_run_t *
GvSched_ReserveRun(gv_sched_t *s, gv_active_job_t *a, int task,
                   gv_sched_target_t *tgt, gv_run_phase_t phase,
                   uint32_t number, int64_t now_ms)
{
    gv_run_t *r = g_new0(gv_run_t, 1);
    r->tgt = tgt;
    r->active = a;
    r->task = task;
    r->run = number;
    r->need = charged_resources(GvJob_StepOf(a->job, task));
    r->phase = phase;
    r->placed_ms = now_ms;
    r->isolated = a->job->tasks[task].suspect;
    r->former = a->job->tasks[task].target;
    tgt->n_isolated += r->isolated ? 1 : 0;
    a->runs[task] = r;
    a->n_runs++;
    GvResources_Add(&tgt->used, r->need);
    GvSched_ChargeAccount(r);
    tgt->n_long_running += a->long_running ? 1 : 0;
    g_ptr_array_add(tgt->runs, r);
    GvSched_UpdateSoon(s, tgt);
    return r;
}

/* Records a new placement in the progress of the job, which is to be stored
   before the run is started. */
void
GvSched_RecordRun(gv_sched_t *s, gv_run_t *r)
{
    gv_task_t *t = &r->active->job->tasks[r->task];
    GvSched_SetTaskState(r->active, r->task, GV_TASK_PLACED);
    t->run = r->run;
    t->target = r->tgt->id;
    t->target_started_ms = r->tgt->started_ms;
    t->confirmed = false;
    r->active->job->begun = true;
    GvSched_MarkDirty(s, r->active);
    g_ptr_array_add(s->unbatched, r);
}

/* Removes a run from its job and its target, whose room it frees. */
static void
detach_run(gv_run_t *r)
{
    GvResources_Subtract(&r->tgt->used, r->need);
    r->tgt->n_long_running -= r->active->long_running ? 1 : 0;
    r->tgt->n_isolated -= r->isolated ? 1 : 0;
    g_ptr_array_remove_fast(r->tgt->runs, r);
    r->active->runs[r->task] = NULL;
    r->active->n_runs--;
}

/* Undoes GvSched_ReserveRun. */
void
GvSched_UndoRun(gv_run_t *r)
{
    GvSched_UnchargeAccount(r);
    detach_run(r);
    g_free(r);
}

/* Adds a run of a task on a target, with the task's present run number. For a
   new placement (GV_RUN_STORING) the progress of the job is to be stored. */
gv_run_t *
GvSched_AddRun(gv_sched_t *s, gv_active_job_t *a, int task,
               gv_sched_target_t *tgt, gv_run_phase_t phase, int64_t now_ms)
{
    gv_run_t *r = GvSched_ReserveRun(s, a, task, tgt, phase,
                                     a->job->tasks[task].run, now_ms);
    if (phase == GV_RUN_STORING) {
        GvSched_RecordRun(s, r);
    }
    return r;
}

/* Some start of the job is confirmed, or was under an earlier scheduler. */
void
GvSched_NoteBegun(gv_sched_t *s, gv_active_job_t *a)
{
    a->started = true;
    if (!a->job->begun) {
        a->job->begun = true;
        GvSched_MarkDirty(s, a);
    }
}

/* Removes a run that is certainly not live; an unfinished task waits again. */
void
GvSched_DropRun(gv_sched_t *s, gv_run_t *r, const char *why)
{
    gv_active_job_t *a = r->active;
    gv_task_t *t = &a->job->tasks[r->task];
    if (why != NULL) {
        char name[GV_TASK_NAME_BYTES];
        GvSched_TaskName(a->job, r->task, name, sizeof name);
        GvEvlog_WriteKind(GvSched_LogKind(a), "dropped",
                          "task=%s run=%u target=%s why=\"%s\"", name, r->run,
                          r->tgt->id, why);
    }
    if (t->state == GV_TASK_PLACED) {
        GvSched_SetTaskState(a, r->task, GV_TASK_WAITING);
        GvSched_MarkDirty(s, a);
    }
    GvSched_CreditAccount(r);
    detach_run(r);
    g_ptr_array_remove_fast(s->unbatched, r);
    g_ptr_array_remove_fast(s->batched, r);
    if (a->n_runs == 0 && !a->started) {
        a->job->begun = false; /* no start was carried out */
    }
    if (a->n_runs == 0 && GvJob_Ended(a->job) && !a->end_due) {
        a->end_due = true;
        g_ptr_array_add(s->ended_jobs, a);
    }
    GvSched_PlaceSoon(a->service);
    GvSched_PlaceSoon(r->tgt->service);
    GvSched_UpdateSoon(s, r->tgt);
    g_free(r);
}

/* Returns why the first order to start a run must not be sent any more, or
   NULL: things may have changed while its record was being stored. */
static const char *
start_obstacle(const gv_sched_t *s, const gv_run_t *r, const char *ticket,
               int64_t now_ms)
{
    const gv_queue_info_t *q = GvSched_QueueOf(s, r->active->job);
    if (s->packed_ms != 0) {
        return "the lease to schedule is given up";
    }
    if (GvJob_Ended(r->active->job)) {
        return "job ended before the start";
    }
    if (q != NULL && q->needs_advice && ticket == NULL) {
        return "ticket expired before the start";
    }
    if (!r->tgt->listed || r->tgt->info.draining) {
        return "target left before the start";
    }
    if (!GvSched_KnowsRoom(s, r->tgt->service, now_ms)) {
        return "records of targets too old";
    }
    if (!GvResources_Fit(r->tgt->used, r->tgt->info.room)) {
        return "target shrank before the start";
    }
    if (GvSched_IsOverLowered(r)) {
        return "limit of the account was lowered before the start";
    }
    return NULL;
}

/* Orders a start whose record is stored, unless something has changed since
   its placement. */
void
GvSched_SendStart(gv_sched_t *s, gv_run_t *r, int64_t now_ms)
{
    gv_task_t *t = &r->active->job->tasks[r->task];
    const char *ticket =
        GvSched_FindTicket(s, r->active->job, r->task, r->tgt->id, now_ms);
    const char *obstacle = start_obstacle(s, r, ticket, now_ms);
    if (obstacle != NULL && r->maybe_started) {
        GvSched_SettleUnanswered(s, r, obstacle, now_ms);
        return;
    }
    if (obstacle != NULL) {
        GvSched_DropRun(s, r, obstacle);
        return;
    }
    r->phase = GV_RUN_SENDING;
    r->order_pending = true;
    r->tries++;
    r->sent_ms = now_ms;
    r->resumed = t->saved != NULL;
    gv_start_order_t o = {
        .target = r->tgt->id,
        .addr = r->tgt->info.addr.p,
        .job = r->active->job,
        .task = r->task,
        .run = r->run,
        .deadline_ms = GvSched_NewLease(s, r->tgt, now_ms),
        .saved = t->saved,
        .ticket = ticket,
        .retry = r->tries > 1,
    };
    s->o.ops.start(s->o.ops.user, &o);
}

/* Orders a stop; update_target repeats it until it is confirmed. */
void
GvSched_SendStop(gv_sched_t *s, gv_run_t *r, int64_t now_ms)
{
    char name[GV_TASK_NAME_BYTES];
    GvSched_TaskName(r->active->job, r->task, name, sizeof name);
    r->order_pending = true;
    r->tries++;
    r->next_stop_ms = now_ms + GV_SCHED_STOP_REPEAT_MS;
    gv_stop_order_t o = {.target = r->tgt->id,
                         .addr = r->tgt->info.addr.p,
                         .task = name,
                         .run = r->run};
    s->o.ops.stop(s->o.ops.user, &o);
}

/* Stops a run. One whose start was not ordered yet is dropped at once. */
void
GvSched_StopRun(gv_sched_t *s, gv_run_t *r, const char *why, int64_t now_ms)
{
    if (r->phase == GV_RUN_STOPPING) {
        return;
    }
    if (r->phase == GV_RUN_STORING) {
        GvSched_DropRun(s, r, why);
        return;
    }
    char name[GV_TASK_NAME_BYTES];
    GvSched_TaskName(r->active->job, r->task, name, sizeof name);
    GvEvlog_WriteKind(GvSched_LogKind(r->active), "stop",
                      "task=%s run=%u target=%s why=\"%s\"", name, r->run,
                      r->tgt->id, why);
    r->phase = GV_RUN_STOPPING;
    r->tries = 0;
    r->confirmed_ms = 0;
    GvSched_SendStop(s, r, now_ms);
}

/* Stops every run of a job. */
void
GvSched_StopJob(gv_sched_t *s, gv_active_job_t *a, const char *why,
                int64_t now_ms)
{
    for (int i = 0; i < a->job->n_tasks; i++) {
        if (a->runs[i] != NULL) {
            GvSched_StopRun(s, a->runs[i], why, now_ms);
        }
    }
}

static void
mark_done(gv_sched_t *s, gv_active_job_t *a, int task)
{
    if (a->job->tasks[task].state != GV_TASK_DONE) {
        GvSched_SetTaskState(a, task, GV_TASK_DONE);
        a->job->n_done++;
        GvSched_MarkDirty(s, a);
        GvSched_PlaceSoon(a->service);
    }
}

/* Returns true if such an end of a run ends its task. A long-running task is
   started again however its runs end. */
bool
GvSched_EndsTask(const gv_active_job_t *a, int task, gv_end_kind_t how)
{
    return how == GV_END_DONE && !GvJob_StepOf(a->job, task)->long_running;
}

/* Marks a task as done, or every task of its gang. */
void
GvSched_MarkDone(gv_sched_t *s, gv_active_job_t *a, int task)
{
    const gv_step_t *step = GvJob_StepOf(a->job, task);
    if (!step->gang) {
        mark_done(s, a, task);
        return;
    }
    gv_task_place_t at = GvJob_PlaceOf(a->job, task);
    int first = task - at.index;
    for (int i = 0; i < step->count; i++) {
        mark_done(s, a, first + i);
    }
}

/* A job fails: its runs are stopped and no more are started. */
void
GvSched_FailJob(gv_sched_t *s, gv_active_job_t *a, const char *why,
                int64_t now_ms)
{
    if (!GvJob_Ended(a->job)) {
        a->job->failed = true;
        GvSched_MarkDirty(s, a);
        GvSched_StopJob(s, a, why, now_ms);
    }
}

/* Counts a failed run of a task, unless it was counted before or the task is
   done. The job fails if its task, or its gang, has failed as often as the
   queue allows. */
void
GvSched_CountFailure(gv_sched_t *s, gv_active_job_t *a, int task, uint32_t run,
                     int64_t now_ms)
{
    const gv_step_t *step = GvJob_StepOf(a->job, task);
    if (a->job->tasks[task].state == GV_TASK_DONE ||
        !GvJob_AddFailedRun(a->job, task, run)) {
        return;
    }
    int failures = GvJob_CountFailedRuns(a->job, task);
    GvSched_MarkDirty(s, a);
    if (!step->long_running && failures >= GvSched_AttemptsOf(s, a->job) &&
        !GvJob_Ended(a->job)) {
        GvEvlog_Write("failed", "job=%.*s failures=%d attempts=%d",
                      GV_STR_ARG(a->job->id), failures,
                      GvSched_AttemptsOf(s, a->job));
        GvSched_FailJob(s, a, "job failed", now_ms);
    }
}

/* Keeps the newest state from which a task can resume. */
void
GvSched_SetSavedState(gv_active_job_t *a, int task, gv_str_t saved)
{
    gv_task_t *t = &a->job->tasks[task];
    if (saved.n > 0) {
        g_free(t->saved);
        t->saved = g_strndup(saved.p, saved.n);
    }
}

/* Counts a target's failed runs since the last one that was done. After
   GV_SCHED_FAILURES it gets no new runs for GV_SCHED_AVOID_MS. */
static void
update_failures(gv_sched_target_t *tgt, gv_end_kind_t how, int64_t now_ms)
{
    if (how == GV_END_DONE) {
        tgt->failures = 0;
    }
    if (how != GV_END_FAILED) {
        return;
    }
    tgt->failures++;
    if (tgt->failures >= GV_SCHED_FAILURES) {
        tgt->avoid_until_ms = now_ms + GV_SCHED_AVOID_MS;
        GvEvlog_Write("avoid", "target=%s failures=%d for_ms=%d", tgt->id,
                      tgt->failures, GV_SCHED_AVOID_MS);
    }
}

/* Handles the end of a run that its target has listed. */
void
GvSched_EndRun(gv_sched_t *s, gv_run_t *r, const gv_ended_t *e, int64_t now_ms)
{
    static const char *const names[] = {"done",   "failed", "stopped",
                                        "lapsed", "broken", "alone"};
    gv_active_job_t *a = r->active;
    int task = r->task;
    uint32_t run = r->run;
    GvEvlog_WriteKind(GvSched_LogKind(a), "end",
                      "task=%.*s run=%u target=%s how=%s ms=%lld",
                      GV_STR_ARG(e->task), r->run, r->tgt->id, names[e->how],
                      (long long)(now_ms - r->placed_ms));
    update_failures(r->tgt, e->how, now_ms);
    GvSched_NoteBegun(s, a);
    GvSched_SetSavedState(a, task, e->saved);
    if (GvSched_EndsTask(a, task, e->how)) {
        GvSched_MarkDone(s, a, task);
        GvLoads_AddRun(s->loads, a->job->queue, now_ms - r->placed_ms);
        GvSched_LearnRun(s, r, now_ms);
    }
    GvSched_DropRun(s, r, NULL);
    if (e->how == GV_END_FAILED) {
        GvSched_CountFailure(s, a, task, run, now_ms);
    }
}
