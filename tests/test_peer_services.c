#include <glib.h>
#include <string.h>

#include "clock.h"
#include "error.h"
#include "ledgersync.h"
#include "lending.h"
#include "limits.h"
#include "support.h"

/* One entry host with the ledger exchange and the lending of slots. */
typedef struct {
    const char *name;
    gv_replica_t *replica;
    gv_targets_t *targets;
    gv_views_t *views;
    gv_peers_t *peers;
    gv_ledgersync_t *sync;
    gv_lending_t *lending;
    gint queued;
    gint pumped;
    gint messages;
    int verdicts;
} node_t;

static void
on_message(void *user, gv_str_t from, uint64_t inc, const gv_message_t *m)
{
    (void)inc;
    node_t *n = user;
    GvLedgerSync_OnMessage(n->sync, from, m);
    GvLending_OnMessage(n->lending, from, m);
    g_atomic_int_inc(&n->messages);
}

static void
on_verdict(void *user, const gv_verdict_t *v)
{
    node_t *n = user;
    g_assert_cmpint((int)v->offset, >=, n->verdicts);
    n->verdicts++;
}

static int
queued_for(void *user, gv_str_t host)
{
    (void)host;
    return g_atomic_int_get(&((node_t *)user)->queued);
}

static void
pump(void *user)
{
    g_atomic_int_inc(&((node_t *)user)->pumped);
}

static void
start(node_t *n, const char *name, const char *dc)
{
    memset(n, 0, sizeof *n);
    n->name = name;
    n->replica = GvReplica_New();
    n->targets = GvTargets_New(GvStr_C(name), GvStr_C(dc));
    n->views = GvViews_New(GvStr_C(name), GvStr_C(dc), n->targets);
    GvViews_SetIncarnation(n->views, 1);
    gv_ledgersync_opts_t so = {.dc = GvStr_C(dc),
                               .region = GV_STR("r"),
                               .replica = n->replica,
                               .on_verdict = on_verdict,
                               .user = n};
    n->sync = GvLedgerSync_New(&so);
    gv_lending_opts_t lo = {.dc = GvStr_C(dc),
                            .targets = n->targets,
                            .views = n->views,
                            .queued_for = queued_for,
                            .pump = pump,
                            .user = n};
    n->lending = GvLending_New(&lo);
    gv_peers_opts_t po = {.listen_addr = GV_STR("127.0.0.1:0"),
                          .self = {GvStr_C(name), GvStr_C(dc), GV_STR("r"), 1},
                          .on_message = on_message,
                          .user = n};
    g_assert_cmpint(GvPeers_Start(&po, &n->peers), ==, GV_OK);
    GvLedgerSync_SetPeers(n->sync, n->peers);
    GvLending_SetPeers(n->lending, n->peers);
}

static void
stop(node_t *n)
{
    GvPeers_Stop(n->peers);
    GvLending_Free(n->lending);
    GvLedgerSync_Free(n->sync);
    GvPeers_Free(n->peers);
    GvViews_Free(n->views);
    GvTargets_Free(n->targets);
    GvReplica_Free(n->replica);
}

static void
meet(node_t *n, const node_t *other, const char *dc)
{
    char addr[32];
    g_snprintf(addr, sizeof addr, "127.0.0.1:%d", GvPeers_Port(other->peers));
    gv_peer_addr_t p = {GvStr_C(other->name), GvStr_C(dc), GV_STR("r"),
                        GvStr_C(addr)};
    GvPeers_SetAddr(n->peers, &p);
}

/* Sends a heartbeat with the sender's offset and idle slots. */
static void
beat(node_t *from, node_t *to, int idle)
{
    gv_load_t load = {GV_STR("svc"), 0, 0, idle, 0};
    gv_message_t m = {.kind = GV_MSG_HEARTBEAT};
    m.u.heartbeat = (gv_msg_heartbeat_t){.loads = &load, .n_loads = 1};
    m.u.heartbeat.offset = GvLedger_NextOffset(GvReplica_Lock(from->replica));
    GvReplica_Unlock(from->replica);
    gint before = g_atomic_int_get(&to->messages);
    g_assert_cmpint(GvPeers_Send(from->peers, GvStr_C(to->name), &m), ==, 0);
    WAIT_FOR(g_atomic_int_get(&to->messages) != before, 5000);
}

static void
apply(node_t *n, gv_str_t bytes)
{
    gv_verdict_t v;
    gv_raw_record_t r = {.append_ms = 1000, .bytes = bytes};
    r.offset = GvLedger_NextOffset(GvReplica_Lock(n->replica));
    GvReplica_Unlock(n->replica);
    g_assert_cmpint(GvReplica_Apply(n->replica, &r, &v), ==, GV_OK);
}

static uint64_t
next_of(node_t *n, uint64_t *digest)
{
    const gv_ledger_t *l = GvReplica_Lock(n->replica);
    uint64_t next = GvLedger_NextOffset(l);
    *digest = GvLedger_Digest(l);
    GvReplica_Unlock(n->replica);
    return next;
}

static void
assert_same(node_t *a, node_t *b)
{
    uint64_t da;
    uint64_t db;
    g_assert_cmpint(next_of(a, &da), ==, next_of(b, &db));
    g_assert_cmpint(da, ==, db);
}

/* An entry host that starts from another data centre's ledger, does not
   advance, takes an older ledger, or ends with another state. */
TEST("/ledgersync", test_ledger)
{
    node_t a;
    node_t b;
    node_t c;
    start(&a, "a", "k1");
    start(&b, "b", "k1");
    start(&c, "c", "k2");
    meet(&b, &c, "k2");
    for (int i = 0; i < 700; i++) {
        apply(&a, GV_STR("\x93\1\2\3"));
        apply(&c, GV_STR("\x93\1\2\3"));
    }
    apply(&c, GV_STR("x"));
    g_assert_false(GvLedgerSync_Fetch(b.sync));
    meet(&b, &a, "k1");
    /* One page has 512 records; then the heartbeat tells of more. */
    g_assert_true(GvLedgerSync_Fetch(b.sync));
    g_assert_cmpint(b.verdicts, ==, GV_LOG_READ_MAX_RECORDS);
    meet(&a, &b, "k1");
    beat(&a, &b, 0);
    g_assert_true(GvLedgerSync_Fetch(b.sync));
    g_assert_false(GvLedgerSync_Fetch(b.sync));
    assert_same(&a, &b);
    meet(&c, &b, "k2");
    beat(&c, &b, 0);
    g_assert_true(GvLedgerSync_Fetch(b.sync));
    assert_same(&c, &b);
    /* a is behind now, later further ahead than its ring reaches. */
    beat(&a, &b, 0);
    g_assert_false(GvLedgerSync_Fetch(b.sync));
    for (int i = 0; i < 2 * GV_REPLICA_RING_RECORDS; i++) {
        apply(&a, GV_STR("y"));
    }
    beat(&a, &b, 0);
    g_assert_true(GvLedgerSync_Fetch(b.sync));
    assert_same(&a, &b);
    g_assert_cmpint(b.verdicts, ==, 701);
    stop(&a);
    stop(&b);
    stop(&c);
}

static void
apply_record(node_t *n, const char *kind, msgpack_sbuffer *payload)
{
    static uint64_t sequence;
    msgpack_sbuffer sb;
    pack_record(&sb, kind, GV_STR("op"), 1, ++sequence, 1000, payload);
    apply(n, GvStr_N(sb.data, sb.size));
    msgpack_sbuffer_destroy(&sb);
}

/* A pool with one host of 8 slots and the members a and b. */
static void
fill_ledger(node_t *n)
{
    gv_document_t docs[] = {
        {GV_STR("f"), GV_STR("kind: service\nservice: svc\npool: p\n"
                             "availability: {objective_percent: 99, "
                             "min_hosts: 1}\n")},
        {GV_STR("g"), GV_STR("kind: pool\npool: p\nmax_out: 1\n")}};
    gv_ledger_host_t h = HOST("h1", "r1");
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    GvLedger_PackSettings(&sb, 0, docs, 2);
    apply_record(n, "settings", &sb);
    GvLedger_PackHost(&sb, &h);
    apply_record(n, "host", &sb);
    for (int i = 0; i < 2; i++) {
        gv_member_t m = MEMBER(GvStr_C(i == 0 ? "a" : "b"), GV_STR("k1"), 1);
        GvLedger_PackMember(&sb, &m, GV_MEMBER_JOIN);
        apply_record(n, "member", &sb);
    }
    msgpack_sbuffer_destroy(&sb);
    GvViews_Publish(n->views, GvReplica_Lock(n->replica));
    GvReplica_Unlock(n->replica);
}

static int
usable(node_t *n, int64_t now_ms)
{
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(gv_target_row_t));
    GvTargets_Report(n->targets, rows, now_ms);
    g_assert_cmpint(rows->len, ==, 1);
    int u = g_array_index(rows, gv_target_row_t, 0).usable;
    g_array_unref(rows);
    return u;
}

/* Waits until both entry hosts may use that many slots. */
static void
wait_usable(node_t *a, int ua, node_t *b, int ub)
{
    WAIT_FOR(usable(a, GvClock_MonoMs()) == ua &&
                 usable(b, GvClock_MonoMs()) == ub,
             5000);
}

/* Slots that are used at both ends, lent although they are needed, not given
   back, or kept after the end of the loan. */
TEST("/lending", test_lending)
{
    node_t a;
    node_t b;
    char addr[64];
    start(&a, "a", "k1");
    start(&b, "b", "k1");
    fill_ledger(&a);
    fill_ledger(&b);
    meet(&a, &b, "k1");
    meet(&b, &a, "k1");
    wait_usable(&a, 4, &b, 4);
    gv_target_t *t = GvTargets_Find(a.targets, GV_STR("h1"));
    for (int i = 0; i < 4; i++) {
        ASSERT_OK(GvTarget_Begin(t, GV_STR("p"), true, GvClock_MonoMs(), addr,
                                 sizeof addr));
    }
    beat(&b, &a, 4);
    g_atomic_int_set(&a.queued, 3);
    GvLending_Tick(a.lending, GvClock_MonoMs());
    wait_usable(&a, 7, &b, 1);
    g_assert_cmpint(a.pumped, ==, 1);
    /* Idle: given back before the loan's end. */
    g_atomic_int_set(&a.queued, 0);
    int64_t end = GvClock_MonoMs() + GV_LOAN_MS / 2;
    GvLending_Tick(a.lending, GvClock_MonoMs());
    wait_usable(&a, 4, &b, 4);
    g_assert_cmpint(GvClock_MonoMs(), <, end);
    /* b has work of its own for two of its slots. */
    g_atomic_int_set(&a.queued, 8);
    g_atomic_int_set(&b.queued, 2);
    GvLending_Tick(a.lending, GvClock_MonoMs() + GV_LOAN_REQUEST_MS);
    wait_usable(&a, 6, &b, 2);
    g_assert_cmpint(usable(&a, GvClock_MonoMs() + 2 * GV_LOAN_MS), ==, 4);
    g_assert_cmpint(usable(&b, GvClock_MonoMs() + 2 * GV_LOAN_MS), ==, 4);
    for (int i = 0; i < 4; i++) {
        GvTarget_End(t, GV_ATTEMPT_OK, false, 1, GvClock_MonoMs());
    }
    GvTarget_Unref(t);
    stop(&a);
    stop(&b);
}

TEST_MAIN
