#ifndef GV_SYNC_H
#define GV_SYNC_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

/* Condition variables on the monotonic clock. */

void GvSync_InitCond(pthread_cond_t *c);
/* Waits until c is signalled (true) or until end_us (GvClock_MonoUs) has
   passed (false). May wake early, as pthread_cond_wait does. */
bool GvSync_WaitUntil(pthread_cond_t *c, pthread_mutex_t *m, int64_t end_us);

#endif
