#include "run_histogram.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "pack.h"

/* Returns the value below which a part of the weight lies. Within a bucket the
   weight counts as evenly spread over the logarithm. */
static double
quantile(const gv_run_histogram_t *h, double part)
{
    double wanted = part * h->total;
    double below = 0;
    int i = 0;
    while (i < GV_RUN_BUCKETS - 1 && below + h->weight[i] < wanted) {
        below += h->weight[i++];
    }
    double inside = h->weight[i] == 0 ? 0 : (wanted - below) / h->weight[i];
    return exp2((i + inside) / GV_RUN_BUCKETS_PER_OCTAVE);
}

static void
set_quantiles(gv_run_histogram_t *h)
{
    h->typical = h->total == 0 ? 0 : quantile(h, 0.5);
    h->high = h->total == 0 ? 0 : quantile(h, 0.9);
}

/* Halves every weight. */
static void
halve(gv_run_histogram_t *h)
{
    h->total = 0;
    for (int i = 0; i < GV_RUN_BUCKETS; i++) {
        h->weight[i] /= 2;
        h->total += h->weight[i];
    }
}

/* Adds a value; values outside the buckets count in the first or last one. */
void
GvRunHistogram_Add(gv_run_histogram_t *h, double value, int weight)
{
    double at = log2(MAX(value, 1)) * GV_RUN_BUCKETS_PER_OCTAVE;
    h->weight[(int)MIN(at, GV_RUN_BUCKETS - 1)] += (uint16_t)weight;
    h->total += (uint32_t)weight;
    if (h->total >= GV_RUN_TIME_MAX_RUNS * GV_RUN_TIME_FULL_WEIGHT) {
        halve(h);
    }
    set_quantiles(h);
}

/* Returns true if there are enough values to go by. */
bool
GvRunHistogram_IsKnown(const gv_run_histogram_t *h)
{
    return h->total >= GV_RUN_TIME_MIN_RUNS * GV_RUN_TIME_FULL_WEIGHT;
}

/* Returns the size of the encoded histogram without its header. */
size_t
GvRunHistogram_Size(const gv_run_histogram_t *h)
{
    size_t n = 0;
    for (int i = 0; i < GV_RUN_BUCKETS; i++) {
        n += h->weight[i] > 0 ? 2 : 0;
    }
    return n;
}

/* Appends the histogram as a string of two bytes for each bucket that is not
   empty: its number, and its weight in runs, rounded up. */
void
GvRunHistogram_Pack(const gv_run_histogram_t *h, msgpack_packer *pk)
{
    uint8_t bytes[2 * GV_RUN_BUCKETS];
    size_t n = 0;
    for (int i = 0; i < GV_RUN_BUCKETS; i++) {
        int runs = (h->weight[i] + GV_RUN_TIME_FULL_WEIGHT - 1) /
                   GV_RUN_TIME_FULL_WEIGHT;
        if (runs > 0) {
            bytes[n++] = (uint8_t)i;
            bytes[n++] = (uint8_t)MIN(runs, UINT8_MAX);
        }
    }
    GvPack_Bin(pk, GvStr_N(bytes, n));
}

/* Decodes a histogram into an empty one. Returns false if it is malformed. */
bool
GvRunHistogram_Read(gv_run_histogram_t *h, gv_str_t bytes)
{
    const uint8_t *p = (const uint8_t *)bytes.p;
    if (bytes.n % 2 != 0) {
        return false;
    }
    for (size_t i = 0; i < bytes.n; i += 2) {
        if (p[i] >= GV_RUN_BUCKETS || h->weight[p[i]] != 0 || p[i + 1] == 0) {
            return false;
        }
        h->weight[p[i]] = (uint16_t)(p[i + 1] * GV_RUN_TIME_FULL_WEIGHT);
        h->total += h->weight[p[i]];
    }
    while (h->total >= GV_RUN_TIME_MAX_RUNS * GV_RUN_TIME_FULL_WEIGHT) {
        halve(h);
    }
    set_quantiles(h);
    return true;
}
