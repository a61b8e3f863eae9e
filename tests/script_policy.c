#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burn.h"
#include "estimate.h"
#include "placement.h"
#include "reserve.h"
#include "retry.h"
#include "script.h"
#include "slots.h"
#include "wave_plan.h"

/* Verbs for the other decision modules. */

static gv_estimate_t *estimate;
static gv_retry_budget_t budget;
static gv_eject_t eject;
static gv_slots_t slots;
static gv_burn_t *burn;
static gv_reserve_pool_t pools[8];
static gv_pool_t *settings; /* eight */
static int n_pools;

static gv_attempt_t
attempt_of(const char *name)
{
    return (gv_attempt_t)INDEX(name, "ok", "refused", "unreachable", "failed",
                               "lost", "silent");
}

/* estimate SHORT_MS MAX_KINDS */
GV_VERB("estimate", run_estimate)
{
    g_assert(argc == 3);
    if (estimate != NULL) {
        GvEstimate_Free(estimate);
    }
    gv_estimate_opts_t o = {atoi(argv[1]), atoi(argv[2])};
    estimate = GvEstimate_New(&o);
}

/* learn WORK RUN_MS [TIMES] */
GV_VERB("learn", run_learn)
{
    for (int i = argc > 3 ? atoi(argv[3]) : 1; i > 0; i--) {
        GvEstimate_AddRun(estimate, GvStr_C(argv[1]), atof(argv[2]));
    }
}

/* running WORK ELAPSED_MS */
GV_VERB("running", run_running)
{
    g_assert(argc == 3);
    bool changed =
        GvEstimate_AddElapsed(estimate, GvStr_C(argv[1]), atof(argv[2]));
    printf("%s %s\n", argv[1], changed ? "became long" : "unchanged");
}

/* expect WORK: prints the expected run time and class. */
GV_VERB("expect", run_expect)
{
    g_assert(argc == 2);
    gv_str_t work = GvStr_C(argv[1]);
    printf("%s %.0f ms %s\n", argv[1], GvEstimate_RunMs(estimate, work),
           GvEstimate_IsLong(estimate, work) ? "long" : "short");
}

/* place POLICY RANDOM TURN USABLE/BUSY[/FLAGS] ...; flags: e ejected, a tried
   before, s slow, r refused. */
GV_VERB("place", run_place)
{
    gv_place_policy_t *p = (gv_place_policy_t *)GvRegistry_Find(
        GV_PLUGIN_PLACE, GvStr_C(argv[1]));
    gv_candidate_t c[8] = {0};
    int n = MIN(argc - 4, 8);
    for (int i = 0; i < n; i++) {
        char flags[8] = "";
        (void)sscanf(argv[i + 4], "%d/%d/%7s", &c[i].usable, &c[i].busy,
                     flags);
        c[i].ejected = strchr(flags, 'e') != NULL;
        c[i].avoid = strchr(flags, 'a') != NULL;
        c[i].run_ratio_permille = strchr(flags, 's') != NULL ? 4000 : 1000;
        c[i].refused = strchr(flags, 'r') != NULL ? 4 : 0;
    }
    printf("%s: %d\n", argv[1],
           p->choose(c, n, (uint32_t)atoi(argv[2]), (uint64_t)atoi(argv[3])));
}

/* share SLOTS HOST ENTRY ...: shares of all entry hosts, and their sum. */
GV_VERB("share", run_share)
{
    gv_str_t entries[16];
    int n = 0;
    int sum = 0;
    for (int i = 3; i < argc && n < 16; i++) {
        entries[n++] = GvStr_C(argv[i]);
    }
    for (int i = 0; i < n; i++) {
        int s = GvSlots_Share(GvStr_C(argv[2]), atoi(argv[1]), entries, n,
                              entries[i]);
        printf("%d ", s);
        sum += s;
    }
    printf("sum %d\n", sum);
}

/* slots SHARE | lend COUNT BUSY QUEUED NOW LEASE | borrow COUNT UNTIL |
   returned COUNT | usable NOW */
GV_VERB("slots", run_slots)
{
    int v[6] = {0};
    for (int i = 1; i < argc && i < 6; i++) {
        v[i] = atoi(argv[i]);
    }
    if (strcmp(argv[0], "slots") == 0) {
        slots = (gv_slots_t){.share = v[1]};
    }
    else if (strcmp(argv[0], "lend") == 0) {
        printf("lent %d\n",
               GvSlots_Lend(&slots, v[1], v[2], v[3], v[4], v[5]));
    }
    else if (strcmp(argv[0], "borrow") == 0) {
        GvSlots_AddBorrowed(&slots, v[1], v[2]);
    }
    else if (strcmp(argv[0], "returned") == 0) {
        GvSlots_EndLent(&slots, v[1]);
    }
    else {
        printf("usable %d\n", GvSlots_Usable(&slots, v[1]));
    }
}
GV_VERB_NAME("lend", run_lend, run_slots);
GV_VERB_NAME("borrow", run_borrow, run_slots);
GV_VERB_NAME("returned", run_returned, run_slots);
GV_VERB_NAME("usable", run_usable, run_slots);

/* budget PERCENT [REQUESTS]: a new budget that has seen so many requests. */
GV_VERB("budget", run_budget)
{
    budget = (gv_retry_budget_t){.percent = atoi(argv[1])};
    for (int i = argc > 2 ? atoi(argv[2]) : 0; i > 0; i--) {
        GvRetry_CountRequest(&budget);
    }
}

/* retry POLICY ATTEMPT idempotent|once ATTEMPTS HOSTS_FAILED LEFT_MS TIMES:
   how often the decision is to repeat. */
GV_VERB("retry", run_retry)
{
    g_assert(argc == 8);
    gv_retry_policy_t *p = (gv_retry_policy_t *)GvRegistry_Find(
        GV_PLUGIN_RETRY, GvStr_C(argv[1]));
    gv_retry_case_t c = {.attempt = attempt_of(argv[2]),
                         .idempotent = strcmp(argv[3], "idempotent") == 0,
                         .attempts = atoi(argv[4]),
                         .hosts_failed = atoi(argv[5]),
                         .left_ms = atoi(argv[6]),
                         .run_ms = 100};
    int count[3] = {0};
    for (int i = 0; i < atoi(argv[7]); i++) {
        count[p->decide(&c, &budget)]++;
    }
    printf("%s %s: no %d, again %d, requeue %d\n", argv[1], argv[2], count[0],
           count[1], count[2]);
}

/* eject may|not NOW ATTEMPT ... | eject bound */
GV_VERB("eject", run_eject)
{
    if (strcmp(argv[1], "bound") == 0) {
        for (int n = 1; n <= 6; n++) {
            int out = 0;
            while (GvEject_IsAllowed(out, n)) {
                out++;
            }
            printf("%d of %d hosts at most\n", out, n);
        }
        return;
    }
    for (int i = 3; i < argc; i++) {
        if (GvEject_CountAttempt(&eject, attempt_of(argv[i]),
                                 strcmp(argv[1], "may") == 0, atoi(argv[2]))) {
            printf("attempt %d: %s\n", i - 2,
                   eject.ejected ? "ejected" : "reinstated");
        }
    }
}

/* trial [once] NOW ...: whether a trial request may go at each time; once: one
   that is not idempotent. */
GV_VERB("trial", run_trial)
{
    bool once = strcmp(argv[1], "once") == 0;
    for (int i = once ? 2 : 1; i < argc; i++) {
        printf("trial at %s: %s\n", argv[i],
               GvEject_StartTrial(&eject, !once, atoi(argv[i])) ? "yes"
                                                                : "no");
    }
}

/* burn OBJECTIVE | burn GOOD BAD AT_MS | burn report AT_MS */
GV_VERB("burn", run_burn)
{
    if (argc == 2) {
        GvBurn_Free(burn);
        burn = GvBurn_New(atof(argv[1]));
    }
    else if (argc == 4) {
        for (int i = atoi(argv[1]) + atoi(argv[2]); i > 0; i--) {
            GvBurn_CountRequest(burn, i > atoi(argv[2]), atoll(argv[3]));
        }
    }
    else {
        gv_burn_row_t r[GV_BURN_WINDOWS];
        GvBurn_Report(burn, atoll(argv[2]), r);
        for (int i = 0; i < GV_BURN_WINDOWS; i++) {
            printf("%d s: good %d, bad %d, burn %.2f\n", r[i].window_s,
                   (int)r[i].good, (int)r[i].bad, r[i].burn);
        }
    }
}

/* pool NAME HOSTS MIN BUSY PEAK LAST_MOVE [spare | WAITING BUFFER]: adds or
   replaces a pool of 8-slot hosts; all share the one spare pool. */
GV_VERB("pool", run_pool)
{
    g_assert(argc >= 8);
    if (settings == NULL) {
        settings = g_new0(gv_pool_t, 8);
    }
    int i = 0;
    while (i < n_pools && !GvStr_Equal(settings[i].name, GvStr_C(argv[1]))) {
        i++;
    }
    n_pools = MAX(n_pools, i + 1);
    bool spare = strcmp(argv[7], "spare") == 0;
    settings[i] = (gv_pool_t){.name = GvStr_C(g_intern_string(argv[1])),
                              .spare = GvStr_C(spare ? "" : "spare"),
                              .is_spare = spare,
                              .weight_waiting = spare ? 1 : atoi(argv[7]),
                              .weight_buffer = argc > 8 ? atoi(argv[8]) : 1};
    pools[i] = (gv_reserve_pool_t){
        .pool = &settings[i],
        .demand = {.busy_slots = atof(argv[4]), .peak_slots = atof(argv[5])},
        .hosts = atoi(argv[2]),
        .slots = 8,
        .min_hosts = atoi(argv[3]),
        .last_move_ms = atoi(argv[6])};
}

/* move POLICY NOW: the proposed move. */
GV_VERB("move", run_move)
{
    g_assert(argc == 3);
    gv_reserve_policy_t *p = (gv_reserve_policy_t *)GvRegistry_Find(
        GV_PLUGIN_RESERVE, GvStr_C(argv[1]));
    gv_reserve_move_t m = p->propose(pools, n_pools, atoll(argv[2]));
    if (m.from < 0) {
        printf("%s: no move\n", argv[1]);
        return;
    }
    printf("%s: %s to %s\n", argv[1], settings[m.from].name.p,
           settings[m.to].name.p);
}

/* plan POLICY WAVE PEAK_SLOTS [DC]: the hosts to claim next. */
GV_VERB("plan", run_plan)
{
    g_assert(argc == 4 || argc == 5);
    const gv_ledger_t *l = GvScript_Ledger();
    gv_wave_policy_t *p =
        (gv_wave_policy_t *)GvRegistry_Find(GV_PLUGIN_WAVE, GvStr_C(argv[1]));
    gv_demand_t d = {.peak_slots = atof(argv[3])};
    const gv_ledger_host_t *out[8];
    int n = p->plan(l, GvLedger_Wave(l, GvStr_C(argv[2])), &d,
                    GvStr_C(argc == 5 ? argv[4] : ""), out, 8);
    printf("%s:", argv[1]);
    for (int i = 0; i < n; i++) {
        printf(" %s", out[i]->name.p);
    }
    printf("%s\n", n == 0 ? " none" : "");
}

/* turn WAVE DC LAST: how many data centres precede DC in the wave; LAST is
   where it had its last claim, or "-". */
GV_VERB("turn", run_turn)
{
    g_assert(argc == 4);
    const gv_ledger_t *l = GvScript_Ledger();
    gv_str_t last = GvStr_C(strcmp(argv[3], "-") == 0 ? "" : argv[3]);
    printf("%s: %d\n", argv[2],
           GvWave_RankDc(l, GvLedger_Wave(l, GvStr_C(argv[1])),
                         GvStr_C(argv[2]), last));
}
