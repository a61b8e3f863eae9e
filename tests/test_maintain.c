#include <glib.h>

#include "error.h"
#include "kernel_private.h"
#include "maintain.h"
#include "maintain_private.h"
#include "prober.h"
#include "support.h"

/* Host lists in the maintenance module of an entry host whose platform cannot
   be reached: lists come from the test. The module's thread proposes nothing,
   because the entry host never joins. */

static gv_kernel_t kernel;
static struct gv_kernel_private_s private;

static void
on_health(void *user, gv_str_t host, gv_str_t boot, bool healthy, bool leaving,
          int running)
{
    (void)user;
    (void)host;
    (void)boot;
    (void)healthy;
    (void)leaving;
    (void)running;
}

/* Starts what runs before an entry host is ready. */
static void
start_kernel(void)
{
    kernel = (gv_kernel_t){.private = &private};
    kernel.conf.name = GV_STR("e1");
    kernel.conf.dc = GV_STR("k1");
    kernel.conf.platform_addr = GV_STR("127.0.0.1:1");
    kernel.targets = GvTargets_New(kernel.conf.name, kernel.conf.dc);
    kernel.views =
        GvViews_New(kernel.conf.name, kernel.conf.dc, kernel.targets);
    ASSERT_OK(GvMaintain_Start(&kernel, &kernel.maintain));
    gv_prober_opts_t o = {.platform_addr = kernel.conf.platform_addr,
                          .self = kernel.conf.name,
                          .on_health = on_health};
    ASSERT_OK(GvProber_Start(&o, &kernel.prober));
}

static void
stop_kernel(void)
{
    GvMaintain_Stop(kernel.maintain);
    GvProber_RequestStop(kernel.prober);
    GvProber_Stop(kernel.prober);
    GvMaintain_Free(kernel.maintain);
    GvViews_Free(kernel.views);
    GvTargets_Free(kernel.targets);
}

/* Passes on a list with the host h1, requested at asked_ms. */
static void
pass_list(gv_listed_state_t state, const char *boot, int64_t asked_ms)
{
    gv_listed_host_t h = {.host = GV_STR("h1"),
                          .dc = GV_STR("k1"),
                          .rack = GV_STR("r1"),
                          .addr = GV_STR("127.0.0.1:9001"),
                          .pool = GV_STR("p"),
                          .boot = GvStr_C(boot),
                          .slots = 8,
                          .state = state};
    gv_hostlist_t list = {
        .version = 1, .asked_ms = asked_ms, .hosts = &h, .n = 1};
    GvKernel_OnList(&kernel, &list);
}

static void
apply(gv_ledger_t *l, const char *kind, msgpack_sbuffer *payload)
{
    static uint64_t sequence;
    gv_verdict_t v;
    msgpack_sbuffer sb;
    pack_record(&sb, kind, GV_STR("e2"), 1, ++sequence, 1000, payload);
    ASSERT_OK(GvLedger_Apply(l, GvLedger_NextOffset(l), 1000,
                             GvStr_N(sb.data, sb.size), &v));
    g_assert_cmpstr(v.reason, ==, "");
    msgpack_sbuffer_destroy(&sb);
}

/* Returns a ledger with the host h1, as another entry host has added it. */
static gv_ledger_t *
ledger_with_host(void)
{
    msgpack_sbuffer sb;
    gv_ledger_t *l = GvLedger_New();
    gv_document_t doc = {.file = GV_STR("a.yaml"),
                         .text = GV_STR("kind: pool\npool: p\n")};
    gv_ledger_host_t h = HOST("h1", "r1");
    msgpack_sbuffer_init(&sb);
    GvLedger_PackSettings(&sb, 0, &doc, 1);
    apply(l, "settings", &sb);
    h.boot = GV_STR("b2");
    GvLedger_PackHost(&sb, &h);
    apply(l, "host", &sb);
    msgpack_sbuffer_destroy(&sb);
    return l;
}

/* Returns how many records are proposed in a round at that time. */
static guint
count_proposals(const gv_ledger_t *l, int64_t now_ms)
{
    GPtrArray *out = g_ptr_array_new();
    GvMaintain_PlanHosts(kernel.maintain, l, now_ms, out);
    guint n = out->len;
    for (guint i = 0; i < n; i++) {
        gv_proposal_t *p = out->pdata[i];
        g_free(p->key);
        msgpack_sbuffer_destroy(&p->payload);
        g_free(p);
    }
    g_ptr_array_free(out, TRUE);
    return n;
}

/* Guards against a first list that is dropped because it arrives before the
   entry host has started all its parts: no other comes until it changes, so
   that the host would add no target to the ledger. */
TEST("/maintain/early-list", test_early_list)
{
    start_kernel();
    g_assert_false(atomic_load(&private.ready));
    pass_list(GV_LISTED_LIVE, "b2", 1000);
    g_assert_cmpint(kernel.maintain->host_list.n, ==, 1);
    stop_kernel();
}

/* Guards against a host that is removed from the ledger because of a list that
   was read before the host came back, and against one that is never removed
   because the list that shows it as gone does not change again. */
TEST("/maintain/outdated-list", test_outdated_list)
{
    start_kernel();
    pass_list(GV_LISTED_GONE, "b1", 1000);
    gv_ledger_t *l = ledger_with_host();
    g_assert_cmpuint(count_proposals(l, 2000), ==, 0);
    g_assert_cmpuint(count_proposals(l, 9000), ==, 0);
    GvMaintain_OnListCurrent(kernel.maintain, 1500);
    g_assert_cmpuint(count_proposals(l, 9100), ==, 0);
    GvMaintain_OnListCurrent(kernel.maintain, 2500);
    g_assert_cmpuint(count_proposals(l, 9200), ==, 1);
    GvLedger_Free(l);
    stop_kernel();
}

TEST_MAIN
