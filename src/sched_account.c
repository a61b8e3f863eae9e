#include <string.h>

#include "counter.h"
#include "evlog.h"
#include "limits.h"
#include "sched_private.h"

/* Client accounts: what their tasks use and may use. */

GV_COUNTER(held_by_limit, "account_tasks_held_by_limit_total",
           "Tasks held back because their account is at its limit, once for "
           "each pass of placement.");
GV_COUNTER(held_by_share, "account_tasks_held_by_share_total",
           "Tasks of accounts beyond their share that found no target, once "
           "for each pass of placement.");

static void
free_account(gpointer p)
{
    gv_sched_account_t *acc = p;
    GvStr_Free(&acc->name);
    g_ptr_array_free(acc->held_services, TRUE);
    g_free(acc);
}

GHashTable *
GvSched_NewAccounts(void)
{
    return g_hash_table_new_full(GvStr_HashKey, GvStr_EqualKeys, NULL,
                                 free_account);
}

/* Returns the account of that name, which is added if it is new. */
static gv_sched_account_t *
find_or_add(gv_sched_t *s, gv_str_t name)
{
    gv_sched_account_t *acc = g_hash_table_lookup(s->accounts, &name);
    if (acc == NULL) {
        acc = g_new0(gv_sched_account_t, 1);
        acc->name = GvStr_Dup(name);
        acc->held_services = g_ptr_array_new();
        g_hash_table_insert(s->accounts, &acc->name, acc);
    }
    return acc;
}

/* Returns true if one resource has a lower limit than before. */
static bool
is_lower(gv_resources_t limit, gv_resources_t former)
{
    return (limit.cpu != 0 && (former.cpu == 0 || limit.cpu < former.cpu)) ||
           (limit.memory != 0 &&
            (former.memory == 0 || limit.memory < former.memory)) ||
           (limit.gpu != 0 && (former.gpu == 0 || limit.gpu < former.gpu));
}

/* Replaces the accounts of the settings in force. An account that they no
   longer have keeps its jobs: these run without a limit and with the least
   weight. A lower limit stops no run, but holds back starts that were placed
   under the former one and are not sent yet. */
void
GvSched_SetAccounts(gv_sched_t *s, const gv_account_info_t *accounts, int n,
                    int64_t now_ms)
{
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, s->accounts);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        gv_sched_account_t *acc = value;
        acc->weight = 0;
        acc->former_limit = acc->limit;
        acc->limit = (gv_resources_t){0};
    }
    for (int i = 0; i < n; i++) {
        gv_sched_account_t *acc = find_or_add(s, accounts[i].name);
        acc->weight = accounts[i].weight;
        acc->limit = accounts[i].limit;
        if (is_lower(acc->limit, acc->former_limit)) {
            acc->lowered_ms = now_ms;
        }
    }
    s->accounts_known = true;
    s->n_accounts = n;
    GvSched_PlaceAllSoon(s);
}

/* Finds the account of a new job; before its recorded runs are added. */
void
GvSched_AssignAccount(gv_sched_t *s, gv_active_job_t *a)
{
    if (a->job->account.n > 0) {
        a->account = find_or_add(s, a->job->account);
    }
}

/* Counts a run that is live or may become so for its account, with all that
   its task declares: a task that uses leftover cpu may use as much. */
void
GvSched_ChargeAccount(const gv_run_t *r)
{
    gv_sched_account_t *acc = r->active->account;
    if (acc != NULL) {
        gv_resources_t need = GvJob_StepOf(r->active->job, r->task)->need;
        GvResources_Add(&acc->used, need);
        GvResources_Add(&acc->used_here, need);
    }
}

/* Undoes GvSched_ChargeAccount for a run that was not placed after all. */
void
GvSched_UnchargeAccount(const gv_run_t *r)
{
    gv_sched_account_t *acc = r->active->account;
    if (acc != NULL) {
        gv_resources_t need = GvJob_StepOf(r->active->job, r->task)->need;
        GvResources_Subtract(&acc->used, need);
        GvResources_Subtract(&acc->used_here, need);
    }
}

/* Undoes GvSched_ChargeAccount once the run is certainly not live; tasks of
   the account that its limit has held back may start then. */
void
GvSched_CreditAccount(const gv_run_t *r)
{
    gv_sched_account_t *acc = r->active->account;
    if (acc == NULL) {
        return;
    }
    GvSched_UnchargeAccount(r);
    for (guint i = 0; i < acc->held_services->len; i++) {
        GvSched_PlaceSoon(g_ptr_array_index(acc->held_services, i));
    }
    g_ptr_array_set_size(acc->held_services, 0);
}

/* Returns true if one resource may rise from used by n times each. Up to half
   of the limit, the last of these may exceed it: a task that needs more than
   half the limit, or more than all of it, would else wait for ever beside
   smaller ones. */
static bool
fits_limit(int64_t used, int64_t each, int n, int64_t limit)
{
    if (limit == 0 || each == 0) {
        return true;
    }
    int64_t but_last = used + each * (n - 1);
    return but_last + each <= limit ||
           (but_last <= limit && used <= limit / 2);
}

/* Returns true if n more tasks of the step may start beside what the account
   uses and what is to be counted in addition. */
static bool
is_within_limit(const gv_sched_t *s, const gv_sched_account_t *acc,
                gv_resources_t used, const gv_step_t *step, int n)
{
    const gv_resources_t *each = &step->need;
    return acc == NULL ||
           (s->accounts_known &&
            fits_limit(used.cpu, each->cpu, n, acc->limit.cpu) &&
            fits_limit(used.memory, each->memory, n, acc->limit.memory) &&
            fits_limit(used.gpu, each->gpu, n, acc->limit.gpu));
}

/* Returns true if the limit of a job's account lets n more tasks of the step
   start; without knowing the accounts of the settings, none. */
bool
GvSched_AccountAllows(const gv_sched_t *s, const gv_active_job_t *a,
                      const gv_step_t *step, int n)
{
    const gv_sched_account_t *acc = a->account;
    return acc == NULL || is_within_limit(s, acc, acc->used, step, n);
}

/* Returns true if the account's limit was lowered since the placement of a run
   and the account is now at its limit without it. */
bool
GvSched_IsOverLowered(const gv_run_t *r)
{
    const gv_sched_account_t *acc = r->active->account;
    if (acc == NULL || acc->lowered_ms == 0 ||
        r->placed_ms > acc->lowered_ms) {
        return false;
    }
    gv_resources_t need = GvJob_StepOf(r->active->job, r->task)->need;
    gv_resources_t others = acc->used;
    GvResources_Subtract(&others, need);
    return !fits_limit(others.cpu, need.cpu, 1, acc->limit.cpu) ||
           !fits_limit(others.memory, need.memory, 1, acc->limit.memory) ||
           !fits_limit(others.gpu, need.gpu, 1, acc->limit.gpu);
}

/* Begins to count what accounts want within their limits. */
void
GvSched_ResetWanted(gv_sched_t *s)
{
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, s->accounts);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        gv_sched_account_t *acc = value;
        acc->wanted = acc->used;
    }
}

/* Returns true if n more tasks of the step are within the limit of the job's
   account, beside those that were counted as wanted before, and counts
   them. */
bool
GvSched_AddWanted(gv_sched_t *s, gv_active_job_t *a, const gv_step_t *step,
                  int n)
{
    gv_sched_account_t *acc = a->account;
    if (acc == NULL) {
        return true;
    }
    if (!is_within_limit(s, acc, acc->wanted, step, n)) {
        return false;
    }
    for (int i = 0; i < n; i++) {
        GvResources_Add(&acc->wanted, step->need);
    }
    return true;
}

/* Returns how many tasks of the step wait. */
static int
count_waiting(const gv_ready_step_t *r)
{
    int n = 0;
    for (int i = 0; i < r->step->count; i++) {
        n += r->active->job->tasks[r->first + i].state == GV_TASK_WAITING ? 1
                                                                          : 0;
    }
    return n;
}

/* Notes that only the limit of their account keeps the waiting tasks of a step
   from being placed in this pass. */
void
GvSched_NoteHeld(const gv_ready_step_t *r)
{
    gv_sched_account_t *acc = r->active->account;
    gv_sched_service_t *sv = r->active->service;
    int n = count_waiting(r);
    acc->n_over_limit += n;
    GvCounter_Add(&held_by_limit, n);
    if (!g_ptr_array_find(acc->held_services, sv, NULL)) {
        g_ptr_array_add(acc->held_services, sv);
    }
    r->active->no_room_since_ms = 0;
}

/* Notes that the waiting tasks of a step found no target in this pass. */
void
GvSched_NoteUnplaced(const gv_ready_step_t *r)
{
    gv_sched_account_t *acc = r->active->account;
    if (acc != NULL && GvSched_ShareLevel(acc) > 0) {
        int n = count_waiting(r);
        acc->n_over_share += n;
        GvCounter_Add(&held_by_share, n);
    }
}

/* Logs the accounts whose tasks this pass has held back, each at most every
   GV_SCHED_ACCOUNT_LOG_MS. */
void
GvSched_LogAccounts(gv_sched_t *s, const gv_sched_service_t *sv,
                    int64_t now_ms)
{
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, s->accounts);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        gv_sched_account_t *acc = value;
        if (acc->n_over_limit + acc->n_over_share > 0 &&
            (acc->logged_ms == 0 ||
             now_ms - acc->logged_ms >= GV_SCHED_ACCOUNT_LOG_MS)) {
            acc->logged_ms = now_ms;
            GvEvlog_WriteKind(
                GV_EVLOG_RARE, "account",
                "account=%.*s service=%.*s over_limit=%d over_share=%d "
                "level=%d weight=%lld cpu=%lld memory=%lld gpu=%lld "
                "limit_cpu=%lld limit_memory=%lld limit_gpu=%lld",
                GV_STR_ARG(acc->name), GV_STR_ARG(sv->name), acc->n_over_limit,
                acc->n_over_share, GvSched_ShareLevel(acc),
                (long long)acc->weight, (long long)acc->used.cpu,
                (long long)acc->used.memory, (long long)acc->used.gpu,
                (long long)acc->limit.cpu, (long long)acc->limit.memory,
                (long long)acc->limit.gpu);
        }
        acc->n_over_limit = 0;
        acc->n_over_share = 0;
    }
}
