#include <string.h>

#include "evlog.h"
#include "limits.h"
#include "sched_private.h"

/* Advice for queues whose policy allows only some targets: before the tasks of
   a step are placed, the advice service is asked which targets may run it. It
   returns a ticket for each, with which tasks of the step may start there. */

/* The advice for one step. */
typedef struct {
    bool request_pending;    /* a request has no answer yet */
    int64_t next_request_ms; /* no request is sent before */
    int64_t valid_until_ms;  /* of all tickets */
    GHashTable *asked;       /* set of interned targets asked about */
    GHashTable *tickets;     /* interned target -> ticket */
} gv_advice_t;

static void
free_advice(gpointer p)
{
    gv_advice_t *a = p;
    g_hash_table_destroy(a->asked);
    g_hash_table_destroy(a->tickets);
    g_free(a);
}

/* Returns a table for the advice of each step, by the step's full name. */
GHashTable *
GvSched_NewAdvice(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_advice);
}

/* Writes the full name of a task's step, ID.K.STEP. */
static void
step_name(const gv_job_t *job, int task, char *out, size_t n)
{
    gv_task_place_t at = GvJob_PlaceOf(job, task);
    g_snprintf(out, (gulong)n, "%.*s.%d.%d", GV_STR_ARG(job->id),
               at.occurrence, at.step);
}

/* Returns the ticket with which a task may start on a target, or NULL if there
   is no valid one. */
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

/* Drops a ticket that a target did not accept; the target may be asked about
   again. */
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

/* Chooses targets to ask about: up to GV_ADVICE_TARGETS of those that serve
   the service, may get new tasks and were not asked about in this round, in
   the order in which they were added. Returns their number. */
static int
choose_targets(const gv_sched_service_t *service, const gv_advice_t *a,
               const char **out)
{
    int n = 0;
    for (guint i = 0; i < service->targets->len && n < GV_ADVICE_TARGETS;
         i++) {
        const gv_sched_target_t *tgt = g_ptr_array_index(service->targets, i);
        if (GvSched_HasAnswered(tgt) && !tgt->info.draining &&
            !tgt->reserved && !g_hash_table_contains(a->asked, tgt->id)) {
            out[n++] = tgt->id;
        }
    }
    return n;
}

/* Requests advice for the step of a task, unless a request is pending, too
   many are, or it is too early for the next one. Once every target was asked
   about, a new round begins after GV_ADVICE_RETRY_MS. */
void
GvSched_RequestAdvice(gv_sched_t *s, const gv_active_job_t *active, int task,
                      int64_t now_ms)
{
    char name[GV_TASK_NAME_BYTES];
    const char *targets[GV_ADVICE_TARGETS];
    step_name(active->job, task, name, sizeof name);
    gv_advice_t *a = g_hash_table_lookup(s->advice, name);
    if (a == NULL) {
        a = g_new0(gv_advice_t, 1);
        a->asked = g_hash_table_new(g_str_hash, g_str_equal);
        a->tickets =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
        g_hash_table_insert(s->advice, g_strdup(name), a);
    }
    if (a->request_pending || now_ms < a->next_request_ms ||
        s->n_advice_pending >= GV_ADVICE_OPEN_MAX || s->o.ops.advise == NULL) {
        return;
    }
    if (now_ms >= a->valid_until_ms && g_hash_table_size(a->tickets) > 0) {
        g_hash_table_remove_all(a->tickets);
        g_hash_table_remove_all(a->asked);
    }
    int n = choose_targets(active->service, a, targets);
    if (n == 0) {
        g_hash_table_remove_all(a->asked);
        a->next_request_ms = now_ms + GV_ADVICE_RETRY_MS;
        return;
    }
    for (int i = 0; i < n; i++) {
        g_hash_table_add(a->asked, (gpointer)targets[i]);
    }
    a->request_pending = true;
    s->n_advice_pending++;
    GvEvlog_Write("advice", "step=%s asked=%d", name, n);
    gv_advice_order_t o = {.step = name, .targets = targets, .n_targets = n};
    s->o.ops.advise(s->o.ops.user, &o);
}

/* Handles the answer to a request for advice on a step: a ticket for each
   target that may run it, valid for valid_ms. If ok is false there was no
   valid answer, and the request is repeated after GV_ADVICE_RETRY_MS. */
void
GvSched_HandleAdvice(gv_sched_t *s, const char *step, bool ok,
                     const gv_ticket_row_t *rows, int n, int valid_ms,
                     int64_t now_ms)
{
    s->n_advice_pending = MAX(s->n_advice_pending - 1, 0);
    gv_advice_t *a = g_hash_table_lookup(s->advice, step);
    if (a == NULL) {
        return;
    }
    a->request_pending = false;
    GvEvlog_Write("advice", "step=%s ok=%d allowed=%d valid_ms=%d", step, ok,
                  n, valid_ms);
    if (!ok) {
        g_hash_table_remove_all(a->asked);
        a->next_request_ms = now_ms + GV_ADVICE_RETRY_MS;
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
        /* All tickets of a step expire with the oldest one. */
        a->valid_until_ms =
            a->valid_until_ms > now_ms ? MIN(a->valid_until_ms, until) : until;
    }
    GvSched_PlaceAllSoon(s);
}

/* Drops the advice for all steps of a job that has ended. */
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
