#include <string.h>

#include "clock.h"
#include "dispatch_private.h"

/* Returns the number of queued requests. The caller holds the shard's lock. */
static int
queued_of(gv_dispatch_t *d, const gv_shard_t *sh)
{
    return sh->queue != NULL ? d->queue_policy->length(sh->queue) : 0;
}

/* Counts a caller's ended request for the burn rate. Cancelled requests and
   those whose ticket or key forbids a run (409), and requests that the target
   refused as wrong (404), are not counted. */
void
GvDispatch_CountResult(gv_dispatch_t *d, gv_request_t *rq)
{
    gv_shard_t *sh = GvShard_Find(d, rq->o.service);
    if (sh == NULL || rq->status == 409 || rq->status == 404) {
        return;
    }
    bool good = rq->outcome == GV_OUTCOME_RUN && rq->status < 500;
    pthread_mutex_lock(&sh->lock);
    GvBurn_CountRequest(sh->burn, good, GvClock_MonoMs());
    pthread_mutex_unlock(&sh->lock);
}

/* Appends the load (gv_load_t) of each service. */
void
GvDispatch_Loads(gv_dispatch_t *d, GArray *out)
{
    gv_shard_t *sh;
    for (guint i = 0; (sh = GvShard_At(d, i)) != NULL; i++) {
        pthread_mutex_lock(&sh->lock);
        if (sh->service != NULL) {
            gv_load_t load = {
                .service = GvStr_C(sh->name),
                .queued = queued_of(d, sh),
                .busy = (int)g_hash_table_size(sh->running),
                /* Peers forward no requests to an entry host with no slots. */
                .slots = atomic_load(&d->refusing) ? 0 : sh->usable_slots,
                .rate = sh->rate,
            };
            g_array_append_val(out, load);
        }
        pthread_mutex_unlock(&sh->lock);
    }
}

/* Returns the number of requests queued here for the target's pool; 0 for an
   unknown target. */
int
GvDispatch_QueuedFor(gv_dispatch_t *d, gv_str_t host)
{
    char pool[GV_NAME_MAX_BYTES + 1];
    int queued = 0;
    gv_shard_t *sh;
    if (!GvTargets_CopyPool(d->opts.targets, host, pool, sizeof pool)) {
        return 0;
    }
    for (guint i = 0; (sh = GvShard_At(d, i)) != NULL; i++) {
        pthread_mutex_lock(&sh->lock);
        if (sh->service != NULL &&
            GvStr_Equal(sh->service->pool, GvStr_C(pool))) {
            queued += queued_of(d, sh);
        }
        pthread_mutex_unlock(&sh->lock);
    }
    return queued;
}

/* Appends one gv_dispatch_row_t for each service. */
void
GvDispatch_Report(gv_dispatch_t *d, GArray *out, int64_t now_ms)
{
    gv_shard_t *sh;
    for (guint i = 0; (sh = GvShard_At(d, i)) != NULL; i++) {
        gv_dispatch_row_t r = {0};
        pthread_mutex_lock(&sh->lock);
        bool known = sh->service != NULL;
        memcpy(r.service, sh->name, sizeof r.service);
        r.queued = queued_of(d, sh);
        r.busy = (int)g_hash_table_size(sh->running);
        r.slots = sh->usable_slots;
        r.rate = sh->rate;
        r.mean_run_ms = GvEstimate_MeanMs(sh->estimate);
        r.wait_ms = sh->wait_ms;
        GvBurn_Report(sh->burn, now_ms, r.burn);
        pthread_mutex_unlock(&sh->lock);
        if (known) {
            g_array_append_val(out, r);
        }
    }
}

/* Returns the summed demand of the pool's services at this entry host. run_ms
   and wait_ms are the largest of any service. */
gv_demand_t
GvDispatch_Demand(gv_dispatch_t *d, gv_str_t pool)
{
    gv_demand_t sum = {.pool = pool};
    gv_shard_t *sh;
    for (guint i = 0; (sh = GvShard_At(d, i)) != NULL; i++) {
        pthread_mutex_lock(&sh->lock);
        if (sh->service != NULL && GvStr_Equal(sh->service->pool, pool)) {
            sum.busy_slots += sh->busy_slots;
            sum.peak_slots += sh->peak_slots;
            sum.queued += queued_of(d, sh);
            sum.run_ms = MAX(sum.run_ms, GvEstimate_MeanMs(sh->estimate));
            sum.wait_ms = MAX(sum.wait_ms, sh->wait_ms);
        }
        pthread_mutex_unlock(&sh->lock);
    }
    return sum;
}
