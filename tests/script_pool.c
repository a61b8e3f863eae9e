#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "pool.h"
#include "script.h"

/* Verbs for maintenance waves. Each order and report is printed when it is
   given. Hosts have no runs, unless the pools use the scheduler of the verbs
   sched_*. Times are in ms. */

static gv_sched_t *sched; /* NULL: that of the verbs sched_* */
static gv_pools_t *pools;
static int64_t now;

static void
on_list(void *user)
{
    (void)user;
    printf("  list\n");
}

static void
on_move(void *user, const char *host, const char *pool)
{
    (void)user;
    printf("  move %s to %s\n", host, pool);
}

static void
on_maintain(void *user, const char *host, int wave)
{
    (void)user;
    printf("  maintain %s in wave %d\n", host, wave);
}

static void
on_report(void *user, int wave, bool done)
{
    (void)user;
    printf("  report wave %d %s\n", wave, done ? "done" : "running");
}

static GByteArray *stored; /* newest progress of a wave */
static int stored_wave;

static void
on_store(void *user, int wave, gv_str_t bytes)
{
    (void)user;
    printf("  store wave %d\n", wave);
    stored_wave = wave;
    g_byte_array_set_size(stored, 0);
    g_byte_array_append(stored, (const guint8 *)bytes.p, (guint)bytes.n);
}

/* pool_new [now=MS runs=0|1]: replaces the pools; what is stored about waves
   is kept. runs: the pools use the scheduler of the verbs sched_*. */
GV_VERB("pool_new", pool_new)
{
    now = OPT("now", 1000);
    if (pools != NULL) {
        GvPools_Free(pools);
    }
    if (sched != NULL) {
        GvSched_Free(sched);
        sched = NULL;
    }
    stored = stored == NULL ? g_byte_array_new() : stored;
    gv_sched_opts_t so = {.now_ms = now};
    if (OPT("runs", 0) == 0) {
        sched = GvSched_New(&so);
    }
    gv_pool_opts_t o = {
        .ops = {NULL, on_list, on_move, on_maintain, on_report, on_store},
        .sched = sched == NULL ? GvScript_Sched() : sched,
        .now_ms = now,
        .maintenance_ms = 2000,
        .move_ms = 1500};
    pools = GvPools_New(&o);
}

static void
take_list(int argc, char **argv, gv_host_list_t list)
{
    gv_host_info_t hosts[8] = {0};
    char **words[8];
    for (int i = 1; i < argc; i++) {
        char **w = words[i - 1] = g_strsplit(argv[i], ":", 3);
        hosts[i - 1] = (gv_host_info_t){
            .id = GvStr_C(w[0]),
            .pool = GV_STR("s"),
            .target = GvStr_C(w[1]),
            .state = (gv_host_state_t)INDEX(w[2], "up", "moving",
                                            "maintenance", "down"),
            .cpu = 4000,
        };
    }
    GvPools_Listed(pools, hosts, argc - 1, list, now);
    for (int i = 1; i < argc; i++) {
        g_strfreev(words[i - 1]);
    }
}

/* pool_list HOST:TARGET:STATE ...: the answer to a list. STATE is up, moving,
   maintenance or down. */
GV_VERB("pool_list", pool_list)
{
    take_list(argc, argv, GV_HOST_LIST_WHOLE);
}

/* pool_list_partly ...: the same with entries that could not be read. */
GV_VERB("pool_list_partly", pool_list_partly)
{
    take_list(argc, argv, GV_HOST_LIST_PARTLY);
}

/* Returns the scheduler that the pools use. */
static gv_sched_t *
present_sched(void)
{
    return sched == NULL ? GvScript_Sched() : sched;
}

/* pool_answered TARGET: a target has answered a hold for the first time. */
GV_VERB("pool_answered", pool_answered)
{
    GvPools_CheckTarget(pools, ARG(1), now);
}

/* pool_entry HOST TARGET STARTED [service=S]: the entry of a target is read.
   STARTED is the time of its start. */
GV_VERB("pool_entry", pool_entry)
{
    gv_target_info_t t = {
        .id = ARG(2),
        .host = ARG(1),
        .addr = GV_STR("127.0.0.1:1"),
        .service = GvStr_C(GvScript_Option(argc, argv, "service", "s")),
        .room = {4000, 4000, 0},
        .started_ms = (int64_t)NUM(3),
    };
    GvSched_SetTarget(present_sched(), &t, now);
    GvPools_CheckTarget(pools, ARG(2), now);
}

/* pool_target HOST TARGET STARTED: the same, and the target answers if it has
   not done so before. */
GV_VERB("pool_target", pool_target)
{
    gv_hold_answer_t a = {.answer = {.result = GV_ORDER_DONE}};
    pool_entry(argc, argv);
    if (GvSched_AnsweredEntry(present_sched(), ARG(2)) == NULL) {
        GvSched_HandleHoldAnswer(present_sched(), argv[2], &a, now);
        GvPools_CheckTarget(pools, ARG(2), now);
    }
}

/* pool_lapsed TARGET: the entry of a target has lapsed. */
GV_VERB("pool_lapsed", pool_lapsed)
{
    GvSched_RemoveTarget(sched, ARG(1), now);
}

/* pool_run JOB TARGET: a task of a new job runs on a target. */
GV_VERB("pool_run", pool_run)
{
    gv_job_t *j = GvJob_New();
    j->id = GvStr_Dup(ARG(1));
    j->queue = GvStr_Dup(GV_STR("q"));
    j->service = GvStr_Dup(GV_STR("s"));
    j->attempts = 2;
    j->steps = g_new0(gv_step_t, 1);
    j->steps[0] = (gv_step_t){.count = 1, .need = {1000, 100, 0}};
    j->n_steps = 1;
    g_assert_cmpint(GvJob_Prepare(j), ==, GV_OK);
    j->tasks[0].state = GV_TASK_PLACED;
    j->tasks[0].run = 1;
    j->tasks[0].target = g_intern_string(argv[2]);
    GvSched_AddJob(sched, j, now);
    GvJob_Free(j);
}

/* pool_services NAME ...: replaces the services. */
GV_VERB("pool_services", pool_services)
{
    gv_service_info_t services[8] = {0};
    for (int i = 1; i < argc; i++) {
        services[i - 1].name = ARG(i);
    }
    GvPools_SetServices(pools, services, argc - 1);
}

/* pool_reserved TARGET: prints whether a target is kept free of new tasks. */
GV_VERB("pool_reserved", pool_reserved)
{
    gv_target_view_t v;
    bool known = GvSched_View(sched, ARG(1), &v);
    printf("%s reserved %d\n", argv[1], known && v.reserved);
}

/* pool_wave N CAP HOST ...: a wave is requested; it continues from what is
   stored. */
GV_VERB("pool_wave", pool_wave)
{
    gv_str_t hosts[8];
    for (int i = 3; i < argc; i++) {
        hosts[i - 3] = ARG(i);
    }
    GvPools_SetWave(pools, (int)NUM(1), hosts, argc - 3, 30000, (int)NUM(2),
                    stored_wave == (int)NUM(1)
                        ? GvStr_N(stored->data, stored->len)
                        : GV_STR(""),
                    now, now);
}

/* pool_at MS [may_order=0|1]: sets the time and steps the pools. */
GV_VERB("pool_at", pool_at)
{
    now = (int64_t)NUM(1);
    printf("at %lld\n", (long long)now);
    GvPools_Step(pools, OPT("may_order", 1) != 0, now, now);
}

/* pool_maintained HOST WAVE done|fenced|not-now|invalid|retry|unknown: the
   result of an order. */
GV_VERB("pool_maintained", pool_maintained)
{
    GvPools_Maintained(pools, argv[1], (int)NUM(2),
                       (gv_pool_result_t)INDEX(argv[3], "done", "fenced",
                                               "not-now", "invalid", "retry",
                                               "unknown"),
                       now);
}

/* pool_reported WAVE running|done stored|lost: the result of a report. */
GV_VERB("pool_reported", pool_reported)
{
    GvPools_Reported(pools, (int)NUM(1), strcmp(argv[2], "done") == 0,
                     strcmp(argv[3], "stored") == 0, now);
}
