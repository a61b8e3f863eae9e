#ifndef GV_FAILED_RUNS_H
#define GV_FAILED_RUNS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "pack.h"

/* Which runs of a task have failed, by their numbers: the end of one run may
   be listed several times, to several leaders. Exact for any number of runs;
   of those from GV_FAILED_RUNS_LATE on, the newest GV_FAILED_RUNS_LATE_MAX
   numbers are kept, and how many there were before them. */

typedef struct gv_late_runs_s gv_late_runs_t;

typedef struct {
    uint64_t early;       /* bit N - 1: run N has failed */
    gv_late_runs_t *late; /* NULL: none */
} gv_failed_runs_t;

void GvFailedRuns_Clear(gv_failed_runs_t *f);
bool GvFailedRuns_Any(const gv_failed_runs_t *f);
bool GvFailedRuns_Add(gv_failed_runs_t *f, uint32_t run);
int GvFailedRuns_Count(const gv_failed_runs_t *const *list, int n);
uint64_t GvFailedRuns_Bits(const gv_failed_runs_t *f);
void GvFailedRuns_PackLate(const gv_failed_runs_t *f, msgpack_packer *pk);
void GvFailedRuns_SetBits(gv_failed_runs_t *f, uint64_t bits);
int GvFailedRuns_ReadLate(gv_failed_runs_t *f, gv_unpack_t *u);

#endif
