#ifndef GV_LENDING_H
#define GV_LENDING_H

#include <stdint.h>

#include "dispatch.h"
#include "peer.h"
#include "target.h"
#include "view.h"

/* Loans of target slots between the entry hosts of a data centre. An entry
   host with queued requests and no free slot on a target borrows slots from a
   peer that has idle ones. Each loan ends after GV_LOAN_MS at the latest. */
typedef struct gv_lending_s gv_lending_t;

typedef struct {
    gv_str_t dc; /* data centre of this entry host */
    gv_targets_t *targets;
    gv_views_t *views;
    gv_peers_t *peers; /* NULL: set later with GvLending_SetPeers */
    /* GvDispatch_QueuedFor (number of queued requests that the host could run)
       and GvDispatch_Pump (starts queued requests). */
    int (*queued_for)(void *user, gv_str_t host);
    void (*pump)(void *user);
    void *user;
} gv_lending_opts_t;

gv_lending_t *GvLending_New(const gv_lending_opts_t *o);
/* To be called after the peer module has been stopped. */
void GvLending_Free(gv_lending_t *l);
void GvLending_SetPeers(gv_lending_t *l, gv_peers_t *peers);
/* Handles the messages SLOT_BORROW, SLOT_RETURN and HEARTBEAT of a peer; other
   kinds are ignored. */
void GvLending_OnMessage(gv_lending_t *l, gv_str_t from,
                         const gv_message_t *m);
/* Borrows slots for targets with queued requests and returns borrowed ones
   that are no longer needed. Called by the timer; now_ms is monotonic. */
void GvLending_Tick(gv_lending_t *l, int64_t now_ms);

#endif
