#include "listener.h"

#include <sys/socket.h>
#include <unistd.h>

#include "error.h"

/* Returns a non-blocking listening socket, or GV_EIO when the address cannot
   be bound. Connections inherit the size of the receive buffer, which has to
   be set before they are established. */
int
GvListener_Open(const gv_listener_opts_t *o)
{
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return GV_EIO;
    }
    if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &o->receive_bytes,
                   sizeof o->receive_bytes) != 0 ||
        bind(fd, (const struct sockaddr *)o->addr, sizeof *o->addr) != 0 ||
        listen(fd, o->backlog) != 0) {
        close(fd);
        return GV_EIO;
    }
    return fd;
}
