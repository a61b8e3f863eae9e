#include <string.h>

#include "error.h"
#include "ledger_state.h"
#include "yaml_read.h"

/* Packs a host report: [host, dc, rack, address, slots, pool, boot, state].
   The claim of h is not part of it. */
void
GvLedger_PackHost(msgpack_sbuffer *out, const gv_ledger_host_t *h)
{
    msgpack_packer pk = GvPack_Array(out, 8);
    GvPack_Str(&pk, h->name);
    GvPack_Str(&pk, h->dc);
    GvPack_Str(&pk, h->rack);
    GvPack_Str(&pk, h->addr);
    GvPack_Int(&pk, h->slots);
    GvPack_Str(&pk, h->pool);
    GvPack_Str(&pk, h->boot);
    GvPack_Int(&pk, h->state);
}

/* Tells whether a boot identifier has only printable characters. A saved
   state with any other would not load again. */
bool
GvLedger_IsBootId(gv_str_t s)
{
    for (size_t i = 0; i < s.n; i++) {
        if (!g_ascii_isgraph(s.p[i])) {
            return false;
        }
    }
    return s.n <= GV_BOOT_MAX_BYTES;
}

/* Reads a host report as views. A `gone` report needs only its name and
   boot to be valid. */
static int
read_host(const msgpack_object *payload, gv_ledger_host_t *h)
{
    gv_unpack_t u = GvUnpack_Array(payload, 8);
    h->name = GvUnpack_Str(&u);
    h->dc = GvUnpack_Str(&u);
    h->rack = GvUnpack_Str(&u);
    h->addr = GvUnpack_Str(&u);
    uint64_t slots = GvUnpack_Uint(&u);
    h->pool = GvUnpack_Str(&u);
    h->boot = GvUnpack_Str(&u);
    uint64_t state = GvUnpack_Uint(&u);
    if (u.err != GV_OK || !GvStr_IsName(h->name) || state > GV_HOST_GONE ||
        !GvLedger_IsBootId(h->boot)) {
        return GV_EINVAL;
    }
    h->slots = (int)MIN(slots, GV_SLOTS_MAX + 1);
    h->state = (gv_host_state_t)state;
    if (h->state == GV_HOST_GONE) {
        return GV_OK;
    }
    bool valid = GvStr_IsName(h->dc) && GvStr_IsName(h->rack) &&
                 GvYaml_IsAddr(h->addr) && GvStr_IsName(h->pool) &&
                 h->boot.n > 0 && h->slots >= 1 && h->slots <= GV_SLOTS_MAX;
    return valid ? GV_OK : GV_EINVAL;
}

/* Returns the longest-kept tombstone; ties go to the first name. */
static gv_tombstone_t *
oldest_tombstone(const gv_ledger_t *l)
{
    gv_tombstone_t *best = NULL;
    for (unsigned i = 0; i < l->tombstones.rows->len; i++) {
        gv_tombstone_t *t = g_ptr_array_index(l->tombstones.rows, i);
        if (best == NULL || t->gone_ms < best->gone_ms) {
            best = t;
        }
    }
    return best;
}

/* Remembers the boot of a host that is gone, so that a late report cannot
   bring it back. When the table is full the oldest row is dropped. */
static void
bury(gv_ledger_t *l, gv_str_t name, gv_str_t boot)
{
    gv_tombstone_t *t = g_new0(gv_tombstone_t, 1);
    t->name = GvStr_Dup(name);
    t->boot = GvStr_Dup(boot);
    t->gone_ms = l->time_ms;
    GvTable_Remove(&l->tombstones, name);
    if (l->tombstones.rows->len >= GV_TOMBSTONES_MAX) {
        GvTable_Remove(&l->tombstones, oldest_tombstone(l)->name);
    }
    GvTable_Add(&l->tombstones, t);
}

/* Removes a host; a maintenance claim on it halts its wave. */
static void
remove_host(gv_ledger_t *l, gv_ledger_host_t *h, gv_str_t boot)
{
    gv_str_t pool = GvStr_Dup(h->pool);
    if (h->claim != NULL && h->claim->kind == GV_CLAIM_MAINTENANCE) {
        GvLedger_HaltWave(l, h->claim->wave, "host %.*s is gone",
                          GV_STR_ARG(h->name));
    }
    bury(l, h->name, boot.n > 0 ? boot : h->boot);
    GvLedger_CountHost(l, h, -1);
    GvTable_Remove(&l->hosts, h->name);
    GvLedger_EndWaveIfDone(l, pool);
    GvStr_Free(&pool);
}

/* Adds a host that the ledger does not know. */
static int
add_host(gv_ledger_t *l, const gv_ledger_host_t *in, char *reason, size_t n)
{
    const gv_tombstone_t *t = GvTable_Find(&l->tombstones, in->name);
    if (GvSettings_Pool(l->settings, in->pool) == NULL) {
        return GvLedger_Refuse(reason, n, "pool %.*s is not declared",
                               GV_STR_ARG(in->pool));
    }
    if (t != NULL && GvLedger_IsLiveTombstone(l, t) &&
        GvStr_Equal(t->boot, in->boot)) {
        return GvLedger_Refuse(reason, n, "host %.*s is gone since this boot",
                               GV_STR_ARG(in->name));
    }
    if (l->hosts.rows->len >= GV_HOSTS_MAX ||
        !GvLedger_HasRoom(l, GV_HOST_STATE_BYTES)) {
        return GvLedger_Refuse(reason, n, "too many hosts");
    }
    gv_ledger_host_t *h = g_new0(gv_ledger_host_t, 1);
    h->name = GvStr_Dup(in->name);
    h->dc = GvStr_Dup(in->dc);
    h->rack = GvStr_Dup(in->rack);
    h->addr = GvStr_Dup(in->addr);
    h->pool = GvStr_Dup(in->pool);
    h->boot = GvStr_Dup(in->boot);
    h->slots = in->slots;
    h->state = in->state;
    GvTable_Remove(&l->tombstones, in->name);
    GvTable_Add(&l->hosts, h);
    GvLedger_CountHost(l, h, 1);
    return GV_OK;
}

/* Replaces an owned string by a copy of s. */
static void
replace(gv_str_t *to, gv_str_t s)
{
    GvStr_Free(to);
    *to = GvStr_Dup(s);
}

/* Updates a known host. Its pool changes only by a move. */
static int
change_host(gv_ledger_t *l, gv_ledger_host_t *h, const gv_ledger_host_t *in,
            char *reason, size_t n)
{
    if (!GvStr_Equal(h->dc, in->dc)) {
        return GvLedger_Refuse(reason, n, "host %.*s is in data centre %.*s",
                               GV_STR_ARG(h->name), GV_STR_ARG(h->dc));
    }
    if (h->state == in->state && h->slots == in->slots &&
        GvStr_Equal(h->boot, in->boot) && GvStr_Equal(h->addr, in->addr) &&
        GvStr_Equal(h->rack, in->rack)) {
        return GvLedger_Refuse(reason, n, "host %.*s is unchanged",
                               GV_STR_ARG(h->name));
    }
    if (!GvLedger_HasRoom(l, in->boot.n + in->addr.n + in->rack.n)) {
        return GvLedger_Refuse(reason, n, "the state is full");
    }
    bool failing = in->state == GV_HOST_FAILED && h->state != GV_HOST_FAILED;
    GvLedger_CountHost(l, h, -1);
    replace(&h->rack, in->rack);
    replace(&h->addr, in->addr);
    replace(&h->boot, in->boot);
    h->slots = in->slots;
    h->state = in->state;
    GvLedger_CountHost(l, h, 1);
    if (failing && h->claim != NULL &&
        h->claim->kind == GV_CLAIM_MAINTENANCE &&
        h->claim->phase != GV_PHASE_STOPPING) {
        GvLedger_HaltWave(l, h->claim->wave, "host %.*s failed",
                          GV_STR_ARG(h->name));
    }
    return GV_OK;
}

/* Applies a host report. */
static int
fold_host(gv_ledger_t *l, uint64_t offset, const gv_record_t *r, char *reason,
          size_t n)
{
    gv_ledger_host_t in = {0};
    (void)offset;
    if (read_host(r->payload, &in) != GV_OK) {
        return GV_EINVAL;
    }
    gv_ledger_host_t *h = GvTable_Find(&l->hosts, in.name);
    if (in.state != GV_HOST_GONE) {
        return h == NULL ? add_host(l, &in, reason, n)
                         : change_host(l, h, &in, reason, n);
    }
    if (h == NULL) {
        return GvLedger_Refuse(reason, n, "host %.*s is not known",
                               GV_STR_ARG(in.name));
    }
    remove_host(l, h, in.boot);
    return GV_OK;
}

static gv_record_kind_t host_kind = {{"host", NULL}, fold_host};
GV_REGISTER(GV_PLUGIN_RECORD, host_kind);
