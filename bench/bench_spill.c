#include "compare.h"

/* Two data centres with 3 of a deployment's 12 workers (targets) and 2 of its
   entry hosts each. */
static const gv_sim_opts_t default_opts = {.queue = "fair",
                                           .place = "least-loaded",
                                           .retry = "safe",
                                           .entries = 2,
                                           .targets = 3,
                                           .seconds = 300,
                                           .load = 0.45,
                                           .second_load = 0.2,
                                           .second_apart = true,
                                           .spill = true,
                                           .lending = true};

static double
refused(gv_sim_result_t *r)
{
    return 100 * r->refused / MAX(r->requests, 1);
}

/* Returns the requests of both data centres that the other one ran, in %. */
static double
spilled(gv_sim_result_t *r)
{
    return 100 * r->spilled / MAX(r->requests + r->second_requests, 1);
}

static double
second_p50(gv_sim_result_t *r)
{
    return GvBench_Percentile(r->second_wait, 50);
}

static double
second_p99(gv_sim_result_t *r)
{
    return GvBench_Percentile(r->second_wait, 99);
}

static double
second_refused(gv_sim_result_t *r)
{
    return 100 * r->second_refused / MAX(r->second_requests, 1);
}

static double
second_in_time(gv_sim_result_t *r)
{
    return 100 * r->second_in_time / MAX(r->second_requests, 1);
}

static const gv_metric_t metrics[] = {
    {"waiting of short work, p50", "ms", GvCompare_ShortP50},
    {"waiting of short work, p99", "ms", GvCompare_ShortP99},
    {"refused", "% of requests", refused},
    {"answered in time", "%", GvCompare_InTime},
    {"run in the other data centre", "% of requests", spilled},
    {"lending data centre, waiting of short work, p50", "ms", second_p50},
    {"lending data centre, waiting of short work, p99", "ms", second_p99},
    {"lending data centre, refused", "% of requests", second_refused},
    {"lending data centre, answered in time", "%", second_in_time}};

/* Compares spilling with none, from a data centre with bursts of 2.25 times
   its capacity to one with bursts of exactly its capacity. The bursts of both
   come at different times or at the same time. */
void
GvBench_RunSpill(const gv_bench_t *b)
{
    static const char *const names[] = {"spill, bursts apart",
                                        "spill, bursts together"};
    for (int k = 0; k < 2; k++) {
        gv_sim_opts_t variant = default_opts;
        variant.second_apart = k == 0;
        gv_sim_opts_t none = variant;
        none.spill = false;
        GvCompare_WriteRows(b, names[k], &variant, "no spill", &none, metrics,
                            G_N_ELEMENTS(metrics));
    }
}
