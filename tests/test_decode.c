#include <glib.h>
#include <math.h>
#include <string.h>

#include "decode.h"
#include "error.h"
#include "pack.h"
#include "pages.h"
#include "platform_limits.h"
#include "support.h"
#include "wire.h"

/* Messages of the platform, with what other writers may have left in its
   store. */

/* How a field of a valid entry is changed. */
typedef enum {
    CHANGE_VALUE,
    CHANGE_TYPE,   /* to a boolean */
    CHANGE_MISSING /* the entry has another field in its place */
} change_t;

/* A field that differs from that of a valid entry. Its value, if that is what
   differs, is the text, or the number if there is no text. */
typedef struct {
    const char *name;
    gv_str_t text;
    int64_t number;
    change_t change;
} field_t;

/* Packs the name of a field. Returns true if its valid value is to follow; any
   other value has been packed. */
static bool
put_name(msgpack_packer *pk, const char *name, bool is_text, const field_t *f)
{
    bool differs = g_strcmp0(f->name, name) == 0;
    bool missing = differs && f->change == CHANGE_MISSING;
    GvPack_Str(pk, GvStr_C(missing ? "other" : name));
    if (!differs || missing) {
        return true;
    }
    if (f->change == CHANGE_TYPE) {
        GvPack_Bool(pk, true);
    }
    else if (is_text) {
        GvPack_Str(pk, f->text);
    }
    else {
        GvPack_Int(pk, f->number);
    }
    return false;
}

static void
put_text(msgpack_packer *pk, const char *name, const char *text,
         const field_t *f)
{
    if (put_name(pk, name, true, f)) {
        GvPack_Str(pk, GvStr_C(text));
    }
}

static void
put_number(msgpack_packer *pk, const char *name, int64_t number,
           const field_t *f)
{
    if (put_name(pk, name, false, f)) {
        GvPack_Int(pk, number);
    }
}

/* Decodes an entry that is valid but for one field. */
static int
decode_with(gv_str_t id, const field_t *f)
{
    gv_target_info_t info;
    msgpack_sbuffer sb;
    msgpack_packer pk;
    msgpack_sbuffer_init(&sb);
    msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
    msgpack_pack_map(&pk, 13);
    put_text(&pk, "service", "s", f);
    put_text(&pk, "addr", "10.0.0.1:8001", f);
    put_text(&pk, "zone", "a", f);
    put_text(&pk, "version", "v1", f);
    put_text(&pk, "state", "draining", f);
    put_text(&pk, "machine", "m-1", f);
    put_number(&pk, "born", 1764000000000, f);
    put_number(&pk, "remainingMs", 5000, f);
    put_number(&pk, "slots", 8, f);
    put_number(&pk, "seq", 4, f);
    put_number(&pk, "warmupLeftMs", 0, f);
    if (put_name(&pk, "labels", true, f)) {
        msgpack_pack_array(&pk, 1);
        if (g_strcmp0(f->name, "label") == 0) {
            GvPack_Int(&pk, f->number);
        }
        else {
            GvPack_Str(&pk, GV_STR("r1-1"));
        }
    }
    if (put_name(&pk, "capacity", true, f)) {
        msgpack_pack_map(&pk, 3);
        put_number(&pk, "cpu", 4000, f);
        put_number(&pk, "memMb", 4000, f);
        put_number(&pk, "gpu", 0, f);
    }
    int rc = GvDecode_Target(id, GvStr_N(sb.data, sb.size), &info);
    if (rc == GV_OK) {
        GvDecode_ClearTarget(&info);
    }
    msgpack_sbuffer_destroy(&sb);
    return rc;
}

static int
decode_text(const char *name, gv_str_t text)
{
    return decode_with(GV_STR("i-1"), &(field_t){.name = name, .text = text});
}

/* Guards against calls to an address that is none: a name would be looked up,
   and a port out of range or a line break ends in another request. */
TEST("/decode/address", test_address)
{
    static const gv_str_t bad[] = {
        GV_STR(""),
        GV_STR("10.0.0.1"),
        GV_STR("10.0.0.1:"),
        GV_STR("10.0.0.1:0"),
        GV_STR("10.0.0.1:65536"),
        GV_STR("10.0.0.1:4294967377"),
        GV_STR("10.0.0.1:-1"),
        GV_STR("10.0.0.1: 80"),
        GV_STR("10.0.0.1:80/api"),
        GV_STR("10.0.0.1:80:80"),
        GV_STR("10.0.0.1:80\r\nHost: a"),
        GV_STR("10.0.0.1:80\0"),
        GV_STR("10.0.0.256:80"),
        GV_STR("10.0.1:80"),
        GV_STR("target.example:80"),
        GV_STR("user@10.0.0.1:80"),
        GV_STR("[::1]:80"),
    };
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        g_assert_cmpint(decode_text("addr", bad[i]), ==, GV_EINVAL);
    }
    ASSERT_OK(decode_text("addr", GV_STR("10.0.0.1:1")));
    ASSERT_OK(decode_text("addr", GV_STR("255.255.255.255:65535")));
}

/* Guards against bytes that end the reader or are accepted: nesting that
   exhausts a stack, announced sizes that are allocated, bytes that follow the
   entry. */
TEST("/decode/bytes", test_bytes)
{
    static const char *const heads[] = {"\x91", "\x81\xa1k", "\x81"};
    static const gv_str_t bad[] = {
        GV_STR(""),
        GV_STR("\xc1"),
        GV_STR("\xdd\xff\xff\xff\xff"),
        GV_STR("\xdf\xff\xff\xff\xff"),
        GV_STR("\xc6\xff\xff\xff\xff"),
        GV_STR("\x80\x80"),
    };
    gv_target_info_t info;
    for (size_t i = 0; i < G_N_ELEMENTS(heads); i++) {
        GString *deep = g_string_new(NULL);
        for (int n = 0; n < 100000; n++) {
            g_string_append(deep, heads[i]);
        }
        g_string_append_len(deep, "\xc0", 1);
        gv_str_t bytes = GvStr_N(deep->str, deep->len);
        g_assert_cmpint(GvDecode_Target(GV_STR("i-1"), bytes, &info), ==,
                        GV_EINVAL);
        g_string_free(deep, TRUE);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        g_assert_cmpint(GvDecode_Target(GV_STR("i-1"), bad[i], &info), ==,
                        GV_EINVAL);
    }
}

/* Guards against an identifier that stands for that of another target or host
   because it is cut at a zero byte or at the end of a buffer, and against one
   that adds a header to an order. */
TEST("/decode/id", test_id)
{
    char text[GV_TARGET_ID_BYTES + 1];
    field_t valid = {0};
    memset(text, 'a', sizeof text);
    gv_str_t bad[] = {
        GV_STR(""),    GV_STR("i-1\0x"), GV_STR("i-1\r\nA: b"),
        GV_STR("i 1"), GV_STR("i-\xff"), GvStr_N(text, sizeof text),
    };
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        g_assert_cmpint(decode_with(bad[i], &valid), ==, GV_EINVAL);
        g_assert_false(GvDecode_IsId(bad[i]));
        if (bad[i].n > 0) { /* an entry need not name a host */
            g_assert_cmpint(decode_text("machine", bad[i]), ==, GV_EINVAL);
        }
    }
    ASSERT_OK(decode_with(GvStr_N(text, GV_TARGET_ID_BYTES), &valid));
    ASSERT_OK(decode_text("machine", GvStr_N(text, GV_TARGET_ID_BYTES)));
    ASSERT_OK(decode_text("machine", GV_STR("")));
}

/* Guards against sums and products that overflow, and against a start in the
   far future, after which no later start of the target would count. */
TEST("/decode/numbers", test_numbers)
{
    static const struct {
        const char *name;
        int64_t max;
    } fields[] = {
        {"cpu", GV_TARGET_CPU_MAX_MILLICORES},
        {"memMb", GV_TARGET_MEMORY_MAX_MB},
        {"gpu", GV_TARGET_GPU_MAX},
        {"born", GV_WALL_MAX_MS},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        const int64_t bad[] = {INT64_MIN, -1, fields[i].max + 1, INT64_MAX};
        field_t f = {.name = fields[i].name, .number = fields[i].max};
        ASSERT_OK(decode_with(GV_STR("i-1"), &f));
        for (size_t k = 0; k < G_N_ELEMENTS(bad); k++) {
            f.number = bad[k];
            g_assert_cmpint(decode_with(GV_STR("i-1"), &f), ==, GV_EINVAL);
        }
    }
}

/* Guards against an entry of another writer that is taken for that of a
   target: one that lacks a field, or has one of another type. */
TEST("/decode/incomplete", test_incomplete)
{
    static const char *const names[] = {
        "service", "addr",         "zone", "version", "slots",    "state",
        "seq",     "warmupLeftMs", "cpu",  "memMb",   "capacity", "labels"};
    static const change_t changes[] = {CHANGE_MISSING, CHANGE_TYPE};
    ASSERT_OK(decode_with(GV_STR("i-1"), &(field_t){0}));
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        for (size_t k = 0; k < G_N_ELEMENTS(changes); k++) {
            field_t f = {.name = names[i], .change = changes[k]};
            g_assert_cmpint(decode_with(GV_STR("i-1"), &f), ==, GV_EINVAL);
        }
    }
    field_t label = {.name = "label", .number = 1};
    g_assert_cmpint(decode_with(GV_STR("i-1"), &label), ==, GV_EINVAL);
}

/* Packs a row of the list of ended runs, decodes it and sets *out. */
static bool
decode_ended(int64_t number, int64_t run, gv_ended_t *out)
{
    msgpack_unpacked un;
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    msgpack_packer pk = GvPack_Array(&sb, 5);
    GvPack_Int(&pk, number);
    GvPack_Str(&pk, GV_STR("00000000000000a1.0.0.0"));
    GvPack_Int(&pk, run);
    GvPack_Str(&pk, GV_STR("done"));
    GvPack_Str(&pk, GV_STR(""));
    ASSERT_OK(GvUnpack_Root(&un, GvStr_N(sb.data, sb.size)));
    bool ok = GvDecode_Ended(&un.data, out);
    msgpack_unpacked_destroy(&un);
    msgpack_sbuffer_destroy(&sb);
    return ok;
}

/* Packs a row of the list of runs, decodes it and sets *out. */
static bool
decode_running(int64_t run, int64_t percent, gv_running_t *out)
{
    msgpack_unpacked un;
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    msgpack_packer pk = GvPack_Array(&sb, 4);
    GvPack_Str(&pk, GV_STR("00000000000000a1.0.0.0"));
    GvPack_Int(&pk, run);
    GvPack_Str(&pk, GV_STR(""));
    GvPack_Int(&pk, percent);
    ASSERT_OK(GvUnpack_Root(&un, GvStr_N(sb.data, sb.size)));
    bool ok = GvDecode_Running(&un.data, out);
    msgpack_unpacked_destroy(&un);
    msgpack_sbuffer_destroy(&sb);
    return ok;
}

/* Guards against a run that is taken for another one because its number is cut
   to 32 bits, and against an end with a negative number: all later ends of the
   target would count as known, and their tasks would never be done. */
TEST("/decode/rows", test_rows)
{
    static const int64_t bad_runs[] = {INT64_MIN, -1, 0, INT64_C(0x100000001),
                                       INT64_MAX};
    static const int64_t bad_ends[] = {INT64_MIN, -1, 0,
                                       GV_TARGET_ENDS_MAX + 1, INT64_MAX};
    gv_running_t r = {0};
    gv_ended_t e = {0};
    for (size_t i = 0; i < G_N_ELEMENTS(bad_runs); i++) {
        g_assert_false(decode_running(bad_runs[i], 50, &r));
        g_assert_false(decode_ended(1, bad_runs[i], &e));
    }
    for (size_t i = 0; i < G_N_ELEMENTS(bad_ends); i++) {
        g_assert_false(decode_ended(bad_ends[i], 1, &e));
    }
    g_assert_true(decode_running(UINT32_MAX, INT64_MAX, &r));
    g_assert_cmpuint(r.run, ==, UINT32_MAX);
    g_assert_cmpint(r.percent, ==, 100);
    g_assert_true(decode_running(1, INT64_MIN, &r));
    g_assert_cmpint(r.percent, ==, 0);
    g_assert_true(decode_ended(GV_TARGET_ENDS_MAX, 1, &e));
    g_assert_cmpuint(e.number, ==, GV_TARGET_ENDS_MAX);
}

/* Decodes the answer to a hold with n ended runs, the last of them numbered
   `last`, and returns whether its lists are well-formed. */
static bool
decode_hold(int n, int last, gv_hold_answer_t *a)
{
    msgpack_unpacked un;
    msgpack_sbuffer sb;
    msgpack_packer pk;
    msgpack_sbuffer_init(&sb);
    msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
    msgpack_pack_map(&pk, 1);
    GvPack_Str(&pk, GV_STR("finished"));
    msgpack_pack_array(&pk, (size_t)n);
    for (int i = 1; i <= n; i++) {
        msgpack_pack_array(&pk, 4);
        GvPack_Int(&pk, i == n ? last : i);
        GvPack_Str(&pk, GV_STR("00000000000000a1.0.0.0"));
        GvPack_Int(&pk, 1);
        GvPack_Str(&pk, GV_STR("done"));
    }
    ASSERT_OK(GvUnpack_Root(&un, GvStr_N(sb.data, sb.size)));
    gv_wire_t w = GvWire_Map(&un.data);
    *a = (gv_hold_answer_t){0};
    bool ok = GvDecode_Hold(&w, a);
    GvDecode_ClearHold(a);
    msgpack_unpacked_destroy(&un);
    msgpack_sbuffer_destroy(&sb);
    return ok;
}

/* Guards against a list of ends that was cut and is read as whole, and against
   one with a malformed row: runs that it leaves out would count as vanished.
 */
TEST("/decode/hold", test_hold)
{
    gv_hold_answer_t a;
    g_assert_true(decode_hold(GV_TARGET_ENDS_LISTED - 1, 1000, &a));
    g_assert_cmpint(a.n_ended, ==, GV_TARGET_ENDS_LISTED - 1);
    g_assert_false(a.ends_cut);
    g_assert_true(decode_hold(GV_TARGET_ENDS_LISTED, 1000, &a));
    g_assert_cmpint(a.n_ended, ==, GV_TARGET_ENDS_LISTED);
    g_assert_true(a.ends_cut);
    g_assert_false(decode_hold(GV_TARGET_ENDS_LISTED, 0, &a));
    g_assert_true(a.ends_cut);
}

/* Decodes the times of an answer with these two. */
static bool
decode_times(int64_t clock_ms, int64_t started_ms, gv_order_answer_t *a)
{
    msgpack_unpacked un;
    msgpack_sbuffer sb;
    msgpack_packer pk;
    msgpack_sbuffer_init(&sb);
    msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
    msgpack_pack_map(&pk, 2);
    GvWire_PutInt(&pk, "clockMs", clock_ms);
    GvWire_PutInt(&pk, "born", started_ms);
    ASSERT_OK(GvUnpack_Root(&un, GvStr_N(sb.data, sb.size)));
    gv_wire_t w = GvWire_Map(&un.data);
    bool ok = GvDecode_Times(&w, a);
    msgpack_unpacked_destroy(&un);
    msgpack_sbuffer_destroy(&sb);
    return ok;
}

/* Guards against a clock whose difference to that of this host overflows, and
   against a start after which no true answer of the target counts. */
TEST("/decode/times", test_times)
{
    static const int64_t clocks[] = {INT64_MIN, -1, GV_TARGET_CLOCK_MAX_MS + 1,
                                     INT64_MAX};
    static const int64_t starts[] = {INT64_MIN, -1, GV_WALL_MAX_MS + 1,
                                     INT64_MAX};
    gv_order_answer_t a = {.result = GV_ORDER_DONE};
    for (size_t i = 0; i < G_N_ELEMENTS(clocks); i++) {
        g_assert_false(decode_times(clocks[i], 1, &a));
        g_assert_false(decode_times(1, starts[i], &a));
        g_assert_cmpint(a.clock_ms, ==, 0);
        g_assert_cmpint(a.started_ms, ==, 0);
    }
    g_assert_true(decode_times(GV_TARGET_CLOCK_MAX_MS, GV_WALL_MAX_MS, &a));
    g_assert_cmpint(a.clock_ms, ==, GV_TARGET_CLOCK_MAX_MS);
    g_assert_cmpint(a.started_ms, ==, GV_WALL_MAX_MS);
    g_assert_cmpint(a.result, ==, GV_ORDER_DONE);
}

/* Decodes a listed host that is valid but for one field. */
static bool
decode_host(const char *name, gv_str_t text, int64_t number)
{
    field_t f = {.name = name, .text = text, .number = number};
    gv_host_info_t h = {0};
    msgpack_unpacked un;
    msgpack_sbuffer sb;
    msgpack_packer pk;
    msgpack_sbuffer_init(&sb);
    msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
    msgpack_pack_map(&pk, 5);
    put_text(&pk, "machine", "m-1", &f);
    put_text(&pk, "pool", "s", &f);
    put_text(&pk, "state", "up", &f);
    put_text(&pk, "id", "i-1", &f);
    GvPack_Str(&pk, GV_STR("capacity"));
    msgpack_pack_map(&pk, 1);
    put_number(&pk, "cpu", 4000, &f);
    ASSERT_OK(GvUnpack_Root(&un, GvStr_N(sb.data, sb.size)));
    bool ok = GvDecode_Host(&un.data, &h);
    GvStr_Free(&h.id);
    GvStr_Free(&h.pool);
    GvStr_Free(&h.target);
    msgpack_unpacked_destroy(&un);
    msgpack_sbuffer_destroy(&sb);
    return ok;
}

/* Guards against a listed host that stands for another one because its
   identifier is cut, and against a size for which the sums of the plan of
   moves overflow. */
TEST("/decode/host", test_host)
{
    gv_str_t none = GV_STR("");
    g_assert_true(decode_host("", none, 0));
    g_assert_true(decode_host("id", none, 0));
    g_assert_true(decode_host("cpu", none, GV_TARGET_CPU_MAX_MILLICORES));
    g_assert_false(decode_host("machine", GV_STR("m-1\0x"), 0));
    g_assert_false(decode_host("id", GV_STR("i-1\0x"), 0));
    g_assert_false(decode_host("state", GV_STR("asleep"), 0));
    g_assert_false(decode_host("cpu", none, -1));
    g_assert_false(decode_host("cpu", none, GV_TARGET_CPU_MAX_MILLICORES + 1));
    g_assert_false(decode_host("cpu", none, INT64_MAX));
}

/* Decodes the limits of a wave with these figures. */
static bool
decode_wave(double duration_s, int64_t cap, gv_wave_limits_t *l)
{
    msgpack_unpacked un;
    msgpack_sbuffer sb;
    msgpack_packer pk;
    msgpack_sbuffer_init(&sb);
    msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
    msgpack_pack_map(&pk, 2);
    GvPack_Str(&pk, GV_STR("durationS"));
    msgpack_pack_double(&pk, duration_s);
    GvWire_PutInt(&pk, "cap", cap);
    ASSERT_OK(GvUnpack_Root(&un, GvStr_N(sb.data, sb.size)));
    gv_wire_t w = GvWire_Map(&un.data);
    bool ok = GvDecode_WaveLimits(&w, l);
    msgpack_unpacked_destroy(&un);
    msgpack_sbuffer_destroy(&sb);
    return ok;
}

/* Guards against a wave under a number that the operator has not given, whose
   state would be reported, and against limits that are cut to a few bits: more
   hosts than allowed would be in maintenance at once. */
TEST("/decode/wave", test_wave)
{
    static const gv_str_t bad[] = {
        GV_STR("wave/"),    GV_STR("wave/x"),   GV_STR("wave/1x"),
        GV_STR("wave/1\0"), GV_STR("wave/-1"),  GV_STR("wave/ 1"),
        GV_STR("wave/0"),   GV_STR("wave/1/2"), GV_STR("wave/4294967297"),
        GV_STR("config")};
    gv_wave_limits_t l;
    int number = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        g_assert_false(GvDecode_WaveNumber(bad[i], &number));
    }
    g_assert_true(GvDecode_WaveNumber(GV_STR("wave/17"), &number));
    g_assert_cmpint(number, ==, 17);
    g_assert_false(decode_wave(-1, 1, &l));
    g_assert_false(decode_wave(1e300, 1, &l));
    g_assert_false(decode_wave(INFINITY, 1, &l));
    g_assert_false(decode_wave(60, -1, &l));
    g_assert_false(decode_wave(60, 0, &l));
    g_assert_false(decode_wave(60, INT64_C(0x100000064), &l));
    g_assert_true(decode_wave(60.5, 3, &l));
    g_assert_cmpint(l.duration_ms, ==, 60500);
    g_assert_cmpint(l.cap, ==, 3);
}

/* Guards against a list whose pages are read without end because a key is cut
   in the request for the next page or returned otherwise than written. */
TEST("/decode/pages", test_pages)
{
    gv_pages_t p;
    GvPages_Init(&p);
    g_assert_null(GvPages_EscapeLast(&p));
    g_assert_false(GvPages_EndPage(&p)); /* without an item */
    GvPages_SetLast(&p, GV_STR("a\0b"));
    GvPages_SetLast(&p, GV_STR(""));
    char *text = GvPages_EscapeLast(&p);
    g_assert_cmpstr(text, ==, "a%00b");
    g_free(text);
    g_assert_true(GvPages_EndPage(&p));
    GvPages_SetLast(&p, GV_STR("a"));
    g_assert_true(GvPages_EndPage(&p));
    GvPages_SetLast(&p, GV_STR("a\0b"));
    g_assert_false(GvPages_EndPage(&p));
    GvPages_Clear(&p);
    g_assert_null(GvPages_EscapeLast(&p));
    GvPages_SetLast(&p, GV_STR("a"));
    g_assert_true(GvPages_EndPage(&p));
    GvPages_Free(&p);
}

/* Decodes a job that is valid but for one field. */
static int
decode_job(const char *name, int64_t number)
{
    field_t f = {.name = name, .number = number};
    gv_job_t *job = NULL;
    msgpack_sbuffer sb;
    msgpack_packer pk;
    msgpack_sbuffer_init(&sb);
    msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
    msgpack_pack_map(&pk, 5);
    GvWire_PutStr(&pk, "spec", GV_STR("s"));
    put_number(&pk, "times", 2, &f);
    put_number(&pk, "firstMs", 1764000000000, &f);
    put_number(&pk, "intervalMs", 60000, &f);
    GvPack_Str(&pk, GV_STR("steps"));
    msgpack_pack_array(&pk, 1);
    msgpack_pack_map(&pk, 8);
    put_number(&pk, "count", 1, &f);
    put_number(&pk, "cpu", 500, &f);
    put_number(&pk, "memMb", 100, &f);
    put_number(&pk, "gpu", 0, &f);
    put_number(&pk, "estimateMs", 900, &f);
    put_number(&pk, "maxPerServer", 0, &f);
    put_number(&pk, "maxUnavailable", 0, &f);
    put_number(&pk, "goalMs", 0, &f);
    int rc = GvDecode_Job(GvStr_N(sb.data, sb.size), &job);
    GvJob_Free(job);
    msgpack_sbuffer_destroy(&sb);
    return rc;
}

/* Guards against a job that is accepted with another number than its caller
   gave, as it is cut to 32 bits or to the most tasks of a job, and against due
   times that overflow. */
TEST("/decode/job", test_job)
{
    static const char *const fields[] = {
        "firstMs",        "intervalMs", "count",      "cpu",
        "memMb",          "gpu",        "estimateMs", "maxPerServer",
        "maxUnavailable", "goalMs",     "times",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        ASSERT_OK(decode_job(fields[i], 1));
        g_assert_cmpint(decode_job(fields[i], -1), ==, GV_EINVAL);
        g_assert_cmpint(decode_job(fields[i], INT64_MAX), ==, GV_EINVAL);
        g_assert_cmpint(decode_job(fields[i], INT64_MIN), ==, GV_EINVAL);
    }
    g_assert_cmpint(decode_job("count", INT64_C(0x100000001)), ==, GV_EINVAL);
    g_assert_cmpint(decode_job("goalMs", INT64_C(0x100000001)), ==, GV_EINVAL);
}

TEST_MAIN
