#ifndef GV_LOGSTORE_H
#define GV_LOGSTORE_H

#include <msgpack.h>
#include <stdint.h>

#include "str.h"

/* In-memory append-only log with limited retention, used by the platform
   stand-in. Not thread-safe. The caller passes the current time. */
typedef struct gv_logstore_s gv_logstore_t;

/* A limit of 0 is no limit. */
gv_logstore_t *GvLogStore_New(uint64_t retention_records,
                              int64_t retention_ms);
void GvLogStore_Free(gv_logstore_t *s);
uint64_t GvLogStore_Append(gv_logstore_t *s, gv_str_t bytes, int64_t now_ms);
/* Checks an append: an array of 1 to GV_APPEND_MAX_RECORDS binary items.
   Returns 0, or GV_EINVAL or GV_ETOOBIG with the item named in err. */
int GvLogStore_CheckBatch(const msgpack_object *o, char *err, size_t n);
/* Appends a checked batch; returns the offset of its first record. */
uint64_t GvLogStore_AppendBatch(gv_logstore_t *s, const msgpack_object *o,
                                int64_t now_ms);
uint64_t GvLogStore_Next(const gv_logstore_t *s);
/* Drops records that exceed a retention limit at now_ms. */
void GvLogStore_Expire(gv_logstore_t *s, int64_t now_ms);
/* Initializes out and packs [first, count], the answer to an append. */
void GvLogStore_PackAppended(uint64_t first, uint64_t count,
                             msgpack_sbuffer *out);
/* Packs [first, next, retention_ms, records from `from` on], with at most
   max records and max_bytes of them (one record at least). */
void GvLogStore_PackPage(const gv_logstore_t *s, uint64_t from, uint64_t max,
                         size_t max_bytes, msgpack_sbuffer *out);

#endif
