#include "front.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "counter.h"
#include "error.h"
#include "front_private.h"
#include "limits.h"
#include "listener.h"

GV_COUNTER(callers_left, "callers_left_total",
           "Requests cancelled because their caller disconnected");
GV_COUNTER(received, "requests_received_total", "Requests from callers");
GV_COUNTER(refused_size, "bodies_refused_total",
           "Requests refused because of their body size");

/* MHD_OPTION_URI_LOG_CALLBACK: creates the call and stores the raw URI of the
   request line, which MHD decodes for its later callbacks. */
static void *
on_uri(void *cls, const char *uri, struct MHD_Connection *conn)
{
    gv_call_t *call = g_new0(gv_call_t, 1);
    call->front = cls;
    call->conn = conn;
    call->uri = g_strdup(uri);
    call->body = g_byte_array_new();
    atomic_fetch_add(&call->front->open_calls, 1);
    return call;
}

/* Frees the call after its response was sent or its connection ended. */
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
    atomic_fetch_sub(&call->front->open_calls, 1);
    GvFront_EndBody(call);
    g_byte_array_free(call->body, TRUE);
    GvAnswer_Free(&call->answer);
    g_free(call->uri);
    g_free(call);
}

/* Replies not-run, with this status, to a request that is not accepted. */
static enum MHD_Result
reply_refusal(gv_call_t *call, int status, int retry_after_ms,
              const char *reason)
{
    gv_answer_t a =
        GvAnswer_Refuse(GV_OUTCOME_NOT_RUN, status, retry_after_ms, reason);
    enum MHD_Result rc = GvFront_Reply(call, &a);
    GvAnswer_Free(&a);
    return rc;
}

/* Replies 413 with the size limit. */
static enum MHD_Result
reply_oversize(gv_call_t *call)
{
    char text[80];
    g_snprintf(text, sizeof text, "request body is over %d bytes",
               GV_BODY_MAX_BYTES);
    GvCounter_Add(&refused_size, 1);
    return reply_refusal(call, 413, 0, text);
}

/* Called when the request has ended: stores the answer and resumes the
   connection. Runs on any thread; the call may be freed as soon as the
   connection is resumed. */
static void
on_done(void *user, gv_request_t *rq, const gv_answer_t *a)
{
    gv_call_t *call = user;
    gv_front_t *f = call->front;
    gint64 id = (gint64)rq->id;
    GvFront_KeepAnswer(call, a);
    call->answered = true;
    pthread_mutex_lock(&f->lock);
    g_hash_table_remove(f->waiting_callers, &id);
    pthread_mutex_unlock(&f->lock);
    if (f->opts.on_ended != NULL) {
        f->opts.on_ended(f->opts.user, rq);
    }
    MHD_resume_connection(call->conn);
}

/* Registers the caller's socket for GvFront_CheckCallers. */
static void
watch_caller(gv_call_t *call)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(call->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
    gv_caller_t *c = g_new0(gv_caller_t, 1);
    c->request_id = (gint64)call->request_id;
    c->fd = info != NULL ? info->connect_fd : -1;
    pthread_mutex_lock(&call->front->lock);
    g_hash_table_replace(call->front->waiting_callers, &c->request_id, c);
    pthread_mutex_unlock(&call->front->lock);
}

/* Creates a request from the call, suspends the connection and submits the
   request, which may end on another thread at any time. */
static enum MHD_Result
submit(gv_call_t *call, const char *method)
{
    gv_front_t *f = call->front;
    gv_request_opts_t o;
    char reason[160];
    if (atomic_load(&f->refusing)) {
        return reply_refusal(call, 503, 0, "entry host is stopping");
    }
    int status;
    if (GvFront_ReadRequest(call, method, &o, &status, reason,
                            sizeof reason) != GV_OK) {
        g_free((char *)o.path.p);
        return reply_refusal(call, status, 0, reason);
    }
    o.body = GvStr_Dup(GvStr_N(call->body->data, call->body->len));
    g_byte_array_free(call->body, TRUE);
    call->body = g_byte_array_new();
    o.done = on_done;
    o.user = call;
    gv_request_t *rq;
    int rc = GvRequest_New(f->opts.requests, &o, GvClock_MonoMs(), &rq);
    g_free((char *)o.path.p);
    if (rc != GV_OK) {
        return reply_refusal(call, 503, 0, "too many requests in progress");
    }
    GvCounter_Add(&received, 1);
    call->submitted = true;
    call->request_id = rq->id;
    watch_caller(call);
    MHD_suspend_connection(call->conn);
    f->opts.submit(f->opts.user, rq);
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
    if (!GvFront_CompleteBody(call)) {
        return MHD_NO;
    }
    if (call->received > GV_BODY_MAX_BYTES) {
        return reply_oversize(call);
    }
    if (g_str_has_prefix(call->uri, "/svc/")) {
        return submit(call, method);
    }
    gv_answer_t a = {0};
    if (f->opts.on_other_path(f->opts.user, GvStr_C(method),
                              GvStr_C(call->uri), &a) != GV_OK) {
        return reply_refusal(call, 404, 0, "no such path");
    }
    GvFront_KeepAnswer(call, &a);
    GvAnswer_Free(&a);
    return GvFront_Reply(call, &call->answer);
}

/* Refuses a body before it is read if it is too large or does not fit in the
   memory for bodies. */
static enum MHD_Result
on_headers(gv_call_t *call)
{
    switch (GvFront_BeginBody(call)) {
    case GV_OK:
        return MHD_YES;
    case GV_ETOOBIG:
        return reply_oversize(call);
    case GV_EFULL:
        return reply_refusal(call, 503, GV_BODY_RETRY_MS,
                             "too many large bodies in progress");
    default:
        return MHD_NO;
    }
}

/* MHD's access handler: called for the headers, for each part of the body, at
   the end of the body, and again after the connection was resumed. */
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
    if (!call->headers_seen) {
        call->headers_seen = true;
        return on_headers(call);
    }
    if (*size == 0) {
        return complete(call, method);
    }
    enum MHD_Result rc = GvFront_ReceiveBody(call, data, *size);
    *size = 0;
    return rc;
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
    f->opts = *o;
    gv_body_budget_opts_t limits =
        GvBodyBudget_Limits(o->memory_mb, o->max_fds, GV_HTTP_CONNECTIONS);
    f->budget = GvBodyBudget_New(&limits);
    pthread_mutex_init(&f->lock, NULL);
    pthread_mutex_init(&f->budget_lock, NULL);
    f->waiting_callers =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    gv_listener_opts_t listener = {.addr = &sa,
                                   .backlog = limits.backlog,
                                   .receive_bytes = GV_BODY_RECEIVE_BYTES};
    int fd = GvListener_Open(&listener);
    if (fd < 0) {
        GvFront_Stop(f);
        return GV_EIO;
    }
    f->mhd = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
        ntohs(sa.sin_port), NULL, NULL, on_access, f, MHD_OPTION_LISTEN_SOCKET,
        (MHD_socket)fd, MHD_OPTION_THREAD_POOL_SIZE, (unsigned)GV_HTTP_THREADS,
        MHD_OPTION_CONNECTION_LIMIT, (unsigned)limits.connections_max,
        MHD_OPTION_NOTIFY_CONNECTION, GvFront_OnConnection, f,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)GV_HTTP_HEADER_BYTES,
        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)GV_HTTP_TIMEOUT_S,
        MHD_OPTION_URI_LOG_CALLBACK, on_uri, f, MHD_OPTION_NOTIFY_COMPLETED,
        on_completed, NULL, MHD_OPTION_END);
    if (f->mhd == NULL) {
        close(fd);
        GvFront_Stop(f);
        return GV_EIO;
    }
    *out = f;
    return GV_OK;
}

/* Refuses new requests with 503 and not-run from now on. */
void
GvFront_Refuse(gv_front_t *f)
{
    atomic_store(&f->refusing, true);
}

/* Cancels every request that a caller still waits for, because MHD must not be
   stopped while connections are suspended. */
static void
cancel_waiting(gv_front_t *f)
{
    pthread_mutex_lock(&f->lock);
    GList *callers = g_hash_table_get_values(f->waiting_callers);
    GArray *ids = g_array_new(FALSE, FALSE, sizeof(gint64));
    for (GList *l = callers; l != NULL; l = l->next) {
        const gv_caller_t *c = l->data;
        g_array_append_val(ids, c->request_id);
    }
    pthread_mutex_unlock(&f->lock);
    g_list_free(callers);
    for (guint i = 0; i < ids->len; i++) {
        gint64 id = g_array_index(ids, gint64, i);
        gv_request_t *rq = GvRequest_Find(f->opts.requests, (uint64_t)id);
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
    g_hash_table_destroy(f->waiting_callers);
    GvBodyBudget_Free(f->budget);
    pthread_mutex_destroy(&f->budget_lock);
    pthread_mutex_destroy(&f->lock);
    g_free(f);
}

/* Returns the number of HTTP exchanges with callers in progress. */
int
GvFront_CountOpen(gv_front_t *f)
{
    return atomic_load(&f->open_calls);
}

/* Closes connections of slow callers if too many are open, and cancels the
   requests whose caller has closed its connection: MHD does not poll a
   suspended connection. */
void
GvFront_CheckCallers(gv_front_t *f)
{
    GvFront_CloseSlowCallers(f);
    pthread_mutex_lock(&f->lock);
    guint n = g_hash_table_size(f->waiting_callers);
    struct pollfd *fds = g_new0(struct pollfd, n + 1);
    gint64 *ids = g_new0(gint64, n + 1);
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, f->waiting_callers);
    for (guint i = 0; g_hash_table_iter_next(&it, NULL, &value); i++) {
        const gv_caller_t *c = value;
        fds[i] = (struct pollfd){.fd = c->fd, .events = POLLRDHUP};
        ids[i] = c->request_id;
    }
    pthread_mutex_unlock(&f->lock);
    /* If a socket was closed and its number reused since the copy, its request
       has ended and GvRequest_Find returns NULL. */
    int ready = n > 0 ? poll(fds, n, 0) : 0;
    for (guint i = 0; i < n && ready > 0; i++) {
        gv_request_t *rq =
            fds[i].revents != 0
                ? GvRequest_Find(f->opts.requests, (uint64_t)ids[i])
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
