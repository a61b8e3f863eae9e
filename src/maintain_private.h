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

/* A record to append once the ledger lock is released. */
typedef struct {
    char *key; /* names the intention; repeated only after a time */
    const char *kind;
    msgpack_sbuffer payload;
} gv_proposal_t;

/* A maintenance claim that this incarnation holds. */
typedef struct {
    char host[GV_NAME_MAX_BYTES + 1];
    char addr[64];
    char boot[GV_NAME_MAX_BYTES + 1]; /* before the stop */
    uint64_t claim;
    uint64_t fence;
    bool seen;      /* still held at the last look */
    bool own_probe; /* boot comes from a probe before the stop */
    int64_t rebooted_at_ms;
    char new_boot[GV_NAME_MAX_BYTES + 1];
    gv_claim_facts_t facts;
} gv_held_claim_t;

typedef struct {
    double busy_slots;
    double peak_slots;
    double queued;
    int64_t last_move_ms;
    int moves; /* move claims to or from the pool at the last look */
    /* Where a host of the pool was last seen under a maintenance claim. */
    char wave_dc[GV_NAME_MAX_BYTES + 1];
} gv_pool_demand_t;

struct gv_maintain_s {
    gv_kernel_t *k;
    pthread_t thread;
    bool runs;
    atomic_bool stop;
    gv_platform_t *platform;
    const gv_wave_policy_t *wave_policy;
    const gv_reserve_policy_t *reserve_policy;
    GHashTable *holds;    /* host -> gv_held_claim_t */
    GHashTable *due;      /* intention -> when it was wanted */
    GHashTable *sent;     /* intention -> earliest repetition, ms */
    GHashTable *health;   /* host -> time of the last change, ms */
    GHashTable *demands;  /* pool -> gv_pool_demand_t */
    GPtrArray *others;    /* names of live peers of the own data centre */
    pthread_mutex_t lock; /* covers what follows */
    gv_hostlist_t list;   /* own data centre, and entry hosts */
    GHashTable *loads;    /* peer -> GArray of load_t */
};

/* Adds an intention to out. The payload buffer is taken over. */
void GvMaintain_Propose(GPtrArray *out, const char *kind, msgpack_sbuffer sb,
                        const char *key_format, ...)
    __attribute__((format(printf, 4, 5)));
/* Returns for how long the intention has been wanted, in ms. */
int64_t GvMaintain_PendingMs(gv_maintain_t *m, const char *key,
                             int64_t now_ms);
/* Tells whether it is this entry host's turn for the intention: at once for
   the first in rank, later for the others. */
bool GvMaintain_IsDue(gv_maintain_t *m, const char *key, int64_t now_ms);

/* Parts of one round; the ledger is locked. */
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
/* Brings the holds into line with the ledger. */
void GvMaintain_UpdateHeldClaims(gv_maintain_t *m, const gv_ledger_t *l,
                                 int64_t now_ms);
/* Makes the next step of each hold; no lock is held. */
void GvMaintain_RunHeldClaims(gv_maintain_t *m, int64_t now_ms,
                              GPtrArray *out);
/* Follows the demand of the pools. */
void GvMaintain_UpdateDemand(gv_maintain_t *m, const gv_ledger_t *l,
                             int64_t now_ms, int64_t dt_ms);

#endif
