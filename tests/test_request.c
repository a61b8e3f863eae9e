#include <glib.h>

#include "error.h"
#include "request.h"
#include "support.h"

typedef struct {
    int done;
    int told;
    gv_outcome_t outcome;
    int status;
} seen_t;

static void
on_done(void *user, gv_request_t *rq, const gv_answer_t *a)
{
    seen_t *s = user;
    g_assert_true(GvRequest_HasEnded(rq));
    s->done++;
    s->outcome = a->outcome;
    s->status = a->status;
}

static void
on_ended(void *user, gv_request_t *rq)
{
    (void)rq;
    ((seen_t *)user)->told++;
}

static gv_request_t *
new_request(gv_requests_t *t, seen_t *s, int64_t deadline_ms)
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
    seen_t s = {0};
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
    g_assert_cmpint(s.told, ==, 1);
    g_assert_cmpint(s.status, ==, 200);
    GvRequest_Unref(rq);
    g_assert_cmpint(GvRequests_Count(t), ==, 0);
    GvRequests_Free(t);
}

static gv_outcome_t
outcome_after(bool began, bool ended, bool not_run)
{
    seen_t s = {0};
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

/* Guards against not-run for a request of which a byte may have left. */
TEST("/request/deadline_outcomes", test_deadline_outcomes)
{
    g_assert_cmpint(outcome_after(false, false, false), ==,
                    GV_OUTCOME_NOT_RUN);
    g_assert_cmpint(outcome_after(true, false, false), ==, GV_OUTCOME_UNKNOWN);
    g_assert_cmpint(outcome_after(true, true, true), ==, GV_OUTCOME_NOT_RUN);
    g_assert_cmpint(outcome_after(true, true, false), ==, GV_OUTCOME_UNKNOWN);
}

/* Guards against a table without a bound, and against deadlines that are
   served out of order. */
TEST("/request/bound_and_order", test_bound_and_order)
{
    seen_t s[40] = {0};
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
