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
    gv_exchange_opts_t opts;
    pthread_mutex_t lock;
    pthread_cond_t wake;
    GQueue jobs; /* gv_exchange_job_t, at most one for each worker */
    int idle;    /* workers without a job */
    bool stop;
    pthread_t *threads;
    int n_threads; /* started */
};

/* Response headers that are read, and their indices in the answer's values. */
enum { WANT_ATTEMPT, WANT_NOT_STARTED, WANT_TYPE };
static const char *const wanted[] = {"Gv-Attempt-Id", "Gv-Not-Started",
                                     "Content-Type", NULL};

/* Sends the job's request and reads the response. id is the attempt id, which
   the target repeats in its response. Returns 0, GV_ETIMEDOUT if the deadline
   has passed, or an error of GvHttp_Do. */
static int
send_job(gv_http_client_t *http, const gv_exchange_job_t *job, const char *id,
         gv_http_response_t *out)
{
    const gv_request_opts_t *o = &job->request->opts;
    int64_t left = o->deadline_ms - GvClock_MonoMs();
    if (left <= 0) {
        return GV_ETIMEDOUT; /* nothing was sent: out->sent is false */
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
        /* The target stops the run at the deadline sent to it, so the
           exchange has certainly ended after this time. */
        .timeout_ms = (int)left + GV_ABANDON_GRACE_MS,
        .max_body = GV_BODY_MAX_BYTES,
        .want = wanted,
    };
    return GvHttp_Do(http, &rq, out);
}

/* Sets *r from a complete response. A response with another attempt id belongs
   to an earlier request and counts as lost. */
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
    /* A refusal with 503 concerns this target only; with another status every
       target would refuse the request. */
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

/* Makes one attempt and calls done with its result. */
static void
run_job(gv_exchange_pool_t *x, gv_http_client_t *worker_client,
        gv_exchange_job_t *job)
{
    char id[GV_NAME_MAX_BYTES + 32];
    g_snprintf(id, sizeof id, "%.*s-%" G_GINT64_MODIFIER "x",
               GV_STR_ARG(x->opts.entry), (guint64)job->attempt);
    gv_exchange_result_t r = {0};
    gv_http_response_t a = {0};
    int64_t begin = GvClock_MonoUs();
    GvCounter_Add(&attempts, 1);
    /* A non-idempotent request gets a new connection: the server may close a
       kept one while the request is sent, and then it is unknown whether the
       request ran. */
    gv_http_client_t *http = job->idempotent ? worker_client : GvHttp_New();
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
    /* The worker counts as idle before the call, so that done can start the
       next job. */
    pthread_mutex_lock(&x->lock);
    x->idle++;
    pthread_mutex_unlock(&x->lock);
    x->opts.done(x->opts.user, job, &r);
}

/* Worker thread: runs jobs until the pool stops and no job is left. */
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
        gv_exchange_job_t *job = g_queue_pop_head(&x->jobs);
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

/* Starts the pool with o->workers workers, at least 1 and at most
   GV_WORKERS_MAX. Returns 0, or GV_EIO if a thread cannot be started. */
int
GvExchange_Start(const gv_exchange_opts_t *o, gv_exchange_pool_t **out)
{
    gv_exchange_pool_t *x = g_new0(gv_exchange_pool_t, 1);
    x->opts = *o;
    x->opts.entry = GvStr_Dup(o->entry);
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

/* Waits until the workers have run their jobs, then frees the pool. */
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
    GvStr_Free(&x->opts.entry);
    g_free(x);
}

/* Returns the number of workers that have no job. */
int
GvExchange_CountIdle(gv_exchange_pool_t *x)
{
    pthread_mutex_lock(&x->lock);
    int idle = x->idle;
    pthread_mutex_unlock(&x->lock);
    return idle;
}

/* Gives a copy of the job to a free worker. Returns false if none is free or
   the pool is stopping; then the caller keeps the job's references. */
bool
GvExchange_Run(gv_exchange_pool_t *x, const gv_exchange_job_t *job)
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
