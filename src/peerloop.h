#ifndef GV_PEERLOOP_H
#define GV_PEERLOOP_H

#include "peerconn.h"

/* Shared by the interface of the peer module and its thread. */

struct gv_peers_s {
    gv_peers_opts_t opts;
    int epoll_fd;
    int wake_fd; /* eventfd that ends epoll_wait */
    int listen_fd;
    pthread_t thread;
    atomic_bool stopping;
    atomic_uint_fast64_t next_number;
    pthread_mutex_t mu; /* links */
    GHashTable *links;  /* name -> gv_peerlink_t; never shrinks */
    /* The thread has stopped all links; none may be added. */
    bool links_closed;
    /* Peer thread only. */
    GPtrArray *conns;
    GPtrArray *closed_conns; /* closed in this round, freed at its end */
    int64_t now_ms;
};

gv_peerlink_t *GvPeers_MakeLink(gv_peers_t *ps, gv_str_t name);
GPtrArray *GvPeers_CopyLinks(gv_peers_t *ps);
GByteArray *GvPeers_MakeFrame(const gv_message_t *m);
void GvPeers_Watch(gv_peers_t *ps, int fd, int op, uint32_t events, void *ptr);
void *GvPeers_Run(void *arg);

#endif
