#include "demand.h"

#include <math.h>

/* The smoothed demand is that of the daemon's reports: a moving average with a
   time constant, and a peak that decays with a half-life. */
#define SMOOTHING_S      10.0
#define PEAK_HALF_LIFE_S 60.0
#define LATE_MS          5000

/* Prepares the flow of one service, with the bursts of the load generator. */
void
GvFlow_Init(gv_flow_t *f, guint32 seed, int service, double mean_slots)
{
    *f = (gv_flow_t){.mean_slots = mean_slots,
                     .waits = g_array_new(FALSE, FALSE, sizeof(double))};
    GvLoad_Init(&f->gen, seed, service, 0.001);
}

/* Frees the load generator and the samples. */
void
GvFlow_Clear(gv_flow_t *f)
{
    GvLoad_Clear(&f->gen);
    g_array_free(f->waits, TRUE);
}

/* Advances the flow by one step. Each sample of the wait stands for the same
   amount of arriving work. */
void
GvFlow_Step(gv_flow_t *f, double now_s, double step_s, double slots)
{
    double rate =
        f->mean_slots * (GvLoad_IsBursting(&f->gen, now_s * 1000) ? 5 : 0.05);
    double work = f->backlog / step_s + rate;
    double busy = MIN(work, slots);
    f->backlog = (work - busy) * step_s;
    f->wait_ms = slots > 0 ? 1000 * f->backlog / slots : 1e6;
    double before = f->arrived;
    f->arrived += rate * step_s;
    /* One sample for each 10 slot seconds of arriving work. */
    int samples = (int)(floor(f->arrived / 10) - floor(before / 10));
    for (int k = 0; k < samples; k++) {
        g_array_append_val(f->waits, f->wait_ms);
    }
    f->late += f->wait_ms > LATE_MS ? rate * step_s : 0;
    double w = 1 - exp(-step_s / SMOOTHING_S);
    gv_demand_t *d = &f->demand;
    d->busy_slots += (busy - d->busy_slots) * w;
    d->peak_slots =
        MAX(busy, d->peak_slots * exp2(-step_s / PEAK_HALF_LIFE_S));
    d->queued = f->backlog * 1000 / GV_LOAD_WORK_MS;
    d->wait_ms += (f->wait_ms - d->wait_ms) * w;
}
