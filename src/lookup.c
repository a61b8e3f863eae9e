#include "lookup.h"

#include <glib.h>

struct gv_lookups_s {
    gv_lookup_opts_t opts;
    GQueue waiting;     /* gv_intake_request_t * without a round */
    GPtrArray **rounds; /* requests of each round; NULL: it is not open */
};

gv_lookups_t *
GvLookups_New(const gv_lookup_opts_t *o)
{
    gv_lookups_t *l = g_new0(gv_lookups_t, 1);
    l->opts = *o;
    l->rounds = g_new0(GPtrArray *, (gsize)o->rounds_max);
    g_queue_init(&l->waiting);
    return l;
}

/* Frees the table; its requests are not continued. */
void
GvLookups_Free(gv_lookups_t *l)
{
    for (int i = 0; i < l->opts.rounds_max; i++) {
        if (l->rounds[i] != NULL) {
            g_ptr_array_free(l->rounds[i], TRUE);
        }
    }
    g_queue_clear(&l->waiting);
    g_free(l->rounds);
    g_free(l);
}

/* Begins a round for the waiting requests if one may be opened. */
static void
begin_round(gv_lookups_t *l)
{
    int i = 0;
    while (i < l->opts.rounds_max && l->rounds[i] != NULL) {
        i++;
    }
    if (i == l->opts.rounds_max || l->waiting.length == 0) {
        return;
    }
    l->rounds[i] = g_ptr_array_new();
    while (l->waiting.length > 0) {
        g_ptr_array_add(l->rounds[i], g_queue_pop_head(&l->waiting));
    }
    l->opts.read(l->opts.user, i);
}

/* Adds a request, which waits while all rounds are open. */
void
GvLookups_Add(gv_lookups_t *l, gv_intake_request_t *rq)
{
    g_queue_push_tail(&l->waiting, rq);
    begin_round(l);
}

/* Continues the requests of a round whose reads have ended. */
void
GvLookups_EndRound(gv_lookups_t *l, int round, bool ok)
{
    GPtrArray *requests = l->rounds[round];
    l->rounds[round] = NULL;
    for (guint i = 0; i < requests->len; i++) {
        l->opts.done(l->opts.user, g_ptr_array_index(requests, i), ok);
    }
    g_ptr_array_free(requests, TRUE);
    begin_round(l);
}

/* Continues, without a read, the waiting requests that are past their
   deadline. */
void
GvLookups_Expire(gv_lookups_t *l, int64_t now_ms)
{
    for (GList *at = l->waiting.head; at != NULL;) {
        GList *next = at->next;
        gv_intake_request_t *rq = at->data;
        if (now_ms >= rq->deadline_ms) {
            g_queue_delete_link(&l->waiting, at);
            l->opts.done(l->opts.user, rq, false);
        }
        at = next;
    }
}
