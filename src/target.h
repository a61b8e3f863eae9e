#ifndef GV_TARGET_H
#define GV_TARGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ledger.h"
#include "message.h"
#include "placement.h"
#include "retry.h"
#include "slots.h"

/* Table of the targets of this entry host's data centre, in GV_SHARDS shards.
   The functions lock the shard themselves. */
typedef struct gv_targets_s gv_targets_t;
typedef struct gv_target_s gv_target_t;

/* Creates an empty table for the entry host self in the data centre dc. */
gv_targets_t *GvTargets_New(gv_str_t self, gv_str_t dc);
/* Frees the table; every reference to a target must have been released. */
void GvTargets_Free(gv_targets_t *ts);
/* Adds, updates, closes, opens and removes targets so that they agree with the
   ledger. The caller holds the ledger lock. */
void GvTargets_Apply(gv_targets_t *ts, const gv_ledger_t *l);
/* Sets whether this entry host has joined according to the ledger. Until then
   GvTarget_Begin refuses every exchange. */
void GvTargets_SetJoined(gv_targets_t *ts, bool joined);

/* Finds a target and takes a reference; NULL if it is unknown. */
gv_target_t *GvTargets_Find(gv_targets_t *ts, gv_str_t host);
gv_target_t *GvTarget_Ref(gv_target_t *t);
void GvTarget_Unref(gv_target_t *t);
const char *GvTarget_Host(const gv_target_t *t);

/* Fills *c for placement. Returns false if the target gets no new requests of
   the pool: it is closed, leaving, unhealthy or in another pool. */
bool GvTarget_FillCandidate(gv_target_t *t, gv_str_t pool, int64_t now_ms,
                            gv_candidate_t *c);
/* Begins an exchange and copies the target's address to addr, of n bytes.
   Checking the closed flag and counting the exchange are atomic. Returns 0;
   GV_EREFUSED if the target is closed, leaving, unhealthy, ejected or no
   longer in the pool, or this entry host has not joined; GV_EFULL if no slot
   is free. */
int GvTarget_Begin(gv_target_t *t, gv_str_t pool, bool idempotent,
                   int64_t now_ms, char *addr, size_t n);
bool GvTarget_IsEjected(gv_target_t *t);
/* Ends an exchange. may_eject: see GvEject_CountAttempt. run_ratio: run time
   over the expected one; 0: unknown. */
void GvTarget_End(gv_target_t *t, gv_attempt_t a, bool may_eject,
                  double run_ratio, int64_t now_ms);
/* Ends an exchange for which nothing was sent; no attempt is counted. */
void GvTarget_CancelBegin(gv_target_t *t);
/* Counts an exchange whose request ended first. The exchange stays in progress
   and keeps its slot until GvTarget_End. */
void GvTarget_Abandon(gv_target_t *t);

/* Returns true if the claim at claim_offset in the ledger has closed the
   target here and no exchange is in progress, so that the claim may be
   confirmed; also for an unknown target. */
bool GvTargets_IsDrained(gv_targets_t *ts, gv_str_t host,
                         uint64_t claim_offset);
/* Returns the number of exchanges in progress on all targets. */
int GvTargets_CountBusy(gv_targets_t *ts);

/* Applies what a probe, a peer's heartbeat or the host list reports about a
   target. Leaving stays set until the boot changes. Returns true if the
   leaving or healthy flag changed. */
bool GvTargets_UpdateHealth(gv_targets_t *ts, gv_str_t host, gv_str_t boot,
                            bool leaving, bool healthy);
/* Requests a probe of the target on a new connection. */
void GvTarget_RequestProbe(gv_target_t *t);
typedef struct {
    char host[GV_NAME_MAX_BYTES + 1];
    char addr[64];
} gv_probe_request_t;
/* Appends a gv_probe_request_t for each requested probe and clears the
   requests. */
void GvTargets_TakeProbeRequests(gv_targets_t *ts, GArray *out);
/* Records that a requested probe succeeded at now_ms (monotonic). */
void GvTargets_RecordProbe(gv_targets_t *ts, gv_str_t host, int64_t now_ms);
/* Returns true if a requested probe succeeded after since_ms (monotonic). */
bool GvTarget_ProbedSince(gv_target_t *t, int64_t since_ms);
/* Copy the pool or the newest boot identifier of a target to an array of n
   bytes; false for an unknown target. */
bool GvTargets_CopyPool(gv_targets_t *ts, gv_str_t host, char *pool, size_t n);
bool GvTargets_CopyBoot(gv_targets_t *ts, gv_str_t host, char *boot, size_t n);

/* Slot loans, for the lending module; see slots.h. */
int GvTargets_Lend(gv_targets_t *ts, gv_str_t host, int count, int queued,
                   int64_t now_ms, int lease_ms);
void GvTargets_AddBorrowed(gv_targets_t *ts, gv_str_t host, int count,
                           int64_t until_ms);
void GvTargets_EndLent(gv_targets_t *ts, gv_str_t host, int count);

typedef struct {
    char host[GV_NAME_MAX_BYTES + 1];
    char pool[GV_NAME_MAX_BYTES + 1];
    char addr[64];
    char boot[GV_NAME_MAX_BYTES + 1];
    int slots;  /* of the target */
    int usable; /* by this entry host: own share, less lent, plus borrowed */
    int busy;   /* exchanges in progress, abandoned ones included */
    int abandoned; /* see gv_target_s */
    bool closed;
    bool leaving;
    bool healthy;
    bool ejected;
} gv_target_row_t;

/* Appends one gv_target_row_t for each target. */
void GvTargets_Report(gv_targets_t *ts, GArray *out, int64_t now_ms);

#endif
