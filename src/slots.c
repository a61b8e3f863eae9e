#include "slots.h"

#include <glib.h>
#include <xxhash.h>

static uint64_t
rank_of(gv_str_t host, gv_str_t entry)
{
    return XXH3_64bits_withSeed(entry.p, entry.n, XXH3_64bits(host.p, host.n));
}

/* Returns how many of a host's slots belong to entry host `self`: an equal
   part, with the remainder given to the entry hosts that rank first for this
   host by rendezvous hashing. Returns 0 when self is not in the list. */
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

/* Returns the slots that this entry host may use now. Loans that have
   expired end here. */
int
GvSlots_Usable(gv_slots_t *s, int64_t now_ms)
{
    end_loans(s, now_ms);
    return MAX(0, s->share - s->lent + s->borrowed);
}

/* Lends up to count slots that neither running nor queued work needs, and
   returns how many. An entry host that borrows does not lend, so that loans
   do not pass through several entry hosts. */
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

/* Adds count borrowed slots, usable until until_ms; a negative count gives
   slots back. All borrowed slots of a target end together, at the earlier
   time, because the lender takes them back then. */
void
GvSlots_AddBorrowed(gv_slots_t *s, int count, int64_t until_ms)
{
    if (count > 0) {
        s->borrowed_until_ms =
            s->borrowed > 0 ? MIN(s->borrowed_until_ms, until_ms) : until_ms;
    }
    s->borrowed = MAX(0, s->borrowed + count);
}

/* Takes back count slots that a peer returned before the loan's end. */
void
GvSlots_EndLent(gv_slots_t *s, int count)
{
    s->lent = MAX(0, s->lent - MAX(count, 0));
}
