#ifndef GV_BENCH_DEMAND_H
#define GV_BENCH_DEMAND_H

#include "load.h"
#include "wave.h"

/* A pool's load as a flow of work, for runs of hours: slots in demand follow
   the bursts of its queue; what exceeds the capacity waits. */
typedef struct {
    gv_load_gen_t gen;
    double mean_slots;
    double backlog; /* slot seconds */
    double wait_ms; /* of work that arrives now */
    gv_demand_t demand;
    GArray *waits;  /* double, ms, weighted by arrivals */
    double arrived; /* slot seconds */
    double late;    /* of them, with a wait above 5 s */
} gv_flow_t;

void GvFlow_Init(gv_flow_t *f, guint32 seed, int service, double mean_slots);
void GvFlow_Clear(gv_flow_t *f);
/* Advances by one step of seconds s, ending at now_s, with the slots in
   service. */
void GvFlow_Step(gv_flow_t *f, double now_s, double s, double slots);

#endif
