#ifndef GV_LEDGERSYNC_H
#define GV_LEDGERSYNC_H

#include <stdbool.h>

#include "peer.h"
#include "replica.h"

/* Exchange of ledger records and snapshots between entry hosts, so that one
   that is behind can catch up while the platform cannot be read. */
typedef struct gv_ledgersync_s gv_ledgersync_t;

typedef struct {
    gv_str_t dc;
    gv_str_t region;
    gv_replica_t *replica;
    gv_peers_t *peers; /* may be set later with GvLedgerSync_SetPeers */
    /* Called without locks for each record applied, in order; may be NULL. */
    void (*on_verdict)(void *user, const gv_verdict_t *v);
    void *user;
} gv_ledgersync_opts_t;

gv_ledgersync_t *GvLedgerSync_New(const gv_ledgersync_opts_t *o);
/* Called after the peers have been stopped, with no Fetch in progress. */
void GvLedgerSync_Free(gv_ledgersync_t *s);
void GvLedgerSync_SetPeers(gv_ledgersync_t *s, gv_peers_t *peers);
/* Handles LEDGER_GET and HEARTBEAT; other kinds are ignored. */
void GvLedgerSync_OnMessage(gv_ledgersync_t *s, gv_str_t from,
                            const gv_message_t *m);
/* The fetch_from_peer callback of the log reader; user is the gv_ledgersync_t.
   Blocks for at most GV_LEDGERSYNC_TIMEOUT_MS. Returns true on progress. */
bool GvLedgerSync_Fetch(void *user);

#endif
