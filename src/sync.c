#include "sync.h"

#include <time.h>

/* Initializes a condition variable whose timed waits use the monotonic clock,
   so that a change of the wall clock neither shortens nor prolongs a wait. */
void
GvSync_InitCond(pthread_cond_t *c)
{
    pthread_condattr_t attr;
    pthread_condattr_init(&attr);
    pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
    pthread_cond_init(c, &attr);
    pthread_condattr_destroy(&attr);
}

bool
GvSync_WaitUntil(pthread_cond_t *c, pthread_mutex_t *m, int64_t end_us)
{
    struct timespec end = {.tv_sec = end_us / 1000000,
                           .tv_nsec = end_us % 1000000 * 1000};
    return pthread_cond_timedwait(c, m, &end) == 0;
}
