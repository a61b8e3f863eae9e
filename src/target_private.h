#ifndef GV_TARGET_PRIVATE_H
#define GV_TARGET_PRIVATE_H

#include <pthread.h>
#include <stdatomic.h>

#include "target.h"

/* Number of a target's former boot identifiers that are kept. */
#define GV_TARGET_OLD_BOOTS 4

struct gv_target_s {
    gv_targets_t *table;
    int shard;
    atomic_int refs;
    char host[GV_NAME_MAX_BYTES + 1];
    /* The fields below are protected by the shard's lock. */
    char pool[GV_NAME_MAX_BYTES + 1];
    char addr[64];
    char boot[GV_NAME_MAX_BYTES + 1];
    char old_boots[GV_TARGET_OLD_BOOTS][GV_NAME_MAX_BYTES + 1];
    int next_old;          /* index in old_boots of the next one to write */
    uint64_t claim_offset; /* of the claim that closes it; 0: none */
    bool in_ledger;        /* the ledger lists it */
    bool closed;           /* gets no new exchanges */
    bool leaving;          /* reported for `boot` */
    bool healthy;
    bool probe_requested; /* on a new connection */
    int64_t probed_ms;    /* time of the last successful requested probe */
    int slots;
    int busy; /* exchanges in progress, abandoned ones included */
    /* Exchanges whose request ended first. It is not lowered when one of them
       ends, but only when it would exceed busy. */
    int abandoned;
    gv_slots_t slot_counts; /* own, lent and borrowed slots */
    gv_eject_t eject;
    double run_ratio;   /* smoothed run time over the expected one */
    int refused;        /* refused attempts, as in gv_candidate_t */
    int64_t refused_ms; /* time of the last one */
};

typedef struct {
    pthread_mutex_t lock;
    GHashTable *by_host; /* host -> gv_target_t with a reference */
} gv_target_shard_t;

struct gv_targets_s {
    gv_str_t self;
    gv_str_t dc;
    atomic_bool joined;
    gv_target_shard_t shards[GV_SHARDS];
};

/* Locks and returns the shard of a host; *t gets the host's target, or NULL if
   it is unknown. */
gv_target_shard_t *GvTargets_Lock(gv_targets_t *ts, gv_str_t host,
                                  gv_target_t **t);
/* Locks and returns the shard of a target. */
gv_target_shard_t *GvTarget_Lock(gv_target_t *t);
void GvTargetShard_Unlock(gv_target_shard_t *sh);
/* Returns true if exchanges for the pool may begin; the shard is locked. */
bool GvTarget_IsOpen(const gv_target_t *t, gv_str_t pool);

#endif
