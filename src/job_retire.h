#ifndef GV_JOB_RETIRE_H
#define GV_JOB_RETIRE_H

#include "job_table.h"

/* Dropping ended jobs from the store. The definition goes first, progress and
   cancellation only after every entry host has read that: a definition without
   them would be run anew. */

/* Drops one key; part counts those of its kind. */
typedef void (*gv_drop_key_t)(void *user, gv_partition_kind_t kind, int part,
                              gv_str_t key);

/* Looks for jobs that ended keep_ms ago. Every entry host calls this
   now and then, so that it knows since when a job has ended; only the leader
   passes `drop`, others NULL. Returns the number of jobs dropped. */
int GvJobRetire_Run(gv_job_table_t *t, int64_t keep_ms, int64_t now_ms,
                    gv_drop_key_t drop, void *user);

#endif
