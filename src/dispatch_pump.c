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

/* An idempotent exchange counts as silent after this many times its expected
   run time, and no earlier than GV_SILENT_MS. */
#define SILENT_FACTOR 8
#define GV_SILENT_MS  2000

/* Collects candidates and load. A service without targets, or before the own
   join, has no slots. */
void
GvCandidates_Fill(gv_dispatch_t *d, gv_shard_t *sh, const gv_view_t *v,
                  int64_t now_ms, gv_field_t *f)
{
    *f = (gv_field_t){.vs = GvView_Service(v, GvStr_C(sh->name))};
    sh->usable = 0;
    f->load.busy_long = sh->busy_long;
    f->load.mean_run_ms = GvEstimate_MeanMs(sh->estimate);
    if (f->vs == NULL || !v->joined) {
        f->vs = NULL;
        return;
    }
    f->cands = g_new0(gv_candidate_t, f->vs->n_targets + 1);
    int idle = GvExchange_Free(d->exchange);
    int unused = 0;
    for (int i = 0; i < f->vs->n_targets; i++) {
        gv_candidate_t *c = &f->cands[i];
        if (GvTarget_Candidate(f->vs->targets[i], f->vs->service->pool, now_ms,
                               c) &&
            !c->ejected) {
            f->load.slots += c->usable;
            unused += MAX(c->usable - c->busy, 0);
        }
    }
    f->load.busy = f->load.slots - MIN(unused, idle);
    sh->usable = f->load.slots;
}

/* Releases the candidates. */
void
GvCandidates_Clear(gv_field_t *f)
{
    g_free(f->cands);
    f->cands = NULL;
}

/* Marks the candidates on which the request has failed, and those whose trial
   it may not be. */
static void
mark_candidates(const gv_request_t *rq, gv_field_t *f)
{
    for (int i = 0; i < f->vs->n_targets; i++) {
        f->cands[i].ejected |= f->cands[i].idempotent_only && !rq->idempotent;
        gv_str_t host = GvStr_C(GvTarget_Host(f->vs->targets[i]));
        for (int k = 0; k < rq->n_tried; k++) {
            f->cands[i].avoid |= GvStr_Equal(host, rq->tried[k]);
        }
    }
}

/* Begins an exchange on the best target. Returns its index or -1. */
static int
begin_somewhere(gv_dispatch_t *d, gv_shard_t *sh, gv_field_t *f,
                bool idempotent, int64_t now_ms, char *addr, size_t n)
{
    for (int tries = 0; tries < f->vs->n_targets; tries++) {
        int i = d->place_policy->choose(f->cands, f->vs->n_targets,
                                        g_random_int(), sh->turn++);
        if (i < 0) {
            return -1;
        }
        if (GvTarget_Begin(f->vs->targets[i], f->vs->service->pool, idempotent,
                           now_ms, addr, n) == GV_OK) {
            return i;
        }
        /* Closed or filled since the look: not a candidate any more. */
        f->cands[i].usable = 0;
    }
    return -1;
}

/* Registers the exchange and hands it to a worker. Returns false when no
   worker is free. The request's reference passes to the job. */
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

/* Follows the waiting time of the requests that start. */
static void
note_wait(gv_shard_t *sh, double waited_ms)
{
    /* Smoothing over about twenty starts. */
    sh->wait_ms += (waited_ms - sh->wait_ms) / 20;
}

/* Puts a request that could not start back to its place. */
static void
put_back(gv_dispatch_t *d, gv_shard_t *sh, gv_request_t *rq, int64_t now_ms)
{
    GvRequest_EndAttempt(rq, true);
    d->queue_policy->requeue(sh->queue, &rq->item, now_ms);
    rq->queued = true;
}

/* Starts one queued request. Returns false when none can start now. */
static bool
start_one(gv_dispatch_t *d, gv_shard_t *sh, gv_field_t *f, int64_t now_ms)
{
    gv_queue_item_t *it = d->queue_policy->pop(sh->queue, now_ms, &f->load);
    if (it == NULL) {
        return false;
    }
    gv_request_t *rq = it->user;
    rq->queued = false;
    /* Marked before the target is chosen: from here on the request cannot
       end as not-run behind our back. */
    if (!GvRequest_BeginAttempt(rq)) {
        GvRequest_Unref(rq);
        return true;
    }
    char addr[64];
    mark_candidates(rq, f);
    int i =
        begin_somewhere(d, sh, f, rq->idempotent, now_ms, addr, sizeof addr);
    if (i < 0) {
        put_back(d, sh, rq, now_ms);
        return false;
    }
    if (!launch(d, sh, rq, f->vs->targets[i], addr, now_ms)) {
        GvTarget_Undo(f->vs->targets[i]);
        put_back(d, sh, rq, now_ms);
        return false;
    }
    note_wait(sh, (double)(now_ms - it->queued_ms));
    return true;
}

/* Starts queued work of the shard while there are slots and workers. No lock
   may be held. */
void
GvShard_Pump(gv_dispatch_t *d, gv_shard_t *sh)
{
    bool more = true;
    while (more) {
        int64_t now = GvClock_MonoMs();
        gv_field_t f;
        const gv_view_t *v = GvView_Acquire(d->o.views);
        pthread_mutex_lock(&sh->lock);
        more = sh->queue != NULL && d->queue_policy->length(sh->queue) > 0;
        if (more) {
            GvCandidates_Fill(d, sh, v, now, &f);
            more = f.vs != NULL && start_one(d, sh, &f, now);
            GvCandidates_Clear(&f);
        }
        pthread_mutex_unlock(&sh->lock);
        GvView_Release();
    }
}

/* Tells whether one more of the service's targets may be ejected: at most a
   third of those that this entry host may use. */
static bool
may_eject(gv_dispatch_t *d, gv_shard_t *sh, int64_t now_ms)
{
    const gv_view_t *v = GvView_Acquire(d->o.views);
    const gv_view_service_t *vs = GvView_Service(v, GvStr_C(sh->name));
    int n = 0;
    int ejected = 0;
    for (int i = 0; vs != NULL && i < vs->n_targets; i++) {
        gv_candidate_t c;
        if (GvTarget_Candidate(vs->targets[i], vs->service->pool, now_ms,
                               &c)) {
            n++;
            ejected += GvTarget_IsEjected(vs->targets[i]);
        }
    }
    GvView_Release();
    return GvEject_IsAllowed(ejected, n);
}

/* Notes the host of a failed attempt, so that the next one avoids it. A
   refusal because of load says nothing about the host. */
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

/* Asks the retry policy. The shard is locked, which covers the budget. */
static gv_retry_decision_t
decide(gv_dispatch_t *d, gv_shard_t *sh, const gv_request_t *rq,
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

/* Ends the bookkeeping of an exchange. Returns true when the request still
   belonged to it; then *again tells whether it goes back to the queue. */
static bool
close_run(gv_dispatch_t *d, gv_shard_t *sh, gv_job_t *job,
          const gv_job_result_t *r, gv_retry_decision_t *decision)
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
            *decision =
                r->final ? GV_RETRY_NO : decide(d, sh, rq, r->attempt, now);
        }
    }
    pthread_mutex_unlock(&sh->lock);
    return current;
}

/* Puts a request back into the queue; the dispatch reference stays with it.
   A request that has ended is dropped. */
static void
queue_again(gv_dispatch_t *d, gv_shard_t *sh, gv_request_t *rq)
{
    pthread_mutex_lock(&sh->lock);
    bool ok = sh->queue != NULL && !GvRequest_Ended(rq);
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

/* Makes the answer for an attempt that ends its request. */
static gv_answer_t
final_answer(gv_job_result_t *r)
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

/* Handles the end of an exchange: answers the request or queues it again,
   then starts the next work. */
void
GvShard_JobDone(void *user, gv_job_t *job, gv_job_result_t *r)
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

/* Takes requests past their deadline out of the queue. */
static void
collect_expired(gv_dispatch_t *d, gv_shard_t *sh, int64_t now_ms,
                GPtrArray *late)
{
    gv_queue_item_t *it;
    while (sh->queue != NULL &&
           (it = d->queue_policy->expire(sh->queue, now_ms)) != NULL) {
        gv_request_t *rq = it->user;
        rq->queued = false;
        g_ptr_array_add(late, rq);
    }
}

/* Gives up an exchange whose connection went silent while its target answers
   fresh probes, if the request may be retried. */
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
            GvTarget_Doubt(run->target);
        }
        return false;
    }
    if (decide(d, sh, rq, GV_ATTEMPT_SILENT, now_ms) != GV_RETRY_AGAIN) {
        return false;
    }
    remember_host(rq, run->target, GV_ATTEMPT_SILENT);
    rq->attempt = 0;
    run->abandoned = true;
    GvTarget_Abandon(run->target);
    GvCounter_Add(&silent, 1);
    return true;
}

/* Looks at the exchanges in progress. */
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
        if (sh->sv != NULL && elapsed > sh->sv->short_ms) {
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

/* Follows the demand: slots in use plus those that would serve the waiting
   work within a second. */
static void
update_demand(gv_dispatch_t *d, gv_shard_t *sh, int64_t now_ms)
{
    if (now_ms - sh->second_ms >= 1000) {
        sh->rate = sh->arrived;
        sh->arrived = 0;
        sh->second_ms = now_ms;
    }
    double dt = sh->demand_ms == 0 ? 0 : (double)(now_ms - sh->demand_ms);
    sh->demand_ms = now_ms;
    int queued = sh->queue != NULL ? d->queue_policy->length(sh->queue) : 0;
    double now_slots = g_hash_table_size(sh->running) +
                       queued * GvEstimate_MeanMs(sh->estimate) / 1000;
    /* Time constants: 10 s for the mean, 2 min for the decay of the peak,
       so that a burst is remembered until the next one is likely. */
    sh->busy_slots += (now_slots - sh->busy_slots) * MIN(dt / 10e3, 1);
    sh->peak_slots -= sh->peak_slots * MIN(dt / 120e3, 1);
    sh->peak_slots = MAX(sh->peak_slots, now_slots);
    if (queued == 0) {
        sh->wait_ms -= sh->wait_ms * MIN(dt / 10e3, 1);
    }
}

/* Runs the timers of one shard. No lock may be held. */
void
GvShard_Tick(gv_dispatch_t *d, gv_shard_t *sh, int64_t now_ms)
{
    GPtrArray *late = g_ptr_array_new();
    GPtrArray *retried = g_ptr_array_new();
    gv_field_t f;
    const gv_view_t *v = GvView_Acquire(d->o.views);
    pthread_mutex_lock(&sh->lock);
    /* Also without work: heartbeats tell the usable slots. */
    GvCandidates_Fill(d, sh, v, now_ms, &f);
    GvCandidates_Clear(&f);
    collect_expired(d, sh, now_ms, late);
    check_runs(d, sh, now_ms, retried);
    update_demand(d, sh, now_ms);
    pthread_mutex_unlock(&sh->lock);
    GvView_Release();
    for (guint i = 0; i < late->len; i++) {
        gv_request_t *rq = late->pdata[i];
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
    g_ptr_array_free(late, TRUE);
    g_ptr_array_free(retried, TRUE);
    GvShard_Pump(d, sh);
}
