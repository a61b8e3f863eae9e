#ifndef GV_MAINTAIN_PRIVATE_H
#define GV_MAINTAIN_PRIVATE_H

#include <msgpack.h>
#include <pthread.h>
#include <stdatomic.h>

#include "maintain.h"
#include "maintain_plan.h"
#include "platform.h"
#include "reserve.h"
#include "wave.h"

/* A record to append once the ledger lock is released; called a proposal,
   because the ledger may reject it. */
typedef struct {
    char *key; /* identifies it across rounds, to limit repetitions */
    const char *kind;
    msgpack_sbuffer payload;
} gv_proposal_t;

/* A maintenance claim held by this incarnation of the entry host. */
typedef struct {
    char host[GV_NAME_MAX_BYTES + 1];
    char addr[64];
    char boot[GV_NAME_MAX_BYTES + 1]; /* boot identifier before the stop */
    uint64_t offset;                  /* of the claim record */
    uint64_t fence;  /* fencing token: offset of the claim or last takeover */
    bool in_ledger;  /* found in the ledger by the current update */
    bool boot_known; /* probes no longer replace boot */
    int64_t reboot_requested_ms; /* monotonic time of the last request */
    char new_boot[GV_NAME_MAX_BYTES + 1]; /* last probed one, if different */
    gv_claim_facts_t facts;
} gv_held_claim_t;

/* Demand of one pool; see GvMaintain_UpdateDemand. */
typedef struct {
    double busy_slots; /* slots needed, smoothed */
    double peak_slots; /* recent peak of the slots needed, decays */
    double queued;     /* requests waiting */
    int64_t last_move_ms;
    int moves; /* move claims to or from the pool, as of the last round */
    /* Data centre where a host of the pool last had a maintenance claim. */
    char wave_dc[GV_NAME_MAX_BYTES + 1];
} gv_pool_demand_t;

struct gv_maintain_s {
    gv_kernel_t *kernel;
    pthread_t thread;
    bool running;
    atomic_bool stop;
    gv_platform_t *platform;
    const gv_wave_policy_t *wave_policy;
    const gv_reserve_policy_t *reserve_policy;
    GHashTable *held_claims;    /* host -> gv_held_claim_t */
    GHashTable *pending;        /* key -> pending_t */
    GHashTable *next_append_ms; /* key -> earliest time of a repetition, ms */
    /* "u HOST" (up) or "f HOST" (failed) -> monotonic time since when */
    GHashTable *health_since;
    /* "HOST BOOT" -> monotonic time since when the ledger has it */
    GHashTable *known_since;
    GHashTable *demands;     /* pool -> gv_pool_demand_t */
    GPtrArray *live_peers;   /* names of live peers of the own data centre */
    pthread_mutex_t lock;    /* protects the fields below */
    gv_hostlist_t host_list; /* see GvMaintain_OnList */
    /* Newest request that the platform has answered with host_list. */
    int64_t list_asked_ms;
    GHashTable *peer_loads; /* peer -> GArray of peer_load_t */
};

/* Adds a proposal to out and takes ownership of the payload buffer sb. The key
   identifies the proposal; it is not repeated within GV_MAINTAIN_APPEND_MS. */
void GvMaintain_Propose(GPtrArray *out, const char *kind, msgpack_sbuffer sb,
                        const char *key_format, ...)
    __attribute__((format(printf, 4, 5)));
/* Marks the task as pending and returns for how long it has been, in ms. */
int64_t GvMaintain_PendingMs(gv_maintain_t *m, const char *key,
                             int64_t now_ms);
/* Marks the proposal as pending and returns true if this entry host may append
   it now: the first in rank at once, each other after a delay. */
bool GvMaintain_IsDue(gv_maintain_t *m, const char *key, int64_t now_ms);

/* Steps of one round, which add proposals to out; the ledger is locked. */
void GvMaintain_PlanConfirms(gv_maintain_t *m, const gv_ledger_t *l,
                             GPtrArray *out);
void GvMaintain_PlanTakeovers(gv_maintain_t *m, const gv_ledger_t *l,
                              int64_t now_ms, GPtrArray *out);
void GvMaintain_PlanWaves(gv_maintain_t *m, const gv_ledger_t *l,
                          int64_t now_ms, GPtrArray *out);
void GvMaintain_PlanMoves(gv_maintain_t *m, const gv_ledger_t *l,
                          int64_t now_ms, GPtrArray *out);
void GvMaintain_PlanHosts(gv_maintain_t *m, const gv_ledger_t *l,
                          int64_t now_ms, GPtrArray *out);
/* Updates held_claims from the ledger, which is locked. */
void GvMaintain_UpdateHeldClaims(gv_maintain_t *m, const gv_ledger_t *l,
                                 int64_t now_ms);
/* Executes the next steps of each held claim; no lock is held, because they
   call targets and the platform. */
void GvMaintain_RunHeldClaims(gv_maintain_t *m, int64_t now_ms,
                              GPtrArray *out);
/* Updates the demand of all pools; elapsed_ms is the time since the last
   call. */
void GvMaintain_UpdateDemand(gv_maintain_t *m, const gv_ledger_t *l,
                             int64_t now_ms, int64_t elapsed_ms);

#endif
