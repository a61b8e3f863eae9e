#ifndef GV_BENCH_FEED_H
#define GV_BENCH_FEED_H

#include "ledger.h"

/* A ledger with records appended by one entry host. */
typedef struct {
    gv_ledger_t *ledger;
    uint64_t sequence;
    int64_t now_ms;
    msgpack_sbuffer payload; /* packed by the caller, then appended */
    msgpack_sbuffer record;
    uint64_t bytes; /* of all records */
    int rejected;
} gv_feed_t;

void GvFeed_Init(gv_feed_t *f);
void GvFeed_Clear(gv_feed_t *f);
/* Packs the record only. */
gv_str_t GvFeed_Pack(gv_feed_t *f, const char *kind);
gv_verdict_kind_t GvFeed_Append(gv_feed_t *f, const char *kind);
void GvFeed_AppendSettings(gv_feed_t *f, const char *yaml);
void GvFeed_AppendJoin(gv_feed_t *f, const char *name, const char *dc);
void GvFeed_AppendHost(gv_feed_t *f, const char *name, const char *dc,
                       const char *rack, const char *pool, int boot,
                       gv_host_state_t state);

#endif
