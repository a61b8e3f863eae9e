#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>

#include "calls.h"
#include "clock.h"
#include "platform_limits.h"
#include "support.h"

/* The HTTP client against a server in the same loop. */

typedef struct {
    int fd;
    int served; /* requests of this connection */
    GString *in;
    GString *out; /* not yet sent */
} server_conn_t;

typedef struct {
    int fd;
    char addr[32];
    GPtrArray *conns;
    int accepts, requests, resets;
    GString *last;  /* request */
    GString *reply; /* empty: none */
    gsize piece;    /* bytes sent in one turn */
    bool close;     /* after the reply */
    int drop_after; /* requests, then a connection is closed unanswered */
} server_t;

typedef struct {
    int n; /* callbacks */
    gv_reply_t reply;
    char body[128];
    gv_calls_t *again; /* begins such a call in the callback */
    gv_call_opts_t opts;
} result_t;

#define OK_REPLY "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

static void
server_open(server_t *s, const char *reply)
{
    *s = (server_t){.piece = 65536, .drop_after = INT_MAX};
    s->fd = bind_loopback(s->addr, sizeof s->addr);
    g_assert_cmpint(listen(s->fd, 1024), ==, 0);
    (void)fcntl(s->fd, F_SETFL, O_NONBLOCK);
    s->conns = g_ptr_array_new();
    s->last = g_string_new("");
    s->reply = g_string_new(reply);
}

static void
server_drop(server_t *s, server_conn_t *sc)
{
    close(sc->fd);
    g_string_free(sc->in, TRUE);
    g_string_free(sc->out, TRUE);
    g_ptr_array_remove_fast(s->conns, sc);
    g_free(sc);
}

static void
server_close(server_t *s)
{
    while (s->conns->len > 0) {
        server_drop(s, g_ptr_array_index(s->conns, 0));
    }
    close(s->fd);
    g_ptr_array_free(s->conns, TRUE);
    g_string_free(s->last, TRUE);
    g_string_free(s->reply, TRUE);
}

/* Takes a whole request from the input. Returns false if there is none. */
static bool
take_request(server_t *s, server_conn_t *sc)
{
    const char *end = strstr(sc->in->str, "\r\n\r\n");
    const char *length = strstr(sc->in->str, "Content-Length: ");
    if (end == NULL) {
        return false;
    }
    gsize n = (gsize)(end + 4 - sc->in->str) +
              (length == NULL ? 0 : strtoul(length + 16, NULL, 10));
    if (sc->in->len < n) {
        return false;
    }
    g_assert_cmpuint(sc->in->len, ==, n);
    g_string_assign(s->last, sc->in->str);
    g_string_truncate(sc->in, 0);
    s->requests++;
    return true;
}

/* Serves one connection. Returns false if it is closed. */
static bool
serve(server_t *s, server_conn_t *sc)
{
    static char buf[65536];
    ssize_t n = recv(sc->fd, buf, sizeof buf, MSG_DONTWAIT);
    if (n == 0 || (n < 0 && errno != EAGAIN)) {
        s->resets += n < 0 && errno == ECONNRESET;
        return false;
    }
    g_string_append_len(sc->in, buf, MAX(n, 0));
    if (n > 0 && take_request(s, sc)) {
        if (sc->served++ >= s->drop_after) {
            return false;
        }
        g_string_append_len(sc->out, s->reply->str, (gssize)s->reply->len);
    }
    if (sc->out->len > 0) {
        n = send(sc->fd, sc->out->str, MIN(sc->out->len, s->piece),
                 MSG_DONTWAIT | MSG_NOSIGNAL);
        g_string_erase(sc->out, 0, MAX(n, 0));
        return sc->out->len > 0 || !s->close;
    }
    return true;
}

static void
server_step(server_t *s)
{
    int fd;
    while ((fd = accept4(s->fd, NULL, NULL, SOCK_NONBLOCK)) >= 0) {
        server_conn_t *sc = g_new0(server_conn_t, 1);
        sc->fd = fd;
        sc->in = g_string_new("");
        sc->out = g_string_new("");
        g_ptr_array_add(s->conns, sc);
        s->accepts++;
    }
    for (guint i = s->conns->len; i > 0; i--) {
        server_conn_t *sc = g_ptr_array_index(s->conns, i - 1);
        if (!serve(s, sc)) {
            server_drop(s, sc);
        }
    }
}

static void
done(void *user, const gv_reply_t *reply)
{
    result_t *r = user;
    r->n++;
    r->reply = *reply;
    g_snprintf(r->body, sizeof r->body, "%.*s",
               (int)MIN(reply->body.n, sizeof r->body), reply->body.p);
    if (r->again != NULL) {
        GvCalls_Begin(r->again, &r->opts);
    }
}

/* Fills in the options for a GET with a time-out of 5 s. */
static gv_call_opts_t
get(const char *addr, result_t *r)
{
    *r = (result_t){0};
    return (gv_call_opts_t){.addr = addr,
                            .path = "/x",
                            .timeout_ms = 5000,
                            .done = done,
                            .user = r};
}

/* Runs server and client for up to 10 s until condition_ holds. */
#define RUN_UNTIL(condition_)                                                 \
    do {                                                                      \
        int64_t until_ = GvClock_MonoMs() + 10000;                            \
        while (!(condition_) && GvClock_MonoMs() < until_) {                  \
            GvCalls_Step(c, NULL, 0, 1);                                      \
            server_step(&s);                                                  \
        }                                                                     \
        g_assert_true(condition_);                                            \
    } while (0)

/* Runs a call to its end and checks its reply. */
#define CALL(o_, r_, status_, sent_, broken_)                                 \
    do {                                                                      \
        int n_ = (r_).n + 1;                                                  \
        GvCalls_Begin(c, &(o_));                                              \
        RUN_UNTIL((r_).n == n_);                                              \
        g_assert_cmpint((r_).reply.status, ==, status_);                      \
        g_assert_cmpint((r_).reply.sent, ==, sent_);                          \
        g_assert_cmpint((r_).reply.broken, ==, broken_);                      \
    } while (0)

#define BEGIN_TEST(reply_)                                                    \
    gv_calls_t *c = GvCalls_New(GV_CALL_CONNECTIONS);                         \
    server_t s;                                                               \
    result_t r;                                                               \
    server_open(&s, reply_);                                                  \
    gv_call_opts_t o = get(s.addr, &r)

#define END_TEST                                                              \
    GvCalls_Free(c);                                                          \
    server_close(&s)

/* Guards against a new connection for each call, and against requests that
   differ from what callers asked for. */
TEST("/calls/reuse", test_reuse)
{
    const char *const headers[] = {"A: b", "Empty: ", NULL};
    BEGIN_TEST(OK_REPLY);
    for (int i = 0; i < 20; i++) {
        CALL(o, r, 200, true, false);
        g_assert_cmpstr(r.body, ==, "ok");
    }
    g_assert_cmpint(s.accepts, ==, 1);
    o.headers = headers;
    o.post = true;
    o.body = GV_STR("body");
    CALL(o, r, 200, true, false);
    char *want = g_strdup_printf("POST /x HTTP/1.1\r\nHost: %s\r\nA: b\r\n"
                                 "Content-Length: 4\r\n\r\nbody",
                                 s.addr);
    g_assert_cmpstr(s.last->str, ==, want);
    g_free(want);
    o.new_connection = true;
    CALL(o, r, 200, true, false);
    g_assert_cmpint(s.accepts, ==, 2);
    END_TEST;
}

/* Guards against a failed call when the peer closed a kept connection, and
   against a request that is sent three times. */
TEST("/calls/stale", test_stale)
{
    BEGIN_TEST(OK_REPLY);
    s.drop_after = 1;
    CALL(o, r, 200, true, false);
    CALL(o, r, 200, true, false);
    g_assert_cmpint(s.accepts, ==, 2);
    g_assert_cmpint(s.requests, ==, 3);
    s.drop_after = 0;
    CALL(o, r, 0, true, true);
    g_assert_cmpint(s.requests, ==, 5);
    /* Closed while idle: noticed before the next call. */
    s.drop_after = INT_MAX;
    CALL(o, r, 200, true, false);
    server_drop(&s, g_ptr_array_index(s.conns, 0));
    GvCalls_Step(c, NULL, 0, 1);
    s.requests = 0;
    CALL(o, r, 200, true, false);
    g_assert_cmpint(s.requests, ==, 1);
    /* Closed and not noticed before the request is written. */
    server_drop(&s, g_ptr_array_index(s.conns, 0));
    CALL(o, r, 200, true, false);
    END_TEST;
}

/* Guards against a reply to a hidden repetition: a POST whose connection broke
   off may have been executed, and the refusal of a second one would tell the
   caller that it was not. */
TEST("/calls/not_repeated", test_not_repeated)
{
    const struct linger reset = {.l_onoff = 1, .l_linger = 0};
    BEGIN_TEST(OK_REPLY);
    o.post = true;
    o.body = GV_STR("body");
    s.drop_after = 1;
    CALL(o, r, 200, true, false);
    s.requests = 0;
    CALL(o, r, 0, true, true);
    g_assert_cmpint(s.requests, ==, 1);
    g_assert_cmpint(s.accepts, ==, 1);
    /* One that may be executed twice is repeated. */
    o.idempotent = true;
    CALL(o, r, 200, true, false);
    CALL(o, r, 200, true, false);
    g_assert_cmpint(s.requests, ==, 4);
    /* So is one that could not be sent at all. */
    o.idempotent = false;
    s.drop_after = INT_MAX;
    CALL(o, r, 200, true, false);
    s.requests = 0;
    server_conn_t *sc = g_ptr_array_index(s.conns, 0);
    g_assert_cmpint(
        setsockopt(sc->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset), ==,
        0);
    server_drop(&s, sc);
    CALL(o, r, 200, true, false);
    g_assert_cmpint(s.requests, ==, 1);
    END_TEST;
}

/* Guards against a wrong conclusion about a peer that refuses, breaks off or
   does not answer. */
TEST("/calls/failures", test_failures)
{
    BEGIN_TEST("");
    o.timeout_ms = 500;
    CALL(o, r, 0, true, false);
    RUN_UNTIL(s.resets == 1);
    o.timeout_ms = 5000;
    s.drop_after = 0;
    CALL(o, r, 0, true, true);
    s.drop_after = INT_MAX;
    s.close = true;
    g_string_assign(s.reply, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
    CALL(o, r, 0, true, true);
    char addr[32];
    close(bind_loopback(addr, sizeof addr));
    o.addr = addr;
    CALL(o, r, 0, false, true);
    END_TEST;
}

/* Guards against a wait of the whole time-out for a peer that does not accept
   connections: its queue of one is full. */
TEST("/calls/connect_limit", test_connect_limit)
{
    BEGIN_TEST("");
    char addr[32];
    result_t others[8];
    int fd = bind_loopback(addr, sizeof addr);
    g_assert_cmpint(listen(fd, 0), ==, 0);
    for (int i = 0; i < 8; i++) {
        gv_call_opts_t other = get(addr, &others[i]);
        GvCalls_Begin(c, &other);
    }
    o.addr = addr;
    int64_t start = GvClock_MonoMs();
    CALL(o, r, 0, false, false);
    int64_t took = GvClock_MonoMs() - start;
    g_assert_cmpint(took, >=, GV_CALL_CONNECT_TIMEOUT_MS);
    g_assert_cmpint(took, <, o.timeout_ms);
    close(fd);
    END_TEST;
}

/* Guards against a time-out for a response, or a connection, that was there
   while the process was delayed. */
TEST("/calls/delayed", test_delayed)
{
    BEGIN_TEST(OK_REPLY);
    CALL(o, r, 200, true, false);
    o.timeout_ms = 300;
    GvCalls_Begin(c, &o);
    WAIT_FOR((server_step(&s), s.requests == 2), 5000);
    g_usleep(400000);
    GvCalls_Step(c, NULL, 0, 0);
    g_assert_cmpint(r.n, ==, 2);
    g_assert_cmpint(r.reply.status, ==, 200);
    o.new_connection = true;
    o.timeout_ms = 5000;
    GvCalls_Begin(c, &o);
    g_usleep((GV_CALL_CONNECT_TIMEOUT_MS + 100) * 1000);
    RUN_UNTIL(r.n == 3);
    g_assert_cmpint(r.reply.status, ==, 200);
    o.timeout_ms = 300;
    GvCalls_Begin(c, &o);
    g_usleep(400000);
    RUN_UNTIL(r.n == 4);
    g_assert_cmpint(r.reply.status, ==, 200);
    o.new_connection = false;
    g_string_assign(s.reply, "");
    o.timeout_ms = 50;
    GvCalls_Begin(c, &o);
    g_usleep(100000);
    GvCalls_Step(c, NULL, 0, 0);
    g_assert_cmpint(r.n, ==, 5);
    g_assert_cmpint(r.reply.status, ==, 0);
    END_TEST;
}

/* Guards against a request, or the repetition of one, that leaves after its
   permission has ended, and against one that can still be delivered then. */
TEST("/calls/permission", test_permission)
{
    BEGIN_TEST(OK_REPLY);
    gv_call_limits_t ended = {GvClock_BootMs(), INT64_MAX};
    o.limits = &ended;
    CALL(o, r, 0, false, false);
    o.limits = NULL;
    CALL(o, r, 200, true, false);
    o.limits = &ended;
    CALL(o, r, 0, false, false);
    ended = (gv_call_limits_t){INT64_MAX, GvClock_BootMs()};
    CALL(o, r, 0, false, false);
    g_assert_cmpint(s.requests, ==, 1);
    o.limits = NULL;
    CALL(o, r, 200, true, false);
    g_string_assign(s.reply, "");
    RUN_UNTIL(s.conns->len == 1);
    gv_call_limits_t soon = {INT64_MAX, GvClock_BootMs() + 500};
    int resets = s.resets;
    int64_t time_out = GvClock_MonoMs() + o.timeout_ms;
    o.limits = &soon;
    CALL(o, r, 0, true, false);
    g_assert_cmpint(GvClock_BootMs(), >=, soon.end_ms);
    g_assert_cmpint(GvClock_MonoMs(), <, time_out);
    RUN_UNTIL(s.resets > resets);
    g_string_assign(s.reply, OK_REPLY);
    /* A response that came in time counts, also after a delay. */
    o.limits = NULL;
    CALL(o, r, 200, true, false);
    s.requests = 0;
    soon.end_ms = GvClock_BootMs() + 500;
    o.limits = &soon;
    int before = r.n;
    GvCalls_Begin(c, &o);
    WAIT_FOR((server_step(&s), s.requests == 1), 5000);
    g_usleep(600000);
    GvCalls_Step(c, NULL, 0, 0);
    g_assert_cmpint(r.n, ==, before + 1);
    g_assert_cmpint(r.reply.status, ==, 200);
    o.limits = NULL;
    CALL(o, r, 200, true, false);
    g_string_assign(s.reply, "");
    soon = (gv_call_limits_t){GvClock_BootMs() + 500, INT64_MAX};
    o.limits = &soon;
    s.requests = 0;
    GvCalls_Begin(c, &o);
    RUN_UNTIL(GvClock_BootMs() > soon.send_until_ms);
    server_drop(&s, g_ptr_array_index(s.conns, 0));
    RUN_UNTIL(r.reply.broken);
    g_assert_true(r.reply.sent);
    g_assert_cmpint(s.requests, ==, 1);
    END_TEST;
}

/* Guards against one time-out after the other on kept connections that have
   all fallen silent, while new ones work. */
TEST("/calls/silent_kept", test_silent_kept)
{
    result_t rs[4];
    BEGIN_TEST(OK_REPLY);
    for (int i = 0; i < 4; i++) {
        gv_call_opts_t one = get(s.addr, &rs[i]);
        GvCalls_Begin(c, &one);
    }
    RUN_UNTIL(rs[0].n + rs[1].n + rs[2].n + rs[3].n == 4);
    g_assert_cmpint(s.accepts, ==, 4);
    GPtrArray *silent = s.conns; /* no longer served */
    s.conns = g_ptr_array_new();
    o.timeout_ms = 50;
    CALL(o, r, 0, true, false);
    o.timeout_ms = 5000;
    CALL(o, r, 200, true, false);
    g_assert_cmpint(s.accepts, ==, 5);
    g_ptr_array_extend(s.conns, silent, NULL, NULL);
    g_ptr_array_free(silent, TRUE);
    END_TEST;
}

static const struct {
    const char *raw;
    int status;
    const char *body;
    bool close;  /* by the server, after the response */
    int accepts; /* of two calls */
} responses[] = {
    {OK_REPLY, 200, "ok", false, 1},
    {"HTTP/1.1 204 No Content\r\n\r\n", 204, "", false, 1},
    {"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", 500, "", false, 1},
    {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 X\r\nA: b\r\n\r\n" OK_REPLY,
     200, "ok", false, 1},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
     "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: u\r\n\r\n",
     200, "abcde", false, 1},
    {"HTTP/1.1 200 OK\r\n\r\nto the end", 200, "to the end", true, 2},
    {"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, "ok", false, 2},
    {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
     200, "ok", false, 2},
    {OK_REPLY "more", 200, "ok", false, 2},
    {"HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: y\r\n\r\n", 0, "",
     false, 2},
    {"SSH-2.0-x\r\n", 0, "", false, 2},
    {"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", 0, "", false, 2},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", 0, "",
     false, 2},
};

/* Guards against responses that are read wrongly, whole and byte by byte, and
   against the reuse of a connection that is in an unknown state. */
TEST("/calls/responses", test_responses)
{
    for (gsize i = 0; i < 2 * G_N_ELEMENTS(responses); i++) {
        BEGIN_TEST(responses[i / 2].raw);
        s.piece = i % 2 == 0 ? 65536 : 1;
        s.close = responses[i / 2].close;
        for (int call = 0; call < 2; call++) {
            CALL(o, r, responses[i / 2].status, true, false);
            g_assert_cmpstr(r.body, ==, responses[i / 2].body);
            /* Bytes after the response arrive before the next call. */
            for (int turn = 0; turn < 5; turn++) {
                server_step(&s);
                GvCalls_Step(c, NULL, 0, 1);
            }
        }
        g_assert_cmpint(s.accepts, ==, responses[i / 2].accepts);
        END_TEST;
    }
}

/* Guards against unbounded responses and against requests and responses that
   do not fit into the buffers of a socket. */
TEST("/calls/long", test_long)
{
    BEGIN_TEST("");
    for (int over = 0; over < 2; over++) {
        gsize n = GV_CALL_RESPONSE_MAX_BYTES + (gsize)over;
        g_string_printf(s.reply,
                        "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n", n);
        gsize head = s.reply->len;
        g_string_set_size(s.reply, head + n);
        memset(s.reply->str + head, 'x', n);
        CALL(o, r, over == 0 ? 200 : 0, true, false);
    }
    g_string_assign(s.reply, OK_REPLY);
    char *body = g_strnfill(8 * 1024 * 1024, 'y');
    o.post = true;
    o.body = GvStr_C(body);
    CALL(o, r, 200, true, false);
    g_assert_true(g_str_has_suffix(s.last->str, body));
    g_free(body);
    END_TEST;
}

/* Guards against lost or mixed up calls when many are open, and against more
   kept connections than a peer may have. */
TEST("/calls/many", test_many)
{
    enum { CALLS = 500 };
    static result_t many[CALLS];
    BEGIN_TEST(OK_REPLY);
    server_t t;
    server_open(&t, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes");
    for (int round = 0; round < 3; round++) {
        for (int i = 0; i < CALLS; i++) {
            o = get(round > 0 && i % 2 == 1 ? t.addr : s.addr, &many[i]);
            GvCalls_Begin(c, &o);
        }
        for (int i = 0; i < CALLS; i++) {
            RUN_UNTIL((server_step(&t), many[i].n == 1));
            g_assert_cmpint(many[i].reply.status, ==, 200);
            g_assert_cmpstr(many[i].body, ==,
                            round > 0 && i % 2 == 1 ? "yes" : "ok");
        }
        RUN_UNTIL(s.conns->len <= GV_CALL_PEER_CONNECTIONS);
    }
    GvCalls_Begin(c, &o);
    int ended = many[CALLS - 1].n;
    GvCalls_Free(c); /* without a callback */
    g_assert_cmpint(many[CALLS - 1].n, ==, ended);
    server_close(&s);
    server_close(&t);
}

/* Guards against more connections than allowed, opening ones included, and
   against other calls that take the connections kept for the store. */
TEST("/calls/bound", test_bound)
{
    enum { MAX = 8, CALLS = 20 };
    static result_t many[CALLS];
    BEGIN_TEST("");
    GvCalls_Free(c);
    c = GvCalls_New(MAX);
    for (int i = 0; i < CALLS; i++) {
        o = get(s.addr, &many[i]);
        o.store = i >= CALLS / 2;
        GvCalls_Begin(c, &o);
    }
    for (int i = 0; i < CALLS; i++) {
        bool opens = i % (CALLS / 2) < MAX / 2;
        if (!opens) {
            RUN_UNTIL(many[i].n == 1);
            g_assert_cmpint(many[i].reply.status, ==, 0);
            g_assert_false(many[i].reply.sent || many[i].reply.broken);
        }
    }
    RUN_UNTIL(s.conns->len == MAX);
    END_TEST;
}

/* Guards against requests to what is no address, against bytes that would end
   a header early, and against a loop when the callback tries again. */
TEST("/calls/malformed", test_malformed)
{
    static const char *const addrs[] = {
        NULL,
        "",
        "x",
        ":80",
        "127.0.0.1",
        "127.0.0.1:",
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:8x",
        "127.0.0.1:+80",
        "localhost:80",
        "127.0.0.1:80\r\nA: b",
        "1.2.3:80",
        "127.0.0.1:000000000000000000000000080"};
    const char *const headers[] = {"Expect-Instance: a\r\nB: c", NULL};
    BEGIN_TEST(OK_REPLY);
    for (gsize i = 0; i < G_N_ELEMENTS(addrs) + 3; i++) {
        o = get(i < G_N_ELEMENTS(addrs) ? addrs[i] : s.addr, &r);
        o.path = i == G_N_ELEMENTS(addrs) ? "/x HTTP/1.1\r\nA: b" : o.path;
        o.path = i == G_N_ELEMENTS(addrs) + 1 ? "x" : o.path;
        o.headers = i == G_N_ELEMENTS(addrs) + 2 ? headers : NULL;
        r.again = c;
        r.opts = o;
        GvCalls_Begin(c, &o);
        for (int step = 1; step <= 3; step++) {
            GvCalls_Step(c, NULL, 0, 5000);
            g_assert_cmpint(r.n, ==, step);
        }
        r.again = NULL;
        GvCalls_Step(c, NULL, 0, 0);
        g_assert_false(r.reply.status != 0 || r.reply.sent || r.reply.broken);
    }
    server_step(&s);
    g_assert_cmpint(s.accepts, ==, 0);
    END_TEST;
}

TEST_MAIN
