#include "load.h"

#include <glib.h>

#include "limits.h"
#include "rhythm.h"

/* Arrivals of one service in bins of GV_LOAD_BIN_MS. */
typedef struct {
    int64_t bin;               /* number of the newest bin */
    double work[GV_LOAD_BINS]; /* thousandths of a core times ms */
    int jobs[GV_LOAD_BINS];
    double total_work; /* work since first_job_ms */
    int64_t first_job_ms;
    gv_rhythm_t rhythm;
} gv_arrivals_t;

/* Mean run time of a queue's finished tasks. */
typedef struct {
    int samples; /* at most GV_LOAD_MEAN_RUNS */
    double mean_ms;
} gv_run_time_t;

struct gv_loads_s {
    GHashTable *services; /* name -> gv_arrivals_t * */
    GHashTable *queues;   /* name -> gv_run_time_t * */
};

gv_loads_t *
GvLoads_New(void)
{
    gv_loads_t *l = g_new0(gv_loads_t, 1);
    l->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    l->queues = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return l;
}

void
GvLoads_Free(gv_loads_t *l)
{
    g_hash_table_destroy(l->services);
    g_hash_table_destroy(l->queues);
    g_free(l);
}

/* Returns the entry of a name; a new one is filled with zeros. */
static gpointer
find_or_add(GHashTable *table, gv_str_t name, gsize size)
{
    char *key = g_strndup(name.p, name.n);
    gpointer e = g_hash_table_lookup(table, key);
    if (e == NULL) {
        e = g_malloc0(size);
        g_hash_table_insert(table, key, e);
    }
    else {
        g_free(key);
    }
    return e;
}

/* Makes the bin of now_ms the newest one and clears those that this passes. */
static void
clear_old_bins(gv_arrivals_t *a, int64_t now_ms)
{
    int64_t bin = now_ms / GV_LOAD_BIN_MS;
    if (bin - a->bin > GV_LOAD_BINS) {
        a->bin = bin - GV_LOAD_BINS;
    }
    while (a->bin < bin) {
        a->bin++;
        a->work[a->bin % GV_LOAD_BINS] = 0;
        a->jobs[a->bin % GV_LOAD_BINS] = 0;
    }
}

/* Adds an accepted job to the work that has arrived for a service. */
void
GvLoads_AddJob(gv_loads_t *l, const gv_job_t *job, gv_str_t service,
               int64_t now_ms)
{
    gv_arrivals_t *a = find_or_add(l->services, service, sizeof *a);
    const gv_run_time_t *t = find_or_add(l->queues, job->queue, sizeof *t);
    double work = 0;
    for (int i = 0; i < job->n_steps; i++) {
        const gv_step_t *s = &job->steps[i];
        double ms =
            t->samples >= GV_LOAD_MIN_RUNS ? t->mean_ms : s->estimate_ms;
        work += (double)s->count * (double)s->need.cpu * ms;
    }
    if (a->first_job_ms == 0) {
        a->first_job_ms = now_ms;
    }
    clear_old_bins(a, now_ms);
    a->total_work += work;
    a->work[a->bin % GV_LOAD_BINS] += work;
    a->jobs[a->bin % GV_LOAD_BINS]++;
}

/* Adds the run time of a task that has ended as done. */
void
GvLoads_AddRun(gv_loads_t *l, gv_str_t queue, int64_t ms)
{
    gv_run_time_t *t = find_or_add(l->queues, queue, sizeof *t);
    t->samples = MIN(t->samples + 1, GV_LOAD_MEAN_RUNS);
    t->mean_ms += ((double)ms - t->mean_ms) / t->samples;
}

/* Returns the mean run time of a queue's tasks in ms, or 0 if fewer than
   GV_LOAD_MIN_RUNS have ended. */
double
GvLoads_RunMs(const gv_loads_t *l, gv_str_t queue)
{
    char *key = g_strndup(queue.p, queue.n);
    const gv_run_time_t *t = g_hash_table_lookup(l->queues, key);
    g_free(key);
    return t == NULL || t->samples < GV_LOAD_MIN_RUNS ? 0 : t->mean_ms;
}

/* Returns the work of the bins divided by the time that they cover,
   thousandths of a core; 0 for fewer than GV_LOAD_MIN_JOBS jobs. */
static double
arriving_cpu(gv_arrivals_t *a, int64_t now_ms)
{
    double work = 0;
    int jobs = 0;
    clear_old_bins(a, now_ms);
    for (int i = 0; i < GV_LOAD_BINS; i++) {
        work += a->work[i];
        jobs += a->jobs[i];
    }
    int64_t span =
        (GV_LOAD_BINS - 1) * GV_LOAD_BIN_MS + now_ms % GV_LOAD_BIN_MS;
    return jobs < GV_LOAD_MIN_JOBS ? 0 : work / (double)span;
}

/* Returns the cpu that new jobs need if they keep arriving at the present
   rate, thousandths of a core; 0 if too few have arrived for a rate. */
int64_t
GvLoads_ArrivingCpu(gv_loads_t *l, gv_str_t service, int64_t now_ms)
{
    gv_arrivals_t *a = find_or_add(l->services, service, sizeof *a);
    return (int64_t)arriving_cpu(a, now_ms);
}

/* Passes the arrival rate of each service to the detection of its bursts; to
   be called a few times a second. */
void
GvLoads_Sample(gv_loads_t *l, int64_t now_ms)
{
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, l->services);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        gv_arrivals_t *a = value;
        if (a->first_job_ms == 0) {
            continue;
        }
        int64_t span = MAX(now_ms - a->first_job_ms, GV_RHYTHM_MIN_MS);
        GvRhythm_AddSample(&a->rhythm, arriving_cpu(a, now_ms),
                           a->total_work / (double)span, now_ms);
    }
}

/* Returns the interval between the bursts of a service in ms. If it has had
   fewer than two, the longest interval of any service is used, because bursts
   of different queues often alternate at the same interval. 0: unknown. */
static int64_t
period_ms(const gv_loads_t *l, const gv_arrivals_t *a)
{
    GHashTableIter it;
    gpointer value;
    int64_t own = GvRhythm_PeriodMs(&a->rhythm);
    int64_t other = 0;
    if (own != 0 || a->rhythm.n_bursts >= 2) {
        return own;
    }
    g_hash_table_iter_init(&it, l->services);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        other =
            MAX(other, GvRhythm_PeriodMs(&((gv_arrivals_t *)value)->rhythm));
    }
    return other;
}

/* Returns the cpu of the burst that is expected to begin within ahead_ms or
   was expected in the last GV_RHYTHM_LATE_MAX_MS, thousandths of a core; 0 for
   none. */
int64_t
GvLoads_ExpectedBurstCpu(gv_loads_t *l, gv_str_t service, int64_t ahead_ms,
                         int64_t now_ms)
{
    gv_arrivals_t *a = find_or_add(l->services, service, sizeof *a);
    return (int64_t)GvRhythm_ExpectedBurst(&a->rhythm, period_ms(l, a),
                                           now_ms - GV_RHYTHM_LATE_MAX_MS,
                                           now_ms + ahead_ms);
}
