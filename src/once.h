#ifndef GV_ONCE_H
#define GV_ONCE_H

#include <stdbool.h>
#include <stdint.h>

#include "outcome.h"
#include "str.h"
#include "ticket.h"

/* At-most-once table of one incarnation of an entry host: the tickets that
   it issued and the keys that it owns. Does no I/O and reads no clock: now_ms
   is the wall clock in ms. Not thread-safe: one instance per shard. */
typedef struct gv_once_s gv_once_t;

typedef enum {
    GV_ONCE_START,   /* the caller must now run the request */
    GV_ONCE_WAIT,    /* running: GvOnce_Finish returns the waiter */
    GV_ONCE_ANSWER,  /* finished: the stored answer */
    GV_ONCE_EXPIRED, /* has not run and will not run */
    GV_ONCE_UNKNOWN, /* may have run: other incarnation, removed entry,
                        too many waiters */
    GV_ONCE_FULL,    /* the table is full; nothing was started */
    GV_ONCE_INVALID  /* the ticket was never issued here */
} gv_once_kind_t;

typedef struct {
    gv_once_kind_t kind;
    const gv_answer_t *answer; /* GV_ONCE_ANSWER: owned by the table */
} gv_once_result_t;

gv_once_t *GvOnce_New(gv_str_t entry_host, uint64_t incarnation);
void GvOnce_Free(gv_once_t *o);
/* Issues a ticket that expires ttl_ms after now_ms. sequence comes from the
   caller, which distributes sequences over shards. Returns 0, GV_EFULL or
   GV_EEXIST. */
int GvOnce_Issue(gv_once_t *o, uint64_t sequence, int64_t now_ms,
                 int64_t ttl_ms, gv_ticket_t *t);
/* Begins a run of a ticket, or adds waiter (unless NULL) to the run in
   progress. */
gv_once_result_t GvOnce_BeginTicket(gv_once_t *o, const gv_ticket_t *t,
                                    int64_t now_ms, void *waiter);
/* The same for a key that this incarnation owns by the ledger until
   expires_ms. id is the service name, a NUL and the key. */
gv_once_result_t GvOnce_BeginKey(gv_once_t *o, gv_str_t id, int64_t expires_ms,
                                 int64_t now_ms, void *waiter);
/* Ends a run that got GV_ONCE_START; the id of a ticket is its text. After
   GV_OUTCOME_NOT_RUN without a->final the entry can be started again. Returns
   the waiters in an array; the caller frees only the array, with g_free. */
void **GvOnce_Finish(gv_once_t *o, gv_str_t id, const gv_answer_t *a,
                     int64_t now_ms, int *n_waiters);
/* Returns true if waiter is the only waiter of the run. */
bool GvOnce_IsOnlyWaiter(const gv_once_t *o, gv_str_t id, const void *waiter);
/* Removes a waiter. Returns the number of remaining waiters, or GV_ENOENT when
   it was not a waiter of the run. */
int GvOnce_RemoveWaiter(gv_once_t *o, gv_str_t id, void *waiter);
/* Removes entries that are not running and expired more than
   GV_TICKET_GRACE_MS ago. Returns their number. */
int GvOnce_Sweep(gv_once_t *o, int64_t now_ms);
int GvOnce_Count(const gv_once_t *o);

#endif
