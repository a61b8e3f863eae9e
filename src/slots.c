#include "slots.h"

#include <glib.h>
#include <xxhash.h>

/* Returns the rank of an entry host for a host in rendezvous hashing; a larger
   one comes first. */
static uint64_t
rank_of(gv_str_t host, gv_str_t entry)
{
    return XXH3_64bits_withSeed(entry.p, entry.n, XXH3_64bits(host.p, host.n));
}

/* Returns how many of a host's slots belong to entry host `self`: an equal
   part, and one slot of the remainder if `self` is among the first entry hosts
   in the rendezvous hashing order for this host. Returns 0 if self is not in
   the list. */
int
GvSlots_Share(gv_str_t host, int slots, const gv_str_t *entries, int n,
              gv_str_t self)
{
    uint64_t mine = rank_of(host, self);
    int before = 0;
    bool found = false;
    for (int i = 0; i < n; i++) {
        if (GvStr_Equal(entries[i], self)) {
            found = true;
            continue;
        }
        uint64_t rank = rank_of(host, entries[i]);
        if (rank > mine ||
            (rank == mine && GvStr_Compare(entries[i], self) < 0)) {
            before++;
        }
    }
    if (!found) {
        return 0;
    }
    return slots / n + (before < slots % n ? 1 : 0);
}

/* Ends loans whose time has passed. */
static void
end_loans(gv_slots_t *s, int64_t now_ms)
{
    if (now_ms >= s->lent_until_ms) {
        s->lent = 0;
    }
    if (now_ms >= s->borrowed_until_ms) {
        s->borrowed = 0;
    }
}

/* Returns the number of slots that this entry host may use now. Ends expired
   loans first. */
int
GvSlots_Usable(gv_slots_t *s, int64_t now_ms)
{
    end_loans(s, now_ms);
    return MAX(0, s->share - s->lent + s->borrowed);
}

/* Lends up to count slots that are needed neither by exchanges in progress
   (busy) nor by queued requests, for lease_ms, and returns how many. An entry
   host that borrows does not lend, so that a loan is not passed on. */
int
GvSlots_Lend(gv_slots_t *s, int count, int busy, int queued, int64_t now_ms,
             int lease_ms)
{
    end_loans(s, now_ms);
    if (s->borrowed > 0) {
        return 0;
    }
    int spare = s->share - s->lent - busy - queued;
    int n = CLAMP(spare, 0, MAX(count, 0));
    if (n > 0) {
        s->lent += n;
        s->lent_until_ms = MAX(s->lent_until_ms, now_ms + lease_ms);
    }
    return n;
}

/* Adds count borrowed slots that may be used until until_ms; a negative count
   gives slots back. All borrowed slots of a target expire together at the
   earliest of their times, when the first lender uses its slots again. */
void
GvSlots_AddBorrowed(gv_slots_t *s, int count, int64_t until_ms)
{
    if (count > 0) {
        s->borrowed_until_ms =
            s->borrowed > 0 ? MIN(s->borrowed_until_ms, until_ms) : until_ms;
    }
    s->borrowed = MAX(0, s->borrowed + count);
}

/* Ends the loan of count slots that a peer gave back early. */
void
GvSlots_EndLent(gv_slots_t *s, int count)
{
    s->lent = MAX(0, s->lent - MAX(count, 0));
}
