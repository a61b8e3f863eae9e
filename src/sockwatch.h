#ifndef GV_SOCKWATCH_H
#define GV_SOCKWATCH_H

#include <stdbool.h>
#include <stdint.h>

/* Absolute bounds for blocking exchanges on sockets of a library that has no
   time-out for writes and that restarts its time-out for reads. One thread
   shuts down the sockets of exchanges that are over their time. */

typedef struct {
    int fd; /* -1: not connected */
    int64_t end_ms;
    bool active;
    bool expired;
} gv_sockwatch_t;

void GvSockWatch_Begin(gv_sockwatch_t *w, int64_t end_ms);
/* Returns whether the time was over. */
bool GvSockWatch_End(gv_sockwatch_t *w);
/* Sets the socket that this thread connected last. */
void GvSockWatch_Connected(gv_sockwatch_t *w);
/* Called before the socket is closed. */
void GvSockWatch_Closing(gv_sockwatch_t *w);

#endif
