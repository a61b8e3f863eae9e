#include "operator.h"

#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "error.h"
#include "platform.h"

struct gv_operator_s {
    gv_platform_t *platform;
    gv_ledger_t *ledger;
    char origin[32];
    uint64_t incarnation;
    uint64_t sequence;
    int64_t deadline_ms; /* monotonic */
    gv_verdict_t found;  /* of the record that is being appended */
    bool has_verdict;
};

/* Tells how much of the session's time is left, in ms. */
static int
left_ms(const gv_operator_t *op)
{
    int64_t left = op->deadline_ms - GvClock_MonoMs();
    return left < 0 ? 0 : (int)left;
}

/* Applies a page and keeps the first verdict on the session's own record; a
   copy of it is a duplicate and says nothing. */
static void
apply_page(gv_operator_t *op, const gv_log_page_t *page)
{
    gv_verdict_t v;
    for (int i = 0; i < page->n; i++) {
        const gv_raw_record_t *r = &page->records[i];
        if (GvLedger_Apply(op->ledger, r->offset, r->append_ms, r->bytes,
                           &v) != GV_OK) {
            continue;
        }
        if (!op->has_verdict && v.kind != GV_VERDICT_DUPLICATE &&
            v.incarnation == op->incarnation && v.sequence == op->sequence &&
            strcmp(v.origin, op->origin) == 0) {
            op->found = v;
            op->has_verdict = true;
        }
    }
}

/* Loads the first checkpoint from offset `first` on that covers no less than
   `first`. Returns 0, GV_ENOENT when the log has none, or an error. */
static int
load_checkpoint(gv_operator_t *op, uint64_t first)
{
    uint64_t from = first;
    while (left_ms(op) > 0) {
        gv_log_page_t page = {0};
        int err = GvPlatform_Read(op->platform, from, GV_LOG_READ_MAX_RECORDS,
                                  0, &page);
        if (err == GV_EGONE) {
            from = page.first;
            GvPlatform_ClearPage(&page);
            continue;
        }
        if (err != GV_OK) {
            return err;
        }
        for (int i = 0; i < page.n; i++) {
            gv_ledger_t *l;
            if (GvLedger_LoadCheckpoint(page.records[i].bytes, &l) != GV_OK) {
                continue;
            }
            if (GvLedger_NextOffset(l) >= page.first) {
                GvLedger_Free(op->ledger);
                op->ledger = l;
                GvPlatform_ClearPage(&page);
                return GV_OK;
            }
            GvLedger_Free(l);
        }
        int n = page.n;
        from = n > 0 ? page.records[n - 1].offset + 1 : from;
        GvPlatform_ClearPage(&page);
        if (n == 0) {
            return GV_ENOENT;
        }
    }
    return GV_ETIMEDOUT;
}

/* Applies everything that the log holds. With wait_ms, waits once for a
   record when there is none. Returns 0 or an error. */
static int
read_to_head(gv_operator_t *op, int wait_ms)
{
    while (left_ms(op) > 0) {
        gv_log_page_t page = {0};
        int err = GvPlatform_Read(
            op->platform, GvLedger_NextOffset(op->ledger),
            GV_LOG_READ_MAX_RECORDS, MIN(wait_ms, left_ms(op)), &page);
        if (err == GV_EGONE) {
            uint64_t first = page.first;
            GvPlatform_ClearPage(&page);
            err = load_checkpoint(op, first);
            if (err != GV_OK) {
                return err;
            }
            continue;
        }
        if (err != GV_OK) {
            return err;
        }
        apply_page(op, &page);
        bool end = page.n == 0 || GvLedger_NextOffset(op->ledger) >= page.next;
        GvPlatform_ClearPage(&page);
        if (end) {
            return GV_OK;
        }
    }
    return GV_ETIMEDOUT;
}

/* Opens a session: builds the ledger from the log. Retries while the platform
   cannot be reached. Returns 0, GV_ECONN or GV_ETIMEDOUT when the log could
   not be read in time, or GV_ENOENT when its start is no longer retained and
   it has no checkpoint. */
int
GvOperator_Open(gv_str_t platform_addr, int timeout_ms, gv_operator_t **out)
{
    gv_operator_t *op = g_new0(gv_operator_t, 1);
    int err;
    op->platform = GvPlatform_New(platform_addr);
    op->ledger = GvLedger_New();
    op->incarnation = (uint64_t)GvClock_WallMs();
    op->deadline_ms = GvClock_MonoMs() + timeout_ms;
    snprintf(op->origin, sizeof op->origin, "op-%08x%08x", g_random_int(),
             g_random_int());
    for (;;) {
        err = read_to_head(op, 0);
        if (err == GV_OK || err == GV_ENOENT ||
            left_ms(op) <= GV_PLATFORM_BACKOFF_MS) {
            break;
        }
        g_usleep(GV_PLATFORM_BACKOFF_MS * 1000);
    }
    if (err != GV_OK) {
        GvOperator_Close(op);
        return err;
    }
    *out = op;
    return GV_OK;
}

/* Ends the session; NULL is allowed. */
void
GvOperator_Close(gv_operator_t *op)
{
    if (op == NULL) {
        return;
    }
    GvPlatform_Free(op->platform);
    GvLedger_Free(op->ledger);
    g_free(op);
}

/* Returns the ledger at the last offset read; valid until the next call. */
const gv_ledger_t *
GvOperator_Ledger(const gv_operator_t *op)
{
    return op->ledger;
}

/* Returns the origin of the session's records. */
gv_str_t
GvOperator_Origin(const gv_operator_t *op)
{
    return GvStr_C(op->origin);
}

/* Returns the incarnation of the session's records. */
uint64_t
GvOperator_Incarnation(const gv_operator_t *op)
{
    return op->incarnation;
}

/* Packs the next record of the session. The expiry leaves room for a clock
   that differs from the platform's. */
static void
pack_record(gv_operator_t *op, const char *kind,
            const msgpack_sbuffer *payload, msgpack_sbuffer *out)
{
    int64_t now = GvClock_WallMs();
    int64_t life = (int64_t)left_ms(op) + GV_RECORD_SKEW_MS;
    gv_record_t r = {.kind = GvStr_C(kind),
                     .origin = GvStr_C(op->origin),
                     .incarnation = op->incarnation,
                     .sequence = ++op->sequence,
                     .created_ms = now,
                     .expires_ms = now + MIN(life, GV_RECORD_TTL_MS)};
    GvRecord_Pack(out, &r, GvStr_N(payload->data, payload->size));
}

/* Appends one record and waits for its verdict. While the answer of an append
   is lost and the record is not in the log, the same record is appended
   again; the ledger ignores the copies. Returns 0 with the verdict, GV_ECONN
   when the record was certainly never sent, or GV_ETIMEDOUT when its fate is
   unknown at the deadline. */
int
GvOperator_Append(gv_operator_t *op, const char *kind,
                  const msgpack_sbuffer *payload, gv_verdict_t *v)
{
    bool maybe_sent = false;
    bool appended = false;
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    pack_record(op, kind, payload, &sb);
    op->has_verdict = false;
    while (!op->has_verdict && left_ms(op) > 0) {
        if (!appended) {
            uint64_t offset;
            bool sent = true;
            gv_str_t bytes = GvStr_N(sb.data, sb.size);
            appended = GvPlatform_Append(op->platform, &bytes, 1, &offset,
                                         &sent) == GV_OK;
            maybe_sent = maybe_sent || appended || sent;
        }
        int err = read_to_head(op, appended ? GV_LOG_POLL_MS : 0);
        if (!op->has_verdict && (err != GV_OK || !appended)) {
            g_usleep(GV_PLATFORM_BACKOFF_MS * 1000);
        }
    }
    msgpack_sbuffer_destroy(&sb);
    if (op->has_verdict) {
        *v = op->found;
        return GV_OK;
    }
    return maybe_sent ? GV_ETIMEDOUT : GV_ECONN;
}
