#include "job_retire.h"

#include "limits.h"

static void
drop_key(const gv_job_entry_t *e, gv_partition_kind_t kind, int part,
         gv_record_key_t prefix, gv_drop_key_t drop, void *user)
{
    char key[GV_JOB_ID_BYTES + 2];
    g_snprintf(key, sizeof key, "%c%.*s", (char)prefix, GV_STR_ARG(e->id));
    drop(user, kind, part, GvStr_C(key));
}

/* Drops a key from each partition whose bit in `parts` is set. */
static void
drop_from(const gv_job_entry_t *e, uint64_t parts, gv_record_key_t prefix,
          gv_drop_key_t drop, void *user)
{
    for (int part = 0; part < GV_JOB_PARTS_MAX; part++) {
        if ((parts >> part & 1) != 0) {
            drop_key(e, GV_PARTITION_ACCEPTED, part, prefix, drop, user);
        }
    }
}

/* Drops the early cancellations of an entry from all their partitions. */
static void
drop_early_cancels(const gv_job_entry_t *e, gv_drop_key_t drop, void *user)
{
    char key[GV_EARLY_KEY_BYTES];
    for (const gv_early_cancel_t *c = e->early_cancels; c != NULL;
         c = c->next) {
        GvJobTable_EarlyCancelKey(e->id, c->account, c->open_queue, key);
        for (int part = 0; part < GV_JOB_PARTS_MAX; part++) {
            if ((c->stored_in >> part & 1) != 0) {
                drop(user, GV_PARTITION_ACCEPTED, part, GvStr_C(key));
            }
        }
    }
}

/* Updates and returns the time since when a job has been ready to be dropped:
   it has ended and has no run that may still exist, or its definition is gone.
   0: it is not ready. */
static int64_t
update_ready_ms(gv_job_entry_t *e, int64_t now_ms)
{
    bool ended =
        e->job != NULL && GvJob_Ended(e->job) && !GvJob_HasPlaced(e->job);
    if (!ended) {
        e->ended_ms = 0;
    }
    else if (e->ended_ms == 0) {
        e->ended_ms = now_ms;
    }
    /* A definition that cannot be read here may be read by another host. */
    if (e->job != NULL || e->defined_in != 0) {
        e->orphan_ms = 0;
    }
    else if (e->orphan_ms == 0) {
        e->orphan_ms = now_ms;
    }
    return ended ? e->ended_ms : e->orphan_ms;
}

/* Drops keys of jobs that ended at least keep_ms ago, of GV_JOB_RETIRE_MAX
   jobs at most. Every entry host calls this repeatedly, so that it knows since
   when a job has ended; the leader passes `drop`, others NULL. Returns the
   number of jobs of which keys were dropped. */
int
GvJobRetire_Run(gv_job_table_t *t, int64_t keep_ms, int64_t now_ms,
                gv_drop_key_t drop, void *user)
{
    GHashTableIter it;
    gpointer value;
    int n = 0;
    g_hash_table_iter_init(&it, t->jobs);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        gv_job_entry_t *e = value;
        int64_t since = update_ready_ms(e, now_ms);
        int64_t keep = e->job != NULL ? keep_ms : GV_JOB_PROGRESS_KEEP_MS;
        if (drop == NULL || since == 0 || now_ms - since < keep ||
            n >= GV_JOB_RETIRE_MAX ||
            (e->dropped_ms != 0 &&
             now_ms - e->dropped_ms < GV_JOB_PROGRESS_KEEP_MS)) {
            continue;
        }
        drop_from(e, e->defined_in, GV_KEY_JOB, drop, user);
        if (e->job == NULL) {
            drop_from(e, e->cancelled_in, GV_KEY_CANCEL, drop, user);
            drop_early_cancels(e, drop, user);
        }
        if (e->job == NULL && e->progress_offset != 0) {
            drop_key(e, GV_PARTITION_PROGRESS, 0, GV_KEY_PROGRESS, drop, user);
        }
        e->dropped_ms = now_ms;
        n++;
    }
    return n;
}
