#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "job_record.h"
#include "job_retire.h"
#include "limits.h"
#include "script.h"

/* Verbs for the removal of ended jobs from the store. The store is modelled as
   the newest record of each key of each partition, which is what a starting
   host reads. */

#define KEPT_MAX 64
#define KEEP_MS  180000

typedef struct {
    gv_partition_kind_t kind;
    int part;
    char key[GV_EARLY_KEY_BYTES];
    GByteArray *value;
} gv_kept_t;

static gv_kept_t kept[KEPT_MAX];
static int n_kept;
static gv_job_table_t *table;
static uint64_t offset;
static bool drops_lost; /* drops do not reach the store */

static gv_kept_t *
find(gv_partition_kind_t kind, int part, const char *key)
{
    for (int i = 0; i < n_kept; i++) {
        gv_kept_t *k = &kept[i];
        if (k->kind == kind && k->part == part && strcmp(k->key, key) == 0) {
            return k;
        }
    }
    return NULL;
}

/* Applies a record to the host's job table; an empty value deletes the key. */
static void
apply(const gv_kept_t *k, gv_str_t value)
{
    gv_job_t *job;
    gv_record_place_t at = {k->kind, k->part, ++offset};
    (void)GvJobTable_Apply(table, at, GvStr_C(k->key), value, &job);
}

/* Stores a record and applies it to the host's job table. An empty value
   deletes the key. */
static void
store(gv_partition_kind_t kind, int part, const char *key, gv_str_t value)
{
    gv_kept_t *k = find(kind, part, key);
    if (k == NULL) {
        g_assert(n_kept < KEPT_MAX);
        k = &kept[n_kept++];
        *k = (gv_kept_t){.kind = kind, .part = part};
        g_strlcpy(k->key, key, sizeof k->key);
    }
    else if (k->value != NULL) {
        g_byte_array_unref(k->value);
    }
    k->value = NULL;
    if (value.n > 0) {
        k->value = g_byte_array_new();
        g_byte_array_append(k->value, (const guint8 *)value.p, (guint)value.n);
    }
    apply(k, value);
}

/* Returns a new job of one task, which is done or has not started. */
static gv_job_t *
job_of(const char *id, bool done)
{
    gv_job_t *j = GvJob_New();
    j->id = GvStr_Dup(GvStr_C(id));
    j->n_steps = 1;
    j->attempts = 1;
    j->steps = g_new0(gv_step_t, 1);
    j->steps[0].count = 1;
    g_assert_cmpint(GvJob_Prepare(j), ==, GV_OK);
    if (done) {
        j->tasks[0].state = GV_TASK_DONE;
    }
    return j;
}

/* jobs_new: starts with an empty store and a host that has read it. */
GV_VERB("jobs_new", jobs_new)
{
    n_kept = 0;
    drops_lost = false;
    table = GvJobTable_New();
    printf("jobs_new\n");
}

/* early_cancel ID [part=N account=NAME]: stores in a partition that the
   account has cancelled a job that was not known. */
GV_VERB("early_cancel", early_cancel)
{
    char key[GV_EARLY_KEY_BYTES];
    GByteArray *caller = g_byte_array_new();
    gv_str_t account = GvStr_C(GvScript_Option(argc, argv, "account", ""));
    printf("early_cancel %s\n", argv[1]);
    GvJobTable_EarlyCancelKey(ARG(1), account, GV_STR(""), key);
    GvJobTable_PackEarlyCancel(account, GV_STR(""), caller);
    store(GV_PARTITION_ACCEPTED, OPT("part", 0), key,
          GvStr_N(caller->data, caller->len));
    g_byte_array_free(caller, TRUE);
}

/* job define|cancel|end|malformed ID [part=N]: stores a record of a job in a
   partition: its definition, its cancellation, its progress as ended, or a
   malformed definition. */
GV_VERB("job", job_verb)
{
    char key[GV_JOB_ID_BYTES + 2];
    msgpack_sbuffer sb;
    int what = INDEX(argv[1], "define", "cancel", "end", "malformed");
    gv_job_t *j = job_of(argv[2], what == 2);
    msgpack_sbuffer_init(&sb);
    g_snprintf(key, sizeof key, "%c%s", "JCPJ"[what], argv[2]);
    printf("job %s %s\n", argv[1], argv[2]);
    if (what == 2) {
        GvJobRecord_PackProgress(j, &sb);
    }
    else if (what == 3) {
        msgpack_sbuffer_write(&sb, "?", 1);
    }
    else {
        GvJobRecord_PackDefinition(j, &sb);
    }
    store(what == 2 ? GV_PARTITION_PROGRESS : GV_PARTITION_ACCEPTED,
          OPT("part", 0), key, GvStr_N(sb.data, sb.size));
    msgpack_sbuffer_destroy(&sb);
    GvJob_Free(j);
}

static GPtrArray *drops;

/* Collects a key that the pass drops. */
static void
drop(void *user, gv_partition_kind_t kind, int part, gv_str_t key)
{
    (void)user;
    gv_kept_t *k = g_new0(gv_kept_t, 1);
    *k = (gv_kept_t){.kind = kind, .part = part};
    g_snprintf(k->key, sizeof k->key, "%.*s", GV_STR_ARG(key));
    g_ptr_array_add(drops, k);
}

static int
compare_drops(gconstpointer a, gconstpointer b)
{
    const gv_kept_t *x = *(const gv_kept_t *const *)a;
    const gv_kept_t *y = *(const gv_kept_t *const *)b;
    int c = strcmp(x->key, y->key);
    return c != 0 ? c : x->part - y->part;
}

/* lose_drops 0|1: with 1, drops do not reach the store from now on. */
GV_VERB("lose_drops", lose_drops)
{
    drops_lost = NUM(1) != 0;
}

/* retire SECONDS [leader=0|1]: runs the removal pass at that time, prints the
   keys that it drops and deletes them from the store. */
GV_VERB("retire", retire)
{
    bool leads = OPT("leader", 1) != 0;
    drops = g_ptr_array_new_with_free_func(g_free);
    printf("retire %s%s\n", argv[1], leads ? "" : " not leading");
    (void)GvJobRetire_Run(table, KEEP_MS, (int64_t)NUM(1) * 1000,
                          leads ? drop : NULL, NULL);
    g_ptr_array_sort(drops, compare_drops);
    for (guint i = 0; i < drops->len; i++) {
        const gv_kept_t *k = g_ptr_array_index(drops, i);
        printf("  drop %s part=%d%s\n", k->key, k->part,
               drops_lost ? " lost" : "");
        if (!drops_lost) {
            store(k->kind, k->part, k->key, GV_STR(""));
        }
    }
    g_ptr_array_unref(drops);
}

/* restart: the host starts again and reads the newest record of each key. */
GV_VERB("restart", restart)
{
    GvJobTable_Free(table);
    table = GvJobTable_New();
    offset = 0;
    for (int i = 0; i < n_kept; i++) {
        if (kept[i].value != NULL) {
            apply(&kept[i], GvStr_N(kept[i].value->data, kept[i].value->len));
        }
    }
    printf("restart\n");
}

/* known ID: prints the state of a job in the host's table, and the numbers of
   jobs in the table and of keys in the store. */
GV_VERB("known", known)
{
    const gv_job_t *j = GvJobTable_Find(table, ARG(1));
    int n = 0;
    for (int i = 0; i < n_kept; i++) {
        n += kept[i].value != NULL ? 1 : 0;
    }
    printf("known %s: %s entries=%u stored=%d\n", argv[1],
           j == NULL ? "no job" : GvJob_StateName(GvJob_State(j)),
           g_hash_table_size(table->jobs), n);
}
