#ifndef GV_JOB_RECORD_H
#define GV_JOB_RECORD_H

#include <msgpack.h>

#include "job.h"

/* Encodes jobs as records of the store: a definition, written once by the
   entry host that accepts the job, and its progress, written by the
   scheduler. */

void GvJobRecord_PackDefinition(const gv_job_t *job, msgpack_sbuffer *out);
int GvJobRecord_ReadDefinition(gv_str_t bytes, gv_job_t **job);
void GvJobRecord_PackProgress(const gv_job_t *job, msgpack_sbuffer *out);
int GvJobRecord_ReadProgress(gv_str_t bytes, gv_job_t *job);

#endif
