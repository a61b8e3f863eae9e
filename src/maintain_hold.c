#include <inttypes.h>
#include <string.h>

#include "clock.h"
#include "error.h"
#include "log.h"
#include "maintain_private.h"
#include "prober.h"

#define SYNC_MS 3000
/* Steps of one claim in one round, so that no claim keeps the others. */
#define STEPS_MAX 6

/* Tells whether the claim waits for the confirmation of that entry host. */
static bool
waits_for(const gv_claim_t *c, gv_str_t name)
{
    for (guint i = 0; i < c->waiting->len; i++) {
        if (GvStr_Equal(GvStr_C(c->waiting->pdata[i]), name)) {
            return true;
        }
    }
    return false;
}

/* Wants a confirmation for each claim that waits for this entry host, once
   its target is closed and has no exchange in progress. */
void
GvMaintain_PlanConfirms(gv_maintain_t *m, const gv_ledger_t *l, GPtrArray *out)
{
    gv_kernel_t *k = m->k;
    const GPtrArray *hosts = GvLedger_Hosts(l);
    for (guint i = 0; i < hosts->len; i++) {
        const gv_ledger_host_t *h = hosts->pdata[i];
        const gv_claim_t *c = h->claim;
        if (c == NULL || !GvStr_Equal(h->dc, k->conf.dc) ||
            !waits_for(c, k->conf.name) ||
            !GvTargets_Quiet(k->targets, h->name, c->offset)) {
            continue;
        }
        msgpack_sbuffer sb;
        msgpack_sbuffer_init(&sb);
        GvLedger_PackConfirm(&sb, h->name, c->offset, k->conf.name,
                             k->incarnation);
        GvMaintain_Propose(out, "confirm", sb, "confirm %.*s %" PRIu64,
                           GV_STR_ARG(h->name), c->offset);
    }
}

/* Tells whether this incarnation holds the claim. */
static bool
is_held(gv_maintain_t *m, const gv_claim_t *c)
{
    return GvStr_Equal(c->holder, m->k->conf.name) &&
           c->holder_incarnation == m->k->incarnation;
}

/* Wants to take over maintenance claims of the own data centre whose holder
   is certainly absent. */
void
GvMaintain_PlanTakeovers(gv_maintain_t *m, const gv_ledger_t *l,
                         int64_t now_ms, GPtrArray *out)
{
    const GPtrArray *hosts = GvLedger_Hosts(l);
    for (guint i = 0; i < hosts->len; i++) {
        const gv_ledger_host_t *h = hosts->pdata[i];
        const gv_claim_t *c = h->claim;
        if (c == NULL || c->kind != GV_CLAIM_MAINTENANCE ||
            !GvStr_Equal(h->dc, m->k->conf.dc) || !GvMaintain_IsOrphan(l, c)) {
            continue;
        }
        char key[160];
        g_snprintf(key, sizeof key, "takeover %.*s %" PRIu64 " %" PRIu64,
                   GV_STR_ARG(h->name), c->offset, c->fence);
        if (GvMaintain_IsDue(m, key, now_ms)) {
            msgpack_sbuffer sb;
            msgpack_sbuffer_init(&sb);
            GvLedger_PackTakeover(&sb, h->name, c->offset, m->k->conf.name,
                                  m->k->incarnation);
            GvMaintain_Propose(out, "takeover", sb, "%s", key);
        }
    }
}

/* Copies s, cut to n - 1 bytes and terminated. */
static void
copy_str(char *to, size_t n, gv_str_t s)
{
    size_t len = MIN(s.n, n - 1);
    memcpy(to, s.p, len);
    to[len] = '\0';
}

/* Adds the claim to the holds, or updates what the ledger tells about it.
   With another fence the hold starts afresh. A claim taken over while it is
   stopping compares boots with the ledger's, because the reboot may already
   be over. */
static void
follow_claim(gv_maintain_t *m, const gv_ledger_t *l, const gv_ledger_host_t *h,
             int64_t now_ms)
{
    gv_held_claim_t *d = g_hash_table_lookup(m->holds, h->name.p);
    if (d == NULL || d->claim != h->claim->offset ||
        d->fence != h->claim->fence) {
        d = g_new0(gv_held_claim_t, 1);
        d->claim = h->claim->offset;
        d->fence = h->claim->fence;
        copy_str(d->host, sizeof d->host, h->name);
        copy_str(d->boot, sizeof d->boot, h->boot);
        d->own_probe = h->claim->phase == GV_PHASE_STOPPING;
        g_hash_table_replace(m->holds, g_strndup(h->name.p, h->name.n), d);
    }
    copy_str(d->addr, sizeof d->addr, h->addr);
    d->seen = true;
    gv_claim_facts_t *f = &d->facts;
    const gv_wave_t *wave = GvLedger_Wave(l, h->claim->wave);
    if (f->phase != h->claim->phase) {
        f->probes = 0;
    }
    f->phase = h->claim->phase;
    f->waived = h->claim->waived;
    f->wave_runs = wave != NULL && wave->state == GV_WAVE_RUNNING;
    f->reboot_ms = f->rebooted ? now_ms - d->rebooted_at_ms : 0;
}

/* Tells whether the last look did not find the hold, and resets its mark. */
static gboolean
is_gone(gpointer key, gpointer value, gpointer user)
{
    (void)key;
    (void)user;
    gv_held_claim_t *d = value;
    bool gone = !d->seen;
    d->seen = false;
    return gone;
}

/* Brings the holds into line with the ledger: new claims of this incarnation
   are added, ended or lost ones dropped. */
void
GvMaintain_UpdateHeldClaims(gv_maintain_t *m, const gv_ledger_t *l,
                            int64_t now_ms)
{
    const GPtrArray *hosts = GvLedger_Hosts(l);
    for (guint i = 0; i < hosts->len; i++) {
        const gv_ledger_host_t *h = hosts->pdata[i];
        if (h->claim != NULL && h->claim->kind == GV_CLAIM_MAINTENANCE &&
            is_held(m, h->claim)) {
            follow_claim(m, l, h, now_ms);
        }
    }
    g_hash_table_foreach_remove(m->holds, is_gone, NULL);
}

/* Reads the log to its head and tells whether the claim is still held with
   the same fence and is stopping. A holder that was paused learns here that
   another has taken over. A planned stop begins no further platform call. */
static bool
recheck(gv_maintain_t *m, const gv_held_claim_t *d)
{
    if (GvLogReader_SyncToHead(m->k->reader, SYNC_MS) != GV_OK ||
        GvKernel_IsStopping(m->k)) {
        return false;
    }
    const gv_ledger_t *l = GvReplica_Lock(m->k->replica);
    const gv_ledger_host_t *h = GvLedger_Host(l, GvStr_C(d->host));
    bool held = h != NULL && h->claim != NULL && is_held(m, h->claim) &&
                h->claim->offset == d->claim && h->claim->fence == d->fence &&
                h->claim->phase == GV_PHASE_STOPPING;
    GvReplica_Unlock(m->k->replica);
    return held;
}

/* Makes a platform call under the fence after a fresh look at the log. */
static bool
host_op(gv_maintain_t *m, gv_held_claim_t *d, gv_hostop_t op)
{
    static const char *const words[] = {"drain", "reboot", "ready"};
    if (!recheck(m, d)) {
        return false;
    }
    uint64_t fence = d->fence;
    if (op == GV_HOSTOP_READY) {
        /* Higher than the token of the reboot, so that a reboot call that was
           delayed on its way is refused once the host is back in service. */
        fence = GvLedger_NextOffset(GvReplica_Lock(m->k->replica));
        GvReplica_Unlock(m->k->replica);
    }
    int rc = GvPlatform_HostOp(m->platform, op, GvStr_C(d->host), fence);
    GvLog_Write(rc == GV_OK ? GV_LOG_INFO : GV_LOG_WARN, "%s %s: %s",
                words[op], d->host, rc == GV_OK ? "done" : Gv_StrError(rc));
    d->facts.probes = 0;
    return rc == GV_OK;
}

/* Probes the target. The first report before the stop tells the boot that
   has to change. */
static void
probe(gv_held_claim_t *d)
{
    gv_health_report_t r;
    gv_claim_facts_t *f = &d->facts;
    f->reported =
        GvProber_Probe(GvStr_C(d->addr), GV_PROBE_TIMEOUT_MS, &r) == GV_OK;
    f->probes++;
    if (!f->reported) {
        return;
    }
    f->running = r.running;
    f->leaving = r.leaving;
    if (!d->own_probe && !f->rebooted) {
        g_strlcpy(d->boot, r.boot, sizeof d->boot);
        d->own_probe = true;
    }
    f->new_boot = strcmp(d->boot, r.boot) != 0;
    if (f->new_boot) {
        g_strlcpy(d->new_boot, r.boot, sizeof d->new_boot);
    }
}

/* Wants the end of the claim. One record carries the result and the new boot:
   a takeover between two records would reboot the host a second time. */
static void
want_done(const gv_held_claim_t *d, gv_done_result_t result, GPtrArray *out)
{
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    if (result == GV_DONE_HEALTHY) {
        GvLedger_PackDoneHealthy(&sb, GvStr_C(d->host), d->claim,
                                 GvStr_C(d->new_boot));
    }
    else {
        GvLedger_PackDone(&sb, GvStr_C(d->host), d->claim, result);
    }
    GvMaintain_Propose(out, "done", sb, "done %s %" PRIu64, d->host, d->claim);
}

/* Asks for the reboot. A lost response may hide its effect: the time counts
   from the call, and the new boot shows it. */
static void
reboot(gv_maintain_t *m, gv_held_claim_t *d, int64_t now_ms)
{
    if (recheck(m, d)) {
        host_op(m, d, GV_HOSTOP_REBOOT);
        d->facts.rebooted = true;
        d->rebooted_at_ms = now_ms;
        d->facts.reboot_ms = 0;
    }
}

/* Wants the boot of the last probe in the ledger. Returns true when it is not
   there yet. */
static bool
want_boot(gv_maintain_t *m, const gv_held_claim_t *d, GPtrArray *out)
{
    const gv_ledger_t *l = GvReplica_Lock(m->k->replica);
    const gv_ledger_host_t *h = GvLedger_Host(l, GvStr_C(d->host));
    bool differs = h != NULL && !GvStr_Equal(h->boot, GvStr_C(d->boot));
    if (differs) {
        msgpack_sbuffer sb;
        gv_ledger_host_t c = *h;
        c.boot = GvStr_C(d->boot);
        msgpack_sbuffer_init(&sb);
        GvLedger_PackHost(&sb, &c);
        GvMaintain_Propose(out, "host", sb, "host %s boot %s", d->host,
                           d->boot);
    }
    GvReplica_Unlock(m->k->replica);
    return differs;
}

/* Wants the record after which the host may be stopped. The ledger has to
   hold the boot that is to change: with another one, a holder that takes over
   would believe the reboot to be over. */
static void
want_act(gv_maintain_t *m, gv_held_claim_t *d, GPtrArray *out)
{
    d->own_probe = false;
    probe(d);
    if (!d->own_probe || want_boot(m, d, out)) {
        return;
    }
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    GvLedger_PackAct(&sb, GvStr_C(d->host), d->claim, m->k->conf.name,
                     m->k->incarnation);
    GvMaintain_Propose(out, "act", sb, "act %s %" PRIu64, d->host, d->fence);
}

/* Makes one step. Returns true when another may follow at once. */
static bool
run_step(gv_maintain_t *m, gv_held_claim_t *d, int64_t now_ms, GPtrArray *out)
{
    gv_claim_facts_t *f = &d->facts;
    switch (GvMaintain_NextStep(f)) {
    case GV_STEP_WAIT:
        return false;
    case GV_STEP_PROBE:
        probe(d);
        return GvMaintain_NextStep(f) != GV_STEP_PROBE;
    case GV_STEP_ACT:
        want_act(m, d, out);
        return false;
    case GV_STEP_DRAIN:
        f->drained = host_op(m, d, GV_HOSTOP_DRAIN);
        return f->drained;
    case GV_STEP_REBOOT:
        reboot(m, d, now_ms);
        return false;
    case GV_STEP_READY:
        f->readied = host_op(m, d, GV_HOSTOP_READY);
        return f->readied;
    case GV_STEP_DONE_HEALTHY:
        want_done(d, GV_DONE_HEALTHY, out);
        f->probes = 0; /* a fresh probe before any repetition */
        return false;
    case GV_STEP_DONE_FAILED:
        want_done(d, GV_DONE_FAILED, out);
        return false;
    case GV_STEP_DONE_CANCELLED:
        want_done(d, GV_DONE_CANCELLED, out);
        return false;
    }
    return false;
}

/* Makes the next steps of each claim that this entry host holds. */
void
GvMaintain_RunHeldClaims(gv_maintain_t *m, int64_t now_ms, GPtrArray *out)
{
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, m->holds);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        for (int i = 0; i < STEPS_MAX && !GvKernel_IsStopping(m->k) &&
                        run_step(m, value, now_ms, out);
             i++) {
        }
    }
}
