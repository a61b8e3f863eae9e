#include <string.h>

#include "target_private.h"

/* Asks for a fresh probe of the target on a new connection. */
void
GvTarget_RequestProbe(gv_target_t *t)
{
    gv_target_shard_t *sh = GvTarget_Lock(t);
    t->doubt = true;
    GvTargetShard_Unlock(sh);
}

/* Appends the targets in doubt and ends the doubt. */
void
GvTargets_TakeProbeRequests(gv_targets_t *ts, GArray *out)
{
    for (int i = 0; i < GV_SHARDS; i++) {
        GHashTableIter it;
        gpointer value;
        pthread_mutex_lock(&ts->shards[i].lock);
        g_hash_table_iter_init(&it, ts->shards[i].by_host);
        while (g_hash_table_iter_next(&it, NULL, &value)) {
            gv_target_t *t = value;
            if (t->doubt) {
                gv_probe_request_t d = {0};
                memcpy(d.host, t->host, sizeof d.host);
                memcpy(d.addr, t->addr, sizeof d.addr);
                g_array_append_val(out, d);
                t->doubt = false;
            }
        }
        pthread_mutex_unlock(&ts->shards[i].lock);
    }
}

/* Notes that a fresh probe of the target succeeded. */
void
GvTargets_RecordProbe(gv_targets_t *ts, gv_str_t host, int64_t now_ms)
{
    gv_target_t *t;
    gv_target_shard_t *sh = GvTargets_Lock(ts, host, &t);
    if (t != NULL) {
        t->probed_ms = now_ms;
    }
    GvTargetShard_Unlock(sh);
}

/* Tells whether a fresh probe succeeded after since_ms. */
bool
GvTarget_ProbedSince(gv_target_t *t, int64_t since_ms)
{
    gv_target_shard_t *sh = GvTarget_Lock(t);
    bool yes = t->probed_ms > since_ms;
    GvTargetShard_Unlock(sh);
    return yes;
}

/* Copies the pool of a target. Returns false for an unknown target. */
bool
GvTargets_CopyPool(gv_targets_t *ts, gv_str_t host, char *pool, size_t n)
{
    gv_target_t *t;
    gv_target_shard_t *sh = GvTargets_Lock(ts, host, &t);
    if (t != NULL) {
        g_strlcpy(pool, t->pool, n);
    }
    GvTargetShard_Unlock(sh);
    return t != NULL;
}

/* Copies the newest boot identifier that the target is known to run. Returns
   false for an unknown target. */
bool
GvTargets_CopyBoot(gv_targets_t *ts, gv_str_t host, char *boot, size_t n)
{
    gv_target_t *t;
    gv_target_shard_t *sh = GvTargets_Lock(ts, host, &t);
    if (t != NULL) {
        g_strlcpy(boot, t->boot, n);
    }
    GvTargetShard_Unlock(sh);
    return t != NULL;
}

/* Appends one row; the shard is locked, because a loan may end here. */
static void
add_row(gv_target_t *t, GArray *out, int64_t now_ms)
{
    gv_target_row_t r = {
        .slots = t->slots,
        .usable = GvSlots_Usable(&t->loan, now_ms),
        .busy = t->busy,
        .abandoned = t->abandoned,
        .closed = t->closed,
        .leaving = t->leaving,
        .healthy = t->healthy,
        .ejected = t->eject.ejected,
    };
    memcpy(r.host, t->host, sizeof r.host);
    memcpy(r.pool, t->pool, sizeof r.pool);
    memcpy(r.addr, t->addr, sizeof r.addr);
    memcpy(r.boot, t->boot, sizeof r.boot);
    g_array_append_val(out, r);
}

/* Appends one row for each target, for the status page and the planner. */
void
GvTargets_Report(gv_targets_t *ts, GArray *out, int64_t now_ms)
{
    for (int i = 0; i < GV_SHARDS; i++) {
        GHashTableIter it;
        gpointer value;
        pthread_mutex_lock(&ts->shards[i].lock);
        g_hash_table_iter_init(&it, ts->shards[i].by_host);
        while (g_hash_table_iter_next(&it, NULL, &value)) {
            add_row(value, out, now_ms);
        }
        pthread_mutex_unlock(&ts->shards[i].lock);
    }
}

/* Lends up to count slots of a target to a peer. Returns how many. */
int
GvTargets_Lend(gv_targets_t *ts, gv_str_t host, int count, int queued,
               int64_t now_ms, int lease_ms)
{
    int lent = 0;
    gv_target_t *t;
    gv_target_shard_t *sh = GvTargets_Lock(ts, host, &t);
    if (t != NULL && GvTarget_IsOpen(t, GvStr_C(t->pool))) {
        lent =
            GvSlots_Lend(&t->loan, count, t->busy, queued, now_ms, lease_ms);
    }
    GvTargetShard_Unlock(sh);
    return lent;
}

/* Notes slots that a peer lent to this entry host. */
void
GvTargets_AddBorrowed(gv_targets_t *ts, gv_str_t host, int count,
                      int64_t until_ms)
{
    gv_target_t *t;
    gv_target_shard_t *sh = GvTargets_Lock(ts, host, &t);
    if (t != NULL) {
        GvSlots_AddBorrowed(&t->loan, count, until_ms);
    }
    GvTargetShard_Unlock(sh);
}

/* Notes slots that a peer gave back before the lease ended. */
void
GvTargets_EndLent(gv_targets_t *ts, gv_str_t host, int count)
{
    gv_target_t *t;
    gv_target_shard_t *sh = GvTargets_Lock(ts, host, &t);
    if (t != NULL) {
        GvSlots_EndLent(&t->loan, count);
    }
    GvTargetShard_Unlock(sh);
}
