#ifndef GV_LISTENER_H
#define GV_LISTENER_H

#include <netinet/in.h>

/* Listening TCP sockets whose connections hold a bounded number of bytes that
   were received and not yet read, those that wait to be accepted included. */

typedef struct {
    const struct sockaddr_in *addr;
    int backlog;       /* connections that wait to be accepted */
    int receive_bytes; /* for each connection; the kernel uses twice as much */
} gv_listener_opts_t;

int GvListener_Open(const gv_listener_opts_t *o);

#endif
