#include "peerlink.h"

#include <string.h>

#include "error.h"
#include "limits.h"

/* Creates the link of one peer. */
gv_peerlink_t *
GvPeerLink_New(gv_str_t name)
{
    gv_peerlink_t *l = g_new0(gv_peerlink_t, 1);
    l->name = GvStr_Dup(name);
    pthread_mutex_init(&l->mu, NULL);
    g_queue_init(&l->out);
    l->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    l->backoff_ms = GV_PEER_BACKOFF_MS;
    return l;
}

/* Releases the link, whose calls have ended. */
void
GvPeerLink_Free(gv_peerlink_t *l)
{
    g_queue_clear_full(&l->out, (GDestroyNotify)GvOutFrame_Free);
    g_hash_table_destroy(l->calls);
    pthread_mutex_destroy(&l->mu);
    GvStr_Free(&l->name);
    GvStr_Free(&l->addr);
    g_free(l);
}

static void
set_name(char *out, gv_str_t name)
{
    size_t n = MIN(name.n, GV_NAME_MAX_BYTES);
    if (n > 0) {
        memcpy(out, name.p, n);
    }
    out[n] = '\0';
}

static void
set_place(gv_peerlink_t *l, gv_str_t dc, gv_str_t region)
{
    set_name(l->dc, dc);
    set_name(l->region, region);
}

/* Sets the address; a new one is tried without waiting. The place is set
   unless a HELLO has told it. */
void
GvPeerLink_SetAddr(gv_peerlink_t *l, const gv_peer_addr_t *a)
{
    pthread_mutex_lock(&l->mu);
    if (!GvStr_Equal(l->addr, a->addr)) {
        GvStr_Free(&l->addr);
        l->addr = GvStr_Dup(a->addr);
        l->retry_ms = 0;
        l->backoff_ms = GV_PEER_BACKOFF_MS;
    }
    if (l->incarnation == 0) {
        set_place(l, a->dc, a->region);
    }
    pthread_mutex_unlock(&l->mu);
}

/* Releases a frame. */
void
GvOutFrame_Free(gv_outframe_t *f)
{
    g_byte_array_unref(f->bytes);
    g_free(f);
}

static int
push_locked(gv_peerlink_t *l, GByteArray *bytes, const gv_peercall_t *call,
            int64_t now_ms)
{
    if (l->stopped) {
        return GV_ESTOPPED;
    }
    if (!l->linked && (l->addr.n == 0 || now_ms < l->retry_ms)) {
        return GV_ECONN;
    }
    if (l->out_bytes + bytes->len > GV_PEER_OUTPUT_BYTES) {
        return GV_EFULL;
    }
    if (call != NULL) {
        if (g_hash_table_size(l->calls) >= GV_PEER_CALLS_MAX) {
            return GV_EFULL;
        }
        gv_peercall_t *c = g_memdup2(call, sizeof *call);
        g_hash_table_insert(l->calls, &c->number, c);
    }
    gv_outframe_t *f = g_new0(gv_outframe_t, 1);
    f->bytes = bytes;
    f->call = call != NULL ? call->number : 0;
    l->out_bytes += bytes->len;
    g_queue_push_tail(&l->out, f);
    return GV_OK;
}

/* Queues a frame, with the call that it starts unless NULL. Takes over bytes
   in every case. Returns 0, GV_EFULL, GV_ECONN when there is no connection
   and none may be attempted now, or GV_ESTOPPED. */
int
GvPeerLink_Push(gv_peerlink_t *l, GByteArray *bytes, const gv_peercall_t *call,
                int64_t now_ms)
{
    pthread_mutex_lock(&l->mu);
    int err = push_locked(l, bytes, call, now_ms);
    pthread_mutex_unlock(&l->mu);
    if (err != GV_OK) {
        g_byte_array_unref(bytes);
        return err;
    }
    atomic_store(&l->wake, true);
    return GV_OK;
}

/* Takes the next frame to write, or NULL. */
gv_outframe_t *
GvPeerLink_Pop(gv_peerlink_t *l)
{
    pthread_mutex_lock(&l->mu);
    gv_outframe_t *f = g_queue_pop_head(&l->out);
    if (f != NULL) {
        l->out_bytes -= f->bytes->len;
    }
    pthread_mutex_unlock(&l->mu);
    return f;
}

/* Puts back a frame of which no byte was written. */
void
GvPeerLink_PutBack(gv_peerlink_t *l, gv_outframe_t *f)
{
    pthread_mutex_lock(&l->mu);
    l->out_bytes += f->bytes->len;
    g_queue_push_head(&l->out, f);
    pthread_mutex_unlock(&l->mu);
}

/* Notes that the first byte of a call was written on conn. */
void
GvPeerLink_MarkSent(gv_peerlink_t *l, uint64_t number,
                    struct gv_peerconn_s *conn)
{
    pthread_mutex_lock(&l->mu);
    gv_peercall_t *c = g_hash_table_lookup(l->calls, &number);
    if (c != NULL) {
        c->conn = conn;
    }
    pthread_mutex_unlock(&l->mu);
}

static bool
answers(gv_msg_kind_t request, gv_msg_kind_t answer)
{
    switch (request) {
    case GV_MSG_EXECUTE:
        return answer == GV_MSG_RESULT;
    case GV_MSG_LEDGER_GET:
        return answer == GV_MSG_LEDGER_RECORDS ||
               answer == GV_MSG_LEDGER_SNAPSHOT;
    case GV_MSG_SLOT_BORROW:
        return answer == GV_MSG_SLOT_LEND;
    default:
        return false;
    }
}

/* Ends the sent call that m answers. Returns false when there is none: the
   answer is late, or its kind or number does not match. */
bool
GvPeerLink_EndAnsweredCall(gv_peerlink_t *l, const gv_message_t *m)
{
    gv_peercall_t call;
    pthread_mutex_lock(&l->mu);
    const gv_peercall_t *c = g_hash_table_lookup(l->calls, &m->number);
    bool found = c != NULL && c->conn != NULL && answers(c->kind, m->kind);
    if (found) {
        call = *c;
        g_hash_table_remove(l->calls, &m->number);
    }
    pthread_mutex_unlock(&l->mu);
    if (found) {
        call.done(call.user, GV_OK, m);
    }
    return found;
}

static void
drop_frame(gv_peerlink_t *l, uint64_t number)
{
    for (GList *at = l->out.head; at != NULL; at = at->next) {
        gv_outframe_t *f = at->data;
        if (f->call == number) {
            l->out_bytes -= f->bytes->len;
            g_queue_delete_link(&l->out, at);
            GvOutFrame_Free(f);
            return;
        }
    }
}

/* Moves a call from the table to the list of those to be ended. */
static void
take(GHashTableIter *it, const gv_peercall_t *c, GArray *ended)
{
    g_array_append_val(ended, *c);
    g_hash_table_iter_remove(it);
}

/* Ends the calls in the list; a call that was sent gets sent_err. */
static void
end_calls(GArray *ended, int sent_err)
{
    for (guint i = 0; i < ended->len; i++) {
        const gv_peercall_t *c = &g_array_index(ended, gv_peercall_t, i);
        c->done(c->user, c->conn != NULL ? sent_err : GV_EREFUSED, NULL);
    }
    g_array_unref(ended);
}

/* Ends the calls that are due: GV_ETIMEDOUT, or GV_EREFUSED for one whose
   frame is still queued and is now dropped. */
void
GvPeerLink_Expire(gv_peerlink_t *l, int64_t now_ms)
{
    GArray *ended = g_array_new(FALSE, FALSE, sizeof(gv_peercall_t));
    GHashTableIter it;
    gpointer value;
    pthread_mutex_lock(&l->mu);
    g_hash_table_iter_init(&it, l->calls);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const gv_peercall_t *c = value;
        if (now_ms < c->due_ms) {
            continue;
        }
        if (c->conn == NULL) {
            drop_frame(l, c->number);
        }
        take(&it, c, ended);
    }
    pthread_mutex_unlock(&l->mu);
    end_calls(ended, GV_ETIMEDOUT);
}

/* Drops everything queued and ends the unsent calls with GV_EREFUSED. */
void
GvPeerLink_FailUnsent(gv_peerlink_t *l)
{
    GArray *ended = g_array_new(FALSE, FALSE, sizeof(gv_peercall_t));
    GHashTableIter it;
    gpointer value;
    pthread_mutex_lock(&l->mu);
    g_queue_clear_full(&l->out, (GDestroyNotify)GvOutFrame_Free);
    l->out_bytes = 0;
    g_hash_table_iter_init(&it, l->calls);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const gv_peercall_t *c = value;
        if (c->conn == NULL) {
            take(&it, c, ended);
        }
    }
    pthread_mutex_unlock(&l->mu);
    end_calls(ended, GV_ECONN);
}

/* Ends the calls sent on conn, or on any connection when conn is NULL, with
   GV_ECONN. */
void
GvPeerLink_FailSent(gv_peerlink_t *l, const struct gv_peerconn_s *conn)
{
    GArray *ended = g_array_new(FALSE, FALSE, sizeof(gv_peercall_t));
    GHashTableIter it;
    gpointer value;
    pthread_mutex_lock(&l->mu);
    g_hash_table_iter_init(&it, l->calls);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const gv_peercall_t *c = value;
        if (c->conn != NULL && (conn == NULL || c->conn == conn)) {
            take(&it, c, ended);
        }
    }
    pthread_mutex_unlock(&l->mu);
    end_calls(ended, GV_ECONN);
}

/* Lets calls sent on one connection depend on another from now on. */
void
GvPeerLink_MoveCalls(gv_peerlink_t *l, const struct gv_peerconn_s *from,
                     struct gv_peerconn_s *to)
{
    GHashTableIter it;
    gpointer value;
    pthread_mutex_lock(&l->mu);
    g_hash_table_iter_init(&it, l->calls);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        gv_peercall_t *c = value;
        if (c->conn == from) {
            c->conn = to;
        }
    }
    pthread_mutex_unlock(&l->mu);
}

/* Refuses further frames and ends all calls. */
void
GvPeerLink_Stop(gv_peerlink_t *l)
{
    pthread_mutex_lock(&l->mu);
    l->stopped = true;
    pthread_mutex_unlock(&l->mu);
    GvPeerLink_FailUnsent(l);
    GvPeerLink_FailSent(l, NULL);
}

/* Tells whether frames are queued. */
bool
GvPeerLink_HasQueuedFrames(gv_peerlink_t *l)
{
    pthread_mutex_lock(&l->mu);
    bool pending = l->out.length > 0;
    pthread_mutex_unlock(&l->mu);
    return pending;
}

/* Tells whether frames are queued or calls are outstanding. */
bool
GvPeerLink_IsBusy(gv_peerlink_t *l)
{
    pthread_mutex_lock(&l->mu);
    bool busy = l->out.length > 0 || g_hash_table_size(l->calls) > 0;
    pthread_mutex_unlock(&l->mu);
    return busy;
}

/* Tells Push whether a connection exists or is being opened. */
void
GvPeerLink_SetLinked(gv_peerlink_t *l, bool linked)
{
    pthread_mutex_lock(&l->mu);
    l->linked = linked;
    pthread_mutex_unlock(&l->mu);
}

/* Delays the next connection attempt; the delay doubles from one failure to
   the next and is spread by up to a half, so that entry hosts that lost the
   same peer do not return together. */
void
GvPeerLink_BackOff(gv_peerlink_t *l, int64_t now_ms)
{
    pthread_mutex_lock(&l->mu);
    l->retry_ms =
        now_ms + l->backoff_ms + g_random_int_range(0, l->backoff_ms / 2 + 1);
    l->backoff_ms = MIN(2 * l->backoff_ms, GV_PEER_BACKOFF_MAX_MS);
    pthread_mutex_unlock(&l->mu);
}

static bool
may_attempt(const gv_peerlink_t *l, int64_t now_ms)
{
    return !l->stopped && l->addr.n > 0 && now_ms >= l->retry_ms;
}

/* Tells whether a connection may be opened now. */
bool
GvPeerLink_MayConnect(gv_peerlink_t *l, int64_t now_ms)
{
    pthread_mutex_lock(&l->mu);
    bool may = may_attempt(l, now_ms);
    pthread_mutex_unlock(&l->mu);
    return may;
}

/* Begins a connection attempt. Returns a copy of the address, empty when no
   attempt may be made now. */
gv_str_t
GvPeerLink_BeginConnect(gv_peerlink_t *l, int64_t now_ms)
{
    gv_str_t addr = {NULL, 0};
    pthread_mutex_lock(&l->mu);
    if (may_attempt(l, now_ms)) {
        addr = GvStr_Dup(l->addr);
        l->linked = true;
    }
    pthread_mutex_unlock(&l->mu);
    return addr;
}

/* Returns the highest incarnation of the peer seen; 0: none. */
uint64_t
GvPeerLink_Incarnation(gv_peerlink_t *l)
{
    pthread_mutex_lock(&l->mu);
    uint64_t incarnation = l->incarnation;
    pthread_mutex_unlock(&l->mu);
    return incarnation;
}

/* Notes a HELLO: the peer is reachable, so that the next attempt after a loss
   comes soon. */
void
GvPeerLink_ApplyHello(gv_peerlink_t *l, const gv_msg_hello_t *h)
{
    pthread_mutex_lock(&l->mu);
    l->incarnation = h->incarnation;
    set_place(l, h->dc, h->region);
    l->backoff_ms = GV_PEER_BACKOFF_MS;
    pthread_mutex_unlock(&l->mu);
}

/* Describes the peer. */
void
GvPeerLink_Info(gv_peerlink_t *l, int64_t now_ms, gv_peer_info_t *info)
{
    *info = (gv_peer_info_t){.alive = GvPeerLink_IsAlive(l, now_ms, NULL)};
    set_name(info->name, l->name);
    pthread_mutex_lock(&l->mu);
    memcpy(info->dc, l->dc, sizeof info->dc);
    memcpy(info->region, l->region, sizeof info->region);
    info->incarnation = l->incarnation;
    pthread_mutex_unlock(&l->mu);
}

/* Notes that a message arrived. */
void
GvPeerLink_SetReceived(gv_peerlink_t *l, int64_t now_ms)
{
    pthread_mutex_lock(&l->mu);
    l->heard_ms = now_ms;
    pthread_mutex_unlock(&l->mu);
}

/* Tells whether a message arrived within GV_PEER_DEAD_MS; then sets
 *incarnation unless it is NULL. */
bool
GvPeerLink_IsAlive(gv_peerlink_t *l, int64_t now_ms, uint64_t *incarnation)
{
    pthread_mutex_lock(&l->mu);
    bool alive = l->heard_ms != 0 && now_ms - l->heard_ms <= GV_PEER_DEAD_MS;
    if (alive && incarnation != NULL) {
        *incarnation = l->incarnation;
    }
    pthread_mutex_unlock(&l->mu);
    return alive;
}
