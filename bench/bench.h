#ifndef GV_BENCH_H
#define GV_BENCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>

/* Benchmarks of the decision modules. All groups use the same fixed seeds, one
   run per seed; a result is the median or the maximum over these runs. */

enum { GV_BENCH_SEEDS = 5 };
extern const guint32 gv_bench_seeds[GV_BENCH_SEEDS];

typedef struct {
    FILE *out;       /* results.tsv */
    const char *dir; /* directory of the plot data files */
} gv_bench_t;

/* How a result was computed from its runs; written to the column "seed". */
typedef enum {
    GV_BENCH_MEDIAN_OF_SEEDS,
    GV_BENCH_MAX_OF_SEEDS,
    GV_BENCH_MEDIAN_OF_RUNS
} gv_bench_aggregate_t;

/* Writes one row of results.tsv: the value, the baseline value and their
   ratio. base is the name of the baseline, NULL if there is none. */
void GvBench_WriteRow(const gv_bench_t *b, const char *name,
                      gv_bench_aggregate_t of, double value, const char *unit,
                      const char *base, double base_value);
/* Return the median or the maximum of the n values. */
double GvBench_Median(const double *v, int n);
double GvBench_Max(const double *v, int n);
/* Sorts an array of double and returns its percentile (0 to 100); 0 if the
   array is empty. */
double GvBench_Percentile(GArray *a, double percent);
/* Opens a plot data file for writing; a failure ends the process. */
FILE *GvBench_OpenData(const gv_bench_t *b, const char *file);

/* The benchmark groups. Each writes its rows and its plot data. */
void GvBench_RunQueue(const gv_bench_t *b);
void GvBench_RunPlace(const gv_bench_t *b);
void GvBench_RunTeams(const gv_bench_t *b);
void GvBench_RunSpill(const gv_bench_t *b);
void GvBench_RunRetry(const gv_bench_t *b);
void GvBench_RunWave(const gv_bench_t *b);
void GvBench_RunReserve(const gv_bench_t *b);
void GvBench_RunFold(const gv_bench_t *b);
void GvBench_RunSched(const gv_bench_t *b);

#endif
