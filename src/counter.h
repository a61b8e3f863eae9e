#ifndef GV_COUNTER_H
#define GV_COUNTER_H

#include <glib.h>
#include <stdatomic.h>
#include <stdint.h>

/* A counter or gauge; define one at file scope with GV_COUNTER or GV_GAUGE.
   It registers itself and appears in /metrics. */
typedef struct gv_counter_s {
    const char *name; /* without the gypsumvalve_ prefix */
    const char *help;
    const char *type; /* "counter" or "gauge" */
    atomic_int_fast64_t value;
    struct gv_counter_s *next;
} gv_counter_t;

/* Durations are counted in buckets that end at powers of two, from 1 ms to
   2^(GV_HISTOGRAM_BUCKETS - 1) ms: each is right to a factor of two, and what
   takes longer shows in the total alone. */
#define GV_HISTOGRAM_BUCKETS 17

/* A latency histogram; define one at file scope with GV_HISTOGRAM. */
typedef struct gv_histogram_s {
    const char *name; /* without the gypsumvalve_ prefix, ending in _ms */
    const char *help;
    atomic_int_fast64_t buckets[GV_HISTOGRAM_BUCKETS];
    atomic_int_fast64_t count;
    atomic_int_fast64_t sum_ms;
    struct gv_histogram_s *next;
} gv_histogram_t;

void GvHistogram_Register(gv_histogram_t *h);
void GvHistogram_Observe(gv_histogram_t *h, int64_t ms);
void GvCounter_Register(gv_counter_t *c);
void GvCounter_Add(gv_counter_t *c, int64_t n);
void GvCounter_Set(gv_counter_t *c, int64_t n);
int64_t GvCounter_Get(gv_counter_t *c);
void GvCounter_Render(GString *out);

#define GV_COUNTER_DEFINE(var, name_, help_, type_)                           \
    static gv_counter_t var = {.name = name_, .help = help_, .type = type_};  \
    __attribute__((constructor)) static void var##_register(void)             \
    {                                                                         \
        GvCounter_Register(&var);                                             \
    }                                                                         \
    struct gv_counter_s

#define GV_COUNTER(var, name_, help_)                                         \
    GV_COUNTER_DEFINE(var, name_, help_, "counter")
#define GV_GAUGE(var, name_, help_)                                           \
    GV_COUNTER_DEFINE(var, name_, help_, "gauge")

#define GV_HISTOGRAM(var, name_, help_)                                       \
    static gv_histogram_t var = {.name = name_, .help = help_};               \
    __attribute__((constructor)) static void var##_register(void)             \
    {                                                                         \
        GvHistogram_Register(&var);                                           \
    }                                                                         \
    struct gv_histogram_s

#endif
