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
    pthread_mutex_t lock;
    GHashTable *waiting_callers; /* request id -> gv_caller_t, as its key */
    atomic_bool refusing;        /* the daemon is stopping */
};

/* One HTTP exchange with a caller. */
typedef struct {
    gv_front_t *front;
    struct MHD_Connection *conn;
    char *uri; /* raw, with the query string */
    GByteArray *body;
    size_t received;   /* bytes of the body, dropped ones included */
    bool headers_seen; /* the handler has seen the headers */
    bool submitted;
    bool answered;
    uint64_t request_id; /* of the request, 0: none */
    gv_answer_t answer;
} gv_call_t;

typedef struct {
    gint64 request_id;
    int fd;
} gv_caller_t;

/* Reads the request headers into o. Returns 0, or GV_EINVAL with a reason. */
int GvFront_ReadRequest(gv_call_t *call, const char *method,
                        gv_request_opts_t *o, int *status, char *reason,
                        size_t n);
enum MHD_Result GvFront_Reply(gv_call_t *call, const gv_answer_t *a);

#endif
