#ifndef GV_HTTPSERVER_H
#define GV_HTTPSERVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/* HTTP server over libmicrohttpd with one thread for each connection, so that
   a handler may block. Used by the stand-ins for the platform and for targets,
   and by tests. */

typedef struct gv_server_s gv_server_t;
typedef struct gv_server_request_s gv_server_request_t; /* with its reply */

typedef struct {
    const char *addr; /* "127.0.0.1:9001" */
    int connections;  /* limit of open connections */
    size_t max_body;  /* in bytes; longer request bodies get status 413 */
    /* Called once for each request, on the connection's thread. If it sets no
       reply, the connection is closed without a response. */
    void (*handle)(void *user, gv_server_request_t *rq);
    void *user;
} gv_server_opts_t;

int GvServer_Start(const gv_server_opts_t *o, gv_server_t **out);
/* Waits for the handlers that still run. */
void GvServer_Stop(gv_server_t *s);
/* While refuse is set, the kernel refuses new connections; open ones stay.
   Returns 0, or GV_EIO when the address cannot be bound again. */
int GvServer_SetRefusing(gv_server_t *s, bool refuse);

/* Blocks the main thread until SIGTERM or SIGINT arrives. */
void GvServer_WaitForSignal(void);

const char *GvServerRequest_Method(const gv_server_request_t *rq);
const char *
GvServerRequest_Path(const gv_server_request_t *rq); /* without the query */
gv_str_t GvServerRequest_Body(const gv_server_request_t *rq);
/* These two return NULL when the parameter or header is absent. */
const char *GvServerRequest_Query(const gv_server_request_t *rq,
                                  const char *name);
const char *GvServerRequest_Header(const gv_server_request_t *rq,
                                   const char *name);
/* Sets *v to the value of a query parameter. Returns 0, also when it is absent
   and *v is unchanged, or GV_EINVAL for anything but a number from 0 to
   max. */
int GvServerRequest_QueryNumber(const gv_server_request_t *rq,
                                const char *name, uint64_t max, uint64_t *v);
int GvServerRequest_QueryCount(const gv_server_request_t *rq);
/* Returns when the connection was accepted (time of GvClock_MonoUs). */
int64_t GvServerRequest_OpenedUs(const gv_server_request_t *rq);
/* Adds a header to the reply. It may be called before the reply is set. */
void GvServerRequest_AddHeader(gv_server_request_t *rq, const char *name,
                               const char *value);
void GvServerRequest_Reply(gv_server_request_t *rq, int status,
                           const char *content_type, gv_str_t body);
void GvServerRequest_ReplyText(gv_server_request_t *rq, int status,
                               const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* Discards the reply, so that the connection is closed without a response. */
void GvServerRequest_DropReply(gv_server_request_t *rq);

/* Parses a decimal number from 0 to max. Returns 0 or GV_EINVAL. */
int GvServer_ParseNumber(const char *text, uint64_t max, uint64_t *v);

#endif
