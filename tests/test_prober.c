#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#include "clock.h"
#include "error.h"
#include "hosttable.h"
#include "httpserver.h"
#include "limits.h"
#include "prober.h"
#include "support.h"

#define TARGETS 12

/* The stand-ins for the platform and the targets run in this process. */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static gv_hosttable_t *hosts;
static atomic_int list_requests;
static atomic_int probes[TARGETS];
static atomic_bool silent[TARGETS];
static atomic_bool leaving[TARGETS];
static atomic_bool close_after_answer[TARGETS];
static atomic_int boots[TARGETS];
static _Atomic int64_t opened_us[TARGETS]; /* of the newest connection */
static atomic_int opened[TARGETS];         /* connections that sent a probe */
/* silent and close_after_answer apply only to connections opened before this
   time; 0 means to all. */
static _Atomic int64_t before_us[TARGETS];
static char addrs[TARGETS + 1][24]; /* the last one is the platform's */
static gv_server_t *servers[TARGETS + 1];

/* Answers a probe of target number `user`. */
static void
serve_target(void *user, gv_server_request_t *rq)
{
    int i = GPOINTER_TO_INT(user);
    atomic_fetch_add(&probes[i], 1);
    int64_t us = GvServerRequest_OpenedUs(rq);
    if (atomic_exchange(&opened_us[i], us) != us) {
        atomic_fetch_add(&opened[i], 1);
    }
    int64_t before = atomic_load(&before_us[i]);
    bool affected = before == 0 || us < before;
    while (affected && atomic_load(&silent[i])) {
        g_usleep(10000);
    }
    GvServerRequest_ReplyText(rq, 200,
                              "state=%s boot=b%d running=%d slots=8\n",
                              atomic_load(&leaving[i]) ? "leaving" : "live",
                              atomic_load(&boots[i]), i);
    if (affected && atomic_load(&close_after_answer[i])) {
        GvServerRequest_DropReply(rq);
    }
}

static void
serve_list(void *user, gv_server_request_t *rq)
{
    (void)user;
    pthread_mutex_lock(&lock);
    GvHostTable_MakeList(hosts, 0);
    uint64_t version;
    GBytes *list = GvHostTable_List(hosts, 0, 0, &version);
    pthread_mutex_unlock(&lock);
    gsize n;
    const void *data = g_bytes_get_data(list, &n);
    GvServerRequest_Reply(rq, 200, "", GvStr_N(data, n));
    g_bytes_unref(list);
    atomic_fetch_add(&list_requests, 1);
}

/* The last state reported to on_health(), and the calls of on_list(). */
static atomic_int reported[TARGETS];
static atomic_int reported_boot[TARGETS];
static atomic_bool probe_failed[TARGETS];
static atomic_int list_calls;
enum { UNKNOWN, HEALTHY, LEAVING, UNHEALTHY };

static void
on_health(void *user, gv_str_t host, gv_str_t boot, bool healthy, bool is_out,
          int running)
{
    (void)user;
    int i = (int)g_ascii_strtoll(host.p + 1, NULL, 10);
    if (running < 0) {
        atomic_store(&probe_failed[i], true);
    }
    if (boot.n > 0) {
        atomic_store(&reported_boot[i], boot.p[boot.n - 1] - '0');
    }
    atomic_store(&reported[i], is_out    ? LEAVING
                               : healthy ? HEALTHY
                                         : UNHEALTHY);
}

static void
on_list(void *user, const gv_hostlist_t *list)
{
    (void)user;
    (void)list;
    atomic_fetch_add(&list_calls, 1);
}

static void
on_list_current(void *user, int64_t asked_ms)
{
    (void)user;
    (void)asked_ms;
}

static void
wait_reported(int i, int want)
{
    WAIT_FOR(atomic_load(&reported[i]) == want, 10000);
}

static void
start_server(int i)
{
    gv_server_opts_t o = {addrs[i], 16, 1000,
                          i == TARGETS ? serve_list : serve_target,
                          GINT_TO_POINTER(i)};
    g_assert_cmpint(GvServer_Start(&o, &servers[i]), ==, GV_OK);
}

static char names[TARGETS][8];
static gv_probe_target_t targets[TARGETS];

static void
start_servers(void)
{
    hosts = GvHostTable_New();
    for (int i = 0; i <= TARGETS; i++) {
        close(bind_loopback(addrs[i], sizeof addrs[i]));
        start_server(i);
    }
    for (int i = 0; i < TARGETS; i++) {
        g_snprintf(names[i], sizeof names[i], "h%d", i);
        targets[i] = (gv_probe_target_t){GvStr_C(names[i]), GvStr_C(addrs[i])};
        atomic_store(&leaving[i], false);
        atomic_store(&probes[i], 0);
        atomic_store(&opened[i], 0);
        atomic_store(&reported[i], UNKNOWN);
        atomic_store(&probe_failed[i], false);
        atomic_store(&boots[i], 1);
    }
}

static void
stop_servers(void)
{
    for (int i = 0; i < TARGETS; i++) {
        atomic_store(&silent[i], false);
    }
    for (int i = 0; i <= TARGETS; i++) {
        GvServer_Stop(servers[i]);
    }
    GvHostTable_Free(hosts);
}

static gv_prober_t *
start_prober(int renew_ms)
{
    gv_prober_opts_t o = {
        GvStr_C(addrs[TARGETS]), GV_STR("e1"), on_health, on_list,
        on_list_current,         NULL,         renew_ms};
    gv_prober_t *p;
    g_assert_cmpint(GvProber_Start(&o, &p), ==, GV_OK);
    return p;
}

/* Guards against targets that no member or every member probes, a leaving
   target that is not reported, silent targets that delay probes of the others,
   and a list that is delivered twice. */
TEST("/prober/shares-and-states", test_prober)
{
    gv_str_t members[] = {GV_STR("e1"), GV_STR("e2"), GV_STR("e3")};
    start_servers();
    for (int i = 0; i < TARGETS; i++) {
        atomic_store(&silent[i], i % 2 == 1);
    }
    gv_prober_t *p = start_prober(0);
    GvProber_SetMembers(p, members, 3);
    GvProber_SetTargets(p, targets, TARGETS);
    for (int i = 0; i < TARGETS; i++) {
        if (GvHealth_IsProber(targets[i].host, members[0], members, 3)) {
            wait_reported(i, i % 2 == 1 ? UNHEALTHY : HEALTHY);
            g_assert_cmpint(atomic_load(&probes[i]), >, 0);
        }
        else {
            g_assert_cmpint(atomic_load(&probes[i]), ==, 0);
        }
    }
    GvProber_SetMembers(p, members, 1); /* e1 now probes all */
    for (int i = 0; i < TARGETS; i += 2) {
        atomic_store(&leaving[i], true);
    }
    /* Time is measured in the prober's own reads of the list, which are at
       least GV_HOSTLIST_INTERVAL_MS apart, so that a busy machine slows down
       both. */
    int before = atomic_load(&list_requests);
    for (int i = 0; i < TARGETS; i += 2) {
        wait_reported(i, LEAVING);
    }
    g_assert_cmpint(atomic_load(&list_requests) - before, <, 3);
    WAIT_FOR(atomic_load(&list_requests) > 1, 10000);
    g_assert_cmpint(atomic_load(&list_calls), ==, 1);
    GvProber_Stop(p);
    stop_servers();
}

/* Guards against a live target that is reported unhealthy because its kept
   connection hangs or was closed, a restart or a silent target that is not
   reported, and a new connection for each probe. */
TEST("/prober/kept-connections", test_kept)
{
    enum { SILENT_KEPT, CLOSED_KEPT, RESTARTED, SILENT, PLAIN, N };
    start_servers();
    gv_prober_t *p = start_prober(INT_MAX);
    GvProber_SetTargets(p, targets, N);
    for (int i = 0; i < N; i++) {
        wait_reported(i, HEALTHY);
    }
    int asked[N];
    int before = atomic_load(&list_requests);
    for (int i = 0; i < N; i++) {
        atomic_store(&before_us[i], GvClock_MonoUs());
        asked[i] = atomic_load(&probes[i]);
    }
    atomic_store(&silent[SILENT_KEPT], true);
    atomic_store(&close_after_answer[CLOSED_KEPT], true);
    atomic_store(&before_us[SILENT], 0);
    atomic_store(&silent[SILENT], true);
    GvServer_Stop(servers[RESTARTED]);
    atomic_store(&boots[RESTARTED], 2);
    start_server(RESTARTED);
    WAIT_FOR(atomic_load(&reported_boot[RESTARTED]) == 2, 10000);
    wait_reported(SILENT, UNHEALTHY);
    g_assert_cmpint(atomic_load(&list_requests) - before, <, 4);
    WAIT_FOR(atomic_load(&opened[SILENT_KEPT]) > 1 &&
                 atomic_load(&probes[SILENT_KEPT]) > asked[SILENT_KEPT] + 2 &&
                 atomic_load(&probes[CLOSED_KEPT]) > asked[CLOSED_KEPT] + 2 &&
                 atomic_load(&probes[PLAIN]) > asked[PLAIN] + 1,
             10000);
    /* A probe of PLAIN fails only if the machine is stalled for the time-out
       of a probe. */
    bool slow = atomic_load(&probe_failed[PLAIN]);
    g_assert_true(slow || !atomic_load(&probe_failed[SILENT_KEPT]));
    g_assert_true(slow || !atomic_load(&probe_failed[CLOSED_KEPT]));
    g_assert_cmpint(atomic_load(&opened[PLAIN]), <,
                    atomic_load(&probes[PLAIN]));
    GvProber_Stop(p);
    stop_servers();
}

/* Guards against a target that accepts no new connections but is reported
   healthy because it still answers on the kept one. */
TEST("/prober/renewed-connection", test_renewed)
{
    start_servers();
    gv_prober_t *p = start_prober(GV_PROBE_INTERVAL_MS / 2);
    GvProber_SetTargets(p, targets, 1);
    wait_reported(0, HEALTHY);
    g_assert_cmpint(GvServer_SetRefusing(servers[0], true), ==, GV_OK);
    wait_reported(0, UNHEALTHY);
    GvProber_Stop(p);
    stop_servers();
}

TEST_MAIN
