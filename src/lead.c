#include "lead.h"

#include "limits.h"

/* Returns a delay that differs between entry hosts and from epoch to epoch, so
   that they do not all claim at the same moment. */
static int64_t
rank_delay_ms(gv_str_t self, uint64_t epoch)
{
    return (GvStr_Hash(self) ^ (unsigned)(epoch * 2654435761u)) %
           GV_LEAD_RANKS * GV_LEAD_RANK_MS;
}

/* Returns true if this host is to claim the lease. A holder without new
   records is replaced only if this host could read the store during all that
   time: an outage of the store also stops the records of a healthy holder. */
bool
GvLead_MayClaim(const gv_lead_view_t *v)
{
    if (v->is_leader || v->stopping || !v->caught_up) {
        return false;
    }
    int64_t since = MAX(v->started_ms, v->failed_ms);
    int64_t delay =
        rank_delay_ms(v->self, v->lease->epoch) + v->claim_delay_ms;
    if (v->lease->epoch == 0 || v->lease->resigned) {
        return v->now_ms - MAX(since, v->record_read_ms) >= delay;
    }
    if (GvStr_Equal(v->lease->holder, v->self)) {
        return true; /* held by an earlier process of this entry host */
    }
    return v->now_ms - MAX(since, v->record_read_ms) >=
           v->leader_timeout_ms + delay;
}
