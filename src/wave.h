#ifndef GV_WAVE_H
#define GV_WAVE_H

#include "ledger.h"
#include "registry.h"

/* Demand of a pool, for the wave planner and the reserve policy. */
typedef struct {
    gv_str_t pool;
    double busy_slots; /* smoothed */
    double peak_slots; /* recent peak, decays */
    double queued;     /* requests waiting */
    double run_ms;     /* mean run time */
    double wait_ms;    /* smoothed waiting time */
} gv_demand_t;

/* Plug-in: names up to max hosts of the wave to claim next, only those of the
   data centre `dc` unless it is empty. "adaptive" is the default: one host
   first, then a width that follows demand and budget; "fixed" (always the
   wave's width) and "one" are baselines. */
typedef struct {
    gv_plugin_t plugin;
    int (*plan)(const gv_ledger_t *l, const gv_wave_t *w, const gv_demand_t *d,
                gv_str_t dc, const gv_ledger_host_t **out, int max);
} gv_wave_policy_t;

#endif
