#ifndef GV_ESTIMATE_H
#define GV_ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/* Learned run times per kind of work of one service. Pure. */
typedef struct gv_estimate_s gv_estimate_t;

typedef struct {
    int short_ms;  /* work expected above this is long */
    int max_kinds; /* table bound; beyond it kinds share one row */
} gv_estimate_opts_t;

gv_estimate_t *GvEstimate_New(const gv_estimate_opts_t *o);
void GvEstimate_Free(gv_estimate_t *e);
void GvEstimate_Configure(gv_estimate_t *e, int short_ms);
/* Expected run time in ms; a kind never seen yields the service's mean. */
double GvEstimate_RunMs(const gv_estimate_t *e, gv_str_t work);
bool GvEstimate_IsLong(const gv_estimate_t *e, gv_str_t work);
void GvEstimate_AddRun(gv_estimate_t *e, gv_str_t work, double run_ms);
/* A run still going after elapsed_ms: counts as long from now on. Returns
   true when the kind's class changes by this. */
bool GvEstimate_AddElapsed(gv_estimate_t *e, gv_str_t work, double elapsed_ms);
double GvEstimate_MeanMs(const gv_estimate_t *e);

#endif
