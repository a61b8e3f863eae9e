#include "counter.h"

static gv_counter_t *counters;

/* Adds c to the list that GvCounter_Render walks. Called before main, so
   without a lock. */
void
GvCounter_Register(gv_counter_t *c)
{
    gv_counter_t **at = &counters;
    while (*at != NULL && g_strcmp0((*at)->name, c->name) < 0) {
        at = &(*at)->next;
    }
    c->next = *at;
    *at = c;
}

/* Adds n to the counter. */
void
GvCounter_Add(gv_counter_t *c, int64_t n)
{
    atomic_fetch_add_explicit(&c->value, n, memory_order_relaxed);
}

/* Sets the gauge to n. */
void
GvCounter_Set(gv_counter_t *c, int64_t n)
{
    atomic_store_explicit(&c->value, n, memory_order_relaxed);
}

/* Returns the present value. */
int64_t
GvCounter_Get(gv_counter_t *c)
{
    return atomic_load_explicit(&c->value, memory_order_relaxed);
}

/* Appends all counters in the Prometheus text format, sorted by name. */
void
GvCounter_Render(GString *out)
{
    for (gv_counter_t *c = counters; c != NULL; c = c->next) {
        g_string_append_printf(out,
                               "# HELP gypsumvalve_%s %s\n"
                               "# TYPE gypsumvalve_%s %s\n"
                               "gypsumvalve_%s %" G_GINT64_FORMAT "\n",
                               c->name, c->help, c->name, c->type, c->name,
                               (gint64)GvCounter_Get(c));
    }
}
