#ifndef GV_FRONT_PRIVATE_H
#define GV_FRONT_PRIVATE_H

#include <glib.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdatomic.h>

#include "front.h"

struct gv_front_s {
    gv_front_opts_t opts;
    struct MHD_Daemon *mhd;
    atomic_int open_calls;
    pthread_mutex_t lock;        /* waiting_callers */
    GHashTable *waiting_callers; /* request id -> gv_caller_t, as its key */
    atomic_bool refusing;        /* the daemon is stopping */
};

/* One HTTP exchange with a caller. */
typedef struct {
    gv_front_t *front;
    struct MHD_Connection *conn;
    char *uri; /* as received, with the query string */
    GByteArray *body;
    size_t received;   /* bytes of the body, discarded ones included */
    bool headers_seen; /* on_headers has been called */
    bool submitted;
    bool answered;
    uint64_t request_id; /* 0: no request was created */
    gv_answer_t answer;
} gv_call_t;

/* The socket of a caller whose request is in progress. */
typedef struct {
    gint64 request_id;
    int fd; /* -1: unknown */
} gv_caller_t;

/* Reads the request line and headers into o. Returns 0, or GV_EINVAL with an
   HTTP status and a reason (n bytes) for the caller. The caller of this
   function frees o->path in both cases. */
int GvFront_ReadRequest(gv_call_t *call, const char *method,
                        gv_request_opts_t *o, int *status, char *reason,
                        size_t n);
/* Queues the response to the caller. */
enum MHD_Result GvFront_Reply(gv_call_t *call, const gv_answer_t *a);

#endif
