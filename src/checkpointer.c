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
    bool covered_known;       /* the two fields below are set */
    uint64_t covered_offset;  /* offset that the last checkpoint covers */
    int64_t covered_since_ms; /* monotonic; see update_covered */
    int64_t append_at_ms;     /* monotonic; 0: no checkpoint is planned */
    atomic_bool in_flight;    /* an append is in progress */
    bool too_big_logged;      /* the error is logged once */
};

/* A checkpoint is due after GV_CHECKPOINT_RECORDS records, and after a quarter
   of the retention time even without new records, because the last checkpoint
   is dropped after that time like any other record. If the log already drops
   records, one is also due when the covered offset lies in the older half of
   the retained log: a platform that retains fewer than twice
   GV_CHECKPOINT_RECORDS would otherwise drop the last checkpoint before the
   next. */
bool
GvCheckpoint_IsDue(uint64_t next, uint64_t covered, int64_t age_ms,
                   const gv_retained_t *retained)
{
    if (next == 0 || next < covered) {
        return false;
    }
    if (next - covered >= GV_CHECKPOINT_RECORDS) {
        return true;
    }
    if (retained->retention_ms > 0 && age_ms >= retained->retention_ms / 4) {
        return true;
    }
    uint64_t size = retained->next - retained->first;
    return retained->first > 0 && size >= GV_CHECKPOINT_MIN_RECORDS &&
           covered < retained->first + size / 2;
}

/* Creates a checkpointer. The three modules must outlive it. */
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

/* Frees c; NULL is allowed. */
void
GvCheckpointer_Free(gv_checkpointer_t *c)
{
    g_free(c);
}

/* Stores the covered offset and, if it changed, the time of the change. For a
   checkpoint written before this process first read the log, the age of its
   state (covered_ms, wall clock) is used, which is a little more than the age
   of the checkpoint itself. */
static void
update_covered(gv_checkpointer_t *c, uint64_t covered, int64_t covered_ms,
               int64_t now_ms)
{
    if (c->covered_known && covered == c->covered_offset) {
        return;
    }
    c->covered_since_ms = now_ms;
    if (!c->covered_known && covered > 0) {
        c->covered_since_ms -= MAX(GvClock_WallMs() - covered_ms, 0);
    }
    c->covered_known = true;
    c->covered_offset = covered;
}

/* Returns true if a checkpoint is due now. Returns false while the platform is
   unavailable or the replica is behind the head of the log: its checkpoint
   would be outdated. */
static bool
is_due(gv_checkpointer_t *c, int64_t now_ms)
{
    const gv_ledger_t *l = GvReplica_Lock(c->replica);
    uint64_t next = GvLedger_NextOffset(l);
    uint64_t covered = GvLedger_CoveredOffset(l);
    int64_t covered_ms = GvLedger_CoveredMs(l);
    GvReplica_Unlock(c->replica);
    gv_retained_t retained = GvLogReader_Retained(c->reader);
    if (!GvLogReader_PlatformOk(c->reader) || next < retained.next) {
        return false;
    }
    update_covered(c, covered, covered_ms, now_ms);
    return GvCheckpoint_IsDue(next, covered, now_ms - c->covered_since_ms,
                              &retained);
}

/* Called by the appender with the result of the append. */
static void
on_done(void *user, int err, const gv_verdict_t *v)
{
    gv_checkpointer_t *c = user;
    if (err == GV_OK && v->kind == GV_VERDICT_ACCEPTED) {
        GvCounter_Add(&checkpoints, 1);
    }
    atomic_store(&c->in_flight, false);
}

/* Submits a checkpoint of the current ledger to the appender. */
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
        if (!c->too_big_logged) {
            GvLog_Write(GV_LOG_ERROR,
                        "ledger of %zu bytes does not fit into a checkpoint "
                        "record; no checkpoint is written",
                        sb.size);
        }
        c->too_big_logged = true;
    }
    msgpack_sbuffer_destroy(&sb);
}

/* When a checkpoint becomes due, plans it after a random delay and appends it
   if it is still due then. The delay gives a checkpoint of another entry host
   time to arrive, so that usually only one entry host appends. */
void
GvCheckpointer_Tick(gv_checkpointer_t *c, int64_t now_ms)
{
    if (atomic_load(&c->in_flight)) {
        return;
    }
    if (!is_due(c, now_ms)) {
        c->append_at_ms = 0;
    }
    else if (c->append_at_ms == 0) {
        c->append_at_ms =
            now_ms + 1 + g_random_int_range(0, GV_CHECKPOINT_DELAY_MS);
    }
    else if (now_ms >= c->append_at_ms) {
        c->append_at_ms = 0;
        append_checkpoint(c);
    }
}
