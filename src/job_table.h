#ifndef GV_JOB_TABLE_H
#define GV_JOB_TABLE_H

#include <glib.h>

#include "job.h"

/* The jobs as an entry host knows them: a table built from the records in two
   kinds of partitions of the store. Entry hosts write definitions and
   cancellations to those of accepted jobs; the leader writes the progress of
   jobs, its lease, the state of waves and the run times that it has learned to
   that of progress. */

typedef enum {
    GV_PARTITION_ACCEPTED,
    GV_PARTITION_PROGRESS,
    GV_PARTITION_KINDS
} gv_partition_kind_t;

/* Where a record is stored. */
typedef struct {
    gv_partition_kind_t kind;
    int part; /* number among its kind, below GV_JOB_PARTS_MAX */
    uint64_t offset;
} gv_record_place_t;

/* The lease to schedule, as it is stored. Its holder is the leader. */
typedef struct {
    uint64_t epoch; /* rises with every change of holder */
    gv_str_t holder;
    bool resigned;   /* the holder gave it up */
    gv_str_t leases; /* then: what it packed with GvSched_PackLeases, or empty
                      */
} gv_lease_t;

typedef struct {
    GHashTable *jobs;  /* gv_str_t * -> gv_job_entry_t * */
    GHashTable *waves; /* wave number as a pointer -> GByteArray * */
    /* Wave number as a pointer -> offset of its record, plus 1, as a pointer
     */
    GHashTable *wave_offsets;
    gv_lease_t lease;
    uint64_t lease_offset;     /* of the lease's record, plus 1; 0: none */
    GByteArray *run_times;     /* newest record of them, or NULL */
    uint64_t run_times_offset; /* of that record, plus 1; 0: none */
    int malformed;             /* records that could not be read */
    size_t bytes;              /* of all jobs, see GvJob_Bytes */
    int n_early_cancels;       /* of all entries */
} gv_job_table_t;

/* A cancellation that was stored while its job was unknown: the record of a
   submission may be stored later than that. It cancels the job only if its
   caller may access it. */
typedef struct gv_early_cancel_s gv_early_cancel_t;
struct gv_early_cancel_s {
    gv_str_t caller; /* see GvJobTable_EarlyCancelKey */
    gv_str_t account;
    gv_str_t open_queue;
    uint64_t stored_in; /* bit set of the partitions that hold it */
    gv_early_cancel_t *next;
};

typedef struct {
    gv_str_t id;
    gv_job_t *job;        /* NULL until its definition is read */
    GByteArray *progress; /* read before the definition, or NULL */
    bool cancelled;
    gv_early_cancel_t *early_cancels;
    uint64_t progress_offset; /* of the newest record, plus 1; 0: none */
    /* Bit sets of the partitions that hold its definition and its
       cancellation: a submission that is repeated at another entry host is
       stored twice. */
    uint64_t defined_in;
    uint64_t cancelled_in;
    int64_t ended_ms;   /* when this host first saw it ended; 0: it has not */
    int64_t orphan_ms;  /* when it was first seen undefined; 0: is defined */
    int64_t dropped_ms; /* when this host last dropped its keys; 0: never */
} gv_job_entry_t;

/* What a record changed in the table. */
typedef enum {
    GV_CHANGE_NONE,
    GV_CHANGE_JOB,
    GV_CHANGE_CANCEL,
    GV_CHANGE_PROGRESS,
    GV_CHANGE_LEASE,
    GV_CHANGE_WAVE,
    GV_CHANGE_RUN_TIMES
} gv_change_t;

gv_job_table_t *GvJobTable_New(void);
void GvJobTable_Free(gv_job_table_t *t);
gv_change_t GvJobTable_Apply(gv_job_table_t *t, gv_record_place_t at,
                             gv_str_t key, gv_str_t value, gv_job_t **job);
gv_job_t *GvJobTable_Find(const gv_job_table_t *t, gv_str_t id);
int GvJobTable_Pending(const gv_job_table_t *t, gv_str_t queue);

/* First letter of a key; the rest is the job's identifier, which is followed
   by the caller for early cancellations, or the wave's number, and is empty
   for the lease and the run times. */
typedef enum {
    GV_KEY_JOB = 'J',
    GV_KEY_CANCEL = 'C',
    GV_KEY_EARLY_CANCEL = 'E',
    GV_KEY_PROGRESS = 'P',
    GV_KEY_LEASE = 'L',
    GV_KEY_WAVE = 'W',
    GV_KEY_RUN_TIMES = 'T'
} gv_record_key_t;

void GvJobTable_EarlyCancelKey(gv_str_t id, gv_str_t account,
                               gv_str_t open_queue, char *out);
void GvJobTable_PackEarlyCancel(gv_str_t account, gv_str_t open_queue,
                                GByteArray *out);
void GvJobTable_PackLease(const gv_lease_t *lease, GByteArray *out);

#endif
