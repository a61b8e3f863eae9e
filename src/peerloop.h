#ifndef GV_PEERLOOP_H
#define GV_PEERLOOP_H

#include "peerconn.h"

/* Shared by the interface of the peer module and its thread. */

struct gv_peers_s {
    gv_peers_opts_t o;
    int epoll;
    int wake;
    int listener;
    pthread_t thread;
    atomic_bool stopping;
    atomic_uint_fast64_t next_number;
    pthread_mutex_t mu; /* links */
    GHashTable *links;  /* name -> gv_peerlink_t; never shrinks */
    bool closed; /* no link may be added: the thread has ended them all */
    /* Peer thread only. */
    GPtrArray *conns;
    GPtrArray *dead; /* closed in this round, freed at its end */
    int64_t now_ms;
};

gv_peerlink_t *GvPeers_MakeLink(gv_peers_t *ps, gv_str_t name);
GPtrArray *GvPeers_CopyLinks(gv_peers_t *ps);
GByteArray *GvPeers_MakeFrame(const gv_message_t *m);
void GvPeers_Watch(gv_peers_t *ps, int fd, int op, uint32_t events, void *ptr);
void *GvPeers_Run(void *arg);

#endif
