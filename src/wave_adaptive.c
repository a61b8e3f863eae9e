#include <glib.h>
#include <math.h>

#include "wave_plan.h"

/* Ratio of slots that are planned to be busy at the recent peak; the rest
   absorbs variation in arrivals. */
#define PLANNED_UTILIZATION 0.8

/* One in this many hosts, and at least one host, may be out whatever the
   demand: if the demand leaves no host free, bursts exceed the pool's slots in
   any case, and the wave still has to finish. */
#define HOSTS_PER_HOST_OUT 32

/* Returns how many hosts the demand allows to be out; no limit if the demand
   is unknown. */
static int
free_hosts(const gv_wave_count_t *c, const gv_demand_t *d)
{
    if (d == NULL || c->slots == 0) {
        return G_MAXINT;
    }
    double need = MAX(d->peak_slots, d->busy_slots) / PLANNED_UTILIZATION;
    int hosts = c->up + c->wave_claims;
    int least = MAX(hosts / HOSTS_PER_HOST_OUT, 1);
    return MAX(hosts - (int)ceil(need / c->slots), least);
}

/* Returns how many hosts may be out if the loss of any one rack is still to
   leave min_hosts in service. Hosts that have already failed count towards
   that loss. If the settings leave no such reserve, one host at a time may be
   out as long as no host has failed. */
static int
safe_hosts(const gv_wave_count_t *c)
{
    int keep = MAX(c->max_rack_hosts - c->failed, 0);
    int safe = c->up + c->wave_claims - c->min_hosts - keep;
    return c->failed == 0 ? MAX(safe, 1) : safe;
}

/* Chooses one host first, then as many as demand and budget allow, up to the
   wave's width. */
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
