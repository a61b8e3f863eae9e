#include <glib.h>
#include <string.h>

#include "error.h"
#include "frame.h"
#include "limits.h"
#include "message.h"
#include "support.h"

static gv_load_t loads[] = {{GV_STR("routing"), 1, 2, 3, 4},
                            {GV_STR("dispatch"), 0, 0, 8, 0}};
static gv_health_t health[] = {{GV_STR("h1"), GV_STR("b7"), true, false, 9}};
static gv_raw_record_t records[] = {{5, -1, GV_STR("\x93\x01")},
                                    {6, 1700000000000, GV_STR("")}};

/* One message of each kind. */
static const gv_message_t samples[] = {
    {GV_MSG_HELLO,
     0,
     0,
     {.hello = {GV_STR("e1"), GV_STR("k1"), GV_STR("gr-mainland"),
                UINT64_MAX}}},
    {GV_MSG_HEARTBEAT, 0, 0, {.heartbeat = {7, 8, true, loads, 2, health, 1}}},
    {GV_MSG_EXECUTE,
     3,
     5000,
     {.execute = {GV_STR("routing"), GV_STR("POST"), GV_STR("/a?b=c"),
                  GV_STR("text/plain"), GV_STR("crews"), GV_STR("w"), true,
                  true, GV_STR("e1.1.2.3"), GV_STR("k"), GV_STR("a\0b\xff")}}},
    {GV_MSG_RESULT,
     3,
     0,
     {.result = {GV_OUTCOME_UNKNOWN, 502, 250, GV_STR("why"),
                 GV_STR("text/plain"), GV_STR("body"), false}}},
    {GV_MSG_CANCEL, 3, 0, {.ledger_get = {0}}},
    {GV_MSG_LEDGER_GET, 4, 100, {.ledger_get = {UINT64_MAX}}},
    {GV_MSG_LEDGER_RECORDS, 4, 0, {.ledger_records = {records, 2}}},
    {GV_MSG_LEDGER_SNAPSHOT, 4, 0, {.ledger_snapshot = GV_STR("\x90")}},
    {GV_MSG_SLOT_BORROW, 5, 500, {.slots = {GV_STR("h1"), 2, 2000}}},
    {GV_MSG_SLOT_LEND, 5, 0, {.slots = {GV_STR("h1"), 0, 2000}}},
    {GV_MSG_SLOT_RETURN, 0, 0, {.slots = {GV_STR("h1"), 2, 0}}},
};

/* Unpacks a message and, unless repacked is NULL, packs it into repacked. */
static int
unpack(const char *p, size_t n, msgpack_sbuffer *repacked)
{
    msgpack_unpacked un;
    gv_message_t m;
    /* A copy of exactly n bytes lets the sanitizer report reads past it. */
    char *copy = g_memdup2(p, n);
    int err = GvMessage_Unpack(GvStr_N(copy, n), &un, &m);
    if (err == GV_OK && repacked != NULL) {
        GvMessage_Pack(repacked, &m);
    }
    GvMessage_Clear(&m);
    msgpack_unpacked_destroy(&un);
    g_free(copy);
    return err;
}

/* Guards against a field that is packed and unpacked in a different order, or
   not at all. */
TEST("/message/round-trip", test_round_trip)
{
    for (size_t i = 0; i < G_N_ELEMENTS(samples); i++) {
        msgpack_sbuffer a;
        msgpack_sbuffer b;
        msgpack_sbuffer_init(&a);
        msgpack_sbuffer_init(&b);
        GvMessage_Pack(&a, &samples[i]);
        g_assert_cmpint(samples[i].kind, ==, i + 1);
        g_assert_cmpint(unpack(a.data, a.size, &b), ==, GV_OK);
        g_assert_cmpmem(a.data, a.size, b.data, b.size);
        msgpack_sbuffer_destroy(&a);
        msgpack_sbuffer_destroy(&b);
    }
}

/* Guards against a read past the end of a message, and against accepting a
   truncated one. */
TEST("/message/truncated", test_truncated)
{
    for (size_t i = 0; i < G_N_ELEMENTS(samples); i++) {
        msgpack_sbuffer a;
        msgpack_sbuffer_init(&a);
        GvMessage_Pack(&a, &samples[i]);
        for (size_t n = 0; n < a.size; n++) {
            g_assert_cmpint(unpack(a.data, n, NULL), ==, GV_EINVAL);
        }
        msgpack_sbuffer_destroy(&a);
    }
}

/* Replaces object *nth of the tree, counted depth first from 0, by nil. *nth
   is negative afterwards if there was such an object. */
static void
replace(msgpack_object *o, int *nth)
{
    if ((*nth)-- == 0) {
        o->type = MSGPACK_OBJECT_NIL;
    }
    else if (o->type == MSGPACK_OBJECT_ARRAY) {
        for (uint32_t i = 0; i < o->via.array.size && *nth >= 0; i++) {
            replace(&o->via.array.ptr[i], nth);
        }
    }
}

/* Guards against a field of the wrong type that is accepted or crashes the
   unpacker. */
TEST("/message/wrong-types", test_wrong_types)
{
    for (size_t i = 0; i < G_N_ELEMENTS(samples); i++) {
        msgpack_sbuffer a;
        msgpack_sbuffer_init(&a);
        GvMessage_Pack(&a, &samples[i]);
        int replaced = 0;
        for (int k = 0;; k++) {
            msgpack_unpacked un;
            ASSERT_OK(GvUnpack_Root(&un, GvStr_N(a.data, a.size)));
            int nth = k;
            replace(&un.data, &nth);
            if (nth >= 0) {
                msgpack_unpacked_destroy(&un);
                break;
            }
            msgpack_sbuffer b;
            msgpack_sbuffer_init(&b);
            msgpack_packer pk;
            msgpack_packer_init(&pk, &b, msgpack_sbuffer_write);
            msgpack_pack_object(&pk, un.data);
            g_assert_cmpint(unpack(b.data, b.size, NULL), ==, GV_EINVAL);
            replaced++;
            msgpack_sbuffer_destroy(&b);
            msgpack_unpacked_destroy(&un);
        }
        g_assert_cmpint(replaced, >=, 6);
        msgpack_sbuffer_destroy(&a);
    }
}

/* Guards against out-of-range values that are accepted and later used in a
   conversion or an allocation. */
TEST("/message/ranges", test_ranges)
{
    gv_message_t bad[] = {samples[2], samples[3], samples[3],
                          samples[8], samples[0], samples[0]};
    char *big = g_strnfill(GV_BODY_MAX_BYTES + 1, 'x');
    bad[0].u.execute.body = GvStr_C(big);
    bad[1].u.result.outcome = (gv_outcome_t)3;
    bad[2].u.result.status = -1;
    bad[3].u.slots.count = -1;
    bad[4].u.hello.entry = GV_STR("a.b");
    bad[5].kind = (gv_msg_kind_t)12;
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        msgpack_sbuffer a;
        msgpack_sbuffer_init(&a);
        GvMessage_Pack(&a, &bad[i]);
        g_assert_cmpint(unpack(a.data, a.size, NULL), ==, GV_EINVAL);
        msgpack_sbuffer_destroy(&a);
    }
    g_free(big);
}

/* Guards against frames that are split at the wrong byte, and against a length
   limit that is checked only after the body has arrived. */
TEST("/frame", test_frames)
{
    GByteArray *buf = g_byte_array_new();
    gv_str_t body;
    GvFrame_Append(buf, GV_STR("abc"));
    GvFrame_Append(buf, GV_STR("d"));
    for (size_t n = 0; n < 7; n++) {
        g_assert_cmpint(GvFrame_Next(GvStr_N(buf->data, n), &body), ==,
                        GV_EAGAIN);
    }
    g_assert_cmpint(GvFrame_Next(GvStr_N(buf->data, buf->len), &body), ==, 7);
    g_assert_true(GvStr_Equal(body, GV_STR("abc")));
    g_assert_cmpint(GvFrame_Next(GvStr_N(buf->data + 7, 5), &body), ==, 5);
    g_assert_true(GvStr_Equal(body, GV_STR("d")));
    g_byte_array_unref(buf);
    g_assert_cmpint(GvFrame_Next(GV_STR("\0\0\0\0"), &body), ==, GV_EINVAL);
    g_assert_cmpint(GvFrame_Next(GV_STR("\0\x20\0\0"), &body), ==, GV_EAGAIN);
    g_assert_cmpint(GvFrame_Next(GV_STR("\0\x20\0\1"), &body), ==, GV_ETOOBIG);
    g_assert_cmpint(GvFrame_Next(GV_STR("\xff\xff\xff\xff"), &body), ==,
                    GV_ETOOBIG);
}

TEST_MAIN
