#include "body_budget.h"

#include <glib.h>

#include "counter.h"
#include "error.h"
#include "limits.h"

GV_COUNTER(over_budget, "bodies_over_budget_total",
           "Bodies refused because bodies took too much memory");
GV_COUNTER(answers_dropped, "responses_over_budget_total",
           "Responses dropped because bodies took too much memory");
GV_COUNTER(callers_released, "callers_closed_after_response_total",
           "Connections closed after a response to make room for others");
GV_COUNTER(callers_closed, "slow_callers_closed_total",
           "Connections of slow callers closed to make room for others");

typedef enum {
    CONN_IDLE,    /* no request yet, or not its whole header */
    CONN_BODY,    /* its body is being received */
    CONN_BUSY,    /* the request is complete and gets a response */
    CONN_RESPONSE /* the response is being sent */
} gv_body_conn_state_t;

struct gv_body_conn_s {
    gv_body_budget_t *budget;
    guint index; /* in budget->conns */
    int fd;
    gv_body_conn_state_t state;
    bool closing;      /* returned by GvBodyBudget_NextToClose */
    bool leaving;      /* is closed after its response */
    size_t reserved;   /* bytes that count */
    size_t moved;      /* of the body received, or of the response sent */
    int64_t begun_ms;  /* of the request, the response, or the time without */
    unsigned requests; /* since it was opened */
    uint64_t number;   /* in the order of opening */
};

struct gv_body_budget_s {
    gv_body_budget_opts_t opts;
    GPtrArray *conns;
    size_t bytes;         /* reserved by all connections */
    size_t bytes_closing; /* reserved by those that are being closed */
    uint64_t opened;      /* connections so far */
    int n_leaving;        /* closing ones, or closed after their response */
};

/* Divides the memory of a process: an eighth for bodies, and half for what
   each connection may hold beside a large body: the server's memory, a small
   body, and bytes that were not read, also of those not yet accepted. */
gv_body_budget_opts_t
GvBodyBudget_Limits(int memory_mb, int max_fds, int connections)
{
    size_t bytes = (size_t)memory_mb * 1024 * 1024;
    size_t unread = 2 * GV_BODY_RECEIVE_BYTES;
    size_t per_conn = GV_BODY_POOL_BYTES + GV_BODY_SMALL_BYTES + unread +
                      unread / GV_BODY_CONNECTIONS_PER_WAITING;
    size_t by_memory = bytes / 2 / per_conn;
    size_t by_fds = (size_t)max_fds * GV_BODY_FDS_PERCENT / 100;
    size_t n = MIN((size_t)connections, MIN(by_memory, by_fds));
    n = MAX(n, GV_BODY_CONNECTIONS_MIN);
    return (gv_body_budget_opts_t){
        .bytes_max = bytes / GV_BODY_MEMORY_SHARE,
        .connections_max = (int)n,
        .backlog = (int)(n / GV_BODY_CONNECTIONS_PER_WAITING)};
}

gv_body_budget_t *
GvBodyBudget_New(const gv_body_budget_opts_t *o)
{
    gv_body_budget_t *b = g_new0(gv_body_budget_t, 1);
    b->opts = *o;
    b->conns = g_ptr_array_new();
    return b;
}

static void
free_conn(gpointer conn, gpointer user)
{
    (void)user;
    g_free(conn);
}

/* Frees the budget and what is left of its connections. */
void
GvBodyBudget_Free(gv_body_budget_t *b)
{
    if (b != NULL) {
        g_ptr_array_foreach(b->conns, free_conn, NULL);
        g_ptr_array_free(b->conns, TRUE);
        g_free(b);
    }
}

gv_body_conn_t *
GvBodyBudget_Open(gv_body_budget_t *b, int fd, int64_t now_ms)
{
    gv_body_conn_t *c = g_new0(gv_body_conn_t, 1);
    c->budget = b;
    c->fd = fd;
    c->begun_ms = now_ms;
    c->number = b->opened++;
    c->index = b->conns->len;
    g_ptr_array_add(b->conns, c);
    return c;
}

/* Changes what a connection has reserved. */
static void
set_reserved(gv_body_conn_t *c, size_t bytes)
{
    gv_body_budget_t *b = c->budget;
    b->bytes += bytes - c->reserved;
    if (c->closing) {
        b->bytes_closing += bytes - c->reserved;
    }
    c->reserved = bytes;
}

void
GvBodyBudget_Close(gv_body_conn_t *c)
{
    gv_body_budget_t *b = c->budget;
    set_reserved(c, 0);
    b->n_leaving -= c->closing || c->leaving;
    g_ptr_array_remove_index_fast(b->conns, c->index);
    if (c->index < b->conns->len) {
        gv_body_conn_t *moved = g_ptr_array_index(b->conns, c->index);
        moved->index = c->index;
    }
    g_free(c);
}

bool
GvBodyBudget_Begin(gv_body_conn_t *c, int64_t now_ms)
{
    c->state = CONN_BODY;
    c->begun_ms = now_ms;
    c->moved = 0;
    c->requests++;
    return !c->closing;
}

/* Returns true if a connection may reserve this many bytes. */
static bool
fits(const gv_body_conn_t *c, size_t bytes)
{
    const gv_body_budget_t *b = c->budget;
    return bytes <= c->reserved ||
           (bytes - c->reserved <= b->opts.bytes_max &&
            b->bytes <= b->opts.bytes_max - (bytes - c->reserved));
}

/* A small body never counts, so that ordinary callers are served while large
   bodies take the whole budget. */
int
GvBodyBudget_Reserve(gv_body_conn_t *c, size_t bytes)
{
    if (bytes <= GV_BODY_SMALL_BYTES || bytes <= c->reserved) {
        return GV_OK;
    }
    if (!fits(c, bytes)) {
        GvCounter_Add(&over_budget, 1);
        return GV_EFULL;
    }
    set_reserved(c, bytes);
    return GV_OK;
}

size_t
GvBodyBudget_Size(size_t bytes)
{
    size_t size = GV_BODY_SMALL_BYTES;
    while (size < bytes) {
        size *= 2;
    }
    return size;
}

void
GvBodyBudget_Release(gv_body_conn_t *c)
{
    set_reserved(c, 0);
}

bool
GvBodyBudget_Receive(gv_body_conn_t *c, size_t bytes)
{
    c->moved += bytes;
    return !c->closing;
}

bool
GvBodyBudget_Complete(gv_body_conn_t *c)
{
    if (c->closing) {
        return false;
    }
    c->state = CONN_BUSY;
    return true;
}

int
GvBodyBudget_Answer(gv_body_conn_t *c, size_t bytes)
{
    bool small = bytes <= GV_BODY_SMALL_BYTES;
    if (!small && !fits(c, bytes)) {
        GvCounter_Add(&answers_dropped, 1);
        return GV_EFULL;
    }
    set_reserved(c, small ? 0 : bytes);
    return GV_OK;
}

/* Returns how many connections have to give way for new ones, or less than 1.
   Those that already do are not counted. */
static int
count_excess(const gv_body_budget_t *b)
{
    int n = (int)b->conns->len - b->n_leaving;
    return n - b->opts.connections_max * GV_BODY_CROWDED_PERCENT / 100;
}

/* Returns true if a connection has had more requests than c, or as many and is
   older. */
static bool
is_before(const gv_body_conn_t *other, const gv_body_conn_t *c)
{
    return other->requests != c->requests ? other->requests > c->requests
                                          : other->number < c->number;
}

/* Returns true if a connection has to give way after its response: it is among
   those with most requests. */
static bool
gives_way(const gv_body_conn_t *c)
{
    const gv_body_budget_t *b = c->budget;
    int before = count_excess(b);
    for (guint i = 0; i < b->conns->len && before > 0; i++) {
        const gv_body_conn_t *other = g_ptr_array_index(b->conns, i);
        before -= !other->closing && !other->leaving && is_before(other, c);
    }
    return before > 0;
}

bool
GvBodyBudget_Respond(gv_body_conn_t *c, int64_t now_ms)
{
    c->state = CONN_RESPONSE;
    c->begun_ms = now_ms;
    c->moved = 0;
    if (!c->closing && !c->leaving && gives_way(c)) {
        GvCounter_Add(&callers_released, 1);
        c->leaving = true;
        c->budget->n_leaving++;
    }
    return c->leaving;
}

void
GvBodyBudget_Sent(gv_body_conn_t *c, size_t bytes)
{
    c->moved += bytes;
}

void
GvBodyBudget_End(gv_body_conn_t *c, int64_t now_ms)
{
    set_reserved(c, 0);
    c->state = CONN_IDLE;
    c->begun_ms = now_ms;
}

/* Returns the time until which a connection has kept the least rate. */
static int64_t
kept_pace_ms(const gv_body_conn_t *c)
{
    if (c->state == CONN_IDLE) {
        return c->begun_ms;
    }
    return c->begun_ms + (int64_t)(c->moved * 1000 / GV_BODY_RATE_BYTES_PER_S);
}

/* Returns the connection whose request is not complete, or whose response is
   being sent, that is furthest behind the least rate, for at least
   GV_BODY_GRACE_MS, or NULL. */
static gv_body_conn_t *
find_slowest(gv_body_budget_t *b, bool with_bytes, int64_t now_ms)
{
    gv_body_conn_t *slowest = NULL;
    int64_t least = now_ms - GV_BODY_GRACE_MS + 1;
    for (guint i = 0; i < b->conns->len; i++) {
        gv_body_conn_t *c = g_ptr_array_index(b->conns, i);
        if (c->closing || c->state == CONN_BUSY ||
            (with_bytes && c->reserved == 0)) {
            continue;
        }
        if (kept_pace_ms(c) < least) {
            least = kept_pace_ms(c);
            slowest = c;
        }
    }
    return slowest;
}

/* Closes connections while more than GV_BODY_CROWDED_PERCENT of the bytes or
   connections are taken, so that there is room for new ones. */
int
GvBodyBudget_NextToClose(gv_body_budget_t *b, int64_t now_ms)
{
    size_t bytes = b->bytes - b->bytes_closing;
    gv_body_conn_t *c = NULL;
    if (bytes > b->opts.bytes_max / 100 * GV_BODY_CROWDED_PERCENT) {
        c = find_slowest(b, true, now_ms);
    }
    if (c == NULL && count_excess(b) > 0) {
        c = find_slowest(b, false, now_ms);
    }
    if (c == NULL) {
        return -1;
    }
    GvCounter_Add(&callers_closed, 1);
    c->closing = true;
    b->n_leaving += !c->leaving;
    b->bytes_closing += c->reserved;
    return c->fd;
}

/* Returns the bytes that are reserved. */
size_t
GvBodyBudget_Bytes(const gv_body_budget_t *b)
{
    return b->bytes;
}

/* Returns the number of open connections. */
int
GvBodyBudget_Connections(const gv_body_budget_t *b)
{
    return (int)b->conns->len;
}
