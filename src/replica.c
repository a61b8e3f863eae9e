#include "replica.h"

#include <glib.h>
#include <pthread.h>
#include <string.h>

#include "error.h"
#include "limits.h"

struct gv_replica_s {
    pthread_mutex_t lock;
    gv_ledger_t *ledger;
    /* Copies of the last applied records, oldest first; they end just before
       the ledger's next offset. */
    GQueue ring;
    size_t ring_bytes;
};

/* Frees a record of the ring. */
static void
free_raw(gpointer p)
{
    gv_raw_record_t *r = p;
    GvStr_Free(&r->bytes);
    g_free(r);
}

/* Creates a replica with an empty ledger. */
gv_replica_t *
GvReplica_New(void)
{
    gv_replica_t *r = g_new0(gv_replica_t, 1);
    pthread_mutex_init(&r->lock, NULL);
    g_queue_init(&r->ring);
    r->ledger = GvLedger_New();
    return r;
}

/* Frees the replica and its ledger; NULL is allowed. */
void
GvReplica_Free(gv_replica_t *r)
{
    if (r != NULL) {
        g_queue_clear_full(&r->ring, free_raw);
        GvLedger_Free(r->ledger);
        pthread_mutex_destroy(&r->lock);
        g_free(r);
    }
}

/* Locks the ledger and returns it. */
const gv_ledger_t *
GvReplica_Lock(gv_replica_t *r)
{
    pthread_mutex_lock(&r->lock);
    return r->ledger;
}

void
GvReplica_Unlock(gv_replica_t *r)
{
    pthread_mutex_unlock(&r->lock);
}

/* Adds a copy of an applied record to the ring and drops the oldest records
   above GV_REPLICA_RING_RECORDS or GV_REPLICA_RING_BYTES. */
static void
keep_raw(gv_replica_t *r, const gv_raw_record_t *rec)
{
    gv_raw_record_t *copy = g_new(gv_raw_record_t, 1);
    *copy = *rec;
    copy->bytes = GvStr_Dup(rec->bytes);
    g_queue_push_tail(&r->ring, copy);
    r->ring_bytes += rec->bytes.n;
    while (g_queue_get_length(&r->ring) > GV_REPLICA_RING_RECORDS ||
           r->ring_bytes > GV_REPLICA_RING_BYTES) {
        gv_raw_record_t *old = g_queue_pop_head(&r->ring);
        r->ring_bytes -= old->bytes.n;
        free_raw(old);
    }
}

/* Applies one record. Returns 0 with the verdict in v, 1 for a record that was
   applied before, or GV_ESTALE for a record above the next offset. */
int
GvReplica_Apply(gv_replica_t *r, const gv_raw_record_t *rec, gv_verdict_t *v)
{
    int res = GV_OK;
    pthread_mutex_lock(&r->lock);
    uint64_t next = GvLedger_NextOffset(r->ledger);
    if (rec->offset < next) {
        res = 1;
    }
    else if (rec->offset > next) {
        res = GV_ESTALE;
    }
    else {
        GvLedger_Apply(r->ledger, rec->offset, rec->append_ms, rec->bytes, v);
        keep_raw(r, rec);
    }
    pthread_mutex_unlock(&r->lock);
    return res;
}

/* Replaces the ledger with l if l is ahead; see the header. The ring is
   cleared, because its records would not end at the new next offset. */
int
GvReplica_Replace(gv_replica_t *r, gv_ledger_t *l)
{
    gv_ledger_t *old = l;
    pthread_mutex_lock(&r->lock);
    bool ahead = GvLedger_NextOffset(l) > GvLedger_NextOffset(r->ledger);
    if (ahead) {
        old = r->ledger;
        r->ledger = l;
        g_queue_clear_full(&r->ring, free_raw);
        r->ring_bytes = 0;
    }
    pthread_mutex_unlock(&r->lock);
    GvLedger_Free(old);
    return ahead ? GV_OK : GV_ESTALE;
}

/* Copies up to max records of the ring; the lock is held. The views into
   `bytes` are set last, because the buffer may move while it grows. */
static void
copy_records(GList *at, int max, msgpack_sbuffer *bytes, GArray *out)
{
    size_t start = bytes->size;
    guint first = out->len;
    size_t total = 0;
    for (int i = 0; at != NULL && i < max; at = at->next, i++) {
        gv_raw_record_t rec = *(gv_raw_record_t *)at->data;
        total += rec.bytes.n;
        if (i > 0 && total > GV_REPLICA_COPY_BYTES) {
            break;
        }
        msgpack_sbuffer_write(bytes, rec.bytes.p, rec.bytes.n);
        g_array_append_val(out, rec);
    }
    const char *p = bytes->data + start;
    for (guint i = first; i < out->len; i++) {
        gv_raw_record_t *rec = &g_array_index(out, gv_raw_record_t, i);
        rec->bytes.p = p;
        p += rec->bytes.n;
    }
}

/* Appends up to max raw records, starting at offset `from`, to out. Their data
   is appended to `bytes`. It is at most GV_REPLICA_COPY_BYTES, except for a
   single larger record, so that the records fit into one frame. Returns 0,
   also without records if `from` is not applied yet, or GV_EGONE if the ring
   no longer holds `from`. */
int
GvReplica_Records(gv_replica_t *r, uint64_t from, int max,
                  msgpack_sbuffer *bytes, GArray *out)
{
    int res = GV_OK;
    pthread_mutex_lock(&r->lock);
    uint64_t next = GvLedger_NextOffset(r->ledger);
    uint64_t oldest = next - g_queue_get_length(&r->ring);
    if (from < oldest) {
        res = GV_EGONE;
    }
    else if (from < next) {
        GList *at = g_queue_peek_nth_link(&r->ring, (guint)(from - oldest));
        copy_records(at, max, bytes, out);
    }
    pthread_mutex_unlock(&r->lock);
    return res;
}
