#ifndef GV_LEDGER_H
#define GV_LEDGER_H

#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#include "limits.h"
#include "record.h"
#include "registry.h"
#include "settings.h"

/* The replicated state: a pure fold over log records in offset order. */

typedef enum { GV_HOST_UP, GV_HOST_FAILED, GV_HOST_GONE } gv_host_state_t;

typedef enum {
    GV_CLAIM_MAINTENANCE,
    GV_CLAIM_MOVE,
    GV_CLAIM_DRAIN
} gv_claim_kind_t;

typedef enum {
    GV_PHASE_GRANTED, /* confirmations outstanding */
    GV_PHASE_CLEAR,   /* all confirmed: the host may be stopped */
    GV_PHASE_STOPPING /* `act` folded */
} gv_claim_phase_t;

typedef enum {
    GV_DONE_HEALTHY,
    GV_DONE_FAILED,
    GV_DONE_CANCELLED
} gv_done_result_t;

typedef enum {
    GV_MEMBER_JOIN,
    GV_MEMBER_LEAVE,
    GV_MEMBER_REMOVED
} gv_member_change_t;

typedef struct {
    uint64_t offset; /* of the claim record */
    uint64_t fence;  /* fencing token: offset of the claim or last takeover */
    bool waived;     /* a confirmation was waived by certain absence */
    gv_claim_kind_t kind;
    gv_claim_phase_t phase;
    gv_str_t wave;    /* maintenance only */
    gv_str_t to_pool; /* move only */
    gv_str_t holder;
    uint64_t holder_incarnation;
    GPtrArray *waiting; /* names (char *) of entry hosts yet to confirm */
} gv_claim_t;

typedef struct {
    gv_str_t name;
    gv_str_t dc;
    gv_str_t rack;
    gv_str_t addr; /* "127.0.0.1:9001" */
    gv_str_t pool;
    gv_str_t boot; /* boot identifier */
    int slots;
    gv_host_state_t state;
    gv_claim_t *claim;  /* NULL: none */
    uint64_t wave_done; /* offset of the last wave that maintained it */
} gv_ledger_host_t;

typedef struct {
    gv_str_t name;
    gv_str_t dc;
    gv_str_t peer_addr;
    gv_str_t http_addr;
    uint64_t incarnation;
    uint64_t joined; /* offset of the join record */
} gv_member_t;

typedef enum { GV_WAVE_RUNNING, GV_WAVE_HALTED, GV_WAVE_DONE } gv_wave_state_t;

typedef struct {
    gv_str_t name;
    gv_str_t pool;
    int width;       /* hosts under claim at once, at most */
    uint64_t offset; /* of the start record */
    gv_wave_state_t state;
    int healthy; /* hosts maintained so far */
    gv_str_t halt_reason;
} gv_wave_t;

typedef struct {
    uint64_t service_hash; /* XXH3 of the service name */
    uint64_t key_hash[2];  /* XXH3 128-bit of the key */
    gv_str_t owner;
    uint64_t incarnation;
    int64_t expires_ms; /* ledger time */
} gv_key_claim_t;

typedef struct gv_ledger_s gv_ledger_t;

typedef enum {
    GV_VERDICT_ACCEPTED,
    GV_VERDICT_REJECTED,
    GV_VERDICT_DUPLICATE,
    GV_VERDICT_EXPIRED,
    GV_VERDICT_MALFORMED
} gv_verdict_kind_t;

typedef struct {
    gv_verdict_kind_t kind;
    uint64_t offset;
    char rec_kind[16]; /* empty when malformed */
    char origin[GV_NAME_MAX_BYTES + 1];
    uint64_t incarnation;
    uint64_t sequence;
    char reason[200]; /* empty when accepted */
} gv_verdict_t;

gv_ledger_t *GvLedger_New(void);
void GvLedger_Free(gv_ledger_t *l);
int GvLedger_Apply(gv_ledger_t *l, uint64_t offset, int64_t append_ms,
                   gv_str_t bytes, gv_verdict_t *v);
uint64_t GvLedger_NextOffset(const gv_ledger_t *l);
int64_t GvLedger_TimeMs(const gv_ledger_t *l);
uint64_t
GvLedger_CoveredOffset(const gv_ledger_t *l); /* last checkpoint seen */
int64_t GvLedger_CoveredMs(const gv_ledger_t *l);
uint64_t GvLedger_Digest(const gv_ledger_t *l);
void GvLedger_Save(const gv_ledger_t *l, msgpack_sbuffer *out);
int GvLedger_Load(gv_str_t bytes, gv_ledger_t **out);
/* If bytes is a checkpoint record, loads its state; else GV_ENOENT. */
int GvLedger_LoadCheckpoint(gv_str_t bytes, gv_ledger_t **out);

uint64_t GvLedger_SettingsVersion(const gv_ledger_t *l);
gv_settings_t *GvLedger_Settings(const gv_ledger_t *l);
const GPtrArray *GvLedger_Documents(const gv_ledger_t *l); /* gv_document_t */
const gv_ledger_host_t *GvLedger_Host(const gv_ledger_t *l, gv_str_t name);
const gv_member_t *GvLedger_Member(const gv_ledger_t *l, gv_str_t name);
/* The wave of the pool that is running or halted. */
const gv_wave_t *GvLedger_ActiveWave(const gv_ledger_t *l, gv_str_t pool);
const gv_wave_t *GvLedger_Wave(const gv_ledger_t *l, gv_str_t name);
const gv_key_claim_t *GvLedger_Key(const gv_ledger_t *l, gv_str_t service,
                                   gv_str_t key);
/* Tables sorted by name, so that walks are the same in every process. */
const GPtrArray *GvLedger_Hosts(const gv_ledger_t *l);   /* gv_ledger_host_t */
const GPtrArray *GvLedger_Members(const gv_ledger_t *l); /* gv_member_t */
const GPtrArray *GvLedger_Waves(const gv_ledger_t *l);   /* gv_wave_t */
/* Returns 0 if a claim would be granted now; else GV_EREFUSED and a reason.
   The wave planner asks before it appends. */
int GvLedger_CanClaim(const gv_ledger_t *l, gv_str_t host,
                      gv_claim_kind_t kind, gv_str_t wave, gv_str_t to_pool,
                      char *reason, size_t n);

/* Payload writers, one for each record kind. A settings record holds all
   documents of the new version. */
typedef struct {
    gv_str_t file;
    gv_str_t text;
} gv_document_t;
typedef struct {
    gv_str_t service;
    gv_str_t key;
    int64_t expires_ms;
} gv_key_item_t;

void GvLedger_PackSettings(msgpack_sbuffer *out, uint64_t base,
                           const gv_document_t *docs, int n);
void GvLedger_PackHost(msgpack_sbuffer *out, const gv_ledger_host_t *h);
void GvLedger_PackMember(msgpack_sbuffer *out, const gv_member_t *m,
                         gv_member_change_t change);
void GvLedger_PackClaim(msgpack_sbuffer *out, gv_str_t host,
                        gv_claim_kind_t kind, gv_str_t wave, gv_str_t to_pool,
                        gv_str_t holder, uint64_t incarnation);
void GvLedger_PackConfirm(msgpack_sbuffer *out, gv_str_t host, uint64_t claim,
                          gv_str_t entry, uint64_t incarnation);
void GvLedger_PackAct(msgpack_sbuffer *out, gv_str_t host, uint64_t claim,
                      gv_str_t holder, uint64_t incarnation);
void GvLedger_PackDone(msgpack_sbuffer *out, gv_str_t host, uint64_t claim,
                       gv_done_result_t result);
/* A healthy end together with the boot that the host has come back with. */
void GvLedger_PackDoneHealthy(msgpack_sbuffer *out, gv_str_t host,
                              uint64_t claim, gv_str_t boot);
void GvLedger_PackTakeover(msgpack_sbuffer *out, gv_str_t host, uint64_t claim,
                           gv_str_t holder, uint64_t incarnation);
typedef enum { GV_WAVE_START, GV_WAVE_STOP, GV_WAVE_RESUME } gv_wave_change_t;
void GvLedger_PackWave(msgpack_sbuffer *out, gv_str_t name, gv_str_t pool,
                       int width, gv_wave_change_t change);
void GvLedger_PackKeys(msgpack_sbuffer *out, const gv_key_item_t *items, int n,
                       gv_str_t owner, uint64_t incarnation);
void GvLedger_PackCheckpoint(msgpack_sbuffer *out, const gv_ledger_t *l);

/* Plug-in: one record kind. fold returns 0 when accepted, GV_EREFUSED with a
   reason, or GV_EINVAL for a malformed payload; unless it returns 0 it must
   not have changed the ledger. */
typedef struct {
    gv_plugin_t plugin;
    int (*fold)(gv_ledger_t *l, uint64_t offset, const gv_record_t *r,
                char *reason, size_t n);
} gv_record_kind_t;

#endif
