#ifndef GV_BENCH_LOAD_H
#define GV_BENCH_LOAD_H

#include <glib.h>
#include <stdbool.h>

/* Seeded load of one deployment: five services whose queues burst in turn,
   for 3 to 8 s at five times the mean, and at a twentieth of it otherwise. */

enum { GV_LOAD_SERVICES = 5 };

/* Mean work in ms of one request, as GvLoad_DrawJob draws it. */
#define GV_LOAD_WORK_MS 185.0

typedef struct {
    GRand *job_rand;
    GRand *turn_rand; /* the same sequence for all services of a seed */
    int service;
    double mean_per_ms;
    int turn; /* service that bursts now */
    double turn_ends_ms;
} gv_load_gen_t;

typedef struct {
    const char *work; /* label given by the caller, sometimes wrong */
    const char *team;
    double team_draw; /* 0 to 1; below a half: the first team */
    double real_ms;
    double deadline_ms; /* relative */
    bool urgent;
    bool is_long_kind;
    bool idempotent;
    bool always_fails; /* fails on every target */
} gv_load_job_t;

void GvLoad_Init(gv_load_gen_t *g, guint32 seed, int service,
                 double mean_per_ms);
void GvLoad_Clear(gv_load_gen_t *g);
/* Whether the queue bursts at that time. Call with growing times. */
bool GvLoad_IsBursting(gv_load_gen_t *g, double now_ms);
double GvLoad_NextArrival(gv_load_gen_t *g, double now_ms);
void GvLoad_DrawJob(gv_load_gen_t *g, gv_load_job_t *j);

#endif
