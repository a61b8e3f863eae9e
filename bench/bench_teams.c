#include <time.h>

#include "compare.h"
#include "queue.h"

/* One data centre of a pool at the size that the system is built for: 181
   hosts in 17 data centres with 8 entry hosts each. */
static const gv_sim_opts_t default_opts = {.queue = "fair",
                                           .place = "least-loaded",
                                           .retry = "safe",
                                           .entries = 8,
                                           .targets = 11,
                                           .seconds = 300,
                                           .load = 0.45,
                                           .teams = GV_SIM_TEAMS_MAX,
                                           .lending = true,
                                           .cancels = true};

enum {
    TEAMS = GV_SIM_TEAMS_MAX,
    QUEUED = 520,          /* waiting while decisions are timed */
    BATCH = 104,           /* decisions timed together */
    ROUNDS = 500,          /* batches of a run */
    STARTS = 26000,        /* 200 for each team */
    OFFERS_PER_START = 24, /* so that every team offers more than its share */
    SLOTS = 11,            /* of one entry host */
    RUN_MS = 100,
    DEADLINE_MS = 5000,
    DISTANT_DEADLINE_MS = 60000 /* so late that no request is refused for it */
};

static double
within_quota_p50(gv_sim_result_t *r)
{
    return GvBench_Percentile(r->within_quota_wait, 50);
}

static double
within_quota_p99(gv_sim_result_t *r)
{
    return GvBench_Percentile(r->within_quota_wait, 99);
}

static double
above_quota_p50(gv_sim_result_t *r)
{
    return GvBench_Percentile(r->above_quota_wait, 50);
}

static const gv_metric_t metrics[] = {
    {"urgent work not started", "%", GvCompare_UrgentNotStarted},
    {"waiting of short work of teams within quota, p50", "ms",
     within_quota_p50},
    {"waiting of short work of teams within quota, p99", "ms",
     within_quota_p99},
    {"waiting of short work of the team above quota, p50", "ms",
     above_quota_p50},
    {"answered in time", "%", GvCompare_InTime}};

/* Writes the longest wait of urgent work. Its bound holds for every run, so
   the row has the maximum over the seeds. */
static void
write_urgent(const gv_bench_t *b)
{
    static const char *const policies[] = {"fair", "fifo"};
    double worst[2][GV_BENCH_SEEDS];
    for (int i = 0; i < GV_BENCH_SEEDS; i++) {
        for (int k = 0; k < 2; k++) {
            gv_sim_opts_t o = default_opts;
            o.queue = policies[k];
            o.seed = gv_bench_seeds[i];
            gv_sim_result_t r;
            GvSim_Run(&o, &r);
            worst[k][i] = GvBench_Percentile(r.urgent_wait, 100);
            GvSim_Clear(&r);
        }
    }
    GvBench_WriteRow(b, "130 teams: urgent start, worst",
                     GV_BENCH_MAX_OF_SEEDS,
                     GvBench_Max(worst[0], GV_BENCH_SEEDS), "ms", "fifo",
                     GvBench_Max(worst[1], GV_BENCH_SEEDS));
}

/* One queue, driven without targets. */
typedef struct {
    const gv_queue_policy_t *policy;
    gv_queue_t *queue;
    gv_team_t teams[TEAMS];
    char names[TEAMS][8];
    GRand *rand;
} queue_bench_t;

/* Creates a queue for that many teams with equal quotas. */
static void
queue_bench_init(queue_bench_t *q, const char *policy, int teams, guint32 seed)
{
    *q = (queue_bench_t){.rand = g_rand_new_with_seed(seed)};
    q->policy = (const gv_queue_policy_t *)GvRegistry_Find(GV_PLUGIN_QUEUE,
                                                           GvStr_C(policy));
    for (int i = 0; i < teams; i++) {
        g_snprintf(q->names[i], sizeof q->names[i], "team%d", i);
        q->teams[i] = (gv_team_t){GvStr_C(q->names[i]), 10};
    }
    gv_queue_opts_t o = {.max_requests = 1000,
                         .teams = q->teams,
                         .n_teams = teams,
                         .urgent_share_percent = 50,
                         .long_share_percent = 40};
    q->queue = q->policy->create(&o);
}

/* Frees the waiting items, which g_new0 has allocated, and the queue. */
static void
queue_bench_clear(queue_bench_t *q)
{
    gv_queue_item_t *it;
    while ((it = q->policy->expire(q->queue, INT64_MAX / 2)) != NULL) {
        g_free(it);
    }
    q->policy->destroy(q->queue);
    g_rand_free(q->rand);
}

/* Offers one request of the team, due left_ms after now, while all slots are
   busy. Returns true if the queue took it. */
static bool
push(queue_bench_t *q, gv_queue_item_t *it, int team, int64_t now, int left_ms)
{
    gv_queue_load_t busy = {SLOTS, SLOTS, 0, RUN_MS};
    *it = (gv_queue_item_t){.team = q->teams[team].name,
                            .run_ms = RUN_MS,
                            .deadline_ms = now + left_ms};
    return q->policy->push(q->queue, it, now, &busy).kind == GV_ADMIT_QUEUED;
}

/* Takes the next request from the queue, with one slot free. */
static gv_queue_item_t *
pop(queue_bench_t *q, int64_t now)
{
    gv_queue_load_t one_free = {SLOTS, SLOTS - 1, 0, RUN_MS};
    return q->policy->pop(q->queue, now, &one_free);
}

/* Lets every team offer more than its share, some ten times as much as others.
   Stores the starts of the most and of the least served team, each divided by
   the mean of all teams. */
static void
share_starts(const char *policy, guint32 seed, double *most, double *least)
{
    queue_bench_t q;
    queue_bench_init(&q, policy, TEAMS, seed);
    int starts[TEAMS] = {0};
    double now = 0;
    for (int i = 0; i < STARTS; i++) {
        now += (double)RUN_MS / SLOTS;
        for (int k = 0; k < OFFERS_PER_START; k++) {
            int team = g_rand_int_range(q.rand, 0, TEAMS);
            /* Team 0, 10, 20 ... offer least. */
            if (g_rand_int_range(q.rand, 0, 10) > team % 10) {
                continue;
            }
            gv_queue_item_t *it = g_new0(gv_queue_item_t, 1);
            if (!push(&q, it, team, (int64_t)now, DEADLINE_MS)) {
                g_free(it);
            }
        }
        gv_queue_item_t *it;
        while ((it = q.policy->expire(q.queue, (int64_t)now)) != NULL) {
            g_free(it);
        }
        it = pop(&q, (int64_t)now);
        for (int t = 0; it != NULL && t < TEAMS; t++) {
            starts[t] += GvStr_Equal(it->team, q.teams[t].name);
        }
        g_free(it);
    }
    *most = 0;
    *least = G_MAXDOUBLE;
    for (int t = 0; t < TEAMS; t++) {
        double part = (double)starts[t] * TEAMS / STARTS;
        *most = MAX(*most, part);
        *least = MIN(*least, part);
    }
    queue_bench_clear(&q);
}

static double
now_us(void)
{
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

/* Measures the times, in us, to admit one request and to choose the next one
   while work of every team waits. */
static void
time_decisions(int teams, double *admit_us, double *choose_us)
{
    queue_bench_t q;
    queue_bench_init(&q, "fair", teams, 1);
    gv_queue_item_t *items = g_new0(gv_queue_item_t, QUEUED + BATCH);
    gv_queue_item_t *idle[BATCH];
    for (int i = 0; i < QUEUED; i++) {
        bool queued = push(&q, &items[i], i % teams, 0, DISTANT_DEADLINE_MS);
        g_assert(queued);
    }
    for (int i = 0; i < BATCH; i++) {
        idle[i] = &items[QUEUED + i];
    }
    double admit = 0;
    double choose = 0;
    for (int r = 0; r < ROUNDS; r++) {
        double begin = now_us();
        for (int i = 0; i < BATCH; i++) {
            bool queued = push(&q, idle[i], (r * BATCH + i) % teams, 0,
                               DISTANT_DEADLINE_MS);
            g_assert(queued);
        }
        double middle = now_us();
        for (int i = 0; i < BATCH; i++) {
            idle[i] = pop(&q, 0);
        }
        choose += now_us() - middle;
        admit += middle - begin;
    }
    *admit_us = admit / (ROUNDS * BATCH);
    *choose_us = choose / (ROUNDS * BATCH);
    while (q.policy->expire(q.queue, INT64_MAX / 2) != NULL) {
    }
    queue_bench_clear(&q);
    g_free(items);
}

/* Writes the costs of the queue's decisions. */
static void
write_costs(const gv_bench_t *b)
{
    static const int teams[] = {TEAMS, 2};
    double admit[2][GV_BENCH_SEEDS];
    double choose[2][GV_BENCH_SEEDS];
    for (int i = 0; i < GV_BENCH_SEEDS; i++) {
        for (int k = 0; k < 2; k++) {
            time_decisions(teams[k], &admit[k][i], &choose[k][i]);
        }
    }
    GvBench_WriteRow(b, "130 teams: cost of admitting a request",
                     GV_BENCH_MEDIAN_OF_RUNS,
                     GvBench_Median(admit[0], GV_BENCH_SEEDS), "us", "2 teams",
                     GvBench_Median(admit[1], GV_BENCH_SEEDS));
    GvBench_WriteRow(b, "130 teams: cost of choosing the next request",
                     GV_BENCH_MEDIAN_OF_RUNS,
                     GvBench_Median(choose[0], GV_BENCH_SEEDS), "us",
                     "2 teams", GvBench_Median(choose[1], GV_BENCH_SEEDS));
}

/* Writes the shares of the most and of the least served team. */
static void
write_shares(const gv_bench_t *b)
{
    static const char *const policies[] = {"fair", "fifo"};
    double most[2][GV_BENCH_SEEDS];
    double least[2][GV_BENCH_SEEDS];
    for (int i = 0; i < GV_BENCH_SEEDS; i++) {
        for (int k = 0; k < 2; k++) {
            share_starts(policies[k], gv_bench_seeds[i], &most[k][i],
                         &least[k][i]);
        }
    }
    GvBench_WriteRow(b, "130 teams, all above quota: most served",
                     GV_BENCH_MEDIAN_OF_SEEDS,
                     GvBench_Median(most[0], GV_BENCH_SEEDS), "of its quota",
                     "fifo", GvBench_Median(most[1], GV_BENCH_SEEDS));
    GvBench_WriteRow(b, "130 teams, all above quota: least served",
                     GV_BENCH_MEDIAN_OF_SEEDS,
                     GvBench_Median(least[0], GV_BENCH_SEEDS), "of its quota",
                     "fifo", GvBench_Median(least[1], GV_BENCH_SEEDS));
}

/* Compares the fair queue with fifo for 130 teams with equal quotas: when one
   team requests half of the work, and when all request more than their quota.
   Compares the cost of the queue's decisions with that for 2 teams. */
void
GvBench_RunTeams(const gv_bench_t *b)
{
    gv_sim_opts_t fifo = default_opts;
    fifo.queue = "fifo";
    GvCompare_WriteRows(b, "130 teams", &default_opts, "fifo", &fifo, metrics,
                        G_N_ELEMENTS(metrics));
    write_urgent(b);
    write_shares(b);
    write_costs(b);
}
