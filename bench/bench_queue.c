#include "compare.h"

/* One service in one data centre. The deployment that it is modelled on has 12
   workers (targets) and 8 entry hosts in 4 data centres. */
static const gv_sim_opts_t default_opts = {.queue = "fair",
                                           .place = "least-loaded",
                                           .retry = "safe",
                                           .entries = 2,
                                           .targets = 3,
                                           .seconds = 300,
                                           .load = 0.3,
                                           .lending = true,
                                           .cancels = true};

/* Returns the longest wait of short work that was started, in ms. */
static double
short_worst(gv_sim_result_t *r)
{
    return r->short_worst;
}

static double
long_p50(gv_sim_result_t *r)
{
    return GvBench_Percentile(r->long_wait, 50);
}

static double
long_p99(gv_sim_result_t *r)
{
    return GvBench_Percentile(r->long_wait, 99);
}

/* Returns the longest wait of urgent work, in ms. */
static double
urgent_worst(gv_sim_result_t *r)
{
    return GvBench_Percentile(r->urgent_wait, 100);
}

static double
short_in_time(gv_sim_result_t *r)
{
    return 100 * r->short_in_time / MAX(r->shorts, 1);
}

static double
long_in_time(gv_sim_result_t *r)
{
    return 100 * r->long_in_time / MAX(r->longs, 1);
}

/* Returns the runs that succeeded after the deadline, in % of starts. */
static double
too_late(gv_sim_result_t *r)
{
    return 100 * r->answered_after_deadline / MAX(r->starts, 1);
}

static const gv_metric_t metrics[] = {
    {"waiting of short work, p50", "ms", GvCompare_ShortP50},
    {"waiting of short work, p99", "ms", GvCompare_ShortP99},
    {"waiting of started short work, worst", "ms", short_worst},
    {"waiting of long work, p50", "ms", long_p50},
    {"waiting of long work, p99", "ms", long_p99},
    {"urgent start, worst", "ms", urgent_worst},
    {"urgent work not started", "%", GvCompare_UrgentNotStarted},
    {"answered in time", "%", GvCompare_InTime},
    {"short work answered in time", "%", short_in_time},
    {"long work answered in time", "%", long_in_time},
    {"runs that ended after the deadline", "%", too_late}};

/* Writes waiting.dat: percentiles of the wait with both queue policies. */
static void
write_waiting(const gv_bench_t *b)
{
    static const char *const policies[] = {"fair", "fifo"};
    FILE *f = GvBench_OpenData(b, "waiting.dat");
    for (int p = 0; p < 2; p++) {
        gv_sim_opts_t o = default_opts;
        o.queue = policies[p];
        o.seed = gv_bench_seeds[0];
        gv_sim_result_t r;
        GvSim_Run(&o, &r);
        fprintf(f, "# %s: percentile, short, long, urgent waiting in ms\n",
                policies[p]);
        for (int k = 0; k <= 1000; k += k < 900 ? 10 : 1) {
            fprintf(f, "%.1f\t%.1f\t%.1f\t%.1f\n", k / 10.0,
                    GvBench_Percentile(r.short_wait, k / 10.0),
                    GvBench_Percentile(r.long_wait, k / 10.0),
                    GvBench_Percentile(r.urgent_wait, k / 10.0));
        }
        fprintf(f, "\n\n");
        GvSim_Clear(&r);
    }
    (void)fclose(f);
}

/* Compares the fair queue with fifo at two loads, and the classes of short and
   long work with no classes. */
void
GvBench_RunQueue(const gv_bench_t *b)
{
    gv_sim_opts_t fifo = default_opts;
    fifo.queue = "fifo";
    GvCompare_WriteRows(b, "queue", &default_opts, "fifo", &fifo, metrics,
                        G_N_ELEMENTS(metrics));
    gv_sim_opts_t heavy = default_opts;
    heavy.load = 0.45;
    fifo.load = heavy.load;
    GvCompare_WriteRows(b, "queue, bursts of 2.25 times the capacity", &heavy,
                        "fifo", &fifo, metrics, G_N_ELEMENTS(metrics));
    gv_sim_opts_t none = default_opts;
    none.no_classes = true;
    GvCompare_WriteRows(b, "long and short", &default_opts, "no classes",
                        &none, metrics, G_N_ELEMENTS(metrics));
    write_waiting(b);
}
