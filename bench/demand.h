#ifndef GV_BENCH_DEMAND_H
#define GV_BENCH_DEMAND_H

#include "load.h"
#include "wave.h"

/* A pool's load as a continuous flow of work, without single requests, so that
   hours can be simulated. The demand in slots follows the bursts of the pool's
   queue; work above the capacity waits. */
typedef struct {
    gv_load_gen_t gen;
    double mean_slots;  /* mean demand */
    double backlog;     /* waiting work in slot seconds */
    double wait_ms;     /* wait of work that arrives now */
    gv_demand_t demand; /* smoothed, as the daemon reports it */
    GArray *waits;      /* samples (double) in ms; see GvFlow_Step */
    double arrived;     /* work in slot seconds */
    double late;        /* the part of it that waits more than 5 s */
} gv_flow_t;

void GvFlow_Init(gv_flow_t *f, guint32 seed, int service, double mean_slots);
void GvFlow_Clear(gv_flow_t *f);
/* Advances by a step of step_s seconds that ends at now_s, with that many
   slots in service. */
void GvFlow_Step(gv_flow_t *f, double now_s, double step_s, double slots);

#endif
