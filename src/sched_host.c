#include <string.h>

#include "evlog.h"
#include "limits.h"
#include "sched_private.h"

/* Targets and the hosts that they run on: what a new target on a host, the
   platform's list of hosts and orders for hosts say about runs. */

/* Forgets that a target is the newest one of its host: it is to be freed, or
   its entry names another host. */
void
GvSched_ForgetHost(gv_sched_t *s, const gv_sched_target_t *tgt)
{
    if (tgt->info.host.n > 0 &&
        g_hash_table_lookup(s->by_host, tgt->info.host.p) == tgt) {
        g_hash_table_remove(s->by_host, tgt->info.host.p);
    }
}

/* Returns true if a target is listed and has answered. Until then its entry
   may come from another writer: nothing follows from what it says. */
bool
GvSched_HasAnswered(const gv_sched_target_t *tgt)
{
    return tgt->listed && tgt->hold_answered_ms != 0;
}

/* Returns the entry of a target that has answered, else NULL. It is valid
   until the target changes. */
const gv_target_info_t *
GvSched_AnsweredEntry(const gv_sched_t *s, gv_str_t target)
{
    char *name = g_strndup(target.p, target.n);
    const gv_sched_target_t *tgt = GvSched_FindTarget(s, name);
    g_free(name);
    return tgt != NULL && GvSched_HasAnswered(tgt) ? &tgt->info : NULL;
}

/* Notes that a target is the newest one of its host, once it has answered. The
   one before has then ended, and its runs with it. */
void
GvSched_ReplaceOnHost(gv_sched_t *s, gv_sched_target_t *tgt, int64_t now_ms)
{
    if (tgt->info.host.n == 0 || !GvSched_HasAnswered(tgt)) {
        return;
    }
    gv_sched_target_t *other =
        g_hash_table_lookup(s->by_host, tgt->info.host.p);
    if (other == tgt ||
        (other != NULL && other->info.started_ms >= tgt->info.started_ms)) {
        return;
    }
    if (other != NULL) {
        GvSched_DropTargetRuns(s, other, GvSched_LossOf(other),
                               "host has another target", now_ms);
        other->listed = false;
        GvSched_EndLeases(other, now_ms);
    }
    g_hash_table_replace(s->by_host, g_strdup(tgt->info.host.p), tgt);
}

/* Drops all runs on a target whose incarnation has ended: the platform has
   reported that its host was taken down or that it was restarted. */
void
GvSched_EndTarget(gv_sched_t *s, gv_str_t target, int64_t now_ms)
{
    char *name = g_strndup(target.p, target.n);
    gv_sched_target_t *tgt = GvSched_FindTarget(s, name);
    g_free(name);
    if (tgt != NULL) {
        GvSched_DropTargetRuns(s, tgt, GV_LOSS_PLANNED, "host was taken down",
                               now_ms);
        tgt->listed = false;
        GvSched_EndLeases(tgt, now_ms);
    }
}

/* Returns true if some listed host has the target, or may have it. */
static bool
is_on_host(const gv_listed_hosts_t *list, const char *target)
{
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, list->hosts);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const gv_listed_host_t *h = value;
        if (h->unnamed || strcmp(h->target, target) == 0) {
            return true;
        }
    }
    return false;
}

/* Drops the runs of a target that only the progress of jobs names: its record
   was gone before this scheduler began, so that its host is not known. It has
   ended if it is on no host. */
static void
check_unseen_target(gv_sched_t *s, gv_sched_target_t *tgt,
                    const gv_listed_hosts_t *list, int64_t now_ms)
{
    if (list->whole && tgt->runs->len > 0 && tgt->first_listed_ms == 0 &&
        !is_on_host(list, tgt->id)) {
        GvEvlog_Write("target", "target=%s is on no host runs=%u", tgt->id,
                      tgt->runs->len);
        GvSched_DropTargetRuns(s, tgt, GV_LOSS_UNANSWERED,
                               "target is on no host", now_ms);
        GvSched_EndLeases(tgt, now_ms);
    }
}

/* Returns since when the present incarnation of a listed target is known. */
static int64_t
known_since_ms(const gv_sched_target_t *tgt)
{
    return MAX(tgt->first_listed_ms, tgt->started_known_ms);
}

/* Returns true if the list would have the target if that were still up: it may
   be behind the entry of a new target. One that breaks off its connections and
   does not answer on a new one has ended, whatever the list knows. */
static bool
would_have(const gv_sched_t *s, const gv_sched_target_t *tgt,
           const gv_listed_hosts_t *list)
{
    int64_t begun_ms = tgt->started_ms;
    bool refuses = tgt->broken_holds > 1;
    return tgt->on_listed_host || refuses ||
           list->asked_ms - known_since_ms(tgt) >= GV_SCHED_HOST_LIST_LAG_MS ||
           (begun_ms != 0 &&
            s->wall_ms - begun_ms > GV_POOL_TARGET_MIN_AGE_MS);
}

/* Handles a target whose host is listed without it. It gets no new tasks. Its
   runs are dropped without waiting for their leases to end if it no longer
   answers either, or is said to have failed and has not answered since: a list
   alone may be wrong about a target that is up. */
static void
end_listed_target(gv_sched_t *s, gv_sched_target_t *tgt,
                  const gv_listed_host_t *h, const gv_listed_hosts_t *list,
                  int64_t now_ms)
{
    bool failed =
        h->down && tgt->on_listed_host && tgt->answered_ms <= list->asked_ms;
    bool answers = tgt->runs->len > 0 && tgt->silent_since_ms == 0 && !failed;
    bool ordered_away = !h->down && *h->target == '\0';
    gv_loss_t loss = ordered_away ? GV_LOSS_PLANNED : GvSched_LossOf(tgt);
    if (tgt->listed || (tgt->runs->len > 0 && !answers)) {
        GvEvlog_WriteKind(
            GV_EVLOG_RARE, "target",
            "target=%s %s with host=%s now=%s down=%d runs=%u "
            "first_listed_ago=%lld answered_ago=%lld asked_ago=%lld",
            tgt->id, answers ? "kept, not silent" : "ended", tgt->info.host.p,
            h->target, h->down, tgt->runs->len,
            (long long)(now_ms - tgt->first_listed_ms),
            (long long)(tgt->answered_ms == 0 ? -1
                                              : now_ms - tgt->answered_ms),
            (long long)(now_ms - list->asked_ms));
    }
    tgt->listed = false;
    if (answers) {
        return;
    }
    GvSched_DropTargetRuns(s, tgt, loss, "host is down or has another target",
                           now_ms);
    GvSched_EndLeases(tgt, now_ms);
}

/* Checks the targets against the platform's list of hosts. Targets that became
   known after the list was requested are skipped, as are those whose
   host has an order without a result. */
void
GvSched_CheckHosts(gv_sched_t *s, const gv_listed_hosts_t *list,
                   int64_t now_ms)
{
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, s->targets);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        gv_sched_target_t *tgt = value;
        if (tgt->info.host.n == 0) {
            check_unseen_target(s, tgt, list, now_ms);
            continue;
        }
        const gv_listed_host_t *h =
            g_hash_table_lookup(list->hosts, tgt->info.host.p);
        if (h != NULL && strcmp(h->target, tgt->id) == 0) {
            /* It may have listed the incarnation before. */
            tgt->on_listed_host = tgt->on_listed_host ||
                                  tgt->former_start_ms == 0 ||
                                  list->asked_ms - known_since_ms(tgt) >=
                                      GV_SCHED_HOST_LIST_LAG_MS;
        }
        else if (h != NULL && !h->ordered && !h->unnamed &&
                 known_since_ms(tgt) < list->asked_ms &&
                 would_have(s, tgt, list)) {
            end_listed_target(s, tgt, h, list, now_ms);
        }
    }
}
