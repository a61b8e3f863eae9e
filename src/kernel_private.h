#ifndef GV_KERNEL_PRIVATE_H
#define GV_KERNEL_PRIVATE_H

#include <pthread.h>
#include <stdatomic.h>

#include "kernel.h"

struct gv_kernel_private_s {
    pthread_t timer;
    bool timer_runs;
    atomic_bool timer_stop;
    atomic_bool stopping;
    atomic_bool failed;       /* cannot go on, see GvKernel_Failed */
    atomic_bool join_pending; /* an own join is being appended */
    int64_t join_ms;          /* of the last attempt; timer thread only */
    /* The start waits for the first view and the stop for its `leave`. */
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

#endif
