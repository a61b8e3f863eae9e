#include <string.h>

#include "evlog.h"
#include "limits.h"
#include "sched_private.h"

/* Queues whose policy allows only some targets: the advice service is asked
   for a step before its tasks are placed, and gives a ticket for each target
   that may run it. */

typedef struct {
    bool open;       /* a question waits for its answer */
    int64_t next_ms; /* of the next question */
    int64_t valid_until_ms;
    GHashTable *asked;   /* interned target -> itself */
    GHashTable *tickets; /* interned target -> ticket */
} gv_advice_t;

static void
free_advice(gpointer p)
{
    gv_advice_t *a = p;
    g_hash_table_destroy(a->asked);
    g_hash_table_destroy(a->tickets);
    g_free(a);
}

/* Returns a table for the advice of each step, by its name. */
GHashTable *
GvSched_NewAdvice(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_advice);
}

/* Writes the name of a step, ID.K.STEP. */
static void
step_name(const gv_job_t *job, int task, char *out, size_t n)
{
    gv_task_place_t at = GvJob_PlaceOf(job, task);
    g_snprintf(out, (gulong)n, "%.*s.%d.%d", GV_STR_ARG(job->id),
               at.occurrence, at.step);
}

/* Returns the ticket with which the step of a task may start on a target, or
   NULL without one that is valid. */
const char *
GvSched_FindTicket(const gv_sched_t *s, const gv_job_t *job, int task,
                   const char *target, int64_t now_ms)
{
    char name[GV_TASK_NAME_BYTES];
    step_name(job, task, name, sizeof name);
    const gv_advice_t *a = g_hash_table_lookup(s->advice, name);
    if (a == NULL || now_ms >= a->valid_until_ms) {
        return NULL;
    }
    return g_hash_table_lookup(a->tickets, target);
}

/* Forgets a ticket that a target has not accepted. */
void
GvSched_DropTicket(gv_sched_t *s, const gv_job_t *job, int task,
                   const char *target)
{
    char name[GV_TASK_NAME_BYTES];
    step_name(job, task, name, sizeof name);
    gv_advice_t *a = g_hash_table_lookup(s->advice, name);
    if (a != NULL) {
        g_hash_table_remove(a->tickets, target);
        g_hash_table_remove(a->asked, target);
    }
}

/* Chooses whom to ask about: targets of the service that were not asked yet,
   those with most room first in the order of the table. */
static int
choose_targets(const gv_sched_t *s, const gv_advice_t *a, gv_str_t service,
               const char **out)
{
    GHashTableIter it;
    gpointer value;
    int n = 0;
    g_hash_table_iter_init(&it, s->targets);
    while (n < GV_ADVICE_TARGETS &&
           g_hash_table_iter_next(&it, NULL, &value)) {
        const gv_sched_target_t *tgt = value;
        if (tgt->listed && !tgt->info.draining && !tgt->reserved &&
            GvStr_Equal(tgt->info.service, service) &&
            !g_hash_table_contains(a->asked, tgt->id)) {
            out[n++] = tgt->id;
        }
    }
    return n;
}

/* Asks about the step of a task, unless a question is open or was asked just
   now. When every target was asked, the round begins anew. */
void
GvSched_RequestAdvice(gv_sched_t *s, const gv_job_t *job, int task,
                      gv_str_t service, int64_t now_ms)
{
    char name[GV_TASK_NAME_BYTES];
    const char *targets[GV_ADVICE_TARGETS];
    step_name(job, task, name, sizeof name);
    gv_advice_t *a = g_hash_table_lookup(s->advice, name);
    if (a == NULL) {
        a = g_new0(gv_advice_t, 1);
        a->asked = g_hash_table_new(g_str_hash, g_str_equal);
        a->tickets =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
        g_hash_table_insert(s->advice, g_strdup(name), a);
    }
    if (a->open || now_ms < a->next_ms ||
        s->advice_open >= GV_ADVICE_OPEN_MAX || s->o.ops.advise == NULL) {
        return;
    }
    if (now_ms >= a->valid_until_ms && g_hash_table_size(a->tickets) > 0) {
        g_hash_table_remove_all(a->tickets);
        g_hash_table_remove_all(a->asked);
    }
    int n = choose_targets(s, a, service, targets);
    if (n == 0) {
        g_hash_table_remove_all(a->asked);
        a->next_ms = now_ms + GV_ADVICE_RETRY_MS;
        return;
    }
    for (int i = 0; i < n; i++) {
        g_hash_table_add(a->asked, (gpointer)targets[i]);
    }
    a->open = true;
    s->advice_open++;
    GvEvlog_Write("advice", "step=%s asked=%d", name, n);
    gv_advice_order_t o = {.step = name, .targets = targets, .n_targets = n};
    s->o.ops.advise(s->o.ops.user, &o);
}

/* Takes the answer about a step; ok false: there is none. */
void
GvSched_HandleAdvice(gv_sched_t *s, const char *step, bool ok,
                     const gv_ticket_row_t *rows, int n, int valid_ms,
                     int64_t now_ms)
{
    s->advice_open = MAX(s->advice_open - 1, 0);
    gv_advice_t *a = g_hash_table_lookup(s->advice, step);
    if (a == NULL) {
        return;
    }
    a->open = false;
    GvEvlog_Write("advice", "step=%s ok=%d allowed=%d valid_ms=%d", step, ok,
                  n, valid_ms);
    if (!ok) {
        g_hash_table_remove_all(a->asked);
        a->next_ms = now_ms + GV_ADVICE_RETRY_MS;
        return;
    }
    for (int i = 0; i < n; i++) {
        char *id = g_strndup(rows[i].target.p, rows[i].target.n);
        g_hash_table_replace(a->tickets, (gpointer)g_intern_string(id),
                             g_strndup(rows[i].ticket.p, rows[i].ticket.n));
        g_free(id);
    }
    if (n > 0) {
        int64_t until = now_ms + valid_ms - GV_ADVICE_MARGIN_MS;
        /* The tickets of one step are kept as if all were the oldest. */
        a->valid_until_ms =
            a->valid_until_ms > now_ms ? MIN(a->valid_until_ms, until) : until;
    }
    s->place_due = true;
}

/* Forgets the advice for a job that has ended. */
void
GvSched_ForgetAdvice(gv_sched_t *s, const gv_job_t *job)
{
    for (int k = 0; k < job->occurrences; k++) {
        for (int i = 0; i < job->n_steps; i++) {
            char name[GV_TASK_NAME_BYTES];
            g_snprintf(name, sizeof name, "%.*s.%d.%d", GV_STR_ARG(job->id), k,
                       i);
            g_hash_table_remove(s->advice, name);
        }
    }
}
