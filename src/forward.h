#ifndef GV_FORWARD_H
#define GV_FORWARD_H

#include <stdbool.h>
#include <stdint.h>

#include "appender.h"
#include "peer.h"
#include "replica.h"
#include "request.h"
#include "view.h"

/* Work for other entry hosts: tickets and keys with the at-most-once table,
   and spilled requests. */
typedef struct gv_forward_s gv_forward_t;

typedef struct {
    gv_str_t self; /* entry host */
    gv_str_t dc;
    gv_str_t region;
    uint64_t incarnation;
    gv_requests_t *requests;
    gv_replica_t *replica;
    gv_views_t *views;
    gv_peers_t *peers; /* may be set later with GvForward_SetPeers */
    gv_appender_t *appender;
    /* Runs a request here: GvDispatch_Submit. No lock is held. */
    void (*submit)(void *user, gv_request_t *rq);
    void *user;
} gv_forward_opts_t;

gv_forward_t *GvForward_New(const gv_forward_opts_t *o);
/* The peers, the appender and the dispatcher have been stopped. */
void GvForward_Free(gv_forward_t *f);
/* The parts that are started after this one. */
void GvForward_SetPeers(gv_forward_t *f, gv_peers_t *peers);
void GvForward_SetAppender(gv_forward_t *f, gv_appender_t *appender);

/* Issues a ticket into out (GV_TICKET_TEXT_BYTES). Returns its length or
   GV_EFULL. */
int GvForward_IssueTicket(gv_forward_t *f, char *out, size_t n);
/* Runs a request from a caller: by its ticket, else by its key, else through
   submit. Ends the request in every case. No lock may be held. */
void GvForward_Run(gv_forward_t *f, gv_request_t *rq);
/* Ends a request at its caller's wish, as not-run for this and every repeat
   of its ticket or key where that is certain. No lock may be held. */
bool GvForward_Cancel(gv_forward_t *f, gv_request_t *rq, const char *reason);
/* The spill hook of the dispatcher; user is the gv_forward_t. */
bool GvForward_Spill(void *user, gv_request_t *rq);
/* Handles EXECUTE, CANCEL and HEARTBEAT; other kinds are ignored. */
void GvForward_OnMessage(gv_forward_t *f, gv_str_t from,
                         const gv_message_t *m);
/* Timer, at least once a second: forgets entries past their time. */
void GvForward_Tick(gv_forward_t *f);

#endif
