#ifndef GV_KERNEL_PRIVATE_H
#define GV_KERNEL_PRIVATE_H

#include <pthread.h>
#include <stdatomic.h>

#include "checkpointer.h"
#include "hostlist.h"
#include "kernel.h"

struct gv_kernel_private_s {
    pthread_t timer;
    bool timer_started;
    pthread_t background; /* probes and checkpoints */
    bool background_started;
    atomic_bool threads_stop;
    atomic_bool ready; /* all modules exist, messages may be handled */
    atomic_bool stopping;
    atomic_bool failed;       /* see GvKernel_HasFailed */
    atomic_bool join_pending; /* an appended `join` has no result yet */
    gv_checkpointer_t *checkpointer;
    /* Used by the timer thread only. */
    int64_t next_join_ms;      /* next attempt to join, monotonic */
    int64_t next_heartbeat_ms; /* monotonic */
    unsigned n_heartbeats;
    /* Highest gv_health_t.seen in the last heartbeat and in the one before. */
    uint64_t sent_seen[2];
    uint64_t heartbeat_hash; /* of the last heartbeat, without the health */
    /* Peers of this data centre that were sent the health of all targets:
       name -> uint64_t incarnation. */
    GHashTable *health_synced;
    /* leave_done is set when the `leave` of this entry host has a result. */
    pthread_mutex_t leave_lock;
    pthread_cond_t leave_cond;
    bool leave_done;
};

/* Appends `join` if it is due. Called by the timer thread. */
void GvKernel_Join(gv_kernel_t *k, int64_t now_ms);
/* Appends `leave` and waits for its result. */
void GvKernel_Leave(gv_kernel_t *k);
/* Sets the incarnation above this entry host's one in the ledger. */
void GvKernel_ChooseIncarnation(gv_kernel_t *k);
/* Callbacks of the log reader; user is the gv_kernel_t. */
void GvKernel_OnVerdict(void *user, const gv_verdict_t *v);
void GvKernel_OnBatch(void *user);
/* Callback of the peer module; user is the gv_kernel_t. */
void GvKernel_OnMessage(void *user, gv_str_t from, uint64_t from_incarnation,
                        const gv_message_t *m);
/* Callback of the prober; user is the gv_kernel_t. */
void GvKernel_OnList(void *user, const gv_hostlist_t *list);
/* Pass the addresses of the current view's peers and targets to the peer
   module and the prober. */
void GvKernel_SetPeers(gv_kernel_t *k);
void GvKernel_SetTargets(gv_kernel_t *k);
/* Sends heartbeats if they are due. Called by the timer thread. */
void GvKernel_SendHeartbeats(gv_kernel_t *k, int64_t now_ms);
/* Probes the targets for which a probe was requested. Called by the background
   thread, because it waits for the network. */
void GvKernel_ProbeSuspectTargets(gv_kernel_t *k);

#endif
