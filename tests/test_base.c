#include <glib.h>
#include <string.h>

#include "counter.h"
#include "error.h"
#include "outcome.h"
#include "pack.h"
#include "str.h"
#include "support.h"

/* A name with a separator in it would make tickets ambiguous. */
TEST("/base/names", test_names)
{
    g_assert_true(GvStr_IsName(GV_STR("parish-desk")));
    g_assert_false(GvStr_IsName(GV_STR("")));
    g_assert_false(GvStr_IsName(GV_STR("a.b")));
    g_assert_false(GvStr_IsName(GV_STR("a b")));
}

/* A wrong type in a message must end in one error, not in a crash. */
TEST("/base/unpack-errors", test_unpack_errors)
{
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    msgpack_packer pk;
    msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
    msgpack_pack_array(&pk, 2);
    GvPack_Uint(&pk, 7);
    GvPack_Str(&pk, GV_STR("x"));
    msgpack_unpacked un;
    g_assert_cmpint(GvUnpack_Root(&un, GvStr_N(sb.data, sb.size)), ==, GV_OK);
    gv_unpack_t u = GvUnpack_Array(&un.data, 2);
    g_assert_cmpint((int)GvUnpack_Uint(&u), ==, 7);
    GvUnpack_Uint(&u);
    g_assert_cmpint(u.err, ==, GV_EINVAL);
    g_assert_cmpint(GvUnpack_Str(&u).n, ==, 0);
    msgpack_unpacked_destroy(&un);
    g_assert_cmpint(GvUnpack_Root(&un, GvStr_N(sb.data, sb.size - 1)), ==,
                    GV_EINVAL);
    msgpack_unpacked_destroy(&un);
    msgpack_sbuffer_destroy(&sb);
}

GV_HISTOGRAM(sample_ms, "sample_ms", "A histogram of this test");

/* A histogram whose buckets were not cumulative, or that lost what is longer
   than the last bucket, would show wrong percentiles. */
TEST("/base/histogram", test_histogram)
{
    GString *out = g_string_new(NULL);
    GvHistogram_Observe(&sample_ms, -5);
    GvHistogram_Observe(&sample_ms, 1);
    GvHistogram_Observe(&sample_ms, 2);
    GvHistogram_Observe(&sample_ms, 3);
    GvHistogram_Observe(&sample_ms, 100000);
    GvCounter_Render(out);
    g_assert_nonnull(strstr(out->str, "sample_ms_bucket{le=\"1\"} 2\n"));
    g_assert_nonnull(strstr(out->str, "sample_ms_bucket{le=\"2\"} 3\n"));
    g_assert_nonnull(strstr(out->str, "sample_ms_bucket{le=\"4\"} 4\n"));
    g_assert_nonnull(strstr(out->str, "sample_ms_bucket{le=\"65536\"} 4\n"));
    g_assert_nonnull(strstr(out->str, "sample_ms_bucket{le=\"+Inf\"} 5\n"));
    g_assert_nonnull(strstr(out->str, "sample_ms_sum 100006\n"));
    g_assert_nonnull(strstr(out->str, "sample_ms_count 5\n"));
    g_string_free(out, TRUE);
}

TEST("/base/outcomes", test_outcomes)
{
    gv_outcome_t o;
    g_assert_cmpint(GvOutcome_Parse(GV_STR("not-run"), &o), ==, GV_OK);
    g_assert_cmpint(o, ==, GV_OUTCOME_NOT_RUN);
    g_assert_cmpint(GvOutcome_Parse(GV_STR("maybe"), &o), ==, GV_EINVAL);
}

TEST_MAIN
