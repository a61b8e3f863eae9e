#ifndef GV_DISPATCH_PRIVATE_H
#define GV_DISPATCH_PRIVATE_H

#include <pthread.h>
#include <stdatomic.h>

#include "dispatch.h"
#include "estimate.h"
#include "exchange.h"
#include "placement.h"
#include "queue.h"
#include "retry.h"

/* One exchange in progress; the key of its table is the attempt number. */
typedef struct {
    uint64_t attempt;
    gv_request_t *rq;    /* valid through the exchange job's reference */
    gv_target_t *target; /* valid through the exchange job's reference */
    int64_t begin_ms;
    double run_ms;         /* estimate at the start */
    int64_t next_probe_ms; /* earliest time to request the next health probe */
    bool is_long;
    bool abandoned; /* the request no longer waits for it */
} gv_run_t;

/* State of one service. A shard is freed only when the dispatcher stops, so
   its address stays valid without a reference. */
typedef struct {
    char name[GV_NAME_MAX_BYTES + 1];
    pthread_mutex_t lock;
    gv_settings_t *settings;     /* keeps service valid */
    const gv_service_t *service; /* NULL: removed from the settings */
    gv_queue_t *queue;           /* NULL: removed from the settings */
    gv_estimate_t *estimate;
    gv_retry_budget_t budget;
    gv_burn_t *burn;
    GHashTable *running; /* attempt -> gv_run_t */
    int busy_long;
    uint64_t turn; /* counts target choices, for round robin */
    /* Demand; see update_demand. */
    int64_t second_begin_ms;
    int arrived;       /* requests admitted since second_begin_ms */
    int rate;          /* requests admitted in the second before it */
    double wait_ms;    /* time in the queue, smoothed */
    double busy_slots; /* slots needed, smoothed */
    double peak_slots; /* slots needed, recent peak that decays */
    int64_t demand_updated_ms;
    int usable_slots; /* as counted by the last GvCandidates_Fill */
} gv_shard_t;

struct gv_dispatch_s {
    gv_dispatch_opts_t opts;
    gv_exchange_pool_t *exchange;
    const gv_queue_policy_t *queue_policy;
    const gv_place_policy_t *place_policy;
    const gv_retry_policy_t *retry_policy;
    /* Guards shards only; no other lock is taken while it is held. */
    pthread_mutex_t table_lock;
    GPtrArray *shards; /* gv_shard_t, only added to */
    /* One GvDispatch_OnView at a time; taken before all other locks. */
    pthread_mutex_t view_lock;
    atomic_uint_fast64_t next_attempt;
    atomic_bool refusing;
};

/* The targets that one service may use, and its load here. */
typedef struct {
    const gv_view_service_t *view; /* NULL: unknown service, or not joined */
    gv_candidate_t *list;          /* one for each of the view's targets */
    gv_queue_load_t load;
} gv_candidates_t;

gv_shard_t *GvShard_Find(gv_dispatch_t *d, gv_str_t service);
gv_shard_t *GvShard_At(gv_dispatch_t *d, guint i); /* NULL past the last */

/* Collects the candidate targets and the load. The caller holds the shard's
   lock and the view, and releases the candidates with GvCandidates_Clear. */
void GvCandidates_Fill(gv_dispatch_t *d, gv_shard_t *sh, const gv_view_t *v,
                       int64_t now_ms, gv_candidates_t *set);
void GvCandidates_Clear(gv_candidates_t *set);

/* Starts queued requests while slots are free. No lock may be held. */
void GvShard_Pump(gv_dispatch_t *d, gv_shard_t *sh);
/* Callback of the exchange threads at the end of a job. */
void GvShard_JobDone(void *user, gv_job_t *job, gv_exchange_result_t *r);
/* Ends expired requests, updates the demand and checks exchanges in progress
   for long runs and silent connections. No lock may be held. */
void GvShard_Tick(gv_dispatch_t *d, gv_shard_t *sh, int64_t now_ms);

#endif
