#include "health.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "error.h"
#include "limits.h"

/* Boot identifiers remembered for each host. A report that names an older
   one is as old as that boot, whose reports no longer arrive. */
#define BOOTS_KEPT 8

/* Pairs of a peer and a host: a host has few probers over time. */
#define PEER_ENTRIES_MAX (4 * GV_HOSTS_MAX)

/* A set of boot identifiers that forgets the oldest. */
typedef struct {
    char *boots[BOOTS_KEPT];
    int next;
} boot_set_t;

typedef struct {
    char *host;
    char *boot;      /* "" until known */
    bool confirmed;  /* the boot comes from a probe, own or a peer's */
    bool listed_out; /* the newest list does not show it as live */
    bool foreign;    /* a peer reported after the last own probe */
    bool healthy;
    int failures; /* own probes failed in a row */
    int running;
    uint64_t seen;
    boot_set_t past;    /* boots before the present one */
    boot_set_t leaving; /* boots that some source reported as leaving */
    bool told;          /* the rest: as last passed to changed() */
    bool told_healthy;
    bool told_leaving;
    int told_running;
} entry_t;

typedef struct {
    uint64_t incarnation;
    uint64_t seen;
} peer_t;

struct gv_health_table_s {
    GHashTable *hosts; /* name -> entry_t */
    GHashTable *peers; /* "peer host" -> peer_t */
    uint64_t list_version;
    bool listed; /* a list was accepted */
    uint64_t seen;
    gv_health_changed_t changed;
    void *user;
};

/* Tells whether the set holds boot. */
static bool
has_boot(const boot_set_t *s, const char *boot)
{
    for (int i = 0; i < BOOTS_KEPT; i++) {
        if (s->boots[i] != NULL && strcmp(s->boots[i], boot) == 0) {
            return true;
        }
    }
    return false;
}

/* Adds boot unless the set holds it. */
static void
add_boot(boot_set_t *s, const char *boot)
{
    if (!has_boot(s, boot)) {
        g_free(s->boots[s->next]);
        s->boots[s->next] = g_strdup(boot);
        s->next = (s->next + 1) % BOOTS_KEPT;
    }
}

/* Releases a host with its sets. */
static void
free_entry(gpointer p)
{
    entry_t *e = p;
    for (int i = 0; i < BOOTS_KEPT; i++) {
        g_free(e->past.boots[i]);
        g_free(e->leaving.boots[i]);
    }
    g_free(e->host);
    g_free(e->boot);
    g_free(e);
}

/* Finds the value of "key=" in text. Returns an empty string when absent. */
static gv_str_t
field(gv_str_t text, const char *key)
{
    size_t k = strlen(key);
    for (size_t i = 0; i + k < text.n; i++) {
        bool start = i == 0 || text.p[i - 1] == ' ';
        if (!start || memcmp(text.p + i, key, k) != 0 ||
            text.p[i + k] != '=') {
            continue;
        }
        size_t from = i + k + 1;
        size_t to = from;
        while (to < text.n && text.p[to] != ' ' && text.p[to] != '\n') {
            to++;
        }
        return GvStr_N(text.p + from, to - from);
    }
    return GV_STR("");
}

/* Reads a count from 0 to 1,000,000. */
static int
parse_count(gv_str_t s, int *v)
{
    int sum = 0;
    if (s.n == 0 || s.n > 6) {
        return GV_EINVAL;
    }
    for (size_t i = 0; i < s.n; i++) {
        if (!g_ascii_isdigit(s.p[i])) {
            return GV_EINVAL;
        }
        sum = sum * 10 + (s.p[i] - '0');
    }
    *v = sum;
    return GV_OK;
}

/* Reads a target's health response. Returns 0 or GV_EINVAL. */
int
GvHealth_ParseReport(gv_str_t text, gv_health_report_t *r)
{
    gv_str_t state = field(text, "state");
    gv_str_t boot = field(text, "boot");
    bool live = GvStr_Equal(state, GV_STR("live"));
    memset(r, 0, sizeof *r);
    r->leaving = GvStr_Equal(state, GV_STR("leaving"));
    if ((!live && !r->leaving) || boot.n == 0 || boot.n >= sizeof r->boot ||
        parse_count(field(text, "running"), &r->running) != GV_OK ||
        parse_count(field(text, "slots"), &r->slots) != GV_OK) {
        return GV_EINVAL;
    }
    memcpy(r->boot, boot.p, boot.n);
    return GV_OK;
}

/* Creates an empty table that reports changes through changed. */
gv_health_table_t *
GvHealth_New(gv_health_changed_t changed, void *user)
{
    gv_health_table_t *t = g_new0(gv_health_table_t, 1);
    t->hosts =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
    t->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    t->changed = changed;
    t->user = user;
    return t;
}

/* Releases the table. */
void
GvHealth_Free(gv_health_table_t *t)
{
    g_hash_table_destroy(t->hosts);
    g_hash_table_destroy(t->peers);
    g_free(t);
}

/* Returns the host of that name, or NULL. */
static entry_t *
find(const gv_health_table_t *t, gv_str_t host)
{
    char *key = g_strndup(host.p, host.n);
    entry_t *e = g_hash_table_lookup(t->hosts, key);
    g_free(key);
    return e;
}

/* Finds a host or adds it; NULL when the table is full. A host is believed
   healthy until a probe fails, so that a new host is tried at once. */
static entry_t *
need(gv_health_table_t *t, gv_str_t host)
{
    entry_t *e = find(t, host);
    if (e == NULL && g_hash_table_size(t->hosts) < GV_HOSTS_MAX) {
        e = g_new0(entry_t, 1);
        e->host = g_strndup(host.p, host.n);
        e->boot = g_strdup("");
        e->healthy = true;
        e->running = -1;
        g_hash_table_insert(t->hosts, e->host, e);
    }
    return e;
}

/* Tells whether a source reported the present boot as leaving. */
static bool
is_sticky(const entry_t *e)
{
    return has_boot(&e->leaving, e->boot);
}

/* A list may show a former boot while its state is the present one, or the
   other way round. What it says then counts against the target only as long
   as it is the newest list; leaving sticks to the boot that is named. */
static gv_health_view_t
view(const entry_t *e)
{
    return (gv_health_view_t){.host = GvStr_C(e->host),
                              .boot = GvStr_C(e->boot),
                              .healthy = e->healthy && !e->listed_out,
                              .leaving = is_sticky(e),
                              .running = e->running,
                              .seen = e->seen};
}

/* Calls changed() if the view differs from the one told before. */
static void
tell(gv_health_table_t *t, entry_t *e, bool boot_changed)
{
    gv_health_view_t v = view(e);
    if (e->told && !boot_changed && v.healthy == e->told_healthy &&
        v.leaving == e->told_leaving && v.running == e->told_running) {
        return;
    }
    e->told = true;
    e->told_healthy = v.healthy;
    e->told_leaving = v.leaving;
    e->told_running = v.running;
    if (t->changed != NULL) {
        t->changed(t->user, &v);
    }
}

/* Makes boot the present one. Returns true when it is a change. */
static bool
set_boot(entry_t *e, const char *boot, bool confirmed)
{
    e->confirmed = e->confirmed || confirmed;
    if (strcmp(e->boot, boot) == 0) {
        return false;
    }
    if (e->boot[0] != '\0') {
        add_boot(&e->past, e->boot);
    }
    g_free(e->boot);
    e->boot = g_strdup(boot);
    e->running = -1;
    return true;
}

/* Applies one item of a list. Its boot identifier counts only until a probe
   has confirmed one, because the list lags behind. */
static void
apply_listed(gv_health_table_t *t, const gv_listed_host_t *h)
{
    entry_t *e = need(t, h->host);
    if (e == NULL) {
        return;
    }
    char *boot = g_strndup(h->boot.p, h->boot.n);
    bool changed = false;
    if (!e->confirmed && boot[0] != '\0' && !has_boot(&e->past, boot)) {
        changed = set_boot(e, boot, false);
    }
    bool sticky = is_sticky(e);
    e->listed_out = h->state != GV_LISTED_LIVE;
    if (e->listed_out) {
        add_boot(&e->leaving, boot[0] != '\0' ? boot : e->boot);
    }
    g_free(boot);
    if (e->seen > 0 && sticky != is_sticky(e)) {
        /* Peers that cannot read the list learn it from this process. */
        e->seen = ++t->seen;
    }
    tell(t, e, changed);
}

/* Applies a list unless it is old; see the header. Only targets count, which
   are the hosts with slots. */
bool
GvHealth_OnList(gv_health_table_t *t, const gv_hostlist_t *list)
{
    if (t->listed && list->version <= t->list_version) {
        return false;
    }
    t->listed = true;
    t->list_version = list->version;
    for (int i = 0; i < list->n; i++) {
        if (list->hosts[i].slots > 0) {
            apply_listed(t, &list->hosts[i]);
        }
    }
    return true;
}

/* Applies an own probe. A host counts as unhealthy after
   GV_PROBE_FAILURES failed probes in a row. */
void
GvHealth_OnProbe(gv_health_table_t *t, gv_str_t host,
                 const gv_health_report_t *r)
{
    entry_t *e = need(t, host);
    if (e == NULL) {
        return;
    }
    bool healthy = e->healthy;
    bool sticky = is_sticky(e);
    bool changed = false;
    if (r == NULL) {
        e->failures++;
        e->healthy = e->healthy && e->failures < GV_PROBE_FAILURES;
        e->running = -1;
    }
    else {
        e->failures = 0;
        e->healthy = true;
        changed = set_boot(e, r->boot, true);
        e->running = r->running;
        if (r->leaving) {
            add_boot(&e->leaving, e->boot);
        }
    }
    if (e->seen == 0 || e->foreign || changed || healthy != e->healthy ||
        sticky != is_sticky(e)) {
        e->seen = ++t->seen;
    }
    e->foreign = false;
    tell(t, e, changed);
}

/* Tells whether a peer's report is newer than its last one, and notes it. */
static bool
is_news(gv_health_table_t *t, gv_str_t from, uint64_t incarnation,
        const gv_health_t *h)
{
    char *key =
        g_strdup_printf("%.*s %.*s", GV_STR_ARG(from), GV_STR_ARG(h->host));
    peer_t *p = g_hash_table_lookup(t->peers, key);
    if (p != NULL) {
        g_free(key);
    }
    else if (g_hash_table_size(t->peers) >= PEER_ENTRIES_MAX) {
        g_free(key);
        return false;
    }
    else {
        p = g_new0(peer_t, 1);
        g_hash_table_insert(t->peers, key, p);
    }
    if (incarnation < p->incarnation ||
        (incarnation == p->incarnation && h->seen <= p->seen)) {
        return false;
    }
    p->incarnation = incarnation;
    p->seen = h->seen;
    return true;
}

/* Applies a peer's report unless it is old or about a past boot. */
void
GvHealth_OnPeer(gv_health_table_t *t, gv_str_t from, uint64_t incarnation,
                const gv_health_t *h)
{
    if (!GvStr_IsName(h->host) || h->boot.n > GV_NAME_MAX_BYTES ||
        !is_news(t, from, incarnation, h)) {
        return;
    }
    entry_t *e = need(t, h->host);
    if (e == NULL) {
        return;
    }
    char *boot = g_strndup(h->boot.p, h->boot.n);
    bool changed = false;
    e->foreign = true;
    if (!has_boot(&e->past, boot)) {
        changed = boot[0] != '\0' && set_boot(e, boot, true);
        e->healthy = h->healthy;
        e->failures = h->healthy ? 0 : e->failures;
    }
    if (h->leaving) {
        add_boot(&e->leaving, boot[0] != '\0' ? boot : e->boot);
    }
    g_free(boot);
    tell(t, e, changed);
}

/* Copies the view of a host; see the header. */
bool
GvHealth_Get(const gv_health_table_t *t, gv_str_t host, gv_health_view_t *v)
{
    const entry_t *e = find(t, host);
    if (e != NULL) {
        *v = view(e);
    }
    return e != NULL;
}

/* Forgets hosts that are not in the array; see the header. */
void
GvHealth_RetainHosts(gv_health_table_t *t, const gv_str_t *hosts, int n)
{
    GHashTable *keep =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (int i = 0; i < n; i++) {
        g_hash_table_add(keep, g_strndup(hosts[i].p, hosts[i].n));
    }
    GHashTableIter it;
    gpointer key;
    g_hash_table_iter_init(&it, t->hosts);
    while (g_hash_table_iter_next(&it, &key, NULL)) {
        if (!g_hash_table_contains(keep, key)) {
            g_hash_table_iter_remove(&it);
        }
    }
    g_hash_table_iter_init(&it, t->peers);
    while (g_hash_table_iter_next(&it, &key, NULL)) {
        if (!g_hash_table_contains(keep, strchr(key, ' ') + 1)) {
            g_hash_table_iter_remove(&it);
        }
    }
    g_hash_table_destroy(keep);
}

/* Lists what this process knows first hand; see the header. */
void
GvHealth_ListOwnReports(const gv_health_table_t *t, uint64_t since,
                        GArray *out)
{
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, t->hosts);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const entry_t *e = value;
        /* Another process's report is not passed on: it could arrive after a
           newer one of the same process. */
        if (e->seen <= since || e->foreign) {
            continue;
        }
        gv_health_t h = {GvStr_C(e->host), GvStr_C(e->boot), is_sticky(e),
                         e->healthy, e->seen};
        g_array_append_val(out, h);
    }
}

/* Tells whether self has the highest hash for the host; see the header. */
bool
GvHealth_IsProber(gv_str_t host, gv_str_t self, const gv_str_t *members, int n)
{
    XXH64_hash_t host_hash = XXH3_64bits(host.p, host.n);
    XXH64_hash_t own = XXH3_64bits_withSeed(self.p, self.n, host_hash);
    for (int i = 0; i < n; i++) {
        XXH64_hash_t other =
            XXH3_64bits_withSeed(members[i].p, members[i].n, host_hash);
        if (other > own ||
            (other == own && GvStr_Compare(members[i], self) < 0)) {
            return false;
        }
    }
    return true;
}
