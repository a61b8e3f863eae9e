#include <glib.h>
#include <math.h>

#include "wave_plan.h"

/* Slots are planned to be this busy at the recent peak; the rest absorbs the
   spread of arrivals. */
#define PLANNED_USE 0.8

/* One host first, then as many as the recent peak of the demand leaves free,
   up to the wave's width. One host at a time always goes on, because the
   services' min_hosts protects them and the wave has to end. */
static int
plan(const gv_ledger_t *l, const gv_wave_t *w, const gv_demand_t *d,
     const gv_lhost_t **out, int max)
{
    gv_wave_count_t c = GvWave_Count(l, w);
    int width = w->width;
    if (d != NULL && c.slots > 0) {
        double need = MAX(d->peak_slots, d->busy_slots) / PLANNED_USE;
        int hosts = (int)ceil(need / c.slots);
        width = CLAMP(c.up + c.claims - hosts, 1, w->width);
    }
    return GvWave_Propose(l, w, width, out, max);
}

static gv_wave_policy_t adaptive = {.plugin = {.name = "adaptive"},
                                    .plan = plan};
GV_REGISTER(GV_PLUGIN_WAVE, adaptive);
