#include "prober.h"

#include <limits.h>
#include <pthread.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "error.h"
#include "httpclient.h"
#include "limits.h"
#include "platform.h"
#include "sync.h"

GV_COUNTER(probes, "probes_total", "Health probes sent");
GV_COUNTER(probes_failed, "probes_failed_total",
           "Health probes without a valid report");
GV_COUNTER(old_lists, "host_lists_old_total",
           "Host lists ignored because a newer one was seen");

GV_COUNTER(repeated, "probes_repeated_total",
           "Health probes repeated on a new connection because the kept one "
           "failed");

/* Workers, the prober and the lister. */
#define THREADS (GV_PROBE_THREADS + 2)

typedef struct {
    gv_str_t host;
    gv_str_t addr;
    bool busy;      /* a probe is in progress */
    int64_t due_ms; /* of the next probe */
    /* Kept connection of the periodic probes, NULL before the first one. The
       copy that is being probed has it while the target is busy. */
    gv_http_client_t *http;
    int64_t opened_ms;
} target_t;

/* One change to report, with owned strings. */
typedef struct {
    gv_str_t host;
    gv_str_t boot;
    bool healthy;
    bool leaving;
    int running;
} change_t;

struct gv_prober_s {
    gv_prober_opts_t opts;
    pthread_t prober;
    pthread_t lister;
    pthread_t workers[GV_PROBE_THREADS];
    int n_threads; /* started: workers, prober, lister */
    /* Keeps the calls of on_health in the order of the changes. It is taken
       before `lock` is released, and held during the calls. */
    pthread_mutex_t tell;
    pthread_mutex_t lock; /* covers everything below */
    pthread_cond_t change;
    bool stopping;
    gv_health_table_t *table;
    pthread_cond_t work; /* jobs or stopping */
    GQueue jobs;         /* of target_t: copies to be probed */
    GArray *changes;     /* of change_t, collected under the lock */
    GHashTable *targets; /* name -> target_t */
    gv_str_t *members;
    int n_members;
    uint64_t list_version;
};

/* Releases a target and its strings. */
static void
free_target(gpointer p)
{
    target_t *t = p;
    GvStr_Free(&t->host);
    GvStr_Free(&t->addr);
    GvHttp_Free(t->http);
    g_free(t);
}

/* Closes a kept connection. */
static void
free_client(gpointer http)
{
    GvHttp_Free(http);
}

/* Collects a change; called by the table under the lock. */
static void
on_changed(void *user, const gv_health_view_t *v)
{
    gv_prober_t *p = user;
    change_t c = {GvStr_Dup(v->host), GvStr_Dup(v->boot), v->healthy,
                  v->leaving, v->running};
    g_array_append_val(p->changes, c);
}

/* Releases the lock and reports the changes collected meanwhile. */
static void
unlock_and_tell(gv_prober_t *p)
{
    GArray *changes = p->changes;
    p->changes = g_array_new(FALSE, FALSE, sizeof(change_t));
    pthread_mutex_lock(&p->tell);
    pthread_mutex_unlock(&p->lock);
    for (guint i = 0; i < changes->len; i++) {
        change_t *c = &g_array_index(changes, change_t, i);
        p->opts.on_health(p->opts.user, c->host, c->boot, c->healthy,
                          c->leaving, c->running);
        GvStr_Free(&c->host);
        GvStr_Free(&c->boot);
    }
    pthread_mutex_unlock(&p->tell);
    g_array_free(changes, TRUE);
}

/* Waits ms or until stopped; the lock is held. Returns false when stopped. */
static bool
pause_locked(gv_prober_t *p, int64_t ms)
{
    gint64 end = g_get_monotonic_time() + ms * 1000;
    while (!p->stopping && GvSync_WaitUntil(&p->change, &p->lock, end)) {
    }
    return !p->stopping;
}

/* Sends one probe with that client. `keep` lets it use a kept connection and
   keep the one that it used. Results as GvProber_Probe. */
static int
ask(gv_http_client_t *c, gv_str_t addr, int timeout_ms, bool keep,
    gv_health_report_t *r)
{
    gv_http_request_t rq = {.addr = addr,
                            .method = GV_STR("GET"),
                            .path = GV_STR("/health"),
                            .idempotent = keep,
                            .timeout_ms = timeout_ms,
                            .idle_ms = INT_MAX,
                            .max_body = GV_BODY_MAX_BYTES};
    gv_http_response_t a;
    int err = GvHttp_Do(c, &rq, &a);
    if (err == GV_OK) {
        gv_str_t text = GvStr_N(a.body->data, a.body->len);
        err = a.status == 200 ? GvHealth_ParseReport(text, r) : GV_EREFUSED;
    }
    GvHttp_ClearResponse(&a);
    GvCounter_Add(&probes, 1);
    GvCounter_Add(&probes_failed, err != GV_OK ? 1 : 0);
    return err;
}

/* Probes a target once; see the header. */
int
GvProber_Probe(gv_str_t addr, int timeout_ms, gv_health_report_t *r)
{
    gv_http_client_t *c = GvHttp_New();
    int err = ask(c, addr, timeout_ms, false, r);
    GvHttp_Free(c);
    return err;
}

/* Makes the periodic probe. A failure on a kept connection alone says nothing
   about the target, so the probe is repeated at once on a new one. Returns
   how many probes the target failed. A kept connection that timed out counts
   when the new one fails too; one that broke does not, because the repetition
   follows within the same moment. */
static int
probe_kept(target_t *t, int renew_ms, gv_health_report_t *r)
{
    int failures = 0;
    if (t->http == NULL) {
        t->http = GvHttp_New();
    }
    int64_t now_ms = GvClock_MonoMs();
    if (now_ms - t->opened_ms >= renew_ms) {
        GvHttp_Close(t->http);
    }
    bool kept = GvHttp_IsOpen(t->http);
    t->opened_ms = kept ? t->opened_ms : now_ms;
    int err = ask(t->http, t->addr, GV_PROBE_TIMEOUT_MS, true, r);
    if (err != GV_OK && kept) {
        failures = err == GV_ETIMEDOUT ? 1 : 0;
        GvCounter_Add(&repeated, 1);
        GvHttp_Close(t->http);
        t->opened_ms = GvClock_MonoMs();
        err = ask(t->http, t->addr, GV_PROBE_TIMEOUT_MS, true, r);
    }
    if (err == GV_OK) {
        return 0;
    }
    GvHttp_Close(t->http);
    return failures + 1;
}

/* Tells whether this entry host probes the target; the lock is held. */
static bool
is_own(const gv_prober_t *p, const target_t *t)
{
    return GvHealth_IsProber(t->host, p->opts.self, p->members, p->n_members);
}

/* Queues a probe of a target, with its kept connection; the lock is held. */
static void
queue_probe(gv_prober_t *p, target_t *t)
{
    target_t *copy = g_new0(target_t, 1);
    copy->host = GvStr_Dup(t->host);
    copy->addr = GvStr_Dup(t->addr);
    copy->http = g_steal_pointer(&t->http);
    copy->opened_ms = t->opened_ms;
    t->busy = true;
    t->due_ms = GvClock_MonoMs() + GV_PROBE_INTERVAL_MS;
    g_queue_push_tail(&p->jobs, copy);
}

/* Probes a copy of a target and applies the result. */
static void
probe_target(gv_prober_t *p, target_t *copy)
{
    gv_health_report_t r;
    int failures = probe_kept(copy, p->opts.renew_ms, &r);
    pthread_mutex_lock(&p->lock);
    target_t *t = g_hash_table_lookup(p->targets, copy->host.p);
    if (t != NULL && GvStr_Equal(t->addr, copy->addr)) {
        t->busy = false;
        if (t->http == NULL) {
            t->http = g_steal_pointer(&copy->http);
            t->opened_ms = copy->opened_ms;
        }
        if (failures == 0) {
            GvHealth_OnProbe(p->table, t->host, &r);
        }
        else {
            t->due_ms -= GV_PROBE_INTERVAL_MS - GV_PROBE_RETRY_MS;
        }
        for (int i = 0; i < failures; i++) {
            GvHealth_OnProbe(p->table, t->host, NULL);
        }
    }
    unlock_and_tell(p);
}

/* Takes jobs until the prober stops. */
static void *
work_loop(void *user)
{
    gv_prober_t *p = user;
    pthread_mutex_lock(&p->lock);
    while (!p->stopping) {
        target_t *copy = g_queue_pop_head(&p->jobs);
        if (copy == NULL) {
            pthread_cond_wait(&p->work, &p->lock);
            continue;
        }
        pthread_mutex_unlock(&p->lock);
        probe_target(p, copy);
        free_target(copy);
        pthread_mutex_lock(&p->lock);
    }
    pthread_mutex_unlock(&p->lock);
    return NULL;
}

/* Starts a probe of each target in this entry host's share that is due and not
   being probed; the lock is held. Connections to targets that another entry
   host probes now are added to `unused`. */
static void
start_probes(gv_prober_t *p, GPtrArray *unused)
{
    /* A wait may end a little early; that must not cost a whole turn. */
    int64_t soon_ms = GvClock_MonoMs() + GV_PROBE_RETRY_MS / 2;
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, p->targets);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        target_t *t = value;
        if (t->busy) {
            continue;
        }
        if (!is_own(p, t)) {
            t->due_ms = 0;
            if (t->http != NULL) {
                g_ptr_array_add(unused, g_steal_pointer(&t->http));
            }
        }
        else if (t->due_ms <= soon_ms) {
            queue_probe(p, t);
        }
    }
    pthread_cond_broadcast(&p->work);
}

/* Thread: hands out the probes that are due every GV_PROBE_RETRY_MS. */
static void *
probe_loop(void *user)
{
    gv_prober_t *p = user;
    GPtrArray *unused = g_ptr_array_new_with_free_func(free_client);
    pthread_mutex_lock(&p->lock);
    while (!p->stopping) {
        start_probes(p, unused);
        pthread_mutex_unlock(&p->lock);
        g_ptr_array_set_size(unused, 0);
        pthread_mutex_lock(&p->lock);
        pause_locked(p, GV_PROBE_RETRY_MS);
    }
    pthread_mutex_unlock(&p->lock);
    g_ptr_array_free(unused, TRUE);
    return NULL;
}

/* Forgets hosts that neither the list nor the targets name; the lock is
   held. */
static void
forget_others(gv_prober_t *p, const gv_hostlist_t *list)
{
    guint known = g_hash_table_size(p->targets);
    gv_str_t *names = g_new0(gv_str_t, (gsize)list->n + known + 1);
    int n = 0;
    for (; n < list->n; n++) {
        names[n] = list->hosts[n].host;
    }
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, p->targets);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        names[n++] = ((target_t *)value)->host;
    }
    GvHealth_RetainHosts(p->table, names, n);
    g_free(names);
}

/* Applies a list that was read; an older one is ignored. */
static void
apply_list(gv_prober_t *p, const gv_hostlist_t *list)
{
    pthread_mutex_lock(&p->lock);
    bool newer = GvHealth_OnList(p->table, list);
    bool old = !newer && list->version < p->list_version;
    if (newer) {
        p->list_version = list->version;
        forget_others(p, list);
    }
    unlock_and_tell(p);
    GvCounter_Add(&old_lists, old ? 1 : 0);
    if (newer && p->opts.on_list != NULL) {
        p->opts.on_list(p->opts.user, list);
    }
}

/* Thread: reads the host list about every GV_HOSTLIST_INTERVAL_MS. */
static void *
list_loop(void *user)
{
    gv_prober_t *p = user;
    gv_platform_t *platform = GvPlatform_New(p->opts.platform_addr);
    bool more = true;
    while (more) {
        gv_hostlist_t list;
        uint64_t known = GvProber_ListVersion(p);
        if (GvPlatform_HostsSince(platform, known, &list) == GV_OK) {
            apply_list(p, &list);
            GvHostList_Clear(&list);
        }
        pthread_mutex_lock(&p->lock);
        /* The jitter spreads the entry hosts' reads. */
        int64_t jitter = g_random_int_range(0, GV_HOSTLIST_INTERVAL_MS / 4);
        more = pause_locked(p, GV_HOSTLIST_INTERVAL_MS + jitter);
        pthread_mutex_unlock(&p->lock);
    }
    GvPlatform_Free(platform);
    return NULL;
}

/* Releases the names of the members. */
static void
free_members(gv_prober_t *p)
{
    for (int i = 0; i < p->n_members; i++) {
        GvStr_Free(&p->members[i]);
    }
    g_free(p->members);
}

/* Starts thread number i: workers, then the prober, then the lister. */
static int
start_thread(gv_prober_t *p, int i)
{
    if (i < GV_PROBE_THREADS) {
        return pthread_create(&p->workers[i], NULL, work_loop, p);
    }
    return i == GV_PROBE_THREADS
               ? pthread_create(&p->prober, NULL, probe_loop, p)
               : pthread_create(&p->lister, NULL, list_loop, p);
}

/* Starts the threads. Returns 0, or GV_EIO when one cannot be started. */
int
GvProber_Start(const gv_prober_opts_t *o, gv_prober_t **out)
{
    gv_prober_t *p = g_new0(gv_prober_t, 1);
    p->opts = *o;
    p->opts.platform_addr = GvStr_Dup(o->platform_addr);
    p->opts.self = GvStr_Dup(o->self);
    p->opts.renew_ms = o->renew_ms > 0 ? o->renew_ms : GV_PROBE_RENEW_MS;
    pthread_mutex_init(&p->tell, NULL);
    pthread_mutex_init(&p->lock, NULL);
    GvSync_InitCond(&p->change);
    GvSync_InitCond(&p->work);
    g_queue_init(&p->jobs);
    p->table = GvHealth_New(on_changed, p);
    p->changes = g_array_new(FALSE, FALSE, sizeof(change_t));
    p->targets =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_target);
    while (p->n_threads < THREADS && start_thread(p, p->n_threads) == 0) {
        p->n_threads++;
    }
    if (p->n_threads < THREADS) {
        GvProber_Stop(p);
        return GV_EIO;
    }
    *out = p;
    return GV_OK;
}

/* Lets the threads end; does not wait. To be called before Stop when the
   threads of several modules are to end at the same time. */
void
GvProber_RequestStop(gv_prober_t *p)
{
    pthread_mutex_lock(&p->lock);
    p->stopping = true;
    pthread_cond_broadcast(&p->change);
    pthread_cond_broadcast(&p->work);
    pthread_mutex_unlock(&p->lock);
}

/* Stops the threads and releases p. Waits for probes and a list read in
   progress, at most GV_PLATFORM_TIMEOUT_MS. */
void
GvProber_Stop(gv_prober_t *p)
{
    GvProber_RequestStop(p);
    for (int i = 0; i < p->n_threads; i++) {
        pthread_join(i < GV_PROBE_THREADS    ? p->workers[i]
                     : i == GV_PROBE_THREADS ? p->prober
                                             : p->lister,
                     NULL);
    }
    g_queue_clear_full(&p->jobs, free_target);
    GvHealth_Free(p->table);
    g_array_free(p->changes, TRUE);
    g_hash_table_destroy(p->targets);
    free_members(p);
    GvStr_Free(&p->opts.platform_addr);
    GvStr_Free(&p->opts.self);
    pthread_mutex_destroy(&p->tell);
    pthread_mutex_destroy(&p->lock);
    pthread_cond_destroy(&p->change);
    pthread_cond_destroy(&p->work);
    g_free(p);
}

/* Replaces the targets; a known one keeps its state. The state of a new one,
   as the list or peers reported it before, is passed to on_health. */
void
GvProber_SetTargets(gv_prober_t *p, const gv_probe_target_t *targets, int n)
{
    GHashTable *fresh =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_target);
    pthread_mutex_lock(&p->lock);
    GHashTable *former = p->targets;
    for (int i = 0; i < n; i++) {
        target_t *t = g_new0(target_t, 1);
        t->host = GvStr_Dup(targets[i].host);
        t->addr = GvStr_Dup(targets[i].addr);
        target_t *old = g_hash_table_lookup(former, t->host.p);
        if (old != NULL && GvStr_Equal(old->addr, t->addr)) {
            t->busy = old->busy;
            t->due_ms = old->due_ms;
            t->http = g_steal_pointer(&old->http);
            t->opened_ms = old->opened_ms;
        }
        gv_health_view_t v;
        if (old == NULL && GvHealth_Get(p->table, t->host, &v)) {
            on_changed(p, &v);
        }
        g_hash_table_replace(fresh, (char *)t->host.p, t);
    }
    p->targets = fresh;
    unlock_and_tell(p);
    g_hash_table_destroy(former);
}

/* Replaces the live members; see the header. */
void
GvProber_SetMembers(gv_prober_t *p, const gv_str_t *members, int n)
{
    pthread_mutex_lock(&p->lock);
    free_members(p);
    p->members = g_new0(gv_str_t, (gsize)n + 1);
    p->n_members = n;
    for (int i = 0; i < n; i++) {
        p->members[i] = GvStr_Dup(members[i]);
    }
    pthread_mutex_unlock(&p->lock);
}

/* Applies a peer's reports; see the header. */
void
GvProber_OnPeer(gv_prober_t *p, gv_str_t from, uint64_t incarnation,
                const gv_health_t *health, int n)
{
    pthread_mutex_lock(&p->lock);
    for (int i = 0; i < n; i++) {
        GvHealth_OnPeer(p->table, from, incarnation, &health[i]);
    }
    unlock_and_tell(p);
}

/* Copies what this process knows first hand; see the header. */
void
GvProber_ListOwnReports(gv_prober_t *p, uint64_t since, GArray *out)
{
    guint from = out->len;
    pthread_mutex_lock(&p->lock);
    GvHealth_ListOwnReports(p->table, since, out);
    for (guint i = from; i < out->len; i++) {
        gv_health_t *h = &g_array_index(out, gv_health_t, i);
        h->host = GvStr_Dup(h->host);
        h->boot = GvStr_Dup(h->boot);
    }
    pthread_mutex_unlock(&p->lock);
}

/* Releases the strings of an array of gv_health_t and empties it. */
void
GvProber_ClearHealth(GArray *health)
{
    for (guint i = 0; i < health->len; i++) {
        gv_health_t *h = &g_array_index(health, gv_health_t, i);
        GvStr_Free(&h->host);
        GvStr_Free(&h->boot);
    }
    g_array_set_size(health, 0);
}

/* Copies the state of a target without its strings; see the header. */
bool
GvProber_Get(gv_prober_t *p, gv_str_t host, gv_health_view_t *v)
{
    pthread_mutex_lock(&p->lock);
    bool found = GvHealth_Get(p->table, host, v);
    pthread_mutex_unlock(&p->lock);
    if (found) {
        v->host = GV_STR("");
        v->boot = GV_STR("");
    }
    return found;
}

/* Returns the newest list version seen. */
uint64_t
GvProber_ListVersion(gv_prober_t *p)
{
    pthread_mutex_lock(&p->lock);
    uint64_t version = p->list_version;
    pthread_mutex_unlock(&p->lock);
    return version;
}
