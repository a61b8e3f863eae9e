#include "error.h"
#include "ledger_state.h"

/* Packs a checkpoint of the present state: [next offset, state]. */
void
GvLedger_PackCheckpoint(msgpack_sbuffer *out, const gv_ledger_t *l)
{
    msgpack_sbuffer state;
    msgpack_sbuffer_init(&state);
    GvLedger_Save(l, &state);
    msgpack_packer pk = GvPack_Array(out, 2);
    GvPack_Uint(&pk, l->next_offset);
    GvPack_Bin(&pk, GvStr_N(state.data, state.size));
    msgpack_sbuffer_destroy(&state);
}

/* Reads a checkpoint payload and loads its state. Returns 0 with a ledger
   that the caller frees, or GV_EINVAL. */
static int
load_payload(const msgpack_object *payload, uint64_t *covered,
             gv_ledger_t **out)
{
    gv_unpack_t u = GvUnpack_Array(payload, 2);
    *covered = GvUnpack_Uint(&u);
    gv_str_t state = GvUnpack_Str(&u);
    if (u.err != GV_OK || GvLedger_Load(state, out) != GV_OK) {
        return GV_EINVAL;
    }
    if ((*out)->next_offset != *covered) {
        GvLedger_Free(*out);
        return GV_EINVAL;
    }
    return GV_OK;
}

/* Loads the state of a checkpoint record. Returns 0 with a ledger that the
   caller frees, GV_ENOENT for a record of another kind, or GV_EINVAL for a
   malformed checkpoint. */
int
GvLedger_LoadCheckpoint(gv_str_t bytes, gv_ledger_t **out)
{
    msgpack_unpacked un;
    gv_record_t r;
    uint64_t covered;
    int err = GvRecord_Unpack(bytes, &un, &r);
    if (err == GV_OK && !GvStr_Equal(r.kind, GV_STR("checkpoint"))) {
        err = GV_ENOENT;
    }
    if (err == GV_OK) {
        err = load_payload(r.payload, &covered, out);
    }
    msgpack_unpacked_destroy(&un);
    return err;
}

/* Applies a checkpoint: sets the covered offset and its time if it covers more
   than earlier ones. The saved state is loaded only to check it, so that a
   checkpoint that no process could load is not accepted; the ledger's own
   tables stay as they are. */
static int
fold_checkpoint(gv_ledger_t *l, uint64_t offset, const gv_record_t *r,
                char *reason, size_t n)
{
    uint64_t covered;
    gv_ledger_t *state;
    if (load_payload(r->payload, &covered, &state) != GV_OK) {
        return GV_EINVAL;
    }
    int64_t covered_ms = state->time_ms;
    GvLedger_Free(state);
    if (covered > offset) {
        return GvLedger_Refuse(
            reason, n, "checkpoint covers offset %llu, beyond its own offset",
            (unsigned long long)covered);
    }
    if (covered > l->covered_offset) {
        l->covered_offset = covered;
        l->covered_ms = covered_ms;
    }
    return GV_OK;
}

static gv_record_kind_t checkpoint_kind = {{"checkpoint", NULL},
                                           fold_checkpoint};
GV_REGISTER(GV_PLUGIN_RECORD, checkpoint_kind);
