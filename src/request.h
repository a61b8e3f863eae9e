#ifndef GV_REQUEST_H
#define GV_REQUEST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "limits.h"
#include "outcome.h"
#include "queue.h"
#include "str.h"

/* Table of the requests in progress at this entry host, in GV_SHARDS shards,
   each with its own lock. A request ends exactly once, with an answer; later
   answers are dropped and counted. */
typedef struct gv_requests_s gv_requests_t;
typedef struct gv_request_s gv_request_t;

/* Called once, when the request ends, without any lock held. The answer is
   valid only during the call. */
typedef void (*gv_request_done_t)(void *user, gv_request_t *rq,
                                  const gv_answer_t *a);
/* Called when a request ends, for the module that is its holder then, before
   gv_request_done_t and without any lock held. */
typedef void (*gv_request_ended_t)(void *user, gv_request_t *rq);

/* All strings are copied by GvRequest_New, except the body. */
typedef struct {
    gv_str_t service;
    gv_str_t method;
    gv_str_t path; /* with the query string */
    gv_str_t content_type;
    gv_str_t team;
    gv_str_t work;   /* kind of work, for the estimate of the run time */
    gv_str_t ticket; /* ticket of the request; empty: none */
    gv_str_t key;    /* idempotency key; empty: none */
    gv_str_t body;   /* owned; GvRequest_New takes it over also if it fails */
    bool urgent;
    bool no_forward;     /* must not be forwarded to another entry host */
    int64_t deadline_ms; /* absolute, monotonic */
    gv_request_done_t done;
    void *user;
} gv_request_opts_t;

struct gv_request_s {
    /* Not changed after GvRequest_New, except opts.no_forward, which the
       holder may set. */
    uint64_t id;
    gv_request_opts_t opts;
    int64_t arrived_ms; /* monotonic */
    /* Used by the dispatch module, under the lock of the service's shard. */
    gv_queue_item_t item;
    bool queued;
    bool idempotent;
    int attempts;      /* number of attempts started */
    uint64_t attempt;  /* number of the current attempt; 0: none */
    int hosts_failed;  /* hosts that failed after the request was sent */
    gv_str_t tried[4]; /* hosts that further attempts avoid, owned */
    int n_tried;
    /* The fields below are protected by the lock of the request's shard. */
    bool ended;
    gv_outcome_t outcome;      /* valid once ended */
    int status;                /* valid once ended */
    bool active;               /* an attempt is in progress */
    bool may_have_run;         /* an earlier attempt may have run */
    gv_request_ended_t holder; /* NULL: none */
    void *holder_user;
    int refs;
    gv_requests_t *table;
};

/* Creates a table for at most max requests. */
gv_requests_t *GvRequests_New(int max);
/* Frees the table; every request must have ended. */
void GvRequests_Free(gv_requests_t *t);
/* Returns the number of requests whose callbacks have not all returned. */
int GvRequests_Count(gv_requests_t *t);
/* Returns the number of requests that have not ended. */
int GvRequests_CountOpen(gv_requests_t *t);
typedef struct {
    uint64_t id;
    char service[GV_NAME_MAX_BYTES + 1];
    int64_t age_ms;
    bool active; /* an attempt is in progress */
} gv_request_row_t;

/* Appends a gv_request_row_t for each request in progress until out has max
   rows. */
void GvRequests_Report(gv_requests_t *t, GArray *out, guint max,
                       int64_t now_ms);
/* Ends every request whose deadline has passed. Called by the timer. */
void GvRequests_Expire(gv_requests_t *t, int64_t now_ms);
/* Adds a request to the table. Returns 0 with two references, the table's and
   the caller's, or GV_EFULL. The caller releases its own with
   GvRequest_Unref. */
int GvRequest_New(gv_requests_t *t, const gv_request_opts_t *o, int64_t now_ms,
                  gv_request_t **out);
gv_request_t *GvRequest_Ref(gv_request_t *rq);
void GvRequest_Unref(gv_request_t *rq);
/* Finds a request in progress by id and takes a reference; NULL if there is
   none. */
gv_request_t *GvRequest_Find(gv_requests_t *t, uint64_t id);
/* Ends the request with an answer, whose strings it takes over, and calls the
   holder and done. An outcome of not-run is changed to unknown if an attempt
   is in progress or an earlier one may have run. Returns false if the request
   had already ended. The caller must not hold a lock. */
bool GvRequest_End(gv_request_t *rq, gv_answer_t *a);
/* Ends the request without a response. The outcome is a final not-run, or
   unknown if the request may have run. Returns false if the request had
   already ended. */
bool GvRequest_Cancel(gv_request_t *rq, const char *reason);
/* Ends the request as not-run if it has certainly not run: no attempt is in
   progress and no earlier one may have run. Returns true if this call ended
   it. With final a repeat of its ticket or key does not run either. */
bool GvRequest_CancelIfNotRun(gv_request_t *rq, const char *reason,
                              bool final);
bool GvRequest_HasEnded(gv_request_t *rq);
/* Replaces the holder: `ended` is called when the request ends. Returns false
   if the request has already ended; then `ended` is not called. */
bool GvRequest_SetHolder(gv_request_t *rq, gv_request_ended_t ended,
                         void *user);
/* Marks an attempt as in progress. Must be called before the first byte of the
   attempt is sent to a target or a peer. Returns false if the request has
   ended; then nothing may be sent. */
bool GvRequest_BeginAttempt(gv_request_t *rq);
/* Marks the attempt as ended; not_run: the request has certainly not run in
   it. */
void GvRequest_EndAttempt(gv_request_t *rq, bool not_run);

#endif
