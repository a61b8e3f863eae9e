#include <sys/socket.h>

#include "clock.h"
#include "error.h"
#include "front_private.h"
#include "limits.h"
#include "log.h"

/* Bodies of callers within the budget of memory that all threads of the HTTP
   server share. */

/* MHD_OPTION_NOTIFY_CONNECTION: counts the connection. Its descriptor stays
   open until this was called for its end. */
void
GvFront_OnConnection(void *cls, struct MHD_Connection *conn, void **counted,
                     enum MHD_ConnectionNotificationCode what)
{
    gv_front_t *f = cls;
    pthread_mutex_lock(&f->budget_lock);
    if (what == MHD_CONNECTION_NOTIFY_STARTED) {
        const union MHD_ConnectionInfo *info =
            MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD);
        *counted =
            GvBodyBudget_Open(f->budget, info->connect_fd, GvClock_MonoMs());
    }
    else {
        GvBodyBudget_Close(*counted);
        *counted = NULL;
    }
    pthread_mutex_unlock(&f->budget_lock);
}

/* Checks the announced length before the body is read. A body that will be
   discarded is announced too large, but not by too much, and its sender does
   not wait for "100 Continue". */
int
GvFront_BeginBody(gv_call_t *call)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        call->conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    const char *length = MHD_lookup_connection_value(
        call->conn, MHD_HEADER_KIND, "Content-Length");
    const char *expect =
        MHD_lookup_connection_value(call->conn, MHD_HEADER_KIND, "Expect");
    guint64 n = length != NULL ? g_ascii_strtoull(length, NULL, 10) : 0;
    gv_front_t *f = call->front;
    int rc = GV_OK;
    call->counted = info->socket_context;
    call->announced = n;
    pthread_mutex_lock(&f->budget_lock);
    if (!GvBodyBudget_Begin(call->counted, GvClock_MonoMs())) {
        rc = GV_ECONN;
    }
    else if (n > GV_BODY_DRAIN_MAX_BYTES ||
             (n > GV_BODY_MAX_BYTES && expect != NULL)) {
        rc = GV_ETOOBIG;
    }
    else if (n <= GV_BODY_MAX_BYTES) {
        rc = GvBodyBudget_Reserve(call->counted, n);
    }
    pthread_mutex_unlock(&f->budget_lock);
    return rc;
}

/* Returns true if the body is not too large so far. */
static bool
is_kept(const gv_call_t *call)
{
    return MAX(call->received, call->announced) <= GV_BODY_MAX_BYTES;
}

/* Reserves memory for a body of this many bytes, of which n are new. Returns
   0, or a negative error if the connection is to be closed. */
static int
reserve(gv_call_t *call, size_t n, size_t need)
{
    gv_front_t *f = call->front;
    /* An array grows to the next power of two. */
    size_t size = need <= call->announced ? need : GvBodyBudget_Size(need);
    int rc = GV_ECONN;
    pthread_mutex_lock(&f->budget_lock);
    if (GvBodyBudget_Receive(call->counted, n)) {
        rc = is_kept(call) ? GvBodyBudget_Reserve(call->counted, size) : GV_OK;
    }
    pthread_mutex_unlock(&f->budget_lock);
    return rc;
}

/* Keeps a part of the body. One that grows over GV_BODY_MAX_BYTES is
   discarded. */
enum MHD_Result
GvFront_ReceiveBody(gv_call_t *call, const char *data, size_t n)
{
    gv_front_t *f = call->front;
    call->received += n;
    if (call->received > GV_BODY_DRAIN_MAX_BYTES ||
        reserve(call, n, call->received) != GV_OK) {
        return MHD_NO;
    }
    if (is_kept(call)) {
        g_byte_array_append(call->body, (const guint8 *)data, (guint)n);
    }
    else if (call->body->len > 0) {
        g_byte_array_free(call->body, TRUE);
        call->body = g_byte_array_new();
        pthread_mutex_lock(&f->budget_lock);
        GvBodyBudget_Release(call->counted);
        pthread_mutex_unlock(&f->budget_lock);
    }
    return MHD_YES;
}

/* Notes that the request is complete, so that its connection stays open. */
bool
GvFront_CompleteBody(gv_call_t *call)
{
    gv_front_t *f = call->front;
    pthread_mutex_lock(&f->budget_lock);
    bool stays = GvBodyBudget_Complete(call->counted);
    pthread_mutex_unlock(&f->budget_lock);
    return stays;
}

/* Releases the memory of a request that has ended. */
void
GvFront_EndBody(gv_call_t *call)
{
    gv_front_t *f = call->front;
    if (call->counted != NULL) {
        pthread_mutex_lock(&f->budget_lock);
        GvBodyBudget_End(call->counted, GvClock_MonoMs());
        pthread_mutex_unlock(&f->budget_lock);
    }
}

/* Shuts down the connections that have to give way; MHD then closes them. */
void
GvFront_CloseSlowCallers(gv_front_t *f)
{
    int64_t now = GvClock_MonoMs();
    int fd;
    pthread_mutex_lock(&f->budget_lock);
    while ((fd = GvBodyBudget_NextToClose(f->budget, now)) >= 0) {
        shutdown(fd, SHUT_RDWR);
        f->closed++;
    }
    int open = GvBodyBudget_Connections(f->budget);
    size_t bytes = GvBodyBudget_Bytes(f->budget);
    pthread_mutex_unlock(&f->budget_lock);
    if (f->closed > 0 && now >= f->log_due_ms) {
        GvLog_Write(GV_LOG_WARN,
                    "crowded: %d connections of slow callers closed, "
                    "%d open, %zu bytes of bodies",
                    f->closed, open, bytes);
        f->closed = 0;
        f->log_due_ms = now + GV_HTTP_LOG_INTERVAL_MS;
    }
}
