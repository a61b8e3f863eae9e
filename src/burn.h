#ifndef GV_BURN_H
#define GV_BURN_H

#include <stdint.h>

/* Error budget burn rate of one service over several time windows. No
   locking and no I/O; times are monotonic ms given by the caller. */
typedef struct gv_burn_s gv_burn_t;

typedef struct {
    int window_s;
    uint64_t good;
    uint64_t bad;
    /* Failure ratio divided by the ratio that the objective allows; at 1.0 the
       error budget is used up exactly. */
    double burn;
} gv_burn_row_t;

#define GV_BURN_WINDOWS 4 /* 1 min, 5 min, 1 h, 6 h */

gv_burn_t *GvBurn_New(double objective_percent);
void GvBurn_Free(gv_burn_t *b);
void GvBurn_Configure(gv_burn_t *b, double objective_percent);
void GvBurn_CountRequest(gv_burn_t *b, int good, int64_t now_ms);
void GvBurn_Report(gv_burn_t *b, int64_t now_ms,
                   gv_burn_row_t rows[GV_BURN_WINDOWS]);

#endif
