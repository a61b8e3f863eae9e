#include <string.h>

#include "error.h"
#include "evlog.h"
#include "limits.h"
#include "pool_private.h"

static void
free_host(gpointer q)
{
    gv_host_t *h = q;
    g_free(h->id);
    g_free(h->pool);
    g_free(h->target);
    g_free(h->before);
    g_free(h->to);
    g_free(h);
}

static void
free_wave(gpointer q)
{
    gv_wave_t *w = q;
    for (int i = 0; i < w->n_hosts; i++) {
        g_free(w->hosts[i]);
    }
    g_free(w->hosts);
    g_free(w->turns);
    g_free(w);
}

/* Returns pools that know no host yet. */
gv_pools_t *
GvPools_New(const gv_pool_opts_t *o)
{
    gv_pools_t *p = g_new0(gv_pools_t, 1);
    p->o = *o;
    p->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_host);
    p->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    p->waves = g_ptr_array_new_with_free_func(free_wave);
    return p;
}

void
GvPools_Free(gv_pools_t *p)
{
    g_hash_table_destroy(p->hosts);
    g_hash_table_destroy(p->services);
    g_ptr_array_free(p->waves, TRUE);
    g_free(p);
}

gv_host_t *
GvPools_FindHost(const gv_pools_t *p, const char *id)
{
    return g_hash_table_lookup(p->hosts, id);
}

/* Tells whether a host may be given an order: an earlier scheduler has not
   given it one lately. Its target was started after any such order. */
bool
GvPools_MayOrder(const gv_pools_t *p, const gv_host_t *h, int64_t now_ms,
                 int64_t wall_ms)
{
    if (now_ms >= p->o.first_order_ms) {
        return true;
    }
    int64_t born = h->target == NULL
                       ? 0
                       : GvSched_TargetStartMs(p->o.sched, GvStr_C(h->target));
    return born > 0 && wall_ms - born > GV_POOL_SETTLED_MS;
}

bool
GvPools_IsStandby(const gv_pools_t *p, const char *pool)
{
    return GPOINTER_TO_INT(g_hash_table_lookup(p->services, pool)) == 2;
}

void
GvPools_SetServices(gv_pools_t *p, const gv_service_info_t *services, int n)
{
    g_hash_table_remove_all(p->services);
    for (int i = 0; i < n; i++) {
        g_hash_table_insert(p->services,
                            g_strndup(services[i].name.p, services[i].name.n),
                            GINT_TO_POINTER(services[i].standby ? 2 : 1));
    }
}

static void
set_text(char **at, gv_str_t text)
{
    if (*at != NULL && GvStr_Equal(GvStr_C(*at), text)) {
        return;
    }
    g_free(*at);
    *at = text.n == 0 ? NULL : g_strndup(text.p, text.n);
}

/* Ends the operation of a host that was away. */
static void
come_back(gv_pools_t *p, gv_host_t *h, int64_t now_ms)
{
    GvEvlog_Write("host", "host=%s back pool=%s target=%s away_ms=%lld", h->id,
                  h->pool, h->target == NULL ? "" : h->target,
                  (long long)(now_ms - h->since_ms));
    h->state = GV_HOST_UP;
    GvPools_EndOperation(p, h);
}

/* A target says on which host it runs: a host that was away is back with a
   new target. */
void
GvPools_SetTarget(gv_pools_t *p, gv_str_t host, gv_str_t target, gv_str_t pool,
                  int64_t now_ms)
{
    char *id = g_strndup(host.p, host.n);
    gv_host_t *h = GvPools_FindHost(p, id);
    g_free(id);
    if (h == NULL) {
        return;
    }
    if (h->operation == GV_OPERATION_AWAY && h->before != NULL &&
        GvStr_Equal(GvStr_C(h->before), target)) {
        return; /* written by the life that has ended */
    }
    set_text(&h->target, target);
    set_text(&h->pool, pool);
    if (h->operation == GV_OPERATION_AWAY) {
        come_back(p, h, now_ms);
    }
}

static void
take_host(gv_pools_t *p, const gv_host_info_t *info, int64_t now_ms)
{
    char *id = g_strndup(info->id.p, info->id.n);
    gv_host_t *h = GvPools_FindHost(p, id);
    if (h == NULL) {
        h = g_new0(gv_host_t, 1);
        h->id = id;
        g_hash_table_insert(p->hosts, h->id, h);
    }
    else {
        g_free(id);
    }
    if (h->pool == NULL || !GvStr_Equal(GvStr_C(h->pool), info->pool)) {
        h->arrived_ms = now_ms;
    }
    if (h->state != info->state &&
        (info->state == GV_HOST_DOWN || h->state == GV_HOST_DOWN)) {
        GvEvlog_Write("host", "host=%s state=%s target=%.*s", h->id,
                      info->state == GV_HOST_DOWN ? "down" : "not down",
                      GV_STR_ARG(info->target));
    }
    set_text(&h->pool, info->pool);
    set_text(&h->target, info->target);
    h->state = info->state;
    h->cpu = info->cpu > 0 ? info->cpu : h->cpu;
    h->listed = true;
}

/* Tells the scheduler which target each host has now. */
static void
check_lives(gv_pools_t *p, int64_t now_ms)
{
    GHashTableIter it;
    gpointer value;
    GHashTable *now = g_hash_table_new(g_str_hash, g_str_equal);
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        gv_host_t *h = value;
        if (h->listed && h->operation != GV_OPERATION_ORDERED) {
            bool up = h->state == GV_HOST_UP && h->target != NULL;
            g_hash_table_insert(now, h->id, up ? h->target : "");
        }
    }
    GvSched_CheckHosts(p->o.sched, now, p->asked_ms, now_ms);
    g_hash_table_destroy(now);
}

/* Takes a whole list of hosts; ok false: it could not be read. */
void
GvPools_Listed(gv_pools_t *p, const gv_host_info_t *hosts, int n, bool ok,
               int64_t now_ms)
{
    GHashTableIter it;
    gpointer value;
    p->listing = false;
    p->listed_ms = now_ms;
    if (!ok) {
        return;
    }
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        ((gv_host_t *)value)->listed = false;
    }
    for (int i = 0; i < n; i++) {
        take_host(p, &hosts[i], now_ms);
    }
    check_lives(p, now_ms);
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        gv_host_t *h = value;
        if (!h->listed && h->operation != GV_OPERATION_ORDERED) {
            GvEvlog_Write("host", "host=%s left the fleet", h->id);
            g_hash_table_iter_remove(&it);
        }
        else if (h->operation == GV_OPERATION_AWAY && h->state == GV_HOST_UP &&
                 now_ms - h->since_ms > GV_POOL_LIST_MS &&
                 g_strcmp0(h->target, h->before) != 0) {
            come_back(p, h, now_ms);
        }
    }
    p->known = true;
}

/* Gives a host an operation: maintenance in a wave, or a move to another pool.
 */
void
GvPools_BeginOperation(gv_pools_t *p, gv_host_t *h, int wave, const char *to,
                       int64_t now_ms)
{
    GvEvlog_Write("host",
                  "host=%s operation=%s wave=%d pool=%s to=%s target=%s",
                  h->id, to == NULL ? "maintain" : "move", wave, h->pool,
                  to == NULL ? "" : to, h->target == NULL ? "" : h->target);
    h->operation = GV_OPERATION_EMPTYING;
    h->wave = wave;
    h->since_ms = now_ms;
    h->next_ms = now_ms;
    g_free(h->to);
    h->to = g_strdup(to);
    GvSched_Reserve(p->o.sched, GvStr_C(h->target), true);
}

/* Ends a host's operation; its target gets tasks again. */
void
GvPools_EndOperation(gv_pools_t *p, gv_host_t *h)
{
    GvSched_Reserve(p->o.sched, GvStr_C(h->target), false);
    h->operation = GV_OPERATION_NONE;
    h->wave = 0;
    h->idle_ms = 0;
    g_clear_pointer(&h->to, g_free);
    g_clear_pointer(&h->before, g_free);
}

/* Returns the number of runs that are left on a host. */
static int
runs_left(gv_pools_t *p, const gv_host_t *h, int64_t now_ms)
{
    if (h->target == NULL) {
        return 0;
    }
    /* Short tasks may end by themselves for a while. */
    bool all = h->wave != 0 && now_ms - h->since_ms > GV_POOL_PATIENCE_MS;
    if (h->to != NULL) {
        gv_target_view_t v;
        return GvSched_View(p->o.sched, GvStr_C(h->target), &v) ? v.runs : 0;
    }
    return GvSched_Evacuate(p->o.sched, GvStr_C(h->target), all, now_ms);
}

/* Orders the operation of a host that is empty. */
static void
step_host(gv_pools_t *p, gv_host_t *h, int64_t now_ms)
{
    if (h->operation != GV_OPERATION_EMPTYING || now_ms < h->next_ms) {
        return;
    }
    if (h->state != GV_HOST_UP) {
        GvPools_EndOperation(p, h);
        return;
    }
    if (runs_left(p, h, now_ms) > 0) {
        if (h->to != NULL &&
            now_ms - h->since_ms > GV_POOL_EMPTY_PATIENCE_MS) {
            GvPools_EndOperation(p, h); /* a long task is not worth the wait */
        }
        return;
    }
    h->operation = GV_OPERATION_ORDERED;
    g_free(h->before);
    h->before = g_strdup(h->target);
    if (h->to != NULL) {
        p->o.ops.move(p->o.ops.user, h->id, h->to);
    }
    else {
        p->o.ops.maintain(p->o.ops.user, h->id, h->wave);
    }
}

/* Takes the result of an order. Returns true when it is done. */
static bool
ordered(gv_pools_t *p, gv_host_t *h, gv_pool_result_t r, int64_t now_ms)
{
    static const char *const names[] = {"done",    "fenced", "not-now",
                                        "invalid", "retry",  "unknown"};
    GvEvlog_Write("host", "host=%s order=%s result=%s", h->id,
                  h->to == NULL ? "maintain" : "move", names[r]);
    switch (r) {
    case GV_POOL_DONE:
        h->operation = GV_OPERATION_AWAY;
        h->since_ms = now_ms;
        if (h->before != NULL) {
            GvSched_EndTarget(p->o.sched, GvStr_C(h->before), now_ms);
        }
        return true;
    case GV_POOL_FENCED:
        p->fenced = true;
        return false;
    case GV_POOL_NOT_NOW:
    case GV_POOL_INVALID:
        GvPools_EndOperation(p, h);
        h->next_ms = now_ms + GV_POOL_RETRY_MS;
        p->listed_ms = 0;
        return false;
    case GV_POOL_RETRY:
    case GV_POOL_UNKNOWN:
        h->operation = GV_OPERATION_EMPTYING;
        h->next_ms = now_ms + GV_POOL_RETRY_MS;
        return false;
    }
    return false;
}

void
GvPools_Moved(gv_pools_t *p, const char *host, gv_pool_result_t r,
              int64_t now_ms)
{
    gv_host_t *h = GvPools_FindHost(p, host);
    if (h != NULL && h->operation == GV_OPERATION_ORDERED) {
        (void)ordered(p, h, r, now_ms);
    }
}

void
GvPools_Maintained(gv_pools_t *p, const char *host, int wave,
                   gv_pool_result_t r, int64_t now_ms)
{
    gv_host_t *h = GvPools_FindHost(p, host);
    if (h == NULL || h->operation != GV_OPERATION_ORDERED ||
        !ordered(p, h, r, now_ms)) {
        return;
    }
    for (guint i = 0; i < p->waves->len; i++) {
        gv_wave_t *w = g_ptr_array_index(p->waves, i);
        for (int k = 0; w->number == wave && k < w->n_hosts; k++) {
            if (strcmp(w->hosts[k], host) == 0) {
                w->turns[k] = GV_WAVE_HOST_STARTED;
                GvPools_StoreWave(p, w);
            }
        }
    }
}

static bool
busy(const gv_pools_t *p)
{
    GHashTableIter it;
    gpointer value;
    if (GvSched_CountUnresponsive(p->o.sched) > 0) {
        return true;
    }
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const gv_host_t *h = value;
        if (h->operation != GV_OPERATION_NONE || h->state != GV_HOST_UP) {
            return true;
        }
    }
    return false;
}

static void
note_idle(gv_pools_t *p, int64_t now_ms)
{
    GHashTableIter it;
    gpointer value;
    gv_target_view_t v;
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        gv_host_t *h = value;
        bool empty = h->target == NULL ||
                     !GvSched_View(p->o.sched, GvStr_C(h->target), &v) ||
                     v.runs == 0;
        if (!empty || h->state != GV_HOST_UP) {
            h->idle_ms = 0;
        }
        else if (h->idle_ms == 0) {
            h->idle_ms = now_ms;
        }
    }
}

/* Goes on with waves and moves. */
void
GvPools_Step(gv_pools_t *p, bool may_order, int64_t now_ms, int64_t wall_ms)
{
    GHashTableIter it;
    gpointer value;
    int every = busy(p) ? GV_POOL_LIST_MS : GV_POOL_LIST_IDLE_MS;
    if (!p->listing && (p->listed_ms == 0 || now_ms - p->listed_ms >= every)) {
        p->listing = true;
        p->asked_ms = now_ms;
        p->o.ops.list(p->o.ops.user);
    }
    if (!p->known) {
        return;
    }
    note_idle(p, now_ms);
    if (!may_order || p->fenced) {
        return;
    }
    GvPools_StepWaves(p, now_ms, wall_ms);
    GvPools_Plan(p, now_ms, wall_ms);
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        step_host(p, value, now_ms);
    }
}
