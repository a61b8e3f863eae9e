#include "checkpointer.h"

#include <glib.h>
#include <stdatomic.h>

#include "clock.h"
#include "counter.h"
#include "error.h"
#include "limits.h"
#include "log.h"

GV_COUNTER(checkpoints, "log_checkpoints_total",
           "Checkpoints that this process appended");
GV_COUNTER(too_big, "log_checkpoints_too_big_total",
           "Checkpoints not appended because they exceed a record");

struct gv_checkpointer_s {
    gv_replica_t *replica;
    gv_logreader_t *reader;
    gv_appender_t *appender;
    bool seen;
    uint64_t covered;   /* by the last checkpoint seen */
    int64_t since_ms;   /* when it was first seen */
    int64_t look_at_ms; /* time of the second look; 0: none planned */
    atomic_bool in_flight;
    bool told; /* the size was logged */
};

/* A checkpoint is due after GV_CHECKPOINT_RECORDS, or after a quarter of the
   retention time, also in a quiet log, whose last checkpoint expires as well.
   It is also due when the covered offset lies in the older half of a log that
   drops records, for a platform that retains fewer than twice that number. */
bool
GvCheckpoint_IsDue(uint64_t next, uint64_t covered, int64_t age_ms,
                   const gv_retained_t *kept)
{
    if (next == 0 || next < covered) {
        return false;
    }
    if (next - covered >= GV_CHECKPOINT_RECORDS) {
        return true;
    }
    if (kept->retention_ms > 0 && age_ms >= kept->retention_ms / 4) {
        return true;
    }
    uint64_t size = kept->next - kept->first;
    return kept->first > 0 && size >= GV_CHECKPOINT_MIN_RECORDS &&
           covered < kept->first + size / 2;
}

/* Creates a checkpointer; the three modules outlive it. */
gv_checkpointer_t *
GvCheckpointer_New(gv_replica_t *replica, gv_logreader_t *reader,
                   gv_appender_t *appender)
{
    gv_checkpointer_t *c = g_new0(gv_checkpointer_t, 1);
    c->replica = replica;
    c->reader = reader;
    c->appender = appender;
    return c;
}

/* Releases c; NULL is allowed. */
void
GvCheckpointer_Free(gv_checkpointer_t *c)
{
    g_free(c);
}

/* Notes a change of the covered offset. The age of a checkpoint that was
   written before this process read the log is the age of its state, which is
   a little more than its own. */
static void
note_covered(gv_checkpointer_t *c, uint64_t covered, int64_t covered_ms,
             int64_t now_ms)
{
    if (c->seen && covered == c->covered) {
        return;
    }
    c->since_ms = now_ms;
    if (!c->seen && covered > 0) {
        c->since_ms -= MAX(GvClock_WallMs() - covered_ms, 0);
    }
    c->seen = true;
    c->covered = covered;
}

/* Looks at the ledger and the log and decides. A reader behind the head of
   the log waits, because its checkpoint would be merely older. */
static bool
is_due(gv_checkpointer_t *c, int64_t now_ms)
{
    const gv_ledger_t *l = GvReplica_Lock(c->replica);
    uint64_t next = GvLedger_NextOffset(l);
    uint64_t covered = GvLedger_CoveredOffset(l);
    int64_t covered_ms = GvLedger_CoveredMs(l);
    GvReplica_Unlock(c->replica);
    gv_retained_t kept = GvLogReader_Retained(c->reader);
    if (!GvLogReader_PlatformOk(c->reader) || next < kept.next) {
        return false;
    }
    note_covered(c, covered, covered_ms, now_ms);
    return GvCheckpoint_IsDue(next, covered, now_ms - c->since_ms, &kept);
}

/* Ends the append in progress. */
static void
on_done(void *user, int err, const gv_verdict_t *v)
{
    gv_checkpointer_t *c = user;
    if (err == GV_OK && v->kind == GV_VERDICT_ACCEPTED) {
        GvCounter_Add(&checkpoints, 1);
    }
    atomic_store(&c->in_flight, false);
}

/* Appends a checkpoint of the present ledger. */
static void
append_checkpoint(gv_checkpointer_t *c)
{
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    GvLedger_PackCheckpoint(&sb, GvReplica_Lock(c->replica));
    GvReplica_Unlock(c->replica);
    atomic_store(&c->in_flight, true);
    int err =
        GvAppender_Submit(c->appender, "checkpoint", GvStr_N(sb.data, sb.size),
                          GV_RECORD_TTL_MS / 2, on_done, c);
    if (err != GV_OK) {
        atomic_store(&c->in_flight, false);
    }
    if (err == GV_ETOOBIG) {
        GvCounter_Add(&too_big, 1);
        if (!c->told) {
            GvLog_Write(GV_LOG_ERROR,
                        "ledger of %zu bytes does not fit into a checkpoint",
                        sb.size);
        }
        c->told = true;
    }
    msgpack_sbuffer_destroy(&sb);
}

/* Decides, waits a random time, decides again and appends. The delay gives
   the checkpoint of another entry host time to arrive. */
void
GvCheckpointer_Tick(gv_checkpointer_t *c, int64_t now_ms)
{
    if (atomic_load(&c->in_flight)) {
        return;
    }
    if (!is_due(c, now_ms)) {
        c->look_at_ms = 0;
    }
    else if (c->look_at_ms == 0) {
        c->look_at_ms =
            now_ms + 1 + g_random_int_range(0, GV_CHECKPOINT_DELAY_MS);
    }
    else if (now_ms >= c->look_at_ms) {
        c->look_at_ms = 0;
        append_checkpoint(c);
    }
}
