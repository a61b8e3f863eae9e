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

static void
refuse(gv_request_t *rq, gv_outcome_t outcome, const char *reason)
{
    GvForward_Reply(rq,
                    GvAnswer_Refuse(outcome, 503, GV_TIMER_TICK_MS, reason));
}

/* Takes the next batch when none is undecided, so that the requests that
   arrive meanwhile share a record, or when a full batch is waiting. Returns
   NULL when there is nothing to append now. */
static batch_t *
next_batch(gv_forward_t *f)
{
    batch_t *b = NULL;
    pthread_mutex_lock(&f->claim_mu);
    guint n = f->unclaimed->len;
    if (n >= GV_KEY_BATCH || (n > 0 && f->claims == 0)) {
        b = g_new0(batch_t, 1);
        b->f = f;
        b->requests = g_ptr_array_new();
        n = MIN(n, GV_KEY_BATCH);
        for (guint i = 0; i < n; i++) {
            g_ptr_array_add(b->requests, g_ptr_array_index(f->unclaimed, i));
        }
        g_ptr_array_remove_range(f->unclaimed, 0, n);
        f->claims++;
    }
    pthread_mutex_unlock(&f->claim_mu);
    return b;
}

static void append_claims(gv_forward_t *f);

/* Continues the requests of a batch once the fate of its record is known; err
   as for gv_append_done_t. */
static void
end_batch(batch_t *b, int err)
{
    gv_forward_t *f = b->f;
    pthread_mutex_lock(&f->claim_mu);
    f->claims--;
    pthread_mutex_unlock(&f->claim_mu);
    for (guint i = 0; i < b->requests->len; i++) {
        gv_request_t *rq = g_ptr_array_index(b->requests, i);
        if (err == GV_OK && !GvRequest_HasEnded(rq)) {
            GvForward_RunKey(f, rq, true);
        }
        else if (err != GV_OK) {
            /* Also when the record was never sent: the key may have been
               claimed by an earlier submission that is not known here. */
            GvCounter_Add(&claim_unknown, 1);
            refuse(rq, GV_OUTCOME_UNKNOWN, "the key could not be claimed");
        }
        GvRequest_Unref(rq);
    }
    g_ptr_array_unref(b->requests);
    g_free(b);
}

static void
on_appended(void *user, int err, const gv_verdict_t *v)
{
    (void)v; /* the ledger tells the owner of each key */
    batch_t *b = user;
    gv_forward_t *f = b->f;
    end_batch(b, err);
    append_claims(f);
}

static int
submit_batch(batch_t *b)
{
    gv_forward_t *f = b->f;
    gv_appender_t *appender = atomic_load(&f->appender);
    if (appender == NULL) {
        return GV_EREFUSED;
    }
    int64_t time_ms = GvLedger_TimeMs(GvReplica_Lock(f->o.replica));
    GvReplica_Unlock(f->o.replica);
    int64_t expires_ms = MAX(time_ms, GvClock_WallMs()) + GV_KEY_TTL_MS;
    gv_key_item_t items[GV_KEY_BATCH];
    for (guint i = 0; i < b->requests->len; i++) {
        const gv_request_t *rq = g_ptr_array_index(b->requests, i);
        items[i] = (gv_key_item_t){rq->o.service, rq->o.key, expires_ms};
    }
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    GvLedger_PackKeys(&sb, items, (int)b->requests->len, f->o.self,
                      f->o.incarnation);
    int err = GvAppender_Submit(appender, "key", GvStr_N(sb.data, sb.size),
                                GV_KEY_CLAIM_MS, on_appended, b);
    msgpack_sbuffer_destroy(&sb);
    return err;
}

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

static void
claim(gv_forward_t *f, gv_request_t *rq)
{
    pthread_mutex_lock(&f->claim_mu);
    g_ptr_array_add(f->unclaimed, GvRequest_Ref(rq));
    pthread_mutex_unlock(&f->claim_mu);
    append_claims(f);
}

/* Runs the request, whose attempt has begun, by its key: here or at its
   owner. A key that nobody holds is claimed first; after a claim (claimed)
   the log did not accept it, and nobody can have started it. */
void
GvForward_RunKey(gv_forward_t *f, gv_request_t *rq, bool claimed)
{
    gv_str_t owner = {NULL, 0};
    uint64_t incarnation = 0;
    int64_t expires_ms = 0;
    const gv_ledger_t *l = GvReplica_Lock(f->o.replica);
    const gv_key_claim_t *k = GvLedger_Key(l, rq->o.service, rq->o.key);
    if (k != NULL) {
        owner = GvStr_Dup(k->owner);
        incarnation = k->incarnation;
        expires_ms = k->expires_ms;
    }
    GvReplica_Unlock(f->o.replica);
    if (owner.p == NULL) {
        if (claimed) {
            refuse(rq, GV_OUTCOME_NOT_RUN, "the log refused the key");
        }
        else {
            claim(f, rq);
        }
    }
    else if (!GvStr_Equal(owner, f->o.self)) {
        if (rq->o.no_forward) {
            refuse(rq, GV_OUTCOME_UNKNOWN,
                   "key is owned by another entry host");
        }
        else {
            GvForward_SendToOwner(f, rq, owner);
        }
    }
    else if (incarnation != f->o.incarnation) {
        refuse(rq, GV_OUTCOME_UNKNOWN,
               "key was claimed by an earlier incarnation");
    }
    else {
        GvForward_RunOwnKey(f, rq, expires_ms);
    }
    GvStr_Free(&owner);
}
