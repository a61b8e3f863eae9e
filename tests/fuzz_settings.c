#include "fuzz_ledger.h"
#include "nodeconf.h"

static const char service[] =
    "kind: service\nservice: s\npool: p\n"
    "availability: {objective_percent: 99.9, min_hosts: 6}\n"
    "deadline: {default_ms: 5000, max_ms: 60000}\n"
    "teams:\n  - {name: crews, quota: 60}\n"
    "idempotent: {methods: [GET, PUT], paths: [/quote]}\n"
    "---\nkind: pool\npool: p\nmax_out: 2\nspare: q\n"
    "reserve: {weight_waiting: 3}\n---\n{kind: pool, pool: q, is_spare: "
    "true}\n";
static const char node[] =
    "name: e1\ndata_centre: k1\nregion: r\nhttp: 127.0.0.1:8001\n"
    "peer: 127.0.0.1:7001\nplatform: 127.0.0.1:6001\nworkers: 64\npeers:\n"
    "  - {name: e2, data_centre: k1, region: r, peer: 127.0.0.1:7002}\n";

/* Guards against settings and node files that crash their reader, and against
   a rejected file for which no problem is listed. Bit 0 of the first byte
   selects arbitrary input instead of edits of a valid file; bit 1 selects a
   node file instead of a service's. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    gv_nodeconf_t conf;
    if (size < 1) {
        return 0;
    }
    bool is_node = (data[0] & 2) != 0;
    bool plain = (data[0] & 1) != 0;
    gv_str_t text = GvStr_C(is_node ? node : service);
    char *bytes =
        plain ? g_memdup2(data + 1, size - 1) : g_memdup2(text.p, text.n);
    size_t n = plain ? size - 1 : text.n;
    gv_problems_t *ps = GvProblems_New();
    if (!plain) {
        edit(bytes, n, data + 1, size - 1);
    }
    if (is_node) {
        int err = GvNodeConf_Parse("f", GvStr_N(bytes, n), &conf, ps);
        g_assert_true((err == GV_OK) == (ps->len == 0));
        if (err == GV_OK) {
            GvNodeConf_Clear(&conf);
        }
    }
    else {
        gv_settings_t *s = GvSettings_New();
        int err = GvSettings_AddDocument(s, "f", GvStr_N(bytes, n), ps);
        g_assert_true((err == GV_OK) == (ps->len == 0));
        if (GvSettings_Link(s, ps) != GV_OK) {
            g_assert_cmpuint(ps->len, >, 0);
        }
        GvSettings_Unref(s);
    }
    g_ptr_array_unref(ps);
    g_free(bytes);
    return 0;
}
