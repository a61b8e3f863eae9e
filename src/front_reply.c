#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "error.h"
#include "front_private.h"
#include "limits.h"

/* Responses to callers within the budget of memory for bodies. */

/* Keeps a copy of the answer to a call for its response. An answer that does
   not fit in the memory for bodies is replaced by a short one with the same
   outcome. */
void
GvFront_KeepAnswer(gv_call_t *call, const gv_answer_t *a)
{
    gv_front_t *f = call->front;
    pthread_mutex_lock(&f->budget_lock);
    int rc = GvBodyBudget_Answer(call->counted, a->body.n);
    pthread_mutex_unlock(&f->budget_lock);
    call->answer =
        rc == GV_OK ? GvAnswer_Copy(a)
                    : GvAnswer_Refuse(a->outcome, 502, 0,
                                      "too many large responses in progress");
}

/* Notes that the response is sent from now on. Returns true if the connection
   has to be closed after it. */
static bool
begin_response(gv_call_t *call)
{
    gv_front_t *f = call->front;
    pthread_mutex_lock(&f->budget_lock);
    bool leaves = GvBodyBudget_Respond(call->counted, GvClock_MonoMs());
    pthread_mutex_unlock(&f->budget_lock);
    return leaves;
}

/* MHD's content reader: passes on a part of the kept answer. */
static ssize_t
read_answer(void *cls, uint64_t pos, char *buf, size_t max)
{
    gv_call_t *call = cls;
    gv_front_t *f = call->front;
    size_t n = MIN(max, call->answer.body.n - (size_t)pos);
    memcpy(buf, call->answer.body.p + pos, n);
    pthread_mutex_lock(&f->budget_lock);
    GvBodyBudget_Sent(call->counted, n);
    pthread_mutex_unlock(&f->budget_lock);
    return (ssize_t)n;
}

/* Creates a response. A large kept answer is not copied once more, and what
   its caller has taken of it is noted. */
static struct MHD_Response *
create_response(gv_call_t *call, const gv_answer_t *a, gv_str_t body)
{
    if (a == &call->answer && body.n > GV_BODY_SMALL_BYTES) {
        return MHD_create_response_from_callback(body.n, GV_BODY_SMALL_BYTES,
                                                 read_answer, call, NULL);
    }
    return MHD_create_response_from_buffer(body.n, (void *)body.p,
                                           MHD_RESPMEM_MUST_COPY);
}

/* Queues the response to the caller. An answer without a body gets its reason
   as a line of text. */
enum MHD_Result
GvFront_Reply(gv_call_t *call, const gv_answer_t *a)
{
    char line[256];
    gv_str_t body = a->body;
    gv_str_t type = a->content_type;
    if (body.n == 0 && a->reason.n > 0) {
        int n = snprintf(line, sizeof line, "%.*s\n", GV_STR_ARG(a->reason));
        body = GvStr_N(line, MIN((size_t)n, sizeof line - 1));
        type = GV_STR("text/plain");
    }
    struct MHD_Response *r = create_response(call, a, body);
    if (type.n > 0) {
        /* MHD needs a NUL-terminated string. */
        char *t = g_strndup(type.p, type.n);
        MHD_add_response_header(r, "Content-Type", t);
        g_free(t);
    }
    MHD_add_response_header(r, "Gv-Outcome", GvOutcome_Name(a->outcome).p);
    char text[32];
    if (call->request_id != 0) {
        snprintf(text, sizeof text, "%" G_GINT64_MODIFIER "x",
                 (guint64)call->request_id);
        MHD_add_response_header(r, "Gv-Request-Id", text);
    }
    if (a->retry_after_ms > 0) {
        snprintf(text, sizeof text, "%d", (a->retry_after_ms + 999) / 1000);
        MHD_add_response_header(r, "Retry-After", text);
    }
    if (begin_response(call)) {
        MHD_add_response_header(r, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    /* An informational or invalid status cannot be passed on. */
    int status = a->status >= 200 && a->status <= 599 ? a->status : 502;
    enum MHD_Result rc = MHD_queue_response(call->conn, (unsigned)status, r);
    MHD_destroy_response(r);
    return rc;
}
