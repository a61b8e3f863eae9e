#ifndef GV_LEAD_H
#define GV_LEAD_H

#include "job_table.h"

/* Decides when an entry host claims the lease to schedule. Which host is the
   leader is decided by the lease in the store; a claim tries to replace that.
   No input or output and no clock. Times are monotonic milliseconds. */

typedef struct {
    gv_str_t self;
    const gv_lease_t *lease; /* newest that was read from the store */
    int64_t now_ms;
    int64_t started_ms; /* start of this process, or end of its last pause */
    int64_t record_read_ms; /* when a record of the leader was last read */
    int64_t failed_ms; /* when a read of the store last failed; 0: never */
    bool caught_up;    /* settings and jobs were read, progress just now */
    bool is_leader;    /* this process holds the lease */
    bool stopping;
    /* A leader without records for leader_timeout_ms is replaced; this host
       waits claim_delay_ms more than others, so that they claim first. */
    int leader_timeout_ms;
    int claim_delay_ms;
} gv_lead_view_t;

bool GvLead_MayClaim(const gv_lead_view_t *v);

#endif
