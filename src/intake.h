#ifndef GV_INTAKE_H
#define GV_INTAKE_H

#include "catalog.h"
#include "job_table.h"
#include "store_result.h"

/* Handles callers' requests about jobs: submissions, cancellations and
   queries. A submission is accepted once its record is stored; it is refused
   only while its record cannot have been stored. This module does no input or
   output: appends, reads and replies go through gv_intake_ops_t. */

typedef struct gv_intake_s gv_intake_t;
typedef struct gv_intake_request_s gv_intake_request_t;

typedef enum {
    GV_INTAKE_ACCEPTED,    /* the job is stored */
    GV_INTAKE_CANCELLED,   /* the cancellation is stored */
    GV_INTAKE_STATE,       /* `state` is set */
    GV_INTAKE_PENDING,     /* `pending` is set */
    GV_INTAKE_NO_JOB,      /* no such job */
    GV_INTAKE_NO_QUEUE,    /* no such queue */
    GV_INTAKE_INVALID,     /* malformed request */
    GV_INTAKE_NOT_RUN,     /* submission refused: not stored, never runs */
    GV_INTAKE_UNKNOWN,     /* may be stored; the caller has to repeat it */
    GV_INTAKE_UNAVAILABLE, /* cancellation or query failed; try again */
    GV_INTAKE_ID_TAKEN /* submission with the id of another account's job */
} gv_intake_result_t;

typedef struct {
    gv_intake_result_t result;
    gv_job_state_t state;
    int pending;        /* jobs of the queue without a started task */
    int retry_after_ms; /* 0: none */
    const char *why;    /* for the log; may be NULL */
} gv_intake_reply_t;

typedef struct {
    void *user;
    /* Encodes a record and appends it to `records`. */
    void (*add_record)(GByteArray *records, gv_str_t key, gv_str_t value);
    /* Appends records to the partition of accepted jobs and passes the result
       to GvIntake_Appended with the same batch number. */
    void (*append)(void *user, int batch, gv_str_t records,
                   bool new_connection);
    /* Applies a stored record to the table at once, so that this host can
       answer requests about it before it reads the record back. */
    void (*stored)(void *user, gv_str_t key, gv_str_t value);
    /* Reads the partitions of accepted jobs up to their ends, then calls
       GvIntake_Synced. */
    void (*sync)(void *user, gv_intake_request_t *rq);
    void (*reply)(void *user, gv_intake_request_t *rq,
                  const gv_intake_reply_t *r);
    /* Returns the time since the accepted jobs were last read completely. */
    int64_t (*age_ms)(void *user, int64_t now_ms);
    /* Returns false if recent calls of the store went unanswered. */
    bool (*store_available)(void *user, int64_t now_ms);
    size_t record_bytes_max; /* that the store takes */
    size_t jobs_bytes_max;   /* memory of all jobs */
} gv_intake_ops_t;

typedef enum {
    GV_INTAKE_KIND_SUBMIT,
    GV_INTAKE_KIND_STATE,
    GV_INTAKE_KIND_CANCEL,
    GV_INTAKE_KIND_PENDING /* number of pending jobs of a queue */
} gv_intake_kind_t;

/* One request. Its maker owns it, sets the first group of fields and keeps it
   until the reply. */
struct gv_intake_request_s {
    gv_str_t id;   /* of the job; GV_INTAKE_KIND_PENDING: name of the queue */
    gv_job_t *job; /* of a submission, else NULL; not freed by the intake */
    int64_t deadline_ms; /* of the reply, monotonic */
    gv_str_t account;    /* client account that asks; empty: none */
    /* The queue that was asked, if its jobs are open to every caller; empty:
       each account sees only its own jobs. */
    gv_str_t open_queue;
    gv_intake_kind_t kind;

    bool waiting; /* for an append: queued or in a batch */
    bool early;   /* a cancellation whose job was not known */
};

gv_intake_t *GvIntake_New(const gv_intake_ops_t *ops, gv_job_table_t *table);
void GvIntake_Free(gv_intake_t *in);
void GvIntake_Request(gv_intake_t *in, gv_intake_request_t *rq,
                      int64_t now_ms);
void GvIntake_Appended(gv_intake_t *in, int batch, const gv_append_answer_t *a,
                       int64_t now_ms);
void GvIntake_Synced(gv_intake_t *in, gv_intake_request_t *rq, bool ok,
                     int64_t now_ms);
void GvIntake_Step(gv_intake_t *in, int64_t now_ms);

#endif
