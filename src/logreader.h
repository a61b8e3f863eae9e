#ifndef GV_LOGREADER_H
#define GV_LOGREADER_H

#include <stdbool.h>

#include "replica.h"

/* Thread that reads the platform's log into the replica. */
typedef struct gv_logreader_s gv_logreader_t;

typedef struct {
    gv_str_t platform_addr;
    gv_replica_t *replica;
    /* Called without the ledger lock for each applied record, in order. */
    void (*on_verdict)(void *user, const gv_verdict_t *v);
    /* Called without the ledger lock after each batch that changed it. */
    void (*on_batch)(void *user);
    /* Called while the platform cannot be read: asks a peer for the records
       from the replica's next offset on and applies them. Returns true on
       progress. */
    bool (*fetch_from_peer)(void *user);
    void *user;
} gv_logreader_opts_t;

/* The retained log as reported by the last successful read. */
typedef struct {
    uint64_t first; /* first retained offset */
    uint64_t next;  /* offset after the last record */
    int64_t retention_ms;
} gv_retained_t;

int GvLogReader_Start(const gv_logreader_opts_t *o, gv_logreader_t **out);
/* Requests the thread to end and does not wait for it. */
void GvLogReader_Halt(gv_logreader_t *r);
void GvLogReader_Stop(gv_logreader_t *r);
bool GvLogReader_PlatformOk(gv_logreader_t *r);
/* Offset after the log's last record, at the last successful read. */
uint64_t GvLogReader_Head(gv_logreader_t *r);
gv_retained_t GvLogReader_Retained(gv_logreader_t *r);
/* Blocks until the replica has applied everything that the log held when the
   call was made. Returns 0, GV_ETIMEDOUT or GV_ECONN. */
int GvLogReader_SyncToHead(gv_logreader_t *r, int timeout_ms);

#endif
