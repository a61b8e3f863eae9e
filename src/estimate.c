#include "estimate.h"

#include <glib.h>

#include "limits.h"

typedef struct {
    gv_str_t work;
    double mean_ms;
    double long_share; /* share of recent runs above short_ms */
    int samples;       /* at most GV_ESTIMATE_SAMPLES */
    /* Longest elapsed time of a run not yet finished. Counts as one more
       sample, so that long work is recognised before it ends. */
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

/* Creates an estimator. A max_kinds of 0 yields GV_ESTIMATE_KINDS. */
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

/* Releases an estimator. */
void
GvEstimate_Free(gv_estimate_t *e)
{
    g_hash_table_destroy(e->kinds);
    g_free(e);
}

/* Changes the bound of short work; what was learned stays. */
void
GvEstimate_Configure(gv_estimate_t *e, int short_ms)
{
    e->short_ms = short_ms;
}

static double
expected_ms(const run_stats_t *r)
{
    if (r->unfinished_ms <= r->mean_ms) {
        return r->mean_ms;
    }
    return r->mean_ms + (r->unfinished_ms - r->mean_ms) / (r->samples + 1);
}

/* The class follows the majority of recent runs and not the mean, because a
   single run that takes many times longer moves the mean over the bound. */
static bool
is_long(const gv_estimate_t *e, const run_stats_t *r)
{
    double unfinished = r->unfinished_ms > e->short_ms;
    return 2 * (r->long_share * r->samples + unfinished) >
           r->samples + unfinished;
}

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

/* Returns the expected run time in ms of a kind of work. A kind that was
   never seen yields the service's mean. */
double
GvEstimate_RunMs(const gv_estimate_t *e, gv_str_t work)
{
    const run_stats_t *r = find_stats(e, work);
    if (r == NULL || (r->samples == 0 && r->unfinished_ms == 0)) {
        return e->all.mean_ms;
    }
    return expected_ms(r);
}

/* Tells whether most work of this kind runs longer than the bound of short
   work. */
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
    /* The run that set unfinished_ms has ended, or a quick run makes it less
       typical. */
    r->unfinished_ms =
        run_ms >= r->unfinished_ms ? 0 : r->unfinished_ms * 0.75;
}

/* Learns the run time in ms of a finished run. */
void
GvEstimate_AddRun(gv_estimate_t *e, gv_str_t work, double run_ms)
{
    add_run(find_or_add(e, work), run_ms, e->short_ms);
    add_run(&e->all, run_ms, e->short_ms);
}

/* Notes a run that is still going after elapsed_ms. May be called again for
   the same run. Returns true when the kind becomes long by this. */
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

/* Returns the mean run time in ms over all kinds; 0 before the first run. */
double
GvEstimate_MeanMs(const gv_estimate_t *e)
{
    return e->all.mean_ms;
}
