#include "load.h"

#include <math.h>

/* Prepares the arrivals of one service. mean_per_ms is the mean rate over all
   time, bursts included. */
void
GvLoad_Init(gv_load_gen_t *g, guint32 seed, int service, double mean_per_ms)
{
    *g = (gv_load_gen_t){
        .job_rand = g_rand_new_with_seed(seed * 16 + (guint32)service),
        .turn_rand = g_rand_new_with_seed(seed),
        .service = service,
        .mean_per_ms = mean_per_ms,
        .turn = GV_LOAD_SERVICES - 1};
}

/* Frees the random generators. */
void
GvLoad_Clear(gv_load_gen_t *g)
{
    g_rand_free(g->job_rand);
    g_rand_free(g->turn_rand);
}

/* Returns true if this service has its burst at now_ms. */
bool
GvLoad_IsBursting(gv_load_gen_t *g, double now_ms)
{
    while (now_ms >= g->turn_ends_ms) {
        g->turn = (g->turn + 1) % GV_LOAD_SERVICES;
        g->turn_ends_ms += g_rand_double_range(g->turn_rand, 3000, 8000);
    }
    return g->turn == g->service;
}

/* Returns the time of the first arrival after now_ms. Times must not decrease
   from call to call. */
double
GvLoad_NextArrival(gv_load_gen_t *g, double now_ms)
{
    double at = now_ms;
    for (;;) {
        double rate = g->mean_per_ms * (GvLoad_IsBursting(g, at) ? 5 : 0.05);
        double gap = -log(1 - g_rand_double(g->job_rand)) / rate;
        if (at + gap < g->turn_ends_ms) {
            return at + gap;
        }
        /* The exponential distribution is memoryless, so the rest of the gap
           can be drawn again with the next turn's rate. */
        at = g->turn_ends_ms;
    }
}

/* Draws from the log-normal distribution with that mean; sigma is the standard
   deviation of the logarithm. */
static double
lognormal(GRand *r, double mean, double sigma)
{
    double u = 1 - g_rand_double(r);
    double v = g_rand_double(r);
    double n = sqrt(-2 * log(u)) * cos(2 * G_PI * v);
    return mean * exp(sigma * n - sigma * sigma / 2);
}

/* Draws one request. 3% are of a long kind, which runs many times longer than
   the others; callers state a short kind for one in 20 of them. One in 200 of
   the short requests runs 20 times longer than drawn for its kind. 1% of all
   requests fail on every target. */
void
GvLoad_DrawJob(gv_load_gen_t *g, gv_load_job_t *j)
{
    GRand *r = g->job_rand;
    double u = g_rand_double(r);
    *j = (gv_load_job_t){.team_draw = g_rand_double(r),
                         .deadline_ms = 5000,
                         .urgent = g_rand_double(r) < 0.1,
                         .idempotent = g_rand_double(r) < 0.7,
                         .always_fails = g_rand_double(r) < 0.01};
    j->team = j->team_draw < 0.5 ? "crews" : "authorities";
    if (u < 0.03) {
        j->work = g_rand_double(r) < 0.05 ? "quote" : "plan";
        j->real_ms = lognormal(r, 3000, 0.6);
        j->deadline_ms = 60000;
        j->is_long_kind = true;
        j->urgent = false;
    }
    else {
        bool quote = u < 0.6;
        j->work = quote ? "quote" : "route";
        j->real_ms = lognormal(r, quote ? 60 : 120, 0.5);
        if (g_rand_double(r) < 0.005) {
            j->real_ms *= 20;
        }
    }
}
