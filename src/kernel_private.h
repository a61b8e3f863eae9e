#ifndef GV_KERNEL_PRIVATE_H
#define GV_KERNEL_PRIVATE_H

#include <pthread.h>
#include <stdatomic.h>

#include "checkpointer.h"
#include "kernel.h"

struct gv_kernel_private_s {
    pthread_t timer;
    bool timer_started;
    pthread_t background; /* probes targets in doubt */
    bool background_started;
    atomic_bool threads_stop;
    atomic_bool ready; /* all parts exist, messages may be handled */
    atomic_bool stopping;
    atomic_bool failed;       /* cannot go on, see GvKernel_HasFailed */
    atomic_bool join_pending; /* an own join is being appended */
    gv_checkpointer_t *checkpointer;
    /* Timer thread only */
    int64_t next_join_ms;      /* next attempt */
    int64_t next_heartbeat_ms; /* next heartbeat */
    unsigned n_heartbeats;
    uint64_t sent_seen[2];   /* highest health number in the last two beats */
    uint64_t heartbeat_hash; /* of the last heartbeat without its health */
    /* Peers of the own data centre that were sent all health: name ->
       uint64_t incarnation. */
    GHashTable *health_synced;
    /* Signals the end of the own `leave`. */
    pthread_mutex_t leave_lock;
    pthread_cond_t leave_cond;
    bool leave_done;
};

/* Appends `join` when it is due. Called by the timer thread. */
void GvKernel_Join(gv_kernel_t *k, int64_t now_ms);
/* Appends `leave` and waits for its verdict. */
void GvKernel_Leave(gv_kernel_t *k);
/* Sets the incarnation above the one that the ledger knows. */
void GvKernel_ChooseIncarnation(gv_kernel_t *k);
/* Log reader callbacks; user is the kernel. */
void GvKernel_OnVerdict(void *user, const gv_verdict_t *v);
void GvKernel_OnBatch(void *user);
/* Peer callback; user is the kernel. */
void GvKernel_OnMessage(void *user, gv_str_t from, uint64_t from_incarnation,
                        const gv_message_t *m);
/* After a new view: addresses of peers and targets. */
void GvKernel_SetPeers(gv_kernel_t *k);
void GvKernel_SetTargets(gv_kernel_t *k);
/* Timer thread. */
void GvKernel_SendHeartbeats(gv_kernel_t *k, int64_t now_ms);
void GvKernel_ProbeSuspectTargets(gv_kernel_t *k);

#endif
