#include <string.h>

#include "error.h"
#include "ledger_state.h"

/* Packs a claim: [host, kind, wave, destination pool, holder,
   incarnation]. */
void
GvLedger_PackClaim(msgpack_sbuffer *out, gv_str_t host, gv_claim_kind_t kind,
                   gv_str_t wave, gv_str_t to_pool, gv_str_t holder,
                   uint64_t incarnation)
{
    msgpack_packer pk = GvPack_Array(out, 6);
    GvPack_Str(&pk, host);
    GvPack_Int(&pk, kind);
    GvPack_Str(&pk, wave);
    GvPack_Str(&pk, to_pool);
    GvPack_Str(&pk, holder);
    GvPack_Uint(&pk, incarnation);
}

/* Packs [host, claim offset, name, incarnation]. */
static void
pack_step(msgpack_sbuffer *out, gv_str_t host, uint64_t claim, gv_str_t name,
          uint64_t incarnation)
{
    msgpack_packer pk = GvPack_Array(out, 4);
    GvPack_Str(&pk, host);
    GvPack_Uint(&pk, claim);
    GvPack_Str(&pk, name);
    GvPack_Uint(&pk, incarnation);
}

/* Packs the confirmation of an entry host. */
void
GvLedger_PackConfirm(msgpack_sbuffer *out, gv_str_t host, uint64_t claim,
                     gv_str_t entry, uint64_t incarnation)
{
    pack_step(out, host, claim, entry, incarnation);
}

/* Packs the holder's announcement that it stops the host. */
void
GvLedger_PackAct(msgpack_sbuffer *out, gv_str_t host, uint64_t claim,
                 gv_str_t holder, uint64_t incarnation)
{
    pack_step(out, host, claim, holder, incarnation);
}

/* Packs a takeover by a new holder. */
void
GvLedger_PackTakeover(msgpack_sbuffer *out, gv_str_t host, uint64_t claim,
                      gv_str_t holder, uint64_t incarnation)
{
    pack_step(out, host, claim, holder, incarnation);
}

/* Packs the end of a claim: [host, claim offset, result]. */
void
GvLedger_PackDone(msgpack_sbuffer *out, gv_str_t host, uint64_t claim,
                  gv_done_result_t result)
{
    msgpack_packer pk = GvPack_Array(out, 3);
    GvPack_Str(&pk, host);
    GvPack_Uint(&pk, claim);
    GvPack_Int(&pk, result);
}

/* Packs a healthy end with the host's new boot: [host, claim offset, result,
   boot]. */
void
GvLedger_PackDoneHealthy(msgpack_sbuffer *out, gv_str_t host, uint64_t claim,
                         gv_str_t boot)
{
    msgpack_packer pk = GvPack_Array(out, 4);
    GvPack_Str(&pk, host);
    GvPack_Uint(&pk, claim);
    GvPack_Int(&pk, GV_DONE_HEALTHY);
    GvPack_Str(&pk, boot);
}

/* Releases a host from its claim. */
void
GvLedger_EndClaim(gv_ledger_t *l, gv_ledger_host_t *h)
{
    GvLedger_CountHost(l, h, -1);
    GvLedger_FreeClaim(h->claim);
    h->claim = NULL;
    GvLedger_CountHost(l, h, 1);
}

/* Once no confirmation is outstanding, completes a move or clears the host
   for its stop. */
static void
advance(gv_ledger_t *l, gv_ledger_host_t *h)
{
    gv_claim_t *c = h->claim;
    if (c->waiting->len > 0 || c->phase != GV_PHASE_GRANTED) {
        return;
    }
    if (c->kind != GV_CLAIM_MOVE) {
        c->phase = GV_PHASE_CLEAR;
        return;
    }
    gv_str_t from = h->pool;
    GvLedger_CountHost(l, h, -1);
    h->pool = c->to_pool;
    c->to_pool = (gv_str_t){NULL, 0};
    GvLedger_FreeClaim(c);
    h->claim = NULL;
    GvLedger_CountHost(l, h, 1);
    GvLedger_EndWaveIfDone(l, from);
    GvStr_Free(&from);
}

/* Removes an entry host from the outstanding confirmations of a claim.
   Returns false when it is not among them. */
static bool
strike(gv_ledger_t *l, gv_ledger_host_t *h, gv_str_t entry, bool waived)
{
    GPtrArray *waiting = h->claim->waiting;
    for (unsigned i = 0; i < waiting->len; i++) {
        if (GvStr_Equal(GvStr_C(g_ptr_array_index(waiting, i)), entry)) {
            GvLedger_CountHost(l, h, -1);
            g_ptr_array_remove_index(waiting, i);
            h->claim->waived = h->claim->waived || waived;
            GvLedger_CountHost(l, h, 1);
            advance(l, h);
            return true;
        }
    }
    return false;
}

/* Waives all outstanding confirmations of an entry host whose absence has
   become certain. */
void
GvLedger_WaiveConfirmations(gv_ledger_t *l, gv_str_t entry)
{
    for (unsigned i = 0; i < l->hosts.rows->len; i++) {
        gv_ledger_host_t *h = g_ptr_array_index(l->hosts.rows, i);
        if (h->claim != NULL) {
            strike(l, h, entry, true);
        }
    }
}

/* Applies a claim: every member of the host's data centre has to confirm. */
static int
fold_claim(gv_ledger_t *l, uint64_t offset, const gv_record_t *r, char *reason,
           size_t n)
{
    gv_unpack_t u = GvUnpack_Array(r->payload, 6);
    gv_str_t host = GvUnpack_Str(&u);
    uint64_t kind = GvUnpack_Uint(&u);
    gv_str_t wave = GvUnpack_Str(&u);
    gv_str_t to_pool = GvUnpack_Str(&u);
    gv_str_t holder = GvUnpack_Str(&u);
    uint64_t incarnation = GvUnpack_Uint(&u);
    if (u.err != GV_OK || kind > GV_CLAIM_DRAIN || !GvStr_IsName(holder)) {
        return GV_EINVAL;
    }
    if (kind == GV_CLAIM_MAINTENANCE &&
        !GvLedger_IsCurrentMember(l, holder, incarnation)) {
        return GvLedger_Refuse(reason, n, "holder %.*s is not a member",
                               GV_STR_ARG(holder));
    }
    int err = GvLedger_CanClaim(l, host, (gv_claim_kind_t)kind, wave, to_pool,
                                reason, n);
    if (err != GV_OK) {
        return err;
    }
    gv_ledger_host_t *h = GvTable_Find(&l->hosts, host);
    gv_claim_t *c = g_new0(gv_claim_t, 1);
    c->offset = offset;
    c->fence = offset;
    c->kind = (gv_claim_kind_t)kind;
    c->wave = GvStr_Dup(kind == GV_CLAIM_MAINTENANCE ? wave : GV_STR(""));
    c->to_pool = GvStr_Dup(kind == GV_CLAIM_MOVE ? to_pool : GV_STR(""));
    c->holder = GvStr_Dup(holder);
    c->holder_incarnation = incarnation;
    c->waiting = g_ptr_array_new_with_free_func(g_free);
    for (unsigned i = 0; i < l->members.rows->len; i++) {
        const gv_member_t *m = g_ptr_array_index(l->members.rows, i);
        if (GvStr_Equal(m->dc, h->dc)) {
            g_ptr_array_add(c->waiting, g_strdup(m->name.p));
        }
    }
    GvLedger_CountHost(l, h, -1);
    h->claim = c;
    GvLedger_CountHost(l, h, 1);
    advance(l, h);
    return GV_OK;
}

static gv_record_kind_t claim_kind = {{"claim", NULL}, fold_claim};
GV_REGISTER(GV_PLUGIN_RECORD, claim_kind);

/* A confirm, act or takeover record, as views. */
typedef struct {
    gv_ledger_host_t *host;
    gv_str_t name; /* entry host or holder */
    uint64_t incarnation;
} gv_step_t;

/* Finds the host and checks that its claim is the one given. */
static int
find_claim(gv_ledger_t *l, gv_str_t host, uint64_t claim,
           gv_ledger_host_t **out, char *reason, size_t n)
{
    gv_ledger_host_t *h = GvTable_Find(&l->hosts, host);
    if (h == NULL || h->claim == NULL || h->claim->offset != claim) {
        return GvLedger_Refuse(reason, n, "host %.*s has no claim %llu",
                               (int)MIN(host.n, GV_NAME_MAX_BYTES), host.p,
                               (unsigned long long)claim);
    }
    *out = h;
    return GV_OK;
}

/* Reads a confirm, act or takeover record and finds its claim. */
static int
read_step(gv_ledger_t *l, const gv_record_t *r, gv_step_t *s, char *reason,
          size_t n)
{
    gv_unpack_t u = GvUnpack_Array(r->payload, 4);
    gv_str_t host = GvUnpack_Str(&u);
    uint64_t claim = GvUnpack_Uint(&u);
    s->name = GvUnpack_Str(&u);
    s->incarnation = GvUnpack_Uint(&u);
    if (u.err != GV_OK || !GvStr_IsName(host) || !GvStr_IsName(s->name)) {
        return GV_EINVAL;
    }
    return find_claim(l, host, claim, &s->host, reason, n);
}

/* Applies a confirmation. */
static int
fold_confirm(gv_ledger_t *l, uint64_t offset, const gv_record_t *r,
             char *reason, size_t n)
{
    gv_step_t s;
    (void)offset;
    int err = read_step(l, r, &s, reason, n);
    if (err != GV_OK) {
        return err;
    }
    if (!GvLedger_IsCurrentMember(l, s.name, s.incarnation)) {
        return GvLedger_Refuse(reason, n, "%.*s is not a member",
                               GV_STR_ARG(s.name));
    }
    if (!strike(l, s.host, s.name, false)) {
        return GvLedger_Refuse(reason, n,
                               "no confirmation of %.*s is outstanding",
                               GV_STR_ARG(s.name));
    }
    return GV_OK;
}

static gv_record_kind_t confirm_kind = {{"confirm", NULL}, fold_confirm};
GV_REGISTER(GV_PLUGIN_RECORD, confirm_kind);

/* Applies the holder's announcement that it stops the host. */
static int
fold_act(gv_ledger_t *l, uint64_t offset, const gv_record_t *r, char *reason,
         size_t n)
{
    gv_step_t s;
    (void)offset;
    int err = read_step(l, r, &s, reason, n);
    if (err != GV_OK) {
        return err;
    }
    gv_claim_t *c = s.host->claim;
    if (c->kind != GV_CLAIM_MAINTENANCE) {
        return GvLedger_Refuse(reason, n, "the claim is not for maintenance");
    }
    if (c->phase != GV_PHASE_CLEAR) {
        return GvLedger_Refuse(reason, n,
                               c->phase == GV_PHASE_GRANTED
                                   ? "confirmations are outstanding"
                                   : "the host is already being stopped");
    }
    const gv_wave_t *w = GvTable_Find(&l->waves, c->wave);
    if (w == NULL || w->state != GV_WAVE_RUNNING) {
        return GvLedger_Refuse(reason, n, "wave %.*s is not running",
                               GV_STR_ARG(c->wave));
    }
    if (!GvStr_Equal(c->holder, s.name) ||
        c->holder_incarnation != s.incarnation ||
        !GvLedger_IsCurrentMember(l, s.name, s.incarnation)) {
        return GvLedger_Refuse(reason, n, "%.*s does not hold the claim",
                               GV_STR_ARG(s.name));
    }
    c->phase = GV_PHASE_STOPPING;
    return GV_OK;
}

static gv_record_kind_t act_kind = {{"act", NULL}, fold_act};
GV_REGISTER(GV_PLUGIN_RECORD, act_kind);

/* Applies a takeover of a claim whose holder has certainly ended. */
static int
fold_takeover(gv_ledger_t *l, uint64_t offset, const gv_record_t *r,
              char *reason, size_t n)
{
    gv_step_t s;
    int err = read_step(l, r, &s, reason, n);
    if (err != GV_OK) {
        return err;
    }
    gv_claim_t *c = s.host->claim;
    if (!GvLedger_IsCurrentMember(l, s.name, s.incarnation)) {
        return GvLedger_Refuse(reason, n, "%.*s is not a member",
                               GV_STR_ARG(s.name));
    }
    if (GvLedger_IsCurrentMember(l, c->holder, c->holder_incarnation)) {
        return GvLedger_Refuse(reason, n, "holder %.*s may still be running",
                               GV_STR_ARG(c->holder));
    }
    if (!GvLedger_HasRoom(l, s.name.n)) {
        return GvLedger_Refuse(reason, n, "the state is full");
    }
    GvLedger_CountHost(l, s.host, -1);
    GvStr_Free(&c->holder);
    c->holder = GvStr_Dup(s.name);
    c->holder_incarnation = s.incarnation;
    c->fence = offset;
    GvLedger_CountHost(l, s.host, 1);
    return GV_OK;
}

static gv_record_kind_t takeover_kind = {{"takeover", NULL}, fold_takeover};
GV_REGISTER(GV_PLUGIN_RECORD, takeover_kind);
