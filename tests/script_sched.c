#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "counter.h"
#include "error.h"
#include "job_record.h"
#include "job_table.h"
#include "limits.h"
#include "sched.h"
#include "script.h"

/* Verbs for the scheduler. Each order is printed when it is sent. Times are in
   ms. */

static gv_sched_t *sched;
static int64_t now;
static gv_job_table_t *table; /* what is stored */
static uint64_t offset;

static void
on_start(void *user, const gv_start_order_t *o)
{
    gv_task_place_t at = GvJob_PlaceOf(o->job, o->task);
    (void)user;
    printf(
        "  start %.*s.%d.%d.%d run %u on %s%s%s%s%s\n", GV_STR_ARG(o->job->id),
        at.occurrence, at.step, at.index, o->run, o->target,
        o->saved == NULL ? "" : " from ", o->saved == NULL ? "" : o->saved,
        o->ticket == NULL ? "" : " with a ticket", o->retry ? " again" : "");
}

static void
on_stop(void *user, const gv_stop_order_t *o)
{
    (void)user;
    printf("  stop %s run %u on %s\n", o->task, o->run, o->target);
}

static void
on_hold(void *user, const gv_hold_order_t *o)
{
    (void)user;
    printf("  hold %s ends_stored %llu wait %d%s\n", o->target,
           (unsigned long long)o->ends_stored, o->wait_ms,
           o->deadline_ms == 0 ? "" : " lease");
}

static void
on_advise(void *user, const gv_advice_order_t *o)
{
    (void)user;
    printf("  advise %s about %d\n", o->step, o->n_targets);
}

/* Returns the scheduler of these verbs; NULL before sched_new. */
gv_sched_t *
GvScript_Sched(void)
{
    return sched;
}

/* Returns the value of the argument "name=value", or an empty string. */
static gv_str_t
text_of(int argc, char **argv, const char *name)
{
    return GvStr_C(GvScript_Option(argc, argv, name, ""));
}

/* sched_new [now=MS epoch=N jobs_loaded=0|1 max_age=MS max_lease=MS
   learn=0|1]: replaces the scheduler and empties the store. jobs_loaded: all
   stored jobs have been read; max_age: of the targets' records; max_lease:
   that targets grant; learn: run times are learned. */
GV_VERB("sched_new", sched_new)
{
    if (sched != NULL) {
        GvSched_Free(sched);
    }
    if (table != NULL) {
        GvJobTable_Free(table);
    }
    table = GvJobTable_New();
    now = OPT("now", 1000);
    gv_sched_opts_t o = {.ops = {NULL, on_start, on_stop, on_hold, on_advise},
                         .epoch = (uint64_t)OPT("epoch", 1),
                         .lease_ms = 4500,
                         .max_lease_ms = OPT("max_lease", 4500),
                         .records_max_age_ms = (int)OPT("max_age", 0),
                         .learn_run_times = OPT("learn", 0) != 0,
                         .now_ms = now};
    sched = GvSched_New(&o);
    if (OPT("jobs_loaded", 1) != 0) {
        GvSched_SetJobsLoaded(sched);
    }
}

static GByteArray *leases; /* that the scheduler has packed */

/* sched_resign: the scheduler packs the leases, as its leader is about to give
   up the lease to schedule. */
GV_VERB("sched_resign", sched_resign)
{
    (void)argc;
    (void)argv;
    printf("resign\n");
    leases = g_byte_array_new();
    GvSched_PackLeases(sched, now, leases);
}

/* sched_resign_failed: what was packed was certainly not stored. */
GV_VERB("sched_resign_failed", sched_resign_failed)
{
    (void)argc;
    (void)argv;
    printf("resign failed\n");
    GvSched_UnpackLeases(sched);
}

/* sched_replace epoch=N max_lease=MS [learn=0|1 read=MS leases=PERCENT] JOB
   ...: a new leader's scheduler takes over, with the stored progress of these
   jobs and, if it learns run times, with the stored ones. read: when it read
   the newest record of the former leader; leases: it reads so much of what
   that one packed. */
GV_VERB("sched_replace", sched_replace)
{
    gv_sched_opts_t o = {.ops = {NULL, on_start, on_stop, on_hold, on_advise},
                         .epoch = (uint64_t)OPT("epoch", 2),
                         .lease_ms = 4500,
                         .max_lease_ms = OPT("max_lease", 4500),
                         .learn_run_times = OPT("learn", 0) != 0,
                         .now_ms = now,
                         .former_ms = OPT("read", 0)};
    GvSched_Free(sched);
    sched = GvSched_New(&o);
    if (OPT("leases", 0) > 0) {
        int cut = (int)leases->len * OPT("leases", 0) / 100;
        int rc = GvSched_LoadLeases(sched, GvStr_N(leases->data, cut));
        printf("replace leases %s\n", rc == GV_OK ? "read" : "not read");
    }
    if (table->run_times != NULL) {
        (void)GvSched_LoadRunTimes(
            sched, GvStr_N(table->run_times->data, table->run_times->len));
    }
    for (int i = 2; i < argc; i++) {
        if (strchr(argv[i], '=') != NULL) {
            continue;
        }
        GvSched_AddJob(sched, GvJobTable_Find(table, ARG(i)), now);
    }
    GvSched_SetJobsLoaded(sched);
}

/* sched_jobs_loaded: all stored jobs have now been read. */
GV_VERB("sched_jobs_loaded", sched_jobs_loaded)
{
    printf("jobs loaded\n");
    GvSched_SetJobsLoaded(sched);
}

/* sched_queue NAME [service=S attempts=N priority=N objective=MS advice=0|1]:
   replaces the queues with this one. */
GV_VERB("sched_queue", sched_queue)
{
    gv_queue_info_t q = {.name = ARG(1),
                         .service = text_of(argc, argv, "service"),
                         .attempts = OPT("attempts", 2),
                         .priority = OPT("priority", 0),
                         .objective_ms = OPT("objective", 600),
                         .stretch = 1.6,
                         .needs_advice = OPT("advice", 0) != 0};
    GvSched_SetQueues(sched, &q, 1);
}

/* sched_accounts [NAME:WEIGHT:CPU:MEMORY ...]: replaces the client accounts; a
   limit of 0 is none. */
GV_VERB("sched_accounts", sched_accounts)
{
    gv_account_info_t accounts[8] = {0};
    char **kept[8];
    int n = 0;
    for (; n + 1 < argc && n < 8; n++) {
        char **w = kept[n] = g_strsplit(argv[n + 1], ":", 4);
        accounts[n] = (gv_account_info_t){
            .name = GvStr_C(w[0]),
            .weight = atoi(w[1]),
            .limit = {.cpu = atoi(w[2]), .memory = atoi(w[3])}};
    }
    GvSched_SetAccounts(sched, accounts, n, now);
    while (n > 0) {
        g_strfreev(kept[--n]);
    }
}

/* sched_target ID [service=S host=H addr=A rack=R labels=L cpu=N mem=N
   draining=0|1 started=MS]: adds or updates a target; started is the time of
   its start. */
GV_VERB("sched_target", sched_target)
{
    gv_target_info_t t = {
        .id = ARG(1),
        .host = text_of(argc, argv, "host"),
        .addr = GvStr_C(GvScript_Option(argc, argv, "addr", "127.0.0.1:1")),
        .service = text_of(argc, argv, "service"),
        .rack = text_of(argc, argv, "rack"),
        .labels = text_of(argc, argv, "labels"),
        .room = {OPT("cpu", 4000), OPT("mem", 4000), 0},
        .draining = OPT("draining", 0) != 0,
        .started_ms = OPT("started", 0),
    };
    GvSched_SetTarget(sched, &t, now);
}

/* sched_records_read SERVICE checks_room=0|1: the records of the targets have
   just been read; the targets of this service check their room or do not. */
GV_VERB("sched_records_read", sched_records_read)
{
    gv_service_info_t s = {.name = ARG(1),
                           .checks_room = OPT("checks_room", 0) != 0};
    GvSched_SetServices(sched, &s, 1);
    GvSched_SetRecordsRead(sched, now);
}

/* sched_target_gone ID: removes a target. */
GV_VERB("sched_target_gone", sched_target_gone)
{
    GvSched_RemoveTarget(sched, ARG(1), now);
}

static int64_t asked_ms; /* when the next list was requested; 0: now */

static void
check_hosts(int argc, char **argv, bool whole)
{
    gv_listed_host_t listed[16];
    char **kept[16];
    gv_listed_hosts_t list = {g_hash_table_new(g_str_hash, g_str_equal), whole,
                              asked_ms == 0 ? now : asked_ms};
    asked_ms = 0;
    for (int i = 1; i < argc; i++) {
        char **w = kept[i] = g_strsplit(argv[i], "=", 2);
        char *how = strchr(w[1], ':');
        if (how != NULL) {
            *how = '\0';
        }
        bool down = strcmp(w[1], "down") == 0;
        bool unnamed = strcmp(w[1], "unnamed") == 0;
        bool none = down || unnamed || strcmp(w[1], "away") == 0;
        listed[i] =
            (gv_listed_host_t){none ? "" : w[1], unnamed, down, how != NULL};
        g_hash_table_insert(list.hosts, w[0], &listed[i]);
    }
    GvSched_CheckHosts(sched, &list, now);
    g_hash_table_destroy(list.hosts);
    while (argc > 1) {
        g_strfreev(kept[--argc]);
    }
}

/* sched_hosts_asked: the next list of hosts is requested now. */
GV_VERB("sched_hosts_asked", sched_hosts_asked)
{
    asked_ms = now;
}

/* sched_hosts HOST=TARGET[:ordered]|down|away|unnamed ...: the platform's list
   of hosts, with the target on each, or none as it has failed or was ordered
   away, or is up but its target not named. ordered: an order for the host has
   no result yet. */
GV_VERB("sched_hosts", sched_hosts)
{
    check_hosts(argc, argv, true);
}

/* sched_hosts_partly ...: the same with entries that could not be read. */
GV_VERB("sched_hosts_partly", sched_hosts_partly)
{
    check_hosts(argc, argv, false);
}

/* Parses a step, which is words separated by commas: count=N, cpu=N, mem=N,
   max=N (per target), max_unavailable=N, goal=MS (of the tail latency),
   after=N (index of a step), label=L, rack=R, and the flags long_running,
   gang and leftover_cpu. */
static gv_step_t
read_step(char *words)
{
    gv_step_t s = {.count = 1, .need = {1000, 100, 0}, .estimate_ms = 900};
    char **w = g_strsplit(words, ",", -1);
    for (int i = 0; w[i] != NULL; i++) {
        char *v = strchr(w[i], '=');
        int n = v == NULL ? 0 : atoi(v + 1);
        s.count = g_str_has_prefix(w[i], "count=") ? n : s.count;
        s.need.cpu = g_str_has_prefix(w[i], "cpu=") ? n : s.need.cpu;
        s.need.memory = g_str_has_prefix(w[i], "mem=") ? n : s.need.memory;
        s.max_per_target =
            g_str_has_prefix(w[i], "max=") ? n : s.max_per_target;
        s.max_unavailable =
            g_str_has_prefix(w[i], "max_unavailable=") ? n : s.max_unavailable;
        s.tail_latency_goal_ms =
            g_str_has_prefix(w[i], "goal=") ? n : s.tail_latency_goal_ms;
        s.long_running = s.long_running || strcmp(w[i], "long_running") == 0;
        s.gang = s.gang || strcmp(w[i], "gang") == 0;
        s.uses_leftover_cpu =
            s.uses_leftover_cpu || strcmp(w[i], "leftover_cpu") == 0;
        if (g_str_has_prefix(w[i], "after=")) {
            s.after = g_new0(int, 1);
            s.after[0] = n;
            s.n_after = 1;
        }
        if (g_str_has_prefix(w[i], "label=")) {
            s.label = GvStr_Dup(GvStr_C(v + 1));
        }
        if (g_str_has_prefix(w[i], "rack=")) {
            s.rack = GvStr_Dup(GvStr_C(v + 1));
        }
    }
    g_strfreev(w);
    return s;
}

static void
store_record(gv_partition_kind_t kind, gv_str_t key, gv_str_t value)
{
    gv_job_t *job;
    gv_record_place_t at = {kind, 0, ++offset};
    (void)GvJobTable_Apply(table, at, key, value, &job);
}

/* Stores the definition of a job. */
static void
store_definition(const gv_job_t *j)
{
    char key[GV_JOB_ID_BYTES + 2];
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    g_snprintf(key, sizeof key, "J%.*s", GV_STR_ARG(j->id));
    GvJobRecord_PackDefinition(j, &sb);
    store_record(GV_PARTITION_ACCEPTED, GvStr_C(key),
                 GvStr_N(sb.data, sb.size));
    msgpack_sbuffer_destroy(&sb);
}

/* sched_job ID [queue=Q service=S account=A placed=TARGET run=N] step:WORDS
   ...: adds and stores a job with these steps; see read_step. placed: its
   first task already runs on that target; run: number of the newest run of its
   tasks. */
GV_VERB("sched_job", sched_job)
{
    gv_job_t *j = GvJob_New();
    j->id = GvStr_Dup(ARG(1));
    j->queue = GvStr_Dup(text_of(argc, argv, "queue"));
    j->service = GvStr_Dup(text_of(argc, argv, "service"));
    j->account = GvStr_Dup(text_of(argc, argv, "account"));
    j->attempts = 2;
    j->accepted_ms = now;
    j->steps = g_new0(gv_step_t, (gsize)argc);
    for (int i = 2; i < argc; i++) {
        if (g_str_has_prefix(argv[i], "step:")) {
            j->steps[j->n_steps++] = read_step(argv[i] + 5);
        }
    }
    g_assert_cmpint(GvJob_Prepare(j), ==, GV_OK);
    for (int i = 0; i < j->n_tasks; i++) {
        j->tasks[i].run = (uint32_t)OPT("run", 0);
    }
    const char *placed = GvScript_Option(argc, argv, "placed", NULL);
    if (placed != NULL) {
        j->tasks[0].state = GV_TASK_PLACED;
        j->tasks[0].run = 1;
        j->tasks[0].target = g_intern_string(placed);
        j->begun = true;
    }
    GvSched_AddJob(sched, j, now);
    store_definition(j);
    GvJob_Free(j);
}

/* sched_pending QUEUE: prints how many stored jobs have not begun. */
GV_VERB("sched_pending", sched_pending)
{
    printf("pending %d\n", GvJobTable_Pending(table, ARG(1)));
}

/* sched_state ID: prints the state of a job as it is stored. */
GV_VERB("sched_state", sched_state)
{
    printf("state %s\n",
           GvJob_StateName(GvJob_State(GvJobTable_Find(table, ARG(1)))));
}

/* sched_lacking SERVICE: prints how many hosts the service lacks for its
   long-running tasks. */
GV_VERB("sched_lacking", sched_lacking)
{
    gv_demand_t d = GvSched_Demand(sched, ARG(1), 0, now, now);
    printf("lacking %d\n", d.lacking_hosts);
}

/* sched_wanted SERVICE: prints the cpu that waiting tasks want now. */
GV_VERB("sched_wanted", sched_wanted)
{
    gv_demand_t d = GvSched_Demand(sched, ARG(1), 0, now, now);
    printf("wanted %lld of %d tasks\n", (long long)d.wanted_cpu, d.waiting);
}

/* sched_cancel ID: cancels a job. */
GV_VERB("sched_cancel", sched_cancel)
{
    GvSched_Cancel(sched, ARG(1), now);
}

/* sched_at MS: sets the time and runs the scheduler. */
GV_VERB("sched_at", sched_at)
{
    now = (int64_t)NUM(1);
    printf("at %lld\n", (long long)now);
    (void)GvSched_Run(sched, now, now);
}

static void
on_record(void *user, gv_str_t key, gv_str_t value)
{
    (void)user;
    printf("  record %.*s%s\n", GV_STR_ARG(key), value.n == 0 ? " empty" : "");
    store_record(GV_PARTITION_PROGRESS, key, value);
}

/* sched_take: stores the next batch of progress records and prints their
   keys. */
GV_VERB("sched_take", sched_take)
{
    printf("take %d\n", GvSched_TakeBatch(sched, on_record, NULL));
}

/* sched_stored: confirms to the scheduler that the batch is stored. */
GV_VERB("sched_stored", sched_stored)
{
    printf("stored\n");
    GvSched_ConfirmBatch(sched, now);
}

/* Returns a target's answer to an order; its clock is 5 s ahead, unless the
   option clock gives its time, 0 for none. sent: when the order was sent. */
static gv_order_answer_t
answer_of(int argc, char **argv, const char *word)
{
    const char *clock = GvScript_Option(argc, argv, "clock", NULL);
    return (gv_order_answer_t){
        .result = (gv_order_result_t)INDEX(
            word, "done", "no-answer", "not-sent", "busy", "no-room",
            "old-run", "late", "fenced", "other-instance", "no-ticket",
            "refused"),
        .clock_ms = clock == NULL ? now + 5000 : atoll(clock),
        .started_ms = OPT("started", 0),
        .sent_ms = OPT("sent", 0),
        .broken = OPT("broken", 0) != 0,
    };
}

/* sched_started TARGET TASK RUN RESULT [started=MS broken=0|1]: the answer to
 * a start. */
GV_VERB("sched_started", sched_started)
{
    gv_order_answer_t a = answer_of(argc, argv, argv[4]);
    GvSched_HandleStartAnswer(sched, argv[1], argv[2], (uint32_t)NUM(3), &a,
                              now);
}

/* sched_stopped TARGET TASK RUN RESULT [started=MS broken=0|1]: the answer to
 * a stop. */
GV_VERB("sched_stopped", sched_stopped)
{
    gv_order_answer_t a = answer_of(argc, argv, argv[4]);
    GvSched_HandleStopAnswer(sched, argv[1], argv[2], (uint32_t)NUM(3), &a,
                             now);
}

static gv_end_kind_t
end_of(const char *word)
{
    return (gv_end_kind_t)INDEX(word, "done", "failed", "stopped", "lapsed",
                                "broken", "alone");
}

/* sched_held TARGET RESULT [started=MS broken=0|1 cut=0|1]
   [run:TASK:RUN:PERCENT]... [end:N:TASK:RUN:HOW]...: the answer to a hold,
   with the live and the ended runs. N is the number of the end; cut: others
   may follow. */
GV_VERB("sched_held", sched_held)
{
    gv_running_t running[16];
    gv_ended_t ended[16];
    char **kept[32];
    int n_kept = 0;
    gv_hold_answer_t a = {.answer = answer_of(argc, argv, argv[2]),
                          .running = running,
                          .ended = ended,
                          .ends_cut = OPT("cut", 0) != 0};
    for (int i = 3; i < argc; i++) {
        char **w = g_strsplit(argv[i], ":", -1);
        kept[n_kept++] = w;
        if (strcmp(w[0], "run") == 0) {
            running[a.n_running++] =
                (gv_running_t){.task = GvStr_C(w[1]),
                               .run = (uint32_t)atoi(w[2]),
                               .percent = atoi(w[3])};
        }
        if (strcmp(w[0], "end") == 0) {
            ended[a.n_ended++] = (gv_ended_t){.number = (uint64_t)atoi(w[1]),
                                              .task = GvStr_C(w[2]),
                                              .run = (uint32_t)atoi(w[3]),
                                              .how = end_of(w[4])};
        }
    }
    GvSched_HandleHoldAnswer(sched, argv[1], &a, now);
    while (n_kept > 0) {
        g_strfreev(kept[--n_kept]);
    }
}

/* sched_evacuate TARGET: reserves a target, stops its runs of long-running
   tasks and prints how many runs are left on it. */
GV_VERB("sched_evacuate", sched_evacuate)
{
    GvSched_Reserve(sched, ARG(1), true);
    printf("left %d\n", GvSched_Evacuate(sched, ARG(1), false, now));
}

/* sched_advised STEP ok|none valid=MS TARGET...: the answer of the advice
   service, with a ticket for each target. */
GV_VERB("sched_advised", sched_advised)
{
    gv_ticket_row_t rows[8];
    int n = 0;
    for (int i = 4; i < argc; i++) {
        rows[n++] = (gv_ticket_row_t){ARG(i), GV_STR("ticket")};
    }
    GvSched_HandleAdvice(sched, argv[1], strcmp(argv[2], "ok") == 0, rows, n,
                         OPT("valid", 3000), now);
}

/* sched_fenced: prints 1 if a target has seen the epoch of a newer scheduler,
   otherwise 0. */
GV_VERB("sched_fenced", sched_fenced)
{
    printf("fenced %d\n", GvSched_IsFenced(sched));
}

/* sched_counter NAME: prints the value of a counter. */
GV_VERB("sched_counter", sched_counter)
{
    GString *all = g_string_new("");
    GvCounter_Render(all);
    char *wanted = g_strdup_printf("\ngypsumvalve_%s ", argv[1]);
    const char *found = strstr(all->str, wanted);
    printf("%s %d\n", argv[1],
           found == NULL ? -1 : atoi(found + strlen(wanted)));
    g_free(wanted);
    g_string_free(all, TRUE);
}
