#include <string.h>

#include "maintain_private.h"
#include "prober.h"

/* Proposes a host record if this entry host may append it now. word is part of
   the proposal's key. */
static void
propose_host(gv_maintain_t *m, GPtrArray *out, const char *word,
             const gv_ledger_host_t *h, int64_t now_ms)
{
    char key[256];
    g_snprintf(key, sizeof key, "host %.*s %s %.*s", GV_STR_ARG(h->name), word,
               GV_STR_ARG(h->boot));
    if (GvMaintain_IsDue(m, key, now_ms)) {
        msgpack_sbuffer sb;
        msgpack_sbuffer_init(&sb);
        GvLedger_PackHost(&sb, h);
        GvMaintain_Propose(out, "host", sb, "%s", key);
    }
}

/* Returns for how long the host has been in its current health state, in ms,
   and stores the time of a change. The time starts when this process first
   sees the host. It is 0 while a claim is in the stopping phase, so that a
   planned reboot does not count. */
static int64_t
health_age(gv_maintain_t *m, gv_str_t host, bool healthy, bool stopping,
           int64_t now_ms)
{
    char key[GV_NAME_MAX_BYTES + 4];
    char other[GV_NAME_MAX_BYTES + 4];
    g_snprintf(key, sizeof key, "%c %.*s", healthy ? 'u' : 'f',
               GV_STR_ARG(host));
    g_snprintf(other, sizeof other, "%c %.*s", healthy ? 'f' : 'u',
               GV_STR_ARG(host));
    g_hash_table_remove(m->health_since, other);
    if (stopping) {
        g_hash_table_remove(m->health_since, key);
        return 0;
    }
    gint64 *since = g_hash_table_lookup(m->health_since, key);
    if (since == NULL) {
        since = g_new(gint64, 1);
        *since = now_ms;
        g_hash_table_insert(m->health_since, g_strdup(key), since);
    }
    return now_ms - *since;
}

/* Returns true if a host of the data centre may be reported as failed. An
   entry host that sees more than half of its targets unhealthy probably has a
   network fault of its own and reports none; with one or two hosts there is no
   such limit. */
static bool
may_report_failure(gv_maintain_t *m, const gv_ledger_t *l)
{
    const GPtrArray *hosts = GvLedger_Hosts(l);
    int n = 0;
    int unhealthy = 0;
    for (guint i = 0; i < hosts->len; i++) {
        const gv_ledger_host_t *h = hosts->pdata[i];
        gv_health_view_t v;
        if (GvStr_Equal(h->dc, m->kernel->conf.dc) && h->state == GV_HOST_UP) {
            n++;
            unhealthy +=
                GvProber_Get(m->kernel->prober, h->name, &v) && !v.healthy;
        }
    }
    return n <= 2 || unhealthy * 2 <= n;
}

/* Returns a copy of a list entry, without its boot identifier if the target is
   known to run another one: the list lags behind, and the boot identifier from
   before a reboot must not be written back to the ledger. */
static gv_listed_host_t
without_stale_boot(gv_maintain_t *m, const gv_listed_host_t *listed)
{
    gv_listed_host_t h = *listed;
    char boot[GV_NAME_MAX_BYTES + 1];
    if (GvTargets_CopyBoot(m->kernel->targets, h.host, boot, sizeof boot) &&
        !GvStr_Equal(h.boot, GvStr_C(boot))) {
        h.boot = GV_STR("");
    }
    return h;
}

/* Returns true if the platform's list was requested before the ledger had this
   boot of the host, as far as this process saw. Such a list may show the host
   as gone although it has come back since. The caller holds m->lock. */
static bool
is_list_older(gv_maintain_t *m, const gv_ledger_host_t *known, int64_t now_ms)
{
    char key[2 * GV_NAME_MAX_BYTES + 2];
    g_snprintf(key, sizeof key, "%.*s %.*s", GV_STR_ARG(known->name),
               GV_STR_ARG(known->boot));
    gint64 *since = g_hash_table_lookup(m->known_since, key);
    if (since == NULL) {
        since = g_new(gint64, 1);
        *since = now_ms;
        g_hash_table_insert(m->known_since, g_strdup(key), since);
    }
    return m->list_asked_ms < *since;
}

/* Selects the entries of known_since whose boot of a host the ledger no longer
   has. */
static gboolean
has_left_ledger(gpointer key, gpointer value, gpointer user)
{
    const gv_ledger_t *l = user;
    const char *boot = strchr(key, ' ');
    (void)value;
    const gv_ledger_host_t *h =
        GvLedger_Host(l, GvStr_N(key, (size_t)(boot - (char *)key)));
    return h == NULL || !GvStr_Equal(h->boot, GvStr_C(boot + 1));
}

/* Proposes the record that is due for one host, if any. known is its state in
   the ledger, listed its entry in the platform's list; one may be NULL. */
static void
propose_due_record(gv_maintain_t *m, const gv_ledger_t *l,
                   const gv_ledger_host_t *known,
                   const gv_listed_host_t *listed, int64_t now_ms,
                   GPtrArray *out)
{
    gv_listed_host_t fresh;
    if (known != NULL && listed != NULL) {
        fresh = without_stale_boot(m, listed);
        listed = &fresh;
    }
    gv_str_t name = known != NULL ? known->name : listed->host;
    gv_health_view_t v;
    bool seen = GvProber_Get(m->kernel->prober, name, &v);
    bool healthy = !seen || v.healthy;
    bool stopping = known != NULL && known->claim != NULL &&
                    known->claim->phase == GV_PHASE_STOPPING;
    int64_t age = health_age(m, name, healthy, stopping, now_ms);
    gv_settings_t *s = GvLedger_Settings(l);
    bool declared = listed != NULL && s != NULL &&
                    GvSettings_Pool(s, listed->pool) != NULL;
    gv_ledger_host_t h =
        known != NULL ? *known : (gv_ledger_host_t){.name = name};
    if (listed != NULL) {
        h.rack = listed->rack;
        h.addr = listed->addr;
        h.slots = listed->slots;
        h.boot = listed->boot.n > 0 ? listed->boot : h.boot;
    }
    gv_host_facts_t facts = {
        .known = known,
        .listed = listed,
        .list_older = known != NULL && is_list_older(m, known, now_ms),
        .healthy = healthy,
        .health_ms = age,
        .pool_declared = declared,
    };
    switch (GvMaintain_Report(&facts)) {
    case GV_REPORT_NONE:
        break;
    case GV_REPORT_ADD:
        g_assert(listed != NULL);
        h.dc = listed->dc;
        h.pool = listed->pool;
        propose_host(m, out, "added", &h, now_ms);
        break;
    case GV_REPORT_CHANGE:
        propose_host(m, out, "changed", &h, now_ms);
        break;
    case GV_REPORT_GONE:
        h.state = GV_HOST_GONE;
        propose_host(m, out, "gone", &h, now_ms);
        break;
    case GV_REPORT_FAILED:
        if (may_report_failure(m, l)) {
            h.state = GV_HOST_FAILED;
            propose_host(m, out, "failed", &h, now_ms);
        }
        break;
    case GV_REPORT_UP:
        h.state = GV_HOST_UP;
        propose_host(m, out, "up", &h, now_ms);
        break;
    }
}

/* Returns true if the configuration has a peer in that data centre and in the
   own region. */
static bool
in_region(gv_maintain_t *m, gv_str_t dc)
{
    for (int i = 0; i < m->kernel->conf.n_peers; i++) {
        const gv_peer_conf_t *p = &m->kernel->conf.peers[i];
        if (GvStr_Equal(p->dc, dc) &&
            GvStr_Equal(p->region, m->kernel->conf.region)) {
            return true;
        }
    }
    return false;
}

/* Proposes to report a host of another data centre as gone if the platform
   lists it as gone and that data centre has no entry host left to report it.
   Only entry hosts of the same region do so. */
static void
propose_remote_gone(gv_maintain_t *m, const gv_ledger_t *l,
                    const gv_listed_host_t *listed, int64_t now_ms,
                    GPtrArray *out)
{
    const gv_ledger_host_t *known = GvLedger_Host(l, listed->host);
    if (known == NULL || listed->state != GV_LISTED_GONE ||
        is_list_older(m, known, now_ms) || !in_region(m, known->dc)) {
        return;
    }
    const GPtrArray *members = GvLedger_Members(l);
    for (guint i = 0; i < members->len; i++) {
        const gv_member_t *mem = members->pdata[i];
        if (GvStr_Equal(mem->dc, known->dc)) {
            return;
        }
    }
    gv_ledger_host_t h = *known;
    h.state = GV_HOST_GONE;
    propose_host(m, out, "lost", &h, now_ms);
}

/* Proposes to remove an entry host that the platform lists as gone. Only entry
   hosts of the same region do so. */
static void
propose_removal(gv_maintain_t *m, const gv_ledger_t *l,
                const gv_listed_host_t *listed, int64_t now_ms, GPtrArray *out)
{
    const gv_member_t *mem = GvLedger_Member(l, listed->host);
    if (listed->state != GV_LISTED_GONE || mem == NULL ||
        GvStr_Equal(mem->name, m->kernel->conf.name)) {
        return;
    }
    bool same_region = GvStr_Equal(mem->dc, m->kernel->conf.dc);
    for (int i = 0; i < m->kernel->conf.n_peers; i++) {
        const gv_peer_conf_t *p = &m->kernel->conf.peers[i];
        same_region =
            same_region || (GvStr_Equal(p->name, mem->name) &&
                            GvStr_Equal(p->region, m->kernel->conf.region));
    }
    char key[160];
    g_snprintf(key, sizeof key, "member %.*s removed %" G_GUINT64_FORMAT,
               GV_STR_ARG(mem->name), (guint64)mem->incarnation);
    if (same_region && GvMaintain_IsDue(m, key, now_ms)) {
        msgpack_sbuffer sb;
        msgpack_sbuffer_init(&sb);
        GvLedger_PackMember(&sb, mem, GV_MEMBER_REMOVED);
        GvMaintain_Propose(out, "member", sb, "%s", key);
    }
}

/* Proposes records for hosts of the own data centre whose state in the ledger
   differs from the platform's list or the targets' health, for gone hosts of
   data centres without entry hosts, and for gone entry hosts. */
void
GvMaintain_PlanHosts(gv_maintain_t *m, const gv_ledger_t *l, int64_t now_ms,
                     GPtrArray *out)
{
    GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
    pthread_mutex_lock(&m->lock);
    for (int i = 0; i < m->host_list.n; i++) {
        const gv_listed_host_t *h = &m->host_list.hosts[i];
        if (h->slots == 0) {
            propose_removal(m, l, h, now_ms, out);
            continue;
        }
        if (!GvStr_Equal(h->dc, m->kernel->conf.dc)) {
            propose_remote_gone(m, l, h, now_ms, out);
            continue;
        }
        g_hash_table_insert(listed, (gpointer)h->host.p, (gpointer)h);
        if (GvLedger_Host(l, h->host) == NULL) {
            propose_due_record(m, l, NULL, h, now_ms, out);
        }
    }
    const GPtrArray *hosts = GvLedger_Hosts(l);
    for (guint i = 0; i < hosts->len; i++) {
        const gv_ledger_host_t *h = hosts->pdata[i];
        if (GvStr_Equal(h->dc, m->kernel->conf.dc)) {
            propose_due_record(m, l, h, g_hash_table_lookup(listed, h->name.p),
                               now_ms, out);
        }
    }
    pthread_mutex_unlock(&m->lock);
    g_hash_table_foreach_remove(m->known_since, has_left_ledger, (gpointer)l);
    g_hash_table_destroy(listed);
}
