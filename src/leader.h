#ifndef GV_LEADER_H
#define GV_LEADER_H

#include "job_table.h"
#include "lead.h"
#include "sched.h"
#include "store_result.h"

/* The leader: claims the lease to schedule, stores the progress of jobs in
   order under its epoch, renews the lease, and gives it up. One append is open
   at a time and is repeated unchanged until its result is known. No input or
   output: appends leave through gv_leader_ops_t. */

typedef struct gv_leader_s gv_leader_t;

typedef struct {
    gv_str_t records; /* keyed records, encoded by add_record */
    bool at_end;      /* only if the partition ends at `end` */
    uint64_t end;
    uint64_t epoch;
    uint64_t seq;
    bool fresh; /* the last try got no answer */
} gv_leader_append_t;

typedef struct {
    void *user;
    void (*add_record)(GByteArray *records, gv_str_t key, gv_str_t value);
    void (*append)(void *user, const gv_leader_append_t *a);
    /* This process became the leader under that epoch, or no longer is. The
       first returns the scheduler to store progress of. */
    gv_sched_t *(*begin)(void *user, uint64_t epoch);
    void (*end)(void *user, const char *why);
} gv_leader_ops_t;

typedef struct {
    gv_leader_ops_t ops;
    gv_str_t self;
    int renew_ms;
    int leader_timeout_ms;
    int claim_delay_ms; /* others may claim so much earlier */
    /* Differs between processes. A repeated append is recognised by epoch and
       sequence number alone: claims of two processes must not look like one
       another's repeats. */
    uint32_t first_seq;
    int orphan_ms; /* without the store, this host stays the leader so long */
    int64_t now_ms;
} gv_leader_opts_t;

gv_leader_t *GvLeader_New(const gv_leader_opts_t *o);
void GvLeader_Free(gv_leader_t *c);
/* The partition was read up to `next`; the newest record of the leader
   was read at heard_ms. */
void GvLeader_Step(gv_leader_t *c, const gv_lease_t *lead, bool current,
                   uint64_t next, int64_t failed_ms, int64_t now_ms);
/* A slow store delays the leader's records: call_ms is how long its calls take
   at present. */
void GvLeader_SetCallMs(gv_leader_t *c, int call_ms);
void GvLeader_RecordRead(gv_leader_t *c, int64_t now_ms);
void GvLeader_Paused(gv_leader_t *c, int64_t now_ms);
void GvLeader_Appended(gv_leader_t *c, const gv_append_answer_t *a,
                       int64_t now_ms);
/* Adds a record to the next batch. */
void GvLeader_AddRecord(gv_leader_t *c, gv_str_t key, gv_str_t value);
void GvLeader_Resign(gv_leader_t *c);
bool GvLeader_IsLeader(const gv_leader_t *c);
uint64_t GvLeader_Epoch(const gv_leader_t *c);
int64_t GvLeader_RenewedMs(const gv_leader_t *c);

#endif
