#include "request.h"

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "error.h"
#include "limits.h"

GV_COUNTER(late_answers, "late_answers_total",
           "Answers dropped because their request had already ended");
GV_COUNTER(ended_run, "requests_run_total", "Requests that ended as run");
GV_COUNTER(ended_not_run, "requests_not_run_total",
           "Requests that ended as not-run");
GV_COUNTER(ended_unknown, "requests_unknown_total",
           "Requests that ended as unknown");

/* Requests in progress whose ids fall into the shard. */
typedef struct {
    pthread_mutex_t lock;
    GHashTable *by_id;  /* id -> gv_request_t */
    GTree *by_deadline; /* gv_request_t, earliest deadline first */
} shard_t;

struct gv_requests_s {
    shard_t shards[GV_SHARDS];
    atomic_uint_fast64_t next_id;
    atomic_int count; /* requests in progress */
    atomic_int open;  /* requests that have not ended */
    int max;
};

/* Orders requests by deadline, then by id, which is unique. */
static gint
compare_deadline(gconstpointer a, gconstpointer b, gpointer user)
{
    (void)user;
    const gv_request_t *x = a;
    const gv_request_t *y = b;
    if (x->opts.deadline_ms != y->opts.deadline_ms) {
        return x->opts.deadline_ms < y->opts.deadline_ms ? -1 : 1;
    }
    return (x->id > y->id) - (x->id < y->id);
}

/* Creates a table for at most max requests. */
gv_requests_t *
GvRequests_New(int max)
{
    gv_requests_t *t = g_new0(gv_requests_t, 1);
    t->max = max;
    /* Ids begin at a random value, so that an id that a caller got before a
       restart does not cancel another request. */
    uint64_t start = ((uint64_t)g_random_int() << 32) | g_random_int();
    atomic_init(&t->next_id, start);
    for (int i = 0; i < GV_SHARDS; i++) {
        pthread_mutex_init(&t->shards[i].lock, NULL);
        t->shards[i].by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
        t->shards[i].by_deadline =
            g_tree_new_full(compare_deadline, NULL, NULL, NULL);
    }
    return t;
}

/* Frees the table; every request must have ended. */
void
GvRequests_Free(gv_requests_t *t)
{
    if (t == NULL) {
        return;
    }
    for (int i = 0; i < GV_SHARDS; i++) {
        g_hash_table_destroy(t->shards[i].by_id);
        g_tree_destroy(t->shards[i].by_deadline);
        pthread_mutex_destroy(&t->shards[i].lock);
    }
    g_free(t);
}

/* Returns the number of requests whose callbacks have not all returned. */
int
GvRequests_Count(gv_requests_t *t)
{
    return atomic_load(&t->count);
}

/* Returns the number of requests that have not ended. */
int
GvRequests_CountOpen(gv_requests_t *t)
{
    return atomic_load(&t->open);
}

/* Returns the shard of an id. Ids are consecutive, so requests spread evenly
   over the shards. */
static shard_t *
shard_of(gv_requests_t *t, uint64_t id)
{
    return &t->shards[id % GV_SHARDS];
}

/* Locks and returns the shard of a request, to which the caller has a
   reference. */
static shard_t *
lock_request(gv_request_t *rq)
{
    shard_t *sh = shard_of(rq->table, rq->id);
    pthread_mutex_lock(&sh->lock);
    return sh;
}

/* Replaces the strings in o, except the body, which is owned already, by
   copies. */
static void
copy_strings(gv_request_opts_t *o)
{
    o->service = GvStr_Dup(o->service);
    o->method = GvStr_Dup(o->method);
    o->path = GvStr_Dup(o->path);
    o->content_type = GvStr_Dup(o->content_type);
    o->team = GvStr_Dup(o->team);
    o->work = GvStr_Dup(o->work);
    o->ticket = GvStr_Dup(o->ticket);
    o->key = GvStr_Dup(o->key);
}

/* Frees a request that has no references left. */
static void
free_request(gv_request_t *rq)
{
    GvStr_Free(&rq->opts.service);
    GvStr_Free(&rq->opts.method);
    GvStr_Free(&rq->opts.path);
    GvStr_Free(&rq->opts.content_type);
    GvStr_Free(&rq->opts.team);
    GvStr_Free(&rq->opts.work);
    GvStr_Free(&rq->opts.ticket);
    GvStr_Free(&rq->opts.key);
    GvStr_Free(&rq->opts.body);
    for (int i = 0; i < rq->n_tried; i++) {
        GvStr_Free(&rq->tried[i]);
    }
    g_free(rq);
}

/* Adds a request to the table. The strings in o are copied; its body is taken
   over, also on failure. Returns 0 and a reference for the caller in *out, or
   GV_EFULL if the table is full. */
int
GvRequest_New(gv_requests_t *t, const gv_request_opts_t *o, int64_t now_ms,
              gv_request_t **out)
{
    if (atomic_fetch_add(&t->count, 1) >= t->max) {
        atomic_fetch_sub(&t->count, 1);
        gv_str_t body = o->body;
        GvStr_Free(&body);
        return GV_EFULL;
    }
    atomic_fetch_add(&t->open, 1);
    gv_request_t *rq = g_new0(gv_request_t, 1);
    rq->opts = *o;
    copy_strings(&rq->opts);
    rq->table = t;
    rq->arrived_ms = now_ms;
    rq->refs = 2;
    rq->id = atomic_fetch_add(&t->next_id, 1);
    shard_t *sh = lock_request(rq);
    g_hash_table_insert(sh->by_id, &rq->id, rq);
    g_tree_insert(sh->by_deadline, rq, rq);
    pthread_mutex_unlock(&sh->lock);
    *out = rq;
    return GV_OK;
}

/* Takes one more reference. */
gv_request_t *
GvRequest_Ref(gv_request_t *rq)
{
    shard_t *sh = lock_request(rq);
    rq->refs++;
    pthread_mutex_unlock(&sh->lock);
    return rq;
}

/* Releases a reference; the last one frees the request. */
void
GvRequest_Unref(gv_request_t *rq)
{
    shard_t *sh = lock_request(rq);
    int left = --rq->refs;
    pthread_mutex_unlock(&sh->lock);
    if (left == 0) {
        free_request(rq);
    }
}

/* Finds a request in progress by id and takes a reference; NULL if there is
   none. */
gv_request_t *
GvRequest_Find(gv_requests_t *t, uint64_t id)
{
    shard_t *sh = shard_of(t, id);
    gint64 key = (gint64)id;
    pthread_mutex_lock(&sh->lock);
    gv_request_t *rq = g_hash_table_lookup(sh->by_id, &key);
    if (rq != NULL) {
        rq->refs++;
    }
    pthread_mutex_unlock(&sh->lock);
    return rq;
}

/* Counts a request that ended with the outcome. */
static void
count_outcome(gv_outcome_t o)
{
    switch (o) {
    case GV_OUTCOME_RUN:
        GvCounter_Add(&ended_run, 1);
        break;
    case GV_OUTCOME_NOT_RUN:
        GvCounter_Add(&ended_not_run, 1);
        break;
    case GV_OUTCOME_UNKNOWN:
        GvCounter_Add(&ended_unknown, 1);
        break;
    }
}

/* Ends the request as GvRequest_End does; with if_not_run only if it has
   certainly not run. */
static bool
end_request(gv_request_t *rq, gv_answer_t *a, bool if_not_run)
{
    shard_t *sh = lock_request(rq);
    if (if_not_run && (rq->active || rq->may_have_run)) {
        pthread_mutex_unlock(&sh->lock);
        GvAnswer_Free(a);
        return false;
    }
    if (rq->ended) {
        pthread_mutex_unlock(&sh->lock);
        GvCounter_Add(&late_answers, 1);
        GvAnswer_Free(a);
        return false;
    }
    rq->ended = true;
    atomic_fetch_sub(&rq->table->open, 1);
    if (a->outcome == GV_OUTCOME_NOT_RUN && (rq->active || rq->may_have_run)) {
        a->outcome = GV_OUTCOME_UNKNOWN;
    }
    rq->outcome = a->outcome;
    rq->status = a->status;
    gv_request_ended_t holder = rq->holder;
    void *holder_user = rq->holder_user;
    rq->holder = NULL;
    g_hash_table_remove(sh->by_id, &rq->id);
    g_tree_remove(sh->by_deadline, rq);
    pthread_mutex_unlock(&sh->lock);
    count_outcome(a->outcome);
    if (holder != NULL) {
        holder(holder_user, rq);
    }
    rq->opts.done(rq->opts.user, rq, a);
    GvAnswer_Free(a);
    atomic_fetch_sub(&rq->table->count, 1);
    GvRequest_Unref(rq);
    return true;
}

/* Ends the request with an answer, whose strings are taken over, and calls the
   holder and done. An outcome of not-run is changed to unknown if an attempt
   is in progress or an earlier one may have run. Returns false, and drops the
   answer, if the request had already ended. The caller must hold no lock. */
bool
GvRequest_End(gv_request_t *rq, gv_answer_t *a)
{
    return end_request(rq, a, false);
}

/* Ends the request as not-run if no attempt is in progress and no earlier one
   may have run. Returns true if this call ended it. With final a repeat of its
   ticket or key does not run either. The caller must not hold a lock. */
bool
GvRequest_CancelIfNotRun(gv_request_t *rq, const char *reason, bool final)
{
    gv_answer_t a = GvAnswer_Refuse(GV_OUTCOME_NOT_RUN, 409, 0, reason);
    a.final = final;
    return end_request(rq, &a, true);
}

/* Ends the request without a response: as unknown if it may have run, else as
   not-run, which is final. Returns false if it had already ended. */
bool
GvRequest_Cancel(gv_request_t *rq, const char *reason)
{
    /* GvRequest_End changes not-run to unknown if the request may have run. */
    gv_answer_t a = GvAnswer_Refuse(GV_OUTCOME_NOT_RUN, 409, 0, reason);
    a.final = true;
    return GvRequest_End(rq, &a);
}

bool
GvRequest_HasEnded(gv_request_t *rq)
{
    shard_t *sh = lock_request(rq);
    bool ended = rq->ended;
    pthread_mutex_unlock(&sh->lock);
    return ended;
}

/* Sets the holder, whose function is called when the request ends. Returns
   false if it has already ended. */
bool
GvRequest_SetHolder(gv_request_t *rq, gv_request_ended_t ended, void *user)
{
    shard_t *sh = lock_request(rq);
    bool ok = !rq->ended;
    if (ok) {
        rq->holder = ended;
        rq->holder_user = user;
    }
    pthread_mutex_unlock(&sh->lock);
    return ok;
}

/* Marks an attempt as in progress, before its first byte is sent. Returns
   false if the request has ended; then nothing may be sent. */
bool
GvRequest_BeginAttempt(gv_request_t *rq)
{
    shard_t *sh = lock_request(rq);
    bool ok = !rq->ended;
    if (ok) {
        rq->active = true;
    }
    pthread_mutex_unlock(&sh->lock);
    return ok;
}

/* Marks the attempt as ended. not_run: the request has certainly not run in
   it; otherwise the request can no longer end as not-run. */
void
GvRequest_EndAttempt(gv_request_t *rq, bool not_run)
{
    shard_t *sh = lock_request(rq);
    rq->active = false;
    rq->may_have_run = rq->may_have_run || !not_run;
    pthread_mutex_unlock(&sh->lock);
}

/* Appends a row for each request in progress until out has max rows; shard by
   shard, by deadline within a shard. */
void
GvRequests_Report(gv_requests_t *t, GArray *out, guint max, int64_t now_ms)
{
    for (int i = 0; i < GV_SHARDS; i++) {
        shard_t *sh = &t->shards[i];
        pthread_mutex_lock(&sh->lock);
        GTreeNode *node = g_tree_node_first(sh->by_deadline);
        for (; node != NULL && out->len < max; node = g_tree_node_next(node)) {
            const gv_request_t *rq = g_tree_node_key(node);
            gv_request_row_t r = {.id = rq->id,
                                  .age_ms = now_ms - rq->arrived_ms,
                                  .active = rq->active};
            g_strlcpy(r.service, rq->opts.service.p, sizeof r.service);
            g_array_append_val(out, r);
        }
        pthread_mutex_unlock(&sh->lock);
    }
}

/* Returns a request of the shard whose deadline has passed, with a reference,
   or NULL. */
static gv_request_t *
find_expired(shard_t *sh, int64_t now_ms)
{
    gv_request_t *rq = NULL;
    pthread_mutex_lock(&sh->lock);
    GTreeNode *node = g_tree_node_first(sh->by_deadline);
    if (node != NULL) {
        rq = g_tree_node_key(node);
        if (rq->opts.deadline_ms > now_ms) {
            rq = NULL;
        }
        else {
            rq->refs++;
        }
    }
    pthread_mutex_unlock(&sh->lock);
    return rq;
}

/* Ends every request whose deadline has passed. Called by the timer. */
void
GvRequests_Expire(gv_requests_t *t, int64_t now_ms)
{
    for (int i = 0; i < GV_SHARDS; i++) {
        gv_request_t *rq;
        while ((rq = find_expired(&t->shards[i], now_ms)) != NULL) {
            gv_answer_t a =
                GvAnswer_Refuse(GV_OUTCOME_NOT_RUN, 504, 0, "deadline passed");
            GvRequest_End(rq, &a);
            /* Releases the reference of find_expired, which the analyzer does
               not see. */
            GvRequest_Unref(rq); /* NOLINT(clang-analyzer-unix.Malloc) */
        }
    }
}
