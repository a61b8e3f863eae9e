#include "error.h"
#include "ledger_state.h"
#include "yaml_read.h"

/* Packs a membership change: [entry host, data centre, incarnation, peer
   address, HTTP address, change]. */
void
GvLedger_PackMember(msgpack_sbuffer *out, const gv_member_t *m,
                    gv_member_change_t change)
{
    msgpack_packer pk = GvPack_Array(out, 6);
    GvPack_Str(&pk, m->name);
    GvPack_Str(&pk, m->dc);
    GvPack_Uint(&pk, m->incarnation);
    GvPack_Str(&pk, m->peer_addr);
    GvPack_Str(&pk, m->http_addr);
    GvPack_Int(&pk, change);
}

/* Returns the last incarnation that joined under a name, or 0 for none. */
static uint64_t
known_incarnation(const gv_ledger_t *l, gv_str_t name)
{
    const gv_member_t *m = GvTable_Find(&l->members, name);
    const gv_former_member_t *f = GvTable_Find(&l->former_members, name);
    if (m != NULL) {
        return m->incarnation;
    }
    return f == NULL ? 0 : f->incarnation;
}

/* Adds a member, or replaces its earlier incarnation. The join of a new
   incarnation shows that the old process has ended, so outstanding
   confirmations of the old one are waived. Returns 0, GV_EINVAL for an invalid
   member, or GV_EREFUSED with a reason. */
static int
add_member(gv_ledger_t *l, uint64_t offset, const gv_member_t *in,
           char *reason, size_t n)
{
    uint64_t known = known_incarnation(l, in->name);
    bool present = GvTable_Find(&l->members, in->name) != NULL;
    if (!GvStr_IsName(in->dc) || !GvYaml_IsAddr(in->peer_addr) ||
        !GvYaml_IsAddr(in->http_addr) || in->incarnation == 0) {
        return GV_EINVAL;
    }
    if (in->incarnation <= known) {
        return GvLedger_Refuse(
            reason, n, "incarnation %llu of %.*s is already known",
            (unsigned long long)known, GV_STR_ARG(in->name));
    }
    if ((!present && l->members.rows->len >= GV_ENTRY_HOSTS_MAX) ||
        !GvLedger_HasRoom(l, GV_HOST_STATE_BYTES)) {
        return GvLedger_Refuse(reason, n, "too many entry hosts");
    }
    gv_member_t *m = g_new0(gv_member_t, 1);
    m->name = GvStr_Dup(in->name);
    m->dc = GvStr_Dup(in->dc);
    m->peer_addr = GvStr_Dup(in->peer_addr);
    m->http_addr = GvStr_Dup(in->http_addr);
    m->incarnation = in->incarnation;
    m->join_offset = offset;
    GvTable_Remove(&l->members, in->name);
    GvTable_Remove(&l->former_members, in->name);
    GvTable_Add(&l->members, m);
    if (present) {
        GvLedger_WaiveConfirmations(l, m->name);
    }
    return GV_OK;
}

/* If the table of former members is full, removes the one that ended first. */
static void
drop_oldest_former(gv_ledger_t *l)
{
    gv_former_member_t *oldest = NULL;
    if (l->former_members.rows->len < GV_FORMER_MEMBERS_MAX) {
        return;
    }
    for (unsigned i = 0; i < l->former_members.rows->len; i++) {
        gv_former_member_t *f = g_ptr_array_index(l->former_members.rows, i);
        if (oldest == NULL || f->offset < oldest->offset) {
            oldest = f;
        }
    }
    GvTable_Remove(&l->former_members, oldest->name);
}

/* Moves a member to the former members and waives its outstanding
   confirmations. Its incarnation is kept, so that neither that process nor an
   older one of the name can join again. Returns 0 or GV_EREFUSED with a
   reason. */
static int
end_member(gv_ledger_t *l, uint64_t offset, const gv_member_t *in,
           char *reason, size_t n)
{
    if (!GvLedger_IsCurrentMember(l, in->name, in->incarnation)) {
        return GvLedger_Refuse(
            reason, n, "incarnation %llu of %.*s is not a member",
            (unsigned long long)in->incarnation, GV_STR_ARG(in->name));
    }
    gv_former_member_t *f = g_new0(gv_former_member_t, 1);
    f->name = GvStr_Dup(in->name);
    f->incarnation = in->incarnation;
    f->offset = offset;
    drop_oldest_former(l);
    GvTable_Remove(&l->members, in->name);
    GvTable_Add(&l->former_members, f);
    GvLedger_WaiveConfirmations(l, f->name);
    return GV_OK;
}

/* Applies a membership change: join, leave, or removal by others. */
static int
fold_member(gv_ledger_t *l, uint64_t offset, const gv_record_t *r,
            char *reason, size_t n)
{
    gv_member_t in = {0};
    gv_unpack_t u = GvUnpack_Array(r->payload, 6);
    in.name = GvUnpack_Str(&u);
    in.dc = GvUnpack_Str(&u);
    in.incarnation = GvUnpack_Uint(&u);
    in.peer_addr = GvUnpack_Str(&u);
    in.http_addr = GvUnpack_Str(&u);
    uint64_t change = GvUnpack_Uint(&u);
    if (u.err != GV_OK || !GvStr_IsName(in.name)) {
        return GV_EINVAL;
    }
    switch (change) {
    case GV_MEMBER_JOIN:
        return add_member(l, offset, &in, reason, n);
    case GV_MEMBER_LEAVE:
    case GV_MEMBER_REMOVED:
        return end_member(l, offset, &in, reason, n);
    default:
        return GV_EINVAL;
    }
}

static gv_record_kind_t member_kind = {{"member", NULL}, fold_member};
GV_REGISTER(GV_PLUGIN_RECORD, member_kind);
