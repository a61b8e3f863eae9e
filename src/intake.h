#ifndef GV_INTAKE_H
#define GV_INTAKE_H

#include "catalog.h"
#include "job_table.h"
#include "store_result.h"

/* Callers' requests about jobs: what is stored, and what each caller is told.
   A submission is accepted once its record is stored; it is refused only
   while nothing of it can have been stored. No input or output: appends,
   reads and replies leave through gv_intake_ops_t. */

typedef struct gv_intake_s gv_intake_t;
typedef struct gv_intake_request_s
    gv_intake_request_t; /* one request; owned by the caller */

typedef enum {
    GV_INTAKE_ACCEPTED,  /* the job is stored */
    GV_INTAKE_CANCELLED, /* the cancellation is stored */
    GV_INTAKE_STATE,     /* state follows */
    GV_INTAKE_PENDING,   /* count follows */
    GV_INTAKE_NO_JOB,
    GV_INTAKE_NO_QUEUE,
    GV_INTAKE_INVALID,
    GV_INTAKE_NOT_RUN,    /* refused; it is not stored and never runs */
    GV_INTAKE_UNKNOWN,    /* it may be stored; the caller asks again */
    GV_INTAKE_UNAVAILABLE /* a question that cannot be answered now */
} gv_intake_result_t;

typedef struct {
    gv_intake_result_t said;
    gv_job_state_t state;
    int pending;
    int retry_after_ms;
    const char *why;
} gv_intake_reply_t;

typedef struct {
    void *user;
    void (*add_record)(GByteArray *records, gv_str_t key, gv_str_t value);
    /* Stores records in the partition of accepted work; the answer goes to
       GvIntake_Appended with the same batch. */
    void (*append)(void *user, int batch, gv_str_t records, bool fresh);
    /* A record is stored: it is applied to the table at once, so that this
       host answers for it before it has read the record back. */
    void (*stored)(void *user, gv_str_t key, gv_str_t value);
    /* Reads all that is stored; the answer goes to GvIntake_Synced. */
    void (*sync)(void *user, gv_intake_request_t *rq);
    void (*reply)(void *user, gv_intake_request_t *rq,
                  const gv_intake_reply_t *r);
    /* Returns how old this host's knowledge of accepted work is. */
    int64_t (*age_ms)(void *user, int64_t now_ms);
    /* Tells whether the store is believed to answer. */
    bool (*store_available)(void *user, int64_t now_ms);
} gv_intake_ops_t;

typedef enum {
    GV_INTAKE_KIND_SUBMIT,
    GV_INTAKE_KIND_STATE,
    GV_INTAKE_KIND_CANCEL,
    GV_INTAKE_KIND_PENDING
} gv_intake_kind_t;

/* One request. The caller sets the first group of fields and keeps the struct
   until the reply. */
struct gv_intake_request_s {
    gv_str_t id;   /* of the job; for a count, the name of the queue */
    gv_job_t *job; /* of a submission; owned */
    int64_t by_ms; /* the reply is due by then, monotonic */
    gv_intake_kind_t ask;

    bool waiting; /* in a batch */
};

gv_intake_t *GvIntake_New(const gv_intake_ops_t *ops, gv_job_table_t *table);
void GvIntake_Free(gv_intake_t *in);
void GvIntake_Request(gv_intake_t *in, gv_intake_request_t *rq,
                      int64_t now_ms);
void GvIntake_Appended(gv_intake_t *in, int batch, const gv_append_answer_t *a,
                       int64_t now_ms);
void GvIntake_Synced(gv_intake_t *in, gv_intake_request_t *rq, bool ok);
/* Sends what waits and ends what is overdue. */
void GvIntake_Step(gv_intake_t *in, int64_t now_ms);

#endif
