#include "platform.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "error.h"
#include "httpclient.h"
#include "limits.h"
#include "log.h"
#include "pack.h"

struct gv_platform_s {
    gv_http_client_t *http;
    gv_str_t addr;
};

/* Response body and parsed objects to which a page's records refer. */
typedef struct {
    GByteArray *body;
    msgpack_unpacked un;
} page_buffer_t;

/* Creates a client; the first request opens its connection. */
gv_platform_t *
GvPlatform_New(gv_str_t addr)
{
    gv_platform_t *p = g_new0(gv_platform_t, 1);
    p->http = GvHttp_New();
    p->addr = GvStr_Dup(addr);
    return p;
}

/* Releases p; NULL is allowed. */
void
GvPlatform_Free(gv_platform_t *p)
{
    if (p != NULL) {
        GvHttp_Free(p->http);
        GvStr_Free(&p->addr);
        g_free(p);
    }
}

/* Converts an HTTP status to an error code. After a 5xx status it is unknown
   whether the request took effect, as after a lost response. */
static int
status_error(int status)
{
    switch (status) {
    case 200:
    case 204:
        return GV_OK;
    case 404:
        return GV_ENOENT;
    case 409:
        return GV_ESTALE;
    case 413:
        return GV_ETOOBIG;
    default:
        return status >= 500 ? GV_ECONN : GV_EINVAL;
    }
}

/* Sends one request and reads its response. Returns 0 or an error, also for
   the HTTP status of the response. */
static int
call(gv_platform_t *p, gv_http_request_t *rq, gv_http_response_t *a)
{
    rq->addr = p->addr;
    int err = GvHttp_Do(p->http, rq, a);
    return err != GV_OK ? err : status_error(a->status);
}

/* Parses [first offset, count]. Returns 0, or GV_EINVAL if body is malformed
   or count is not n. */
static int
read_appended(const GByteArray *body, int n, uint64_t *first)
{
    msgpack_unpacked un;
    int err = GvUnpack_Root(&un, GvStr_N(body->data, body->len));
    if (err == GV_OK) {
        gv_unpack_t u = GvUnpack_Array(&un.data, 2);
        *first = GvUnpack_Uint(&u);
        uint64_t count = GvUnpack_Uint(&u);
        err = u.err != GV_OK || count != (uint64_t)n ? GV_EINVAL : GV_OK;
    }
    msgpack_unpacked_destroy(&un);
    return err;
}

/* Appends n records, in order and with consecutive offsets. Returns 0 with the
   offset of the first, or GV_EINVAL or GV_ETOOBIG if the platform refused them
   and nothing was appended. After GV_ECONN, GV_ETIMEDOUT or GV_EIO (a response
   that cannot be read) the records may have been appended, unless *sent is
   false. */
int
GvPlatform_Append(gv_platform_t *p, const gv_str_t *records, int n,
                  uint64_t *first, bool *sent)
{
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    msgpack_packer pk = GvPack_Array(&sb, (size_t)n);
    for (int i = 0; i < n; i++) {
        GvPack_Bin(&pk, records[i]);
    }
    gv_http_request_t rq = {.method = GV_STR("POST"),
                            .path = GV_STR("/log/append"),
                            .body = GvStr_N(sb.data, sb.size),
                            .idempotent = false,
                            .timeout_ms = GV_PLATFORM_TIMEOUT_MS,
                            .max_body = 1024};
    gv_http_response_t a;
    rq.addr = p->addr;
    int err = GvHttp_Do(p->http, &rq, &a);
    *sent = a.sent;
    if (err == GV_OK) {
        err = status_error(a.status);
    }
    else if (a.sent && (err == GV_EINVAL || err == GV_ETOOBIG)) {
        err = GV_EIO; /* of the response, not a refusal */
    }
    if (err == GV_OK && read_appended(a.body, n, first) != GV_OK) {
        err = GV_EIO;
    }
    GvHttp_ClearResponse(&a);
    msgpack_sbuffer_destroy(&sb);
    return err;
}

/* Parses [offset, append_ms, bin] items into page->records. Offsets must start
   with `from` and increase by one, so that a malformed response cannot cause a
   gap. Returns 0 or GV_EIO. */
static int
read_records(gv_unpack_t *items, uint64_t from, gv_log_page_t *page)
{
    page->records = g_new0(gv_raw_record_t, (gsize)items->array->size + 1);
    while (GvUnpack_HasNext(items)) {
        gv_unpack_t u = GvUnpack_Sub(items, 3);
        gv_raw_record_t *r = &page->records[page->n_records];
        r->offset = GvUnpack_Uint(&u);
        r->append_ms = GvUnpack_Int(&u);
        r->bytes = GvUnpack_Str(&u);
        if (u.err != GV_OK || r->offset != from + (uint64_t)page->n_records ||
            r->offset >= page->next) {
            return GV_EIO;
        }
        page->n_records++;
    }
    return items->err == GV_OK ? GV_OK : GV_EIO;
}

/* Parses one page that begins at `from`. Returns 0, GV_EGONE if `from` is
   below the first retained offset, or GV_EIO for a malformed page. */
static int
read_page(const msgpack_object *root, uint64_t from, gv_log_page_t *page)
{
    gv_unpack_t u = GvUnpack_Array(root, 4);
    page->first = GvUnpack_Uint(&u);
    page->next = GvUnpack_Uint(&u);
    page->retention_ms = GvUnpack_Int(&u);
    gv_unpack_t items = GvUnpack_Sub(&u, 0);
    if (u.err != GV_OK || page->first > page->next) {
        return GV_EIO;
    }
    if (from < page->first) {
        return GV_EGONE;
    }
    return read_records(&items, from, page);
}

/* Reads up to max records from offset `from`; waits up to wait_ms if there
   are none yet. Returns 0; GV_EGONE when `from` is below the first retained
   offset (first, next and retention_ms are set); GV_EIO for a malformed
   response; or a connection error. The page is released with
   GvPlatform_ClearPage in every case. */
int
GvPlatform_Read(gv_platform_t *p, uint64_t from, int max, int wait_ms,
                gv_log_page_t *page)
{
    memset(page, 0, sizeof *page);
    char path[128];
    snprintf(path, sizeof path,
             "/log/read?from=%" G_GUINT64_FORMAT "&max=%d&wait_ms=%d",
             (guint64)from, max, wait_ms);
    gv_http_request_t rq = {.method = GV_STR("GET"),
                            .path = GvStr_C(path),
                            .idempotent = true,
                            .timeout_ms = wait_ms + GV_PLATFORM_TIMEOUT_MS,
                            .max_body = GV_LOG_PAGE_BYTES * 2};
    gv_http_response_t a;
    int err = call(p, &rq, &a);
    if (err == GV_OK) {
        page_buffer_t *buf = g_new0(page_buffer_t, 1);
        buf->body = g_steal_pointer(&a.body);
        page->buffer = buf;
        gv_str_t bytes = GvStr_N(buf->body->data, buf->body->len);
        err = GvUnpack_Root(&buf->un, bytes) == GV_OK
                  ? read_page(&buf->un.data, from, page)
                  : GV_EIO;
    }
    GvHttp_ClearResponse(&a);
    return err;
}

/* Releases the records of a page and empties it. */
void
GvPlatform_ClearPage(gv_log_page_t *page)
{
    page_buffer_t *buf = page->buffer;
    if (buf != NULL) {
        msgpack_unpacked_destroy(&buf->un);
        g_byte_array_free(buf->body, TRUE);
        g_free(buf);
    }
    g_free(page->records);
    memset(page, 0, sizeof *page);
}

/* Reads the host list. Returns 0, GV_EIO for a malformed list (the reason is
   logged), or a connection error. */
int
GvPlatform_Hosts(gv_platform_t *p, gv_hostlist_t *list)
{
    return GvPlatform_HostsSince(p, 0, list);
}

/* Reads the host list unless its version is `known`; see the header. */
int
GvPlatform_HostsSince(gv_platform_t *p, uint64_t known, gv_hostlist_t *list)
{
    memset(list, 0, sizeof *list);
    char path[64];
    snprintf(path, sizeof path, "/hosts?known=%" G_GUINT64_FORMAT,
             (guint64)known);
    gv_http_request_t rq = {.method = GV_STR("GET"),
                            .path = GvStr_C(path),
                            .idempotent = true,
                            .timeout_ms = GV_PLATFORM_TIMEOUT_MS,
                            .max_body = GV_HOSTLIST_BYTES};
    gv_http_response_t a;
    int res = call(p, &rq, &a);
    if (res == GV_OK && a.status == 204) {
        res = GV_PLATFORM_UNCHANGED;
    }
    else if (res == GV_OK) {
        char why[160];
        gv_str_t bytes = GvStr_N(a.body->data, a.body->len);
        if (GvHostList_Parse(bytes, list, why, sizeof why) != GV_OK) {
            GvLog_Write(GV_LOG_WARN, "%s", why);
            res = GV_EIO;
        }
    }
    GvHttp_ClearResponse(&a);
    return res;
}

/* Asks the platform to drain, reboot or make ready a host. Returns 0,
   GV_ESTALE if a higher fencing token than fence was used for the host,
   GV_ENOENT for an unknown host, GV_EINVAL, or a connection error, after which
   it is unknown whether the platform carries out the operation. */
int
GvPlatform_HostOp(gv_platform_t *p, gv_hostop_t op, gv_str_t host,
                  uint64_t fence)
{
    static const char *const words[] = {"drain", "reboot", "ready"};
    if (!GvStr_IsName(host)) {
        return GV_EINVAL;
    }
    char path[192];
    snprintf(path, sizeof path, "/hosts/%s?host=%.*s&fence=%" G_GUINT64_FORMAT,
             words[op], GV_STR_ARG(host), (guint64)fence);
    gv_http_request_t rq = {.method = GV_STR("POST"),
                            .path = GvStr_C(path),
                            .idempotent = false,
                            .timeout_ms = GV_PLATFORM_TIMEOUT_MS,
                            .max_body = 1024};
    gv_http_response_t a;
    int err = call(p, &rq, &a);
    GvHttp_ClearResponse(&a);
    return err;
}
