#include "error.h"
#include "ledger_state.h"

/* Marks the host maintained in its wave, with its new boot unless that is
   empty, and releases it. */
static void
finish_healthy(gv_ledger_t *l, gv_ledger_host_t *h, gv_str_t boot)
{
    gv_wave_t *w = GvTable_Find(&l->waves, h->claim->wave);
    if (boot.n > 0) {
        GvLedger_CountHost(l, h, -1);
        GvStr_Free(&h->boot);
        h->boot = GvStr_Dup(boot);
        GvLedger_CountHost(l, h, 1);
    }
    if (w != NULL) {
        w->healthy++;
        GvLedger_CountHost(l, h, -1);
        h->wave_done = w->offset;
        GvLedger_CountHost(l, h, 1);
    }
    GvLedger_EndClaim(l, h);
    GvLedger_EndWaveIfDone(l, h->pool);
}

/* Marks the host failed, halts its wave and releases the claim. */
static void
finish_failed(gv_ledger_t *l, gv_ledger_host_t *h)
{
    GvLedger_HaltWave(l, h->claim->wave, "host %.*s failed maintenance",
                      GV_STR_ARG(h->name));
    GvLedger_CountHost(l, h, -1);
    h->state = GV_HOST_FAILED;
    GvLedger_CountHost(l, h, 1);
    GvLedger_EndClaim(l, h);
}

/* Checks whether the result fits the phase. `healthy` and `failed` come from
   the holder itself: a former holder that resumes after a takeover could
   otherwise release the host while the new one is about to reboot it. */
static int
check_result(const gv_claim_t *c, const gv_record_t *r, uint64_t result,
             char *reason, size_t n)
{
    if (result == GV_DONE_CANCELLED) {
        if (c->phase == GV_PHASE_STOPPING) {
            return GvLedger_Refuse(reason, n, "the host is being stopped");
        }
        return GV_OK;
    }
    if (c->phase != GV_PHASE_STOPPING) {
        return GvLedger_Refuse(reason, n, "the host has not been stopped");
    }
    if (!GvStr_Equal(r->origin, c->holder) ||
        r->incarnation != c->holder_incarnation) {
        return GvLedger_Refuse(reason, n, "%.*s does not hold the claim",
                               GV_STR_ARG(r->origin));
    }
    return GV_OK;
}

/* Applies the end of a claim. */
static int
fold_done(gv_ledger_t *l, uint64_t offset, const gv_record_t *r, char *reason,
          size_t n)
{
    gv_unpack_t u = GvUnpack_Array(r->payload, 3);
    gv_str_t host = GvUnpack_Str(&u);
    uint64_t claim = GvUnpack_Uint(&u);
    uint64_t result = GvUnpack_Uint(&u);
    gv_str_t boot = GvUnpack_HasNext(&u) ? GvUnpack_Str(&u) : GV_STR("");
    (void)offset;
    if (u.err != GV_OK || !GvStr_IsName(host) || result > GV_DONE_CANCELLED ||
        !GvLedger_IsBootId(boot)) {
        return GV_EINVAL;
    }
    gv_ledger_host_t *h = GvTable_Find(&l->hosts, host);
    if (h == NULL || h->claim == NULL || h->claim->offset != claim) {
        return GvLedger_Refuse(reason, n, "host %.*s has no claim %llu",
                               GV_STR_ARG(host), (unsigned long long)claim);
    }
    int err = check_result(h->claim, r, result, reason, n);
    if (err != GV_OK) {
        return err;
    }
    if (!GvLedger_HasRoom(l, boot.n)) {
        return GvLedger_Refuse(reason, n, "the state is full");
    }
    switch ((gv_done_result_t)result) {
    case GV_DONE_HEALTHY:
        finish_healthy(l, h, boot);
        break;
    case GV_DONE_FAILED:
        finish_failed(l, h);
        break;
    case GV_DONE_CANCELLED:
        GvLedger_EndClaim(l, h);
        break;
    }
    return GV_OK;
}

static gv_record_kind_t done_kind = {{"done", NULL}, fold_done};
GV_REGISTER(GV_PLUGIN_RECORD, done_kind);
