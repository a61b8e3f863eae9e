#ifndef GV_EVLOG_H
#define GV_EVLOG_H

#include <stdint.h>

/* Structured log lines on standard output: "t=MS node=NAME ev=EVENT k=v ...".
   A line is never waited for: a full pipe or a full second drops lines, and
   the number dropped is written with the next line that fits. */

void GvEvlog_Open(const char *node);
void GvEvlog_Write(const char *event, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void GvEvlog_Flush(void);

#endif
