#include "estimate.h"

#include <glib.h>

#include "limits.h"

typedef struct {
    gv_str_t work;
    double mean_ms;
    double over; /* share of recent runs above short_ms */
    int samples; /* at most GV_ESTIMATE_SAMPLES */
    /* Longest elapsed time of a run not yet finished. Counts as one more
       sample, so that long work is recognised before it ends. */
    double open_ms;
} row_t;

struct gv_estimate_s {
    int short_ms;
    int max_kinds;
    GHashTable *rows; /* &row_t.work to row_t */
    row_t other;      /* shared by the kinds beyond the bound */
    row_t all;        /* the service's mean */
};

static void
free_row(gpointer p)
{
    row_t *r = p;
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
    e->rows =
        g_hash_table_new_full(GvStr_HashKey, GvStr_EqualKeys, NULL, free_row);
    return e;
}

/* Releases an estimator. */
void
GvEstimate_Free(gv_estimate_t *e)
{
    g_hash_table_destroy(e->rows);
    g_free(e);
}

/* Changes the bound of short work; what was learned stays. */
void
GvEstimate_Configure(gv_estimate_t *e, int short_ms)
{
    e->short_ms = short_ms;
}

static double
expected(const row_t *r)
{
    if (r->open_ms <= r->mean_ms) {
        return r->mean_ms;
    }
    return r->mean_ms + (r->open_ms - r->mean_ms) / (r->samples + 1);
}

/* The class follows the majority of recent runs and not the mean, because a
   single run that takes many times longer moves the mean over the bound. */
static bool
is_long(const gv_estimate_t *e, const row_t *r)
{
    double open = r->open_ms > e->short_ms;
    return 2 * (r->over * r->samples + open) > r->samples + open;
}

static const row_t *
find(const gv_estimate_t *e, gv_str_t work)
{
    const row_t *r = g_hash_table_lookup(e->rows, &work);
    if (r == NULL && (int)g_hash_table_size(e->rows) >= e->max_kinds) {
        r = &e->other;
    }
    return r;
}

static row_t *
find_or_add(gv_estimate_t *e, gv_str_t work)
{
    row_t *r = (row_t *)find(e, work);
    if (r == NULL) {
        r = g_new0(row_t, 1);
        r->work = GvStr_Dup(work);
        g_hash_table_insert(e->rows, &r->work, r);
    }
    return r;
}

/* Returns the expected run time in ms of a kind of work. A kind that was
   never seen yields the service's mean. */
double
GvEstimate_RunMs(const gv_estimate_t *e, gv_str_t work)
{
    const row_t *r = find(e, work);
    if (r == NULL || (r->samples == 0 && r->open_ms == 0)) {
        return e->all.mean_ms;
    }
    return expected(r);
}

/* Tells whether most work of this kind runs longer than the bound of short
   work. */
bool
GvEstimate_IsLong(const gv_estimate_t *e, gv_str_t work)
{
    const row_t *r = find(e, work);
    return r != NULL && is_long(e, r);
}

static void
learn(row_t *r, double run_ms, int short_ms)
{
    if (r->samples < GV_ESTIMATE_SAMPLES) {
        r->samples++;
    }
    r->mean_ms += (run_ms - r->mean_ms) / r->samples;
    r->over += ((run_ms > short_ms) - r->over) / r->samples;
    /* The run that set open_ms has ended, or a quick run makes it less
       typical. */
    r->open_ms = run_ms >= r->open_ms ? 0 : r->open_ms * 0.75;
}

/* Learns the run time in ms of a finished run. */
void
GvEstimate_AddRun(gv_estimate_t *e, gv_str_t work, double run_ms)
{
    learn(find_or_add(e, work), run_ms, e->short_ms);
    learn(&e->all, run_ms, e->short_ms);
}

/* Notes a run that is still going after elapsed_ms. May be called again for
   the same run. Returns true when the kind becomes long by this. */
bool
GvEstimate_AddElapsed(gv_estimate_t *e, gv_str_t work, double elapsed_ms)
{
    row_t *r = find_or_add(e, work);
    bool was_long = is_long(e, r);
    if (elapsed_ms > r->open_ms) {
        r->open_ms = elapsed_ms;
    }
    return !was_long && is_long(e, r);
}

/* Returns the mean run time in ms over all kinds; 0 before the first run. */
double
GvEstimate_MeanMs(const gv_estimate_t *e)
{
    return e->all.mean_ms;
}
