#include <string.h>
#include <xxhash.h>

#include "error.h"
#include "ledger_state.h"

/* Key claims may expire this long after the ledger's time: the time to live
   plus the clock difference allowed for records. */
#define KEY_AHEAD_MS (GV_KEY_TTL_MS + GV_RECORD_SKEW_MS)

/* Returns the hash of a service's name. */
static uint64_t
hash_service(gv_str_t service)
{
    return XXH3_64bits(service.p, service.n);
}

/* Formats the row name of a key: 24 bytes, big-endian, so that rows sort by
   service, then key. */
gv_str_t
GvLedger_KeyName(uint64_t service_hash, const uint64_t key_hash[2],
                 char out[24])
{
    const uint64_t parts[3] = {service_hash, key_hash[0], key_hash[1]};
    for (int i = 0; i < 3; i++) {
        uint64_t be = GUINT64_TO_BE(parts[i]);
        memcpy(out + 8 * (size_t)i, &be, 8);
    }
    return GvStr_N(out, 24);
}

/* Packs key claims: [owner, incarnation, [[service hash, key hash high, key
   hash low, expiry], ...]]. At most GV_KEY_BATCH items. */
void
GvLedger_PackKeys(msgpack_sbuffer *out, const gv_key_item_t *items, int n,
                  gv_str_t owner, uint64_t incarnation)
{
    msgpack_packer pk = GvPack_Array(out, 3);
    GvPack_Str(&pk, owner);
    GvPack_Uint(&pk, incarnation);
    msgpack_pack_array(&pk, (size_t)n);
    for (int i = 0; i < n; i++) {
        XXH128_hash_t h = XXH3_128bits(items[i].key.p, items[i].key.n);
        msgpack_pack_array(&pk, 4);
        GvPack_Uint(&pk, hash_service(items[i].service));
        GvPack_Uint(&pk, h.high64);
        GvPack_Uint(&pk, h.low64);
        GvPack_Int(&pk, items[i].expires_ms);
    }
}

/* Returns the live claim of a key, or NULL when nobody holds it. */
const gv_key_claim_t *
GvLedger_Key(const gv_ledger_t *l, gv_str_t service, gv_str_t key)
{
    char name[24];
    XXH128_hash_t h = XXH3_128bits(key.p, key.n);
    const uint64_t hash[2] = {h.high64, h.low64};
    const gv_key_row_t *row = GvTable_Find(
        &l->keys, GvLedger_KeyName(hash_service(service), hash, name));
    return row != NULL && GvLedger_IsLiveKey(l, row) ? &row->claim : NULL;
}

/* Reads one item. */
static int
read_item(gv_unpack_t *items, gv_key_claim_t *c)
{
    gv_unpack_t u = GvUnpack_Sub(items, 4);
    c->service_hash = GvUnpack_Uint(&u);
    c->key_hash[0] = GvUnpack_Uint(&u);
    c->key_hash[1] = GvUnpack_Uint(&u);
    c->expires_ms = GvUnpack_Int(&u);
    return u.err;
}

/* Grants one key unless it is held, its expiry is out of range or the table
   is full. */
static bool
grant(gv_ledger_t *l, const gv_key_claim_t *c)
{
    char name[24];
    gv_str_t id = GvLedger_KeyName(c->service_hash, c->key_hash, name);
    gv_key_row_t *row = GvTable_Find(&l->keys, id);
    if ((row != NULL && GvLedger_IsLiveKey(l, row)) ||
        c->expires_ms <= l->time_ms ||
        c->expires_ms - l->time_ms > KEY_AHEAD_MS) {
        return false;
    }
    GvTable_Remove(&l->keys, id);
    if (l->keys.rows->len >= GV_KEYS_MAX) {
        GvLedger_DropExpired(l);
    }
    if (l->keys.rows->len >= GV_KEYS_MAX) {
        return false;
    }
    row = g_new0(gv_key_row_t, 1);
    row->name = GvStr_Dup(id);
    row->claim = *c;
    row->claim.owner = GvStr_Dup(c->owner);
    GvTable_Add(&l->keys, row);
    return true;
}

/* Applies key claims item by item; the first claim of a key wins. The record
   is accepted when at least one key is granted; its sender looks up which. */
static int
fold_key(gv_ledger_t *l, uint64_t offset, const gv_record_t *r, char *reason,
         size_t n)
{
    gv_key_claim_t items[GV_KEY_BATCH] = {0};
    int count = 0;
    int granted = 0;
    (void)offset;
    gv_unpack_t u = GvUnpack_Array(r->payload, 3);
    gv_str_t owner = GvUnpack_Str(&u);
    uint64_t incarnation = GvUnpack_Uint(&u);
    gv_unpack_t list = GvUnpack_Sub(&u, 1);
    while (GvUnpack_HasNext(&list)) {
        if (count == GV_KEY_BATCH ||
            read_item(&list, &items[count]) != GV_OK) {
            return GV_EINVAL;
        }
        items[count].owner = owner;
        items[count++].incarnation = incarnation;
    }
    if (u.err != GV_OK || list.err != GV_OK || !GvStr_IsName(owner)) {
        return GV_EINVAL;
    }
    if (!GvLedger_IsCurrentMember(l, owner, incarnation)) {
        return GvLedger_Refuse(reason, n, "%.*s is not a member",
                               GV_STR_ARG(owner));
    }
    for (int i = 0; i < count; i++) {
        granted += grant(l, &items[i]) ? 1 : 0;
    }
    if (granted == 0) {
        return GvLedger_Refuse(reason, n, "no key is free");
    }
    return GV_OK;
}

static gv_record_kind_t key_kind = {{"key", NULL}, fold_key};
GV_REGISTER(GV_PLUGIN_RECORD, key_kind);
