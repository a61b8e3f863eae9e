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

/* A platform and targets in this process. */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static gv_hosttable_t *hosts;
static atomic_int lists;
static atomic_int probes[TARGETS];
static atomic_bool silent[TARGETS];
static atomic_bool leaving[TARGETS];
static char addrs[TARGETS + 1][24]; /* the last one is the platform's */
static gv_server_t *servers[TARGETS + 1];

static void
serve_target(void *user, gv_served_t *rq)
{
    int i = GPOINTER_TO_INT(user);
    atomic_fetch_add(&probes[i], 1);
    while (atomic_load(&silent[i])) {
        g_usleep(10000);
    }
    GvServed_ReplyText(rq, 200, "state=%s boot=b1 running=%d slots=8\n",
                       atomic_load(&leaving[i]) ? "leaving" : "live", i);
}

static void
serve_list(void *user, gv_served_t *rq)
{
    (void)user;
    pthread_mutex_lock(&lock);
    GvHostTable_MakeList(hosts, 0);
    uint64_t version;
    GBytes *list = GvHostTable_List(hosts, 0, 0, &version);
    pthread_mutex_unlock(&lock);
    gsize n;
    const void *data = g_bytes_get_data(list, &n);
    GvServed_Reply(rq, 200, "", GvStr_N(data, n));
    g_bytes_unref(list);
    atomic_fetch_add(&lists, 1);
}

/* What on_health told last, and how often on_list was called. */
static atomic_int told[TARGETS];
static atomic_int taken;
enum { UNKNOWN, GOOD, LEAVING, BAD };

static void
on_health(void *user, gv_str_t host, gv_str_t boot, bool healthy, bool is_out,
          int running)
{
    (void)user;
    (void)boot;
    (void)running;
    int i = (int)g_ascii_strtoll(host.p + 1, NULL, 10);
    atomic_store(&told[i], is_out ? LEAVING : healthy ? GOOD : BAD);
}

static void
on_list(void *user, const gv_hostlist_t *list)
{
    (void)user;
    (void)list;
    atomic_fetch_add(&taken, 1);
}

static void
wait_told(int i, int want)
{
    WAIT_FOR(atomic_load(&told[i]) == want, 10000);
}

static void
start_servers(void)
{
    for (int i = 0; i <= TARGETS; i++) {
        close(bind_loopback(addrs[i], sizeof addrs[i]));
        gv_server_opts_t o = {addrs[i], 16, 1000,
                              i == TARGETS ? serve_list : serve_target,
                              GINT_TO_POINTER(i)};
        g_assert_cmpint(GvServer_Start(&o, &servers[i]), ==, GV_OK);
    }
}

/* Guards against targets that nobody or everybody probes, a leaving target
   that stays unnoticed, silent targets that hold up the others, and a list
   that is delivered twice. */
TEST("/prober/shares-and-states", test_prober)
{
    char names[TARGETS][8];
    gv_probe_target_t targets[TARGETS];
    gv_str_t members[] = {GV_STR("e1"), GV_STR("e2"), GV_STR("e3")};
    hosts = GvHostTable_New();
    start_servers();
    gv_prober_opts_t o = {GvStr_C(addrs[TARGETS]), members[0], on_health,
                          on_list, NULL};
    gv_prober_t *p;
    for (int i = 0; i < TARGETS; i++) {
        g_snprintf(names[i], sizeof names[i], "h%d", i);
        targets[i] = (gv_probe_target_t){GvStr_C(names[i]), GvStr_C(addrs[i])};
        atomic_store(&silent[i], i % 2 == 1);
    }
    g_assert_cmpint(GvProber_Start(&o, &p), ==, GV_OK);
    GvProber_SetMembers(p, members, 3);
    GvProber_SetTargets(p, targets, TARGETS);
    for (int i = 0; i < TARGETS; i++) {
        if (GvHealth_IsProber(targets[i].host, members[0], members, 3)) {
            wait_told(i, i % 2 == 1 ? BAD : GOOD);
            g_assert_cmpint(atomic_load(&probes[i]), >, 0);
        }
        else {
            g_assert_cmpint(atomic_load(&probes[i]), ==, 0);
        }
    }
    GvProber_SetMembers(p, members, 1); /* the others are gone */
    for (int i = 0; i < TARGETS; i += 2) {
        atomic_store(&leaving[i], true);
    }
    int64_t start_ms = GvClock_MonoMs();
    for (int i = 0; i < TARGETS; i += 2) {
        wait_told(i, LEAVING);
    }
    g_assert_cmpint(GvClock_MonoMs() - start_ms, <, 2 * GV_PROBE_INTERVAL_MS);
    WAIT_FOR(atomic_load(&lists) > 1, 10000);
    g_assert_cmpint(atomic_load(&taken), ==, 1);
    for (int i = 0; i < TARGETS; i++) {
        atomic_store(&silent[i], false);
    }
    GvProber_Stop(p);
    for (int i = 0; i <= TARGETS; i++) {
        GvServer_Stop(servers[i]);
    }
    GvHostTable_Free(hosts);
}

TEST_MAIN
