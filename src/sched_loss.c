#include "counter.h"
#include "evlog.h"
#include "limits.h"
#include "sched_private.h"

/* Runs that are lost with their target, and tasks that crash it. Answers loads
   in which one task crashes each target that starts it: every other run there
   is lost as well, and started again beside the same task. A suspect is run
   alone, so that its next crash harms no other task and proves it. */

GV_COUNTER(targets_crashed, "targets_crashed_total",
           "Targets that ended without an order or notice");
GV_COUNTER(runs_lost_crashed, "runs_lost_crashed_total",
           "Runs lost with a target that crashed");
GV_COUNTER(runs_lost_planned, "runs_lost_planned_total",
           "Runs lost with a target that was taken down or drained");
GV_COUNTER(runs_lost_unanswered, "runs_lost_unanswered_total",
           "Runs whose lease ended without an answer from the target");

/* Returns why the runs of a target are lost whose incarnation has ended. Its
   host was not ordered away by this leader, which waits until it has no runs.
 */
gv_loss_t
GvSched_LossOf(const gv_sched_target_t *tgt)
{
    return tgt->info.draining ? GV_LOSS_PLANNED : GV_LOSS_CRASHED;
}

static void
count_loss(gv_loss_t loss)
{
    switch (loss) {
    case GV_LOSS_CRASHED:
        GvCounter_Add(&runs_lost_crashed, 1);
        return;
    case GV_LOSS_PLANNED:
        GvCounter_Add(&runs_lost_planned, 1);
        return;
    case GV_LOSS_UNANSWERED:
        GvCounter_Add(&runs_lost_unanswered, 1);
        return;
    }
}

/* Drops a run that was lost with its target; its task waits again. */
void
GvSched_LoseRun(gv_sched_t *s, gv_run_t *r, gv_loss_t loss, const char *why,
                int64_t now_ms)
{
    static const char *const names[] = {"crashed", "planned", "unanswered"};
    char name[GV_TASK_NAME_BYTES];
    int64_t end_ms =
        r->tgt->silent_since_ms == 0 ? now_ms : r->tgt->silent_since_ms;
    if (r->phase == GV_RUN_STORING) {
        GvSched_DropRun(s, r, why);
        return;
    }
    GvSched_TaskName(r->active->job, r->task, name, sizeof name);
    GvEvlog_WriteKind(
        GV_EVLOG_RARE, "lost",
        "task=%s run=%u target=%s loss=%s started=%d ran_ms=%lld "
        "beside=%u why=\"%s\"",
        name, r->run, r->tgt->id, names[loss], r->started_ms != 0,
        (long long)(r->sent_ms == 0 ? -1 : end_ms - r->sent_ms),
        r->tgt->runs->len - 1, why);
    count_loss(loss);
    GvSched_DropRun(s, r, NULL);
}

/* Returns true if a run of a long-running task has served for long enough, so
   that it is not what crashes the target. */
bool
GvSched_HasServed(const gv_run_t *r, int64_t now_ms)
{
    return r->active->long_running && r->percent >= 100 &&
           r->started_ms != 0 && now_ms - r->started_ms >= GV_SCHED_SERVED_MS;
}

/* Returns true if no other run on the target of this one may have crashed it:
   there was none, or all of them had served for long enough. */
static bool
was_alone(const gv_run_t *r, int64_t now_ms)
{
    const gv_sched_target_t *tgt = r->tgt;
    for (guint i = 0; i < tgt->runs->len; i++) {
        const gv_run_t *other = g_ptr_array_index(tgt->runs, i);
        if (other != r && other->phase != GV_RUN_STORING &&
            !GvSched_HasServed(other, now_ms)) {
            return false;
        }
    }
    return tgt->n_strays == 0 && tgt->n_unread == 0;
}

/* Returns how many crashes of its targets are counted against a task. */
int
GvSched_CrashesOf(const gv_task_t *t)
{
    return t->crashes + t->doubtful + t->unconfirmed;
}

/* Returns true if the start of a run was confirmed, to this leader or to an
   earlier one. */
static bool
has_started(const gv_run_t *r)
{
    return r->started_ms != 0 || r->active->job->tasks[r->task].confirmed;
}

/* Returns true if a task counts as the cause of a crash of its target: this
   crash and an earlier one came soon after its start, now with no other task
   on the target; or there were too many crashes, of which this one counts
   twice if the task had started and nothing else ran there. A target that has
   not answered the start may have crashed before the task ran. A long-running
   task only has to wait then, and its count begins anew once it has served, so
   that fewer suffice; beside others only those soon after its start count.
   While no connection has broken off, an answer that lists the end of the run
   may still arrive. */
static bool
is_proven(const gv_run_t *r, bool soon, bool alone)
{
    const gv_task_t *t = &r->active->job->tasks[r->task];
    if (soon && alone && t->crashes >= 2 && r->tgt->broken_ms != 0) {
        return true;
    }
    if (t->crashes >= GV_SCHED_CRASHES_MAX) {
        return true;
    }
    if (r->active->long_running) {
        return alone && GvSched_CrashesOf(t) >= GV_SCHED_SUSPECT_CRASHES;
    }
    return t->crashes + t->doubtful >= 1 &&
           GvSched_CrashesOf(t) + (alone && has_started(r) ? 1 : 0) >=
               GV_SCHED_DOUBTFUL_MAX;
}

/* Returns true if the crash of its target came soon after the start of a run:
   its connections broke off then, or it has answered until now. If it fell
   silent instead, the time of the crash is not known. */
static bool
came_soon(const gv_run_t *r, int64_t now_ms)
{
    const gv_sched_target_t *tgt = r->tgt;
    int64_t crash_ms = tgt->silent_since_ms == 0 ? now_ms : tgt->broken_ms;
    return r->started_ms != 0 && r->sent_ms != 0 && crash_ms != 0 &&
           crash_ms - r->sent_ms <= GV_SCHED_CRASH_SOON_MS;
}

/* A run has started. That of a suspect is stored: otherwise a leader that
   finds its target restarted could not tell whether the task was there. */
void
GvSched_NoteStart(gv_sched_t *s, const gv_run_t *r)
{
    gv_task_t *t = &r->active->job->tasks[r->task];
    if (t->suspect && !t->confirmed) {
        t->confirmed = true;
        GvSched_MarkDirty(s, r->active);
    }
}

/* Returns true if an earlier leader has counted a crash against a run that it
   has placed. */
static bool
was_counted(const gv_run_t *r)
{
    const gv_task_t *t = &r->active->job->tasks[r->task];
    return r->sent_ms == 0 && t->target_started_ms == 0;
}

/* Counts a crash of a run's target against its task. One soon after its start,
   or after a start by an earlier leader, makes it a suspect; any other may
   have another cause, or come after an unknown end of the run, and makes it
   one after GV_SCHED_SUSPECT_CRASHES. So does one that may have been planned
   work of an earlier leader. */
static void
count_crash(gv_sched_t *s, gv_run_t *r, bool maybe_planned, int64_t now_ms)
{
    gv_active_job_t *a = r->active;
    gv_task_t *t = &a->job->tasks[r->task];
    const gv_sched_target_t *tgt = r->tgt;
    int64_t end_ms = tgt->silent_since_ms == 0 ? now_ms : tgt->silent_since_ms;
    if (r->phase == GV_RUN_STORING || r->crash_counted || was_counted(r) ||
        GvSched_HasServed(r, end_ms) || GvJob_Ended(a->job)) {
        return;
    }
    bool soon = came_soon(r, now_ms);
    bool alone = was_alone(r, end_ms);
    r->crash_counted = true;
    t->target_started_ms = 0; /* a new leader must not count it again */
    if (soon) {
        t->crashes++;
    }
    else if (has_started(r)) {
        t->doubtful++;
    }
    else {
        t->unconfirmed++;
    }
    t->suspect = t->suspect || soon || (r->sent_ms == 0 && !maybe_planned) ||
                 GvSched_CrashesOf(t) >= GV_SCHED_SUSPECT_CRASHES;
    a->has_suspects = a->has_suspects || t->suspect;
    GvSched_MarkDirty(s, a);
    if (t->suspect) {
        char name[GV_TASK_NAME_BYTES];
        GvSched_TaskName(a->job, r->task, name, sizeof name);
        GvEvlog_Write(
            "suspect",
            "task=%s target=%s crashes=%d doubtful=%d unconfirmed=%d "
            "alone=%d",
            name, tgt->id, t->crashes, t->doubtful, t->unconfirmed, alone);
    }
    if (is_proven(r, soon, alone) && a->long_running) {
        /* It has to run until it is cancelled; only its starts are spaced. */
        t->retry_ms = now_ms + GV_SCHED_CRASHER_WAIT_MS;
    }
    else if (is_proven(r, soon, alone)) {
        GvEvlog_Write(
            "failed", "job=%.*s crashes=%d doubtful=%d unconfirmed=%d",
            GV_STR_ARG(a->job->id), t->crashes, t->doubtful, t->unconfirmed);
        g_ptr_array_add(s->failing, a);
    }
}

/* Counts a crash of the target of a run that an earlier leader has placed, if
   the target was restarted since then. */
void
GvSched_CountEarlierCrash(gv_sched_t *s, gv_run_t *r, int64_t now_ms)
{
    const gv_task_t *t = &r->active->job->tasks[r->task];
    if (t->target_started_ms != 0 &&
        r->tgt->started_ms != t->target_started_ms) {
        count_crash(s, r, false, now_ms);
    }
}

/* Counts what may have been a crash of the target, or planned work. */
static void
count_doubtful_crashes(gv_sched_t *s, gv_sched_target_t *tgt, int64_t now_ms)
{
    for (guint i = 0; i < tgt->runs->len; i++) {
        count_crash(s, g_ptr_array_index(tgt->runs, i), true, now_ms);
    }
}

/* Counts the crash of a target against the tasks that may have run there.
   restarted: runs that its new incarnation may have started are left out.
   GvSched_FailCrashers has to follow, once no run of the target is used any
   more. */
void
GvSched_CountCrashes(gv_sched_t *s, gv_sched_target_t *tgt, bool restarted,
                     int64_t now_ms)
{
    for (guint i = 0; i < tgt->runs->len; i++) {
        gv_run_t *r = g_ptr_array_index(tgt->runs, i);
        if (!restarted || !GvSched_MayBeNew(r)) {
            count_crash(s, r, false, now_ms);
        }
    }
}

/* Fails the jobs with a task that crashes its targets. */
void
GvSched_FailCrashers(gv_sched_t *s, int64_t now_ms)
{
    for (guint i = 0; i < s->failing->len; i++) {
        GvSched_FailJob(s, g_ptr_array_index(s->failing, i),
                        "a task crashes its targets", now_ms);
    }
    g_ptr_array_set_size(s->failing, 0);
}

/* A run is listed. If its long-running task has served for long enough, it is
   no longer a suspect: earlier crashes had another cause. */
void
GvSched_ClearSuspect(gv_sched_t *s, gv_run_t *r, int64_t now_ms)
{
    gv_task_t *t = &r->active->job->tasks[r->task];
    if (GvSched_CrashesOf(t) == 0 || !GvSched_HasServed(r, now_ms)) {
        return;
    }
    t->crashes = 0;
    t->doubtful = 0;
    t->unconfirmed = 0;
    t->suspect = false;
    if (r->isolated) {
        r->isolated = false;
        r->tgt->n_isolated--;
        GvSched_PlaceSoon(r->tgt->service);
    }
    GvSched_MarkDirty(s, r->active);
}

/* Drops all runs on a target that is gone. Orders to it that are still on
   their way must not be carried out by any other target. */
void
GvSched_DropTargetRuns(gv_sched_t *s, gv_sched_target_t *tgt, gv_loss_t loss,
                       const char *why, int64_t now_ms)
{
    if (loss == GV_LOSS_CRASHED && tgt->listed) {
        GvCounter_Add(&targets_crashed, 1);
    }
    switch (loss) {
    case GV_LOSS_CRASHED:
        GvSched_CountCrashes(s, tgt, false, now_ms);
        break;
    case GV_LOSS_UNANSWERED:
        /* It is on no host: it crashed, or was taken down after stops that
           were not stored. */
        count_doubtful_crashes(s, tgt, now_ms);
        break;
    case GV_LOSS_PLANNED:
        break;
    }
    for (guint i = tgt->runs->len; i > 0; i--) {
        GvSched_LoseRun(s, g_ptr_array_index(tgt->runs, i - 1), loss, why,
                        now_ms);
    }
    GvSched_ResetEnds(tgt);
    tgt->n_strays = 0;
    tgt->n_unread = 0;
    GvSched_FailCrashers(s, now_ms);
}
