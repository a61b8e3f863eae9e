#include "error.h"
#include "ledger_state.h"

/* Returns the highest min_hosts of the pool's services, and its service. */
static int
min_hosts(const gv_ledger_t *l, gv_str_t pool, const gv_service_t **who)
{
    int most = 0;
    for (int i = 0; i < GvSettings_ServiceCount(l->settings); i++) {
        const gv_service_t *sv = GvSettings_ServiceAt(l->settings, i);
        if (sv->min_hosts > most && GvStr_Equal(sv->pool, pool)) {
            most = sv->min_hosts;
            *who = sv;
        }
    }
    return most;
}

/* Checks the budget that holds for every kind of claim. */
static int
check_budget(const gv_ledger_t *l, const gv_ledger_host_t *h, char *reason,
             size_t n)
{
    const gv_pool_t *pool = GvSettings_Pool(l->settings, h->pool);
    const gv_service_t *sv = NULL;
    gv_tally_t t = GvLedger_PoolTally(l, h->pool);
    if (h->state != GV_HOST_UP) {
        return GvLedger_Refuse(reason, n, "host %.*s is not up",
                               GV_STR_ARG(h->name));
    }
    if (h->claim != NULL) {
        return GvLedger_Refuse(reason, n, "host %.*s is under claim %llu",
                               GV_STR_ARG(h->name),
                               (unsigned long long)h->claim->offset);
    }
    if (pool == NULL) {
        return GvLedger_Refuse(reason, n, "pool %.*s is not declared",
                               GV_STR_ARG(h->pool));
    }
    int least = min_hosts(l, h->pool, &sv);
    if (sv != NULL && t.serving - 1 < least) {
        return GvLedger_Refuse(reason, n,
                               "service %.*s needs %d hosts, %d are in "
                               "service",
                               GV_STR_ARG(sv->name), least, t.serving);
    }
    if (t.claims + 1 > pool->max_out) {
        return GvLedger_Refuse(
            reason, n, "pool %.*s has %d of %d hosts under claim",
            GV_STR_ARG(pool->name), t.claims, pool->max_out);
    }
    return GV_OK;
}

/* Checks that neither the rack nor another data centre has hosts out. */
static int
check_guards(const gv_ledger_t *l, const gv_ledger_host_t *h, char *reason,
             size_t n)
{
    gv_tally_t rack = GvLedger_RackTally(l, h->dc, h->rack);
    gv_tally_t pool = GvLedger_PoolTally(l, h->pool);
    gv_tally_t here = GvLedger_PoolDcTally(l, h->pool, h->dc);
    if (rack.hosts - rack.serving >= GV_RACK_HOSTS_OUT_MAX) {
        return GvLedger_Refuse(reason, n, "rack %.*s already has a host out",
                               GV_STR_ARG(h->rack));
    }
    if (pool.maintenance > here.maintenance) {
        return GvLedger_Refuse(reason, n,
                               "pool %.*s is in maintenance in another data "
                               "centre",
                               GV_STR_ARG(h->pool));
    }
    return GV_OK;
}

/* Checks the state of the wave. */
static int
check_wave(const gv_ledger_t *l, const gv_ledger_host_t *h, gv_str_t name,
           char *reason, size_t n)
{
    const gv_wave_t *w = GvLedger_Wave(l, name);
    if (w == NULL || !GvStr_Equal(w->pool, h->pool)) {
        return GvLedger_Refuse(reason, n, "no wave %.*s on pool %.*s",
                               (int)MIN(name.n, GV_NAME_MAX_BYTES), name.p,
                               GV_STR_ARG(h->pool));
    }
    if (w->state != GV_WAVE_RUNNING) {
        return GvLedger_Refuse(reason, n, "wave %.*s is %s", GV_STR_ARG(name),
                               w->state == GV_WAVE_HALTED ? "halted"
                                                          : "ended");
    }
    if (h->wave_done == w->offset) {
        return GvLedger_Refuse(reason, n,
                               "host %.*s has been maintained in this wave",
                               GV_STR_ARG(h->name));
    }
    int claims = GvLedger_WaveTally(l, name).hosts;
    if (w->healthy == 0 && claims > 0) {
        return GvLedger_Refuse(reason, n,
                               "the first host of wave %.*s is not back",
                               GV_STR_ARG(name));
    }
    if (claims >= w->width) {
        return GvLedger_Refuse(reason, n, "wave %.*s has %d of %d hosts out",
                               GV_STR_ARG(name), claims, w->width);
    }
    return GV_OK;
}

/* Tells whether a claim would be granted in the present state. Returns 0, or
   GV_EREFUSED with a reason. `wave` counts for maintenance, `to_pool` for a
   move. */
int
GvLedger_CanClaim(const gv_ledger_t *l, gv_str_t host, gv_claim_kind_t kind,
                  gv_str_t wave, gv_str_t to_pool, char *reason, size_t n)
{
    const gv_ledger_host_t *h = GvLedger_Host(l, host);
    if (h == NULL) {
        return GvLedger_Refuse(reason, n, "host %.*s is not known",
                               (int)MIN(host.n, GV_NAME_MAX_BYTES), host.p);
    }
    int err = check_budget(l, h, reason, n);
    if (err != GV_OK) {
        return err;
    }
    switch (kind) {
    case GV_CLAIM_MAINTENANCE:
        err = check_guards(l, h, reason, n);
        return err != GV_OK ? err : check_wave(l, h, wave, reason, n);
    case GV_CLAIM_MOVE:
        if (GvSettings_Pool(l->settings, to_pool) == NULL ||
            GvStr_Equal(to_pool, h->pool)) {
            return GvLedger_Refuse(
                reason, n, "pool %.*s is not another declared pool",
                (int)MIN(to_pool.n, GV_NAME_MAX_BYTES), to_pool.p);
        }
        return GV_OK;
    case GV_CLAIM_DRAIN:
        return GV_OK;
    }
    return GV_EINVAL;
}
