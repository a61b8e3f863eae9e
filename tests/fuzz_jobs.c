#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "error.h"
#include "job_record.h"
#include "job_table.h"
#include "sched.h"

/* Reads bytes as the leases that a leader has packed, packs them again, and
   reads that, which has to succeed as well. */
static void
read_leases(gv_str_t bytes)
{
    gv_sched_opts_t o = {
        .epoch = 2, .lease_ms = 4500, .now_ms = 1000, .former_ms = 1000};
    gv_sched_t *s = GvSched_New(&o);
    if (GvSched_LoadLeases(s, bytes) == GV_OK) {
        GByteArray *packed = g_byte_array_new();
        gv_sched_t *next = GvSched_New(&o);
        GvSched_PackLeases(s, 1000, packed);
        g_assert(packed->len == 0 ||
                 GvSched_LoadLeases(
                     next, GvStr_N(packed->data, packed->len)) == GV_OK);
        GvSched_Free(next);
        g_byte_array_free(packed, TRUE);
    }
    GvSched_Free(s);
}

/* Guards against job records that crash their reader, and against a job
   definition or leases that are accepted but rejected once they are packed
   again. The first byte selects the key and the partition of the record. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t n)
{
    static const char *const keys[] = {"J00000000000000a1",
                                       "P00000000000000a1",
                                       "L",
                                       "W1",
                                       "C00000000000000a1",
                                       "E00000000000000a10000000000000000",
                                       "?"};
    gv_job_t *job = NULL;
    if (n < 2) {
        return 0;
    }
    gv_job_table_t *t = GvJobTable_New();
    gv_str_t value = GvStr_N(data + 1, n - 1);
    gv_str_t key = GvStr_C(keys[data[0] % G_N_ELEMENTS(keys)]);
    gv_record_place_t at = {data[0] & 64 ? GV_PARTITION_ACCEPTED
                                         : GV_PARTITION_PROGRESS,
                            data[0] >> 7, 1};
    (void)GvJobTable_Apply(t, at, key, value, &job);
    GvJobTable_Free(t);
    read_leases(value);
    if (GvJobRecord_ReadDefinition(value, &job) == GV_OK) {
        msgpack_sbuffer sb;
        gv_job_t *again = NULL;
        msgpack_sbuffer_init(&sb);
        GvJobRecord_PackDefinition(job, &sb);
        g_assert(GvJobRecord_ReadDefinition(GvStr_N(sb.data, sb.size),
                                            &again) == GV_OK);
        g_assert(again->n_tasks == job->n_tasks);
        msgpack_sbuffer_destroy(&sb);
        (void)GvJobRecord_ReadProgress(value, again);
        GvJob_Free(again);
        GvJob_Free(job);
    }
    return 0;
}
