#ifndef GV_OUTCOME_H
#define GV_OUTCOME_H

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/* Whether a request was run, as far as its caller can be told for certain. */
typedef enum {
    GV_OUTCOME_NOT_RUN, /* not run: no byte reached a target that may run it */
    GV_OUTCOME_RUN,     /* run: the target's whole response was received */
    GV_OUTCOME_UNKNOWN  /* may or may not have run */
} gv_outcome_t;

gv_str_t GvOutcome_Name(gv_outcome_t o); /* "not-run", "run", "unknown" */
int GvOutcome_Parse(gv_str_t name, gv_outcome_t *o);

/* The answer to a request. Owns its strings. */
typedef struct {
    gv_outcome_t outcome;
    int status;         /* HTTP status for the caller */
    int retry_after_ms; /* 0: no Retry-After */
    gv_str_t reason;    /* one line for the caller if there is no body */
    gv_str_t content_type;
    gv_str_t body;
    /* The outcome is GV_OUTCOME_NOT_RUN and every repeat of the ticket or key
       gets this answer too. Not sent to other entry hosts. */
    bool final;
} gv_answer_t;

gv_answer_t GvAnswer_Refuse(gv_outcome_t o, int status, int retry_after_ms,
                            const char *reason);
gv_answer_t GvAnswer_Copy(const gv_answer_t *a);
void GvAnswer_Free(gv_answer_t *a);

#endif
