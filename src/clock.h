#ifndef GV_CLOCK_H
#define GV_CLOCK_H

#include <stdint.h>

int64_t GvClock_MonoMs(void);
int64_t GvClock_BootMs(void);
int64_t GvClock_MonoUs(void);
int64_t GvClock_WallMs(void);

#endif
