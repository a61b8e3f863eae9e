#ifndef GV_EVLOG_H
#define GV_EVLOG_H

#include <stdint.h>

/* Structured log lines on standard output: "t=MS node=NAME ev=EVENT k=v ...".
   Writing never blocks. Lines are dropped when the pipe and the buffer are
   full or when the limit per second is reached; the next line that is written
   carries the number of dropped lines. */

void GvEvlog_Open(const char *node);
void GvEvlog_Write(const char *event, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void GvEvlog_Flush(void);

#endif
