#include "exchange.h"

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "error.h"
#include "httpclient.h"
#include "limits.h"

GV_COUNTER(mismatched, "responses_mismatched_total",
           "Responses from targets that carried another attempt id");
GV_COUNTER(attempts, "attempts_total", "Attempts sent to targets");

struct gv_exchange_pool_s {
    gv_exchange_opts_t o;
    pthread_mutex_t lock;
    pthread_cond_t wake;
    GQueue jobs; /* gv_job_t, at most one for each worker */
    int idle;
    bool stop;
    pthread_t *threads;
    int n_threads;
};

enum { WANT_ATTEMPT, WANT_NOT_STARTED, WANT_TYPE };
static const char *const wanted[] = {"Gv-Attempt-Id", "Gv-Not-Started",
                                     "Content-Type", NULL};

/* Sends the job's request. id is the attempt id that the target echoes. */
static int
send_job(gv_http_client_t *http, const gv_job_t *job, const char *id,
         gv_http_response_t *out)
{
    const gv_request_opts_t *o = &job->rq->o;
    int64_t left = o->deadline_ms - GvClock_MonoMs();
    if (left <= 0) {
        return GV_ETIMEDOUT; /* out->sent is false */
    }
    char left_text[24];
    g_snprintf(left_text, sizeof left_text, "%" G_GINT64_FORMAT, (gint64)left);
    gv_header_t headers[] = {
        {GV_STR("Gv-Attempt-Id"), GvStr_C(id)},
        {GV_STR("Gv-Deadline-Ms"), GvStr_C(left_text)},
        {GV_STR("Content-Type"), o->content_type},
    };
    gv_http_request_t rq = {
        .addr = GvStr_C(job->addr),
        .method = o->method,
        .path = o->path,
        .headers = headers,
        .n_headers = o->content_type.n > 0 ? 3 : 2,
        .body = o->body,
        .idempotent = job->idempotent,
        /* The target stops the run at its limit, so that after this time the
           exchange has certainly ended. */
        .timeout_ms = (int)left + GV_ABANDON_GRACE_MS,
        .max_body = GV_BODY_MAX_BYTES,
        .want = wanted,
    };
    return GvHttp_Do(http, &rq, out);
}

/* Classifies a complete response. */
static void
classify(const char *id, gv_http_response_t *a, gv_exchange_result_t *r)
{
    if (g_strcmp0(a->values[WANT_ATTEMPT], id) != 0) {
        GvCounter_Add(&mismatched, 1);
        r->attempt = GV_ATTEMPT_LOST;
        return;
    }
    r->not_run = g_strcmp0(a->values[WANT_NOT_STARTED], "true") == 0;
    r->attempt = r->not_run         ? GV_ATTEMPT_REFUSED
                 : a->status >= 500 ? GV_ATTEMPT_FAILED
                                    : GV_ATTEMPT_OK;
    /* 503 concerns this target; another status would recur elsewhere. */
    r->final = r->not_run && a->status != 503;
    if (r->not_run && !r->final) {
        return;
    }
    const char *type = a->values[WANT_TYPE];
    r->answer = (gv_answer_t){
        .outcome = r->not_run ? GV_OUTCOME_NOT_RUN : GV_OUTCOME_RUN,
        .status = a->status,
        .content_type = GvStr_Dup(GvStr_C(type != NULL ? type : "")),
        .body = GvStr_Dup(GvStr_N(a->body->data, a->body->len)),
    };
}

/* Makes one attempt and passes its result on. */
static void
run_job(gv_exchange_pool_t *x, gv_http_client_t *kept, gv_job_t *job)
{
    char id[GV_NAME_MAX_BYTES + 32];
    g_snprintf(id, sizeof id, "%.*s-%" G_GINT64_MODIFIER "x",
               GV_STR_ARG(x->o.entry), (guint64)job->attempt);
    gv_exchange_result_t r = {0};
    gv_http_response_t a = {0};
    int64_t begin = GvClock_MonoUs();
    GvCounter_Add(&attempts, 1);
    /* A non-idempotent request gets a connection of its own: on a kept one
       it could meet a server that closes it, with its fate unknown. */
    gv_http_client_t *http = job->idempotent ? kept : GvHttp_New();
    int err = send_job(http, job, id, &a);
    r.run_ms = (double)(GvClock_MonoUs() - begin) / 1000;
    if (err == GV_OK) {
        classify(id, &a, &r);
    }
    else {
        r.attempt = a.sent ? GV_ATTEMPT_LOST : GV_ATTEMPT_UNREACHABLE;
        r.not_run = !a.sent;
    }
    if (!job->idempotent) {
        GvHttp_Free(http);
    }
    GvHttp_ClearResponse(&a);
    /* Free before done, so that done can start the next job. */
    pthread_mutex_lock(&x->lock);
    x->idle++;
    pthread_mutex_unlock(&x->lock);
    x->o.done(x->o.user, job, &r);
}

/* Runs jobs until the pool stops and none is left. */
static void *
worker(void *arg)
{
    gv_exchange_pool_t *x = arg;
    gv_http_client_t *http = GvHttp_New();
    pthread_mutex_lock(&x->lock);
    for (;;) {
        while (x->jobs.length == 0 && !x->stop) {
            pthread_cond_wait(&x->wake, &x->lock);
        }
        gv_job_t *job = g_queue_pop_head(&x->jobs);
        if (job == NULL) {
            break;
        }
        pthread_mutex_unlock(&x->lock);
        run_job(x, http, job);
        g_free(job);
        pthread_mutex_lock(&x->lock);
    }
    pthread_mutex_unlock(&x->lock);
    GvHttp_Free(http);
    return NULL;
}

/* Starts the workers. Returns 0, or GV_EIO when a thread cannot be made. */
int
GvExchange_Start(const gv_exchange_opts_t *o, gv_exchange_pool_t **out)
{
    gv_exchange_pool_t *x = g_new0(gv_exchange_pool_t, 1);
    x->o = *o;
    x->o.entry = GvStr_Dup(o->entry);
    pthread_mutex_init(&x->lock, NULL);
    pthread_cond_init(&x->wake, NULL);
    int n = CLAMP(o->workers, 1, GV_WORKERS_MAX);
    x->threads = g_new0(pthread_t, n);
    x->idle = n;
    pthread_attr_t attr;
    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, GV_WORKER_STACK_BYTES);
    while (x->n_threads < n &&
           pthread_create(&x->threads[x->n_threads], &attr, worker, x) == 0) {
        x->n_threads++;
    }
    pthread_attr_destroy(&attr);
    if (x->n_threads < n) {
        GvExchange_Stop(x);
        return GV_EIO;
    }
    *out = x;
    return GV_OK;
}

/* Ends the workers after their jobs and frees the pool. */
void
GvExchange_Stop(gv_exchange_pool_t *x)
{
    if (x == NULL) {
        return;
    }
    pthread_mutex_lock(&x->lock);
    x->stop = true;
    pthread_cond_broadcast(&x->wake);
    pthread_mutex_unlock(&x->lock);
    for (int i = 0; i < x->n_threads; i++) {
        pthread_join(x->threads[i], NULL);
    }
    pthread_mutex_destroy(&x->lock);
    pthread_cond_destroy(&x->wake);
    g_free(x->threads);
    GvStr_Free(&x->o.entry);
    g_free(x);
}

/* Returns the number of workers without a job. */
int
GvExchange_CountIdle(gv_exchange_pool_t *x)
{
    pthread_mutex_lock(&x->lock);
    int idle = x->idle;
    pthread_mutex_unlock(&x->lock);
    return idle;
}

/* Hands a copy of the job to a free worker. Returns false when none is free;
   then the job's references stay with the caller. */
bool
GvExchange_Run(gv_exchange_pool_t *x, const gv_job_t *job)
{
    pthread_mutex_lock(&x->lock);
    bool ok = x->idle > 0 && !x->stop;
    if (ok) {
        x->idle--;
        g_queue_push_tail(&x->jobs, g_memdup2(job, sizeof *job));
        pthread_cond_signal(&x->wake);
    }
    pthread_mutex_unlock(&x->lock);
    return ok;
}
