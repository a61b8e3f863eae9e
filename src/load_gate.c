#include "load_gate.h"

#include <glib.h>

#include "limits.h"

/* Returns true if the read of another page may begin now, and counts it. */
bool
GvLoadGate_Enter(gv_load_gate_t *g)
{
    g->max = g->max == 0 ? GV_LOAD_GATE_FIRST : g->max;
    if (g->open >= g->max) {
        return false;
    }
    g->open++;
    return true;
}

/* Ends the read of a page. One without an answer in time halves how many may
   be read together; a fast one allows one more. */
void
GvLoadGate_Leave(gv_load_gate_t *g, bool answered, int64_t took_ms)
{
    g->open--;
    if (!answered) {
        g->max = MAX(g->max / 2, 1);
    }
    else if (took_ms <= GV_LOAD_GATE_FAST_MS) {
        g->max = MIN(g->max + 1, GV_LOAD_GATE_MAX);
    }
}
