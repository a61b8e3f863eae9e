#ifndef GV_WAVE_H
#define GV_WAVE_H

#include "ledger.h"
#include "registry.h"

/* Demand of a pool, for the wave planner and the reserve policy. */
typedef struct {
    gv_str_t pool;
    double busy_slots; /* slots needed, smoothed */
    double peak_slots; /* slots needed, recent peak that decays */
    double queued;     /* queued requests */
    double run_ms;     /* mean run time */
    double wait_ms;    /* time in the queue, smoothed */
} gv_demand_t;

/* Plug-in: chooses up to max hosts to claim next for the wave, writes them to
   out and returns their number. Only hosts of data centre dc are chosen,
   unless dc is empty. "adaptive" is the default: one host first, then as many
   at a time as demand and budget allow; "fixed" (always the wave's width) and
   "one" are baselines. */
typedef struct {
    gv_plugin_t plugin;
    int (*plan)(const gv_ledger_t *l, const gv_wave_t *w, const gv_demand_t *d,
                gv_str_t dc, const gv_ledger_host_t **out, int max);
} gv_wave_policy_t;

#endif
