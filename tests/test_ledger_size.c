#include <glib.h>
#include <stdio.h>

#include "error.h"
#include "ledger.h"
#include "support.h"

/* The fleet size that the system must support. */
#define FLEET_HOSTS       5800
#define FLEET_POOLS       32
#define FLEET_ENTRY_HOSTS 136
#define FLEET_DCS         17
#define INCARNATION       1700000000000
#define SERVICE_YAML                                                          \
    "kind: service\nservice: svc%d\npool: pool%d\n"                           \
    "availability: {objective_percent: 99.9, min_hosts: 100}\n"               \
    "deadline: {default_ms: 5000, max_ms: 60000}\nteams:\n"                   \
    "  - {name: crews, quota: 60}\n  - {name: authorities, quota: 40}\n"      \
    "idempotent: {methods: [GET, PUT], paths: [/quote]}\n"

static int64_t now_ms;
static uint64_t sequence;

/* Applies a record with this payload and clears the payload. Returns the
   verdict. */
static gv_verdict_t
put(gv_ledger_t *l, const char *kind, msgpack_sbuffer *payload)
{
    gv_verdict_t v;
    msgpack_sbuffer sb;
    pack_record(&sb, kind, GV_STR("entry1"), INCARNATION, ++sequence, now_ms,
                payload);
    ASSERT_OK(GvLedger_Apply(l, GvLedger_NextOffset(l), now_ms,
                             GvStr_N(sb.data, sb.size), &v));
    msgpack_sbuffer_destroy(&sb);
    return v;
}

/* Applies settings with all pools and 3 services for each pool. */
static void
put_settings(gv_ledger_t *l, msgpack_sbuffer *sb)
{
    gv_document_t docs[4 * FLEET_POOLS];
    char *texts[4 * FLEET_POOLS];
    for (int i = 0; i < 4 * FLEET_POOLS; i++) {
        texts[i] = i < FLEET_POOLS
                       ? g_strdup_printf("kind: pool\npool: pool%d\n", i)
                       : g_strdup_printf(SERVICE_YAML, i, i % FLEET_POOLS);
        docs[i].file = GV_STR("teams/of-some-service/gypsumvalve.yaml");
        docs[i].text = GvStr_C(texts[i]);
    }
    GvLedger_PackSettings(sb, 0, docs, 4 * FLEET_POOLS);
    g_assert_cmpint(put(l, "settings", sb).kind, ==, GV_VERDICT_ACCEPTED);
    for (int i = 0; i < 4 * FLEET_POOLS; i++) {
        g_free(texts[i]);
    }
}

static gv_verdict_t
put_host(gv_ledger_t *l, msgpack_sbuffer *sb, int i)
{
    char name[24], dc[24], rack[24], pool[24], boot[48];
    snprintf(name, sizeof name, "worker-%05d", i);
    snprintf(dc, sizeof dc, "dc%d", i % FLEET_DCS);
    snprintf(rack, sizeof rack, "rack%d", i / (4 * FLEET_DCS));
    snprintf(pool, sizeof pool, "pool%d", i % FLEET_POOLS);
    snprintf(boot, sizeof boot, "3f2a9c00-58c1-4d2e-9b7a-%012d", i);
    gv_ledger_host_t h = {.name = GvStr_C(name),
                          .dc = GvStr_C(dc),
                          .rack = GvStr_C(rack),
                          .addr = GV_STR("10.101.102.103:9001"),
                          .pool = GvStr_C(pool),
                          .boot = GvStr_C(boot),
                          .slots = 8};
    GvLedger_PackHost(sb, &h);
    return put(l, "host", sb);
}

/* Applies one full batch of key claims, numbered from `from`. */
static gv_verdict_t
put_keys(gv_ledger_t *l, msgpack_sbuffer *sb, int from)
{
    gv_key_item_t items[GV_KEY_BATCH];
    char keys[GV_KEY_BATCH][16];
    for (int i = 0; i < GV_KEY_BATCH; i++) {
        snprintf(keys[i], sizeof keys[i], "key-%d", from + i);
        items[i] = (gv_key_item_t){GV_STR("svc1"), GvStr_C(keys[i]),
                                   now_ms + GV_KEY_TTL_MS};
    }
    GvLedger_PackKeys(sb, items, GV_KEY_BATCH, GV_STR("entry1"), INCARNATION);
    return put(l, "key", sb);
}

/* Checks that the saved state of l loads with the same digest, and that a
   checkpoint record of it is accepted. */
static void
check_checkpoint(gv_ledger_t *l, msgpack_sbuffer *sb)
{
    gv_ledger_t *copy;
    msgpack_sbuffer_clear(sb);
    GvLedger_Save(l, sb);
    g_test_message("state of %u hosts: %zu bytes", GvLedger_Hosts(l)->len,
                   sb->size);
    ASSERT_OK(GvLedger_Load(GvStr_N(sb->data, sb->size), &copy));
    g_assert_cmpuint(GvLedger_Digest(copy), ==, GvLedger_Digest(l));
    GvLedger_Free(copy);
    msgpack_sbuffer_clear(sb);
    GvLedger_PackCheckpoint(sb, l);
    gv_verdict_t v = put(l, "checkpoint", sb);
    g_assert_cmpstr(v.reason, ==, "");
}

/* Guards against a state that the ledger accepts but that does not fit in a
   checkpoint record: entry hosts that start later could not load a ledger.
   Checked at the required fleet size and at the largest accepted one. */
TEST("/ledger/size", test_size)
{
    msgpack_sbuffer sb;
    gv_ledger_t *l = GvLedger_New();
    now_ms = 1700000000000;
    msgpack_sbuffer_init(&sb);
    put_settings(l, &sb);
    for (int i = 0; i < FLEET_ENTRY_HOSTS; i++) {
        char name[24], dc[24];
        snprintf(name, sizeof name, "entry%d", i);
        snprintf(dc, sizeof dc, "dc%d", i % FLEET_DCS);
        gv_member_t m = MEMBER(GvStr_C(name), GvStr_C(dc), INCARNATION);
        m.peer_addr = GV_STR("10.101.102.103:7001");
        m.http_addr = GV_STR("10.101.102.103:8001");
        GvLedger_PackMember(&sb, &m, GV_MEMBER_JOIN);
        g_assert_cmpint(put(l, "member", &sb).kind, ==, GV_VERDICT_ACCEPTED);
    }
    for (int i = 0; i < FLEET_HOSTS; i++) {
        g_assert_cmpstr(put_host(l, &sb, i).reason, ==, "");
    }
    for (int i = 0; i < GV_KEYS_MAX; i += GV_KEY_BATCH) {
        g_assert_cmpstr(put_keys(l, &sb, i).reason, ==, "");
    }
    g_assert_cmpint(put_keys(l, &sb, GV_KEYS_MAX).kind, ==,
                    GV_VERDICT_REJECTED);
    check_checkpoint(l, &sb);
    /* Hosts beyond the required fleet size, until the ledger rejects one. */
    gv_verdict_t v = {0};
    for (int i = FLEET_HOSTS; v.kind == GV_VERDICT_ACCEPTED; i++) {
        v = put_host(l, &sb, i);
    }
    g_assert_cmpstr(v.reason, ==, "too many hosts");
    check_checkpoint(l, &sb);
    msgpack_sbuffer_destroy(&sb);
    GvLedger_Free(l);
}

TEST_MAIN
