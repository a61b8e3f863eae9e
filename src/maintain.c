#include <stdarg.h>
#include <string.h>
#include <time.h>

#include "clock.h"
#include "error.h"
#include "log.h"
#include "maintain_private.h"

/* When a task was first and last wanted. */
typedef struct {
    int64_t first_ms;
    int64_t last_ms;
} wanted_t;

/* Frees an intention with its payload. */
static void
free_intent(gpointer p)
{
    gv_proposal_t *i = p;
    g_free(i->key);
    msgpack_sbuffer_destroy(&i->payload);
    g_free(i);
}

/* Adds an intention. The key names it; the payload is taken over. */
void
GvMaintain_Propose(GPtrArray *out, const char *kind, msgpack_sbuffer sb,
                   const char *key_format, ...)
{
    gv_proposal_t *i = g_new0(gv_proposal_t, 1);
    va_list ap;
    va_start(ap, key_format);
    i->key = g_strdup_vprintf(key_format, ap);
    va_end(ap);
    i->kind = kind;
    i->payload = sb;
    g_ptr_array_add(out, i);
}

/* Notes that a task is wanted and returns since when, in ms. A task that is
   not wanted for a while starts again. */
int64_t
GvMaintain_PendingMs(gv_maintain_t *m, const char *key, int64_t now_ms)
{
    wanted_t *w = g_hash_table_lookup(m->due, key);
    if (w == NULL) {
        w = g_new0(wanted_t, 1);
        w->first_ms = now_ms;
        g_hash_table_insert(m->due, g_strdup(key), w);
    }
    w->last_ms = now_ms;
    return now_ms - w->first_ms;
}

/* Tells whether it is this entry host's turn: every rank waits a step longer
   than the one before, so that usually the first alone appends. */
bool
GvMaintain_IsDue(gv_maintain_t *m, const char *key, int64_t now_ms)
{
    int64_t wanted_ms = GvMaintain_PendingMs(m, key, now_ms);
    gv_str_t *names = g_new0(gv_str_t, m->others->len + 1);
    for (guint i = 0; i < m->others->len; i++) {
        names[i] = GvStr_C(m->others->pdata[i]);
    }
    int rank =
        GvMaintain_Rank(key, m->k->conf.name, names, (int)m->others->len);
    g_free(names);
    return wanted_ms >= (int64_t)rank * GV_RANK_STEP_MS;
}

/* Forgets a task that was not wanted in the last rounds. */
static gboolean
is_unwanted(gpointer key, gpointer value, gpointer user)
{
    (void)key;
    const wanted_t *w = value;
    return w->last_ms + 4 * GV_MAINTAIN_MS < *(gint64 *)user;
}

/* Forgets an append that may be repeated by now. */
static gboolean
is_over(gpointer key, gpointer value, gpointer user)
{
    (void)key;
    return *(gint64 *)value < *(gint64 *)user;
}

/* Logs what became of a record, under its intention. */
static void
log_result(void *user, int err, const gv_verdict_t *v)
{
    char *key = user;
    if (err == GV_OK && v->kind == GV_VERDICT_ACCEPTED) {
        GvLog_Write(GV_LOG_INFO, "%s: applied at %lu", key,
                    (unsigned long)v->offset);
    }
    else if (err == GV_OK) {
        GvLog_Write(GV_LOG_INFO, "%s: rejected: %s", key, v->reason);
    }
    g_free(key);
}

/* Appends what is wanted and has not been appended a moment ago. */
static void
submit_all(gv_maintain_t *m, GPtrArray *out, int64_t now_ms)
{
    for (guint i = 0; i < out->len; i++) {
        gv_proposal_t *in = out->pdata[i];
        const gint64 *next = g_hash_table_lookup(m->sent, in->key);
        if (next != NULL && now_ms < *next) {
            continue;
        }
        gint64 *again = g_new(gint64, 1);
        *again = now_ms + GV_MAINTAIN_APPEND_MS;
        g_hash_table_replace(m->sent, g_strdup(in->key), again);
        char *key = g_strdup(in->key);
        if (GvAppender_Submit(m->k->appender, in->kind,
                              GvStr_N(in->payload.data, in->payload.size),
                              GV_MAINTAIN_APPEND_MS, log_result,
                              key) != GV_OK) {
            g_free(key);
        }
    }
    g_hash_table_foreach_remove(m->due, is_unwanted, &now_ms);
    g_hash_table_foreach_remove(m->sent, is_over, &now_ms);
}

/* Lists the live peers of the own data centre. */
static void
find_others(gv_maintain_t *m)
{
    GArray *peers = g_array_new(FALSE, FALSE, sizeof(gv_peer_info_t));
    GvPeers_List(m->k->peers, peers);
    g_ptr_array_set_size(m->others, 0);
    for (guint i = 0; i < peers->len; i++) {
        const gv_peer_info_t *p = &g_array_index(peers, gv_peer_info_t, i);
        if (p->alive && GvStr_Equal(GvStr_C(p->dc), m->k->conf.dc)) {
            g_ptr_array_add(m->others, g_strdup(p->name));
        }
    }
    g_array_free(peers, TRUE);
}

/* One round. Nothing is done before the own join: other entry hosts cannot
   rely on a process that is not a member. */
static void
run_round(gv_maintain_t *m, int64_t now_ms, int64_t dt_ms)
{
    if (!GvKernel_IsJoined(m->k)) {
        return;
    }
    GPtrArray *out = g_ptr_array_new_with_free_func(free_intent);
    bool stopping = GvKernel_IsStopping(m->k);
    find_others(m);
    const gv_ledger_t *l = GvReplica_Lock(m->k->replica);
    GvMaintain_UpdateDemand(m, l, now_ms, dt_ms);
    GvMaintain_PlanConfirms(m, l, out);
    if (!stopping) {
        GvMaintain_PlanTakeovers(m, l, now_ms, out);
        GvMaintain_PlanWaves(m, l, now_ms, out);
        GvMaintain_PlanMoves(m, l, now_ms, out);
        GvMaintain_PlanHosts(m, l, now_ms, out);
    }
    GvMaintain_UpdateHeldClaims(m, l, now_ms);
    GvReplica_Unlock(m->k->replica);
    if (!stopping) {
        GvMaintain_RunHeldClaims(m, now_ms, out);
    }
    submit_all(m, out, now_ms);
    g_ptr_array_free(out, TRUE);
}

/* Makes a round every GV_MAINTAIN_MS. */
static void *
maintain_thread(void *arg)
{
    gv_maintain_t *m = arg;
    struct timespec pause = {.tv_nsec = GV_MAINTAIN_MS * 1000000L};
    int64_t last = GvClock_MonoMs();
    while (!atomic_load(&m->stop)) {
        int64_t now = GvClock_MonoMs();
        run_round(m, now, now - last);
        last = now;
        clock_nanosleep(CLOCK_MONOTONIC, 0, &pause, NULL);
    }
    return NULL;
}

/* Makes a table of owned names with owned values. */
static GHashTable *
times_new(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Starts the thread. Returns 0 or GV_EIO. */
int
GvMaintain_Start(gv_kernel_t *k, gv_maintain_t **out)
{
    gv_maintain_t *m = g_new0(gv_maintain_t, 1);
    m->k = k;
    m->platform = GvPlatform_New(k->conf.platform_addr);
    m->wave_policy = (const gv_wave_policy_t *)GvRegistry_Find(
        GV_PLUGIN_WAVE, GV_STR("adaptive"));
    m->reserve_policy = (const gv_reserve_policy_t *)GvRegistry_Find(
        GV_PLUGIN_RESERVE, GV_STR("hysteresis"));
    g_assert(m->wave_policy != NULL && m->reserve_policy != NULL);
    m->holds = times_new();
    m->due = times_new();
    m->sent = times_new();
    m->health = times_new();
    m->demands = times_new();
    m->loads = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                     (GDestroyNotify)g_array_unref);
    m->others = g_ptr_array_new_with_free_func(g_free);
    pthread_mutex_init(&m->lock, NULL);
    *out = m;
    m->runs = pthread_create(&m->thread, NULL, maintain_thread, m) == 0;
    return m->runs ? GV_OK : GV_EIO;
}

/* Ends the thread after its present round. */
void
GvMaintain_Stop(gv_maintain_t *m)
{
    if (m != NULL && m->runs) {
        atomic_store(&m->stop, true);
        pthread_join(m->thread, NULL);
        m->runs = false;
    }
}

/* Frees the module; no callback may come any more. */
void
GvMaintain_Free(gv_maintain_t *m)
{
    if (m == NULL) {
        return;
    }
    GvPlatform_Free(m->platform);
    GvHostList_Clear(&m->list);
    g_hash_table_destroy(m->holds);
    g_hash_table_destroy(m->due);
    g_hash_table_destroy(m->sent);
    g_hash_table_destroy(m->health);
    g_hash_table_destroy(m->demands);
    g_hash_table_destroy(m->loads);
    g_ptr_array_free(m->others, TRUE);
    pthread_mutex_destroy(&m->lock);
    g_free(m);
}

/* Keeps the part of the list that concerns this entry host: targets of its
   data centre, targets elsewhere that are gone, and entry hosts, which have no
   slots. */
void
GvMaintain_OnList(gv_maintain_t *m, const gv_hostlist_t *list)
{
    gv_hostlist_t own = {.version = list->version};
    own.hosts = g_new0(gv_listed_host_t, list->n + 1);
    for (int i = 0; i < list->n; i++) {
        const gv_listed_host_t *h = &list->hosts[i];
        if (h->slots > 0 && h->state != GV_LISTED_GONE &&
            !GvStr_Equal(h->dc, m->k->conf.dc)) {
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
    gv_hostlist_t old = m->list;
    m->list = own;
    pthread_mutex_unlock(&m->lock);
    GvHostList_Clear(&old);
}
