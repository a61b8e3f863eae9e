#include "sim_private.h"

#include "limits.h"

enum {
    SHORT_MS = 200, /* work that runs longer counts as long */
    BAD_RUN_MS = 2, /* run time on the bad worker, which fails immediately */
    FAULT_FROM_MS = 60000,
    FAULT_TO_MS = 120000
};

/* Returns true while the fault of the simulation lasts, if it has one. */
static bool
in_fault(const gv_sim_t *s)
{
    return s->now_ms >= FAULT_FROM_MS && s->now_ms < FAULT_TO_MS;
}

/* Returns the kind of work that the caller states. */
static gv_str_t
work_of(const gv_sim_req_t *q)
{
    return GvStr_C(q->job.work);
}

/* Adds a wait in ms to the samples of the request's kind and team. */
static void
add_wait(gv_sim_t *s, const gv_sim_req_t *q, double ms)
{
    gv_sim_result_t *r = s->result;
    if (q->job.is_long_kind) {
        g_array_append_val(r->long_wait, ms);
        return;
    }
    g_array_append_val(r->short_wait, ms);
    g_array_append_val(q->job.team_draw < 0.5 ? r->above_quota_wait
                                              : r->within_quota_wait,
                       ms);
}

/* Counts the end of a request and frees it. ok: it ran successfully. */
static void
close_request(gv_sim_t *s, gv_sim_req_t *q, bool ok)
{
    gv_sim_result_t *r = s->result;
    double end = s->now_ms + (q->entry != q->first ? GV_SIM_HOP_MS : 0);
    bool in_time = ok && end <= q->arrived_ms + q->job.deadline_ms;
    r->spilled += q->entry != q->first && q->wait_ms >= 0;
    if (q->dc != 0) {
        r->second_in_time += in_time;
        if (q->wait_ms < 0 && !q->job.is_long_kind) {
            g_array_append_val(r->second_wait, q->job.deadline_ms);
        }
        g_free(q);
        return;
    }
    r->in_time += in_time;
    if (q->job.is_long_kind) {
        r->long_in_time += in_time;
    }
    else {
        r->short_in_time += in_time;
        /* As with the waits, a request without an answer counts with its whole
           deadline. */
        double ms = ok ? end - q->arrived_ms : q->job.deadline_ms;
        if (!q->job.always_fails) {
            g_array_append_val(r->response, ms);
        }
    }
    r->answered_after_deadline += ok && !in_time;
    if (q->wait_ms < 0) {
        /* Work that never starts counts with its whole deadline, so that
           dropping work does not improve the result of a policy. */
        add_wait(s, q, q->job.deadline_ms);
    }
    r->urgent_not_started += q->job.urgent && q->wait_ms < 0;
    bool lost = !ok && q->failed_on_bad_worker && !q->job.always_fails;
    r->lost_to_bad_worker += lost;
    r->lost_in_trials += lost && q->trial;
    g_free(q);
}

/* Counts the start of an attempt, and the wait if it is the first. */
static void
measure_start(gv_sim_t *s, gv_sim_req_t *q)
{
    s->result->starts++;
    s->result->attempts_in_fault += in_fault(s);
    if (q->wait_ms >= 0) {
        return;
    }
    q->wait_ms = s->now_ms - q->arrived_ms;
    if (q->dc != 0) {
        if (!q->job.is_long_kind) {
            g_array_append_val(s->result->second_wait, q->wait_ms);
        }
        return;
    }
    add_wait(s, q, q->wait_ms);
    if (!q->job.is_long_kind) {
        s->result->short_worst = MAX(s->result->short_worst, q->wait_ms);
    }
    if (q->job.urgent) {
        g_array_append_val(s->result->urgent_wait, q->wait_ms);
    }
}

/* Starts an attempt on target t and schedules its end. */
static void
start(gv_sim_t *s, gv_sim_entry_t *e, gv_sim_req_t *q, int t)
{
    q->target = t;
    q->started_ms = s->now_ms;
    q->counted_long = q->item.is_long;
    q->running_index = (gint)e->running->len;
    g_ptr_array_add(e->running, q);
    e->busy[t]++;
    e->load.busy++;
    e->load.busy_long += q->counted_long;
    s->running[e->dc][t]++;
    measure_start(s, q);
    bool bad = s->opts->bad_worker && t == 0 && in_fault(s);
    bool down =
        s->opts->collapse && in_fault(s) && g_rand_double(s->rand) < 0.8;
    double run = q->job.real_ms;
    if (s->opts->slow && t % 5 == 0) {
        run *= 3;
    }
    q->fails = bad || down || q->job.always_fails;
    q->failed_on_bad_worker = bad;
    GvSim_Schedule(s, s->now_ms + (bad ? BAD_RUN_MS : run), GV_SIM_FINISH, q);
}

/* Returns the retry policy's decision after an attempt with that result. */
static gv_retry_decision_t
decide(gv_sim_t *s, gv_sim_req_t *q, gv_attempt_t a)
{
    gv_retry_case_t c = {.attempt = a,
                         .idempotent = q->job.idempotent,
                         .attempts = q->attempts,
                         .hosts_failed = q->hosts_failed,
                         .left_ms = q->item.deadline_ms - (int64_t)s->now_ms,
                         .run_ms = q->item.run_ms};
    return s->retry->decide(&c, &q->entry->budget);
}

/* Starts waiting work of an entry host while slots are free. */
static void
dispatch(gv_sim_t *s, gv_sim_entry_t *e)
{
    for (;;) {
        GvSim_UpdateLoad(s, e);
        gv_queue_item_t *it =
            s->queue->pop(e->queue, (int64_t)s->now_ms, &e->load);
        if (it == NULL) {
            return;
        }
        gv_sim_req_t *q = (gv_sim_req_t *)it;
        for (int t = 0; t < s->opts->targets; t++) {
            e->candidates[t].avoid = (q->tried >> t & 1) != 0;
            e->candidates[t].ejected |=
                e->candidates[t].idempotent_only && !q->job.idempotent;
        }
        int t = s->place->choose(e->candidates, s->opts->targets,
                                 g_rand_int(s->rand), e->turn++);
        if (t < 0) {
            s->queue->requeue(e->queue, it, (int64_t)s->now_ms);
            return;
        }
        q->trial = e->eject[t].ejected;
        if (q->trial) {
            bool due = GvEject_StartTrial(
                &e->eject[t], q->job.idempotent || s->opts->trial_any_request,
                (int64_t)s->now_ms);
            g_assert(due);
        }
        q->attempts++;
        if (s->running[e->dc][t] < GV_TARGET_SLOTS) {
            start(s, e, q, t);
            continue;
        }
        s->result->refusals++;
        e->candidates[t].refused++;
        if (decide(s, q, GV_ATTEMPT_REFUSED) == GV_RETRY_REQUEUE) {
            s->queue->requeue(e->queue, it, (int64_t)s->now_ms);
            GvSim_Schedule(s, s->now_ms + 3, GV_SIM_DISPATCH, q);
            return;
        }
        close_request(s, q, false);
    }
}

/* Schedules the arrival of the data centre's next request. */
static void
draw_arrival(gv_sim_t *s, int dc)
{
    gv_sim_req_t *q = g_new0(gv_sim_req_t, 1);
    q->dc = dc;
    GvSim_Schedule(s, GvLoad_NextArrival(&s->gen[dc], s->now_ms),
                   GV_SIM_ARRIVE, q);
}

/* Counts a request that has arrived. */
static void
count_request(gv_sim_t *s, const gv_sim_req_t *q)
{
    if (q->dc != 0) {
        s->result->second_requests++;
        return;
    }
    s->result->requests++;
    s->result->requests_in_fault += in_fault(s);
    s->result->shorts += !q->job.is_long_kind;
    s->result->longs += q->job.is_long_kind;
    s->result->urgents += q->job.urgent;
}

/* Returns true if the entry host offers new work to the other data centre
   before its own queue: no slot is free, and at least as many requests wait as
   it has slots. */
static bool
should_spill(const gv_sim_t *s, const gv_sim_entry_t *e)
{
    return e->load.busy >= e->load.slots &&
           s->queue->length(e->queue) >= e->load.slots;
}

/* Queues the request at its entry host, spills it or refuses it. */
static void
submit(gv_sim_t *s, gv_sim_req_t *q)
{
    gv_sim_entry_t *e = q->entry;
    GvSim_UpdateLoad(s, e);
    if (should_spill(s, e) && GvSim_Spill(s, q)) {
        return;
    }
    q->item = (gv_queue_item_t){
        .team = GvStr_C(q->job.team),
        .urgent = q->job.urgent,
        .is_long =
            !s->opts->no_classes && GvEstimate_IsLong(e->estimate, work_of(q)),
        .run_ms = GvEstimate_RunMs(e->estimate, work_of(q)),
        .deadline_ms = (int64_t)(q->arrived_ms + q->job.deadline_ms)};
    gv_admit_t a =
        s->queue->push(e->queue, &q->item, (int64_t)s->now_ms, &e->load);
    if (a.kind == GV_ADMIT_QUEUED) {
        dispatch(s, e);
    }
    else if (e != q->first) {
        /* The other data centre refuses the request; return it to the first
           entry host. */
        q->entry = q->first;
        GvSim_Schedule(s, s->now_ms + GV_SIM_HOP_MS, GV_SIM_HOP, q);
    }
    else if (!GvSim_Spill(s, q)) {
        s->result->refused += q->dc == 0;
        s->result->second_refused += q->dc != 0;
        close_request(s, q, false);
    }
}

/* Draws the properties of a new request, counts and submits it. */
static void
arrive(gv_sim_t *s, gv_sim_req_t *q)
{
    draw_arrival(s, q->dc);
    q->entry = GvSim_DrawEntry(s, q->dc);
    q->first = q->entry;
    GvLoad_DrawJob(&s->gen[q->dc], &q->job);
    if (s->opts->teams > 0) {
        double rest = MAX(q->job.team_draw - 0.5, 0) * 2;
        int team = q->job.team_draw < 0.5
                       ? 0
                       : 1 + (int)(rest * (s->opts->teams - 1));
        q->job.team = s->teams[team];
    }
    q->arrived_ms = s->now_ms;
    q->wait_ms = -1;
    count_request(s, q);
    GvRetry_CountRequest(&q->entry->budget);
    submit(s, q);
}

/* Frees the slot of an attempt that has ended. */
static void
end_attempt(gv_sim_t *s, gv_sim_req_t *q)
{
    gv_sim_entry_t *e = q->entry;
    g_ptr_array_remove_index_fast(e->running, (guint)q->running_index);
    if ((guint)q->running_index < e->running->len) {
        ((gv_sim_req_t *)e->running->pdata[q->running_index])->running_index =
            q->running_index;
    }
    e->busy[q->target]--;
    /* The target has a free slot again, so its refusals no longer count. */
    e->candidates[q->target].refused = 0;
    e->load.busy--;
    e->load.busy_long -= q->counted_long;
    s->running[e->dc][q->target]--;
}

/* Counts the result of an attempt for the ejection of its target. */
static void
update_ejection(gv_sim_t *s, gv_sim_entry_t *e, const gv_sim_req_t *q)
{
    int out = 0;
    for (int t = 0; t < s->opts->targets; t++) {
        out += e->eject[t].ejected;
    }
    bool may = !s->opts->no_eject && GvEject_IsAllowed(out, s->opts->targets);
    GvEject_CountAttempt(&e->eject[q->target],
                         q->fails ? GV_ATTEMPT_FAILED : GV_ATTEMPT_OK, may,
                         (int64_t)s->now_ms);
}

/* Ends an attempt, then closes its request or queues it for a retry. */
static void
finish(gv_sim_t *s, gv_sim_req_t *q)
{
    gv_sim_entry_t *e = q->entry;
    end_attempt(s, q);
    update_ejection(s, e, q);
    if (!q->fails) {
        double ran = s->now_ms - q->started_ms;
        double ratio = 1000 * ran / MAX(q->item.run_ms, 1);
        gv_candidate_t *c = &e->candidates[q->target];
        c->run_ratio_permille +=
            (MIN(ratio, 10000) - c->run_ratio_permille) * 0.05;
        GvEstimate_AddRun(e->estimate, work_of(q), ran);
        close_request(s, q, true);
    }
    else {
        q->hosts_failed += (q->tried >> q->target & 1) == 0;
        q->tried |= 1U << q->target;
        if (decide(s, q, GV_ATTEMPT_FAILED) == GV_RETRY_NO) {
            close_request(s, q, false);
        }
        else {
            s->queue->requeue(e->queue, &q->item, (int64_t)s->now_ms);
        }
    }
    dispatch(s, e);
}

/* Cancels a third of the work that waits at an entry host. */
static void
cancel_third(gv_sim_t *s, gv_sim_entry_t *e)
{
    /* The queue has no iterator, but expiry at a distant time takes out each
       item once. All are requeued in their order, then every third removed. */
    GPtrArray *all = g_ptr_array_new();
    gv_queue_item_t *it;
    while ((it = s->queue->expire(e->queue, INT64_MAX / 2)) != NULL) {
        g_ptr_array_add(all, it);
    }
    for (guint i = all->len; i-- > 0;) {
        gv_sim_req_t *q = all->pdata[i];
        s->queue->requeue(e->queue, &q->item, (int64_t)s->now_ms);
    }
    for (guint i = 0; i < all->len; i += 3) {
        gv_sim_req_t *q = all->pdata[i];
        s->queue->remove(e->queue, &q->item);
        /* Cancelled requests are left out of the request counts. */
        if (q->dc != 0) {
            s->result->second_requests--;
            g_free(q);
            continue;
        }
        s->result->requests--;
        s->result->shorts -= !q->job.is_long_kind;
        s->result->longs -= q->job.is_long_kind;
        s->result->urgents -= q->job.urgent;
        g_free(q);
    }
    g_ptr_array_free(all, TRUE);
}

/* The periodic work of all entry hosts: heartbeats, expiry, run time
   estimates, cancelling and lending. */
static void
tick(gv_sim_t *s)
{
    GvSim_Schedule(s, s->now_ms + GV_TIMER_TICK_MS, GV_SIM_TICK, NULL);
    bool asks = (int64_t)s->now_ms % GV_LOAN_REQUEST_MS < GV_TIMER_TICK_MS;
    if (s->opts->spill &&
        (int64_t)s->now_ms % GV_HEARTBEAT_MS < GV_TIMER_TICK_MS) {
        GvSim_Heartbeat(s);
    }
    for (int i = 0; i < s->n_entries; i++) {
        gv_sim_entry_t *e = &s->entries[i];
        gv_queue_item_t *it;
        while ((it = s->queue->expire(e->queue, (int64_t)s->now_ms)) != NULL) {
            close_request(s, (gv_sim_req_t *)it, false);
        }
        for (guint k = 0; k < e->running->len; k++) {
            gv_sim_req_t *q = e->running->pdata[k];
            double ran = s->now_ms - q->started_ms;
            if (ran <= SHORT_MS || s->opts->no_classes) {
                continue;
            }
            GvEstimate_AddElapsed(e->estimate, work_of(q), ran);
            e->load.busy_long += !q->counted_long;
            q->counted_long = true;
        }
        for (int t = 0; t < s->opts->targets; t++) {
            e->candidates[t].refused /= 2;
        }
        if (s->opts->cancels && (int64_t)s->now_ms % 7000 < GV_TIMER_TICK_MS) {
            cancel_third(s, e);
        }
        if (s->opts->lending && !s->opts->no_shares && asks) {
            GvSim_Borrow(s, e);
        }
        dispatch(s, e);
    }
}

/* Creates the entry hosts with their queues, estimates and slots. */
static void
init(gv_sim_t *s)
{
    static const char *const names[GV_SIM_ENTRIES] = {"e1", "e2", "e3", "e4",
                                                      "e5", "e6", "e7", "e8"};
    gv_team_t teams[GV_SIM_TEAMS_MAX] = {{GV_STR("crews"), 60},
                                         {GV_STR("authorities"), 40}};
    for (int i = 0; i < s->opts->teams; i++) {
        g_snprintf(s->teams[i], sizeof s->teams[i], "team%d", i);
        teams[i] = (gv_team_t){GvStr_C(s->teams[i]), 10};
    }
    gv_queue_opts_t qo = {.max_requests = GV_QUEUE_DEFAULT_REQUESTS,
                          .teams = teams,
                          .n_teams = s->opts->teams > 0 ? s->opts->teams : 2,
                          .urgent_share_percent = 50,
                          .long_share_percent = 40};
    gv_estimate_opts_t eo = {SHORT_MS, 0};
    gv_str_t entries[GV_SIM_ENTRIES] = {{0}};
    for (int i = 0; i < s->opts->entries; i++) {
        entries[i] = GvStr_C(names[i]);
    }
    for (int i = 0; i < s->n_entries; i++) {
        gv_sim_entry_t *e = &s->entries[i];
        e->dc = i / s->opts->entries;
        e->queue = s->queue->create(&qo);
        e->estimate = GvEstimate_New(&eo);
        e->budget.percent =
            s->opts->retry_percent > 0 ? s->opts->retry_percent : 10;
        e->running = g_ptr_array_new();
        for (int t = 0; t < s->opts->targets; t++) {
            char host[16];
            g_snprintf(host, sizeof host, "host%d", t);
            e->candidates[t].run_ratio_permille = 1000;
            e->slots[t].share =
                GvSlots_Share(GvStr_C(host), GV_TARGET_SLOTS, entries,
                              s->opts->entries, entries[i % s->opts->entries]);
        }
    }
}

/* Frees all requests and the simulation's state. */
static void
end(gv_sim_t *s)
{
    for (int i = 0; i < s->n_entries; i++) {
        gv_sim_entry_t *e = &s->entries[i];
        gv_queue_item_t *it;
        while ((it = s->queue->expire(e->queue, INT64_MAX / 2)) != NULL) {
            g_free(it);
        }
        for (guint k = 0; k < e->running->len; k++) {
            g_free(e->running->pdata[k]);
        }
        g_ptr_array_free(e->running, TRUE);
        s->queue->destroy(e->queue);
        GvEstimate_Free(e->estimate);
    }
    const gv_sim_event_t *h = (const void *)s->heap->data;
    for (guint i = 0; i < s->heap->len; i++) {
        /* Requests of other events were freed above or when they ended. */
        if (h[i].kind == GV_SIM_ARRIVE || h[i].kind == GV_SIM_HOP) {
            g_free(h[i].req);
        }
    }
    g_array_free(s->heap, TRUE);
    for (int dc = 0; dc * s->opts->entries < s->n_entries; dc++) {
        GvLoad_Clear(&s->gen[dc]);
    }
    g_rand_free(s->rand);
}

/* Runs one simulation. Release the result with GvSim_Clear. */
void
GvSim_Run(const gv_sim_opts_t *o, gv_sim_result_t *r)
{
    gv_sim_t s = {.opts = o, .result = r};
    *r = (gv_sim_result_t){
        .short_wait = g_array_new(FALSE, FALSE, sizeof(double)),
        .long_wait = g_array_new(FALSE, FALSE, sizeof(double)),
        .within_quota_wait = g_array_new(FALSE, FALSE, sizeof(double)),
        .above_quota_wait = g_array_new(FALSE, FALSE, sizeof(double)),
        .urgent_wait = g_array_new(FALSE, FALSE, sizeof(double)),
        .response = g_array_new(FALSE, FALSE, sizeof(double)),
        .second_wait = g_array_new(FALSE, FALSE, sizeof(double))};
    s.queue = (const gv_queue_policy_t *)GvRegistry_Find(GV_PLUGIN_QUEUE,
                                                         GvStr_C(o->queue));
    s.place = (const gv_place_policy_t *)GvRegistry_Find(GV_PLUGIN_PLACE,
                                                         GvStr_C(o->place));
    s.retry = (const gv_retry_policy_t *)GvRegistry_Find(GV_PLUGIN_RETRY,
                                                         GvStr_C(o->retry));
    s.heap = g_array_new(FALSE, FALSE, sizeof(gv_sim_event_t));
    s.rand = g_rand_new_with_seed(o->seed + 1000);
    double capacity = o->targets * GV_TARGET_SLOTS / GV_LOAD_WORK_MS;
    GvLoad_Init(&s.gen[0], o->seed, 0, o->load * capacity);
    s.n_entries = o->entries;
    if (o->second_load > 0) {
        s.n_entries *= GV_SIM_DCS;
        GvLoad_Init(&s.gen[1], o->seed, o->second_apart ? 2 : 0,
                    o->second_load * capacity);
    }
    init(&s);
    GvSim_Schedule(&s, 0, GV_SIM_TICK, NULL);
    for (int dc = 0; dc * o->entries < s.n_entries; dc++) {
        draw_arrival(&s, dc);
    }
    while (s.now_ms < o->seconds * 1000) {
        gv_sim_event_t e = GvSim_NextEvent(&s);
        s.now_ms = e.time_ms;
        switch (e.kind) {
        case GV_SIM_ARRIVE:
            arrive(&s, e.req);
            break;
        case GV_SIM_HOP:
            submit(&s, e.req);
            break;
        case GV_SIM_FINISH:
            finish(&s, e.req);
            break;
        case GV_SIM_TICK:
            tick(&s);
            break;
        case GV_SIM_DISPATCH:
            for (int i = 0; i < s.n_entries; i++) {
                dispatch(&s, &s.entries[i]);
            }
            break;
        }
    }
    end(&s);
}

/* Frees the samples of a result. */
void
GvSim_Clear(gv_sim_result_t *r)
{
    g_array_free(r->short_wait, TRUE);
    g_array_free(r->long_wait, TRUE);
    g_array_free(r->within_quota_wait, TRUE);
    g_array_free(r->above_quota_wait, TRUE);
    g_array_free(r->urgent_wait, TRUE);
    g_array_free(r->response, TRUE);
    g_array_free(r->second_wait, TRUE);
}
