#ifndef GV_SOCKWATCH_H
#define GV_SOCKWATCH_H

#include <stdbool.h>
#include <stdint.h>

/* Deadlines for blocking exchanges through the HTTP library neon, which has no
   time-out for writes and restarts its time-out at each read. One thread shuts
   down the sockets of exchanges whose deadline has passed. */

typedef struct {
    int fd;         /* -1: not connected */
    int64_t end_ms; /* deadline, monotonic */
    bool active;    /* an exchange is in progress */
    bool expired;   /* the deadline of the last exchange passed */
} gv_sockwatch_t;

/* Begins an exchange that may last until end_ms (GvClock_MonoMs). */
void GvSockWatch_Begin(gv_sockwatch_t *w, int64_t end_ms);
/* Ends the exchange. Returns true if its deadline had passed. */
bool GvSockWatch_End(gv_sockwatch_t *w);
/* Sets the exchange's socket to the one that this thread connected last. */
void GvSockWatch_Connected(gv_sockwatch_t *w);
/* Clears the socket. Must be called before it is closed. */
void GvSockWatch_Closing(gv_sockwatch_t *w);

#endif
