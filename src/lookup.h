#ifndef GV_LOOKUP_H
#define GV_LOOKUP_H

#include <stdint.h>

#include "intake.h"

/* Requests that wait for reads of the store. One round of reads answers all
   requests that came before it began, and only a few rounds are open at the
   same time, so that callers cannot multiply the reads. */

typedef struct gv_lookups_s gv_lookups_t;

typedef struct {
    int rounds_max; /* open at the same time */
    void *user;
    /* Begins the reads of a round, which end with GvLookups_EndRound, maybe
       before this returns. */
    void (*read)(void *user, int round);
    /* Continues a request. ok: the store was read since it was added. */
    void (*done)(void *user, gv_intake_request_t *rq, bool ok);
} gv_lookup_opts_t;

gv_lookups_t *GvLookups_New(const gv_lookup_opts_t *o);
void GvLookups_Free(gv_lookups_t *l);
void GvLookups_Add(gv_lookups_t *l, gv_intake_request_t *rq);
void GvLookups_EndRound(gv_lookups_t *l, int round, bool ok);
void GvLookups_Expire(gv_lookups_t *l, int64_t now_ms);

#endif
