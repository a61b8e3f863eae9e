#ifndef GV_LEADER_H
#define GV_LEADER_H

#include "job_table.h"
#include "lead.h"
#include "sched.h"
#include "store_result.h"

/* Leadership of this entry host: claims the lease to schedule, stores the
   progress of jobs in order under the epoch of the lease, renews the lease and
   gives it up. One append is in flight at a time; it is repeated unchanged
   until its result is known. This module does no input or output: appends go
   through gv_leader_ops_t. All times are milliseconds of a clock that goes on
   while the host is suspended.

   Not every receiver of orders checks the epoch, so a leader must have stopped
   before another one begins. Its permission to give orders is counted from the
   moment at which it sent the newest append that was stored, and ends before
   any other entry host, which counts from the reading of that append, may
   claim the lease. Holds, which only keep running tasks alive, go on for
   longer: the store may be down for everybody. */

typedef struct gv_leader_s gv_leader_t;

typedef struct {
    gv_str_t records; /* keyed records, encoded by add_record */
    bool at_end;      /* append only if the partition ends at `end` */
    uint64_t end;     /* offset after its last record */
    uint64_t epoch;
    uint64_t seq;
    bool new_connection; /* the last try may have failed with the connection */
} gv_leader_append_t;

/* What is known of the leader before. */
typedef struct {
    int64_t read_ms; /* when its newest record was read; 0: none was */
    gv_str_t leases; /* see gv_lease_t */
} gv_former_leader_t;

typedef struct {
    void *user;
    void (*add_record)(GByteArray *records, gv_str_t key, gv_str_t value);
    void (*append)(void *user, const gv_leader_append_t *a);
    /* Called when this process becomes the leader under that epoch: returns
       the scheduler whose progress is to be stored. */
    gv_sched_t *(*begin)(void *user, uint64_t epoch,
                         const gv_former_leader_t *former);
    /* Called when this process is no longer the leader. */
    void (*end)(void *user, const char *why);
    /* Returns how many orders, without holds, may still be on their way. */
    int (*open_orders)(void *user);
} gv_leader_ops_t;

typedef struct {
    gv_leader_ops_t ops;
    gv_str_t self;
    int renew_ms;          /* longest time without an append of the leader */
    int leader_timeout_ms; /* see gv_lead_view_t */
    int claim_delay_ms;    /* see gv_lead_view_t */
    /* Sequence number of the first append; differs between processes. The
       store recognises a repeated append by epoch and sequence number alone,
       so a claim must not look like a repeat of another process's claim. */
    uint32_t first_seq;
    int orders_ms; /* permission to give orders, less than
                      leader_timeout_ms */
    int holds_ms;  /* permission to hold targets; then the leader steps down */
    int64_t now_ms;
} gv_leader_opts_t;

gv_leader_t *GvLeader_New(const gv_leader_opts_t *o);
void GvLeader_Free(gv_leader_t *c);
void GvLeader_Step(gv_leader_t *c, const gv_lease_t *lease, bool caught_up,
                   uint64_t next_offset, int64_t failed_ms, int64_t now_ms);
void GvLeader_SetCallMs(gv_leader_t *c, int call_ms);
void GvLeader_RecordRead(gv_leader_t *c, int64_t now_ms);
void GvLeader_Paused(gv_leader_t *c, int64_t now_ms);
void GvLeader_Appended(gv_leader_t *c, const gv_append_answer_t *a,
                       int64_t now_ms);
void GvLeader_AddRecord(gv_leader_t *c, gv_str_t key, gv_str_t value);
void GvLeader_Resign(gv_leader_t *c);
bool GvLeader_IsLeader(const gv_leader_t *c);
uint64_t GvLeader_Epoch(const gv_leader_t *c);
int64_t GvLeader_OrdersEndMs(const gv_leader_t *c);
int64_t GvLeader_HoldsEndMs(const gv_leader_t *c);

#endif
