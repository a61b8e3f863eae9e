#ifndef GV_LEDGER_STATE_H
#define GV_LEDGER_STATE_H

#include "ledger.h"

/* Inside of gv_ledger_t, shared by the ledger files only. */

/* Of the bytes written by GvLedger_Save. */
#define GV_STATE_FORMAT 1

/* Latest time that the ledger accepts, so that sums of times and intervals
   stay far from the limits of int64_t. */
#define GV_LEDGER_TIME_MAX_MS ((int64_t)1 << 53)

/* Rows sorted by name with a hash index beside them. Each row type begins
   with its name (gv_str_t). */
typedef struct {
    GPtrArray *rows;
    GHashTable *index;
    size_t (*size)(const void *row); /* packed bytes, an upper bound */
    size_t bytes;
} gv_table_t;

void GvTable_Init(gv_table_t *t, GDestroyNotify free_row,
                  size_t (*size)(const void *row));
void GvTable_Clear(gv_table_t *t);
void *GvTable_Find(const gv_table_t *t, gv_str_t name);
void GvTable_Add(gv_table_t *t, void *row);
void GvTable_Remove(gv_table_t *t, gv_str_t name);

/* Highest sequence applied for one (origin, incarnation). */
typedef struct {
    gv_str_t name; /* "ORIGIN.INCARNATION" */
    uint64_t sequence;
    int64_t last_ms; /* ledger time of the last record */
} gv_origin_t;

/* The last incarnation of an entry host that is no longer a member. */
typedef struct {
    gv_str_t name;
    uint64_t incarnation;
    uint64_t offset; /* of the record that ended it */
} gv_former_member_t;

/* A host that is gone, with its last boot. */
typedef struct {
    gv_str_t name;
    gv_str_t boot;
    int64_t gone_ms;
} gv_tombstone_t;

typedef struct {
    gv_str_t name; /* service and key hash, 24 bytes big-endian */
    gv_key_claim_t claim;
} gv_key_row_t;

/* Hosts counted over a pool, a rack, the hosts of a pool in one data centre,
   or the claims of a wave. */
typedef struct {
    int hosts;
    int serving; /* up and without a claim */
    int claims;
    int maintenance; /* maintenance claims */
} gv_tally_t;

struct gv_ledger_s {
    uint64_t next;
    int64_t time_ms;
    uint64_t covered;
    int64_t covered_ms;
    uint64_t version;
    gv_settings_t *settings;
    GPtrArray *docs; /* gv_document_t */
    size_t docs_bytes;
    gv_table_t hosts;
    gv_table_t members;
    gv_table_t former;
    gv_table_t waves;
    gv_table_t tombstones;
    gv_table_t origins;
    gv_table_t keys;
    GHashTable *tallies; /* char * to gv_tally_t; derived, never saved */
    size_t hosts_bytes;  /* packed hosts with their claims, upper bound */
};

/* ledger_count.c */
void GvLedger_CountHost(gv_ledger_t *l, const gv_ledger_host_t *h, int sign);
gv_tally_t GvLedger_PoolTally(const gv_ledger_t *l, gv_str_t pool);
gv_tally_t GvLedger_PoolDcTally(const gv_ledger_t *l, gv_str_t pool,
                                gv_str_t dc);
gv_tally_t GvLedger_RackTally(const gv_ledger_t *l, gv_str_t dc,
                              gv_str_t rack);
gv_tally_t GvLedger_WaveTally(const gv_ledger_t *l, gv_str_t wave);
bool GvLedger_HasRoom(gv_ledger_t *l, size_t bytes);

/* ledger_state.c */
void GvLedger_FreeClaim(gv_claim_t *c);
void GvLedger_FreeHost(void *row);
void GvLedger_FreeMember(void *row);
void GvLedger_FreeDocument(void *row);
void GvLedger_FreeWave(void *row);
void GvLedger_FreeNamed(void *row);
void GvLedger_FreeTombstone(void *row);
void GvLedger_FreeKey(void *row);
void GvLedger_DropExpired(gv_ledger_t *l);
bool GvLedger_IsLiveKey(const gv_ledger_t *l, const gv_key_row_t *k);
bool GvLedger_IsLiveOrigin(const gv_ledger_t *l, const gv_origin_t *o);
bool GvLedger_IsLiveTombstone(const gv_ledger_t *l, const gv_tombstone_t *t);
bool GvLedger_IsCurrentMember(const gv_ledger_t *l, gv_str_t entry,
                              uint64_t incarnation);

/* ledger_key.c */
gv_str_t GvLedger_KeyName(uint64_t service_hash, const uint64_t key_hash[2],
                          char out[24]);

/* ledger_settings.c */
int GvLedger_ReadDocuments(gv_unpack_t *u, GPtrArray *docs, size_t *bytes);
gv_settings_t *GvLedger_ParseDocuments(const GPtrArray *docs,
                                       gv_problems_t *ps);

/* ledger_host.c */
bool GvLedger_IsBootId(gv_str_t s);

/* ledger_claim.c */
void GvLedger_EndClaim(gv_ledger_t *l, gv_ledger_host_t *h);
void GvLedger_WaiveConfirmations(gv_ledger_t *l, gv_str_t entry);

/* ledger_wave.c */
void GvLedger_HaltWave(gv_ledger_t *l, gv_str_t wave, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
void GvLedger_EndWaveIfDone(gv_ledger_t *l, gv_str_t pool);

void GvLedger_FormatReason(char *reason, size_t n, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* Fills in the reason and yields GV_EREFUSED. */
#define GvLedger_Refuse(reason, n, ...)                                       \
    (GvLedger_FormatReason((reason), (n), __VA_ARGS__), GV_EREFUSED)

#endif
