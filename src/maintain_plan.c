#include "maintain_plan.h"

#include <string.h>
#include <xxhash.h>

/* A target that gives no report this often is taken to run nothing; every
   entry host has confirmed by then. */
#define SILENT_PROBES 3

/* Tells whether a fresh probe has shown the target idle. */
static bool
is_idle(const gv_claim_facts_t *f)
{
    return f->probes > 0 && f->reported && f->running == 0;
}

/* Before `act` the target has to report: one that is silent may have failed,
   which halts the wave, and its boot has to be known. With a waived
   confirmation an absent entry host may have left a run at the target. */
static gv_step_t
before_act(const gv_claim_facts_t *f)
{
    bool ready = f->waived ? is_idle(f) : f->probes > 0 && f->reported;
    return ready ? GV_STEP_ACT : GV_STEP_PROBE;
}

/* Between `act` and the reboot. The probe after the drain is the last look
   before the reboot. */
static gv_step_t
before_reboot(const gv_claim_facts_t *f)
{
    bool silent = f->probes >= SILENT_PROBES && !f->reported;
    if (!is_idle(f) && !silent) {
        return GV_STEP_PROBE;
    }
    return f->drained ? GV_STEP_REBOOT : GV_STEP_DRAIN;
}

/* After the reboot was asked for. */
static gv_step_t
after_reboot(const gv_claim_facts_t *f)
{
    if (f->reboot_ms >= GV_REBOOT_MAX_MS) {
        return GV_STEP_DONE_FAILED;
    }
    /* Still the old boot: the call was lost. */
    bool lost = f->probes > 0 && f->reported && !f->new_boot &&
                f->reboot_ms >= GV_REBOOT_REPEAT_MS;
    return lost && f->running == 0 ? GV_STEP_REBOOT : GV_STEP_PROBE;
}

/* Returns what the holder of a maintenance claim does next. */
gv_step_t
GvMaintain_NextStep(const gv_claim_facts_t *f)
{
    if (f->phase != GV_PHASE_STOPPING && !f->wave_runs) {
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
    if (f->probes > 0 && f->reported && f->new_boot) {
        if (!f->readied) {
            return GV_STEP_READY;
        }
        return f->leaving ? GV_STEP_PROBE : GV_STEP_DONE_HEALTHY;
    }
    return f->rebooted ? after_reboot(f) : before_reboot(f);
}

/* Tells whether the list has other data; an empty boot is unknown. */
static bool
differs(const gv_ledger_host_t *known, const gv_listed_host_t *listed)
{
    return known->slots != listed->slots ||
           !GvStr_Equal(known->addr, listed->addr) ||
           !GvStr_Equal(known->rack, listed->rack) ||
           (listed->boot.n > 0 && !GvStr_Equal(known->boot, listed->boot));
}

/* Returns what to report about a host. While a claim is stopping its host the
   holder alone reports. A listed boot counts only for a live host, because
   the list lags behind. */
gv_report_t
GvMaintain_Report(const gv_ledger_host_t *known,
                  const gv_listed_host_t *listed, bool healthy,
                  int64_t health_ms, bool pool_declared)
{
    if (listed != NULL && listed->state == GV_LISTED_GONE) {
        return known != NULL ? GV_REPORT_GONE : GV_REPORT_NONE;
    }
    bool live = listed != NULL && listed->state == GV_LISTED_LIVE;
    if (known == NULL) {
        return live && pool_declared ? GV_REPORT_ADD : GV_REPORT_NONE;
    }
    if (known->claim != NULL && known->claim->phase == GV_PHASE_STOPPING) {
        return GV_REPORT_NONE;
    }
    if (live && differs(known, listed)) {
        return GV_REPORT_CHANGE;
    }
    if (known->state == GV_HOST_UP && !healthy && health_ms >= GV_FAILED_MS) {
        return GV_REPORT_FAILED;
    }
    if (known->state == GV_HOST_FAILED && healthy && health_ms >= GV_UP_MS) {
        return GV_REPORT_UP;
    }
    return GV_REPORT_NONE;
}

/* Weight of an entry host for a key. */
static uint64_t
weight(const char *key, gv_str_t name)
{
    return XXH3_64bits_withSeed(name.p, name.n, XXH3_64bits(key, strlen(key)));
}

/* Returns how many of the others precede self for the key; 0 is first. */
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

/* Tells whether the holder is certainly absent: it left, was removed, or a
   newer incarnation has joined. */
bool
GvMaintain_IsOrphan(const gv_ledger_t *l, const gv_claim_t *c)
{
    const gv_member_t *m = GvLedger_Member(l, c->holder);
    return m == NULL || m->incarnation > c->holder_incarnation;
}
