#ifndef GV_BODY_BUDGET_H
#define GV_BODY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The memory of all bodies of a process's requests and responses, and its
   connections: whether a body may grow, and which connections are closed when
   too little is left.
   Not safe for concurrent use. */

typedef struct gv_body_budget_s gv_body_budget_t;
typedef struct gv_body_conn_s gv_body_conn_t;

typedef struct {
    size_t bytes_max;    /* of all bodies over GV_BODY_SMALL_BYTES */
    int connections_max; /* that the server accepts */
    int backlog;         /* further ones that wait to be accepted */
} gv_body_budget_opts_t;

/* The limits of a process with this memory and this many descriptors, with at
   most as many connections as given. */
gv_body_budget_opts_t GvBodyBudget_Limits(int memory_mb, int max_fds,
                                          int connections);
gv_body_budget_t *GvBodyBudget_New(const gv_body_budget_opts_t *o);
void GvBodyBudget_Free(gv_body_budget_t *b);

/* A connection was accepted; fd names it to the caller of this module. */
gv_body_conn_t *GvBodyBudget_Open(gv_body_budget_t *b, int fd, int64_t now_ms);
/* A connection was closed; frees c. */
void GvBodyBudget_Close(gv_body_conn_t *c);
/* A request has begun. Returns false if the connection is to be closed. */
bool GvBodyBudget_Begin(gv_body_conn_t *c, int64_t now_ms);
/* The buffer of the body needs this many bytes. Returns 0 or GV_EFULL. */
int GvBodyBudget_Reserve(gv_body_conn_t *c, size_t bytes);
/* Returns the size of the buffer of a body of unknown length that holds this
   many bytes. */
size_t GvBodyBudget_Size(size_t bytes);
/* The body was freed; the request goes on. */
void GvBodyBudget_Release(gv_body_conn_t *c);
/* Bytes of the body have arrived. Returns false if the connection is to be
   closed: they must not be used. */
bool GvBodyBudget_Receive(gv_body_conn_t *c, size_t bytes);
/* The request is complete and will get a response. Returns false if the
   connection is to be closed instead. */
bool GvBodyBudget_Complete(gv_body_conn_t *c);
/* The request has a response of this many bytes, which is kept until End and
   takes the place of the request's body. Returns 0, or GV_EFULL if it has to
   be dropped. */
int GvBodyBudget_Answer(gv_body_conn_t *c, size_t bytes);
/* The response is sent from now on. Returns true if the connection is to be
   closed after it. */
bool GvBodyBudget_Respond(gv_body_conn_t *c, int64_t now_ms);
/* So many bytes of the response were sent. */
void GvBodyBudget_Sent(gv_body_conn_t *c, size_t bytes);
/* The request has ended, and its body and response were freed. */
void GvBodyBudget_End(gv_body_conn_t *c, int64_t now_ms);
/* Returns the fd of the next connection to close, or -1. It counts until
   GvBodyBudget_Close. */
int GvBodyBudget_NextToClose(gv_body_budget_t *b, int64_t now_ms);

size_t GvBodyBudget_Bytes(const gv_body_budget_t *b);
int GvBodyBudget_Connections(const gv_body_budget_t *b);

#endif
