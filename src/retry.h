#ifndef GV_RETRY_H
#define GV_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "registry.h"

/* Retry budget of one service: retries are at most `percent` of the recent
   requests, plus GV_RETRY_RESERVE. No locking and no I/O. */
typedef struct {
    int percent;
    double tokens; /* a retry takes one token */
} gv_retry_budget_t;

/* Counts a new request, which adds to the budget. */
void GvRetry_CountRequest(gv_retry_budget_t *b);
/* Takes a token for one retry; false if the budget is used up. */
bool GvRetry_TakeToken(gv_retry_budget_t *b);

/* How an attempt ended. */
typedef enum {
    GV_ATTEMPT_OK,
    GV_ATTEMPT_REFUSED,     /* the target refused before starting */
    GV_ATTEMPT_UNREACHABLE, /* it is certain that nothing was sent */
    GV_ATTEMPT_FAILED,      /* the target answered with a server error */
    GV_ATTEMPT_LOST,        /* sent, no complete answer */
    GV_ATTEMPT_SILENT /* sent, no answer, though a later probe succeeded */
} gv_attempt_t;

/* A request whose attempt has ended. */
typedef struct {
    gv_attempt_t attempt;
    bool idempotent;
    int attempts;     /* so far, including this one */
    int hosts_failed; /* distinct hosts on which the request failed */
    int64_t left_ms;  /* time to the deadline */
    double run_ms;    /* expected run time */
} gv_retry_case_t;

typedef enum {
    GV_RETRY_NO,
    GV_RETRY_AGAIN,  /* retry; takes a token from the budget */
    GV_RETRY_REQUEUE /* queue again; the request was not started */
} gv_retry_decision_t;

/* Plug-in: decides what follows a failed attempt. "safe" is the default;
   "always" (retries idempotent requests without a budget) and "never" are
   baselines. */
typedef struct {
    gv_plugin_t plugin;
    gv_retry_decision_t (*decide)(const gv_retry_case_t *c,
                                  gv_retry_budget_t *b);
} gv_retry_policy_t;

/* Ejection of a host whose attempts fail: it gets no requests but occasional
   trials until one succeeds. No locking and no I/O. */
typedef struct {
    int streak;        /* failures in a row */
    double fail_ratio; /* smoothed ratio of failed attempts, 0 to 1 */
    bool ejected;
    int ejections; /* ejections and trials in a row; each doubles the wait */
    int64_t trial_at_ms; /* time from which a trial is due while ejected */
} gv_eject_t;

/* Returns true if one more of the hosts that this entry host may use for the
   service may be ejected: a third of them at most. */
bool GvEject_IsAllowed(int ejected, int hosts);
/* Counts the end of an attempt; may_eject is the result of GvEject_IsAllowed.
   Returns true if the ejected flag changed. */
bool GvEject_CountAttempt(gv_eject_t *e, gv_attempt_t a, bool may_eject,
                          int64_t now_ms);
/* Returns true if the host is ejected and may get a request of this kind as a
   trial now. */
bool GvEject_IsTrialDue(const gv_eject_t *e, bool idempotent, int64_t now_ms);
/* Starts a trial if one is due, and schedules the next one; returns true if
   so. */
bool GvEject_StartTrial(gv_eject_t *e, bool idempotent, int64_t now_ms);

#endif
