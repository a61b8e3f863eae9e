#ifndef GV_HTTPCLIENT_H
#define GV_HTTPCLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/* Blocking HTTP client over neon; each exchange has its own deadline. */

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
    /* neon may use the open connection, and resend the request on a new one
       if the server has closed it. */
    bool idempotent;
    /* Limit of the whole exchange. neon's own limits, for connecting and for
       each read, are this value rounded up to whole seconds. */
    int timeout_ms;
    /* A connection unused for longer than this is not used again; 0:
       GV_HTTP_IDLE_MS. */
    int idle_ms;
    size_t max_body; /* in bytes; a longer response gives GV_ETOOBIG */
    /* Names of response headers to return, NULL-terminated; may be NULL. At
       most as many as gv_http_response_t has values. */
    const char *const *wanted_headers;
} gv_http_request_t;

typedef struct {
    int status;
    GByteArray *body;
    /* Values of the wanted headers in the order of their names; NULL when
       absent. */
    char *values[8];
    bool sent; /* false: no byte can have reached the server */
} gv_http_response_t;

/* An HTTP client with at most one open connection; not thread-safe. */
typedef struct gv_http_client_s gv_http_client_t;

gv_http_client_t *GvHttp_New(void);
void GvHttp_Free(gv_http_client_t *c);
/* Returns 0 with the whole response, or a negative error: GV_ECONN,
   GV_ETIMEDOUT, GV_ETOOBIG or GV_EINVAL. response->sent is set in every
   case. */
int GvHttp_Do(gv_http_client_t *c, const gv_http_request_t *rq,
              gv_http_response_t *response);
/* Returns true if a connection is open. A connection that the server has
   closed counts as open until the next exchange. */
bool GvHttp_IsOpen(const gv_http_client_t *c);
/* Closes the open connection, if any; the next request opens a new one. */
void GvHttp_Close(gv_http_client_t *c);
void GvHttp_ClearResponse(gv_http_response_t *response);
/* Sends one request without a body on a connection of its own. Returns the
   HTTP status or a negative error. Unless text is NULL, *text is set to the
   response body, to be released with g_free, or to NULL on an error. */
int GvHttp_Once(const char *addr, const char *method, const char *path,
                int timeout_ms, char **text);

#endif
