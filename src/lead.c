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
    if (v->ours || v->stopping || !v->current) {
        return false;
    }
    int64_t since = MAX(v->started_ms, v->failed_ms);
    int64_t delay = rank_delay_ms(v->self, v->lead->epoch) + v->claim_delay_ms;
    if (v->lead->epoch == 0 || v->lead->resigned) {
        return v->now_ms - MAX(since, v->heard_ms) >= delay;
    }
    if (GvStr_Equal(v->lead->holder, v->self)) {
        return true; /* held by an earlier life of this entry host */
    }
    return v->now_ms - MAX(since, v->heard_ms) >= v->leader_timeout_ms + delay;
}
