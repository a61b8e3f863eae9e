#include <glib.h>

#include "error.h"
#include "job_record.h"
#include "job_table.h"
#include "limits.h"
#include "pack.h"
#include "support.h"

/* Records of jobs and waves that are malformed or arrive out of order. */

#define ID "00000000000000a1"

/* Returns a job of one step with two tasks. */
static gv_job_t *
new_job(void)
{
    gv_job_t *j = GvJob_New();
    j->id = GvStr_Dup(GV_STR(ID));
    j->queue = GvStr_Dup(GV_STR("q"));
    j->service = GvStr_Dup(GV_STR("s"));
    j->attempts = 2;
    j->n_steps = 1;
    j->steps = g_new0(gv_step_t, 1);
    j->steps[0].count = 2;
    g_assert_cmpint(GvJob_Prepare(j), ==, GV_OK);
    return j;
}

static gv_change_t
apply(gv_job_table_t *t, gv_partition_kind_t kind, uint64_t offset,
      gv_str_t key, gv_str_t value)
{
    gv_job_t *job;
    gv_record_place_t at = {kind, 0, offset};
    return GvJobTable_Apply(t, at, key, value, &job);
}

/* Returns a table with a job whose first task is done. */
static gv_job_table_t *
table_with_job(void)
{
    msgpack_sbuffer sb;
    gv_job_table_t *t = GvJobTable_New();
    gv_job_t *j = new_job();
    msgpack_sbuffer_init(&sb);
    GvJobRecord_PackDefinition(j, &sb);
    g_assert_cmpint(apply(t, GV_PARTITION_ACCEPTED, 1, GV_STR("J" ID),
                          GvStr_N(sb.data, sb.size)),
                    ==, GV_CHANGE_JOB);
    sb.size = 0;
    j->tasks[0].state = GV_TASK_DONE;
    j->n_done = 1;
    j->tasks[1].run = 3;
    GvJobRecord_PackProgress(j, &sb);
    g_assert_cmpint(apply(t, GV_PARTITION_PROGRESS, 5, GV_STR("P" ID),
                          GvStr_N(sb.data, sb.size)),
                    ==, GV_CHANGE_PROGRESS);
    msgpack_sbuffer_destroy(&sb);
    GvJob_Free(j);
    return t;
}

/* Returns the progress of j as another job has read it back. */
static gv_job_t *
read_back(const gv_job_t *j)
{
    msgpack_sbuffer sb;
    gv_job_t *out = new_job();
    msgpack_sbuffer_init(&sb);
    GvJobRecord_PackProgress(j, &sb);
    g_assert_cmpint(GvJobRecord_ReadProgress(GvStr_N(sb.data, sb.size), out),
                    ==, GV_OK);
    msgpack_sbuffer_destroy(&sb);
    return out;
}

/* Guards against failed runs that are counted twice or not at all, with any
   numbers and in any order, also after the progress was stored and read. Of
   late ones only the newest are kept, so that those here come in order. */
TEST("/jobs/failed-runs", test_failed_runs)
{
    static const uint32_t runs[] = {1, 3, 63, 64, 65, 64, 2, 1000, 65, 1001};
    gv_job_t *j = new_job();
    int different = 0;
    for (guint i = 0; i < G_N_ELEMENTS(runs); i++) {
        bool known = false;
        for (guint k = 0; k < i; k++) {
            known = known || runs[k] == runs[i];
        }
        different += known ? 0 : 1;
        j->tasks[0].run = runs[i];
        g_assert_cmpint(GvJob_AddFailedRun(j, 0, runs[i]), ==, !known);
        g_assert_cmpint(GvJob_CountFailedRuns(j, 0), ==, different);
        gv_job_t *read = read_back(j);
        GvJob_Free(j);
        j = read;
        g_assert_cmpint(GvJob_CountFailedRuns(j, 0), ==, different);
    }
    for (uint32_t run = 1002; run < 1100; run++) {
        g_assert_true(GvJob_AddFailedRun(j, 0, run));
        g_assert_false(GvJob_AddFailedRun(j, 0, run - 1));
        g_assert_false(GvJob_AddFailedRun(j, 0, 64));
        different++;
        gv_job_t *read = read_back(j);
        GvJob_Free(j);
        j = read;
    }
    g_assert_cmpint(GvJob_CountFailedRuns(j, 0), ==, different);
    g_assert_cmpint(GvJob_CountFailedRuns(j, 1), ==, 0);
    g_assert_false(GvJob_AddFailedRun(j, 1, 0)); /* a malformed end */
    g_assert_cmpint(GvJob_CountFailedRuns(j, 1), ==, 0);
    GvJob_Free(j);
}

/* Guards against a job that loses its account when it is read back, which lets
   every account see it and counts it against none, and against jobs that an
   earlier version has stored without the field and that are no longer read. */
TEST("/jobs/account", test_account)
{
    msgpack_sbuffer sb;
    gv_job_t *read = NULL;
    gv_job_t *j = new_job();
    j->account = GvStr_Dup(GV_STR("north"));
    msgpack_sbuffer_init(&sb);
    GvJobRecord_PackDefinition(j, &sb);
    ASSERT_OK(GvJobRecord_ReadDefinition(GvStr_N(sb.data, sb.size), &read));
    g_assert_true(GvStr_Equal(read->account, GV_STR("north")));
    GvJob_Free(read);
    GvStr_Free(&j->account);
    sb.size = 0;
    GvJobRecord_PackDefinition(j, &sb);
    /* The array's head, 0xdc and its size in two bytes; the last field is the
       empty account. */
    g_assert_cmphex((unsigned char)sb.data[0], ==, 0xdc);
    sb.data[2] = 15;
    ASSERT_OK(
        GvJobRecord_ReadDefinition(GvStr_N(sb.data, sb.size - 1), &read));
    g_assert_cmpuint(read->account.n, ==, 0);
    GvJob_Free(read);
    msgpack_sbuffer_destroy(&sb);
    GvJob_Free(j);
}

/* Guards against a malformed record of progress that makes finished tasks run
   again. */
TEST("/jobs/malformed-progress", test_malformed_progress)
{
    gv_job_table_t *t = table_with_job();
    msgpack_sbuffer sb;
    gv_job_t *j = new_job();
    msgpack_sbuffer_init(&sb);
    j->tasks[1].run = 9;
    GvJobRecord_PackProgress(j, &sb);
    for (size_t n = 1; n < sb.size; n++) {
        (void)apply(t, GV_PARTITION_PROGRESS, 5 + n, GV_STR("P" ID),
                    GvStr_N(sb.data, n));
        const gv_job_t *kept = GvJobTable_Find(t, GV_STR(ID));
        g_assert_cmpint(kept->n_done, ==, 1);
        g_assert_cmpint(kept->tasks[0].state, ==, GV_TASK_DONE);
        g_assert_cmpint(kept->tasks[1].run, ==, 3);
    }
    g_assert_cmpint(t->malformed, ==, (int)sb.size - 1);
    msgpack_sbuffer_destroy(&sb);
    GvJob_Free(j);
    GvJobTable_Free(t);
}

/* Reads progress in which the first task is done or not, with a row for each
   of these two tasks. */
static int
read_rows(gv_job_t *j, bool first_done, int a, int b)
{
    const int tasks[] = {a, b};
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    msgpack_packer pk = GvPack_Array(&sb, 5);
    GvPack_Uint(&pk, 1); /* format */
    GvPack_Uint(&pk, 0); /* flags */
    GvPack_Int(&pk, 0);  /* end */
    GvPack_Bin(&pk, first_done ? GV_STR("\x01") : GV_STR("\0"));
    msgpack_pack_array(&pk, 2);
    for (int i = 0; i < 2; i++) {
        msgpack_pack_array(&pk, 6);
        GvPack_Int(&pk, tasks[i]);
        GvPack_Uint(&pk, GV_TASK_PLACED);
        GvPack_Uint(&pk, 2);
        GvPack_Int(&pk, i); /* failures */
        GvPack_Str(&pk, GV_STR("i-1"));
        GvPack_Str(&pk, GV_STR("saved"));
    }
    int rc = GvJobRecord_ReadProgress(GvStr_N(sb.data, sb.size), j);
    msgpack_sbuffer_destroy(&sb);
    return rc;
}

/* Guards against progress with two states of one task: a job would count as
   done while one of its tasks has not run. */
TEST("/jobs/contradicting-progress", test_contradiction)
{
    gv_job_t *j = new_job();
    g_assert_cmpint(read_rows(j, true, 0, 1), ==, GV_EINVAL);
    g_assert_cmpint(read_rows(j, false, 1, 1), ==, GV_EINVAL);
    g_assert_cmpint(j->n_done, ==, 0);
    ASSERT_OK(read_rows(j, false, 0, 1));
    g_assert_cmpuint(j->tasks[1].run, ==, 2);
    g_assert_cmpint(GvJob_CountFailedRuns(j, 0), ==, 0);
    g_assert_cmpint(GvJob_CountFailedRuns(j, 1), ==, 1);
    GvJob_Free(j);
}

/* Guards against long-running tasks that never start again under a new leader,
   as the progress that an earlier version has stored has them as done. */
TEST("/jobs/long-running-done", test_long_running_done)
{
    msgpack_sbuffer sb;
    gv_job_t *j = new_job();
    j->steps[0].long_running = true;
    j->tasks[0].state = GV_TASK_DONE;
    j->tasks[1].state = GV_TASK_DONE;
    msgpack_sbuffer_init(&sb);
    GvJobRecord_PackProgress(j, &sb);
    ASSERT_OK(GvJobRecord_ReadProgress(GvStr_N(sb.data, sb.size), j));
    g_assert_cmpint(j->n_done, ==, 0);
    g_assert_cmpint(j->tasks[0].state, ==, GV_TASK_WAITING);
    g_assert_cmpint(GvJob_State(j), !=, GV_JOB_DONE);
    msgpack_sbuffer_destroy(&sb);
    GvJob_Free(j);
}

/* Guards against an older record of a wave, read again after the newest one,
   that makes a new leader maintain hosts a second time. */
TEST("/jobs/older-wave-record", test_older_wave)
{
    gv_job_table_t *t = GvJobTable_New();
    g_assert_cmpint(
        apply(t, GV_PARTITION_PROGRESS, 8, GV_STR("W7"), GV_STR("newer")), ==,
        GV_CHANGE_WAVE);
    g_assert_cmpint(
        apply(t, GV_PARTITION_PROGRESS, 4, GV_STR("W7"), GV_STR("older")), ==,
        GV_CHANGE_NONE);
    const GByteArray *b = g_hash_table_lookup(t->waves, GSIZE_TO_POINTER(7));
    g_assert_cmpmem(b->data, b->len, "newer", 5);
    GvJobTable_Free(t);
}

/* Guards against a step that starts before those that it depends on because
   its list of them is too long to be kept. */
TEST("/jobs/too-many-dependencies", test_dependencies)
{
    msgpack_sbuffer sb;
    gv_job_t *read = NULL;
    gv_job_t *j = new_job();
    j->steps[0].n_after = GV_JOB_STEPS_MAX + 1;
    j->steps[0].after = g_new0(int, GV_JOB_STEPS_MAX + 1);
    msgpack_sbuffer_init(&sb);
    GvJobRecord_PackDefinition(j, &sb);
    g_assert_cmpint(
        GvJobRecord_ReadDefinition(GvStr_N(sb.data, sb.size), &read), ==,
        GV_EINVAL);
    g_assert_null(read);
    msgpack_sbuffer_destroy(&sb);
    GvJob_Free(j);
}

TEST_MAIN
