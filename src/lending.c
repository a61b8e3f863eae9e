#include "lending.h"

#include <limits.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "error.h"
#include "limits.h"

GV_COUNTER(borrowed, "slots_borrowed_total", "Target slots borrowed");
GV_COUNTER(lent, "slots_lent_total", "Target slots lent to peers");
GV_COUNTER(returned, "slots_returned_total",
           "Borrowed target slots returned before the end of their loan");

/* Loan of one target's slots to this entry host. */
typedef struct {
    char lender[GV_NAME_MAX_BYTES + 1];
    int count;         /* slots borrowed; 0: none */
    int64_t until_ms;  /* end of the loan */
    int64_t called_ms; /* start of the last call for slots */
    bool call_pending;
} loan_t;

struct gv_lending_s {
    gv_lending_opts_t opts;
    _Atomic(gv_peers_t *) peers;
    pthread_mutex_t lock;
    GHashTable *loans; /* host -> loan_t */
    GHashTable *idle;  /* peer -> GHashTable of service -> idle slots */
};

/* Creates the module. The strings in o are copied. */
gv_lending_t *
GvLending_New(const gv_lending_opts_t *o)
{
    gv_lending_t *l = g_new0(gv_lending_t, 1);
    l->opts = *o;
    l->opts.dc = GvStr_Dup(o->dc);
    atomic_init(&l->peers, o->peers);
    pthread_mutex_init(&l->lock, NULL);
    l->loans = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    l->idle = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                    (GDestroyNotify)g_hash_table_unref);
    return l;
}

/* Frees the module. */
void
GvLending_Free(gv_lending_t *l)
{
    if (l != NULL) {
        g_hash_table_destroy(l->loans);
        g_hash_table_destroy(l->idle);
        pthread_mutex_destroy(&l->lock);
        GvStr_Free(&l->opts.dc);
        g_free(l);
    }
}

/* Sets the peer module, which is started later because it calls this one. */
void
GvLending_SetPeers(gv_lending_t *l, gv_peers_t *peers)
{
    atomic_store(&l->peers, peers);
}

/* Handles SLOT_BORROW: lends slots and answers with their number, which is 0
   if none can be spared. Takes the loan back if the answer cannot be sent. */
static void
on_borrow(gv_lending_t *l, gv_str_t from, const gv_message_t *m)
{
    const gv_msg_slots_t *s = &m->u.slots;
    gv_peers_t *peers = atomic_load(&l->peers);
    if (peers == NULL) {
        return;
    }
    int lease_ms = MIN(s->lease_ms, GV_LOAN_MS);
    int count = GvTargets_Lend(
        l->opts.targets, s->host, MIN(s->count, GV_TARGET_SLOTS),
        l->opts.queued_for(l->opts.user, s->host), GvClock_MonoMs(), lease_ms);
    gv_message_t a = {.kind = GV_MSG_SLOT_LEND,
                      .number = m->number,
                      .u.slots = {s->host, count, lease_ms}};
    if (GvPeers_Send(peers, from, &a) != GV_OK) {
        GvTargets_EndLent(l->opts.targets, s->host, count);
        return;
    }
    GvCounter_Add(&lent, count);
}

/* Stores the numbers of idle slots, by service, that a peer's heartbeat shows.
   They replace those of its previous heartbeat. */
static void
update_idle(gv_lending_t *l, gv_str_t from, const gv_msg_heartbeat_t *b)
{
    GHashTable *idle =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (int i = 0; i < b->n_loads; i++) {
        const gv_load_t *s = &b->loads[i];
        int64_t n = (int64_t)s->slots - s->busy - s->queued;
        g_hash_table_insert(idle, g_strndup(s->service.p, s->service.n),
                            GINT_TO_POINTER((int)CLAMP(n, 0, INT_MAX)));
    }
    pthread_mutex_lock(&l->lock);
    g_hash_table_replace(l->idle, g_strndup(from.p, from.n), idle);
    pthread_mutex_unlock(&l->lock);
}

/* Handles a message of a peer. Called on the peer thread. */
void
GvLending_OnMessage(gv_lending_t *l, gv_str_t from, const gv_message_t *m)
{
    switch (m->kind) {
    case GV_MSG_SLOT_BORROW:
        on_borrow(l, from, m);
        break;
    case GV_MSG_SLOT_RETURN:
        GvTargets_EndLent(l->opts.targets, m->u.slots.host, m->u.slots.count);
        break;
    case GV_MSG_HEARTBEAT:
        update_idle(l, from, &m->u.heartbeat);
        break;
    default:
        break;
    }
}

/* A SLOT_BORROW call that is not yet answered. */
typedef struct {
    gv_lending_t *lending;
    int count; /* slots requested */
    int64_t called_ms;
    char host[GV_NAME_MAX_BYTES + 1];
    char lender[GV_NAME_MAX_BYTES + 1];
} borrow_call_t;

/* Handles the end of a SLOT_BORROW call: records the loan, if there is one,
   and starts queued requests. */
static void
on_borrow_answer(void *user, int err, const gv_message_t *m)
{
    borrow_call_t *a = user;
    gv_lending_t *l = a->lending;
    int count = 0;
    int64_t until_ms = 0;
    if (err == GV_OK && GvStr_Equal(m->u.slots.host, GvStr_C(a->host))) {
        count = MIN(m->u.slots.count, a->count);
        /* Counted from the start of the call, so that the loan ends here
           before it ends at the lender. */
        until_ms = a->called_ms + MIN(m->u.slots.lease_ms, GV_LOAN_MS);
    }
    if (until_ms <= GvClock_MonoMs()) {
        count = 0;
    }
    pthread_mutex_lock(&l->lock);
    loan_t *loan = g_hash_table_lookup(l->loans, a->host);
    loan->call_pending = false;
    loan->count = count;
    loan->until_ms = until_ms;
    memcpy(loan->lender, a->lender, sizeof loan->lender);
    pthread_mutex_unlock(&l->lock);
    if (count > 0) {
        GvCounter_Add(&borrowed, count);
        GvTargets_AddBorrowed(l->opts.targets, GvStr_C(a->host), count,
                              until_ms);
        l->opts.pump(l->opts.user);
    }
    g_free(a);
}

/* Returns true if the service runs on the targets of the pool. */
static bool
is_in_pool(const gv_view_t *v, const char *service, const char *pool)
{
    const gv_view_service_t *s = GvView_Service(v, GvStr_C(service));
    return s != NULL && GvStr_Equal(s->service->pool, GvStr_C(pool));
}

/* Returns how many idle slots the peer's last heartbeat showed for the
   services of the pool. The lock is held. */
static int
count_idle(gv_lending_t *l, const gv_view_t *v, const char *peer,
           const char *pool)
{
    int n = 0;
    GHashTable *idle = g_hash_table_lookup(l->idle, peer);
    GHashTableIter it;
    gpointer service;
    gpointer value;
    if (idle == NULL) {
        return 0;
    }
    g_hash_table_iter_init(&it, idle);
    while (g_hash_table_iter_next(&it, &service, &value)) {
        if (is_in_pool(v, service, pool)) {
            n += GPOINTER_TO_INT(value);
        }
    }
    return n;
}

/* Chooses a random lender among the live peers of the data centre that have
   idle slots on the pool, and copies its name to `to`. Random, because
   heartbeats do not show the peers' slots of one target. Returns false if no
   peer has idle slots. */
static bool
choose_lender(gv_lending_t *l, gv_peers_t *peers, const char *pool, char *to)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(gv_peer_info_t));
    GvPeers_List(peers, list);
    int found = 0;
    const gv_view_t *v = GvView_Acquire(l->opts.views);
    pthread_mutex_lock(&l->lock);
    for (guint i = 0; i < list->len; i++) {
        const gv_peer_info_t *p = &g_array_index(list, gv_peer_info_t, i);
        if (p->alive && GvStr_Equal(GvStr_C(p->dc), l->opts.dc) &&
            count_idle(l, v, p->name, pool) > 0 &&
            g_random_int_range(0, ++found) == 0) {
            memcpy(to, p->name, sizeof p->name);
        }
    }
    pthread_mutex_unlock(&l->lock);
    GvView_Release();
    g_array_unref(list);
    return found > 0;
}

/* Records the start of a call for slots of the target. Returns false if none
   may start: a call is pending, one started less than GV_LOAN_REQUEST_MS ago,
   or slots are already borrowed. */
static bool
begin_call(gv_lending_t *l, const char *host, int64_t now_ms)
{
    pthread_mutex_lock(&l->lock);
    loan_t *loan = g_hash_table_lookup(l->loans, host);
    if (loan == NULL) {
        loan = g_new0(loan_t, 1);
        loan->called_ms = now_ms - GV_LOAN_REQUEST_MS;
        g_hash_table_insert(l->loans, g_strdup(host), loan);
    }
    bool start = !loan->call_pending &&
                 now_ms - loan->called_ms >= GV_LOAN_REQUEST_MS &&
                 (loan->count == 0 || now_ms >= loan->until_ms);
    if (start) {
        loan->call_pending = true;
        loan->called_ms = now_ms;
        loan->count = 0;
    }
    pthread_mutex_unlock(&l->lock);
    return start;
}

/* Clears the pending flag after a call that could not be sent. */
static void
cancel_call(gv_lending_t *l, const char *host)
{
    pthread_mutex_lock(&l->lock);
    loan_t *loan = g_hash_table_lookup(l->loans, host);
    loan->call_pending = false;
    pthread_mutex_unlock(&l->lock);
}

/* Calls a peer for as many slots as there are queued requests. */
static void
borrow(gv_lending_t *l, gv_peers_t *peers, const gv_target_row_t *row,
       int queued, int64_t now_ms)
{
    if (!begin_call(l, row->host, now_ms)) {
        return;
    }
    borrow_call_t *a = g_new0(borrow_call_t, 1);
    a->lending = l;
    a->count = MIN(queued, GV_TARGET_SLOTS);
    a->called_ms = now_ms;
    memcpy(a->host, row->host, sizeof a->host);
    gv_message_t m = {.kind = GV_MSG_SLOT_BORROW,
                      .deadline_ms = GV_LOAN_REQUEST_MS,
                      .u.slots = {GvStr_C(row->host), a->count, GV_LOAN_MS}};
    if (!choose_lender(l, peers, row->pool, a->lender) ||
        GvPeers_Call(peers, GvStr_C(a->lender), &m, GV_LOAN_REQUEST_MS,
                     on_borrow_answer, a) != GV_OK) {
        cancel_call(l, row->host);
        g_free(a);
    }
}

/* Returns the slots borrowed for a target without queued requests, unless
   requests in progress need them. */
static void
return_slots(gv_lending_t *l, gv_peers_t *peers, const gv_target_row_t *row,
             int64_t now_ms)
{
    char lender[GV_NAME_MAX_BYTES + 1];
    int count = 0;
    pthread_mutex_lock(&l->lock);
    loan_t *loan = g_hash_table_lookup(l->loans, row->host);
    if (loan != NULL && loan->count > 0 && now_ms < loan->until_ms &&
        row->busy <= row->usable - loan->count) {
        count = loan->count;
        loan->count = 0;
        memcpy(lender, loan->lender, sizeof lender);
    }
    pthread_mutex_unlock(&l->lock);
    if (count > 0) {
        gv_message_t m = {.kind = GV_MSG_SLOT_RETURN,
                          .u.slots = {GvStr_C(row->host), count, 0}};
        GvTargets_AddBorrowed(l->opts.targets, GvStr_C(row->host), -count,
                              now_ms);
        GvCounter_Add(&returned, count);
        /* If the message is lost, the lender gets the slots back when the loan
           ends. */
        (void)GvPeers_Send(peers, GvStr_C(lender), &m);
    }
}

/* Borrows slots for targets that have queued requests and no free slot, and
   returns borrowed slots that are no longer needed. now_ms is monotonic. */
void
GvLending_Tick(gv_lending_t *l, int64_t now_ms)
{
    gv_peers_t *peers = atomic_load(&l->peers);
    if (peers == NULL) {
        return;
    }
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(gv_target_row_t));
    GvTargets_Report(l->opts.targets, rows, now_ms);
    for (guint i = 0; i < rows->len; i++) {
        const gv_target_row_t *row = &g_array_index(rows, gv_target_row_t, i);
        int queued = l->opts.queued_for(l->opts.user, GvStr_C(row->host));
        if (queued == 0) {
            return_slots(l, peers, row, now_ms);
        }
        else if (row->busy >= row->usable && row->healthy && !row->closed &&
                 !row->leaving && !row->ejected) {
            borrow(l, peers, row, queued, now_ms);
        }
    }
    g_array_unref(rows);
}
