#include <glib.h>
#include <stdatomic.h>
#include <string.h>

#include "appender.h"
#include "checkpointer.h"
#include "fake_log.h"
#include "logreader.h"
#include "platform.h"

/* Replica, log reader and appender of one entry host. */
typedef struct {
    gv_replica_t *replica;
    gv_logreader_t *reader;
    gv_appender_t *appender;
    gv_replica_t *peer; /* copied by from_peer(), or NULL */
    atomic_int peer_calls;
} node_t;

static void
on_verdict(void *user, const gv_verdict_t *v)
{
    node_t *n = user;
    GvAppender_OnVerdict(n->appender, v);
}

/* Replaces the replica's state by a copy of the peer's. Returns false if there
   is no peer or the copy is not accepted. */
static bool
from_peer(void *user)
{
    node_t *n = user;
    atomic_fetch_add(&n->peer_calls, 1);
    if (n->peer == NULL) {
        return false;
    }
    msgpack_sbuffer sb;
    gv_ledger_t *l;
    msgpack_sbuffer_init(&sb);
    GvLedger_Save(GvReplica_Lock(n->peer), &sb);
    GvReplica_Unlock(n->peer);
    g_assert_cmpint(GvLedger_Load(GvStr_N(sb.data, sb.size), &l), ==, GV_OK);
    msgpack_sbuffer_destroy(&sb);
    return GvReplica_Replace(n->replica, l) == GV_OK;
}

static void
node_start(node_t *n, fake_t *f, const char *name)
{
    memset(n, 0, sizeof *n);
    n->replica = GvReplica_New();
    gv_appender_opts_t ao = {GvStr_C(f->addr), GvStr_C(name), 7};
    GvAppender_Start(&ao, &n->appender);
    gv_logreader_opts_t ro = {.platform_addr = GvStr_C(f->addr),
                              .replica = n->replica,
                              .on_verdict = on_verdict,
                              .fetch_from_peer = from_peer,
                              .user = n};
    GvLogReader_Start(&ro, &n->reader);
}

static void
node_stop(node_t *n)
{
    GvLogReader_Stop(n->reader);
    GvAppender_Stop(n->appender);
    GvReplica_Free(n->replica);
}

static uint64_t
digest(gv_replica_t *r)
{
    uint64_t d = GvLedger_Digest(GvReplica_Lock(r));
    GvReplica_Unlock(r);
    return d;
}

static uint64_t
next_of(gv_replica_t *r)
{
    uint64_t next = GvLedger_NextOffset(GvReplica_Lock(r));
    GvReplica_Unlock(r);
    return next;
}

/* Result of a submitted record. */
typedef struct {
    atomic_int calls; /* of on_done() */
    atomic_int err;
    atomic_int verdict; /* kind, or -1 for none */
} result_t;

static void
on_done(void *user, int err, const gv_verdict_t *v)
{
    result_t *r = user;
    atomic_store(&r->err, err);
    atomic_store(&r->verdict, v == NULL ? -1 : (int)v->kind);
    atomic_fetch_add(&r->calls, 1);
}

/* Submits a join record of a member and returns without waiting. */
static void
submit(node_t *n, const char *name, int timeout_ms, result_t *r)
{
    gv_member_t m = MEMBER(GvStr_C(name), GV_STR("k1"), 5);
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    GvLedger_PackMember(&sb, &m, GV_MEMBER_JOIN);
    ASSERT_OK(GvAppender_Submit(n->appender, "member",
                                GvStr_N(sb.data, sb.size), timeout_ms, on_done,
                                r));
    msgpack_sbuffer_destroy(&sb);
}

/* Waits until on_done() was called that often and checks that it was not
   called more often. */
static void
wait_calls(result_t *r, int calls)
{
    WAIT_FOR(atomic_load(&r->calls) >= calls, 15000);
    g_assert_cmpint(atomic_load(&r->calls), ==, calls);
}

/* Submits a join record of a member and waits for its result. */
static void
submit_wait(node_t *n, const char *name, result_t *r, int calls)
{
    submit(n, name, 10000, r);
    wait_calls(r, calls);
}

/* Guards against a malformed answer that is accepted as valid, and against
   errors that do not show whether the call took effect. */
TEST("/platform/client", test_client)
{
    fake_t f;
    fake_start(&f, 0);
    gv_platform_t *p = GvPlatform_New(GvStr_C(f.addr));
    gv_log_page_t page;
    gv_hostlist_t list;
    uint64_t first;
    bool sent;
    gv_str_t rec = GV_STR("r");
    static const gv_str_t bad[] = {
        GV_STR("\xc1"), GV_STR("\x93\x00\x01\x00"),
        GV_STR("\x94\x00\x03\x00\x91\x93\x01\x00\xc4\x01x"), /* gap */
        GV_STR("\x94\x00\x00\x00\x91\x93\x00\x00\xc4\x01x"), /* past the end */
        GV_STR("\x94\x05\x03\x00\x90")};                     /* first > next */
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        fake_answer(&f, 0, bad[i]);
        g_assert_cmpint(GvPlatform_Read(p, 0, 9, 0, &page), ==, GV_EIO);
        GvPlatform_ClearPage(&page);
        g_assert_cmpint(GvPlatform_Hosts(p, &list), ==, GV_EIO);
        g_assert_cmpint(list.n, ==, 0);
    }
    fake_answer(&f, 0, GV_STR("\x94\x05\x09\x07\x90"));
    g_assert_cmpint(GvPlatform_Read(p, 4, 9, 0, &page), ==, GV_EGONE);
    g_assert_cmpint((int)page.first, ==, 5);
    g_assert_cmpint((int)page.next, ==, 9);
    GvPlatform_ClearPage(&page);
    fake_answer(&f, 0, GV_STR("\x92\x00\x02")); /* wrong count */
    g_assert_cmpint(GvPlatform_Append(p, &rec, 1, &first, &sent), ==, GV_EIO);
    g_assert_true(sent);
    char *text = g_strnfill(2000, 'x'); /* longer than any answer */
    fake_answer(&f, 0, GvStr_C(text));
    g_assert_cmpint(GvPlatform_Append(p, &rec, 1, &first, &sent), ==, GV_EIO);
    g_assert_true(sent);
    g_free(text);
    fake_answer(&f, 413, GV_STR(""));
    g_assert_cmpint(GvPlatform_Append(p, &rec, 1, &first, &sent), ==,
                    GV_ETOOBIG);
    fake_answer(&f, 0, GV_STR(""));
    static const int map[][2] = {
        {404, GV_ENOENT}, {409, GV_ESTALE}, {400, GV_EINVAL}, {503, GV_ECONN}};
    for (size_t i = 0; i < G_N_ELEMENTS(map); i++) {
        fake_answer(&f, map[i][0], GV_STR(""));
        g_assert_cmpint(GvPlatform_HostOp(p, GV_HOSTOP_DRAIN, GV_STR("h"), 1),
                        ==, map[i][1]);
    }
    fake_stop(&f);
    g_assert_cmpint(GvPlatform_Append(p, &rec, 1, &first, &sent), ==,
                    GV_ECONN);
    g_assert_false(sent);
    GvPlatform_Free(p);
}

/* Guards against a record that takes effect twice, and against two calls of
   the callback, when an answer is lost or an append is delivered twice. */
TEST("/platform/append-once", test_append_once)
{
    fake_t f;
    node_t n;
    result_t r = {0};
    fake_start(&f, 0);
    f.lost_responses = 2;
    f.duplicated_appends = 1;
    node_start(&n, &f, "e1");
    submit_wait(&n, "m1", &r, 1);
    g_assert_cmpint(atomic_load(&r.verdict), ==, GV_VERDICT_ACCEPTED);
    submit_wait(&n, "m1", &r, 2);
    g_assert_cmpint(atomic_load(&r.verdict), ==, GV_VERDICT_REJECTED);
    const gv_ledger_t *l = GvReplica_Lock(n.replica);
    g_assert_cmpint((int)GvLedger_Members(l)->len, ==, 1);
    GvReplica_Unlock(n.replica);
    node_stop(&n);
    fake_stop(&f);
}

/* Guards against a wrong result of an append: GV_EREFUSED is only for records
   that cannot be in the log, GV_ETIMEDOUT for those that may be. */
TEST("/platform/append-fate", test_append_fate)
{
    fake_t f;
    node_t n;
    result_t unknown = {0};
    result_t never = {0};
    fake_start(&f, 0);
    node_start(&n, &f, "e1");
    fake_answer(&f, 503, GV_STR(""));
    submit(&n, "m1", 600, &unknown);
    g_usleep(100000);
    submit(&n, "m2", 600, &never); /* waits behind the outstanding batch */
    wait_calls(&unknown, 1);
    wait_calls(&never, 1);
    g_assert_cmpint(atomic_load(&unknown.err), ==, GV_ETIMEDOUT);
    g_assert_cmpint(atomic_load(&never.err), ==, GV_EREFUSED);
    /* The outstanding batch is still retried and takes effect. */
    fake_answer(&f, 0, GV_STR(""));
    WAIT_FOR(next_of(n.replica) > 0, 10000);
    g_assert_cmpint((int)next_of(n.replica), ==, 1);
    GvServer_SetRefusing(f.server, true);
    result_t refused = {0};
    submit(&n, "m3", 300, &refused);
    wait_calls(&refused, 1);
    g_assert_cmpint(atomic_load(&refused.err), ==, GV_EREFUSED);
    node_stop(&n);
    fake_stop(&f);
}

/* Guards against an entry host that starts late and skips records that are no
   longer retained, and against one that starts without them although the log
   has no checkpoint. */
TEST("/platform/checkpoint", test_checkpoint)
{
    fake_t f;
    node_t a;
    node_t b;
    result_t r = {0};
    fake_start(&f, 8);
    node_start(&a, &f, "e1");
    for (int i = 0; i < 10; i++) {
        char name[8];
        g_snprintf(name, sizeof name, "m%d", i);
        submit_wait(&a, name, &r, i + 1);
    }
    /* Only offsets 2 to 9 are retained and there is no checkpoint, so the
       state can come only from a peer. */
    node_start(&b, &f, "e2");
    g_usleep(300000);
    g_assert_cmpint((int)next_of(b.replica), ==, 0);
    g_assert_false(GvLogReader_PlatformOk(b.reader));
    g_assert_cmpint(atomic_load(&b.peer_calls), >, 0);
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    GvLedger_PackCheckpoint(&sb, GvReplica_Lock(a.replica));
    GvReplica_Unlock(a.replica);
    GvAppender_Submit(a.appender, "checkpoint", GvStr_N(sb.data, sb.size),
                      10000, on_done, &r);
    msgpack_sbuffer_destroy(&sb);
    wait_calls(&r, 11);
    submit_wait(&a, "m10", &r, 12);
    WAIT_FOR(next_of(b.replica) >= 12, 10000);
    g_assert_cmpint(digest(a.replica), ==, digest(b.replica));
    g_assert_cmpint(GvLogReader_SyncToHead(b.reader, 5000), ==, GV_OK);
    node_stop(&b);
    node_stop(&a);
    fake_stop(&f);
}

/* Guards against an applied offset that decreases, which would revert settings
   and claims: in an outage, after a copy from a peer, and when the log has
   lost its records. */
TEST("/platform/never-back", test_never_back)
{
    fake_t f;
    node_t a;
    node_t b;
    result_t r = {0};
    fake_start(&f, 0);
    node_start(&a, &f, "e1");
    submit_wait(&a, "m1", &r, 1);
    fake_answer(&f, 503, GV_STR(""));
    node_start(&b, &f, "e2");
    b.peer = a.replica;
    WAIT_FOR(next_of(b.replica) >= 1, 10000);
    g_assert_cmpint(digest(a.replica), ==, digest(b.replica));
    g_assert_cmpint(GvLogReader_SyncToHead(b.reader, 1000), ==, GV_ECONN);
    pthread_mutex_lock(&f.lock);
    GvLogStore_Free(f.log);
    f.log = GvLogStore_New(0, 0);
    f.response_status = 0;
    pthread_mutex_unlock(&f.lock);
    g_usleep(1500000);
    g_assert_cmpint((int)next_of(b.replica), ==, 1);
    g_assert_false(GvLogReader_PlatformOk(b.reader));
    g_assert_cmpint(GvLogReader_SyncToHead(b.reader, 1000), ==, GV_ECONN);
    node_stop(&b);
    node_stop(&a);
    fake_stop(&f);
}

/* Guards against a checkpoint that is not renewed because the log gets no new
   records, and against a second checkpoint right after another one. */
TEST("/platform/checkpointer", test_checkpointer)
{
    fake_t f;
    node_t n;
    result_t r = {0};
    fake_start(&f, 0);
    GvLogStore_Free(f.log);
    f.log = GvLogStore_New(0, 60000);
    node_start(&n, &f, "e1");
    submit_wait(&n, "m1", &r, 1);
    g_assert_cmpint(GvLogReader_SyncToHead(n.reader, 5000), ==, GV_OK);
    gv_checkpointer_t *c = GvCheckpointer_New(n.replica, n.reader, n.appender);
    GvCheckpointer_Tick(c, 1000);
    GvCheckpointer_Tick(c, 15999); /* 1 ms before 1/4 of retention */
    GvCheckpointer_Tick(c, 30000); /* due: the random delay begins */
    g_usleep(200000);
    g_assert_cmpint((int)next_of(n.replica), ==, 1);
    GvCheckpointer_Tick(c, 30001 + GV_CHECKPOINT_DELAY_MS);
    WAIT_FOR(next_of(n.replica) >= 2, 10000);
    g_assert_cmpint((int)GvLedger_CoveredOffset(GvReplica_Lock(n.replica)), ==,
                    1);
    GvReplica_Unlock(n.replica);
    GvCheckpointer_Tick(c, 40000);
    GvCheckpointer_Tick(c, 41000 + GV_CHECKPOINT_DELAY_MS);
    g_usleep(200000);
    g_assert_cmpint((int)next_of(n.replica), ==, 2);
    node_stop(&n);
    GvCheckpointer_Free(c);
    fake_stop(&f);
}

/* Guards against a ring that returns records with wrong offsets, at which a
   peer would then apply them. */
TEST("/platform/ring", test_ring)
{
    gv_replica_t *r = GvReplica_New();
    gv_verdict_t v;
    msgpack_sbuffer sb;
    GArray *out = g_array_new(FALSE, FALSE, sizeof(gv_raw_record_t));
    msgpack_sbuffer_init(&sb);
    for (uint64_t i = 0; i < GV_REPLICA_RING_RECORDS + 10; i++) {
        char text[24];
        g_snprintf(text, sizeof text, "record %d", (int)i);
        gv_raw_record_t rec = {i, (int64_t)i, GvStr_C(text)};
        g_assert_cmpint(GvReplica_Apply(r, &rec, &v), ==, GV_OK);
        g_assert_cmpint(GvReplica_Apply(r, &rec, &v), ==, 1);
    }
    gv_raw_record_t gap = {GV_REPLICA_RING_RECORDS + 11, 0, GV_STR("x")};
    g_assert_cmpint(GvReplica_Apply(r, &gap, &v), ==, GV_ESTALE);
    g_assert_cmpint(GvReplica_Records(r, 9, 5, &sb, out), ==, GV_EGONE);
    g_assert_cmpint(GvReplica_Records(r, 10, 500, &sb, out), ==, GV_OK);
    g_assert_cmpint((int)out->len, ==, 500);
    for (guint i = 0; i < out->len; i++) {
        gv_raw_record_t *rec = &g_array_index(out, gv_raw_record_t, i);
        char want[24];
        g_snprintf(want, sizeof want, "record %d", (int)i + 10);
        g_assert_cmpint((int)rec->offset, ==, (int)i + 10);
        g_assert_true(GvStr_Equal(rec->bytes, GvStr_C(want)));
    }
    g_array_set_size(out, 0);
    g_assert_cmpint(GvReplica_Records(r, next_of(r), 5, &sb, out), ==, GV_OK);
    g_assert_cmpint((int)out->len, ==, 0);
    g_array_free(out, TRUE);
    msgpack_sbuffer_destroy(&sb);
    GvReplica_Free(r);
}

/* Guards against a log whose last checkpoint expires before a new one is
   written, and against checkpoints that are written too often. */
TEST("/platform/checkpoint-due", test_due)
{
    gv_retained_t all = {0, 2000, 0};
    gv_retained_t timed = {0, 10, 40000};
    gv_retained_t few = {100, 200, 0};
    gv_retained_t tiny = {100, 110, 0};
    g_assert_false(GvCheckpoint_IsDue(0, 0, 1 << 30, &timed));
    g_assert_false(GvCheckpoint_IsDue(1999, 0, 1 << 30, &all));
    g_assert_true(GvCheckpoint_IsDue(2000, 0, 0, &all));
    g_assert_false(GvCheckpoint_IsDue(2000, 1, 0, &all));
    g_assert_false(GvCheckpoint_IsDue(10, 9, 9999, &timed));
    g_assert_true(GvCheckpoint_IsDue(10, 9, 10000, &timed));
    g_assert_true(GvCheckpoint_IsDue(200, 149, 0, &few));
    g_assert_false(GvCheckpoint_IsDue(200, 150, 0, &few));
    g_assert_false(GvCheckpoint_IsDue(110, 90, 0, &tiny));
}

TEST_MAIN
