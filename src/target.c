#include "target_private.h"

#include <string.h>

#include "counter.h"
#include "error.h"

GV_COUNTER(late_ends, "exchanges_abandoned_total",
           "Exchanges whose request ended before them");

/* Copies s, cut to n - 1 bytes and terminated. */
static void
copy(char *to, size_t n, gv_str_t s)
{
    size_t len = s.n < n - 1 ? s.n : n - 1;
    if (len > 0) {
        memcpy(to, s.p, len);
    }
    to[len] = '\0';
}

/* Makes an empty target table for the entry host self of that data centre. */
gv_targets_t *
GvTargets_New(gv_str_t self, gv_str_t dc)
{
    gv_targets_t *ts = g_new0(gv_targets_t, 1);
    ts->self = GvStr_Dup(self);
    ts->dc = GvStr_Dup(dc);
    for (int i = 0; i < GV_SHARDS; i++) {
        pthread_mutex_init(&ts->shards[i].lock, NULL);
        ts->shards[i].by_host = g_hash_table_new_full(
            g_str_hash, g_str_equal, NULL, (GDestroyNotify)GvTarget_Unref);
    }
    return ts;
}

/* Frees the table. Every reference to a target must have been released. */
void
GvTargets_Free(gv_targets_t *ts)
{
    if (ts == NULL) {
        return;
    }
    for (int i = 0; i < GV_SHARDS; i++) {
        g_hash_table_destroy(ts->shards[i].by_host);
        pthread_mutex_destroy(&ts->shards[i].lock);
    }
    GvStr_Free(&ts->self);
    GvStr_Free(&ts->dc);
    g_free(ts);
}

/* Takes one more reference. */
gv_target_t *
GvTarget_Ref(gv_target_t *t)
{
    atomic_fetch_add(&t->refs, 1);
    return t;
}

/* Releases a reference; the last one frees the target. */
void
GvTarget_Unref(gv_target_t *t)
{
    if (atomic_fetch_sub(&t->refs, 1) == 1) {
        g_free(t);
    }
}

/* Returns the name of the target's host. */
const char *
GvTarget_Host(const gv_target_t *t)
{
    return t->host;
}

/* Returns the shard of a host name. */
static gv_target_shard_t *
shard_of(gv_targets_t *ts, gv_str_t host)
{
    return &ts->shards[GvStr_Hash(host) % GV_SHARDS];
}

/* Locks the shard of a target that the caller refers to. */
gv_target_shard_t *
GvTarget_Lock(gv_target_t *t)
{
    gv_target_shard_t *sh = &t->table->shards[t->shard];
    pthread_mutex_lock(&sh->lock);
    return sh;
}

/* Finds a target in its locked shard, or NULL. */
static gv_target_t *
find_locked(gv_target_shard_t *sh, gv_str_t host)
{
    char name[GV_NAME_MAX_BYTES + 1];
    copy(name, sizeof name, host);
    return g_hash_table_lookup(sh->by_host, name);
}

/* Locks the shard of a host and finds its target, NULL when unknown. */
gv_target_shard_t *
GvTargets_Lock(gv_targets_t *ts, gv_str_t host, gv_target_t **t)
{
    gv_target_shard_t *sh = shard_of(ts, host);
    pthread_mutex_lock(&sh->lock);
    *t = find_locked(sh, host);
    return sh;
}

/* Ends what GvTargets_Lock or GvTarget_Lock began. */
void
GvTargetShard_Unlock(gv_target_shard_t *sh)
{
    pthread_mutex_unlock(&sh->lock);
}

/* Finds a target by host name and takes a reference; NULL when unknown. */
gv_target_t *
GvTargets_Find(gv_targets_t *ts, gv_str_t host)
{
    gv_target_t *t;
    gv_target_shard_t *sh = GvTargets_Lock(ts, host, &t);
    if (t != NULL) {
        GvTarget_Ref(t);
    }
    GvTargetShard_Unlock(sh);
    return t;
}

/* Tells whether the target is known to have left that boot. */
static bool
is_old_boot(const gv_target_t *t, const char *boot)
{
    for (int i = 0; i < GV_TARGET_OLD_BOOTS; i++) {
        if (t->old_boots[i][0] != '\0' && strcmp(t->old_boots[i], boot) == 0) {
            return true;
        }
    }
    return false;
}

/* Records that the target runs under another boot identifier; what was known
   about the previous one ends. Returns false for a boot that the target has
   already left, which only a late report can name. */
static bool
note_boot(gv_target_t *t, gv_str_t boot)
{
    char name[GV_NAME_MAX_BYTES + 1];
    copy(name, sizeof name, boot);
    if (strcmp(t->boot, name) == 0) {
        return true;
    }
    if (is_old_boot(t, name)) {
        return false;
    }
    memcpy(t->old_boots[t->next_old], t->boot, sizeof t->boot);
    t->next_old = (t->next_old + 1) % GV_TARGET_OLD_BOOTS;
    memcpy(t->boot, name, sizeof name);
    t->leaving = false;
    t->eject = (gv_eject_t){0};
    return true;
}

/* Adds a target. Until a probe says otherwise it counts as healthy, so that
   a start does not wait for the first probes. */
static gv_target_t *
add_target(gv_targets_t *ts, gv_target_shard_t *sh, const gv_ledger_host_t *h)
{
    gv_target_t *t = g_new0(gv_target_t, 1);
    t->table = ts;
    t->shard = (int)(sh - ts->shards);
    atomic_init(&t->refs, 1);
    copy(t->host, sizeof t->host, h->name);
    copy(t->boot, sizeof t->boot, h->boot);
    t->healthy = true;
    t->ratio = 1;
    g_hash_table_insert(sh->by_host, t->host, t);
    return t;
}

/* Brings one target into line with the ledger's host. */
static void
apply_host(gv_targets_t *ts, const gv_ledger_host_t *h,
           const gv_str_t *entries, int n)
{
    gv_target_shard_t *sh = shard_of(ts, h->name);
    pthread_mutex_lock(&sh->lock);
    gv_target_t *t = find_locked(sh, h->name);
    if (t == NULL) {
        t = add_target(ts, sh, h);
    }
    t->listed = true;
    copy(t->pool, sizeof t->pool, h->pool);
    copy(t->addr, sizeof t->addr, h->addr);
    note_boot(t, h->boot);
    t->slots = h->slots;
    t->loan.share = GvSlots_Share(h->name, h->slots, entries, n, ts->self);
    t->claim = h->claim != NULL ? h->claim->offset : 0;
    t->closed = h->claim != NULL || h->state != GV_HOST_UP;
    GvTargetShard_Unlock(sh);
}

/* Closes targets that the ledger no longer lists; an idle one is dropped. A
   busy one stays known, so that its exchanges still count. */
static void
drop_unlisted(gv_target_shard_t *sh)
{
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, sh->by_host);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        gv_target_t *t = value;
        if (t->listed) {
            continue;
        }
        t->closed = true;
        t->claim = 0;
        if (t->busy == 0) {
            g_hash_table_iter_remove(&it);
        }
    }
}

/* Marks all targets as unlisted; apply_host marks those that the ledger has.
 */
static void
unlist_all(gv_targets_t *ts)
{
    for (int i = 0; i < GV_SHARDS; i++) {
        GHashTableIter it;
        gpointer value;
        pthread_mutex_lock(&ts->shards[i].lock);
        g_hash_table_iter_init(&it, ts->shards[i].by_host);
        while (g_hash_table_iter_next(&it, NULL, &value)) {
            ((gv_target_t *)value)->listed = false;
        }
        pthread_mutex_unlock(&ts->shards[i].lock);
    }
}

/* Brings the table into line with the ledger: adds, updates, closes, opens
   and drops targets of the own data centre. The caller holds the ledger
   lock, which serialises calls. */
void
GvTargets_Apply(gv_targets_t *ts, const gv_ledger_t *l)
{
    const GPtrArray *members = GvLedger_Members(l);
    gv_str_t *entries = g_new(gv_str_t, members->len + 1);
    int n = 0;
    for (guint i = 0; i < members->len; i++) {
        const gv_member_t *m = g_ptr_array_index(members, i);
        if (GvStr_Equal(m->dc, ts->dc)) {
            entries[n++] = m->name;
        }
    }
    unlist_all(ts);
    const GPtrArray *hosts = GvLedger_Hosts(l);
    for (guint i = 0; i < hosts->len; i++) {
        const gv_ledger_host_t *h = g_ptr_array_index(hosts, i);
        if (GvStr_Equal(h->dc, ts->dc)) {
            apply_host(ts, h, entries, n);
        }
    }
    for (int i = 0; i < GV_SHARDS; i++) {
        pthread_mutex_lock(&ts->shards[i].lock);
        drop_unlisted(&ts->shards[i]);
        pthread_mutex_unlock(&ts->shards[i].lock);
    }
    g_free(entries);
}

/* Allows or refuses exchanges as a whole. */
void
GvTargets_SetJoined(gv_targets_t *ts, bool joined)
{
    atomic_store(&ts->joined, joined);
}

/* Tells whether new work of that pool may begin. The shard is locked. */
bool
GvTarget_IsOpen(const gv_target_t *t, gv_str_t pool)
{
    return !t->closed && !t->leaving && t->healthy &&
           GvStr_Equal(pool, GvStr_C(t->pool));
}

/* Describes the target as a candidate for placement. Returns false when it
   gets no new work of that pool. An ejected target whose trial is due is
   presented as usable. */
bool
GvTarget_FillCandidate(gv_target_t *t, gv_str_t pool, int64_t now_ms,
                       gv_candidate_t *c)
{
    *c = (gv_candidate_t){0};
    gv_target_shard_t *sh = GvTarget_Lock(t);
    bool open = GvTarget_IsOpen(t, pool);
    if (open) {
        c->usable = GvSlots_Usable(&t->loan, now_ms);
        c->busy = t->busy;
        c->ejected =
            t->eject.ejected && !GvEject_IsTrialDue(&t->eject, true, now_ms);
        c->idempotent_only = t->eject.ejected && !c->ejected &&
                             !GvEject_IsTrialDue(&t->eject, false, now_ms);
        c->run_ratio_permille = t->ratio * 1000;
        if (now_ms - t->refused_ms < GV_REFUSED_KEEP_MS) {
            c->refused = t->refused;
        }
    }
    GvTargetShard_Unlock(sh);
    return open;
}

/* Begins an exchange and copies the address to addr. Atomic with the closed
   flag under the shard's lock. A trial of an ejected target prefers
   idempotent requests. Returns 0; GV_EREFUSED when the target gets no
   work of that pool; GV_EFULL when no slot is usable. */
int
GvTarget_Begin(gv_target_t *t, gv_str_t pool, bool idempotent, int64_t now_ms,
               char *addr, size_t n)
{
    int rc = GV_OK;
    gv_target_shard_t *sh = GvTarget_Lock(t);
    bool room = t->busy < GvSlots_Usable(&t->loan, now_ms);
    if (!atomic_load(&t->table->joined) || !GvTarget_IsOpen(t, pool) ||
        (room && t->eject.ejected &&
         !GvEject_StartTrial(&t->eject, idempotent, now_ms))) {
        rc = GV_EREFUSED;
    }
    else if (!room) {
        rc = GV_EFULL;
    }
    else {
        t->busy++;
        copy(addr, n, GvStr_C(t->addr));
    }
    GvTargetShard_Unlock(sh);
    return rc;
}

/* Tells whether the target is ejected, also while a trial is due. */
bool
GvTarget_IsEjected(gv_target_t *t)
{
    gv_target_shard_t *sh = GvTarget_Lock(t);
    bool ejected = t->eject.ejected;
    GvTargetShard_Unlock(sh);
    return ejected;
}

/* Ends an exchange that Begin started. run_ratio is the run time over the
   expected one, or 0 when there was none. */
void
GvTarget_End(gv_target_t *t, gv_attempt_t a, bool may_eject, double run_ratio,
             int64_t now_ms)
{
    gv_target_shard_t *sh = GvTarget_Lock(t);
    g_assert(t->busy > 0);
    t->busy--;
    if (t->abandoned > t->busy) {
        t->abandoned = t->busy;
    }
    GvEject_CountAttempt(&t->eject, a, may_eject, now_ms);
    if (run_ratio > 0) {
        /* Smoothing over about ten runs follows a slow host in seconds. */
        t->ratio += (run_ratio - t->ratio) / 10;
    }
    if (a == GV_ATTEMPT_REFUSED) {
        t->refused =
            now_ms - t->refused_ms < GV_REFUSED_KEEP_MS ? t->refused + 1 : 1;
        t->refused_ms = now_ms;
    }
    else {
        /* The run that ended has left a free slot. */
        t->refused = 0;
    }
    GvTargetShard_Unlock(sh);
}

/* Takes back a Begin after which nothing was sent. */
void
GvTarget_CancelBegin(gv_target_t *t)
{
    gv_target_shard_t *sh = GvTarget_Lock(t);
    g_assert(t->busy > 0);
    t->busy--;
    GvTargetShard_Unlock(sh);
}

/* Counts an exchange whose request has ended. */
void
GvTarget_Abandon(gv_target_t *t)
{
    gv_target_shard_t *sh = GvTarget_Lock(t);
    t->abandoned++;
    GvTargetShard_Unlock(sh);
    GvCounter_Add(&late_ends, 1);
}

/* Tells whether the claim at that offset may be confirmed: it has closed the
   target here and no exchange is in progress. */
bool
GvTargets_IsDrained(gv_targets_t *ts, gv_str_t host, uint64_t claim)
{
    gv_target_t *t;
    gv_target_shard_t *sh = GvTargets_Lock(ts, host, &t);
    bool quiet = t == NULL || (t->claim == claim && t->closed && t->busy == 0);
    GvTargetShard_Unlock(sh);
    return quiet;
}

/* Returns the number of exchanges in progress, abandoned ones included. */
int
GvTargets_CountBusy(gv_targets_t *ts)
{
    int busy = 0;
    for (int i = 0; i < GV_SHARDS; i++) {
        GHashTableIter it;
        gpointer value;
        pthread_mutex_lock(&ts->shards[i].lock);
        g_hash_table_iter_init(&it, ts->shards[i].by_host);
        while (g_hash_table_iter_next(&it, NULL, &value)) {
            busy += ((gv_target_t *)value)->busy;
        }
        pthread_mutex_unlock(&ts->shards[i].lock);
    }
    return busy;
}

/* Notes a report about a target. A report about a boot that the target has
   left is ignored; leaving stays set until the boot changes. Returns true
   when what is known changed. */
bool
GvTargets_UpdateHealth(gv_targets_t *ts, gv_str_t host, gv_str_t boot,
                       bool leaving, bool healthy)
{
    bool changed = false;
    gv_target_t *t;
    gv_target_shard_t *sh = GvTargets_Lock(ts, host, &t);
    /* A failed probe learns no boot identifier; it concerns the known one. */
    if (t != NULL && (boot.n == 0 || note_boot(t, boot))) {
        bool now_leaving = t->leaving || leaving;
        changed = now_leaving != t->leaving || healthy != t->healthy;
        t->leaving = now_leaving;
        t->healthy = healthy;
    }
    GvTargetShard_Unlock(sh);
    return changed;
}
