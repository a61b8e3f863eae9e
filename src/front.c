#include "front.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "error.h"
#include "front_private.h"
#include "limits.h"

GV_COUNTER(callers_left, "callers_left_total",
           "Requests cancelled because their caller disconnected");
GV_COUNTER(received, "requests_received_total", "Requests from callers");
GV_COUNTER(refused_size, "bodies_refused_total",
           "Requests refused because of their body size");

/* An oversize body is read and dropped up to this size, so that its sender
   is ready to read the 413; beyond it the connection is closed early. */
#define DRAIN_MAX_BYTES (8 * GV_BODY_MAX_BYTES)

/* Keeps the raw target of the request line; MHD later decodes it. */
static void *
on_uri(void *cls, const char *uri, struct MHD_Connection *conn)
{
    gv_call_t *call = g_new0(gv_call_t, 1);
    call->front = cls;
    call->conn = conn;
    call->uri = g_strdup(uri);
    call->body = g_byte_array_new();
    atomic_fetch_add(&call->front->open, 1);
    return call;
}

/* Frees the call after its response has been sent or its connection ended.
 */
static void
on_completed(void *cls, struct MHD_Connection *conn, void **con_cls,
             enum MHD_RequestTerminationCode why)
{
    (void)cls;
    (void)conn;
    (void)why;
    gv_call_t *call = *con_cls;
    if (call == NULL) {
        return;
    }
    *con_cls = NULL;
    atomic_fetch_sub(&call->front->open, 1);
    g_byte_array_free(call->body, TRUE);
    GvAnswer_Free(&call->answer);
    g_free(call->uri);
    g_free(call);
}

/* Answers a request that was not accepted. */
static enum MHD_Result
reply_refusal(gv_call_t *call, int status, const char *reason)
{
    gv_answer_t a = GvAnswer_Refuse(GV_OUTCOME_NOT_RUN, status, 0, reason);
    enum MHD_Result rc = GvFront_Reply(call, &a);
    GvAnswer_Free(&a);
    return rc;
}

/* Answers 413 with the limit. */
static enum MHD_Result
reply_oversize(gv_call_t *call)
{
    char text[80];
    g_snprintf(text, sizeof text, "request body is over %d bytes",
               GV_BODY_MAX_BYTES);
    GvCounter_Add(&refused_size, 1);
    return reply_refusal(call, 413, text);
}

/* Stores the answer and lets the connection continue. Runs on any thread;
   the call may be gone as soon as the connection is resumed. */
static void
on_done(void *user, gv_request_t *rq, const gv_answer_t *a)
{
    gv_call_t *call = user;
    gv_front_t *f = call->front;
    gint64 id = (gint64)rq->id;
    call->answer = GvAnswer_Copy(a);
    call->answered = true;
    pthread_mutex_lock(&f->lock);
    g_hash_table_remove(f->waiting, &id);
    pthread_mutex_unlock(&f->lock);
    if (f->o.ended != NULL) {
        f->o.ended(f->o.user, rq);
    }
    MHD_resume_connection(call->conn);
}

/* Notes the socket on which the caller waits. */
static void
watch_caller(gv_call_t *call)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(call->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
    gv_caller_t *c = g_new0(gv_caller_t, 1);
    c->id = (gint64)call->id;
    c->fd = info != NULL ? info->connect_fd : -1;
    pthread_mutex_lock(&call->front->lock);
    g_hash_table_replace(call->front->waiting, &c->id, c);
    pthread_mutex_unlock(&call->front->lock);
}

/* Makes a request of the call and submits it. The connection is suspended
   before, because the request may end on another thread at once. */
static enum MHD_Result
submit(gv_call_t *call, const char *method)
{
    gv_front_t *f = call->front;
    gv_request_opts_t o;
    char reason[160];
    if (atomic_load(&f->refuse)) {
        return reply_refusal(call, 503, "entry host is stopping");
    }
    int status;
    if (GvFront_ReadRequest(call, method, &o, &status, reason,
                            sizeof reason) != GV_OK) {
        g_free((char *)o.path.p);
        return reply_refusal(call, status, reason);
    }
    o.body = GvStr_Dup(GvStr_N(call->body->data, call->body->len));
    g_byte_array_set_size(call->body, 0);
    o.done = on_done;
    o.user = call;
    gv_request_t *rq;
    int rc = GvRequest_New(f->o.requests, &o, GvClock_MonoMs(), &rq);
    g_free((char *)o.path.p);
    if (rc != GV_OK) {
        return reply_refusal(call, 503, "too many requests in progress");
    }
    GvCounter_Add(&received, 1);
    call->submitted = true;
    call->id = rq->id;
    watch_caller(call);
    MHD_suspend_connection(call->conn);
    f->o.submit(f->o.user, rq);
    GvRequest_Unref(rq);
    return MHD_YES;
}

/* Handles a request whose body is complete. */
static enum MHD_Result
complete(gv_call_t *call, const char *method)
{
    gv_front_t *f = call->front;
    if (call->answered) {
        return GvFront_Reply(call, &call->answer);
    }
    if (call->submitted) {
        return MHD_YES;
    }
    if (call->received > GV_BODY_MAX_BYTES) {
        return reply_oversize(call);
    }
    if (g_str_has_prefix(call->uri, "/svc/")) {
        return submit(call, method);
    }
    gv_answer_t a = {0};
    if (f->o.local(f->o.user, GvStr_C(method), GvStr_C(call->uri), &a) !=
        GV_OK) {
        return reply_refusal(call, 404, "no such path");
    }
    enum MHD_Result rc = GvFront_Reply(call, &a);
    GvAnswer_Free(&a);
    return rc;
}

/* Decides on the headers alone: refuses a body that is too large to drain,
   or one whose sender waits for a sign to continue. */
static enum MHD_Result
on_headers(gv_call_t *call)
{
    const char *length = MHD_lookup_connection_value(
        call->conn, MHD_HEADER_KIND, "Content-Length");
    const char *expect =
        MHD_lookup_connection_value(call->conn, MHD_HEADER_KIND, "Expect");
    guint64 n = length != NULL ? g_ascii_strtoull(length, NULL, 10) : 0;
    if (n > DRAIN_MAX_BYTES || (n > GV_BODY_MAX_BYTES && expect != NULL)) {
        return reply_oversize(call);
    }
    return MHD_YES;
}

/* Called by MHD for the headers, for each part of the body, and at the end
   of the body. Also called again after the connection was resumed. */
static enum MHD_Result
on_access(void *cls, struct MHD_Connection *conn, const char *url,
          const char *method, const char *version, const char *data,
          size_t *size, void **con_cls)
{
    (void)cls;
    (void)conn;
    (void)url;
    (void)version;
    gv_call_t *call = *con_cls;
    if (call == NULL) {
        return MHD_NO;
    }
    if (!call->begun) {
        call->begun = true;
        return on_headers(call);
    }
    if (*size == 0) {
        return complete(call, method);
    }
    call->received += *size;
    if (call->received > DRAIN_MAX_BYTES) {
        return MHD_NO; /* chunked without end */
    }
    if (call->received <= GV_BODY_MAX_BYTES) {
        g_byte_array_append(call->body, (const guint8 *)data, (guint)*size);
    }
    *size = 0;
    return MHD_YES;
}

/* Parses "IP:PORT". Returns 0 or GV_EINVAL. */
static int
parse_addr(gv_str_t addr, struct sockaddr_in *sa)
{
    char text[64];
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
    long port = strtol(colon + 1, NULL, 10);
    *sa = (struct sockaddr_in){.sin_family = AF_INET};
    if (port <= 0 || port > 65535 ||
        inet_pton(AF_INET, text, &sa->sin_addr) != 1) {
        return GV_EINVAL;
    }
    sa->sin_port = htons((uint16_t)port);
    return GV_OK;
}

/* Starts the server. Returns 0, GV_EINVAL for a bad address, or GV_EIO when
   it cannot listen. */
int
GvFront_Start(const gv_front_opts_t *o, gv_front_t **out)
{
    struct sockaddr_in sa;
    if (parse_addr(o->addr, &sa) != GV_OK) {
        return GV_EINVAL;
    }
    gv_front_t *f = g_new0(gv_front_t, 1);
    f->o = *o;
    pthread_mutex_init(&f->lock, NULL);
    f->waiting =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    f->mhd = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
        ntohs(sa.sin_port), NULL, NULL, on_access, f, MHD_OPTION_SOCK_ADDR,
        (struct sockaddr *)&sa, MHD_OPTION_THREAD_POOL_SIZE,
        (unsigned)GV_HTTP_THREADS, MHD_OPTION_CONNECTION_LIMIT,
        (unsigned)GV_HTTP_CONNECTIONS, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        (size_t)GV_HTTP_HEADER_BYTES, MHD_OPTION_CONNECTION_TIMEOUT,
        (unsigned)GV_HTTP_TIMEOUT_S, MHD_OPTION_URI_LOG_CALLBACK, on_uri, f,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_END);
    if (f->mhd == NULL) {
        GvFront_Stop(f);
        return GV_EIO;
    }
    *out = f;
    return GV_OK;
}

/* From now on new requests are refused as not-run. */
void
GvFront_Refuse(gv_front_t *f)
{
    atomic_store(&f->refuse, true);
}

/* Ends every request that a caller still waits for: MHD must not be stopped
   with suspended connections. */
static void
cancel_waiting(gv_front_t *f)
{
    pthread_mutex_lock(&f->lock);
    GList *callers = g_hash_table_get_values(f->waiting);
    GArray *ids = g_array_new(FALSE, FALSE, sizeof(gint64));
    for (GList *l = callers; l != NULL; l = l->next) {
        const gv_caller_t *c = l->data;
        g_array_append_val(ids, c->id);
    }
    pthread_mutex_unlock(&f->lock);
    g_list_free(callers);
    for (guint i = 0; i < ids->len; i++) {
        gint64 id = g_array_index(ids, gint64, i);
        gv_request_t *rq = GvRequest_Find(f->o.requests, (uint64_t)id);
        if (rq != NULL) {
            GvRequest_Cancel(rq, "entry host has stopped");
            GvRequest_Unref(rq);
        }
    }
    g_array_free(ids, TRUE);
}

/* Stops the server and frees it. */
void
GvFront_Stop(gv_front_t *f)
{
    if (f == NULL) {
        return;
    }
    GvFront_Refuse(f);
    if (f->mhd != NULL) {
        cancel_waiting(f);
        MHD_stop_daemon(f->mhd);
    }
    g_hash_table_destroy(f->waiting);
    pthread_mutex_destroy(&f->lock);
    g_free(f);
}

/* Returns the number of exchanges with callers that are not complete. */
int
GvFront_CountOpen(gv_front_t *f)
{
    return atomic_load(&f->open);
}

/* Cancels the requests whose caller has closed its connection. MHD does not
   look at a suspended connection. */
void
GvFront_CheckCallers(gv_front_t *f)
{
    pthread_mutex_lock(&f->lock);
    guint n = g_hash_table_size(f->waiting);
    struct pollfd *fds = g_new0(struct pollfd, n + 1);
    gint64 *ids = g_new0(gint64, n + 1);
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, f->waiting);
    for (guint i = 0; g_hash_table_iter_next(&it, NULL, &value); i++) {
        const gv_caller_t *c = value;
        fds[i] = (struct pollfd){.fd = c->fd, .events = POLLRDHUP};
        ids[i] = c->id;
    }
    pthread_mutex_unlock(&f->lock);
    /* A socket closed and reused meanwhile belongs to a request that has
       ended, so that Find yields nothing. */
    int ready = n > 0 ? poll(fds, n, 0) : 0;
    for (guint i = 0; i < n && ready > 0; i++) {
        gv_request_t *rq =
            fds[i].revents != 0
                ? GvRequest_Find(f->o.requests, (uint64_t)ids[i])
                : NULL;
        if (rq != NULL) {
            GvCounter_Add(&callers_left, 1);
            GvRequest_Cancel(rq, "caller disconnected");
            GvRequest_Unref(rq);
        }
    }
    g_free(fds);
    g_free(ids);
}
