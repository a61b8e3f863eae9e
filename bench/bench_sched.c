#include <string.h>
#include <time.h>

#include "bench.h"
#include "sched.h"

/* Processor time of the scheduler for one event, by the size of the fleet:
   every target is full and a tenth more work waits. An event is the end of a
   task: the target lists it, the scheduler places what waits, stores the
   progress and orders the start, and now and then a new job arrives. */

enum {
    SERVICES = 5,
    TASKS = 8,       /* of a job */
    TARGET_TASKS = 6 /* that fit on a target */
};
#define TASK_CPU 2300
#define EVENTS   4000

/* A run that its target has started. */
typedef struct {
    const char *target; /* interned */
    char task[64];
    uint32_t run;
} live_run_t;

typedef struct {
    gv_sched_t *sched;
    GArray *live;     /* live_run_t */
    GArray *ordered;  /* live_run_t; starts without an answer */
    GHashTable *ends; /* target -> number of its newest end, as a pointer */
    int64_t now;
    int n_jobs;
} fleet_t;

static void
on_start(void *user, const gv_start_order_t *o)
{
    fleet_t *f = user;
    gv_task_place_t at = GvJob_PlaceOf(o->job, o->task);
    live_run_t r = {.target = g_intern_string(o->target), .run = o->run};
    g_snprintf(r.task, sizeof r.task, "%.*s.%d.%d.%d", GV_STR_ARG(o->job->id),
               at.occurrence, at.step, at.index);
    g_array_append_val(f->ordered, r);
}

static void
on_stop(void *user, const gv_stop_order_t *o)
{
    (void)user;
    (void)o;
}

static void
on_hold(void *user, const gv_hold_order_t *o)
{
    (void)user;
    (void)o;
}

static void
add_record(void *user, gv_str_t key, gv_str_t value)
{
    (void)user;
    (void)key;
    (void)value;
}

/* Adds a job of one step to the service whose turn it is. */
static void
add_job(fleet_t *f)
{
    char id[17];
    char service[8];
    gv_step_t step = {
        .count = TASKS, .need = {TASK_CPU, 100, 0}, .estimate_ms = 900};
    g_snprintf(id, sizeof id, "%016x", f->n_jobs);
    g_snprintf(service, sizeof service, "s%d", f->n_jobs % SERVICES);
    gv_job_t *j = GvJob_New();
    j->id = GvStr_Dup(GvStr_C(id));
    j->queue = GvStr_Dup(GvStr_C(service));
    j->service = GvStr_Dup(GvStr_C(service));
    j->attempts = 3;
    j->accepted_ms = f->now;
    j->objective_ms = 600;
    j->n_steps = 1;
    j->steps = g_memdup2(&step, sizeof step);
    g_assert(GvJob_Prepare(j) == 0);
    f->n_jobs++;
    GvSched_AddJob(f->sched, j, f->now);
    GvJob_Free(j);
}

/* The answer of a target to a hold. */
typedef struct {
    gv_hold_answer_t answer;
    gv_ended_t end;
    gv_running_t running[TARGET_TASKS];
} answer_t;

/* Fills the answer of a target; with a run, that has ended as done. */
static void
fill_answer(fleet_t *f, const char *target, const live_run_t *run,
            answer_t *out)
{
    memset(out, 0, sizeof *out);
    out->answer.answer =
        (gv_order_answer_t){.result = GV_ORDER_DONE, .clock_ms = f->now};
    out->answer.running = out->running;
    out->answer.ended = &out->end;
    if (run != NULL) {
        gpointer n = g_hash_table_lookup(f->ends, target);
        out->end = (gv_ended_t){.number = GPOINTER_TO_SIZE(n) + 1,
                                .task = GvStr_C(run->task),
                                .run = run->run};
        g_hash_table_insert(f->ends, (gpointer)target,
                            GSIZE_TO_POINTER(out->end.number));
        out->answer.n_ended = 1;
    }
    for (guint i = 0; i < f->live->len && out->answer.n_running < TARGET_TASKS;
         i++) {
        const live_run_t *r = &g_array_index(f->live, live_run_t, i);
        if (r->target == target) {
            out->running[out->answer.n_running++] = (gv_running_t){
                .task = GvStr_C(r->task), .run = r->run, .percent = 50};
        }
    }
}

/* Runs the scheduler, stores its progress and confirms the starts. */
static void
step(fleet_t *f)
{
    (void)GvSched_Run(f->sched, f->now, f->now);
    if (GvSched_TakeBatch(f->sched, add_record, NULL) > 0) {
        GvSched_ConfirmBatch(f->sched, f->now);
    }
    for (guint i = 0; i < f->ordered->len; i++) {
        live_run_t r = g_array_index(f->ordered, live_run_t, i);
        gv_order_answer_t a = {.result = GV_ORDER_DONE, .clock_ms = f->now};
        GvSched_HandleStartAnswer(f->sched, r.target, r.task, r.run, &a,
                                  f->now);
        g_array_append_val(f->live, r);
    }
    g_array_set_size(f->ordered, 0);
}

static double
cpu_us(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

static void
start_fleet(fleet_t *f, int targets)
{
    gv_sched_opts_t o = {.ops = {f, on_start, on_stop, on_hold, NULL},
                         .epoch = 1,
                         .lease_ms = 4500,
                         .max_lease_ms = 4500,
                         .now_ms = 1000};
    *f = (fleet_t){.now = 1000, .sched = GvSched_New(&o)};
    f->live = g_array_new(FALSE, FALSE, sizeof(live_run_t));
    f->ordered = g_array_new(FALSE, FALSE, sizeof(live_run_t));
    f->ends = g_hash_table_new(g_direct_hash, g_direct_equal);
    GvSched_ReplayArrivals(f->sched, NULL, 0, f->now, f->now);
    GvSched_SetJobsLoaded(f->sched);
    for (int i = 0; i < targets; i++) {
        char id[16];
        char service[8];
        char rack[8];
        g_snprintf(id, sizeof id, "t%d", i);
        g_snprintf(service, sizeof service, "s%d", i % SERVICES);
        g_snprintf(rack, sizeof rack, "r%d", i / 12);
        gv_target_info_t t = {.id = GvStr_C(id),
                              .host = GvStr_C(id),
                              .addr = GV_STR("127.0.0.1:1"),
                              .service = GvStr_C(service),
                              .rack = GvStr_C(rack),
                              .labels = GV_STR("a r1"),
                              .room = {16000, 64000, 0}};
        GvSched_SetTarget(f->sched, &t, f->now);
    }
    step(f);
    for (int i = 0; i < targets; i++) {
        char id[16];
        g_snprintf(id, sizeof id, "t%d", i);
        answer_t a;
        fill_answer(f, g_intern_string(id), NULL, &a);
        GvSched_HandleHoldAnswer(f->sched, id, &a.answer, f->now);
    }
    int jobs = targets * TARGET_TASKS * 11 / 10 / TASKS;
    for (int i = 0; i < jobs; i++) {
        add_job(f);
    }
    step(f);
    step(f);
}

static void
end_fleet(fleet_t *f)
{
    GvSched_Free(f->sched);
    g_array_free(f->live, TRUE);
    g_array_free(f->ordered, TRUE);
    g_hash_table_destroy(f->ends);
}

/* Returns the processor time of one event in microseconds. Events of the whole
   fleet come as often as its size makes them: a task takes 0.9 s. */
static double
event_us(int targets, guint32 seed)
{
    fleet_t f;
    GRand *rnd = g_rand_new_with_seed(seed);
    start_fleet(&f, targets);
    double spent = 0;
    double rate = (double)targets * TARGET_TASKS / 900; /* events a ms */
    double due = 0;
    for (int i = 0; i < EVENTS; i++) {
        due += 1 / rate;
        f.now = 1100 + (int64_t)due;
        guint k = (guint)g_rand_int_range(rnd, 0, (gint32)f.live->len);
        live_run_t r = g_array_index(f.live, live_run_t, k);
        g_array_remove_index_fast(f.live, k);
        if (i % TASKS == 0) {
            add_job(&f);
        }
        answer_t a;
        fill_answer(&f, r.target, &r, &a);
        double begun = cpu_us();
        GvSched_HandleHoldAnswer(f.sched, r.target, &a.answer, f.now);
        step(&f);
        spent += cpu_us() - begun;
    }
    end_fleet(&f);
    g_rand_free(rnd);
    return spent / EVENTS;
}

/* Writes the processor time of an event at each size, with that of 50 targets
   as the baseline. */
void
GvBench_RunSched(const gv_bench_t *b)
{
    static const int sizes[] = {50, 350, 550, 1000, 3000, 5800};
    double base = 0;
    for (gsize i = 0; i < G_N_ELEMENTS(sizes); i++) {
        double runs[GV_BENCH_SEEDS];
        char name[64];
        for (int k = 0; k < GV_BENCH_SEEDS; k++) {
            runs[k] = event_us(sizes[i], gv_bench_seeds[k]);
        }
        double value = GvBench_Median(runs, GV_BENCH_SEEDS);
        base = i == 0 ? value : base;
        g_snprintf(name, sizeof name, "scheduler, %d targets: event",
                   sizes[i]);
        GvBench_WriteRow(b, name, GV_BENCH_MEDIAN_OF_SEEDS, value, "us",
                         "50 targets", base);
    }
}
