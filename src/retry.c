#include "retry.h"

#include <glib.h>

#include "limits.h"

/* A host is ejected above this smoothed share of failures. */
#define FAIL_RATIO  0.6
#define FAIL_WEIGHT 0.05
/* Below this share the host counts as sound and its next ejection starts
   with the shortest wait again. */
#define SOUND_RATIO 0.01

/* Counts a new request, which earns the service a part of a retry. */
void
GvRetry_CountRequest(gv_retry_budget_t *b)
{
    double earned = b->percent / 100.0;
    b->tokens = MIN(b->tokens + earned, earned * GV_RETRY_REQUESTS);
}

/* Takes one retry from the budget. The balance may fall to minus
   GV_RETRY_RESERVE, so that a service with few requests can retry too. */
bool
GvRetry_TakeToken(gv_retry_budget_t *b)
{
    if (b->percent <= 0 || b->tokens - 1 < -GV_RETRY_RESERVE) {
        return false;
    }
    b->tokens -= 1;
    return true;
}

/* Tells whether one more host may be ejected. When most hosts fail, the
   cause is not the hosts, and ejection would only take away capacity. */
bool
GvEject_IsAllowed(int ejected, int hosts)
{
    return (ejected + 1) * 3 <= hosts;
}

static bool
eject(gv_eject_t *e, int64_t now_ms)
{
    e->ejected = true;
    e->trial_at_ms = now_ms;
    (void)GvEject_StartTrial(e, true, now_ms);
    return true;
}

static bool
note_ok(gv_eject_t *e)
{
    e->streak = 0;
    if (e->ejected) {
        e->ejected = false;
        /* Starts half way, so that a relapse is noticed early. */
        e->fail_ratio = FAIL_RATIO / 2;
        return true;
    }
    e->fail_ratio *= 1 - FAIL_WEIGHT;
    if (e->fail_ratio < SOUND_RATIO) {
        e->ejections = 0;
    }
    return false;
}

/* Notes how an attempt on the host ended. Refusals because the target is
   full say nothing about its health. may_eject is false when ejection would
   leave too few hosts. Returns true when the ejected flag changed. */
bool
GvEject_CountAttempt(gv_eject_t *e, gv_attempt_t a, bool may_eject,
                     int64_t now_ms)
{
    switch (a) {
    case GV_ATTEMPT_OK:
        return note_ok(e);
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
        (e->streak < GV_EJECT_STREAK && e->fail_ratio < FAIL_RATIO)) {
        return false;
    }
    return eject(e, now_ms);
}

/* Tells whether an ejected host may get a request as a trial now. One that is
   not idempotent would be lost if the host still fails, so it is taken only
   when no other came for GV_EJECT_PREFER_MS. */
bool
GvEject_IsTrialDue(const gv_eject_t *e, bool idempotent, int64_t now_ms)
{
    int64_t prefer = idempotent ? 0 : GV_EJECT_PREFER_MS;
    return e->ejected && now_ms >= e->trial_at_ms + prefer;
}

/* Takes the trial that is due, if any. Each trial doubles the wait for the
   next one, up to GV_EJECT_WAIT_MAX_MS. */
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
