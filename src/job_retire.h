#ifndef GV_JOB_RETIRE_H
#define GV_JOB_RETIRE_H

#include "job_table.h"

/* Removes ended jobs from the store. The definition is dropped first, progress
   and cancellation only GV_JOB_PROGRESS_KEEP_MS later, when every entry host
   has read the first drop: a definition without them would be run again. */

/* Drops one key from partition number `part` of a kind. */
typedef void (*gv_drop_key_t)(void *user, gv_partition_kind_t kind, int part,
                              gv_str_t key);

int GvJobRetire_Run(gv_job_table_t *t, int64_t keep_ms, int64_t now_ms,
                    gv_drop_key_t drop, void *user);

#endif
