#include <glib.h>
#include <stdatomic.h>
#include <string.h>

#include "fake_log.h"
#include "forward.h"
#include "logreader.h"
#include "ticket.h"

static fake_t platform;

typedef enum { RUN, NOT_RUN, HOLD, QUEUE, SPILL } run_mode_t;

/* One entry host; submit stands for the dispatcher. */
typedef struct {
    const char *name;
    gv_replica_t *replica;
    gv_logreader_t *reader;
    gv_appender_t *appender;
    gv_targets_t *targets;
    gv_views_t *views;
    gv_requests_t *requests;
    gv_peers_t *peers;
    gv_forward_t *forward;
    gint mode;
    gint started;
    _Atomic(gv_request_t *) held;
} node_t;

static node_t a;
static node_t b;
static node_t c; /* in another data centre */

static void
on_verdict(void *user, const gv_verdict_t *v)
{
    GvAppender_OnVerdict(((node_t *)user)->appender, v);
}

static void
on_batch(void *user)
{
    node_t *n = user;
    GvViews_Publish(n->views, GvReplica_Lock(n->replica));
    GvReplica_Unlock(n->replica);
}

static void
on_message(void *user, gv_str_t from, uint64_t inc, const gv_message_t *m)
{
    (void)inc;
    GvForward_OnMessage(((node_t *)user)->forward, from, m);
}

static void
end_run(node_t *n, gv_request_t *rq)
{
    char text[64];
    g_snprintf(text, sizeof text, "run %d at %s", n->started, n->name);
    gv_answer_t ans = {.outcome = GV_OUTCOME_RUN, .status = 200};
    ans.body = GvStr_Dup(GvStr_C(text));
    GvRequest_EndAttempt(rq, false);
    GvRequest_End(rq, &ans);
}

static void
submit(void *user, gv_request_t *rq)
{
    node_t *n = user;
    gint mode = g_atomic_int_get(&n->mode);
    if (mode == SPILL && !rq->opts.no_forward &&
        GvForward_Spill(n->forward, rq)) {
        return;
    }
    if (mode == NOT_RUN) {
        gv_answer_t ans = GvAnswer_Refuse(GV_OUTCOME_NOT_RUN, 503, 0, "full");
        GvRequest_End(rq, &ans);
        return;
    }
    if (mode != QUEUE) {
        g_atomic_int_inc(&n->started);
        GvRequest_BeginAttempt(rq);
    }
    if (mode == HOLD || mode == QUEUE) {
        atomic_store(&n->held, GvRequest_Ref(rq));
        return;
    }
    end_run(n, rq);
}

static void
start(node_t *n, const char *name, const char *dc, uint64_t incarnation)
{
    memset(n, 0, sizeof *n);
    n->name = name;
    n->replica = GvReplica_New();
    n->targets = GvTargets_New(GvStr_C(name), GvStr_C(dc));
    n->views = GvViews_New(GvStr_C(name), GvStr_C(dc), n->targets);
    GvViews_SetIncarnation(n->views, incarnation);
    n->requests = GvRequests_New(1000);
    gv_appender_opts_t ao = {GvStr_C(platform.addr), GvStr_C(name),
                             incarnation};
    g_assert_cmpint(GvAppender_Start(&ao, &n->appender), ==, GV_OK);
    gv_logreader_opts_t ro = {.platform_addr = GvStr_C(platform.addr),
                              .replica = n->replica,
                              .on_verdict = on_verdict,
                              .on_batch = on_batch,
                              .user = n};
    g_assert_cmpint(GvLogReader_Start(&ro, &n->reader), ==, GV_OK);
    gv_forward_opts_t fo = {.self = GvStr_C(name),
                            .dc = GvStr_C(dc),
                            .region = GV_STR("r"),
                            .incarnation = incarnation,
                            .requests = n->requests,
                            .replica = n->replica,
                            .views = n->views,
                            .appender = n->appender,
                            .submit = submit,
                            .user = n};
    n->forward = GvForward_New(&fo);
    gv_peers_opts_t po = {
        .listen_addr = GV_STR("127.0.0.1:0"),
        .self = {GvStr_C(name), GvStr_C(dc), GV_STR("r"), incarnation},
        .on_message = on_message,
        .user = n};
    g_assert_cmpint(GvPeers_Start(&po, &n->peers), ==, GV_OK);
    GvForward_SetPeers(n->forward, n->peers);
    gv_member_t m = MEMBER(GvStr_C(name), GvStr_C(dc), incarnation);
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    GvLedger_PackMember(&sb, &m, GV_MEMBER_JOIN);
    GvAppender_Submit(n->appender, "member", GvStr_N(sb.data, sb.size), 5000,
                      NULL, NULL);
    msgpack_sbuffer_destroy(&sb);
    bool joined = false;
    for (int i = 0; !joined && i < 5000; i++) {
        joined = GvView_Acquire(n->views)->joined;
        GvView_Release();
        g_usleep(1000);
    }
    g_assert_true(joined);
}

static void
stop(node_t *n)
{
    GvLogReader_Stop(n->reader);
    GvAppender_Stop(n->appender);
    GvPeers_Stop(n->peers);
    g_assert_cmpint(GvRequests_Count(n->requests), ==, 0);
    GvForward_Free(n->forward);
    GvPeers_Free(n->peers);
    GvRequests_Free(n->requests);
    GvViews_Free(n->views);
    GvTargets_Free(n->targets);
    GvReplica_Free(n->replica);
}

static void
meet(node_t *n, node_t *other)
{
    char addr[32];
    g_snprintf(addr, sizeof addr, "127.0.0.1:%d", GvPeers_Port(other->peers));
    gv_peer_addr_t p = {.name = GvStr_C(other->name), .addr = GvStr_C(addr)};
    GvPeers_SetAddr(n->peers, &p);
}

/* A submission and its answer. */
typedef struct {
    gint done;
    gv_outcome_t outcome;
    int status;
    char body[64];
    gv_request_t *rq;
} sub_t;

static void
on_done(void *user, gv_request_t *rq, const gv_answer_t *ans)
{
    (void)rq;
    sub_t *s = user;
    s->outcome = ans->outcome;
    s->status = ans->status;
    g_strlcpy(s->body, ans->body.p != NULL ? ans->body.p : "", sizeof s->body);
    g_atomic_int_inc(&s->done);
}

static void
begin(node_t *n, const char *ticket, const char *key, sub_t *s)
{
    memset(s, 0, sizeof *s);
    gv_request_opts_t o = {.service = GV_STR("svc"),
                           .method = GV_STR("POST"),
                           .path = GV_STR("/"),
                           .ticket = GvStr_C(ticket),
                           .key = GvStr_C(key),
                           .body = GvStr_Dup(GV_STR("in")),
                           .deadline_ms = GvClock_MonoMs() + 8000,
                           .done = on_done,
                           .user = s};
    g_assert_cmpint(GvRequest_New(n->requests, &o, 0, &s->rq), ==, GV_OK);
    GvForward_Run(n->forward, s->rq);
}

static void
finish(sub_t *s, gv_outcome_t outcome, const char *body)
{
    WAIT_FOR(g_atomic_int_get(&s->done) != 0, 10000);
    g_assert_cmpint(s->done, ==, 1);
    g_assert_cmpint(s->outcome, ==, outcome);
    if (body != NULL) {
        g_assert_cmpstr(s->body, ==, body);
    }
    GvRequest_Unref(s->rq);
}

/* Submits and waits for the answer. */
static void
run(node_t *n, const char *ticket, const char *key, sub_t *s,
    gv_outcome_t outcome, const char *body)
{
    begin(n, ticket, key, s);
    finish(s, outcome, body);
}

static gv_request_t *
wait_held(node_t *n)
{
    gv_request_t *rq;
    while ((rq = atomic_load(&n->held)) == NULL) {
        g_usleep(1000);
    }
    atomic_store(&n->held, NULL);
    return rq;
}

static void
reset(run_mode_t ma, run_mode_t mb, run_mode_t mc)
{
    node_t *all[] = {&a, &b, &c};
    run_mode_t modes[] = {ma, mb, mc};
    for (int i = 0; i < 3; i++) {
        g_atomic_int_set(&all[i]->started, 0);
        g_atomic_int_set(&all[i]->mode, (gint)modes[i]);
    }
}

/* A ticket that runs twice, or a repeat that does not get the same response,
   here or through another entry host; also when the first caller leaves. */
TEST("/forward/ticket", test_ticket)
{
    char t[GV_TICKET_TEXT_BYTES];
    sub_t s[4];
    reset(HOLD, RUN, RUN);
    g_assert_cmpint(GvForward_IssueTicket(a.forward, t, sizeof t), >, 0);
    begin(&a, t, "", &s[0]);
    begin(&a, t, "", &s[1]);
    begin(&b, t, "", &s[2]);
    gv_request_t *held = wait_held(&a);
    g_usleep(100000);
    GvRequest_Cancel(s[0].rq, "left");
    finish(&s[0], GV_OUTCOME_UNKNOWN, "");
    end_run(&a, held);
    GvRequest_Unref(held);
    finish(&s[1], GV_OUTCOME_RUN, "run 1 at a");
    finish(&s[2], GV_OUTCOME_RUN, "run 1 at a");
    run(&b, t, "", &s[3], GV_OUTCOME_RUN, "run 1 at a");
    g_assert_cmpint(a.started, ==, 1);
    g_assert_cmpint(b.started, ==, 0);
}

/* Outcomes that claim too much: not-run for a ticket that may have run, or a
   ticket that stays blocked after a run that was refused. */
TEST("/forward/ticket-outcomes", test_ticket_outcomes)
{
    char t[GV_TICKET_TEXT_BYTES];
    sub_t s;
    reset(NOT_RUN, RUN, RUN);
    g_assert_cmpint(GvForward_IssueTicket(a.forward, t, sizeof t), >, 0);
    run(&b, t, "", &s, GV_OUTCOME_NOT_RUN, NULL);
    g_assert_cmpint(s.status, ==, 503);
    reset(RUN, RUN, RUN);
    run(&b, t, "", &s, GV_OUTCOME_RUN, "run 1 at a");
    run(&a, "x", "", &s, GV_OUTCOME_NOT_RUN, NULL);
    run(&b, "a.1.999999.1", "", &s, GV_OUTCOME_NOT_RUN, NULL);
    run(&b, "a.2.1.1", "", &s, GV_OUTCOME_UNKNOWN, NULL);
    run(&b, "gone.1.1.1", "", &s, GV_OUTCOME_UNKNOWN, NULL);
    g_assert_cmpint(a.started, ==, 1);
}

/* A run that goes on, or blocks its ticket, although its last caller left
   before it was started. */
TEST("/forward/ticket-cancel", test_ticket_cancel)
{
    char t[GV_TICKET_TEXT_BYTES];
    sub_t s[2];
    reset(QUEUE, RUN, RUN);
    g_assert_cmpint(GvForward_IssueTicket(a.forward, t, sizeof t), >, 0);
    begin(&a, t, "", &s[0]);
    begin(&a, t, "", &s[1]);
    gv_request_t *held = wait_held(&a);
    GvRequest_Cancel(s[0].rq, "left");
    g_assert_false(GvRequest_HasEnded(held));
    GvRequest_Cancel(s[1].rq, "left");
    g_assert_true(GvRequest_HasEnded(held));
    GvRequest_Unref(held);
    finish(&s[0], GV_OUTCOME_UNKNOWN, NULL);
    finish(&s[1], GV_OUTCOME_UNKNOWN, NULL);
    reset(RUN, RUN, RUN);
    run(&a, t, "", &s[0], GV_OUTCOME_RUN, "run 1 at a");
}

/* A ticket that its caller cancelled in the queue and that is told as unknown,
   or that runs later; not-run for one that others wait for or that runs. */
TEST("/forward/ticket-withdrawn", test_ticket_withdrawn)
{
    char t[GV_TICKET_TEXT_BYTES];
    sub_t s[2];
    reset(QUEUE, RUN, RUN);
    g_assert_cmpint(GvForward_IssueTicket(a.forward, t, sizeof t), >, 0);
    begin(&a, t, "", &s[0]);
    begin(&a, t, "", &s[1]);
    gv_request_t *held = wait_held(&a);
    g_assert_true(GvForward_Cancel(a.forward, s[0].rq, "cancelled"));
    finish(&s[0], GV_OUTCOME_UNKNOWN, NULL);
    g_assert_false(GvRequest_HasEnded(held));
    g_assert_true(GvForward_Cancel(a.forward, s[1].rq, "cancelled"));
    finish(&s[1], GV_OUTCOME_NOT_RUN, NULL);
    g_assert_true(GvRequest_HasEnded(held));
    GvRequest_Unref(held);
    reset(RUN, RUN, RUN);
    run(&a, t, "", &s[0], GV_OUTCOME_NOT_RUN, NULL);
    run(&b, t, "", &s[0], GV_OUTCOME_NOT_RUN, NULL);
    g_assert_cmpint(s[0].status, ==, 409);
    g_assert_cmpint(a.started, ==, 0);
    reset(HOLD, RUN, RUN);
    g_assert_cmpint(GvForward_IssueTicket(a.forward, t, sizeof t), >, 0);
    begin(&a, t, "", &s[0]);
    held = wait_held(&a);
    g_assert_true(GvForward_Cancel(a.forward, s[0].rq, "cancelled"));
    finish(&s[0], GV_OUTCOME_UNKNOWN, NULL);
    end_run(&a, held);
    GvRequest_Unref(held);
    run(&a, t, "", &s[0], GV_OUTCOME_RUN, "run 1 at a");
}

/* A key that is run by two entry hosts, and claims that are not batched. */
TEST("/forward/keys", test_keys)
{
    sub_t s[80];
    reset(RUN, RUN, RUN);
    uint64_t before = GvLogStore_Next(platform.log);
    for (int i = 0; i < 80; i++) {
        char key[16];
        g_snprintf(key, sizeof key, "k%d", i / 2);
        begin(i % 2 == 0 ? &a : &b, "", key, &s[i]);
    }
    for (int i = 0; i < 80; i++) {
        finish(&s[i], GV_OUTCOME_RUN, NULL);
        g_assert_cmpstr(s[i].body, ==, s[i - i % 2].body);
    }
    g_assert_cmpint(a.started + b.started, ==, 40);
    g_assert_cmpint(GvLogStore_Next(platform.log) - before, <, 40);
    /* The log is down: nothing is known about a new key. */
    GvServer_SetRefusing(platform.server, true);
    run(&a, "", "k0", &s[0], GV_OUTCOME_RUN, NULL);
    run(&a, "", "new", &s[0], GV_OUTCOME_UNKNOWN, NULL);
    GvServer_SetRefusing(platform.server, false);
    g_assert_cmpint(a.started + b.started, ==, 40);
}

/* Tells n that the peer has free slots, as its heartbeat would. */
static void
beat(node_t *from, node_t *to, int slots)
{
    gv_load_t load = {GV_STR("svc"), 0, 0, slots, 0};
    gv_message_t m = {.kind = GV_MSG_HEARTBEAT};
    m.u.heartbeat.loads = &load;
    m.u.heartbeat.n_loads = 1;
    g_assert_cmpint(GvPeers_Send(from->peers, GvStr_C(to->name), &m), ==, 0);
    g_usleep(100000);
}

/* A spilled request that runs at both ends, or that is retried although it may
   have run, or whose cancellation does not reach the peer. */
TEST("/forward/spill", test_spill)
{
    sub_t s;
    beat(&c, &a, 4);
    reset(SPILL, RUN, RUN);
    run(&a, "", "", &s, GV_OUTCOME_RUN, "run 1 at c");
    g_assert_cmpint(a.started, ==, 0);
    reset(SPILL, RUN, NOT_RUN);
    run(&a, "", "", &s, GV_OUTCOME_RUN, "run 1 at a");
    g_assert_cmpint(c.started, ==, 0);
    reset(SPILL, RUN, HOLD);
    begin(&a, "", "", &s);
    gv_request_t *held = wait_held(&c);
    GvRequest_Cancel(s.rq, "left");
    finish(&s, GV_OUTCOME_UNKNOWN, "");
    WAIT_FOR(GvRequest_HasEnded(held), 5000);
    GvRequest_Unref(held);
    /* The last free slot of the heartbeat; then none is left to spill to. */
    begin(&a, "", "", &s);
    held = wait_held(&c);
    sub_t here;
    run(&a, "", "", &here, GV_OUTCOME_RUN, "run 1 at a");
    /* The peer goes away after it has started the run. */
    end_run(&c, held);
    GvRequest_Unref(held);
    finish(&s, GV_OUTCOME_RUN, "run 2 at c");
    beat(&c, &a, 1);
    begin(&a, "", "", &s);
    held = wait_held(&c);
    GvPeers_Stop(c.peers);
    finish(&s, GV_OUTCOME_UNKNOWN, "");
    g_assert_cmpint(a.started, ==, 1);
    end_run(&c, held);
    GvRequest_Unref(held);
}

int
main(int argc, char **argv)
{
    fake_start(&platform, 0);
    platform.page = 99;
    start(&a, "a", "k1", 1);
    start(&b, "b", "k1", 1);
    start(&c, "c", "k2", 1);
    node_t *all[] = {&a, &b, &c};
    for (int i = 0; i < 9; i++) {
        meet(all[i / 3], all[i % 3]);
    }
    int failed = run_tests(&argc, &argv);
    stop(&a);
    stop(&b);
    stop(&c);
    fake_stop(&platform);
    return failed;
}
