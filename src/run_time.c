#include "run_time.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "error.h"
#include "limits.h"
#include "pack.h"
#include "run_histogram.h"

#define FORMAT_VERSION 1

/* What is known of one combination. */
typedef struct {
    uint64_t key;
    uint64_t used; /* value of `uses` at the newest use */
    gv_run_histogram_t times;
    /* Of a queue, or of all queues: ratios of real to declared time. */
    gv_run_histogram_t ratios;
    gv_run_histogram_t declared; /* times, of a queue */
    double stored_ms;            /* typical time in the newest record */
} run_entry_t;

struct gv_run_times_s {
    GHashTable *entries; /* &run_entry_t.key -> run_entry_t * */
    uint64_t uses;
};

/* The keys of a step, from the most general to the most particular. */
enum { KEY_ALL, KEY_QUEUE, KEY_SHAPE, KEY_IMAGE, N_KEYS };

typedef struct {
    uint64_t key[N_KEYS];
    int n; /* fewer than N_KEYS for a step without an image */
} step_keys_t;

gv_run_times_t *
GvRunTimes_New(void)
{
    gv_run_times_t *rt = g_new0(gv_run_times_t, 1);
    rt->entries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    return rt;
}

void
GvRunTimes_Free(gv_run_times_t *rt)
{
    g_hash_table_destroy(rt->entries);
    g_free(rt);
}

/* Returns the number of combinations about which something is kept. */
int
GvRunTimes_Count(const gv_run_times_t *rt)
{
    return (int)g_hash_table_size(rt->entries);
}

static unsigned char
log2_of(int64_t n)
{
    unsigned char log = 0;
    for (; n > 1; n /= 2) {
        log++;
    }
    return log;
}

/* Sets the keys of a step. A key is a hash, so that it has the same size for
   names of any length and is the same on every host. */
static step_keys_t
keys_of(const gv_job_t *job, const gv_step_t *step)
{
    unsigned char shape[] = {
        step->n_after > 0,
        log2_of(step->count),
        log2_of(step->need.cpu),
        log2_of(step->need.gpu + 1),
        (unsigned char)((step->gang ? 1 : 0) |
                        (step->uses_leftover_cpu ? 2 : 0) |
                        (step->same_rack ? 4 : 0)),
    };
    step_keys_t k = {.n = KEY_SHAPE + 1};
    k.key[KEY_ALL] = 0;
    k.key[KEY_QUEUE] = XXH64(job->queue.p, job->queue.n, KEY_QUEUE);
    k.key[KEY_SHAPE] = XXH64(shape, sizeof shape, k.key[KEY_QUEUE]);
    if (step->image.n > 0) {
        k.key[KEY_IMAGE] =
            XXH64(step->image.p, step->image.n, k.key[KEY_SHAPE]);
        k.n = KEY_IMAGE + 1;
    }
    return k;
}

static run_entry_t *
find(gv_run_times_t *rt, uint64_t key)
{
    run_entry_t *e = g_hash_table_lookup(rt->entries, &key);
    if (e != NULL) {
        e->used = ++rt->uses;
    }
    return e;
}

/* Removes the combination that was not used for longest. */
static void
drop_oldest(gv_run_times_t *rt)
{
    GHashTableIter it;
    gpointer value;
    const run_entry_t *oldest = NULL;
    g_hash_table_iter_init(&it, rt->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const run_entry_t *e = value;
        oldest = oldest == NULL || e->used < oldest->used ? e : oldest;
    }
    if (oldest != NULL) {
        g_hash_table_remove(rt->entries, &oldest->key);
    }
}

static run_entry_t *
find_or_add(gv_run_times_t *rt, uint64_t key)
{
    run_entry_t *e = find(rt, key);
    if (e == NULL) {
        if (GvRunTimes_Count(rt) >= GV_RUN_TIME_KEYS) {
            drop_oldest(rt);
        }
        e = g_new0(run_entry_t, 1);
        e->key = key;
        e->used = ++rt->uses;
        g_hash_table_insert(rt->entries, &e->key, e);
    }
    return e;
}

/* Returns true if runs on a target lately took much longer than expected. */
bool
GvRunPace_IsSlow(const gv_run_pace_t *pace)
{
    return pace->runs >= GV_RUN_PACE_MIN_RUNS &&
           pace->deviation > GV_RUN_PACE_SLOW;
}

/* Adds a run to what is known of its target. A single deviation counts up to
   GV_RUN_PACE_MAX, so that one straggler makes no target slow. */
static void
add_to_pace(gv_run_pace_t *pace, double ms, double expected_ms)
{
    double deviation =
        CLAMP(log2(ms / expected_ms), -GV_RUN_PACE_MAX, GV_RUN_PACE_MAX);
    pace->runs = MIN(pace->runs + 1, GV_RUN_PACE_RUNS);
    pace->deviation += (deviation - pace->deviation) / pace->runs;
}

/* Adds a run. Resumed runs and those on targets that warm up are left out, as
   they say nothing about the whole task on a sound target. Runs on a slow
   target and those far from their data have less weight: not none, as a change
   of the work itself looks the same at first. `pace` is that of its target. */
void
GvRunTimes_Add(gv_run_times_t *rt, const gv_job_t *job, const gv_step_t *step,
               const gv_finished_run_t *run, gv_run_pace_t *pace)
{
    double ms = (double)MAX(run->ms, 1);
    if (run->resumed || run->warming || step->long_running) {
        return;
    }
    gv_run_time_t expected = GvRunTimes_Expect(rt, job, step);
    if (!run->distant && expected.source >= GV_RUN_TIME_CORRECTED) {
        add_to_pace(pace, ms, expected.typical_ms);
    }
    int weight =
        run->distant || GvRunPace_IsSlow(pace) ? 1 : GV_RUN_TIME_FULL_WEIGHT;
    step_keys_t k = keys_of(job, step);
    for (int i = 0; i < k.n; i++) {
        run_entry_t *e = find_or_add(rt, k.key[i]);
        if (i != KEY_ALL) {
            GvRunHistogram_Add(&e->times, ms, weight);
        }
        if (i <= KEY_QUEUE && step->estimate_ms > 0) {
            GvRunHistogram_Add(&e->ratios,
                               GV_RUN_RATIO_SCALE * ms / step->estimate_ms,
                               weight);
            GvRunHistogram_Add(&e->declared, step->estimate_ms, weight);
        }
    }
}

/* Returns what the caller says, corrected by the ratios of a queue or of all
   queues if enough are known. */
static gv_run_time_t
expect_declared(const gv_step_t *step, const run_entry_t *e)
{
    gv_run_time_t t = {GV_RUN_TIME_DECLARED, step->estimate_ms,
                       step->estimate_ms * GV_RUN_TIME_UNKNOWN_SPREAD};
    if (e != NULL && step->estimate_ms > 0 &&
        GvRunHistogram_IsKnown(&e->ratios)) {
        double unit = step->estimate_ms / GV_RUN_RATIO_SCALE;
        t.source = GV_RUN_TIME_CORRECTED;
        t.typical_ms = unit * e->ratios.typical;
        t.high_ms = unit * e->ratios.high;
    }
    return t;
}

/* Returns how long such steps run by the most particular of their keys with
   enough runs; its source is GV_RUN_TIME_DECLARED if there is none. */
static gv_run_time_t
expect_learned(gv_run_times_t *rt, const step_keys_t *k)
{
    static const gv_run_time_source_t sources[N_KEYS] = {
        GV_RUN_TIME_DECLARED, GV_RUN_TIME_QUEUE, GV_RUN_TIME_SHAPE,
        GV_RUN_TIME_IMAGE};
    for (int i = k->n - 1; i >= KEY_QUEUE; i--) {
        const run_entry_t *e = find(rt, k->key[i]);
        if (e != NULL && GvRunHistogram_IsKnown(&e->times)) {
            return (gv_run_time_t){sources[i], e->times.typical,
                                   e->times.high};
        }
    }
    return (gv_run_time_t){.source = GV_RUN_TIME_DECLARED};
}

/* Returns the variance of the logarithm to base 2, by the 50th and the 90th
   percentile: a few values far off do not change it. */
static double
log_variance(const gv_run_histogram_t *h)
{
    double deviation = log2(h->high / h->typical) / GV_RUN_TIME_Z90;
    return deviation * deviation;
}

/* Corrects the time by earlier runs for what the caller declares of this step:
   by the regression of the logarithms of real times on those of declared ones.
   A declaration thus counts as far as those of the queue have proved right,
   and not at all if all are the same. */
static void
add_declared(gv_run_time_t *t, const gv_step_t *step, const run_entry_t *e)
{
    if (e == NULL || step->estimate_ms <= 0 ||
        !GvRunHistogram_IsKnown(&e->ratios) ||
        !GvRunHistogram_IsKnown(&e->declared)) {
        return;
    }
    double real = log_variance(&e->times);
    double declared = log_variance(&e->declared);
    double covariance = (real + declared - log_variance(&e->ratios)) / 2;
    if (declared < GV_RUN_TIME_MIN_VARIANCE || covariance <= 0) {
        return;
    }
    double slope = MIN(covariance / declared, 1);
    double left = MAX(real - slope * covariance, GV_RUN_TIME_MIN_VARIANCE);
    double factor = slope * log2(step->estimate_ms / e->declared.typical);
    t->typical_ms *= exp2(factor);
    t->high_ms = t->typical_ms * exp2(sqrt(left) * GV_RUN_TIME_Z90);
    t->source = left < real / 2 ? GV_RUN_TIME_CORRECTED : t->source;
}

/* Returns how long a task of the step is expected to run: by earlier runs of
   such steps and by what the caller says. */
gv_run_time_t
GvRunTimes_Expect(gv_run_times_t *rt, const gv_job_t *job,
                  const gv_step_t *step)
{
    step_keys_t k = keys_of(job, step);
    const run_entry_t *e = find(rt, k.key[KEY_QUEUE]);
    gv_run_time_t learned = expect_learned(rt, &k);
    if (learned.source != GV_RUN_TIME_DECLARED) {
        add_declared(&learned, step, e);
        return learned;
    }
    if (e == NULL || !GvRunHistogram_IsKnown(&e->ratios)) {
        e = find(rt, k.key[KEY_ALL]);
    }
    return expect_declared(step, e);
}

/* Returns true if what is known differs so much from the newest record that it
   should be stored. */
bool
GvRunTimes_HasChanged(const gv_run_times_t *rt)
{
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, rt->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const run_entry_t *e = value;
        if (GvRunHistogram_IsKnown(&e->times) &&
            (e->stored_ms == 0 || fabs(log2(e->times.typical / e->stored_ms)) >
                                      GV_RUN_TIME_CHANGE)) {
            return true;
        }
    }
    return false;
}

static int
compare_use(gconstpointer a, gconstpointer b)
{
    const run_entry_t *x = *(const run_entry_t *const *)a;
    const run_entry_t *y = *(const run_entry_t *const *)b;
    return (x->used < y->used) - (x->used > y->used);
}

/* Appends the encoded distributions, those used last first, as many as
   GV_RUN_TIME_RECORD_BYTES hold. */
void
GvRunTimes_Pack(gv_run_times_t *rt, msgpack_sbuffer *out)
{
    GHashTableIter it;
    gpointer value;
    GPtrArray *all = g_ptr_array_new();
    g_hash_table_iter_init(&it, rt->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        g_ptr_array_add(all, value);
    }
    g_ptr_array_sort(all, compare_use);
    guint n = 0;
    size_t bytes = 0;
    for (; n < all->len; n++) {
        const run_entry_t *e = g_ptr_array_index(all, n);
        bytes += GV_RUN_TIME_ROW_BYTES + GvRunHistogram_Size(&e->times) +
                 GvRunHistogram_Size(&e->ratios) +
                 GvRunHistogram_Size(&e->declared);
        if (bytes > GV_RUN_TIME_RECORD_BYTES) {
            break;
        }
    }
    msgpack_packer pk = GvPack_Array(out, 2);
    GvPack_Uint(&pk, FORMAT_VERSION);
    msgpack_pack_array(&pk, n);
    for (guint i = 0; i < n; i++) {
        run_entry_t *e = g_ptr_array_index(all, i);
        e->stored_ms = e->times.typical;
        msgpack_pack_array(&pk, 4);
        GvPack_Uint(&pk, e->key);
        GvRunHistogram_Pack(&e->times, &pk);
        GvRunHistogram_Pack(&e->ratios, &pk);
        GvRunHistogram_Pack(&e->declared, &pk);
    }
    g_ptr_array_free(all, TRUE);
}

/* Reads one row; it counts as used before the rows that were read earlier. */
static void
read_row(gv_run_times_t *rt, gv_unpack_t *rows, uint64_t used)
{
    run_entry_t e = {.used = used};
    gv_unpack_t f = GvUnpack_Sub(rows, 4);
    e.key = rows->err == GV_OK ? GvUnpack_Uint(&f) : 0;
    bool ok = rows->err == GV_OK &&
              GvRunHistogram_Read(&e.times, GvUnpack_Str(&f)) &&
              GvRunHistogram_Read(&e.ratios, GvUnpack_Str(&f)) &&
              GvRunHistogram_Read(&e.declared, GvUnpack_Str(&f)) &&
              f.err == GV_OK;
    if (!ok || g_hash_table_contains(rt->entries, &e.key)) {
        rows->err = GV_EINVAL;
        return;
    }
    e.stored_ms = e.times.typical;
    run_entry_t *copy = g_memdup2(&e, sizeof e);
    g_hash_table_insert(rt->entries, &copy->key, copy);
}

/* Replaces what is known by an encoded record. Returns 0, or a negative error
   for a malformed record, which changes nothing. */
int
GvRunTimes_Read(gv_run_times_t *rt, gv_str_t bytes)
{
    msgpack_unpacked un;
    gv_run_times_t *read = GvRunTimes_New();
    int rc = GvUnpack_Root(&un, bytes);
    gv_unpack_t u = GvUnpack_Array(rc == GV_OK ? &un.data : NULL, 2);
    if (u.err == GV_OK && GvUnpack_Uint(&u) != FORMAT_VERSION) {
        u.err = GV_EINVAL;
    }
    gv_unpack_t rows = GvUnpack_Sub(&u, 0);
    if (u.err == GV_OK && rows.array->size > GV_RUN_TIME_KEYS) {
        u.err = GV_EINVAL;
    }
    uint64_t n = u.err == GV_OK ? rows.array->size : 0;
    for (uint64_t i = 0; i < n && rows.err == GV_OK; i++) {
        read_row(read, &rows, n - i);
    }
    rc = u.err != GV_OK ? u.err : rows.err;
    if (rc == GV_OK) {
        GHashTable *former = rt->entries;
        rt->entries = read->entries;
        rt->uses = n;
        read->entries = former;
    }
    GvRunTimes_Free(read);
    msgpack_unpacked_destroy(&un);
    return rc;
}
