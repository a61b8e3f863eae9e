#include <math.h>
#include <string.h>

#include "bench.h"
#include "demand.h"
#include "reserve.h"

/* Simulates four pools and their spare pool, ten hosts each, for four hours.
   One pool at a time has a burst of work, and each pool's mean demand varies
   by half in a period of one hour. The spare pool's own work can use any host,
   so the buffer cost counts only the hosts that the other pools hold above
   what their running work needs. */

enum {
    POOLS = GV_LOAD_SERVICES,
    SPARE_POOL = 4, /* index */
    HOSTS_PER_POOL = 10,
    SLOTS = 8, /* of a host */
    MIN_HOSTS = 6
};

#define HOURS              4
#define STEP_S             0.5
#define MEAN_LOAD          0.25
#define MOVE_DURATION_S    4.0 /* from the claim to the last confirmation */
#define FAILURE_DURATION_S 120.0
/* One failure in each pool every hour on average, which is far more often than
   real hosts are expected to fail. */
#define FAILURE_INTERVAL_S 3600.0

typedef struct {
    int waiting; /* weight of waiting time */
    int buffer;  /* weight of buffer cost */
    const char *name;
} weights_t;

typedef struct {
    double buffer_hours; /* host-hours above what running work needs */
    double moves;
    double below_min_s;  /* pool-seconds below MIN_HOSTS */
    double wait_p99;     /* ms */
    double late_percent; /* arriving work that waits more than 5 s */
} reserve_result_t;

typedef struct {
    GRand *rand;
    gv_pool_t *settings;
    gv_reserve_pool_t pools[POOLS];
    gv_flow_t flows[POOLS];
    int hosts[POOLS];  /* in the pool, up or failed; without a moving host */
    int failed[POOLS]; /* of these, the failed ones */
    double repaired_s[POOLS];
    double next_failure_s[POOLS];
    gv_reserve_move_t move; /* in progress; from is -1 if there is none */
    double move_ends_s;
} reserve_sim_t;

/* Sets up the pools, their flows of work and their first failures. */
static void
start(reserve_sim_t *s, const weights_t *w, guint32 seed)
{
    static const char *const names[POOLS] = {
        "routing", "tendering", "dispatch", "compliance", "hq-admin"};
    *s = (reserve_sim_t){.rand = g_rand_new_with_seed(seed + 900),
                         .settings = g_new0(gv_pool_t, POOLS),
                         .move = {-1, -1}};
    for (int i = 0; i < POOLS; i++) {
        s->settings[i] = (gv_pool_t){.name = GvStr_C(names[i]),
                                     .spare = GvStr_C(names[SPARE_POOL]),
                                     .is_spare = i == SPARE_POOL,
                                     .max_out = 2,
                                     .weight_waiting = w->waiting,
                                     .weight_buffer = w->buffer};
        GvFlow_Init(&s->flows[i], seed, i, MEAN_LOAD * HOSTS_PER_POOL * SLOTS);
        s->hosts[i] = HOSTS_PER_POOL;
        s->next_failure_s[i] =
            g_rand_double_range(s->rand, 0, FAILURE_INTERVAL_S);
    }
}

/* Fails and repairs hosts when it is time; one host of a pool at most. */
static void
fail_hosts(reserve_sim_t *s, double now)
{
    for (int i = 0; i < POOLS; i++) {
        if (s->failed[i] > 0 && now >= s->repaired_s[i]) {
            s->failed[i] = 0;
        }
        if (now >= s->next_failure_s[i]) {
            s->failed[i] = 1;
            s->repaired_s[i] = now + FAILURE_DURATION_S;
            s->next_failure_s[i] =
                now +
                FAILURE_INTERVAL_S * g_rand_double_range(s->rand, 0.5, 1.5);
        }
    }
}

/* Ends the move in progress when its time has come, then starts the next one
   that the policy proposes. */
static void
move_hosts(reserve_sim_t *s, const gv_reserve_policy_t *policy, double now,
           reserve_result_t *r)
{
    if (s->move.from >= 0) {
        if (now < s->move_ends_s) {
            return;
        }
        s->hosts[s->move.to]++;
        s->move.from = -1;
    }
    for (int i = 0; i < POOLS; i++) {
        gv_reserve_pool_t *p = &s->pools[i];
        p->pool = &s->settings[i];
        p->demand = s->flows[i].demand;
        p->hosts = s->hosts[i] - s->failed[i];
        p->slots = SLOTS;
        p->min_hosts = MIN_HOSTS;
    }
    int64_t now_ms = (int64_t)(now * 1000);
    gv_reserve_move_t m = policy->propose(s->pools, POOLS, now_ms);
    /* The ledger refuses a claim that takes a pool below its minimum. */
    if (m.from < 0 || s->pools[m.from].hosts - 1 < MIN_HOSTS) {
        return;
    }
    s->hosts[m.from]--;
    s->pools[m.from].last_move_ms = now_ms;
    s->pools[m.to].last_move_ms = now_ms;
    s->move = m;
    s->move_ends_s = now + MOVE_DURATION_S;
    r->moves++;
}

/* Runs one simulation with the policy, weights and seed. */
static reserve_result_t
run_reserve(const char *policy, const weights_t *w, guint32 seed)
{
    reserve_result_t r = {0};
    reserve_sim_t s;
    GArray *waits = g_array_new(FALSE, FALSE, sizeof(double));
    double arrived = 0;
    start(&s, w, seed);
    const gv_reserve_policy_t *p =
        (const gv_reserve_policy_t *)GvRegistry_Find(GV_PLUGIN_RESERVE,
                                                     GvStr_C(policy));
    int steps = (int)(HOURS * 3600 / STEP_S);
    for (int k = 1; k <= steps; k++) {
        double now = k * STEP_S;
        fail_hosts(&s, now);
        move_hosts(&s, p, now, &r);
        for (int i = 0; i < POOLS; i++) {
            gv_flow_t *f = &s.flows[i];
            int serving = s.hosts[i] - s.failed[i];
            double phase = 2 * G_PI * (now / 3600 + i / (double)POOLS);
            f->mean_slots =
                MEAN_LOAD * HOSTS_PER_POOL * SLOTS * (1 + 0.5 * sin(phase));
            GvFlow_Step(f, now, STEP_S, serving * SLOTS);
            r.below_min_s += serving < MIN_HOSTS ? STEP_S : 0;
            double needed = f->demand.busy_slots / SLOTS;
            r.buffer_hours +=
                i == SPARE_POOL ? 0
                                : MAX(s.hosts[i] - needed, 0) * STEP_S / 3600;
        }
    }
    for (int i = 0; i < POOLS; i++) {
        if (i != SPARE_POOL) {
            g_array_append_vals(waits, s.flows[i].waits->data,
                                s.flows[i].waits->len);
            arrived += s.flows[i].arrived;
            r.late_percent += s.flows[i].late;
        }
        GvFlow_Clear(&s.flows[i]);
    }
    r.wait_p99 = GvBench_Percentile(waits, 99);
    /* Until here the sum of late work in slot seconds. */
    r.late_percent = 100 * r.late_percent / MAX(arrived, 1);
    g_array_free(waits, TRUE);
    g_free(s.settings);
    g_rand_free(s.rand);
    return r;
}

/* Writes the rows of "hysteresis" against the baseline policy. */
static void
compare(const gv_bench_t *b, const weights_t *w, const char *base)
{
    static const char *const names[] = {
        "buffer cost", "moves", "time below budget",
        "waiting of arriving work, p99", "work that waits more than 5 s"};
    static const char *const units[] = {"host-hours", "moves", "s", "ms", "%"};
    double v[2][5][GV_BENCH_SEEDS];
    for (int i = 0; i < GV_BENCH_SEEDS; i++) {
        for (int k = 0; k < 2; k++) {
            reserve_result_t r = run_reserve(k == 0 ? "hysteresis" : base, w,
                                             gv_bench_seeds[i]);
            v[k][0][i] = r.buffer_hours;
            v[k][1][i] = r.moves;
            v[k][2][i] = r.below_min_s;
            v[k][3][i] = r.wait_p99;
            v[k][4][i] = r.late_percent;
        }
    }
    for (int m = 0; m < 5; m++) {
        char name[128];
        double x[2];
        gv_bench_aggregate_t of =
            m == 2 ? GV_BENCH_MAX_OF_SEEDS : GV_BENCH_MEDIAN_OF_SEEDS;
        g_snprintf(name, sizeof name, "reserve, weights of %s: %s", w->name,
                   names[m]);
        for (int k = 0; k < 2; k++) {
            x[k] = of == GV_BENCH_MAX_OF_SEEDS
                       ? GvBench_Max(v[k][m], GV_BENCH_SEEDS)
                       : GvBench_Median(v[k][m], GV_BENCH_SEEDS);
        }
        GvBench_WriteRow(b, name, of, x[0], units[m], base, x[1]);
    }
}

/* Compares the reserve policy with both baselines, with the weights of each
   deployment. */
void
GvBench_RunReserve(const gv_bench_t *b)
{
    static const weights_t weights[] = {{3, 1, "Kladeftis"},
                                        {1, 3, "Derwent"}};
    for (size_t i = 0; i < G_N_ELEMENTS(weights); i++) {
        compare(b, &weights[i], "static");
        compare(b, &weights[i], "eager");
    }
}
