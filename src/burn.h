#ifndef GV_BURN_H
#define GV_BURN_H

#include <stdint.h>

/* Service-level burn of one service over several windows. Pure. */
typedef struct gv_burn_s gv_burn_t;

typedef struct {
    int window_s;
    uint64_t good;
    uint64_t bad;
    double burn; /* bad ratio over the allowed ratio; 1.0 uses it up exactly */
} gv_burn_row_t;

#define GV_BURN_WINDOWS 4 /* 1 min, 5 min, 1 h, 6 h */

gv_burn_t *GvBurn_New(double objective_percent);
void GvBurn_Free(gv_burn_t *b);
void GvBurn_Configure(gv_burn_t *b, double objective_percent);
void GvBurn_CountRequest(gv_burn_t *b, int good, int64_t now_ms);
void GvBurn_Report(gv_burn_t *b, int64_t now_ms,
                   gv_burn_row_t rows[GV_BURN_WINDOWS]);

#endif
