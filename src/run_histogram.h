#ifndef GV_RUN_HISTOGRAM_H
#define GV_RUN_HISTOGRAM_H

#include <stdbool.h>
#include <stdint.h>

#include <msgpack.h>

#include "limits.h"
#include "str.h"

/* A distribution of positive values in buckets of GV_RUN_BUCKETS_PER_OCTAVE a
   factor of two. Old values lose weight as new ones are added. */
typedef struct {
    uint16_t weight[GV_RUN_BUCKETS];
    uint32_t total;
    /* Of the present weights; 0 for an empty histogram. */
    double typical; /* 50th percentile */
    double high;    /* 90th percentile */
} gv_run_histogram_t;

void GvRunHistogram_Add(gv_run_histogram_t *h, double value, int weight);
bool GvRunHistogram_IsKnown(const gv_run_histogram_t *h);
size_t GvRunHistogram_Size(const gv_run_histogram_t *h);
void GvRunHistogram_Pack(const gv_run_histogram_t *h, msgpack_packer *pk);
bool GvRunHistogram_Read(gv_run_histogram_t *h, gv_str_t bytes);

#endif
