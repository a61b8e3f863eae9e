#ifndef GV_WAVE_PLAN_H
#define GV_WAVE_PLAN_H

#include "wave.h"

/* Number of hosts in a wave's pool by state, and its limits, for the wave
   policies. */
typedef struct {
    int up;             /* up and without a claim */
    int failed;         /* failed and without a claim */
    int claims;         /* of any kind */
    int wave_claims;    /* maintenance claims of this wave */
    int slots;          /* of the largest host */
    int max_rack_hosts; /* most hosts in service that share a rack */
    int min_hosts;      /* largest of the pool's services */
    int max_out;        /* most hosts of the pool that may be claimed */
} gv_wave_count_t;

/* Counts the hosts of the wave's pool and collects its limits. */
gv_wave_count_t GvWave_Count(const gv_ledger_t *l, const gv_wave_t *w);
/* Chooses up to max hosts to claim next, at most `width` under a claim of the
   wave, and only in data centre dc unless it is empty. Returns their number.
 */
int GvWave_Propose(const gv_ledger_t *l, const gv_wave_t *w,
                   const gv_wave_count_t *c, int width, gv_str_t dc,
                   const gv_ledger_host_t **out, int max);
/* Returns how many data centres with a host to claim for the wave precede dc;
   `last`, where the wave had its last claim, precedes all others. */
int GvWave_RankDc(const gv_ledger_t *l, const gv_wave_t *w, gv_str_t dc,
                  gv_str_t last);

#endif
