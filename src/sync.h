#ifndef GV_SYNC_H
#define GV_SYNC_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

/* Condition variables on the monotonic clock. */

void GvSync_InitCond(pthread_cond_t *c);
/* Waits until c is signalled (returns true) or until the time end_us of
   GvClock_MonoUs (returns false). Spurious wake-ups return true, as with
   pthread_cond_wait. */
bool GvSync_WaitUntil(pthread_cond_t *c, pthread_mutex_t *m, int64_t end_us);

#endif
