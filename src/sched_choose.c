#include <string.h>

#include "limits.h"
#include "sched_private.h"

/* Chooses the target on which a waiting task may start, and the targets that
   are kept for tasks that may crash them. */

/* Returns true if the target has the label or the label is empty. */
static bool
has_label(const gv_sched_target_t *tgt, gv_str_t label)
{
    if (label.n == 0) {
        return true;
    }
    const char *p = tgt->info.labels.p;
    while (p != NULL && *p != '\0') {
        const char *end = strchrnul(p, ' ');
        if (GvStr_Equal(GvStr_N(p, (size_t)(end - p)), label)) {
            return true;
        }
        p = *end == '\0' ? end : end + 1;
    }
    return false;
}

/* Returns how many tasks of this step have a run on the target. */
static int
runs_of_step(const gv_sched_target_t *tgt, const gv_ready_step_t *r)
{
    int n = 0;
    for (guint i = 0; i < tgt->runs->len; i++) {
        const gv_run_t *run = g_ptr_array_index(tgt->runs, i);
        n += run->active == r->active && run->task >= r->first &&
                     run->task < r->first + r->step->count
                 ? 1
                 : 0;
    }
    return n;
}

/* Returns true if starting the step on the target would put tasks that use
   leftover cpu beside tasks with a goal for their tail latency. */
static bool
would_interfere(const gv_sched_target_t *tgt, const gv_step_t *step)
{
    for (guint i = 0; i < tgt->runs->len; i++) {
        const gv_run_t *run = g_ptr_array_index(tgt->runs, i);
        const gv_step_t *other = GvJob_StepOf(run->active->job, run->task);
        if ((step->uses_leftover_cpu && other->tail_latency_goal_ms > 0) ||
            (step->tail_latency_goal_ms > 0 && other->uses_leftover_cpu)) {
            return true;
        }
    }
    return false;
}

/* Returns true if a task of the step may start on the target now. A task that
   uses leftover cpu needs no free cpu. */
bool
GvSched_MayRun(const gv_sched_target_t *tgt, const gv_ready_step_t *r,
               const gv_resources_t *free, int64_t now_ms)
{
    gv_resources_t need = r->step->need;
    if (r->step->uses_leftover_cpu) {
        need.cpu = 0;
    }
    return GvSched_HasAnswered(tgt) && !tgt->info.draining && !tgt->reserved &&
           (!tgt->room_kept || r->active->long_running) &&
           tgt->n_strays == 0 && tgt->n_unread == 0 &&
           now_ms >= tgt->avoid_until_ms && GvResources_Fit(need, *free) &&
           has_label(tgt, r->step->label) &&
           (r->step->max_per_target == 0 ||
            runs_of_step(tgt, r) < r->step->max_per_target) &&
           !would_interfere(tgt, r->step);
}

/* Returns true if none of the runs on the target may crash it, so that a crash
   soon after another start there has that one for its cause. */
static bool
all_served(const gv_sched_target_t *tgt, int64_t now_ms)
{
    for (guint i = 0; i < tgt->runs->len; i++) {
        if (!GvSched_HasServed(g_ptr_array_index(tgt->runs, i), now_ms)) {
            return false;
        }
    }
    return true;
}

/* Returns what a suspect adds to the score of a target: alone it proves most
   and harms no other task, and it is rather beside suspects than beside tasks
   whose crashes are not told from its own. */
static double
score_for_suspect(const gv_sched_target_t *tgt, int64_t now_ms)
{
    if (tgt->runs->len == 0) {
        return 48;
    }
    if (all_served(tgt, now_ms)) {
        return 32;
    }
    return tgt->n_isolated > 0 ? 16 : 0;
}

/* Returns the score of a target that may run a task; the highest is chosen. A
   rack that holds the task's data counts most, then a target other than the
   one where the task last failed, then the least free cpu, so that other
   targets stay empty. Tasks that use leftover cpu prefer the most free cpu. */
static double
score_target(const gv_sched_target_t *tgt, const gv_ready_step_t *r,
             const gv_task_t *t, const gv_resources_t *free, int64_t now_ms)
{
    double left = (double)free->cpu / (double)MAX(tgt->info.room.cpu, 1);
    double score = r->step->uses_leftover_cpu ? left : 1 - left;
    if (r->step->rack.n > 0 && GvStr_Equal(r->step->rack, tgt->info.rack)) {
        score += 8;
    }
    if (r->step->long_running && tgt->n_long_running > 0) {
        score += 2; /* hosts without long-running tasks can be moved */
    }
    if (GvFailedRuns_Any(&t->failed_runs) && t->target == tgt->id) {
        score -= 4;
    }
    if (tgt->failures > 0 || GvSched_IsSlow(tgt, now_ms)) {
        score -= 2;
    }
    return t->suspect ? score + score_for_suspect(tgt, now_ms) : score;
}

/* Beside what a suspect may start. */
typedef enum {
    BESIDE_NONE,
    BESIDE_OTHERS,  /* tasks that are not suspects */
    BESIDE_SUSPECTS /* or suspects */
} beside_t;

/* Returns true if a task may be beside what runs on the target: a suspect as
   `beside` says, but not beside both suspects and other tasks; another task
   not beside suspects, and not where their target is being emptied. */
static bool
may_join(const gv_sched_target_t *tgt, const gv_task_t *t, beside_t beside)
{
    if (!t->suspect) {
        return tgt->n_isolated == 0 && !tgt->kept_empty;
    }
    if (tgt->runs->len == 0) {
        return true;
    }
    switch (beside) {
    case BESIDE_NONE:
        return false;
    case BESIDE_OTHERS:
        return tgt->n_isolated == 0;
    case BESIDE_SUSPECTS:
        return tgt->n_isolated == 0 || tgt->n_isolated == (int)tgt->runs->len;
    }
    return false;
}

/* Returns true if most of a service's cpu is free. */
static bool
is_mostly_free(const gv_sched_service_t *sv)
{
    int64_t used = 0;
    int64_t room = 0;
    for (guint i = 0; i < sv->targets->len; i++) {
        const gv_sched_target_t *tgt = g_ptr_array_index(sv->targets, i);
        used += tgt->used.cpu;
        room += GvSched_HasAnswered(tgt) ? tgt->info.room.cpu : 0;
    }
    return 2 * used < room;
}

/* Returns beside what a suspect of the job may start: the longer it has found
   no empty target, the more. Two suspects that start on one target prove
   nothing about either when it crashes. */
static beside_t
may_share(const gv_active_job_t *a, int64_t now_ms)
{
    int64_t waited = a->alone_since_ms == 0 ? 0 : now_ms - a->alone_since_ms;
    if (waited >= GV_SCHED_ALONE_WAIT_MAX_MS) {
        return BESIDE_SUSPECTS;
    }
    return waited >= GV_SCHED_ALONE_WAIT_MS && is_mostly_free(a->service)
               ? BESIDE_OTHERS
               : BESIDE_NONE;
}

/* Returns the best target on which a task may start now, or NULL; for a
   suspect an empty one. A target whose clock has to be read first is marked
   for a hold and not chosen. */
gv_sched_target_t *
GvSched_ChooseTarget(gv_sched_t *s, const gv_ready_step_t *r,
                     const gv_task_t *t, int64_t now_ms)
{
    beside_t beside =
        t->suspect ? may_share(r->active, now_ms) : BESIDE_OTHERS;
    const GPtrArray *targets = r->active->service->targets;
    gv_sched_target_t *best = NULL;
    double best_score = 0;
    for (guint i = 0; i < targets->len; i++) {
        gv_sched_target_t *tgt = g_ptr_array_index(targets, i);
        gv_resources_t free = tgt->info.room;
        GvResources_Subtract(&free, tgt->used);
        if (!may_join(tgt, t, beside) ||
            !GvSched_MayRun(tgt, r, &free, now_ms) ||
            (r->needs_advice && GvSched_FindTicket(s, r->active->job, r->first,
                                                   tgt->id, now_ms) == NULL)) {
            continue;
        }
        if (!GvSched_IsClockFresh(tgt, now_ms)) {
            tgt->clock_needed = true;
            GvSched_UpdateSoon(s, tgt);
            continue;
        }
        double score = score_target(tgt, r, t, &free, now_ms);
        if (best == NULL || score > best_score ||
            (score == best_score && strcmp(tgt->id, best->id) < 0)) {
            best = tgt;
            best_score = score;
        }
    }
    return best;
}

/* Returns true if a run that is about to start is of a task that was lost with
   t on the same target, and that was the first crash for both. */
static bool
is_peer(const gv_run_t *run, const gv_task_t *t)
{
    const gv_task_t *other = &run->active->job->tasks[run->task];
    return run->phase == GV_RUN_STORING && run->isolated &&
           run->former == t->target && GvSched_CrashesOf(other) == 1;
}

/* Returns a target on which a suspect of a long-running step may start as
   tasks that were lost in the same crash are about to, or NULL. Together they
   put no more targets at risk than one of them, and are all cleared or lost
   again at once. After a second crash each starts by itself. */
gv_sched_target_t *
GvSched_PeerTarget(const gv_ready_step_t *r, const gv_task_t *t,
                   int64_t now_ms)
{
    if (!r->step->long_running || GvSched_CrashesOf(t) != 1) {
        return NULL;
    }
    for (int i = 0; i < r->step->count; i++) {
        const gv_run_t *run = r->active->runs[r->first + i];
        if (run == NULL || !is_peer(run, t)) {
            continue;
        }
        gv_resources_t free = run->tgt->info.room;
        GvResources_Subtract(&free, run->tgt->used);
        if (GvSched_MayRun(run->tgt, r, &free, now_ms)) {
            return run->tgt;
        }
    }
    return NULL;
}

/* Returns true if as many targets of a service as may be are set aside for
   suspects: they run alone there, or are to. */
bool
GvSched_EnoughSetAside(const gv_sched_service_t *sv)
{
    guint n = 0;
    guint all = 0;
    for (guint i = 0; i < sv->targets->len; i++) {
        const gv_sched_target_t *tgt = g_ptr_array_index(sv->targets, i);
        n += tgt->kept_empty || tgt->n_isolated > 0 ? 1 : 0;
        all += tgt->hold_answered_ms != 0 ? 1 : 0;
    }
    return n >= MAX(all / GV_SCHED_ASIDE_DIVISOR, 1);
}

/* Keeps one more target of the service for suspects: the one with the fewest
   runs, if none of these is of a long-running task. */
static void
keep_empty(const gv_ready_step_t *r, int64_t now_ms)
{
    const GPtrArray *targets = r->active->service->targets;
    gv_sched_target_t *best = NULL;
    if (GvSched_EnoughSetAside(r->active->service)) {
        return;
    }
    for (guint i = 0; i < targets->len; i++) {
        gv_sched_target_t *tgt = g_ptr_array_index(targets, i);
        gv_resources_t free = tgt->info.room;
        if (!tgt->kept_empty && tgt->n_isolated == 0 &&
            tgt->n_long_running == 0 &&
            GvSched_MayRun(tgt, r, &free, now_ms) &&
            (best == NULL || tgt->runs->len < best->runs->len ||
             (tgt->runs->len == best->runs->len &&
              strcmp(tgt->id, best->id) < 0))) {
            best = tgt;
        }
    }
    if (best != NULL) {
        best->kept_empty = true;
    }
}

/* Notes that a suspect of the job has found a target or has not. */
void
GvSched_NoteSuspect(const gv_ready_step_t *r, bool placed, int64_t now_ms)
{
    gv_active_job_t *a = r->active;
    if (placed) {
        a->alone_since_ms = 0;
        return;
    }
    a->alone_since_ms = a->alone_since_ms == 0 ? now_ms : a->alone_since_ms;
    keep_empty(r, now_ms);
}
