#include <string.h>

#include "ledger_state.h"

/* Packs a claim, or nil for none. */
static void
save_claim(msgpack_packer *pk, const gv_claim_t *c)
{
    if (c == NULL) {
        msgpack_pack_nil(pk);
        return;
    }
    msgpack_pack_array(pk, 10);
    GvPack_Uint(pk, c->offset);
    GvPack_Uint(pk, c->fence);
    GvPack_Bool(pk, c->waived);
    GvPack_Int(pk, c->kind);
    GvPack_Int(pk, c->phase);
    GvPack_Str(pk, c->wave);
    GvPack_Str(pk, c->to_pool);
    GvPack_Str(pk, c->holder);
    GvPack_Uint(pk, c->holder_incarnation);
    msgpack_pack_array(pk, c->waiting->len);
    for (unsigned i = 0; i < c->waiting->len; i++) {
        GvPack_Str(pk, GvStr_C(g_ptr_array_index(c->waiting, i)));
    }
}

/* Packs all hosts with their claims. */
static void
save_hosts(msgpack_packer *pk, const gv_ledger_t *l)
{
    msgpack_pack_array(pk, l->hosts.rows->len);
    for (unsigned i = 0; i < l->hosts.rows->len; i++) {
        const gv_ledger_host_t *h = g_ptr_array_index(l->hosts.rows, i);
        msgpack_pack_array(pk, 10);
        GvPack_Str(pk, h->name);
        GvPack_Str(pk, h->dc);
        GvPack_Str(pk, h->rack);
        GvPack_Str(pk, h->addr);
        GvPack_Str(pk, h->pool);
        GvPack_Str(pk, h->boot);
        GvPack_Int(pk, h->slots);
        GvPack_Int(pk, h->state);
        GvPack_Uint(pk, h->wave_done);
        save_claim(pk, h->claim);
    }
}

/* Packs members, then former members. */
static void
save_members(msgpack_packer *pk, const gv_ledger_t *l)
{
    msgpack_pack_array(pk, l->members.rows->len);
    for (unsigned i = 0; i < l->members.rows->len; i++) {
        const gv_member_t *m = g_ptr_array_index(l->members.rows, i);
        msgpack_pack_array(pk, 6);
        GvPack_Str(pk, m->name);
        GvPack_Str(pk, m->dc);
        GvPack_Str(pk, m->peer_addr);
        GvPack_Str(pk, m->http_addr);
        GvPack_Uint(pk, m->incarnation);
        GvPack_Uint(pk, m->joined);
    }
    msgpack_pack_array(pk, l->former.rows->len);
    for (unsigned i = 0; i < l->former.rows->len; i++) {
        const gv_former_member_t *f = g_ptr_array_index(l->former.rows, i);
        msgpack_pack_array(pk, 3);
        GvPack_Str(pk, f->name);
        GvPack_Uint(pk, f->incarnation);
        GvPack_Uint(pk, f->offset);
    }
}

/* Packs all waves. */
static void
save_waves(msgpack_packer *pk, const gv_ledger_t *l)
{
    msgpack_pack_array(pk, l->waves.rows->len);
    for (unsigned i = 0; i < l->waves.rows->len; i++) {
        const gv_wave_t *w = g_ptr_array_index(l->waves.rows, i);
        msgpack_pack_array(pk, 7);
        GvPack_Str(pk, w->name);
        GvPack_Str(pk, w->pool);
        GvPack_Int(pk, w->width);
        GvPack_Uint(pk, w->offset);
        GvPack_Int(pk, w->state);
        GvPack_Int(pk, w->healthy);
        GvPack_Str(pk, w->halt_reason);
    }
}

/* Packs tombstones and origins that are still kept. */
static void
save_kept(msgpack_packer *pk, const gv_ledger_t *l)
{
    size_t n = 0;
    for (unsigned i = 0; i < l->tombstones.rows->len; i++) {
        n += GvLedger_IsLiveTombstone(
            l, g_ptr_array_index(l->tombstones.rows, i));
    }
    msgpack_pack_array(pk, n);
    for (unsigned i = 0; i < l->tombstones.rows->len; i++) {
        const gv_tombstone_t *t = g_ptr_array_index(l->tombstones.rows, i);
        if (GvLedger_IsLiveTombstone(l, t)) {
            msgpack_pack_array(pk, 3);
            GvPack_Str(pk, t->name);
            GvPack_Str(pk, t->boot);
            GvPack_Int(pk, t->gone_ms);
        }
    }
    n = 0;
    for (unsigned i = 0; i < l->origins.rows->len; i++) {
        n += GvLedger_IsLiveOrigin(l, g_ptr_array_index(l->origins.rows, i));
    }
    msgpack_pack_array(pk, n);
    for (unsigned i = 0; i < l->origins.rows->len; i++) {
        const gv_origin_t *o = g_ptr_array_index(l->origins.rows, i);
        if (GvLedger_IsLiveOrigin(l, o)) {
            msgpack_pack_array(pk, 3);
            GvPack_Str(pk, o->name);
            GvPack_Uint(pk, o->sequence);
            GvPack_Int(pk, o->last_ms);
        }
    }
}

/* Returns the number that stands for (owner, incarnation), a new one at the
   first use. `order` collects the claims in order of number. */
static unsigned
owner_number(GHashTable *numbers, GPtrArray *order, const gv_key_claim_t *c)
{
    char *id = g_strdup_printf("%.*s.%llu", GV_STR_ARG(c->owner),
                               (unsigned long long)c->incarnation);
    gpointer at;
    if (g_hash_table_lookup_extended(numbers, id, NULL, &at)) {
        g_free(id);
        return GPOINTER_TO_UINT(at);
    }
    g_hash_table_insert(numbers, id, GUINT_TO_POINTER(order->len));
    g_ptr_array_add(order, (void *)c);
    return order->len - 1;
}

/* Packs the live keys. Each takes a fixed 24 bytes, because keys are the most
   numerous rows: 16 of hash, 2 of owner number, 2 of service number and 4 of
   remaining ms. Owners and service hashes follow in tables of their own. */
static void
save_keys(msgpack_packer *pk, const gv_ledger_t *l)
{
    GByteArray *rows = g_byte_array_new();
    GPtrArray *owners = g_ptr_array_new();
    GArray *services = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GHashTable *numbers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (unsigned i = 0; i < l->keys.rows->len; i++) {
        const gv_key_row_t *k = g_ptr_array_index(l->keys.rows, i);
        const gv_key_claim_t *c = &k->claim;
        if (!GvLedger_IsLiveKey(l, k)) {
            continue;
        }
        /* Rows are sorted by service, so a new hash starts a new number. */
        if (services->len == 0 ||
            g_array_index(services, uint64_t, services->len - 1) !=
                c->service_hash) {
            g_array_append_val(services, c->service_hash);
        }
        uint16_t owner =
            GUINT16_TO_BE((uint16_t)owner_number(numbers, owners, c));
        uint16_t service = GUINT16_TO_BE((uint16_t)(services->len - 1));
        uint32_t left = GUINT32_TO_BE((uint32_t)(c->expires_ms - l->time_ms));
        g_byte_array_append(rows, (const guint8 *)k->name.p + 8, 16);
        g_byte_array_append(rows, (const guint8 *)&owner, 2);
        g_byte_array_append(rows, (const guint8 *)&service, 2);
        g_byte_array_append(rows, (const guint8 *)&left, 4);
    }
    GvPack_Bin(pk, GvStr_N(rows->data, rows->len));
    msgpack_pack_array(pk, owners->len);
    for (unsigned i = 0; i < owners->len; i++) {
        const gv_key_claim_t *c = g_ptr_array_index(owners, i);
        msgpack_pack_array(pk, 2);
        GvPack_Str(pk, c->owner);
        GvPack_Uint(pk, c->incarnation);
    }
    msgpack_pack_array(pk, services->len);
    for (unsigned i = 0; i < services->len; i++) {
        GvPack_Uint(pk, g_array_index(services, uint64_t, i));
    }
    g_hash_table_unref(numbers);
    g_array_unref(services);
    g_ptr_array_unref(owners);
    g_byte_array_unref(rows);
}

/* Appends the whole state to out. Equal states yield equal bytes. */
void
GvLedger_Save(const gv_ledger_t *l, msgpack_sbuffer *out)
{
    msgpack_packer pk = GvPack_Array(out, 16);
    GvPack_Uint(&pk, GV_STATE_FORMAT);
    GvPack_Uint(&pk, l->next);
    GvPack_Int(&pk, l->time_ms);
    GvPack_Uint(&pk, l->covered);
    GvPack_Int(&pk, l->covered_ms);
    GvPack_Uint(&pk, l->version);
    msgpack_pack_array(&pk, l->docs->len);
    for (unsigned i = 0; i < l->docs->len; i++) {
        const gv_document_t *d = g_ptr_array_index(l->docs, i);
        msgpack_pack_array(&pk, 2);
        GvPack_Str(&pk, d->file);
        GvPack_Str(&pk, d->text);
    }
    save_hosts(&pk, l);
    save_members(&pk, l);
    save_waves(&pk, l);
    save_kept(&pk, l);
    save_keys(&pk, l);
}
