#include "once.h"

#include <glib.h>
#include <string.h>

#include "error.h"
#include "limits.h"

/* The limits of the process are divided between its shards. */
#define MAX_ENTRIES      (GV_ONCE_MAX_ENTRIES / GV_SHARDS)
#define MAX_ANSWER_BYTES (GV_ONCE_ALL_ANSWERS_BYTES / GV_SHARDS)

typedef enum { STATE_READY, STATE_RUNNING, STATE_DONE } once_state_t;

typedef struct {
    gv_str_t id;
    once_state_t state;
    int64_t expires_ms;
    gv_answer_t answer;  /* STATE_DONE */
    size_t answer_bytes; /* size of the stored strings of answer */
    GPtrArray *waiters;  /* STATE_RUNNING; NULL: none */
} entry_t;

struct gv_once_s {
    gv_str_t entry_host; /* its name, part of each ticket */
    uint64_t incarnation;
    GHashTable *entries;   /* id -> entry_t */
    size_t answer_bytes;   /* sum over the entries */
    uint64_t max_sequence; /* highest one issued */
    /* The highest now_ms passed in so far. With a clock that is set back, a
       removed ticket would look as if it had never been issued. */
    int64_t now_ms;
};

static void
free_entry(gpointer p)
{
    entry_t *e = p;
    GvStr_Free(&e->id);
    GvAnswer_Free(&e->answer);
    if (e->waiters != NULL) {
        g_ptr_array_unref(e->waiters);
    }
    g_free(e);
}

/* Creates the table of one shard for this incarnation of the entry host. */
gv_once_t *
GvOnce_New(gv_str_t entry_host, uint64_t incarnation)
{
    gv_once_t *o = g_new0(gv_once_t, 1);
    o->entry_host = GvStr_Dup(entry_host);
    o->incarnation = incarnation;
    o->entries = g_hash_table_new_full(GvStr_HashKey, GvStr_EqualKeys, NULL,
                                       free_entry);
    return o;
}

/* Frees the table. Waiters get no answer. */
void
GvOnce_Free(gv_once_t *o)
{
    if (o != NULL) {
        g_hash_table_destroy(o->entries);
        GvStr_Free(&o->entry_host);
        g_free(o);
    }
}

/* Returns the highest now_ms so far, this one included. */
static int64_t
advance_time(gv_once_t *o, int64_t now_ms)
{
    o->now_ms = MAX(o->now_ms, now_ms);
    return o->now_ms;
}

/* Adds an entry in STATE_READY, or returns NULL when the table is full even
   after a sweep. */
static entry_t *
add_entry(gv_once_t *o, gv_str_t id, int64_t expires_ms)
{
    if (GvOnce_Count(o) >= MAX_ENTRIES && GvOnce_Sweep(o, o->now_ms) == 0) {
        return NULL;
    }
    entry_t *e = g_new0(entry_t, 1);
    e->id = GvStr_Dup(id);
    e->expires_ms = expires_ms;
    g_hash_table_insert(o->entries, &e->id, e);
    return e;
}

/* Issues a ticket that expires ttl_ms after now_ms; t->entry is a view of the
   table's entry host name. Returns 0, GV_EFULL when the table is full, or
   GV_EEXIST when this ticket has already been issued. */
int
GvOnce_Issue(gv_once_t *o, uint64_t sequence, int64_t now_ms, int64_t ttl_ms,
             gv_ticket_t *t)
{
    int64_t expires_ms = advance_time(o, now_ms) + ttl_ms;
    *t = (gv_ticket_t){o->entry_host, o->incarnation, sequence, expires_ms};
    char text[GV_TICKET_TEXT_BYTES];
    int n = GvTicket_Format(t, text, sizeof text);
    g_assert(n > 0);
    gv_str_t id = GvStr_N(text, (size_t)n);
    if (g_hash_table_contains(o->entries, &id)) {
        return GV_EEXIST;
    }
    if (add_entry(o, id, expires_ms) == NULL) {
        return GV_EFULL;
    }
    o->max_sequence = MAX(o->max_sequence, sequence);
    return GV_OK;
}

static gv_once_result_t
make_result(gv_once_kind_t kind)
{
    return (gv_once_result_t){kind, NULL};
}

/* Starts the run of an entry, adds waiter to its run, or returns its stored
   answer, depending on its state. */
static gv_once_result_t
begin_entry(gv_once_t *o, entry_t *e, void *waiter)
{
    switch (e->state) {
    case STATE_READY:
        if (o->now_ms > e->expires_ms) {
            return make_result(GV_ONCE_EXPIRED);
        }
        e->state = STATE_RUNNING;
        return make_result(GV_ONCE_START);
    case STATE_RUNNING:
        if (waiter != NULL) {
            if (e->waiters == NULL) {
                e->waiters = g_ptr_array_new();
            }
            if (e->waiters->len >= GV_ONCE_MAX_WAITERS) {
                return make_result(GV_ONCE_UNKNOWN);
            }
            g_ptr_array_add(e->waiters, waiter);
        }
        return make_result(GV_ONCE_WAIT);
    case STATE_DONE:
        return (gv_once_result_t){GV_ONCE_ANSWER, &e->answer};
    }
    g_assert_not_reached();
}

/* Begins a run of ticket t. GV_ONCE_START: the caller must run the request and
   then call GvOnce_Finish; waiter is not added. GV_ONCE_WAIT: waiter, unless
   NULL, is added to the waiters, which GvOnce_Finish returns. When there are
   GV_ONCE_MAX_WAITERS already the result is GV_ONCE_UNKNOWN, because the run
   continues without the waiter. */
gv_once_result_t
GvOnce_BeginTicket(gv_once_t *o, const gv_ticket_t *t, int64_t now_ms,
                   void *waiter)
{
    advance_time(o, now_ms);
    if (!GvStr_Equal(t->entry, o->entry_host)) {
        return make_result(GV_ONCE_INVALID);
    }
    if (t->incarnation != o->incarnation) {
        return make_result(GV_ONCE_UNKNOWN);
    }
    char text[GV_TICKET_TEXT_BYTES];
    int n = GvTicket_Format(t, text, sizeof text);
    gv_str_t id = GvStr_N(text, n > 0 ? (size_t)n : 0);
    entry_t *e = g_hash_table_lookup(o->entries, &id);
    if (e != NULL) {
        return begin_entry(o, e, waiter);
    }
    /* GvOnce_Sweep removes only entries past their grace time. */
    bool forgotten = t->sequence <= o->max_sequence &&
                     t->expires_ms < o->now_ms - GV_TICKET_GRACE_MS;
    return make_result(forgotten ? GV_ONCE_UNKNOWN : GV_ONCE_INVALID);
}

/* Begins a run of a key that this incarnation has claimed in the ledger until
   expires_ms. A key that is claimed again while its entry exists uses that
   entry. GV_ONCE_UNKNOWN: the claim has expired and its entry may have been
   removed. Otherwise as GvOnce_BeginTicket. */
gv_once_result_t
GvOnce_BeginKey(gv_once_t *o, gv_str_t id, int64_t expires_ms, int64_t now_ms,
                void *waiter)
{
    advance_time(o, now_ms);
    entry_t *e = g_hash_table_lookup(o->entries, &id);
    if (e == NULL) {
        if (o->now_ms > expires_ms) {
            return make_result(GV_ONCE_UNKNOWN);
        }
        e = add_entry(o, id, expires_ms);
        if (e == NULL) {
            return make_result(GV_ONCE_FULL);
        }
    }
    e->expires_ms = MAX(e->expires_ms, expires_ms);
    return begin_entry(o, e, waiter);
}

/* Stores a copy of a as the answer of e, or only its outcome when it is too
   large or the limit for stored answers is reached. */
static void
store_answer(gv_once_t *o, entry_t *e, const gv_answer_t *a)
{
    size_t n = a->body.n + a->content_type.n + a->reason.n;
    if (n > GV_ONCE_ANSWER_BYTES || o->answer_bytes + n > MAX_ANSWER_BYTES) {
        e->answer =
            GvAnswer_Refuse(a->outcome, 410, 0, "the response was not kept");
        e->answer.final = a->final;
        return;
    }
    e->answer = GvAnswer_Copy(a);
    e->answer_bytes = n;
    o->answer_bytes += n;
}

/* Ends a run that got GV_ONCE_START. After GV_OUTCOME_NOT_RUN without
   a->final the entry can be started again; in all other cases the answer is
   stored for repeats. Returns the *n_waiters waiters in an array that the
   caller frees with g_free, or NULL when there are none. Ignores an id that is
   not running. */
void **
GvOnce_Finish(gv_once_t *o, gv_str_t id, const gv_answer_t *a, int64_t now_ms,
              int *n_waiters)
{
    *n_waiters = 0;
    advance_time(o, now_ms);
    entry_t *e = g_hash_table_lookup(o->entries, &id);
    if (e == NULL || e->state != STATE_RUNNING) {
        return NULL;
    }
    if (a->outcome == GV_OUTCOME_NOT_RUN && !a->final) {
        e->state = STATE_READY;
    }
    else {
        e->state = STATE_DONE;
        store_answer(o, e, a);
    }
    if (e->waiters == NULL) {
        return NULL;
    }
    *n_waiters = (int)e->waiters->len;
    void **w = g_ptr_array_free(e->waiters, FALSE);
    e->waiters = NULL;
    return w;
}

/* Returns true if waiter is the only waiter of the run. */
bool
GvOnce_IsOnlyWaiter(const gv_once_t *o, gv_str_t id, const void *waiter)
{
    const entry_t *e = g_hash_table_lookup(o->entries, &id);
    return e != NULL && e->waiters != NULL && e->waiters->len == 1 &&
           e->waiters->pdata[0] == waiter;
}

/* Removes a waiter. Returns the number of remaining waiters, or GV_ENOENT when
   it was not a waiter of the run. */
int
GvOnce_RemoveWaiter(gv_once_t *o, gv_str_t id, void *waiter)
{
    entry_t *e = g_hash_table_lookup(o->entries, &id);
    if (e == NULL || e->waiters == NULL ||
        !g_ptr_array_remove(e->waiters, waiter)) {
        return GV_ENOENT;
    }
    return (int)e->waiters->len;
}

/* Removes entries that are not running and expired more than
   GV_TICKET_GRACE_MS ago. Returns their number. */
int
GvOnce_Sweep(gv_once_t *o, int64_t now_ms)
{
    int64_t limit = advance_time(o, now_ms) - GV_TICKET_GRACE_MS;
    int n = 0;
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, o->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const entry_t *e = value;
        if (e->state != STATE_RUNNING && e->expires_ms < limit) {
            o->answer_bytes -= e->answer_bytes;
            g_hash_table_iter_remove(&it);
            n++;
        }
    }
    return n;
}

/* Returns the number of entries. */
int
GvOnce_Count(const gv_once_t *o)
{
    return (int)g_hash_table_size(o->entries);
}
