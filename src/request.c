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

typedef struct {
    pthread_mutex_t lock;
    GHashTable *by_id;
    GTree *by_deadline;
} shard_t;

struct gv_requests_s {
    shard_t shards[GV_SHARDS];
    atomic_uint_fast64_t next_id;
    atomic_int count;
    int max;
};

/* Orders requests by deadline, then by id, which is unique. */
static gint
by_deadline(gconstpointer a, gconstpointer b, gpointer user)
{
    (void)user;
    const gv_request_t *x = a;
    const gv_request_t *y = b;
    if (x->o.deadline_ms != y->o.deadline_ms) {
        return x->o.deadline_ms < y->o.deadline_ms ? -1 : 1;
    }
    return (x->id > y->id) - (x->id < y->id);
}

/* Makes a table for at most max requests. */
gv_requests_t *
GvRequests_New(int max)
{
    gv_requests_t *t = g_new0(gv_requests_t, 1);
    t->max = max;
    /* Ids begin at a random value: an id kept by a caller from before a
       restart must not cancel another request. */
    uint64_t start = ((uint64_t)g_random_int() << 32) | g_random_int();
    atomic_init(&t->next_id, start);
    for (int i = 0; i < GV_SHARDS; i++) {
        pthread_mutex_init(&t->shards[i].lock, NULL);
        t->shards[i].by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
        t->shards[i].by_deadline =
            g_tree_new_full(by_deadline, NULL, NULL, NULL);
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

/* Returns the number of requests that have not ended. */
int
GvRequests_Count(gv_requests_t *t)
{
    return atomic_load(&t->count);
}

/* Requests spread evenly, because ids are consecutive. */
static shard_t *
shard_of(gv_requests_t *t, uint64_t id)
{
    return &t->shards[id % GV_SHARDS];
}

/* Locks the shard of a request that the caller refers to. */
static shard_t *
lock_request(gv_request_t *rq)
{
    shard_t *sh = shard_of(rq->table, rq->id);
    pthread_mutex_lock(&sh->lock);
    return sh;
}

/* Replaces the views in o by copies; the body is owned already. */
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

/* Frees a request without references. */
static void
free_request(gv_request_t *rq)
{
    GvStr_Free(&rq->o.service);
    GvStr_Free(&rq->o.method);
    GvStr_Free(&rq->o.path);
    GvStr_Free(&rq->o.content_type);
    GvStr_Free(&rq->o.team);
    GvStr_Free(&rq->o.work);
    GvStr_Free(&rq->o.ticket);
    GvStr_Free(&rq->o.key);
    GvStr_Free(&rq->o.body);
    for (int i = 0; i < rq->n_tried; i++) {
        GvStr_Free(&rq->tried[i]);
    }
    g_free(rq);
}

/* Enters a request into the table. The strings of o are copied; its body is
   taken over, also on failure. Returns 0 with one reference for the caller,
   or GV_EFULL. */
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
    gv_request_t *rq = g_new0(gv_request_t, 1);
    rq->o = *o;
    copy_strings(&rq->o);
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

/* Finds a request that has not ended and takes a reference, or NULL. */
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

/* Counts the outcome that the caller is told. */
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

/* Ends the request as GvRequest_End does; with idle_only only while it has
   certainly not run. */
static bool
end_request(gv_request_t *rq, gv_answer_t *a, bool idle_only)
{
    shard_t *sh = lock_request(rq);
    if (idle_only && (rq->active || rq->unsure)) {
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
    if (a->outcome == GV_OUTCOME_NOT_RUN && (rq->active || rq->unsure)) {
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
    rq->o.done(rq->o.user, rq, a);
    GvAnswer_Free(a);
    atomic_fetch_sub(&rq->table->count, 1);
    GvRequest_Unref(rq);
    return true;
}

/* Ends the request with an answer, whose strings are taken over, and tells
   the submitter and the holder. not-run becomes unknown when an attempt is
   active or an earlier one may have run. Returns false, and drops the answer,
   when the request had already ended. No lock may be held. */
bool
GvRequest_End(gv_request_t *rq, gv_answer_t *a)
{
    return end_request(rq, a, false);
}

/* Ends the request as not-run if no attempt is active and none may have run.
   Returns whether it has ended it. With final its ticket or key never runs.
   No lock may be held. */
bool
GvRequest_CancelIfNotRun(gv_request_t *rq, const char *reason, bool final)
{
    gv_answer_t a = GvAnswer_Refuse(GV_OUTCOME_NOT_RUN, 409, 0, reason);
    a.final = final;
    return end_request(rq, &a, true);
}

/* Ends the request because nobody waits for it any more: unknown if it may
   have run, else not-run, which is final. Returns false when it had already
   ended. */
bool
GvRequest_Cancel(gv_request_t *rq, const char *reason)
{
    /* End turns not-run into unknown where that is due. */
    gv_answer_t a = GvAnswer_Refuse(GV_OUTCOME_NOT_RUN, 409, 0, reason);
    a.final = true;
    return GvRequest_End(rq, &a);
}

/* Tells whether the request has ended. */
bool
GvRequest_HasEnded(gv_request_t *rq)
{
    shard_t *sh = lock_request(rq);
    bool ended = rq->ended;
    pthread_mutex_unlock(&sh->lock);
    return ended;
}

/* Makes another module the holder, which is told when the request ends.
   Returns false when it has ended already. */
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

/* Marks an attempt before its first byte may leave. Returns false when the
   request has ended: then nothing may be sent. */
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

/* Marks the end of an attempt. not_run tells that it certainly has not run;
   otherwise the request can no longer end as not-run. */
void
GvRequest_EndAttempt(gv_request_t *rq, bool not_run)
{
    shard_t *sh = lock_request(rq);
    rq->active = false;
    rq->unsure = rq->unsure || !not_run;
    pthread_mutex_unlock(&sh->lock);
}

/* Appends up to max rows of requests in progress, in the order of their
   deadlines within a shard. */
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
            g_strlcpy(r.service, rq->o.service.p, sizeof r.service);
            g_array_append_val(out, r);
        }
        pthread_mutex_unlock(&sh->lock);
    }
}

/* Takes out one request whose deadline has passed, with a reference. */
static gv_request_t *
first_late(shard_t *sh, int64_t now_ms)
{
    gv_request_t *rq = NULL;
    pthread_mutex_lock(&sh->lock);
    GTreeNode *node = g_tree_node_first(sh->by_deadline);
    if (node != NULL) {
        rq = g_tree_node_key(node);
        if (rq->o.deadline_ms > now_ms) {
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
        while ((rq = first_late(&t->shards[i], now_ms)) != NULL) {
            gv_answer_t a =
                GvAnswer_Refuse(GV_OUTCOME_NOT_RUN, 504, 0, "deadline passed");
            GvRequest_End(rq, &a);
            /* first_late took a reference, which the analyzer does not see. */
            GvRequest_Unref(rq); /* NOLINT(clang-analyzer-unix.Malloc) */
        }
    }
}
