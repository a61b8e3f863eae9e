#include <string.h>

#include "error.h"
#include "evlog.h"
#include "limits.h"
#include "pack.h"
#include "sched_private.h"

/* Leases of targets: how long each may last, and what a scheduler that is
   about to end stores of them for the next one. Without that, the next one has
   to wait for as long as the former one may have renewed them. */

#define FORMAT_VERSION 1

/* Returns how long a lease of that length lasts at most, in the time of this
   host. */
static int64_t
longest_ms(int64_t lease_ms)
{
    return lease_ms + lease_ms * GV_SCHED_SLOW_CLOCK_PERCENT / 100 +
           GV_SCHED_LEASE_SLACK_MS;
}

/* Returns the end of a lease that begins now, on the target's clock, and sets
   lease_until_ms to when it has certainly ended there. */
int64_t
GvSched_NewLease(const gv_sched_t *s, gv_sched_target_t *tgt, int64_t now_ms)
{
    tgt->lease_until_ms =
        MAX(tgt->lease_until_ms, now_ms + longest_ms(s->o.lease_ms));
    return now_ms + tgt->clock_offset_ms + s->o.lease_ms;
}

/* Returns true if earlier schedulers may have sent a target deadlines on the
   clock of a former incarnation: it began after this scheduler, or so shortly
   before it that they may not have read its clock anew. */
static bool
began_lately(const gv_sched_t *s, const gv_sched_target_t *tgt, int64_t now_ms)
{
    int64_t age_ms =
        s->wall_ms - tgt->info.started_ms - (now_ms - s->o.now_ms);
    return tgt->info.started_ms != 0 &&
           age_ms < GV_SCHED_CLOCK_VALID_MS + longest_ms(s->o.max_lease_ms);
}

/* Returns when a lease has ended that an earlier scheduler gave with its last
   hold: an ordinary one, or the longest that a target grants. The permission
   of that scheduler to send holds counts from the sending of a record which
   this host has read, and which came before this scheduler began. */
static int64_t
end_by_permission(const gv_sched_t *s, bool is_longest)
{
    int64_t lease_ms =
        longest_ms(is_longest ? s->o.max_lease_ms : s->o.lease_ms);
    int64_t holds_ms =
        GV_LEAD_HOLDS_MS + GV_LEAD_HOLDS_MS * GV_LEAD_DRIFT_PERCENT / 100;
    int64_t by_start_ms = s->o.now_ms + GV_LEAD_HOLDS_MS +
                          (is_longest ? lease_ms : s->o.lease_ms);
    int64_t by_record_ms =
        s->o.former_ms + holds_ms + GV_LEAD_WAY_MS + lease_ms;
    return s->o.former_ms == 0 ? by_start_ms : MIN(by_start_ms, by_record_ms);
}

/* Returns when every lease that earlier schedulers gave a target has ended.
   What the former scheduler has stored counts for the incarnation that it
   knew. Without that, a target that began lately may hold the longest lease
   that it grants. */
static int64_t
inherited_until(const gv_sched_t *s, const gv_sched_target_t *tgt,
                int64_t now_ms)
{
    const gv_former_lease_t *f =
        s->former_leases == NULL
            ? NULL
            : g_hash_table_lookup(s->former_leases, tgt->id);
    if (s->former_leases != NULL && f == NULL) {
        return s->former_others_ms;
    }
    if (f != NULL && f->started_ms != 0 &&
        (tgt->started_ms == 0 || tgt->started_ms == f->started_ms)) {
        return f->until_ms;
    }
    return end_by_permission(s, began_lately(s, tgt, now_ms));
}

/* Returns when every lease that a target may hold has ended: none of its runs
   lives longer unless it is renewed. A lease holds for all of them, so that
   one of an earlier scheduler matters also where none of its runs is recorded.
 */
int64_t
GvSched_LeaseEndMs(const gv_sched_t *s, const gv_sched_target_t *tgt,
                   int64_t now_ms)
{
    bool has_earlier = s->o.epoch > 1 && began_lately(s, tgt, now_ms);
    return tgt->inherited || has_earlier
               ? MAX(tgt->lease_until_ms, inherited_until(s, tgt, now_ms))
               : tgt->lease_until_ms;
}

/* Notes that the incarnation of a target has ended, and its leases with it. An
   order without an answer may still reach the next one. */
void
GvSched_EndLeases(gv_sched_target_t *tgt, int64_t now_ms)
{
    tgt->lease_until_ms = now_ms;
    tgt->inherited = false;
}

/* Deadlines on the clock of a former incarnation say nothing to the present
   one, which takes those ahead of its own clock for the longest lease that it
   grants. It may have received them until now, or until later if some order
   got no answer yet. */
void
GvSched_CoverFormerDeadlines(const gv_sched_t *s, gv_sched_target_t *tgt,
                             int64_t now_ms)
{
    bool open = tgt->hold_pending;
    for (guint i = 0; i < tgt->runs->len; i++) {
        open =
            open ||
            ((const gv_run_t *)g_ptr_array_index(tgt->runs, i))->order_pending;
    }
    int64_t sent_ms = open ? now_ms : tgt->unanswered_ms;
    int64_t received_ms =
        sent_ms == 0 ? now_ms : MAX(now_ms, sent_ms + GV_SCHED_LATE_ORDER_MS);
    tgt->lease_until_ms =
        MAX(tgt->lease_until_ms, received_ms + longest_ms(s->o.max_lease_ms));
}

/* Returns true if holds renew the leases of a target: it has runs, and its
   clock is known. While it does not answer, its leases are not renewed:
   otherwise those of a target that is gone would never end for this
   scheduler. */
bool
GvSched_IsRenewed(const gv_sched_target_t *tgt)
{
    return tgt->clock_read_ms > 0 && tgt->runs->len > 0 &&
           tgt->hold_failures == 0;
}

/* Returns true if the leases of a target may be renewed now. Once they were
   packed, only those that were announced to be, for GV_LEAD_RESIGN_HOLDS_MS.
 */
bool
GvSched_MayRenew(const gv_sched_t *s, const gv_sched_target_t *tgt,
                 int64_t now_ms)
{
    return s->packed_ms == 0 ||
           (tgt->renewal_packed &&
            now_ms < s->packed_ms + GV_LEAD_RESIGN_HOLDS_MS);
}

/* Returns for how long at most leases on a target last from now on, with the
   renewals that GvSched_MayRenew allows once they are packed; 0: none. Those
   of earlier schedulers count for any target: this one may not have read all
   jobs yet, so that it does not know of runs there. */
static int64_t
left_ms(const gv_sched_t *s, const gv_sched_target_t *tgt, int64_t now_ms)
{
    int64_t until = GvSched_LeaseEndMs(s, tgt, now_ms);
    if (s->o.epoch > 1) {
        until = MAX(until, inherited_until(s, tgt, now_ms));
    }
    if (tgt->renewal_packed) {
        until = MAX(until, now_ms + GV_LEAD_RESIGN_HOLDS_MS +
                               longest_ms(s->o.lease_ms));
    }
    return MAX(until - now_ms, 0);
}

/* Returns true if an order to a target has no answer and may still be carried
   out. */
bool
GvSched_HasLateOrder(const gv_sched_target_t *tgt, int64_t now_ms)
{
    return tgt->unanswered_ms != 0 &&
           now_ms - tgt->unanswered_ms < GV_SCHED_LATE_ORDER_MS;
}

/* Returns for how long leases may last, from now on, that schedulers before
   this one gave to targets that neither this one knows nor the one before. */
static int64_t
others_left_ms(const gv_sched_t *s, int64_t now_ms)
{
    int64_t until = 0;
    if (s->former_leases != NULL) {
        until = s->former_others_ms;
    }
    else if (s->o.epoch > 1) {
        until = end_by_permission(s, true);
    }
    return MAX(until - now_ms, 0);
}

/* For how long the leases of a target last at most. */
typedef struct {
    const char *target;
    int64_t started_ms; /* of its incarnation; 0: unknown */
    int64_t left_ms;
} gv_lease_row_t;

/* Adds the rows of the targets that this scheduler knows. */
static void
add_targets(gv_sched_t *s, int64_t now_ms, GArray *rows)
{
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, s->targets);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        gv_sched_target_t *tgt = value;
        tgt->renewal_packed = GvSched_IsRenewed(tgt);
        gv_lease_row_t row = {tgt->id, tgt->started_ms,
                              left_ms(s, tgt, now_ms)};
        if (row.left_ms > 0 || GvSched_HasLateOrder(tgt, now_ms)) {
            g_array_append_val(rows, row);
        }
    }
}

/* Adds the rows of targets that only the former scheduler knew. */
static void
add_former(const gv_sched_t *s, int64_t now_ms, GArray *rows)
{
    GHashTableIter it;
    gpointer key;
    gpointer value;
    if (s->former_leases == NULL) {
        return;
    }
    g_hash_table_iter_init(&it, s->former_leases);
    while (g_hash_table_iter_next(&it, &key, &value)) {
        const gv_former_lease_t *f = value;
        gv_lease_row_t row = {key, f->started_ms, f->until_ms - now_ms};
        if (row.left_ms > 0 && GvSched_FindTarget(s, key) == NULL) {
            g_array_append_val(rows, row);
        }
    }
}

/* Packs the rows. Returns false if some lease lasts for longer than a reader
   accepts. */
static bool
pack_rows(const GArray *rows, msgpack_packer *pk)
{
    bool ok = true;
    msgpack_pack_array(pk, rows->len);
    for (guint i = 0; i < rows->len; i++) {
        const gv_lease_row_t *row = &g_array_index(rows, gv_lease_row_t, i);
        msgpack_pack_array(pk, 3);
        GvPack_Str(pk, GvStr_C(row->target));
        GvPack_Int(pk, row->started_ms);
        GvPack_Int(pk, row->left_ms);
        ok = ok && row->left_ms <= GV_LEAD_LEASE_LEFT_MAX_MS;
    }
    return ok;
}

/* Appends for how long each lease may last, as the last act of this scheduler
   before its resignation is sent: from now on it starts nothing and renews no
   lease beyond that. Appends nothing if that would exceed
   GV_LEAD_LEASES_BYTES. */
void
GvSched_PackLeases(gv_sched_t *s, int64_t now_ms, GByteArray *out)
{
    msgpack_sbuffer sb;
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(gv_lease_row_t));
    int64_t others = others_left_ms(s, now_ms);
    add_targets(s, now_ms, rows);
    add_former(s, now_ms, rows);
    msgpack_sbuffer_init(&sb);
    msgpack_packer pk = GvPack_Array(&sb, 3);
    GvPack_Uint(&pk, FORMAT_VERSION);
    GvPack_Int(&pk, others);
    bool ok = pack_rows(rows, &pk) && others <= GV_LEAD_LEASE_LEFT_MAX_MS &&
              sb.size <= GV_LEAD_LEASES_BYTES;
    if (ok) {
        g_byte_array_append(out, (const guint8 *)sb.data, (guint)sb.size);
    }
    s->packed_ms = now_ms;
    GvEvlog_Write("leases", "packed=%d targets=%u bytes=%zu", ok, rows->len,
                  sb.size);
    msgpack_sbuffer_destroy(&sb);
    g_array_free(rows, TRUE);
}

/* The packed leases were certainly not stored: this scheduler goes on. */
void
GvSched_UnpackLeases(gv_sched_t *s)
{
    s->packed_ms = 0;
}

/* Returns when a lease has ended of which so much was left when the record
   that was read at former_ms was stored. */
static int64_t
until_ms(const gv_sched_t *s, int64_t left)
{
    return s->o.former_ms + left + left * GV_LEAD_DRIFT_PERCENT / 100;
}

/* Reads one row; false if it is malformed or its time out of range. */
static bool
read_target(gv_sched_t *s, gv_unpack_t *rows)
{
    gv_unpack_t f = GvUnpack_Sub(rows, 3);
    gv_str_t id = rows->err == GV_OK ? GvUnpack_Str(&f) : GV_STR("");
    int64_t started = rows->err == GV_OK ? GvUnpack_Int(&f) : 0;
    int64_t left = rows->err == GV_OK ? GvUnpack_Int(&f) : -1;
    if (rows->err != GV_OK || f.err != GV_OK || id.n == 0 || left < 0 ||
        left > GV_LEAD_LEASE_LEFT_MAX_MS) {
        return false;
    }
    gv_former_lease_t *l = g_new(gv_former_lease_t, 1);
    *l = (gv_former_lease_t){started, until_ms(s, left)};
    g_hash_table_replace(s->former_leases, g_strndup(id.p, id.n), l);
    return true;
}

static int
read_leases(gv_sched_t *s, gv_str_t bytes)
{
    msgpack_unpacked un;
    int rc = GvUnpack_Root(&un, bytes);
    gv_unpack_t u = GvUnpack_Array(rc == GV_OK ? &un.data : NULL, 3);
    bool ok = u.err == GV_OK && GvUnpack_Uint(&u) == FORMAT_VERSION;
    int64_t others = ok ? GvUnpack_Int(&u) : -1;
    ok = ok && others >= 0 && others <= GV_LEAD_LEASE_LEFT_MAX_MS;
    if (ok) {
        gv_unpack_t rows = GvUnpack_Sub(&u, 0);
        s->former_others_ms = until_ms(s, others);
        ok = u.err == GV_OK;
        while (ok && GvUnpack_HasNext(&rows)) {
            ok = read_target(s, &rows);
        }
    }
    msgpack_unpacked_destroy(&un);
    return ok ? GV_OK : GV_EINVAL;
}

/* Takes over what the former scheduler has packed. Returns 0, or a negative
   error if there is nothing or it is malformed: then the leases count for as
   long as that one may have renewed them. */
int
GvSched_LoadLeases(gv_sched_t *s, gv_str_t bytes)
{
    int rc = GV_EINVAL;
    if (bytes.n > 0 && s->o.former_ms != 0) {
        s->former_leases =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        rc = read_leases(s, bytes);
    }
    if (rc != GV_OK && s->former_leases != NULL) {
        g_hash_table_destroy(s->former_leases);
        s->former_leases = NULL;
    }
    GvEvlog_Write("leases", "epoch=%llu stored=%d targets=%u record_age=%lld",
                  (unsigned long long)s->o.epoch, rc == GV_OK,
                  rc == GV_OK ? g_hash_table_size(s->former_leases) : 0,
                  (long long)(s->o.now_ms - s->o.former_ms));
    return rc;
}
