#ifndef GV_REPLICA_H
#define GV_REPLICA_H

#include <stdint.h>

#include "ledger.h"
#include "message.h"

/* This process's copy of the ledger under its lock, with the last
   GV_REPLICA_RING_RECORDS raw records for peers that are behind. */
typedef struct gv_replica_s gv_replica_t;

gv_replica_t *GvReplica_New(void);
void GvReplica_Free(gv_replica_t *r);
/* The ledger is valid until GvReplica_Unlock. */
const gv_ledger_t *GvReplica_Lock(gv_replica_t *r);
void GvReplica_Unlock(gv_replica_t *r);
/* Applies one record; records below the next offset are ignored (returns 1),
   one above it gives GV_ESTALE. */
int GvReplica_Apply(gv_replica_t *r, const gv_raw_record_t *rec,
                    gv_verdict_t *v);
/* Takes over l if its next offset is higher, else frees it (GV_ESTALE). */
int GvReplica_Replace(gv_replica_t *r, gv_ledger_t *l);
/* Copies raw records from offset on into out (owned by out); GV_EGONE when
   the ring no longer holds `from`. */
int GvReplica_Records(gv_replica_t *r, uint64_t from, int max,
                      msgpack_sbuffer *bytes, GArray *out);

#endif
