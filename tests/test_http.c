#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#include "clock.h"
#include "error.h"
#include "httpclient.h"
#include "support.h"

/* A server that answers each request with the next step of a script. */
typedef struct {
    const char *send[8]; /* parts, 300 ms apart */
    bool close;          /* close the connection afterwards */
    bool silent;         /* never answer */
    int drips;           /* bytes sent after the parts, 300 ms apart */
} step_t;

typedef struct {
    const step_t *steps;
    int n_steps;
    int fd;
    char addr[32];
    gv_http_client_t *client;
    size_t body;        /* bytes in each request */
    atomic_bool unread; /* requests are not read for 5 s */
    bool sent;          /* told by the last exchange */
    pthread_t thread;
    atomic_int requests;
    atomic_int connections;
    atomic_bool stopping;
} server_t;

#define OK_ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

/* Reads one request with its body; false at the end of the connection. */
static bool
read_request(int fd)
{
    char buf[8192];
    size_t n = 0;
    for (;;) {
        ssize_t got = recv(fd, buf + n, sizeof buf - 1 - n, 0);
        if (got <= 0) {
            return false;
        }
        n += (size_t)got;
        buf[n] = '\0';
        const char *end = strstr(buf, "\r\n\r\n");
        const char *length = strcasestr(buf, "Content-Length:");
        size_t body = length == NULL
                          ? 0
                          : (size_t)g_ascii_strtoull(length + 15, NULL, 10);
        if (end != NULL && n >= (size_t)(end + 4 - buf) + body) {
            return true;
        }
    }
}

static void
serve_connection(server_t *s, int fd)
{
    bool unread = atomic_load(&s->unread);
    for (int i = 0; unread && !atomic_load(&s->stopping) && i < 500; i++) {
        g_usleep(10000);
    }
    while (!unread && !atomic_load(&s->stopping) && read_request(fd)) {
        int i = atomic_fetch_add(&s->requests, 1);
        if (i >= s->n_steps) {
            return;
        }
        const step_t *st = &s->steps[i];
        for (int k = 0; k < 8 && st->send[k] != NULL; k++) {
            g_usleep(k == 0 ? 0 : 300000);
            send(fd, st->send[k], strlen(st->send[k]), MSG_NOSIGNAL);
        }
        for (int k = 0; k < st->drips; k++) {
            g_usleep(300000);
            send(fd, "x", 1, MSG_NOSIGNAL);
        }
        while (st->silent && !atomic_load(&s->stopping)) {
            g_usleep(10000);
        }
        if (st->close) {
            return;
        }
    }
}

static void *
serve(void *user)
{
    server_t *s = user;
    for (;;) {
        int fd = accept(s->fd, NULL, NULL);
        if (fd < 0) {
            return NULL;
        }
        atomic_fetch_add(&s->connections, 1);
        struct timeval tv = {5, 0};
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof tv);
        serve_connection(s, fd);
        close(fd);
    }
}

static void
start(server_t *s, const step_t *steps, int n)
{
    memset(s, 0, sizeof *s);
    s->steps = steps;
    s->n_steps = n;
    s->client = GvHttp_New();
    s->fd = bind_loopback(s->addr, sizeof s->addr);
    g_assert_cmpint(listen(s->fd, 8), ==, 0);
    g_assert_cmpint(pthread_create(&s->thread, NULL, serve, s), ==, 0);
}

static void
stop(server_t *s)
{
    atomic_store(&s->stopping, true);
    shutdown(s->fd, SHUT_RDWR);
    pthread_join(s->thread, NULL);
    close(s->fd);
    s->fd = -1;
}

static void
finish(server_t *s)
{
    GvHttp_Free(s->client);
    if (s->fd >= 0) {
        stop(s);
    }
}

/* Makes one exchange; the answer is released at once. */
static int
call(server_t *s, const char *method)
{
    char *body = g_strnfill(s->body, 'x');
    gv_http_request_t rq = {.addr = GvStr_C(s->addr),
                            .method = GvStr_C(method),
                            .path = GV_STR("/x"),
                            .body = GvStr_N(body, s->body),
                            .idempotent = strcmp(method, "GET") == 0,
                            .timeout_ms = 1000,
                            .max_body = 100};
    gv_http_response_t a;
    int err = GvHttp_Do(s->client, &rq, &a);
    s->sent = a.sent;
    g_free(body);
    int res = err == GV_OK ? a.status : err;
    GvHttp_ClearResponse(&a);
    return res;
}

/* Guards against neon's resend of a non-idempotent request whose kept
   connection proves closed: the request would run twice. An idempotent one is
   resent. */
TEST("/http/no-resend", test_no_resend)
{
    static const step_t steps[] = {{.send = {OK_ANSWER}},
                                   {.close = true},
                                   {.send = {OK_ANSWER}, .close = true}};
    const char *const methods[] = {"POST", "GET"};
    for (int i = 0; i < 2; i++) {
        server_t s;
        start(&s, steps, 3);
        g_assert_cmpint(call(&s, "GET"), ==, 200);
        int want = i == 0 ? GV_ECONN : 200;
        g_assert_cmpint(call(&s, methods[i]), ==, want);
        g_assert_true(s.sent);
        g_assert_cmpint(atomic_load(&s.requests), ==, i == 0 ? 2 : 3);
        /* The POST used a connection of its own, the GET both. */
        g_assert_cmpint(atomic_load(&s.connections), ==, 2);
        finish(&s);
    }
}

/* Guards against "not-run" for a request that may have run, and against
   "unknown" for one that certainly did not. */
TEST("/http/sent", test_sent)
{
    static const step_t steps[] = {{.send = {OK_ANSWER}, .close = true}};
    const char *const methods[] = {"POST", "GET"};
    for (int i = 0; i < 2; i++) {
        server_t s;
        start(&s, steps, 1);
        g_assert_cmpint(call(&s, "GET"), ==, 200);
        g_assert_true(s.sent);
        stop(&s);
        /* The kept connection is closed and new ones are refused. */
        g_assert_cmpint(call(&s, methods[i]), ==, GV_ECONN);
        g_assert_cmpint(s.sent, ==, i == 1);
        g_assert_cmpint(call(&s, methods[i]), ==, GV_ECONN);
        g_assert_false(s.sent);
        finish(&s);
    }
}

/* Guards against passing on an answer that was cut or has no stated end, and
   against reading the rest of a refused answer as the next one. */
TEST("/http/bad-answers", test_bad_answers)
{
    static const step_t steps[] = {
        {.send = {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut"},
         .close = true},
        {.send = {"HTTP/1.1 200 OK\r\n\r\nno length"}, .close = true},
        {.send = {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "8\r\ncut"},
         .close = true},
        {.send = {"HTTP/1.1 200 OK\r\nContent-Length: 5, 5\r\n\r\ntwice"},
         .close = true},
        {.send = {"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n"
                  "0123456789012345678901234567890123456789012345678901234567"
                  "8901234567890123456789012345678901234567890"}},
        {.send = {"garbage\r\n\r\n"}, .close = true},
        {.send = {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "2\r\nok\r\n0\r\n\r\n"},
         .close = true},
    };
    const int want[] = {GV_ECONN,   GV_EINVAL, GV_ECONN, GV_ECONN,
                        GV_ETOOBIG, GV_ECONN,  200};
    server_t s;
    start(&s, steps, G_N_ELEMENTS(steps));
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        g_test_message("answer %zu", i);
        g_assert_cmpint(call(&s, "GET"), ==, want[i]);
        g_assert_true(s.sent);
    }
    g_assert_cmpint(atomic_load(&s.requests), ==, G_N_ELEMENTS(steps));
    finish(&s);
}

/* Guards against waits without an end: a silent server, and one whose answer
   comes in parts that each arrive in time. */
TEST("/http/deadline", test_deadline)
{
    static const step_t silent[] = {{.silent = true}};
    static const step_t slow[] = {
        {.send = {"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n", "a", "b",
                  "c", "d", "e", "f", "g"},
         .silent = true}};
    /* Each byte restarts neon's time-out. */
    static const step_t headers[] = {
        {.send = {"HTTP/1.1 200 OK\r\nX-A: "}, .drips = 15}};
    const step_t *const scripts[] = {silent, slow, headers};
    for (int i = 0; i < 3; i++) {
        server_t s;
        start(&s, scripts[i], 1);
        int64_t start_ms = GvClock_MonoMs();
        g_assert_cmpint(call(&s, "POST"), ==, GV_ETIMEDOUT);
        g_assert_true(s.sent);
        g_assert_cmpint(GvClock_MonoMs() - start_ms, <, 2000);
        finish(&s);
    }
}

/* Guards against a wait without an end in a write, for which neon has no
   time-out: the server accepts the connection and reads nothing. */
TEST("/http/unread", test_unread)
{
    const char *const methods[] = {"POST", "GET"};
    for (int i = 0; i < 2; i++) {
        server_t s;
        start(&s, NULL, 0);
        atomic_store(&s.unread, true);
        s.body = 16 * 1024 * 1024; /* more than the kernel buffers */
        int64_t start_ms = GvClock_MonoMs();
        g_assert_cmpint(call(&s, methods[i]), ==, GV_ETIMEDOUT);
        g_assert_true(s.sent);
        g_assert_cmpint(GvClock_MonoMs() - start_ms, <, 3000);
        finish(&s);
    }
}

/* Guards against reuse of a connection that the server may be closing. */
TEST("/http/idle", test_idle)
{
    static const step_t steps[] = {{.send = {OK_ANSWER}},
                                   {.send = {OK_ANSWER}},
                                   {.send = {OK_ANSWER}, .close = true}};
    server_t s;
    start(&s, steps, 3);
    g_assert_cmpint(call(&s, "GET"), ==, 200);
    g_assert_cmpint(call(&s, "GET"), ==, 200);
    g_assert_cmpint(atomic_load(&s.connections), ==, 1);
    g_usleep(2100000);
    g_assert_cmpint(call(&s, "GET"), ==, 200);
    g_assert_cmpint(atomic_load(&s.connections), ==, 2);
    finish(&s);
}

/* Guards against input that would change the structure of a request. */
TEST("/http/invalid", test_invalid)
{
    static const struct {
        const char *addr;
        const char *path;
        const char *name;
        const char *value;
    } cases[] = {{"127.0.0.1:1", "/a b", "X-A", "v"},
                 {"127.0.0.1:1", "/a\r\nX: y", "X-A", "v"},
                 {"127.0.0.1:1", "a", "X-A", "v"},
                 {"127.0.0.1:1", "/a", "X-A", "v\r\nX-B: w"},
                 {"127.0.0.1:1", "/a", "X-A: b\r\nX", "v"},
                 {"127.0.0.1:1", "/a", "", "v"},
                 {"127.0.0.1", "/a", "X-A", "v"},
                 {"127.0.0.1:0", "/a", "X-A", "v"},
                 {"host.example:80", "/a", "X-A", "v"},
                 {"127.0.0.1:99999", "/a", "X-A", "v"}};
    gv_http_client_t *c = GvHttp_New();
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        gv_header_t h = {GvStr_C(cases[i].name), GvStr_C(cases[i].value)};
        gv_http_request_t rq = {.addr = GvStr_C(cases[i].addr),
                                .method = GV_STR("GET"),
                                .path = GvStr_C(cases[i].path),
                                .headers = &h,
                                .n_headers = 1,
                                .timeout_ms = 1000};
        gv_http_response_t a;
        g_assert_cmpint(GvHttp_Do(c, &rq, &a), ==, GV_EINVAL);
        g_assert_false(a.sent);
        GvHttp_ClearResponse(&a);
    }
    GvHttp_Free(c);
}

TEST_MAIN
