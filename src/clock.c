#include "clock.h"

#include <glib.h>
#include <time.h>

/* Returns the time of the monotonic clock in milliseconds. */
int64_t
GvClock_MonoMs(void)
{
    return g_get_monotonic_time() / 1000;
}

/* Returns the time of the clock that goes on while the host is suspended, in
   milliseconds. Leases and permissions end on it. */
int64_t
GvClock_BootMs(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* Returns the time of the monotonic clock in microseconds. */
int64_t
GvClock_MonoUs(void)
{
    return g_get_monotonic_time();
}

/* Returns milliseconds since the Unix epoch. The value jumps when the host's
   clock is set, so that it is only for times that outlive the process or are
   compared with those of other hosts. */
int64_t
GvClock_WallMs(void)
{
    return g_get_real_time() / 1000;
}
