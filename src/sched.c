#include <stdio.h>
#include <string.h>

#include "error.h"
#include "evlog.h"
#include "job_record.h"
#include "limits.h"
#include "sched_private.h"

static void
clear_info(gv_target_info_t *i)
{
    GvStr_Free(&i->id);
    GvStr_Free(&i->host);
    GvStr_Free(&i->addr);
    GvStr_Free(&i->service);
    GvStr_Free(&i->dc);
    GvStr_Free(&i->rack);
    GvStr_Free(&i->labels);
}

static void
free_target(gpointer p)
{
    gv_sched_target_t *tgt = p;
    clear_info(&tgt->info);
    g_ptr_array_free(tgt->runs, TRUE);
    g_free(tgt);
}

static void
free_active(gpointer p)
{
    gv_active_job_t *a = p;
    for (int i = 0; i < a->job->n_tasks; i++) {
        g_free(a->runs[i]);
    }
    if (a->service != NULL) {
        g_hash_table_remove(a->service->jobs, a);
    }
    g_free(a->runs);
    g_free(a->rest_ms);
    g_free(a->step_runs);
    GvJob_Free(a->job);
    g_free(a);
}

static void
free_queue(gpointer p)
{
    gv_queue_info_t *q = p;
    GvStr_Free(&q->name);
    GvStr_Free(&q->service);
    g_free(q);
}

/* Returns a scheduler without queues, targets and jobs. */
gv_sched_t *
GvSched_New(const gv_sched_opts_t *o)
{
    gv_sched_t *s = g_new0(gv_sched_t, 1);
    s->o = *o;
    s->replay_pending = true;
    s->targets =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_target);
    s->jobs = g_hash_table_new_full(GvStr_HashKey, GvStr_EqualKeys, NULL,
                                    free_active);
    s->queues = g_hash_table_new_full(GvStr_HashKey, GvStr_EqualKeys, NULL,
                                      free_queue);
    s->services = g_hash_table_new_full(GvStr_HashKey, GvStr_EqualKeys, NULL,
                                        GvSched_FreeService);
    s->accounts = GvSched_NewAccounts();
    s->due_targets = g_ptr_array_new();
    s->ended_targets = g_ptr_array_new();
    s->batched_targets = g_ptr_array_new();
    s->dirty_jobs = g_ptr_array_new();
    s->ended_jobs = g_ptr_array_new();
    s->failing = g_ptr_array_new();
    s->by_host = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    s->loads = GvLoads_New();
    s->run_times = o->learn_run_times ? GvRunTimes_New() : NULL;
    s->advice = GvSched_NewAdvice();
    s->strays = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    s->unbatched = g_ptr_array_new();
    s->batched = g_ptr_array_new();
    return s;
}

/* Frees a scheduler; runs on targets go on until their leases end. */
void
GvSched_Free(gv_sched_t *s)
{
    g_ptr_array_free(s->unbatched, TRUE);
    g_ptr_array_free(s->batched, TRUE);
    g_ptr_array_free(s->due_targets, TRUE);
    g_ptr_array_free(s->ended_targets, TRUE);
    g_ptr_array_free(s->batched_targets, TRUE);
    g_ptr_array_free(s->dirty_jobs, TRUE);
    g_ptr_array_free(s->ended_jobs, TRUE);
    g_ptr_array_free(s->failing, TRUE);
    g_hash_table_destroy(s->by_host);
    g_hash_table_destroy(s->jobs);
    g_hash_table_destroy(s->targets);
    g_hash_table_destroy(s->services);
    g_hash_table_destroy(s->queues);
    g_hash_table_destroy(s->accounts);
    GvLoads_Free(s->loads);
    if (s->run_times != NULL) {
        GvRunTimes_Free(s->run_times);
    }
    g_hash_table_destroy(s->advice);
    g_hash_table_destroy(s->strays);
    if (s->former_leases != NULL) {
        g_hash_table_destroy(s->former_leases);
    }
    g_free(s);
}

/* Returns true if a target has seen the epoch of a newer scheduler. */
bool
GvSched_IsFenced(const gv_sched_t *s)
{
    return s->fenced;
}

/* Replaces the queues. A job whose queue is gone keeps the service, attempts,
   priority and objective that were set when it was accepted. */
void
GvSched_SetQueues(gv_sched_t *s, const gv_queue_info_t *queues, int n)
{
    g_hash_table_remove_all(s->queues);
    for (int i = 0; i < n; i++) {
        gv_queue_info_t *q = g_memdup2(&queues[i], sizeof *q);
        q->name = GvStr_Dup(q->name);
        q->service = GvStr_Dup(q->service);
        g_hash_table_replace(s->queues, &q->name, q);
    }
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, s->jobs);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        GvSched_AssignJob(s, value);
    }
}

/* Returns the job's queue, or NULL if the settings no longer have it. */
const gv_queue_info_t *
GvSched_QueueOf(const gv_sched_t *s, const gv_job_t *job)
{
    return g_hash_table_lookup(s->queues, &job->queue);
}

/* Returns the service whose targets run the job now. */
gv_str_t
GvSched_ServiceOf(const gv_sched_t *s, const gv_job_t *job)
{
    const gv_queue_info_t *q = GvSched_QueueOf(s, job);
    return q == NULL ? job->service : q->service;
}

/* Returns how many failed runs of one task fail the job; at least 1. */
int
GvSched_AttemptsOf(const gv_sched_t *s, const gv_job_t *job)
{
    const gv_queue_info_t *q = GvSched_QueueOf(s, job);
    return MAX(q == NULL ? job->attempts : q->attempts, 1);
}

gv_sched_target_t *
GvSched_FindTarget(const gv_sched_t *s, const char *id)
{
    return g_hash_table_lookup(s->targets, id);
}

gv_active_job_t *
GvSched_FindJob(const gv_sched_t *s, gv_str_t id)
{
    return g_hash_table_lookup(s->jobs, &id);
}

/* Writes the full name of a task, ID.K.STEP.INDEX. */
void
GvSched_TaskName(const gv_job_t *job, int task, char *out, size_t n)
{
    gv_task_place_t at = GvJob_PlaceOf(job, task);
    snprintf(out, n, "%.*s.%d.%d.%d", GV_STR_ARG(job->id), at.occurrence,
             at.step, at.index);
}

/* Reads a dot and a decimal number at *used, which is moved behind them.
   Returns false if there is something else. */
static bool
read_part(gv_str_t name, size_t *used, int *out)
{
    size_t i = *used;
    int value = 0;
    if (i >= name.n || name.p[i] != '.') {
        return false;
    }
    size_t first = ++i;
    for (; i < name.n && g_ascii_isdigit(name.p[i]); i++) {
        if (value > GV_JOB_TASKS_MAX) {
            return false;
        }
        value = value * 10 + (name.p[i] - '0');
    }
    *used = i;
    *out = value;
    return i > first;
}

/* Returns the job of a task with this full name and sets its number. Returns
   NULL if the job is not active here or the name is not one of its tasks. */
gv_active_job_t *
GvSched_FindTask(const gv_sched_t *s, gv_str_t name, int *task)
{
    int parts[3];
    size_t used = GV_JOB_ID_BYTES;
    if (name.n <= GV_JOB_ID_BYTES || name.n >= GV_TASK_NAME_BYTES) {
        return NULL;
    }
    gv_active_job_t *a = GvSched_FindJob(s, GvStr_N(name.p, GV_JOB_ID_BYTES));
    for (int i = 0; i < 3; i++) {
        if (!read_part(name, &used, &parts[i])) {
            return NULL;
        }
    }
    if (a == NULL || used != name.n) {
        return NULL;
    }
    gv_task_place_t at = {parts[0], parts[1], parts[2]};
    *task = GvJob_TaskOf(a->job, at);
    return *task < 0 ? NULL : a;
}

static gv_sched_target_t *
find_or_add_target(gv_sched_t *s, const char *id)
{
    gv_sched_target_t *tgt = GvSched_FindTarget(s, id);
    if (tgt == NULL) {
        tgt = g_new0(gv_sched_target_t, 1);
        tgt->id = g_intern_string(id);
        tgt->runs = g_ptr_array_new();
        g_hash_table_insert(s->targets, (gpointer)tgt->id, tgt);
    }
    return tgt;
}

/* Adds or updates a listed target. A later start than before means that it was
   restarted. If it begins to drain, its long-running tasks are stopped. */
void
GvSched_SetTarget(gv_sched_t *s, const gv_target_info_t *info, int64_t now_ms)
{
    char *id = g_strndup(info->id.p, info->id.n);
    gv_sched_target_t *tgt = find_or_add_target(s, id);
    g_free(id);
    bool drains = info->draining && !tgt->info.draining;
    if (!tgt->listed || drains ||
        !GvStr_Equal(tgt->info.service, info->service)) {
        GvEvlog_Write("target", "target=%s service=%.*s draining=%d left=%lld",
                      tgt->id, GV_STR_ARG(info->service), info->draining,
                      (long long)info->remaining_ms);
    }
    bool changed = !tgt->listed || drains ||
                   tgt->info.draining != info->draining ||
                   !GvStr_Equal(tgt->info.service, info->service) ||
                   !GvResources_Equal(tgt->info.room, info->room) ||
                   !GvStr_Equal(tgt->info.labels, info->labels);
    if (!GvStr_Equal(tgt->info.host, info->host)) {
        GvSched_ForgetHost(s, tgt);
    }
    gv_target_info_t copy = *info;
    copy.id = GvStr_Dup(info->id);
    copy.host = GvStr_Dup(info->host);
    copy.addr = GvStr_Dup(info->addr);
    copy.service = GvStr_Dup(info->service);
    copy.dc = GvStr_Dup(info->dc);
    copy.rack = GvStr_Dup(info->rack);
    copy.labels = GvStr_Dup(info->labels);
    clear_info(&tgt->info);
    tgt->info = copy;
    tgt->listed = true;
    GvSched_ReplaceOnHost(s, tgt, now_ms);
    GvSched_AssignTarget(s, tgt);
    GvSched_UpdateSoon(s, tgt);
    tgt->first_listed_ms =
        tgt->first_listed_ms == 0 ? now_ms : tgt->first_listed_ms;
    if (tgt->started_ms == 0) {
        tgt->started_ms = info->started_ms;
        tgt->started_known_ms = now_ms;
    }
    else if (info->started_ms > tgt->started_ms &&
             info->started_ms != tgt->former_start_ms) {
        GvSched_HandleRestart(s, tgt, info->started_ms, now_ms);
    }
    for (guint i = 0; drains && i < tgt->runs->len; i++) {
        gv_run_t *r = g_ptr_array_index(tgt->runs, i);
        if (r->active->long_running) {
            GvSched_StopRun(s, r, "target is draining", now_ms);
        }
    }
    if (changed) {
        GvSched_PlaceSoon(tgt->service);
    }
}

/* Marks a target as no longer listed. Its runs may still be live: they are
   kept until it answers or their leases have ended. */
void
GvSched_RemoveTarget(gv_sched_t *s, gv_str_t id, int64_t now_ms)
{
    char *name = g_strndup(id.p, id.n);
    gv_sched_target_t *tgt = GvSched_FindTarget(s, name);
    g_free(name);
    if (tgt == NULL || !tgt->listed) {
        return;
    }
    GvEvlog_Write("target", "target=%s gone runs=%u lease_left=%lld", tgt->id,
                  tgt->runs->len,
                  (long long)(GvSched_LeaseEndMs(s, tgt, now_ms) - now_ms));
    tgt->listed = false;
}

/* Removes every target that is not in the set of ids. */
void
GvSched_KeepTargets(gv_sched_t *s, GHashTable *ids, int64_t now_ms)
{
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, s->targets);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const gv_sched_target_t *tgt = value;
        if (!g_hash_table_contains(ids, tgt->id)) {
            GvSched_RemoveTarget(s, GvStr_C(tgt->id), now_ms);
        }
    }
}

/* Returns how many targets have runs and did not answer the newest hold. */
int
GvSched_CountUnresponsive(const gv_sched_t *s)
{
    GHashTableIter it;
    gpointer value;
    int n = 0;
    g_hash_table_iter_init(&it, s->targets);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const gv_sched_target_t *tgt = value;
        n += tgt->hold_failures > 0 && tgt->runs->len > 0 ? 1 : 0;
    }
    return n;
}

/* Adds a copy of a job and its progress, unless it was added before. Recorded
   runs may be live: they are kept until their targets list or miss them. */
void
GvSched_AddJob(gv_sched_t *s, const gv_job_t *job, int64_t now_ms)
{
    msgpack_sbuffer sb;
    gv_job_t *copy = NULL;
    if (GvSched_FindJob(s, job->id) != NULL) {
        return;
    }
    msgpack_sbuffer_init(&sb);
    GvJobRecord_PackDefinition(job, &sb);
    int rc = GvJobRecord_ReadDefinition(GvStr_N(sb.data, sb.size), &copy);
    sb.size = 0;
    if (rc == GV_OK) {
        GvJobRecord_PackProgress(job, &sb);
        rc = GvJobRecord_ReadProgress(GvStr_N(sb.data, sb.size), copy);
    }
    msgpack_sbuffer_destroy(&sb);
    if (rc != GV_OK) {
        GvEvlog_Write("job",
                      "job=%.*s not scheduled, its record cannot be read: %s",
                      GV_STR_ARG(job->id), Gv_StrError(rc));
        GvJob_Free(copy);
        return;
    }
    copy->cancelled = job->cancelled;
    gv_active_job_t *a = g_new0(gv_active_job_t, 1);
    a->job = copy;
    a->long_running = GvJob_IsLongRunning(copy);
    a->started = copy->begun;
    a->runs = g_new0(gv_run_t *, (gsize)copy->n_tasks);
    g_hash_table_insert(s->jobs, &copy->id, a);
    GvSched_AssignJob(s, a);
    GvSched_AssignAccount(s, a);
    for (int i = 0; i < copy->n_tasks; i++) {
        gv_task_t *t = &copy->tasks[i];
        a->has_suspects = a->has_suspects || t->suspect;
        /* The wait of such a task is not stored. */
        if (a->long_running && t->suspect && t->crashes >= 2) {
            t->retry_ms = now_ms + GV_SCHED_CRASHER_WAIT_MS;
        }
        a->n_waiting += t->state == GV_TASK_WAITING ? 1 : 0;
        if (t->state == GV_TASK_PLACED && t->target != NULL) {
            gv_sched_target_t *tgt = find_or_add_target(s, t->target);
            tgt->inherited = true;
            GvSched_AddRun(s, a, i, tgt, GV_RUN_UNCONFIRMED, s->o.now_ms);
        }
    }
    if (GvJob_Ended(copy)) {
        GvSched_StopJob(s, a, "job has ended", s->o.now_ms);
    }
    else if (!a->long_running && !s->replay_pending) {
        GvLoads_AddJob(s->loads, copy, GvSched_ServiceOf(s, copy), now_ms);
    }
}

/* Adds the arrivals of jobs that an earlier scheduler has handled, in the
   order of their acceptance, as if they were sampled then; older ones than
   GV_LOAD_HISTORY_MS are left out. Jobs added from now on arrive now. */
void
GvSched_ReplayArrivals(gv_sched_t *s, const gv_job_t *const *jobs, int n,
                       int64_t now_ms, int64_t wall_ms)
{
    int64_t at = 0;
    s->replay_pending = false;
    for (int i = 0; i < n; i++) {
        int64_t then = now_ms - (wall_ms - jobs[i]->accepted_ms);
        if (then > now_ms || now_ms - then > GV_LOAD_HISTORY_MS ||
            GvJob_IsLongRunning(jobs[i])) {
            continue;
        }
        for (at = at == 0 ? then : at; at < then; at += GV_POOL_PLAN_MS) {
            GvLoads_Sample(s->loads, at);
        }
        GvLoads_AddJob(s->loads, jobs[i], GvSched_ServiceOf(s, jobs[i]), then);
    }
    for (; at != 0 && at < now_ms; at += GV_POOL_PLAN_MS) {
        GvLoads_Sample(s->loads, at);
    }
}

/* Returns when the target's incarnation began, wall clock; 0: unknown. */
int64_t
GvSched_TargetStartMs(const gv_sched_t *s, gv_str_t target)
{
    char *name = g_strndup(target.p, target.n);
    const gv_sched_target_t *tgt = GvSched_FindTarget(s, name);
    g_free(name);
    return tgt == NULL ? 0 : tgt->info.started_ms;
}

/* Every job that an earlier scheduler may have started has been added. Until
   this call nothing is placed, because unknown runs take room, and what
   targets list of unknown jobs is left alone: a task would run again if the
   target forgot its end before the job was read. */
void
GvSched_SetJobsLoaded(gv_sched_t *s)
{
    s->jobs_loaded = true;
    GvSched_PlaceAllSoon(s);
}

bool
GvSched_HasJobsLoaded(const gv_sched_t *s)
{
    return s->jobs_loaded;
}

/* Cancels a job: its runs are stopped and no more are started. */
void
GvSched_Cancel(gv_sched_t *s, gv_str_t id, int64_t now_ms)
{
    gv_active_job_t *a = GvSched_FindJob(s, id);
    if (a == NULL || a->job->cancelled) {
        return;
    }
    GvEvlog_Write("cancel", "job=%.*s runs=%d", GV_STR_ARG(id), a->n_runs);
    a->job->cancelled = true;
    GvSched_MarkDirty(s, a);
    GvSched_StopJob(s, a, "cancelled", now_ms);
}

/* Fills *v with the present state of a target. Returns false if it is not
   listed. The strings are valid until the target changes. */
bool
GvSched_View(const gv_sched_t *s, gv_str_t target, gv_target_view_t *v)
{
    char *name = g_strndup(target.p, target.n);
    const gv_sched_target_t *tgt = GvSched_FindTarget(s, name);
    g_free(name);
    if (tgt == NULL || !tgt->listed) {
        return false;
    }
    *v = (gv_target_view_t){
        .id = tgt->id,
        .service = tgt->info.service.p,
        .rack = tgt->info.rack.p,
        .runs = (int)tgt->runs->len,
        .draining = tgt->info.draining,
        .reserved = tgt->reserved,
        .room = tgt->info.room,
        .free = tgt->info.room,
    };
    GvResources_Subtract(&v->free, tgt->used);
    v->n_long_running = tgt->n_long_running;
    return true;
}

/* Returns the number of runs on a target, whether it is listed or not. */
int
GvSched_CountRuns(const gv_sched_t *s, gv_str_t target)
{
    char *name = g_strndup(target.p, target.n);
    const gv_sched_target_t *tgt = GvSched_FindTarget(s, name);
    g_free(name);
    return tgt == NULL ? 0 : (int)tgt->runs->len;
}

/* Sets whether a target is reserved: a reserved one gets no new tasks. */
void
GvSched_Reserve(gv_sched_t *s, gv_str_t target, bool reserved)
{
    char *name = g_strndup(target.p, target.n);
    gv_sched_target_t *tgt = GvSched_FindTarget(s, name);
    g_free(name);
    if (tgt != NULL && tgt->reserved != reserved) {
        GvEvlog_Write("reserve", "target=%s reserved=%d runs=%u", tgt->id,
                      reserved, tgt->runs->len);
        tgt->reserved = reserved;
        GvSched_PlaceSoon(tgt->service);
    }
}

/* Renews leases, drops runs whose lease has ended and places waiting tasks.
   Returns when it has to be called again if no event comes before. */
int64_t
GvSched_Run(gv_sched_t *s, int64_t now_ms, int64_t wall_ms)
{
    s->wall_ms = wall_ms;
    if (now_ms - s->sampled_ms >= GV_POOL_PLAN_MS) {
        s->sampled_ms = now_ms;
        GvLoads_Sample(s->loads, now_ms);
    }
    int64_t next = GvSched_UpdateTargets(s, now_ms);
    GvSched_Place(s, now_ms);
    return next;
}
