#include "sim_private.h"

/* Returns true if event a comes before b. */
static bool
before(const gv_sim_event_t *a, const gv_sim_event_t *b)
{
    return a->time_ms < b->time_ms ||
           (a->time_ms == b->time_ms && a->order < b->order);
}

/* Adds an event to the binary heap. */
void
GvSim_Schedule(gv_sim_t *s, double time_ms, gv_sim_event_kind_t kind,
               gv_sim_req_t *req)
{
    gv_sim_event_t e = {time_ms, kind, s->order++, req};
    g_array_append_val(s->heap, e);
    gv_sim_event_t *h = (gv_sim_event_t *)(void *)s->heap->data;
    guint i = s->heap->len - 1;
    while (i > 0 && before(&e, &h[(i - 1) / 2])) {
        h[i] = h[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    h[i] = e;
}

/* Removes and returns the earliest event; the heap must not be empty. */
gv_sim_event_t
GvSim_NextEvent(gv_sim_t *s)
{
    gv_sim_event_t *h = (gv_sim_event_t *)(void *)s->heap->data;
    gv_sim_event_t top = h[0];
    guint n = s->heap->len - 1;
    gv_sim_event_t last = h[n];
    g_array_set_size(s->heap, n);
    guint i = 0;
    for (;;) {
        guint c = 2 * i + 1;
        if (c >= n) {
            break;
        }
        if (c + 1 < n && before(&h[c + 1], &h[c])) {
            c++;
        }
        if (!before(&h[c], &last)) {
            break;
        }
        h[i] = h[c];
        i = c;
    }
    if (n > 0) {
        h[i] = last;
    }
    return top;
}
