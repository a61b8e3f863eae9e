#include "peerbound.h"

#include "limits.h"

/* Counts the bytes of an incomplete frame that c holds. */
void
GvPeerBound_CountInput(gv_peers_t *ps, gv_peerconn_t *c, size_t bytes)
{
    if (c->counted == 0) {
        c->behind_ms = ps->now_ms;
    }
    ps->input += bytes - c->counted;
    c->counted = bytes;
}

/* Returns true if the incomplete frames of all connections take too much
   memory. */
bool
GvPeerBound_InputFull(const gv_peers_t *ps)
{
    return ps->input > GV_PEER_INPUT_BYTES;
}

/* Returns how many connections may be open. */
guint
GvPeerBound_Connections(const gv_peers_t *ps)
{
    int by_fds = ps->opts.max_fds * GV_PEER_FDS_PERCENT / 100;
    return (guint)(by_fds > 0 ? MIN(by_fds, GV_PEER_CONNECTIONS)
                              : GV_PEER_CONNECTIONS);
}

/* Returns the connection whose incomplete frame began first, or NULL. */
gv_peerconn_t *
GvPeerBound_FurthestBehind(const gv_peers_t *ps)
{
    gv_peerconn_t *first = NULL;
    for (guint i = 0; i < ps->conns->len; i++) {
        gv_peerconn_t *c = g_ptr_array_index(ps->conns, i);
        if (c->counted > 0 &&
            (first == NULL || c->behind_ms < first->behind_ms)) {
            first = c;
        }
    }
    return first;
}

/* Returns the oldest connection that was accepted and has not sent HELLO, or
   NULL. */
gv_peerconn_t *
GvPeerBound_OldestStranger(const gv_peers_t *ps)
{
    gv_peerconn_t *oldest = NULL;
    for (guint i = 0; i < ps->conns->len; i++) {
        gv_peerconn_t *c = g_ptr_array_index(ps->conns, i);
        if (!c->outgoing && !c->hello_received &&
            (oldest == NULL || c->opened_ms < oldest->opened_ms)) {
            oldest = c;
        }
    }
    return oldest;
}
