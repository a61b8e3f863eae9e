#include "counter.h"
#include "evlog.h"
#include "job_record.h"
#include "limits.h"
#include "sched_private.h"

/* Batches of progress: what has changed since the one before, and what follows
   once a batch is stored. */

GV_HISTOGRAM(job_ms, "job_ms", "From the acceptance of a job to its end");

/* Packs the progress of a job and passes it to `add`. */
static void
add_progress(const gv_sched_t *s, gv_active_job_t *a, gv_sched_add_t add,
             void *user)
{
    msgpack_sbuffer sb;
    char key[GV_JOB_ID_BYTES + 2];
    msgpack_sbuffer_init(&sb);
    g_snprintf(key, sizeof key, "P%.*s", GV_STR_ARG(a->job->id));
    if (GvJob_Ended(a->job) && a->job->ended_ms == 0) {
        a->job->ended_ms = s->wall_ms;
    }
    GvJobRecord_PackProgress(a->job, &sb);
    add(user, GvStr_C(key), GvStr_N(sb.data, sb.size));
    msgpack_sbuffer_destroy(&sb);
}

static void
swap_arrays(GPtrArray **a, GPtrArray **b)
{
    GPtrArray *swap = *a;
    *a = *b;
    *b = swap;
}

/* Notes that the applied ends of targets are in the batch, or stored at once
   if nothing has to be stored. */
static void
batch_ends(gv_sched_t *s, bool stored)
{
    for (guint i = 0; i < s->ended_targets->len; i++) {
        gv_sched_target_t *tgt = g_ptr_array_index(s->ended_targets, i);
        tgt->end_listed = false;
        tgt->ends_batched = tgt->ends_applied;
        if (stored) {
            tgt->ends_stored = tgt->ends_applied;
            GvSched_UpdateSoon(s, tgt);
        }
        else if (!tgt->end_batched) {
            tgt->end_batched = true;
            g_ptr_array_add(s->batched_targets, tgt);
        }
    }
    g_ptr_array_set_size(s->ended_targets, 0);
}

/* Passes the progress of every job that has changed to `add`. Returns the
   number of records; 0 while the batch before is not confirmed. */
int
GvSched_TakeBatch(gv_sched_t *s, gv_sched_add_t add, void *user)
{
    int n = (int)s->dirty_jobs->len;
    if (s->batch_pending) {
        return 0;
    }
    for (int i = 0; i < n; i++) {
        gv_active_job_t *a = g_ptr_array_index(s->dirty_jobs, i);
        add_progress(s, a, add, user);
        a->dirty = false;
        if (!a->end_due) {
            a->end_due = true;
            g_ptr_array_add(s->ended_jobs, a);
        }
    }
    g_ptr_array_set_size(s->dirty_jobs, 0);
    batch_ends(s, n == 0);
    if (n > 0) {
        GvSched_AddRunTimes(s, add, user);
        swap_arrays(&s->batched, &s->unbatched);
        s->batch_pending = true;
    }
    return n;
}

/* Removes jobs that have ended and have no runs and no unstored progress. */
static void
remove_ended_jobs(gv_sched_t *s)
{
    for (guint i = 0; i < s->ended_jobs->len; i++) {
        gv_active_job_t *a = g_ptr_array_index(s->ended_jobs, i);
        a->end_due = false;
        if (a->dirty || a->n_runs > 0 || !GvJob_Ended(a->job)) {
            continue;
        }
        GvEvlog_Write("ended", "job=%.*s state=%s age=%lld",
                      GV_STR_ARG(a->job->id),
                      GvJob_StateName(GvJob_State(a->job)),
                      (long long)(s->wall_ms - a->job->accepted_ms));
        if (!a->long_running && !a->job->timed) {
            GvHistogram_Observe(&job_ms, s->wall_ms - a->job->accepted_ms);
        }
        GvSched_ForgetAdvice(s, a->job);
        g_hash_table_remove(s->jobs, &a->job->id);
    }
    g_ptr_array_set_size(s->ended_jobs, 0);
}

/* The newest batch is stored: orders the starts that it records, and lets
   targets forget the ends that it records. */
void
GvSched_ConfirmBatch(gv_sched_t *s, int64_t now_ms)
{
    s->batch_pending = false;
    for (guint i = 0; i < s->batched_targets->len; i++) {
        gv_sched_target_t *tgt = g_ptr_array_index(s->batched_targets, i);
        tgt->end_batched = false;
        tgt->ends_stored = tgt->ends_batched;
        GvSched_UpdateSoon(s, tgt);
    }
    g_ptr_array_set_size(s->batched_targets, 0);
    while (s->batched->len > 0) {
        gv_run_t *r = g_ptr_array_remove_index_fast(s->batched, 0);
        if (r->phase == GV_RUN_STORING) {
            GvSched_SendStart(s, r, now_ms);
        }
    }
    remove_ended_jobs(s);
}
