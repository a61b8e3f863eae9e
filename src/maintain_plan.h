#ifndef GV_MAINTAIN_PLAN_H
#define GV_MAINTAIN_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include "health.h"
#include "hostlist.h"
#include "ledger.h"

/* Decisions of the maintenance thread. Pure. */

typedef enum {
    GV_STEP_WAIT,
    GV_STEP_PROBE,
    GV_STEP_ACT,
    GV_STEP_DRAIN,
    GV_STEP_REBOOT,
    GV_STEP_READY,
    GV_STEP_DONE_HEALTHY,
    GV_STEP_DONE_FAILED,
    GV_STEP_DONE_CANCELLED
} gv_step_t;

/* What the holder of a maintenance claim knows. Probes count from the last
   change of the step; one before a platform call says nothing after it. */
typedef struct {
    gv_claim_phase_t phase;
    bool wave_runs; /* neither halted nor ended */
    bool waived;    /* a confirmation was waived by absence */
    int probes;     /* fresh probes so far */
    bool reported;  /* the last probe got a report */
    int running;    /* in that report */
    bool new_boot;  /* another boot than before the stop */
    bool leaving;   /* in the last report */
    bool drained;
    bool rebooted;     /* the reboot was asked for */
    int64_t reboot_ms; /* since then */
    bool readied;
} gv_claim_facts_t;

gv_step_t GvMaintain_NextStep(const gv_claim_facts_t *f);

/* What to report about a host of the own data centre. */
typedef enum {
    GV_REPORT_NONE,
    GV_REPORT_ADD,
    GV_REPORT_CHANGE, /* address, rack, slots or boot */
    GV_REPORT_GONE,
    GV_REPORT_FAILED,
    GV_REPORT_UP
} gv_report_t;

/* known may be NULL, listed too. health_ms: how long health has been as it
   is; pool_declared: of a listed pool. */
gv_report_t GvMaintain_Report(const gv_ledger_host_t *known,
                              const gv_listed_host_t *listed, bool healthy,
                              int64_t health_ms, bool pool_declared);

/* Position of self among the entry hosts by rendezvous hashing for a key. */
int GvMaintain_Rank(const char *key, gv_str_t self, const gv_str_t *others,
                    int n);
/* Tells whether the holder of the claim is certainly absent. */
bool GvMaintain_IsOrphan(const gv_ledger_t *l, const gv_claim_t *c);

#endif
