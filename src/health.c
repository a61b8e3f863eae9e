#include "health.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "error.h"
#include "limits.h"

/* Number of boot identifiers kept in a set. Reports of a boot that is still
   older no longer arrive. */
#define BOOTS_KEPT 8

/* Maximum number of pairs of a peer and a host with a report. A host has few
   probers over time. */
#define PEER_ENTRIES_MAX (4 * GV_HOSTS_MAX)

/* Set of boot identifiers; when it is full, a new one replaces the oldest. */
typedef struct {
    char *boots[BOOTS_KEPT];
    int next; /* index of the next one to write */
} boot_set_t;

/* State of one host. */
typedef struct {
    char *host;
    char *boot;         /* "" until known */
    bool confirmed;     /* some boot came from a probe, own or a peer's */
    bool list_not_live; /* not live in the newest list that names it */
    bool peer_is_newer; /* a peer reported after the last own probe */
    bool healthy;
    int failures;           /* own probes failed in a row */
    int running;            /* from the last own probe; -1: unknown */
    uint64_t change_number; /* see gv_health_view_t */
    boot_set_t old_boots;   /* boots before the current one */
    boot_set_t leaving;     /* boots that some source reported as leaving */
    bool reported; /* changed() was called; below: what it was passed last */
    bool reported_healthy;
    bool reported_leaving;
    int reported_running;
} entry_t;

/* Newest report of a peer about a host. */
typedef struct {
    uint64_t incarnation; /* of the peer */
    uint64_t change_number;
} peer_t;

struct gv_health_table_s {
    GHashTable *hosts;      /* name -> entry_t */
    GHashTable *peers;      /* "peer host" -> peer_t */
    uint64_t list_version;  /* of the newest list */
    bool has_list;          /* a list was applied */
    uint64_t change_number; /* of the newest change */
    gv_health_changed_t changed;
    void *user;
};

/* Returns true if the set holds the boot identifier. */
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

/* Adds the boot identifier unless the set holds it. */
static void
add_boot(boot_set_t *s, const char *boot)
{
    if (!has_boot(s, boot)) {
        g_free(s->boots[s->next]);
        s->boots[s->next] = g_strdup(boot);
        s->next = (s->next + 1) % BOOTS_KEPT;
    }
}

/* Frees an entry_t with its strings and sets. */
static void
free_entry(gpointer p)
{
    entry_t *e = p;
    for (int i = 0; i < BOOTS_KEPT; i++) {
        g_free(e->old_boots.boots[i]);
        g_free(e->leaving.boots[i]);
    }
    g_free(e->host);
    g_free(e->boot);
    g_free(e);
}

/* Returns the value of "key=VALUE" in a text of such pairs separated by
   spaces, or an empty string if the key is missing. */
static gv_str_t
find_value(gv_str_t text, const char *key)
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

/* Parses a decimal number of 1 to 6 digits. Returns 0 or GV_EINVAL. */
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

/* Parses a target's response to a probe. Returns 0, or GV_EINVAL if a value is
   missing or malformed. */
int
GvHealth_ParseReport(gv_str_t text, gv_health_report_t *r)
{
    gv_str_t state = find_value(text, "state");
    gv_str_t boot = find_value(text, "boot");
    bool live = GvStr_Equal(state, GV_STR("live"));
    memset(r, 0, sizeof *r);
    r->leaving = GvStr_Equal(state, GV_STR("leaving"));
    if ((!live && !r->leaving) || boot.n == 0 || boot.n >= sizeof r->boot ||
        parse_count(find_value(text, "running"), &r->running) != GV_OK ||
        parse_count(find_value(text, "slots"), &r->slots) != GV_OK) {
        return GV_EINVAL;
    }
    memcpy(r->boot, boot.p, boot.n);
    return GV_OK;
}

/* Creates an empty table that calls changed, which may be NULL, after each
   change of a host's view. */
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

/* Frees the table. */
void
GvHealth_Free(gv_health_table_t *t)
{
    g_hash_table_destroy(t->hosts);
    g_hash_table_destroy(t->peers);
    g_free(t);
}

/* Returns the entry of the host, or NULL. */
static entry_t *
find(const gv_health_table_t *t, gv_str_t host)
{
    char *key = g_strndup(host.p, host.n);
    entry_t *e = g_hash_table_lookup(t->hosts, key);
    g_free(key);
    return e;
}

/* Returns the entry of the host and adds it if it is missing; NULL if the
   table is full. A new host counts as healthy, so that it gets requests before
   its first probe. */
static entry_t *
find_or_add(gv_health_table_t *t, gv_str_t host)
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

/* Returns true if some source reported the current boot as leaving. */
static bool
is_leaving(const entry_t *e)
{
    return has_boot(&e->leaving, e->boot);
}

/* Returns the view of a host. A list may pair the identifier of one boot with
   the state of another, the one before or after it. So a state other than live
   makes the host unhealthy only while that list is the newest, and leaving
   holds for the boot that the list names. */
static gv_health_view_t
make_view(const entry_t *e)
{
    return (gv_health_view_t){.host = GvStr_C(e->host),
                              .boot = GvStr_C(e->boot),
                              .healthy = e->healthy && !e->list_not_live,
                              .leaving = is_leaving(e),
                              .running = e->running,
                              .change_number = e->change_number};
}

/* Calls changed() if the boot is new or the view differs from the one that was
   reported last. */
static void
report_change(gv_health_table_t *t, entry_t *e, bool boot_changed)
{
    gv_health_view_t v = make_view(e);
    if (e->reported && !boot_changed && v.healthy == e->reported_healthy &&
        v.leaving == e->reported_leaving && v.running == e->reported_running) {
        return;
    }
    e->reported = true;
    e->reported_healthy = v.healthy;
    e->reported_leaving = v.leaving;
    e->reported_running = v.running;
    if (t->changed != NULL) {
        t->changed(t->user, &v);
    }
}

/* Sets the current boot; confirmed: it comes from a probe. Returns true if the
   boot changed. */
static bool
set_boot(entry_t *e, const char *boot, bool confirmed)
{
    e->confirmed = e->confirmed || confirmed;
    if (strcmp(e->boot, boot) == 0) {
        return false;
    }
    if (e->boot[0] != '\0') {
        add_boot(&e->old_boots, e->boot);
    }
    g_free(e->boot);
    e->boot = g_strdup(boot);
    e->running = -1;
    return true;
}

/* Applies one host of a list. Its boot identifier is used only until a probe,
   own or a peer's, has given one, because the list lags behind the probes. */
static void
apply_listed(gv_health_table_t *t, const gv_listed_host_t *h)
{
    entry_t *e = find_or_add(t, h->host);
    if (e == NULL) {
        return;
    }
    char *boot = g_strndup(h->boot.p, h->boot.n);
    bool changed = false;
    if (!e->confirmed && boot[0] != '\0' && !has_boot(&e->old_boots, boot)) {
        changed = set_boot(e, boot, false);
    }
    bool was_leaving = is_leaving(e);
    e->list_not_live = h->state != GV_LISTED_LIVE;
    if (e->list_not_live) {
        add_boot(&e->leaving, boot[0] != '\0' ? boot : e->boot);
    }
    g_free(boot);
    if (e->change_number > 0 && was_leaving != is_leaving(e)) {
        /* A new change number makes this process report it to its peers, some
           of which may be unable to read the list. */
        e->change_number = ++t->change_number;
    }
    report_change(t, e, changed);
}

/* Applies a list unless it is old; see the header. Hosts without slots are no
   targets and are skipped. */
bool
GvHealth_OnList(gv_health_table_t *t, const gv_hostlist_t *list)
{
    if (t->has_list && list->version <= t->list_version) {
        return false;
    }
    t->has_list = true;
    t->list_version = list->version;
    for (int i = 0; i < list->n; i++) {
        if (list->hosts[i].slots > 0) {
            apply_listed(t, &list->hosts[i]);
        }
    }
    return true;
}

/* Applies the result of an own probe. A host is unhealthy after
   GV_PROBE_FAILURES failed probes in a row. */
void
GvHealth_OnProbe(gv_health_table_t *t, gv_str_t host,
                 const gv_health_report_t *r)
{
    entry_t *e = find_or_add(t, host);
    if (e == NULL) {
        return;
    }
    bool healthy = e->healthy;
    bool was_leaving = is_leaving(e);
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
    if (e->change_number == 0 || e->peer_is_newer || changed ||
        healthy != e->healthy || was_leaving != is_leaving(e)) {
        e->change_number = ++t->change_number;
    }
    e->peer_is_newer = false;
    report_change(t, e, changed);
}

/* Returns true and records the report if it is newer than the peer's last one
   about the host. Returns false also if the table of peers is full. */
static bool
is_newer_report(gv_health_table_t *t, gv_str_t from, uint64_t incarnation,
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
        (incarnation == p->incarnation && h->seen <= p->change_number)) {
        return false;
    }
    p->incarnation = incarnation;
    p->change_number = h->seen;
    return true;
}

/* Applies a peer's report unless it is old. If it names an old boot, only its
   leaving flag is recorded, for that boot. */
void
GvHealth_OnPeer(gv_health_table_t *t, gv_str_t from, uint64_t incarnation,
                const gv_health_t *h)
{
    if (!GvStr_IsName(h->host) || h->boot.n > GV_NAME_MAX_BYTES ||
        !is_newer_report(t, from, incarnation, h)) {
        return;
    }
    entry_t *e = find_or_add(t, h->host);
    if (e == NULL) {
        return;
    }
    char *boot = g_strndup(h->boot.p, h->boot.n);
    bool changed = false;
    e->peer_is_newer = true;
    if (!has_boot(&e->old_boots, boot)) {
        changed = boot[0] != '\0' && set_boot(e, boot, true);
        e->healthy = h->healthy;
        e->failures = h->healthy ? 0 : e->failures;
    }
    if (h->leaving) {
        add_boot(&e->leaving, boot[0] != '\0' ? boot : e->boot);
    }
    g_free(boot);
    report_change(t, e, changed);
}

/* Copies the view of a host; see the header. */
bool
GvHealth_Get(const gv_health_table_t *t, gv_str_t host, gv_health_view_t *v)
{
    const entry_t *e = find(t, host);
    if (e != NULL) {
        *v = make_view(e);
    }
    return e != NULL;
}

/* Removes the hosts that are not in the array, and the records of peers'
   reports about them. */
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

/* Lists the hosts whose last report is this process's own; see the header. */
void
GvHealth_ListOwnReports(const gv_health_table_t *t, uint64_t since,
                        GArray *out)
{
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, t->hosts);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const entry_t *e = value;
        /* A peer's report is not passed on: it could arrive after a newer one
           that the peer sent itself. */
        if (e->change_number <= since || e->peer_is_newer) {
            continue;
        }
        gv_health_t h = {GvStr_C(e->host), GvStr_C(e->boot), is_leaving(e),
                         e->healthy, e->change_number};
        g_array_append_val(out, h);
    }
}

/* Returns true if no member has a higher hash for the host than self; of equal
   hashes the lowest name wins. */
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
