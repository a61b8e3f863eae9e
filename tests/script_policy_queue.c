#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "estimate.h"
#include "limits.h"
#include "queue.h"
#include "script.h"

/* Verbs for the queue policies. Time is simulated and advances only in `run`,
   in steps of 10 ms. */

enum { MAX_FEEDS = 8, STEP_MS = 10 };

typedef struct {
    gv_queue_item_t it;
    char name[32];
    char team[32];
    double real_ms; /* actual run time */
    int64_t ends_ms;
    bool counted_long;
} job_t;

typedef struct {
    const char *cls;
    char team[32];
    double run_ms;
    double real_ms;
    int every_ms;
    int deadline_ms;
} feed_t;

static const gv_queue_policy_t *policy;
static gv_queue_t *queue;
static gv_queue_load_t load;
static gv_team_t teams[8];
static gv_queue_opts_t opts;
static int64_t now_ms;
static GPtrArray *waiting;
static GPtrArray *running;
static feed_t feeds[MAX_FEEDS];
static int n_feeds;
static int max_busy_long;
static GHashTable *stats; /* "team class" to int[3]: jobs started, longest
                             wait in ms, jobs not run */

static void
read_opts(int argc, char **argv)
{
    opts = (gv_queue_opts_t){.max_requests = OPT("max", 1000),
                             .urgent_share_percent = OPT("urgent", 50),
                             .long_share_percent = OPT("long", 40),
                             .teams = teams};
    for (int i = 1; i < argc; i++) {
        char *at = strchr(argv[i], ':');
        if (at != NULL && opts.n_teams < 8) {
            teams[opts.n_teams].name =
                GvStr_Dup(GvStr_N(argv[i], (size_t)(at - argv[i])));
            teams[opts.n_teams++].quota = atoi(at + 1);
        }
    }
}

static void
free_opts(void)
{
    for (int i = 0; i < opts.n_teams; i++) {
        GvStr_Free(&teams[i].name);
    }
}

/* queue POLICY [max=N urgent=PERCENT long=PERCENT] [TEAM:QUOTA ...]: replaces
   the queue with an empty one and sets the time to 0. */
GV_VERB("queue", run_queue)
{
    if (queue != NULL) {
        policy->destroy(queue);
        g_ptr_array_free(waiting, TRUE);
        g_ptr_array_free(running, TRUE);
        g_hash_table_destroy(stats);
    }
    policy = (const gv_queue_policy_t *)GvRegistry_Find(GV_PLUGIN_QUEUE,
                                                        GvStr_C(argv[1]));
    read_opts(argc, argv);
    queue = policy->create(&opts);
    free_opts();
    waiting = g_ptr_array_new_with_free_func(g_free);
    running = g_ptr_array_new_with_free_func(g_free);
    stats = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    load = (gv_queue_load_t){0};
    now_ms = 0;
    n_feeds = 0;
    max_busy_long = 0;
}

/* configure [max=N urgent=PERCENT long=PERCENT] [TEAM:QUOTA ...]: changes the
   options of the queue. */
GV_VERB("configure", run_configure)
{
    read_opts(argc, argv);
    policy->configure(queue, &opts);
    free_opts();
}

/* load SLOTS BUSY MEAN_MS: sets the slots, the busy ones and the mean run
   time. */
GV_VERB("load", run_load)
{
    g_assert(argc == 4);
    load.slots = atoi(argv[1]);
    load.busy = atoi(argv[2]);
    load.mean_run_ms = atof(argv[3]);
}

static int *
stat_of(const job_t *j)
{
    char *key = g_strdup_printf("%s %s", j->team,
                                j->it.urgent    ? "urgent"
                                : j->it.is_long ? "long"
                                                : "short");
    int *s = g_hash_table_lookup(stats, key);
    if (s != NULL) {
        g_free(key);
        return s;
    }
    s = g_new0(int, 3);
    g_hash_table_insert(stats, key, s);
    return s;
}

static gv_admit_t
push(const char *name, const feed_t *f)
{
    job_t *j = g_new0(job_t, 1);
    g_strlcpy(j->name, name, sizeof j->name);
    g_strlcpy(j->team, f->team, sizeof j->team);
    j->real_ms = f->real_ms;
    j->it = (gv_queue_item_t){.team = GvStr_C(j->team),
                              .urgent = strcmp(f->cls, "urgent") == 0,
                              .is_long = strcmp(f->cls, "long") == 0,
                              .run_ms = f->run_ms,
                              .deadline_ms = now_ms + f->deadline_ms,
                              .user = j};
    gv_admit_t a = policy->push(queue, &j->it, now_ms, &load);
    if (a.kind == GV_ADMIT_QUEUED) {
        g_ptr_array_add(waiting, j);
    }
    else {
        stat_of(j)[2]++;
        g_free(j);
    }
    return a;
}

/* push NAME TEAM short|long|urgent RUN_MS DEADLINE_MS: adds an item with this
   estimated run time. The deadline is relative to the current time. */
GV_VERB("push", run_push)
{
    static const char *const kinds[] = {"queued", "full", "too late"};
    g_assert(argc == 6);
    feed_t f = {.cls = argv[3],
                .run_ms = atof(argv[4]),
                .real_ms = atof(argv[4]),
                .deadline_ms = atoi(argv[5])};
    g_strlcpy(f.team, argv[2], sizeof f.team);
    gv_admit_t a = push(argv[1], &f);
    printf("%s %s", argv[1], kinds[a.kind]);
    if (a.kind != GV_ADMIT_QUEUED) {
        printf(", retry after %d ms", a.retry_after_ms);
    }
    printf("\n");
}

static void
transfer(job_t *j, GPtrArray *from, GPtrArray *to)
{
    guint at = 0;
    g_ptr_array_find(from, j, &at);
    g_ptr_array_steal_index_fast(from, at);
    g_ptr_array_add(to, j);
}

static job_t *
pop(void)
{
    gv_queue_item_t *it = policy->pop(queue, now_ms, &load);
    if (it == NULL) {
        return NULL;
    }
    job_t *j = it->user;
    transfer(j, waiting, running);
    j->ends_ms = now_ms + (int64_t)j->real_ms;
    j->counted_long = it->is_long;
    load.busy++;
    load.busy_long += it->is_long;
    max_busy_long = MAX(max_busy_long, load.busy_long);
    int *s = stat_of(j);
    s[0]++;
    s[1] = MAX(s[1], (int)(now_ms - it->queued_ms));
    return j;
}

/* pop: starts the next item and prints its name, or "none". */
GV_VERB("pop", run_pop)
{
    job_t *j = pop();
    printf("start %s\n", j == NULL ? "none" : j->name);
}

static job_t *
find(GPtrArray *list, const char *name)
{
    for (guint i = 0; i < list->len; i++) {
        job_t *j = list->pdata[i];
        if (strcmp(j->name, name) == 0) {
            return j;
        }
    }
    return NULL;
}

/* cancel NAME: removes a waiting item. */
GV_VERB("cancel", run_cancel)
{
    g_assert(argc == 2);
    job_t *j = find(waiting, argv[1]);
    policy->remove(queue, &j->it);
    g_ptr_array_remove(waiting, j);
    printf("cancelled %s, %d waiting\n", argv[1], policy->length(queue));
}

/* requeue NAME: returns a started item to the queue, as when its target
   refuses it. */
GV_VERB("requeue", run_requeue)
{
    g_assert(argc == 2);
    job_t *j = find(running, argv[1]);
    transfer(j, running, waiting);
    load.busy--;
    load.busy_long -= j->counted_long;
    policy->requeue(queue, &j->it, now_ms);
}

static void
expire(bool print)
{
    gv_queue_item_t *it;
    while ((it = policy->expire(queue, now_ms)) != NULL) {
        job_t *j = it->user;
        stat_of(j)[2]++;
        if (print) {
            printf("expired %s\n", j->name);
        }
        g_ptr_array_remove(waiting, j);
    }
}

/* feed CLASS TEAM RUN_MS EVERY_MS DEADLINE_MS [real=MS]: adds a stream of
   items that arrive during `run`. RUN_MS is the estimated run time, real the
   actual one if it differs. */
GV_VERB("feed", run_feed)
{
    g_assert(argc >= 6 && n_feeds < MAX_FEEDS);
    feed_t *f = &feeds[n_feeds++];
    f->cls = g_intern_string(argv[1]);
    g_strlcpy(f->team, argv[2], sizeof f->team);
    f->run_ms = atof(argv[3]);
    f->real_ms = atoi(GvScript_Option(argc, argv, "real", argv[3]));
    f->every_ms = atoi(argv[4]);
    f->deadline_ms = atoi(argv[5]);
}

static void
finish(void)
{
    for (guint i = 0; i < running->len;) {
        job_t *j = running->pdata[i];
        double ran = j->real_ms - (double)(j->ends_ms - now_ms);
        if (j->ends_ms <= now_ms) {
            load.busy--;
            load.busy_long -= j->counted_long;
            g_ptr_array_remove_index_fast(running, i);
            continue;
        }
        /* Like the daemon, counts work that exceeds its class as long. */
        if (!j->counted_long && ran > 200) {
            j->counted_long = true;
            load.busy_long++;
        }
        i++;
    }
}

/* run MS: advances the time; items of feeds arrive, items start and end. */
GV_VERB("run", run_run)
{
    g_assert(argc == 2);
    int64_t end = now_ms + atoi(argv[1]);
    for (; now_ms < end; now_ms += STEP_MS) {
        finish();
        for (int i = 0; i < n_feeds; i++) {
            for (int k = 0; k < STEP_MS; k++) {
                if ((now_ms + k) % feeds[i].every_ms == 0) {
                    push("", &feeds[i]);
                }
            }
        }
        expire(n_feeds == 0);
        while (pop() != NULL) {
        }
    }
}

static int
by_name(const void *a, const void *b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

/* stats: prints for each team and class how many items started, their longest
   wait and how many did not run. */
GV_VERB("stats", run_stats)
{
    guint n;
    gpointer *keys = g_hash_table_get_keys_as_array(stats, &n);
    qsort(keys, n, sizeof *keys, by_name);
    for (guint i = 0; i < n; i++) {
        int *s = g_hash_table_lookup(stats, keys[i]);
        printf("%s: started %d, worst wait %d ms, not run %d\n",
               (char *)keys[i], s[0], s[1], s[2]);
    }
    printf("long at once: %d of %d slots\n", max_busy_long, load.slots);
    g_free((void *)keys);
}
