#ifndef GV_FORWARD_PRIVATE_H
#define GV_FORWARD_PRIVATE_H

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>

#include "forward.h"
#include "limits.h"
#include "once.h"

typedef struct {
    pthread_mutex_t mu;
    gv_once_t *once;
    GHashTable *runs; /* id (gv_str_t) -> request that runs it */
} gv_forward_shard_t;

struct gv_forward_s {
    gv_forward_opts_t o;
    _Atomic(gv_peers_t *) peers;
    _Atomic(gv_appender_t *) appender;
    atomic_uint_fast64_t next_sequence;
    int64_t wall_offset_ms; /* wall clock less monotonic clock at the start */
    atomic_uint next_sweep;
    gv_forward_shard_t shards[GV_SHARDS];
    pthread_mutex_t claim_mu;
    GPtrArray *unclaimed; /* requests whose key is to be claimed */
    int claims;           /* records appended and not yet decided */
    pthread_mutex_t hop_mu;
    GHashTable *hops;   /* request -> hop_t at a peer */
    GHashTable *served; /* "PEER NUMBER" -> request of that peer */
    GHashTable *loads;  /* peer -> GHashTable of service -> free slots */
};

/* Ends the attempt that the holder began and the request, with an answer
   whose strings are taken over. */
void GvForward_Reply(gv_request_t *rq, gv_answer_t a);
/* Sends the request, whose attempt has begun, to its owner. */
void GvForward_SendToOwner(gv_forward_t *f, gv_request_t *rq, gv_str_t to);
/* Runs the request by its key; the ledger was just read to the outcome of a
   claim when claimed is set. */
void GvForward_RunKey(gv_forward_t *f, gv_request_t *rq, bool claimed);
/* Runs the request, whose attempt has begun, by a key owned here. */
void GvForward_RunOwnKey(gv_forward_t *f, gv_request_t *rq,
                         int64_t expires_ms);

#endif
