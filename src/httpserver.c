#include "httpserver.h"

#include <arpa/inet.h>
#include <glib-unix.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "error.h"
#include "limits.h"

struct gv_server_s {
    gv_server_opts_t opts;
    struct sockaddr_in sin;
    pthread_mutex_t lock;
    struct MHD_Daemon *daemon; /* the one that listens, or NULL */
    GPtrArray *quiesced;       /* daemons that only finish their connections */
};

struct gv_server_request_s {
    struct MHD_Connection *conn;
    const char *method;
    char *path;
    GByteArray *body;
    bool too_big;
    int status; /* 0: no answer */
    char *content_type;
    GByteArray *out;
    GPtrArray *headers; /* name, value, name, value ... */
};

/* Releases a request with its answer. */
static void
free_served(gv_server_request_t *rq)
{
    g_free(rq->path);
    g_free(rq->content_type);
    g_byte_array_free(rq->body, TRUE);
    g_byte_array_free(rq->out, TRUE);
    g_ptr_array_free(rq->headers, TRUE);
    g_free(rq);
}

/* Creates the state of a request from its first line. */
static gv_server_request_t *
new_served(struct MHD_Connection *conn, const char *method, const char *path)
{
    gv_server_request_t *rq = g_new0(gv_server_request_t, 1);
    rq->conn = conn;
    rq->method = method;
    rq->path = g_strdup(path);
    rq->body = g_byte_array_new();
    rq->out = g_byte_array_new();
    rq->headers = g_ptr_array_new_with_free_func(g_free);
    return rq;
}

/* Queues the answer that the handler left in rq. */
static enum MHD_Result
send_answer(gv_server_request_t *rq)
{
    if (rq->status == 0) {
        return MHD_NO;
    }
    struct MHD_Response *res = MHD_create_response_from_buffer(
        rq->out->len, rq->out->data, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(res, "Content-Type", rq->content_type);
    for (guint i = 0; i + 1 < rq->headers->len; i += 2) {
        MHD_add_response_header(res, rq->headers->pdata[i],
                                rq->headers->pdata[i + 1]);
    }
    enum MHD_Result ok =
        MHD_queue_response(rq->conn, (unsigned)rq->status, res);
    MHD_destroy_response(res);
    return ok;
}

/* libmicrohttpd calls this with the headers, then with each part of the
   body, then once more. */
static enum MHD_Result
on_request(void *cls, struct MHD_Connection *conn, const char *url,
           const char *method, const char *version, const char *data,
           size_t *size, void **ctx)
{
    (void)version;
    gv_server_t *s = cls;
    gv_server_request_t *rq = *ctx;
    if (rq == NULL) {
        *ctx = new_served(conn, method, url);
        return MHD_YES;
    }
    if (*size > 0) {
        rq->too_big = rq->too_big || rq->body->len + *size > s->opts.max_body;
        if (!rq->too_big) {
            g_byte_array_append(rq->body, (const guint8 *)data, (guint)*size);
        }
        *size = 0;
        return MHD_YES;
    }
    if (rq->too_big) {
        GvServerRequest_ReplyText(rq, 413, "body over %zu bytes\n",
                                  s->opts.max_body);
    }
    else {
        s->opts.handle(s->opts.user, rq);
    }
    return send_answer(rq);
}

/* Called by libmicrohttpd when a request has ended in any way. */
static void
on_completed(void *cls, struct MHD_Connection *conn, void **ctx,
             enum MHD_RequestTerminationCode code)
{
    (void)cls;
    (void)conn;
    (void)code;
    if (*ctx != NULL) {
        free_served(*ctx);
        *ctx = NULL;
    }
}

/* Notes when a connection was accepted. */
static void
on_connection(void *cls, struct MHD_Connection *conn, void **context,
              enum MHD_ConnectionNotificationCode code)
{
    (void)cls;
    (void)conn;
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        int64_t *opened_us = g_new(int64_t, 1);
        *opened_us = GvClock_MonoUs();
        *context = opened_us;
    }
    else {
        g_free(*context);
        *context = NULL;
    }
}

/* Binds the address and starts serving. */
static struct MHD_Daemon *
start_daemon(gv_server_t *s)
{
    return MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
            MHD_USE_POLL | MHD_USE_ITC,
        0, NULL, NULL, on_request, s, MHD_OPTION_SOCK_ADDR, &s->sin,
        MHD_OPTION_CONNECTION_LIMIT, (unsigned)s->opts.connections,
        MHD_OPTION_THREAD_STACK_SIZE, (size_t)GV_WORKER_STACK_BYTES,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_NOTIFY_COMPLETED,
        on_completed, s, MHD_OPTION_NOTIFY_CONNECTION, on_connection, s,
        MHD_OPTION_END);
}

/* Reads "1.2.3.4:80" into sin. */
static int
parse_addr(const char *addr, struct sockaddr_in *sin)
{
    const char *colon = strrchr(addr, ':');
    uint64_t port;
    if (colon == NULL ||
        GvServer_ParseNumber(colon + 1, 65535, &port) != GV_OK || port == 0) {
        return GV_EINVAL;
    }
    char *host = g_strndup(addr, (gsize)(colon - addr));
    *sin = (struct sockaddr_in){.sin_family = AF_INET,
                                .sin_port = htons((uint16_t)port)};
    int ok = inet_pton(AF_INET, host, &sin->sin_addr);
    g_free(host);
    return ok == 1 ? GV_OK : GV_EINVAL;
}

/* Starts a server. Returns 0, GV_EINVAL for a malformed address, or GV_EIO
   when it cannot be bound. */
int
GvServer_Start(const gv_server_opts_t *o, gv_server_t **out)
{
    gv_server_t *s = g_new0(gv_server_t, 1);
    s->opts = *o;
    int err = parse_addr(o->addr, &s->sin);
    if (err == GV_OK) {
        s->daemon = start_daemon(s);
        err = s->daemon == NULL ? GV_EIO : GV_OK;
    }
    if (err != GV_OK) {
        g_free(s);
        return err;
    }
    pthread_mutex_init(&s->lock, NULL);
    s->quiesced = g_ptr_array_new();
    *out = s;
    return GV_OK;
}

/* Stops the server, closes its connections and releases it. */
void
GvServer_Stop(gv_server_t *s)
{
    /* Not held during the stop, because a handler may call Refuse. */
    pthread_mutex_lock(&s->lock);
    struct MHD_Daemon *daemon = s->daemon;
    pthread_mutex_unlock(&s->lock);
    if (daemon != NULL) {
        MHD_stop_daemon(daemon);
    }
    for (guint i = 0; i < s->quiesced->len; i++) {
        MHD_stop_daemon(s->quiesced->pdata[i]);
    }
    g_ptr_array_free(s->quiesced, TRUE);
    pthread_mutex_destroy(&s->lock);
    g_free(s);
}

/* Closes or reopens the listening socket. A closed one makes the kernel
   refuse connections, so that a client knows that nothing was sent. */
int
GvServer_SetRefusing(gv_server_t *s, bool refuse)
{
    int err = GV_OK;
    pthread_mutex_lock(&s->lock);
    if (refuse && s->daemon != NULL) {
        MHD_socket fd = MHD_quiesce_daemon(s->daemon);
        if (fd != MHD_INVALID_SOCKET) {
            /* The server's thread may still poll the socket, which keeps it
               listening after the close. */
            shutdown(fd, SHUT_RDWR);
            close(fd);
        }
        g_ptr_array_add(s->quiesced, s->daemon);
        s->daemon = NULL;
    }
    else if (!refuse && s->daemon == NULL) {
        s->daemon = start_daemon(s);
        err = s->daemon == NULL ? GV_EIO : GV_OK;
    }
    pthread_mutex_unlock(&s->lock);
    return err;
}

/* Ends the main loop; a GLib signal source. */
static gboolean
quit(gpointer loop)
{
    g_main_loop_quit(loop);
    return G_SOURCE_CONTINUE;
}

/* Blocks until SIGTERM or SIGINT arrives. */
void
GvServer_WaitForSignal(void)
{
    GMainLoop *loop = g_main_loop_new(NULL, FALSE);
    guint term = g_unix_signal_add(SIGTERM, quit, loop);
    guint intr = g_unix_signal_add(SIGINT, quit, loop);
    g_main_loop_run(loop);
    g_source_remove(term);
    g_source_remove(intr);
    g_main_loop_unref(loop);
}

/* Returns the request's method. */
const char *
GvServerRequest_Method(const gv_server_request_t *rq)
{
    return rq->method;
}

/* Returns the decoded path without the query string. */
const char *
GvServerRequest_Path(const gv_server_request_t *rq)
{
    return rq->path;
}

/* Returns a view of the request's body. */
gv_str_t
GvServerRequest_Body(const gv_server_request_t *rq)
{
    return GvStr_N(rq->body->data, rq->body->len);
}

/* Returns a query parameter, "" when it has no value, NULL when absent. */
const char *
GvServerRequest_Query(const gv_server_request_t *rq, const char *name)
{
    return MHD_lookup_connection_value(rq->conn, MHD_GET_ARGUMENT_KIND, name);
}

/* Returns a request header or NULL. */
const char *
GvServerRequest_Header(const gv_server_request_t *rq, const char *name)
{
    return MHD_lookup_connection_value(rq->conn, MHD_HEADER_KIND, name);
}

/* Reads a number from the query string; see the header. */
int
GvServerRequest_QueryNumber(const gv_server_request_t *rq, const char *name,
                            uint64_t max, uint64_t *v)
{
    const char *text = GvServerRequest_Query(rq, name);
    return text == NULL ? GV_OK : GvServer_ParseNumber(text, max, v);
}

/* Returns the number of query parameters. */
int
GvServerRequest_QueryCount(const gv_server_request_t *rq)
{
    return MHD_get_connection_values(rq->conn, MHD_GET_ARGUMENT_KIND, NULL,
                                     NULL);
}

/* Returns when the connection was accepted, in microseconds. */
int64_t
GvServerRequest_OpenedUs(const gv_server_request_t *rq)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(rq->conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info == NULL ? 0 : *(int64_t *)info->socket_context;
}

/* Adds a header to the answer. */
void
GvServerRequest_AddHeader(gv_server_request_t *rq, const char *name,
                          const char *value)
{
    g_ptr_array_add(rq->headers, g_strdup(name));
    g_ptr_array_add(rq->headers, g_strdup(value));
}

/* Sets the answer; it is sent when the handler returns. */
void
GvServerRequest_Reply(gv_server_request_t *rq, int status,
                      const char *content_type, gv_str_t body)
{
    rq->status = status;
    g_free(rq->content_type);
    rq->content_type = g_strdup(content_type);
    g_byte_array_set_size(rq->out, 0);
    if (body.n > 0) {
        g_byte_array_append(rq->out, (const guint8 *)body.p, (guint)body.n);
    }
}

/* Sets a text answer. */
void
GvServerRequest_ReplyText(gv_server_request_t *rq, int status, const char *fmt,
                          ...)
{
    va_list ap;
    va_start(ap, fmt);
    char *text = g_strdup_vprintf(fmt, ap);
    va_end(ap);
    GvServerRequest_Reply(rq, status, "text/plain", GvStr_C(text));
    g_free(text);
}

/* Closes the connection without an answer when the handler returns. */
void
GvServerRequest_DropReply(gv_server_request_t *rq)
{
    rq->status = 0;
}

/* Reads a decimal number without sign or spaces. */
int
GvServer_ParseNumber(const char *text, uint64_t max, uint64_t *v)
{
    uint64_t sum = 0;
    if (text == NULL || text[0] == '\0') {
        return GV_EINVAL;
    }
    for (const char *p = text; *p != '\0'; p++) {
        if (!g_ascii_isdigit(*p)) {
            return GV_EINVAL;
        }
        uint64_t digit = (uint64_t)(*p - '0');
        if (digit > max || sum > (max - digit) / 10) {
            return GV_EINVAL;
        }
        sum = sum * 10 + digit;
    }
    *v = sum;
    return GV_OK;
}
