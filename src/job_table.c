#include "job_table.h"

#include <string.h>

#include "error.h"
#include "job_record.h"
#include "limits.h"
#include "log.h"
#include "pack.h"

static void
free_entry(gpointer p)
{
    gv_job_entry_t *e = p;
    GvStr_Free(&e->id);
    GvJob_Free(e->job);
    if (e->progress != NULL) {
        g_byte_array_free(e->progress, TRUE);
    }
    g_free(e);
}

static void
free_bytes(gpointer p)
{
    g_byte_array_free(p, TRUE);
}

/* Returns an empty table. */
gv_job_table_t *
GvJobTable_New(void)
{
    gv_job_table_t *t = g_new0(gv_job_table_t, 1);
    t->jobs = g_hash_table_new_full(GvStr_HashKey, GvStr_EqualKeys, NULL,
                                    free_entry);
    t->waves =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, free_bytes);
    return t;
}

/* Releases a table and its jobs. */
void
GvJobTable_Free(gv_job_table_t *t)
{
    g_hash_table_destroy(t->jobs);
    g_hash_table_destroy(t->waves);
    GvStr_Free(&t->lead.holder);
    g_free(t);
}

/* Returns the job with that identifier, or NULL. */
gv_job_t *
GvJobTable_Find(const gv_job_table_t *t, gv_str_t id)
{
    gv_job_entry_t *e = g_hash_table_lookup(t->jobs, &id);
    return e == NULL ? NULL : e->job;
}

/* Counts the jobs of a queue of which no task has started. */
int
GvJobTable_Pending(const gv_job_table_t *t, gv_str_t queue)
{
    GHashTableIter it;
    gpointer value;
    int n = 0;
    g_hash_table_iter_init(&it, t->jobs);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const gv_job_t *job = ((gv_job_entry_t *)value)->job;
        if (job != NULL && !job->begun && !GvJob_Ended(job) &&
            GvStr_Equal(job->queue, queue)) {
            n++;
        }
    }
    return n;
}

static gv_job_entry_t *
entry_of(gv_job_table_t *t, gv_str_t id)
{
    gv_job_entry_t *e = g_hash_table_lookup(t->jobs, &id);
    if (e == NULL) {
        e = g_new0(gv_job_entry_t, 1);
        e->id = GvStr_Dup(id);
        g_hash_table_insert(t->jobs, &e->id, e);
    }
    return e;
}

static gv_change_t
malformed(gv_job_table_t *t, gv_str_t key, int rc)
{
    t->malformed++;
    GvLog_Write(GV_LOG_WARN, "record %.*s ignored: %s", GV_STR_ARG(key),
                Gv_StrError(rc));
    return GV_CHANGE_NONE;
}

/* Adds a job; a second definition of the same job changes nothing. */
static gv_change_t
apply_definition(gv_job_table_t *t, gv_record_place_t at, gv_str_t key,
                 gv_str_t id, gv_str_t value, gv_job_t **out)
{
    gv_job_t *job = NULL;
    gv_job_entry_t *e = g_hash_table_lookup(t->jobs, &id);
    if (e != NULL && e->job != NULL) {
        e->defined_in |= UINT64_C(1) << at.part;
        return GV_CHANGE_NONE;
    }
    int rc = GvJobRecord_ReadDefinition(value, &job);
    e = entry_of(t, id);
    e->defined_in |= UINT64_C(1) << at.part;
    if (rc != GV_OK || !GvStr_Equal(job->id, id)) {
        GvJob_Free(job);
        return malformed(t, key, rc == GV_OK ? GV_EINVAL : rc);
    }
    e->job = job;
    job->cancelled = e->cancelled;
    if (e->progress != NULL) {
        rc = GvJobRecord_ReadProgress(
            GvStr_N(e->progress->data, e->progress->len), job);
        if (rc != GV_OK) {
            (void)malformed(t, key, rc);
        }
        g_byte_array_free(e->progress, TRUE);
        e->progress = NULL;
    }
    *out = job;
    return GV_CHANGE_JOB;
}

static gv_change_t
apply_progress(gv_job_table_t *t, uint64_t offset, gv_str_t key, gv_str_t id,
               gv_str_t value, gv_job_t **out)
{
    gv_job_entry_t *e = entry_of(t, id);
    if (offset + 1 <= e->progress_offset) {
        return GV_CHANGE_NONE;
    }
    e->progress_offset = offset + 1;
    if (e->job == NULL) {
        if (e->progress == NULL) {
            e->progress = g_byte_array_new();
        }
        g_byte_array_set_size(e->progress, 0);
        g_byte_array_append(e->progress, (const guint8 *)value.p,
                            (guint)value.n);
        return GV_CHANGE_NONE;
    }
    int rc = GvJobRecord_ReadProgress(value, e->job);
    *out = e->job;
    return rc == GV_OK ? GV_CHANGE_PROGRESS : malformed(t, key, rc);
}

static gv_change_t
apply_lead(gv_job_table_t *t, uint64_t offset, gv_str_t key, gv_str_t value)
{
    msgpack_unpacked un;
    int rc = GvUnpack_Root(&un, value);
    gv_unpack_t u = GvUnpack_Array(rc == GV_OK ? &un.data : NULL, 3);
    uint64_t epoch = u.err == GV_OK ? GvUnpack_Uint(&u) : 0;
    gv_str_t holder = u.err == GV_OK ? GvUnpack_Str(&u) : GV_STR("");
    bool resigned = u.err == GV_OK && GvUnpack_Bool(&u);
    rc = u.err;
    if (rc == GV_OK && offset + 1 > t->lease_offset) {
        GvStr_Free(&t->lead.holder);
        t->lead = (gv_lease_t){epoch, GvStr_Dup(holder), resigned};
        t->lease_offset = offset + 1;
    }
    msgpack_unpacked_destroy(&un);
    return rc == GV_OK ? GV_CHANGE_LEASE : malformed(t, key, rc);
}

static gv_change_t
apply_wave(gv_job_table_t *t, gv_str_t name, gv_str_t value)
{
    char text[24];
    g_snprintf(text, sizeof text, "%.*s", GV_STR_ARG(name));
    GByteArray *copy = g_byte_array_new();
    g_byte_array_append(copy, (const guint8 *)value.p, (guint)value.n);
    g_hash_table_insert(
        t->waves, GSIZE_TO_POINTER(g_ascii_strtoull(text, NULL, 10)), copy);
    return GV_CHANGE_WAVE;
}

/* A key was dropped. A job whose progress is gone is forgotten: that is
   dropped last. */
static gv_change_t
apply_drop(gv_job_table_t *t, gv_record_place_t at, gv_record_key_t kind,
           gv_str_t id)
{
    gv_job_entry_t *e = g_hash_table_lookup(t->jobs, &id);
    uint64_t bit = UINT64_C(1) << at.part;
    if (e == NULL) {
        return GV_CHANGE_NONE;
    }
    if (kind == GV_KEY_JOB) {
        e->defined_in &= ~bit;
    }
    else if (kind == GV_KEY_CANCEL) {
        e->cancelled_in &= ~bit;
    }
    else if (kind == GV_KEY_PROGRESS && at.offset + 1 > e->progress_offset) {
        g_hash_table_remove(t->jobs, &id);
        return GV_CHANGE_NONE;
    }
    if (e->defined_in == 0) {
        GvJob_Free(e->job);
        e->job = NULL;
        if (e->progress_offset == 0 && e->cancelled_in == 0) {
            g_hash_table_remove(t->jobs, &id);
        }
    }
    return GV_CHANGE_NONE;
}

static gv_change_t
apply_cancellation(gv_job_table_t *t, gv_record_place_t at, gv_str_t id,
                   gv_job_t **out)
{
    gv_job_entry_t *e = entry_of(t, id);
    e->cancelled = true;
    e->cancelled_in |= UINT64_C(1) << at.part;
    if (e->job != NULL) {
        e->job->cancelled = true;
        *out = e->job;
    }
    return GV_CHANGE_CANCEL;
}

/* Applies one record; an empty value drops its key. Records of one partition
   may be applied again or out of order after the history was lost: older ones
   change nothing. *job is set for changes of a job. */
gv_change_t
GvJobTable_Apply(gv_job_table_t *t, gv_record_place_t at, gv_str_t key,
                 gv_str_t value, gv_job_t **job)
{
    gv_partition_kind_t part = at.kind;
    *job = NULL;
    if (key.n == 0 || at.part < 0 || at.part >= GV_JOB_PARTS_MAX) {
        return GV_CHANGE_NONE;
    }
    gv_str_t name = GvStr_N(key.p + 1, key.n - 1);
    gv_record_key_t kind = (gv_record_key_t)key.p[0];
    if (value.n == 0) {
        return apply_drop(t, at, kind, name);
    }
    if (kind == GV_KEY_JOB && part == GV_PARTITION_ACCEPTED) {
        return apply_definition(t, at, key, name, value, job);
    }
    if (kind == GV_KEY_CANCEL && part == GV_PARTITION_ACCEPTED) {
        return apply_cancellation(t, at, name, job);
    }
    if (kind == GV_KEY_PROGRESS && part == GV_PARTITION_PROGRESS) {
        return apply_progress(t, at.offset, key, name, value, job);
    }
    if (kind == GV_KEY_LEASE && part == GV_PARTITION_PROGRESS) {
        return apply_lead(t, at.offset, key, value);
    }
    if (kind == GV_KEY_WAVE && part == GV_PARTITION_PROGRESS) {
        return apply_wave(t, name, value);
    }
    return malformed(t, key, GV_EINVAL);
}

/* Appends the record of a lease. */
void
GvJobTable_PackLease(const gv_lease_t *lead, GByteArray *out)
{
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    msgpack_packer pk = GvPack_Array(&sb, 3);
    GvPack_Uint(&pk, lead->epoch);
    GvPack_Str(&pk, lead->holder);
    GvPack_Bool(&pk, lead->resigned);
    g_byte_array_append(out, (const guint8 *)sb.data, (guint)sb.size);
    msgpack_sbuffer_destroy(&sb);
}
