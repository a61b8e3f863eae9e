#include <string.h>

#include "counter.h"
#include "error.h"
#include "evlog.h"
#include "limits.h"
#include "pool_private.h"

GV_COUNTER(host_orders_refused, "host_orders_refused_total",
           "Moves and maintenance of hosts that the platform refused");

static void
free_host(gpointer q)
{
    gv_host_t *h = q;
    g_free(h->id);
    g_free(h->pool);
    g_free(h->target);
    g_queue_clear_full(&h->former, g_free);
    g_free(h->old_target);
    g_free(h->reserved);
    g_free(h->to_pool);
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
    g_free(w->host_states);
    g_free(w);
}

/* Returns pools without hosts, services or waves. */
gv_pools_t *
GvPools_New(const gv_pool_opts_t *o)
{
    gv_pools_t *p = g_new0(gv_pools_t, 1);
    p->opts = *o;
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

/* Returns the host with that identifier, or NULL. */
gv_host_t *
GvPools_FindHost(const gv_pools_t *p, const char *id)
{
    return g_hash_table_lookup(p->hosts, id);
}

/* Returns true if a host may be given an order: none of an earlier scheduler
   can still be under way. That holds from first_order_ms on. Before, it holds
   for a host whose target is older than GV_POOL_TARGET_MIN_AGE_MS: an order
   ends with a new target on the host, so an old one shows that none was given
   lately. */
bool
GvPools_MayOrder(const gv_pools_t *p, const gv_host_t *h, int64_t now_ms,
                 int64_t wall_ms)
{
    if (now_ms >= p->opts.first_order_ms) {
        return true;
    }
    int64_t born =
        h->target == NULL
            ? 0
            : GvSched_TargetStartMs(p->opts.sched, GvStr_C(h->target));
    return born > 0 && wall_ms - born > GV_POOL_TARGET_MIN_AGE_MS;
}

/* Returns true if the hosts of a pool are off and cost nothing. */
bool
GvPools_IsStandby(const gv_pools_t *p, const char *pool)
{
    return GPOINTER_TO_INT(g_hash_table_lookup(p->services, pool)) == 2;
}

/* Replaces the services; each has a pool of its own name. */
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

/* Replaces a string; NULL stands for the empty one. */
static void
set_text(char **at, gv_str_t text)
{
    if (*at != NULL && GvStr_Equal(GvStr_C(*at), text)) {
        return;
    }
    g_free(*at);
    *at = text.n == 0 ? NULL : g_strndup(text.p, text.n);
}

/* Lets the target that was reserved for a host's operation get tasks again. */
static void
release_target(const gv_pools_t *p, gv_host_t *h)
{
    if (h->reserved != NULL) {
        GvSched_Reserve(p->opts.sched, GvStr_C(h->reserved), false);
        g_clear_pointer(&h->reserved, g_free);
    }
}

/* Keeps tasks away from the target of a host that is being emptied or has an
   order without a result: also from a new target, which an earlier order that
   got no answer may have brought. */
static void
reserve_target(const gv_pools_t *p, gv_host_t *h)
{
    if (h->target == NULL || (h->operation != GV_OPERATION_EMPTYING &&
                              h->operation != GV_OPERATION_ORDERED)) {
        return;
    }
    if (g_strcmp0(h->reserved, h->target) != 0) {
        release_target(p, h);
        h->reserved = g_strdup(h->target);
    }
    GvSched_Reserve(p->opts.sched, GvStr_C(h->target), true);
}

/* Sets the target of a host and remembers the one before. */
static void
set_target(gv_host_t *h, gv_str_t target)
{
    if (h->target != NULL && !GvStr_Equal(GvStr_C(h->target), target)) {
        g_queue_push_tail(&h->former, g_strdup(h->target));
        if (h->former.length > GV_POOL_FORMER_MAX) {
            g_free(g_queue_pop_head(&h->former));
        }
    }
    set_text(&h->target, target);
}

/* Returns true if a target was on a host before the present one. It can only
   be there again if the host was down meanwhile: it is then restarted. */
static bool
is_former(const gv_host_t *h, gv_str_t target)
{
    bool down = h->target == NULL && h->operation != GV_OPERATION_AWAY;
    if (down ||
        (h->target != NULL && GvStr_Equal(GvStr_C(h->target), target))) {
        return false;
    }
    for (const GList *l = h->former.head; l != NULL; l = l->next) {
        if (GvStr_Equal(GvStr_C(l->data), target)) {
            return true;
        }
    }
    return false;
}

/* Ends the operation of a host that was away. */
static void
end_absence(gv_pools_t *p, gv_host_t *h, int64_t now_ms)
{
    GvEvlog_Write("host", "host=%s back pool=%s target=%s away_ms=%lld", h->id,
                  h->pool, h->target == NULL ? "" : h->target,
                  (long long)(now_ms - h->since_ms));
    h->state = GV_HOST_UP;
    GvPools_EndOperation(p, h);
}

/* Notes on which host a target runs, as its entry says, and when it started.
   To be called when the entry was read and when the target has answered:
   before it has, the entry may come from another writer and says nothing. A
   host that was away is up again if the target is a new one. Entries of
   targets that have ended may be read again at any time: that of a former
   target, or of one that started before the newest known, says nothing either.
 */
void
GvPools_CheckTarget(gv_pools_t *p, gv_str_t target, int64_t now_ms)
{
    const gv_target_info_t *entry =
        GvSched_AnsweredEntry(p->opts.sched, target);
    gv_host_t *h = entry == NULL || entry->host.n == 0
                       ? NULL
                       : GvPools_FindHost(p, entry->host.p);
    if (h == NULL || entry->started_ms < h->started_ms ||
        is_former(h, target)) {
        return;
    }
    if (h->operation == GV_OPERATION_AWAY && h->old_target != NULL &&
        GvStr_Equal(GvStr_C(h->old_target), target)) {
        return; /* reported by the target that has been stopped */
    }
    h->started_ms = entry->started_ms;
    if (h->target == NULL || !GvStr_Equal(GvStr_C(h->target), target)) {
        h->entered_ms = now_ms;
    }
    set_target(h, target);
    set_text(&h->pool, entry->service);
    reserve_target(p, h);
    if (h->operation == GV_OPERATION_AWAY) {
        end_absence(p, h, now_ms);
    }
}

/* Sets the target of a host that a list has named; empty for none. */
static void
set_listed_target(gv_host_t *h, gv_str_t target)
{
    if (h->target == NULL || !GvStr_Equal(GvStr_C(h->target), target)) {
        h->entered_ms = 0;
    }
    set_target(h, target);
}

/* Returns true if the list may be older than the entry of the present target,
   which it does not have. */
static bool
is_list_behind(const gv_pools_t *p, const gv_host_t *h,
               const gv_host_info_t *info)
{
    return h->target != NULL && h->entered_ms != 0 &&
           p->list_sent_ms - h->entered_ms < GV_SCHED_HOST_LIST_LAG_MS &&
           !GvStr_Equal(GvStr_C(h->target), info->target);
}

/* Adds or updates a host from the list. */
static void
update_host(gv_pools_t *p, const gv_host_info_t *info, int64_t now_ms)
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
    h->listed = true;
    h->unnamed = info->state == GV_HOST_UP && info->target.n == 0;
    h->list_behind = is_list_behind(p, h, info);
    if (h->list_behind) {
        return;
    }
    if (h->pool == NULL || !GvStr_Equal(GvStr_C(h->pool), info->pool)) {
        h->pool_since_ms = now_ms;
    }
    if (h->state != info->state &&
        (info->state == GV_HOST_DOWN || h->state == GV_HOST_DOWN)) {
        GvEvlog_Write("host", "host=%s state=%s target=%.*s", h->id,
                      info->state == GV_HOST_DOWN ? "down" : "not down",
                      GV_STR_ARG(info->target));
    }
    set_text(&h->pool, info->pool);
    if (!h->unnamed) {
        set_listed_target(h, info->target);
        reserve_target(p, h);
    }
    /* The list is right where an entry of another writer is not. */
    int64_t started = GvSched_TargetStartMs(p->opts.sched, info->target);
    h->started_ms = started != 0 ? started : h->started_ms;
    h->state = info->state;
    h->cpu = info->cpu > 0 ? info->cpu : h->cpu;
}

/* Passes the scheduler the state of each listed host. */
static void
report_targets(gv_pools_t *p, bool whole, int64_t now_ms)
{
    GHashTableIter it;
    gpointer value;
    GHashTable *now =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        gv_host_t *h = value;
        whole = whole && !(h->listed && h->list_behind);
        if (h->listed && !h->list_behind) {
            bool ordered = h->operation == GV_OPERATION_ORDERED;
            bool up = (ordered || h->state == GV_HOST_UP) && h->target != NULL;
            gv_listed_host_t *listed = g_new0(gv_listed_host_t, 1);
            listed->target = up && !h->unnamed ? h->target : "";
            listed->unnamed = h->unnamed;
            listed->down = h->state == GV_HOST_DOWN;
            listed->ordered = ordered;
            g_hash_table_insert(now, h->id, listed);
        }
    }
    gv_listed_hosts_t list = {now, whole, p->list_sent_ms};
    GvSched_CheckHosts(p->opts.sched, &list, now_ms);
    g_hash_table_destroy(now);
}

/* Ends the absence of a host that is listed as up: with another target, or
   with the same one long after its order was accepted. The platform accepts an
   order that it has carried out before, for an earlier leader, and does
   nothing. */
static void
check_absence(gv_pools_t *p, gv_host_t *h, int64_t now_ms)
{
    if (g_strcmp0(h->target, h->old_target) != 0) {
        if (now_ms - h->since_ms > GV_POOL_LIST_MS) {
            end_absence(p, h, now_ms);
        }
        return;
    }
    if (h->target != NULL &&
        p->list_sent_ms - h->since_ms >= GV_POOL_ORDER_SHOWS_MS) {
        GvEvlog_Write("host", "host=%s has not gone away", h->id);
        end_absence(p, h, now_ms);
    }
}

/* Handles a list of the hosts. Hosts that are missing in a whole one have left
   the fleet. */
void
GvPools_Listed(gv_pools_t *p, const gv_host_info_t *hosts, int n,
               gv_host_list_t list, int64_t now_ms)
{
    bool whole = list == GV_HOST_LIST_WHOLE && n > 0;
    GHashTableIter it;
    gpointer value;
    p->listing = false;
    p->listed_ms = now_ms;
    if (list == GV_HOST_LIST_FAILED) {
        return;
    }
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        ((gv_host_t *)value)->listed = false;
    }
    for (int i = 0; i < n; i++) {
        update_host(p, &hosts[i], now_ms);
    }
    report_targets(p, whole, now_ms);
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        gv_host_t *h = value;
        if (whole && !h->listed && h->operation != GV_OPERATION_ORDERED) {
            GvEvlog_Write("host", "host=%s left the fleet", h->id);
            g_hash_table_iter_remove(&it);
        }
        else if (h->listed && h->operation == GV_OPERATION_AWAY &&
                 h->state == GV_HOST_UP) {
            check_absence(p, h, now_ms);
        }
    }
    p->hosts_known = true;
    p->hosts_whole = whole;
}

/* Begins an operation of a host: a move to to_pool, or maintenance in a wave
   if to_pool is NULL. Its target gets no new tasks. */
void
GvPools_BeginOperation(gv_pools_t *p, gv_host_t *h, int wave,
                       const char *to_pool, int64_t now_ms)
{
    GvEvlog_Write(
        "host", "host=%s operation=%s wave=%d pool=%s to=%s target=%s", h->id,
        to_pool == NULL ? "maintain" : "move", wave, h->pool,
        to_pool == NULL ? "" : to_pool, h->target == NULL ? "" : h->target);
    h->operation = GV_OPERATION_EMPTYING;
    h->wave = wave;
    h->since_ms = now_ms;
    h->next_ms = now_ms;
    g_free(h->to_pool);
    h->to_pool = g_strdup(to_pool);
    reserve_target(p, h);
}

/* Ends a host's operation; its target gets tasks again. */
void
GvPools_EndOperation(gv_pools_t *p, gv_host_t *h)
{
    release_target(p, h);
    h->operation = GV_OPERATION_NONE;
    h->unanswered = false;
    h->wave = 0;
    h->idle_since_ms = 0;
    g_clear_pointer(&h->to_pool, g_free);
    g_clear_pointer(&h->old_target, g_free);
}

/* Returns the number of runs that are left on a host. For maintenance, stops
   runs so that the host becomes empty: short tasks only after
   GV_POOL_WAVE_WAIT_MS, since most end by themselves before. */
static int
runs_left(gv_pools_t *p, const gv_host_t *h, int64_t now_ms)
{
    if (h->target == NULL) {
        return 0;
    }
    bool all = h->wave != 0 && now_ms - h->since_ms > GV_POOL_WAVE_WAIT_MS;
    if (h->to_pool != NULL) {
        return GvSched_CountRuns(p->opts.sched, GvStr_C(h->target));
    }
    return GvSched_Evacuate(p->opts.sched, GvStr_C(h->target), all, now_ms);
}

/* Gives the order for a host once it is empty. A move is given up if runs
   remain after GV_POOL_MOVE_WAIT_MS, and any operation if the host is no
   longer up. */
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
        if (h->to_pool != NULL &&
            now_ms - h->since_ms > GV_POOL_MOVE_WAIT_MS) {
            GvPools_EndOperation(p, h); /* a long task is left running */
        }
        return;
    }
    h->operation = GV_OPERATION_ORDERED;
    g_free(h->old_target);
    h->old_target = g_strdup(h->target);
    if (h->to_pool != NULL) {
        p->opts.ops.move(p->opts.ops.user, h->id, h->to_pool);
    }
    else {
        p->opts.ops.maintain(p->opts.ops.user, h->id, h->wave);
    }
}

/* Returns the time from a refused order for a host to its next one: it doubles
   with each refusal in a row, up to GV_POOL_REFUSED_MAX_MS. */
static int64_t
refusal_wait_ms(const gv_host_t *h)
{
    int64_t wait = GV_POOL_RETRY_MS;
    for (int i = 0; i < h->refusals && wait < GV_POOL_REFUSED_MAX_MS; i++) {
        wait *= 2;
    }
    return MIN(wait, GV_POOL_REFUSED_MAX_MS);
}

/* Handles the result of an order. Returns true if the order was accepted. */
static bool
take_order_result(gv_pools_t *p, gv_host_t *h, gv_pool_result_t r,
                  int64_t now_ms)
{
    static const char *const names[] = {"done",    "fenced", "not-now",
                                        "invalid", "retry",  "unknown"};
    GvEvlog_Write("host", "host=%s order=%s result=%s", h->id,
                  h->to_pool == NULL ? "maintain" : "move", names[r]);
    switch (r) {
    case GV_POOL_DONE:
        h->operation = GV_OPERATION_AWAY;
        h->since_ms = now_ms;
        h->refusals = 0;
        if (h->old_target != NULL) {
            GvSched_EndTarget(p->opts.sched, GvStr_C(h->old_target), now_ms);
        }
        return true;
    case GV_POOL_FENCED:
        p->fenced = true;
        return false;
    case GV_POOL_NOT_NOW:
    case GV_POOL_INVALID:
        p->listed_ms = 0;
        if (h->unanswered) {
            /* The host may be away because of the order before. The list
               shows whether it was. */
            h->operation = GV_OPERATION_AWAY;
            h->since_ms = now_ms;
            return false;
        }
        GvPools_EndOperation(p, h);
        h->next_ms = now_ms + refusal_wait_ms(h);
        h->refusals++;
        GvCounter_Add(&host_orders_refused, 1);
        GvEvlog_Write("host", "host=%s refusals=%d next_in_ms=%lld", h->id,
                      h->refusals, (long long)(h->next_ms - now_ms));
        return false;
    case GV_POOL_RETRY:
    case GV_POOL_UNKNOWN:
        h->unanswered = h->unanswered || r == GV_POOL_UNKNOWN;
        h->operation = GV_OPERATION_EMPTYING;
        h->next_ms = now_ms + GV_POOL_RETRY_MS;
        return false;
    }
    return false;
}

/* Handles the result of a move. */
void
GvPools_Moved(gv_pools_t *p, const char *host, gv_pool_result_t r,
              int64_t now_ms)
{
    gv_host_t *h = GvPools_FindHost(p, host);
    if (h != NULL && h->operation == GV_OPERATION_ORDERED) {
        (void)take_order_result(p, h, r, now_ms);
    }
}

/* Handles the result of an order for maintenance; stores the wave if it was
   accepted. */
void
GvPools_Maintained(gv_pools_t *p, const char *host, int wave,
                   gv_pool_result_t r, int64_t now_ms)
{
    gv_host_t *h = GvPools_FindHost(p, host);
    if (h == NULL || h->operation != GV_OPERATION_ORDERED ||
        !take_order_result(p, h, r, now_ms)) {
        return;
    }
    for (guint i = 0; i < p->waves->len; i++) {
        gv_wave_t *w = g_ptr_array_index(p->waves, i);
        for (int k = 0; w->number == wave && k < w->n_hosts; k++) {
            if (strcmp(w->hosts[k], host) == 0) {
                w->host_states[k] = GV_WAVE_HOST_STARTED;
                GvPools_StoreWave(p, w);
            }
        }
    }
}

/* Returns true if some host is not up or has an operation, or if some target
   with runs does not answer: hosts are then listed more often. */
static bool
any_host_changing(const gv_pools_t *p)
{
    GHashTableIter it;
    gpointer value;
    if (GvSched_CountUnresponsive(p->opts.sched) > 0) {
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

/* Updates since when each host has been up without runs. */
static void
update_idle(gv_pools_t *p, int64_t now_ms)
{
    GHashTableIter it;
    gpointer value;
    gv_target_view_t v;
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        gv_host_t *h = value;
        bool empty = h->target == NULL ||
                     !GvSched_View(p->opts.sched, GvStr_C(h->target), &v) ||
                     v.runs == 0;
        if (!empty || h->state != GV_HOST_UP) {
            h->idle_since_ms = 0;
        }
        else if (h->idle_since_ms == 0) {
            h->idle_since_ms = now_ms;
        }
    }
}

/* Lists hosts when due, plans waves and moves, and gives orders. To be called
   repeatedly. No order is given unless may_order: the store has confirmed
   lately that this process is the leader. */
void
GvPools_Step(gv_pools_t *p, bool may_order, int64_t now_ms, int64_t wall_ms)
{
    GHashTableIter it;
    gpointer value;
    if (!p->listing &&
        (p->listed_ms == 0 || now_ms - p->listed_ms >= GV_POOL_LIST_IDLE_MS ||
         (now_ms - p->listed_ms >= GV_POOL_LIST_MS && any_host_changing(p)))) {
        p->listing = true;
        p->list_sent_ms = now_ms;
        p->opts.ops.list(p->opts.ops.user);
    }
    if (!p->hosts_known || now_ms - p->stepped_ms < GV_POOL_STEP_MS) {
        return;
    }
    p->stepped_ms = now_ms;
    update_idle(p, now_ms);
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
