#ifndef GV_FRONT_PRIVATE_H
#define GV_FRONT_PRIVATE_H

#include <glib.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdatomic.h>

#include "body_budget.h"
#include "front.h"

struct gv_front_s {
    gv_front_opts_t opts;
    struct MHD_Daemon *mhd;
    atomic_int open_calls;
    pthread_mutex_t lock;        /* waiting_callers */
    GHashTable *waiting_callers; /* request id -> gv_caller_t, as its key */
    atomic_bool refusing;        /* the daemon is stopping */
    pthread_mutex_t budget_lock; /* budget */
    gv_body_budget_t *budget;
    /* Of the thread that calls GvFront_CheckCallers: connections closed since
       the last log line about them, and time of the next line. */
    int closed;
    int64_t log_due_ms;
};

/* One HTTP exchange with a caller. */
typedef struct {
    gv_front_t *front;
    struct MHD_Connection *conn;
    char *uri; /* as received, with the query string */
    GByteArray *body;
    gv_body_conn_t *counted; /* the connection in the budget of bodies */
    size_t announced;        /* Content-Length, 0 without it */
    size_t received;         /* bytes of the body, discarded ones included */
    bool headers_seen;       /* on_headers has been called */
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
/* Bodies of callers, in front_body.c. The results of MHD's callbacks are
   MHD_NO where the connection is closed without a response. */
void GvFront_OnConnection(void *cls, struct MHD_Connection *conn,
                          void **counted,
                          enum MHD_ConnectionNotificationCode what);
/* Returns 0 if the body may be read, GV_ETOOBIG or GV_EFULL for a refusal, or
   GV_ECONN to close the connection. */
int GvFront_BeginBody(gv_call_t *call);
enum MHD_Result GvFront_ReceiveBody(gv_call_t *call, const char *data,
                                    size_t n);
/* Returns false to close the connection. */
bool GvFront_CompleteBody(gv_call_t *call);
void GvFront_EndBody(gv_call_t *call);
void GvFront_CloseSlowCallers(gv_front_t *f);
/* Responses to callers, in front_reply.c. */
void GvFront_KeepAnswer(gv_call_t *call, const gv_answer_t *a);
enum MHD_Result GvFront_Reply(gv_call_t *call, const gv_answer_t *a);

#endif
