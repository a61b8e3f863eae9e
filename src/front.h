#ifndef GV_FRONT_H
#define GV_FRONT_H

#include <stdbool.h>
#include <stdint.h>

#include "request.h"
#include "view.h"

/* HTTP server for callers. Paths below /svc/ become requests. */
typedef struct gv_front_s gv_front_t;

typedef struct {
    gv_str_t addr; /* "127.0.0.1:8001" */
    gv_views_t *views;
    gv_requests_t *requests;
    int memory_mb; /* of the process, which limits the bodies of callers */
    int max_fds;   /* of the process, which limit the connections */
    /* Runs a request, which is eventually ended. */
    void (*submit)(void *user, gv_request_t *rq);
    /* Answers a path outside /svc/. Returns 0, or GV_ENOENT for an unknown
       one. */
    int (*on_other_path)(void *user, gv_str_t method, gv_str_t path,
                         gv_answer_t *a);
    /* Called once for each request of a caller, after it has ended. May be
       NULL. */
    void (*on_ended)(void *user, gv_request_t *rq);
    void *user;
} gv_front_opts_t;

/* Starts the server. Returns 0, GV_EINVAL for a bad address, or GV_EIO when it
   cannot listen. */
int GvFront_Start(const gv_front_opts_t *o, gv_front_t **out);
/* Stops the server and frees it. The requests should have ended; those still
   in progress are cancelled. */
void GvFront_Stop(gv_front_t *f);
/* Refuses new requests with 503 and not-run from now on. */
void GvFront_Refuse(gv_front_t *f);
/* Returns the number of HTTP exchanges with callers in progress. */
int GvFront_CountOpen(gv_front_t *f);
/* Cancels requests whose caller has disconnected, and closes connections of
   slow callers if too many are open. Called by the timer. */
void GvFront_CheckCallers(gv_front_t *f);

#endif
