#ifndef GV_LEDGER_STATE_H
#define GV_LEDGER_STATE_H

#include "ledger.h"

/* Private header of the ledger_*.c files: the contents of gv_ledger_t. */

/* Format version of the bytes that GvLedger_Save writes. */
#define GV_STATE_FORMAT 1

/* Highest ledger time; later append times are clamped to it, so that sums of
   times and intervals cannot overflow int64_t. */
#define GV_LEDGER_TIME_MAX_MS ((int64_t)1 << 53)

/* A table of rows, sorted by name, with a hash index by name. Each row type
   has its name (gv_str_t) as the first member. */
typedef struct {
    GPtrArray *rows;
    GHashTable *index;
    size_t (*size)(const void *row); /* upper bound of a row's packed bytes */
    size_t bytes;                    /* sum of size over all rows */
} gv_table_t;

void GvTable_Init(gv_table_t *t, GDestroyNotify free_row,
                  size_t (*size)(const void *row));
void GvTable_Clear(gv_table_t *t);
void *GvTable_Find(const gv_table_t *t, gv_str_t name);
void GvTable_Add(gv_table_t *t, void *row);
void GvTable_Remove(gv_table_t *t, gv_str_t name);

/* Highest sequence seen of one (origin, incarnation); a record with a lower or
   equal one is a duplicate. */
typedef struct {
    gv_str_t name; /* "ORIGIN.INCARNATION" */
    uint64_t sequence;
    int64_t last_ms; /* ledger time of the record with that sequence */
} gv_origin_t;

/* The last incarnation of an entry host that is no longer a member. */
typedef struct {
    gv_str_t name;
    uint64_t incarnation;
    uint64_t offset; /* log offset of the record that ended the membership */
} gv_former_member_t;

/* A host that is gone. A report with the same boot identifier is refused. */
typedef struct {
    gv_str_t name;
    gv_str_t boot;   /* last boot identifier */
    int64_t gone_ms; /* ledger time */
} gv_tombstone_t;

/* An idempotency key with its claim. */
typedef struct {
    gv_str_t name; /* service and key hash, 24 bytes; see GvLedger_KeyName */
    gv_key_claim_t claim;
} gv_key_row_t;

/* Numbers of hosts in one group: a pool, a rack, a pool's hosts in one data
   centre, or the hosts under claim for a wave. */
typedef struct {
    int hosts;
    int serving;     /* up and not under claim */
    int claims;      /* under claim of any kind */
    int maintenance; /* under a maintenance claim */
} gv_tally_t;

struct gv_ledger_s {
    uint64_t next_offset;    /* of the next record to apply */
    int64_t time_ms;         /* highest append time applied */
    uint64_t covered_offset; /* see GvLedger_CoveredOffset */
    int64_t covered_ms;
    uint64_t settings_version; /* 0 for none */
    gv_settings_t *settings;
    GPtrArray *docs;   /* gv_document_t */
    size_t docs_bytes; /* upper bound of packed docs */
    gv_table_t hosts;
    gv_table_t members;
    gv_table_t former_members;
    gv_table_t waves;
    gv_table_t tombstones;
    gv_table_t origins;
    gv_table_t keys;
    GHashTable *tallies; /* char * to gv_tally_t; derived, never saved */
    size_t hosts_bytes;  /* upper bound of packed hosts with their claims */
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

/* Formats the reason; the value is GV_EREFUSED. */
#define GvLedger_Refuse(reason, n, ...)                                       \
    (GvLedger_FormatReason((reason), (n), __VA_ARGS__), GV_EREFUSED)

#endif
