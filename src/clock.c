#include "clock.h"

#include <glib.h>

/* Returns milliseconds of a clock that never steps back. */
int64_t
GvClock_MonoMs(void)
{
    return g_get_monotonic_time() / 1000;
}

/* Returns microseconds of a clock that never steps back. */
int64_t
GvClock_MonoUs(void)
{
    return g_get_monotonic_time();
}

/* Returns milliseconds since the epoch. May step when the host's clock is
   set; only ticket expiry and record times use it. */
int64_t
GvClock_WallMs(void)
{
    return g_get_real_time() / 1000;
}
