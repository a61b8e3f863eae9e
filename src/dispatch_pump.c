#include <string.h>

#include "clock.h"
#include "counter.h"
#include "dispatch_private.h"
#include "error.h"

GV_COUNTER(retries, "retries_total", "Attempts repeated after a failure");
GV_COUNTER(requeues, "requeues_total",
           "Requests queued again because no target started them");
GV_COUNTER(silent, "silent_exchanges_total",
           "Exchanges given up because the connection went silent");

/* The connection of an idempotent request counts as silent after SILENT_FACTOR
   times the expected run time, and no earlier than GV_SILENT_MS. */
#define SILENT_FACTOR 8
#define GV_SILENT_MS  2000

/* Collects the candidate targets and the load. A service has no slots if it
   has no targets or if this entry host has not joined yet. */
void
GvCandidates_Fill(gv_dispatch_t *d, gv_shard_t *sh, const gv_view_t *v,
                  int64_t now_ms, gv_candidates_t *set)
{
    *set = (gv_candidates_t){.view = GvView_Service(v, GvStr_C(sh->name))};
    sh->usable_slots = 0;
    set->load.busy_long = sh->busy_long;
    set->load.mean_run_ms = GvEstimate_MeanMs(sh->estimate);
    if (set->view == NULL || !v->joined) {
        set->view = NULL;
        return;
    }
    set->list = g_new0(gv_candidate_t, set->view->n_targets + 1);
    int idle = GvExchange_CountIdle(d->exchange);
    int unused = 0;
    for (int i = 0; i < set->view->n_targets; i++) {
        gv_candidate_t *c = &set->list[i];
        if (GvTarget_FillCandidate(set->view->targets[i],
                                   set->view->service->pool, now_ms, c) &&
            !c->ejected) {
            set->load.slots += c->usable;
            unused += MAX(c->usable - c->busy, 0);
        }
    }
    set->load.busy = set->load.slots - MIN(unused, idle);
    sh->usable_slots = set->load.slots;
}

/* Frees the candidate list. */
void
GvCandidates_Clear(gv_candidates_t *set)
{
    g_free(set->list);
    set->list = NULL;
}

/* Marks the candidates on which the request has failed before, and the ejected
   ones that take only an idempotent request as a trial. */
static void
mark_candidates(const gv_request_t *rq, gv_candidates_t *set)
{
    for (int i = 0; i < set->view->n_targets; i++) {
        set->list[i].ejected |=
            set->list[i].idempotent_only && !rq->idempotent;
        gv_str_t host = GvStr_C(GvTarget_Host(set->view->targets[i]));
        for (int k = 0; k < rq->n_tried; k++) {
            set->list[i].avoid |= GvStr_Equal(host, rq->tried[k]);
        }
    }
}

/* Takes a slot of the target that the placement policy chooses and copies its
   address to addr (n bytes). Returns the target's index, or -1 if none has a
   free slot. */
static int
begin_on_target(gv_dispatch_t *d, gv_shard_t *sh, gv_candidates_t *set,
                bool idempotent, int64_t now_ms, char *addr, size_t n)
{
    for (int tries = 0; tries < set->view->n_targets; tries++) {
        int i = d->place_policy->choose(set->list, set->view->n_targets,
                                        g_random_int(), sh->turn++);
        if (i < 0) {
            return -1;
        }
        if (GvTarget_Begin(set->view->targets[i], set->view->service->pool,
                           idempotent, now_ms, addr, n) == GV_OK) {
            return i;
        }
        /* Closed or filled since the candidates were collected. */
        set->list[i].usable = 0;
    }
    return -1;
}

/* Registers the exchange and hands it to an exchange thread; the caller's
   reference to the request passes to the job. Returns false, and undoes the
   registration, if no thread is free. */
static bool
launch(gv_dispatch_t *d, gv_shard_t *sh, gv_request_t *rq, gv_target_t *t,
       const char *addr, int64_t now_ms)
{
    gv_job_t job = {
        .rq = rq,
        .target = GvTarget_Ref(t),
        .attempt = atomic_fetch_add(&d->next_attempt, 1),
        .idempotent = rq->idempotent,
        .begin_ms = now_ms,
        .user = sh,
    };
    g_strlcpy(job.addr, addr, sizeof job.addr);
    gv_run_t *run = g_new0(gv_run_t, 1);
    *run = (gv_run_t){
        .attempt = job.attempt,
        .rq = rq,
        .target = t,
        .begin_ms = now_ms,
        .run_ms = rq->item.run_ms,
        .is_long = rq->item.is_long,
    };
    rq->attempt = job.attempt;
    rq->attempts++;
    sh->busy_long += run->is_long;
    g_hash_table_insert(sh->running, &run->attempt, run);
    if (GvExchange_Run(d->exchange, &job)) {
        return true;
    }
    rq->attempt = 0;
    rq->attempts--;
    sh->busy_long -= run->is_long;
    g_hash_table_remove(sh->running, &run->attempt);
    GvTarget_Unref(t);
    return false;
}

/* Updates the smoothed time in the queue with that of a started request. */
static void
update_wait(gv_shard_t *sh, double waited_ms)
{
    /* Exponential moving average over about 20 starts. */
    sh->wait_ms += (waited_ms - sh->wait_ms) / 20;
}

/* Puts a request that could not start back at the head of its queue. */
static void
put_back(gv_dispatch_t *d, gv_shard_t *sh, gv_request_t *rq, int64_t now_ms)
{
    GvRequest_EndAttempt(rq, true);
    d->queue_policy->requeue(sh->queue, &rq->item, now_ms);
    rq->queued = true;
}

/* Starts one queued request. Returns false if none can start now. */
static bool
start_one(gv_dispatch_t *d, gv_shard_t *sh, gv_candidates_t *set,
          int64_t now_ms)
{
    gv_queue_item_t *it = d->queue_policy->pop(sh->queue, now_ms, &set->load);
    if (it == NULL) {
        return false;
    }
    gv_request_t *rq = it->user;
    rq->queued = false;
    /* The attempt begins before the target is chosen, so that from here on no
       other thread can end the request as not-run. */
    if (!GvRequest_BeginAttempt(rq)) {
        GvRequest_Unref(rq);
        return true;
    }
    char addr[64];
    mark_candidates(rq, set);
    int i =
        begin_on_target(d, sh, set, rq->idempotent, now_ms, addr, sizeof addr);
    if (i < 0) {
        put_back(d, sh, rq, now_ms);
        return false;
    }
    if (!launch(d, sh, rq, set->view->targets[i], addr, now_ms)) {
        GvTarget_CancelBegin(set->view->targets[i]);
        put_back(d, sh, rq, now_ms);
        return false;
    }
    update_wait(sh, (double)(now_ms - it->queued_ms));
    return true;
}

/* Starts queued requests of the shard while slots and exchange threads are
   free. No lock may be held. */
void
GvShard_Pump(gv_dispatch_t *d, gv_shard_t *sh)
{
    bool more = true;
    while (more) {
        int64_t now = GvClock_MonoMs();
        gv_candidates_t set;
        const gv_view_t *v = GvView_Acquire(d->opts.views);
        pthread_mutex_lock(&sh->lock);
        more = sh->queue != NULL && d->queue_policy->length(sh->queue) > 0;
        if (more) {
            GvCandidates_Fill(d, sh, v, now, &set);
            more = set.view != NULL && start_one(d, sh, &set, now);
            GvCandidates_Clear(&set);
        }
        pthread_mutex_unlock(&sh->lock);
        GvView_Release();
    }
}

/* Returns true if one more of the service's targets may be ejected: at most a
   third of those that this entry host may use. */
static bool
may_eject(gv_dispatch_t *d, gv_shard_t *sh, int64_t now_ms)
{
    const gv_view_t *v = GvView_Acquire(d->opts.views);
    const gv_view_service_t *vs = GvView_Service(v, GvStr_C(sh->name));
    int n = 0;
    int ejected = 0;
    for (int i = 0; vs != NULL && i < vs->n_targets; i++) {
        gv_candidate_t c;
        if (GvTarget_FillCandidate(vs->targets[i], vs->service->pool, now_ms,
                                   &c)) {
            n++;
            ejected += GvTarget_IsEjected(vs->targets[i]);
        }
    }
    GvView_Release();
    return GvEject_IsAllowed(ejected, n);
}

/* Records the host of a failed attempt, so that the next attempt avoids it. A
   host that refused because it is full is not recorded. */
static void
remember_host(gv_request_t *rq, const gv_target_t *t, gv_attempt_t a)
{
    gv_str_t host = GvStr_C(GvTarget_Host(t));
    bool known = false;
    for (int i = 0; i < rq->n_tried; i++) {
        known |= GvStr_Equal(rq->tried[i], host);
    }
    if (a == GV_ATTEMPT_REFUSED || known) {
        return;
    }
    rq->hosts_failed += a != GV_ATTEMPT_UNREACHABLE;
    if (rq->n_tried < (int)G_N_ELEMENTS(rq->tried)) {
        rq->tried[rq->n_tried++] = GvStr_Dup(host);
    }
}

/* Returns the retry policy's decision. The caller holds the shard's lock,
   which protects the retry budget. */
static gv_retry_decision_t
decide_retry(gv_dispatch_t *d, gv_shard_t *sh, const gv_request_t *rq,
             gv_attempt_t a, int64_t now_ms)
{
    gv_retry_case_t c = {
        .attempt = a,
        .idempotent = rq->idempotent,
        .attempts = rq->attempts,
        .hosts_failed = rq->hosts_failed,
        .left_ms = rq->o.deadline_ms - now_ms,
        .run_ms = rq->item.run_ms,
    };
    return d->retry_policy->decide(&c, &sh->budget);
}

/* Unregisters a finished exchange and updates the estimate and the target's
   state. Returns true if the request still waited for this exchange; then
   *decision is set for a failed attempt. */
static bool
close_run(gv_dispatch_t *d, gv_shard_t *sh, gv_job_t *job,
          const gv_exchange_result_t *r, gv_retry_decision_t *decision)
{
    int64_t now = GvClock_MonoMs();
    bool eject = r->attempt != GV_ATTEMPT_OK && may_eject(d, sh, now);
    double ratio = 0;
    gv_request_t *rq = job->rq;
    pthread_mutex_lock(&sh->lock);
    gv_run_t *run = g_hash_table_lookup(sh->running, &job->attempt);
    g_assert(run != NULL);
    if (r->attempt == GV_ATTEMPT_OK) {
        ratio = r->run_ms / MAX(run->run_ms, 1);
        GvEstimate_AddRun(sh->estimate, rq->o.work, r->run_ms);
    }
    sh->busy_long -= run->is_long;
    g_hash_table_remove(sh->running, &job->attempt);
    GvTarget_End(job->target, r->attempt, eject, ratio, now);
    bool current = rq->attempt == job->attempt;
    if (current) {
        rq->attempt = 0;
        if (r->attempt != GV_ATTEMPT_OK) {
            remember_host(rq, job->target, r->attempt);
            *decision = r->final ? GV_RETRY_NO
                                 : decide_retry(d, sh, rq, r->attempt, now);
        }
    }
    pthread_mutex_unlock(&sh->lock);
    return current;
}

/* Puts a request back into the queue, which takes over the caller's reference;
   releases the reference if the request has ended or has no queue any more. */
static void
queue_again(gv_dispatch_t *d, gv_shard_t *sh, gv_request_t *rq)
{
    pthread_mutex_lock(&sh->lock);
    bool ok = sh->queue != NULL && !GvRequest_HasEnded(rq);
    if (ok) {
        rq->item.run_ms = GvEstimate_RunMs(sh->estimate, rq->o.work);
        rq->item.is_long = GvEstimate_IsLong(sh->estimate, rq->o.work);
        d->queue_policy->requeue(sh->queue, &rq->item, GvClock_MonoMs());
        rq->queued = true;
    }
    pthread_mutex_unlock(&sh->lock);
    if (!ok) {
        GvRequest_Unref(rq);
    }
}

/* Returns the answer for a request that ends with this attempt. The target's
   answer, if any, is moved out of r. */
static gv_answer_t
final_answer(gv_exchange_result_t *r)
{
    gv_answer_t a = r->answer;
    switch (r->attempt) {
    case GV_ATTEMPT_OK:
    case GV_ATTEMPT_FAILED:
        r->answer = (gv_answer_t){0};
        return a;
    case GV_ATTEMPT_REFUSED:
        if (r->final) {
            r->answer = (gv_answer_t){0};
            return a;
        }
        return GvAnswer_Refuse(GV_OUTCOME_NOT_RUN, 503, GV_RETRY_AFTER_MIN_MS,
                               "targets refused the request before starting");
    case GV_ATTEMPT_UNREACHABLE:
        return GvAnswer_Refuse(GV_OUTCOME_NOT_RUN, 503, GV_RETRY_AFTER_MIN_MS,
                               "no target could be reached");
    case GV_ATTEMPT_LOST:
    case GV_ATTEMPT_SILENT:
        break;
    }
    return GvAnswer_Refuse(GV_OUTCOME_UNKNOWN, 502, 0,
                           "no complete response from the target");
}

/* Handles the end of an exchange: ends the request or queues it again, then
   starts queued requests. */
void
GvShard_JobDone(void *user, gv_job_t *job, gv_exchange_result_t *r)
{
    gv_dispatch_t *d = user;
    gv_shard_t *sh = job->user;
    gv_request_t *rq = job->rq;
    gv_retry_decision_t decision = GV_RETRY_NO;
    bool current = close_run(d, sh, job, r, &decision);
    GvTarget_Unref(job->target);
    if (!current) {
        GvRequest_Unref(rq);
    }
    else {
        GvRequest_EndAttempt(rq, r->not_run);
        if (decision == GV_RETRY_NO) {
            gv_answer_t a = final_answer(r);
            GvRequest_End(rq, &a);
            GvRequest_Unref(rq);
        }
        else {
            GvCounter_Add(decision == GV_RETRY_AGAIN ? &retries : &requeues,
                          1);
            queue_again(d, sh, rq);
        }
    }
    GvAnswer_Free(&r->answer);
    GvShard_Pump(d, sh);
}

/* Moves requests past their deadline from the queue to `expired`. */
static void
collect_expired(gv_dispatch_t *d, gv_shard_t *sh, int64_t now_ms,
                GPtrArray *expired)
{
    gv_queue_item_t *it;
    while (sh->queue != NULL &&
           (it = d->queue_policy->expire(sh->queue, now_ms)) != NULL) {
        gv_request_t *rq = it->user;
        rq->queued = false;
        g_ptr_array_add(expired, rq);
    }
}

/* Abandons an exchange whose connection went silent although its target has
   answered a probe since, if the request may be retried. Returns true if it
   was abandoned; the caller then queues the request again. */
static bool
give_up_silent(gv_dispatch_t *d, gv_shard_t *sh, gv_run_t *run, int64_t now_ms)
{
    gv_request_t *rq = run->rq;
    int64_t after = MAX(GV_SILENT_MS, (int64_t)(run->run_ms * SILENT_FACTOR));
    int64_t since = run->begin_ms + after;
    if (!rq->idempotent || run->abandoned || rq->attempt != run->attempt ||
        now_ms < since) {
        return false;
    }
    if (!GvTarget_ProbedSince(run->target, since)) {
        if (now_ms >= run->next_probe_ms) {
            run->next_probe_ms = now_ms + GV_PROBE_TIMEOUT_MS;
            GvTarget_RequestProbe(run->target);
        }
        return false;
    }
    if (decide_retry(d, sh, rq, GV_ATTEMPT_SILENT, now_ms) != GV_RETRY_AGAIN) {
        return false;
    }
    remember_host(rq, run->target, GV_ATTEMPT_SILENT);
    rq->attempt = 0;
    run->abandoned = true;
    GvTarget_Abandon(run->target);
    GvCounter_Add(&silent, 1);
    return true;
}

/* Marks exchanges that run longer than the service's short_ms as long, and
   appends the requests of abandoned silent exchanges to `retried`, each with a
   new reference. */
static void
check_runs(gv_dispatch_t *d, gv_shard_t *sh, int64_t now_ms,
           GPtrArray *retried)
{
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, sh->running);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        gv_run_t *run = value;
        int64_t elapsed = now_ms - run->begin_ms;
        if (sh->service != NULL && elapsed > sh->service->short_ms) {
            GvEstimate_AddElapsed(sh->estimate, run->rq->o.work,
                                  (double)elapsed);
            sh->busy_long += !run->is_long;
            run->is_long = true;
        }
        if (give_up_silent(d, sh, run, now_ms)) {
            g_ptr_array_add(retried, GvRequest_Ref(run->rq));
        }
    }
}

/* Updates the rate and the demand, which is the slots in use plus those needed
   to serve the queued requests within one second. */
static void
update_demand(gv_dispatch_t *d, gv_shard_t *sh, int64_t now_ms)
{
    if (now_ms - sh->second_begin_ms >= 1000) {
        sh->rate = sh->arrived;
        sh->arrived = 0;
        sh->second_begin_ms = now_ms;
    }
    double dt = sh->demand_updated_ms == 0
                    ? 0
                    : (double)(now_ms - sh->demand_updated_ms);
    sh->demand_updated_ms = now_ms;
    int queued = sh->queue != NULL ? d->queue_policy->length(sh->queue) : 0;
    double now_slots = g_hash_table_size(sh->running) +
                       queued * GvEstimate_MeanMs(sh->estimate) / 1000;
    /* Time constants in ms: 10 s for the mean; 2 min for the decay of the
       peak, so that it outlasts the usual time between two bursts. */
    sh->busy_slots += (now_slots - sh->busy_slots) * MIN(dt / 10e3, 1);
    sh->peak_slots -= sh->peak_slots * MIN(dt / 120e3, 1);
    sh->peak_slots = MAX(sh->peak_slots, now_slots);
    if (queued == 0) {
        sh->wait_ms -= sh->wait_ms * MIN(dt / 10e3, 1);
    }
}

/* Runs the periodic work of one shard. No lock may be held. */
void
GvShard_Tick(gv_dispatch_t *d, gv_shard_t *sh, int64_t now_ms)
{
    GPtrArray *expired = g_ptr_array_new();
    GPtrArray *retried = g_ptr_array_new();
    gv_candidates_t set;
    const gv_view_t *v = GvView_Acquire(d->opts.views);
    pthread_mutex_lock(&sh->lock);
    /* Needed even without queued requests: updates usable_slots, which
       heartbeats report. */
    GvCandidates_Fill(d, sh, v, now_ms, &set);
    GvCandidates_Clear(&set);
    collect_expired(d, sh, now_ms, expired);
    check_runs(d, sh, now_ms, retried);
    update_demand(d, sh, now_ms);
    pthread_mutex_unlock(&sh->lock);
    GvView_Release();
    for (guint i = 0; i < expired->len; i++) {
        gv_request_t *rq = expired->pdata[i];
        gv_answer_t a =
            GvAnswer_Refuse(GV_OUTCOME_NOT_RUN, 504, 0, "deadline passed");
        GvRequest_End(rq, &a);
        GvRequest_Unref(rq);
    }
    for (guint i = 0; i < retried->len; i++) {
        GvRequest_EndAttempt(retried->pdata[i], false);
        GvCounter_Add(&retries, 1);
        queue_again(d, sh, retried->pdata[i]);
    }
    g_ptr_array_free(expired, TRUE);
    g_ptr_array_free(retried, TRUE);
    GvShard_Pump(d, sh);
}
