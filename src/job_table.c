#include "job_table.h"

#include <string.h>

#include <xxhash.h>

#include "error.h"
#include "job_record.h"
#include "limits.h"
#include "log.h"
#include "pack.h"
#include "run_time.h"

static void
free_early_cancel(gv_early_cancel_t *c)
{
    GvStr_Free(&c->caller);
    GvStr_Free(&c->account);
    GvStr_Free(&c->open_queue);
    g_free(c);
}

static void
free_entry(gpointer p)
{
    gv_job_entry_t *e = p;
    while (e->early_cancels != NULL) {
        gv_early_cancel_t *c = e->early_cancels;
        e->early_cancels = c->next;
        free_early_cancel(c);
    }
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

gv_job_table_t *
GvJobTable_New(void)
{
    gv_job_table_t *t = g_new0(gv_job_table_t, 1);
    t->jobs = g_hash_table_new_full(GvStr_HashKey, GvStr_EqualKeys, NULL,
                                    free_entry);
    t->wave_offsets = g_hash_table_new(g_direct_hash, g_direct_equal);
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
    g_hash_table_destroy(t->wave_offsets);
    GvStr_Free(&t->lease.holder);
    GvStr_Free(&t->lease.leases);
    if (t->run_times != NULL) {
        g_byte_array_free(t->run_times, TRUE);
    }
    g_free(t);
}

/* Returns the job with that identifier, or NULL. */
gv_job_t *
GvJobTable_Find(const gv_job_table_t *t, gv_str_t id)
{
    gv_job_entry_t *e = g_hash_table_lookup(t->jobs, &id);
    return e == NULL ? NULL : e->job;
}

/* Counts the jobs of a queue that have not ended and have no started task. */
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

/* Returns the entry of a job, which is added if there is none. */
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

/* Counts and logs a record that cannot be read. */
static gv_change_t
malformed(gv_job_table_t *t, gv_str_t key, int rc)
{
    t->malformed++;
    GvLog_Write(GV_LOG_WARN, "record %.*s ignored: %s", GV_STR_ARG(key),
                Gv_StrError(rc));
    return GV_CHANGE_NONE;
}

/* Frees the job of an entry, which stays. */
static void
forget_job(gv_job_table_t *t, gv_job_entry_t *e)
{
    t->bytes -= e->job == NULL ? 0 : GvJob_Bytes(e->job);
    GvJob_Free(e->job);
    e->job = NULL;
}

/* Removes an entry with all that it holds. */
static void
remove_entry(gv_job_table_t *t, gv_job_entry_t *e)
{
    forget_job(t, e);
    for (const gv_early_cancel_t *c = e->early_cancels; c != NULL;
         c = c->next) {
        t->n_early_cancels--;
    }
    g_hash_table_remove(t->jobs, &e->id);
}

/* Returns true if an early cancellation is by a caller who may access the job.
 */
static bool
is_cancelled_early(const gv_job_entry_t *e)
{
    const gv_early_cancel_t *c = e->early_cancels;
    while (c != NULL && !GvJob_MayAccess(e->job, c->account, c->open_queue)) {
        c = c->next;
    }
    return c != NULL;
}

/* Adds a job with the progress and cancellation that were read before its
   definition. Further definitions of the same job only mark their
   partition. */
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
    t->bytes += GvJob_Bytes(job);
    job->cancelled = e->cancelled || is_cancelled_early(e);
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

/* Replaces the progress of a job, or keeps the record until the definition is
   read. Records older than the newest one are ignored. */
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

/* Replaces the lease, unless the record is older than the newest one. */
static gv_change_t
apply_lease(gv_job_table_t *t, uint64_t offset, gv_str_t key, gv_str_t value)
{
    msgpack_unpacked un;
    int rc = GvUnpack_Root(&un, value);
    gv_unpack_t u = GvUnpack_Array(rc == GV_OK ? &un.data : NULL, 3);
    uint64_t epoch = u.err == GV_OK ? GvUnpack_Uint(&u) : 0;
    gv_str_t holder = u.err == GV_OK ? GvUnpack_Str(&u) : GV_STR("");
    bool resigned = u.err == GV_OK && GvUnpack_Bool(&u);
    /* Earlier versions end here. */
    gv_str_t leases = GvUnpack_HasNext(&u) ? GvUnpack_Str(&u) : GV_STR("");
    rc = u.err;
    if (rc == GV_OK && offset + 1 > t->lease_offset) {
        GvStr_Free(&t->lease.holder);
        GvStr_Free(&t->lease.leases);
        t->lease = (gv_lease_t){epoch, GvStr_Dup(holder), resigned,
                                GvStr_Dup(leases)};
        t->lease_offset = offset + 1;
    }
    msgpack_unpacked_destroy(&un);
    return rc == GV_OK ? GV_CHANGE_LEASE : malformed(t, key, rc);
}

/* Replaces the stored state of a wave, unless the record is older than the
   newest one. */
static gv_change_t
apply_wave(gv_job_table_t *t, uint64_t offset, gv_str_t name, gv_str_t value)
{
    char text[24];
    g_snprintf(text, sizeof text, "%.*s", GV_STR_ARG(name));
    gpointer number = GSIZE_TO_POINTER(g_ascii_strtoull(text, NULL, 10));
    uint64_t newest =
        GPOINTER_TO_SIZE(g_hash_table_lookup(t->wave_offsets, number));
    if (offset + 1 <= newest) {
        return GV_CHANGE_NONE;
    }
    g_hash_table_insert(t->wave_offsets, number, GSIZE_TO_POINTER(offset + 1));
    GByteArray *copy = g_byte_array_new();
    g_byte_array_append(copy, (const guint8 *)value.p, (guint)value.n);
    g_hash_table_insert(t->waves, number, copy);
    return GV_CHANGE_WAVE;
}

/* Replaces the learned run times, unless the record is older than the newest
   one or malformed. */
static gv_change_t
apply_run_times(gv_job_table_t *t, uint64_t offset, gv_str_t key,
                gv_str_t value)
{
    if (offset + 1 <= t->run_times_offset) {
        return GV_CHANGE_NONE;
    }
    gv_run_times_t *scratch = GvRunTimes_New();
    int rc = GvRunTimes_Read(scratch, value);
    GvRunTimes_Free(scratch);
    if (rc != GV_OK) {
        return malformed(t, key, rc);
    }
    if (t->run_times == NULL) {
        t->run_times = g_byte_array_new();
    }
    t->run_times_offset = offset + 1;
    g_byte_array_set_size(t->run_times, 0);
    g_byte_array_append(t->run_times, (const guint8 *)value.p, (guint)value.n);
    return GV_CHANGE_RUN_TIMES;
}

/* Removes an early cancellation from the set of those in one partition. */
static void
drop_early_cancel(gv_job_table_t *t, gv_job_entry_t *e, uint64_t bit,
                  gv_str_t caller)
{
    for (gv_early_cancel_t **at = &e->early_cancels; *at != NULL;
         at = &(*at)->next) {
        gv_early_cancel_t *c = *at;
        if (!GvStr_Equal(c->caller, caller)) {
            continue;
        }
        c->stored_in &= ~bit;
        if (c->stored_in == 0) {
            *at = c->next;
            free_early_cancel(c);
            t->n_early_cancels--;
        }
        return;
    }
}

/* Splits what follows the first letter of the key of an early cancellation
   into the job's identifier and the caller. */
static void
split_early_key(gv_str_t *id, gv_str_t *caller)
{
    size_t n = MIN(id->n, GV_JOB_ID_BYTES);
    *caller = GvStr_N(id->p + n, id->n - n);
    id->n = n;
}

/* Handles the drop of a key. An entry is removed with its progress, which is
   dropped last, or, if it has none, with its last definition and
   cancellation. */
static gv_change_t
apply_drop(gv_job_table_t *t, gv_record_place_t at, gv_record_key_t kind,
           gv_str_t id)
{
    gv_str_t caller = GV_STR("");
    if (kind == GV_KEY_EARLY_CANCEL) {
        split_early_key(&id, &caller);
    }
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
    else if (kind == GV_KEY_EARLY_CANCEL) {
        drop_early_cancel(t, e, bit, caller);
    }
    else if (kind == GV_KEY_PROGRESS && at.offset + 1 > e->progress_offset) {
        remove_entry(t, e);
        return GV_CHANGE_NONE;
    }
    if (e->defined_in == 0) {
        forget_job(t, e);
        if (e->progress_offset == 0 && e->cancelled_in == 0 &&
            e->early_cancels == NULL) {
            remove_entry(t, e);
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

/* Returns the early cancellation of a caller, which is added to the entry if
   there is none. */
static gv_early_cancel_t *
early_cancel_of(gv_job_table_t *t, gv_job_entry_t *e, gv_str_t caller)
{
    gv_early_cancel_t *c = e->early_cancels;
    while (c != NULL && !GvStr_Equal(c->caller, caller)) {
        c = c->next;
    }
    if (c == NULL) {
        c = g_new0(gv_early_cancel_t, 1);
        c->caller = GvStr_Dup(caller);
        c->next = e->early_cancels;
        e->early_cancels = c;
        t->n_early_cancels++;
    }
    return c;
}

/* Applies a cancellation that was stored while its job was unknown: at once if
   the job is known by now, else when its definition is read. */
static gv_change_t
apply_early_cancel(gv_job_table_t *t, gv_record_place_t at, gv_str_t key,
                   gv_str_t value, gv_job_t **out)
{
    msgpack_unpacked un;
    gv_str_t id = GvStr_N(key.p + 1, key.n - 1);
    gv_str_t caller;
    split_early_key(&id, &caller);
    int rc = GvUnpack_Root(&un, value);
    gv_unpack_t u = GvUnpack_Array(rc == GV_OK ? &un.data : NULL, 2);
    gv_str_t account = u.err == GV_OK ? GvUnpack_Str(&u) : GV_STR("");
    gv_str_t open_queue = u.err == GV_OK ? GvUnpack_Str(&u) : GV_STR("");
    if (u.err != GV_OK || id.n != GV_JOB_ID_BYTES) {
        msgpack_unpacked_destroy(&un);
        return malformed(t, key, GV_EINVAL);
    }
    gv_job_entry_t *e = entry_of(t, id);
    gv_early_cancel_t *c = early_cancel_of(t, e, caller);
    c->stored_in |= UINT64_C(1) << at.part;
    GvStr_Free(&c->account);
    GvStr_Free(&c->open_queue);
    c->account = GvStr_Dup(account);
    c->open_queue = GvStr_Dup(open_queue);
    msgpack_unpacked_destroy(&un);
    if (e->job == NULL || e->job->cancelled || !is_cancelled_early(e)) {
        return GV_CHANGE_NONE;
    }
    e->job->cancelled = true;
    *out = e->job;
    return GV_CHANGE_CANCEL;
}

/* Applies one record; an empty value drops its key. Records of one partition
   may be applied again or out of order after the store lost its history: older
   ones of progress, of the lease and of waves are recognised by their offsets
   and change nothing. Sets *job to the job that changed, or to NULL. */
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
    if (kind == GV_KEY_EARLY_CANCEL && part == GV_PARTITION_ACCEPTED) {
        return apply_early_cancel(t, at, key, value, job);
    }
    if (kind == GV_KEY_PROGRESS && part == GV_PARTITION_PROGRESS) {
        return apply_progress(t, at.offset, key, name, value, job);
    }
    if (kind == GV_KEY_LEASE && part == GV_PARTITION_PROGRESS) {
        return apply_lease(t, at.offset, key, value);
    }
    if (kind == GV_KEY_WAVE && part == GV_PARTITION_PROGRESS) {
        return apply_wave(t, at.offset, name, value);
    }
    if (kind == GV_KEY_RUN_TIMES && part == GV_PARTITION_PROGRESS) {
        return apply_run_times(t, at.offset, key, value);
    }
    return malformed(t, key, GV_EINVAL);
}

/* Writes the key of an early cancellation to `out`, GV_EARLY_KEY_BYTES long.
   It ends with a hash of the caller, so that the cancellations of two callers
   are two records. */
void
GvJobTable_EarlyCancelKey(gv_str_t id, gv_str_t account, gv_str_t open_queue,
                          char *out)
{
    uint64_t caller =
        XXH64(open_queue.p, open_queue.n, XXH64(account.p, account.n, 0));
    g_snprintf(out, GV_EARLY_KEY_BYTES, "%c%.*s%016llx", GV_KEY_EARLY_CANCEL,
               GV_STR_ARG(id), (unsigned long long)caller);
}

/* Appends the encoded caller of an early cancellation. */
void
GvJobTable_PackEarlyCancel(gv_str_t account, gv_str_t open_queue,
                           GByteArray *out)
{
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    msgpack_packer pk = GvPack_Array(&sb, 2);
    GvPack_Str(&pk, account);
    GvPack_Str(&pk, open_queue);
    g_byte_array_append(out, (const guint8 *)sb.data, (guint)sb.size);
    msgpack_sbuffer_destroy(&sb);
}

/* Appends the encoded lease. */
void
GvJobTable_PackLease(const gv_lease_t *lease, GByteArray *out)
{
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    msgpack_packer pk = GvPack_Array(&sb, 4);
    GvPack_Uint(&pk, lease->epoch);
    GvPack_Str(&pk, lease->holder);
    GvPack_Bool(&pk, lease->resigned);
    GvPack_Bin(&pk, lease->leases);
    g_byte_array_append(out, (const guint8 *)sb.data, (guint)sb.size);
    msgpack_sbuffer_destroy(&sb);
}
