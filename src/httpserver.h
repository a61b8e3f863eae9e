#ifndef GV_HTTPSERVER_H
#define GV_HTTPSERVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/* Small HTTP server over libmicrohttpd with one thread for each connection,
   so that a handler may block. Used by the stand-ins and by tests. */

typedef struct gv_server_s gv_server_t;
typedef struct gv_server_request_s gv_server_request_t; /* one request */

typedef struct {
    const char *addr; /* "127.0.0.1:9001" */
    int connections;
    size_t max_body; /* larger bodies get 413 */
    /* Called once for each request, on the connection's thread. Without a
       call to GvServerRequest_Reply the connection is closed without an
       answer. */
    void (*handle)(void *user, gv_server_request_t *rq);
    void *user;
} gv_server_opts_t;

int GvServer_Start(const gv_server_opts_t *o, gv_server_t **out);
/* Handlers that still run are waited for. */
void GvServer_Stop(gv_server_t *s);
/* While set, new connections are refused by the kernel; open ones stay.
   Returns 0 or GV_EIO when the address cannot be bound again. */
int GvServer_SetRefusing(gv_server_t *s, bool refuse);

/* Blocks the main thread until SIGTERM or SIGINT arrives. */
void GvServer_WaitForSignal(void);

const char *GvServerRequest_Method(const gv_server_request_t *rq);
const char *
GvServerRequest_Path(const gv_server_request_t *rq); /* without the query */
gv_str_t GvServerRequest_Body(const gv_server_request_t *rq);
/* Return NULL when absent. */
const char *GvServerRequest_Query(const gv_server_request_t *rq,
                                  const char *name);
const char *GvServerRequest_Header(const gv_server_request_t *rq,
                                   const char *name);
/* Sets *v and returns 0; absent leaves *v alone and returns 0; GV_EINVAL for
   anything but a number from 0 to max. */
int GvServerRequest_QueryNumber(const gv_server_request_t *rq,
                                const char *name, uint64_t max, uint64_t *v);
int GvServerRequest_QueryCount(const gv_server_request_t *rq);
/* Time at which the connection was accepted (GvClock_MonoUs). */
int64_t GvServerRequest_OpenedUs(const gv_server_request_t *rq);
/* Adds a header to the answer; to be called before Reply. */
void GvServerRequest_AddHeader(gv_server_request_t *rq, const char *name,
                               const char *value);
void GvServerRequest_Reply(gv_server_request_t *rq, int status,
                           const char *content_type, gv_str_t body);
void GvServerRequest_ReplyText(gv_server_request_t *rq, int status,
                               const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* Drops an answer that was set: the connection is closed without one. */
void GvServerRequest_DropReply(gv_server_request_t *rq);

/* Reads decimal digits up to max; returns 0 or GV_EINVAL. */
int GvServer_ParseNumber(const char *text, uint64_t max, uint64_t *v);

#endif
