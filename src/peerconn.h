#ifndef GV_PEERCONN_H
#define GV_PEERCONN_H

#include <sys/types.h>

#include "peerlink.h"

/* One non-blocking TCP connection to a peer. Used by the peer thread only. */
typedef struct gv_peerconn_s {
    int fd; /* -1: closed */
    gv_peerlink_t *link;
    bool outgoing;
    bool connecting;
    bool hello_received;
    bool retiring; /* idle or replaced by another connection; only read */
    bool want_out; /* EPOLLOUT is registered */
    uint64_t incarnation;
    int64_t opened_ms;
    int64_t last_read_ms;    /* time of the last byte read */
    int64_t last_write_ms;   /* time of the last byte written */
    int64_t last_message_ms; /* last one sent or received other than HELLO */
    int64_t request_deadline_ms; /* latest deadline of the requests received */
    int64_t retired_ms;          /* when retiring was set */
    GByteArray *in;
    size_t counted;     /* bytes of `in` that count toward the input of all */
    int64_t behind_ms;  /* since when `in` holds an incomplete frame */
    gv_outframe_t *out; /* frame being written, or NULL */
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
