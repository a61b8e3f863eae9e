#include "retry.h"

/* Baseline: retries idempotent requests until their deadline, without a
   budget. */
static gv_retry_decision_t
decide_always(const gv_retry_case_t *c, gv_retry_budget_t *b)
{
    (void)b;
    if (c->attempt == GV_ATTEMPT_OK || c->left_ms <= 0) {
        return GV_RETRY_NO;
    }
    if (c->attempt == GV_ATTEMPT_REFUSED ||
        c->attempt == GV_ATTEMPT_UNREACHABLE) {
        return GV_RETRY_REQUEUE;
    }
    return c->idempotent ? GV_RETRY_AGAIN : GV_RETRY_NO;
}

/* Baseline: never retries a request that may have started. */
static gv_retry_decision_t
decide_never(const gv_retry_case_t *c, gv_retry_budget_t *b)
{
    (void)b;
    if (c->left_ms > 0 && (c->attempt == GV_ATTEMPT_REFUSED ||
                           c->attempt == GV_ATTEMPT_UNREACHABLE)) {
        return GV_RETRY_REQUEUE;
    }
    return GV_RETRY_NO;
}

static gv_retry_policy_t always = {.plugin = {.name = "always"},
                                   .decide = decide_always};
GV_REGISTER(GV_PLUGIN_RETRY, always);

static gv_retry_policy_t never = {.plugin = {.name = "never"},
                                  .decide = decide_never};
GV_REGISTER(GV_PLUGIN_RETRY, never);
