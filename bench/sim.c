#include "sim.h"

#include <string.h>

#include "estimate.h"
#include "limits.h"
#include "placement.h"
#include "queue.h"
#include "retry.h"
#include "slots.h"

enum {
    MAX_ENTRIES = 4,
    MAX_TARGETS = 16,
    SHORT_MS = 200,
    BAD_RUN_MS = 2, /* a worker that fails everything does so at once */
    FAULT_FROM_MS = 60000,
    FAULT_TO_MS = 120000
};

typedef enum { ARRIVE, FINISH, TICK, AGAIN } event_kind_t;

struct entry_s;

typedef struct {
    gv_queue_item_t it; /* first */
    gv_gen_job_t job;
    struct entry_s *entry;
    double arrived_ms;
    double started_ms; /* of the current attempt */
    double wait_ms;    /* until the first start, -1 before */
    int target;
    int attempts;
    int hosts_failed;
    unsigned tried; /* bit set of targets */
    bool counted_long;
    bool bad_last;
    bool fails;      /* decided at the start */
    gint running_at; /* index in entry->running */
} req_t;

typedef struct {
    double at;
    event_kind_t kind;
    guint64 order;
    req_t *req;
} event_t;

typedef struct entry_s {
    gv_queue_t *queue;
    gv_estimate_t *estimate;
    gv_retry_budget_t budget;
    gv_queue_load_t load;
    GPtrArray *running;
    int busy[MAX_TARGETS];
    gv_slots_t slots[MAX_TARGETS];
    gv_eject_t eject[MAX_TARGETS];
    gv_candidate_t cand[MAX_TARGETS];
    guint64 turn;
} entry_t;

typedef struct {
    const gv_sim_opts_t *o;
    gv_sim_result_t *r;
    const gv_queue_policy_t *queue;
    const gv_place_policy_t *place;
    const gv_retry_policy_t *retry;
    gv_gen_t gen;
    GRand *rand;
    GArray *heap; /* event_t */
    guint64 order;
    double now;
    entry_t entries[MAX_ENTRIES];
    int running[MAX_TARGETS];
} sim_t;

static bool
before(const event_t *a, const event_t *b)
{
    return a->at < b->at || (a->at == b->at && a->order < b->order);
}

static void
schedule(sim_t *s, double at, event_kind_t kind, req_t *req)
{
    event_t e = {at, kind, s->order++, req};
    g_array_append_val(s->heap, e);
    event_t *h = (event_t *)(void *)s->heap->data;
    guint i = s->heap->len - 1;
    while (i > 0 && before(&e, &h[(i - 1) / 2])) {
        h[i] = h[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    h[i] = e;
}

static event_t
next_event(sim_t *s)
{
    event_t *h = (event_t *)(void *)s->heap->data;
    event_t top = h[0];
    guint n = s->heap->len - 1;
    event_t last = h[n];
    g_array_set_size(s->heap, n);
    guint i = 0;
    for (;;) {
        guint c = 2 * i + 1;
        if (c >= n) {
            break;
        }
        if (c + 1 < n && before(&h[c + 1], &h[c])) {
            c++;
        }
        if (!before(&h[c], &last)) {
            break;
        }
        h[i] = h[c];
        i = c;
    }
    if (n > 0) {
        h[i] = last;
    }
    return top;
}

static bool
in_fault(const sim_t *s)
{
    return s->now >= FAULT_FROM_MS && s->now < FAULT_TO_MS;
}

static gv_str_t
work_of(const req_t *q)
{
    return GvStr_C(q->job.work);
}

static void
close_request(sim_t *s, req_t *q, bool ok)
{
    gv_sim_result_t *r = s->r;
    bool in_time = ok && s->now <= q->arrived_ms + q->job.deadline_ms;
    r->in_time += in_time;
    if (q->job.really_long) {
        r->long_in_time += in_time;
    }
    else {
        r->short_in_time += in_time;
        /* As with the waits: no answer counts with the whole deadline. */
        double ms = ok ? s->now - q->arrived_ms : q->job.deadline_ms;
        if (!q->job.never_runs) {
            g_array_append_val(r->response, ms);
        }
    }
    r->late_starts += ok && !in_time;
    if (q->wait_ms < 0) {
        /* Work that never starts counts with its whole deadline, so that a
           policy gains nothing by giving up. */
        GArray *a = q->job.really_long ? r->long_wait : r->short_wait;
        g_array_append_val(a, q->job.deadline_ms);
    }
    r->urgent_lost += q->job.urgent && q->wait_ms < 0;
    r->lost_bad += !ok && q->bad_last && !q->job.never_runs;
    g_free(q);
}

static void
update_load(sim_t *s, entry_t *e)
{
    int slots = 0;
    for (int t = 0; t < s->o->targets; t++) {
        gv_candidate_t *c = &e->cand[t];
        c->usable = s->o->no_shares
                        ? GV_TARGET_SLOTS
                        : GvSlots_Usable(&e->slots[t], (int64_t)s->now);
        c->busy = e->busy[t];
        c->ejected = e->eject[t].ejected;
        slots += c->ejected ? 0 : c->usable;
    }
    e->load.slots = slots;
    e->load.mean_run_ms = GvEstimate_MeanMs(e->estimate);
}

static void
note_start(sim_t *s, req_t *q)
{
    s->r->starts++;
    s->r->attempts_fault += in_fault(s);
    if (q->wait_ms >= 0) {
        return;
    }
    q->wait_ms = s->now - q->arrived_ms;
    GArray *a = q->job.really_long ? s->r->long_wait : s->r->short_wait;
    g_array_append_val(a, q->wait_ms);
    if (!q->job.really_long) {
        s->r->short_worst = MAX(s->r->short_worst, q->wait_ms);
    }
    if (q->job.urgent) {
        g_array_append_val(s->r->urgent_wait, q->wait_ms);
    }
}

static void
start(sim_t *s, entry_t *e, req_t *q, int t)
{
    q->target = t;
    q->started_ms = s->now;
    q->counted_long = q->it.is_long;
    q->running_at = (gint)e->running->len;
    g_ptr_array_add(e->running, q);
    e->busy[t]++;
    e->load.busy++;
    e->load.busy_long += q->counted_long;
    s->running[t]++;
    note_start(s, q);
    bool bad = s->o->bad_worker && t == 0 && in_fault(s);
    bool down = s->o->collapse && in_fault(s) && g_rand_double(s->rand) < 0.8;
    double run = q->job.real_ms;
    if (s->o->slow && t % 5 == 0) {
        run *= 3;
    }
    q->fails = bad || down || q->job.never_runs;
    q->bad_last = bad;
    schedule(s, s->now + (bad ? BAD_RUN_MS : run), FINISH, q);
}

static int
trial_target(sim_t *s, entry_t *e, const req_t *q)
{
    for (int t = 0; t < s->o->targets; t++) {
        if (e->eject[t].ejected && q->job.idempotent &&
            GvEject_Trial(&e->eject[t], (int64_t)s->now)) {
            return t;
        }
    }
    return -1;
}

static gv_retry_decision_t
decide(sim_t *s, req_t *q, gv_attempt_t a)
{
    gv_retry_case_t c = {.attempt = a,
                         .idempotent = q->job.idempotent,
                         .attempts = q->attempts,
                         .hosts_failed = q->hosts_failed,
                         .left_ms = q->it.deadline_ms - (int64_t)s->now,
                         .run_ms = q->it.run_ms};
    return s->retry->decide(&c, &q->entry->budget);
}

/* Starts waiting work of an entry host while slots are free. */
static void
dispatch(sim_t *s, entry_t *e)
{
    for (;;) {
        update_load(s, e);
        gv_queue_item_t *it =
            s->queue->pop(e->queue, (int64_t)s->now, &e->load);
        if (it == NULL) {
            return;
        }
        req_t *q = (req_t *)it;
        for (int t = 0; t < s->o->targets; t++) {
            e->cand[t].avoid = (q->tried >> t & 1) != 0;
        }
        int t = trial_target(s, e, q);
        if (t < 0) {
            t = s->place->choose(e->cand, s->o->targets, g_rand_int(s->rand),
                                 e->turn++);
        }
        if (t < 0) {
            s->queue->requeue(e->queue, it, (int64_t)s->now);
            return;
        }
        q->attempts++;
        if (s->running[t] < GV_TARGET_SLOTS) {
            start(s, e, q, t);
            continue;
        }
        s->r->refusals++;
        e->cand[t].refused++;
        if (decide(s, q, GV_ATTEMPT_REFUSED) == GV_RETRY_REQUEUE) {
            s->queue->requeue(e->queue, it, (int64_t)s->now);
            schedule(s, s->now + 3, AGAIN, q);
            return;
        }
        close_request(s, q, false);
    }
}

/* Borrows slots from peers for work that waits while all own slots are in
   use. */
static void
borrow(sim_t *s, entry_t *e)
{
    update_load(s, e);
    int want = s->queue->length(e->queue) - (e->load.slots - e->load.busy);
    int64_t now = (int64_t)s->now;
    for (int p = 0; p < s->o->entries && want > 0; p++) {
        entry_t *peer = &s->entries[p];
        int queued = s->queue->length(peer->queue);
        if (peer == e) {
            continue;
        }
        for (int t = 0; t < s->o->targets && want > 0; t++) {
            int n = GvSlots_Lend(&peer->slots[t], want, peer->busy[t], queued,
                                 now, GV_LOAN_MS);
            if (n > 0) {
                GvSlots_Borrowed(&e->slots[t], n, now + GV_LOAN_MS);
                want -= n;
            }
        }
    }
}

static entry_t *
entry_for(sim_t *s)
{
    int n = s->o->entries;
    if (!s->o->uneven) {
        return &s->entries[g_rand_int_range(s->rand, 0, n)];
    }
    int u = g_rand_int_range(s->rand, 0, n * (n + 1) / 2);
    int i = 0;
    while (u >= n - i) {
        u -= n - i;
        i++;
    }
    return &s->entries[i];
}

static void
arrive(sim_t *s)
{
    schedule(s, GvLoad_Next(&s->gen, s->now), ARRIVE, NULL);
    entry_t *e = entry_for(s);
    req_t *q = g_new0(req_t, 1);
    GvLoad_Job(&s->gen, &q->job);
    q->entry = e;
    q->arrived_ms = s->now;
    q->wait_ms = -1;
    s->r->requests++;
    s->r->requests_fault += in_fault(s);
    s->r->shorts += !q->job.really_long;
    s->r->longs += q->job.really_long;
    s->r->urgents += q->job.urgent;
    GvRetry_Request(&e->budget);
    update_load(s, e);
    q->it = (gv_queue_item_t){
        .team = GvStr_C(q->job.team),
        .urgent = q->job.urgent,
        .is_long =
            !s->o->no_classes && GvEstimate_IsLong(e->estimate, work_of(q)),
        .run_ms = GvEstimate_RunMs(e->estimate, work_of(q)),
        .deadline_ms = (int64_t)(s->now + q->job.deadline_ms)};
    gv_admit_t a = s->queue->push(e->queue, &q->it, (int64_t)s->now, &e->load);
    if (a.kind != GV_ADMIT_QUEUED) {
        close_request(s, q, false);
        return;
    }
    dispatch(s, e);
}

static void
end_attempt(sim_t *s, req_t *q)
{
    entry_t *e = q->entry;
    g_ptr_array_remove_index_fast(e->running, (guint)q->running_at);
    if ((guint)q->running_at < e->running->len) {
        ((req_t *)e->running->pdata[q->running_at])->running_at =
            q->running_at;
    }
    e->busy[q->target]--;
    /* A slot of that target is free now. */
    e->cand[q->target].refused = 0;
    e->load.busy--;
    e->load.busy_long -= q->counted_long;
    s->running[q->target]--;
}

static void
note_health(sim_t *s, entry_t *e, const req_t *q)
{
    int out = 0;
    for (int t = 0; t < s->o->targets; t++) {
        out += e->eject[t].ejected;
    }
    bool may = !s->o->no_eject && GvEject_May(out, s->o->targets);
    GvEject_Note(&e->eject[q->target],
                 q->fails ? GV_ATTEMPT_FAILED : GV_ATTEMPT_OK, may,
                 (int64_t)s->now);
}

static void
finish(sim_t *s, req_t *q)
{
    entry_t *e = q->entry;
    end_attempt(s, q);
    note_health(s, e, q);
    if (!q->fails) {
        double ran = s->now - q->started_ms;
        double ratio = 1000 * ran / MAX(q->it.run_ms, 1);
        gv_candidate_t *c = &e->cand[q->target];
        c->recent_ms += (MIN(ratio, 10000) - c->recent_ms) * 0.05;
        GvEstimate_Learn(e->estimate, work_of(q), ran);
        close_request(s, q, true);
    }
    else {
        q->hosts_failed += (q->tried >> q->target & 1) == 0;
        q->tried |= 1U << q->target;
        if (decide(s, q, GV_ATTEMPT_FAILED) == GV_RETRY_NO) {
            close_request(s, q, false);
        }
        else {
            s->queue->requeue(e->queue, &q->it, (int64_t)s->now);
        }
    }
    dispatch(s, e);
}

static void
cancel_wave(sim_t *s, entry_t *e)
{
    /* Items are only reachable through the queue: expiring at a far time
       takes each out once; two of three go back in their order. */
    GPtrArray *all = g_ptr_array_new();
    gv_queue_item_t *it;
    while ((it = s->queue->expire(e->queue, INT64_MAX / 2)) != NULL) {
        g_ptr_array_add(all, it);
    }
    for (guint i = all->len; i-- > 0;) {
        req_t *q = all->pdata[i];
        s->queue->requeue(e->queue, &q->it, (int64_t)s->now);
    }
    for (guint i = 0; i < all->len; i += 3) {
        req_t *q = all->pdata[i];
        s->queue->remove(e->queue, &q->it);
        /* Its caller does not count it as lost. */
        s->r->requests--;
        s->r->shorts -= !q->job.really_long;
        s->r->longs -= q->job.really_long;
        s->r->urgents -= q->job.urgent;
        g_free(q);
    }
    g_ptr_array_free(all, TRUE);
}

static void
tick(sim_t *s)
{
    schedule(s, s->now + GV_TIMER_TICK_MS, TICK, NULL);
    bool asks = (int64_t)s->now % GV_LOAN_ASK_MS < GV_TIMER_TICK_MS;
    for (int i = 0; i < s->o->entries; i++) {
        entry_t *e = &s->entries[i];
        gv_queue_item_t *it;
        while ((it = s->queue->expire(e->queue, (int64_t)s->now)) != NULL) {
            close_request(s, (req_t *)it, false);
        }
        for (guint k = 0; k < e->running->len; k++) {
            req_t *q = e->running->pdata[k];
            double ran = s->now - q->started_ms;
            if (ran <= SHORT_MS || s->o->no_classes) {
                continue;
            }
            GvEstimate_StillRunning(e->estimate, work_of(q), ran);
            e->load.busy_long += !q->counted_long;
            q->counted_long = true;
        }
        for (int t = 0; t < s->o->targets; t++) {
            e->cand[t].refused /= 2;
        }
        if (s->o->cancels && (int64_t)s->now % 7000 < GV_TIMER_TICK_MS) {
            cancel_wave(s, e);
        }
        if (s->o->lending && !s->o->no_shares && asks) {
            borrow(s, e);
        }
        dispatch(s, e);
    }
}

static void
init(sim_t *s)
{
    static const char *const names[MAX_ENTRIES] = {"e1", "e2", "e3", "e4"};
    gv_team_t teams[2] = {{GV_STR("crews"), 60}, {GV_STR("authorities"), 40}};
    gv_queue_opts_t qo = {.max_requests = GV_QUEUE_MAX_REQUESTS,
                          .teams = teams,
                          .n_teams = 2,
                          .urgent_share_percent = 50,
                          .long_share_percent = 40};
    gv_estimate_opts_t eo = {SHORT_MS, 0};
    gv_str_t entries[MAX_ENTRIES];
    for (int i = 0; i < s->o->entries; i++) {
        entries[i] = GvStr_C(names[i]);
    }
    for (int i = 0; i < s->o->entries; i++) {
        entry_t *e = &s->entries[i];
        e->queue = s->queue->create(&qo);
        e->estimate = GvEstimate_New(&eo);
        e->budget.percent = 10;
        e->running = g_ptr_array_new();
        for (int t = 0; t < s->o->targets; t++) {
            char host[16];
            g_snprintf(host, sizeof host, "host%d", t);
            e->cand[t].recent_ms = 1000;
            e->slots[t].share =
                GvSlots_Share(GvStr_C(host), GV_TARGET_SLOTS, entries,
                              s->o->entries, entries[i]);
        }
    }
}

static void
end(sim_t *s)
{
    for (int i = 0; i < s->o->entries; i++) {
        entry_t *e = &s->entries[i];
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
    g_array_free(s->heap, TRUE);
    GvLoad_Clear(&s->gen);
    g_rand_free(s->rand);
}

/* Runs one simulation. Release the result with GvSim_Clear. */
void
GvSim_Run(const gv_sim_opts_t *o, gv_sim_result_t *r)
{
    sim_t s = {.o = o, .r = r};
    *r = (gv_sim_result_t){
        .short_wait = g_array_new(FALSE, FALSE, sizeof(double)),
        .long_wait = g_array_new(FALSE, FALSE, sizeof(double)),
        .urgent_wait = g_array_new(FALSE, FALSE, sizeof(double)),
        .response = g_array_new(FALSE, FALSE, sizeof(double))};
    s.queue = (const gv_queue_policy_t *)GvRegistry_Find(GV_PLUGIN_QUEUE,
                                                         GvStr_C(o->queue));
    s.place = (const gv_place_policy_t *)GvRegistry_Find(GV_PLUGIN_PLACE,
                                                         GvStr_C(o->place));
    s.retry = (const gv_retry_policy_t *)GvRegistry_Find(GV_PLUGIN_RETRY,
                                                         GvStr_C(o->retry));
    s.heap = g_array_new(FALSE, FALSE, sizeof(event_t));
    s.rand = g_rand_new_with_seed(o->seed + 1000);
    double capacity = o->targets * GV_TARGET_SLOTS / GV_LOAD_WORK_MS;
    GvLoad_Init(&s.gen, o->seed, 0, o->load * capacity);
    init(&s);
    schedule(&s, 0, TICK, NULL);
    schedule(&s, GvLoad_Next(&s.gen, 0), ARRIVE, NULL);
    while (s.now < o->seconds * 1000) {
        event_t e = next_event(&s);
        s.now = e.at;
        switch (e.kind) {
        case ARRIVE:
            arrive(&s);
            break;
        case FINISH:
            finish(&s, e.req);
            break;
        case TICK:
            tick(&s);
            break;
        case AGAIN:
            for (int i = 0; i < o->entries; i++) {
                dispatch(&s, &s.entries[i]);
            }
            break;
        }
    }
    end(&s);
}

/* Releases the samples of a result. */
void
GvSim_Clear(gv_sim_result_t *r)
{
    g_array_free(r->short_wait, TRUE);
    g_array_free(r->long_wait, TRUE);
    g_array_free(r->urgent_wait, TRUE);
    g_array_free(r->response, TRUE);
}
