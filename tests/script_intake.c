#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "leader.h"
#include "error.h"
#include "intake.h"
#include "job_record.h"
#include "limits.h"
#include "lookup.h"
#include "pool_plan.h"
#include "rhythm.h"
#include "script.h"

/* Verbs for the intake of job requests, claims of the lease, planned moves of
   hosts between pools and the prediction of periodic bursts. */

static gv_intake_t *intake;
static gv_job_table_t *table;
static int64_t now;
static bool store_ok;
static int64_t age;
static gv_intake_request_t requests[8];

static void
add_record(GByteArray *records, gv_str_t key, gv_str_t value)
{
    /* The value counts, but is not printed. */
    g_byte_array_append(records, (const guint8 *)key.p, (guint)key.n);
    g_byte_array_append(records, (const guint8 *)" ", 1);
    guint n = records->len;
    g_byte_array_set_size(records, n + (guint)value.n);
    memset(records->data + n, 0, value.n);
}

static void
on_append(void *user, int batch, gv_str_t records, bool fresh)
{
    (void)user;
    printf("  append %d: ", batch);
    for (size_t i = 0; i < records.n; i++) {
        if (records.p[i] != '\0') {
            putchar(records.p[i]);
        }
    }
    printf("%s\n", fresh ? "again" : "");
}

/* A record that was stored. */
typedef struct {
    gv_str_t key;
    gv_str_t value;
} gv_stored_t;

static GArray *stored_records;

static void
apply_record(const gv_stored_t *r)
{
    gv_job_t *job;
    (void)GvJobTable_Apply(table,
                           (gv_record_place_t){GV_PARTITION_ACCEPTED, 0, 0},
                           r->key, r->value, &job);
}

static void
on_stored(void *user, gv_str_t key, gv_str_t value)
{
    gv_stored_t r = {GvStr_Dup(key), GvStr_Dup(value)};
    (void)user;
    g_array_append_val(stored_records, r);
    apply_record(&r);
}

static void
on_sync(void *user, gv_intake_request_t *rq)
{
    (void)user;
    printf("  sync for %.*s\n", GV_STR_ARG(rq->id));
}

static void
on_reply(void *user, gv_intake_request_t *rq, const gv_intake_reply_t *r)
{
    static const char *const results[] = {
        "accepted", "cancelled",   "state",   "pending",
        "no-job",   "no-queue",    "invalid", "not-run",
        "unknown",  "unavailable", "id-taken"};
    (void)user;
    printf("  reply %.*s: %s ", GV_STR_ARG(rq->id), results[r->result]);
    if (r->result == GV_INTAKE_PENDING) {
        printf("%d\n", r->pending);
    }
    else {
        printf("%s\n", r->result == GV_INTAKE_STATE ? GvJob_StateName(r->state)
                       : r->why == NULL             ? ""
                                                    : r->why);
    }
    GvJob_Free(rq->job);
    rq->job = NULL;
}

static int64_t
age_ms(void *user, int64_t now_ms)
{
    (void)user;
    (void)now_ms;
    return age;
}

static bool
store_available(void *user, int64_t now_ms)
{
    (void)user;
    (void)now_ms;
    return store_ok;
}

/* intake_new [record_kb=KB jobs_kb=KB]: starts an intake with an empty job
   table at time 0. The store takes records of record_kb; all jobs may take
   jobs_kb. */
GV_VERB("intake_new", intake_new)
{
    gv_intake_ops_t ops = {NULL,
                           add_record,
                           on_append,
                           on_stored,
                           on_sync,
                           on_reply,
                           age_ms,
                           store_available,
                           OPT("record_kb", 256) * (size_t)1024,
                           OPT("jobs_kb", 4096) * (size_t)1024};
    table = GvJobTable_New();
    intake = GvIntake_New(&ops, table);
    stored_records = g_array_new(FALSE, FALSE, sizeof(gv_stored_t));
    store_ok = true;
    now = 0;
}

/* other_host: from now on the table is that of a host that has only read what
   was stored so far. */
GV_VERB("other_host", other_host)
{
    (void)argc;
    (void)argv;
    printf("other_host\n");
    g_hash_table_remove_all(table->jobs);
    table->n_early_cancels = 0;
    for (guint i = 0; i < stored_records->len; i++) {
        apply_record(&g_array_index(stored_records, gv_stored_t, i));
    }
}

/* Returns a job of queue "q". */
static gv_job_t *
new_job(const char *id, const char *account, int tasks, int text_kb)
{
    gv_job_t *j = GvJob_New();
    j->id = GvStr_Dup(GvStr_C(id));
    j->queue = GvStr_Dup(GV_STR("q"));
    j->account = GvStr_Dup(GvStr_C(account));
    j->n_steps = 1;
    j->steps = g_new0(gv_step_t, 1);
    j->steps[0].count = tasks;
    char *text = g_strnfill(text_kb * (gsize)1024, 'x');
    j->steps[0].image = GvStr_Dup(GvStr_C(text));
    g_free(text);
    g_assert_cmpint(GvJob_Prepare(j), ==, GV_OK);
    return j;
}

/* late ID [account=NAME]: an append of a submission is executed late; prints
   the state of the job. */
GV_VERB("late", late)
{
    char key[GV_JOB_ID_BYTES + 2];
    msgpack_sbuffer sb;
    gv_job_t *j =
        new_job(argv[1], GvScript_Option(argc, argv, "account", ""), 1, 0);
    msgpack_sbuffer_init(&sb);
    g_snprintf(key, sizeof key, "J%s", argv[1]);
    GvJobRecord_PackDefinition(j, &sb);
    on_stored(NULL, GvStr_C(key), GvStr_N(sb.data, sb.size));
    msgpack_sbuffer_destroy(&sb);
    GvJob_Free(j);
    j = GvJobTable_Find(table, ARG(1));
    printf("late %s: %s\n", argv[1], GvJob_StateName(GvJob_State(j)));
}

/* early N: N cancellations of unknown jobs are read from the store. */
GV_VERB("early", early)
{
    GByteArray *caller = g_byte_array_new();
    GvJobTable_PackEarlyCancel(GV_STR(""), GV_STR("q"), caller);
    for (uint64_t i = 0; i < NUM(1); i++) {
        char id[GV_JOB_ID_BYTES + 1];
        char key[GV_EARLY_KEY_BYTES];
        g_snprintf(id, sizeof id, "e%015llx", (unsigned long long)i);
        GvJobTable_EarlyCancelKey(GvStr_C(id), GV_STR(""), GV_STR("q"), key);
        on_stored(NULL, GvStr_C(key), GvStr_N(caller->data, caller->len));
    }
    g_byte_array_free(caller, TRUE);
    printf("early %d\n", table->n_early_cancels);
}

/* store available|unavailable: what the intake is told of the store. */
GV_VERB("store", store)
{
    store_ok = strcmp(argv[1], "available") == 0;
}

/* ask SLOT submit|state|cancel|pending ID [by=MS age=MS account=NAME
   open=QUEUE tasks=N text_kb=KB]: passes a request to the intake. by: its
   deadline; age: time since the accepted jobs were last read completely;
   account: of the caller; open: the queue that was asked, if every caller sees
   its jobs; SLOT identifies the request in `synced`. The queue of every job is
   "q". */
GV_VERB("ask", ask)
{
    gv_intake_request_t *rq = &requests[NUM(1)];
    *rq = (gv_intake_request_t){
        .kind = (gv_intake_kind_t)INDEX(argv[2], "submit", "state", "cancel",
                                        "pending"),
        .id = GvStr_Dup(ARG(3)),
        .account =
            GvStr_Dup(GvStr_C(GvScript_Option(argc, argv, "account", ""))),
        .open_queue =
            GvStr_Dup(GvStr_C(GvScript_Option(argc, argv, "open", ""))),
        .deadline_ms = OPT("by", 3000)};
    if (rq->kind == GV_INTAKE_KIND_SUBMIT) {
        rq->job = new_job(argv[3], GvScript_Option(argc, argv, "account", ""),
                          OPT("tasks", 1), OPT("text_kb", 0));
    }
    age = OPT("age", 0);
    printf("ask %s %s\n", argv[2], argv[3]);
    GvIntake_Request(intake, rq, now);
}

/* appended BATCH done|moved|fenced|sequence|busy|unreached|unknown
   [broken=0|1]: the store's answer to the append of a batch. */
GV_VERB("appended", appended)
{
    gv_append_answer_t a = {.result = (gv_store_result_t)INDEX(
                                argv[2], "done", "moved", "fenced", "sequence",
                                "busy", "unreached", "unknown"),
                            .broken = OPT("broken", 0) != 0};
    printf("appended %s\n", argv[2]);
    GvIntake_Appended(intake, (int)NUM(1), &a, now);
}

/* synced SLOT ok|failed: the end of the sync for a request. */
GV_VERB("synced", synced)
{
    GvIntake_Synced(intake, &requests[NUM(1)], strcmp(argv[2], "ok") == 0,
                    now);
}

static gv_lookups_t *lookups;

static void
on_round(void *user, int round)
{
    (void)user;
    printf("  round %d reads\n", round);
}

static void
on_looked_up(void *user, gv_intake_request_t *rq, bool ok)
{
    (void)user;
    printf("  slot %d: %s\n", (int)(rq - requests), ok ? "read" : "not read");
}

/* lookups ROUNDS: a new table of lookups. */
GV_VERB("lookups", lookups_verb)
{
    gv_lookup_opts_t o = {
        .rounds_max = (int)NUM(1), .read = on_round, .done = on_looked_up};
    lookups = GvLookups_New(&o);
}

/* lookup SLOT MS: a request with this deadline waits for a read. */
GV_VERB("lookup", lookup)
{
    gv_intake_request_t *rq = &requests[NUM(1)];
    printf("lookup %s\n", argv[1]);
    rq->deadline_ms = (int64_t)NUM(2);
    GvLookups_Add(lookups, rq);
}

/* round ROUND ok|failed: its reads have ended. */
GV_VERB("round", end_round)
{
    printf("round %s %s\n", argv[1], argv[2]);
    GvLookups_EndRound(lookups, (int)NUM(1), strcmp(argv[2], "ok") == 0);
}

GV_VERB("expire", expire)
{
    printf("expire %s\n", argv[1]);
    GvLookups_Expire(lookups, (int64_t)NUM(1));
}

GV_VERB("lookups_end", lookups_end)
{
    (void)argc;
    (void)argv;
    GvLookups_Free(lookups);
}

/* clock MS: sets the time and lets the intake act. */
GV_VERB("clock", clock_verb)
{
    now = (int64_t)NUM(1);
    printf("clock %lld\n", (long long)now);
    GvIntake_Step(intake, now);
}

/* may_claim NAME [holder=HOST epoch=N resigned=0|1 record_read=MS
   failed=MS started=MS now=MS caught_up=0|1 stopping=0|1 claim_delay=MS]:
   prints whether entry host NAME may claim the lease; see gv_lead_view_t. */
GV_VERB("may_claim", may_claim)
{
    gv_lease_t lead = {.epoch = (uint64_t)OPT("epoch", 1),
                       .holder =
                           GvStr_C(GvScript_Option(argc, argv, "holder", "")),
                       .resigned = OPT("resigned", 0) != 0};
    gv_lead_view_t v = {.self = ARG(1),
                        .lease = &lead,
                        .now_ms = OPT("now", 0),
                        .started_ms = OPT("started", 0),
                        .record_read_ms = OPT("record_read", 0),
                        .failed_ms = OPT("failed", 0),
                        .caught_up = OPT("caught_up", 1) != 0,
                        .stopping = OPT("stopping", 0) != 0,
                        .leader_timeout_ms = 2000,
                        .claim_delay_ms = OPT("claim_delay", 0)};
    printf("may_claim %d\n", GvLead_MayClaim(&v));
}

static gv_plan_pool_t pools[8];
static gv_plan_host_t hosts[32];
static int n_pools;
static int n_hosts;

/* plan_pool [need=CPU standby=0|1 fixed=0|1 min_hosts=N lacking=N coming=N]:
   adds a pool. */
GV_VERB("plan_pool", plan_pool)
{
    pools[n_pools++] = (gv_plan_pool_t){.need_cpu = OPT("need", 0),
                                        .standby = OPT("standby", 0) != 0,
                                        .fixed = OPT("fixed", 0) != 0,
                                        .min_hosts = OPT("min_hosts", 2),
                                        .lacking_hosts = OPT("lacking", 0),
                                        .coming_hosts = OPT("coming", 0),
                                        .power_off_after_ms = 20000};
}

/* plan_need [used=CPU wanted=CPU arriving=CPU expected=CPU]: prints the CPU
   that a pool with this demand needs. */
GV_VERB("plan_need", plan_need)
{
    gv_demand_t d = {.used_cpu = OPT("used", 0),
                     .wanted_cpu = OPT("wanted", 0),
                     .arriving_cpu = OPT("arriving", 0),
                     .expected_cpu = OPT("expected", 0)};
    printf("need %lld\n", (long long)GvPoolPlan_NeedCpu(&d));
}

/* plan_hosts COUNT [pool=N movable=0|1 runs=N idle=MS]: adds hosts to a
   pool. */
GV_VERB("plan_hosts", plan_hosts)
{
    for (uint64_t i = 0; i < NUM(1); i++) {
        int pool = OPT("pool", 0);
        pools[pool].hosts++;
        pools[pool].host_cpu = 16000;
        hosts[n_hosts++] = (gv_plan_host_t){.pool = pool,
                                            .movable = OPT("movable", 1) != 0,
                                            .runs = OPT("runs", 0),
                                            .idle_ms = OPT("idle", 0)};
    }
}

/* plan_moves: prints the planned moves, then removes all pools and hosts. */
GV_VERB("plan_moves", plan_moves)
{
    gv_plan_move_t moves[32];
    GvPoolPlan_SetHostCpu(pools, n_pools);
    int n = GvPoolPlan_Moves(pools, n_pools, hosts, n_hosts, moves, 32);
    printf("plan %d\n", n);
    for (int i = 0; i < n; i++) {
        printf("  host %d of pool %d to pool %d\n", moves[i].host,
               hosts[moves[i].host].pool, moves[i].to);
    }
    n_pools = 0;
    n_hosts = 0;
}

/* rhythm bursts=MS,MS,... now=MS: bursts of 4 s with load 100 begin at these
   times; prints the interval that is found between them and the burst expected
   from 1.5 s before now to 2.3 s after it. */
GV_VERB("rhythm", rhythm)
{
    gv_rhythm_t r = {0};
    char **at = g_strsplit(GvScript_Option(argc, argv, "bursts", ""), ",", -1);
    int64_t until = OPT("now", 0);
    for (int64_t t = 0; t <= until; t += 100) {
        double load = 5;
        for (int i = 0; at[i] != NULL; i++) {
            int64_t begun = atoi(at[i]);
            load = t >= begun && t < begun + 4000 ? 100 : load;
        }
        GvRhythm_AddSample(&r, load, 25, t);
    }
    g_strfreev(at);
    int64_t period = GvRhythm_PeriodMs(&r);
    printf("rhythm period %lld expected %.0f\n", (long long)period,
           GvRhythm_ExpectedBurst(&r, period, until - 1500, until + 2300));
}
