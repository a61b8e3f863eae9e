#ifndef GV_HTTPCLIENT_H
#define GV_HTTPCLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/* Blocking HTTP exchanges over neon; each call has its own deadline. */

typedef struct {
    gv_str_t name;
    gv_str_t value;
} gv_header_t;

typedef struct {
    gv_str_t addr; /* "127.0.0.1:9001" */
    gv_str_t method;
    gv_str_t path; /* with the query string */
    const gv_header_t *headers;
    int n_headers;
    gv_str_t body;
    bool idempotent; /* neon may resend on a kept connection only then */
    int timeout_ms;  /* of the exchange; a connect: in whole seconds */
    int idle_ms;     /* a connection unused for longer is not used again; 0:
                        GV_HTTP_IDLE_MS */
    size_t max_body; /* answers over it give GV_ETOOBIG */
    /* Names of answer headers to keep, NULL-terminated; may be NULL. */
    const char *const *want;
} gv_http_request_t;

typedef struct {
    int status;
    GByteArray *body;
    char *values[8]; /* of the wanted headers, NULL when absent */
    bool sent;       /* false: no byte can have reached the server */
} gv_http_response_t;

/* A client keeps at most one connection per instance; not thread-safe. */
typedef struct gv_http_client_s gv_http_client_t;

gv_http_client_t *GvHttp_New(void);
void GvHttp_Free(gv_http_client_t *c);
/* Returns 0 with the whole answer, or a negative error: GV_ECONN,
   GV_ETIMEDOUT, GV_ETOOBIG, GV_EINVAL. answer->sent is valid in every case. */
int GvHttp_Do(gv_http_client_t *c, const gv_http_request_t *rq,
              gv_http_response_t *answer);
/* Tells whether a connection is kept, as far as the client has noticed. */
bool GvHttp_IsOpen(const gv_http_client_t *c);
/* Closes a kept connection; the next request opens a new one. */
void GvHttp_Close(gv_http_client_t *c);
void GvHttp_ClearResponse(gv_http_response_t *answer);
/* One request without a body on a connection of its own. Returns the HTTP
   status or a negative error; *text (if not NULL) gets the body of an answer,
   to be released with g_free, and NULL on an error. */
int GvHttp_Once(const char *addr, const char *method, const char *path,
                int timeout_ms, char **text);

#endif
