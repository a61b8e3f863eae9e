#include "wave_plan.h"

/* Baseline: always as many hosts as the wave's width. */
static int
plan_fixed(const gv_ledger_t *l, const gv_wave_t *w, const gv_demand_t *d,
           gv_str_t dc, const gv_ledger_host_t **out, int max)
{
    (void)d;
    gv_wave_count_t c = GvWave_Count(l, w);
    return GvWave_Propose(l, w, &c, w->width, dc, out, max);
}

/* Baseline: one host at a time. */
static int
plan_one(const gv_ledger_t *l, const gv_wave_t *w, const gv_demand_t *d,
         gv_str_t dc, const gv_ledger_host_t **out, int max)
{
    (void)d;
    gv_wave_count_t c = GvWave_Count(l, w);
    return GvWave_Propose(l, w, &c, 1, dc, out, max);
}

static gv_wave_policy_t fixed = {.plugin = {.name = "fixed"},
                                 .plan = plan_fixed};
GV_REGISTER(GV_PLUGIN_WAVE, fixed);

static gv_wave_policy_t one = {.plugin = {.name = "one"}, .plan = plan_one};
GV_REGISTER(GV_PLUGIN_WAVE, one);
