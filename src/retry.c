#include "retry.h"

#include <glib.h>

#include "limits.h"

/* A host is ejected at this smoothed ratio of failed attempts. */
#define EJECT_FAIL_RATIO 0.6
/* Weight of one attempt in the smoothed ratio. */
#define FAIL_WEIGHT 0.05
/* Below this ratio the host counts as healthy, and its next ejection starts
   with the shortest wait again. */
#define HEALTHY_FAIL_RATIO 0.01

/* Counts a new request, which adds percent / 100 tokens to the budget. */
void
GvRetry_CountRequest(gv_retry_budget_t *b)
{
    double earned = b->percent / 100.0;
    b->tokens = MIN(b->tokens + earned, earned * GV_RETRY_WINDOW_REQUESTS);
}

/* Takes a token for one retry. Returns false if the budget is used up. The
   balance may fall to minus GV_RETRY_RESERVE, so that a service with few
   requests can retry too. */
bool
GvRetry_TakeToken(gv_retry_budget_t *b)
{
    if (b->percent <= 0 || b->tokens - 1 < -GV_RETRY_RESERVE) {
        return false;
    }
    b->tokens -= 1;
    return true;
}

/* Returns true if one more host may be ejected, which is a third of the hosts
   at most. If most hosts fail, the cause is not the hosts, and ejections would
   only reduce capacity. */
bool
GvEject_IsAllowed(int ejected, int hosts)
{
    return (ejected + 1) * 3 <= hosts;
}

/* Ejects the host and schedules its first trial. Returns true. */
static bool
eject(gv_eject_t *e, int64_t now_ms)
{
    e->ejected = true;
    e->trial_at_ms = now_ms;
    (void)GvEject_StartTrial(e, true, now_ms);
    return true;
}

/* Counts a success, which ends an ejection. Returns true if it ended one. */
static bool
count_success(gv_eject_t *e)
{
    e->streak = 0;
    if (e->ejected) {
        e->ejected = false;
        /* Starts at half the limit, so that the host is ejected sooner if it
           fails again. */
        e->fail_ratio = EJECT_FAIL_RATIO / 2;
        return true;
    }
    e->fail_ratio *= 1 - FAIL_WEIGHT;
    if (e->fail_ratio < HEALTHY_FAIL_RATIO) {
        e->ejections = 0;
    }
    return false;
}

/* Counts the end of an attempt on the host. A refusal because the target is
   full is ignored, since it says nothing about the target's health. may_eject
   is false if an ejection would leave too few hosts. Returns true if the
   ejected flag changed. */
bool
GvEject_CountAttempt(gv_eject_t *e, gv_attempt_t a, bool may_eject,
                     int64_t now_ms)
{
    switch (a) {
    case GV_ATTEMPT_OK:
        return count_success(e);
    case GV_ATTEMPT_REFUSED:
        return false;
    case GV_ATTEMPT_UNREACHABLE:
    case GV_ATTEMPT_FAILED:
    case GV_ATTEMPT_LOST:
    case GV_ATTEMPT_SILENT:
        break;
    }
    e->streak++;
    e->fail_ratio += FAIL_WEIGHT * (1 - e->fail_ratio);
    if (e->ejected || !may_eject ||
        (e->streak < GV_EJECT_FAILURES && e->fail_ratio < EJECT_FAIL_RATIO)) {
        return false;
    }
    return eject(e, now_ms);
}

/* Returns true if the host is ejected and may get a request as a trial now. A
   request that is not idempotent would be lost if the host still fails, so it
   is used only GV_EJECT_PREFER_MS after the trial became due. */
bool
GvEject_IsTrialDue(const gv_eject_t *e, bool idempotent, int64_t now_ms)
{
    int64_t prefer = idempotent ? 0 : GV_EJECT_PREFER_MS;
    return e->ejected && now_ms >= e->trial_at_ms + prefer;
}

/* Starts a trial if one is due; returns true if so. Each trial doubles the
   wait for the next one, up to GV_EJECT_WAIT_MAX_MS. */
bool
GvEject_StartTrial(gv_eject_t *e, bool idempotent, int64_t now_ms)
{
    if (!GvEject_IsTrialDue(e, idempotent, now_ms)) {
        return false;
    }
    int64_t wait = GV_EJECT_WAIT_MS;
    for (int i = 0; i < e->ejections && wait < GV_EJECT_WAIT_MAX_MS; i++) {
        wait *= 2;
    }
    e->trial_at_ms = now_ms + MIN(wait, GV_EJECT_WAIT_MAX_MS);
    e->ejections++;
    return true;
}
