#include <glib.h>

#include "error.h"
#include "request.h"
#include "support.h"

/* What the callbacks of a request received. */
typedef struct {
    int done;        /* calls of on_done() */
    int ended_calls; /* calls of on_ended() */
    gv_outcome_t outcome;
    int status;
    gv_requests_t *table; /* NULL: open is not set */
    int open;             /* requests that had not ended in on_done() */
} callbacks_t;

static void
on_done(void *user, gv_request_t *rq, const gv_answer_t *a)
{
    callbacks_t *s = user;
    g_assert_true(GvRequest_HasEnded(rq));
    s->done++;
    s->outcome = a->outcome;
    s->status = a->status;
    s->open = s->table == NULL ? -1 : GvRequests_CountOpen(s->table);
}

static void
on_ended(void *user, gv_request_t *rq)
{
    (void)rq;
    ((callbacks_t *)user)->ended_calls++;
}

/* Returns a new request, or NULL if the table is full. */
static gv_request_t *
new_request(gv_requests_t *t, callbacks_t *s, int64_t deadline_ms)
{
    gv_request_opts_t o = {.service = GV_STR("s"),
                           .method = GV_STR("POST"),
                           .path = GV_STR("/"),
                           .body = GvStr_Dup(GV_STR("body")),
                           .deadline_ms = deadline_ms,
                           .done = on_done,
                           .user = s};
    gv_request_t *rq = NULL;
    return GvRequest_New(t, &o, 0, &rq) == GV_OK ? rq : NULL;
}

/* Guards against a second answer to one request. */
TEST("/request/ends_once", test_ends_once)
{
    callbacks_t s = {0};
    gv_requests_t *t = GvRequests_New(8);
    gv_request_t *rq = new_request(t, &s, 100);
    g_assert_true(GvRequest_SetHolder(rq, on_ended, &s));
    gv_answer_t a = {.outcome = GV_OUTCOME_RUN, .status = 200};
    g_assert_true(GvRequest_End(rq, &a));
    g_assert_false(GvRequest_Cancel(rq, "late"));
    g_assert_false(GvRequest_BeginAttempt(rq));
    g_assert_false(GvRequest_SetHolder(rq, on_ended, &s));
    g_assert_null(GvRequest_Find(t, rq->id));
    GvRequests_Expire(t, 1000);
    g_assert_cmpint(s.done, ==, 1);
    g_assert_cmpint(s.ended_calls, ==, 1);
    g_assert_cmpint(s.status, ==, 200);
    GvRequest_Unref(rq);
    g_assert_cmpint(GvRequests_Count(t), ==, 0);
    GvRequests_Free(t);
}

/* Guards against a request that still counts as open once its caller may have
   the answer. */
TEST("/request/open_until_answered", test_open_until_answered)
{
    gv_requests_t *t = GvRequests_New(8);
    callbacks_t s = {.table = t};
    gv_request_t *rq = new_request(t, &s, 100);
    g_assert_cmpint(GvRequests_CountOpen(t), ==, 1);
    gv_answer_t a = {.outcome = GV_OUTCOME_RUN, .status = 200};
    g_assert_true(GvRequest_End(rq, &a));
    g_assert_cmpint(s.open, ==, 0);
    GvRequest_Unref(rq);
    GvRequests_Free(t);
}

/* Returns the outcome of a request that expires after its attempt began or
   ended; not_run is the result passed for the attempt. */
static gv_outcome_t
outcome_after(bool began, bool ended, bool not_run)
{
    callbacks_t s = {0};
    gv_requests_t *t = GvRequests_New(8);
    gv_request_t *rq = new_request(t, &s, 100);
    if (began) {
        g_assert_true(GvRequest_BeginAttempt(rq));
    }
    if (ended) {
        GvRequest_EndAttempt(rq, not_run);
    }
    GvRequests_Expire(t, 99);
    g_assert_cmpint(s.done, ==, 0);
    GvRequests_Expire(t, 100);
    g_assert_cmpint(s.done, ==, 1);
    GvRequest_Unref(rq);
    GvRequests_Free(t);
    return s.outcome;
}

/* Guards against not-run for a request of which bytes may have been sent. */
TEST("/request/deadline_outcomes", test_deadline_outcomes)
{
    g_assert_cmpint(outcome_after(false, false, false), ==,
                    GV_OUTCOME_NOT_RUN);
    g_assert_cmpint(outcome_after(true, false, false), ==, GV_OUTCOME_UNKNOWN);
    g_assert_cmpint(outcome_after(true, true, true), ==, GV_OUTCOME_NOT_RUN);
    g_assert_cmpint(outcome_after(true, true, false), ==, GV_OUTCOME_UNKNOWN);
}

/* Guards against a request table without a size limit, and against requests
   that do not expire in the order of their deadlines. */
TEST("/request/bound_and_order", test_bound_and_order)
{
    callbacks_t s[40] = {0};
    gv_requests_t *t = GvRequests_New(40);
    gv_request_t *rqs[40];
    for (int i = 0; i < 40; i++) {
        rqs[i] = new_request(t, &s[i], (i * 7) % 40);
        g_assert_nonnull(rqs[i]);
    }
    g_assert_null(new_request(t, &s[0], 100));
    GvRequests_Expire(t, 19);
    for (int i = 0; i < 40; i++) {
        g_assert_cmpint(s[i].done, ==, (i * 7) % 40 <= 19);
    }
    GvRequests_Expire(t, 40);
    for (int i = 0; i < 40; i++) {
        g_assert_cmpint(s[i].done, ==, 1);
        GvRequest_Unref(rqs[i]);
    }
    GvRequests_Free(t);
}

TEST_MAIN
