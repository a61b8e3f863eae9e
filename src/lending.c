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

/* What this entry host borrows for one target. */
typedef struct {
    char lender[GV_NAME_MAX_BYTES + 1];
    int count;        /* 0: none now */
    int64_t until_ms; /* end of the loan */
    int64_t asked_ms;
    bool asking;
} loan_t;

struct gv_lending_s {
    gv_lending_opts_t o;
    _Atomic(gv_peers_t *) peers;
    pthread_mutex_t mu;
    GHashTable *loans; /* host -> loan_t */
    GHashTable *idle;  /* peer -> GHashTable of service -> idle slots */
};

/* Creates the module. The strings in o are copied. */
gv_lending_t *
GvLending_New(const gv_lending_opts_t *o)
{
    gv_lending_t *l = g_new0(gv_lending_t, 1);
    l->o = *o;
    l->o.dc = GvStr_Dup(o->dc);
    atomic_init(&l->peers, o->peers);
    pthread_mutex_init(&l->mu, NULL);
    l->loans = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    l->idle = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                    (GDestroyNotify)g_hash_table_unref);
    return l;
}

/* Releases the module. */
void
GvLending_Free(gv_lending_t *l)
{
    if (l != NULL) {
        g_hash_table_destroy(l->loans);
        g_hash_table_destroy(l->idle);
        pthread_mutex_destroy(&l->mu);
        GvStr_Free(&l->o.dc);
        g_free(l);
    }
}

/* Sets the peer module, which is started later because it calls this one. */
void
GvLending_SetPeers(gv_lending_t *l, gv_peers_t *peers)
{
    atomic_store(&l->peers, peers);
}

/* Answers SLOT_BORROW, with 0 slots when none can be spared. */
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
        l->o.targets, s->host, MIN(s->count, GV_TARGET_SLOTS),
        l->o.queued_for(l->o.user, s->host), GvClock_MonoMs(), lease_ms);
    gv_message_t a = {.kind = GV_MSG_SLOT_LEND,
                      .number = m->number,
                      .u.slots = {s->host, count, lease_ms}};
    if (GvPeers_Send(peers, from, &a) != GV_OK) {
        GvTargets_EndLent(l->o.targets, s->host, count);
        return;
    }
    GvCounter_Add(&lent, count);
}

static void
note_idle(gv_lending_t *l, gv_str_t from, const gv_msg_heartbeat_t *b)
{
    GHashTable *idle =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (int i = 0; i < b->n_loads; i++) {
        const gv_load_t *s = &b->loads[i];
        int64_t n = (int64_t)s->slots - s->busy - s->queued;
        g_hash_table_insert(idle, g_strndup(s->service.p, s->service.n),
                            GINT_TO_POINTER((int)CLAMP(n, 0, INT_MAX)));
    }
    pthread_mutex_lock(&l->mu);
    g_hash_table_replace(l->idle, g_strndup(from.p, from.n), idle);
    pthread_mutex_unlock(&l->mu);
}

/* Handles a message of a peer; on the peer thread. */
void
GvLending_OnMessage(gv_lending_t *l, gv_str_t from, const gv_message_t *m)
{
    switch (m->kind) {
    case GV_MSG_SLOT_BORROW:
        on_borrow(l, from, m);
        break;
    case GV_MSG_SLOT_RETURN:
        GvTargets_EndLent(l->o.targets, m->u.slots.host, m->u.slots.count);
        break;
    case GV_MSG_HEARTBEAT:
        note_idle(l, from, &m->u.heartbeat);
        break;
    default:
        break;
    }
}

/* A question for slots that is under way. */
typedef struct {
    gv_lending_t *l;
    int count;
    int64_t asked_ms;
    char host[GV_NAME_MAX_BYTES + 1];
    char lender[GV_NAME_MAX_BYTES + 1];
} ask_t;

static void
on_lent(void *user, int err, const gv_message_t *m)
{
    ask_t *a = user;
    gv_lending_t *l = a->l;
    int count = 0;
    int64_t until_ms = 0;
    if (err == GV_OK && GvStr_Equal(m->u.slots.host, GvStr_C(a->host))) {
        count = MIN(m->u.slots.count, a->count);
        /* Counted from the question, so that the loan ends here first. */
        until_ms = a->asked_ms + MIN(m->u.slots.lease_ms, GV_LOAN_MS);
    }
    if (until_ms <= GvClock_MonoMs()) {
        count = 0;
    }
    pthread_mutex_lock(&l->mu);
    loan_t *loan = g_hash_table_lookup(l->loans, a->host);
    loan->asking = false;
    loan->count = count;
    loan->until_ms = until_ms;
    memcpy(loan->lender, a->lender, sizeof loan->lender);
    pthread_mutex_unlock(&l->mu);
    if (count > 0) {
        GvCounter_Add(&borrowed, count);
        GvTargets_AddBorrowed(l->o.targets, GvStr_C(a->host), count, until_ms);
        l->o.pump(l->o.user);
    }
    g_free(a);
}

/* Tells whether the service belongs to the pool. */
static bool
on_pool(const gv_view_t *v, const char *service, const char *pool)
{
    const gv_view_service_t *s = GvView_Service(v, GvStr_C(service));
    return s != NULL && GvStr_Equal(s->service->pool, GvStr_C(pool));
}

/* Returns the slots that a peer's last heartbeat showed as idle on the pool.
   The lock is held. */
static int
idle_at(gv_lending_t *l, const gv_view_t *v, const char *peer,
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
        if (on_pool(v, service, pool)) {
            n += GPOINTER_TO_INT(value);
        }
    }
    return n;
}

/* Chooses at random among the live peers of the data centre that have idle
   slots on the pool: their share in the target is not known here. */
static bool
choose_lender(gv_lending_t *l, gv_peers_t *peers, const char *pool, char *to)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(gv_peer_info_t));
    GvPeers_List(peers, list);
    int found = 0;
    const gv_view_t *v = GvView_Acquire(l->o.views);
    pthread_mutex_lock(&l->mu);
    for (guint i = 0; i < list->len; i++) {
        const gv_peer_info_t *p = &g_array_index(list, gv_peer_info_t, i);
        if (p->alive && GvStr_Equal(GvStr_C(p->dc), l->o.dc) &&
            idle_at(l, v, p->name, pool) > 0 &&
            g_random_int_range(0, ++found) == 0) {
            memcpy(to, p->name, sizeof p->name);
        }
    }
    pthread_mutex_unlock(&l->mu);
    GvView_Release();
    g_array_unref(list);
    return found > 0;
}

/* Begins a question for the target unless one is under way, was asked
   recently or slots are borrowed already. */
static bool
begin_ask(gv_lending_t *l, const char *host, int64_t now_ms)
{
    pthread_mutex_lock(&l->mu);
    loan_t *loan = g_hash_table_lookup(l->loans, host);
    if (loan == NULL) {
        loan = g_new0(loan_t, 1);
        loan->asked_ms = now_ms - GV_LOAN_REQUEST_MS;
        g_hash_table_insert(l->loans, g_strdup(host), loan);
    }
    bool may = !loan->asking &&
               now_ms - loan->asked_ms >= GV_LOAN_REQUEST_MS &&
               (loan->count == 0 || now_ms >= loan->until_ms);
    if (may) {
        loan->asking = true;
        loan->asked_ms = now_ms;
        loan->count = 0;
    }
    pthread_mutex_unlock(&l->mu);
    return may;
}

static void
end_ask(gv_lending_t *l, const char *host)
{
    pthread_mutex_lock(&l->mu);
    loan_t *loan = g_hash_table_lookup(l->loans, host);
    loan->asking = false;
    pthread_mutex_unlock(&l->mu);
}

/* Asks a peer for as many slots as there are waiting requests. */
static void
borrow(gv_lending_t *l, gv_peers_t *peers, const gv_target_row_t *row,
       int queued, int64_t now_ms)
{
    if (!begin_ask(l, row->host, now_ms)) {
        return;
    }
    ask_t *a = g_new0(ask_t, 1);
    a->l = l;
    a->count = MIN(queued, GV_TARGET_SLOTS);
    a->asked_ms = now_ms;
    memcpy(a->host, row->host, sizeof a->host);
    gv_message_t m = {.kind = GV_MSG_SLOT_BORROW,
                      .deadline_ms = GV_LOAN_REQUEST_MS,
                      .u.slots = {GvStr_C(row->host), a->count, GV_LOAN_MS}};
    if (!choose_lender(l, peers, row->pool, a->lender) ||
        GvPeers_Call(peers, GvStr_C(a->lender), &m, GV_LOAN_REQUEST_MS,
                     on_lent, a) != GV_OK) {
        end_ask(l, row->host);
        g_free(a);
    }
}

/* Returns the slots borrowed for a target when neither running nor waiting
   work needs them. */
static void
give_back(gv_lending_t *l, gv_peers_t *peers, const gv_target_row_t *row,
          int64_t now_ms)
{
    char lender[GV_NAME_MAX_BYTES + 1];
    int count = 0;
    pthread_mutex_lock(&l->mu);
    loan_t *loan = g_hash_table_lookup(l->loans, row->host);
    if (loan != NULL && loan->count > 0 && now_ms < loan->until_ms &&
        row->busy <= row->usable - loan->count) {
        count = loan->count;
        loan->count = 0;
        memcpy(lender, loan->lender, sizeof lender);
    }
    pthread_mutex_unlock(&l->mu);
    if (count > 0) {
        gv_message_t m = {.kind = GV_MSG_SLOT_RETURN,
                          .u.slots = {GvStr_C(row->host), count, 0}};
        GvTargets_AddBorrowed(l->o.targets, GvStr_C(row->host), -count,
                              now_ms);
        GvCounter_Add(&returned, count);
        /* When it is lost, the lender takes them back at the loan's end. */
        (void)GvPeers_Send(peers, GvStr_C(lender), &m);
    }
}

/* Borrows slots for targets with waiting work and no free slot, and returns
   borrowed slots that are idle. now_ms is monotonic. */
void
GvLending_Tick(gv_lending_t *l, int64_t now_ms)
{
    gv_peers_t *peers = atomic_load(&l->peers);
    if (peers == NULL) {
        return;
    }
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(gv_target_row_t));
    GvTargets_Report(l->o.targets, rows, now_ms);
    for (guint i = 0; i < rows->len; i++) {
        const gv_target_row_t *row = &g_array_index(rows, gv_target_row_t, i);
        int queued = l->o.queued_for(l->o.user, GvStr_C(row->host));
        if (queued == 0) {
            give_back(l, peers, row, now_ms);
        }
        else if (row->busy >= row->usable && row->healthy && !row->closed &&
                 !row->leaving && !row->ejected) {
            borrow(l, peers, row, queued, now_ms);
        }
    }
    g_array_unref(rows);
}
