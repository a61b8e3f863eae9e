#include <string.h>

#include "limits.h"
#include "sched_private.h"

/* Steps whose tasks may start now, and the demand of a service that follows
   from them. */

/* Returns true if some of these tasks wait. */
bool
GvSched_HasWaiting(const gv_active_job_t *a, int first, int count)
{
    if (a->n_waiting == 0) {
        return false;
    }
    for (int i = 0; i < count; i++) {
        if (a->job->tasks[first + i].state == GV_TASK_WAITING) {
            return true;
        }
    }
    return false;
}

/* Sets the critical paths of a job, unless they were set lately: the longest
   chains of dependent steps' run times. */
static void
set_paths(const gv_sched_t *s, gv_active_job_t *a, int64_t now_ms)
{
    const gv_job_t *job = a->job;
    if (a->path_set_ms != 0 && now_ms - a->path_set_ms < GV_SCHED_PATH_MS) {
        return;
    }
    if (a->rest_ms == NULL) {
        a->rest_ms = g_new0(double, (gsize)job->n_steps);
    }
    a->path_set_ms = now_ms;
    a->path_ms = 0;
    memset(a->rest_ms, 0, sizeof(double) * (size_t)job->n_steps);
    for (int i = job->n_steps - 1; i >= 0; i--) {
        const gv_step_t *step = &job->steps[i];
        a->rest_ms[i] += GvSched_ExpectedMs(s, a, i);
        for (int k = 0; k < step->n_after; k++) {
            int before = step->after[k];
            a->rest_ms[before] = MAX(a->rest_ms[before], a->rest_ms[i]);
        }
        if (step->n_after == 0) {
            a->path_ms = MAX(a->path_ms, a->rest_ms[i]);
        }
    }
}

/* Appends the steps of a job that may start now and have waiting tasks. */
static void
add_ready(const gv_sched_t *s, gv_active_job_t *a, int64_t now_ms, GArray *out)
{
    gv_job_t *job = a->job;
    const gv_queue_info_t *q = GvSched_QueueOf(s, job);
    int objective = q == NULL ? job->objective_ms : q->objective_ms;
    double stretch = q == NULL ? job->stretch : q->stretch;
    set_paths(s, a, now_ms);
    for (int k = 0; k < job->occurrences; k++) {
        int first = k * job->tasks_per_occurrence;
        int64_t begin = job->timed ? job->first_ms + k * job->interval_ms
                                   : job->accepted_ms;
        for (int i = 0; i < job->n_steps; i++) {
            const gv_step_t *step = &job->steps[i];
            if (GvSched_HasWaiting(a, first, step->count) &&
                GvJob_StepReady(job, k, i, s->wall_ms)) {
                gv_ready_step_t r = {
                    .active = a,
                    .step = step,
                    .first = first,
                    .priority = q == NULL ? job->priority : q->priority,
                    .needs_advice = q != NULL && q->needs_advice,
                    .deadline_ms =
                        begin + objective + (int64_t)(stretch * a->path_ms),
                };
                r.late =
                    (double)s->wall_ms + a->rest_ms[i] > (double)r.deadline_ms;
                r.order_ms =
                    r.deadline_ms -
                    (s->run_times == NULL ? 0 : (int64_t)a->rest_ms[i]);
                g_array_append_val(out, r);
            }
            first += step->count;
        }
    }
}

/* Returns the steps of a service's jobs that may start now and have waiting
   tasks. */
GArray *
GvSched_ReadySteps(const gv_sched_t *s, const gv_sched_service_t *sv,
                   int64_t now_ms)
{
    GHashTableIter it;
    gpointer key;
    GArray *out = g_array_new(FALSE, FALSE, sizeof(gv_ready_step_t));
    g_hash_table_iter_init(&it, sv->jobs);
    while (g_hash_table_iter_next(&it, &key, NULL)) {
        gv_active_job_t *a = key;
        if (a->n_waiting > 0 && !GvJob_Ended(a->job)) {
            add_ready(s, a, now_ms, out);
        }
    }
    return out;
}

/* Returns the room of the target of a service with the most cpu, of those that
   have answered; zero if there is none. */
static gv_resources_t
largest_room(const gv_sched_service_t *sv)
{
    gv_resources_t room = {0};
    for (guint i = 0; i < sv->targets->len; i++) {
        const gv_sched_target_t *tgt = g_ptr_array_index(sv->targets, i);
        if (tgt->hold_answered_ms != 0 && tgt->info.room.cpu > room.cpu) {
            room = tgt->info.room;
        }
    }
    return room;
}

/* Returns how many more targets with this room the waiting tasks of a step
   need; 0 unless they are long-running and no target could have held them for
   GV_SCHED_NO_ROOM_MS. Also 0 if such a target might not hold them either: it
   is too small, or they need a label. */
static int
lacking_hosts(const gv_ready_step_t *r, const gv_resources_t *room,
              int64_t now_ms)
{
    int waiting = 0;
    int64_t each =
        r->step->max_per_target > 0 ? r->step->max_per_target : r->step->count;
    if (r->active->no_room_since_ms == 0 ||
        now_ms - r->active->no_room_since_ms < GV_SCHED_NO_ROOM_MS ||
        r->step->label.n > 0 || !GvResources_Fit(r->step->need, *room)) {
        return 0;
    }
    for (int i = 0; i < r->step->count; i++) {
        waiting += r->active->job->tasks[r->first + i].state == GV_TASK_WAITING
                       ? 1
                       : 0;
    }
    each = MIN(each, room->cpu / MAX(r->step->need.cpu, 1));
    each = MAX(MIN(each, room->memory / MAX(r->step->need.memory, 1)), 1);
    return (int)((waiting + each - 1) / each);
}

/* Returns true if the limit of its account lets some tasks of a step start, or
   its whole gang, which is then counted as wanted. */
static bool
is_allowed(gv_sched_t *s, const gv_ready_step_t *r)
{
    return r->step->gang
               ? GvSched_AddWanted(s, r->active, r->step, r->step->count)
               : GvSched_AccountAllows(s, r->active, r->step, 1);
}

/* Returns the demand of a service: of running tasks, of waiting tasks that may
   start now, and expected within ahead_ms. Late tasks count with a part of
   their cpu only; tasks that use leftover cpu and those beyond the limit of
   their account don't count as waiting. A suspect counts with a whole
   target. */
gv_demand_t
GvSched_Demand(gv_sched_t *s, gv_str_t service, int64_t ahead_ms,
               int64_t now_ms, int64_t wall_ms)
{
    gv_demand_t d = {0};
    d.arriving_cpu = GvLoads_ArrivingCpu(s->loads, service, now_ms);
    d.expected_cpu =
        GvLoads_ExpectedBurstCpu(s->loads, service, ahead_ms, now_ms);
    const gv_sched_service_t *sv = GvSched_Service(s, service);
    s->wall_ms = wall_ms;
    gv_resources_t whole = largest_room(sv);
    GArray *ready = GvSched_ReadySteps(s, sv, now_ms);
    GvSched_ResetWanted(s);
    for (guint i = 0; i < ready->len; i++) {
        const gv_ready_step_t *r = &g_array_index(ready, gv_ready_step_t, i);
        if (r->step->uses_leftover_cpu || !is_allowed(s, r)) {
            continue;
        }
        /* Not the sum: a host may hold tasks of several steps. What is still
           lacking once it has come is asked for then. */
        d.lacking_hosts =
            MAX(d.lacking_hosts, lacking_hosts(r, &whole, now_ms));
        for (int k = 0; k < r->step->count; k++) {
            const gv_task_t *t = &r->active->job->tasks[r->first + k];
            if (t->state == GV_TASK_WAITING &&
                (r->step->gang ||
                 GvSched_AddWanted(s, r->active, r->step, 1))) {
                int64_t cpu = t->suspect ? MAX(whole.cpu, r->step->need.cpu)
                                         : r->step->need.cpu;
                d.waiting++;
                d.wanted_cpu += r->late ? cpu / GV_SCHED_LATE_DIVISOR : cpu;
            }
        }
    }
    g_array_free(ready, TRUE);
    for (guint i = 0; i < sv->targets->len; i++) {
        const gv_sched_target_t *tgt = g_ptr_array_index(sv->targets, i);
        d.used_cpu += tgt->n_isolated > 0
                          ? MAX(tgt->used.cpu, tgt->info.room.cpu)
                          : tgt->used.cpu;
    }
    return d;
}
