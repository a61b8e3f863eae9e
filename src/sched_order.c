#include "limits.h"
#include "sched_private.h"

/* The order in which a pass of placement takes the steps that may start.
   Accounts share a full service by weight: among steps of one priority, work
   of an account that uses less than its share goes first. */

/* Orders long-running jobs before others, then by priority. */
static int
compare_class(const gv_ready_step_t *a, const gv_ready_step_t *b)
{
    if (a->active->long_running != b->active->long_running) {
        return a->active->long_running ? -1 : 1;
    }
    if (a->priority != b->priority) {
        return a->priority < b->priority ? -1 : 1;
    }
    return 0;
}

/* Orders by class, then steps whose job can still meet its objective before
   late ones, then by deadline, or by the latest start where run times are
   learned. */
static int
compare_ready(gconstpointer pa, gconstpointer pb)
{
    const gv_ready_step_t *a = pa;
    const gv_ready_step_t *b = pb;
    int order = compare_class(a, b);
    if (order != 0) {
        return order;
    }
    if (a->late != b->late) {
        return a->late ? 1 : -1;
    }
    if (a->order_ms != b->order_ms) {
        return a->order_ms < b->order_ms ? -1 : 1;
    }
    return GvStr_Compare(a->active->job->id, b->active->job->id);
}

/* Marks an account as one that shares the service in this pass. */
static void
add_sharer(gv_order_t *o, gv_sched_account_t *acc)
{
    if (acc != NULL && !acc->is_sharer) {
        acc->is_sharer = true;
        o->weights += (double)MAX(acc->weight, 1);
    }
}

/* Counts what each account uses of the service, and which accounts share it:
   those with runs or ready work there. */
static void
measure_use(gv_order_t *o, const gv_sched_service_t *sv)
{
    for (guint i = 0; i < sv->targets->len; i++) {
        const gv_sched_target_t *tgt = g_ptr_array_index(sv->targets, i);
        if (GvSched_HasAnswered(tgt) && !tgt->info.draining) {
            GvResources_Add(&o->room, tgt->info.room);
        }
        for (guint k = 0; k < tgt->runs->len; k++) {
            const gv_run_t *run = g_ptr_array_index(tgt->runs, k);
            gv_sched_account_t *acc = run->active->account;
            if (acc != NULL) {
                const gv_step_t *step =
                    GvJob_StepOf(run->active->job, run->task);
                GvResources_Add(&acc->used_here, step->need);
                add_sharer(o, acc);
            }
        }
    }
    for (guint i = 0; i < o->ready->len; i++) {
        add_sharer(
            o, g_array_index(o->ready, gv_ready_step_t, i).active->account);
    }
}

/* Returns the part of the room of a service that is used, of the resource that
   is used most. */
static double
used_part(const gv_resources_t *used, const gv_resources_t *room)
{
    double cpu = (double)used->cpu / (double)MAX(room->cpu, 1);
    double memory = (double)used->memory / (double)MAX(room->memory, 1);
    double gpu = room->gpu > 0 ? (double)used->gpu / (double)room->gpu : 0;
    return MAX(MAX(cpu, memory), gpu);
}

/* Returns how many times an account uses its share of the service in this
   pass, rounded down: 0 within its share. Equal from GV_SCHED_SHARE_LEVELS
   on. */
int
GvSched_ShareLevel(const gv_sched_account_t *acc)
{
    if (acc == NULL || acc->share <= 0) {
        return 0;
    }
    double times = used_part(&acc->used_here, &acc->room_here) / acc->share;
    return (int)MIN(times, GV_SCHED_SHARE_LEVELS);
}

/* Sets the share of each account, and lists the steps of each in the present
   order. Steps without an account form one more list. */
static void
begin_sharing(gv_order_t *o, gv_sched_t *s)
{
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, s->accounts);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        gv_sched_account_t *acc = value;
        acc->head = -1;
        acc->room_here = o->room;
        acc->share =
            acc->is_sharer ? (double)MAX(acc->weight, 1) / o->weights : 0;
    }
    o->head = -1;
    o->accounts = g_ptr_array_new();
    o->following = g_new(int, MAX(o->ready->len, 1));
    for (int i = (int)o->ready->len - 1; i >= 0; i--) {
        gv_sched_account_t *acc =
            g_array_index(o->ready, gv_ready_step_t, i).active->account;
        int *head = acc == NULL ? &o->head : &acc->head;
        if (acc != NULL && *head < 0) {
            g_ptr_array_add(o->accounts, acc);
        }
        o->following[i] = *head;
        *head = i;
    }
}

/* Sorts the steps of a pass. Without accounts in the settings they are taken
   in the order of compare_ready. */
void
GvSched_BeginOrder(gv_order_t *o, gv_sched_t *s, const gv_sched_service_t *sv,
                   GArray *ready)
{
    GHashTableIter it;
    gpointer value;
    *o = (gv_order_t){.ready = ready, .shared = s->n_accounts > 0};
    g_array_sort(ready, compare_ready);
    g_hash_table_iter_init(&it, s->accounts);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        gv_sched_account_t *acc = value;
        acc->is_sharer = false;
        acc->share = 0;
        acc->used_here = (gv_resources_t){0};
    }
    if (o->shared) {
        measure_use(o, sv);
        begin_sharing(o, s);
    }
}

void
GvSched_EndOrder(gv_order_t *o)
{
    if (o->shared) {
        g_ptr_array_free(o->accounts, TRUE);
        g_free(o->following);
    }
}

/* Returns true if step i of account a goes before step k of account b: by
   class, then by how far each is beyond its share, then as sorted. */
static bool
goes_before(const gv_order_t *o, int i, const gv_sched_account_t *a, int k,
            const gv_sched_account_t *b)
{
    int order = compare_class(&g_array_index(o->ready, gv_ready_step_t, i),
                              &g_array_index(o->ready, gv_ready_step_t, k));
    if (order == 0) {
        order = GvSched_ShareLevel(a) - GvSched_ShareLevel(b);
    }
    return order == 0 ? i < k : order < 0;
}

/* Returns the step to be placed next, or NULL at the end of the pass. It stays
   the first one of its account until GvSched_PassStep. */
const gv_ready_step_t *
GvSched_NextStep(gv_order_t *o)
{
    if (!o->shared) {
        return o->next < (int)o->ready->len
                   ? &g_array_index(o->ready, gv_ready_step_t, o->next)
                   : NULL;
    }
    int best = o->head;
    const gv_sched_account_t *best_account = NULL;
    for (guint i = 0; i < o->accounts->len; i++) {
        const gv_sched_account_t *acc = g_ptr_array_index(o->accounts, i);
        if (acc->head >= 0 &&
            (best < 0 || goes_before(o, acc->head, acc, best, best_account))) {
            best = acc->head;
            best_account = acc;
        }
    }
    o->next = best;
    return best < 0 ? NULL : &g_array_index(o->ready, gv_ready_step_t, best);
}

/* The step that GvSched_NextStep returned is done with in this pass. */
void
GvSched_PassStep(gv_order_t *o)
{
    if (!o->shared) {
        o->next++;
        return;
    }
    gv_sched_account_t *acc =
        g_array_index(o->ready, gv_ready_step_t, o->next).active->account;
    *(acc == NULL ? &o->head : &acc->head) = o->following[o->next];
}
