#ifndef GV_BENCH_LOAD_H
#define GV_BENCH_LOAD_H

#include <glib.h>
#include <stdbool.h>

/* Random but reproducible load of one deployment: five services take turns to
   have a burst, which lasts 3 to 8 s. Arrivals come at five times the mean
   rate during a service's burst, and at a twentieth of the mean rate
   otherwise. */

enum { GV_LOAD_SERVICES = 5 };

/* Mean work in ms of one request, as GvLoad_DrawJob draws it. */
#define GV_LOAD_WORK_MS 185.0

typedef struct {
    GRand *job_rand;  /* arrivals and requests */
    GRand *turn_rand; /* turns; one sequence for all services of a seed */
    int service;
    double mean_per_ms; /* arrivals */
    int turn;           /* service that has its burst now */
    double turn_ends_ms;
} gv_load_gen_t;

typedef struct {
    const char *work; /* kind that the caller states, sometimes wrong */
    const char *team;
    double team_draw;   /* 0 to 1; the first team if below 0.5 */
    double real_ms;     /* run time */
    double deadline_ms; /* after the arrival */
    bool urgent;
    bool is_long_kind; /* whatever kind the caller states */
    bool idempotent;
    bool always_fails; /* on every target */
} gv_load_job_t;

void GvLoad_Init(gv_load_gen_t *g, guint32 seed, int service,
                 double mean_per_ms);
void GvLoad_Clear(gv_load_gen_t *g);
/* Returns true if the service has its burst at that time. Times must not
   decrease from call to call. */
bool GvLoad_IsBursting(gv_load_gen_t *g, double now_ms);
/* Returns the time of the first arrival after now_ms. */
double GvLoad_NextArrival(gv_load_gen_t *g, double now_ms);
/* Draws the properties of one request. */
void GvLoad_DrawJob(gv_load_gen_t *g, gv_load_job_t *j);

#endif
