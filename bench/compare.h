#ifndef GV_BENCH_COMPARE_H
#define GV_BENCH_COMPARE_H

#include "bench.h"
#include "sim.h"

/* One measure of a simulation's result. */
typedef struct {
    const char *name;
    const char *unit;
    double (*get)(gv_sim_result_t *r);
} gv_metric_t;

enum { GV_METRICS_MAX = 16 };

/* Measures that several groups use. Percentiles of the wait of short work, in
   ms: */
double GvCompare_ShortP50(gv_sim_result_t *r);
double GvCompare_ShortP99(gv_sim_result_t *r);
/* Requests answered before their deadline, and urgent requests never started,
   in %. */
double GvCompare_InTime(gv_sim_result_t *r);
double GvCompare_UrgentNotStarted(gv_sim_result_t *r);

/* Runs the variant and its baseline with all seeds and writes one row
   "group: measure" with both medians for each of the n measures. */
void GvCompare_WriteRows(const gv_bench_t *b, const char *group,
                         const gv_sim_opts_t *variant, const char *base_name,
                         const gv_sim_opts_t *base, const gv_metric_t *m,
                         int n);

#endif
