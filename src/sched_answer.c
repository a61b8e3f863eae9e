#include <string.h>

#include "counter.h"
#include "evlog.h"
#include "limits.h"
#include "sched_private.h"

/* Answers of targets to starts, stops and holds. */

GV_HISTOGRAM(start_ms, "run_start_ms",
             "From the placement of a run to its confirmed start");
GV_HISTOGRAM(first_start_ms, "job_first_start_ms",
             "From the acceptance of a job to its first confirmed start");

/* Notes whether a target has answered. */
static void
note_silence(gv_sched_target_t *tgt, bool silent, bool broken, int64_t now_ms)
{
    if (!silent) {
        tgt->answered_ms = now_ms;
        tgt->silent_since_ms = 0;
        tgt->broken_ms = 0;
        return;
    }
    if (tgt->silent_since_ms == 0) {
        tgt->silent_since_ms = now_ms;
    }
    if (broken && tgt->broken_ms == 0) {
        tgt->broken_ms = now_ms;
    }
}

/* Returns true if the clock in the answer to an order that was sent at sent_ms
   is behind the one that was read before: that of a new incarnation begins
   anew. */
static bool
is_clock_behind(const gv_sched_target_t *tgt, const gv_order_answer_t *a,
                int64_t sent_ms, int64_t now_ms)
{
    int64_t drift_ms =
        (now_ms - tgt->clock_read_ms) * GV_SCHED_SLOW_CLOCK_PERCENT / 100;
    return a->clock_ms != 0 && tgt->clock_read_ms != 0 &&
           a->clock_ms < tgt->clock_offset_ms + sent_ms - drift_ms -
                             GV_SCHED_CLOCK_JUMP_MS;
}

/* Checks who answered, and takes the target's clock from the answer. Returns
   false for an answer that must not be used any further. If the incarnation
   before has ended, its crash is counted by the time at which it fell silent.
   The run or the hold was last ordered at ordered_ms. */
static bool
apply_answer(gv_sched_t *s, gv_sched_target_t *tgt, const gv_order_answer_t *a,
             int64_t ordered_ms, int64_t now_ms)
{
    int64_t sent_ms = a->sent_ms == 0 ? ordered_ms : a->sent_ms;
    if (a->result == GV_ORDER_FENCED) {
        GvEvlog_Write("fenced", "target=%s epoch=%llu", tgt->id,
                      (unsigned long long)s->o.epoch);
        s->fenced = true;
        return false;
    }
    bool silent =
        a->result == GV_ORDER_NO_ANSWER || a->result == GV_ORDER_NOT_SENT;
    if (a->result == GV_ORDER_NO_ANSWER) {
        tgt->unanswered_ms = MAX(tgt->unanswered_ms, sent_ms);
    }
    bool restarted = a->started_ms != 0 && tgt->started_ms != 0 &&
                     a->started_ms != tgt->started_ms;
    if (a->result == GV_ORDER_OTHER_INSTANCE &&
        sent_ms <= tgt->started_known_ms) {
        return false; /* the order went to the address of a former one */
    }
    if (a->result == GV_ORDER_OTHER_INSTANCE) {
        GvSched_DropTargetRuns(s, tgt, GvSched_LossOf(tgt),
                               "another target answers", now_ms);
        note_silence(tgt, false, false, now_ms);
        tgt->synced = false;
        tgt->listed = false;
        return false;
    }
    if (restarted && a->started_ms < tgt->started_ms &&
        sent_ms <= tgt->started_known_ms) {
        /* From an earlier incarnation. A later one may also have an earlier
           start, as its wall clock may have been set back. */
        return false;
    }
    if (restarted) {
        GvSched_HandleRestart(s, tgt, a->started_ms, now_ms);
    }
    note_silence(tgt, silent, a->broken, now_ms);
    if (a->started_ms != 0 && tgt->started_ms == 0) {
        tgt->started_ms = a->started_ms;
        tgt->started_known_ms = now_ms;
    }
    if (a->started_ms != 0) {
        tgt->clock_went_back = false;
    }
    else if (is_clock_behind(tgt, a, sent_ms, now_ms)) {
        tgt->clock_went_back = true;
        tgt->synced = false;
    }
    if (a->clock_ms != 0) {
        tgt->clock_offset_ms = a->clock_ms - now_ms;
        tgt->clock_read_ms = now_ms;
    }
    return !restarted;
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

/* Notes the answer to an order about a run. Returns the run, or NULL if the
   answer must not be used or the run is gone. */
static gv_run_t *
find_answered(gv_sched_t *s, const char *target, const char *task,
              uint32_t run, const gv_order_answer_t *a, int64_t now_ms)
{
    gv_sched_target_t *tgt = GvSched_FindTarget(s, target);
    gv_run_t *r = find_run(s, target, task, run);
    int64_t sent_ms = now_ms;
    if (r != NULL) {
        r->order_pending = false; /* also if an earlier incarnation answers */
        sent_ms = r->sent_ms == 0 ? now_ms : r->sent_ms;
    }
    if (tgt != NULL) {
        GvSched_UpdateSoon(s, tgt);
    }
    if (tgt == NULL || !apply_answer(s, tgt, a, sent_ms, now_ms)) {
        return NULL;
    }
    return find_run(s, target, task, run);
}

/* Handles a run whose start may have been carried out, but got no answer. A
   long-running task may be at work by now, and a stop would end it: the next
   hold shows whether it is live. Any other is stopped, so that it can start
   elsewhere soon, as is one that is not wanted on its target. */
void
GvSched_SettleUnanswered(gv_sched_t *s, gv_run_t *r, const char *why,
                         int64_t now_ms)
{
    char name[GV_TASK_NAME_BYTES];
    const gv_sched_target_t *tgt = r->tgt;
    if (!r->active->long_running || GvJob_Ended(r->active->job) ||
        tgt->info.draining || !GvResources_Fit(tgt->used, tgt->info.room)) {
        GvSched_StopRun(s, r, why, now_ms);
        return;
    }
    GvSched_TaskName(r->active->job, r->task, name, sizeof name);
    GvEvlog_WriteKind(GvSched_LogKind(r->active), "unconfirmed",
                      "task=%s run=%u target=%s why=\"%s\"", name, r->run,
                      tgt->id, why);
    r->phase = GV_RUN_UNCONFIRMED;
    r->tgt->hold_next_ms = MIN(r->tgt->hold_next_ms, now_ms);
    GvSched_UpdateSoon(s, r->tgt);
}

/* The newest order to start a run was certainly not carried out: drops the
   run, unless an earlier order may be carried out. The target is avoided. */
static void
start_refused(gv_sched_t *s, gv_run_t *r, const char *why, int avoid_ms,
              int64_t now_ms)
{
    r->tgt->avoid_until_ms = MAX(r->tgt->avoid_until_ms, now_ms + avoid_ms);
    if (r->maybe_started) {
        GvSched_SettleUnanswered(s, r, why, now_ms);
    }
    else {
        GvSched_DropRun(s, r, why);
    }
}

/* Repeats a start without an answer, up to GV_SCHED_START_TRIES. */
static void
start_unanswered(gv_sched_t *s, gv_run_t *r, int64_t now_ms)
{
    r->maybe_started = true;
    if (!r->active->started && r->active->job->begun) {
        r->active->job->begun = false; /* until some start is confirmed */
        GvSched_MarkDirty(s, r->active);
    }
    if (r->tries < GV_SCHED_START_TRIES) {
        GvSched_SendStart(s, r, now_ms);
        return;
    }
    r->tgt->avoid_until_ms =
        MAX(r->tgt->avoid_until_ms, now_ms + GV_SCHED_TARGET_BACKOFF_MS);
    GvSched_SettleUnanswered(s, r, "target did not answer the start", now_ms);
}

static void
record_start(gv_sched_t *s, gv_run_t *r, int64_t now_ms)
{
    GvHistogram_Observe(&start_ms, now_ms - r->placed_ms);
    if (!r->active->started && !r->active->job->timed) {
        GvHistogram_Observe(&first_start_ms,
                            s->wall_ms - r->active->job->accepted_ms);
    }
    GvSched_NoteBegun(s, r->active);
    r->started_ms = now_ms;
    GvSched_NoteStart(s, r);
}

/* Handles the answer to a start. */
void
GvSched_HandleStartAnswer(gv_sched_t *s, const char *target, const char *task,
                          uint32_t run, const gv_order_answer_t *a,
                          int64_t now_ms)
{
    gv_run_t *r = find_answered(s, target, task, run, a, now_ms);
    if (r == NULL) {
        return;
    }
    if (r->phase != GV_RUN_SENDING) {
        return;
    }
    switch (a->result) {
    case GV_ORDER_DONE:
        r->phase = GV_RUN_ACTIVE;
        r->confirmed_ms = now_ms;
        r->identified = a->started_ms != 0;
        record_start(s, r, now_ms);
        GvEvlog_WriteKind(GvSched_LogKind(r->active), "start",
                          "task=%s run=%u target=%s tries=%d", task, run,
                          target, r->tries);
        return;
    case GV_ORDER_NO_ANSWER:
        start_unanswered(s, r, now_ms);
        return;
    case GV_ORDER_OLD_RUN:
        /* This run was started before; the next hold shows if it has ended. */
        r->phase = GV_RUN_ACTIVE;
        r->confirmed_ms = now_ms;
        r->started_ms = now_ms;
        GvSched_NoteStart(s, r);
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
        r->tgt->synced = false;
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
    gv_run_t *r = find_answered(s, target, task, run, a, now_ms);
    if (r == NULL) {
        return;
    }
    if (r->phase == GV_RUN_STOPPING && a->result == GV_ORDER_DONE) {
        r->confirmed_ms = now_ms;
    }
    if (a->result == GV_ORDER_NO_ANSWER && a->broken && r->tries == 1) {
        r->next_stop_ms = now_ms; /* a kept connection may have been closed */
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
    if (!tgt->end_listed) {
        tgt->end_listed = true;
        g_ptr_array_add(s->ended_targets, tgt);
    }
    gv_run_t *r = a == NULL ? NULL : a->runs[task];
    if (r != NULL && r->run == e->run && r->tgt == tgt) {
        GvSched_EndRun(s, r, e, now_ms);
        return true;
    }
    if (a != NULL && e->how == GV_END_FAILED) {
        /* An earlier run, dropped as lost, or one that an earlier scheduler
           has counted. */
        GvEvlog_Write("end", "task=%.*s run=%u target=%s how=failed late=1",
                      GV_STR_ARG(e->task), e->run, tgt->id);
        GvSched_CountFailure(s, a, task, e->run, now_ms);
        return true;
    }
    if (a != NULL && GvSched_EndsTask(a, task, e->how) &&
        a->job->tasks[task].state != GV_TASK_DONE) {
        /* An earlier run, dropped as lost, had ended as done. */
        GvEvlog_Write("end", "task=%.*s run=%u target=%s how=done late=1",
                      GV_STR_ARG(e->task), e->run, tgt->id);
        GvSched_MarkDone(s, a, task);
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
        tgt->n_unread++;
        return;
    }
    if (r == NULL || r->run != x->run || r->tgt != tgt) {
        tgt->n_strays++;
        stop_stray(s, tgt, x, now_ms);
        return;
    }
    r->listed = true;
    r->identified = true;
    r->started_ms = r->started_ms == 0 ? now_ms : r->started_ms;
    GvSched_NoteBegun(s, a);
    r->percent = x->percent;
    GvSched_NoteStart(s, r);
    GvSched_ClearSuspect(s, r, now_ms);
    GvSched_CheckStanding(s, r, now_ms);
    GvSched_SetSavedState(a, task, x->saved);
    if (r->phase == GV_RUN_UNCONFIRMED ||
        (r->phase == GV_RUN_SENDING && !r->order_pending)) {
        r->phase = GV_RUN_ACTIVE;
        r->confirmed_ms = now_ms;
    }
}

/* Returns true if a run whose stop is never confirmed, as its target answers
   stops with errors, can no longer be started late. */
static bool
is_past_late_start(const gv_sched_t *s, const gv_run_t *r)
{
    return r->phase == GV_RUN_STOPPING &&
           r->tgt->hold_sent_ms - MAX(r->sent_ms, s->o.now_ms) >
               GV_SCHED_LATE_ORDER_MS;
}

/* Drops the runs that the target should have listed and has not: those whose
   newest order it had confirmed before this hold was sent. An unconfirmed run
   whose start was sent before is stopped first: the start may still be on its
   way, and a target need not check its fence. */
static void
drop_missing(gv_sched_t *s, gv_sched_target_t *tgt, int64_t now_ms)
{
    for (guint i = tgt->runs->len; i > 0; i--) {
        gv_run_t *r = g_ptr_array_index(tgt->runs, i - 1);
        bool settled =
            (r->phase == GV_RUN_ACTIVE || r->phase == GV_RUN_STOPPING) &&
            r->confirmed_ms > 0 && r->confirmed_ms < tgt->hold_sent_ms;
        if (!r->listed && r->phase == GV_RUN_UNCONFIRMED &&
            r->sent_ms < tgt->hold_sent_ms) {
            r->withdrawn = true;
            GvSched_CountEarlierCrash(s, r, now_ms);
            GvSched_StopRun(s, r, "not listed, may be started late", now_ms);
        }
        else if (!r->listed && (settled || is_past_late_start(s, r))) {
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
    bool was_usable = GvSched_IsClockFresh(tgt, now_ms) &&
                      tgt->n_strays == 0 && tgt->n_unread == 0;
    tgt->hold_pending = false;
    GvSched_UpdateSoon(s, tgt);
    bool ours = apply_answer(s, tgt, &a->answer, tgt->hold_sent_ms, now_ms);
    if (!ours || a->answer.result != GV_ORDER_DONE) {
        if (tgt->hold_failures++ == 0) {
            GvEvlog_Write("target", "target=%s hold failed result=%d", tgt->id,
                          a->answer.result);
        }
        tgt->broken_holds = a->answer.broken ? tgt->broken_holds + 1 : 0;
        tgt->hold_next_ms = now_ms + GV_SCHED_HOLD_RETRY_MS;
        return;
    }
    tgt->hold_failures = 0;
    tgt->broken_holds = 0;
    tgt->hold_answered_ms = now_ms;
    GvSched_ReplaceOnHost(s, tgt, now_ms);
    tgt->synced = true;
    tgt->clock_needed = false;
    tgt->hold_next_ms = now_ms;
    for (guint i = 0; i < tgt->runs->len; i++) {
        ((gv_run_t *)g_ptr_array_index(tgt->runs, i))->listed = false;
    }
    tgt->n_strays = 0;
    tgt->n_unread = 0;
    bool all_ends = true;
    for (int i = 0; all_ends && i < a->n_ended; i++) {
        all_ends = apply_end(s, tgt, &a->ended[i], now_ms);
    }
    for (int i = 0; i < a->n_running; i++) {
        apply_running(s, tgt, &a->running[i], now_ms);
    }
    if (all_ends && a->ends_cut) {
        /* A run that is not listed may be among the ends that follow: the
           target lists these once the first ones are stored. */
        GvEvlog_Write("target", "target=%s list of ends is cut after %d",
                      tgt->id, a->n_ended);
    }
    else if (all_ends) {
        drop_missing(s, tgt, now_ms);
        GvSched_FailCrashers(s, now_ms);
        if (GvSched_IsSettling(tgt)) {
            tgt->hold_next_ms = now_ms + GV_SCHED_SETTLE_MS;
        }
    }
    else {
        tgt->hold_next_ms = now_ms + GV_SCHED_HOLD_RETRY_MS;
    }
    if (!was_usable) {
        GvSched_PlaceSoon(tgt->service);
    }
}
