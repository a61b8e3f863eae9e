#include "peerloop.h"

#include <inttypes.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "clock.h"
#include "counter.h"
#include "error.h"
#include "frame.h"
#include "limits.h"
#include "log.h"

#define EVENTS 64
/* Bytes read from one connection before the others get their turn. */
#define READ_TURN_BYTES (256 * 1024)
/* An input buffer that grew beyond this is released once it is empty. */
#define INPUT_KEEP_BYTES (256 * 1024)

GV_COUNTER(malformed, "peer_malformed_total",
           "Peer links closed because of a malformed or oversize frame");
GV_COUNTER(refused, "peer_hello_refused_total",
           "Peer links closed because of an unexpected HELLO");
GV_COUNTER(silent, "peer_silent_total",
           "Peer links closed because nothing arrived for too long");
GV_COUNTER(lost, "peer_lost_total", "Peer links lost after HELLO");
GV_COUNTER(failed, "peer_connect_failed_total",
           "Connection attempts to peers that failed");
GV_COUNTER(late, "peer_late_answers_total",
           "Answers from peers that matched no outstanding call");

/* Closes a connection that is in use for l; what was queued or sent on it
   ends. */
static void
detach(gv_peers_t *ps, gv_peerconn_t *c, bool clean)
{
    gv_peerlink_t *l = c->link;
    if (l->opening == c) {
        l->opening = NULL;
        GvCounter_Add(&failed, 1);
        GvPeerLink_BackOff(l, ps->now_ms);
        if (l->up == NULL) {
            l->reopen = false;
            GvPeerLink_SetLinked(l, false);
            GvPeerLink_FailUnsent(l);
        }
    }
    else if (l->up == c) {
        l->up = NULL;
        l->reopen = true;
        GvCounter_Add(&lost, 1);
        GvLog_Write(GV_LOG_WARN, "peer %.*s: link lost", GV_STR_ARG(l->name));
        GvPeerLink_BackOff(l, ps->now_ms);
        GvPeerLink_SetLinked(l, l->opening != NULL);
        GvPeerLink_FailUnsent(l);
        GvPeerLink_FailSent(l, c);
    }
    else if (clean && c->out == NULL && l->up != NULL) {
        GvPeerLink_MoveCalls(l, c, l->up);
    }
    else {
        GvPeerLink_FailSent(l, c);
    }
}

/* Closes c. clean: the peer has read everything that was written on it. */
static void
close_conn(gv_peers_t *ps, gv_peerconn_t *c, bool clean)
{
    if (c->fd < 0) {
        return;
    }
    close(c->fd); /* also removes it from the epoll set */
    c->fd = -1;
    g_ptr_array_remove_fast(ps->conns, c);
    g_ptr_array_add(ps->dead, c);
    if (c->link != NULL) {
        detach(ps, c, clean);
    }
}

/* Writes what is due on c: its started frame, then frames of its link. */
static void
flush(gv_peers_t *ps, gv_peerconn_t *c)
{
    int err = GV_OK;
    while (c->fd >= 0 && !c->connecting) {
        if (c->out == NULL && c->link != NULL && c->link->up == c) {
            c->out = GvPeerLink_Pop(c->link);
            c->used_ms = c->out != NULL ? ps->now_ms : c->used_ms;
        }
        if (c->out == NULL) {
            break;
        }
        gv_outframe_t *f = c->out;
        bool fresh = f->at == 0;
        err = GvPeerConn_Write(c, ps->now_ms);
        if (fresh && f->at > 0 && f->call != 0) {
            GvPeerLink_MarkSent(c->link, f->call, c);
        }
        if (err == GV_OK) {
            GvOutFrame_Free(f);
            c->out = NULL;
            continue;
        }
        if (f->at == 0 && c->greeted && c->link->up == c) {
            GvPeerLink_PutBack(c->link, f);
            c->out = NULL;
        }
        break;
    }
    if (err == GV_ECONN) {
        close_conn(ps, c, false);
        return;
    }
    if (c->fd >= 0 && c->want_out != (err == GV_EAGAIN) && !c->connecting) {
        c->want_out = err == GV_EAGAIN;
        GvPeers_Watch(ps, c->fd, EPOLL_CTL_MOD,
                      EPOLLIN | (c->want_out ? EPOLLOUT : 0), c);
    }
}

static void
send_hello(gv_peers_t *ps, gv_peerconn_t *c)
{
    gv_message_t m = {.kind = GV_MSG_HELLO, .u.hello = ps->o.self};
    c->out = g_new0(gv_outframe_t, 1);
    c->out->bytes = GvPeers_MakeFrame(&m);
    flush(ps, c);
}

static gv_peerconn_t *
add_conn(gv_peers_t *ps, int fd, bool outgoing)
{
    gv_peerconn_t *c = GvPeerConn_New(fd, ps->now_ms);
    c->outgoing = c->connecting = c->want_out = outgoing;
    g_ptr_array_add(ps->conns, c);
    GvPeers_Watch(ps, fd, EPOLL_CTL_ADD, EPOLLIN | (outgoing ? EPOLLOUT : 0),
                  c);
    return c;
}

/* Opens a connection for l if an attempt may be made now; otherwise what is
   queued is refused. */
static void
open_link(gv_peers_t *ps, gv_peerlink_t *l)
{
    gv_str_t addr = GvPeerLink_BeginConnect(l, ps->now_ms);
    if (addr.n == 0) {
        GvPeerLink_FailUnsent(l);
        return;
    }
    int fd = GvPeerConn_Open(addr);
    GvStr_Free(&addr);
    if (fd < 0) {
        l->reopen = false;
        GvCounter_Add(&failed, 1);
        GvPeerLink_BackOff(l, ps->now_ms);
        GvPeerLink_SetLinked(l, false);
        GvPeerLink_FailUnsent(l);
        return;
    }
    gv_peerconn_t *c = add_conn(ps, fd, true);
    c->link = l;
    l->opening = c;
}

static void
service_link(gv_peers_t *ps, gv_peerlink_t *l)
{
    atomic_store(&l->wake, false);
    if (l->up != NULL) {
        flush(ps, l->up);
    }
    else if (l->opening == NULL) {
        if (GvPeerLink_HasQueuedFrames(l) ||
            (l->reopen && GvPeerLink_MayConnect(l, ps->now_ms))) {
            open_link(ps, l);
        }
    }
}

static void
retire(gv_peers_t *ps, gv_peerconn_t *c)
{
    c->retiring = true;
    c->retired_ms = ps->now_ms;
}

/* Both ends keep the connection that was opened by the entry host with the
   smaller name, so that they agree when both opened one. */
static bool
preferred(const gv_peers_t *ps, const gv_peerconn_t *c)
{
    bool self_first = GvStr_Compare(ps->o.self.entry, c->link->name) < 0;
    return c->outgoing == self_first;
}

/* Makes c, on which HELLO has arrived, the connection of its link, unless
   another one is kept. The one that is not kept is still read for a while,
   because the peer may have written to it before it decided likewise. */
static void
adopt(gv_peers_t *ps, gv_peerconn_t *c)
{
    gv_peerlink_t *l = c->link;
    gv_peerconn_t *old = l->up;
    if (l->opening == c) {
        l->opening = NULL;
    }
    if (old != NULL && preferred(ps, old) && !preferred(ps, c)) {
        retire(ps, c);
        return;
    }
    l->up = c;
    l->reopen = false;
    GvPeerLink_SetLinked(l, true);
    if (old != NULL) {
        retire(ps, old);
    }
    else {
        GvLog_Write(GV_LOG_INFO, "peer %.*s: link up, incarnation %" PRIu64,
                    GV_STR_ARG(l->name), c->incarnation);
    }
    flush(ps, c);
}

/* Ends everything that depends on the peer's earlier incarnation. */
static void
drop_incarnation(gv_peers_t *ps, gv_peerlink_t *l, const gv_peerconn_t *keep)
{
    for (guint i = ps->conns->len; i-- > 0;) {
        gv_peerconn_t *c = g_ptr_array_index(ps->conns, i);
        if (c != keep && c->link == l && c->greeted) {
            close_conn(ps, c, false);
        }
    }
    GvPeerLink_FailUnsent(l);
    GvPeerLink_FailSent(l, NULL);
}

/* Handles the first HELLO of a connection. Returns false to close it. */
static bool
on_hello(gv_peers_t *ps, gv_peerconn_t *c, const gv_msg_hello_t *h)
{
    gv_peerlink_t *l = c->link;
    if (l == NULL) {
        l = GvPeers_MakeLink(ps, h->entry);
    }
    if (l == NULL || !GvStr_Equal(l->name, h->entry)) {
        return false;
    }
    uint64_t known = GvPeerLink_Incarnation(l);
    if (h->incarnation < known) {
        return false;
    }
    c->link = l;
    c->incarnation = h->incarnation;
    if (h->incarnation > known && known != 0) {
        drop_incarnation(ps, l, c);
    }
    c->greeted = true;
    GvPeerLink_ApplyHello(l, h);
    adopt(ps, c);
    return true;
}

/* Handles one frame. Returns false when the connection has to be closed. */
static bool
on_frame(gv_peers_t *ps, gv_peerconn_t *c, const gv_message_t *m)
{
    if (m->kind == GV_MSG_HELLO || !c->greeted) {
        bool ok = m->kind == GV_MSG_HELLO;
        if (ok && c->greeted) {
            ok = GvStr_Equal(m->u.hello.entry, c->link->name) &&
                 m->u.hello.incarnation == c->incarnation;
        }
        else if (ok) {
            ok = on_hello(ps, c, &m->u.hello);
        }
        if (!ok) {
            GvCounter_Add(&refused, 1);
            return false;
        }
        GvPeerLink_SetReceived(c->link, ps->now_ms);
        return true;
    }
    GvPeerLink_SetReceived(c->link, ps->now_ms);
    c->used_ms = ps->now_ms;
    switch (m->kind) {
    case GV_MSG_RESULT:
    case GV_MSG_LEDGER_RECORDS:
    case GV_MSG_LEDGER_SNAPSHOT:
    case GV_MSG_SLOT_LEND:
        if (!GvPeerLink_EndAnsweredCall(c->link, m)) {
            GvCounter_Add(&late, 1);
        }
        break;
    default:
        c->busy_ms = MAX(c->busy_ms,
                         ps->now_ms + MIN(m->deadline_ms, GV_DEADLINE_MAX_MS));
        ps->o.on_message(ps->o.user, c->link->name, c->incarnation, m);
        break;
    }
    return true;
}

/* Handles the complete frames in the input buffer. */
static void
parse_input(gv_peers_t *ps, gv_peerconn_t *c)
{
    size_t at = 0;
    int n = 0;
    bool ok = true;
    while (ok && c->fd >= 0) {
        gv_str_t body;
        n = GvFrame_Next(GvStr_N(c->in->data + at, c->in->len - at), &body);
        if (n <= 0) {
            break;
        }
        msgpack_unpacked un;
        gv_message_t m;
        if (GvMessage_Unpack(body, &un, &m) != GV_OK) {
            n = GV_EINVAL;
            ok = false;
        }
        else {
            ok = on_frame(ps, c, &m);
        }
        GvMessage_Clear(&m);
        msgpack_unpacked_destroy(&un);
        at += n > 0 ? (size_t)n : 0;
    }
    if (n < 0 && n != GV_EAGAIN) {
        GvCounter_Add(&malformed, 1);
        ok = false;
    }
    if (!ok) {
        close_conn(ps, c, false);
        return;
    }
    if (at > 0 && at == c->in->len && at > INPUT_KEEP_BYTES) {
        g_byte_array_unref(c->in);
        c->in = g_byte_array_new();
    }
    else if (at > 0) {
        g_byte_array_remove_range(c->in, 0, (guint)at);
    }
}

static void
on_readable(gv_peers_t *ps, gv_peerconn_t *c)
{
    size_t turn = 0;
    while (c->fd >= 0 && turn < READ_TURN_BYTES) {
        ssize_t n = GvPeerConn_Read(c);
        if (n == GV_EAGAIN) {
            return;
        }
        if (n < 0) {
            close_conn(ps, c, c->retiring);
            return;
        }
        turn += (size_t)n;
        c->read_ms = ps->now_ms;
        parse_input(ps, c);
    }
}

static void
on_event(gv_peers_t *ps, gv_peerconn_t *c, uint32_t events)
{
    if (c->fd >= 0 && c->connecting) {
        if (GvPeerConn_OpenResult(c->fd) != GV_OK) {
            close_conn(ps, c, false);
            return;
        }
        c->connecting = false;
        c->read_ms = c->write_ms = ps->now_ms;
        send_hello(ps, c);
    }
    if (c->fd >= 0 && (events & ~(uint32_t)EPOLLOUT) != 0) {
        on_readable(ps, c);
    }
    if (c->fd >= 0 && (events & EPOLLOUT) != 0) {
        flush(ps, c);
    }
}

static void
on_accept(gv_peers_t *ps)
{
    for (int i = 0; i < EVENTS; i++) {
        int fd = GvPeerConn_Accept(ps->listener);
        if (fd < 0) {
            return;
        }
        if (ps->conns->len >= GV_PEER_CONNECTIONS) {
            close(fd);
            continue;
        }
        send_hello(ps, add_conn(ps, fd, false));
    }
}

static void
tick_conn(gv_peers_t *ps, gv_peerconn_t *c)
{
    int64_t now = ps->now_ms;
    if (!c->greeted) {
        if (now - c->opened_ms > GV_PEER_CONNECT_MS) {
            close_conn(ps, c, false);
        }
    }
    else if (c->retiring) {
        if (now - c->retired_ms > GV_PEER_CONNECT_MS) {
            close_conn(ps, c, true);
        }
    }
    else if (now - c->read_ms > GV_PEER_DEAD_MS) {
        GvCounter_Add(&silent, 1);
        close_conn(ps, c, false);
    }
    else if (now > MAX(c->used_ms + GV_PEER_IDLE_MS, c->busy_ms) &&
             !GvPeerLink_IsBusy(c->link)) {
        c->link->up = NULL;
        GvPeerLink_SetLinked(c->link, c->link->opening != NULL);
        retire(ps, c);
    }
    else if (now - c->write_ms >= GV_PEER_KEEPALIVE_MS && c->out == NULL) {
        send_hello(ps, c);
    }
}

/* Checks the timers of all connections and calls. */
static void
tick(gv_peers_t *ps)
{
    for (guint i = ps->conns->len; i-- > 0;) {
        if (i < ps->conns->len) {
            tick_conn(ps, g_ptr_array_index(ps->conns, i));
        }
    }
    GPtrArray *links = GvPeers_CopyLinks(ps);
    for (guint i = 0; i < links->len; i++) {
        gv_peerlink_t *l = g_ptr_array_index(links, i);
        GvPeerLink_Expire(l, ps->now_ms);
        service_link(ps, l);
    }
    g_ptr_array_unref(links);
}

static void
service_woken(gv_peers_t *ps)
{
    uint64_t count;
    (void)!read(ps->wake, &count, sizeof count);
    GPtrArray *links = GvPeers_CopyLinks(ps);
    for (guint i = 0; i < links->len; i++) {
        gv_peerlink_t *l = g_ptr_array_index(links, i);
        if (atomic_load(&l->wake)) {
            service_link(ps, l);
        }
    }
    g_ptr_array_unref(links);
}

static void
poll_once(gv_peers_t *ps)
{
    struct epoll_event ev[EVENTS];
    int n = epoll_wait(ps->epoll, ev, EVENTS, GV_TIMER_TICK_MS);
    ps->now_ms = GvClock_MonoMs();
    for (int i = 0; i < n; i++) {
        if (ev[i].data.ptr == &ps->listener) {
            on_accept(ps);
        }
        else if (ev[i].data.ptr == &ps->wake) {
            service_woken(ps);
        }
        else {
            on_event(ps, ev[i].data.ptr, ev[i].events);
        }
    }
}

/* Tells whether a connection still has something to write. */
static bool
unflushed(gv_peers_t *ps)
{
    for (guint i = 0; i < ps->conns->len; i++) {
        const gv_peerconn_t *c = g_ptr_array_index(ps->conns, i);
        if (c->greeted &&
            (c->out != NULL ||
             (c->link->up == c && GvPeerLink_HasQueuedFrames(c->link)))) {
            return true;
        }
    }
    return false;
}

/* The peer thread. */
void *
GvPeers_Run(void *arg)
{
    gv_peers_t *ps = arg;
    int64_t ticked_ms = 0;
    int64_t stop_ms = 0;
    do {
        poll_once(ps);
        if (ps->now_ms - ticked_ms >= GV_TIMER_TICK_MS) {
            ticked_ms = ps->now_ms;
            tick(ps);
        }
        g_ptr_array_set_size(ps->dead, 0);
        if (stop_ms == 0 && atomic_load(&ps->stopping)) {
            stop_ms = ps->now_ms + GV_PEER_FLUSH_MS;
        }
    } while (stop_ms == 0 || (ps->now_ms < stop_ms && unflushed(ps)));
    pthread_mutex_lock(&ps->mu);
    ps->closed = true;
    pthread_mutex_unlock(&ps->mu);
    GPtrArray *links = GvPeers_CopyLinks(ps);
    for (guint i = 0; i < links->len; i++) {
        GvPeerLink_Stop(g_ptr_array_index(links, i));
    }
    g_ptr_array_unref(links);
    return NULL;
}
