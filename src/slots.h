#ifndef GV_SLOTS_H
#define GV_SLOTS_H

#include <stdint.h>

#include "str.h"

/* Division of a target's slots between the entry hosts of its data centre. */

/* Returns how many of the host's slots belong to entry host `self`: slots / n
   rounded down, plus at most one of the remainder, which rendezvous hashing of
   the entry host names distributes. 0 if self is not among the entries. */
int GvSlots_Share(gv_str_t host, int slots, const gv_str_t *entries, int n,
                  gv_str_t self);

/* Slots of one target that this entry host owns, has lent and has borrowed. No
   locking and no I/O; times are monotonic ms given by the caller. */
typedef struct {
    int share;    /* slots that belong to this entry host */
    int lent;     /* of them, now lent to peers */
    int borrowed; /* now borrowed from peers */
    int64_t lent_until_ms;
    int64_t borrowed_until_ms;
} gv_slots_t;

/* Returns the number of slots that this entry host may use now. */
int GvSlots_Usable(gv_slots_t *s, int64_t now_ms);
/* Lends up to count slots that are not needed here; returns how many. */
int GvSlots_Lend(gv_slots_t *s, int count, int busy, int queued,
                 int64_t now_ms, int lease_ms);
/* Adds borrowed slots; a negative count gives slots back. */
void GvSlots_AddBorrowed(gv_slots_t *s, int count, int64_t until_ms);
/* Ends the loan of count slots that a peer gave back early. */
void GvSlots_EndLent(gv_slots_t *s, int count);

#endif
