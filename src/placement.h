#ifndef GV_PLACEMENT_H
#define GV_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "registry.h"

/* What is known about one candidate target at the time of choice. */
typedef struct {
    double run_ratio_permille; /* smoothed run time ratio to expected, x1000 */
    int usable; /* slots that this entry host may use: own share + borrowed */
    int busy;   /* in progress from this entry host */
    /* Refusals because the target was full; the caller halves the number
       every GV_TIMER_TICK_MS and clears it when one of its runs there ends. */
    int refused;
    bool ejected;
    bool
        idempotent_only; /* its trial is due, for an idempotent request only */
    bool avoid;          /* already tried by this request */
} gv_candidate_t;

/* Plug-in: chooses a target. Returns an index or -1 when none has a free
   slot. random is 32 random bits. "least-loaded" is the default;
   "round-robin" and "random-two" are baselines. */
typedef struct {
    gv_plugin_t plugin;
    int (*choose)(const gv_candidate_t *c, int n, uint32_t random,
                  uint64_t turn);
} gv_place_policy_t;

#endif
