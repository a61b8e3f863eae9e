#include <string.h>

#include "counter.h"
#include "evlog.h"
#include "limits.h"
#include "sched_private.h"

/* Runs of tasks, from their placement to their end. */

GV_HISTOGRAM(start_ms, "run_start_ms",
             "From the placement of a run to its confirmed start");
GV_HISTOGRAM(first_start_ms, "job_first_start_ms",
             "From the acceptance of a job to its first confirmed start");

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

/* Adds a run of a task on a target, with the task's present run number. For a
   new placement (GV_RUN_STORING) the progress of the job is to be stored. */
gv_run_t *
GvSched_AddRun(gv_sched_t *s, gv_active_job_t *a, int task,
               gv_sched_target_t *tgt, gv_run_phase_t phase, int64_t now_ms)
{
    gv_task_t *t = &a->job->tasks[task];
    gv_run_t *r = g_new0(gv_run_t, 1);
    r->tgt = tgt;
    r->active = a;
    r->task = task;
    r->need = charged_resources(GvJob_StepOf(a->job, task));
    r->phase = phase;
    r->placed_ms = now_ms;
    if (phase == GV_RUN_STORING) {
        t->state = GV_TASK_PLACED;
        t->target = tgt->id;
        a->job->begun = true;
        a->dirty = true;
        g_ptr_array_add(s->unbatched, r);
    }
    r->run = t->run;
    a->runs[task] = r;
    a->n_runs++;
    GvResources_Add(&tgt->used, r->need);
    tgt->n_long_running += a->long_running ? 1 : 0;
    g_ptr_array_add(tgt->runs, r);
    return r;
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
        GvEvlog_Write("dropped", "task=%s run=%u target=%s why=\"%s\"", name,
                      r->run, r->tgt->id, why);
    }
    if (t->state == GV_TASK_PLACED) {
        t->state = GV_TASK_WAITING;
        a->dirty = true;
    }
    GvResources_Subtract(&r->tgt->used, r->need);
    r->tgt->n_long_running -= a->long_running ? 1 : 0;
    g_ptr_array_remove_fast(r->tgt->runs, r);
    g_ptr_array_remove_fast(s->unbatched, r);
    g_ptr_array_remove_fast(s->batched, r);
    a->runs[r->task] = NULL;
    a->n_runs--;
    if (a->n_runs == 0 && !a->started) {
        a->job->begun = false; /* no start was carried out */
    }
    g_free(r);
    s->place_due = true;
}

/* Returns the end of a lease that begins now, on the target's clock, and sets
   lease_until_ms to when it has certainly ended there, with a slow clock. */
int64_t
GvSched_NewLease(const gv_sched_t *s, gv_sched_target_t *tgt, int64_t now_ms)
{
    int64_t until =
        now_ms + s->o.lease_ms + s->o.lease_ms / 50 + GV_SCHED_LEASE_SLACK_MS;
    tgt->lease_until_ms = MAX(tgt->lease_until_ms, until);
    return now_ms + tgt->clock_offset_ms + s->o.lease_ms;
}

/* Orders a start whose record is stored, unless its job or ticket has ended.
 */
void
GvSched_SendStart(gv_sched_t *s, gv_run_t *r, int64_t now_ms)
{
    gv_task_t *t = &r->active->job->tasks[r->task];
    if (GvJob_Ended(r->active->job)) {
        GvSched_DropRun(s, r, "job ended before the start");
        return;
    }
    const gv_queue_info_t *q = GvSched_QueueOf(s, r->active->job);
    const char *ticket =
        GvSched_FindTicket(s, r->active->job, r->task, r->tgt->id, now_ms);
    if (q != NULL && q->needs_advice && ticket == NULL && !r->maybe_started) {
        GvSched_DropRun(s, r, "ticket expired before the start");
        return;
    }
    r->phase = GV_RUN_SENDING;
    r->order_pending = true;
    r->tries++;
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
    GvEvlog_Write("stop", "task=%s run=%u target=%s why=\"%s\"", name, r->run,
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
mark_done(gv_active_job_t *a, int task)
{
    gv_task_t *t = &a->job->tasks[task];
    if (t->state != GV_TASK_DONE) {
        t->state = GV_TASK_DONE;
        a->job->n_done++;
        a->dirty = true;
    }
}

/* Marks a task as done, or every task of its gang. */
static void
mark_done_or_gang(gv_active_job_t *a, int task)
{
    const gv_step_t *step = GvJob_StepOf(a->job, task);
    if (!step->gang) {
        mark_done(a, task);
        return;
    }
    gv_task_place_t at = GvJob_PlaceOf(a->job, task);
    int first = task - at.index;
    for (int i = 0; i < step->count; i++) {
        mark_done(a, first + i);
    }
}

/* Counts a failed run. The job fails if its task, or all tasks of a gang
   together, have failed as often as the queue allows. */
static void
count_failure(gv_sched_t *s, gv_active_job_t *a, int task, int64_t now_ms)
{
    const gv_step_t *step = GvJob_StepOf(a->job, task);
    int failures = ++a->job->tasks[task].failures;
    if (step->gang) {
        int first = task - GvJob_PlaceOf(a->job, task).index;
        failures = 0;
        for (int i = 0; i < step->count; i++) {
            failures += a->job->tasks[first + i].failures;
        }
    }
    a->dirty = true;
    if (!step->long_running && failures >= GvSched_AttemptsOf(s, a->job) &&
        !GvJob_Ended(a->job)) {
        GvEvlog_Write("failed", "job=%.*s failures=%d attempts=%d",
                      GV_STR_ARG(a->job->id), failures,
                      GvSched_AttemptsOf(s, a->job));
        a->job->failed = true;
        GvSched_StopJob(s, a, "job failed", now_ms);
    }
}

static void
set_saved_state(gv_active_job_t *a, int task, gv_str_t saved)
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
    GvEvlog_Write("end", "task=%.*s run=%u target=%s how=%s ms=%lld",
                  GV_STR_ARG(e->task), r->run, r->tgt->id, names[e->how],
                  (long long)(now_ms - r->placed_ms));
    update_failures(r->tgt, e->how, now_ms);
    a->started = true;
    set_saved_state(a, task, e->saved);
    if (e->how == GV_END_DONE) {
        mark_done_or_gang(a, task);
        GvLoads_AddRun(s->loads, a->job->queue, now_ms - r->placed_ms);
    }
    GvSched_DropRun(s, r, NULL);
    if (e->how == GV_END_FAILED) {
        count_failure(s, a, task, now_ms);
    }
}

/* Checks who answered, and takes the target's clock from the answer. Returns
   false for an answer that must not be used any further. */
static bool
apply_answer(gv_sched_t *s, gv_sched_target_t *tgt, const gv_order_answer_t *a,
             int64_t now_ms)
{
    if (a->result == GV_ORDER_FENCED) {
        GvEvlog_Write("fenced", "target=%s epoch=%llu", tgt->id,
                      (unsigned long long)s->o.epoch);
        s->fenced = true;
        return false;
    }
    bool restarted = a->started_ms != 0 && tgt->started_ms != 0 &&
                     a->started_ms != tgt->started_ms;
    if (a->result == GV_ORDER_OTHER_INSTANCE) {
        GvSched_DropTargetRuns(s, tgt, "another target answers");
        tgt->synced = false;
        tgt->listed = false;
        return false;
    }
    if (restarted && a->started_ms < tgt->started_ms) {
        return false; /* from an earlier incarnation */
    }
    if (restarted) {
        GvSched_HandleRestart(s, tgt, a->started_ms, now_ms);
        return false;
    }
    if (a->started_ms != 0) {
        tgt->started_ms = a->started_ms;
    }
    if (a->clock_ms != 0) {
        tgt->clock_offset_ms = a->clock_ms - now_ms;
        tgt->clock_read_ms = now_ms;
    }
    return true;
}

static gv_run_t *
find_run(const gv_sched_t *s, const char *target, const char *name,
         uint32_t run)
{
    int task;
    gv_active_job_t *a = GvSched_FindTask(s, GvStr_C(name), &task);
    gv_run_t *r = a == NULL ? NULL : a->runs[task];
    if (r == NULL || r->run != run || strcmp(r->tgt->id, target) != 0) {
        return NULL;
    }
    return r;
}

/* A start was certainly not carried out: drops the run, or stops it if an
   earlier order to start it may be carried out. The target is avoided. */
static void
start_refused(gv_sched_t *s, gv_run_t *r, const char *why, int avoid_ms,
              int64_t now_ms)
{
    r->tgt->avoid_until_ms = MAX(r->tgt->avoid_until_ms, now_ms + avoid_ms);
    if (r->maybe_started) {
        GvSched_StopRun(s, r, why, now_ms);
    }
    else {
        GvSched_DropRun(s, r, why);
    }
}

/* Repeats a start without an answer, or stops the run after the last try. */
static void
start_unanswered(gv_sched_t *s, gv_run_t *r, int64_t now_ms)
{
    r->maybe_started = true;
    if (r->tries < GV_SCHED_START_TRIES) {
        GvSched_SendStart(s, r, now_ms);
        return;
    }
    r->tgt->avoid_until_ms = now_ms + GV_SCHED_TARGET_BACKOFF_MS;
    GvSched_StopRun(s, r, "target did not answer the start", now_ms);
}

static void
record_start(const gv_sched_t *s, gv_run_t *r, int64_t now_ms)
{
    GvHistogram_Observe(&start_ms, now_ms - r->placed_ms);
    if (!r->active->started && !r->active->job->timed) {
        GvHistogram_Observe(&first_start_ms,
                            s->wall_ms - r->active->job->accepted_ms);
    }
    r->active->started = true;
}

/* Handles the answer to a start. */
void
GvSched_HandleStartAnswer(gv_sched_t *s, const char *target, const char *task,
                          uint32_t run, const gv_order_answer_t *a,
                          int64_t now_ms)
{
    gv_sched_target_t *tgt = GvSched_FindTarget(s, target);
    if (tgt == NULL || !apply_answer(s, tgt, a, now_ms)) {
        return;
    }
    gv_run_t *r = find_run(s, target, task, run);
    if (r == NULL) {
        return;
    }
    r->order_pending = false;
    if (r->phase != GV_RUN_SENDING) {
        return;
    }
    switch (a->result) {
    case GV_ORDER_DONE:
        r->phase = GV_RUN_ACTIVE;
        r->confirmed_ms = now_ms;
        record_start(s, r, now_ms);
        GvEvlog_Write("start", "task=%s run=%u target=%s tries=%d", task, run,
                      target, r->tries);
        return;
    case GV_ORDER_NO_ANSWER:
        start_unanswered(s, r, now_ms);
        return;
    case GV_ORDER_OLD_RUN:
        /* This run was started before; the next hold shows if it has ended. */
        r->phase = GV_RUN_ACTIVE;
        r->confirmed_ms = now_ms;
        return;
    case GV_ORDER_NOT_SENT:
        start_refused(s, r, "target not reached", GV_SCHED_TARGET_BACKOFF_MS,
                      now_ms);
        return;
    case GV_ORDER_BUSY:
        start_refused(s, r, "target unhealthy", GV_SCHED_TARGET_BACKOFF_MS,
                      now_ms);
        return;
    case GV_ORDER_NO_ROOM:
        start_refused(s, r, "no room on target", GV_SCHED_FULL_BACKOFF_MS,
                      now_ms);
        return;
    case GV_ORDER_LATE:
        tgt->synced = false;
        start_refused(s, r, "deadline passed on target", 0, now_ms);
        return;
    case GV_ORDER_NO_TICKET:
        GvSched_DropTicket(s, r->active->job, r->task, target);
        start_refused(s, r, "ticket not accepted", 0, now_ms);
        return;
    case GV_ORDER_REFUSED:
        start_refused(s, r, "refused by target", GV_SCHED_TARGET_BACKOFF_MS,
                      now_ms);
        return;
    case GV_ORDER_FENCED:
    case GV_ORDER_OTHER_INSTANCE:
        return;
    }
}

/* Handles the answer to a stop. The run's resources stay taken until the
   target lists its end or no longer lists the run. */
void
GvSched_HandleStopAnswer(gv_sched_t *s, const char *target, const char *task,
                         uint32_t run, const gv_order_answer_t *a,
                         int64_t now_ms)
{
    gv_sched_target_t *tgt = GvSched_FindTarget(s, target);
    if (tgt == NULL || !apply_answer(s, tgt, a, now_ms)) {
        return;
    }
    gv_run_t *r = find_run(s, target, task, run);
    if (r == NULL) {
        return;
    }
    r->order_pending = false;
    if (r->phase == GV_RUN_STOPPING && a->result == GV_ORDER_DONE) {
        r->confirmed_ms = now_ms;
    }
}

/* Stops a listed run that is not known here; repeated until it is gone. */
static void
stop_stray(gv_sched_t *s, gv_sched_target_t *tgt, const gv_running_t *run,
           int64_t now_ms)
{
    char key[2 * GV_TASK_NAME_BYTES];
    char name[GV_TASK_NAME_BYTES];
    g_snprintf(name, sizeof name, "%.*s", GV_STR_ARG(run->task));
    g_snprintf(key, sizeof key, "%s %s %u", tgt->id, name, run->run);
    int64_t *last = g_hash_table_lookup(s->strays, key);
    if (last != NULL && now_ms < *last + GV_SCHED_STOP_REPEAT_MS) {
        return;
    }
    GvEvlog_Write("stray", "task=%s run=%u target=%s", name, run->run,
                  tgt->id);
    g_hash_table_replace(s->strays, g_strdup(key),
                         g_memdup2(&now_ms, sizeof now_ms));
    gv_stop_order_t o = {.target = tgt->id,
                         .addr = tgt->info.addr.p,
                         .task = name,
                         .run = run->run};
    s->o.ops.stop(s->o.ops.user, &o);
}

/* Handles one listed end. Returns false if its job may not have been read yet:
   the target then has to keep this end and all later ones. */
static bool
apply_end(gv_sched_t *s, gv_sched_target_t *tgt, const gv_ended_t *e,
          int64_t now_ms)
{
    int task;
    if (e->number <= tgt->ends_applied) {
        return true;
    }
    gv_active_job_t *a = GvSched_FindTask(s, e->task, &task);
    if (a == NULL && !s->jobs_loaded) {
        GvEvlog_Write("end", "task=%.*s run=%u target=%s job not read yet",
                      GV_STR_ARG(e->task), e->run, tgt->id);
        return false;
    }
    tgt->ends_applied = e->number;
    gv_run_t *r = a == NULL ? NULL : a->runs[task];
    if (r != NULL && r->run == e->run && r->tgt == tgt) {
        GvSched_EndRun(s, r, e, now_ms);
        return true;
    }
    if (a != NULL && e->how == GV_END_DONE &&
        a->job->tasks[task].state != GV_TASK_DONE) {
        /* An earlier run, dropped as lost, had ended as done. */
        GvEvlog_Write("end", "task=%.*s run=%u target=%s how=done late=1",
                      GV_STR_ARG(e->task), e->run, tgt->id);
        mark_done_or_gang(a, task);
        if (r != NULL) {
            GvSched_StopRun(s, r, "an earlier run had ended as done", now_ms);
        }
    }
    return true;
}

static void
apply_running(gv_sched_t *s, gv_sched_target_t *tgt, const gv_running_t *x,
              int64_t now_ms)
{
    int task;
    gv_active_job_t *a = GvSched_FindTask(s, x->task, &task);
    gv_run_t *r = a == NULL ? NULL : a->runs[task];
    if (a == NULL && !s->jobs_loaded) {
        return;
    }
    if (r == NULL || r->run != x->run || r->tgt != tgt) {
        stop_stray(s, tgt, x, now_ms);
        return;
    }
    r->listed = true;
    a->started = true;
    r->percent = x->percent;
    set_saved_state(a, task, x->saved);
    if (r->phase == GV_RUN_INHERITED ||
        (r->phase == GV_RUN_SENDING && !r->order_pending)) {
        r->phase = GV_RUN_ACTIVE;
        r->confirmed_ms = now_ms;
    }
}

/* Drops the runs that the target should have listed and has not: those whose
   newest order it had confirmed before this hold was sent. */
static void
drop_missing(gv_sched_t *s, gv_sched_target_t *tgt)
{
    for (guint i = tgt->runs->len; i > 0; i--) {
        gv_run_t *r = g_ptr_array_index(tgt->runs, i - 1);
        bool settled =
            r->phase == GV_RUN_INHERITED ||
            ((r->phase == GV_RUN_ACTIVE || r->phase == GV_RUN_STOPPING) &&
             r->confirmed_ms > 0 && r->confirmed_ms < tgt->hold_sent_ms);
        if (!r->listed && settled) {
            GvSched_DropRun(s, r, "not on its target");
        }
    }
}

/* Handles the answer to a hold: ends first, then live runs. */
void
GvSched_HandleHoldAnswer(gv_sched_t *s, const char *target,
                         const gv_hold_answer_t *a, int64_t now_ms)
{
    gv_sched_target_t *tgt = GvSched_FindTarget(s, target);
    if (tgt == NULL) {
        return;
    }
    tgt->hold_pending = false;
    bool ours = apply_answer(s, tgt, &a->answer, now_ms);
    if (!ours || a->answer.result != GV_ORDER_DONE) {
        if (tgt->hold_failures++ == 0) {
            GvEvlog_Write("target", "target=%s hold failed result=%d", tgt->id,
                          a->answer.result);
        }
        tgt->hold_next_ms = now_ms + GV_SCHED_HOLD_RETRY_MS;
        return;
    }
    tgt->hold_failures = 0;
    tgt->hold_answered_ms = now_ms;
    tgt->synced = true;
    tgt->clock_needed = false;
    tgt->hold_next_ms = now_ms;
    for (guint i = 0; i < tgt->runs->len; i++) {
        ((gv_run_t *)g_ptr_array_index(tgt->runs, i))->listed = false;
    }
    bool all_ends = true;
    for (int i = 0; all_ends && i < a->n_ended; i++) {
        all_ends = apply_end(s, tgt, &a->ended[i], now_ms);
    }
    for (int i = 0; i < a->n_running; i++) {
        apply_running(s, tgt, &a->running[i], now_ms);
    }
    if (all_ends) {
        drop_missing(s, tgt);
    }
    else {
        tgt->hold_next_ms = now_ms + GV_SCHED_HOLD_RETRY_MS;
    }
    s->place_due = true;
}
