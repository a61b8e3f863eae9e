#include "rhythm.h"

#include <glib.h>
#include <string.h>

#include "limits.h"

static void
begin_burst(gv_rhythm_t *r, int64_t now_ms)
{
    if (r->n == GV_RHYTHM_BURSTS) {
        memmove(&r->begun_ms[0], &r->begun_ms[1],
                sizeof r->begun_ms - sizeof r->begun_ms[0]);
        r->n--;
    }
    r->begun_ms[r->n++] = now_ms;
    r->in_burst = true;
    r->low_since_ms = 0;
    r->sum = 0;
    r->samples = 0;
}

static void
end_burst(gv_rhythm_t *r)
{
    r->in_burst = false;
    r->height = r->samples > 0 ? r->sum / r->samples : 0;
}

/* Takes one sample of the load. A burst begins when the load is a multiple of
   its long-run mean, and ends after the load has been below the mean for a
   while. */
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
        r->sum += load;
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

/* Returns the interval between bursts if it is steady, else 0. Two bursts
   give a first guess; a third one has to fit it. */
int64_t
GvRhythm_PeriodMs(const gv_rhythm_t *r)
{
    if (r->n < 2) {
        return 0;
    }
    int64_t last = r->begun_ms[r->n - 1] - r->begun_ms[r->n - 2];
    if (last < GV_RHYTHM_MIN_MS || last > GV_RHYTHM_MAX_MS) {
        return 0;
    }
    if (r->n >= 3) {
        int64_t before = r->begun_ms[r->n - 2] - r->begun_ms[r->n - 3];
        if (ABS(last - before) > last / 4) {
            return 0;
        }
    }
    return last;
}

/* Returns the load of the burst that is expected to begin between from_ms and
   to_ms if bursts come every period_ms, or 0 for none. */
double
GvRhythm_ExpectedBurst(const gv_rhythm_t *r, int64_t period_ms,
                       int64_t from_ms, int64_t to_ms)
{
    if (period_ms <= 0 || r->n == 0 || r->in_burst || r->height <= 0) {
        return 0;
    }
    int64_t next = r->begun_ms[r->n - 1] + period_ms;
    return next >= from_ms && next <= to_ms ? r->height : 0;
}
