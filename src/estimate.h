#ifndef GV_ESTIMATE_H
#define GV_ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/* Estimates run times for each kind of work of one service from the runs seen
   so far. No input or output and no clock. */
typedef struct gv_estimate_s gv_estimate_t;

typedef struct {
    int short_ms;  /* a run that takes longer than this is long */
    int max_kinds; /* kinds beyond this number share one estimate */
} gv_estimate_opts_t;

gv_estimate_t *GvEstimate_New(const gv_estimate_opts_t *o);
void GvEstimate_Free(gv_estimate_t *e);
void GvEstimate_Configure(gv_estimate_t *e, int short_ms);
double GvEstimate_RunMs(const gv_estimate_t *e, gv_str_t work);
bool GvEstimate_IsLong(const gv_estimate_t *e, gv_str_t work);
void GvEstimate_AddRun(gv_estimate_t *e, gv_str_t work, double run_ms);
bool GvEstimate_AddElapsed(gv_estimate_t *e, gv_str_t work, double elapsed_ms);
double GvEstimate_MeanMs(const gv_estimate_t *e);

#endif
