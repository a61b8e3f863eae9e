#ifndef GV_PEERBOUND_H
#define GV_PEERBOUND_H

#include "peerconn.h"
#include "peerloop.h"

/* Bounds of what connections to the peer address may hold, and which of them
   give way. Used by the peer thread only. */

void GvPeerBound_CountInput(gv_peers_t *ps, gv_peerconn_t *c, size_t bytes);
bool GvPeerBound_InputFull(const gv_peers_t *ps);
guint GvPeerBound_Connections(const gv_peers_t *ps);
gv_peerconn_t *GvPeerBound_FurthestBehind(const gv_peers_t *ps);
gv_peerconn_t *GvPeerBound_OldestStranger(const gv_peers_t *ps);

#endif
