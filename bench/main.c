#include "bench.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

const guint32 gv_bench_seeds[GV_BENCH_SEEDS] = {11, 12, 13, 14, 15};

/* Writes one number and a tab: no decimals from 1000 up, otherwise four
   significant digits. */
static void
write_value(FILE *f, double v)
{
    fprintf(f, fabs(v) >= 1000 ? "%.0f\t" : "%.4g\t", v);
}

/* Writes one row of results.tsv and flushes it. The ratio is "-" if the
   baseline value is 0. */
void
GvBench_WriteRow(const gv_bench_t *b, const char *name,
                 gv_bench_aggregate_t of, double value, const char *unit,
                 const char *base, double base_value)
{
    fprintf(b->out, "%s\t", name);
    write_value(b->out, value);
    fprintf(b->out, "%s\t", unit);
    if (base == NULL) {
        fprintf(b->out, "-\t-\t-\t");
    }
    else {
        fprintf(b->out, "%s\t", base);
        write_value(b->out, base_value);
        if (base_value == 0) {
            fprintf(b->out, "-\t");
        }
        else {
            fprintf(b->out, "%.3f\t", value / base_value);
        }
    }
    switch (of) {
    case GV_BENCH_MEDIAN_OF_SEEDS:
    case GV_BENCH_MAX_OF_SEEDS:
        fprintf(b->out, "%s of %u-%u\n",
                of == GV_BENCH_MEDIAN_OF_SEEDS ? "median" : "worst",
                gv_bench_seeds[0], gv_bench_seeds[GV_BENCH_SEEDS - 1]);
        break;
    case GV_BENCH_MEDIAN_OF_RUNS:
        fprintf(b->out, "median of %d runs\n", GV_BENCH_SEEDS);
        break;
    }
    (void)fflush(b->out);
}

/* Orders doubles ascending, for qsort. */
static int
by_value(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return (x > y) - (x < y);
}

/* Returns the median of n values, the upper of the middle two if n is even. */
double
GvBench_Median(const double *v, int n)
{
    double *copy = g_memdup2(v, sizeof *v * (gsize)n);
    qsort(copy, (size_t)n, sizeof *copy, by_value);
    double m = copy[n / 2];
    g_free(copy);
    return m;
}

/* Returns the largest of n values; n must not be 0. */
double
GvBench_Max(const double *v, int n)
{
    double worst = v[0];
    for (int i = 1; i < n; i++) {
        worst = MAX(worst, v[i]);
    }
    return worst;
}

/* Returns a percentile by the nearest rank, 0 for an empty array. Sorts the
   array. */
double
GvBench_Percentile(GArray *a, double percent)
{
    if (a->len == 0) {
        return 0;
    }
    qsort(a->data, a->len, sizeof(double), by_value);
    guint i = (guint)ceil(percent / 100 * a->len);
    return g_array_index(a, double, CLAMP(i, 1, a->len) - 1);
}

/* Opens a file in the data directory for writing. Ends the process if it can't
   be opened. */
FILE *
GvBench_OpenData(const gv_bench_t *b, const char *file)
{
    char *path = g_build_filename(b->dir, file, NULL);
    FILE *f = fopen(path, "w");
    g_assert(f != NULL);
    g_free(path);
    return f;
}

/* bench DATA_DIR RESULTS [GROUP ...]: runs the named groups, or all groups if
   none is named. Writes the rows to RESULTS and plot data to DATA_DIR. */
int
main(int argc, char **argv)
{
    static const struct {
        const char *name;
        void (*run)(const gv_bench_t *b);
    } groups[] = {{"queue", GvBench_RunQueue},     {"teams", GvBench_RunTeams},
                  {"place", GvBench_RunPlace},     {"spill", GvBench_RunSpill},
                  {"retry", GvBench_RunRetry},     {"wave", GvBench_RunWave},
                  {"reserve", GvBench_RunReserve}, {"fold", GvBench_RunFold},
                  {"sched", GvBench_RunSched}};
    if (argc < 3) {
        fprintf(stderr, "usage: bench DATA_DIR RESULTS [GROUP ...]\n");
        return 2;
    }
    gv_bench_t b = {.out = fopen(argv[2], "w"), .dir = argv[1]};
    if (b.out == NULL) {
        perror(argv[2]);
        return 1;
    }
    fprintf(b.out, "name\tvalue\tunit\tbaseline name\tbaseline value\tratio\t"
                   "seed\n");
    for (size_t i = 0; i < G_N_ELEMENTS(groups); i++) {
        bool wanted = argc == 3;
        for (int k = 3; k < argc; k++) {
            wanted = wanted || strcmp(argv[k], groups[i].name) == 0;
        }
        if (wanted) {
            groups[i].run(&b);
        }
    }
    return fclose(b.out) == 0 ? 0 : 1;
}
