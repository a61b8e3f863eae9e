#ifndef GV_TARGET_PRIVATE_H
#define GV_TARGET_PRIVATE_H

#include <pthread.h>
#include <stdatomic.h>

#include "target.h"

/* Boot identifiers that a target is known to have left. */
#define GV_TARGET_OLD_BOOTS 4

struct gv_target_s {
    gv_targets_t *table;
    int shard;
    atomic_int refs;
    char host[GV_NAME_MAX_BYTES + 1];
    /* Under the shard's lock. */
    char pool[GV_NAME_MAX_BYTES + 1];
    char addr[64];
    char boot[GV_NAME_MAX_BYTES + 1];
    char old_boots[GV_TARGET_OLD_BOOTS][GV_NAME_MAX_BYTES + 1];
    int next_old;
    uint64_t claim_offset; /* offset of the claim that closes it, 0: none */
    bool in_ledger;        /* in the ledger */
    bool closed;
    bool leaving; /* for `boot` */
    bool healthy;
    bool probe_requested; /* a fresh probe is wanted */
    int64_t probed_ms;    /* of the last successful fresh probe */
    int slots;
    int busy; /* exchanges in progress, abandoned ones included */
    int abandoned;
    gv_slots_t loan;
    gv_eject_t eject;
    double run_ratio; /* smoothed run time over the expected one */
    int refused;
    int64_t refused_ms;
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

/* Locks the shard of a host and finds its target there, or NULL. */
gv_target_shard_t *GvTargets_Lock(gv_targets_t *ts, gv_str_t host,
                                  gv_target_t **t);
/* Locks the shard of a known target. */
gv_target_shard_t *GvTarget_Lock(gv_target_t *t);
void GvTargetShard_Unlock(gv_target_shard_t *sh);
/* Tells whether new work of that pool may begin; under the lock. */
bool GvTarget_IsOpen(const gv_target_t *t, gv_str_t pool);

#endif
