#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "limits.h"
#include "once.h"
#include "script.h"

/* Verbs for the table of requests that must run at most once. */

static gv_once_t *once;

static const char *const kinds[] = {"start",   "wait", "answer", "expired",
                                    "unknown", "full", "invalid"};

/* Ends a line of output. Flushes it, because proc_once_state.py waits for the
   output of each verb. */
static void
end_line(void)
{
    printf("\n");
    fflush(stdout);
}

/* once NAME INCARNATION: replaces the table with an empty one of this entry
   host. Times of all verbs are in ms. */
GV_VERB("once", verb_once)
{
    GvOnce_Free(once);
    once = GvOnce_New(GvStr_C(argv[1]), strtoull(argv[2], NULL, 10));
}

/* once-issue SEQUENCE NOW TTL: issues a ticket and prints it. */
GV_VERB("once-issue", verb_issue)
{
    gv_ticket_t t;
    char text[GV_TICKET_TEXT_BYTES];
    int err = GvOnce_Issue(once, strtoull(argv[1], NULL, 10), atoll(argv[2]),
                           atoll(argv[3]), &t);
    if (err == GV_OK) {
        GvTicket_Format(&t, text, sizeof text);
    }
    printf("%s", err == GV_OK ? text : Gv_StrError(err));
    end_line();
}

/* once-fill COUNT NOW TTL: issues up to COUNT tickets, until the table is
   full. */
GV_VERB("once-fill", verb_fill)
{
    gv_ticket_t t;
    int n = 0;
    while (n < atoi(argv[1]) &&
           GvOnce_Issue(once, 1000 + (uint64_t)n, atoll(argv[2]),
                        atoll(argv[3]), &t) == GV_OK) {
        n++;
    }
    printf("issued %d, %d entries", n, GvOnce_Count(once));
    end_line();
}

/* Prints whether the request may start or is a repeat, and its answer. */
static void
print_result(gv_once_result_t r)
{
    printf("%s", kinds[r.kind]);
    if (r.answer != NULL) {
        gv_str_t o = GvOutcome_Name(r.answer->outcome);
        printf(" %.*s %d, %zu bytes", GV_STR_ARG(o), r.answer->status,
               r.answer->body.n);
    }
    end_line();
}

/* once-ticket TICKET NOW WAITER: begins a request that carries a ticket; the
   number WAITER identifies it. */
GV_VERB("once-ticket", verb_ticket)
{
    gv_ticket_t t;
    if (GvTicket_Parse(GvStr_C(argv[1]), &t) != GV_OK) {
        printf("malformed");
        end_line();
        return;
    }
    print_result(GvOnce_BeginTicket(once, &t, atoll(argv[2]),
                                    GINT_TO_POINTER(atoi(argv[3]))));
}

/* once-key ID EXPIRES NOW WAITER: begins a request that carries an idempotency
   key. */
GV_VERB("once-key", verb_key)
{
    print_result(GvOnce_BeginKey(once, GvStr_C(argv[1]), atoll(argv[2]),
                                 atoll(argv[3]),
                                 GINT_TO_POINTER(atoi(argv[4]))));
}

/* once-finish ID OUTCOME STATUS BODY-BYTES NOW: records the answer and prints
   the waiters that receive it. */
GV_VERB("once-finish", verb_finish)
{
    int n;
    gv_answer_t a = {.status = atoi(argv[3])};
    if (GvOutcome_Parse(GvStr_C(argv[2]), &a.outcome) != GV_OK) {
        printf("unknown outcome\n");
        return;
    }
    char *body = g_strnfill((gsize)atoi(argv[4]), 'x');
    a.body = GvStr_C(body);
    void **w = GvOnce_Finish(once, GvStr_C(argv[1]), &a, atoll(argv[5]), &n);
    printf("%d waiters:", n);
    for (int i = 0; i < n; i++) {
        printf(" %d", GPOINTER_TO_INT(w[i]));
    }
    end_line();
    g_free(w);
    g_free(body);
}

/* once-leave ID WAITER: removes a waiter. */
GV_VERB("once-leave", verb_leave)
{
    printf("%s", GvOnce_RemoveWaiter(once, GvStr_C(argv[1]),
                                     GINT_TO_POINTER(atoi(argv[2]))) >= 0
                     ? "left"
                     : "was not waiting");
    end_line();
}

/* once-sweep NOW: removes outdated entries. */
GV_VERB("once-sweep", verb_sweep)
{
    int n = GvOnce_Sweep(once, atoll(argv[1]));
    printf("removed %d, %d entries", n, GvOnce_Count(once));
    end_line();
}
