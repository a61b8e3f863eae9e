#include "compare.h"

/* Two entry hosts and six targets; each fault lasts 60 s of the 180 s. */
static const gv_sim_opts_t default_opts = {.queue = "fair",
                                           .place = "least-loaded",
                                           .retry = "safe",
                                           .entries = 2,
                                           .targets = 6,
                                           .seconds = 180,
                                           .load = 0.2,
                                           .lending = true};

/* Returns the attempts beyond the first ones during the fault, in % of the
   requests that arrived in it. */
static double
extra_attempts(gv_sim_result_t *r)
{
    return 100 * (r->attempts_in_fault / MAX(r->requests_in_fault, 1) - 1);
}

static double
lost_to_bad_worker(gv_sim_result_t *r)
{
    return r->lost_to_bad_worker;
}

static double
lost_in_trials(gv_sim_result_t *r)
{
    return r->lost_in_trials;
}

static const gv_metric_t collapse[] = {
    {"extra starts while four in five runs fail", "% of requests",
     extra_attempts},
    {"answered in time", "%", GvCompare_InTime}};

static const gv_metric_t bad_worker[] = {
    {"requests lost to the worker", "requests", lost_to_bad_worker},
    {"extra starts", "% of requests", extra_attempts},
    {"answered in time", "%", GvCompare_InTime}};

static const gv_metric_t trials[] = {
    {"requests lost to the worker", "requests", lost_to_bad_worker},
    {"requests lost as trials", "requests", lost_in_trials}};

/* Compares the retry policy with "always" and "never". The faults are a
   collapse of all targets, with and without capacity for the retries, and one
   worker (target) that fails every request immediately. Also compares a retry
   budget of 10% with one of 100%, trials with idempotent requests only with
   trials with any request, and ejection of the bad worker with none. */
void
GvBench_RunRetry(const gv_bench_t *b)
{
    static const char *const bases[] = {"always", "never"};
    static const double loads[] = {0.1, 0.3, 0.45};
    for (int k = 0; k < 2; k++) {
        gv_sim_opts_t variant = default_opts;
        variant.collapse = true;
        gv_sim_opts_t base = variant;
        base.retry = bases[k];
        GvCompare_WriteRows(b, "retry in a collapse", &variant, bases[k],
                            &base, collapse, G_N_ELEMENTS(collapse));
    }
    gv_sim_opts_t full = default_opts;
    full.collapse = true;
    for (size_t k = 0; k < G_N_ELEMENTS(loads); k++) {
        char name[80];
        full.load = loads[k];
        g_snprintf(name, sizeof name,
                   "retry in a collapse, bursts of %.4g times the capacity",
                   5 * loads[k]);
        gv_sim_opts_t always = full;
        always.retry = "always";
        GvCompare_WriteRows(b, name, &full, "always", &always, collapse,
                            G_N_ELEMENTS(collapse));
        gv_sim_opts_t large = full;
        large.retry_percent = 100;
        GvCompare_WriteRows(b, name, &full, "budget of 100%", &large, collapse,
                            G_N_ELEMENTS(collapse));
    }
    gv_sim_opts_t variant = default_opts;
    variant.bad_worker = true;
    for (int k = 0; k < 2; k++) {
        gv_sim_opts_t base = variant;
        base.retry = bases[k];
        GvCompare_WriteRows(b, "retry with a bad worker", &variant, bases[k],
                            &base, bad_worker, G_N_ELEMENTS(bad_worker));
    }
    gv_sim_opts_t base = variant;
    base.trial_any_request = true;
    GvCompare_WriteRows(b, "trials of a bad worker", &variant, "any request",
                        &base, trials, G_N_ELEMENTS(trials));
    base = variant;
    base.no_eject = true;
    GvCompare_WriteRows(b, "ejection of a bad worker", &variant, "no ejection",
                        &base, bad_worker, G_N_ELEMENTS(bad_worker));
}
