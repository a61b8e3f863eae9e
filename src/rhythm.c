#include "rhythm.h"

#include <glib.h>
#include <string.h>

#include "limits.h"

/* Records the start of a burst; the oldest of GV_RHYTHM_BURSTS is dropped. */
static void
begin_burst(gv_rhythm_t *r, int64_t now_ms)
{
    if (r->n_bursts == GV_RHYTHM_BURSTS) {
        memmove(&r->start_ms[0], &r->start_ms[1],
                sizeof r->start_ms - sizeof r->start_ms[0]);
        r->n_bursts--;
    }
    r->start_ms[r->n_bursts++] = now_ms;
    r->in_burst = true;
    r->low_since_ms = 0;
    r->load_sum = 0;
    r->samples = 0;
}

/* Ends the present burst and sets its mean load. */
static void
end_burst(gv_rhythm_t *r)
{
    r->in_burst = false;
    r->mean_load = r->samples > 0 ? r->load_sum / r->samples : 0;
}

/* Adds one sample of the load. A burst begins when the load reaches
   GV_RHYTHM_BURST_FACTOR its long-run mean, and ends after GV_RHYTHM_LOW_MS
   without a load above the mean. */
void
GvRhythm_AddSample(gv_rhythm_t *r, double load, double mean, int64_t now_ms)
{
    if (!r->in_burst) {
        if (load > 0 && load >= mean * GV_RHYTHM_BURST_FACTOR) {
            begin_burst(r, now_ms);
        }
        return;
    }
    if (load > mean) {
        r->load_sum += load;
        r->samples++;
        r->low_since_ms = 0;
    }
    else if (r->low_since_ms == 0) {
        r->low_since_ms = now_ms;
    }
    else if (now_ms - r->low_since_ms >= GV_RHYTHM_LOW_MS) {
        end_burst(r);
    }
}

/* Returns the interval between the two newest bursts in ms. Returns 0 if it
   is out of bounds or differs from the one before by over a quarter. */
int64_t
GvRhythm_PeriodMs(const gv_rhythm_t *r)
{
    if (r->n_bursts < 2) {
        return 0;
    }
    int64_t last = r->start_ms[r->n_bursts - 1] - r->start_ms[r->n_bursts - 2];
    if (last < GV_RHYTHM_MIN_MS || last > GV_RHYTHM_MAX_MS) {
        return 0;
    }
    if (r->n_bursts >= 3) {
        int64_t before =
            r->start_ms[r->n_bursts - 2] - r->start_ms[r->n_bursts - 3];
        if (ABS(last - before) > last / 4) {
            return 0;
        }
    }
    return last;
}

/* Returns the mean load of the burst that is expected to begin from from_ms
   to to_ms if bursts begin every period_ms; 0 if none is expected. */
double
GvRhythm_ExpectedBurst(const gv_rhythm_t *r, int64_t period_ms,
                       int64_t from_ms, int64_t to_ms)
{
    if (period_ms <= 0 || r->n_bursts == 0 || r->in_burst ||
        r->mean_load <= 0) {
        return 0;
    }
    int64_t next = r->start_ms[r->n_bursts - 1] + period_ms;
    return next >= from_ms && next <= to_ms ? r->mean_load : 0;
}
