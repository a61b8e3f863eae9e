#ifndef GV_PEERCONN_H
#define GV_PEERCONN_H

#include <sys/types.h>

#include "peerlink.h"

/* One TCP connection to a peer, non-blocking. Peer thread only. */
typedef struct gv_peerconn_s {
    int fd; /* -1: closed */
    gv_peerlink_t *link;
    bool outgoing;
    bool connecting;
    bool hello_received; /* HELLO received */
    bool retiring;       /* replaced by another connection; only read */
    bool want_out;       /* EPOLLOUT is registered */
    uint64_t incarnation;
    int64_t opened_ms;
    int64_t last_read_ms;    /* last byte read */
    int64_t last_write_ms;   /* last byte written */
    int64_t last_message_ms; /* last message other than HELLO, either way */
    int64_t request_deadline_ms; /* latest deadline of the requests received */
    int64_t retired_ms;
    GByteArray *in;
    gv_outframe_t *out; /* partly written frame, or a HELLO */
} gv_peerconn_t;

int GvPeerConn_Listen(gv_str_t addr);
int GvPeerConn_Port(int fd);
int GvPeerConn_Open(gv_str_t addr);
int GvPeerConn_Accept(int listener);
int GvPeerConn_OpenResult(int fd);
gv_peerconn_t *GvPeerConn_New(int fd, int64_t now_ms);
void GvPeerConn_Free(gv_peerconn_t *c);
ssize_t GvPeerConn_Read(gv_peerconn_t *c);
int GvPeerConn_Write(gv_peerconn_t *c, int64_t now_ms);

#endif
