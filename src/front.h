#ifndef GV_FRONT_H
#define GV_FRONT_H

#include <stdbool.h>
#include <stdint.h>

#include "request.h"
#include "view.h"

/* HTTP server for callers. */
typedef struct gv_front_s gv_front_t;

typedef struct {
    gv_str_t addr; /* "127.0.0.1:8001" */
    gv_views_t *views;
    gv_requests_t *requests;
    /* Runs a request; ends it in every case. */
    void (*submit)(void *user, gv_request_t *rq);
    /* Answers a path outside /svc/. Returns 0, or GV_ENOENT. */
    int (*local)(void *user, gv_str_t method, gv_str_t path, gv_answer_t *a);
    /* Called once for each request of a caller, after it has ended. */
    void (*ended)(void *user, gv_request_t *rq);
    void *user;
} gv_front_opts_t;

int GvFront_Start(const gv_front_opts_t *o, gv_front_t **out);
/* Stops listening; every request must have ended. */
void GvFront_Stop(gv_front_t *f);
/* HTTP exchanges with callers that are not complete. */
/* From now on new requests are refused as not-run. */
void GvFront_Refuse(gv_front_t *f);
int GvFront_CountOpen(gv_front_t *f);
/* Cancels requests whose caller has disconnected; for the timer. */
void GvFront_CheckCallers(gv_front_t *f);

#endif
