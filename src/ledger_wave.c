#include <stdarg.h>
#include <stdio.h>

#include "error.h"
#include "ledger_state.h"

/* Packs a wave change: [name, pool, width, change]. */
void
GvLedger_PackWave(msgpack_sbuffer *out, gv_str_t name, gv_str_t pool,
                  int width, gv_wave_change_t change)
{
    msgpack_packer pk = GvPack_Array(out, 4);
    GvPack_Str(&pk, name);
    GvPack_Str(&pk, pool);
    GvPack_Int(&pk, width);
    GvPack_Int(&pk, change);
}

/* Halts a running wave; a wave that is halted keeps its first reason. */
void
GvLedger_HaltWave(gv_ledger_t *l, gv_str_t wave, const char *fmt, ...)
{
    char text[128];
    va_list ap;
    gv_wave_t *w = GvTable_Find(&l->waves, wave);
    if (w == NULL || w->state != GV_WAVE_RUNNING) {
        return;
    }
    va_start(ap, fmt);
    vsnprintf(text, sizeof text, fmt, ap);
    va_end(ap);
    w->state = GV_WAVE_HALTED;
    GvStr_Free(&w->halt_reason);
    w->halt_reason = GvStr_Dup(GvStr_C(text));
}

/* Ends the running wave of a pool once every host of the pool has been
   maintained in it. */
void
GvLedger_EndWaveIfDone(gv_ledger_t *l, gv_str_t pool)
{
    gv_wave_t *w = (gv_wave_t *)GvLedger_ActiveWave(l, pool);
    if (w == NULL || w->state != GV_WAVE_RUNNING) {
        return;
    }
    for (unsigned i = 0; i < l->hosts.rows->len; i++) {
        const gv_ledger_host_t *h = g_ptr_array_index(l->hosts.rows, i);
        if (h->wave_done != w->offset && GvStr_Equal(h->pool, pool)) {
            return;
        }
    }
    w->state = GV_WAVE_DONE;
}

/* Makes room for one more wave by dropping the oldest one that has ended and
   holds no claim. Returns false when there is none. */
static bool
trim_waves(gv_ledger_t *l)
{
    gv_wave_t *oldest = NULL;
    if (l->waves.rows->len < GV_WAVES_MAX) {
        return true;
    }
    for (unsigned i = 0; i < l->waves.rows->len; i++) {
        gv_wave_t *w = g_ptr_array_index(l->waves.rows, i);
        if (w->state == GV_WAVE_DONE &&
            GvLedger_WaveTally(l, w->name).hosts == 0 &&
            (oldest == NULL || w->offset < oldest->offset)) {
            oldest = w;
        }
    }
    if (oldest == NULL) {
        return false;
    }
    GvTable_Remove(&l->waves, oldest->name);
    return true;
}

/* Starts a wave. The name of an ended wave may be used again once no host is
   under claim for it. */
static int
start(gv_ledger_t *l, uint64_t offset, const gv_wave_t *in, char *reason,
      size_t n)
{
    const gv_wave_t *other = GvLedger_ActiveWave(l, in->pool);
    const gv_wave_t *same = GvTable_Find(&l->waves, in->name);
    if (in->width < 1) {
        return GV_EINVAL;
    }
    if (GvSettings_Pool(l->settings, in->pool) == NULL) {
        return GvLedger_Refuse(reason, n, "pool %.*s is not declared",
                               GV_STR_ARG(in->pool));
    }
    if (other != NULL) {
        return GvLedger_Refuse(reason, n,
                               "wave %.*s of the pool has not ended",
                               GV_STR_ARG(other->name));
    }
    if (same != NULL && (same->state != GV_WAVE_DONE ||
                         GvLedger_WaveTally(l, in->name).hosts > 0)) {
        return GvLedger_Refuse(reason, n, "wave %.*s has not ended",
                               GV_STR_ARG(in->name));
    }
    if (GvLedger_PoolTally(l, in->pool).hosts == 0) {
        return GvLedger_Refuse(reason, n, "pool %.*s has no hosts",
                               GV_STR_ARG(in->pool));
    }
    if (!GvLedger_HasRoom(l, GV_HOST_STATE_BYTES) ||
        (same == NULL && !trim_waves(l))) {
        return GvLedger_Refuse(reason, n, "too many waves");
    }
    gv_wave_t *w = g_new0(gv_wave_t, 1);
    w->name = GvStr_Dup(in->name);
    w->pool = GvStr_Dup(in->pool);
    w->width = in->width;
    w->offset = offset;
    w->halt_reason = GvStr_Dup(GV_STR(""));
    GvTable_Remove(&l->waves, in->name);
    GvTable_Add(&l->waves, w);
    return GV_OK;
}

/* Stops or resumes a wave. Hosts under claim keep their claims. */
static int
change_state(gv_ledger_t *l, const gv_wave_t *in, gv_wave_change_t change,
             char *reason, size_t n)
{
    gv_wave_t *w = GvTable_Find(&l->waves, in->name);
    if (w == NULL || !GvStr_Equal(w->pool, in->pool)) {
        return GvLedger_Refuse(reason, n, "no wave %.*s on pool %.*s",
                               GV_STR_ARG(in->name), GV_STR_ARG(in->pool));
    }
    if (w->state == GV_WAVE_DONE) {
        return GvLedger_Refuse(reason, n, "wave %.*s has ended",
                               GV_STR_ARG(in->name));
    }
    if (change == GV_WAVE_STOP) {
        w->state = GV_WAVE_DONE;
        return GV_OK;
    }
    if (w->state != GV_WAVE_HALTED) {
        return GvLedger_Refuse(reason, n, "wave %.*s is not halted",
                               GV_STR_ARG(in->name));
    }
    w->state = GV_WAVE_RUNNING;
    GvStr_Free(&w->halt_reason);
    w->halt_reason = GvStr_Dup(GV_STR(""));
    GvLedger_EndWaveIfDone(l, w->pool);
    return GV_OK;
}

/* Applies a wave change. */
static int
fold_wave(gv_ledger_t *l, uint64_t offset, const gv_record_t *r, char *reason,
          size_t n)
{
    gv_wave_t in = {0};
    gv_unpack_t u = GvUnpack_Array(r->payload, 4);
    in.name = GvUnpack_Str(&u);
    in.pool = GvUnpack_Str(&u);
    uint64_t width = GvUnpack_Uint(&u);
    uint64_t change = GvUnpack_Uint(&u);
    if (u.err != GV_OK || !GvStr_IsName(in.name) || !GvStr_IsName(in.pool) ||
        width > GV_HOSTS_MAX) {
        return GV_EINVAL;
    }
    in.width = (int)width;
    switch (change) {
    case GV_WAVE_START:
        return start(l, offset, &in, reason, n);
    case GV_WAVE_STOP:
    case GV_WAVE_RESUME:
        return change_state(l, &in, (gv_wave_change_t)change, reason, n);
    default:
        return GV_EINVAL;
    }
}

static gv_record_kind_t wave_kind = {{"wave", NULL}, fold_wave};
GV_REGISTER(GV_PLUGIN_RECORD, wave_kind);
