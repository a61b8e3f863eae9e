#include "record.h"

#include "error.h"
#include "limits.h"

#define RECORD_FIELDS 8

/* Appends the envelope of r to out, followed by payload, which must be one
   packed msgpack array. r->payload is not used. */
void
GvRecord_Pack(msgpack_sbuffer *out, const gv_record_t *r, gv_str_t payload)
{
    msgpack_packer pk = GvPack_Array(out, RECORD_FIELDS);
    GvPack_Uint(&pk, GV_RECORD_FORMAT);
    GvPack_Str(&pk, r->kind);
    GvPack_Str(&pk, r->origin);
    GvPack_Uint(&pk, r->incarnation);
    GvPack_Uint(&pk, r->sequence);
    GvPack_Int(&pk, r->created_ms);
    GvPack_Int(&pk, r->expires_ms);
    msgpack_sbuffer_write(out, payload.p, payload.n);
}

/* Reads a record. Returns 0, GV_EINVAL if a field has the wrong type or is out
   of range, or GV_ETOOBIG for a record over GV_RECORD_MAX_BYTES. In all cases
   the caller must call msgpack_unpacked_destroy on un. */
int
GvRecord_Unpack(gv_str_t bytes, msgpack_unpacked *un, gv_record_t *r)
{
    msgpack_unpacked_init(un);
    if (bytes.n > GV_RECORD_MAX_BYTES) {
        return GV_ETOOBIG;
    }
    if (GvUnpack_Root(un, bytes) != GV_OK) {
        return GV_EINVAL;
    }
    gv_unpack_t u = GvUnpack_Array(&un->data, RECORD_FIELDS);
    if (GvUnpack_Uint(&u) != GV_RECORD_FORMAT) {
        return GV_EINVAL;
    }
    r->kind = GvUnpack_Str(&u);
    r->origin = GvUnpack_Str(&u);
    r->incarnation = GvUnpack_Uint(&u);
    r->sequence = GvUnpack_Uint(&u);
    r->created_ms = GvUnpack_Int(&u);
    r->expires_ms = GvUnpack_Int(&u);
    r->payload = GvUnpack_Any(&u);
    if (u.err != GV_OK || r->payload->type != MSGPACK_OBJECT_ARRAY ||
        !GvStr_IsName(r->kind) || r->kind.n > GV_RECORD_KIND_BYTES ||
        !GvStr_IsName(r->origin) || r->sequence == 0 || r->created_ms < 0 ||
        r->expires_ms < r->created_ms) {
        return GV_EINVAL;
    }
    return GV_OK;
}
