#include <string.h>

#include "counter.h"
#include "evlog.h"
#include "limits.h"
#include "sched_private.h"

/* Passes of placement: which waiting tasks start now, and in which order. */

GV_COUNTER(gangs_without_room, "gangs_without_room_total",
           "Tries to place a gang of which some task found no target");

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
    gv_sched_target_t *tgt = GvSched_ChooseTarget(s, r, t, now_ms);
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
        GvSched_NoteSuspect(r, next == end, now_ms);
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
        gv_sched_target_t *tgt = GvSched_ChooseTarget(s, r, t, now_ms);
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

/* Places the suspects of a step, each on an empty target if there are enough.
   With others waiting, only as long as not too many targets are set aside. */
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
        bool held = others_wait && GvSched_EnoughSetAside(r->active->service);
        gv_sched_target_t *tgt =
            held ? NULL : GvSched_ChooseTarget(s, r, t, now_ms);
        if (tgt == NULL) {
            tgt = GvSched_PeerTarget(r, t, now_ms);
        }
        GvSched_NoteSuspect(r, tgt != NULL, now_ms);
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
    return tgt->n_isolated == 0 && GvSched_MayRun(tgt, r, &free, now_ms);
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

/* Logs every GV_SCHED_WAIT_LOG_MS that a step of long-running tasks waits, for
   which target, and for how long its suspects have found no empty one. */
static void
log_waiting(const gv_ready_step_t *r, int64_t now_ms)
{
    const GPtrArray *targets = r->active->service->targets;
    const gv_sched_target_t *kept = NULL;
    gv_resources_t free = {0};
    char name[GV_TASK_NAME_BYTES];
    int64_t alone_ms = r->active->alone_since_ms == 0
                           ? 0
                           : now_ms - r->active->alone_since_ms;
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
                      "kept=%s free_cpu=%lld free_memory=%lld alone_ms=%lld",
                      name, r->active->n_waiting, (long long)r->step->need.cpu,
                      (long long)r->step->need.memory, targets->len,
                      kept == NULL ? "" : kept->id, (long long)free.cpu,
                      (long long)free.memory, (long long)alone_ms);
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
