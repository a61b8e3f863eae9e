#include "limits.h"
#include "sched_private.h"

/* Targets of the scheduler: sends holds that renew the leases of their runs,
   and drops runs whose lease has ended. */

/* Forgets the numbers of ends: a new incarnation starts again at the first. */
void
GvSched_ResetEnds(gv_sched_target_t *tgt)
{
    tgt->ends_applied = 0;
    tgt->ends_batched = 0;
    tgt->ends_stored = 0;
    tgt->ends_acked = 0;
}

/* Returns true if a confirmed run may be one of a target's new incarnation:
   only an answer that does not name the incarnation has confirmed it. */
bool
GvSched_MayBeNew(const gv_run_t *r)
{
    return r->phase == GV_RUN_ACTIVE && !r->identified;
}

/* A target was restarted under the same identifier. Runs that its former
   incarnation has confirmed ended with it. Answers to starts need not name the
   incarnation: a run that only such an answer has confirmed may be one of the
   new incarnation, and is kept until the next answer to a hold lists or misses
   it, as is a run of an earlier scheduler. A start that was on its way may be
   carried out by the new one, so that run is stopped there. One that was not
   ordered yet is dropped: a hold that is still on its way could make the new
   incarnation forget its end. */
void
GvSched_HandleRestart(gv_sched_t *s, gv_sched_target_t *tgt,
                      int64_t started_ms, int64_t now_ms)
{
    gv_loss_t loss = GvSched_LossOf(tgt);
    tgt->pace = (gv_run_pace_t){0};
    GvSched_CoverFormerDeadlines(s, tgt, now_ms);
    if (loss == GV_LOSS_CRASHED) {
        GvSched_CountCrashes(s, tgt, true, now_ms);
    }
    for (guint i = tgt->runs->len; i > 0; i--) {
        gv_run_t *r = g_ptr_array_index(tgt->runs, i - 1);
        switch (r->phase) {
        case GV_RUN_ACTIVE:
            if (GvSched_MayBeNew(r)) {
                r->phase = GV_RUN_UNCONFIRMED;
                r->confirmed_ms = 0;
            }
            else {
                GvSched_LoseRun(s, r, loss, "target was restarted", now_ms);
            }
            break;
        case GV_RUN_STORING:
            GvSched_LoseRun(s, r, loss, "target was restarted", now_ms);
            break;
        case GV_RUN_SENDING:
            GvSched_StopRun(s, r, "target was restarted", now_ms);
            break;
        case GV_RUN_STOPPING:
            r->confirmed_ms = 0;
            break;
        case GV_RUN_UNCONFIRMED:
            break;
        }
    }
    GvSched_ResetEnds(tgt);
    tgt->former_start_ms = tgt->started_ms;
    tgt->started_ms = started_ms;
    tgt->started_known_ms = now_ms;
    tgt->on_listed_host = false;
    tgt->synced = false;
    tgt->clock_read_ms = 0; /* no deadline before its clock is read */
    GvSched_FailCrashers(s, now_ms);
}

/* Returns true if a target has to be sent holds: it has runs, has to be told
   which ends are stored, or its clock has to be read. */
static bool
needs_hold(const gv_sched_target_t *tgt)
{
    return tgt->runs->len > 0 || tgt->n_strays > 0 ||
           tgt->ends_stored > tgt->ends_acked ||
           (tgt->listed && (!tgt->synced || tgt->clock_needed));
}

/* Returns true if runs are being cleared from a target whose resources are not
   known to be free until it lists them no more: withdrawn runs and strays. */
bool
GvSched_IsSettling(const gv_sched_target_t *tgt)
{
    if (tgt->n_strays > 0) {
        return true;
    }
    for (guint i = 0; i < tgt->runs->len; i++) {
        if (((const gv_run_t *)g_ptr_array_index(tgt->runs, i))->withdrawn) {
            return true;
        }
    }
    return false;
}

/* Sends a hold. The target may delay its answer until a run ends, except while
   it is not synced, an end is not stored yet, runs are being cleared or the
   hold before failed. */
static void
send_hold(gv_sched_t *s, gv_sched_target_t *tgt, int64_t now_ms)
{
    bool unstored = tgt->ends_applied > tgt->ends_stored;
    gv_hold_order_t o = {
        .target = tgt->id,
        .addr = tgt->info.addr.p,
        /* Numbers of a former incarnation would make a new one forget ends. */
        .ends_stored = tgt->clock_went_back ? 0 : tgt->ends_stored,
        .wait_ms = tgt->runs->len > 0 && tgt->synced && !unstored &&
                           tgt->hold_failures == 0 && !GvSched_IsSettling(tgt)
                       ? GV_SCHED_HOLD_WAIT_MS
                       : 0,
        .retry = tgt->hold_failures > 0,
    };
    if (GvSched_IsRenewed(tgt) && GvSched_MayRenew(s, tgt, now_ms)) {
        o.deadline_ms = GvSched_NewLease(s, tgt, now_ms);
    }
    tgt->hold_pending = true;
    tgt->hold_sent_ms = now_ms;
    tgt->ends_acked = o.ends_stored;
    s->o.ops.hold(s->o.ops.user, &o);
}

/* Drops the runs of a target whose leases have ended. Those whose start was
   not ordered yet have no lease and stay. */
static void
drop_expired_runs(gv_sched_t *s, gv_sched_target_t *tgt, int64_t now_ms)
{
    for (guint i = tgt->runs->len; i > 0; i--) {
        gv_run_t *r = g_ptr_array_index(tgt->runs, i - 1);
        if (r->phase != GV_RUN_STORING) {
            GvSched_LoseRun(s, r, GV_LOSS_UNANSWERED,
                            "lease ended without an answer from the target",
                            now_ms);
            tgt->synced = false;
        }
    }
}

/* Returns true if a run of a long-running task is known to be fully started:
   its target answers and has listed it at 100 percent lately. */
static bool
is_available(const gv_run_t *r, int64_t now_ms)
{
    return r != NULL && r->phase == GV_RUN_ACTIVE && r->listed &&
           r->percent >= 100 && r->tgt->hold_failures == 0 &&
           now_ms - r->tgt->hold_answered_ms < GV_SCHED_LIST_MAX_AGE_MS;
}

/* Returns true if stops by an earlier leader may still end runs that are
   listed as live. */
static bool
stops_may_follow(const gv_sched_t *s, int64_t now_ms)
{
    return s->o.epoch > 1 && now_ms - s->o.now_ms < GV_SCHED_STOP_SHOWS_MS;
}

/* Returns true if a run may be stopped by planned work, such as maintenance:
   with it, at most max_unavailable tasks of its step are not available, or
   there is no such limit. */
bool
GvSched_MayStop(const gv_sched_t *s, const gv_run_t *r, int64_t now_ms)
{
    const gv_active_job_t *a = r->active;
    const gv_step_t *step = GvJob_StepOf(a->job, r->task);
    int first = r->task - GvJob_PlaceOf(a->job, r->task).index;
    int away = 0;
    if (step->max_unavailable == 0) {
        return true;
    }
    if (stops_may_follow(s, now_ms)) {
        return false;
    }
    for (int i = first; i < first + step->count; i++) {
        away += i != r->task && !is_available(a->runs[i], now_ms) ? 1 : 0;
    }
    return away < step->max_unavailable;
}

/* Stops runs on a target to empty it: those of long-running tasks as far as
   the limit of their step allows, and with short_too also all others. Returns
   the number of runs that are left. */
int
GvSched_Evacuate(gv_sched_t *s, gv_str_t target, bool short_too,
                 int64_t now_ms)
{
    char *name = g_strndup(target.p, target.n);
    gv_sched_target_t *tgt = GvSched_FindTarget(s, name);
    g_free(name);
    if (tgt == NULL) {
        return 0;
    }
    for (guint i = tgt->runs->len; i > 0; i--) {
        gv_run_t *r = g_ptr_array_index(tgt->runs, i - 1);
        if (r->phase == GV_RUN_STOPPING ||
            (r->active->long_running ? !GvSched_MayStop(s, r, now_ms)
                                     : !short_too)) {
            continue;
        }
        GvSched_StopRun(s, r, "target is being emptied", now_ms);
    }
    return (int)tgt->runs->len;
}

/* Drops the runs of a target if their leases have ended, repeats stops that
   were not confirmed, and sends a hold if one is due. */
static void
update_target(gv_sched_t *s, gv_sched_target_t *tgt, int64_t now_ms)
{
    if (tgt->runs->len > 0 && now_ms > GvSched_LeaseEndMs(s, tgt, now_ms)) {
        drop_expired_runs(s, tgt, now_ms);
    }
    for (guint i = 0; i < tgt->runs->len; i++) {
        gv_run_t *r = g_ptr_array_index(tgt->runs, i);
        if (r->phase == GV_RUN_STOPPING && !r->order_pending &&
            r->confirmed_ms == 0 && now_ms >= r->next_stop_ms) {
            GvSched_SendStop(s, r, now_ms);
        }
    }
    /* While an end is being stored, the target would answer a hold at once, so
       holds are sent at the interval of their wait only. */
    bool storing = tgt->ends_applied > tgt->ends_stored;
    int64_t due = storing ? tgt->hold_sent_ms + GV_SCHED_HOLD_WAIT_MS
                          : tgt->hold_next_ms;
    if (!tgt->hold_pending && needs_hold(tgt) && tgt->info.addr.n > 0 &&
        now_ms >= due) {
        send_hold(s, tgt, now_ms);
    }
}

/* Returns true if nothing is to be remembered of a target: it is not listed
   and has no runs and no lease, and no order to it may still be carried out.
 */
static bool
may_forget(const gv_sched_t *s, const gv_sched_target_t *tgt, int64_t now_ms)
{
    return !tgt->listed && tgt->runs->len == 0 && !tgt->hold_pending &&
           !tgt->update_due && !tgt->end_listed && !tgt->end_batched &&
           !GvSched_HasLateOrder(tgt, now_ms) &&
           now_ms > GvSched_LeaseEndMs(s, tgt, now_ms);
}

/* Updates the targets that an event has changed. Every GV_SCHED_SWEEP_MS
   updates all, because leases end with time alone, and removes those of which
   nothing is to be remembered. Returns when to call again if no
   event comes before. */
int64_t
GvSched_UpdateTargets(gv_sched_t *s, int64_t now_ms)
{
    GHashTableIter it;
    gpointer value;
    for (guint i = 0; i < s->due_targets->len; i++) {
        gv_sched_target_t *tgt = g_ptr_array_index(s->due_targets, i);
        tgt->update_due = false; /* updates may add it again, at the end */
        update_target(s, tgt, now_ms);
    }
    g_ptr_array_set_size(s->due_targets, 0);
    if (now_ms - s->swept_ms < GV_SCHED_SWEEP_MS) {
        return s->swept_ms + GV_SCHED_SWEEP_MS;
    }
    s->swept_ms = now_ms;
    g_hash_table_iter_init(&it, s->targets);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        gv_sched_target_t *tgt = value;
        update_target(s, tgt, now_ms);
        if (may_forget(s, tgt, now_ms)) {
            GvSched_RemoveFromService(tgt);
            GvSched_ForgetHost(s, tgt);
            g_hash_table_iter_remove(&it);
        }
    }
    return now_ms + GV_SCHED_SWEEP_MS;
}

/* Returns true if the target's clock was read so lately that deadlines on it
   can be set. */
bool
GvSched_IsClockFresh(const gv_sched_target_t *tgt, int64_t now_ms)
{
    return tgt->synced && tgt->hold_failures == 0 &&
           now_ms - tgt->clock_read_ms < GV_SCHED_CLOCK_VALID_MS;
}
