#ifndef GV_FORWARD_H
#define GV_FORWARD_H

#include <stdbool.h>
#include <stdint.h>

#include "appender.h"
#include "peer.h"
#include "replica.h"
#include "request.h"
#include "view.h"

/* Runs requests by ticket or idempotency key through the at-most-once table,
   and forwards requests to other entry hosts: to the owner of a ticket or key,
   or to a peer with free slots (spill). */
typedef struct gv_forward_s gv_forward_t;

typedef struct {
    gv_str_t self; /* name of this entry host */
    gv_str_t dc;
    gv_str_t region;
    uint64_t incarnation;
    gv_requests_t *requests;
    gv_replica_t *replica;
    gv_views_t *views;
    gv_peers_t *peers; /* may be set later with GvForward_SetPeers */
    gv_appender_t *appender;
    /* Runs a request here (GvDispatch_Submit). Called without locks. */
    void (*submit)(void *user, gv_request_t *rq);
    void *user;
} gv_forward_opts_t;

gv_forward_t *GvForward_New(const gv_forward_opts_t *o);
/* The peers, the appender and the dispatcher must have been stopped. */
void GvForward_Free(gv_forward_t *f);
/* Set the modules that start after this one. */
void GvForward_SetPeers(gv_forward_t *f, gv_peers_t *peers);
void GvForward_SetAppender(gv_forward_t *f, gv_appender_t *appender);

/* Issues a ticket and writes its text into out, which has n bytes;
   GV_TICKET_TEXT_BYTES suffice. Returns its length, GV_EFULL or GV_ETOOBIG. */
int GvForward_IssueTicket(gv_forward_t *f, char *out, size_t n);
/* Runs a request of a caller or a peer: by its ticket, else by its key, else
   through submit. Every request is eventually ended. No lock may be held. */
void GvForward_Run(gv_forward_t *f, gv_request_t *rq);
/* Cancels a request for its caller: as not-run, also for every repeat of its
   ticket or key, if it has certainly not run, else as unknown. Returns false
   when it had already ended. No lock may be held. */
bool GvForward_Cancel(gv_forward_t *f, gv_request_t *rq, const char *reason);
/* The spill hook of the dispatcher; user is the gv_forward_t. Returns false,
   with the request unchanged, when no peer can take it. */
bool GvForward_Spill(void *user, gv_request_t *rq);
/* Handles EXECUTE, CANCEL and HEARTBEAT; ignores other kinds. */
void GvForward_OnMessage(gv_forward_t *f, gv_str_t from,
                         const gv_message_t *m);
/* Removes expired entries; the timer calls it at least once a second. */
void GvForward_Tick(gv_forward_t *f);

#endif
