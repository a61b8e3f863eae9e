#include "httpclient.h"

#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "error.h"
#include "limits.h"
#include "sockwatch.h"

struct gv_http_client_s {
    ne_session *session; /* NULL before the first request */
    ne_inet_addr *inet;
    char *addr;      /* of the session */
    bool open;       /* the session holds a connection */
    bool idempotent; /* of the exchange in progress */
    bool sent;       /* of the exchange in progress */
    int64_t used_ms; /* end of the last exchange */
    gv_sockwatch_t watch;
};

/* Also sets SIGPIPE to be ignored. */
static void
init_neon(void)
{
    ne_sock_init();
}

/* Creates a client without a connection. */
gv_http_client_t *
GvHttp_New(void)
{
    static pthread_once_t once = PTHREAD_ONCE_INIT;
    pthread_once(&once, init_neon);
    gv_http_client_t *c = g_new0(gv_http_client_t, 1);
    c->watch.fd = -1;
    return c;
}

/* Closes the connection and forgets the server. */
static void
drop_session(gv_http_client_t *c)
{
    if (c->session != NULL) {
        /* Closes the connection: on_status forgets its socket before. */
        ne_close_connection(c->session);
        ne_set_notifier(c->session, NULL, NULL);
        ne_session_destroy(c->session);
        ne_iaddr_free(c->inet);
    }
    g_free(c->addr);
    c->session = NULL;
    c->addr = NULL;
    c->open = false;
}

/* Closes the connection and releases c; NULL is allowed. */
void
GvHttp_Free(gv_http_client_t *c)
{
    if (c != NULL) {
        drop_session(c);
        g_free(c);
    }
}

/* Follows the state of the session's connection. neon resends an idempotent
   request on a new connection when a kept one proves closed, so that for
   such a request a failed connect does not mean that nothing was sent. */
static void
on_status(void *user, ne_session_status status,
          const ne_session_status_info *info)
{
    (void)info;
    gv_http_client_t *c = user;
    switch (status) {
    case ne_status_connecting:
        c->sent = c->sent && c->idempotent;
        break;
    case ne_status_connected:
        c->open = true;
        c->sent = true;
        GvSockWatch_Connected(&c->watch);
        break;
    case ne_status_disconnected:
        c->open = false;
        GvSockWatch_Closing(&c->watch);
        break;
    default:
        break;
    }
}

/* Splits "127.0.0.1:80" or "[::1]:80" into an address and a port. Returns 0
   or GV_EINVAL. */
static int
parse_addr(gv_str_t addr, char *host, size_t n, unsigned *port)
{
    char text[64];
    if (addr.n == 0 || addr.n >= sizeof text) {
        return GV_EINVAL;
    }
    memcpy(text, addr.p, addr.n);
    text[addr.n] = '\0';
    char *colon = strrchr(text, ':');
    if (colon == NULL || colon == text) {
        return GV_EINVAL;
    }
    char *end;
    unsigned long v = strtoul(colon + 1, &end, 10);
    if (!g_ascii_isdigit(colon[1]) || *end != '\0' || v == 0 || v > 65535) {
        return GV_EINVAL;
    }
    *colon = '\0';
    *port = (unsigned)v;
    g_strlcpy(host, text, n);
    return GV_OK;
}

/* Makes c->session a session to addr, keeping the present one if it fits. */
static int
use_session(gv_http_client_t *c, gv_str_t addr)
{
    if (c->session != NULL && GvStr_Equal(GvStr_C(c->addr), addr)) {
        return GV_OK;
    }
    drop_session(c);
    char host[64];
    unsigned port = 0;
    if (parse_addr(addr, host, sizeof host, &port) != GV_OK) {
        return GV_EINVAL;
    }
    bool v6 = host[0] == '[' && host[strlen(host) - 1] == ']';
    char *bare = v6 ? g_strndup(host + 1, strlen(host) - 2) : g_strdup(host);
    c->inet = ne_iaddr_parse(bare, v6 ? ne_iaddr_ipv6 : ne_iaddr_ipv4);
    g_free(bare);
    if (c->inet == NULL) {
        return GV_EINVAL;
    }
    c->addr = g_strndup(addr.p, addr.n);
    c->session = ne_session_create("http", host, port);
    const ne_inet_addr *list[] = {c->inet};
    /* Addresses are numeric: no name look-up. */
    ne_set_addrlist(c->session, list, 1);
    ne_set_notifier(c->session, on_status, c);
    return GV_OK;
}

/* Tells whether s can stand in a request line or header without changing
   the structure of the request. */
static bool
is_clean(gv_str_t s, bool allow_space)
{
    for (size_t i = 0; i < s.n; i++) {
        unsigned char ch = (unsigned char)s.p[i];
        if (ch < 0x20 || ch == 0x7f || (ch == ' ' && !allow_space)) {
            return false;
        }
    }
    return true;
}

/* Checks what the caller passed. */
static int
check_request(const gv_http_request_t *rq)
{
    if (rq->method.n == 0 || !is_clean(rq->method, false) || rq->path.n == 0 ||
        rq->path.p[0] != '/' || !is_clean(rq->path, false) ||
        rq->timeout_ms <= 0) {
        return GV_EINVAL;
    }
    for (int i = 0; i < rq->n_headers; i++) {
        const gv_header_t *h = &rq->headers[i];
        if (h->name.n == 0 || !is_clean(h->name, false) ||
            memchr(h->name.p, ':', h->name.n) != NULL ||
            !is_clean(h->value, true)) {
            return GV_EINVAL;
        }
    }
    return GV_OK;
}

/* Builds neon's request from rq. */
static ne_request *
make_request(gv_http_client_t *c, const gv_http_request_t *rq)
{
    char *method = g_strndup(rq->method.p, rq->method.n);
    char *path = g_strndup(rq->path.p, rq->path.n);
    /* neon waits in whole seconds. */
    int seconds = rq->timeout_ms / 1000 + (rq->timeout_ms % 1000 != 0);
    ne_set_read_timeout(c->session, seconds);
    ne_set_connect_timeout(c->session, seconds);
    ne_set_session_flag(c->session, NE_SESSFLAG_PERSIST, rq->idempotent);
    ne_request *req = ne_request_create(c->session, method, path);
    /* With the flag on, neon resends a request when a kept connection proves
       closed. With it off, neon opens a new connection and sends once. */
    ne_set_request_flag(req, NE_REQFLAG_IDEMPOTENT, rq->idempotent);
    for (int i = 0; i < rq->n_headers; i++) {
        const gv_header_t *h = &rq->headers[i];
        char *name = g_strndup(h->name.p, h->name.n);
        char *value = g_strndup(h->value.p, h->value.n);
        /* ne_print_request_header would cut a long value. */
        ne_add_request_header(req, name, value);
        g_free(name);
        g_free(value);
    }
    bool plain = strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0 ||
                 strcmp(method, "OPTIONS") == 0 ||
                 strcmp(method, "DELETE") == 0;
    if (rq->body.n > 0 || !plain) {
        const char *body = rq->body.p == NULL ? "" : rq->body.p;
        ne_set_request_body_buffer(req, body, rq->body.n);
    }
    g_free(method);
    g_free(path);
    return req;
}

/* Translates neon's result. */
static int
to_error(int ret)
{
    switch (ret) {
    case NE_OK:
        return GV_OK;
    case NE_TIMEOUT:
        return GV_ETIMEDOUT;
    default:
        return GV_ECONN;
    }
}

/* Reads the body up to the limit and the deadline. */
static int
read_body(ne_request *req, const gv_http_request_t *rq, int64_t deadline_ms,
          GByteArray *body)
{
    char block[8192];
    ssize_t n;
    while ((n = ne_read_response_block(req, block, sizeof block)) > 0) {
        if (body->len + (size_t)n > rq->max_body) {
            return GV_ETOOBIG;
        }
        g_byte_array_append(body, (const guint8 *)block, (guint)n);
        if (GvClock_MonoMs() > deadline_ms) {
            return GV_ETIMEDOUT;
        }
    }
    if (n < 0) {
        const char *why = ne_get_error(ne_get_session(req));
        return strstr(why, "timed out") != NULL ? GV_ETIMEDOUT : GV_ECONN;
    }
    return GV_OK;
}

/* Checks that the answer is whole. An answer that ends with the connection
   is refused, because a cut one looks the same. */
static int
check_length(ne_request *req, gv_str_t method, int status, size_t n)
{
    if (GvStr_Equal(method, GV_STR("HEAD")) || status == 204 ||
        status == 304) {
        return GV_OK;
    }
    const char *coding = ne_get_response_header(req, "Transfer-Encoding");
    if (coding != NULL) {
        return g_ascii_strcasecmp(coding, "chunked") == 0 ? GV_OK : GV_EINVAL;
    }
    const char *length = ne_get_response_header(req, "Content-Length");
    if (length == NULL || !g_ascii_isdigit(length[0])) {
        return GV_EINVAL;
    }
    char *end;
    guint64 want = g_ascii_strtoull(length, &end, 10);
    if (*end != '\0') {
        return GV_EINVAL;
    }
    return want == n ? GV_OK : GV_ECONN;
}

/* Copies the wanted headers. */
static void
keep_headers(ne_request *req, const char *const *want, gv_http_response_t *a)
{
    for (size_t i = 0;
         want != NULL && want[i] != NULL && i < G_N_ELEMENTS(a->values); i++) {
        a->values[i] = g_strdup(ne_get_response_header(req, want[i]));
    }
}

/* Sends req and reads the whole answer. */
static int
exchange(ne_request *req, const gv_http_request_t *rq, gv_http_response_t *a)
{
    int64_t deadline_ms = GvClock_MonoMs() + rq->timeout_ms;
    int ret;
    do {
        int err = to_error(ne_begin_request(req));
        if (err != GV_OK) {
            return err;
        }
        g_byte_array_set_size(a->body, 0);
        err = read_body(req, rq, deadline_ms, a->body);
        if (err != GV_OK) {
            return err;
        }
        ret = ne_end_request(req);
    } while (ret == NE_RETRY && rq->idempotent);
    if (ret != NE_OK) {
        return ret == NE_RETRY ? GV_ECONN : to_error(ret);
    }
    a->status = ne_get_status(req)->code;
    int err = check_length(req, rq->method, a->status, a->body->len);
    if (err == GV_OK) {
        keep_headers(req, rq->want, a);
    }
    return err;
}

/* Makes one exchange. Its connection is cut when timeout_ms has passed, so
   that neither a write nor an answer of single bytes lasts longer. Returns 0
   with the whole answer, GV_EINVAL for a request that cannot be sent or an
   answer without a length, GV_ETOOBIG for an answer over max_body,
   GV_ETIMEDOUT, or GV_ECONN, also for an answer cut short. answer->sent is
   false only if no byte of the request can have reached the server. The
   answer is empty unless the result is 0. */
int
GvHttp_Do(gv_http_client_t *c, const gv_http_request_t *rq,
          gv_http_response_t *answer)
{
    memset(answer, 0, sizeof *answer);
    int err = check_request(rq);
    if (err == GV_OK) {
        err = use_session(c, rq->addr);
    }
    if (err != GV_OK) {
        return err;
    }
    int idle_ms = rq->idle_ms > 0 ? rq->idle_ms : GV_HTTP_IDLE_MS;
    if (c->open && GvClock_MonoMs() - c->used_ms > idle_ms) {
        ne_close_connection(c->session);
    }
    c->idempotent = rq->idempotent;
    c->sent = c->open;
    answer->body = g_byte_array_new();
    ne_request *req = make_request(c, rq);
    GvSockWatch_Begin(&c->watch, GvClock_MonoMs() + rq->timeout_ms);
    err = exchange(req, rq, answer);
    if (GvSockWatch_End(&c->watch)) {
        ne_close_connection(c->session);
        err = err == GV_ECONN ? GV_ETIMEDOUT : err;
    }
    if (err != GV_OK) {
        /* What is left of the answer must not be read as the next one. */
        ne_close_connection(c->session);
        GvHttp_ClearResponse(answer);
    }
    ne_request_destroy(req);
    c->used_ms = GvClock_MonoMs();
    answer->sent = c->sent;
    return err;
}

/* Tells whether a connection is kept; see the header. */
bool
GvHttp_IsOpen(const gv_http_client_t *c)
{
    return c->open;
}

/* Closes a kept connection. */
void
GvHttp_Close(gv_http_client_t *c)
{
    if (c->open) {
        ne_close_connection(c->session);
    }
}

/* Releases the body and the headers and empties the answer. */
void
GvHttp_ClearResponse(gv_http_response_t *answer)
{
    if (answer->body != NULL) {
        g_byte_array_free(answer->body, TRUE);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(answer->values); i++) {
        g_free(answer->values[i]);
    }
    memset(answer, 0, sizeof *answer);
}

/* Makes one exchange on a new connection; see the header. */
int
GvHttp_Once(const char *addr, const char *method, const char *path,
            int timeout_ms, char **text)
{
    gv_http_client_t *c = GvHttp_New();
    gv_http_request_t rq = {.addr = GvStr_C(addr),
                            .method = GvStr_C(method),
                            .path = GvStr_C(path),
                            .idempotent = false,
                            .timeout_ms = timeout_ms,
                            .max_body = GV_BODY_MAX_BYTES};
    gv_http_response_t a;
    int res = GvHttp_Do(c, &rq, &a);
    if (text != NULL) {
        *text =
            res == GV_OK ? g_strndup((char *)a.body->data, a.body->len) : NULL;
    }
    if (res == GV_OK) {
        res = a.status;
    }
    GvHttp_ClearResponse(&a);
    GvHttp_Free(c);
    return res;
}
