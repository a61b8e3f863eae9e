#ifndef GV_SUPPORT_H
#define GV_SUPPORT_H

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "record.h"

/* Helpers shared by test programs. */

/* Waits until a condition holds; fails the test after ms milliseconds. */
#define WAIT_FOR(cond_, ms_)                                                  \
    do {                                                                      \
        for (int left_ = (ms_); !(cond_) && left_ > 0; left_--) {             \
            g_usleep(1000);                                                   \
        }                                                                     \
        g_assert_true(cond_);                                                 \
    } while (0)

#define ASSERT_OK(call_) g_assert_cmpint((call_), ==, 0)

/* Initializes a ledger member; nothing listens at its addresses. */
#define MEMBER(name_, dc_, incarnation_)                                      \
    ((gv_member_t){.name = (name_),                                           \
                   .dc = (dc_),                                               \
                   .peer_addr = GV_STR("127.0.0.1:1"),                        \
                   .http_addr = GV_STR("127.0.0.1:2"),                        \
                   .incarnation = (incarnation_)})

/* Initializes a ledger host of data centre k1 in pool p with 8 slots. */
#define HOST(name_, rack_)                                                    \
    ((gv_ledger_host_t){.name = GV_STR(name_),                                \
                        .dc = GV_STR("k1"),                                   \
                        .rack = GV_STR(rack_),                                \
                        .addr = GV_STR("127.0.0.1:9001"),                     \
                        .pool = GV_STR("p"),                                  \
                        .boot = GV_STR("b1"),                                 \
                        .slots = 8})

typedef struct test_case_s {
    const char *path;
    void (*run)(void);
    struct test_case_s *next;
} test_case_t;

static test_case_t *all_tests;
__attribute__((unused)) static test_case_t **last_test = &all_tests;

/* Begins the definition of a test function and registers it; TEST_MAIN runs
   the tests in the order of their definitions. */
#define TEST(path_, fn)                                                       \
    static void fn(void);                                                     \
    __attribute__((constructor)) static void fn##_add(void)                   \
    {                                                                         \
        static test_case_t this_test = {.path = path_, .run = fn};            \
        *last_test = &this_test;                                              \
        last_test = &this_test.next;                                          \
    }                                                                         \
    static void fn(void)

#define TEST_MAIN                                                             \
    int main(int argc, char **argv)                                           \
    {                                                                         \
        return run_tests(&argc, &argv);                                       \
    }

/* Runs the registered tests; returns the exit status of the program. */
static inline int
run_tests(int *argc, char ***argv)
{
    g_test_init(argc, argv, NULL);
    for (test_case_t *t = all_tests; t != NULL; t = t->next) {
        g_test_add_func(t->path, t->run);
    }
    return g_test_run();
}

/* Binds a TCP socket to a free loopback port, writes its address to addr and
   returns the socket. */
static inline int
bind_loopback(char *addr, size_t n)
{
    struct sockaddr_in in = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof in;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(bind(fd, (struct sockaddr *)&in, len), ==, 0);
    getsockname(fd, (struct sockaddr *)&in, &len);
    g_snprintf(addr, n, "127.0.0.1:%d", ntohs(in.sin_port));
    return fd;
}

/* Packs a record that expires 60 s after its creation; clears the payload. */
static inline void
pack_record(msgpack_sbuffer *out, const char *kind, gv_str_t origin,
            uint64_t incarnation, uint64_t sequence, int64_t created_ms,
            msgpack_sbuffer *payload)
{
    gv_record_t r = {.kind = GvStr_C(kind),
                     .origin = origin,
                     .incarnation = incarnation,
                     .sequence = sequence,
                     .created_ms = created_ms,
                     .expires_ms = created_ms + 60000};
    msgpack_sbuffer_init(out);
    GvRecord_Pack(out, &r, GvStr_N(payload->data, payload->size));
    msgpack_sbuffer_clear(payload);
}

#endif
