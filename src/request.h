#ifndef GV_REQUEST_H
#define GV_REQUEST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "limits.h"
#include "outcome.h"
#include "queue.h"
#include "str.h"

/* Requests in progress at this entry host, in GV_SHARDS shards. A request
   ends exactly once with an answer; whoever comes second is dropped and
   counted. */
typedef struct gv_requests_s gv_requests_t;
typedef struct gv_request_s gv_request_t;

/* Called exactly once, without any lock held. The answer is valid during the
   call only. */
typedef void (*gv_request_done_t)(void *user, gv_request_t *rq,
                                  const gv_answer_t *a);
/* Tells the module that holds a request that the request has ended (answered,
   deadline, cancelled). Called once for each holder, without any lock held. */
typedef void (*gv_request_ended_t)(void *user, gv_request_t *rq);

/* All strings are copied by GvRequest_New, except the body. */
typedef struct {
    gv_str_t service;
    gv_str_t method;
    gv_str_t path; /* with the query string */
    gv_str_t content_type;
    gv_str_t team;
    gv_str_t work;
    gv_str_t ticket; /* empty: none */
    gv_str_t key;    /* empty: none */
    gv_str_t body;   /* owned string, taken over also when New fails */
    bool urgent;
    bool no_forward;     /* has had its hop: must run here or not at all */
    int64_t deadline_ms; /* absolute, monotonic */
    gv_request_done_t done;
    void *user;
} gv_request_opts_t;

struct gv_request_s {
    /* Fixed after New, except no_forward (current holder). */
    uint64_t id;
    gv_request_opts_t o;
    int64_t arrived_ms;
    /* Dispatch, under the service shard's lock. */
    gv_queue_item_t item;
    bool queued;
    bool idempotent;
    int attempts;
    uint64_t attempt;  /* the current one, 0: none */
    int hosts_failed;  /* hosts that started it and failed */
    gv_str_t tried[4]; /* hosts to avoid now, owned */
    int n_tried;
    /* Under the request shard's lock. */
    bool ended;
    gv_outcome_t outcome; /* fixed once ended, as is status */
    int status;
    bool active; /* an attempt is in progress */
    bool unsure; /* an earlier attempt may have run */
    gv_request_ended_t holder;
    void *holder_user;
    int refs;
    gv_requests_t *table;
};

gv_requests_t *GvRequests_New(int max);
void GvRequests_Free(gv_requests_t *t);
int GvRequests_Count(gv_requests_t *t);
typedef struct {
    uint64_t id;
    char service[GV_NAME_MAX_BYTES + 1];
    int64_t age_ms;
    bool active; /* an attempt is in progress */
} gv_request_row_t;

/* Appends up to max rows (gv_request_row_t) of requests in progress. */
void GvRequests_Report(gv_requests_t *t, GArray *out, guint max,
                       int64_t now_ms);
/* Ends every request whose deadline has passed; for the timer. */
void GvRequests_Expire(gv_requests_t *t, int64_t now_ms);
/* Returns 0 with two references, the table's and the caller's, or GV_EFULL.
   The caller of New releases its own with GvRequest_Unref. */
int GvRequest_New(gv_requests_t *t, const gv_request_opts_t *o, int64_t now_ms,
                  gv_request_t **out);
gv_request_t *GvRequest_Ref(gv_request_t *rq);
void GvRequest_Unref(gv_request_t *rq);
/* Finds a request by id and takes a reference, or NULL. */
gv_request_t *GvRequest_Find(gv_requests_t *t, uint64_t id);
/* Ends the request, takes over the answer's strings and calls done. An
   outcome of not-run becomes unknown when an attempt is active or an earlier
   one may have run. Returns false when the request had already ended. No
   lock may be held. */
bool GvRequest_End(gv_request_t *rq, gv_answer_t *a);
/* Ends the request without a response: not-run, finally, or unknown by its
   state. */
bool GvRequest_Cancel(gv_request_t *rq, const char *reason);
/* Ends the request as not-run only if it has certainly not run: no attempt is
   active and none may have run. Returns whether it has ended it. With final
   its ticket or key never runs. */
bool GvRequest_CancelIfNotRun(gv_request_t *rq, const char *reason,
                              bool final);
bool GvRequest_HasEnded(gv_request_t *rq);
/* Makes another module the holder; false when the request has ended, in which
   case the new holder is not called. */
bool GvRequest_SetHolder(gv_request_t *rq, gv_request_ended_t ended,
                         void *user);
/* To be called before the first byte of an attempt (to a target or to a
   peer) may leave. False: the request has ended, send nothing. */
bool GvRequest_BeginAttempt(gv_request_t *rq);
/* Ends the attempt; not_run tells that it certainly has not run. */
void GvRequest_EndAttempt(gv_request_t *rq, bool not_run);

#endif
