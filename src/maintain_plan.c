#include "maintain_plan.h"

#include <string.h>
#include <xxhash.h>

/* After this many probes, a target that did not answer the last one is assumed
   to run nothing. At that point every entry host has confirmed the claim. */
#define SILENT_PROBES 3

/* Returns true if a probe since the last step has shown that the target runs
   no requests. */
static bool
is_idle(const gv_claim_facts_t *f)
{
    return f->probes > 0 && f->reported && f->running == 0;
}

/* Step before the `act` record. The target has to answer a probe first: its
   boot identifier must be known, and a target that does not answer may have
   failed, which halts the wave. If a confirmation was waived, the target must
   also be idle, because the absent entry host may have left a request running
   there. */
static gv_step_t
before_act(const gv_claim_facts_t *f)
{
    bool ready = f->waived ? is_idle(f) : f->probes > 0 && f->reported;
    return ready ? GV_STEP_ACT : GV_STEP_PROBE;
}

/* Step between the `act` record and the reboot. The target must be idle, or
   not answer, before the drain and once more between drain and reboot. */
static gv_step_t
before_reboot(const gv_claim_facts_t *f)
{
    bool silent = f->probes >= SILENT_PROBES && !f->reported;
    if (!is_idle(f) && !silent) {
        return GV_STEP_PROBE;
    }
    return f->drained ? GV_STEP_REBOOT : GV_STEP_DRAIN;
}

/* Step after the reboot was requested, until a new boot is seen. */
static gv_step_t
after_reboot(const gv_claim_facts_t *f)
{
    if (f->reboot_ms >= GV_REBOOT_MAX_MS) {
        return GV_STEP_DONE_FAILED;
    }
    /* The target still runs the old boot: the reboot request was lost. */
    bool lost = f->probes > 0 && f->reported && !f->boot_changed &&
                f->reboot_ms >= GV_REBOOT_REPEAT_MS;
    return lost && f->running == 0 ? GV_STEP_REBOOT : GV_STEP_PROBE;
}

/* Returns the next step for the holder of a maintenance claim. */
gv_step_t
GvMaintain_NextStep(const gv_claim_facts_t *f)
{
    if (f->phase != GV_PHASE_STOPPING && !f->wave_running) {
        return GV_STEP_DONE_CANCELLED;
    }
    switch (f->phase) {
    case GV_PHASE_GRANTED:
        return GV_STEP_WAIT;
    case GV_PHASE_CLEAR:
        return before_act(f);
    case GV_PHASE_STOPPING:
        break;
    }
    if (f->probes > 0 && f->reported && f->boot_changed) {
        if (!f->readied) {
            return GV_STEP_READY;
        }
        return f->leaving ? GV_STEP_PROBE : GV_STEP_DONE_HEALTHY;
    }
    return f->reboot_requested ? after_reboot(f) : before_reboot(f);
}

/* Returns true if the platform's list has other data than the ledger. An empty
   boot identifier in the list is ignored. */
static bool
differs(const gv_ledger_host_t *known, const gv_listed_host_t *listed)
{
    return known->slots != listed->slots ||
           !GvStr_Equal(known->addr, listed->addr) ||
           !GvStr_Equal(known->rack, listed->rack) ||
           (listed->boot.n > 0 && !GvStr_Equal(known->boot, listed->boot));
}

/* Returns what to report about a host. While a claim is in the stopping phase,
   only its holder reports the host, unless the host is gone. Data from the
   list is used only if the list has the host as live, because the list lags
   behind. */
gv_report_t
GvMaintain_Report(const gv_host_facts_t *f)
{
    const gv_ledger_host_t *known = f->known;
    const gv_listed_host_t *listed = f->listed;
    if (listed != NULL && listed->state == GV_LISTED_GONE) {
        return known != NULL && !f->list_older ? GV_REPORT_GONE
                                               : GV_REPORT_NONE;
    }
    bool live = listed != NULL && listed->state == GV_LISTED_LIVE;
    if (known == NULL) {
        return live && f->pool_declared ? GV_REPORT_ADD : GV_REPORT_NONE;
    }
    if (known->claim != NULL && known->claim->phase == GV_PHASE_STOPPING) {
        return GV_REPORT_NONE;
    }
    if (live && differs(known, listed)) {
        return GV_REPORT_CHANGE;
    }
    if (known->state == GV_HOST_UP && !f->healthy &&
        f->health_ms >= GV_HOST_UNHEALTHY_MS) {
        return GV_REPORT_FAILED;
    }
    if (known->state == GV_HOST_FAILED && f->healthy &&
        f->health_ms >= GV_HOST_HEALTHY_MS) {
        return GV_REPORT_UP;
    }
    return GV_REPORT_NONE;
}

/* Returns the weight of an entry host for a key (rendezvous hashing). */
static uint64_t
weight(const char *key, gv_str_t name)
{
    return XXH3_64bits_withSeed(name.p, name.n, XXH3_64bits(key, strlen(key)));
}

/* Returns how many of the n others have a higher weight for the key than self:
   0 if self is first. */
int
GvMaintain_Rank(const char *key, gv_str_t self, const gv_str_t *others, int n)
{
    uint64_t own = weight(key, self);
    int rank = 0;
    for (int i = 0; i < n; i++) {
        rank += weight(key, others[i]) > own;
    }
    return rank;
}

/* Returns true if the holder of the claim is certainly absent: it left, was
   removed, or a newer incarnation of it has joined. */
bool
GvMaintain_IsOrphan(const gv_ledger_t *l, const gv_claim_t *c)
{
    const gv_member_t *m = GvLedger_Member(l, c->holder);
    return m == NULL || m->incarnation > c->holder_incarnation;
}
