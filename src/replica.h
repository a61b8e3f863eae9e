#ifndef GV_REPLICA_H
#define GV_REPLICA_H

#include <stdint.h>

#include "ledger.h"
#include "message.h"

/* This process's copy of the ledger, protected by a lock, with the last
   GV_REPLICA_RING_RECORDS raw records for peers whose copy is behind. */
typedef struct gv_replica_s gv_replica_t;

gv_replica_t *GvReplica_New(void);
void GvReplica_Free(gv_replica_t *r);
/* Locks the ledger and returns it; it is valid until GvReplica_Unlock. */
const gv_ledger_t *GvReplica_Lock(gv_replica_t *r);
void GvReplica_Unlock(gv_replica_t *r);
/* Applies one record. Returns 1 and does nothing for a record below the next
   offset; returns GV_ESTALE for one above it. */
int GvReplica_Apply(gv_replica_t *r, const gv_raw_record_t *rec,
                    gv_verdict_t *v);
/* Takes ownership of l. Replaces the ledger with l if l's next offset is
   higher; otherwise frees l and returns GV_ESTALE. */
int GvReplica_Replace(gv_replica_t *r, gv_ledger_t *l);
/* Copies raw records from offset `from` on into out (gv_raw_record_t), their
   data into `bytes`. Returns GV_EGONE if `from` is no longer available. */
int GvReplica_Records(gv_replica_t *r, uint64_t from, int max,
                      msgpack_sbuffer *bytes, GArray *out);

#endif
