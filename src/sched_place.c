#include <string.h>

#include "counter.h"
#include "evlog.h"
#include "limits.h"
#include "sched_private.h"

/* Chooses which waiting tasks start on which targets. */

GV_COUNTER(gangs_without_room, "gangs_without_room_total",
           "Tries to place a gang of which some task found no target");

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
static bool
may_run(const gv_sched_target_t *tgt, const gv_ready_step_t *r,
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
static gv_sched_target_t *
choose_target(gv_sched_t *s, const gv_ready_step_t *r, const gv_task_t *t,
              int64_t now_ms)
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
        if (!may_join(tgt, t, beside) || !may_run(tgt, r, &free, now_ms) ||
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

/* Returns true if any target with enough room may run the step's tasks. */
static bool
is_plain(const gv_ready_step_t *r)
{
    return r->step->label.n == 0 && r->step->max_per_target == 0 &&
           r->step->tail_latency_goal_ms == 0 && !r->step->uses_leftover_cpu &&
           !r->needs_advice;
}

/* Returns true if a task like those of this step, or a smaller one, found no
   target in this pass. */
static bool
is_known_full(const gv_ready_step_t *r)
{
    const gv_sched_service_t *sv = r->active->service;
    int kind = r->active->long_running ? 1 : 0;
    return is_plain(r) && sv->is_full[kind] &&
           GvResources_Fit(sv->full_for[kind], r->step->need);
}

/* Notes that the tasks of this step found no target in this pass. */
static void
note_full(const gv_ready_step_t *r)
{
    gv_sched_service_t *sv = r->active->service;
    int kind = r->active->long_running ? 1 : 0;
    if (is_plain(r) && (!sv->is_full[kind] ||
                        GvResources_Fit(r->step->need, sv->full_for[kind]))) {
        sv->is_full[kind] = true;
        sv->full_for[kind] = r->step->need;
    }
}

/* Returns true if as many targets of a service as may be are set aside for
   suspects: they run alone there, or are to. */
static bool
enough_set_aside(const gv_sched_service_t *sv)
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
    if (enough_set_aside(r->active->service)) {
        return;
    }
    for (guint i = 0; i < targets->len; i++) {
        gv_sched_target_t *tgt = g_ptr_array_index(targets, i);
        gv_resources_t free = tgt->info.room;
        if (!tgt->kept_empty && tgt->n_isolated == 0 &&
            tgt->n_long_running == 0 && may_run(tgt, r, &free, now_ms) &&
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
static void
note_suspect(const gv_ready_step_t *r, bool placed, int64_t now_ms)
{
    gv_active_job_t *a = r->active;
    if (placed) {
        a->alone_since_ms = 0;
        return;
    }
    a->alone_since_ms = a->alone_since_ms == 0 ? now_ms : a->alone_since_ms;
    keep_empty(r, now_ms);
}

/* What became of a step in a pass. */
typedef enum {
    STEP_PASSED,   /* its tasks were placed or found no target */
    STEP_AT_LIMIT, /* the limit of its account holds tasks back */
    STEP_BEGUN     /* tasks were placed and its account's share has changed */
} step_result_t;

/* Reserves a target for a member of a gang. Returns false if there is none. */
static bool
reserve_member(gv_sched_t *s, const gv_ready_step_t *r, int task, uint32_t run,
               int64_t now_ms)
{
    const gv_task_t *t = &r->active->job->tasks[task];
    gv_sched_target_t *tgt = choose_target(s, r, t, now_ms);
    if (tgt != NULL) {
        (void)GvSched_ReserveRun(s, r->active, task, tgt, GV_RUN_STORING, run,
                                 now_ms);
    }
    return tgt != NULL;
}

/* Records the reserved runs of a whole gang, to resume from the same state. */
static void
record_gang(gv_sched_t *s, const gv_ready_step_t *r, const char *saved)
{
    char *state = g_strdup(saved);
    for (int i = r->first; i < r->first + r->step->count; i++) {
        gv_task_t *t = &r->active->job->tasks[i];
        g_free(t->saved);
        t->saved = g_strdup(state);
        GvSched_RecordRun(s, r->active->runs[i]);
    }
    g_free(state);
}

/* Places all tasks of a gang, with the same run number and the same state to
   resume from. If one finds no target, none is placed, and nothing changes. */
static step_result_t
place_gang(gv_sched_t *s, const gv_ready_step_t *r, int64_t now_ms)
{
    gv_task_t *tasks = r->active->job->tasks;
    uint32_t run = 0;
    const char *saved = NULL;
    int end = r->first + r->step->count;
    for (int i = r->first; i < end; i++) {
        if (tasks[i].state != GV_TASK_WAITING) {
            return STEP_PASSED;
        }
        run = MAX(run, tasks[i].run);
        saved = saved == NULL ? tasks[i].saved : saved;
    }
    if (!GvSched_AccountAllows(s, r->active, r->step, r->step->count)) {
        return STEP_AT_LIMIT;
    }
    int next = r->first;
    while (next < end && reserve_member(s, r, next, run + 1, now_ms)) {
        next++;
    }
    if (r->active->has_suspects) {
        note_suspect(r, next == end, now_ms);
    }
    if (next == end) {
        record_gang(s, r, saved);
        return STEP_PASSED;
    }
    GvCounter_Add(&gangs_without_room, 1);
    while (next > r->first) {
        GvSched_UndoRun(r->active->runs[--next]);
    }
    return STEP_PASSED;
}

/* Places the waiting tasks of a step until one finds no target, or exceeds the
   limit of its account, or the account gets further beyond its share. */
static step_result_t
place_tasks(gv_sched_t *s, const gv_ready_step_t *r, int64_t now_ms)
{
    int level = GvSched_ShareLevel(r->active->account);
    if (is_known_full(r)) {
        return STEP_PASSED;
    }
    for (int i = 0; i < r->step->count; i++) {
        gv_task_t *t = &r->active->job->tasks[r->first + i];
        if (t->state != GV_TASK_WAITING || t->suspect) {
            continue;
        }
        if (!GvSched_AccountAllows(s, r->active, r->step, 1)) {
            return STEP_AT_LIMIT;
        }
        gv_sched_target_t *tgt = choose_target(s, r, t, now_ms);
        if (tgt == NULL) {
            note_full(r);
            return STEP_PASSED;
        }
        t->run++;
        GvSched_AddRun(s, r->active, r->first + i, tgt, GV_RUN_STORING,
                       now_ms);
        if (GvSched_ShareLevel(r->active->account) != level) {
            return STEP_BEGUN;
        }
    }
    return STEP_PASSED;
}

/* Places the suspects of a step, each on an empty target. With others waiting,
   only as long as not too many targets are set aside. */
static void
place_suspects(gv_sched_t *s, const gv_ready_step_t *r, bool others_wait,
               int64_t now_ms)
{
    for (int i = 0; i < r->step->count; i++) {
        gv_task_t *t = &r->active->job->tasks[r->first + i];
        if (t->state != GV_TASK_WAITING || !t->suspect ||
            now_ms < t->retry_ms ||
            !GvSched_AccountAllows(s, r->active, r->step, 1)) {
            continue;
        }
        bool held = others_wait && enough_set_aside(r->active->service);
        gv_sched_target_t *tgt = held ? NULL : choose_target(s, r, t, now_ms);
        note_suspect(r, tgt != NULL, now_ms);
        if (tgt != NULL) {
            t->run++;
            GvSched_AddRun(s, r->active, r->first + i, tgt, GV_RUN_STORING,
                           now_ms);
        }
    }
}

/* Places the suspects of all steps. */
static void
place_all_suspects(gv_sched_t *s, const GArray *ready, bool others_wait,
                   int64_t now_ms)
{
    for (guint i = 0; i < ready->len; i++) {
        const gv_ready_step_t *r = &g_array_index(ready, gv_ready_step_t, i);
        if (r->active->has_suspects && !r->step->gang) {
            place_suspects(s, r, others_wait, now_ms);
        }
    }
}

/* Returns what a target would have free for long-running tasks if all other
   tasks on it had ended. */
static gv_resources_t
room_for_long_running(const gv_sched_target_t *tgt)
{
    gv_resources_t free = tgt->info.room;
    for (guint i = 0; i < tgt->runs->len; i++) {
        const gv_run_t *run = g_ptr_array_index(tgt->runs, i);
        if (run->active->long_running) {
            GvResources_Subtract(&free, run->need);
        }
    }
    return free;
}

/* Returns true if a long-running task of this step could start on a target
   once the other tasks there have ended. */
static bool
could_hold(const gv_sched_target_t *tgt, const gv_ready_step_t *r,
           int64_t now_ms)
{
    gv_resources_t free = room_for_long_running(tgt);
    return tgt->n_isolated == 0 && may_run(tgt, r, &free, now_ms);
}

/* Returns the part of a need that is free on a target, of the resource that
   lacks most; at most 1. */
static double
free_part(const gv_sched_target_t *tgt, const gv_resources_t *need)
{
    gv_resources_t free = tgt->info.room;
    GvResources_Subtract(&free, tgt->used);
    double cpu = (double)free.cpu / (double)MAX(need->cpu, 1);
    double memory = (double)free.memory / (double)MAX(need->memory, 1);
    return MIN(MIN(cpu, memory), 1);
}

/* Keeps a target for a long-running task that found none with enough free
   resources: short tasks would otherwise take what becomes free. This is one
   target of a service at a time: of those that could hold the task once
   their other tasks have ended, the one that lacks least. It stays the same
   one in each pass, as what it has free only grows. Notes since when no target
   could hold the task. */
static void
keep_room_free(const gv_ready_step_t *r, int64_t now_ms)
{
    const GPtrArray *targets = r->active->service->targets;
    gv_sched_target_t *best = NULL;
    double most = 0;
    bool kept = false;
    for (guint i = 0; i < targets->len; i++) {
        gv_sched_target_t *tgt = g_ptr_array_index(targets, i);
        kept = kept || tgt->room_kept;
        if (!could_hold(tgt, r, now_ms)) {
            continue;
        }
        double part = free_part(tgt, &r->step->need);
        if (best == NULL || part > most ||
            (part == most && strcmp(tgt->id, best->id) < 0)) {
            best = tgt;
            most = part;
        }
    }
    if (best != NULL) {
        r->active->no_room_since_ms = 0;
    }
    else if (r->active->no_room_since_ms == 0) {
        r->active->no_room_since_ms = now_ms;
    }
    if (best != NULL && !kept) {
        best->room_kept = true;
    }
}

/* Logs every GV_SCHED_WAIT_LOG_MS that a step of long-running tasks waits, and
   for which target. */
static void
log_waiting(const gv_ready_step_t *r, int64_t now_ms)
{
    const GPtrArray *targets = r->active->service->targets;
    const gv_sched_target_t *kept = NULL;
    gv_resources_t free = {0};
    char name[GV_TASK_NAME_BYTES];
    if (now_ms - r->active->wait_logged_ms < GV_SCHED_WAIT_LOG_MS) {
        return;
    }
    r->active->wait_logged_ms = now_ms;
    for (guint i = 0; i < targets->len && kept == NULL; i++) {
        const gv_sched_target_t *tgt = g_ptr_array_index(targets, i);
        kept = tgt->room_kept ? tgt : NULL;
    }
    if (kept != NULL) {
        free = kept->info.room;
        GvResources_Subtract(&free, kept->used);
    }
    GvSched_TaskName(r->active->job, r->first, name, sizeof name);
    GvEvlog_WriteKind(GV_EVLOG_RARE, "waiting",
                      "step_of=%s tasks=%d cpu=%lld memory=%lld targets=%u "
                      "kept=%s free_cpu=%lld free_memory=%lld",
                      name, r->active->n_waiting, (long long)r->step->need.cpu,
                      (long long)r->step->need.memory, targets->len,
                      kept == NULL ? "" : kept->id, (long long)free.cpu,
                      (long long)free.memory);
}

/* Ends what keep_room_free, keep_empty and note_full did in the pass
   before. */
static void
begin_pass(gv_sched_service_t *sv)
{
    for (guint i = 0; i < sv->targets->len; i++) {
        gv_sched_target_t *tgt = g_ptr_array_index(sv->targets, i);
        tgt->room_kept = false;
        tgt->kept_empty = false;
    }
    sv->is_full[0] = false;
    sv->is_full[1] = false;
}

/* Handles the tasks of a step that still wait after their turn. */
static void
end_turn(gv_sched_t *s, const gv_ready_step_t *r, step_result_t result,
         int64_t now_ms)
{
    bool waits = GvSched_HasWaiting(r->active, r->first, r->step->count);
    if (waits && result == STEP_AT_LIMIT) {
        GvSched_NoteHeld(r);
        return;
    }
    if (waits) {
        GvSched_NoteUnplaced(r);
    }
    if (r->needs_advice && waits) {
        GvSched_RequestAdvice(s, r->active, r->first, now_ms);
    }
    else if (r->active->long_running && waits) {
        keep_room_free(r, now_ms);
        log_waiting(r, now_ms);
    }
    else if (r->active->long_running) {
        r->active->no_room_since_ms = 0;
    }
}

/* Places every waiting task of a service that may start and finds a target. */
static void
place_service(gv_sched_t *s, gv_sched_service_t *sv, int64_t now_ms)
{
    gv_order_t order;
    const gv_ready_step_t *r;
    begin_pass(sv);
    sv->place_due = false;
    GArray *ready = GvSched_ReadySteps(s, sv, now_ms);
    GvSched_BeginOrder(&order, s, sv, ready);
    place_all_suspects(s, ready, true, now_ms);
    while ((r = GvSched_NextStep(&order)) != NULL) {
        step_result_t result = r->step->gang ? place_gang(s, r, now_ms)
                                             : place_tasks(s, r, now_ms);
        if (result != STEP_BEGUN) {
            GvSched_PassStep(&order);
            end_turn(s, r, result, now_ms);
        }
    }
    place_all_suspects(s, ready, false, now_ms);
    GvSched_EndOrder(&order);
    GvSched_LogAccounts(s, sv, now_ms);
    g_array_free(ready, TRUE);
}

/* Places the waiting tasks of the services that an event has changed and,
   every GV_SCHED_TICK_MS, of all: occurrences become due and targets stop
   being avoided with time alone. Places none once the lease to schedule is
   given up. */
void
GvSched_Place(gv_sched_t *s, int64_t now_ms)
{
    GHashTableIter it;
    gpointer value;
    bool all = now_ms - s->placed_ms >= GV_SCHED_TICK_MS;
    if (!s->jobs_loaded || s->packed_ms != 0) {
        return;
    }
    s->placed_ms = all ? now_ms : s->placed_ms;
    g_hash_table_iter_init(&it, s->services);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        gv_sched_service_t *sv = value;
        if ((sv->place_due || all) && GvSched_KnowsRoom(s, sv, now_ms)) {
            place_service(s, sv, now_ms);
        }
    }
}
