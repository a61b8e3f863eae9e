#ifndef GV_WAVE_PLAN_H
#define GV_WAVE_PLAN_H

#include "wave.h"

/* The pool of a wave, counted for the wave policies. */
typedef struct {
    int up;             /* up and without a claim */
    int failed;         /* failed and without a claim */
    int claims;         /* of any kind */
    int wave_claims;    /* maintenance claims of this wave */
    int slots;          /* of the largest host */
    int max_rack_hosts; /* most hosts in service that share a rack */
    int min_hosts;      /* largest of the pool's services */
    int max_out;
} gv_wave_count_t;

gv_wave_count_t GvWave_Count(const gv_ledger_t *l, const gv_wave_t *w);
int GvWave_Propose(const gv_ledger_t *l, const gv_wave_t *w,
                   const gv_wave_count_t *c, int width, gv_str_t dc,
                   const gv_ledger_host_t **out, int max);
int GvWave_RankDc(const gv_ledger_t *l, const gv_wave_t *w, gv_str_t dc,
                  gv_str_t last);

#endif
