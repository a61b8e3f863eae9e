#include "outcome.h"

#include "error.h"

static const char *const names[] = {"not-run", "run", "unknown"};

/* Returns the value of the Gv-Outcome header for an outcome. */
gv_str_t
GvOutcome_Name(gv_outcome_t o)
{
    return GvStr_C(names[o]);
}

/* Parses the value of a Gv-Outcome header. Returns 0 or GV_EINVAL. */
int
GvOutcome_Parse(gv_str_t name, gv_outcome_t *o)
{
    for (int i = 0; i <= GV_OUTCOME_UNKNOWN; i++) {
        if (GvStr_Equal(name, GvStr_C(names[i]))) {
            *o = (gv_outcome_t)i;
            return GV_OK;
        }
    }
    return GV_EINVAL;
}

/* Returns an answer that has a reason instead of a body. A retry_after_ms of 0
   means that the caller is not told when to retry. */
gv_answer_t
GvAnswer_Refuse(gv_outcome_t o, int status, int retry_after_ms,
                const char *reason)
{
    return (gv_answer_t){.outcome = o,
                         .status = status,
                         .retry_after_ms = retry_after_ms,
                         .reason = GvStr_Dup(GvStr_C(reason))};
}

/* Copies an answer with all of its strings. */
gv_answer_t
GvAnswer_Copy(const gv_answer_t *a)
{
    gv_answer_t c = *a;
    c.reason = GvStr_Dup(a->reason);
    c.content_type = GvStr_Dup(a->content_type);
    c.body = GvStr_Dup(a->body);
    return c;
}

/* Releases the strings of an answer. */
void
GvAnswer_Free(gv_answer_t *a)
{
    GvStr_Free(&a->reason);
    GvStr_Free(&a->content_type);
    GvStr_Free(&a->body);
}
