#include "estimate.h"

#include <glib.h>

#include "limits.h"

/* Statistics of the runs of one kind of work. */
typedef struct {
    gv_str_t work; /* name of the kind */
    double mean_ms;
    double long_share; /* share of recent runs that took over short_ms */
    int samples;       /* at most GV_ESTIMATE_SAMPLES */
    /* Longest elapsed time of a run that has not ended. It counts as one more
       sample, so that a kind is classed as long before its runs end. */
    double unfinished_ms;
} run_stats_t;

struct gv_estimate_s {
    int short_ms;
    int max_kinds;
    GHashTable *kinds; /* &run_stats_t.work to run_stats_t */
    run_stats_t other; /* shared by the kinds beyond the bound */
    run_stats_t all;   /* the service's mean */
};

static void
free_stats(gpointer p)
{
    run_stats_t *r = p;
    GvStr_Free(&r->work);
    g_free(r);
}

/* Returns an estimator without samples. A max_kinds of 0 means
   GV_ESTIMATE_KINDS. */
gv_estimate_t *
GvEstimate_New(const gv_estimate_opts_t *o)
{
    gv_estimate_t *e = g_new0(gv_estimate_t, 1);
    e->short_ms = o->short_ms;
    e->max_kinds = o->max_kinds > 0 ? o->max_kinds : GV_ESTIMATE_KINDS;
    e->kinds = g_hash_table_new_full(GvStr_HashKey, GvStr_EqualKeys, NULL,
                                     free_stats);
    return e;
}

void
GvEstimate_Free(gv_estimate_t *e)
{
    g_hash_table_destroy(e->kinds);
    g_free(e);
}

/* Sets the longest run time that counts as short. Runs that have ended stay
   counted as long or short as they were. */
void
GvEstimate_Configure(gv_estimate_t *e, int short_ms)
{
    e->short_ms = short_ms;
}

/* Returns the mean run time, in which an unfinished run counts as one more
   sample if it already took longer than the mean. */
static double
expected_ms(const run_stats_t *r)
{
    if (r->unfinished_ms <= r->mean_ms) {
        return r->mean_ms;
    }
    return r->mean_ms + (r->unfinished_ms - r->mean_ms) / (r->samples + 1);
}

/* Returns true if most recent runs were long. The mean is not used, because a
   single run that takes many times longer moves it above short_ms. */
static bool
is_long(const gv_estimate_t *e, const run_stats_t *r)
{
    double unfinished = r->unfinished_ms > e->short_ms;
    return 2 * (r->long_share * r->samples + unfinished) >
           r->samples + unfinished;
}

/* Returns the statistics of a kind, the shared ones if the table is full, or
   NULL. */
static const run_stats_t *
find_stats(const gv_estimate_t *e, gv_str_t work)
{
    const run_stats_t *r = g_hash_table_lookup(e->kinds, &work);
    if (r == NULL && (int)g_hash_table_size(e->kinds) >= e->max_kinds) {
        r = &e->other;
    }
    return r;
}

static run_stats_t *
find_or_add(gv_estimate_t *e, gv_str_t work)
{
    run_stats_t *r = (run_stats_t *)find_stats(e, work);
    if (r == NULL) {
        r = g_new0(run_stats_t, 1);
        r->work = GvStr_Dup(work);
        g_hash_table_insert(e->kinds, &r->work, r);
    }
    return r;
}

/* Returns the expected run time of a kind of work in ms: the service's mean
   for a kind without any run. */
double
GvEstimate_RunMs(const gv_estimate_t *e, gv_str_t work)
{
    const run_stats_t *r = find_stats(e, work);
    if (r == NULL || (r->samples == 0 && r->unfinished_ms == 0)) {
        return e->all.mean_ms;
    }
    return expected_ms(r);
}

/* Returns true if most recent runs of this kind took longer than short_ms. */
bool
GvEstimate_IsLong(const gv_estimate_t *e, gv_str_t work)
{
    const run_stats_t *r = find_stats(e, work);
    return r != NULL && is_long(e, r);
}

static void
add_run(run_stats_t *r, double run_ms, int short_ms)
{
    if (r->samples < GV_ESTIMATE_SAMPLES) {
        r->samples++;
    }
    r->mean_ms += (run_ms - r->mean_ms) / r->samples;
    r->long_share += ((run_ms > short_ms) - r->long_share) / r->samples;
    /* Either the run that set unfinished_ms has ended, or a shorter run has
       shown that it is less typical. */
    r->unfinished_ms =
        run_ms >= r->unfinished_ms ? 0 : r->unfinished_ms * 0.75;
}

/* Adds the run time of a finished run. */
void
GvEstimate_AddRun(gv_estimate_t *e, gv_str_t work, double run_ms)
{
    add_run(find_or_add(e, work), run_ms, e->short_ms);
    add_run(&e->all, run_ms, e->short_ms);
}

/* Adds the elapsed time of a run that has not ended. It may be called again
   for the same run. Returns true if the kind was short and is long now. */
bool
GvEstimate_AddElapsed(gv_estimate_t *e, gv_str_t work, double elapsed_ms)
{
    run_stats_t *r = find_or_add(e, work);
    bool was_long = is_long(e, r);
    if (elapsed_ms > r->unfinished_ms) {
        r->unfinished_ms = elapsed_ms;
    }
    return !was_long && is_long(e, r);
}

/* Returns the mean run time over all kinds in ms, or 0 before the first run
   has ended. */
double
GvEstimate_MeanMs(const gv_estimate_t *e)
{
    return e->all.mean_ms;
}
