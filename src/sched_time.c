#include "counter.h"
#include "evlog.h"
#include "limits.h"
#include "sched_private.h"

/* What the scheduler learns from finished runs and expects of the next ones.
   Without gv_sched_opts_t.learn_run_times nothing here has an effect. */

GV_COUNTER(learned, "run_times_learned_total",
           "Finished runs from which run times were learned");
GV_COUNTER(standing, "runs_standing_total",
           "Runs that took several times as long as nearly all others");
GV_COUNTER(slow_targets, "slow_targets_total",
           "Targets found to run tasks slowly");
GV_COUNTER(records, "run_times_records_total",
           "Records of learned run times passed on to be stored");

/* Takes the run times over that an earlier scheduler has stored. Returns 0 or
   a negative error for a malformed record, which is ignored. */
int
GvSched_LoadRunTimes(gv_sched_t *s, gv_str_t bytes)
{
    int rc = s->run_times == NULL ? 0 : GvRunTimes_Read(s->run_times, bytes);
    if (s->run_times != NULL) {
        GvEvlog_Write("run_times", "read=%d combinations=%d", rc == 0,
                      GvRunTimes_Count(s->run_times));
    }
    return rc;
}

/* Returns how long a task of the step is expected to run. With learned run
   times, tasks of the step that have ended say most; else the mean of its
   queue counts, or what the job declares. */
double
GvSched_ExpectedMs(const gv_sched_t *s, const gv_active_job_t *a, int step)
{
    const gv_job_t *job = a->job;
    if (s->run_times == NULL) {
        double mean = GvLoads_RunMs(s->loads, job->queue);
        return mean > 0 ? mean : job->steps[step].estimate_ms;
    }
    if (a->step_runs != NULL && a->step_runs[step].runs > 0) {
        return a->step_runs[step].mean_ms;
    }
    return GvRunTimes_Expect(s->run_times, job, &job->steps[step]).typical_ms;
}

/* Adds a whole run to those of its step. */
static void
add_step_run(gv_active_job_t *a, int step, double ms)
{
    if (a->step_runs == NULL) {
        a->step_runs = g_new0(gv_step_runs_t, (gsize)a->job->n_steps);
    }
    gv_step_runs_t *runs = &a->step_runs[step];
    runs->runs++;
    runs->mean_ms += (ms - runs->mean_ms) / runs->runs;
}

/* Returns true if the newest runs on a target took much longer than
   expected. */
bool
GvSched_IsSlow(const gv_sched_target_t *tgt, int64_t now_ms)
{
    return now_ms - tgt->paced_ms < GV_RUN_PACE_KEEP_MS &&
           GvRunPace_IsSlow(&tgt->pace);
}

static void
log_pace(const gv_sched_target_t *tgt, bool was_slow, int64_t now_ms)
{
    bool is_slow = GvSched_IsSlow(tgt, now_ms);
    if (is_slow != was_slow) {
        GvCounter_Add(&slow_targets, is_slow ? 1 : 0);
        GvEvlog_Write("pace", "target=%s slow=%d runs=%d deviation=%.2f",
                      tgt->id, is_slow, tgt->pace.runs, tgt->pace.deviation);
    }
}

/* Learns from a run that has ended as done. One that an earlier scheduler has
   started is left out: its start is not known here. */
void
GvSched_LearnRun(gv_sched_t *s, const gv_run_t *r, int64_t now_ms)
{
    gv_sched_target_t *tgt = r->tgt;
    const gv_step_t *step = GvJob_StepOf(r->active->job, r->task);
    if (s->run_times == NULL || r->sent_ms == 0 || r->started_ms == 0) {
        return;
    }
    gv_finished_run_t run = {
        .ms = now_ms - r->started_ms,
        .resumed = r->resumed,
        .warming = tgt->info.warmup_ms > 0,
        .distant =
            step->rack.n > 0 && !GvStr_Equal(step->rack, tgt->info.rack),
    };
    bool was_slow = GvSched_IsSlow(tgt, now_ms);
    if (now_ms - tgt->paced_ms >= GV_RUN_PACE_KEEP_MS) {
        tgt->pace = (gv_run_pace_t){0};
    }
    GvRunTimes_Add(s->run_times, r->active->job, step, &run, &tgt->pace);
    if (!run.resumed) {
        add_step_run(r->active, GvJob_PlaceOf(r->active->job, r->task).step,
                     (double)run.ms);
    }
    tgt->paced_ms = now_ms;
    GvCounter_Add(&learned, 1);
    log_pace(tgt, was_slow, now_ms);
}

/* Logs and counts a live run once it has taken several times as long as nearly
   all runs of such tasks, by its own queue's runs: it stands. */
void
GvSched_CheckStanding(gv_sched_t *s, gv_run_t *r, int64_t now_ms)
{
    char name[GV_TASK_NAME_BYTES];
    const gv_job_t *job = r->active->job;
    const gv_step_t *step = GvJob_StepOf(job, r->task);
    if (s->run_times == NULL || r->standing || step->long_running ||
        r->phase != GV_RUN_ACTIVE || now_ms < r->check_standing_ms) {
        return;
    }
    gv_run_time_t t = GvRunTimes_Expect(s->run_times, job, step);
    int64_t limit_ms =
        r->started_ms + (int64_t)(GV_RUN_TIME_STANDING * t.high_ms);
    if (t.source == GV_RUN_TIME_DECLARED || now_ms < limit_ms) {
        r->check_standing_ms = MAX(limit_ms, now_ms + GV_SCHED_PATH_MS);
        return;
    }
    r->standing = true;
    GvCounter_Add(&standing, 1);
    GvSched_TaskName(job, r->task, name, sizeof name);
    GvEvlog_Write("standing",
                  "task=%s run=%u target=%s ms=%lld typical=%.0f high=%.0f "
                  "percent=%d",
                  name, r->run, r->tgt->id,
                  (long long)(now_ms - r->started_ms), t.typical_ms, t.high_ms,
                  r->percent);
}

/* Adds the record of the run times to a batch that is stored anyway, if they
   have changed since the one before. */
void
GvSched_AddRunTimes(gv_sched_t *s, gv_sched_add_t add, void *user)
{
    if (s->run_times == NULL ||
        s->placed_ms - s->run_times_saved_ms < GV_RUN_TIME_SAVE_MS ||
        !GvRunTimes_HasChanged(s->run_times)) {
        return;
    }
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    GvRunTimes_Pack(s->run_times, &sb);
    add(user, GV_STR("T"), GvStr_N(sb.data, sb.size));
    GvCounter_Add(&records, 1);
    GvEvlog_Write("run_times", "stored combinations=%d bytes=%zu",
                  GvRunTimes_Count(s->run_times), sb.size);
    msgpack_sbuffer_destroy(&sb);
    s->run_times_saved_ms = s->placed_ms;
}
