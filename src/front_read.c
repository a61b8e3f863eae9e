#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "error.h"
#include "front_private.h"
#include "limits.h"
#include "ticket.h"

/* Returns a request header's value, or an empty string without the header. */
static gv_str_t
get_header(gv_call_t *call, const char *name)
{
    const char *v =
        MHD_lookup_connection_value(call->conn, MHD_HEADER_KIND, name);
    return GvStr_C(v != NULL ? v : "");
}

/* Splits "/svc/SERVICE/PATH?QUERY" into a view of the service and an allocated
   path with the query; a missing path becomes "/". Returns 0, or GV_EINVAL
   when the service is not a valid name. */
static int
split_uri(const char *uri, gv_str_t *service, char **path)
{
    const char *name = uri + strlen("/svc/");
    size_t n = strcspn(name, "/?");
    *service = GvStr_N(name, n);
    if (!GvStr_IsName(*service)) {
        return GV_EINVAL;
    }
    const char *rest = name + n;
    *path = rest[0] == '/' ? g_strdup(rest) : g_strconcat("/", rest, NULL);
    return GV_OK;
}

/* Parses a positive number of ms and limits it to GV_DEADLINE_MAX_MS. Returns
   0 or GV_EINVAL. */
static int
parse_ms(gv_str_t text, int64_t *ms)
{
    char *end;
    if (!g_ascii_isdigit(text.p[0])) {
        return GV_EINVAL;
    }
    guint64 v = g_ascii_strtoull(text.p, &end, 10);
    if (*end != '\0' || v == 0) {
        return GV_EINVAL;
    }
    *ms = (int64_t)MIN(v, GV_DEADLINE_MAX_MS);
    return GV_OK;
}

/* Sets the deadline from the header or the service's default, limited to the
   service's maximum. */
static int
read_deadline(gv_call_t *call, const gv_service_t *sv, gv_request_opts_t *o,
              char *reason, size_t n)
{
    int64_t ms = sv->deadline_default_ms;
    gv_str_t text = get_header(call, "Gv-Deadline-Ms");
    if (text.n > 0 && parse_ms(text, &ms) != GV_OK) {
        snprintf(reason, n, "Gv-Deadline-Ms: not a positive number of ms");
        return GV_EINVAL;
    }
    o->deadline_ms = GvClock_MonoMs() + MIN(ms, sv->deadline_max_ms);
    return GV_OK;
}

/* Reads an optional header whose value must be a valid name. */
static int
read_name(gv_call_t *call, const char *name, gv_str_t *out, char *reason,
          size_t n)
{
    *out = get_header(call, name);
    if (out->n > 0 && !GvStr_IsName(*out)) {
        snprintf(reason, n, "%s: not a valid name", name);
        return GV_EINVAL;
    }
    return GV_OK;
}

/* Reads the headers that do not depend on the service's settings. */
static int
read_headers(gv_call_t *call, gv_request_opts_t *o, char *reason, size_t n)
{
    int rc = read_name(call, "Gv-Team", &o->team, reason, n);
    if (rc == GV_OK) {
        rc = read_name(call, "Gv-Work", &o->work, reason, n);
    }
    if (rc != GV_OK) {
        return rc;
    }
    gv_str_t class = get_header(call, "Gv-Class");
    if (class.n > 0 && !GvStr_Equal(class, GV_STR("urgent"))) {
        snprintf(reason, n, "Gv-Class: only \"urgent\" is known");
        return GV_EINVAL;
    }
    o->urgent = class.n > 0;
    o->content_type = get_header(call, "Content-Type");
    o->ticket = get_header(call, "Gv-Ticket");
    o->key = get_header(call, "Idempotency-Key");
    if (o->ticket.n >= GV_TICKET_TEXT_BYTES) {
        snprintf(reason, n, "Gv-Ticket: too long");
        return GV_EINVAL;
    }
    if (o->key.n > GV_KEY_MAX_BYTES) {
        snprintf(reason, n, "Idempotency-Key: over %d bytes",
                 GV_KEY_MAX_BYTES);
        return GV_EINVAL;
    }
    if (o->ticket.n > 0 && o->key.n > 0) {
        snprintf(reason, n,
                 "Gv-Ticket and Idempotency-Key exclude each other");
        return GV_EINVAL;
    }
    return GV_OK;
}

/* Fills o from the request line and headers; o->path is allocated and the
   other strings are views. Returns 0, or GV_EINVAL with an HTTP status and a
   reason for the caller. */
int
GvFront_ReadRequest(gv_call_t *call, const char *method, gv_request_opts_t *o,
                    int *status, char *reason, size_t n)
{
    char *path = NULL;
    *status = 400;
    *o = (gv_request_opts_t){.method = GvStr_C(method)};
    if (split_uri(call->uri, &o->service, &path) != GV_OK) {
        snprintf(reason, n, "path: expected /svc/SERVICE/PATH");
        return GV_EINVAL;
    }
    o->path = GvStr_C(path);
    int rc = read_headers(call, o, reason, n);
    if (rc != GV_OK) {
        return rc;
    }
    const gv_view_t *v = GvView_Acquire(call->front->opts.views);
    const gv_view_service_t *vs = GvView_Service(v, o->service);
    if (vs == NULL) {
        *status = 404;
        snprintf(reason, n, "service \"%.*s\" is not known",
                 GV_STR_ARG(o->service));
        rc = GV_EINVAL;
    }
    else {
        rc = read_deadline(call, vs->service, o, reason, n);
    }
    GvView_Release();
    return rc;
}
