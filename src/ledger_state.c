#include "ledger_state.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "error.h"

/* Releases a claim; NULL is allowed. */
void
GvLedger_FreeClaim(gv_claim_t *c)
{
    if (c == NULL) {
        return;
    }
    GvStr_Free(&c->wave);
    GvStr_Free(&c->to_pool);
    GvStr_Free(&c->holder);
    g_ptr_array_unref(c->waiting);
    g_free(c);
}

/* Releases a host with its claim. */
void
GvLedger_FreeHost(void *row)
{
    gv_ledger_host_t *h = row;
    GvStr_Free(&h->name);
    GvStr_Free(&h->dc);
    GvStr_Free(&h->rack);
    GvStr_Free(&h->addr);
    GvStr_Free(&h->pool);
    GvStr_Free(&h->boot);
    GvLedger_FreeClaim(h->claim);
    g_free(h);
}

/* Releases a member. */
void
GvLedger_FreeMember(void *row)
{
    gv_member_t *m = row;
    GvStr_Free(&m->name);
    GvStr_Free(&m->dc);
    GvStr_Free(&m->peer_addr);
    GvStr_Free(&m->http_addr);
    g_free(m);
}

/* Releases a document. */
void
GvLedger_FreeDocument(void *row)
{
    gv_document_t *d = row;
    GvStr_Free(&d->file);
    GvStr_Free(&d->text);
    g_free(d);
}

/* Releases a wave. */
void
GvLedger_FreeWave(void *row)
{
    gv_wave_t *w = row;
    GvStr_Free(&w->name);
    GvStr_Free(&w->pool);
    GvStr_Free(&w->halt_reason);
    g_free(w);
}

/* Releases a row that holds no strings but its name. */
void
GvLedger_FreeNamed(void *row)
{
    GvStr_Free(row);
    g_free(row);
}

/* Releases a tombstone. */
void
GvLedger_FreeTombstone(void *row)
{
    gv_tombstone_t *t = row;
    GvStr_Free(&t->name);
    GvStr_Free(&t->boot);
    g_free(t);
}

/* Releases a key row. */
void
GvLedger_FreeKey(void *row)
{
    gv_key_row_t *k = row;
    GvStr_Free(&k->name);
    GvStr_Free(&k->claim.owner);
    g_free(k);
}

/* Upper bounds of packed rows: strings with their headers, 9 bytes for each
   number and 3 for the array. */
static size_t
member_size(const void *row)
{
    const gv_member_t *m = row;
    return m->name.n + m->dc.n + m->peer_addr.n + m->http_addr.n + 33;
}

/* Upper bound for a row with a name and two numbers. */
static size_t
named_size(const void *row)
{
    return ((const gv_str_t *)row)->n + 24;
}

/* Upper bound of a wave, whose halt reason may change. */
static size_t
wave_size(const void *row)
{
    const gv_wave_t *w = row;
    return w->name.n + w->pool.n + 300;
}

/* Upper bound of a tombstone. */
static size_t
tombstone_size(const void *row)
{
    const gv_tombstone_t *t = row;
    return t->name.n + t->boot.n + 18;
}

/* Creates an empty ledger: offset 0, no settings, no hosts. */
gv_ledger_t *
GvLedger_New(void)
{
    gv_ledger_t *l = g_new0(gv_ledger_t, 1);
    l->settings = GvSettings_New();
    l->docs = g_ptr_array_new_with_free_func(GvLedger_FreeDocument);
    GvTable_Init(&l->hosts, GvLedger_FreeHost, NULL);
    GvTable_Init(&l->members, GvLedger_FreeMember, member_size);
    GvTable_Init(&l->former, GvLedger_FreeNamed, named_size);
    GvTable_Init(&l->waves, GvLedger_FreeWave, wave_size);
    GvTable_Init(&l->tombstones, GvLedger_FreeTombstone, tombstone_size);
    GvTable_Init(&l->origins, GvLedger_FreeNamed, named_size);
    GvTable_Init(&l->keys, GvLedger_FreeKey, NULL);
    l->tallies =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return l;
}

/* Releases the ledger; NULL is allowed. */
void
GvLedger_Free(gv_ledger_t *l)
{
    if (l == NULL) {
        return;
    }
    GvSettings_Unref(l->settings);
    g_ptr_array_unref(l->docs);
    GvTable_Clear(&l->hosts);
    GvTable_Clear(&l->members);
    GvTable_Clear(&l->former);
    GvTable_Clear(&l->waves);
    GvTable_Clear(&l->tombstones);
    GvTable_Clear(&l->origins);
    GvTable_Clear(&l->keys);
    g_hash_table_unref(l->tallies);
    g_free(l);
}

/* Tells whether a key is still held at the ledger's time. */
bool
GvLedger_IsLiveKey(const gv_ledger_t *l, const gv_key_row_t *k)
{
    return k->claim.expires_ms > l->time_ms;
}

/* Tells whether an origin's sequence is still kept. */
bool
GvLedger_IsLiveOrigin(const gv_ledger_t *l, const gv_origin_t *o)
{
    return o->last_ms + GV_ORIGIN_KEEP_MS > l->time_ms;
}

/* Tells whether a tombstone is still kept. */
bool
GvLedger_IsLiveTombstone(const gv_ledger_t *l, const gv_tombstone_t *t)
{
    return t->gone_ms + GV_TOMBSTONE_KEEP_MS > l->time_ms;
}

/* Drops rows past their time. Such rows never influence a verdict or the
   saved state, so it does not matter when they are dropped. */
void
GvLedger_DropExpired(gv_ledger_t *l)
{
    for (unsigned i = l->keys.rows->len; i-- > 0;) {
        gv_key_row_t *k = g_ptr_array_index(l->keys.rows, i);
        if (!GvLedger_IsLiveKey(l, k)) {
            GvTable_Remove(&l->keys, k->name);
        }
    }
    for (unsigned i = l->origins.rows->len; i-- > 0;) {
        gv_origin_t *o = g_ptr_array_index(l->origins.rows, i);
        if (!GvLedger_IsLiveOrigin(l, o)) {
            GvTable_Remove(&l->origins, o->name);
        }
    }
    for (unsigned i = l->tombstones.rows->len; i-- > 0;) {
        gv_tombstone_t *t = g_ptr_array_index(l->tombstones.rows, i);
        if (!GvLedger_IsLiveTombstone(l, t)) {
            GvTable_Remove(&l->tombstones, t->name);
        }
    }
}

/* Tells whether this incarnation of the entry host is a member. */
bool
GvLedger_IsCurrentMember(const gv_ledger_t *l, gv_str_t entry,
                         uint64_t incarnation)
{
    const gv_member_t *m = GvTable_Find(&l->members, entry);
    return m != NULL && m->incarnation == incarnation;
}

/* Formats the reason of a refusal. */
void
GvLedger_FormatReason(char *reason, size_t n, const char *fmt, ...)
{
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(reason, n, fmt, ap);
    va_end(ap);
}

/* Returns the offset of the next record to apply. */
uint64_t
GvLedger_NextOffset(const gv_ledger_t *l)
{
    return l->next;
}

/* Returns the highest append time applied so far, in ms since the epoch. */
int64_t
GvLedger_TimeMs(const gv_ledger_t *l)
{
    return l->time_ms;
}

/* Returns the highest offset covered by a checkpoint in the log, or 0. */
uint64_t
GvLedger_CoveredOffset(const gv_ledger_t *l)
{
    return l->covered;
}

/* Returns the ledger time at the covered offset, or 0. */
int64_t
GvLedger_CoveredMs(const gv_ledger_t *l)
{
    return l->covered_ms;
}

/* Returns the version in force: the offset after its settings record, or 0
   for none. */
uint64_t
GvLedger_SettingsVersion(const gv_ledger_t *l)
{
    return l->version;
}

/* Returns the settings in force, never NULL; the caller takes a reference to
   keep them past the next record. */
gv_settings_t *
GvLedger_Settings(const gv_ledger_t *l)
{
    return l->settings;
}

/* Returns the documents in force, in the order of their record. */
const GPtrArray *
GvLedger_Documents(const gv_ledger_t *l)
{
    return l->docs;
}

/* Returns the host of that name, or NULL. */
const gv_ledger_host_t *
GvLedger_Host(const gv_ledger_t *l, gv_str_t name)
{
    return GvTable_Find(&l->hosts, name);
}

/* Returns the member of that name, or NULL. */
const gv_member_t *
GvLedger_Member(const gv_ledger_t *l, gv_str_t name)
{
    return GvTable_Find(&l->members, name);
}

/* Returns the wave of that name, or NULL. */
const gv_wave_t *
GvLedger_Wave(const gv_ledger_t *l, gv_str_t name)
{
    return GvTable_Find(&l->waves, name);
}

/* Returns the wave of the pool that is running or halted, or NULL. */
const gv_wave_t *
GvLedger_ActiveWave(const gv_ledger_t *l, gv_str_t pool)
{
    for (unsigned i = 0; i < l->waves.rows->len; i++) {
        const gv_wave_t *w = g_ptr_array_index(l->waves.rows, i);
        if (w->state != GV_WAVE_DONE && GvStr_Equal(w->pool, pool)) {
            return w;
        }
    }
    return NULL;
}

/* Returns all hosts, sorted by name. */
const GPtrArray *
GvLedger_Hosts(const gv_ledger_t *l)
{
    return l->hosts.rows;
}

/* Returns all members, sorted by name. */
const GPtrArray *
GvLedger_Members(const gv_ledger_t *l)
{
    return l->members.rows;
}

/* Returns all waves, sorted by name. */
const GPtrArray *
GvLedger_Waves(const gv_ledger_t *l)
{
    return l->waves.rows;
}
