#include <glib.h>
#include <math.h>

#include "wave_plan.h"

/* Slots are planned to be this busy at the recent peak; the rest absorbs the
   spread of arrivals. */
#define PLANNED_USE 0.8

/* One host in so many may be out whatever the demand: the pool's bursts
   exceed its slots anyway, and the wave has to end. */
#define ALWAYS_ONE_IN 32

/* Hosts that the demand leaves free. */
static int
free_hosts(const gv_wave_count_t *c, const gv_demand_t *d)
{
    if (d == NULL || c->slots == 0) {
        return G_MAXINT;
    }
    double need = MAX(d->peak_slots, d->busy_slots) / PLANNED_USE;
    int hosts = c->up + c->wave_claims;
    int always = MAX(hosts / ALWAYS_ONE_IN, 1);
    return MAX(hosts - (int)ceil(need / c->slots), always);
}

/* Hosts that may be out so that the loss of any one rack would still leave
   min_hosts in service; hosts that have failed already use up that room.
   Settings without it get one host at a time, while no host has failed. */
static int
safe_hosts(const gv_wave_count_t *c)
{
    int keep = MAX(c->max_rack_hosts - c->failed, 0);
    int safe = c->up + c->wave_claims - c->min_hosts - keep;
    return c->failed == 0 ? MAX(safe, 1) : safe;
}

/* One host first, then as many as demand and budget allow, up to the wave's
   width. */
static int
plan(const gv_ledger_t *l, const gv_wave_t *w, const gv_demand_t *d,
     gv_str_t dc, const gv_ledger_host_t **out, int max)
{
    gv_wave_count_t c = GvWave_Count(l, w);
    int width = MIN(free_hosts(&c, d), safe_hosts(&c));
    return GvWave_Propose(l, w, &c, MIN(width, w->width), dc, out, max);
}

static gv_wave_policy_t adaptive = {.plugin = {.name = "adaptive"},
                                    .plan = plan};
GV_REGISTER(GV_PLUGIN_WAVE, adaptive);
