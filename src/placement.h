#ifndef GV_PLACEMENT_H
#define GV_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "registry.h"

/* State of one candidate target when a target is chosen. */
typedef struct {
    /* Smoothed ratio of run times to the expected ones, times 1000. */
    double run_ratio_permille;
    int usable; /* slots that this entry host may use, with loans */
    int busy;   /* exchanges in progress from this entry host */
    /* Refusals because the target was full; cleared when an exchange on the
       target ends. The daemon drops the count GV_REFUSED_KEEP_MS after the
       last refusal, bench halves it every GV_TIMER_TICK_MS. */
    int refused;
    bool ejected; /* gets no requests */
    /* The target's trial after an ejection is due, but for an idempotent
       request only. */
    bool idempotent_only;
    bool avoid; /* this request has already failed on it */
} gv_candidate_t;

/* Plug-in: chooses one of n candidates. Returns its index, or -1 if none has a
   free slot. random is 32 random bits; turn counts the calls. "least-loaded"
   is the default; "round-robin" and "random-two" are baselines. */
typedef struct {
    gv_plugin_t plugin;
    int (*choose)(const gv_candidate_t *c, int n, uint32_t random,
                  uint64_t turn);
} gv_place_policy_t;

#endif
