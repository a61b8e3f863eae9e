#include "peer.h"

#include <errno.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "clock.h"
#include "error.h"
#include "frame.h"
#include "limits.h"
#include "log.h"
#include "peerloop.h"

static guint
hash_name(gconstpointer p)
{
    return GvStr_Hash(*(const gv_str_t *)p);
}

static gboolean
equal_names(gconstpointer a, gconstpointer b)
{
    return GvStr_Equal(*(const gv_str_t *)a, *(const gv_str_t *)b);
}

static gv_peerlink_t *
find_link(gv_peers_t *ps, gv_str_t name)
{
    pthread_mutex_lock(&ps->mu);
    gv_peerlink_t *l = g_hash_table_lookup(ps->links, &name);
    pthread_mutex_unlock(&ps->mu);
    return l;
}

/* Finds or creates a link; NULL when there are GV_ENTRY_HOSTS_MAX of them or
   the name is the own one. */
gv_peerlink_t *
GvPeers_MakeLink(gv_peers_t *ps, gv_str_t name)
{
    if (GvStr_Equal(name, ps->o.self.entry)) {
        return NULL;
    }
    pthread_mutex_lock(&ps->mu);
    gv_peerlink_t *l = g_hash_table_lookup(ps->links, &name);
    if (l == NULL && !ps->closed &&
        g_hash_table_size(ps->links) < GV_ENTRY_HOSTS_MAX) {
        l = GvPeerLink_New(name);
        g_hash_table_insert(ps->links, &l->name, l);
    }
    pthread_mutex_unlock(&ps->mu);
    return l;
}

/* Copies the list of links, so that no lock is held while it is walked. */
GPtrArray *
GvPeers_CopyLinks(gv_peers_t *ps)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter it;
    gpointer value;
    pthread_mutex_lock(&ps->mu);
    g_hash_table_iter_init(&it, ps->links);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        g_ptr_array_add(list, value);
    }
    pthread_mutex_unlock(&ps->mu);
    return list;
}

static void
wake(gv_peers_t *ps)
{
    uint64_t one = 1;
    /* A full counter means that the thread is about to wake up anyway. */
    (void)!write(ps->wake, &one, sizeof one);
}

/* Frames m; NULL when it exceeds GV_FRAME_MAX_BYTES. */
GByteArray *
GvPeers_MakeFrame(const gv_message_t *m)
{
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    GvMessage_Pack(&sb, m);
    GByteArray *bytes = NULL;
    if (sb.size <= GV_FRAME_MAX_BYTES) {
        bytes = g_byte_array_new();
        GvFrame_Append(bytes, GvStr_N(sb.data, sb.size));
    }
    msgpack_sbuffer_destroy(&sb);
    return bytes;
}

/* Adds or changes a descriptor of the epoll set. */
void
GvPeers_Watch(gv_peers_t *ps, int fd, int op, uint32_t events, void *ptr)
{
    struct epoll_event ev = {.events = events, .data.ptr = ptr};
    if (epoll_ctl(ps->epoll, op, fd, &ev) != 0) {
        GvLog_Write(GV_LOG_ERROR, "peer: epoll_ctl failed, errno %d", errno);
    }
}

/* Releases a stopped module. */
void
GvPeers_Free(gv_peers_t *ps)
{
    for (guint i = 0; i < ps->conns->len; i++) {
        GvPeerConn_Free(g_ptr_array_index(ps->conns, i));
    }
    g_ptr_array_unref(ps->conns);
    g_ptr_array_unref(ps->dead);
    g_hash_table_destroy(ps->links);
    pthread_mutex_destroy(&ps->mu);
    close(ps->listener);
    close(ps->epoll);
    close(ps->wake);
    GvStr_Free(&ps->o.listen_addr);
    GvStr_Free(&ps->o.self.entry);
    GvStr_Free(&ps->o.self.dc);
    GvStr_Free(&ps->o.self.region);
    g_free(ps);
}

/* Listens and starts the thread. The strings in o are copied. Returns 0,
   GV_EINVAL for a malformed address or GV_EIO when it cannot be bound. */
int
GvPeers_Start(const gv_peers_opts_t *o, gv_peers_t **out)
{
    int listener = GvPeerConn_Listen(o->listen_addr);
    if (listener < 0) {
        return listener;
    }
    gv_peers_t *ps = g_new0(gv_peers_t, 1);
    ps->o = *o;
    ps->o.listen_addr = GvStr_Dup(o->listen_addr);
    ps->o.self.entry = GvStr_Dup(o->self.entry);
    ps->o.self.dc = GvStr_Dup(o->self.dc);
    ps->o.self.region = GvStr_Dup(o->self.region);
    ps->listener = listener;
    ps->epoll = epoll_create1(EPOLL_CLOEXEC);
    ps->wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    /* Numbers of different incarnations differ, so that an answer to a call
       of an earlier incarnation matches no call of this one. */
    atomic_init(&ps->next_number, (o->self.incarnation << 20) + 1);
    pthread_mutex_init(&ps->mu, NULL);
    ps->links = g_hash_table_new_full(hash_name, equal_names, NULL,
                                      (GDestroyNotify)GvPeerLink_Free);
    ps->conns = g_ptr_array_new();
    ps->dead = g_ptr_array_new_with_free_func((GDestroyNotify)GvPeerConn_Free);
    if (ps->epoll < 0 || ps->wake < 0) {
        GvPeers_Free(ps);
        return GV_EIO;
    }
    GvPeers_Watch(ps, ps->listener, EPOLL_CTL_ADD, EPOLLIN, &ps->listener);
    GvPeers_Watch(ps, ps->wake, EPOLL_CTL_ADD, EPOLLIN, &ps->wake);
    if (pthread_create(&ps->thread, NULL, GvPeers_Run, ps) != 0) {
        GvPeers_Free(ps);
        return GV_EIO;
    }
    *out = ps;
    return GV_OK;
}

/* Writes what is queued for connected peers, for at most GV_PEER_FLUSH_MS,
   ends all calls and the thread. Later calls return GV_ESTOPPED; stopping
   again does nothing. */
void
GvPeers_Stop(gv_peers_t *ps)
{
    if (atomic_exchange(&ps->stopping, true)) {
        return;
    }
    wake(ps);
    pthread_join(ps->thread, NULL);
}

/* Adds or updates the address of a peer. The own name and names over the
   bound of GV_ENTRY_HOSTS_MAX are ignored. */
void
GvPeers_SetAddr(gv_peers_t *ps, const gv_peer_addr_t *a)
{
    gv_peerlink_t *l = GvPeers_MakeLink(ps, a->name);
    if (l != NULL) {
        GvPeerLink_SetAddr(l, a);
    }
}

/* Queues one message; opens the link when needed. Returns 0, GV_ENOENT for an
   unknown peer, GV_EFULL when the output bound is reached, GV_ECONN when the
   peer cannot be reached now, GV_ETOOBIG, or GV_ESTOPPED. */
int
GvPeers_Send(gv_peers_t *ps, gv_str_t to, const gv_message_t *m)
{
    gv_peerlink_t *l = find_link(ps, to);
    if (l == NULL) {
        return GV_ENOENT;
    }
    GByteArray *bytes = GvPeers_MakeFrame(m);
    if (bytes == NULL) {
        return GV_ETOOBIG;
    }
    int err = GvPeerLink_Push(l, bytes, NULL, GvClock_MonoMs());
    if (err == GV_OK) {
        wake(ps);
    }
    return err;
}

/* Sends a request with a fresh number, which is left in m. Returns 0, after
   which done is called exactly once on the peer thread; it may have been
   called already when this function returns. Returns an error as
   GvPeers_Send does when nothing was sent and done will not be called. */
int
GvPeers_Call(gv_peers_t *ps, gv_str_t to, gv_message_t *m, int64_t timeout_ms,
             gv_call_done_t done, void *user)
{
    gv_peerlink_t *l = find_link(ps, to);
    if (l == NULL) {
        return GV_ENOENT;
    }
    m->number = atomic_fetch_add(&ps->next_number, 1);
    GByteArray *bytes = GvPeers_MakeFrame(m);
    if (bytes == NULL) {
        return GV_ETOOBIG;
    }
    int64_t now_ms = GvClock_MonoMs();
    gv_peercall_t call = {.number = m->number,
                          .kind = m->kind,
                          .due_ms = now_ms + timeout_ms,
                          .done = done,
                          .user = user};
    int err = GvPeerLink_Push(l, bytes, &call, now_ms);
    if (err == GV_OK) {
        wake(ps);
    }
    return err;
}

/* Tells whether a message arrived from the peer within GV_PEER_DEAD_MS; then
   sets *incarnation unless it is NULL. */
bool
GvPeers_IsAlive(gv_peers_t *ps, gv_str_t name, uint64_t *incarnation)
{
    gv_peerlink_t *l = find_link(ps, name);
    return l != NULL && GvPeerLink_IsAlive(l, GvClock_MonoMs(), incarnation);
}

/* Appends one gv_peer_info_t for each known peer to out. */
void
GvPeers_List(gv_peers_t *ps, GArray *out)
{
    int64_t now_ms = GvClock_MonoMs();
    GPtrArray *links = GvPeers_CopyLinks(ps);
    for (guint i = 0; i < links->len; i++) {
        gv_peer_info_t info;
        GvPeerLink_Info(g_ptr_array_index(links, i), now_ms, &info);
        g_array_append_val(out, info);
    }
    g_ptr_array_unref(links);
}

/* Returns the port that the module listens on, for listen addresses with
   port 0. */
int
GvPeers_Port(const gv_peers_t *ps)
{
    return GvPeerConn_Port(ps->listener);
}
