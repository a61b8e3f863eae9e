#ifndef GV_PEER_H
#define GV_PEER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "limits.h"
#include "message.h"

/* Links between entry hosts: one thread, non-blocking sockets, framed
   messages. */
typedef struct gv_peers_s gv_peers_t;

typedef struct {
    gv_str_t name; /* entry host */
    gv_str_t dc;
    gv_str_t region;
    gv_str_t addr;
} gv_peer_addr_t;

typedef struct {
    gv_str_t listen_addr;
    gv_msg_hello_t self;
    /* Called on the peer thread for every message that is not an answer to
       GvPeers_Call. m is valid during the call only. An answer is sent with
       GvPeers_Send and the same number. */
    void (*on_message)(void *user, gv_str_t from, uint64_t from_incarnation,
                       const gv_message_t *m);
    void *user;
} gv_peers_opts_t;

int GvPeers_Start(const gv_peers_opts_t *o, gv_peers_t **out);
/* Ends all calls and the thread; later calls return GV_ESTOPPED. */
void GvPeers_Stop(gv_peers_t *ps);
/* After every module that may call ps has been stopped. */
void GvPeers_Free(gv_peers_t *ps);
/* Adds or updates the address of a peer; thread-safe. */
void GvPeers_SetAddr(gv_peers_t *ps, const gv_peer_addr_t *a);
/* Queues one message; opens the link when needed. Returns 0, GV_ENOENT for an
   unknown peer, GV_EFULL when the link's output bound is reached, GV_ECONN
   when the peer is known to be unreachable now. */
int GvPeers_Send(gv_peers_t *ps, gv_str_t to, const gv_message_t *m);
/* Sends a request with a fresh number and calls done exactly once on the peer
   thread: with the answer, or with NULL and GV_ETIMEDOUT, GV_ECONN (link lost
   after sending) or GV_EREFUSED (certainly not sent). A negative return value
   means that nothing was sent and done is not called. */
typedef void (*gv_call_done_t)(void *user, int err, const gv_message_t *m);
int GvPeers_Call(gv_peers_t *ps, gv_str_t to, gv_message_t *m,
                 int64_t timeout_ms, gv_call_done_t done, void *user);
/* Tells whether a message arrived from the peer within GV_PEER_DEAD_MS, and
   its incarnation then. */
bool GvPeers_IsAlive(gv_peers_t *ps, gv_str_t name, uint64_t *incarnation);
typedef struct {
    char name[GV_NAME_MAX_BYTES + 1];
    char dc[GV_NAME_MAX_BYTES + 1];
    char region[GV_NAME_MAX_BYTES + 1];
    uint64_t incarnation; /* highest seen; 0: none */
    bool alive;           /* as GvPeers_IsAlive */
} gv_peer_info_t;

/* Appends one gv_peer_info_t for each known peer. Its place is what its HELLO
   said, before that what GvPeers_SetAddr said. */
void GvPeers_List(gv_peers_t *ps, GArray *out);
int GvPeers_Port(const gv_peers_t *ps);

#endif
