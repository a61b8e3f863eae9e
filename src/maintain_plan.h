#ifndef GV_MAINTAIN_PLAN_H
#define GV_MAINTAIN_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include "health.h"
#include "hostlist.h"
#include "ledger.h"

/* Decisions of the maintenance thread, as pure functions. */

/* Next step of the holder of a maintenance claim. */
typedef enum {
    GV_STEP_WAIT,
    GV_STEP_PROBE,
    GV_STEP_ACT,   /* append `act`; the host may be stopped after it */
    GV_STEP_DRAIN, /* a call of the platform, as the next two */
    GV_STEP_REBOOT,
    GV_STEP_READY,
    GV_STEP_DONE_HEALTHY, /* append `done` with this result */
    GV_STEP_DONE_FAILED,
    GV_STEP_DONE_CANCELLED
} gv_step_t;

/* What the holder of a maintenance claim knows. The probe count restarts with
   each phase and each platform call: the result of an earlier probe is then
   outdated. */
typedef struct {
    gv_claim_phase_t phase;
    bool wave_running; /* neither halted nor ended */
    bool waived;       /* a confirmation was waived by absence */
    int probes;        /* since the last phase change or platform call */
    bool reported;     /* the last probe was answered with a report */
    int running;       /* requests running, by the last report */
    bool boot_changed; /* the last report has a new boot identifier */
    bool leaving;      /* by the last report */
    bool drained;      /* the `drain` call succeeded */
    bool reboot_requested;
    int64_t reboot_ms; /* time since the reboot request */
    bool readied;      /* the `ready` call succeeded */
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

typedef struct {
    const gv_ledger_host_t *known;  /* the host in the ledger, or NULL */
    const gv_listed_host_t *listed; /* in the platform's list, or NULL */
    /* The list was requested before the ledger had this boot of the host. */
    bool list_older;
    bool healthy;       /* its current health state */
    int64_t health_ms;  /* since when, as a duration */
    bool pool_declared; /* the settings have the listed pool */
} gv_host_facts_t;

gv_report_t GvMaintain_Report(const gv_host_facts_t *f);

/* Returns the rank of self among the entry hosts for a key, from 0, by
   rendezvous hashing. */
int GvMaintain_Rank(const char *key, gv_str_t self, const gv_str_t *others,
                    int n);
/* Returns true if the holder of the claim is certainly absent. */
bool GvMaintain_IsOrphan(const gv_ledger_t *l, const gv_claim_t *c);

#endif
