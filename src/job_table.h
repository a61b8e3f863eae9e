#ifndef GV_JOB_TABLE_H
#define GV_JOB_TABLE_H

#include <glib.h>

#include "job.h"

/* What every entry host knows of the jobs: a fold of the newest records of
   each key in two partitions of the store. Entry hosts write definitions and
   cancellations to the first, the leader writes progress, its
   own lease and the state of waves to the second. */

typedef enum {
    GV_PARTITION_ACCEPTED,
    GV_PARTITION_PROGRESS,
    GV_PARTITION_KINDS
} gv_partition_kind_t;

/* Where a record is stored. */
typedef struct {
    gv_partition_kind_t kind;
    int part; /* of those of its kind, below GV_JOB_PARTS_MAX */
    uint64_t offset;
} gv_record_place_t;

/* Which host leads, as the store has it. */
typedef struct {
    uint64_t epoch; /* rises with every change of holder */
    gv_str_t holder;
    bool resigned;
} gv_lease_t;

typedef struct {
    GHashTable *jobs;  /* gv_str_t * -> gv_job_entry_t * */
    GHashTable *waves; /* wave number as a pointer -> GByteArray * */
    gv_lease_t lead;
    uint64_t lease_offset;
    int malformed; /* records that could not be read */
} gv_job_table_t;

typedef struct {
    gv_str_t id;
    gv_job_t *job;        /* NULL until its definition is read */
    GByteArray *progress; /* read before the definition, or NULL */
    bool cancelled;
    uint64_t progress_offset;
    /* Partitions that hold its definition and its cancellation, a bit each: a
       submission that was repeated elsewhere is stored twice. */
    uint64_t defined_in;
    uint64_t cancelled_in;
    int64_t ended_ms;  /* when this host first found it ended; 0: it has not */
    int64_t orphan_ms; /* when it was first found without a definition */
    int64_t dropped_ms; /* when its keys were last dropped from here */
} gv_job_entry_t;

/* What a record changed, for those that follow the table. */
typedef enum {
    GV_CHANGE_NONE,
    GV_CHANGE_JOB,
    GV_CHANGE_CANCEL,
    GV_CHANGE_PROGRESS,
    GV_CHANGE_LEASE,
    GV_CHANGE_WAVE
} gv_change_t;

gv_job_table_t *GvJobTable_New(void);
void GvJobTable_Free(gv_job_table_t *t);
gv_change_t GvJobTable_Apply(gv_job_table_t *t, gv_record_place_t at,
                             gv_str_t key, gv_str_t value, gv_job_t **job);
gv_job_t *GvJobTable_Find(const gv_job_table_t *t, gv_str_t id);
int GvJobTable_Pending(const gv_job_table_t *t, gv_str_t queue);

/* Keys are a letter and a name. */
typedef enum {
    GV_KEY_JOB = 'J',
    GV_KEY_CANCEL = 'C',
    GV_KEY_PROGRESS = 'P',
    GV_KEY_LEASE = 'L',
    GV_KEY_WAVE = 'W'
} gv_record_key_t;

void GvJobTable_PackLease(const gv_lease_t *lead, GByteArray *out);

#endif
