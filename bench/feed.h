#ifndef GV_BENCH_FEED_H
#define GV_BENCH_FEED_H

#include "ledger.h"

/* A ledger without a log: records of one entry host are packed, counted and
   applied in memory. Each GvFeed_Append... appends one record. */
typedef struct {
    gv_ledger_t *ledger;
    uint64_t sequence;       /* of the last record */
    int64_t now_ms;          /* simulated time */
    msgpack_sbuffer payload; /* packed by the caller for the next record */
    msgpack_sbuffer record;
    uint64_t bytes; /* size of all records */
    int rejected;   /* records that the ledger rejected */
} gv_feed_t;

void GvFeed_Init(gv_feed_t *f);
void GvFeed_Clear(gv_feed_t *f);
/* Packs the payload as a record without applying it. */
gv_str_t GvFeed_Pack(gv_feed_t *f, const char *kind);
/* Packs the payload as a record and applies it. */
gv_verdict_kind_t GvFeed_Append(gv_feed_t *f, const char *kind);
void GvFeed_AppendSettings(gv_feed_t *f, const char *yaml);
void GvFeed_AppendJoin(gv_feed_t *f, const char *name, const char *dc);
void GvFeed_AppendHost(gv_feed_t *f, const char *name, const char *dc,
                       const char *rack, const char *pool, int boot,
                       gv_host_state_t state);

#endif
