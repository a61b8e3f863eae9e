#include "compare.h"

/* Runs the simulation with all seeds and stores the median of each of the n
   measures in out. */
static void
medians(const gv_sim_opts_t *o, const gv_metric_t *m, int n, double *out)
{
    double v[GV_METRICS_MAX][GV_BENCH_SEEDS];
    for (int i = 0; i < GV_BENCH_SEEDS; i++) {
        gv_sim_opts_t with = *o;
        with.seed = gv_bench_seeds[i];
        gv_sim_result_t r;
        GvSim_Run(&with, &r);
        for (int k = 0; k < n; k++) {
            v[k][i] = m[k].get(&r);
        }
        GvSim_Clear(&r);
    }
    for (int k = 0; k < n; k++) {
        out[k] = GvBench_Median(v[k], GV_BENCH_SEEDS);
    }
}

/* Writes one row for each of the n measures, GV_METRICS_MAX at most. */
void
GvCompare_WriteRows(const gv_bench_t *b, const char *group,
                    const gv_sim_opts_t *variant, const char *base_name,
                    const gv_sim_opts_t *base, const gv_metric_t *m, int n)
{
    double x[GV_METRICS_MAX];
    double y[GV_METRICS_MAX];
    g_assert(n <= GV_METRICS_MAX);
    medians(variant, m, n, x);
    medians(base, m, n, y);
    for (int k = 0; k < n; k++) {
        char name[160];
        g_snprintf(name, sizeof name, "%s: %s", group, m[k].name);
        GvBench_WriteRow(b, name, GV_BENCH_MEDIAN_OF_SEEDS, x[k], m[k].unit,
                         base_name, y[k]);
    }
}

/* Returns the median wait of short work, in ms. */
double
GvCompare_ShortP50(gv_sim_result_t *r)
{
    return GvBench_Percentile(r->short_wait, 50);
}

/* Returns the 99th percentile of the wait of short work, in ms. */
double
GvCompare_ShortP99(gv_sim_result_t *r)
{
    return GvBench_Percentile(r->short_wait, 99);
}

/* Returns the share of requests answered before their deadline, in %. */
double
GvCompare_InTime(gv_sim_result_t *r)
{
    return 100 * r->in_time / MAX(r->requests, 1);
}

/* Returns the share of urgent requests never started, in %. */
double
GvCompare_UrgentNotStarted(gv_sim_result_t *r)
{
    return 100 * r->urgent_not_started / MAX(r->urgents, 1);
}
