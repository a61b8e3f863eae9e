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
#include "peerbound.h"

/* Events handled for each epoll_wait, and connections accepted at a time. */
#define EVENTS 64
/* Bytes read from one connection before the other ones are served. */
#define READ_TURN_BYTES (256 * 1024)
/* An input buffer that held more bytes than this is released when empty. */
#define INPUT_KEEP_BYTES (256 * 1024)

GV_COUNTER(malformed, "peer_malformed_total",
           "Peer links closed because of a malformed or oversize frame");
GV_COUNTER(crowded, "peer_crowded_total",
           "Peer links closed to make room for others");
GV_COUNTER(refused, "peer_hello_refused_total",
           "Peer links closed because of an unexpected HELLO");
GV_COUNTER(silent, "peer_silent_total",
           "Peer links closed because nothing arrived for too long");
GV_COUNTER(lost, "peer_lost_total", "Peer links lost after HELLO");
GV_COUNTER(failed, "peer_connect_failed_total",
           "Connection attempts to peers that failed");
GV_COUNTER(late, "peer_late_answers_total",
           "Answers from peers that matched no outstanding call");

/* Updates the link of the closed connection c. A call sent on c ends with
   GV_ECONN, unless c was retiring, was closed cleanly with nothing left to
   write, and the link has an active connection, to which the call is moved
   then. Queued frames are dropped if the active connection was lost, or if
   opening one failed while none was active. */
static void
detach(gv_peers_t *ps, gv_peerconn_t *c, bool clean)
{
    gv_peerlink_t *l = c->link;
    if (l->opening == c) {
        l->opening = NULL;
        GvCounter_Add(&failed, 1);
        GvPeerLink_BackOff(l, ps->now_ms);
        if (l->active == NULL) {
            l->reopen = false;
            GvPeerLink_SetLinked(l, false);
            GvPeerLink_FailUnsent(l);
        }
    }
    else if (l->active == c) {
        l->active = NULL;
        l->reopen = true;
        GvCounter_Add(&lost, 1);
        GvLog_Write(GV_LOG_WARN,
                    "peer %.*s: connection lost; calls sent on it fail, "
                    "reconnecting after a delay",
                    GV_STR_ARG(l->name));
        GvPeerLink_BackOff(l, ps->now_ms);
        GvPeerLink_SetLinked(l, l->opening != NULL);
        GvPeerLink_FailUnsent(l);
        GvPeerLink_FailSent(l, c);
    }
    else if (clean && c->out == NULL && l->active != NULL) {
        GvPeerLink_MoveCalls(l, c, l->active);
    }
    else {
        GvPeerLink_FailSent(l, c);
    }
}

/* Closes c and updates its link. clean means that the peer has read everything
   that was written to c. */
static void
close_conn(gv_peers_t *ps, gv_peerconn_t *c, bool clean)
{
    if (c->fd < 0) {
        return;
    }
    GvPeerBound_CountInput(ps, c, 0);
    close(c->fd); /* also removes it from the epoll set */
    c->fd = -1;
    g_ptr_array_remove_fast(ps->conns, c);
    g_ptr_array_add(ps->closed_conns, c);
    if (c->link != NULL) {
        detach(ps, c, clean);
    }
}

/* Writes to c until the socket's buffer is full: the frame in c->out, then
   frames of its link if c is the link's active connection. */
static void
flush(gv_peers_t *ps, gv_peerconn_t *c)
{
    int err = GV_OK;
    while (c->fd >= 0 && !c->connecting) {
        if (c->out == NULL && c->link != NULL && c->link->active == c) {
            c->out = GvPeerLink_Pop(c->link);
            c->last_message_ms =
                c->out != NULL ? ps->now_ms : c->last_message_ms;
        }
        if (c->out == NULL) {
            break;
        }
        gv_outframe_t *f = c->out;
        bool fresh = f->written == 0;
        err = GvPeerConn_Write(c, ps->now_ms);
        if (fresh && f->written > 0 && f->call_number != 0) {
            GvPeerLink_MarkSent(c->link, f->call_number, c);
        }
        if (err == GV_OK) {
            GvOutFrame_Free(f);
            c->out = NULL;
            continue;
        }
        if (f->written == 0 && c->hello_received && c->link->active == c) {
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

/* Sends HELLO on c, which must have no frame in c->out. */
static void
send_hello(gv_peers_t *ps, gv_peerconn_t *c)
{
    gv_message_t m = {.kind = GV_MSG_HELLO, .u.hello = ps->opts.self};
    c->out = g_new0(gv_outframe_t, 1);
    c->out->bytes = GvPeers_MakeFrame(&m);
    flush(ps, c);
}

/* Creates the connection of a socket and adds it to the epoll set. */
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

/* Starts to open a connection for l. If no attempt may be made now or it fails
   at once, the queued frames are dropped and their calls end with
   GV_EREFUSED. */
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

/* Writes queued frames of l, or opens a connection for it if needed. */
static void
service_link(gv_peers_t *ps, gv_peerlink_t *l)
{
    atomic_store(&l->needs_service, false);
    if (l->active != NULL) {
        flush(ps, l->active);
    }
    else if (l->opening == NULL) {
        if (GvPeerLink_HasQueuedFrames(l) ||
            (l->reopen && GvPeerLink_MayConnect(l, ps->now_ms))) {
            open_link(ps, l);
        }
    }
}

/* Makes c a connection that is only read until it is closed. */
static void
retire(gv_peers_t *ps, gv_peerconn_t *c)
{
    c->retiring = true;
    c->retired_ms = ps->now_ms;
}

/* Returns true if c was opened by the entry host with the smaller name of the
   two. Both ends keep such a connection, so that they agree when each of them
   has opened one. */
static bool
is_preferred(const gv_peers_t *ps, const gv_peerconn_t *c)
{
    bool self_first = GvStr_Compare(ps->opts.self.entry, c->link->name) < 0;
    return c->outgoing == self_first;
}

/* Makes c, on which HELLO has arrived, the active connection of its link,
   unless the present one is preferred. The other of the two is still read for
   up to GV_PEER_CONNECT_MS, because the peer may have written to it before it
   made the same choice. */
static void
activate_conn(gv_peers_t *ps, gv_peerconn_t *c)
{
    gv_peerlink_t *l = c->link;
    gv_peerconn_t *old = l->active;
    if (l->opening == c) {
        l->opening = NULL;
    }
    if (old != NULL && is_preferred(ps, old) && !is_preferred(ps, c)) {
        retire(ps, c);
        return;
    }
    l->active = c;
    l->reopen = false;
    GvPeerLink_SetLinked(l, true);
    if (old != NULL) {
        retire(ps, old);
    }
    else {
        GvLog_Write(GV_LOG_INFO, "peer %.*s: connected, incarnation %" PRIu64,
                    GV_STR_ARG(l->name), c->incarnation);
    }
    flush(ps, c);
}

/* Closes the connections to the peer's earlier incarnation, all but keep,
   drops the queued frames and ends all calls. */
static void
drop_incarnation(gv_peers_t *ps, gv_peerlink_t *l, const gv_peerconn_t *keep)
{
    for (guint i = ps->conns->len; i-- > 0;) {
        gv_peerconn_t *c = g_ptr_array_index(ps->conns, i);
        if (c != keep && c->link == l && c->hello_received) {
            close_conn(ps, c, false);
        }
    }
    GvPeerLink_FailUnsent(l);
    GvPeerLink_FailSent(l, NULL);
}

/* Handles the first HELLO of a connection. Returns false if the connection has
   to be closed, because the peer is not the expected one or cannot be added,
   or its incarnation is older than the known one. */
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
    c->hello_received = true;
    GvPeerLink_ApplyHello(l, h);
    activate_conn(ps, c);
    return true;
}

/* Handles one message. Returns false if the connection has to be closed. */
static bool
on_frame(gv_peers_t *ps, gv_peerconn_t *c, const gv_message_t *m)
{
    if (m->kind == GV_MSG_HELLO || !c->hello_received) {
        bool ok = m->kind == GV_MSG_HELLO;
        if (ok && c->hello_received) {
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
    c->last_message_ms = ps->now_ms;
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
        c->request_deadline_ms =
            MAX(c->request_deadline_ms,
                ps->now_ms + MIN(m->deadline_ms, GV_DEADLINE_MAX_MS));
        ps->opts.on_message(ps->opts.user, c->link->name, c->incarnation, m);
        break;
    }
    return true;
}

/* Closes connections with incomplete frames while all of these take too much
   memory. */
static void
bound_input(gv_peers_t *ps)
{
    gv_peerconn_t *c;
    while (GvPeerBound_InputFull(ps) &&
           (c = GvPeerBound_FurthestBehind(ps)) != NULL) {
        GvCounter_Add(&crowded, 1);
        close_conn(ps, c, false);
    }
}

/* Returns the next frame in the input buffer, like GvFrame_Next. Before HELLO
   it has to be a short one. */
static int
next_frame(const gv_peerconn_t *c, size_t at, gv_str_t *body)
{
    gv_str_t buf = GvStr_N(c->in->data + at, c->in->len - at);
    if (!c->hello_received && GvFrame_Length(buf) > GV_FRAME_HELLO_BYTES) {
        return GV_ETOOBIG;
    }
    return GvFrame_Next(buf, body);
}

/* Handles all complete frames in the input buffer and removes them. Closes c
   after a malformed or unexpected one. */
static void
parse_input(gv_peers_t *ps, gv_peerconn_t *c)
{
    size_t at = 0;
    int n = 0;
    bool ok = true;
    while (ok && c->fd >= 0) {
        gv_str_t body;
        n = next_frame(c, at, &body);
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
    }
    if (c->fd < 0) {
        return;
    }
    if (at > 0 && at == c->in->len && at > INPUT_KEEP_BYTES) {
        g_byte_array_unref(c->in);
        c->in = g_byte_array_new();
    }
    else if (at > 0) {
        g_byte_array_remove_range(c->in, 0, (guint)at);
        GvPeerBound_CountInput(ps, c, 0); /* the next frame begins now */
    }
    GvPeerBound_CountInput(ps, c, c->in->len);
    bound_input(ps);
}

/* Reads from c and handles its frames, for up to READ_TURN_BYTES. */
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
        c->last_read_ms = ps->now_ms;
        parse_input(ps, c);
    }
}

/* Handles the epoll events of c. The first one of an outgoing connection shows
   whether it has been established. */
static void
on_event(gv_peers_t *ps, gv_peerconn_t *c, uint32_t events)
{
    if (c->fd >= 0 && c->connecting) {
        if (GvPeerConn_OpenResult(c->fd) != GV_OK) {
            close_conn(ps, c, false);
            return;
        }
        c->connecting = false;
        c->last_read_ms = c->last_write_ms = ps->now_ms;
        send_hello(ps, c);
    }
    if (c->fd >= 0 && (events & ~(uint32_t)EPOLLOUT) != 0) {
        on_readable(ps, c);
    }
    if (c->fd >= 0 && (events & EPOLLOUT) != 0) {
        flush(ps, c);
    }
}

/* Closes the oldest connection that was accepted and has not sent HELLO yet.
   Returns false if there is none. */
static bool
close_oldest_stranger(gv_peers_t *ps)
{
    gv_peerconn_t *oldest = GvPeerBound_OldestStranger(ps);
    if (oldest == NULL) {
        return false;
    }
    GvCounter_Add(&crowded, 1);
    close_conn(ps, oldest, false);
    return true;
}

/* Accepts waiting connections. If too many are open, one that has not sent
   HELLO gives way; if there is none, the new one is closed. */
static void
on_accept(gv_peers_t *ps)
{
    for (int i = 0; i < EVENTS; i++) {
        int fd = GvPeerConn_Accept(ps->listen_fd);
        if (fd < 0) {
            return;
        }
        if (ps->conns->len >= GvPeerBound_Connections(ps) &&
            !close_oldest_stranger(ps)) {
            close(fd);
            continue;
        }
        send_hello(ps, add_conn(ps, fd, false));
    }
}

/* Checks the timers of c: closes it if HELLO does not arrive, the peer is
   silent or c has been retiring for too long; retires it if it is idle;
   otherwise sends HELLO as a keepalive. */
static void
tick_conn(gv_peers_t *ps, gv_peerconn_t *c)
{
    int64_t now = ps->now_ms;
    if (!c->hello_received) {
        if (now - c->opened_ms > GV_PEER_CONNECT_MS) {
            close_conn(ps, c, false);
        }
    }
    else if (c->retiring) {
        if (now - c->retired_ms > GV_PEER_CONNECT_MS) {
            close_conn(ps, c, true);
        }
    }
    else if (now - c->last_read_ms > GV_PEER_DEAD_MS) {
        GvCounter_Add(&silent, 1);
        close_conn(ps, c, false);
    }
    else if (now > MAX(c->last_message_ms + GV_PEER_IDLE_MS,
                       c->request_deadline_ms) &&
             !GvPeerLink_IsBusy(c->link)) {
        c->link->active = NULL;
        GvPeerLink_SetLinked(c->link, c->link->opening != NULL);
        retire(ps, c);
    }
    else if (now - c->last_write_ms >= GV_PEER_KEEPALIVE_MS &&
             c->out == NULL) {
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

/* Serves the links for which frames were queued since the last time. */
static void
service_flagged_links(gv_peers_t *ps)
{
    uint64_t count;
    (void)!read(ps->wake_fd, &count, sizeof count);
    GPtrArray *links = GvPeers_CopyLinks(ps);
    for (guint i = 0; i < links->len; i++) {
        gv_peerlink_t *l = g_ptr_array_index(links, i);
        if (atomic_load(&l->needs_service)) {
            service_link(ps, l);
        }
    }
    g_ptr_array_unref(links);
}

/* Waits for events, for at most GV_TIMER_TICK_MS, and handles them. */
static void
poll_once(gv_peers_t *ps)
{
    struct epoll_event ev[EVENTS];
    int n = epoll_wait(ps->epoll_fd, ev, EVENTS, GV_TIMER_TICK_MS);
    ps->now_ms = GvClock_MonoMs();
    for (int i = 0; i < n; i++) {
        if (ev[i].data.ptr == &ps->listen_fd) {
            on_accept(ps);
        }
        else if (ev[i].data.ptr == &ps->wake_fd) {
            service_flagged_links(ps);
        }
        else {
            on_event(ps, ev[i].data.ptr, ev[i].events);
        }
    }
}

/* Returns true if a connection still has frames to write. */
static bool
has_unwritten(gv_peers_t *ps)
{
    for (guint i = 0; i < ps->conns->len; i++) {
        const gv_peerconn_t *c = g_ptr_array_index(ps->conns, i);
        if (c->hello_received &&
            (c->out != NULL ||
             (c->link->active == c && GvPeerLink_HasQueuedFrames(c->link)))) {
            return true;
        }
    }
    return false;
}

/* The peer thread: handles events and timers until GvPeers_Stop, writes queued
   frames for at most GV_PEER_FLUSH_MS more, and then stops all links. */
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
        g_ptr_array_set_size(ps->closed_conns, 0);
        if (stop_ms == 0 && atomic_load(&ps->stopping)) {
            stop_ms = ps->now_ms + GV_PEER_FLUSH_MS;
        }
    } while (stop_ms == 0 || (ps->now_ms < stop_ms && has_unwritten(ps)));
    pthread_mutex_lock(&ps->mu);
    ps->links_closed = true;
    pthread_mutex_unlock(&ps->mu);
    GPtrArray *links = GvPeers_CopyLinks(ps);
    for (guint i = 0; i < links->len; i++) {
        GvPeerLink_Stop(g_ptr_array_index(links, i));
    }
    g_ptr_array_unref(links);
    return NULL;
}
