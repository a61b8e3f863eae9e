#ifndef GV_ONCE_H
#define GV_ONCE_H

#include <stdbool.h>
#include <stdint.h>

#include "outcome.h"
#include "str.h"
#include "ticket.h"

/* At-most-once table of one incarnation of an entry host: the tickets that
   it issued and the keys that it owns. Pure; not thread-safe (one instance
   per shard). The wall clock is an argument. */
typedef struct gv_once_s gv_once_t;

typedef enum {
    GV_ONCE_START,   /* the caller of Begin now runs the request */
    GV_ONCE_WAIT,    /* running: the waiter gets the answer later */
    GV_ONCE_ANSWER,  /* finished: the kept answer */
    GV_ONCE_EXPIRED, /* never ran here and never will */
    GV_ONCE_UNKNOWN, /* another incarnation, or forgotten: may have run */
    GV_ONCE_FULL,    /* table bound reached; nothing was started */
    GV_ONCE_INVALID  /* never issued */
} gv_once_kind_t;

typedef struct {
    gv_once_kind_t kind;
    const gv_answer_t *answer; /* for GV_ONCE_ANSWER, borrowed */
} gv_once_result_t;

gv_once_t *GvOnce_New(gv_str_t entry_host, uint64_t incarnation);
void GvOnce_Free(gv_once_t *o);
/* Issues a ticket; GV_EFULL when the table is full. sequence comes from the
   caller, which spreads sequences over shards. */
int GvOnce_Issue(gv_once_t *o, uint64_t sequence, int64_t now_ms,
                 int64_t ttl_ms, gv_ticket_t *t);
gv_once_result_t GvOnce_BeginTicket(gv_once_t *o, const gv_ticket_t *t,
                                    int64_t now_ms, void *waiter);
/* For a key that the ledger says this incarnation owns. id is the service
   name, a NUL and the key. */
gv_once_result_t GvOnce_BeginKey(gv_once_t *o, gv_str_t id, int64_t expires_ms,
                                 int64_t now_ms, void *waiter);
/* Ends the run that Begin started. GV_OUTCOME_NOT_RUN makes the entry
   startable again unless it is final. Returns the waiters (g_free the array,
   not its items). */
void **GvOnce_Finish(gv_once_t *o, gv_str_t id, const gv_answer_t *a,
                     int64_t now_ms, int *n_waiters);
/* Tells whether this waiter, and no other, waits for a run. */
bool GvOnce_IsOnlyWaiter(const gv_once_t *o, gv_str_t id, const void *waiter);
/* Drops a waiter whose caller left. Returns the number of waiters left, or
   GV_ENOENT when it was not waiting. */
int GvOnce_RemoveWaiter(gv_once_t *o, gv_str_t id, void *waiter);
/* Forgets entries past expiry and grace; returns how many. */
int GvOnce_Sweep(gv_once_t *o, int64_t now_ms);
int GvOnce_Count(const gv_once_t *o);
/* The id of a ticket for Finish: its text. */

#endif
