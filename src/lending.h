#ifndef GV_LENDING_H
#define GV_LENDING_H

#include <stdint.h>

#include "dispatch.h"
#include "peer.h"
#include "target.h"
#include "view.h"

/* Loans of target slots between the entry hosts of a data centre. */
typedef struct gv_lending_s gv_lending_t;

typedef struct {
    gv_str_t dc;
    gv_targets_t *targets;
    gv_views_t *views;
    gv_peers_t *peers; /* may be set later with GvLending_SetPeers */
    /* GvDispatch_QueuedFor and GvDispatch_Pump. */
    int (*queued_for)(void *user, gv_str_t host);
    void (*pump)(void *user);
    void *user;
} gv_lending_opts_t;

gv_lending_t *GvLending_New(const gv_lending_opts_t *o);
/* The peers have been stopped. */
void GvLending_Free(gv_lending_t *l);
void GvLending_SetPeers(gv_lending_t *l, gv_peers_t *peers);
/* Handles SLOT_BORROW, SLOT_RETURN and HEARTBEAT; other kinds are ignored. */
void GvLending_OnMessage(gv_lending_t *l, gv_str_t from,
                         const gv_message_t *m);
/* Timer: borrows for targets with waiting work, returns what is idle. */
void GvLending_Tick(gv_lending_t *l, int64_t now_ms);

#endif
