#include "logstore.h"

#include <glib.h>
#include <stdio.h>

#include "error.h"
#include "limits.h"
#include "pack.h"

/* Expired records are removed from the array in groups, because removing
   from its front moves all others. */
#define TRIM_RECORDS 1024

typedef struct {
    int64_t append_ms;
    gv_str_t bytes;
} entry_t;

struct gv_logstore_s {
    GPtrArray *entries; /* of entry_t */
    uint64_t base;      /* offset of entries[0] */
    uint64_t first;     /* first retained offset */
    uint64_t retention_records;
    int64_t retention_ms;
    int64_t last_ms; /* append time of the newest record */
};

/* Releases an entry and its bytes. */
static void
free_entry(gpointer p)
{
    entry_t *e = p;
    GvStr_Free(&e->bytes);
    g_free(e);
}

/* Creates an empty log whose first offset is 0. */
gv_logstore_t *
GvLogStore_New(uint64_t retention_records, int64_t retention_ms)
{
    gv_logstore_t *s = g_new0(gv_logstore_t, 1);
    s->entries = g_ptr_array_new_with_free_func(free_entry);
    s->retention_records = retention_records;
    s->retention_ms = retention_ms;
    return s;
}

/* Releases the log and its records. */
void
GvLogStore_Free(gv_logstore_t *s)
{
    g_ptr_array_free(s->entries, TRUE);
    g_free(s);
}

/* Returns the offset that the next record gets. */
uint64_t
GvLogStore_Next(const gv_logstore_t *s)
{
    return s->base + s->entries->len;
}

/* Appends a copy of bytes and returns its offset. Append times never
   decrease. */
uint64_t
GvLogStore_Append(gv_logstore_t *s, gv_str_t bytes, int64_t now_ms)
{
    entry_t *e = g_new0(entry_t, 1);
    s->last_ms = MAX(s->last_ms, now_ms);
    e->append_ms = s->last_ms;
    e->bytes = GvStr_Dup(bytes);
    g_ptr_array_add(s->entries, e);
    GvLogStore_Expire(s, now_ms);
    return GvLogStore_Next(s) - 1;
}

/* Returns the entry at an offset that is still in the array. */
static const entry_t *
entry_at(const gv_logstore_t *s, uint64_t offset)
{
    return s->entries->pdata[offset - s->base];
}

/* Advances the first retained offset past records that exceed a retention
   limit at now_ms. */
void
GvLogStore_Expire(gv_logstore_t *s, int64_t now_ms)
{
    uint64_t next = GvLogStore_Next(s);
    if (s->retention_records > 0 && next - s->first > s->retention_records) {
        s->first = next - s->retention_records;
    }
    while (s->retention_ms > 0 && s->first < next &&
           entry_at(s, s->first)->append_ms + s->retention_ms <= now_ms) {
        s->first++;
    }
    if (s->first - s->base >= TRIM_RECORDS) {
        g_ptr_array_remove_range(s->entries, 0, (guint)(s->first - s->base));
        s->base = s->first;
    }
}

/* Checks the body of an append; see the header. */
int
GvLogStore_CheckBatch(const msgpack_object *o, char *err, size_t n)
{
    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size == 0 ||
        o->via.array.size > GV_APPEND_MAX_RECORDS) {
        snprintf(err, n, "body: not an array of 1 to %d records",
                 GV_APPEND_MAX_RECORDS);
        return GV_EINVAL;
    }
    for (uint32_t i = 0; i < o->via.array.size; i++) {
        const msgpack_object *item = &o->via.array.ptr[i];
        if (item->type != MSGPACK_OBJECT_BIN || item->via.bin.size == 0) {
            snprintf(err, n, "record %u: not binary or empty", i);
            return GV_EINVAL;
        }
        if (item->via.bin.size > GV_RECORD_MAX_BYTES) {
            snprintf(err, n, "record %u: over %d bytes", i,
                     GV_RECORD_MAX_BYTES);
            return GV_ETOOBIG;
        }
    }
    return GV_OK;
}

/* Appends a checked batch; see the header. */
uint64_t
GvLogStore_AppendBatch(gv_logstore_t *s, const msgpack_object *o,
                       int64_t now_ms)
{
    uint64_t first = GvLogStore_Next(s);
    for (uint32_t i = 0; i < o->via.array.size; i++) {
        const msgpack_object_bin *b = &o->via.array.ptr[i].via.bin;
        GvLogStore_Append(s, GvStr_N(b->ptr, b->size), now_ms);
    }
    return first;
}

/* Packs the answer to an append; see the header. */
void
GvLogStore_PackAppended(uint64_t first, uint64_t count, msgpack_sbuffer *out)
{
    msgpack_sbuffer_init(out);
    msgpack_packer pk = GvPack_Array(out, 2);
    GvPack_Uint(&pk, first);
    GvPack_Uint(&pk, count);
}

/* Packs one page; see the header. */
void
GvLogStore_PackPage(const gv_logstore_t *s, uint64_t from, uint64_t max,
                    size_t max_bytes, msgpack_sbuffer *out)
{
    uint64_t next = GvLogStore_Next(s);
    uint64_t end = from;
    size_t bytes = 0;
    while (from >= s->first && end < next && end - from < max &&
           (end == from || bytes + entry_at(s, end)->bytes.n <= max_bytes)) {
        bytes += entry_at(s, end)->bytes.n;
        end++;
    }
    msgpack_packer pk = GvPack_Array(out, 4);
    GvPack_Uint(&pk, s->first);
    GvPack_Uint(&pk, next);
    GvPack_Int(&pk, s->retention_ms);
    msgpack_pack_array(&pk, (size_t)(end - from));
    for (uint64_t at = from; at < end; at++) {
        const entry_t *e = entry_at(s, at);
        msgpack_pack_array(&pk, 3);
        GvPack_Uint(&pk, at);
        GvPack_Int(&pk, e->append_ms);
        GvPack_Bin(&pk, e->bytes);
    }
}
