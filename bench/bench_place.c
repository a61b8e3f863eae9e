#include "compare.h"

/* Four entry hosts that receive unequal shares of the requests use ten
   targets, two of which are slow. */
static const gv_sim_opts_t default_opts = {.queue = "fair",
                                           .place = "least-loaded",
                                           .retry = "safe",
                                           .entries = 4,
                                           .targets = 10,
                                           .seconds = 300,
                                           .load = 0.2,
                                           .uneven = true,
                                           .slow = true,
                                           .lending = true};

static double
response_p50(gv_sim_result_t *r)
{
    return GvBench_Percentile(r->response, 50);
}

static double
response_p99(gv_sim_result_t *r)
{
    return GvBench_Percentile(r->response, 99);
}

/* Returns the starts that a full target refused, in % of all starts. */
static double
refusals(gv_sim_result_t *r)
{
    return 100 * r->refusals / MAX(r->starts, 1);
}

static const gv_metric_t metrics[] = {
    {"waiting of short work, p50", "ms", GvCompare_ShortP50},
    {"waiting of short work, p99", "ms", GvCompare_ShortP99},
    {"response time of short work, p50", "ms", response_p50},
    {"response time of short work, p99", "ms", response_p99},
    {"refusals by full targets", "% of starts", refusals},
    {"answered in time", "%", GvCompare_InTime}};

/* Compares the placement policy with round-robin and random-two, both with and
   without lending of slots; then lending with fixed shares of the slots, and
   with entry hosts that all use all slots. */
void
GvBench_RunPlace(const gv_bench_t *b)
{
    static const char *const bases[] = {"round-robin", "random-two"};
    for (int k = 0; k < 4; k++) {
        gv_sim_opts_t variant = default_opts;
        variant.lending = k < 2;
        gv_sim_opts_t base = variant;
        base.place = bases[k % 2];
        GvCompare_WriteRows(b,
                            variant.lending ? "placement with lending"
                                            : "placement without lending",
                            &variant, bases[k % 2], &base, metrics,
                            G_N_ELEMENTS(metrics));
    }
    gv_sim_opts_t base = default_opts;
    base.lending = false;
    GvCompare_WriteRows(b, "lending", &default_opts, "shares without lending",
                        &base, metrics, G_N_ELEMENTS(metrics));
    base.no_shares = true;
    GvCompare_WriteRows(b, "shares and lending", &default_opts, "no shares",
                        &base, metrics, G_N_ELEMENTS(metrics));
}
