#include <glib.h>
#include <string.h>

#include "clock.h"
#include "error.h"
#include "frame.h"
#include "peer.h"
#include "support.h"

#define MANY 100

/* One peer module; EXECUTE is kept until MANY have come when hold is set, and
   then answered in reverse order with its own body. */
typedef struct {
    gv_peers_t *ps;
    char addr[32];
    bool hold;
    GArray *kept; /* kept_t */
    gint messages;
} node_t;

typedef struct {
    uint64_t number;
    char body[32];
    char from[64];
} kept_t;

static void
answer(node_t *n, const kept_t *k)
{
    gv_message_t m = {.kind = GV_MSG_RESULT, .number = k->number};
    m.u.result.outcome = GV_OUTCOME_RUN;
    m.u.result.body = GvStr_C(k->body);
    GvPeers_Send(n->ps, GvStr_C(k->from), &m);
}

static void
on_message(void *user, gv_str_t from, uint64_t inc, const gv_message_t *m)
{
    (void)inc;
    node_t *n = user;
    g_atomic_int_inc(&n->messages);
    if (m->kind != GV_MSG_EXECUTE) {
        return;
    }
    kept_t k = {.number = m->number};
    g_strlcpy(k.from, from.p, MIN(from.n + 1, sizeof k.from));
    gv_str_t body = m->u.execute.body;
    g_strlcpy(k.body, body.p, MIN(body.n + 1, sizeof k.body));
    if (!n->hold) {
        answer(n, &k);
        return;
    }
    g_array_append_val(n->kept, k);
    for (guint i = n->kept->len; n->kept->len >= MANY && i-- > 0;) {
        answer(n, &g_array_index(n->kept, kept_t, i));
        g_array_set_size(n->kept, i > 0 ? n->kept->len : 0);
    }
}

static void
start(node_t *n, const char *name, uint64_t incarnation)
{
    memset(n, 0, sizeof *n);
    n->kept = g_array_new(FALSE, FALSE, sizeof(kept_t));
    gv_peers_opts_t o = {
        .listen_addr = GV_STR("127.0.0.1:0"),
        .self = {GvStr_C(name), GV_STR("k1"), GV_STR("r"), incarnation},
        .on_message = on_message,
        .user = n};
    g_assert_cmpint(GvPeers_Start(&o, &n->ps), ==, GV_OK);
    g_snprintf(n->addr, sizeof n->addr, "127.0.0.1:%d", GvPeers_Port(n->ps));
}

static void
stop(node_t *n)
{
    GvPeers_Stop(n->ps);
    GvPeers_Free(n->ps);
    g_array_unref(n->kept);
}

static void
set_peer(node_t *n, const char *name, const char *addr)
{
    gv_peer_addr_t a = {GvStr_C(name), GV_STR("k1"), GV_STR("r"),
                        GvStr_C(addr)};
    GvPeers_SetAddr(n->ps, &a);
}

/* One call and what came of it; called counts the callbacks. */
typedef struct {
    char want[32];
    char got[32];
    int err;
    gint called;
} call_t;

static void
on_done(void *user, int err, const gv_message_t *m)
{
    call_t *c = user;
    c->err = err;
    if (m != NULL) {
        gv_str_t b = m->u.result.body;
        g_strlcpy(c->got, b.p, MIN(b.n + 1, sizeof c->got));
    }
    g_atomic_int_inc(&c->called);
}

static int
call(node_t *n, const char *to, call_t *c, int timeout_ms, size_t size)
{
    static int serial;
    memset(c, 0, sizeof *c);
    g_snprintf(c->want, sizeof c->want, "body %d", serial++);
    char *pad = g_strnfill(size, 'x');
    gv_message_t m = {.kind = GV_MSG_EXECUTE, .deadline_ms = timeout_ms};
    m.u.execute = (gv_msg_execute_t){.service = GV_STR("s"),
                                     .path = GvStr_C(pad),
                                     .body = GvStr_C(c->want)};
    int err = GvPeers_Call(n->ps, GvStr_C(to), &m, timeout_ms, on_done, c);
    g_free(pad);
    return err;
}

/* A peer of which the test plays the part on a bare socket. */
static int
raw_listen(node_t *n)
{
    char addr[32];
    int fd = bind_loopback(addr, sizeof addr);
    g_assert_cmpint(listen(fd, 8), ==, 0);
    set_peer(n, "raw", addr);
    return fd;
}

static int
raw_connect(const node_t *n)
{
    struct sockaddr_in in = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
                             .sin_port = htons(GvPeers_Port(n->ps))};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(connect(fd, (struct sockaddr *)&in, sizeof in), ==, 0);
    return fd;
}

static void
raw_send(int fd, const gv_message_t *m)
{
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    GvMessage_Pack(&sb, m);
    GByteArray *out = g_byte_array_new();
    GvFrame_Append(out, GvStr_N(sb.data, sb.size));
    g_assert_cmpint(send(fd, out->data, out->len, MSG_NOSIGNAL), ==, out->len);
    g_byte_array_unref(out);
    msgpack_sbuffer_destroy(&sb);
}

static void
raw_hello(int fd, uint64_t incarnation)
{
    gv_message_t m = {.kind = GV_MSG_HELLO};
    m.u.hello = (gv_msg_hello_t){GV_STR("raw"), GV_STR("k1"), GV_STR("r"),
                                 incarnation};
    raw_send(fd, &m);
}

/* Reads one frame. Returns its kind, or 0 at the end, and its number unless
   NULL. */
static int
raw_read(int fd, uint64_t *number)
{
    guint8 buf[4096];
    gv_str_t body;
    if (recv(fd, buf, 4, MSG_WAITALL) != 4) {
        return 0;
    }
    size_t n = GUINT32_FROM_BE(*(guint32 *)(void *)buf);
    g_assert_cmpint(recv(fd, buf + 4, n, MSG_WAITALL), ==, n);
    g_assert_cmpint(GvFrame_Next(GvStr_N(buf, n + 4), &body), >, 0);
    msgpack_unpacked un;
    gv_message_t m;
    g_assert_cmpint(GvMessage_Unpack(body, &un, &m), ==, GV_OK);
    int kind = m.kind;
    if (number != NULL) {
        *number = m.number;
    }
    GvMessage_Clear(&m);
    msgpack_unpacked_destroy(&un);
    return kind;
}

/* Reads until a message other than HELLO comes. */
static int
raw_next(int fd, uint64_t *number)
{
    int kind;
    do {
        kind = raw_read(fd, number);
    } while (kind == GV_MSG_HELLO);
    return kind;
}

/* Accepts the module's connection and exchanges HELLO. */
static int
raw_accept(int listener, uint64_t incarnation)
{
    int fd = accept(listener, NULL, NULL);
    g_assert_cmpint(raw_read(fd, NULL), ==, GV_MSG_HELLO);
    raw_hello(fd, incarnation);
    return fd;
}

/* An answer that reaches another call, or a call that is lost, when both
   sides use the same numbers and open the link at the same time. */
TEST("/peer/crossed", test_crossed)
{
    for (int round = 0; round < 3; round++) {
        node_t a;
        node_t b;
        call_t *ca = g_new(call_t, MANY);
        call_t *cb = g_new(call_t, MANY);
        start(&a, "a", 5);
        start(&b, "b", 5);
        a.hold = b.hold = true;
        set_peer(&a, "b", b.addr);
        set_peer(&b, "a", a.addr);
        for (int i = 0; i < MANY; i++) {
            /* The last ones come when the connection given up is closed. */
            g_usleep(i == MANY - 1 ? (GV_PEER_CONNECT_MS + 300) * 1000 : 0);
            g_assert_cmpint(call(&a, "b", &ca[i], 5000, 0), ==, GV_OK);
            g_assert_cmpint(call(&b, "a", &cb[i], 5000, 0), ==, GV_OK);
        }
        for (int i = 0; i < MANY; i++) {
            WAIT_FOR(g_atomic_int_get(&ca[i].called) >= 1, 10000);
            WAIT_FOR(g_atomic_int_get(&cb[i].called) >= 1, 10000);
            g_assert_cmpint(ca[i].err, ==, GV_OK);
            g_assert_cmpint(cb[i].err, ==, GV_OK);
            g_assert_cmpstr(ca[i].got, ==, ca[i].want);
            g_assert_cmpstr(cb[i].got, ==, cb[i].want);
        }
        uint64_t inc = 0;
        g_assert_true(GvPeers_IsAlive(a.ps, GV_STR("b"), &inc));
        g_assert_cmpint(inc, ==, 5);
        stop(&a);
        stop(&b);
        g_free(ca);
        g_free(cb);
    }
}

/* Makes large calls until the output bound is reached and stays reached while
   the socket's buffers may still grow. */
static GPtrArray *
fill(node_t *n)
{
    GPtrArray *calls = g_ptr_array_new_with_free_func(g_free);
    int full = 0;
    while (full < 10 && calls->len < 100) {
        call_t *c = g_new(call_t, 1);
        int err = call(n, "raw", c, 9000, 1000 * 1000);
        full = err == GV_EFULL ? full + 1 : 0;
        if (err == GV_OK) {
            g_ptr_array_add(calls, c);
        }
        else {
            g_free(c);
        }
        g_usleep(20000);
    }
    g_assert_cmpint(full, ==, 10);
    return calls;
}

/* Waits for all calls. Returns how many may have been sent: the first ones;
   the others must be refused. */
static int
count_sent(const GPtrArray *calls)
{
    int sent = 0;
    for (guint i = 0; i < calls->len; i++) {
        const call_t *c = g_ptr_array_index(calls, i);
        WAIT_FOR(g_atomic_int_get(&c->called) >= 1, 10000);
        sent += c->err == GV_ECONN;
        g_assert_cmpint(c->err, ==, (int)i < sent ? GV_ECONN : GV_EREFUSED);
    }
    return sent;
}

/* Reads until nothing has come for 300 ms. */
static void
drain(int fd)
{
    struct timeval t = {.tv_usec = 300000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof t);
    char *buf = g_malloc(1 << 20);
    while (recv(fd, buf, 1 << 20, 0) > 0) {
    }
    g_free(buf);
}

/* A call reported as possibly sent although nobody listens, or the other way
   round: a request whose bytes left is reported as certainly not sent. */
TEST("/peer/broken", test_broken)
{
    node_t a;
    call_t c[3];
    start(&a, "a", 1);
    g_assert_cmpint(call(&a, "raw", &c[0], 1000, 0), ==, GV_ENOENT);
    int listener = raw_listen(&a);
    close(listener);
    g_assert_cmpint(call(&a, "raw", &c[0], 1000, 0), ==, GV_OK);
    WAIT_FOR(g_atomic_int_get(&c[0].called) >= 1, 10000);
    g_assert_cmpint(c[0].err, ==, GV_EREFUSED);
    g_assert_cmpint(call(&a, "raw", &c[0], 1000, 0), ==, GV_ECONN);
    g_assert_false(GvPeers_IsAlive(a.ps, GV_STR("raw"), NULL));
    listener = raw_listen(&a);
    g_assert_cmpint(call(&a, "raw", &c[0], 5000, 0), ==, GV_OK);
    int fd = raw_accept(listener, 1);
    g_assert_cmpint(raw_read(fd, NULL), ==, GV_MSG_EXECUTE);
    close(fd);
    WAIT_FOR(g_atomic_int_get(&c[0].called) >= 1, 10000);
    g_assert_cmpint(c[0].err, ==, GV_ECONN);
    /* It reconnects by itself. With nobody reading, the first calls fill the
       socket's buffers and the last ones stay queued. */
    fd = raw_accept(listener, 1);
    GPtrArray *calls = fill(&a);
    close(fd);
    int sent = count_sent(calls);
    g_assert_cmpint(sent, >, 0);
    g_assert_cmpint(calls->len - sent, >=, 3);
    g_ptr_array_unref(calls);
    /* The same, but all is read before the close, so that the call whose
       write was cut short is completed later. */
    fd = raw_accept(listener, 1);
    calls = fill(&a);
    drain(fd);
    close(fd);
    g_assert_cmpint(count_sent(calls), ==, calls->len);
    stop(&a);
    g_ptr_array_unref(calls);
    close(listener);
}

/* A connection that goes silent and keeps its calls waiting for ever. */
TEST("/peer/silent", test_silent)
{
    node_t a;
    call_t c;
    start(&a, "a", 1);
    int listener = raw_listen(&a);
    g_assert_cmpint(call(&a, "raw", &c, 9000, 0), ==, GV_OK);
    int fd = raw_accept(listener, 1);
    int64_t begin = GvClock_MonoMs();
    WAIT_FOR(g_atomic_int_get(&c.called) >= 1, 10000);
    int64_t took = GvClock_MonoMs() - begin;
    g_assert_cmpint(c.err, ==, GV_ECONN);
    g_assert_cmpint(took, >=, GV_PEER_DEAD_MS - 100);
    g_assert_cmpint(took, <, GV_PEER_DEAD_MS + 2000);
    int again = raw_accept(listener, 1);
    g_assert_cmpint(call(&a, "raw", &c, 9000, 0), ==, GV_OK);
    g_assert_cmpint(raw_next(again, NULL), ==, GV_MSG_EXECUTE);
    stop(&a);
    g_assert_cmpint(c.called, ==, 1);
    g_assert_cmpint(c.err, ==, GV_ECONN);
    close(fd);
    close(again);
    close(listener);
}

/* Late, mismatched and unexpected answers that end a call. */
TEST("/peer/late", test_late)
{
    node_t a;
    call_t c;
    uint64_t first;
    uint64_t number;
    start(&a, "a", 1);
    int listener = raw_listen(&a);
    g_assert_cmpint(call(&a, "raw", &c, 200, 0), ==, GV_OK);
    int fd = raw_accept(listener, 1);
    g_assert_cmpint(raw_read(fd, &first), ==, GV_MSG_EXECUTE);
    WAIT_FOR(g_atomic_int_get(&c.called) >= 1, 10000);
    g_assert_cmpint(c.err, ==, GV_ETIMEDOUT);
    g_assert_cmpint(call(&a, "raw", &c, 5000, 0), ==, GV_OK);
    g_assert_cmpint(raw_next(fd, &number), ==, GV_MSG_EXECUTE);
    gv_message_t m = {.kind = GV_MSG_RESULT, .number = first};
    m.u.result.body = GV_STR("late");
    raw_send(fd, &m);
    m.number = number + 1;
    raw_send(fd, &m);
    m = (gv_message_t){.kind = GV_MSG_SLOT_LEND, .number = number};
    m.u.slots.host = GV_STR("h");
    raw_send(fd, &m);
    m = (gv_message_t){.kind = GV_MSG_RESULT, .number = number};
    m.u.result.body = GV_STR("right");
    raw_send(fd, &m);
    WAIT_FOR(g_atomic_int_get(&c.called) >= 1, 10000);
    g_assert_cmpint(c.err, ==, GV_OK);
    g_assert_cmpstr(c.got, ==, "right");
    stop(&a);
    close(fd);
    close(listener);
}

/* A call that waits for an answer of an earlier incarnation, and messages of
   that one that are still accepted. */
TEST("/peer/incarnation", test_incarnation)
{
    node_t a;
    call_t c;
    gv_message_t cancel = {.kind = GV_MSG_CANCEL, .number = 1};
    start(&a, "a", 1);
    int old = raw_connect(&a);
    raw_hello(old, 5);
    raw_send(old, &cancel);
    WAIT_FOR(g_atomic_int_get(&a.messages) >= 1, 10000);
    g_assert_cmpint(call(&a, "raw", &c, 5000, 0), ==, GV_OK);
    g_assert_cmpint(raw_next(old, NULL), ==, GV_MSG_EXECUTE);
    int fresh = raw_connect(&a);
    raw_hello(fresh, 6);
    WAIT_FOR(g_atomic_int_get(&c.called) >= 1, 10000);
    g_assert_cmpint(c.err, ==, GV_ECONN);
    g_assert_cmpint(raw_next(old, NULL), ==, 0);
    int stale = raw_connect(&a);
    raw_hello(stale, 5);
    g_assert_cmpint(raw_next(stale, NULL), ==, 0);
    g_assert_cmpint(call(&a, "raw", &c, 5000, 0), ==, GV_OK);
    g_assert_cmpint(raw_next(fresh, NULL), ==, GV_MSG_EXECUTE);
    close(old);
    close(fresh);
    close(stale);
    stop(&a);
}

/* Malformed input that is skipped or handled instead of ending the link. */
TEST("/peer/malformed", test_malformed)
{
    static const gv_str_t bad[] = {
        GV_STR("\0\0\0\0"), GV_STR("\0\x20\0\1"), GV_STR("\0\0\0\1\xc1"),
        GV_STR("\0\0\0\6\x95\1\5\1\0\x90\0\0\0\1\xc1")};
    node_t a;
    start(&a, "a", 1);
    for (size_t i = 0; i < G_N_ELEMENTS(bad) * 2; i++) {
        int fd = raw_connect(&a);
        if (i % 2 == 0) {
            raw_hello(fd, 1);
        }
        gv_str_t s = bad[i / 2];
        g_assert_cmpint(send(fd, s.p, s.n, MSG_NOSIGNAL), ==, s.n);
        g_assert_cmpint(raw_next(fd, NULL), ==, 0);
        close(fd);
    }
    /* Only the CANCEL in the last entry was valid, and only after HELLO. */
    g_assert_cmpint(a.messages, ==, 1);
    stop(&a);
}

TEST_MAIN
