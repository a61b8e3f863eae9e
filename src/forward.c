#include "forward.h"

#include <string.h>

#include "clock.h"
#include "counter.h"
#include "error.h"
#include "forward_private.h"

GV_COUNTER(issued, "tickets_issued_total", "Tickets issued");
GV_COUNTER(repeats, "repeats_total",
           "Submissions that joined a run or got a kept answer");

static guint
hash_id(gconstpointer p)
{
    return GvStr_Hash(*(const gv_str_t *)p);
}

static gboolean
equal_ids(gconstpointer a, gconstpointer b)
{
    return GvStr_Equal(*(const gv_str_t *)a, *(const gv_str_t *)b);
}

/* Creates the module. Copies the strings in o. */
gv_forward_t *
GvForward_New(const gv_forward_opts_t *o)
{
    gv_forward_t *f = g_new0(gv_forward_t, 1);
    f->opts = *o;
    f->opts.self = GvStr_Dup(o->self);
    f->opts.dc = GvStr_Dup(o->dc);
    f->opts.region = GvStr_Dup(o->region);
    atomic_init(&f->peers, o->peers);
    atomic_init(&f->appender, o->appender);
    atomic_init(&f->next_sequence, 1);
    f->wall_offset_ms = GvClock_WallMs() - GvClock_MonoMs();
    for (int i = 0; i < GV_SHARDS; i++) {
        pthread_mutex_init(&f->shards[i].lock, NULL);
        f->shards[i].once = GvOnce_New(o->self, o->incarnation);
        f->shards[i].runs = g_hash_table_new(hash_id, equal_ids);
    }
    pthread_mutex_init(&f->claim_lock, NULL);
    pthread_mutex_init(&f->hop_lock, NULL);
    f->unclaimed = g_ptr_array_new();
    f->hops = g_hash_table_new(NULL, NULL);
    f->served = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                      (GDestroyNotify)GvRequest_Unref);
    f->peer_slots = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                          (GDestroyNotify)g_hash_table_unref);
    return f;
}

/* Frees the module. All requests must have ended. */
void
GvForward_Free(gv_forward_t *f)
{
    if (f == NULL) {
        return;
    }
    for (int i = 0; i < GV_SHARDS; i++) {
        GvOnce_Free(f->shards[i].once);
        g_hash_table_destroy(f->shards[i].runs);
        pthread_mutex_destroy(&f->shards[i].lock);
    }
    for (guint i = 0; i < f->unclaimed->len; i++) {
        GvRequest_Unref(g_ptr_array_index(f->unclaimed, i));
    }
    g_ptr_array_unref(f->unclaimed);
    g_hash_table_destroy(f->hops);
    g_hash_table_destroy(f->served);
    g_hash_table_destroy(f->peer_slots);
    pthread_mutex_destroy(&f->claim_lock);
    pthread_mutex_destroy(&f->hop_lock);
    GvStr_Free(&f->opts.self);
    GvStr_Free(&f->opts.dc);
    GvStr_Free(&f->opts.region);
    g_free(f);
}

/* Sets the peer module, which starts after this one because it calls it. */
void
GvForward_SetPeers(gv_forward_t *f, gv_peers_t *peers)
{
    atomic_store(&f->peers, peers);
}

/* Sets the appender, which starts once the incarnation is known. */
void
GvForward_SetAppender(gv_forward_t *f, gv_appender_t *appender)
{
    atomic_store(&f->appender, appender);
}

/* Returns the time that expiry is checked against: wall-clock ms as of the
   module's creation, advanced by the monotonic clock. A later step of the wall
   clock would otherwise expire or extend all tickets at once. */
static int64_t
now_ms(const gv_forward_t *f)
{
    return GvClock_MonoMs() + f->wall_offset_ms;
}

static gv_forward_shard_t *
shard_of_ticket(gv_forward_t *f, const gv_ticket_t *t)
{
    return &f->shards[t->sequence % GV_SHARDS];
}

static gv_forward_shard_t *
shard_of_key(gv_forward_t *f, gv_str_t id)
{
    return &f->shards[GvStr_Hash(id) % GV_SHARDS];
}

/* Returns the id of the request's key in the at-most-once table: the service,
   a NUL and the key. The caller frees it with GvStr_Free. */
static gv_str_t
key_id(const gv_request_t *rq)
{
    size_t n = rq->o.service.n + 1 + rq->o.key.n;
    char *p = g_malloc(n + 1);
    memcpy(p, rq->o.service.p, rq->o.service.n);
    p[rq->o.service.n] = '\0';
    memcpy(p + rq->o.service.n + 1, rq->o.key.p, rq->o.key.n);
    p[n] = '\0';
    return (gv_str_t){p, n};
}

/* Issues a ticket and writes its text, NUL-terminated, into out. Returns the
   length, GV_EFULL when the shard's table is full, or GV_ETOOBIG when n is too
   small. */
int
GvForward_IssueTicket(gv_forward_t *f, char *out, size_t n)
{
    gv_ticket_t t = {.sequence = atomic_fetch_add(&f->next_sequence, 1)};
    gv_forward_shard_t *sh = shard_of_ticket(f, &t);
    pthread_mutex_lock(&sh->lock);
    int err =
        GvOnce_Issue(sh->once, t.sequence, now_ms(f), GV_TICKET_TTL_MS, &t);
    pthread_mutex_unlock(&sh->lock);
    if (err != GV_OK) {
        return err;
    }
    GvCounter_Add(&issued, 1);
    return GvTicket_Format(&t, out, n);
}

/* Ends the attempt that this module began, then the request. Takes ownership
   of the strings of a. */
void
GvForward_Reply(gv_request_t *rq, gv_answer_t a)
{
    GvRequest_EndAttempt(rq, a.outcome == GV_OUTCOME_NOT_RUN);
    GvRequest_End(rq, &a);
}

/* Ends the attempt and the request without a run. A 503 asks the caller to
   retry after GV_TIMER_TICK_MS. */
static void
refuse(gv_request_t *rq, gv_outcome_t outcome, int status, const char *reason)
{
    int retry_after_ms = status == 503 ? GV_TIMER_TICK_MS : 0;
    GvForward_Reply(rq,
                    GvAnswer_Refuse(outcome, status, retry_after_ms, reason));
}

/* A run that the at-most-once table started. It has a request of its own, so
   that it continues for other waiters when the first caller disconnects. */
typedef struct {
    gv_forward_t *f;
    gv_forward_shard_t *shard;
    gv_str_t id;
} run_t;

/* Stores the answer in the table, sends it to all waiters and frees run. */
static void
finish_run(run_t *run, const gv_answer_t *a)
{
    int n;
    pthread_mutex_lock(&run->shard->lock);
    void **waiters =
        GvOnce_Finish(run->shard->once, run->id, a, now_ms(run->f), &n);
    /* shard->runs has no reference to the request, which is freed only
       after this call. */
    g_hash_table_remove(run->shard->runs, &run->id);
    pthread_mutex_unlock(&run->shard->lock);
    for (int i = 0; i < n; i++) {
        GvForward_Reply(waiters[i], GvAnswer_Copy(a));
        GvRequest_Unref(waiters[i]);
    }
    g_free(waiters);
    GvStr_Free(&run->id);
    g_free(run);
}

/* Called when the request of a run has ended. */
static void
on_run_done(void *user, gv_request_t *rq, const gv_answer_t *a)
{
    (void)rq;
    finish_run(user, a);
}

/* Starts the run of an entry that GvOnce_Begin... has marked as running, with
   the content and the deadline of rq. */
static void
start_run(gv_forward_t *f, gv_forward_shard_t *shard, gv_str_t id,
          gv_request_t *rq)
{
    run_t *run = g_new0(run_t, 1);
    *run = (run_t){f, shard, GvStr_Dup(id)};
    int64_t now = GvClock_MonoMs();
    gv_request_opts_t o = rq->o;
    o.ticket = o.key = GV_STR("");
    o.body = GvStr_Dup(rq->o.body);
    o.no_forward = false;
    o.done = on_run_done;
    o.user = run;
    /* The run times out before its waiters, so that they get its outcome;
       with the same deadline they would end as unknown. */
    if (o.deadline_ms - now > 4 * GV_TIMER_TICK_MS) {
        o.deadline_ms -= 2 * GV_TIMER_TICK_MS;
    }
    gv_request_t *inner;
    if (GvRequest_HasEnded(rq)) {
        GvStr_Free(&o.body);
        gv_answer_t a =
            GvAnswer_Refuse(GV_OUTCOME_NOT_RUN, 503, 0, "the caller left");
        finish_run(run, &a);
        GvAnswer_Free(&a);
    }
    else if (GvRequest_New(f->opts.requests, &o, now, &inner) != GV_OK) {
        gv_answer_t a =
            GvAnswer_Refuse(GV_OUTCOME_NOT_RUN, 503, GV_TIMER_TICK_MS,
                            "too many requests are in progress");
        finish_run(run, &a);
        GvAnswer_Free(&a);
    }
    else {
        pthread_mutex_lock(&shard->lock);
        /* finish_run removes it after the end. If inner has ended already,
           that may have happened, and an entry added now would stay. */
        if (!GvRequest_HasEnded(inner)) {
            g_hash_table_insert(shard->runs, &run->id, inner);
        }
        pthread_mutex_unlock(&shard->lock);
        f->opts.submit(f->opts.user, inner);
        GvRequest_Unref(inner);
    }
}

/* Continues a request according to the table's result kind. kept is an owned
   copy of the stored answer for GV_ONCE_ANSWER, else empty. */
static void
handle_begin(gv_forward_t *f, gv_forward_shard_t *shard, gv_str_t id,
             gv_request_t *rq, gv_once_kind_t kind, gv_answer_t kept)
{
    switch (kind) {
    case GV_ONCE_START:
        start_run(f, shard, id, rq);
        break;
    case GV_ONCE_WAIT:
        GvCounter_Add(&repeats, 1);
        break;
    case GV_ONCE_ANSWER:
        GvCounter_Add(&repeats, 1);
        GvForward_Reply(rq, kept);
        break;
    case GV_ONCE_EXPIRED:
        refuse(rq, GV_OUTCOME_NOT_RUN, 410, "ticket or key has expired");
        break;
    case GV_ONCE_UNKNOWN:
        refuse(rq, GV_OUTCOME_UNKNOWN, 409,
               "an earlier submission may have run");
        break;
    case GV_ONCE_FULL:
        refuse(rq, GV_OUTCOME_NOT_RUN, 503, "the table of runs is full");
        break;
    case GV_ONCE_INVALID:
        refuse(rq, GV_OUTCOME_NOT_RUN, 404, "ticket was never issued");
        break;
    }
}

/* Finds the shard and the id under which a request waits. The id is a view
   of the request or of *owned, which the caller frees with GvStr_Free. Returns
   NULL when the request has no valid ticket or key. */
static gv_forward_shard_t *
find_shard(gv_forward_t *f, const gv_request_t *rq, gv_str_t *id,
           gv_str_t *owned)
{
    gv_ticket_t t;
    *owned = (gv_str_t){NULL, 0};
    *id = rq->o.ticket;
    if (id->n > 0) {
        return GvTicket_Parse(*id, &t) == GV_OK ? shard_of_ticket(f, &t)
                                                : NULL;
    }
    if (rq->o.key.n == 0) {
        return NULL;
    }
    *id = *owned = key_id(rq);
    return shard_of_key(f, *id);
}

/* Removes a request that has ended from the waiters of its run. A run without
   waiters is cancelled if it has certainly not run; otherwise it continues
   and its answer is stored for repeats. */
static void
on_waiter_ended(void *user, gv_request_t *rq)
{
    gv_str_t owned;
    gv_str_t id;
    gv_forward_shard_t *sh = find_shard(user, rq, &id, &owned);
    if (sh == NULL) {
        return;
    }
    pthread_mutex_lock(&sh->lock);
    int left = GvOnce_RemoveWaiter(sh->once, id, rq);
    gv_request_t *run = left == 0 ? g_hash_table_lookup(sh->runs, &id) : NULL;
    if (run != NULL) {
        GvRequest_Ref(run);
    }
    pthread_mutex_unlock(&sh->lock);
    GvStr_Free(&owned);
    if (run != NULL) {
        /* Not final: no caller has been told not-run, so a repeat may still
           run. */
        GvRequest_CancelIfNotRun(run, "nobody waits for it", false);
        GvRequest_Unref(run);
    }
    if (left >= 0) {
        GvRequest_Unref(rq);
    }
}

/* Cancels a request for its caller. The outcome is not-run if it has certainly
   not run, and then every repeat of its ticket or key gets not-run too; else
   it is unknown. Returns false when the request had already ended. */
bool
GvForward_Cancel(gv_forward_t *f, gv_request_t *rq, const char *reason)
{
    gv_str_t owned;
    gv_str_t id;
    gv_request_t *run = NULL;
    gv_forward_shard_t *sh = find_shard(f, rq, &id, &owned);
    if (sh != NULL) {
        pthread_mutex_lock(&sh->lock);
        if (GvOnce_IsOnlyWaiter(sh->once, id, rq)) {
            run = g_hash_table_lookup(sh->runs, &id);
        }
        if (run != NULL) {
            GvRequest_Ref(run);
        }
        pthread_mutex_unlock(&sh->lock);
    }
    GvStr_Free(&owned);
    bool done = false;
    if (run != NULL) {
        /* finish_run then sends the answer to the request, its waiter. */
        done = GvRequest_CancelIfNotRun(run, reason, true);
        GvRequest_Unref(run);
    }
    return done || GvRequest_Cancel(rq, reason);
}

/* Makes this module the request's holder and begins an attempt, so that the
   request cannot end as not-run while a run of its ticket or key is possible.
   Returns false when the request has ended. */
static bool
hold_request(gv_forward_t *f, gv_request_t *rq)
{
    return GvRequest_SetHolder(rq, on_waiter_ended, f) &&
           GvRequest_BeginAttempt(rq);
}

/* Begins a run by ticket t, or by key id when t is NULL, and continues rq
   according to the result. If this starts the run, a second call to the table
   adds rq as its first waiter, because the run is a request of its own. The
   caller holds a reference to rq. */
static void
begin_run(gv_forward_t *f, gv_forward_shard_t *sh, const gv_ticket_t *t,
          gv_str_t id, int64_t expires_ms, gv_request_t *rq)
{
    int64_t now = now_ms(f);
    gv_once_result_t r;
    gv_once_kind_t kind = GV_ONCE_INVALID;
    gv_answer_t kept = {0};
    GvRequest_Ref(rq); /* for the table, while rq is a waiter there */
    pthread_mutex_lock(&sh->lock);
    for (int i = 0; i < 2; i++) {
        r = t != NULL ? GvOnce_BeginTicket(sh->once, t, now, rq)
                      : GvOnce_BeginKey(sh->once, id, expires_ms, now, rq);
        if (i == 0) {
            kind = r.kind;
        }
        if (kind != GV_ONCE_START) {
            break;
        }
    }
    if (kind == GV_ONCE_ANSWER) {
        kept = GvAnswer_Copy(r.answer);
    }
    pthread_mutex_unlock(&sh->lock);
    handle_begin(f, sh, id, rq, kind, kept);
    if (kind != GV_ONCE_START && kind != GV_ONCE_WAIT) {
        GvRequest_Unref(rq);
    }
}

/* Runs a request by a key that this incarnation owns until expires_ms (wall
   clock). */
void
GvForward_RunOwnKey(gv_forward_t *f, gv_request_t *rq, int64_t expires_ms)
{
    gv_str_t id = key_id(rq);
    begin_run(f, shard_of_key(f, id), NULL, id, expires_ms, rq);
    GvStr_Free(&id);
}

/* Runs a request by its ticket: here, or at the entry host that issued it. */
static void
run_ticket(gv_forward_t *f, gv_request_t *rq)
{
    gv_ticket_t t;
    if (GvTicket_Parse(rq->o.ticket, &t) != GV_OK) {
        gv_answer_t a = GvAnswer_Refuse(GV_OUTCOME_NOT_RUN, 400, 0,
                                        "Gv-Ticket is malformed");
        GvRequest_End(rq, &a);
        return;
    }
    if (!hold_request(f, rq)) {
        return;
    }
    if (GvStr_Equal(t.entry, f->opts.self)) {
        begin_run(f, shard_of_ticket(f, &t), &t, rq->o.ticket, 0, rq);
    }
    else if (rq->o.no_forward) {
        refuse(rq, GV_OUTCOME_UNKNOWN, 409,
               "ticket was issued by another entry host");
    }
    else {
        GvForward_SendToOwner(f, rq, t.entry);
    }
}

/* Runs a request by its ticket, else by its key, else without the at-most-once
   table. Every request is eventually ended. */
void
GvForward_Run(gv_forward_t *f, gv_request_t *rq)
{
    if (rq->o.ticket.n > 0) {
        run_ticket(f, rq);
    }
    else if (rq->o.key.n == 0) {
        f->opts.submit(f->opts.user, rq);
    }
    else if (rq->o.key.n > GV_KEY_MAX_BYTES) {
        gv_answer_t a = GvAnswer_Refuse(GV_OUTCOME_NOT_RUN, 400, 0,
                                        "Idempotency-Key is too long");
        GvRequest_End(rq, &a);
    }
    else if (hold_request(f, rq)) {
        GvForward_RunKey(f, rq, false);
    }
}

/* Removes the expired entries of one shard, a different shard at each call. */
void
GvForward_Tick(gv_forward_t *f)
{
    unsigned i = atomic_fetch_add(&f->next_sweep, 1) % GV_SHARDS;
    pthread_mutex_lock(&f->shards[i].lock);
    GvOnce_Sweep(f->shards[i].once, now_ms(f));
    pthread_mutex_unlock(&f->shards[i].lock);
}
