#include "clock.h"
#include "counter.h"
#include "error.h"
#include "forward_private.h"

GV_COUNTER(claim_records, "key_records_total",
           "Log records appended to claim keys");
GV_COUNTER(claim_unknown, "key_claims_unknown_total",
           "Key claims whose result could not be determined");

/* Requests whose keys are claimed by one log record. */
typedef struct {
    gv_forward_t *f;
    GPtrArray *requests;
} batch_t;

/* Ends the attempt and the request with status 503; the caller may retry after
   GV_TIMER_TICK_MS. */
static void
refuse(gv_request_t *rq, gv_outcome_t outcome, const char *reason)
{
    GvForward_Reply(rq,
                    GvAnswer_Refuse(outcome, 503, GV_TIMER_TICK_MS, reason));
}

/* Removes the next batch from the unclaimed requests. While a record is
   pending only a full batch is removed, so that the requests that arrive in
   the meantime share one record. Returns NULL when there is nothing to append
   now. */
static batch_t *
next_batch(gv_forward_t *f)
{
    batch_t *b = NULL;
    pthread_mutex_lock(&f->claim_lock);
    guint n = f->unclaimed->len;
    if (n >= GV_KEY_BATCH || (n > 0 && f->pending_claims == 0)) {
        b = g_new0(batch_t, 1);
        b->f = f;
        b->requests = g_ptr_array_new();
        n = MIN(n, GV_KEY_BATCH);
        for (guint i = 0; i < n; i++) {
            g_ptr_array_add(b->requests, g_ptr_array_index(f->unclaimed, i));
        }
        g_ptr_array_remove_range(f->unclaimed, 0, n);
        f->pending_claims++;
    }
    pthread_mutex_unlock(&f->claim_lock);
    return b;
}

static void append_claims(gv_forward_t *f);

/* Continues the requests of a batch after its record was applied, failed or
   timed out, and frees the batch; err as for gv_append_done_t. */
static void
end_batch(batch_t *b, int err)
{
    gv_forward_t *f = b->f;
    pthread_mutex_lock(&f->claim_lock);
    f->pending_claims--;
    pthread_mutex_unlock(&f->claim_lock);
    for (guint i = 0; i < b->requests->len; i++) {
        gv_request_t *rq = g_ptr_array_index(b->requests, i);
        if (err == GV_OK && !GvRequest_HasEnded(rq)) {
            GvForward_RunKey(f, rq, true);
        }
        else if (err != GV_OK) {
            /* Unknown even if the record was never sent: an earlier
               submission, not known here, may have claimed the key. */
            GvCounter_Add(&claim_unknown, 1);
            refuse(rq, GV_OUTCOME_UNKNOWN, "the key could not be claimed");
        }
        GvRequest_Unref(rq);
    }
    g_ptr_array_unref(b->requests);
    g_free(b);
}

/* Callback of the appender: ends the batch and appends the next one. */
static void
on_appended(void *user, int err, const gv_verdict_t *v)
{
    (void)v; /* GvForward_RunKey reads each key's owner from the ledger */
    batch_t *b = user;
    gv_forward_t *f = b->f;
    end_batch(b, err);
    append_claims(f);
}

/* Appends one record that claims the keys of a batch. Returns 0, GV_EREFUSED
   without an appender, or the appender's error. */
static int
submit_batch(batch_t *b)
{
    gv_forward_t *f = b->f;
    gv_appender_t *appender = atomic_load(&f->appender);
    if (appender == NULL) {
        return GV_EREFUSED;
    }
    int64_t time_ms = GvLedger_TimeMs(GvReplica_Lock(f->opts.replica));
    GvReplica_Unlock(f->opts.replica);
    int64_t expires_ms = MAX(time_ms, GvClock_WallMs()) + GV_KEY_TTL_MS;
    gv_key_item_t items[GV_KEY_BATCH];
    for (guint i = 0; i < b->requests->len; i++) {
        const gv_request_t *rq = g_ptr_array_index(b->requests, i);
        items[i] = (gv_key_item_t){rq->opts.service, rq->opts.key, expires_ms};
    }
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    GvLedger_PackKeys(&sb, items, (int)b->requests->len, f->opts.self,
                      f->opts.incarnation);
    int err = GvAppender_Submit(appender, "key", GvStr_N(sb.data, sb.size),
                                GV_KEY_CLAIM_TIMEOUT_MS, on_appended, b);
    msgpack_sbuffer_destroy(&sb);
    return err;
}

/* Appends the claim records that may be appended now, see next_batch. */
static void
append_claims(gv_forward_t *f)
{
    batch_t *b;
    while ((b = next_batch(f)) != NULL) {
        GvCounter_Add(&claim_records, 1);
        int err = submit_batch(b);
        if (err != GV_OK) {
            end_batch(b, err);
        }
    }
}

/* Adds the request to the unclaimed ones and appends what may be appended. */
static void
claim(gv_forward_t *f, gv_request_t *rq)
{
    pthread_mutex_lock(&f->claim_lock);
    g_ptr_array_add(f->unclaimed, GvRequest_Ref(rq));
    pthread_mutex_unlock(&f->claim_lock);
    append_claims(f);
}

/* Runs the request, whose attempt has begun, by its key: here or at the key's
   owner. A key without an owner is claimed first. With claimed, a claim has
   just been decided: if the key still has no owner, the claim was rejected and
   no entry host can have started the request. */
void
GvForward_RunKey(gv_forward_t *f, gv_request_t *rq, bool claimed)
{
    gv_str_t owner = {NULL, 0};
    uint64_t incarnation = 0;
    int64_t expires_ms = 0;
    const gv_ledger_t *l = GvReplica_Lock(f->opts.replica);
    const gv_key_claim_t *k = GvLedger_Key(l, rq->opts.service, rq->opts.key);
    if (k != NULL) {
        owner = GvStr_Dup(k->owner);
        incarnation = k->incarnation;
        expires_ms = k->expires_ms;
    }
    GvReplica_Unlock(f->opts.replica);
    if (owner.p == NULL) {
        if (claimed) {
            refuse(rq, GV_OUTCOME_NOT_RUN, "the log refused the key");
        }
        else {
            claim(f, rq);
        }
    }
    else if (!GvStr_Equal(owner, f->opts.self)) {
        if (rq->opts.no_forward) {
            refuse(rq, GV_OUTCOME_UNKNOWN,
                   "key is owned by another entry host");
        }
        else {
            GvForward_SendToOwner(f, rq, owner);
        }
    }
    else if (incarnation != f->opts.incarnation) {
        refuse(rq, GV_OUTCOME_UNKNOWN,
               "key was claimed by an earlier incarnation");
    }
    else {
        GvForward_RunOwnKey(f, rq, expires_ms);
    }
    GvStr_Free(&owner);
}
