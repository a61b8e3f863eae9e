#include "counter.h"

static gv_counter_t *counters;
static gv_histogram_t *histograms;

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

/* Adds h to the list that GvCounter_Render walks. Called before main, so
   without a lock. */
void
GvHistogram_Register(gv_histogram_t *h)
{
    gv_histogram_t **at = &histograms;
    while (*at != NULL && g_strcmp0((*at)->name, h->name) < 0) {
        at = &(*at)->next;
    }
    h->next = *at;
    *at = h;
}

/* Counts a duration; one below zero, of a clock that went back, counts as
   none. */
void
GvHistogram_Observe(gv_histogram_t *h, int64_t ms)
{
    int64_t took = MAX(ms, 0);
    for (int i = 0; i < GV_HISTOGRAM_BUCKETS; i++) {
        if (took <= INT64_C(1) << i) {
            atomic_fetch_add_explicit(&h->buckets[i], 1, memory_order_relaxed);
            break;
        }
    }
    atomic_fetch_add_explicit(&h->count, 1, memory_order_relaxed);
    atomic_fetch_add_explicit(&h->sum_ms, took, memory_order_relaxed);
}

static void
render_histogram(GString *out, gv_histogram_t *h)
{
    int64_t below = 0;
    g_string_append_printf(out,
                           "# HELP gypsumvalve_%s %s\n"
                           "# TYPE gypsumvalve_%s histogram\n",
                           h->name, h->help, h->name);
    for (int i = 0; i < GV_HISTOGRAM_BUCKETS; i++) {
        below += atomic_load_explicit(&h->buckets[i], memory_order_relaxed);
        g_string_append_printf(out,
                               "gypsumvalve_%s_bucket{le=\"%" G_GINT64_FORMAT
                               "\"} %" G_GINT64_FORMAT "\n",
                               h->name, (gint64)(INT64_C(1) << i),
                               (gint64)below);
    }
    int64_t count = atomic_load_explicit(&h->count, memory_order_relaxed);
    int64_t sum = atomic_load_explicit(&h->sum_ms, memory_order_relaxed);
    g_string_append_printf(
        out,
        "gypsumvalve_%s_bucket{le=\"+Inf\"} %" G_GINT64_FORMAT "\n"
        "gypsumvalve_%s_sum %" G_GINT64_FORMAT "\n"
        "gypsumvalve_%s_count %" G_GINT64_FORMAT "\n",
        h->name, (gint64)count, h->name, (gint64)sum, h->name, (gint64)count);
}

/* Appends all counters and histograms in the Prometheus text format, each
   kind sorted by name. */
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
    for (gv_histogram_t *h = histograms; h != NULL; h = h->next) {
        render_histogram(out, h);
    }
}
