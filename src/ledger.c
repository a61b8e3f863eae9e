#include "ledger.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "counter.h"
#include "error.h"
#include "ledger_state.h"

GV_COUNTER(accepted, "ledger_records_accepted_total", "Records accepted.");
GV_COUNTER(rejected, "ledger_records_rejected_total",
           "Records rejected by rule or for their times.");
GV_COUNTER(duplicates, "ledger_records_duplicate_total",
           "Records ignored as repeated.");
GV_COUNTER(malformed, "ledger_records_malformed_total",
           "Records that could not be read.");

/* Sets the verdict's kind and reason, and counts it. */
static void
set_verdict(gv_verdict_t *v, gv_verdict_kind_t kind, const char *reason)
{
    v->kind = kind;
    if (reason != v->reason) {
        snprintf(v->reason, sizeof v->reason, "%s", reason);
    }
    switch (kind) {
    case GV_VERDICT_ACCEPTED:
        GvCounter_Add(&accepted, 1);
        break;
    case GV_VERDICT_REJECTED:
    case GV_VERDICT_EXPIRED:
        GvCounter_Add(&rejected, 1);
        break;
    case GV_VERDICT_DUPLICATE:
        GvCounter_Add(&duplicates, 1);
        break;
    case GV_VERDICT_MALFORMED:
        GvCounter_Add(&malformed, 1);
        break;
    }
}

/* Stores the sequence of a record as the highest one of its origin and
   incarnation. Returns 0, GV_EEXIST if that or a higher one was stored before,
   or GV_EFULL, with nothing stored, if there is no room for another origin.
   It is stored before the record is checked, so that a late copy of the record
   is a duplicate whatever the verdict on the first one was. */
static int
store_sequence(gv_ledger_t *l, const gv_record_t *r)
{
    char text[GV_NAME_MAX_BYTES + 24];
    snprintf(text, sizeof text, "%.*s.%llu", GV_STR_ARG(r->origin),
             (unsigned long long)r->incarnation);
    gv_str_t name = GvStr_C(text);
    gv_origin_t *o = GvTable_Find(&l->origins, name);
    if (o != NULL && GvLedger_IsLiveOrigin(l, o) &&
        r->sequence <= o->sequence) {
        return GV_EEXIST;
    }
    if (o == NULL) {
        if (l->origins.rows->len >= GV_ORIGINS_MAX) {
            GvLedger_DropExpired(l);
        }
        if (l->origins.rows->len >= GV_ORIGINS_MAX ||
            !GvLedger_HasRoom(l, name.n + 24)) {
            return GV_EFULL;
        }
        o = g_new0(gv_origin_t, 1);
        o->name = GvStr_Dup(name);
        GvTable_Add(&l->origins, o);
    }
    o->sequence = r->sequence;
    o->last_ms = l->time_ms;
    return GV_OK;
}

/* Checks the creation and expiry times of a record against the ledger's time.
   Returns false, with the verdict set, if the record is rejected. */
static bool
check_times(const gv_ledger_t *l, const gv_record_t *r, gv_verdict_t *v)
{
    if (r->expires_ms - r->created_ms > GV_RECORD_TTL_MS) {
        set_verdict(v, GV_VERDICT_REJECTED,
                    "expiry is too long after the creation");
        return false;
    }
    if (r->created_ms - l->time_ms > GV_RECORD_SKEW_MS) {
        set_verdict(v, GV_VERDICT_REJECTED, "creation is in the future");
        return false;
    }
    if (l->time_ms > r->expires_ms) {
        set_verdict(v, GV_VERDICT_EXPIRED, "appended after its expiry");
        return false;
    }
    return true;
}

/* Applies the payload with the plug-in of the record's kind, and sets the
   verdict. */
static void
fold(gv_ledger_t *l, uint64_t offset, const gv_record_t *r, gv_verdict_t *v)
{
    gv_record_kind_t *kind =
        (gv_record_kind_t *)GvRegistry_Find(GV_PLUGIN_RECORD, r->kind);
    if (kind == NULL) {
        set_verdict(v, GV_VERDICT_REJECTED, "unknown record kind");
        return;
    }
    int err = kind->fold(l, offset, r, v->reason, sizeof v->reason);
    if (err == GV_OK) {
        set_verdict(v, GV_VERDICT_ACCEPTED, "");
    }
    else if (err == GV_EINVAL) {
        set_verdict(v, GV_VERDICT_MALFORMED, "malformed payload");
    }
    else {
        set_verdict(v, GV_VERDICT_REJECTED, v->reason);
    }
}

/* Copies the kind, origin, incarnation and sequence into the verdict. */
static void
copy_identity(gv_verdict_t *v, const gv_record_t *r)
{
    snprintf(v->rec_kind, sizeof v->rec_kind, "%.*s", GV_STR_ARG(r->kind));
    snprintf(v->origin, sizeof v->origin, "%.*s", GV_STR_ARG(r->origin));
    v->incarnation = r->incarnation;
    v->sequence = r->sequence;
}

/* Applies the log record at `offset`, which must be GvLedger_NextOffset.
   append_ms is the time at which the platform appended it, in ms since the
   epoch. Returns 0 with the verdict in v, also for a rejected or malformed
   record, or GV_ESTALE for any other offset; then the ledger is unchanged. */
int
GvLedger_Apply(gv_ledger_t *l, uint64_t offset, int64_t append_ms,
               gv_str_t bytes, gv_verdict_t *v)
{
    gv_record_t r = {0};
    msgpack_unpacked un;
    memset(v, 0, sizeof *v);
    v->offset = offset;
    if (offset != l->next_offset) {
        return GV_ESTALE;
    }
    l->next_offset = offset + 1;
    l->time_ms = MAX(l->time_ms, MIN(append_ms, GV_LEDGER_TIME_MAX_MS));
    if (GvRecord_Unpack(bytes, &un, &r) != GV_OK) {
        set_verdict(v, GV_VERDICT_MALFORMED, "malformed envelope");
        msgpack_unpacked_destroy(&un);
        return GV_OK;
    }
    copy_identity(v, &r);
    int err = store_sequence(l, &r);
    if (err == GV_EEXIST) {
        set_verdict(v, GV_VERDICT_DUPLICATE, "sequence already applied");
    }
    else if (err != GV_OK) {
        set_verdict(v, GV_VERDICT_REJECTED, "too many origins");
    }
    else if (check_times(l, &r, v)) {
        fold(l, offset, &r, v);
    }
    msgpack_unpacked_destroy(&un);
    return GV_OK;
}

/* Returns the XXH3 hash of the saved state. Equal states have equal digests
   in every process. */
uint64_t
GvLedger_Digest(const gv_ledger_t *l)
{
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    GvLedger_Save(l, &sb);
    uint64_t h = XXH3_64bits(sb.data, sb.size);
    msgpack_sbuffer_destroy(&sb);
    return h;
}
