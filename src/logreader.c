#include "logreader.h"

#include <glib.h>
#include <pthread.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "error.h"
#include "limits.h"
#include "log.h"
#include "platform.h"
#include "sync.h"

GV_COUNTER(records_read, "log_records_read_total",
           "Log records applied by the log reader");
GV_COUNTER(read_errors, "log_read_errors_total",
           "Reads of the platform's log that failed");
GV_COUNTER(checkpoints_loaded, "log_checkpoints_loaded_total",
           "Checkpoints loaded because older records were not retained");

struct gv_logreader_s {
    gv_logreader_opts_t opts;
    gv_platform_t *platform; /* used by the thread only */
    pthread_t thread;
    pthread_mutex_t lock; /* covers everything below */
    pthread_cond_t change;
    bool stopping;
    bool wake_requested; /* SyncToHead waits: end the current delay */
    bool ok;             /* the last read succeeded */
    bool warned;         /* the current failure has been logged */
    gv_retained_t retained;
    int failures; /* consecutive failed reads */
};

/* Returns the next offset of the replica. */
static uint64_t
next_offset(gv_logreader_t *r)
{
    uint64_t next = GvLedger_NextOffset(GvReplica_Lock(r->opts.replica));
    GvReplica_Unlock(r->opts.replica);
    return next;
}

/* Returns true if GvLogReader_Halt or GvLogReader_Stop was called. */
static bool
is_stopping(gv_logreader_t *r)
{
    pthread_mutex_lock(&r->lock);
    bool stopping = r->stopping;
    pthread_mutex_unlock(&r->lock);
    return stopping;
}

/* Stores the result of a read. Logs `why` on the first failure and on a change
   between success and failure. */
static void
set_ok(gv_logreader_t *r, bool ok, const char *why)
{
    pthread_mutex_lock(&r->lock);
    bool changed = r->ok != ok || (!ok && !r->warned);
    r->ok = ok;
    r->warned = !ok;
    r->failures = ok ? 0 : r->failures + 1;
    pthread_cond_broadcast(&r->change);
    pthread_mutex_unlock(&r->lock);
    if (!ok) {
        GvCounter_Add(&read_errors, 1);
    }
    if (changed) {
        GvLog_Write(ok ? GV_LOG_INFO : GV_LOG_WARN, "platform log: %s", why);
    }
}

/* Stores the bounds of the retained log that a page reports. */
static void
set_retained(gv_logreader_t *r, const gv_log_page_t *page)
{
    pthread_mutex_lock(&r->lock);
    r->retained.first = page->first;
    r->retained.next = page->next;
    r->retained.retention_ms = page->retention_ms;
    pthread_cond_broadcast(&r->change);
    pthread_mutex_unlock(&r->lock);
}

/* Applies the records of a page and calls the callbacks. */
static void
apply_page(gv_logreader_t *r, const gv_log_page_t *page)
{
    int applied = 0;
    for (int i = 0; i < page->n; i++) {
        gv_verdict_t v;
        int res = GvReplica_Apply(r->opts.replica, &page->records[i], &v);
        if (res == GV_ESTALE) {
            break;
        }
        if (res == GV_OK) {
            applied++;
            if (r->opts.on_verdict != NULL) {
                r->opts.on_verdict(r->opts.user, &v);
            }
        }
    }
    GvCounter_Add(&records_read, applied);
    if (applied > 0 && r->opts.on_batch != NULL) {
        r->opts.on_batch(r->opts.user);
    }
}

/* Replaces the replica by a checkpoint in the page, if there is one that
   reaches the page's first retained offset and is ahead of the replica.
   Returns true if it did. */
static bool
load_from_page(gv_logreader_t *r, const gv_log_page_t *page)
{
    for (int i = 0; i < page->n; i++) {
        gv_ledger_t *l = NULL;
        if (GvLedger_LoadCheckpoint(page->records[i].bytes, &l) != GV_OK) {
            continue;
        }
        if (GvLedger_NextOffset(l) < page->first) {
            GvLedger_Free(l);
            continue;
        }
        if (GvReplica_Replace(r->opts.replica, l) == GV_OK) {
            GvCounter_Add(&checkpoints_loaded, 1);
            return true;
        }
    }
    return false;
}

/* Searches the retained log from `first` on for a checkpoint. Returns 0 after
   loading one, GV_ENOENT if there is none, or another error. */
static int
find_checkpoint(gv_logreader_t *r, uint64_t first)
{
    uint64_t from = first;
    while (!is_stopping(r)) {
        gv_log_page_t page;
        int err = GvPlatform_Read(r->platform, from, GV_LOG_READ_MAX_RECORDS,
                                  0, &page);
        bool loaded = err == GV_OK && load_from_page(r, &page);
        bool end = err == GV_OK && page.n == 0;
        if (err == GV_EGONE) {
            /* The records expired during the search. */
            from = page.first;
        }
        else {
            from += (uint64_t)page.n;
        }
        GvPlatform_ClearPage(&page);
        if (loaded) {
            GvLog_Write(GV_LOG_INFO, "loaded a checkpoint of the log");
            if (r->opts.on_batch != NULL) {
                r->opts.on_batch(r->opts.user);
            }
            return GV_OK;
        }
        if (err != GV_OK && err != GV_EGONE) {
            return err;
        }
        if (end) {
            return GV_ENOENT;
        }
    }
    return GV_ESTOPPED;
}

/* Handles one page that was read without an error. */
static void
handle_page(gv_logreader_t *r, uint64_t from, const gv_log_page_t *page)
{
    if (page->next < from) {
        /* Offsets only increase, so the log has lost records; the ledger is
           kept as it is. */
        set_ok(
            r, false,
            "the log ends before the last applied record; the ledger is kept");
        return;
    }
    apply_page(r, page);
    set_retained(r, page);
    set_ok(r, true, "readable");
}

/* Reads one page, or loads a checkpoint if the next record is not retained. */
static void
read_once(gv_logreader_t *r)
{
    uint64_t from = next_offset(r);
    gv_log_page_t page;
    int wait_ms = GvLogReader_PlatformOk(r) ? GV_LOG_POLL_MS : 0;
    int err = GvPlatform_Read(r->platform, from, GV_LOG_READ_MAX_RECORDS,
                              wait_ms, &page);
    if (err == GV_OK) {
        handle_page(r, from, &page);
    }
    else if (err == GV_EGONE) {
        uint64_t first = page.first;
        int found = find_checkpoint(r, first);
        if (found != GV_OK) {
            set_ok(r, false,
                   found == GV_ENOENT
                       ? "neither the next record nor a checkpoint is retained"
                       : Gv_StrError(found));
        }
    }
    else {
        set_ok(r, false, Gv_StrError(err));
    }
    GvPlatform_ClearPage(&page);
}

/* Waits ms. Returns false if a stop or a wake-up request ended the wait
   early. */
static bool
pause_for(gv_logreader_t *r, int64_t ms)
{
    gint64 end = g_get_monotonic_time() + ms * 1000;
    pthread_mutex_lock(&r->lock);
    while (!r->stopping && !r->wake_requested &&
           GvSync_WaitUntil(&r->change, &r->lock, end)) {
    }
    bool early = r->stopping || r->wake_requested;
    r->wake_requested = false;
    pthread_mutex_unlock(&r->lock);
    return !early;
}

/* Waits before the next read of a platform that cannot be read, with
   exponential backoff and jitter, and meanwhile fetches records from a peer.
   The jitter keeps the entry hosts from all reading again at the same time. */
static void
back_off(gv_logreader_t *r)
{
    int shift = MIN(r->failures - 1, 5);
    int64_t ms = (int64_t)GV_PLATFORM_BACKOFF_MS << shift;
    ms = MIN(ms, GV_PLATFORM_BACKOFF_MAX_MS);
    ms = ms / 2 + g_random_int_range(0, (gint32)ms / 2 + 1);
    int64_t end_ms = GvClock_MonoMs() + ms;
    do {
        if (r->opts.fetch_from_peer != NULL &&
            r->opts.fetch_from_peer(r->opts.user) &&
            r->opts.on_batch != NULL) {
            r->opts.on_batch(r->opts.user);
        }
        ms = MIN(end_ms - GvClock_MonoMs(), GV_PEER_POLL_MS);
    } while (ms > 0 && pause_for(r, ms) && !is_stopping(r));
}

/* Thread: reads until stopped, with a delay after each failure. */
static void *
read_loop(void *user)
{
    gv_logreader_t *r = user;
    while (!is_stopping(r)) {
        read_once(r);
        if (!is_stopping(r) && r->failures > 0) {
            back_off(r);
        }
    }
    return NULL;
}

/* Releases a reader whose thread does not run. */
static void
free_reader(gv_logreader_t *r)
{
    GvPlatform_Free(r->platform);
    GvStr_Free(&r->opts.platform_addr);
    pthread_mutex_destroy(&r->lock);
    pthread_cond_destroy(&r->change);
    g_free(r);
}

/* Starts the reader's thread. Returns 0, or GV_EIO if it cannot be created. */
int
GvLogReader_Start(const gv_logreader_opts_t *o, gv_logreader_t **out)
{
    gv_logreader_t *r = g_new0(gv_logreader_t, 1);
    r->opts = *o;
    r->platform = GvPlatform_New(o->platform_addr);
    pthread_mutex_init(&r->lock, NULL);
    GvSync_InitCond(&r->change);
    r->opts.platform_addr = GvStr_Dup(o->platform_addr);
    if (pthread_create(&r->thread, NULL, read_loop, r) != 0) {
        free_reader(r);
        return GV_EIO;
    }
    *out = r;
    return GV_OK;
}

/* Requests the thread to end and does not wait for it. Called before Stop so
   that the threads of several modules end at the same time. */
void
GvLogReader_Halt(gv_logreader_t *r)
{
    pthread_mutex_lock(&r->lock);
    r->stopping = true;
    pthread_cond_broadcast(&r->change);
    pthread_mutex_unlock(&r->lock);
}

/* Stops the thread and releases r. Waits for a read in progress, at most
   GV_LOG_POLL_MS plus GV_PLATFORM_TIMEOUT_MS. */
void
GvLogReader_Stop(gv_logreader_t *r)
{
    GvLogReader_Halt(r);
    pthread_join(r->thread, NULL);
    free_reader(r);
}

/* Returns true if the last read succeeded. */
bool
GvLogReader_PlatformOk(gv_logreader_t *r)
{
    pthread_mutex_lock(&r->lock);
    bool ok = r->ok;
    pthread_mutex_unlock(&r->lock);
    return ok;
}

/* Returns the offset after the last record of the log at the last read. */
uint64_t
GvLogReader_Head(gv_logreader_t *r)
{
    return GvLogReader_Retained(r).next;
}

/* Returns what the last successful read reported about the retained log. */
gv_retained_t
GvLogReader_Retained(gv_logreader_t *r)
{
    pthread_mutex_lock(&r->lock);
    gv_retained_t kept = r->retained;
    pthread_mutex_unlock(&r->lock);
    return kept;
}

/* Asks the platform for the current head of the log: the offset after its last
   record. Returns 0 or an error. */
static int
ask_head(gv_logreader_t *r, uint64_t *head)
{
    gv_platform_t *p = GvPlatform_New(r->opts.platform_addr);
    uint64_t from = next_offset(r);
    gv_log_page_t page;
    int err = GvPlatform_Read(p, from, 1, 0, &page);
    if (err == GV_EGONE) {
        err = GV_OK;
    }
    else if (err == GV_OK && page.next < from) {
        /* The log has lost records: the replica cannot sync to its head. */
        err = GV_EIO;
    }
    *head = page.next;
    GvPlatform_ClearPage(&page);
    GvPlatform_Free(p);
    return err;
}

/* Waits until the replica has applied the log up to the head that the platform
   reports during this call. Returns 0, GV_ETIMEDOUT or GV_ECONN. */
int
GvLogReader_SyncToHead(gv_logreader_t *r, int timeout_ms)
{
    gint64 end = g_get_monotonic_time() + (gint64)timeout_ms * 1000;
    uint64_t head;
    int err = ask_head(r, &head);
    if (err != GV_OK) {
        return err == GV_ETIMEDOUT ? err : GV_ECONN;
    }
    while (next_offset(r) < head) {
        pthread_mutex_lock(&r->lock);
        r->wake_requested = true;
        pthread_cond_broadcast(&r->change);
        gint64 soon = g_get_monotonic_time() + GV_TIMER_TICK_MS * 1000;
        GvSync_WaitUntil(&r->change, &r->lock, MIN(soon, end));
        bool stopping = r->stopping;
        pthread_mutex_unlock(&r->lock);
        if (stopping || g_get_monotonic_time() >= end) {
            return next_offset(r) >= head ? GV_OK : GV_ETIMEDOUT;
        }
    }
    return GV_OK;
}
