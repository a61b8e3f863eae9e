#include "peerconn.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "error.h"

#define READ_BYTES   (64 * 1024)
#define LISTEN_QUEUE 128

/* Parses ADDRESS:PORT or [ADDRESS]:PORT. Only numeric ones are accepted, so
   that no name resolution can block the thread. Returns 0 or GV_EINVAL. */
static int
parse_addr(gv_str_t addr, struct sockaddr_storage *ss, socklen_t *len)
{
    char text[128];
    if (addr.n == 0 || addr.n >= sizeof text) {
        return GV_EINVAL;
    }
    memcpy(text, addr.p, addr.n);
    text[addr.n] = '\0';
    char *colon = strrchr(text, ':');
    if (colon == NULL) {
        return GV_EINVAL;
    }
    *colon = '\0';
    char *host = text;
    if (host[0] == '[' && colon > host + 1 && colon[-1] == ']') {
        colon[-1] = '\0';
        host++;
    }
    struct addrinfo hints = {.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV,
                             .ai_socktype = SOCK_STREAM};
    struct addrinfo *ai;
    if (getaddrinfo(host, colon + 1, &hints, &ai) != 0) {
        return GV_EINVAL;
    }
    memcpy(ss, ai->ai_addr, ai->ai_addrlen);
    *len = ai->ai_addrlen;
    freeaddrinfo(ai);
    return GV_OK;
}

/* Returns a new non-blocking socket, or -1. */
static int
new_socket(int family)
{
    return socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

/* Opens a listening socket. Returns its descriptor, GV_EINVAL for a malformed
   address, or GV_EIO when the address cannot be bound. */
int
GvPeerConn_Listen(gv_str_t addr)
{
    struct sockaddr_storage ss = {0};
    socklen_t len;
    if (parse_addr(addr, &ss, &len) != GV_OK) {
        return GV_EINVAL;
    }
    int fd = new_socket(ss.ss_family);
    int on = 1;
    if (fd < 0) {
        return GV_EIO;
    }
    if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
        bind(fd, (struct sockaddr *)&ss, len) != 0 ||
        listen(fd, LISTEN_QUEUE) != 0) {
        close(fd);
        return GV_EIO;
    }
    return fd;
}

/* Returns the port that the socket is bound to, or GV_EIO. */
int
GvPeerConn_Port(int fd)
{
    union {
        struct sockaddr any;
        struct sockaddr_in in;
        struct sockaddr_in6 in6;
    } a = {0};
    socklen_t len = sizeof a;
    if (getsockname(fd, &a.any, &len) != 0) {
        return GV_EIO;
    }
    return ntohs(a.any.sa_family == AF_INET6 ? a.in6.sin6_port
                                             : a.in.sin_port);
}

/* Disables Nagle's algorithm. */
static void
set_nodelay(int fd)
{
    int on = 1;
    /* Small frames are sent without delay. A failure is ignored, because it
       only makes them slower. */
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

/* Starts to connect to addr. Returns the socket, GV_EINVAL for a malformed
   address, or GV_ECONN. */
int
GvPeerConn_Open(gv_str_t addr)
{
    struct sockaddr_storage ss = {0};
    socklen_t len;
    if (parse_addr(addr, &ss, &len) != GV_OK) {
        return GV_EINVAL;
    }
    int fd = new_socket(ss.ss_family);
    if (fd < 0) {
        return GV_ECONN;
    }
    set_nodelay(fd);
    if (connect(fd, (struct sockaddr *)&ss, len) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return GV_ECONN;
    }
    return fd;
}

/* Accepts one connection. Returns its socket, or GV_EAGAIN if there is none or
   it cannot be accepted. */
int
GvPeerConn_Accept(int listener)
{
    int fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        return GV_EAGAIN;
    }
    set_nodelay(fd);
    return fd;
}

/* Returns 0 if the connect that was started on fd has succeeded, or
   GV_ECONN. */
int
GvPeerConn_OpenResult(int fd)
{
    int err = 0;
    socklen_t len = sizeof err;
    if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &len) != 0 || err != 0) {
        return GV_ECONN;
    }
    return GV_OK;
}

/* Creates the connection of a socket, which it owns from now on. */
gv_peerconn_t *
GvPeerConn_New(int fd, int64_t now_ms)
{
    gv_peerconn_t *c = g_new0(gv_peerconn_t, 1);
    c->fd = fd;
    c->opened_ms = c->last_read_ms = c->last_write_ms = c->last_message_ms =
        now_ms;
    c->in = g_byte_array_new();
    return c;
}

/* Closes and releases the connection. */
void
GvPeerConn_Free(gv_peerconn_t *c)
{
    if (c->fd >= 0) {
        close(c->fd);
    }
    if (c->out != NULL) {
        GvOutFrame_Free(c->out);
    }
    g_byte_array_unref(c->in);
    g_free(c);
}

/* Reads available bytes and appends them to c->in. Returns their number,
   GV_EAGAIN if there are none, or GV_ECONN at the end of the stream or after
   an error. */
ssize_t
GvPeerConn_Read(gv_peerconn_t *c)
{
    guint have = c->in->len;
    g_byte_array_set_size(c->in, have + READ_BYTES);
    ssize_t n;
    do {
        n = recv(c->fd, c->in->data + have, READ_BYTES, 0);
    } while (n < 0 && errno == EINTR);
    g_byte_array_set_size(c->in, have + (n > 0 ? (guint)n : 0));
    if (n > 0) {
        return n;
    }
    return n < 0 && errno == EAGAIN ? GV_EAGAIN : GV_ECONN;
}

/* Writes the rest of c->out. Returns 0 when all of it is written, GV_EAGAIN
   when the socket's buffer is full, or GV_ECONN. */
int
GvPeerConn_Write(gv_peerconn_t *c, int64_t now_ms)
{
    gv_outframe_t *f = c->out;
    while (f->written < f->bytes->len) {
        ssize_t n = send(c->fd, f->bytes->data + f->written,
                         f->bytes->len - f->written, MSG_NOSIGNAL);
        if (n < 0) {
            if (errno == EINTR) {
                continue;
            }
            return errno == EAGAIN ? GV_EAGAIN : GV_ECONN;
        }
        f->written += (size_t)n;
        c->last_write_ms = now_ms;
    }
    return GV_OK;
}
