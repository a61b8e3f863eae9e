#ifndef GV_FORWARD_PRIVATE_H
#define GV_FORWARD_PRIVATE_H

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>

#include "forward.h"
#include "limits.h"
#include "once.h"

/* Part of the tickets and keys, by ticket sequence or key hash. */
typedef struct {
    pthread_mutex_t lock;
    gv_once_t *once;
    GHashTable *runs; /* id (gv_str_t) -> request of its run, no reference */
} gv_forward_shard_t;

struct gv_forward_s {
    gv_forward_opts_t opts;
    _Atomic(gv_peers_t *) peers;
    _Atomic(gv_appender_t *) appender;
    atomic_uint_fast64_t next_sequence;
    int64_t wall_offset_ms; /* wall clock minus monotonic clock at creation */
    atomic_uint next_sweep; /* shard for the next GvOnce_Sweep */
    gv_forward_shard_t shards[GV_SHARDS];
    pthread_mutex_t claim_lock;
    GPtrArray *unclaimed; /* requests whose key is to be claimed */
    int pending_claims;   /* claim records without a result yet */
    pthread_mutex_t hop_lock;
    GHashTable *hops;       /* request -> hop_t, while it is at a peer */
    GHashTable *served;     /* "PEER NUMBER" -> request of that peer */
    GHashTable *peer_slots; /* peer -> GHashTable of service -> free slots */
};

/* Ends the attempt that this module began, then the request. Takes ownership
   of the answer's strings. */
void GvForward_Reply(gv_request_t *rq, gv_answer_t a);
/* Sends the request, whose attempt has begun, to the entry host that owns its
   ticket or key. */
void GvForward_SendToOwner(gv_forward_t *f, gv_request_t *rq, gv_str_t to);
/* Runs the request, whose attempt has begun, by its key. claimed: a claim of
   the key was appended and the ledger contains its result. */
void GvForward_RunKey(gv_forward_t *f, gv_request_t *rq, bool claimed);
/* Runs the request, whose attempt has begun, by a key that this incarnation
   owns until expires_ms (wall clock). */
void GvForward_RunOwnKey(gv_forward_t *f, gv_request_t *rq,
                         int64_t expires_ms);

#endif
