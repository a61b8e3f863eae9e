#ifndef GV_LOAD_H
#define GV_LOAD_H

#include "job.h"

/* How much work comes in for each service, and how long tasks of a queue
   run. No input or output and no clock. */

typedef struct gv_loads_s gv_loads_t;

gv_loads_t *GvLoads_New(void);
void GvLoads_Free(gv_loads_t *l);
void GvLoads_AddJob(gv_loads_t *l, const gv_job_t *job, gv_str_t service,
                    int64_t now_ms);
void GvLoads_AddRun(gv_loads_t *l, gv_str_t queue, int64_t ms);
/* Takes samples for the rhythm of each service; to be called a few times a
   second. */
void GvLoads_Sample(gv_loads_t *l, int64_t now_ms);
int64_t GvLoads_ExpectedBurstCpu(gv_loads_t *l, gv_str_t service,
                                 int64_t ahead_ms, int64_t now_ms);
double GvLoads_RunMs(const gv_loads_t *l, gv_str_t queue);
int64_t GvLoads_ArrivingCpu(gv_loads_t *l, gv_str_t service, int64_t now_ms);

#endif
