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
    gv_request_t *rq;    /* the job's reference */
    gv_target_t *target; /* the job's reference */
    int64_t begin_ms;
    double run_ms;         /* expected */
    int64_t next_probe_ms; /* next time to ask for a fresh probe */
    bool is_long;
    bool abandoned;
} gv_run_t;

/* Service shard. It stays until the daemon stops, so that its address is
   valid without a reference. */
typedef struct {
    char name[GV_NAME_MAX_BYTES + 1];
    pthread_mutex_t lock;
    gv_settings_t *settings; /* keeps sv valid */
    const gv_service_t *sv;  /* NULL: removed from the settings */
    gv_queue_t *queue;
    gv_estimate_t *estimate;
    gv_retry_budget_t budget;
    gv_burn_t *burn;
    GHashTable *running; /* attempt -> gv_run_t */
    int busy_long;
    uint64_t turn;
    /* Demand */
    int64_t second_ms;
    int arrived; /* since second_ms */
    int rate;    /* arrivals in the second before */
    double wait_ms;
    double busy_slots;
    double peak_slots;
    int64_t demand_ms;
    int usable; /* slots at the last look */
} gv_shard_t;

struct gv_dispatch_s {
    gv_dispatch_opts_t o;
    gv_exchange_t *exchange;
    const gv_queue_policy_t *queue_policy;
    const gv_place_policy_t *place_policy;
    const gv_retry_policy_t *retry_policy;
    pthread_mutex_t table_lock; /* innermost; guards shards only */
    GPtrArray *shards;          /* gv_shard_t, grows only */
    pthread_mutex_t view_lock;  /* one OnView at a time; outermost */
    atomic_uint_fast64_t next_attempt;
    atomic_bool refuse;
};

/* The view of one service with a candidate for each target. */
typedef struct {
    const gv_view_service_t *vs; /* NULL: unknown service */
    gv_candidate_t *cands;
    gv_queue_load_t load;
} gv_field_t;

gv_shard_t *GvShard_Find(gv_dispatch_t *d, gv_str_t service);
gv_shard_t *GvShard_At(gv_dispatch_t *d, guint i); /* NULL past the end */

/* Collects candidates and load. The caller holds the shard's lock and the
   view; release with GvCandidates_Clear. */
void GvCandidates_Fill(gv_dispatch_t *d, gv_shard_t *sh, const gv_view_t *v,
                       int64_t now_ms, gv_field_t *f);
void GvCandidates_Clear(gv_field_t *f);

/* Starts queued work while there are slots. No lock may be held. */
void GvShard_Pump(gv_dispatch_t *d, gv_shard_t *sh);
/* The exchange pool's callback. */
void GvShard_JobDone(void *user, gv_job_t *job, gv_job_result_t *r);
/* Expiry, demand, long runs and silent connections of one shard. */
void GvShard_Tick(gv_dispatch_t *d, gv_shard_t *sh, int64_t now_ms);

#endif
