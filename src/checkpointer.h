#ifndef GV_CHECKPOINTER_H
#define GV_CHECKPOINTER_H

#include <stdbool.h>
#include <stdint.h>

#include "appender.h"
#include "logreader.h"
#include "replica.h"

/* Appends checkpoints of the ledger to the log. */

/* Returns true if a checkpoint is due. next: next offset of the ledger;
   covered: offset that the last checkpoint covers; age_ms: time since that
   checkpoint was first seen; retained: range of the log on the platform. */
bool GvCheckpoint_IsDue(uint64_t next, uint64_t covered, int64_t age_ms,
                        const gv_retained_t *retained);

typedef struct gv_checkpointer_s gv_checkpointer_t;

gv_checkpointer_t *GvCheckpointer_New(gv_replica_t *replica,
                                      gv_logreader_t *reader,
                                      gv_appender_t *appender);
/* Must be called after GvAppender_Stop, which ends an append in progress. */
void GvCheckpointer_Free(gv_checkpointer_t *c);
/* Must be called about twice a second, always from the same thread; now_ms is
   monotonic. */
void GvCheckpointer_Tick(gv_checkpointer_t *c, int64_t now_ms);

#endif
