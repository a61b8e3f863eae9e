#include <string.h>

#include "evlog.h"
#include "limits.h"
#include "sched_private.h"

/* Chooses which waiting tasks start where. */

/* A step of an occurrence whose turn has come and that has tasks waiting. */
typedef struct {
    gv_active_job_t *job;
    const gv_step_t *step;
    gv_str_t service;
    int first; /* number of its first task */
    int priority;
    bool advice;         /* only targets with a ticket may run it */
    bool late;           /* it cannot meet its objective any more */
    int64_t deadline_ms; /* wall clock of the objective */
} gv_ready_t;

/* Lasting work comes first, then by priority; work that can still meet its
   objective goes before work that cannot, the earlier objective first. */
static int
compare_ready(gconstpointer pa, gconstpointer pb)
{
    const gv_ready_t *a = pa;
    const gv_ready_t *b = pb;
    if (a->job->lasts != b->job->lasts) {
        return a->job->lasts ? -1 : 1;
    }
    if (a->priority != b->priority) {
        return a->priority < b->priority ? -1 : 1;
    }
    if (a->late != b->late) {
        return a->late ? 1 : -1;
    }
    if (a->deadline_ms != b->deadline_ms) {
        return a->deadline_ms < b->deadline_ms ? -1 : 1;
    }
    return GvStr_Compare(a->job->job->id, b->job->job->id);
}

static bool
has_waiting(const gv_active_job_t *a, int first, int count)
{
    for (int i = 0; i < count; i++) {
        if (a->job->tasks[first + i].state == GV_TASK_WAITING) {
            return true;
        }
    }
    return false;
}

/* Returns how long the tasks of one step run: what was learned of the queue,
   else what the job declares, milliseconds. */
static double
step_ms(const gv_sched_t *s, const gv_job_t *job, int step)
{
    double learned = GvLoads_RunMs(s->loads, job->queue);
    return learned > 0 ? learned : job->steps[step].estimate_ms;
}

/* Returns the longest chain of run times from the begin of a step to the end
   of the job, milliseconds. */
static double
chain_ms(const gv_sched_t *s, const gv_job_t *job, int from)
{
    double longest = 0;
    double end[GV_JOB_STEPS_MAX];
    for (int i = from; i < job->n_steps; i++) {
        const gv_step_t *step = &job->steps[i];
        double begin = 0;
        bool follows = i == from;
        for (int k = 0; k < step->n_after; k++) {
            int before = step->after[k];
            if (before >= from && end[before] > 0) {
                follows = true;
                begin = MAX(begin, end[before]);
            }
        }
        end[i] = follows ? begin + step_ms(s, job, i) : 0;
        longest = MAX(longest, end[i]);
    }
    return longest;
}

/* Returns the chain of a whole job. */
static double
whole_chain_ms(const gv_sched_t *s, const gv_job_t *job)
{
    double longest = 0;
    for (int i = 0; i < job->n_steps; i++) {
        if (job->steps[i].n_after == 0) {
            longest = MAX(longest, chain_ms(s, job, i));
        }
    }
    return longest;
}

static void
add_ready(gv_sched_t *s, gv_active_job_t *a, GArray *out)
{
    gv_job_t *job = a->job;
    const gv_queue_info_t *q = GvSched_QueueOf(s, job);
    int objective = q == NULL ? job->objective_ms : q->objective_ms;
    double stretch = q == NULL ? job->stretch : q->stretch;
    double whole = whole_chain_ms(s, job);
    for (int k = 0; k < job->occurrences; k++) {
        int first = k * job->tasks_per_occurrence;
        int64_t begin = job->timed ? job->first_ms + k * job->interval_ms
                                   : job->accepted_ms;
        for (int i = 0; i < job->n_steps; i++) {
            const gv_step_t *step = &job->steps[i];
            if (has_waiting(a, first, step->count) &&
                GvJob_StepReady(job, k, i, s->wall_ms)) {
                gv_ready_t r = {
                    .job = a,
                    .step = step,
                    .service = GvSched_ServiceOf(s, job),
                    .first = first,
                    .priority = q == NULL ? job->priority : q->priority,
                    .advice = q != NULL && q->advice,
                    .deadline_ms =
                        begin + objective + (int64_t)(stretch * whole),
                };
                r.late = (double)s->wall_ms + chain_ms(s, job, i) >
                         (double)r.deadline_ms;
                g_array_append_val(out, r);
            }
            first += step->count;
        }
    }
}

static GArray *
ready_steps(gv_sched_t *s)
{
    GHashTableIter it;
    gpointer value;
    GArray *out = g_array_new(FALSE, FALSE, sizeof(gv_ready_t));
    g_hash_table_iter_init(&it, s->jobs);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        gv_active_job_t *a = value;
        if (!GvJob_Ended(a->job)) {
            add_ready(s, a, out);
        }
    }
    g_array_sort(out, compare_ready);
    return out;
}

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

static int
runs_of_step(const gv_sched_target_t *tgt, const gv_ready_t *r)
{
    int n = 0;
    for (guint i = 0; i < tgt->runs->len; i++) {
        const gv_run_t *run = g_ptr_array_index(tgt->runs, i);
        n += run->job == r->job && run->task >= r->first &&
                     run->task < r->first + r->step->count
                 ? 1
                 : 0;
    }
    return n;
}

/* Tells whether tasks that fill and tasks with a goal for their response
   times would share the target. */
static bool
would_disturb(const gv_sched_target_t *tgt, const gv_step_t *step)
{
    for (guint i = 0; i < tgt->runs->len; i++) {
        const gv_run_t *run = g_ptr_array_index(tgt->runs, i);
        const gv_step_t *other = GvJob_StepOf(run->job->job, run->task);
        if ((step->uses_leftover_cpu && other->tail_latency_goal_ms > 0) ||
            (step->tail_latency_goal_ms > 0 && other->uses_leftover_cpu)) {
            return true;
        }
    }
    return false;
}

/* Tells whether a task of the step may start on the target now. */
static bool
may_run(const gv_sched_target_t *tgt, const gv_ready_t *r,
        const gv_resources_t *free, int64_t now_ms)
{
    gv_resources_t need = r->step->need;
    if (r->step->uses_leftover_cpu) {
        need.cpu = 0;
    }
    return tgt->listed && !tgt->info.draining && !tgt->reserved &&
           (!tgt->kept || r->job->lasts) && now_ms >= tgt->avoid_until_ms &&
           GvStr_Equal(tgt->info.service, r->service) &&
           GvResources_Fit(need, *free) && has_label(tgt, r->step->label) &&
           (r->step->max_per_target == 0 ||
            runs_of_step(tgt, r) < r->step->max_per_target) &&
           !would_disturb(tgt, r->step);
}

/* Rates a target that may run a task; the highest is taken. Data on the rack
   counts most, then a target other than the one where the task failed, then
   the least room left over, so that other targets stay empty. */
static double
rate(const gv_sched_target_t *tgt, const gv_ready_t *r, const gv_task_t *t,
     const gv_resources_t *free)
{
    double left = (double)free->cpu / (double)MAX(tgt->info.room.cpu, 1);
    double score = r->step->uses_leftover_cpu ? left : 1 - left;
    if (r->step->rack.n > 0 && GvStr_Equal(r->step->rack, tgt->info.rack)) {
        score += 8;
    }
    if (r->step->long_running && tgt->n_lasting > 0) {
        score += 2; /* lasting tasks on few hosts let the others move */
    }
    if (t->failures > 0 && t->target == tgt->id) {
        score -= 4;
    }
    if (tgt->failures > 0) {
        score -= 2;
    }
    return score;
}

static gv_sched_target_t *
choose(gv_sched_t *s, const gv_ready_t *r, const gv_task_t *t, int64_t now_ms)
{
    GHashTableIter it;
    gpointer value;
    gv_sched_target_t *best = NULL;
    double best_score = 0;
    g_hash_table_iter_init(&it, s->targets);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        gv_sched_target_t *tgt = value;
        gv_resources_t free = tgt->info.room;
        GvResources_Subtract(&free, tgt->used);
        if (!may_run(tgt, r, &free, now_ms) ||
            (r->advice && GvSched_FindTicket(s, r->job->job, r->first, tgt->id,
                                             now_ms) == NULL)) {
            continue;
        }
        if (!GvSched_IsClockFresh(tgt, now_ms)) {
            tgt->wanted = true;
            continue;
        }
        double score = rate(tgt, r, t, &free);
        if (best == NULL || score > best_score ||
            (score == best_score && strcmp(tgt->id, best->id) < 0)) {
            best = tgt;
            best_score = score;
        }
    }
    return best;
}

/* Places all tasks of a gang under one run number, or none. */
static void
place_gang(gv_sched_t *s, const gv_ready_t *r, int64_t now_ms)
{
    gv_task_t *tasks = r->job->job->tasks;
    uint32_t run = 0;
    const char *saved = NULL;
    for (int i = 0; i < r->step->count; i++) {
        gv_task_t *t = &tasks[r->first + i];
        if (t->state != GV_TASK_WAITING) {
            return;
        }
        run = MAX(run, t->run);
        saved = saved == NULL ? t->saved : saved;
    }
    char *state = g_strdup(saved);
    int placed = 0;
    while (placed < r->step->count) {
        gv_task_t *t = &tasks[r->first + placed];
        gv_sched_target_t *tgt = choose(s, r, t, now_ms);
        if (tgt == NULL) {
            break;
        }
        t->run = run + 1;
        g_free(t->saved);
        t->saved = g_strdup(state);
        GvSched_AddRun(s, r->job, r->first + placed, tgt, GV_RUN_STORING,
                       now_ms);
        placed++;
    }
    bool whole = placed == r->step->count;
    while (!whole && placed > 0) {
        placed--;
        GvSched_DropRun(s, r->job->runs[r->first + placed], NULL);
    }
    g_free(state);
}

static void
place_tasks(gv_sched_t *s, const gv_ready_t *r, int64_t now_ms)
{
    for (int i = 0; i < r->step->count; i++) {
        gv_task_t *t = &r->job->job->tasks[r->first + i];
        if (t->state != GV_TASK_WAITING) {
            continue;
        }
        gv_sched_target_t *tgt = choose(s, r, t, now_ms);
        if (tgt == NULL) {
            return;
        }
        t->run++;
        GvSched_AddRun(s, r->job, r->first + i, tgt, GV_RUN_STORING, now_ms);
    }
}

/* Keeps the target with most room free for a lasting task that found none with
   enough: shorter work would take each piece as it falls free. One target of a
   service at a time; it is the same one in each pass, as its room only grows.
 */
static void
keep_room(gv_sched_t *s, const gv_ready_t *r, int64_t now_ms)
{
    GHashTableIter it;
    gpointer value;
    gv_sched_target_t *best = NULL;
    int64_t most = 0;
    g_hash_table_iter_init(&it, s->targets);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        gv_sched_target_t *tgt = value;
        gv_resources_t free = tgt->info.room;
        if (tgt->kept && GvStr_Equal(tgt->info.service, r->service)) {
            return;
        }
        if (!may_run(tgt, r, &free, now_ms)) {
            continue;
        }
        GvResources_Subtract(&free, tgt->used);
        if (best == NULL || free.cpu > most ||
            (free.cpu == most && strcmp(tgt->id, best->id) < 0)) {
            best = tgt;
            most = free.cpu;
        }
    }
    if (best != NULL) {
        best->kept = true;
    }
}

static void
let_go_of_room(gv_sched_t *s)
{
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, s->targets);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        ((gv_sched_target_t *)value)->kept = false;
    }
}

/* Places every waiting task that has its turn and finds room. Without an
   event it does so once a tick, for occurrences that fall due and targets
   that are avoided no longer. */
void
GvSched_Place(gv_sched_t *s, int64_t now_ms)
{
    if (!s->jobs_known ||
        (!s->place_due && now_ms - s->placed_ms < GV_SCHED_TICK_MS)) {
        return;
    }
    s->placed_ms = now_ms;
    let_go_of_room(s);
    GArray *ready = ready_steps(s);
    for (guint i = 0; i < ready->len; i++) {
        const gv_ready_t *r = &g_array_index(ready, gv_ready_t, i);
        if (r->step->gang) {
            place_gang(s, r, now_ms);
        }
        else {
            place_tasks(s, r, now_ms);
        }
        if (r->advice && has_waiting(r->job, r->first, r->step->count)) {
            GvSched_RequestAdvice(s, r->job->job, r->first, r->service,
                                  now_ms);
        }
        else if (r->job->lasts &&
                 has_waiting(r->job, r->first, r->step->count)) {
            keep_room(s, r, now_ms);
        }
    }
    g_array_free(ready, TRUE);
    s->place_due = false;
}

/* Sums up what the tasks of a service ask for: those that run, and those
   whose turn has come. */
gv_demand_t
GvSched_Demand(gv_sched_t *s, gv_str_t service, int64_t ahead_ms,
               int64_t now_ms, int64_t wall_ms)
{
    gv_demand_t d = {0};
    d.arriving_cpu = GvLoads_ArrivingCpu(s->loads, service, now_ms);
    d.expected_cpu =
        GvLoads_ExpectedBurstCpu(s->loads, service, ahead_ms, now_ms);
    GHashTableIter it;
    gpointer value;
    s->wall_ms = wall_ms;
    GArray *ready = ready_steps(s);
    for (guint i = 0; i < ready->len; i++) {
        const gv_ready_t *r = &g_array_index(ready, gv_ready_t, i);
        if (!GvStr_Equal(r->service, service) || r->step->uses_leftover_cpu) {
            continue;
        }
        for (int k = 0; k < r->step->count; k++) {
            if (r->job->job->tasks[r->first + k].state == GV_TASK_WAITING) {
                d.waiting++;
                d.wanted_cpu += r->late
                                    ? r->step->need.cpu / GV_SCHED_LATE_DIVISOR
                                    : r->step->need.cpu;
            }
        }
    }
    g_array_free(ready, TRUE);
    g_hash_table_iter_init(&it, s->targets);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const gv_sched_target_t *tgt = value;
        if (GvStr_Equal(tgt->info.service, service)) {
            d.used_cpu += tgt->used.cpu;
        }
    }
    return d;
}

/* Stops what may be stopped on a target so that it becomes empty: lasting
   tasks as far as their step allows, and short ones if asked. Returns the
   number of runs that are left. */
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
            (r->job->lasts ? !GvSched_MayStop(r, now_ms) : !short_too)) {
            continue;
        }
        GvSched_StopRun(s, r, "target is emptied", now_ms);
    }
    return (int)tgt->runs->len;
}
