#ifndef GV_RHYTHM_H
#define GV_RHYTHM_H

#include <stdbool.h>
#include <stdint.h>

/* Detects bursts of load of one service and the interval between them, and
   predicts the next one. No input or output and no clock; times are
   milliseconds of one clock, loads thousandths of a core. */

#define GV_RHYTHM_BURSTS 6

typedef struct {
    int n_bursts;                       /* bursts in start_ms */
    int64_t start_ms[GV_RHYTHM_BURSTS]; /* starts of bursts, newest last */
    bool in_burst;
    int64_t low_since_ms; /* in a burst: since when the load is not above its
                             long-run mean; 0: it is above */
    double mean_load;     /* of the newest burst that has ended */
    double load_sum;      /* of the present burst's samples above the mean */
    int samples;          /* number of these */
} gv_rhythm_t;

void GvRhythm_AddSample(gv_rhythm_t *r, double load, double mean,
                        int64_t now_ms);
int64_t GvRhythm_PeriodMs(const gv_rhythm_t *r);
double GvRhythm_ExpectedBurst(const gv_rhythm_t *r, int64_t period_ms,
                              int64_t from_ms, int64_t to_ms);

#endif
