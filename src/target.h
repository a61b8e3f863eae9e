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

/* Targets of the own data centre, in GV_SHARDS shards. All functions lock
   the shard themselves. */
typedef struct gv_targets_s gv_targets_t;
typedef struct gv_target_s gv_target_t;

gv_targets_t *GvTargets_New(gv_str_t self, gv_str_t dc);
void GvTargets_Free(gv_targets_t *ts);
/* Adds, updates, closes, opens and drops targets so that they agree with the
   ledger. The caller holds the ledger lock. */
void GvTargets_Apply(gv_targets_t *ts, const gv_ledger_t *l);
/* Begins are refused until the own join has been applied. */
void GvTargets_SetJoined(gv_targets_t *ts, bool joined);

gv_target_t *GvTargets_Find(gv_targets_t *ts, gv_str_t host); /* with a ref */
gv_target_t *GvTarget_Ref(gv_target_t *t);
void GvTarget_Unref(gv_target_t *t);
const char *GvTarget_Host(const gv_target_t *t);

/* Number of slots usable, exchanges busy and the like, for placement. False:
   gets no new work (closed, leaving, unhealthy or of another pool). */
bool GvTarget_FillCandidate(gv_target_t *t, gv_str_t pool, int64_t now_ms,
                            gv_candidate_t *c);
/* Begins an exchange, atomically with the closed flag. GV_EREFUSED: closed,
   leaving, ejected, not joined, or no longer in that pool; GV_EFULL: no
   usable slot. addr gets the address. */
int GvTarget_Begin(gv_target_t *t, gv_str_t pool, bool idempotent,
                   int64_t now_ms, char *addr, size_t n);
/* Ends an exchange. may_eject: see GvEject_CountAttempt. */
bool GvTarget_IsEjected(gv_target_t *t);
void GvTarget_End(gv_target_t *t, gv_attempt_t a, bool may_eject,
                  double run_ratio, int64_t now_ms);
/* Takes back a Begin after which nothing was sent. */
void GvTarget_CancelBegin(gv_target_t *t);
/* The request ended before its exchange: the exchange stays in progress and
   keeps its slot until End. */
void GvTarget_Abandon(gv_target_t *t);

/* True once the claim at that offset has closed the target here and no
   exchange is in progress, so that it may be confirmed. A target unknown
   here is quiet. */
bool GvTargets_IsDrained(gv_targets_t *ts, gv_str_t host, uint64_t claim);
/* Exchanges in progress over all targets. */
int GvTargets_CountBusy(gv_targets_t *ts);

/* What a probe, a peer's heartbeat or the host list says about a target.
   Leaving is sticky for the boot identifier. Returns true on a change. */
bool GvTargets_UpdateHealth(gv_targets_t *ts, gv_str_t host, gv_str_t boot,
                            bool leaving, bool healthy);
/* Asks for a fresh probe of the target. */
void GvTarget_RequestProbe(gv_target_t *t);
typedef struct {
    char host[GV_NAME_MAX_BYTES + 1];
    char addr[64];
} gv_probe_request_t;
/* Appends a gv_probe_request_t for each target in doubt and ends the doubt. */
void GvTargets_TakeProbeRequests(gv_targets_t *ts, GArray *out);
/* Notes a successful fresh probe. */
void GvTargets_RecordProbe(gv_targets_t *ts, gv_str_t host, int64_t now_ms);
/* Tells whether a fresh probe succeeded after since_ms (monotonic). */
bool GvTarget_ProbedSince(gv_target_t *t, int64_t since_ms);
/* Copy the pool or the newest boot of a target; false for an unknown one. */
bool GvTargets_CopyPool(gv_targets_t *ts, gv_str_t host, char *pool, size_t n);
bool GvTargets_CopyBoot(gv_targets_t *ts, gv_str_t host, char *boot, size_t n);

/* Slot loans, for the lending module. */
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
    int busy;
    int abandoned;
    bool closed;
    bool leaving;
    bool healthy;
    bool ejected;
} gv_target_row_t;

/* Appends one gv_target_row_t for each target. */
void GvTargets_Report(gv_targets_t *ts, GArray *out, int64_t now_ms);

#endif
