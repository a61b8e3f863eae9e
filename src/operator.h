#ifndef GV_OPERATOR_H
#define GV_OPERATOR_H

#include "ledger.h"

/* An operator's session with the platform's log: a ledger built from the log,
   and records appended under the session's own origin. Not thread-safe. */
typedef struct gv_operator_s gv_operator_t;

/* Every call ends at most timeout_ms after GvOperator_Open was called. */
int GvOperator_Open(gv_str_t platform_addr, int timeout_ms,
                    gv_operator_t **out);
void GvOperator_Close(gv_operator_t *op);
const gv_ledger_t *GvOperator_Ledger(const gv_operator_t *op);
gv_str_t GvOperator_Origin(const gv_operator_t *op);
uint64_t GvOperator_Incarnation(const gv_operator_t *op);
int GvOperator_Append(gv_operator_t *op, const char *kind,
                      const msgpack_sbuffer *payload, gv_verdict_t *v);

#endif
