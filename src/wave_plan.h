#ifndef GV_WAVE_PLAN_H
#define GV_WAVE_PLAN_H

#include "wave.h"

/* Hosts of a wave that its policy may propose, shared by the wave policies.
   The ledger decides; these rules only avoid proposals it would reject. */
typedef struct {
    int up;     /* up and without a claim */
    int claims; /* maintenance claims of this wave */
    int slots;  /* of the largest host */
} gv_wave_count_t;

gv_wave_count_t GvWave_Count(const gv_ledger_t *l, const gv_wave_t *w);
int GvWave_Propose(const gv_ledger_t *l, const gv_wave_t *w, int width,
                   const gv_lhost_t **out, int max);

#endif
