#include <inttypes.h>
#include <string.h>

#include "clock.h"
#include "error.h"
#include "log.h"
#include "maintain_private.h"
#include "prober.h"

#define SYNC_TIMEOUT_MS 3000
/* Limit of the steps of one claim in one round, so that no claim delays the
   others. */
#define STEPS_MAX 6

/* Returns true if the claim waits for a confirmation by the named entry
   host. */
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

/* Proposes a `confirm` record for each claim that waits for this entry host,
   once this entry host sends no more requests to the claimed target and has no
   exchange with it in progress. */
void
GvMaintain_PlanConfirms(gv_maintain_t *m, const gv_ledger_t *l, GPtrArray *out)
{
    gv_kernel_t *k = m->kernel;
    const GPtrArray *hosts = GvLedger_Hosts(l);
    for (guint i = 0; i < hosts->len; i++) {
        const gv_ledger_host_t *h = hosts->pdata[i];
        const gv_claim_t *c = h->claim;
        if (c == NULL || !GvStr_Equal(h->dc, k->conf.dc) ||
            !waits_for(c, k->conf.name) ||
            !GvTargets_IsDrained(k->targets, h->name, c->offset)) {
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

/* Returns true if this incarnation of the entry host holds the claim. */
static bool
is_held(gv_maintain_t *m, const gv_claim_t *c)
{
    return GvStr_Equal(c->holder, m->kernel->conf.name) &&
           c->holder_incarnation == m->kernel->incarnation;
}

/* Proposes to take over the maintenance claims of the own data centre whose
   holder is certainly absent. */
void
GvMaintain_PlanTakeovers(gv_maintain_t *m, const gv_ledger_t *l,
                         int64_t now_ms, GPtrArray *out)
{
    const GPtrArray *hosts = GvLedger_Hosts(l);
    for (guint i = 0; i < hosts->len; i++) {
        const gv_ledger_host_t *h = hosts->pdata[i];
        const gv_claim_t *c = h->claim;
        if (c == NULL || c->kind != GV_CLAIM_MAINTENANCE ||
            !GvStr_Equal(h->dc, m->kernel->conf.dc) ||
            !GvMaintain_IsOrphan(l, c)) {
            continue;
        }
        char key[160];
        g_snprintf(key, sizeof key, "takeover %.*s %" PRIu64 " %" PRIu64,
                   GV_STR_ARG(h->name), c->offset, c->fence);
        if (GvMaintain_IsDue(m, key, now_ms)) {
            msgpack_sbuffer sb;
            msgpack_sbuffer_init(&sb);
            GvLedger_PackTakeover(&sb, h->name, c->offset,
                                  m->kernel->conf.name,
                                  m->kernel->incarnation);
            GvMaintain_Propose(out, "takeover", sb, "%s", key);
        }
    }
}

/* Copies s to the buffer `to` of n bytes, truncated if necessary and
   terminated by a zero byte. */
static void
copy_str(char *to, size_t n, gv_str_t s)
{
    size_t len = MIN(s.n, n - 1);
    memcpy(to, s.p, len);
    to[len] = '\0';
}

/* Adds the claim of host h to held_claims, or updates its entry from the
   ledger. The entry is replaced if the fence has changed, that is after a
   takeover. For a claim in the stopping phase the boot identifier in the
   ledger is taken as the one before the reboot, because the previous holder's
   reboot may already be over. */
static void
update_held_claim(gv_maintain_t *m, const gv_ledger_t *l,
                  const gv_ledger_host_t *h, int64_t now_ms)
{
    gv_held_claim_t *held = g_hash_table_lookup(m->held_claims, h->name.p);
    if (held == NULL || held->offset != h->claim->offset ||
        held->fence != h->claim->fence) {
        held = g_new0(gv_held_claim_t, 1);
        held->offset = h->claim->offset;
        held->fence = h->claim->fence;
        copy_str(held->host, sizeof held->host, h->name);
        copy_str(held->boot, sizeof held->boot, h->boot);
        held->boot_known = h->claim->phase == GV_PHASE_STOPPING;
        g_hash_table_replace(m->held_claims, g_strndup(h->name.p, h->name.n),
                             held);
    }
    copy_str(held->addr, sizeof held->addr, h->addr);
    held->in_ledger = true;
    gv_claim_facts_t *f = &held->facts;
    const gv_wave_t *wave = GvLedger_Wave(l, h->claim->wave);
    if (f->phase != h->claim->phase) {
        f->probes = 0;
    }
    f->phase = h->claim->phase;
    f->waived = h->claim->waived;
    f->wave_running = wave != NULL && wave->state == GV_WAVE_RUNNING;
    f->reboot_ms =
        f->reboot_requested ? now_ms - held->reboot_requested_ms : 0;
}

/* Returns true if the current update did not find the held claim in the
   ledger, and resets the mark for the next update. */
static gboolean
is_not_in_ledger(gpointer key, gpointer value, gpointer user)
{
    (void)key;
    (void)user;
    gv_held_claim_t *held = value;
    bool gone = !held->in_ledger;
    held->in_ledger = false;
    return gone;
}

/* Updates held_claims from the ledger: adds new claims of this incarnation and
   removes those that have ended or are held by another. */
void
GvMaintain_UpdateHeldClaims(gv_maintain_t *m, const gv_ledger_t *l,
                            int64_t now_ms)
{
    const GPtrArray *hosts = GvLedger_Hosts(l);
    for (guint i = 0; i < hosts->len; i++) {
        const gv_ledger_host_t *h = hosts->pdata[i];
        if (h->claim != NULL && h->claim->kind == GV_CLAIM_MAINTENANCE &&
            is_held(m, h->claim)) {
            update_held_claim(m, l, h, now_ms);
        }
    }
    g_hash_table_foreach_remove(m->held_claims, is_not_in_ledger, NULL);
}

/* Reads the log to its head and returns true if the claim is still held with
   the same fence and is in the stopping phase. This is where a holder that was
   paused detects that another has taken over. Returns false during a planned
   stop of this process, so that no further platform call begins. */
static bool
recheck_claim(gv_maintain_t *m, const gv_held_claim_t *held)
{
    if (GvLogReader_SyncToHead(m->kernel->reader, SYNC_TIMEOUT_MS) != GV_OK ||
        GvKernel_IsStopping(m->kernel)) {
        return false;
    }
    const gv_ledger_t *l = GvReplica_Lock(m->kernel->replica);
    const gv_ledger_host_t *h = GvLedger_Host(l, GvStr_C(held->host));
    bool still_held = h != NULL && h->claim != NULL && is_held(m, h->claim) &&
                      h->claim->offset == held->offset &&
                      h->claim->fence == held->fence &&
                      h->claim->phase == GV_PHASE_STOPPING;
    GvReplica_Unlock(m->kernel->replica);
    return still_held;
}

/* Calls the platform with the fencing token, after checking in the log that
   the claim is still held. Returns true if the call succeeded. */
static bool
host_op(gv_maintain_t *m, gv_held_claim_t *held, gv_hostop_t op)
{
    static const char *const op_names[] = {"drain", "reboot", "ready"};
    if (!recheck_claim(m, held)) {
        return false;
    }
    uint64_t fence = held->fence;
    if (op == GV_HOSTOP_READY) {
        /* Higher than the token of the reboot, so that the platform refuses a
           delayed reboot request once the host is back in service. */
        fence = GvLedger_NextOffset(GvReplica_Lock(m->kernel->replica));
        GvReplica_Unlock(m->kernel->replica);
    }
    int rc = GvPlatform_HostOp(m->platform, op, GvStr_C(held->host), fence);
    GvLog_Write(rc == GV_OK ? GV_LOG_INFO : GV_LOG_WARN,
                "platform call %s for host %s: %s", op_names[op], held->host,
                rc == GV_OK ? "done" : Gv_StrError(rc));
    held->facts.probes = 0;
    return rc == GV_OK;
}

/* Probes the target. Its first report before the reboot sets the boot
   identifier that has to change. */
static void
probe(gv_held_claim_t *held)
{
    gv_health_report_t r;
    gv_claim_facts_t *f = &held->facts;
    f->reported =
        GvProber_Probe(GvStr_C(held->addr), GV_PROBE_TIMEOUT_MS, &r) == GV_OK;
    f->probes++;
    if (!f->reported) {
        return;
    }
    f->running = r.running;
    f->leaving = r.leaving;
    if (!held->boot_known && !f->reboot_requested) {
        g_strlcpy(held->boot, r.boot, sizeof held->boot);
        held->boot_known = true;
    }
    f->boot_changed = strcmp(held->boot, r.boot) != 0;
    if (f->boot_changed) {
        g_strlcpy(held->new_boot, r.boot, sizeof held->new_boot);
    }
}

/* Proposes the end of the claim. One record holds both the result and the new
   boot identifier: a takeover between two records would reboot the host a
   second time. */
static void
propose_done(const gv_held_claim_t *held, gv_done_result_t result,
             GPtrArray *out)
{
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    if (result == GV_DONE_HEALTHY) {
        GvLedger_PackDoneHealthy(&sb, GvStr_C(held->host), held->offset,
                                 GvStr_C(held->new_boot));
    }
    else {
        GvLedger_PackDone(&sb, GvStr_C(held->host), held->offset, result);
    }
    GvMaintain_Propose(out, "done", sb, "done %s %" PRIu64, held->host,
                       held->offset);
}

/* Requests the reboot. Its response may be lost although the host reboots, so
   the result of the call is ignored: the reboot time counts from the request,
   and a new boot identifier shows that the reboot happened. */
static void
reboot(gv_maintain_t *m, gv_held_claim_t *held, int64_t now_ms)
{
    if (recheck_claim(m, held)) {
        host_op(m, held, GV_HOSTOP_REBOOT);
        held->facts.reboot_requested = true;
        held->reboot_requested_ms = now_ms;
        held->facts.reboot_ms = 0;
    }
}

/* Proposes a host record if the ledger does not yet hold the boot identifier
   of the last probe. Returns true in that case. */
static bool
propose_boot(gv_maintain_t *m, const gv_held_claim_t *held, GPtrArray *out)
{
    const gv_ledger_t *l = GvReplica_Lock(m->kernel->replica);
    const gv_ledger_host_t *h = GvLedger_Host(l, GvStr_C(held->host));
    bool differs = h != NULL && !GvStr_Equal(h->boot, GvStr_C(held->boot));
    if (differs) {
        msgpack_sbuffer sb;
        gv_ledger_host_t c = *h;
        c.boot = GvStr_C(held->boot);
        msgpack_sbuffer_init(&sb);
        GvLedger_PackHost(&sb, &c);
        GvMaintain_Propose(out, "host", sb, "host %s boot %s", held->host,
                           held->boot);
    }
    GvReplica_Unlock(m->kernel->replica);
    return differs;
}

/* Proposes the `act` record, after which the host may be stopped. First the
   ledger must hold the current boot identifier of the host: with another one,
   a holder that takes over would conclude that the reboot is over. */
static void
propose_act(gv_maintain_t *m, gv_held_claim_t *held, GPtrArray *out)
{
    held->boot_known = false;
    probe(held);
    if (!held->boot_known || propose_boot(m, held, out)) {
        return;
    }
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    GvLedger_PackAct(&sb, GvStr_C(held->host), held->offset,
                     m->kernel->conf.name, m->kernel->incarnation);
    GvMaintain_Propose(out, "act", sb, "act %s %" PRIu64, held->host,
                       held->fence);
}

/* Executes the next step of a claim. Returns true if another step may follow
   in the same round. */
static bool
run_step(gv_maintain_t *m, gv_held_claim_t *held, int64_t now_ms,
         GPtrArray *out)
{
    gv_claim_facts_t *f = &held->facts;
    switch (GvMaintain_NextStep(f)) {
    case GV_STEP_WAIT:
        return false;
    case GV_STEP_PROBE:
        probe(held);
        return GvMaintain_NextStep(f) != GV_STEP_PROBE;
    case GV_STEP_ACT:
        propose_act(m, held, out);
        return false;
    case GV_STEP_DRAIN:
        f->drained = host_op(m, held, GV_HOSTOP_DRAIN);
        return f->drained;
    case GV_STEP_REBOOT:
        reboot(m, held, now_ms);
        return false;
    case GV_STEP_READY:
        f->readied = host_op(m, held, GV_HOSTOP_READY);
        return f->readied;
    case GV_STEP_DONE_HEALTHY:
        propose_done(held, GV_DONE_HEALTHY, out);
        f->probes = 0; /* probe again before a repetition */
        return false;
    case GV_STEP_DONE_FAILED:
        propose_done(held, GV_DONE_FAILED, out);
        return false;
    case GV_STEP_DONE_CANCELLED:
        propose_done(held, GV_DONE_CANCELLED, out);
        return false;
    }
    return false;
}

/* Executes the next steps of each claim held by this entry host. */
void
GvMaintain_RunHeldClaims(gv_maintain_t *m, int64_t now_ms, GPtrArray *out)
{
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, m->held_claims);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        for (int i = 0; i < STEPS_MAX && !GvKernel_IsStopping(m->kernel) &&
                        run_step(m, value, now_ms, out);
             i++) {
        }
    }
}
