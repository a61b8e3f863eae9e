#ifndef GV_EVLOG_H
#define GV_EVLOG_H

#include <stdint.h>

/* Structured log lines on standard output: "t=MS node=NAME ev=EVENT k=v ...".
   Writing never blocks. Lines are dropped when the pipe and the buffer are
   full or when the limit per second is reached; the next line that is written
   carries the number of dropped lines. Rare lines have a limit of their own,
   so that they are kept while many others are dropped. */

typedef enum { GV_EVLOG_ROUTINE, GV_EVLOG_RARE } gv_evlog_kind_t;

void GvEvlog_Open(const char *node);
void GvEvlog_Write(const char *event, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void GvEvlog_WriteKind(gv_evlog_kind_t kind, const char *event,
                       const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
void GvEvlog_Flush(void);

#endif
