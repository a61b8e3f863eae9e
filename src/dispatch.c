#include "dispatch.h"

#include <string.h>

#include "clock.h"
#include "counter.h"
#include "dispatch_private.h"
#include "error.h"

GV_COUNTER(refused_full, "admission_full_total",
           "Requests refused because the queue was full");
GV_COUNTER(refused_late, "admission_late_total",
           "Requests refused because their deadline could not be met");

/* Returns shard i, or NULL past the last one. */
gv_shard_t *
GvShard_At(gv_dispatch_t *d, guint i)
{
    pthread_mutex_lock(&d->table_lock);
    gv_shard_t *sh = i < d->shards->len ? d->shards->pdata[i] : NULL;
    pthread_mutex_unlock(&d->table_lock);
    return sh;
}

/* Returns the shard of a service, or NULL. */
gv_shard_t *
GvShard_Find(gv_dispatch_t *d, gv_str_t service)
{
    gv_shard_t *sh = NULL;
    pthread_mutex_lock(&d->table_lock);
    for (guint i = 0; i < d->shards->len && sh == NULL; i++) {
        gv_shard_t *s = d->shards->pdata[i];
        sh = GvStr_Equal(GvStr_C(s->name), service) ? s : NULL;
    }
    pthread_mutex_unlock(&d->table_lock);
    return sh;
}

/* Frees a shard. All its exchanges must have ended. */
static void
free_shard(gpointer p)
{
    gv_shard_t *sh = p;
    g_assert(g_hash_table_size(sh->running) == 0);
    g_hash_table_destroy(sh->running);
    GvEstimate_Free(sh->estimate);
    GvBurn_Free(sh->burn);
    if (sh->settings != NULL) {
        GvSettings_Unref(sh->settings);
    }
    pthread_mutex_destroy(&sh->lock);
    g_free(sh);
}

/* Creates the dispatcher and starts its exchange threads. Returns 0 or
   GV_EIO. */
int
GvDispatch_Start(const gv_dispatch_opts_t *o, gv_dispatch_t **out)
{
    gv_dispatch_t *d = g_new0(gv_dispatch_t, 1);
    d->opts = *o;
    d->queue_policy = (const gv_queue_policy_t *)GvRegistry_Find(
        GV_PLUGIN_QUEUE, GV_STR("fair"));
    d->place_policy = (const gv_place_policy_t *)GvRegistry_Find(
        GV_PLUGIN_PLACE, GV_STR("least-loaded"));
    d->retry_policy = (const gv_retry_policy_t *)GvRegistry_Find(
        GV_PLUGIN_RETRY, GV_STR("safe"));
    g_assert(d->queue_policy != NULL && d->place_policy != NULL &&
             d->retry_policy != NULL);
    pthread_mutex_init(&d->table_lock, NULL);
    pthread_mutex_init(&d->view_lock, NULL);
    d->shards = g_ptr_array_new_with_free_func(free_shard);
    /* A random start keeps attempt ids apart from those of an earlier process
       of the same entry host. */
    atomic_init(&d->next_attempt,
                ((uint64_t)g_random_int() << 32) + g_random_int());
    gv_exchange_opts_t xo = {
        .workers = o->workers,
        .entry = o->entry,
        .done = GvShard_JobDone,
        .user = d,
    };
    int rc = GvExchange_Start(&xo, &d->exchange);
    if (rc != GV_OK) {
        GvDispatch_Stop(d);
        return rc;
    }
    *out = d;
    return GV_OK;
}

/* Removes the shard's queue and ends every request in it as not-run. */
static void
drain_queue(gv_dispatch_t *d, gv_shard_t *sh, int status, const char *reason)
{
    pthread_mutex_lock(&sh->lock);
    gv_queue_t *q = sh->queue;
    sh->queue = NULL;
    sh->service = NULL;
    pthread_mutex_unlock(&sh->lock);
    gv_queue_item_t *it;
    while (q != NULL && (it = d->queue_policy->expire(q, INT64_MAX)) != NULL) {
        gv_request_t *rq = it->user;
        pthread_mutex_lock(&sh->lock);
        rq->queued = false;
        pthread_mutex_unlock(&sh->lock);
        gv_answer_t a = GvAnswer_Refuse(GV_OUTCOME_NOT_RUN, status, 0, reason);
        GvRequest_End(rq, &a);
        GvRequest_Unref(rq);
    }
    if (q != NULL) {
        d->queue_policy->destroy(q);
    }
}

/* Ends queued requests as not-run, waits for the exchanges in progress and
   frees the dispatcher. */
void
GvDispatch_Stop(gv_dispatch_t *d)
{
    if (d == NULL) {
        return;
    }
    atomic_store(&d->refusing, true);
    gv_shard_t *sh;
    for (guint i = 0; (sh = GvShard_At(d, i)) != NULL; i++) {
        drain_queue(d, sh, 503, "entry host is stopping");
    }
    GvExchange_Stop(d->exchange);
    g_ptr_array_free(d->shards, TRUE);
    pthread_mutex_destroy(&d->table_lock);
    pthread_mutex_destroy(&d->view_lock);
    g_free(d);
}

/* Makes every later submission end as not-run. */
void
GvDispatch_Refuse(gv_dispatch_t *d)
{
    atomic_store(&d->refusing, true);
}

/* Returns the queue options from the service's settings. */
static gv_queue_opts_t
queue_opts(const gv_service_t *sv)
{
    return (gv_queue_opts_t){
        .max_requests = sv->queue_max,
        .teams = sv->teams,
        .n_teams = sv->n_teams,
        .urgent_share_percent = sv->urgent_share_percent,
        .long_share_percent = sv->long_share_percent,
    };
}

/* Adds an unconfigured shard for a new service. */
static gv_shard_t *
add_shard(gv_dispatch_t *d, const gv_service_t *sv)
{
    gv_shard_t *sh = g_new0(gv_shard_t, 1);
    g_strlcpy(sh->name, sv->name.p, MIN(sv->name.n + 1, sizeof sh->name));
    pthread_mutex_init(&sh->lock, NULL);
    gv_estimate_opts_t eo = {.short_ms = sv->short_ms};
    sh->estimate = GvEstimate_New(&eo);
    sh->burn = GvBurn_New(sv->objective_percent);
    sh->running =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    pthread_mutex_lock(&d->table_lock);
    g_ptr_array_add(d->shards, sh);
    pthread_mutex_unlock(&d->table_lock);
    return sh;
}

/* Applies the service's settings to its shard, and creates its queue if it has
   none. */
static void
configure(gv_dispatch_t *d, gv_shard_t *sh, const gv_view_t *v,
          const gv_service_t *sv)
{
    gv_queue_opts_t qo = queue_opts(sv);
    pthread_mutex_lock(&sh->lock);
    gv_settings_t *old = sh->settings;
    sh->settings = GvSettings_Ref(v->settings);
    sh->service = sv;
    if (sh->queue == NULL) {
        sh->queue = d->queue_policy->create(&qo);
    }
    else {
        d->queue_policy->configure(sh->queue, &qo);
    }
    GvEstimate_Configure(sh->estimate, sv->short_ms);
    GvBurn_Configure(sh->burn, sv->objective_percent);
    sh->budget.percent = sv->retry_percent;
    pthread_mutex_unlock(&sh->lock);
    if (old != NULL) {
        GvSettings_Unref(old);
    }
}

/* Adds shards for new services, configures those whose settings changed and
   empties those of removed services; then starts requests that the new view
   allows. No lock may be held. */
void
GvDispatch_OnView(gv_dispatch_t *d)
{
    pthread_mutex_lock(&d->view_lock);
    const gv_view_t *v = GvView_Acquire(d->opts.views);
    for (int i = 0; i < v->n_services; i++) {
        const gv_service_t *sv = v->services[i].service;
        gv_shard_t *sh = GvShard_Find(d, sv->name);
        if (sh == NULL) {
            sh = add_shard(d, sv);
        }
        if (sh->settings != v->settings || sh->service != sv) {
            configure(d, sh, v, sv);
        }
    }
    GPtrArray *gone = g_ptr_array_new();
    gv_shard_t *sh;
    for (guint i = 0; (sh = GvShard_At(d, i)) != NULL; i++) {
        if (sh->service != NULL &&
            GvView_Service(v, GvStr_C(sh->name)) == NULL) {
            g_ptr_array_add(gone, sh);
        }
    }
    GvView_Release();
    for (guint i = 0; i < gone->len; i++) {
        drain_queue(d, gone->pdata[i], 404, "service was removed");
    }
    g_ptr_array_free(gone, TRUE);
    pthread_mutex_unlock(&d->view_lock);
    GvDispatch_Pump(d);
}

/* Called by the request table when a request has ended: removes it from the
   queue, or marks its exchange as abandoned. */
static void
on_ended(void *user, gv_request_t *rq)
{
    gv_dispatch_t *d = user;
    gv_shard_t *sh = GvShard_Find(d, rq->o.service);
    if (sh == NULL) {
        return;
    }
    bool was_queued = false;
    pthread_mutex_lock(&sh->lock);
    if (rq->queued && sh->queue != NULL) {
        d->queue_policy->remove(sh->queue, &rq->item);
        rq->queued = false;
        was_queued = true;
    }
    if (rq->attempt != 0) {
        gv_run_t *run = g_hash_table_lookup(sh->running, &rq->attempt);
        if (run != NULL && !run->abandoned) {
            run->abandoned = true;
            GvTarget_Abandon(run->target);
        }
    }
    pthread_mutex_unlock(&sh->lock);
    if (was_queued) {
        GvRequest_Unref(rq);
    }
}

/* Ends a request as not-run. */
static void
refuse(gv_request_t *rq, int status, int retry_after_ms, const char *reason)
{
    gv_answer_t a =
        GvAnswer_Refuse(GV_OUTCOME_NOT_RUN, status, retry_after_ms, reason);
    GvRequest_End(rq, &a);
}

/* Fills the request's queue item. The caller holds the shard's lock. */
static void
fill_item(gv_shard_t *sh, gv_request_t *rq)
{
    rq->idempotent =
        GvService_IsIdempotent(sh->service, rq->o.method, rq->o.path);
    rq->item.team = rq->o.team;
    rq->item.urgent = rq->o.urgent;
    rq->item.run_ms = GvEstimate_RunMs(sh->estimate, rq->o.work);
    rq->item.is_long = GvEstimate_IsLong(sh->estimate, rq->o.work);
    rq->item.deadline_ms = rq->o.deadline_ms;
    rq->item.user = rq;
}

typedef enum { ADMITTED, NO_SERVICE, SATURATED, FULL, TOO_LATE } admission_t;

/* Queues the request, or returns why it was not queued. Returns SATURATED only
   if may_spill is set: the service has no free slot here and at least as many
   queued requests as slots. */
static admission_t
admit(gv_dispatch_t *d, gv_shard_t *sh, gv_request_t *rq, bool may_spill,
      int *retry_after_ms)
{
    int64_t now = GvClock_MonoMs();
    admission_t result = ADMITTED;
    gv_candidates_t set;
    const gv_view_t *v = GvView_Acquire(d->opts.views);
    pthread_mutex_lock(&sh->lock);
    GvCandidates_Fill(d, sh, v, now, &set);
    const gv_queue_load_t *load = &set.load;
    if (sh->service == NULL) {
        result = NO_SERVICE;
    }
    else if (may_spill && load->busy >= load->slots &&
             d->queue_policy->length(sh->queue) >= load->slots) {
        result = SATURATED;
    }
    else {
        fill_item(sh, rq);
        gv_admit_t adm =
            d->queue_policy->push(sh->queue, &rq->item, now, load);
        *retry_after_ms = adm.retry_after_ms;
        switch (adm.kind) {
        case GV_ADMIT_QUEUED:
            rq->queued = true;
            break;
        case GV_ADMIT_FULL:
            result = FULL;
            break;
        case GV_ADMIT_TOO_LATE:
            result = TOO_LATE;
            break;
        }
    }
    if (result == ADMITTED) {
        GvRetry_CountRequest(&sh->budget);
        sh->arrived++;
    }
    GvCandidates_Clear(&set);
    pthread_mutex_unlock(&sh->lock);
    GvView_Release();
    return result;
}

/* Ends a request that was not admitted as not-run; does nothing for ADMITTED
   and SATURATED. */
static void
end_refused(gv_request_t *rq, admission_t why, int retry_after_ms)
{
    switch (why) {
    case ADMITTED:
    case SATURATED:
        break;
    case NO_SERVICE:
        refuse(rq, 404, 0, "no such service");
        break;
    case FULL:
        GvCounter_Add(&refused_full, 1);
        refuse(rq, 503, retry_after_ms, "queue is full");
        break;
    case TOO_LATE:
        GvCounter_Add(&refused_late, 1);
        refuse(rq, 503, retry_after_ms, "deadline cannot be met");
        break;
    }
}

/* Offers the request to the spill hook. Returns true if the hook took it. */
static bool
offer_to_spill(gv_dispatch_t *d, gv_request_t *rq)
{
    return d->opts.spill != NULL && d->opts.spill(d->opts.user, rq);
}

/* Queues the request and starts it if a slot is free, offers it to the spill
   hook, or ends it as not-run. No lock may be held. */
void
GvDispatch_Submit(gv_dispatch_t *d, gv_request_t *rq)
{
    gv_shard_t *sh = GvShard_Find(d, rq->o.service);
    if (atomic_load(&d->refusing)) {
        refuse(rq, 503, GV_RETRY_AFTER_MIN_MS, "entry host is stopping");
        return;
    }
    if (sh == NULL) {
        refuse(rq, 404, 0, "no such service");
        return;
    }
    GvRequest_Ref(rq); /* the queue's reference */
    bool may_spill = d->opts.spill != NULL && !rq->o.no_forward;
    int retry_after_ms = 0;
    if (!GvRequest_SetHolder(rq, on_ended, d)) {
        GvRequest_Unref(rq); /* the request has already ended */
        return;
    }
    admission_t got = admit(d, sh, rq, may_spill, &retry_after_ms);
    if (got != ADMITTED && got != NO_SERVICE && may_spill) {
        if (offer_to_spill(d, rq)) {
            GvRequest_Unref(rq);
            return;
        }
        if (got == SATURATED) {
            got = admit(d, sh, rq, false, &retry_after_ms);
        }
    }
    if (got != ADMITTED) {
        end_refused(rq, got, retry_after_ms);
        GvRequest_Unref(rq);
        return;
    }
    if (GvRequest_HasEnded(rq)) {
        /* It may have ended before it was in the queue, where the first call
           of on_ended could not remove it. */
        on_ended(d, rq);
        return;
    }
    GvShard_Pump(d, sh);
}

/* Starts queued requests of every service. No lock may be held. */
void
GvDispatch_Pump(gv_dispatch_t *d)
{
    gv_shard_t *sh;
    for (guint i = 0; (sh = GvShard_At(d, i)) != NULL; i++) {
        GvShard_Pump(d, sh);
    }
}

/* Runs the periodic work of every service. No lock may be held. */
void
GvDispatch_Tick(gv_dispatch_t *d, int64_t now_ms)
{
    gv_shard_t *sh;
    for (guint i = 0; (sh = GvShard_At(d, i)) != NULL; i++) {
        GvShard_Tick(d, sh, now_ms);
    }
}
