#ifndef GV_LEAD_H
#define GV_LEAD_H

#include "job_table.h"

/* When an entry host claims the lease to schedule. The store's record of the
   lease decides which host leads; this only says when to try to replace it.
   No input or output and no clock. Times are monotonic milliseconds. */

typedef struct {
    gv_str_t self;
    const gv_lease_t *lead; /* as the store has it */
    int64_t now_ms;
    int64_t started_ms; /* this process, or its return from a pause */
    int64_t heard_ms;   /* newest record of the leader */
    int64_t failed_ms;  /* newest failure of a read of the store; 0: none */
    bool current;       /* everything stored was read */
    bool ours;          /* this process is the leader */
    bool stopping;
    int leader_timeout_ms; /* after which another takes over */
    int claim_delay_ms; /* this host leaves others so much time to claim first
                         */
} gv_lead_view_t;

bool GvLead_MayClaim(const gv_lead_view_t *v);

#endif
