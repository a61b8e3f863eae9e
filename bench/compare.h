#ifndef GV_BENCH_COMPARE_H
#define GV_BENCH_COMPARE_H

#include "bench.h"
#include "sim.h"

typedef struct {
    const char *name;
    const char *unit;
    double (*get)(gv_sim_result_t *r);
} gv_metric_t;

enum { GV_METRICS_MAX = 16 };

/* Runs both variants with all seeds and writes a row "group: metric" for
   each metric. */
void GvCompare_Rows(const gv_bench_t *b, const char *group,
                    const gv_sim_opts_t *ours, const char *base_name,
                    const gv_sim_opts_t *base, const gv_metric_t *m, int n);

#endif
