#ifndef GV_PEERLINK_H
#define GV_PEERLINK_H

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "peer.h"

/* The output queue and the outstanding calls of one peer, under one lock.
   Callbacks are run without it. */

struct gv_peerconn_s;

/* One framed message. */
typedef struct {
    GByteArray *bytes;
    size_t at;     /* bytes written */
    uint64_t call; /* number of the call that it starts; 0: none */
} gv_outframe_t;

typedef struct {
    uint64_t number;
    gv_msg_kind_t kind;
    int64_t due_ms;
    gv_call_done_t done;
    void *user;
    /* Connection on which its first byte was written; NULL: not sent. */
    struct gv_peerconn_s *conn;
} gv_peercall_t;

typedef struct {
    gv_str_t name;
    atomic_bool wake; /* the peer thread has to look at this link */
    /* Peer thread only. */
    struct gv_peerconn_s *up;      /* HELLO received on it */
    struct gv_peerconn_s *opening; /* own connection without HELLO yet */
    bool reopen;
    /* Under mu. */
    pthread_mutex_t mu;
    gv_str_t addr;
    char dc[GV_NAME_MAX_BYTES + 1];
    char region[GV_NAME_MAX_BYTES + 1];
    GQueue out; /* gv_outframe_t */
    size_t out_bytes;
    GHashTable *calls; /* number -> gv_peercall_t */
    uint64_t incarnation;
    int64_t heard_ms; /* last message; 0: never */
    int64_t retry_ms; /* no connection attempt before this time */
    int backoff_ms;
    bool linked; /* up or opening is set */
    bool stopped;
} gv_peerlink_t;

gv_peerlink_t *GvPeerLink_New(gv_str_t name);
void GvPeerLink_Free(gv_peerlink_t *l);
void GvPeerLink_SetAddr(gv_peerlink_t *l, const gv_peer_addr_t *a);
void GvPeerLink_Info(gv_peerlink_t *l, int64_t now_ms, gv_peer_info_t *info);
int GvPeerLink_Push(gv_peerlink_t *l, GByteArray *bytes,
                    const gv_peercall_t *call, int64_t now_ms);
gv_outframe_t *GvPeerLink_Pop(gv_peerlink_t *l);
void GvPeerLink_PutBack(gv_peerlink_t *l, gv_outframe_t *f);
void GvOutFrame_Free(gv_outframe_t *f);
void GvPeerLink_MarkSent(gv_peerlink_t *l, uint64_t number,
                         struct gv_peerconn_s *conn);
bool GvPeerLink_EndAnsweredCall(gv_peerlink_t *l, const gv_message_t *m);
void GvPeerLink_Expire(gv_peerlink_t *l, int64_t now_ms);
void GvPeerLink_FailUnsent(gv_peerlink_t *l);
void GvPeerLink_FailSent(gv_peerlink_t *l, const struct gv_peerconn_s *conn);
void GvPeerLink_MoveCalls(gv_peerlink_t *l, const struct gv_peerconn_s *from,
                          struct gv_peerconn_s *to);
void GvPeerLink_Stop(gv_peerlink_t *l);
bool GvPeerLink_HasQueuedFrames(gv_peerlink_t *l);
void GvPeerLink_SetLinked(gv_peerlink_t *l, bool linked);
void GvPeerLink_BackOff(gv_peerlink_t *l, int64_t now_ms);
bool GvPeerLink_IsBusy(gv_peerlink_t *l);
bool GvPeerLink_MayConnect(gv_peerlink_t *l, int64_t now_ms);
gv_str_t GvPeerLink_BeginConnect(gv_peerlink_t *l, int64_t now_ms);
uint64_t GvPeerLink_Incarnation(gv_peerlink_t *l);
void GvPeerLink_ApplyHello(gv_peerlink_t *l, const gv_msg_hello_t *h);
void GvPeerLink_SetReceived(gv_peerlink_t *l, int64_t now_ms);
bool GvPeerLink_IsAlive(gv_peerlink_t *l, int64_t now_ms,
                        uint64_t *incarnation);

#endif
