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
GV_COUNTER(lists_ignored, "host_lists_old_total",
           "Host lists ignored because a newer one was seen");

GV_COUNTER(probes_repeated, "probes_repeated_total",
           "Health probes repeated on a new connection because the kept one "
           "failed");

/* The workers, the thread that queues probes and the one that reads lists. */
#define THREADS (GV_PROBE_THREADS + 2)

/* A target, or the copy of one that a worker probes. */
typedef struct {
    gv_str_t host;
    gv_str_t addr;
    bool busy;      /* a probe is queued or in progress */
    int64_t due_ms; /* time of the next probe */
    /* Client with the kept connection of the periodic probes, NULL before the
       first one. While the target is busy, its copy has the client. */
    gv_http_client_t *http;
    int64_t opened_ms; /* when the kept connection was opened */
} target_t;

/* Arguments of a call of on_health; the strings are owned. */
typedef struct {
    gv_str_t host;
    gv_str_t boot;
    bool healthy;
    bool leaving;
    int running;
} change_t;

struct gv_prober_s {
    gv_prober_opts_t opts;
    pthread_t probe_thread;
    pthread_t list_thread;
    pthread_t workers[GV_PROBE_THREADS];
    int n_threads; /* started; in the order of start_thread */
    /* Keeps the calls of on_health in the order of the changes: it is locked
       before `lock` is unlocked, and held during the calls. */
    pthread_mutex_t report_lock;
    pthread_mutex_t lock;     /* for all fields below */
    pthread_cond_t stop_cond; /* stopping was set */
    bool stopping;
    gv_health_table_t *table;
    pthread_cond_t work_cond; /* a job was added or stopping was set */
    GQueue jobs;              /* of target_t: copies to be probed */
    GArray *changes;          /* of change_t, not yet reported */
    GHashTable *targets;      /* name -> target_t */
    gv_str_t *members;        /* names of the live entry hosts */
    int n_members;
    uint64_t list_version; /* of the newest list read */
};

/* Frees a target_t with its strings and its connection. */
static void
free_target(gpointer p)
{
    target_t *t = p;
    GvStr_Free(&t->host);
    GvStr_Free(&t->addr);
    GvHttp_Free(t->http);
    g_free(t);
}

/* Frees a client, which closes its kept connection. */
static void
free_client(gpointer http)
{
    GvHttp_Free(http);
}

/* Adds a change to those to be reported. Called by the table with the lock
   held. */
static void
on_changed(void *user, const gv_health_view_t *v)
{
    gv_prober_t *p = user;
    change_t c = {GvStr_Dup(v->host), GvStr_Dup(v->boot), v->healthy,
                  v->leaving, v->running};
    g_array_append_val(p->changes, c);
}

/* Unlocks `lock` and calls on_health for each change collected while it was
   held. */
static void
unlock_and_report(gv_prober_t *p)
{
    GArray *changes = p->changes;
    p->changes = g_array_new(FALSE, FALSE, sizeof(change_t));
    pthread_mutex_lock(&p->report_lock);
    pthread_mutex_unlock(&p->lock);
    for (guint i = 0; i < changes->len; i++) {
        change_t *c = &g_array_index(changes, change_t, i);
        p->opts.on_health(p->opts.user, c->host, c->boot, c->healthy,
                          c->leaving, c->running);
        GvStr_Free(&c->host);
        GvStr_Free(&c->boot);
    }
    pthread_mutex_unlock(&p->report_lock);
    g_array_free(changes, TRUE);
}

/* Waits for ms milliseconds or until the prober is stopping; the lock is held.
   Returns false if the prober is stopping. */
static bool
pause_locked(gv_prober_t *p, int64_t ms)
{
    gint64 end = g_get_monotonic_time() + ms * 1000;
    while (!p->stopping && GvSync_WaitUntil(&p->stop_cond, &p->lock, end)) {
    }
    return !p->stopping;
}

/* Sends one probe. With `keep` it may use the client's kept connection and
   keeps the one that it used. Returns as GvProber_Probe. */
static int
send_probe(gv_http_client_t *c, gv_str_t addr, int timeout_ms, bool keep,
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
    int err = send_probe(c, addr, timeout_ms, false, r);
    GvHttp_Free(c);
    return err;
}

/* Makes the periodic probe and returns how many probes the target failed. The
   fault may lie in a kept connection, so a probe that fails on one is repeated
   at once on a new one. If the second one succeeds, the result is 0. If it
   fails too, the first one counts only if it timed out: after a broken
   connection the second follows within moments, and both show one failure. */
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
    int err = send_probe(t->http, t->addr, GV_PROBE_TIMEOUT_MS, true, r);
    if (err != GV_OK && kept) {
        failures = err == GV_ETIMEDOUT ? 1 : 0;
        GvCounter_Add(&probes_repeated, 1);
        GvHttp_Close(t->http);
        t->opened_ms = GvClock_MonoMs();
        err = send_probe(t->http, t->addr, GV_PROBE_TIMEOUT_MS, true, r);
    }
    if (err == GV_OK) {
        return 0;
    }
    GvHttp_Close(t->http);
    return failures + 1;
}

/* Returns true if this entry host is the one that probes the target; the lock
   is held. */
static bool
is_own(const gv_prober_t *p, const target_t *t)
{
    return GvHealth_IsProber(t->host, p->opts.self, p->members, p->n_members);
}

/* Queues a copy of the target for a worker, with its kept connection, and sets
   the time of the next probe; the lock is held. */
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

/* Probes the copy of a target and applies the result to the target, unless it
   was removed or its address changed meanwhile. The next probe is due
   GV_PROBE_INTERVAL_MS after this one was queued, or GV_PROBE_RETRY_MS if it
   failed. */
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
    unlock_and_report(p);
}

/* Worker thread: probes queued targets until the prober stops. */
static void *
work_loop(void *user)
{
    gv_prober_t *p = user;
    pthread_mutex_lock(&p->lock);
    while (!p->stopping) {
        target_t *copy = g_queue_pop_head(&p->jobs);
        if (copy == NULL) {
            pthread_cond_wait(&p->work_cond, &p->lock);
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

/* Queues a probe of each target that this entry host probes, that is due and
   that is not busy; the lock is held. Kept connections to targets that another
   entry host probes now are added to `unused`. */
static void
start_probes(gv_prober_t *p, GPtrArray *unused)
{
    /* The thread's wait may end a little early. A probe that is almost due
       must not be put off until the thread runs again, GV_PROBE_RETRY_MS
       later. */
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
    pthread_cond_broadcast(&p->work_cond);
}

/* Thread: queues the probes that are due, every GV_PROBE_RETRY_MS. */
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

/* Removes from the table the hosts that are neither in the list nor among the
   targets; the lock is held. */
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

/* Applies a list that was read, unless one of the same or a higher version was
   applied before. */
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
    unlock_and_report(p);
    GvCounter_Add(&lists_ignored, old ? 1 : 0);
    if (newer && p->opts.on_list != NULL) {
        p->opts.on_list(p->opts.user, list);
    }
}

/* Thread: reads the host list, with a pause of GV_HOSTLIST_INTERVAL_MS to 1.25
   times that between two reads. */
static void *
list_loop(void *user)
{
    gv_prober_t *p = user;
    gv_platform_t *platform = GvPlatform_New(p->opts.platform_addr);
    bool more = true;
    while (more) {
        gv_hostlist_t list;
        uint64_t known = GvProber_ListVersion(p);
        int64_t asked_ms = GvClock_MonoMs();
        int rc = GvPlatform_HostsSince(platform, known, &list);
        if (rc == GV_OK) {
            list.asked_ms = asked_ms;
            apply_list(p, &list);
            GvHostList_Clear(&list);
        }
        else if (rc == GV_PLATFORM_UNCHANGED &&
                 p->opts.on_list_current != NULL) {
            p->opts.on_list_current(p->opts.user, asked_ms);
        }
        pthread_mutex_lock(&p->lock);
        /* The jitter keeps the entry hosts from reading at the same time. */
        int64_t jitter = g_random_int_range(0, GV_HOSTLIST_INTERVAL_MS / 4);
        more = pause_locked(p, GV_HOSTLIST_INTERVAL_MS + jitter);
        pthread_mutex_unlock(&p->lock);
    }
    GvPlatform_Free(platform);
    return NULL;
}

/* Frees the names of the members. */
static void
free_members(gv_prober_t *p)
{
    for (int i = 0; i < p->n_members; i++) {
        GvStr_Free(&p->members[i]);
    }
    g_free(p->members);
}

/* Starts thread number i: the workers come first, then the thread that queues
   probes, then the one that reads lists. Returns 0 or an errno value. */
static int
start_thread(gv_prober_t *p, int i)
{
    if (i < GV_PROBE_THREADS) {
        return pthread_create(&p->workers[i], NULL, work_loop, p);
    }
    return i == GV_PROBE_THREADS
               ? pthread_create(&p->probe_thread, NULL, probe_loop, p)
               : pthread_create(&p->list_thread, NULL, list_loop, p);
}

/* Starts the threads. Returns 0, or GV_EIO if one cannot be started. */
int
GvProber_Start(const gv_prober_opts_t *o, gv_prober_t **out)
{
    gv_prober_t *p = g_new0(gv_prober_t, 1);
    p->opts = *o;
    p->opts.platform_addr = GvStr_Dup(o->platform_addr);
    p->opts.self = GvStr_Dup(o->self);
    p->opts.renew_ms = o->renew_ms > 0 ? o->renew_ms : GV_PROBE_RENEW_MS;
    pthread_mutex_init(&p->report_lock, NULL);
    pthread_mutex_init(&p->lock, NULL);
    GvSync_InitCond(&p->stop_cond);
    GvSync_InitCond(&p->work_cond);
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

/* Makes the threads end, without waiting for them. Called before GvProber_Stop
   if the threads of several modules are to end at the same time. */
void
GvProber_RequestStop(gv_prober_t *p)
{
    pthread_mutex_lock(&p->lock);
    p->stopping = true;
    pthread_cond_broadcast(&p->stop_cond);
    pthread_cond_broadcast(&p->work_cond);
    pthread_mutex_unlock(&p->lock);
}

/* Stops the threads and frees p. Waits for probes and a list read in progress,
   at most GV_PLATFORM_TIMEOUT_MS. */
void
GvProber_Stop(gv_prober_t *p)
{
    GvProber_RequestStop(p);
    for (int i = 0; i < p->n_threads; i++) {
        pthread_join(i < GV_PROBE_THREADS    ? p->workers[i]
                     : i == GV_PROBE_THREADS ? p->probe_thread
                                             : p->list_thread,
                     NULL);
    }
    g_queue_clear_full(&p->jobs, free_target);
    GvHealth_Free(p->table);
    g_array_free(p->changes, TRUE);
    g_hash_table_destroy(p->targets);
    free_members(p);
    GvStr_Free(&p->opts.platform_addr);
    GvStr_Free(&p->opts.self);
    pthread_mutex_destroy(&p->report_lock);
    pthread_mutex_destroy(&p->lock);
    pthread_cond_destroy(&p->stop_cond);
    pthread_cond_destroy(&p->work_cond);
    g_free(p);
}

/* Replaces the targets. One whose address is unchanged keeps its connection
   and the time of its next probe. For a new one on_health is called with the
   state known from the list or from peers, if there is one. */
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
    unlock_and_report(p);
    g_hash_table_destroy(former);
}

/* Replaces the names of the live entry hosts; see the header. */
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

/* Applies the reports in a peer's heartbeat; see the header. */
void
GvProber_OnPeer(gv_prober_t *p, gv_str_t from, uint64_t incarnation,
                const gv_health_t *health, int n)
{
    pthread_mutex_lock(&p->lock);
    for (int i = 0; i < n; i++) {
        GvHealth_OnPeer(p->table, from, incarnation, &health[i]);
    }
    unlock_and_report(p);
}

/* Lists this process's own reports; see the header. */
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

/* Frees the strings of an array of gv_health_t and empties it. */
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

/* Copies the state of a target, with empty strings; see the header. */
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

/* Returns the version of the newest host list read; 0 before the first. */
uint64_t
GvProber_ListVersion(gv_prober_t *p)
{
    pthread_mutex_lock(&p->lock);
    uint64_t version = p->list_version;
    pthread_mutex_unlock(&p->lock);
    return version;
}
