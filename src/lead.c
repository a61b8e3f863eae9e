#include "lead.h"

#include "limits.h"

/* Returns a delay that differs between entry hosts, so that they do not all
   claim at the same moment. */
static int64_t
rank_delay_ms(gv_str_t self, uint64_t epoch)
{
    return (GvStr_Hash(self) ^ (unsigned)(epoch * 2654435761u)) %
           GV_LEAD_RANKS * GV_LEAD_RANK_MS;
}

/* Tells whether to claim the lease. A silent holder is replaced only after
   this host itself could read the store all the while: an outage of the store
   silences a holder that is well. */
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
        return true; /* held by an earlier life of this entry host */
    }
    return v->now_ms - MAX(since, v->record_read_ms) >=
           v->leader_timeout_ms + delay;
}
