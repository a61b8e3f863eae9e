#ifndef GV_OUTCOME_H
#define GV_OUTCOME_H

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/* What a caller may rely on. */
typedef enum {
    GV_OUTCOME_NOT_RUN, /* no byte reached a target that may run it */
    GV_OUTCOME_RUN,     /* whole answer received */
    GV_OUTCOME_UNKNOWN  /* may or may not have run */
} gv_outcome_t;

gv_str_t GvOutcome_Name(gv_outcome_t o); /* "not-run", "run", "unknown" */
int GvOutcome_Parse(gv_str_t name, gv_outcome_t *o);

/* The answer to a request. Owns its strings. */
typedef struct {
    gv_outcome_t outcome;
    int status;         /* HTTP status for the caller */
    int retry_after_ms; /* 0: none */
    gv_str_t reason;    /* one line for the caller when no body came */
    gv_str_t content_type;
    gv_str_t body;
    /* A not-run that every repeat of the ticket or key gets, too. Not sent to
       other entry hosts. */
    bool final;
} gv_answer_t;

gv_answer_t GvAnswer_Refuse(gv_outcome_t o, int status, int retry_after_ms,
                            const char *reason);
gv_answer_t GvAnswer_Copy(const gv_answer_t *a);
void GvAnswer_Free(gv_answer_t *a);

#endif
