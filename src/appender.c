#include "appender.h"

#include <glib.h>
#include <pthread.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "error.h"
#include "limits.h"
#include "platform.h"
#include "sync.h"

GV_COUNTER(append_calls, "log_append_calls_total",
           "Appends sent to the platform's log");
GV_COUNTER(append_repeats, "log_append_repeats_total",
           "Appends repeated because their result was unknown");
GV_COUNTER(append_refused, "log_append_refused_total",
           "Appends that the platform refused as invalid");

/* A submitted record whose outcome has not been reported yet. */
typedef struct {
    char kind[16];
    gv_str_t payload;
    int64_t deadline_ms; /* monotonic */
    gv_append_done_t done;
    void *user;
} queued_record_t;

/* Arguments of a done() call, which is made after the lock is released. */
typedef struct {
    queued_record_t *record;
    int err;
    gv_verdict_t verdict;
} result_t;

/* The batch being appended. Once it may have been sent, its bytes stay the
   same, so that every repetition sends equal records. */
typedef struct {
    gv_str_t bytes[GV_APPEND_MAX_RECORDS];
    int n_records;
    uint64_t first_seq;
    int64_t expires_ms; /* monotonic; the ledger rejects later appends */
    bool maybe_sent;
    bool decided[GV_APPEND_MAX_RECORDS]; /* the record's verdict arrived */
} batch_t;

struct gv_appender_s {
    gv_appender_opts_t opts;
    gv_platform_t *platform; /* used by the appender thread only */
    pthread_t thread;
    pthread_mutex_t lock; /* protects all fields below */
    pthread_cond_t changed;
    bool stopping;
    GQueue pending; /* of queued_record_t; never sent */
    /* Sequence (uint64_t *) -> queued_record_t; may have been sent. */
    GHashTable *waiting;
    uint64_t next_seq;
    batch_t batch;
    int failures;        /* consecutive failed appends */
    int64_t retry_at_ms; /* monotonic; used after a failure */
};

/* Frees a record and its payload. */
static void
free_record(queued_record_t *it)
{
    GvStr_Free(&it->payload);
    g_free(it);
}

/* Adds a done() call to results; v is copied and may be NULL. */
static void
add_result(GArray *results, queued_record_t *it, int err,
           const gv_verdict_t *v)
{
    result_t res = {.record = it, .err = err};
    if (v != NULL) {
        res.verdict = *v;
    }
    g_array_append_val(results, res);
}

/* Calls done() for each result and frees the records and the list. The lock
   must not be held. */
static void
call_done(GArray *results)
{
    for (guint i = 0; i < results->len; i++) {
        result_t *res = &g_array_index(results, result_t, i);
        if (res->record->done != NULL) {
            res->record->done(res->record->user, res->err,
                              res->err == GV_OK ? &res->verdict : NULL);
        }
        free_record(res->record);
    }
    g_array_free(results, TRUE);
}

static GArray *
new_results(void)
{
    return g_array_new(FALSE, FALSE, sizeof(result_t));
}

/* Removes the records whose deadline has passed. Records that were never sent
   end with GV_EREFUSED, the others with GV_ETIMEDOUT, because their outcome is
   unknown. */
static void
expire(gv_appender_t *a, int64_t now_ms, GArray *results)
{
    for (GList *l = a->pending.head; l != NULL;) {
        GList *after = l->next;
        queued_record_t *it = l->data;
        if (it->deadline_ms <= now_ms) {
            g_queue_delete_link(&a->pending, l);
            add_result(results, it, GV_EREFUSED, NULL);
        }
        l = after;
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, a->waiting);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        queued_record_t *it = value;
        if (it->deadline_ms <= now_ms) {
            g_hash_table_iter_remove(&iter);
            add_result(results, it, GV_ETIMEDOUT, NULL);
        }
    }
}

/* Returns the packed record with its envelope, to be freed by the caller. */
static gv_str_t
pack_record(gv_appender_t *a, const queued_record_t *it, uint64_t seq,
            int64_t ttl_ms)
{
    int64_t now_ms = GvClock_WallMs();
    gv_record_t r = {.kind = GvStr_C(it->kind),
                     .origin = a->opts.origin,
                     .incarnation = a->opts.incarnation,
                     .sequence = seq,
                     .created_ms = now_ms,
                     .expires_ms = now_ms + ttl_ms};
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    GvRecord_Pack(&sb, &r, it->payload);
    gv_str_t bytes = GvStr_Dup(GvStr_N(sb.data, sb.size));
    msgpack_sbuffer_destroy(&sb);
    return bytes;
}

static void
clear_batch(gv_appender_t *a)
{
    for (int i = 0; i < a->batch.n_records; i++) {
        GvStr_Free(&a->batch.bytes[i]);
    }
    memset(&a->batch, 0, sizeof a->batch);
}

/* Builds a batch from the oldest pending records. They stay in the pending
   queue until the batch is about to be sent. */
static void
build_batch(gv_appender_t *a, int64_t now_ms)
{
    batch_t *b = &a->batch;
    size_t total = 0;
    b->first_seq = a->next_seq;
    for (GList *l = a->pending.head;
         l != NULL && b->n_records < GV_APPEND_MAX_RECORDS; l = l->next) {
        const queued_record_t *it = l->data;
        total += it->payload.n;
        if (b->n_records > 0 && total > GV_RECORD_MAX_BYTES) {
            break;
        }
        int64_t left_ms = it->deadline_ms - now_ms;
        int64_t ttl_ms = MIN(left_ms + GV_APPEND_SKEW_MS, GV_RECORD_TTL_MS);
        b->expires_ms = MAX(b->expires_ms, now_ms + ttl_ms);
        b->bytes[b->n_records] =
            pack_record(a, it, b->first_seq + (uint64_t)b->n_records, ttl_ms);
        b->n_records++;
    }
}

/* Moves the batch's records from pending to waiting before it is sent, so that
   they are found by a verdict that arrives before the platform's response. */
static void
commit_batch(gv_appender_t *a)
{
    for (int i = 0; i < a->batch.n_records; i++) {
        uint64_t *seq = g_new(uint64_t, 1);
        *seq = a->next_seq++;
        g_hash_table_insert(a->waiting, seq, g_queue_pop_head(&a->pending));
    }
    a->batch.maybe_sent = true;
}

/* Undoes commit_batch for a batch that was certainly not sent. Records that
   have expired in the meantime are no longer in waiting. */
static void
rollback_batch(gv_appender_t *a)
{
    a->next_seq = a->batch.first_seq;
    for (int i = a->batch.n_records - 1; i >= 0; i--) {
        uint64_t seq = a->batch.first_seq + (uint64_t)i;
        gpointer key;
        gpointer value;
        if (g_hash_table_steal_extended(a->waiting, &seq, &key, &value)) {
            g_free(key);
            g_queue_push_head(&a->pending, value);
        }
    }
    clear_batch(a);
}

/* Ends the batch's records after the platform refused it as invalid. They are
   not in the log, unless an earlier attempt (repeated) was successful. */
static void
refuse_batch(gv_appender_t *a, bool repeated, GArray *results)
{
    for (int i = 0; i < a->batch.n_records; i++) {
        uint64_t seq = a->batch.first_seq + (uint64_t)i;
        gpointer key;
        gpointer value;
        if (g_hash_table_steal_extended(a->waiting, &seq, &key, &value)) {
            g_free(key);
            add_result(results, value, repeated ? GV_ETIMEDOUT : GV_EREFUSED,
                       NULL);
        }
    }
    GvCounter_Add(&append_refused, 1);
    clear_batch(a);
}

/* Delays the next attempt: exponential backoff with random jitter. */
static void
back_off(gv_appender_t *a)
{
    int64_t ms = (int64_t)GV_PLATFORM_BACKOFF_MS << MIN(a->failures, 5);
    ms = MIN(ms, GV_PLATFORM_BACKOFF_MAX_MS);
    a->failures++;
    a->retry_at_ms =
        GvClock_MonoMs() + ms / 2 + g_random_int_range(0, (gint32)ms / 2 + 1);
}

/* Handles the result of an append. sent: the request may have reached the
   platform; repeated: so may an earlier attempt. */
static void
handle_append_result(gv_appender_t *a, int err, bool sent, bool repeated,
                     GArray *results)
{
    switch (err) {
    case GV_OK:
        a->failures = 0;
        clear_batch(a);
        break;
    case GV_EINVAL:
    case GV_ETOOBIG:
        refuse_batch(a, repeated, results);
        break;
    default:
        back_off(a);
        if (!sent && !repeated) {
            rollback_batch(a);
        }
        break;
    }
}

/* Sends the batch. The lock is released during the call. */
static void
send_batch(gv_appender_t *a, GArray *results)
{
    bool repeated = a->batch.maybe_sent;
    if (!repeated) {
        commit_batch(a);
    }
    GvCounter_Add(&append_calls, 1);
    GvCounter_Add(&append_repeats, repeated ? 1 : 0);
    uint64_t first;
    bool sent = false;
    pthread_mutex_unlock(&a->lock);
    int err = GvPlatform_Append(a->platform, a->batch.bytes,
                                a->batch.n_records, &first, &sent);
    pthread_mutex_lock(&a->lock);
    handle_append_result(a, err, sent, repeated, results);
}

/* Returns the monotonic time at which the thread has to run again, at most
   1000 ms ahead. */
static int64_t
next_wake(gv_appender_t *a, int64_t now_ms)
{
    int64_t at = now_ms + 1000;
    if (a->batch.n_records > 0 || a->pending.length > 0) {
        at = MIN(at, MAX(a->retry_at_ms, now_ms));
    }
    const queued_record_t *head = g_queue_peek_head(&a->pending);
    if (head != NULL) {
        at = MIN(at, head->deadline_ms);
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, a->waiting);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        at = MIN(at, ((queued_record_t *)value)->deadline_ms);
    }
    return at;
}

/* Returns true if every record of the batch has its verdict. */
static bool
all_decided(const batch_t *b)
{
    for (int i = 0; i < b->n_records; i++) {
        if (!b->decided[i]) {
            return false;
        }
    }
    return true;
}

/* Expires records and sends a batch if one is due; the lock is held. Returns
   false if nothing was sent. */
static bool
step(gv_appender_t *a, GArray *results)
{
    int64_t now_ms = GvClock_MonoMs();
    expire(a, now_ms, results);
    if (a->batch.n_records > 0 &&
        (all_decided(&a->batch) || now_ms >= a->batch.expires_ms)) {
        a->failures = 0;
        clear_batch(a);
    }
    if (now_ms < a->retry_at_ms && a->failures > 0) {
        return false;
    }
    if (a->batch.n_records == 0) {
        build_batch(a, now_ms);
    }
    if (a->batch.n_records == 0) {
        return false;
    }
    send_batch(a, results);
    return true;
}

/* Thread function: sends batches and calls done() without the lock. */
static void *
append_loop(void *user)
{
    gv_appender_t *a = user;
    pthread_mutex_lock(&a->lock);
    while (!a->stopping) {
        GArray *results = new_results();
        bool busy = step(a, results);
        if (busy || results->len > 0) {
            pthread_mutex_unlock(&a->lock);
            call_done(results);
            pthread_mutex_lock(&a->lock);
            continue;
        }
        g_array_free(results, TRUE);
        int64_t wake_ms = next_wake(a, GvClock_MonoMs());
        GvSync_WaitUntil(&a->changed, &a->lock, wake_ms * 1000 + 1000);
    }
    pthread_mutex_unlock(&a->lock);
    return NULL;
}

/* Frees an appender whose thread is not running. */
static void
free_appender(gv_appender_t *a)
{
    clear_batch(a);
    g_hash_table_destroy(a->waiting);
    GvPlatform_Free(a->platform);
    GvStr_Free(&a->opts.platform_addr);
    GvStr_Free(&a->opts.origin);
    pthread_mutex_destroy(&a->lock);
    pthread_cond_destroy(&a->changed);
    g_free(a);
}

/* Starts the appender's thread. Returns 0, or GV_EIO if the thread cannot be
   created. */
int
GvAppender_Start(const gv_appender_opts_t *o, gv_appender_t **out)
{
    gv_appender_t *a = g_new0(gv_appender_t, 1);
    a->opts.platform_addr = GvStr_Dup(o->platform_addr);
    a->opts.origin = GvStr_Dup(o->origin);
    a->opts.incarnation = o->incarnation;
    a->platform = GvPlatform_New(o->platform_addr);
    a->next_seq = 1;
    a->waiting =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    g_queue_init(&a->pending);
    pthread_mutex_init(&a->lock, NULL);
    GvSync_InitCond(&a->changed);
    if (pthread_create(&a->thread, NULL, append_loop, a) != 0) {
        free_appender(a);
        return GV_EIO;
    }
    *out = a;
    return GV_OK;
}

/* Asks the thread to end without waiting for it. Call this on several modules
   before their Stop functions to stop their threads in parallel. */
void
GvAppender_Halt(gv_appender_t *a)
{
    pthread_mutex_lock(&a->lock);
    a->stopping = true;
    pthread_cond_broadcast(&a->changed);
    pthread_mutex_unlock(&a->lock);
}

/* Stops the thread, calls done() for all remaining records and frees a. Waits
   for an append in progress, at most GV_PLATFORM_TIMEOUT_MS. */
void
GvAppender_Stop(gv_appender_t *a)
{
    GvAppender_Halt(a);
    pthread_join(a->thread, NULL);
    GArray *results = new_results();
    expire(a, G_MAXINT64, results);
    call_done(results);
    free_appender(a);
}

/* Queues one record; see the header. done is called on the appender's thread
   or on the thread that calls GvAppender_OnVerdict; a time-out is reported at
   most GV_PLATFORM_TIMEOUT_MS late. Returns 0, GV_EINVAL for a kind that is
   too long or a time-out that is not positive, GV_ETOOBIG for a payload that
   cannot fit into a record, GV_EFULL or GV_ESTOPPED. */
int
GvAppender_Submit(gv_appender_t *a, const char *kind, gv_str_t payload,
                  int timeout_ms, gv_append_done_t done, void *user)
{
    if (strlen(kind) >= sizeof((queued_record_t *)NULL)->kind ||
        timeout_ms <= 0) {
        return GV_EINVAL;
    }
    if (payload.n > GV_RECORD_MAX_BYTES - GV_RECORD_ENVELOPE_BYTES) {
        return GV_ETOOBIG;
    }
    int err = GV_EFULL;
    pthread_mutex_lock(&a->lock);
    if (a->stopping) {
        err = GV_ESTOPPED;
    }
    else if (a->pending.length + g_hash_table_size(a->waiting) <
             GV_APPEND_QUEUE_MAX) {
        queued_record_t *it = g_new0(queued_record_t, 1);
        g_strlcpy(it->kind, kind, sizeof it->kind);
        it->payload = GvStr_Dup(payload);
        it->deadline_ms = GvClock_MonoMs() + timeout_ms;
        it->done = done;
        it->user = user;
        g_queue_push_tail(&a->pending, it);
        pthread_cond_broadcast(&a->changed);
        err = GV_OK;
    }
    pthread_mutex_unlock(&a->lock);
    return err;
}

/* Ends the record that a verdict belongs to. A duplicate verdict means that
   the first one was missed, so the outcome is unknown (GV_ETIMEDOUT). */
void
GvAppender_OnVerdict(gv_appender_t *a, const gv_verdict_t *v)
{
    if (v->incarnation != a->opts.incarnation ||
        !GvStr_Equal(GvStr_C(v->origin), a->opts.origin)) {
        return;
    }
    GArray *results = new_results();
    uint64_t seq = v->sequence;
    gpointer key;
    gpointer value;
    pthread_mutex_lock(&a->lock);
    if (g_hash_table_steal_extended(a->waiting, &seq, &key, &value)) {
        g_free(key);
        bool dup = v->kind == GV_VERDICT_DUPLICATE;
        add_result(results, value, dup ? GV_ETIMEDOUT : GV_OK, v);
    }
    if (a->batch.n_records > 0 && seq >= a->batch.first_seq &&
        seq < a->batch.first_seq + (uint64_t)a->batch.n_records) {
        a->batch.decided[seq - a->batch.first_seq] = true;
        pthread_cond_broadcast(&a->changed);
    }
    pthread_mutex_unlock(&a->lock);
    call_done(results);
}
