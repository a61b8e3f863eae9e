#ifndef GV_SUPPORT_H
#define GV_SUPPORT_H

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

/* Helpers that several test programs share. */

/* Waits at most ms milliseconds for a condition, which must then hold. */
#define WAIT_FOR(cond_, ms_)                                                  \
    do {                                                                      \
        for (int left_ = (ms_); !(cond_) && left_ > 0; left_--) {             \
            g_usleep(1000);                                                   \
        }                                                                     \
        g_assert_true(cond_);                                                 \
    } while (0)

/* A member with addresses at which nothing listens. */
#define MEMBER(name_, dc_, incarnation_)                                      \
    ((gv_member_t){.name = (name_),                                           \
                   .dc = (dc_),                                               \
                   .peer_addr = GV_STR("127.0.0.1:1"),                        \
                   .http_addr = GV_STR("127.0.0.1:2"),                        \
                   .incarnation = (incarnation_)})

/* A host of data centre k1 in pool p with 8 slots. */
#define HOST(name_, rack_)                                                    \
    ((gv_lhost_t){.name = GV_STR(name_),                                      \
                  .dc = GV_STR("k1"),                                         \
                  .rack = GV_STR(rack_),                                      \
                  .addr = GV_STR("127.0.0.1:9001"),                           \
                  .pool = GV_STR("p"),                                        \
                  .boot = GV_STR("b1"),                                       \
                  .slots = 8})

/* Defines main, which runs the tests given as {"/path", function}. */
typedef struct {
    const char *path;
    void (*run)(void);
} test_case_t;

#define TEST_MAIN(...)                                                        \
    int main(int argc, char **argv)                                           \
    {                                                                         \
        static const test_case_t cases[] = {__VA_ARGS__};                     \
        g_test_init(&argc, &argv, NULL);                                      \
        for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {                    \
            g_test_add_func(cases[i].path, cases[i].run);                     \
        }                                                                     \
        return g_test_run();                                                  \
    }

/* Binds a TCP socket to a free loopback port and writes its address. */
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

#endif
