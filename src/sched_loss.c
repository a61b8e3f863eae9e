#include "counter.h"
#include "evlog.h"
#include "limits.h"
#include "sched_private.h"

/* Runs that are lost with their target, and why. */

GV_COUNTER(targets_crashed, "targets_crashed_total",
           "Targets that ended without an order or notice");
GV_COUNTER(runs_lost_crashed, "runs_lost_crashed_total",
           "Runs lost with a target that crashed");
GV_COUNTER(runs_lost_planned, "runs_lost_planned_total",
           "Runs lost with a target that was taken down or drained");
GV_COUNTER(runs_lost_unanswered, "runs_lost_unanswered_total",
           "Runs whose lease ended without an answer from the target");

/* Returns why the runs of a target are lost whose incarnation has ended. */
gv_loss_t
GvSched_LossOf(const gv_sched_target_t *tgt)
{
    return tgt->info.draining || tgt->reserved ? GV_LOSS_PLANNED
                                               : GV_LOSS_CRASHED;
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
    GvEvlog_Write("lost",
                  "task=%s run=%u target=%s loss=%s started=%d ran_ms=%lld "
                  "beside=%u why=\"%s\"",
                  name, r->run, r->tgt->id, names[loss], r->confirmed_ms > 0,
                  (long long)(r->sent_ms == 0 ? -1 : end_ms - r->sent_ms),
                  r->tgt->runs->len - 1, why);
    count_loss(loss);
    GvSched_DropRun(s, r, NULL);
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
    for (guint i = tgt->runs->len; i > 0; i--) {
        GvSched_LoseRun(s, g_ptr_array_index(tgt->runs, i - 1), loss, why,
                        now_ms);
    }
    GvSched_ResetEnds(tgt);
}
