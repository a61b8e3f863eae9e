#include <string.h>

#include "error.h"
#include "ledger_state.h"

/* Packed size of a key; see save_keys. */
#define KEY_ROW_BYTES 24

/* Reads a string of at most max bytes without a NUL. Returns a copy that the
   caller frees; it is empty, and u->err is GV_EINVAL, for any other value. */
static gv_str_t
load_str(gv_unpack_t *u, size_t max)
{
    gv_str_t s = GvUnpack_Str(u);
    if (s.n > max || (s.n > 0 && memchr(s.p, '\0', s.n) != NULL)) {
        u->err = GV_EINVAL;
        s = GV_STR("");
    }
    return GvStr_Dup(s);
}

/* Reads a name, which may be empty if `optional`. Returns a copy that the
   caller frees; it is empty, and u->err is GV_EINVAL, for any other value. */
static gv_str_t
load_name(gv_unpack_t *u, bool optional)
{
    gv_str_t s = GvUnpack_Str(u);
    if (!GvStr_IsName(s) && !(optional && s.n == 0)) {
        u->err = GV_EINVAL;
        s = GV_STR("");
    }
    return GvStr_Dup(s);
}

/* Reads an integer from 0 to max; sets u->err for any other value. */
static int
load_int(gv_unpack_t *u, int max)
{
    uint64_t v = GvUnpack_Uint(u);
    if (v > (uint64_t)max) {
        u->err = GV_EINVAL;
        return 0;
    }
    return (int)v;
}

/* Reads a time in ms since the epoch; sets u->err if it is out of range. */
static int64_t
load_ms(gv_unpack_t *u)
{
    int64_t v = GvUnpack_Int(u);
    if (v < 0 || v > GV_LEDGER_TIME_MAX_MS) {
        u->err = GV_EINVAL;
        return 0;
    }
    return v;
}

/* Adds a row to a table. Returns 0, or GV_EINVAL with the row freed if err is
   set, the table has max rows, or the name is not above the previous one.
   GvLedger_Save never writes such rows, so a state that has one is corrupt. */
static int
load_row(gv_table_t *t, void *row, GDestroyNotify free_row, unsigned max,
         int err)
{
    const gv_str_t *last = t->rows->len == 0
                               ? NULL
                               : g_ptr_array_index(t->rows, t->rows->len - 1);
    if (err != GV_OK || t->rows->len >= max ||
        (last != NULL && GvStr_Compare(*last, *(gv_str_t *)row) >= 0)) {
        free_row(row);
        return GV_EINVAL;
    }
    GvTable_Add(t, row);
    return GV_OK;
}

/* Reads the names of entry hosts that have yet to confirm. Sets u->err unless
   they are sorted without repeats and at most GV_ENTRY_HOSTS_MAX. */
static void
load_waiting(gv_unpack_t *u, GPtrArray *waiting)
{
    gv_unpack_t list = GvUnpack_Sub(u, 0);
    const char *last = "";
    while (GvUnpack_HasNext(&list)) {
        gv_str_t s = load_name(&list, false);
        if (list.err != GV_OK || strcmp(last, s.p) >= 0 ||
            waiting->len >= GV_ENTRY_HOSTS_MAX) {
            GvStr_Free(&s);
            list.err = GV_EINVAL;
            break;
        }
        g_ptr_array_add(waiting, (void *)s.p);
        last = s.p;
    }
    if (list.err != GV_OK) {
        u->err = GV_EINVAL;
    }
}

/* Returns true if the claim's kind, wave, destination pool, phase and
   outstanding confirmations can occur together. */
static bool
claim_is_consistent(const gv_claim_t *c)
{
    bool outstanding = c->waiting->len > 0;
    switch (c->kind) {
    case GV_CLAIM_MAINTENANCE:
        return c->wave.n > 0 && c->to_pool.n == 0 &&
               outstanding == (c->phase == GV_PHASE_GRANTED);
    case GV_CLAIM_MOVE:
        return c->wave.n == 0 && c->to_pool.n > 0 && outstanding &&
               c->phase == GV_PHASE_GRANTED;
    case GV_CLAIM_DRAIN:
        return c->wave.n == 0 && c->to_pool.n == 0 &&
               c->phase != GV_PHASE_STOPPING &&
               outstanding == (c->phase == GV_PHASE_GRANTED);
    }
    return false;
}

/* Reads a host's claim. Returns NULL for nil, and also, with parent->err set,
   for an invalid claim. */
static gv_claim_t *
load_claim(gv_unpack_t *parent)
{
    const msgpack_object *o = GvUnpack_Any(parent);
    if (o == NULL || o->type == MSGPACK_OBJECT_NIL) {
        return NULL;
    }
    gv_unpack_t u = GvUnpack_Array(o, 10);
    gv_claim_t *c = g_new0(gv_claim_t, 1);
    c->waiting = g_ptr_array_new_with_free_func(g_free);
    c->offset = GvUnpack_Uint(&u);
    c->fence = GvUnpack_Uint(&u);
    c->waived = GvUnpack_Bool(&u);
    c->kind = (gv_claim_kind_t)load_int(&u, GV_CLAIM_DRAIN);
    c->phase = (gv_claim_phase_t)load_int(&u, GV_PHASE_STOPPING);
    c->wave = load_name(&u, true);
    c->to_pool = load_name(&u, true);
    c->holder = load_name(&u, false);
    c->holder_incarnation = GvUnpack_Uint(&u);
    load_waiting(&u, c->waiting);
    if (u.err != GV_OK || !claim_is_consistent(c) || c->fence < c->offset) {
        GvLedger_FreeClaim(c);
        parent->err = GV_EINVAL;
        return NULL;
    }
    return c;
}

/* Reads all hosts. Returns 0 or GV_EINVAL. The settings must be loaded,
   because each host's pool has to be declared in them. */
static int
load_hosts(gv_ledger_t *l, gv_unpack_t *top)
{
    gv_unpack_t list = GvUnpack_Sub(top, 0);
    while (GvUnpack_HasNext(&list)) {
        gv_unpack_t u = GvUnpack_Sub(&list, 10);
        gv_ledger_host_t *h = g_new0(gv_ledger_host_t, 1);
        h->name = load_name(&u, false);
        h->dc = load_name(&u, false);
        h->rack = load_name(&u, false);
        h->addr = load_str(&u, GV_ADDR_MAX_BYTES);
        h->pool = load_name(&u, false);
        h->boot = load_str(&u, GV_BOOT_MAX_BYTES);
        h->slots = load_int(&u, GV_SLOTS_MAX);
        h->state = (gv_host_state_t)load_int(&u, GV_HOST_FAILED);
        h->last_wave_offset = GvUnpack_Uint(&u);
        h->claim = load_claim(&u);
        if (GvSettings_Pool(l->settings, h->pool) == NULL) {
            u.err = GV_EINVAL;
        }
        if (load_row(&l->hosts, h, GvLedger_FreeHost, GV_HOSTS_MAX, u.err) !=
            GV_OK) {
            return GV_EINVAL;
        }
        GvLedger_CountHost(l, h, 1);
    }
    return list.err;
}

/* Reads members, then former members. Returns 0 or GV_EINVAL; no name may be
   in both. */
static int
load_members(gv_ledger_t *l, gv_unpack_t *top)
{
    gv_unpack_t list = GvUnpack_Sub(top, 0);
    while (GvUnpack_HasNext(&list)) {
        gv_unpack_t u = GvUnpack_Sub(&list, 6);
        gv_member_t *m = g_new0(gv_member_t, 1);
        m->name = load_name(&u, false);
        m->dc = load_name(&u, false);
        m->peer_addr = load_str(&u, GV_ADDR_MAX_BYTES);
        m->http_addr = load_str(&u, GV_ADDR_MAX_BYTES);
        m->incarnation = GvUnpack_Uint(&u);
        m->join_offset = GvUnpack_Uint(&u);
        if (load_row(&l->members, m, GvLedger_FreeMember, GV_ENTRY_HOSTS_MAX,
                     u.err) != GV_OK) {
            return GV_EINVAL;
        }
    }
    gv_unpack_t former = GvUnpack_Sub(top, 0);
    while (list.err == GV_OK && GvUnpack_HasNext(&former)) {
        gv_unpack_t u = GvUnpack_Sub(&former, 3);
        gv_former_member_t *f = g_new0(gv_former_member_t, 1);
        f->name = load_name(&u, false);
        f->incarnation = GvUnpack_Uint(&u);
        f->offset = GvUnpack_Uint(&u);
        if (GvTable_Find(&l->members, f->name) != NULL) {
            u.err = GV_EINVAL;
        }
        if (load_row(&l->former_members, f, GvLedger_FreeNamed,
                     GV_FORMER_MEMBERS_MAX, u.err) != GV_OK) {
            return GV_EINVAL;
        }
    }
    return list.err != GV_OK ? list.err : former.err;
}

/* Reads all waves. Returns 0 or GV_EINVAL. A wave that is running or halted
   must be the only one of a declared pool. */
static int
load_waves(gv_ledger_t *l, gv_unpack_t *top)
{
    gv_unpack_t list = GvUnpack_Sub(top, 0);
    while (GvUnpack_HasNext(&list)) {
        gv_unpack_t u = GvUnpack_Sub(&list, 7);
        gv_wave_t *w = g_new0(gv_wave_t, 1);
        w->name = load_name(&u, false);
        w->pool = load_name(&u, false);
        w->width = load_int(&u, GV_HOSTS_MAX);
        w->offset = GvUnpack_Uint(&u);
        w->state = (gv_wave_state_t)load_int(&u, GV_WAVE_DONE);
        w->healthy = load_int(&u, INT32_MAX / 2);
        w->halt_reason = load_str(&u, GV_HALT_REASON_BYTES);
        if (w->state != GV_WAVE_DONE &&
            (GvSettings_Pool(l->settings, w->pool) == NULL ||
             GvLedger_ActiveWave(l, w->pool) != NULL)) {
            u.err = GV_EINVAL;
        }
        if (load_row(&l->waves, w, GvLedger_FreeWave, GV_WAVES_MAX, u.err) !=
            GV_OK) {
            return GV_EINVAL;
        }
    }
    return list.err;
}

/* Reads tombstones, then origins. Returns 0 or GV_EINVAL. */
static int
load_tombstones_and_origins(gv_ledger_t *l, gv_unpack_t *top)
{
    gv_unpack_t list = GvUnpack_Sub(top, 0);
    while (GvUnpack_HasNext(&list)) {
        gv_unpack_t u = GvUnpack_Sub(&list, 3);
        gv_tombstone_t *t = g_new0(gv_tombstone_t, 1);
        t->name = load_name(&u, false);
        t->boot = load_str(&u, GV_BOOT_MAX_BYTES);
        t->gone_ms = load_ms(&u);
        if (load_row(&l->tombstones, t, GvLedger_FreeTombstone,
                     GV_TOMBSTONES_MAX, u.err) != GV_OK) {
            return GV_EINVAL;
        }
    }
    gv_unpack_t origins = GvUnpack_Sub(top, 0);
    while (list.err == GV_OK && GvUnpack_HasNext(&origins)) {
        gv_unpack_t u = GvUnpack_Sub(&origins, 3);
        gv_origin_t *o = g_new0(gv_origin_t, 1);
        o->name = load_str(&u, GV_NAME_MAX_BYTES + 24);
        o->sequence = GvUnpack_Uint(&u);
        o->last_ms = load_ms(&u);
        if (load_row(&l->origins, o, GvLedger_FreeNamed, GV_ORIGINS_MAX,
                     u.err) != GV_OK) {
            return GV_EINVAL;
        }
    }
    return list.err != GV_OK ? list.err : origins.err;
}

/* Reads one key of KEY_ROW_BYTES at p, which refers to its owner and service
   by their positions in these arrays. Returns 0 or GV_EINVAL. */
static int
load_key(gv_ledger_t *l, const char *p, const msgpack_object *owners,
         const msgpack_object *services)
{
    char id[24];
    uint16_t numbers[2];
    uint32_t remaining_ms;
    uint64_t hash[2];
    gv_key_row_t *k = g_new0(gv_key_row_t, 1);
    gv_key_claim_t *c = &k->claim;
    memcpy(hash, p, 16);
    memcpy(numbers, p + 16, 4);
    memcpy(&remaining_ms, p + 20, 4);
    gv_unpack_t owner_list =
        GvUnpack_Array(owners, GUINT16_FROM_BE(numbers[0]) + 1u);
    gv_unpack_t service_list =
        GvUnpack_Array(services, GUINT16_FROM_BE(numbers[1]) + 1u);
    if (owner_list.err == GV_OK && service_list.err == GV_OK) {
        owner_list.index = GUINT16_FROM_BE(numbers[0]);
        service_list.index = GUINT16_FROM_BE(numbers[1]);
    }
    gv_unpack_t owner = GvUnpack_Sub(&owner_list, 2);
    c->owner = load_name(&owner, false);
    c->incarnation = GvUnpack_Uint(&owner);
    c->service_hash = GvUnpack_Uint(&service_list);
    c->key_hash[0] = GUINT64_FROM_BE(hash[0]);
    c->key_hash[1] = GUINT64_FROM_BE(hash[1]);
    c->expires_ms = l->time_ms + GUINT32_FROM_BE(remaining_ms);
    k->name = GvStr_Dup(GvLedger_KeyName(c->service_hash, c->key_hash, id));
    int err =
        owner.err != GV_OK || service_list.err != GV_OK ? GV_EINVAL : GV_OK;
    return load_row(&l->keys, k, GvLedger_FreeKey, GV_KEYS_MAX, err);
}

/* Reads all keys. Returns 0 or GV_EINVAL. */
static int
load_keys(gv_ledger_t *l, gv_unpack_t *top)
{
    gv_str_t rows = GvUnpack_Str(top);
    const msgpack_object *owners = GvUnpack_Any(top);
    const msgpack_object *services = GvUnpack_Any(top);
    if (top->err != GV_OK || rows.n % KEY_ROW_BYTES != 0) {
        return GV_EINVAL;
    }
    for (size_t at = 0; at < rows.n; at += KEY_ROW_BYTES) {
        if (load_key(l, rows.p + at, owners, services) != GV_OK) {
            return GV_EINVAL;
        }
    }
    return GV_OK;
}

/* Reads and parses the settings documents. Returns 0 or GV_EINVAL. */
static int
load_settings(gv_ledger_t *l, gv_unpack_t *top)
{
    int err = GvLedger_ReadDocuments(top, l->docs, &l->docs_bytes);
    if (err != GV_OK || l->docs_bytes > GV_SETTINGS_TEXT_BYTES) {
        return GV_EINVAL;
    }
    GvSettings_Unref(l->settings);
    l->settings = GvLedger_ParseDocuments(l->docs, NULL);
    return l->settings == NULL ? GV_EINVAL : GV_OK;
}

/* Reads the whole state from the top-level array, in the order in which
   GvLedger_Save writes it. Returns 0 or GV_EINVAL. */
static int
load_state(gv_ledger_t *l, gv_unpack_t *top)
{
    if (GvUnpack_Uint(top) != GV_STATE_FORMAT) {
        return GV_EINVAL;
    }
    l->next_offset = GvUnpack_Uint(top);
    l->time_ms = load_ms(top);
    l->covered_offset = GvUnpack_Uint(top);
    l->covered_ms = load_ms(top);
    l->settings_version = GvUnpack_Uint(top);
    if (top->err != GV_OK || load_settings(l, top) != GV_OK ||
        load_hosts(l, top) != GV_OK || load_members(l, top) != GV_OK ||
        load_waves(l, top) != GV_OK ||
        load_tombstones_and_origins(l, top) != GV_OK ||
        load_keys(l, top) != GV_OK || top->err != GV_OK ||
        !GvLedger_HasRoom(l, 0)) {
        return GV_EINVAL;
    }
    return GV_OK;
}

/* Reads a state written by GvLedger_Save. Returns 0 with a new ledger in out,
   which the caller frees, or GV_EINVAL. */
int
GvLedger_Load(gv_str_t bytes, gv_ledger_t **out)
{
    msgpack_unpacked un;
    int err = GvUnpack_Root(&un, bytes);
    gv_ledger_t *l = GvLedger_New();
    if (err == GV_OK) {
        gv_unpack_t top = GvUnpack_Array(&un.data, 16);
        err = load_state(l, &top);
    }
    msgpack_unpacked_destroy(&un);
    if (err != GV_OK) {
        GvLedger_Free(l);
        return GV_EINVAL;
    }
    *out = l;
    return GV_OK;
}
