/* Example of a program that embeds libgypsumvalve. It runs a ticket once and
   checks that a repeat gets the stored answer, then takes the items of a queue
   in the order of their urgency. */
#include <stdio.h>

#include "gypsumvalve.h"

/* Submits one ticket twice to the at-most-once table. Returns 0 if the second
   submission gets the answer of the first. */
static int
run_ticket(void)
{
    gv_once_t *once = GvOnce_New(GV_STR("entry1"), 7);
    gv_ticket_t t;
    if (GvOnce_Issue(once, 1, 1000, 60000, &t) != GV_OK) {
        return 1;
    }
    char id[GV_TICKET_TEXT_BYTES];
    GvTicket_Format(&t, id, sizeof id);
    gv_once_result_t first = GvOnce_BeginTicket(once, &t, 1001, NULL);
    gv_answer_t a = {.outcome = GV_OUTCOME_RUN,
                     .status = 200,
                     .body = GvStr_Dup(GV_STR("planned"))};
    int n;
    void **waiters = GvOnce_Finish(once, GvStr_C(id), &a, 1002, &n);
    g_free(waiters);
    gv_once_result_t again = GvOnce_BeginTicket(once, &t, 1003, NULL);
    int bad = first.kind != GV_ONCE_START || again.kind != GV_ONCE_ANSWER;
    if (!bad) {
        printf("ticket %s ran once: %.*s\n", id,
               GV_STR_ARG(again.answer->body));
    }
    GvAnswer_Free(&a);
    GvOnce_Free(once);
    return bad;
}

/* Queues an ordinary and an urgent item. Returns 0 if the urgent one is taken
   first. */
static int
run_queue(void)
{
    gv_queue_policy_t *p =
        (gv_queue_policy_t *)GvRegistry_Find(GV_PLUGIN_QUEUE, GV_STR("fair"));
    gv_queue_opts_t o = {.max_requests = 10,
                         .urgent_share_percent = 50,
                         .long_share_percent = 50};
    gv_queue_load_t load = {.slots = 8, .mean_run_ms = 10};
    gv_queue_item_t ordinary = {.run_ms = 10, .deadline_ms = 5000};
    gv_queue_item_t urgent = {
        .run_ms = 10, .deadline_ms = 5000, .urgent = true};
    gv_queue_t *q = p->create(&o);
    p->push(q, &ordinary, 0, &load);
    p->push(q, &urgent, 1, &load);
    int bad = p->pop(q, 2, &load) != &urgent;
    bad += p->pop(q, 2, &load) != &ordinary;
    p->destroy(q);
    return bad;
}

int
main(void)
{
    int bad = run_ticket() + run_queue();
    printf("%s\n", bad ? "embedding example failed" : "ok");
    return bad ? 1 : 0;
}
