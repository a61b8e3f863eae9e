#include "evlog.h"
#include "limits.h"
#include "sched_private.h"

/* Targets of the scheduler: holding their leases and ending what has
   lapsed. */

static void
forget_ends(gv_sched_target_t *tgt)
{
    tgt->noted = 0;
    tgt->noted_batch = 0;
    tgt->noted_stored = 0;
    tgt->noted_told = 0;
}

/* Ends all runs on a target that is gone, and whose orders no other target
   will carry out. */
void
GvSched_DropTargetRuns(gv_sched_t *s, gv_sched_target_t *tgt, const char *why)
{
    for (guint i = tgt->runs->len; i > 0; i--) {
        GvSched_DropRun(s, g_ptr_array_index(tgt->runs, i - 1), why);
    }
    forget_ends(tgt);
}

/* A target was started anew under its identifier. Confirmed runs ended with
   its former life. An order that was on its way may be carried out by the new
   life: that run is stopped there, or looked for in its first list. */
void
GvSched_HandleRestart(gv_sched_t *s, gv_sched_target_t *tgt, int64_t born,
                      int64_t now_ms)
{
    for (guint i = tgt->runs->len; i > 0; i--) {
        gv_run_t *r = g_ptr_array_index(tgt->runs, i - 1);
        switch (r->phase) {
        case GV_RUN_ACTIVE:
            GvSched_DropRun(s, r, "target was started anew");
            break;
        case GV_RUN_SENDING:
            GvSched_StopRun(s, r, "target was started anew", now_ms);
            break;
        case GV_RUN_STOPPING:
            r->known_ms = 0;
            break;
        case GV_RUN_STORING:
        case GV_RUN_INHERITED:
            break;
        }
    }
    forget_ends(tgt);
    tgt->born = born;
    tgt->synced = false;
}

static bool
needs_hold(const gv_sched_target_t *tgt)
{
    return tgt->runs->len > 0 || tgt->noted_stored > tgt->noted_told ||
           (tgt->listed && (!tgt->synced || tgt->wanted));
}

static void
send_hold(gv_sched_t *s, gv_sched_target_t *tgt, int64_t now_ms)
{
    bool known = tgt->answered_ms > 0;
    bool unstored = tgt->noted > tgt->noted_stored;
    gv_hold_order_t o = {
        .target = tgt->id,
        .addr = tgt->info.addr.p,
        .noted = tgt->noted_stored,
        .wait_ms = tgt->runs->len > 0 && tgt->synced && !unstored &&
                           tgt->hold_failures == 0
                       ? GV_SCHED_HOLD_WAIT_MS
                       : 0,
        .retry = tgt->hold_failures > 0,
    };
    /* A target that did not answer is asked without a new lease: otherwise
       the lease of one that is gone would never be known to have ended. */
    if (known && tgt->runs->len > 0 && tgt->hold_failures == 0) {
        o.deadline_ms = GvSched_NewLease(s, tgt, now_ms);
    }
    tgt->hold_open = true;
    tgt->hold_sent_ms = now_ms;
    tgt->noted_told = tgt->noted_stored;
    s->o.ops.hold(s->o.ops.user, &o);
}

/* Drops the runs whose lease has ended for certain; those that were not
   ordered yet have none. */
static void
lapse_runs(gv_sched_t *s, gv_sched_target_t *tgt)
{
    for (guint i = tgt->runs->len; i > 0; i--) {
        gv_run_t *r = g_ptr_array_index(tgt->runs, i - 1);
        if (r->phase != GV_RUN_STORING) {
            GvSched_DropRun(s, r, "lease ended without contact");
            tgt->synced = false;
        }
    }
}

/* Tells whether a lasting run is known to be at work: its target said so
   lately and answers. */
static bool
at_work(const gv_run_t *r, int64_t now_ms)
{
    return r != NULL && r->phase == GV_RUN_ACTIVE && r->listed &&
           r->percent >= 100 && r->tgt->hold_failures == 0 &&
           now_ms - r->tgt->held_ms < GV_SCHED_LIST_MAX_AGE_MS;
}

/* Tells whether a run may be stopped by planned work: so few tasks of its
   step are away that one more is allowed. */
bool
GvSched_MayStop(const gv_run_t *r, int64_t now_ms)
{
    const gv_active_job_t *a = r->job;
    const gv_step_t *step = GvJob_StepOf(a->job, r->task);
    int first = r->task - GvJob_PlaceOf(a->job, r->task).index;
    int away = 0;
    if (step->max_unavailable == 0) {
        return true;
    }
    for (int i = first; i < first + step->count; i++) {
        away += i != r->task && !at_work(a->runs[i], now_ms) ? 1 : 0;
    }
    return away < step->max_unavailable;
}

/* Ends what has lapsed on one target, repeats its stops and holds it. */
static void
step_target(gv_sched_t *s, gv_sched_target_t *tgt, int64_t now_ms)
{
    if (tgt->runs->len > 0 && now_ms > tgt->lease_until_ms) {
        lapse_runs(s, tgt);
    }
    for (guint i = 0; i < tgt->runs->len; i++) {
        gv_run_t *r = g_ptr_array_index(tgt->runs, i);
        if (r->phase == GV_RUN_STOPPING && !r->open && r->known_ms == 0 &&
            now_ms >= r->next_ms) {
            GvSched_SendStop(s, r, now_ms);
        }
    }
    /* While an end is being stored the hold would return at once. */
    bool storing = tgt->noted > tgt->noted_stored;
    int64_t due = storing ? tgt->hold_sent_ms + GV_SCHED_HOLD_WAIT_MS
                          : tgt->hold_next_ms;
    if (!tgt->hold_open && needs_hold(tgt) && tgt->info.addr.n > 0 &&
        now_ms >= due) {
        send_hold(s, tgt, now_ms);
    }
}

/* Steps every target; one that is gone and empty is forgotten. Returns when
   to come back without an event. */
int64_t
GvSched_UpdateTargets(gv_sched_t *s, int64_t now_ms)
{
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, s->targets);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        gv_sched_target_t *tgt = value;
        step_target(s, tgt, now_ms);
        if (!tgt->listed && tgt->runs->len == 0 && !tgt->hold_open &&
            now_ms > tgt->lease_until_ms) {
            g_hash_table_iter_remove(&it);
        }
    }
    return now_ms + GV_SCHED_TICK_MS;
}

/* Tells whether the target's clock is known well enough to set deadlines. */
bool
GvSched_IsClockFresh(const gv_sched_target_t *tgt, int64_t now_ms)
{
    return tgt->synced && tgt->hold_failures == 0 &&
           now_ms - tgt->answered_ms < GV_SCHED_CLOCK_VALID_MS;
}
