#ifndef GV_DISPATCH_H
#define GV_DISPATCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "burn.h"
#include "message.h"
#include "request.h"
#include "target.h"
#include "view.h"
#include "wave.h"

/* Requests from the queue of their service to a target. */
typedef struct gv_dispatch_s gv_dispatch_t;

typedef struct {
    gv_views_t *views;
    gv_targets_t *targets;
    gv_requests_t *requests;
    gv_str_t entry; /* own name */
    int workers;    /* exchange threads */
    /* Offers a request that cannot start here soon; returns true when the
       hook has taken it over (it then ends it or submits it again with
       no_forward set). Called without locks; may be NULL. Never called for a
       request with no_forward. */
    bool (*spill)(void *user, gv_request_t *rq);
    void *user;
} gv_dispatch_opts_t;

int GvDispatch_Start(const gv_dispatch_opts_t *o, gv_dispatch_t **out);
/* Ends what is queued as not-run; waits for running exchanges. */
void GvDispatch_Stop(gv_dispatch_t *d);
/* Runs the request here; ends it in every case. Clamps nothing: the deadline
   was bounded by the module that made the request. No lock may be held. */
void GvDispatch_Submit(gv_dispatch_t *d, gv_request_t *rq);
/* After a new view: creates, configures and drops service shards. */
void GvDispatch_OnView(gv_dispatch_t *d);
/* Queue timer: expiry, pump, long-run notes. */
void GvDispatch_Tick(gv_dispatch_t *d, int64_t now_ms);
/* From now on submissions are refused as not-run. */
void GvDispatch_Refuse(gv_dispatch_t *d);
/* Notes how a caller's request to the service ended, for the burn rate. */
void GvDispatch_CountResult(gv_dispatch_t *d, gv_request_t *rq);
/* Load per service (gv_load_t) for heartbeats; names are views that live as
   long as the dispatch. */
void GvDispatch_Loads(gv_dispatch_t *d, GArray *out);
/* Requests of services on the target's pool that are waiting here. */
int GvDispatch_QueuedFor(gv_dispatch_t *d, gv_str_t host);
/* Starts queued work now, for example after slots were borrowed. */
void GvDispatch_Pump(gv_dispatch_t *d);

typedef struct {
    char service[GV_NAME_MAX_BYTES + 1];
    int queued;
    int busy;
    int slots;
    int rate;
    double mean_run_ms;
    double wait_ms; /* smoothed */
    gv_burn_row_t burn[GV_BURN_WINDOWS];
} gv_dispatch_row_t;

/* Rows (gv_dispatch_row_t) for status and burn. */
void GvDispatch_Report(gv_dispatch_t *d, GArray *out, int64_t now_ms);
/* Demand of one pool at this entry host. */
gv_demand_t GvDispatch_Demand(gv_dispatch_t *d, gv_str_t pool);

#endif
