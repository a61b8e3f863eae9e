#ifndef GV_BENCH_H
#define GV_BENCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>

/* Measurements of the decision modules. Each figure is the median over the
   same fixed seeds. */

enum { GV_BENCH_SEEDS = 5 };
extern const guint32 gv_bench_seeds[GV_BENCH_SEEDS];

typedef struct {
    FILE *out;       /* results.tsv */
    const char *dir; /* for the plots' data */
} gv_bench_t;

/* What a figure is taken from, for the column "seed". */
typedef enum {
    GV_BENCH_MEDIAN_OF_SEEDS,
    GV_BENCH_MAX_OF_SEEDS,
    GV_BENCH_MEDIAN_OF_RUNS
} gv_bench_aggregate_t;

/* One row of results.tsv. base is NULL when there is no baseline. */
void GvBench_WriteRow(const gv_bench_t *b, const char *name,
                      gv_bench_aggregate_t of, double value, const char *unit,
                      const char *base, double base_value);
double GvBench_Median(const double *v, int n);
double GvBench_Max(const double *v, int n);
/* p in percent of a GArray of double, which gets sorted; 0 when empty. */
double GvBench_Percentile(GArray *a, double p);
FILE *GvBench_OpenData(const gv_bench_t *b, const char *file);

void GvBench_RunQueue(const gv_bench_t *b);
void GvBench_RunPlace(const gv_bench_t *b);
void GvBench_RunTeams(const gv_bench_t *b);
void GvBench_RunSpill(const gv_bench_t *b);
void GvBench_RunRetry(const gv_bench_t *b);
void GvBench_RunWave(const gv_bench_t *b);
void GvBench_RunReserve(const gv_bench_t *b);
void GvBench_RunFold(const gv_bench_t *b);

#endif
