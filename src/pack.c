#include "pack.h"

#include "error.h"

/* Begins an array of n values at the end of a buffer. The values are packed
   with the packer that it returns. */
msgpack_packer
GvPack_Array(msgpack_sbuffer *out, size_t n)
{
    msgpack_packer pk;
    msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
    msgpack_pack_array(&pk, n);
    return pk;
}

/* Packs s as a msgpack string. */
void
GvPack_Str(msgpack_packer *pk, gv_str_t s)
{
    msgpack_pack_str_with_body(pk, s.p, s.n);
}

/* Packs s as msgpack binary data. */
void
GvPack_Bin(msgpack_packer *pk, gv_str_t s)
{
    msgpack_pack_bin_with_body(pk, s.p, s.n);
}

/* Packs an unsigned integer in its shortest form. */
void
GvPack_Uint(msgpack_packer *pk, uint64_t v)
{
    msgpack_pack_uint64(pk, v);
}

/* Packs a signed integer in its shortest form. */
void
GvPack_Int(msgpack_packer *pk, int64_t v)
{
    msgpack_pack_int64(pk, v);
}

/* Packs a boolean. */
void
GvPack_Bool(msgpack_packer *pk, bool v)
{
    if (v) {
        msgpack_pack_true(pk);
    }
    else {
        msgpack_pack_false(pk);
    }
}

/* Starts reading o, which must be an array of at least min_size items. */
gv_unpack_t
GvUnpack_Array(const msgpack_object *o, uint32_t min_size)
{
    gv_unpack_t u = {NULL, 0, GV_OK};
    if (o == NULL || o->type != MSGPACK_OBJECT_ARRAY ||
        o->via.array.size < min_size) {
        u.err = GV_EINVAL;
        return u;
    }
    u.array = &o->via.array;
    return u;
}

/* Returns the next item, or NULL with err set when there is none. */
const msgpack_object *
GvUnpack_Any(gv_unpack_t *u)
{
    if (u->err != GV_OK || u->at >= u->array->size) {
        u->err = GV_EINVAL;
        return NULL;
    }
    return &u->array->ptr[u->at++];
}

/* Reads a string or binary item as a view into the unpacked buffer. */
gv_str_t
GvUnpack_Str(gv_unpack_t *u)
{
    const msgpack_object *o = GvUnpack_Any(u);
    if (o != NULL && o->type == MSGPACK_OBJECT_STR) {
        return GvStr_N(o->via.str.ptr, o->via.str.size);
    }
    if (o != NULL && o->type == MSGPACK_OBJECT_BIN) {
        return GvStr_N(o->via.bin.ptr, o->via.bin.size);
    }
    u->err = GV_EINVAL;
    return GV_STR("");
}

/* Reads a non-negative integer item. */
uint64_t
GvUnpack_Uint(gv_unpack_t *u)
{
    const msgpack_object *o = GvUnpack_Any(u);
    if (o != NULL && o->type == MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return o->via.u64;
    }
    u->err = GV_EINVAL;
    return 0;
}

/* Reads an integer item that fits in a signed 64-bit number. */
int64_t
GvUnpack_Int(gv_unpack_t *u)
{
    const msgpack_object *o = GvUnpack_Any(u);
    if (o != NULL && o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
        return o->via.i64;
    }
    if (o != NULL && o->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
        o->via.u64 <= INT64_MAX) {
        return (int64_t)o->via.u64;
    }
    u->err = GV_EINVAL;
    return 0;
}

/* Reads a boolean item. */
bool
GvUnpack_Bool(gv_unpack_t *u)
{
    const msgpack_object *o = GvUnpack_Any(u);
    if (o != NULL && o->type == MSGPACK_OBJECT_BOOLEAN) {
        return o->via.boolean;
    }
    u->err = GV_EINVAL;
    return false;
}

/* Starts reading the next item as an array; a wrong type sets err in both
   cursors. */
gv_unpack_t
GvUnpack_Sub(gv_unpack_t *u, uint32_t min_size)
{
    gv_unpack_t sub = GvUnpack_Array(GvUnpack_Any(u), min_size);
    if (sub.err != GV_OK) {
        u->err = sub.err;
    }
    return sub;
}

/* Tells whether another item follows and no error has occurred. */
bool
GvUnpack_HasNext(const gv_unpack_t *u)
{
    return u->err == GV_OK && u->at < u->array->size;
}

/* Reads a big-endian number of n bytes. */
static uint64_t
read_be(const unsigned char *p, size_t n)
{
    uint64_t v = 0;
    for (size_t i = 0; i < n; i++) {
        v = v << 8 | p[i];
    }
    return v;
}

/* Reads the header of the object at p, of which left bytes follow. Sets the
   bytes that it takes without its items, and the number of its items.
   Returns false for a truncated header or a type that does not exist. */
static bool
measure(const unsigned char *p, size_t left, uint64_t *bytes, uint64_t *items)
{
    /* For 0xc4 to 0xdf: bytes of the length field, or of the fixed body. */
    static const unsigned char width[] = {1,  2, 4, 1, 2, 4, 4, 8, 1, 2,
                                          4,  8, 1, 2, 4, 8, 2, 3, 5, 9,
                                          17, 1, 2, 4, 2, 4, 2, 4};
    unsigned t = p[0];
    *bytes = 1;
    *items = 0;
    if (t < 0x80 || t >= 0xe0 || t == 0xc0 || t == 0xc2 || t == 0xc3) {
        return true;
    }
    if (t < 0xc0) {
        unsigned n = t < 0xa0 ? t & 0x0f : t & 0x1f;
        *items = t < 0x90 ? 2 * n : t < 0xa0 ? n : 0;
        *bytes += t < 0xa0 ? 0 : n;
        return true;
    }
    if (t == 0xc1 || left < 1u + width[t - 0xc4]) {
        return false;
    }
    *bytes += width[t - 0xc4];
    if (t >= 0xca && t <= 0xd8) {
        return true;
    }
    uint64_t n = read_be(p + 1, width[t - 0xc4]);
    if (t >= 0xdc) {
        *items = t >= 0xde ? 2 * n : n;
    }
    else {
        *bytes += n + (t >= 0xc7 && t <= 0xc9 ? 1 : 0);
    }
    return true;
}

/* Tells whether the sizes in bytes fit its length. msgpack-c allocates what
   an array header announces, so that five bytes could ask for 100 GB. */
static bool
sizes_fit(gv_str_t bytes)
{
    uint64_t pending = 1;
    uint64_t size;
    uint64_t items;
    size_t at = 0;
    while (pending > 0) {
        size_t left = bytes.n - at;
        if (left == 0 ||
            !measure((const unsigned char *)bytes.p + at, left, &size,
                     &items) ||
            size > left) {
            return false;
        }
        at += size;
        pending += items - 1;
        if (pending > bytes.n - at) {
            return false;
        }
    }
    return at == bytes.n;
}

/* Parses exactly one msgpack object from bytes. Returns 0 or GV_EINVAL, also
   for bytes left over. The caller calls msgpack_unpacked_destroy on un in
   every case. */
int
GvUnpack_Root(msgpack_unpacked *un, gv_str_t bytes)
{
    size_t off = 0;
    msgpack_unpacked_init(un);
    if (!sizes_fit(bytes) || msgpack_unpack_next(un, bytes.p, bytes.n, &off) !=
                                 MSGPACK_UNPACK_SUCCESS) {
        return GV_EINVAL;
    }
    return off == bytes.n ? GV_OK : GV_EINVAL;
}
