#ifndef GV_SLOTS_H
#define GV_SLOTS_H

#include <stdint.h>

#include "str.h"

/* Division of a target's slots between the entry hosts of its data centre. */

/* Own share of `self` in the slots of `host`: slots / n rounded down, the
   remainder by rendezvous hashing over entry names. At least 0. */
int GvSlots_Share(gv_str_t host, int slots, const gv_str_t *entries, int n,
                  gv_str_t self);

/* Loans of one target's slots, seen from this entry host. Pure. */
typedef struct {
    int share;    /* own share */
    int lent;     /* given to peers now */
    int borrowed; /* held from peers now */
    int64_t lent_until_ms;
    int64_t borrowed_until_ms;
} gv_slots_t;

int GvSlots_Usable(gv_slots_t *s, int64_t now_ms);
/* How many of `count` asked-for slots to lend, given own use. */
int GvSlots_Lend(gv_slots_t *s, int count, int busy, int queued,
                 int64_t now_ms, int lease_ms);
void GvSlots_AddBorrowed(gv_slots_t *s, int count, int64_t until_ms);
void GvSlots_EndLent(gv_slots_t *s, int count);

#endif
