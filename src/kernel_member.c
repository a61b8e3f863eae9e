#include <msgpack.h>

#include "clock.h"
#include "error.h"
#include "kernel_private.h"
#include "limits.h"
#include "log.h"
#include "sync.h"

/* A join whose fate is unknown is repeated after this time; a second one
   that arrives is rejected by the ledger and harmless. */
#define JOIN_RETRY_MS   1000
#define JOIN_TIMEOUT_MS 10000

/* Sets the incarnation: the wall-clock time, raised above the one that the
   ledger knows for this name. */
void
GvKernel_ChooseIncarnation(gv_kernel_t *k)
{
    uint64_t known = 0;
    const gv_ledger_t *l = GvReplica_Lock(k->replica);
    const gv_member_t *m = GvLedger_Member(l, k->conf.name);
    if (m != NULL) {
        known = m->incarnation;
    }
    GvReplica_Unlock(k->replica);
    uint64_t now = (uint64_t)GvClock_WallMs();
    k->incarnation = now > known ? now : known + 1;
    GvViews_SetIncarnation(k->views, k->incarnation);
}

/* Appends a record about the own membership. */
static int
submit_member(gv_kernel_t *k, gv_member_change_t change, gv_append_done_t done)
{
    gv_member_t m = {
        .name = k->conf.name,
        .dc = k->conf.dc,
        .peer_addr = k->conf.peer_addr,
        .http_addr = k->conf.http_addr,
        .incarnation = k->incarnation,
    };
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    GvLedger_PackMember(&sb, &m, change);
    int rc =
        GvAppender_Submit(k->appender, "member", GvStr_N(sb.data, sb.size),
                          JOIN_TIMEOUT_MS, done, k);
    msgpack_sbuffer_destroy(&sb);
    return rc;
}

/* A rejected join means that another process has joined under this name with
   a higher incarnation; this one can never send to targets. */
static void
on_join(void *user, int err, const gv_verdict_t *v)
{
    gv_kernel_t *k = user;
    if (err == GV_OK && v->kind == GV_VERDICT_REJECTED &&
        !GvKernel_IsJoined(k)) {
        const gv_ledger_t *l = GvReplica_Lock(k->replica);
        const gv_member_t *m = GvLedger_Member(l, k->conf.name);
        bool own = m != NULL && m->incarnation == k->incarnation;
        GvReplica_Unlock(k->replica);
        if (!own) {
            GvLog_Write(GV_LOG_ERROR, "join rejected: %s", v->reason);
            atomic_store(&k->private->failed, true);
        }
    }
    atomic_store(&k->private->join_pending, false);
}

/* Appends `join` when it has not been applied yet. */
void
GvKernel_Join(gv_kernel_t *k, int64_t now_ms)
{
    struct gv_kernel_private_s *p = k->private;
    if (GvKernel_IsJoined(k) || atomic_load(&p->stopping) ||
        atomic_load(&p->join_pending) || now_ms < p->join_ms) {
        return;
    }
    p->join_ms = now_ms + JOIN_RETRY_MS;
    atomic_store(&p->join_pending, true);
    if (submit_member(k, GV_MEMBER_JOIN, on_join) != GV_OK) {
        atomic_store(&p->join_pending, false);
    }
}

/* Wakes the stop, whatever became of the record. */
static void
on_leave(void *user, int err, const gv_verdict_t *v)
{
    gv_kernel_t *k = user;
    if (err != GV_OK || v->kind != GV_VERDICT_ACCEPTED) {
        GvLog_Write(GV_LOG_WARN, "leave not applied: %s",
                    err != GV_OK ? Gv_StrError(err) : v->reason);
    }
    pthread_mutex_lock(&k->private->lock);
    k->private->leave_done = true;
    pthread_cond_broadcast(&k->private->wake);
    pthread_mutex_unlock(&k->private->lock);
}

/* Appends `leave` and waits until its fate is known. Without a platform the
   next incarnation or a removal ends the membership instead. */
void
GvKernel_Leave(gv_kernel_t *k)
{
    if (!GvKernel_IsJoined(k) ||
        submit_member(k, GV_MEMBER_LEAVE, on_leave) != GV_OK) {
        return;
    }
    int64_t wait_ms =
        GvLogReader_PlatformOk(k->reader) ? GV_LEAVE_MS : GV_LEAVE_OUTAGE_MS;
    int64_t end_us = GvClock_MonoUs() + wait_ms * 1000;
    pthread_mutex_lock(&k->private->lock);
    while (!k->private->leave_done &&
           GvSync_WaitUntil(&k->private->wake, &k->private->lock, end_us)) {
    }
    pthread_mutex_unlock(&k->private->lock);
}
