#include "feed.h"

#include <stdio.h>

/* The entry host that appends all records and holds the claims. */
#define ORIGIN "bench"

/* Creates an empty ledger whose first record is at offset 0. */
void
GvFeed_Init(gv_feed_t *f)
{
    *f = (gv_feed_t){.ledger = GvLedger_New(), .now_ms = 1000000};
    msgpack_sbuffer_init(&f->payload);
    msgpack_sbuffer_init(&f->record);
}

/* Frees the ledger and the buffers. */
void
GvFeed_Clear(gv_feed_t *f)
{
    GvLedger_Free(f->ledger);
    msgpack_sbuffer_destroy(&f->payload);
    msgpack_sbuffer_destroy(&f->record);
}

/* Packs the payload as a record and clears the payload. The returned view is
   valid until the next call. */
gv_str_t
GvFeed_Pack(gv_feed_t *f, const char *kind)
{
    gv_record_t r = {.kind = GvStr_C(kind),
                     .origin = GV_STR(ORIGIN),
                     .incarnation = 1,
                     .sequence = ++f->sequence,
                     .created_ms = f->now_ms,
                     .expires_ms = f->now_ms + 60000};
    msgpack_sbuffer_clear(&f->record);
    GvRecord_Pack(&f->record, &r, GvStr_N(f->payload.data, f->payload.size));
    msgpack_sbuffer_clear(&f->payload);
    f->bytes += f->record.size;
    return GvStr_N(f->record.data, f->record.size);
}

/* Packs the payload as a record, applies it to the ledger and returns the
   verdict. */
gv_verdict_kind_t
GvFeed_Append(gv_feed_t *f, const char *kind)
{
    gv_verdict_t v;
    gv_str_t bytes = GvFeed_Pack(f, kind);
    GvLedger_Apply(f->ledger, GvLedger_NextOffset(f->ledger), f->now_ms, bytes,
                   &v);
    f->rejected += v.kind != GV_VERDICT_ACCEPTED;
    return v.kind;
}

/* Appends a record that publishes the settings, one file. */
void
GvFeed_AppendSettings(gv_feed_t *f, const char *yaml)
{
    gv_document_t d = {GV_STR("bench.yaml"), GvStr_C(yaml)};
    GvLedger_PackSettings(&f->payload, GvLedger_SettingsVersion(f->ledger), &d,
                          1);
    (void)GvFeed_Append(f, "settings");
}

/* Appends a record with which an entry host joins. */
void
GvFeed_AppendJoin(gv_feed_t *f, const char *name, const char *dc)
{
    gv_member_t m = {.name = GvStr_C(name),
                     .dc = GvStr_C(dc),
                     .peer_addr = GV_STR("127.0.0.1:7001"),
                     .http_addr = GV_STR("127.0.0.1:8001"),
                     .incarnation = 1};
    GvLedger_PackMember(&f->payload, &m, GV_MEMBER_JOIN);
    (void)GvFeed_Append(f, "member");
}

/* Appends a record with the state of a host of 8 slots. */
void
GvFeed_AppendHost(gv_feed_t *f, const char *name, const char *dc,
                  const char *rack, const char *pool, int boot,
                  gv_host_state_t state)
{
    char id[24];
    snprintf(id, sizeof id, "boot%d", boot);
    gv_ledger_host_t h = {.name = GvStr_C(name),
                          .dc = GvStr_C(dc),
                          .rack = GvStr_C(rack),
                          .addr = GV_STR("127.0.0.1:9001"),
                          .pool = GvStr_C(pool),
                          .boot = GvStr_C(id),
                          .slots = 8,
                          .state = state};
    GvLedger_PackHost(&f->payload, &h);
    (void)GvFeed_Append(f, "host");
}
