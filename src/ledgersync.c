#include "ledgersync.h"

#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#include "counter.h"
#include "error.h"
#include "limits.h"
#include "log.h"

/* Room that a frame needs around the bytes of records. */
#define RECORD_OVERHEAD_BYTES 32
#define FRAME_OVERHEAD_BYTES  1024

GV_COUNTER(served_records, "ledgersync_records_served_total",
           "Ledger records sent to peers that were behind");
GV_COUNTER(served_snapshots, "ledgersync_snapshots_served_total",
           "Ledger snapshots sent to peers that were behind");
GV_COUNTER(fetched_records, "ledgersync_records_fetched_total",
           "Ledger records taken from peers");
GV_COUNTER(fetched_snapshots, "ledgersync_snapshots_fetched_total",
           "Ledger snapshots taken from peers");

struct gv_ledgersync_s {
    gv_ledgersync_opts_t o;
    _Atomic(gv_peers_t *) peers;
    unsigned turn; /* of the peers asked at start-up; Fetch only */
    pthread_mutex_t mu;
    GHashTable *offsets; /* peer -> uint64_t of its last heartbeat */
};

/* Creates the module. The strings in o are copied. */
gv_ledgersync_t *
GvLedgerSync_New(const gv_ledgersync_opts_t *o)
{
    gv_ledgersync_t *s = g_new0(gv_ledgersync_t, 1);
    s->o = *o;
    s->o.dc = GvStr_Dup(o->dc);
    s->o.region = GvStr_Dup(o->region);
    atomic_init(&s->peers, o->peers);
    pthread_mutex_init(&s->mu, NULL);
    s->offsets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return s;
}

/* Releases the module. */
void
GvLedgerSync_Free(gv_ledgersync_t *s)
{
    if (s != NULL) {
        g_hash_table_destroy(s->offsets);
        pthread_mutex_destroy(&s->mu);
        GvStr_Free(&s->o.dc);
        GvStr_Free(&s->o.region);
        g_free(s);
    }
}

/* Sets the peer module, which is started later because it calls this one. */
void
GvLedgerSync_SetPeers(gv_ledgersync_t *s, gv_peers_t *peers)
{
    atomic_store(&s->peers, peers);
}

static void
send_snapshot(gv_ledgersync_t *s, gv_str_t to, uint64_t number)
{
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    GvLedger_Save(GvReplica_Lock(s->o.replica), &sb);
    GvReplica_Unlock(s->o.replica);
    gv_message_t m = {.kind = GV_MSG_LEDGER_SNAPSHOT,
                      .number = number,
                      .u.ledger_snapshot = GvStr_N(sb.data, sb.size)};
    int err = GvPeers_Send(atomic_load(&s->peers), to, &m);
    if (err == GV_OK) {
        GvCounter_Add(&served_snapshots, 1);
    }
    else {
        GvLog_Write(GV_LOG_WARN, "ledger snapshot not sent to %.*s: %s",
                    GV_STR_ARG(to), Gv_StrError(err));
    }
    msgpack_sbuffer_destroy(&sb);
}

/* Returns how many of the records fit into one frame. */
static int
count_fitting(const GArray *records)
{
    size_t room = GV_FRAME_MAX_BYTES - FRAME_OVERHEAD_BYTES;
    guint i = 0;
    for (; i < records->len; i++) {
        size_t n = g_array_index(records, gv_raw_record_t, i).bytes.n +
                   RECORD_OVERHEAD_BYTES;
        if (n > room) {
            break;
        }
        room -= n;
    }
    return (int)i;
}

/* Answers LEDGER_GET with the records that follow, or with a snapshot when
   they are no longer kept. */
static void
on_get(gv_ledgersync_t *s, gv_str_t from, const gv_message_t *m)
{
    if (atomic_load(&s->peers) == NULL) {
        return;
    }
    msgpack_sbuffer bytes;
    msgpack_sbuffer_init(&bytes);
    GArray *records = g_array_new(FALSE, FALSE, sizeof(gv_raw_record_t));
    int err = GvReplica_Records(s->o.replica, m->u.ledger_get.from,
                                GV_LOG_READ_MAX_RECORDS, &bytes, records);
    if (err == GV_EGONE) {
        send_snapshot(s, from, m->number);
    }
    else {
        gv_message_t a = {.kind = GV_MSG_LEDGER_RECORDS, .number = m->number};
        a.u.ledger_records.records = (gv_raw_record_t *)records->data;
        a.u.ledger_records.n = count_fitting(records);
        if (GvPeers_Send(atomic_load(&s->peers), from, &a) == GV_OK) {
            GvCounter_Add(&served_records, a.u.ledger_records.n);
        }
    }
    g_array_unref(records);
    msgpack_sbuffer_destroy(&bytes);
}

/* Handles a message of a peer; on the peer thread. */
void
GvLedgerSync_OnMessage(gv_ledgersync_t *s, gv_str_t from,
                       const gv_message_t *m)
{
    if (m->kind == GV_MSG_LEDGER_GET) {
        on_get(s, from, m);
    }
    else if (m->kind == GV_MSG_HEARTBEAT) {
        uint64_t *offset = g_new(uint64_t, 1);
        *offset = m->u.heartbeat.offset;
        pthread_mutex_lock(&s->mu);
        g_hash_table_replace(s->offsets, g_strndup(from.p, from.n), offset);
        pthread_mutex_unlock(&s->mu);
    }
}

/* Chooses the live peer of the region that is furthest ahead of next. */
static bool
choose_ahead(gv_ledgersync_t *s, const GArray *list, uint64_t next,
             bool own_dc_only, char *to)
{
    bool found = false;
    pthread_mutex_lock(&s->mu);
    for (guint i = 0; i < list->len; i++) {
        const gv_peer_info_t *p = &g_array_index(list, gv_peer_info_t, i);
        const uint64_t *offset = g_hash_table_lookup(s->offsets, p->name);
        if (p->alive && offset != NULL && *offset > next &&
            GvStr_Equal(GvStr_C(p->region), s->o.region) &&
            (!own_dc_only || GvStr_Equal(GvStr_C(p->dc), s->o.dc))) {
            next = *offset;
            found = true;
            memcpy(to, p->name, sizeof p->name);
        }
    }
    pthread_mutex_unlock(&s->mu);
    return found;
}

/* Chooses the next peer of the own data centre in turn; at start-up no
   heartbeat may have arrived yet. */
static bool
choose_in_turn(gv_ledgersync_t *s, const GArray *list, char *to)
{
    for (guint i = 0; i < list->len; i++) {
        const gv_peer_info_t *p =
            &g_array_index(list, gv_peer_info_t, s->turn++ % list->len);
        if (GvStr_Equal(GvStr_C(p->dc), s->o.dc)) {
            memcpy(to, p->name, sizeof p->name);
            return true;
        }
    }
    return false;
}

static bool
choose(gv_ledgersync_t *s, gv_peers_t *peers, uint64_t next, char *to)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(gv_peer_info_t));
    GvPeers_List(peers, list);
    bool starting = next == 0;
    bool found = choose_ahead(s, list, next, starting, to) ||
                 (starting && choose_in_turn(s, list, to));
    g_array_unref(list);
    return found;
}

/* An outstanding LEDGER_GET and a copy of its answer. */
typedef struct {
    pthread_mutex_t mu;
    pthread_cond_t cond;
    bool done;
    int err;
    gv_msg_kind_t kind;
    GArray *records; /* gv_raw_record_t with owned bytes */
    gv_str_t snapshot;
} fetch_t;

static void
on_answer(void *user, int err, const gv_message_t *m)
{
    fetch_t *f = user;
    pthread_mutex_lock(&f->mu);
    f->err = err;
    f->done = true;
    if (m != NULL) {
        f->kind = m->kind;
    }
    if (m != NULL && m->kind == GV_MSG_LEDGER_SNAPSHOT) {
        f->snapshot = GvStr_Dup(m->u.ledger_snapshot);
    }
    else if (m != NULL) {
        for (int i = 0; i < m->u.ledger_records.n; i++) {
            gv_raw_record_t r = m->u.ledger_records.records[i];
            r.bytes = GvStr_Dup(r.bytes);
            g_array_append_val(f->records, r);
        }
    }
    pthread_cond_signal(&f->cond);
    pthread_mutex_unlock(&f->mu);
}

/* Applies records in order up to the first gap. */
static bool
apply_records(gv_ledgersync_t *s, const GArray *records)
{
    bool progress = false;
    for (guint i = 0; i < records->len; i++) {
        const gv_raw_record_t *r = &g_array_index(records, gv_raw_record_t, i);
        gv_verdict_t v;
        int err = GvReplica_Apply(s->o.replica, r, &v);
        if (err < 0) {
            break;
        }
        if (err == GV_OK) {
            progress = true;
            GvCounter_Add(&fetched_records, 1);
            if (s->o.on_verdict != NULL) {
                s->o.on_verdict(s->o.user, &v);
            }
        }
    }
    return progress;
}

static bool
apply_snapshot(gv_ledgersync_t *s, gv_str_t bytes, const char *from)
{
    gv_ledger_t *l;
    int err = GvLedger_Load(bytes, &l);
    if (err != GV_OK) {
        GvLog_Write(GV_LOG_WARN, "ledger snapshot of %s is malformed", from);
        return false;
    }
    uint64_t next = GvLedger_NextOffset(l);
    if (GvReplica_Replace(s->o.replica, l) != GV_OK) {
        return false;
    }
    GvCounter_Add(&fetched_snapshots, 1);
    GvLog_Write(GV_LOG_INFO,
                "ledger taken from %s, next offset %" G_GUINT64_FORMAT, from,
                (guint64)next);
    return true;
}

/* Asks one peer that is ahead for what follows the replica's next offset and
   applies it: the live peer of the region that is furthest ahead, but only one
   of the own data centre while the replica is empty. Blocks for at most
   GV_LEDGERSYNC_TIMEOUT_MS. Returns true on progress. */
bool
GvLedgerSync_Fetch(void *user)
{
    gv_ledgersync_t *s = user;
    gv_peers_t *peers = atomic_load(&s->peers);
    uint64_t next = GvLedger_NextOffset(GvReplica_Lock(s->o.replica));
    GvReplica_Unlock(s->o.replica);
    char to[GV_NAME_MAX_BYTES + 1];
    if (peers == NULL || !choose(s, peers, next, to)) {
        return false;
    }
    fetch_t f = {.records =
                     g_array_new(FALSE, FALSE, sizeof(gv_raw_record_t))};
    pthread_mutex_init(&f.mu, NULL);
    pthread_cond_init(&f.cond, NULL);
    gv_message_t m = {.kind = GV_MSG_LEDGER_GET, .u.ledger_get.from = next};
    bool progress = false;
    if (GvPeers_Call(peers, GvStr_C(to), &m, GV_LEDGERSYNC_TIMEOUT_MS,
                     on_answer, &f) == GV_OK) {
        pthread_mutex_lock(&f.mu);
        while (!f.done) {
            pthread_cond_wait(&f.cond, &f.mu);
        }
        pthread_mutex_unlock(&f.mu);
        if (f.err == GV_OK) {
            progress = f.kind == GV_MSG_LEDGER_SNAPSHOT
                           ? apply_snapshot(s, f.snapshot, to)
                           : apply_records(s, f.records);
        }
    }
    for (guint i = 0; i < f.records->len; i++) {
        GvStr_Free(&g_array_index(f.records, gv_raw_record_t, i).bytes);
    }
    g_array_unref(f.records);
    GvStr_Free(&f.snapshot);
    pthread_cond_destroy(&f.cond);
    pthread_mutex_destroy(&f.mu);
    return progress;
}
