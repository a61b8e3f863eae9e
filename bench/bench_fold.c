#include <malloc.h>
#include <time.h>

#include "bench.h"
#include "feed.h"

/* Cost of the ledger at growing sizes: time to apply a record, memory of the
   state that the records add up to, size of a checkpoint, time to load it. */

/* Each round claims one other host of each pool. */
enum { CLAIM_ROUNDS = 4, CHECKPOINT_MAX_BYTES = 1024 * 1024 };

typedef struct {
    int hosts;
    int pools;
    int entries; /* entry hosts */
    int dcs;     /* data centres */
} size_case_t;

typedef struct {
    double host_us;      /* for each record of a host's state */
    double claim_us;     /* for each record of a claim's life */
    double ledger_bytes; /* allocated memory */
    double checkpoint_bytes;
    double load_ms;  /* of the checkpoint */
    double rejected; /* records that the ledger rejected */
} cost_t;

static double
now_us(void)
{
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

/* Returns the memory that the process has allocated with malloc. */
static double
allocated_bytes(void)
{
    return (double)mallinfo2().uordblks;
}

/* Publishes one service and one pool for each pool of the case. */
static void
publish_settings(gv_feed_t *f, const size_case_t *c)
{
    GString *yaml = g_string_new("");
    for (int i = 0; i < c->pools; i++) {
        g_string_append_printf(
            yaml,
            "---\nkind: service\nservice: svc%d\npool: pool%d\n"
            "availability: {objective_percent: 99.9, min_hosts: %d}\n"
            "---\nkind: pool\npool: pool%d\nmax_out: 8\n",
            i, i, c->hosts / c->pools / 2, i);
    }
    GvFeed_AppendSettings(f, yaml->str);
    g_string_free(yaml, TRUE);
}

/* Formats the names of host i, of its data centre and of its rack. Hosts are
   spread over the data centres in turn, four in each rack. */
static void
format_names(const size_case_t *c, int i, char host[24], char dc[8],
             char rack[16])
{
    int d = i % c->dcs;
    g_snprintf(host, 24, "dc%02d-host-%04d", d, i);
    g_snprintf(dc, 8, "dc%02d", d);
    g_snprintf(rack, 16, "dc%02d-r%03d", d, i / c->dcs / 4);
}

/* Appends the state of host i, up after its boot of that number. */
static void
append_host(gv_feed_t *f, const size_case_t *c, int i, int boot)
{
    char host[24];
    char dc[8];
    char rack[16];
    char pool[16];
    format_names(c, i, host, dc, rack);
    g_snprintf(pool, sizeof pool, "pool%d", i % c->pools);
    GvFeed_AppendHost(f, host, dc, rack, pool, boot, GV_HOST_UP);
}

/* Claims one host of each pool for a drain, confirms the claim for all entry
   hosts that have to and cancels it. Returns how many records it appended. */
static int
append_claims(gv_feed_t *f, const size_case_t *c, int round)
{
    int records = 0;
    for (int p = 0; p < c->pools; p++) {
        char host[24];
        char dc[8];
        char rack[16];
        format_names(c, p + round * c->pools, host, dc, rack);
        gv_str_t h = GvStr_C(host);
        GvLedger_PackClaim(&f->payload, h, GV_CLAIM_DRAIN, GV_STR(""),
                           GV_STR(""), GV_STR("bench"), 1);
        (void)GvFeed_Append(f, "claim");
        if (GvLedger_Host(f->ledger, h) == NULL) {
            continue;
        }
        uint64_t claim = GvLedger_Host(f->ledger, h)->claim->offset;
        for (int e = p % c->dcs; e < c->entries; e += c->dcs) {
            const gv_ledger_host_t *l = GvLedger_Host(f->ledger, h);
            if (l->claim->waiting->len == 0) {
                break;
            }
            const char *who = l->claim->waiting->pdata[0];
            GvLedger_PackConfirm(&f->payload, h, claim, GvStr_C(who), 1);
            (void)GvFeed_Append(f, "confirm");
            records++;
        }
        GvLedger_PackDone(&f->payload, h, claim, GV_DONE_CANCELLED);
        (void)GvFeed_Append(f, "done");
        records += 2;
    }
    return records;
}

/* Saves the ledger as a checkpoint, loads that again, and measures both its
   size and the time to load it. */
static void
load_checkpoint(const gv_feed_t *f, cost_t *cost)
{
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    GvLedger_Save(f->ledger, &sb);
    cost->checkpoint_bytes = (double)sb.size;
    gv_ledger_t *copy = NULL;
    double from = now_us();
    int err = GvLedger_Load(GvStr_N(sb.data, sb.size), &copy);
    cost->load_ms = (now_us() - from) / 1000;
    g_assert(err == 0);
    g_assert(GvLedger_Digest(copy) == GvLedger_Digest(f->ledger));
    GvLedger_Free(copy);
    msgpack_sbuffer_destroy(&sb);
}

/* Builds a ledger of the case's size and measures its costs. Host records are
   timed on hosts that the ledger already has. */
static cost_t
measure_case(const size_case_t *c)
{
    cost_t cost = {0};
    gv_feed_t f;
    double held = allocated_bytes();
    GvFeed_Init(&f);
    publish_settings(&f, c);
    GvFeed_AppendJoin(&f, "bench", "dc00");
    for (int i = 0; i < c->entries - 1; i++) {
        char name[24];
        char dc[8];
        g_snprintf(name, sizeof name, "entry%d", i);
        g_snprintf(dc, sizeof dc, "dc%02d", i % c->dcs);
        GvFeed_AppendJoin(&f, name, dc);
    }
    for (int i = 0; i < c->hosts; i++) {
        append_host(&f, c, i, 1);
    }
    double from = now_us();
    for (int i = 0; i < c->hosts; i++) {
        append_host(&f, c, i, 2);
    }
    cost.host_us = (now_us() - from) / c->hosts;
    int records = 0;
    from = now_us();
    for (int r = 0; r < CLAIM_ROUNDS; r++) {
        records += append_claims(&f, c, r);
    }
    cost.claim_us = (now_us() - from) / records;
    cost.ledger_bytes = allocated_bytes() - held;
    cost.rejected = f.rejected;
    load_checkpoint(&f, &cost);
    GvFeed_Clear(&f);
    return cost;
}

/* Measures the costs at four sizes; the last is the size that the system is
   built for. Nothing here is random, and times depend on the machine, so each
   case runs GV_BENCH_SEEDS times without a seed. */
void
GvBench_RunFold(const gv_bench_t *b)
{
    static const size_case_t cases[] = {{60, 5, 8, 4},
                                        {500, 8, 24, 6},
                                        {2000, 16, 64, 12},
                                        {5800, 32, 136, 17}};
    static const char *const names[] = {
        "host record",     "record of a claim", "ledger memory",
        "checkpoint size", "checkpoint load",   "records that did not fit"};
    static const char *const units[] = {"us",    "us", "bytes",
                                        "bytes", "ms", "records"};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        double v[6][GV_BENCH_SEEDS];
        for (int k = 0; k < GV_BENCH_SEEDS; k++) {
            cost_t c = measure_case(&cases[i]);
            v[0][k] = c.host_us;
            v[1][k] = c.claim_us;
            v[2][k] = c.ledger_bytes;
            v[3][k] = c.checkpoint_bytes;
            v[4][k] = c.load_ms;
            v[5][k] = c.rejected;
        }
        for (int m = 0; m < 6; m++) {
            char name[128];
            g_snprintf(name, sizeof name,
                       "fold, %d hosts, %d pools, %d entry hosts: %s",
                       cases[i].hosts, cases[i].pools, cases[i].entries,
                       names[m]);
            bool size = m == 3;
            GvBench_WriteRow(b, name, GV_BENCH_MEDIAN_OF_RUNS,
                             GvBench_Median(v[m], GV_BENCH_SEEDS), units[m],
                             size ? "limit" : NULL,
                             size ? CHECKPOINT_MAX_BYTES : 0);
        }
    }
}
