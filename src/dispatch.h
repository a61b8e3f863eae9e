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

/* Queues requests per service and runs them on targets. */
typedef struct gv_dispatch_s gv_dispatch_t;

typedef struct {
    gv_views_t *views;
    gv_targets_t *targets;
    gv_requests_t *requests;
    gv_str_t entry; /* name of this entry host */
    int workers;    /* number of exchange threads */
    /* Offers a request that cannot start here soon to other entry hosts.
       Returns true if the hook has taken the request over; it then ends it or
       submits it again with no_forward set. Called without locks, and never
       for a request with no_forward. May be NULL. */
    bool (*spill)(void *user, gv_request_t *rq);
    void *user;
} gv_dispatch_opts_t;

/* Starts the exchange threads. Returns 0 or GV_EIO. */
int GvDispatch_Start(const gv_dispatch_opts_t *o, gv_dispatch_t **out);
/* Ends queued requests as not-run, waits for running exchanges and frees d. */
void GvDispatch_Stop(gv_dispatch_t *d);
/* Queues the request and runs it on a target; it is ended in every case. The
   caller has already limited its deadline. No lock may be held. */
void GvDispatch_Submit(gv_dispatch_t *d, gv_request_t *rq);
/* To be called after each new view: creates, configures and empties the shards
   of the services. */
void GvDispatch_OnView(gv_dispatch_t *d);
/* To be called every GV_TIMER_TICK_MS: ends queued requests past their
   deadline, checks exchanges in progress and starts queued requests. */
void GvDispatch_Tick(gv_dispatch_t *d, int64_t now_ms);
/* Makes every later submission end as not-run. */
void GvDispatch_Refuse(gv_dispatch_t *d);
/* Counts a caller's ended request for the service's burn rate. */
void GvDispatch_CountResult(gv_dispatch_t *d, gv_request_t *rq);
/* Appends the load of each service (gv_load_t) for heartbeats. The names in it
   point into d and stay valid until GvDispatch_Stop. */
void GvDispatch_Loads(gv_dispatch_t *d, GArray *out);
/* Returns the number of requests queued here for services of the pool that
   the target belongs to. */
int GvDispatch_QueuedFor(gv_dispatch_t *d, gv_str_t host);
/* Starts queued requests now, for example after slots were borrowed. */
void GvDispatch_Pump(gv_dispatch_t *d);

typedef struct {
    char service[GV_NAME_MAX_BYTES + 1];
    int queued;
    int busy;  /* exchanges in progress */
    int slots; /* that this entry host may use */
    int rate;  /* requests admitted in the last full second */
    double mean_run_ms;
    double wait_ms; /* time in the queue, smoothed */
    gv_burn_row_t burn[GV_BURN_WINDOWS];
} gv_dispatch_row_t;

/* Appends a row (gv_dispatch_row_t) for each service. */
void GvDispatch_Report(gv_dispatch_t *d, GArray *out, int64_t now_ms);
/* Returns the demand of one pool at this entry host. */
gv_demand_t GvDispatch_Demand(gv_dispatch_t *d, gv_str_t pool);

#endif
