#ifndef GV_RETRY_H
#define GV_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "registry.h"

/* Retry budget of one service: retries may be at most `percent` of recent
   requests, plus a small reserve. Pure. */
typedef struct {
    int percent;
    double tokens; /* one token: one retry */
} gv_retry_budget_t;

void GvRetry_CountRequest(gv_retry_budget_t *b);
bool GvRetry_TakeToken(gv_retry_budget_t *b);

/* How an attempt ended. */
typedef enum {
    GV_ATTEMPT_OK,
    GV_ATTEMPT_REFUSED,     /* the target refused before starting */
    GV_ATTEMPT_UNREACHABLE, /* certainly nothing sent */
    GV_ATTEMPT_FAILED,      /* the target answered with a server error */
    GV_ATTEMPT_LOST,        /* sent, no whole answer */
    GV_ATTEMPT_SILENT       /* sent, no byte back, fresh probe succeeded */
} gv_attempt_t;

typedef struct {
    gv_attempt_t attempt;
    bool idempotent;
    int attempts;     /* so far, this one included */
    int hosts_failed; /* distinct hosts on which this job failed */
    int64_t left_ms;  /* to the deadline */
    double run_ms;    /* expected */
} gv_retry_case_t;

typedef enum {
    GV_RETRY_NO,
    GV_RETRY_AGAIN,  /* costs a budget token */
    GV_RETRY_REQUEUE /* not started: goes back to the queue */
} gv_retry_decision_t;

/* Plug-in: "safe" is the default; "always" (idempotent work without a
   budget) and "never" are baselines. */
typedef struct {
    gv_plugin_t plugin;
    gv_retry_decision_t (*decide)(const gv_retry_case_t *c,
                                  gv_retry_budget_t *b);
} gv_retry_policy_t;

/* Ejection of a host that fails what it starts. Pure. */
typedef struct {
    int streak;        /* failures in a row */
    double fail_ratio; /* smoothed */
    bool ejected;
    int ejections;       /* and trials, in a row; each doubles the wait */
    int64_t trial_at_ms; /* next trial request while ejected */
} gv_eject_t;

/* Tells whether one more of the hosts that the entry host may use for the
   service may be ejected: a third at most. */
bool GvEject_IsAllowed(int ejected, int hosts);
/* Notes an attempt; may_eject as told by GvEject_IsAllowed. Returns true when
   the ejected flag changed. */
bool GvEject_CountAttempt(gv_eject_t *e, gv_attempt_t a, bool may_eject,
                          int64_t now_ms);
/* Tells whether an ejected host may get such a request as a trial now. */
bool GvEject_IsTrialDue(const gv_eject_t *e, bool idempotent, int64_t now_ms);
/* As GvEject_IsTrialDue; when true, the next trial is due only after the wait.
 */
bool GvEject_StartTrial(gv_eject_t *e, bool idempotent, int64_t now_ms);

#endif
