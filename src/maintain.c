#include <stdarg.h>
#include <string.h>
#include <time.h>

#include "clock.h"
#include "error.h"
#include "log.h"
#include "maintain_private.h"

/* When a task was first and last found pending, in monotonic ms. */
typedef struct {
    int64_t first_ms;
    int64_t last_ms;
} pending_t;

/* Frees a proposal and its payload. */
static void
free_proposal(gpointer p)
{
    gv_proposal_t *proposal = p;
    g_free(proposal->key);
    msgpack_sbuffer_destroy(&proposal->payload);
    g_free(proposal);
}

/* Adds a proposal to out. The key identifies it across rounds. Takes ownership
   of the payload buffer sb. */
void
GvMaintain_Propose(GPtrArray *out, const char *kind, msgpack_sbuffer sb,
                   const char *key_format, ...)
{
    gv_proposal_t *proposal = g_new0(gv_proposal_t, 1);
    va_list ap;
    va_start(ap, key_format);
    proposal->key = g_strdup_vprintf(key_format, ap);
    va_end(ap);
    proposal->kind = kind;
    proposal->payload = sb;
    g_ptr_array_add(out, proposal);
}

/* Marks a task as pending in this round and returns for how long it has been
   pending, in ms. The time restarts at 0 for a task that was not pending in
   the last few rounds. */
int64_t
GvMaintain_PendingMs(gv_maintain_t *m, const char *key, int64_t now_ms)
{
    pending_t *task = g_hash_table_lookup(m->pending, key);
    if (task == NULL) {
        task = g_new0(pending_t, 1);
        task->first_ms = now_ms;
        g_hash_table_insert(m->pending, g_strdup(key), task);
    }
    task->last_ms = now_ms;
    return now_ms - task->first_ms;
}

/* Returns true if this entry host may append the record now. Each rank waits
   GV_RANK_STEP_MS longer than the one before, so that usually only the first
   entry host appends. */
bool
GvMaintain_IsDue(gv_maintain_t *m, const char *key, int64_t now_ms)
{
    int64_t pending_ms = GvMaintain_PendingMs(m, key, now_ms);
    gv_str_t *names = g_new0(gv_str_t, m->live_peers->len + 1);
    for (guint i = 0; i < m->live_peers->len; i++) {
        names[i] = GvStr_C(m->live_peers->pdata[i]);
    }
    int rank = GvMaintain_Rank(key, m->kernel->conf.name, names,
                               (int)m->live_peers->len);
    g_free(names);
    return pending_ms >= (int64_t)rank * GV_RANK_STEP_MS;
}

/* Selects the tasks that were not pending in the last few rounds. */
static gboolean
is_no_longer_pending(gpointer key, gpointer value, gpointer user)
{
    (void)key;
    const pending_t *task = value;
    return task->last_ms + 4 * GV_MAINTAIN_INTERVAL_MS < *(gint64 *)user;
}

/* Selects the appends that may be repeated by now. */
static gboolean
may_repeat(gpointer key, gpointer value, gpointer user)
{
    (void)key;
    return *(gint64 *)value < *(gint64 *)user;
}

/* Logs the result of an append with the key of the proposal. Nothing
   is logged without a verdict: a proposal that is still needed is repeated. */
static void
log_result(void *user, int err, const gv_verdict_t *v)
{
    char *key = user;
    if (err == GV_OK && v->kind == GV_VERDICT_ACCEPTED) {
        GvLog_Write(GV_LOG_INFO, "%s: record applied at offset %lu", key,
                    (unsigned long)v->offset);
    }
    else if (err == GV_OK) {
        GvLog_Write(GV_LOG_INFO, "%s: record rejected: %s", key, v->reason);
    }
    g_free(key);
}

/* Submits the proposals, except those that were submitted less than
   GV_MAINTAIN_APPEND_MS ago, and removes outdated table entries. */
static void
submit_all(gv_maintain_t *m, GPtrArray *out, int64_t now_ms)
{
    for (guint i = 0; i < out->len; i++) {
        gv_proposal_t *proposal = out->pdata[i];
        const gint64 *next =
            g_hash_table_lookup(m->next_append_ms, proposal->key);
        if (next != NULL && now_ms < *next) {
            continue;
        }
        gint64 *again = g_new(gint64, 1);
        *again = now_ms + GV_MAINTAIN_APPEND_MS;
        g_hash_table_replace(m->next_append_ms, g_strdup(proposal->key),
                             again);
        char *key = g_strdup(proposal->key);
        if (GvAppender_Submit(
                m->kernel->appender, proposal->kind,
                GvStr_N(proposal->payload.data, proposal->payload.size),
                GV_MAINTAIN_APPEND_MS, log_result, key) != GV_OK) {
            g_free(key);
        }
    }
    g_hash_table_foreach_remove(m->pending, is_no_longer_pending, &now_ms);
    g_hash_table_foreach_remove(m->next_append_ms, may_repeat, &now_ms);
}

/* Updates live_peers: the names of the live peers in the own data centre. */
static void
list_live_peers(gv_maintain_t *m)
{
    GArray *peers = g_array_new(FALSE, FALSE, sizeof(gv_peer_info_t));
    GvPeers_List(m->kernel->peers, peers);
    g_ptr_array_set_size(m->live_peers, 0);
    for (guint i = 0; i < peers->len; i++) {
        const gv_peer_info_t *p = &g_array_index(peers, gv_peer_info_t, i);
        if (p->alive && GvStr_Equal(GvStr_C(p->dc), m->kernel->conf.dc)) {
            g_ptr_array_add(m->live_peers, g_strdup(p->name));
        }
    }
    g_array_free(peers, TRUE);
}

/* Runs one round; elapsed_ms is the time since the previous one. Does nothing
   before this process has joined: other entry hosts cannot rely on a process
   that is not a member. */
static void
run_round(gv_maintain_t *m, int64_t now_ms, int64_t elapsed_ms)
{
    if (!GvKernel_IsJoined(m->kernel)) {
        return;
    }
    GPtrArray *out = g_ptr_array_new_with_free_func(free_proposal);
    bool stopping = GvKernel_IsStopping(m->kernel);
    list_live_peers(m);
    const gv_ledger_t *l = GvReplica_Lock(m->kernel->replica);
    GvMaintain_UpdateDemand(m, l, now_ms, elapsed_ms);
    GvMaintain_PlanConfirms(m, l, out);
    if (!stopping) {
        GvMaintain_PlanTakeovers(m, l, now_ms, out);
        GvMaintain_PlanWaves(m, l, now_ms, out);
        GvMaintain_PlanMoves(m, l, now_ms, out);
        GvMaintain_PlanHosts(m, l, now_ms, out);
    }
    GvMaintain_UpdateHeldClaims(m, l, now_ms);
    GvReplica_Unlock(m->kernel->replica);
    if (!stopping) {
        GvMaintain_RunHeldClaims(m, now_ms, out);
    }
    submit_all(m, out, now_ms);
    g_ptr_array_free(out, TRUE);
}

/* Thread function: runs a round about every GV_MAINTAIN_INTERVAL_MS. */
static void *
maintain_thread(void *arg)
{
    gv_maintain_t *m = arg;
    struct timespec pause = {.tv_nsec = GV_MAINTAIN_INTERVAL_MS * 1000000L};
    int64_t last = GvClock_MonoMs();
    while (!atomic_load(&m->stop)) {
        int64_t now = GvClock_MonoMs();
        run_round(m, now, now - last);
        last = now;
        clock_nanosleep(CLOCK_MONOTONIC, 0, &pause, NULL);
    }
    return NULL;
}

/* Creates a hash table that frees its string keys and its values. */
static GHashTable *
new_string_table(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Starts the thread. Returns 0, or GV_EIO if it cannot be created; *out is set
   in both cases and must be freed. */
int
GvMaintain_Start(gv_kernel_t *k, gv_maintain_t **out)
{
    gv_maintain_t *m = g_new0(gv_maintain_t, 1);
    m->kernel = k;
    m->platform = GvPlatform_New(k->conf.platform_addr);
    m->wave_policy = (const gv_wave_policy_t *)GvRegistry_Find(
        GV_PLUGIN_WAVE, GV_STR("adaptive"));
    m->reserve_policy = (const gv_reserve_policy_t *)GvRegistry_Find(
        GV_PLUGIN_RESERVE, GV_STR("hysteresis"));
    g_assert(m->wave_policy != NULL && m->reserve_policy != NULL);
    m->held_claims = new_string_table();
    m->pending = new_string_table();
    m->next_append_ms = new_string_table();
    m->health_since = new_string_table();
    m->known_since = new_string_table();
    m->demands = new_string_table();
    m->peer_loads = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                          (GDestroyNotify)g_array_unref);
    m->live_peers = g_ptr_array_new_with_free_func(g_free);
    pthread_mutex_init(&m->lock, NULL);
    *out = m;
    m->running = pthread_create(&m->thread, NULL, maintain_thread, m) == 0;
    return m->running ? GV_OK : GV_EIO;
}

/* Stops the thread and waits for its current round; m may be NULL. */
void
GvMaintain_Stop(gv_maintain_t *m)
{
    if (m != NULL && m->running) {
        atomic_store(&m->stop, true);
        pthread_join(m->thread, NULL);
        m->running = false;
    }
}

/* Frees m, which may be NULL. GvMaintain_OnList and GvMaintain_OnHeartbeat
   must not be called any more. */
void
GvMaintain_Free(gv_maintain_t *m)
{
    if (m == NULL) {
        return;
    }
    GvPlatform_Free(m->platform);
    GvHostList_Clear(&m->host_list);
    g_hash_table_destroy(m->held_claims);
    g_hash_table_destroy(m->pending);
    g_hash_table_destroy(m->next_append_ms);
    g_hash_table_destroy(m->health_since);
    g_hash_table_destroy(m->known_since);
    g_hash_table_destroy(m->demands);
    g_hash_table_destroy(m->peer_loads);
    g_ptr_array_free(m->live_peers, TRUE);
    pthread_mutex_destroy(&m->lock);
    g_free(m);
}

/* Stores a copy of the entries that this entry host needs: targets of its data
   centre, targets of other data centres that are gone, and all entry hosts,
   which have no slots. */
void
GvMaintain_OnList(gv_maintain_t *m, const gv_hostlist_t *list)
{
    gv_hostlist_t own = {.version = list->version};
    own.hosts = g_new0(gv_listed_host_t, list->n + 1);
    for (int i = 0; i < list->n; i++) {
        const gv_listed_host_t *h = &list->hosts[i];
        if (h->slots > 0 && h->state != GV_LISTED_GONE &&
            !GvStr_Equal(h->dc, m->kernel->conf.dc)) {
            continue;
        }
        gv_listed_host_t *c = &own.hosts[own.n++];
        *c = *h;
        c->host = GvStr_Dup(h->host);
        c->dc = GvStr_Dup(h->dc);
        c->rack = GvStr_Dup(h->rack);
        c->addr = GvStr_Dup(h->addr);
        c->pool = GvStr_Dup(h->pool);
        c->boot = GvStr_Dup(h->boot);
    }
    pthread_mutex_lock(&m->lock);
    gv_hostlist_t old = m->host_list;
    m->host_list = own;
    m->list_asked_ms = list->asked_ms;
    pthread_mutex_unlock(&m->lock);
    GvHostList_Clear(&old);
}

/* Notes that the newest list was still the current one at asked_ms,
   monotonic. */
void
GvMaintain_OnListCurrent(gv_maintain_t *m, int64_t asked_ms)
{
    pthread_mutex_lock(&m->lock);
    m->list_asked_ms = asked_ms;
    pthread_mutex_unlock(&m->lock);
}
