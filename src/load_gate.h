#ifndef GV_LOAD_GATE_H
#define GV_LOAD_GATE_H

#include <stdbool.h>
#include <stdint.h>

/* Bounds how many pages of stored state this entry host loads at a time. All
   entry hosts load everything after a loss of power, and on a slow link pages
   that arrive together all exceed their time-outs and are read again for ever.
   No input or output and no clock. */

typedef struct {
    int open; /* pages being read */
    int max;  /* of these; 0: GV_LOAD_GATE_FIRST */
} gv_load_gate_t;

bool GvLoadGate_Enter(gv_load_gate_t *g);
void GvLoadGate_Leave(gv_load_gate_t *g, bool answered, int64_t took_ms);

#endif
