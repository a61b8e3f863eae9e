#include "job_record.h"

#include <glib.h>

#include "error.h"
#include "limits.h"
#include "pack.h"

#define FORMAT_VERSION 1

enum {
    STEP_CHECKPOINT = 1,
    STEP_GANG = 2,
    STEP_SAME_RACK = 4,
    STEP_COPIES = 8,
    STEP_LONG_RUNNING = 16,
    STEP_LEFTOVER_CPU = 32
};

enum { JOB_CANCELLED = 1, JOB_FAILED = 2, JOB_BEGUN = 4 };

static unsigned
step_flags(const gv_step_t *s)
{
    return (s->checkpoint ? STEP_CHECKPOINT : 0u) |
           (s->gang ? STEP_GANG : 0u) | (s->same_rack ? STEP_SAME_RACK : 0u) |
           (s->allows_copies ? STEP_COPIES : 0u) |
           (s->long_running ? STEP_LONG_RUNNING : 0u) |
           (s->uses_leftover_cpu ? STEP_LEFTOVER_CPU : 0u);
}

static void
pack_step(const gv_step_t *s, msgpack_packer *pk)
{
    msgpack_pack_array(pk, 13);
    GvPack_Int(pk, s->count);
    GvPack_Int(pk, s->need.cpu);
    GvPack_Int(pk, s->need.memory);
    GvPack_Int(pk, s->need.gpu);
    GvPack_Int(pk, s->estimate_ms);
    msgpack_pack_array(pk, (size_t)s->n_after);
    for (int i = 0; i < s->n_after; i++) {
        GvPack_Int(pk, s->after[i]);
    }
    GvPack_Int(pk, s->max_per_target);
    GvPack_Int(pk, s->max_unavailable);
    GvPack_Int(pk, s->tail_latency_goal_ms);
    GvPack_Uint(pk, step_flags(s));
    GvPack_Str(pk, s->label);
    GvPack_Str(pk, s->rack);
    GvPack_Str(pk, s->image);
}

/* Appends the encoded definition of a job. */
void
GvJobRecord_PackDefinition(const gv_job_t *job, msgpack_sbuffer *out)
{
    msgpack_packer pk = GvPack_Array(out, 16);
    GvPack_Uint(&pk, FORMAT_VERSION);
    GvPack_Str(&pk, job->id);
    GvPack_Str(&pk, job->queue);
    GvPack_Str(&pk, job->service);
    GvPack_Str(&pk, job->spec);
    GvPack_Int(&pk, job->attempts);
    GvPack_Int(&pk, job->priority);
    GvPack_Int(&pk, job->objective_ms);
    GvPack_Int(&pk, (int64_t)(job->stretch * 1000));
    GvPack_Int(&pk, job->accepted_ms);
    GvPack_Int(&pk, job->occurrences);
    GvPack_Bool(&pk, job->timed);
    GvPack_Int(&pk, job->first_ms);
    GvPack_Int(&pk, job->interval_ms);
    msgpack_pack_array(&pk, (size_t)job->n_steps);
    for (int i = 0; i < job->n_steps; i++) {
        pack_step(&job->steps[i], &pk);
    }
    GvPack_Str(&pk, job->account);
}

static void
read_step(gv_unpack_t *u, gv_step_t *s)
{
    gv_unpack_t f = GvUnpack_Sub(u, 13);
    if (u->err != GV_OK) {
        return;
    }
    s->count = (int)GvUnpack_Int(&f);
    s->need.cpu = GvUnpack_Int(&f);
    s->need.memory = GvUnpack_Int(&f);
    s->need.gpu = GvUnpack_Int(&f);
    s->estimate_ms = (int)GvUnpack_Int(&f);
    gv_unpack_t after = GvUnpack_Sub(&f, 0);
    if (f.err == GV_OK && after.array->size > GV_JOB_STEPS_MAX) {
        f.err = GV_EINVAL;
    }
    if (f.err == GV_OK) {
        s->after = g_new0(int, after.array->size + 1);
        while (GvUnpack_HasNext(&after)) {
            s->after[s->n_after++] = (int)GvUnpack_Int(&after);
        }
    }
    s->max_per_target = (int)GvUnpack_Int(&f);
    s->max_unavailable = (int)GvUnpack_Int(&f);
    s->tail_latency_goal_ms = (int)GvUnpack_Int(&f);
    unsigned flags = (unsigned)GvUnpack_Uint(&f);
    s->checkpoint = (flags & STEP_CHECKPOINT) != 0;
    s->gang = (flags & STEP_GANG) != 0;
    s->same_rack = (flags & STEP_SAME_RACK) != 0;
    s->allows_copies = (flags & STEP_COPIES) != 0;
    s->long_running = (flags & STEP_LONG_RUNNING) != 0;
    s->uses_leftover_cpu = (flags & STEP_LEFTOVER_CPU) != 0;
    s->label = GvStr_Dup(GvUnpack_Str(&f));
    s->rack = GvStr_Dup(GvUnpack_Str(&f));
    s->image = GvStr_Dup(GvUnpack_Str(&f));
    if (f.err != GV_OK) {
        u->err = f.err;
    }
}

static void
read_fields(gv_unpack_t *u, gv_job_t *job)
{
    if (GvUnpack_Uint(u) != FORMAT_VERSION) {
        u->err = GV_EINVAL;
    }
    job->id = GvStr_Dup(GvUnpack_Str(u));
    job->queue = GvStr_Dup(GvUnpack_Str(u));
    job->service = GvStr_Dup(GvUnpack_Str(u));
    job->spec = GvStr_Dup(GvUnpack_Str(u));
    job->attempts = (int)GvUnpack_Int(u);
    job->priority = (int)GvUnpack_Int(u);
    job->objective_ms = (int)GvUnpack_Int(u);
    job->stretch = (double)GvUnpack_Int(u) / 1000;
    job->accepted_ms = GvUnpack_Int(u);
    job->occurrences = (int)GvUnpack_Int(u);
    job->timed = GvUnpack_Bool(u);
    job->first_ms = GvUnpack_Int(u);
    job->interval_ms = GvUnpack_Int(u);
    gv_unpack_t steps = GvUnpack_Sub(u, 1);
    if (u->err != GV_OK || steps.array->size > GV_JOB_STEPS_MAX) {
        u->err = GV_EINVAL;
        return;
    }
    job->steps = g_new0(gv_step_t, steps.array->size);
    while (GvUnpack_HasNext(&steps)) {
        read_step(&steps, &job->steps[job->n_steps++]);
    }
    if (steps.err != GV_OK) {
        u->err = steps.err;
    }
    if (u->err == GV_OK && GvUnpack_HasNext(u)) { /* earlier versions end
                                                     before */
        job->account = GvStr_Dup(GvUnpack_Str(u));
    }
}

/* Decodes a definition into a new job without progress. Returns 0, or a
   negative error for a malformed record or one that GvJob_Prepare refuses;
   *job is NULL then. */
int
GvJobRecord_ReadDefinition(gv_str_t bytes, gv_job_t **job)
{
    msgpack_unpacked un;
    *job = NULL;
    int rc = GvUnpack_Root(&un, bytes);
    if (rc == GV_OK) {
        gv_unpack_t u = GvUnpack_Array(&un.data, 15);
        gv_job_t *j = GvJob_New();
        if (u.err == GV_OK) {
            read_fields(&u, j);
        }
        rc = u.err == GV_OK ? GvJob_Prepare(j) : u.err;
        if (rc == GV_OK) {
            *job = j;
        }
        else {
            GvJob_Free(j);
        }
    }
    msgpack_unpacked_destroy(&un);
    return rc;
}

/* Returns true if the progress record needs a row for the task: it was placed
   at least once and is not done. */
static bool
has_row(const gv_task_t *t)
{
    return t->state != GV_TASK_DONE &&
           (t->state != GV_TASK_WAITING || t->run != 0);
}

/* Appends the encoded progress of a job: flags, a bitmap of the tasks that are
   done, and a row for each other task that was ever placed. */
void
GvJobRecord_PackProgress(const gv_job_t *job, msgpack_sbuffer *out)
{
    size_t n_bits = ((size_t)job->n_tasks + 7) / 8;
    guint8 *bits = g_malloc0(n_bits);
    size_t rows = 0;
    for (int i = 0; i < job->n_tasks; i++) {
        if (job->tasks[i].state == GV_TASK_DONE) {
            bits[i / 8] |= (guint8)(1u << (i % 8));
        }
        rows += has_row(&job->tasks[i]) ? 1 : 0;
    }
    msgpack_packer pk = GvPack_Array(out, 5);
    GvPack_Uint(&pk, FORMAT_VERSION);
    GvPack_Uint(&pk, (job->cancelled ? JOB_CANCELLED : 0u) |
                         (job->failed ? JOB_FAILED : 0u) |
                         (job->begun ? JOB_BEGUN : 0u));
    GvPack_Int(&pk, job->ended_ms);
    GvPack_Bin(&pk, GvStr_N(bits, n_bits));
    g_free(bits);
    msgpack_pack_array(&pk, rows);
    for (int i = 0; i < job->n_tasks; i++) {
        const gv_task_t *t = &job->tasks[i];
        if (!has_row(t)) {
            continue;
        }
        const gv_failed_runs_t *failed = &t->failed_runs;
        msgpack_pack_array(&pk, failed->late == NULL ? 13 : 14);
        GvPack_Int(&pk, i);
        GvPack_Uint(&pk, t->state);
        GvPack_Uint(&pk, t->run);
        GvPack_Int(&pk, GvFailedRuns_Count(&failed, 1));
        GvPack_Str(&pk, GvStr_C(t->target));
        GvPack_Str(&pk, GvStr_C(t->saved));
        GvPack_Int(&pk, t->crashes);
        GvPack_Int(&pk, t->doubtful);
        GvPack_Int(&pk, t->unconfirmed);
        GvPack_Bool(&pk, t->suspect);
        GvPack_Int(&pk, t->target_started_ms);
        GvPack_Bool(&pk, t->confirmed);
        GvPack_Uint(&pk, GvFailedRuns_Bits(failed));
        if (failed->late != NULL) {
            GvFailedRuns_PackLate(failed, &pk);
        }
    }
}

static void
clear_progress(gv_job_t *job)
{
    for (int i = 0; i < job->n_tasks; i++) {
        g_free(job->tasks[i].saved);
        GvFailedRuns_Clear(&job->tasks[i].failed_runs);
        job->tasks[i] = (gv_task_t){0};
    }
    job->n_done = 0;
}

/* Reads the last fields of a row: which runs of the task have failed. Earlier
   versions have only stored how many, or the runs as bits. */
static void
read_failed_runs(gv_unpack_t *f, int64_t failures, gv_failed_runs_t *runs)
{
    if (GvUnpack_HasNext(f)) {
        GvFailedRuns_SetBits(runs, GvUnpack_Uint(f));
    }
    else if (failures > 0) {
        GvFailedRuns_SetBits(
            runs, UINT64_MAX >> (64 - MIN(failures, GV_FAILED_RUNS_LATE)));
    }
    if (GvUnpack_HasNext(f) && GvFailedRuns_ReadLate(runs, f) != GV_OK) {
        f->err = GV_EINVAL;
    }
}

/* Reads the row of a task that is not done and had no row yet. */
static void
read_task(gv_unpack_t *rows, gv_job_t *job)
{
    gv_unpack_t f = GvUnpack_Sub(rows, 6);
    int64_t i = rows->err == GV_OK ? GvUnpack_Int(&f) : -1;
    if (i < 0 || i >= job->n_tasks) {
        rows->err = GV_EINVAL;
        return;
    }
    gv_task_t *t = &job->tasks[i];
    if (t->state != GV_TASK_WAITING || t->run != 0) {
        rows->err = GV_EINVAL;
        return;
    }
    uint64_t state = GvUnpack_Uint(&f);
    t->run = (uint32_t)GvUnpack_Uint(&f);
    int64_t failures = GvUnpack_Int(&f);
    gv_str_t target = GvUnpack_Str(&f);
    gv_str_t saved = GvUnpack_Str(&f);
    if (GvUnpack_HasNext(&f)) { /* earlier versions end here, */
        t->crashes = (int)GvUnpack_Int(&f);
        t->doubtful = (int)GvUnpack_Int(&f);
        t->unconfirmed = (int)GvUnpack_Int(&f);
        t->suspect = GvUnpack_Bool(&f);
        t->target_started_ms = GvUnpack_Int(&f);
    }
    if (GvUnpack_HasNext(&f)) { /* or here */
        t->confirmed = GvUnpack_Bool(&f);
    }
    read_failed_runs(&f, failures, &t->failed_runs);
    if (f.err != GV_OK || state > GV_TASK_PLACED) {
        rows->err = GV_EINVAL;
        return;
    }
    char *name = g_strndup(target.p, target.n);
    t->state = (gv_task_state_t)state;
    t->target = target.n > 0 ? g_intern_string(name) : NULL;
    t->saved = saved.n > 0 ? g_strndup(saved.p, saved.n) : NULL;
    g_free(name);
}

/* Decodes progress into a job without any. Returns 0 or a negative error. */
static int
read_progress(gv_str_t bytes, gv_job_t *job)
{
    msgpack_unpacked un;
    int rc = GvUnpack_Root(&un, bytes);
    gv_unpack_t u = GvUnpack_Array(rc == GV_OK ? &un.data : NULL, 5);
    if (u.err == GV_OK && GvUnpack_Uint(&u) == FORMAT_VERSION) {
        uint64_t flags = GvUnpack_Uint(&u);
        job->cancelled = job->cancelled || (flags & JOB_CANCELLED) != 0;
        job->failed = (flags & JOB_FAILED) != 0;
        job->begun = (flags & JOB_BEGUN) != 0;
        job->ended_ms = GvUnpack_Int(&u);
        gv_str_t bits = GvUnpack_Str(&u);
        bool lasts = GvJob_IsLongRunning(job);
        for (int i = 0; i < job->n_tasks && (size_t)i / 8 < bits.n; i++) {
            /* Earlier versions took long-running tasks for done. */
            if (((unsigned char)bits.p[i / 8] >> (i % 8) & 1) != 0 &&
                !(lasts && GvJob_StepOf(job, i)->long_running)) {
                job->tasks[i].state = GV_TASK_DONE;
                job->n_done++;
            }
        }
        gv_unpack_t rows = GvUnpack_Sub(&u, 0);
        while (u.err == GV_OK && GvUnpack_HasNext(&rows)) {
            read_task(&rows, job);
        }
        rc = u.err != GV_OK ? u.err : rows.err;
    }
    else {
        rc = GV_EINVAL;
    }
    msgpack_unpacked_destroy(&un);
    return rc;
}

/* Decodes progress and replaces that of a job; a job that is cancelled stays
   cancelled. Returns 0 or a negative error, after which the job is as before:
   without its progress its tasks would run again. */
int
GvJobRecord_ReadProgress(gv_str_t bytes, gv_job_t *job)
{
    gv_job_t former = *job;
    job->tasks = g_new0(gv_task_t, (gsize)job->n_tasks);
    job->n_done = 0;
    int rc = read_progress(bytes, job);
    if (rc != GV_OK) {
        clear_progress(job);
        g_free(job->tasks);
        *job = former;
        return rc;
    }
    clear_progress(&former);
    g_free(former.tasks);
    return GV_OK;
}
