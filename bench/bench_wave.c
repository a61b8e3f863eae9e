#include <math.h>
#include <string.h>

#include "bench.h"
#include "demand.h"
#include "feed.h"

/* Simulates a maintenance wave over one pool; the ledger decides on each
   claim. A rack with two hosts of the pool fails during the wave, and one host
   fails its maintenance, which halts the wave until an operator resumes it. */

enum { MAX_HOSTS = 192, OUT_MAX = 16 };

#define STEP_S             0.5
#define FAILURE_DURATION_S 120
#define OPERATOR_DELAY_S   60
#define RUN_LIMIT_S        (24 * 3600)
#define REBOOT_MIN_S       40
#define REBOOT_MAX_S       90

typedef struct {
    const char *name;
    int hosts;
    int dcs;
    int min_hosts; /* that have to be in service */
    int max_out;   /* claims at a time */
    double load;   /* mean demand divided by the pool's slots */
} wave_case_t;

typedef struct {
    double rollout_s;
    double max_hosts_out; /* under claim at a time */
    double below_min_s;   /* time with fewer than min_hosts in service */
    double wait_p99;      /* ms */
    double late_percent;  /* arriving work that waits more than 5 s */
} wave_result_t;

typedef struct {
    char name[24];
    char dc[8];
    char rack[12];
    int boot; /* number of the current boot */
    /* End of the current step: confirmation, reboot or failure. */
    double until_s;
} host_t;

typedef struct {
    const wave_case_t *wave_case;
    const gv_wave_policy_t *policy;
    GRand *rand;
    gv_feed_t feed;
    gv_flow_t flow;
    host_t hosts[MAX_HOSTS];
    double now_s;
    double resume_s;     /* time at which the operator resumes the wave */
    double rack_fails_s; /* time at which the rack fails */
    int failing_host;    /* index; its next maintenance fails; -1 afterwards */
    FILE *plot;          /* data file, or NULL */
} wave_sim_t;

/* Finds the simulated host of a ledger entry. */
static host_t *
host_of(wave_sim_t *s, const gv_ledger_host_t *h)
{
    for (int i = 0; i < s->wave_case->hosts; i++) {
        if (strcmp(s->hosts[i].name, h->name.p) == 0) {
            return &s->hosts[i];
        }
    }
    g_assert_not_reached();
}

/* Appends the state of a host to the ledger. */
static void
report(wave_sim_t *s, host_t *h, gv_host_state_t state)
{
    GvFeed_AppendHost(&s->feed, h->name, h->dc, h->rack, "pool", h->boot,
                      state);
}

/* Sets up the pool and starts the wave. */
static void
start(wave_sim_t *s, guint32 seed)
{
    const wave_case_t *c = s->wave_case;
    char yaml[512];
    g_snprintf(yaml, sizeof yaml,
               "kind: service\nservice: svc\npool: pool\n"
               "availability: {objective_percent: 99.9, min_hosts: %d}\n"
               "---\nkind: pool\npool: pool\nmax_out: %d\n",
               c->min_hosts, c->max_out);
    s->rand = g_rand_new_with_seed(seed + 500);
    GvFeed_Init(&s->feed);
    GvFeed_AppendSettings(&s->feed, yaml);
    GvFeed_AppendJoin(&s->feed, "bench", "d0");
    GvFlow_Init(&s->flow, seed, 0, c->load * c->hosts * 8);
    for (int i = 0; i < c->hosts; i++) {
        host_t *h = &s->hosts[i];
        int k = i / c->dcs; /* number within the data centre */
        g_snprintf(h->dc, sizeof h->dc, "d%d", i % c->dcs);
        /* Two hosts of a rack belong to the pool, two to other pools. */
        g_snprintf(h->rack, sizeof h->rack, "%s-r%d", h->dc, k / 2);
        g_snprintf(h->name, sizeof h->name, "%s-host%d", h->dc, k);
        h->boot = 1;
        report(s, h, GV_HOST_UP);
    }
    GvLedger_PackWave(&s->feed.payload, GV_STR("wave"), GV_STR("pool"),
                      c->max_out, GV_WAVE_START);
    (void)GvFeed_Append(&s->feed, "wave");
    s->rack_fails_s = g_rand_double_range(s->rand, 100, 300);
    s->failing_host = g_rand_int_range(s->rand, 1, c->hosts);
}

/* Appends the next record of a claim if its current step has ended. */
static void
advance(wave_sim_t *s, const gv_ledger_host_t *h)
{
    host_t *host = host_of(s, h);
    gv_str_t me = GV_STR("bench");
    gv_claim_t *c = h->claim;
    if (s->now_s < host->until_s) {
        return;
    }
    switch (c->phase) {
    case GV_PHASE_GRANTED:
        GvLedger_PackConfirm(&s->feed.payload, h->name, c->offset, me, 1);
        (void)GvFeed_Append(&s->feed, "confirm");
        break;
    case GV_PHASE_CLEAR:
        GvLedger_PackAct(&s->feed.payload, h->name, c->offset, me, 1);
        (void)GvFeed_Append(&s->feed, "act");
        host->until_s = s->now_s + g_rand_double_range(s->rand, REBOOT_MIN_S,
                                                       REBOOT_MAX_S);
        host->boot++;
        break;
    case GV_PHASE_STOPPING: {
        bool bad = (int)(host - s->hosts) == s->failing_host;
        GvLedger_PackDone(&s->feed.payload, h->name, c->offset,
                          bad ? GV_DONE_FAILED : GV_DONE_HEALTHY);
        (void)GvFeed_Append(&s->feed, "done");
        if (bad) {
            s->failing_host = -1;
            host->until_s = s->now_s + FAILURE_DURATION_S;
            s->resume_s = s->now_s + OPERATOR_DELAY_S;
        }
        break;
    }
    }
}

/* Fails the hosts of a random rack that are up and not under claim. */
static void
fail_rack(wave_sim_t *s)
{
    const GPtrArray *hosts = GvLedger_Hosts(s->feed.ledger);
    int at = g_rand_int_range(s->rand, 0, s->wave_case->hosts);
    for (guint i = 0; i < hosts->len; i++) {
        const gv_ledger_host_t *h = hosts->pdata[i];
        host_t *host = host_of(s, h);
        if (strcmp(host->rack, s->hosts[at].rack) == 0 && h->claim == NULL &&
            h->state == GV_HOST_UP) {
            host->until_s = s->now_s + FAILURE_DURATION_S;
            report(s, host, GV_HOST_FAILED);
        }
    }
}

/* Continues all claims, and brings failed hosts back when it is time. */
static void
advance_all(wave_sim_t *s)
{
    const GPtrArray *hosts = GvLedger_Hosts(s->feed.ledger);
    for (guint i = 0; i < hosts->len; i++) {
        const gv_ledger_host_t *h = hosts->pdata[i];
        if (h->claim != NULL) {
            advance(s, h);
        }
        else if (h->state == GV_HOST_FAILED &&
                 s->now_s >= host_of(s, h)->until_s) {
            host_of(s, h)->boot++;
            report(s, host_of(s, h), GV_HOST_UP);
        }
    }
}

/* Claims the hosts that the policy picks now. */
static void
plan(wave_sim_t *s, const gv_wave_t *w)
{
    const gv_ledger_host_t *out[OUT_MAX];
    char names[OUT_MAX][24];
    int n = s->policy->plan(s->feed.ledger, w, &s->flow.demand, GV_STR(""),
                            out, OUT_MAX);
    for (int i = 0; i < n; i++) {
        g_strlcpy(names[i], out[i]->name.p, sizeof names[i]);
        host_of(s, out[i])->until_s =
            s->now_s + g_rand_double_range(s->rand, 1, 3);
    }
    for (int i = 0; i < n; i++) {
        GvLedger_PackClaim(&s->feed.payload, GvStr_C(names[i]),
                           GV_CLAIM_MAINTENANCE, w->name, GV_STR(""),
                           GV_STR("bench"), 1);
        (void)GvFeed_Append(&s->feed, "claim");
    }
}

/* Adds one step to the result and to the plot data, and lets work arrive. */
static void
measure(wave_sim_t *s, wave_result_t *r)
{
    const GPtrArray *hosts = GvLedger_Hosts(s->feed.ledger);
    int serving = 0;
    int claims = 0;
    for (guint i = 0; i < hosts->len; i++) {
        const gv_ledger_host_t *h = hosts->pdata[i];
        serving += h->state == GV_HOST_UP && h->claim == NULL;
        claims += h->claim != NULL;
    }
    r->max_hosts_out = MAX(r->max_hosts_out, claims);
    r->below_min_s += serving < s->wave_case->min_hosts ? STEP_S : 0;
    GvFlow_Step(&s->flow, s->now_s, STEP_S, serving * 8);
    if (s->plot != NULL) {
        fprintf(s->plot, "%.1f\t%d\t%d\t%.0f\n", s->now_s, serving, claims,
                s->flow.wait_ms);
    }
}

/* Runs one wave until it is done, or for RUN_LIMIT_S. */
static wave_result_t
run_wave(const wave_case_t *c, const char *policy, guint32 seed, FILE *plot)
{
    wave_result_t r = {0};
    wave_sim_t s = {.wave_case = c, .plot = plot};
    s.policy = (const gv_wave_policy_t *)GvRegistry_Find(GV_PLUGIN_WAVE,
                                                         GvStr_C(policy));
    start(&s, seed);
    const gv_wave_t *w = GvLedger_Wave(s.feed.ledger, GV_STR("wave"));
    bool failed = false;
    while (w->state != GV_WAVE_DONE && s.now_s < RUN_LIMIT_S) {
        s.now_s += STEP_S;
        s.feed.now_ms += (int64_t)(STEP_S * 1000);
        if (!failed && s.now_s >= s.rack_fails_s) {
            failed = true;
            fail_rack(&s);
        }
        advance_all(&s);
        if (w->state == GV_WAVE_HALTED && s.now_s >= s.resume_s) {
            GvLedger_PackWave(&s.feed.payload, w->name, w->pool, w->width,
                              GV_WAVE_RESUME);
            (void)GvFeed_Append(&s.feed, "wave");
        }
        plan(&s, w);
        measure(&s, &r);
    }
    /* The planner must propose nothing that the ledger rejects. */
    g_assert(s.feed.rejected == 0);
    r.rollout_s = s.now_s;
    r.wait_p99 = GvBench_Percentile(s.flow.waits, 99);
    r.late_percent = 100 * s.flow.late / MAX(s.flow.arrived, 1);
    GvFlow_Clear(&s.flow);
    GvFeed_Clear(&s.feed);
    g_rand_free(s.rand);
    return r;
}

/* Writes the rows of "adaptive" against the baseline policy. */
static void
compare(const gv_bench_t *b, const wave_case_t *c, const char *base)
{
    static const char *const names[] = {
        "roll-out time", "hosts out at most", "time below budget",
        "waiting of arriving work, p99", "work that waits more than 5 s"};
    static const char *const units[] = {"s", "hosts", "s", "ms", "%"};
    double v[2][5][GV_BENCH_SEEDS];
    for (int i = 0; i < GV_BENCH_SEEDS; i++) {
        for (int k = 0; k < 2; k++) {
            wave_result_t r = run_wave(c, k == 0 ? "adaptive" : base,
                                       gv_bench_seeds[i], NULL);
            v[k][0][i] = r.rollout_s;
            v[k][1][i] = r.max_hosts_out;
            v[k][2][i] = r.below_min_s;
            v[k][3][i] = r.wait_p99;
            v[k][4][i] = r.late_percent;
        }
    }
    for (int m = 0; m < 5; m++) {
        char name[128];
        g_snprintf(name, sizeof name, "wave, %s: %s", c->name, names[m]);
        double x[2];
        gv_bench_aggregate_t of = m == 1 || m == 2 ? GV_BENCH_MAX_OF_SEEDS
                                                   : GV_BENCH_MEDIAN_OF_SEEDS;
        for (int k = 0; k < 2; k++) {
            /* Hosts out and time below the budget are limits, so their rows
               have the maximum over the seeds. */
            x[k] = of == GV_BENCH_MAX_OF_SEEDS
                       ? GvBench_Max(v[k][m], GV_BENCH_SEEDS)
                       : GvBench_Median(v[k][m], GV_BENCH_SEEDS);
        }
        GvBench_WriteRow(b, name, of, x[0], units[m], base, x[1]);
    }
}

/* Writes a plot data file of one case with all policies. */
static void
write_wave(const gv_bench_t *b, const wave_case_t *c, const char *file)
{
    static const char *const policies[] = {"adaptive", "fixed", "one"};
    /* Plot the seed with which "fixed" is below the budget for longest: it
       shows the difference best. */
    guint32 seed = gv_bench_seeds[0];
    double worst = 0;
    for (int i = 0; i < GV_BENCH_SEEDS; i++) {
        wave_result_t r = run_wave(c, "fixed", gv_bench_seeds[i], NULL);
        if (r.below_min_s > worst) {
            worst = r.below_min_s;
            seed = gv_bench_seeds[i];
        }
    }
    FILE *f = GvBench_OpenData(b, file);
    for (int p = 0; p < 3; p++) {
        fprintf(f, "# %s: s, hosts in service, hosts under claim, waiting\n",
                policies[p]);
        (void)run_wave(c, policies[p], seed, f);
        fprintf(f, "\n\n");
    }
    (void)fclose(f);
}

/* Compares the wave policy with both baselines, for a pool of 12 hosts and for
   one of the size that the system is built for. */
void
GvBench_RunWave(const gv_bench_t *b)
{
    static const wave_case_t cases[] = {
        {"12 hosts", 12, 4, 8, 3, 0.3},
        {"12 hosts, low load", 12, 4, 8, 3, 0.1},
        {"12 hosts, tight budget", 12, 4, 9, 3, 0.1},
        {"181 hosts", 181, 17, 150, 8, 0.3}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        compare(b, &cases[i], "fixed");
        compare(b, &cases[i], "one");
    }
    /* The budget of the second plot allows only one host at a time, so only
       the first shows how many hosts "adaptive" takes out at a time. */
    write_wave(b, &cases[1], "wave_wide.dat");
    write_wave(b, &cases[2], "wave_tight.dat");
}
