#include <glib.h>
#include <string.h>

#include "error.h"
#include "limits.h"
#include "nodeconf.h"
#include "settings.h"
#include "support.h"

/* Compares all problems, each as a line "file:line: field: text". */
static void
assert_problems(const gv_problems_t *ps, const char *expected)
{
    GString *out = g_string_new(NULL);
    for (unsigned i = 0; i < ps->len; i++) {
        const gv_problem_t *p = g_ptr_array_index(ps, i);
        g_string_append_printf(out, "%s:%d: %s: %s\n", p->file.p, p->line,
                               p->field.p, p->text.p);
    }
    g_assert_cmpstr(out->str, ==, expected);
    g_string_free(out, TRUE);
}

/* Guards against reporting only the first problem of a file, or the wrong
   line. */
TEST("/settings/all-problems", test_all_problems)
{
    gv_problems_t *ps = GvProblems_New();
    gv_settings_t *s = GvSettings_New();
    int err = GvSettings_AddDocument(
        s, "a.yaml",
        GV_STR("kind: service\n"
               "service: bad name\n"
               "availability: {objective_percent: 100, min_hosts: -1}\n"
               "deadline: {default_ms: 9, max_ms: 8}\n"
               "teams:\n"
               "  - {name: a, quota: 1}\n"
               "  - {name: a, quota: 0}\n"
               "  - 3\n"
               "idempotent: {methods: [get], paths: [x]}\n"
               "idempotent: {}\n"
               "colour: red\n"
               "queue: 5\n"
               "---\n"
               "kind: pool\n"
               "pool: p\n"
               "is_spare: yes\n"
               "max_out: 2.5\n"
               "---\n"
               "kind: rack\n"
               "---\n"
               "- list\n"),
        ps);
    g_assert_cmpint(err, ==, GV_EINVAL);
    assert_problems(
        ps,
        "a.yaml:2: service: expected a name of 1 to 63 letters, digits, '-' "
        "or '_'\n"
        "a.yaml:3: availability.objective_percent: expected a number above 0 "
        "and below 100\n"
        "a.yaml:3: availability.min_hosts: expected an integer from 0 to "
        "16384\n"
        "a.yaml:7: teams[1].quota: expected an integer from 1 to 1000000\n"
        "a.yaml:7: teams[1]: repeated team a\n"
        "a.yaml:8: teams[2]: expected a mapping of fields\n"
        "a.yaml:9: idempotent.methods[0]: expected a method in upper-case "
        "letters\n"
        "a.yaml:9: idempotent.paths[0]: expected a path that begins with "
        "'/'\n"
        "a.yaml:10: idempotent: repeated field\n"
        "a.yaml:11: colour: unknown field\n"
        "a.yaml:12: queue: expected a mapping of fields\n"
        "a.yaml:1: pool: missing field\n"
        "a.yaml:4: deadline.default_ms: the default 9 is above max_ms 8\n"
        "a.yaml:16: is_spare: expected true or false\n"
        "a.yaml:17: max_out: expected an integer from 0 to 16384\n"
        "a.yaml:19: kind: expected service or pool\n"
        "a.yaml:21: : expected a mapping of fields\n");
    g_ptr_array_unref(ps);
    GvSettings_Unref(s);
}

/* Guards against accepting documents that are each valid but contradict each
   other. */
TEST("/settings/link", test_link)
{
    gv_problems_t *ps = GvProblems_New();
    gv_settings_t *s = GvSettings_New();
    GvSettings_AddDocument(
        s, "b.yaml", GV_STR("{kind: service, service: s, pool: none}\n"), ps);
    GvSettings_AddDocument(s, "a.yaml",
                           GV_STR("{kind: service, service: s, pool: p}\n---\n"
                                  "{kind: pool, pool: p, spare: q}\n---\n"
                                  "{kind: pool, pool: q, spare: none}\n---\n"
                                  "{kind: pool, pool: q}\n"),
                           ps);
    g_assert_cmpint(ps->len, ==, 0);
    g_assert_cmpint(GvSettings_Link(s, ps), ==, GV_EINVAL);
    assert_problems(
        ps, "b.yaml:1: service: service s is already declared in a.yaml line "
            "1\n"
            "b.yaml:1: pool: pool none is not declared\n"
            "a.yaml:3: spare: pool q is not a spare pool\n"
            "a.yaml:5: spare: pool none is not declared\n"
            "a.yaml:7: pool: pool q is already declared in a.yaml line 5\n");
    g_ptr_array_unref(ps);
    GvSettings_Unref(s);
}

/* Guards against values that are not copied from the file, and against a
   request that counts as idempotent because its path begins with the same
   letters. */
TEST("/settings/values", test_values)
{
    gv_settings_t *s = GvSettings_New();
    ASSERT_OK(GvSettings_AddDocument(
        s, "a.yaml",
        GV_STR("{kind: service, service: s, pool: p,\n"
               " availability: {objective_percent: 99.5, min_hosts: 6},\n"
               " teams: [{name: t, quota: 7}],\n"
               " idempotent: {methods: [GET], paths: [/quote]}}\n---\n"
               "{kind: pool, pool: p, max_out: 3, spare: q,\n"
               " reserve: {weight_waiting: 3}}\n---\n"
               "{kind: pool, pool: q, is_spare: true}\n"),
        NULL));
    g_assert_cmpint(GvSettings_Link(s, NULL), ==, GV_OK);
    const gv_service_t *sv = GvSettings_Service(s, GV_STR("s"));
    const gv_pool_t *p = GvSettings_Pool(s, GV_STR("p"));
    g_assert_cmpfloat(sv->objective_percent, ==, 99.5);
    g_assert_cmpint(sv->min_hosts, ==, 6);
    g_assert_cmpint(sv->teams[0].quota, ==, 7);
    g_assert_cmpint(sv->deadline_default_ms, ==, GV_DEADLINE_DEFAULT_MS);
    g_assert_cmpint(p->max_out, ==, 3);
    g_assert_cmpint(p->weight_waiting, ==, 3);
    g_assert_cmpint(p->weight_buffer, ==, 1);
    g_assert_true(GvSettings_Pool(s, p->spare)->is_spare);
    g_assert_true(GvService_IsIdempotent(sv, GV_STR("GET"), GV_STR("/x")));
    g_assert_false(GvService_IsIdempotent(sv, GV_STR("PUT"), GV_STR("/x")));
    g_assert_true(
        GvService_IsIdempotent(sv, GV_STR("POST"), GV_STR("/quote/1")));
    g_assert_true(
        GvService_IsIdempotent(sv, GV_STR("POST"), GV_STR("/quote?a=1")));
    g_assert_false(
        GvService_IsIdempotent(sv, GV_STR("POST"), GV_STR("/quotes")));
    GvSettings_Unref(s);
}

/* Checks that the settings reject a document with this text. */
static void
assert_invalid(gv_settings_t *s, const GString *text, gv_problems_t *ps)
{
    gv_str_t all = GvStr_N(text->str, text->len);
    g_assert_cmpint(GvSettings_AddDocument(s, "a", all, ps), ==, GV_EINVAL);
}

/* Guards against an unbounded list of problems, and against unbounded
   reading of a file that is too long or nested too deeply. */
TEST("/settings/bounds", test_bounds)
{
    gv_problems_t *ps = GvProblems_New();
    gv_settings_t *s = GvSettings_New();
    GString *text = g_string_new("kind: pool\npool: p\n");
    for (int i = 0; i < 2 * GV_SETTINGS_MAX_ERRORS; i++) {
        g_string_append_printf(text, "f%d: 1\n", i);
    }
    assert_invalid(s, text, ps);
    g_assert_cmpint(ps->len, ==, GV_SETTINGS_MAX_ERRORS);
    g_string_assign(text, "kind: ");
    for (int i = 0; i < 20000; i++) {
        g_string_append_c(text, '[');
    }
    assert_invalid(s, text, NULL);
    g_string_set_size(text, GV_SETTINGS_MAX_BYTES + 1);
    assert_invalid(s, text, NULL);
    g_string_free(text, TRUE);
    g_ptr_array_unref(ps);
    GvSettings_Unref(s);
}

/* Guards against a daemon that starts with a partly invalid configuration. */
TEST("/settings/nodeconf", test_nodeconf)
{
    gv_problems_t *ps = GvProblems_New();
    gv_nodeconf_t c;
    const char *valid = "name: e1\ndata_centre: k1\nregion: r\n"
                        "http: 127.0.0.1:8001\npeer: 127.0.0.1:7001\n"
                        "platform: 127.0.0.1:6001\nworkers: 8\npeers:\n"
                        "  - {name: e2, data_centre: k1, region: r, peer: "
                        "127.0.0.1:7002}\n";
    ASSERT_OK(GvNodeConf_Parse("n.yaml", GvStr_C(valid), &c, ps));
    g_assert_cmpstr(c.name.p, ==, "e1");
    g_assert_cmpint(c.workers, ==, 8);
    g_assert_cmpint(c.n_peers, ==, 1);
    g_assert_cmpstr(c.peers[0].addr.p, ==, "127.0.0.1:7002");
    GvNodeConf_Clear(&c);
    g_assert_cmpint(
        GvNodeConf_Parse("n.yaml",
                         GV_STR("name: e1\nregion: r\n"
                                "http: localhost:80\n"
                                "peer: 127.0.0.1:70000\n"
                                "platform: 127.0.0.1\nworkers: 0\n"
                                "peers:\n"
                                "  - {name: e1, data_centre: k1, region: r, "
                                "peer: 1.2.3.4:5}\n"),
                         &c, ps),
        ==, GV_EINVAL);
    g_assert_null(c.name.p);
    assert_problems(
        ps, "n.yaml:3: http: expected an address such as 127.0.0.1:8001\n"
            "n.yaml:4: peer: expected an address such as 127.0.0.1:8001\n"
            "n.yaml:5: platform: expected an address such as 127.0.0.1:8001\n"
            "n.yaml:6: workers: expected an integer from 1 to 512\n"
            "n.yaml:1: data_centre: missing field\n"
            "n.yaml:8: peers: peer e1 is this entry host\n");
    g_assert_cmpint(GvNodeConf_Parse("n.yaml", GV_STR(""), &c, ps), ==,
                    GV_EINVAL);
    g_assert_cmpint(GvNodeConf_Load("/nonexistent", &c, ps), ==, GV_EIO);
    g_ptr_array_unref(ps);
}

TEST_MAIN
