#include "failed_runs.h"

#include <string.h>

#include "error.h"
#include "limits.h"

struct gv_late_runs_s {
    uint32_t forgotten; /* runs that were numbered below runs[0] */
    uint32_t n;
    uint32_t runs[GV_FAILED_RUNS_LATE_MAX]; /* ascending */
};

/* In stored bits, stands for all runs from GV_FAILED_RUNS_LATE on. */
#define LATE_BIT (UINT64_C(1) << (GV_FAILED_RUNS_LATE - 1))

/* Forgets all runs. */
void
GvFailedRuns_Clear(gv_failed_runs_t *f)
{
    f->early = 0;
    g_free(f->late);
    f->late = NULL;
}

bool
GvFailedRuns_Any(const gv_failed_runs_t *f)
{
    return f->early != 0 || f->late != NULL;
}

/* Adds a late run. Returns false if it is known, or older than those that are
   kept. */
static bool
add_late(gv_late_runs_t *l, uint32_t run)
{
    uint32_t at = l->n;
    while (at > 0 && l->runs[at - 1] > run) {
        at--;
    }
    if ((at > 0 && l->runs[at - 1] == run) || (at == 0 && l->forgotten > 0)) {
        return false;
    }
    if (l->n == GV_FAILED_RUNS_LATE_MAX) {
        l->forgotten++;
        if (at == 0) {
            return true;
        }
        l->n--;
        at--;
        memmove(l->runs, l->runs + 1, l->n * sizeof *l->runs);
    }
    memmove(l->runs + at + 1, l->runs + at, (l->n - at) * sizeof *l->runs);
    l->runs[at] = run;
    l->n++;
    return true;
}

/* Notes that a run has failed. Returns false if that is known, or for 0, which
   is the number of no run. */
bool
GvFailedRuns_Add(gv_failed_runs_t *f, uint32_t run)
{
    if (run == 0) {
        return false;
    }
    if (run >= GV_FAILED_RUNS_LATE) {
        f->late = f->late == NULL ? g_new0(gv_late_runs_t, 1) : f->late;
        return add_late(f->late, run);
    }
    uint64_t bit = UINT64_C(1) << (run - 1);
    bool added = (f->early & bit) == 0;
    f->early |= bit;
    return added;
}

/* Returns how many different runs have failed in any of n tasks. */
int
GvFailedRuns_Count(const gv_failed_runs_t *const *list, int n)
{
    uint64_t early = 0;
    uint32_t forgotten = 0;
    GHashTable *late = NULL;
    for (int i = 0; i < n; i++) {
        const gv_late_runs_t *l = list[i]->late;
        early |= list[i]->early;
        if (l == NULL) {
            continue;
        }
        late = late == NULL ? g_hash_table_new(NULL, NULL) : late;
        forgotten = MAX(forgotten, l->forgotten);
        for (uint32_t k = 0; k < l->n; k++) {
            g_hash_table_add(late, GUINT_TO_POINTER(l->runs[k]));
        }
    }
    int count = __builtin_popcountll(early) + (int)forgotten;
    if (late != NULL) {
        count += (int)g_hash_table_size(late);
        g_hash_table_destroy(late);
    }
    return count;
}

/* Returns the runs as bits; the last one says that there are late runs. */
uint64_t
GvFailedRuns_Bits(const gv_failed_runs_t *f)
{
    return f->early | (f->late != NULL ? LATE_BIT : 0);
}

/* Reads what GvFailedRuns_Bits has returned. Late runs count as one until
   GvFailedRuns_ReadLate is called. */
void
GvFailedRuns_SetBits(gv_failed_runs_t *f, uint64_t bits)
{
    GvFailedRuns_Clear(f);
    f->early = bits & ~LATE_BIT;
    if ((bits & LATE_BIT) != 0) {
        (void)GvFailedRuns_Add(f, GV_FAILED_RUNS_LATE);
    }
}

/* Packs the late runs as one array: how many are forgotten, then the numbers
   of the others. */
void
GvFailedRuns_PackLate(const gv_failed_runs_t *f, msgpack_packer *pk)
{
    uint32_t n = f->late == NULL ? 0 : f->late->n;
    msgpack_pack_array(pk, n + 1);
    GvPack_Uint(pk, f->late == NULL ? 0 : f->late->forgotten);
    for (uint32_t i = 0; i < n; i++) {
        GvPack_Uint(pk, f->late->runs[i]);
    }
}

/* Reads what GvFailedRuns_PackLate has packed. Returns 0, or GV_EINVAL after
   which the late runs are as before. */
int
GvFailedRuns_ReadLate(gv_failed_runs_t *f, gv_unpack_t *u)
{
    gv_late_runs_t l = {0};
    uint32_t last = GV_FAILED_RUNS_LATE - 1;
    gv_unpack_t rows = GvUnpack_Sub(u, 1);
    if (u->err != GV_OK || rows.array->size > GV_FAILED_RUNS_LATE_MAX + 1) {
        return GV_EINVAL;
    }
    l.forgotten = (uint32_t)GvUnpack_Uint(&rows);
    while (GvUnpack_HasNext(&rows)) {
        l.runs[l.n] = (uint32_t)GvUnpack_Uint(&rows);
        if (l.runs[l.n] <= last) {
            return GV_EINVAL;
        }
        last = l.runs[l.n++];
    }
    if (rows.err != GV_OK) {
        return GV_EINVAL;
    }
    g_free(f->late);
    f->late = l.n == 0 ? NULL : g_memdup2(&l, sizeof l);
    return GV_OK;
}
