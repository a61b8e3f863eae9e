#ifndef GV_PEERLOOP_H
#define GV_PEERLOOP_H

#include "peerconn.h"

/* State and functions shared by peer.c, the public functions, and peerloop.c,
   the peer thread. */

struct gv_peers_s {
    gv_peers_opts_t opts;
    int epoll_fd;
    int wake_fd; /* eventfd that ends epoll_wait */
    int listen_fd;
    pthread_t thread;
    atomic_bool stopping;
    atomic_uint_fast64_t next_number;
    pthread_mutex_t mu; /* protects links and links_closed */
    GHashTable *links;  /* name -> gv_peerlink_t; never shrinks */
    bool links_closed;  /* the thread has ended; no link may be added */
    /* Used by the peer thread only. */
    GPtrArray *conns;
    GPtrArray *closed_conns; /* closed in this iteration, freed at its end */
    int64_t now_ms;
    size_t input; /* bytes of incomplete frames in all connections */
};

gv_peerlink_t *GvPeers_MakeLink(gv_peers_t *ps, gv_str_t name);
GPtrArray *GvPeers_CopyLinks(gv_peers_t *ps);
GByteArray *GvPeers_MakeFrame(const gv_message_t *m);
void GvPeers_Watch(gv_peers_t *ps, int fd, int op, uint32_t events, void *ptr);
void *GvPeers_Run(void *arg);

#endif
