#ifndef GV_KERNEL_PRIVATE_H
#define GV_KERNEL_PRIVATE_H

#include <pthread.h>
#include <stdatomic.h>

#include "checkpointer.h"
#include "kernel.h"

struct gv_kernel_private_s {
    pthread_t timer;
    bool timer_runs;
    pthread_t doubter; /* probes targets in doubt */
    bool doubter_runs;
    atomic_bool threads_stop;
    atomic_bool ready; /* all parts exist, messages may be handled */
    atomic_bool stopping;
    atomic_bool failed;       /* cannot go on, see GvKernel_HasFailed */
    atomic_bool join_pending; /* an own join is being appended */
    gv_checkpointer_t *checkpointer;
    /* Timer thread only */
    int64_t join_ms; /* next attempt */
    int64_t beat_ms; /* next heartbeat */
    unsigned beats;
    uint64_t sent_seen[2]; /* highest health number in the last two beats */
    uint64_t beat_hash;    /* of the last heartbeat without its health */
    /* Peers of the own data centre that were sent all health: name ->
       uint64_t incarnation. */
    GHashTable *informed;
    /* Signals the end of the own `leave`. */
    pthread_mutex_t lock;
    pthread_cond_t wake;
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
