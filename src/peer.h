#ifndef GV_PEER_H
#define GV_PEER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "limits.h"
#include "message.h"

/* Connections between entry hosts: framed messages on non-blocking sockets,
   served by one thread, the peer thread. The link of a peer is its queue, its
   outstanding calls and its connection. */
typedef struct gv_peers_s gv_peers_t;

typedef struct {
    gv_str_t name; /* of the entry host */
    gv_str_t dc;
    gv_str_t region;
    gv_str_t addr;
} gv_peer_addr_t;

typedef struct {
    gv_str_t listen_addr;
    int max_fds; /* of the process; 0: GV_PEER_CONNECTIONS may be open */
    gv_msg_hello_t self;
    /* Called on the peer thread for each message that is neither a HELLO nor
       an answer to GvPeers_Call. m is valid only until the function returns.
       An answer is sent with GvPeers_Send and the number of m. */
    void (*on_message)(void *user, gv_str_t from, uint64_t from_incarnation,
                       const gv_message_t *m);
    void *user;
} gv_peers_opts_t;

int GvPeers_Start(const gv_peers_opts_t *o, gv_peers_t **out);
/* Ends all calls and the thread. GvPeers_Send and GvPeers_Call return
   GV_ESTOPPED afterwards. */
void GvPeers_Stop(gv_peers_t *ps);
/* Releases ps; to be called when every module that uses ps has stopped. */
void GvPeers_Free(gv_peers_t *ps);
/* Adds or updates the address of a peer; thread-safe. */
void GvPeers_SetAddr(gv_peers_t *ps, const gv_peer_addr_t *a);
/* Queues one message and opens a connection if there is none. Returns 0,
   GV_ENOENT for an unknown peer, GV_EFULL when the peer's output queue is
   full, GV_ECONN when there is no connection and none may be attempted now,
   GV_ETOOBIG for a message over GV_FRAME_MAX_BYTES, or GV_ESTOPPED. */
int GvPeers_Send(gv_peers_t *ps, gv_str_t to, const gv_message_t *m);
/* Sends a request with a new number and calls done exactly once on the peer
   thread: with the answer, or with NULL and GV_ETIMEDOUT, GV_ECONN (connection
   lost after sending) or GV_EREFUSED (certainly not sent). Returns 0, or an
   error of GvPeers_Send if nothing is sent and done is not called. */
typedef void (*gv_call_done_t)(void *user, int err, const gv_message_t *m);
int GvPeers_Call(gv_peers_t *ps, gv_str_t to, gv_message_t *m,
                 int64_t timeout_ms, gv_call_done_t done, void *user);
/* Returns true if a message arrived from the peer within GV_PEER_DEAD_MS; then
   sets *incarnation unless incarnation is NULL. */
bool GvPeers_IsAlive(gv_peers_t *ps, gv_str_t name, uint64_t *incarnation);
typedef struct {
    char name[GV_NAME_MAX_BYTES + 1];
    char dc[GV_NAME_MAX_BYTES + 1];
    char region[GV_NAME_MAX_BYTES + 1];
    uint64_t incarnation; /* highest seen; 0: none */
    bool alive;           /* result of GvPeers_IsAlive */
} gv_peer_info_t;

/* Appends one gv_peer_info_t for each known peer. Data centre and region are
   those of its HELLO, or those of GvPeers_SetAddr before the first HELLO. */
void GvPeers_List(gv_peers_t *ps, GArray *out);
/* Returns the port that ps listens on, or GV_EIO. */
int GvPeers_Port(const gv_peers_t *ps);

#endif
