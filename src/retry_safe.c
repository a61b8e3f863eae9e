#include "limits.h"
#include "retry.h"

/* Retries what is safe to retry: work that did not start goes back to the
   queue; idempotent work is repeated within the budget, unless it failed on
   several hosts or cannot finish before its deadline. */
static gv_retry_decision_t
decide(const gv_retry_case_t *c, gv_retry_budget_t *b)
{
    bool in_time = c->left_ms > 0 && (double)c->left_ms >= c->run_ms;
    switch (c->attempt) {
    case GV_ATTEMPT_OK:
        return GV_RETRY_NO;
    case GV_ATTEMPT_REFUSED:
    case GV_ATTEMPT_UNREACHABLE:
        return in_time && c->attempts < GV_RETRY_REQUEUES ? GV_RETRY_REQUEUE
                                                          : GV_RETRY_NO;
    case GV_ATTEMPT_FAILED:
    case GV_ATTEMPT_LOST:
    case GV_ATTEMPT_SILENT:
        break;
    }
    if (!c->idempotent || !in_time || c->attempts >= GV_RETRY_ATTEMPTS ||
        c->hosts_failed >= GV_RETRY_HOSTS_FAILED) {
        return GV_RETRY_NO;
    }
    return GvRetry_TakeToken(b) ? GV_RETRY_AGAIN : GV_RETRY_NO;
}

static gv_retry_policy_t safe = {.plugin = {.name = "safe"}, .decide = decide};
GV_REGISTER(GV_PLUGIN_RETRY, safe);
