#include <inttypes.h>
#include <limits.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "error.h"
#include "forward_private.h"

GV_COUNTER(forwarded, "forwarded_total",
           "Requests sent to the entry host that owns their ticket or key");
GV_COUNTER(spills, "spilled_total", "Requests spilled to another entry host");
GV_COUNTER(served_count, "served_total", "Requests run for other entry hosts");
GV_COUNTER(results_unsent, "results_unsent_total",
           "Results that could not be sent to the entry host that asked");

/* A request that was sent to a peer and has no result yet. Owned by the
   callback of the peer call, on_result. */
typedef struct {
    gv_forward_t *f;
    gv_request_t *rq;
    bool to_owner;
    uint64_t number;
    char to[GV_NAME_MAX_BYTES + 1];
} hop_t;

/* Copies a name, cut at GV_NAME_MAX_BYTES, into out and NUL-terminates it. */
static void
copy_name(char *out, gv_str_t name)
{
    size_t n = MIN(name.n, GV_NAME_MAX_BYTES);
    memcpy(out, name.p, n);
    out[n] = '\0';
}

/* Returns true if the service's settings declare the request idempotent. */
static bool
is_idempotent(gv_forward_t *f, const gv_request_t *rq)
{
    const gv_view_t *v = GvView_Acquire(f->opts.views);
    const gv_view_service_t *s = GvView_Service(v, rq->o.service);
    bool idempotent = s != NULL && GvService_IsIdempotent(
                                       s->service, rq->o.method, rq->o.path);
    GvView_Release();
    return idempotent;
}

/* Runs a request here after its attempt at a peer has ended; it is not
   forwarded again. */
static void
run_here(gv_forward_t *f, gv_request_t *rq)
{
    rq->o.no_forward = true;
    f->opts.submit(f->opts.user, rq);
}

/* Handles a request for which the peer returned no result: runs it here if
   that is safe, else ends it as unknown. not_received: the peer has certainly
   not received it. */
static void
hop_failed(gv_forward_t *f, gv_request_t *rq, bool to_owner, bool not_received)
{
    if (to_owner) {
        /* Unknown even if not received: an earlier submission of the ticket
           or key may have run at its owner. */
        GvForward_Reply(
            rq, GvAnswer_Refuse(
                    GV_OUTCOME_UNKNOWN, 503, GV_HEARTBEAT_MS,
                    "the owner of the ticket or key cannot be reached"));
        return;
    }
    if (not_received || is_idempotent(f, rq)) {
        GvRequest_EndAttempt(rq, not_received);
        run_here(f, rq);
        return;
    }
    GvForward_Reply(rq,
                    GvAnswer_Refuse(GV_OUTCOME_UNKNOWN, 502, 0,
                                    "no result from the other entry host"));
}

/* Callback of the peer call: ends the request with the peer's result, or runs
   a spilled request here when the peer has not run it. */
static void
on_result(void *user, int err, const gv_message_t *m)
{
    hop_t *hop = user;
    gv_forward_t *f = hop->f;
    gv_request_t *rq = hop->rq;
    pthread_mutex_lock(&f->hop_lock);
    if (g_hash_table_lookup(f->hops, rq) == hop) {
        g_hash_table_remove(f->hops, rq);
    }
    pthread_mutex_unlock(&f->hop_lock);
    if (err != GV_OK) {
        hop_failed(f, rq, hop->to_owner, err == GV_EREFUSED);
    }
    else if (!hop->to_owner && m->u.result.outcome == GV_OUTCOME_NOT_RUN) {
        GvRequest_EndAttempt(rq, true);
        run_here(f, rq);
    }
    else {
        GvForward_Reply(rq, GvAnswer_Copy(&m->u.result));
    }
    GvRequest_Unref(rq);
    g_free(hop);
}

static void
send_cancel(gv_forward_t *f, const char *to, uint64_t number)
{
    gv_message_t m = {.kind = GV_MSG_CANCEL, .number = number};
    /* A lost CANCEL does no harm: the peer's run ends at its deadline. */
    (void)GvPeers_Send(atomic_load(&f->peers), GvStr_C(to), &m);
}

/* Sends CANCEL to the peer when a request that it runs has ended here. Does
   nothing when its result has already arrived. */
static void
on_hop_ended(void *user, gv_request_t *rq)
{
    gv_forward_t *f = user;
    char to[GV_NAME_MAX_BYTES + 1];
    uint64_t number = 0;
    pthread_mutex_lock(&f->hop_lock);
    const hop_t *hop = g_hash_table_lookup(f->hops, rq);
    if (hop != NULL) {
        memcpy(to, hop->to, sizeof to);
        number = hop->number;
        g_hash_table_remove(f->hops, rq);
    }
    pthread_mutex_unlock(&f->hop_lock);
    if (number != 0) {
        send_cancel(f, to, number);
    }
}

/* Makes the EXECUTE message of a request. Its strings are views of rq. */
static gv_message_t
make_execute(const gv_request_t *rq, bool to_owner, int64_t left_ms)
{
    gv_message_t m = {.kind = GV_MSG_EXECUTE};
    /* The peer's run times out earlier, so that its outcome arrives before
       the request ends here. */
    m.deadline_ms =
        left_ms > 4 * GV_TIMER_TICK_MS ? left_ms - GV_TIMER_TICK_MS : left_ms;
    m.u.execute = (gv_msg_execute_t){
        .service = rq->o.service,
        .method = rq->o.method,
        .path = rq->o.path,
        .content_type = rq->o.content_type,
        .team = rq->o.team,
        .work = rq->o.work,
        .urgent = rq->o.urgent,
        .to_owner = to_owner,
        .ticket = to_owner ? rq->o.ticket : GV_STR(""),
        .key = to_owner ? rq->o.key : GV_STR(""),
        .body = rq->o.body,
    };
    return m;
}

/* Sends a request, whose attempt has begun, to a peer. If that fails, the
   request is run here or ended. */
static void
start_hop(gv_forward_t *f, gv_request_t *rq, gv_str_t to, bool to_owner)
{
    gv_peers_t *peers = atomic_load(&f->peers);
    int64_t left_ms = rq->o.deadline_ms - GvClock_MonoMs();
    if (peers == NULL || left_ms <= 0) {
        hop_failed(f, rq, to_owner, true);
        return;
    }
    gv_message_t m = make_execute(rq, to_owner, left_ms);
    hop_t *hop = g_new0(hop_t, 1);
    hop->f = f;
    hop->rq = GvRequest_Ref(rq);
    hop->to_owner = to_owner;
    copy_name(hop->to, to);
    /* on_result takes this lock, so that it sees hop complete. */
    pthread_mutex_lock(&f->hop_lock);
    int err = GvPeers_Call(peers, to, &m, left_ms, on_result, hop);
    if (err == GV_OK) {
        hop->number = m.number;
        g_hash_table_insert(f->hops, rq, hop);
    }
    pthread_mutex_unlock(&f->hop_lock);
    if (err != GV_OK) {
        g_free(hop);
        hop_failed(f, rq, to_owner, true);
        GvRequest_Unref(rq);
    }
    else if (GvRequest_HasEnded(rq)) {
        on_hop_ended(f, rq);
    }
}

/* Sends the request, whose attempt has begun, to the entry host that owns its
   ticket or key. Does nothing when the request has ended. */
void
GvForward_SendToOwner(gv_forward_t *f, gv_request_t *rq, gv_str_t to)
{
    if (GvRequest_SetHolder(rq, on_hop_ended, f)) {
        GvCounter_Add(&forwarded, 1);
        start_hop(f, rq, to, true);
    }
}

/* Replaces the free slots per service that are known of a peer with those of
   its heartbeat. */
static void
update_peer_slots(gv_forward_t *f, gv_str_t from, const gv_msg_heartbeat_t *b)
{
    GHashTable *free_slots =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (int i = 0; i < b->n_loads; i++) {
        const gv_load_t *l = &b->loads[i];
        int64_t n = (int64_t)l->slots - l->busy - l->queued;
        if (l->slots > 0) {
            g_hash_table_insert(
                free_slots, g_strndup(l->service.p, l->service.n),
                GINT_TO_POINTER((int)CLAMP(n, -INT_MAX, INT_MAX)));
        }
    }
    pthread_mutex_lock(&f->hop_lock);
    g_hash_table_replace(f->peer_slots, g_strndup(from.p, from.n), free_slots);
    pthread_mutex_unlock(&f->hop_lock);
}

/* Gets the free slots of a peer for a service; below 0 when more requests are
   queued than slots are free. Returns false when unknown. hop_lock is held. */
static bool
get_free_slots(gv_forward_t *f, const char *peer, const char *service, int *n)
{
    gpointer value;
    GHashTable *free_slots = g_hash_table_lookup(f->peer_slots, peer);
    if (free_slots == NULL ||
        !g_hash_table_lookup_extended(free_slots, service, NULL, &value)) {
        return false;
    }
    *n = GPOINTER_TO_INT(value);
    return true;
}

/* Chooses the live peer of this region with the most free slots for the
   service. own_dc: in this data centre, where it need not have a free slot;
   else in another one, where it must. Writes the peer's name into to
   (GV_NAME_MAX_BYTES + 1) and counts one slot of it as used until its next
   heartbeat. Returns false when there is none. */
static bool
choose_peer(gv_forward_t *f, gv_str_t service, bool own_dc, char *to)
{
    gv_peers_t *peers = atomic_load(&f->peers);
    if (peers == NULL) {
        return false;
    }
    GArray *list = g_array_new(FALSE, FALSE, sizeof(gv_peer_info_t));
    GvPeers_List(peers, list);
    char *name = g_strndup(service.p, service.n);
    int best = own_dc ? INT_MIN : 0;
    bool found = false;
    pthread_mutex_lock(&f->hop_lock);
    for (guint i = 0; i < list->len; i++) {
        const gv_peer_info_t *p = &g_array_index(list, gv_peer_info_t, i);
        int n;
        if (p->alive && GvStr_Equal(GvStr_C(p->region), f->opts.region) &&
            GvStr_Equal(GvStr_C(p->dc), f->opts.dc) == own_dc &&
            get_free_slots(f, p->name, name, &n) && n > best) {
            best = n;
            found = true;
            memcpy(to, p->name, sizeof p->name);
        }
    }
    if (found) {
        g_hash_table_insert(g_hash_table_lookup(f->peer_slots, to),
                            g_strdup(name), GINT_TO_POINTER(best - 1));
    }
    pthread_mutex_unlock(&f->hop_lock);
    g_free(name);
    g_array_unref(list);
    return found;
}

/* The dispatcher's spill hook: sends a request that cannot start here soon to
   another entry host: in another data centre, or in this one while this entry
   host has not joined and so may not send to targets. Returns false, with the
   request unchanged, when no peer can take it. */
bool
GvForward_Spill(void *user, gv_request_t *rq)
{
    gv_forward_t *f = user;
    const gv_view_t *v = GvView_Acquire(f->opts.views);
    bool own_dc = !v->joined;
    GvView_Release();
    char to[GV_NAME_MAX_BYTES + 1];
    if (rq->o.no_forward || !choose_peer(f, rq->o.service, own_dc, to)) {
        return false;
    }
    if (GvRequest_SetHolder(rq, on_hop_ended, f) &&
        GvRequest_BeginAttempt(rq)) {
        GvCounter_Add(&spills, 1);
        start_hop(f, rq, GvStr_C(to), false);
    }
    return true;
}

/* A request that runs here for a peer, which gave it a number. */
typedef struct {
    gv_forward_t *f;
    uint64_t number;
    char from[GV_NAME_MAX_BYTES + 1];
} served_t;

/* Returns the key of the served table, which the caller frees. Numbers are
   unique only per peer. */
static char *
served_key(gv_str_t from, uint64_t number)
{
    return g_strdup_printf("%.*s %" PRIu64, GV_STR_ARG(from), number);
}

/* Sends the answer to the peer, or an unknown outcome without a body when the
   answer is too large for a message. */
static void
send_result(gv_forward_t *f, gv_str_t to, uint64_t number,
            const gv_answer_t *a)
{
    gv_message_t m = {.kind = GV_MSG_RESULT, .number = number, .u.result = *a};
    gv_peers_t *peers = atomic_load(&f->peers);
    int err = peers == NULL ? GV_ECONN : GvPeers_Send(peers, to, &m);
    if (err == GV_ETOOBIG) {
        m.u.result = (gv_answer_t){
            .outcome = GV_OUTCOME_UNKNOWN,
            .status = 502,
            .reason = GV_STR("the response is too large to be forwarded"),
        };
        err = GvPeers_Send(peers, to, &m);
    }
    if (err != GV_OK) {
        GvCounter_Add(&results_unsent, 1);
    }
}

/* Called when a peer's request has ended: removes it from the served table and
   sends its answer to the peer. */
static void
on_served_done(void *user, gv_request_t *rq, const gv_answer_t *a)
{
    (void)rq;
    served_t *s = user;
    char *key = served_key(GvStr_C(s->from), s->number);
    pthread_mutex_lock(&s->f->hop_lock);
    gpointer old_key;
    gpointer old_rq = NULL;
    g_hash_table_steal_extended(s->f->served, key, &old_key, &old_rq);
    pthread_mutex_unlock(&s->f->hop_lock);
    if (old_rq != NULL) {
        g_free(old_key);
        GvRequest_Unref(old_rq);
    }
    g_free(key);
    send_result(s->f, GvStr_C(s->from), s->number, a);
    g_free(s);
}

/* Adds a request to the served table, where a CANCEL finds it, unless it has
   ended. */
static void
remember_served(gv_forward_t *f, gv_str_t from, uint64_t number,
                gv_request_t *rq)
{
    char *key = served_key(from, number);
    pthread_mutex_lock(&f->hop_lock);
    /* on_served_done removes the entry after the request has ended. */
    if (!GvRequest_HasEnded(rq)) {
        g_hash_table_replace(f->served, key, GvRequest_Ref(rq));
        key = NULL;
    }
    pthread_mutex_unlock(&f->hop_lock);
    g_free(key);
}

/* Runs a request for a peer. Without a deadline in the message it gets
   GV_DEADLINE_DEFAULT_MS. */
static void
on_execute(gv_forward_t *f, gv_str_t from, const gv_message_t *m)
{
    const gv_msg_execute_t *e = &m->u.execute;
    GvCounter_Add(&served_count, 1);
    served_t *s = g_new0(served_t, 1);
    s->f = f;
    s->number = m->number;
    copy_name(s->from, from);
    int64_t now = GvClock_MonoMs();
    int64_t left_ms =
        m->deadline_ms > 0 ? m->deadline_ms : GV_DEADLINE_DEFAULT_MS;
    gv_request_opts_t o = {
        .service = e->service,
        .method = e->method,
        .path = e->path,
        .content_type = e->content_type,
        .team = e->team,
        .work = e->work,
        .ticket = e->to_owner ? e->ticket : GV_STR(""),
        .key = e->to_owner ? e->key : GV_STR(""),
        .body = GvStr_Dup(e->body),
        .urgent = e->urgent,
        .no_forward = true,
        .deadline_ms = now + MIN(left_ms, GV_DEADLINE_MAX_MS),
        .done = on_served_done,
        .user = s,
    };
    gv_request_t *rq;
    if (GvRequest_New(f->opts.requests, &o, now, &rq) != GV_OK) {
        /* An earlier submission of the ticket or key may have run. */
        gv_answer_t a = GvAnswer_Refuse(
            e->to_owner ? GV_OUTCOME_UNKNOWN : GV_OUTCOME_NOT_RUN, 503,
            GV_HEARTBEAT_MS, "too many requests are in progress");
        send_result(f, from, m->number, &a);
        GvAnswer_Free(&a);
        g_free(s);
        return;
    }
    remember_served(f, from, m->number, rq);
    GvForward_Run(f, rq);
    GvRequest_Unref(rq);
}

/* Cancels a request that runs here for a peer. Ignores an unknown number. */
static void
on_cancel(gv_forward_t *f, gv_str_t from, uint64_t number)
{
    char *key = served_key(from, number);
    pthread_mutex_lock(&f->hop_lock);
    gv_request_t *rq = g_hash_table_lookup(f->served, key);
    if (rq != NULL) {
        GvRequest_Ref(rq);
    }
    pthread_mutex_unlock(&f->hop_lock);
    g_free(key);
    if (rq != NULL) {
        GvRequest_Cancel(rq, "cancelled by the caller");
        GvRequest_Unref(rq);
    }
}

/* Handles a message of a peer. Runs on the peer thread. */
void
GvForward_OnMessage(gv_forward_t *f, gv_str_t from, const gv_message_t *m)
{
    switch (m->kind) {
    case GV_MSG_EXECUTE:
        on_execute(f, from, m);
        break;
    case GV_MSG_CANCEL:
        on_cancel(f, from, m->number);
        break;
    case GV_MSG_HEARTBEAT:
        update_peer_slots(f, from, &m->u.heartbeat);
        break;
    default:
        break;
    }
}
