#ifndef GV_RHYTHM_H
#define GV_RHYTHM_H

#include <stdbool.h>
#include <stdint.h>

/* Bursts of work of one service: when they began, how high they were, and
   whether they come at a steady interval. Pure; times are milliseconds of one
   clock, loads thousandths of a core. */

#define GV_RHYTHM_BURSTS 6

typedef struct {
    int n;                              /* bursts seen */
    int64_t begun_ms[GV_RHYTHM_BURSTS]; /* newest last */
    bool in_burst;
    int64_t low_since_ms; /* within a burst: load has been low since */
    double height;        /* mean load of the newest whole burst */
    double sum;           /* of the burst that goes on */
    int samples;
} gv_rhythm_t;

void GvRhythm_AddSample(gv_rhythm_t *r, double load, double mean,
                        int64_t now_ms);
int64_t GvRhythm_PeriodMs(const gv_rhythm_t *r);
double GvRhythm_ExpectedBurst(const gv_rhythm_t *r, int64_t period_ms,
                              int64_t from_ms, int64_t to_ms);

#endif
