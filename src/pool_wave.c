#include <string.h>

#include "error.h"
#include "evlog.h"
#include "limits.h"
#include "pack.h"
#include "pool_private.h"

/* Maintenance waves: chooses the next hosts and stores the progress. */

static gv_wave_t *
find_wave(const gv_pools_t *p, int number)
{
    for (guint i = 0; i < p->waves->len; i++) {
        gv_wave_t *w = g_ptr_array_index(p->waves, i);
        if (w->number == number) {
            return w;
        }
    }
    return NULL;
}

/* Stores the progress of a wave: its deadline, whether it is done, and the
   hosts whose maintenance was ordered. */
void
GvPools_StoreWave(gv_pools_t *p, gv_wave_t *w)
{
    msgpack_sbuffer sb;
    size_t begun = 0;
    for (int i = 0; i < w->n_hosts; i++) {
        begun += w->host_states[i] != GV_WAVE_HOST_WAITING ? 1 : 0;
    }
    msgpack_sbuffer_init(&sb);
    msgpack_packer pk = GvPack_Array(&sb, 3);
    GvPack_Int(&pk, w->deadline_wall_ms);
    GvPack_Bool(&pk, w->done);
    msgpack_pack_array(&pk, begun);
    for (int i = 0; i < w->n_hosts; i++) {
        if (w->host_states[i] != GV_WAVE_HOST_WAITING) {
            GvPack_Str(&pk, GvStr_C(w->hosts[i]));
        }
    }
    p->opts.ops.store(p->opts.ops.user, w->number, GvStr_N(sb.data, sb.size));
    msgpack_sbuffer_destroy(&sb);
}

static void
mark_begun(gv_wave_t *w, gv_str_t host)
{
    for (int i = 0; i < w->n_hosts; i++) {
        if (GvStr_Equal(GvStr_C(w->hosts[i]), host)) {
            w->host_states[i] = GV_WAVE_HOST_STARTED;
        }
    }
}

/* Restores a wave's progress from its stored record. */
static void
load_wave(gv_wave_t *w, gv_str_t bytes)
{
    msgpack_unpacked un;
    int rc = GvUnpack_Root(&un, bytes);
    gv_unpack_t u = GvUnpack_Array(rc == GV_OK ? &un.data : NULL, 3);
    if (u.err == GV_OK) {
        w->deadline_wall_ms = GvUnpack_Int(&u);
        w->done = GvUnpack_Bool(&u);
        gv_unpack_t rows = GvUnpack_Sub(&u, 0);
        while (u.err == GV_OK && GvUnpack_HasNext(&rows)) {
            mark_begun(w, GvUnpack_Str(&rows));
        }
    }
    else {
        GvEvlog_Write("wave",
                      "wave=%d stored progress is malformed, begins anew",
                      w->number);
    }
    msgpack_unpacked_destroy(&un);
}

/* Adds a wave, unless it is known already: each host is to be maintained
   within duration_ms, at most `cap` at once. `stored` is its progress under an
   earlier scheduler, or empty. */
void
GvPools_SetWave(gv_pools_t *p, int wave, const gv_str_t *hosts, int n,
                int64_t duration_ms, int cap, gv_str_t stored, int64_t now_ms,
                int64_t wall_ms)
{
    (void)now_ms;
    if (find_wave(p, wave) != NULL) {
        return;
    }
    gv_wave_t *w = g_new0(gv_wave_t, 1);
    w->number = wave;
    w->cap = MAX(cap, 1);
    w->n_hosts = n;
    w->hosts = g_new0(char *, (gsize)n + 1);
    w->host_states = g_new0(gv_wave_host_state_t, (gsize)n + 1);
    w->deadline_wall_ms = wall_ms + duration_ms;
    for (int i = 0; i < n; i++) {
        w->hosts[i] = g_strndup(hosts[i].p, hosts[i].n);
    }
    if (stored.n > 0) {
        load_wave(w, stored);
    }
    GvEvlog_Write("wave", "wave=%d hosts=%d cap=%d left_ms=%lld done=%d", wave,
                  n, w->cap, (long long)(w->deadline_wall_ms - wall_ms),
                  w->done);
    g_ptr_array_add(p->waves, w);
    if (stored.n == 0) {
        GvPools_StoreWave(p, w);
    }
}

/* Returns true if a host whose maintenance was ordered is up again, or has
   left the fleet. */
static bool
is_back(const gv_pools_t *p, const char *id)
{
    const gv_host_t *h = GvPools_FindHost(p, id);
    return h == NULL
               ? p->hosts_whole
               : h->operation == GV_OPERATION_NONE && h->state == GV_HOST_UP;
}

/* Returns the rank of a host, -1 if it cannot be maintained now; the lowest
   rank goes first. One whose order was refused lately leaves its turn to the
   others. Hosts with long-running tasks take longest, so they go
   first, and GV_POOL_LONG_RUNNING_HOSTS of them at most are emptied at once;
   the others follow by number of runs. */
static int
rank_host(const gv_pools_t *p, const gv_host_t *h, int lasting_open,
          int64_t now_ms, int64_t wall_ms)
{
    gv_target_view_t v;
    if (h->operation != GV_OPERATION_NONE || h->state != GV_HOST_UP ||
        now_ms < h->next_ms || !GvPools_MayOrder(p, h, now_ms, wall_ms)) {
        return -1;
    }
    if (h->target == NULL ||
        !GvSched_View(p->opts.sched, GvStr_C(h->target), &v)) {
        return 1;
    }
    if (v.n_long_running > 0) {
        return lasting_open < GV_POOL_LONG_RUNNING_HOSTS ? 0 : -1;
    }
    return 1 + v.runs;
}

/* Returns the host to be maintained next, or NULL. */
static gv_host_t *
next_host(const gv_pools_t *p, const gv_wave_t *w, int lasting_open,
          int64_t now_ms, int64_t wall_ms)
{
    gv_host_t *best = NULL;
    int best_rank = 0;
    for (int i = 0; i < w->n_hosts; i++) {
        gv_host_t *h = GvPools_FindHost(p, w->hosts[i]);
        if (w->host_states[i] != GV_WAVE_HOST_WAITING || h == NULL) {
            continue;
        }
        int rank = rank_host(p, h, lasting_open, now_ms, wall_ms);
        if (rank >= 0 && (best == NULL || rank < best_rank)) {
            best = h;
            best_rank = rank;
        }
    }
    return best;
}

typedef struct {
    int waiting;
    int open;    /* from GV_OPERATION_EMPTYING until up again */
    int lasting; /* open ones that still have long-running tasks */
    int missing; /* of the waiting ones, those that have left the fleet */
} gv_wave_count_t;

/* Counts the hosts of a wave by state; marks those that are up again as
   done. */
static gv_wave_count_t
count_hosts(gv_pools_t *p, gv_wave_t *w)
{
    gv_wave_count_t c = {0};
    gv_target_view_t v;
    for (int i = 0; i < w->n_hosts; i++) {
        const gv_host_t *h = GvPools_FindHost(p, w->hosts[i]);
        if (w->host_states[i] == GV_WAVE_HOST_STARTED &&
            is_back(p, w->hosts[i])) {
            w->host_states[i] = GV_WAVE_HOST_DONE;
        }
        if (w->host_states[i] == GV_WAVE_HOST_STARTED) {
            c.open++;
        }
        if (w->host_states[i] != GV_WAVE_HOST_WAITING) {
            continue;
        }
        c.waiting++;
        if (h == NULL) {
            c.missing += p->hosts_whole ? 1 : 0;
        }
        else if (h->operation == GV_OPERATION_NONE &&
                 h->state == GV_HOST_MAINTENANCE) {
            c.open++; /* ordered by an earlier leader that did not store it */
        }
        else if (h->operation != GV_OPERATION_NONE && h->wave == w->number) {
            c.open++;
            if (h->target != NULL &&
                GvSched_View(p->opts.sched, GvStr_C(h->target), &v) &&
                v.n_long_running > 0) {
                c.lasting++;
            }
        }
    }
    return c;
}

/* Returns how many hosts should be in maintenance at once so that the wave
   ends GV_POOL_WAVE_MARGIN_MS before its deadline; never more than its cap.
   host_ms is the time that one host takes. */
static int
wanted_hosts(const gv_wave_t *w, int waiting, int64_t wall_ms, int host_ms)
{
    int64_t left = w->deadline_wall_ms - wall_ms - GV_POOL_WAVE_MARGIN_MS;
    if (left < host_ms) {
        return w->cap;
    }
    int64_t rounds = left / host_ms;
    return (int)MIN((waiting + rounds - 1) / rounds + 1, w->cap);
}

/* Reports the state of a wave until that is stored. A wave that an earlier
   scheduler has ended is reported again: it may have died before. */
static void
report_wave(gv_pools_t *p, gv_wave_t *w, int64_t now_ms)
{
    gv_wave_report_t want =
        w->done ? GV_WAVE_REPORTED_DONE : GV_WAVE_REPORTED_RUNNING;
    if (w->reported != want && !w->report_pending &&
        now_ms >= w->report_next_ms) {
        w->report_pending = true;
        p->opts.ops.report(p->opts.ops.user, w->number, w->done);
    }
}

/* Handles the result of a report: whether it is stored. */
void
GvPools_Reported(gv_pools_t *p, int wave, bool done, bool stored,
                 int64_t now_ms)
{
    gv_wave_t *w = find_wave(p, wave);
    if (w == NULL) {
        return;
    }
    w->report_pending = false;
    if (stored) {
        w->reported = done ? GV_WAVE_REPORTED_DONE : GV_WAVE_REPORTED_RUNNING;
        return;
    }
    w->report_next_ms = now_ms + GV_POOL_RETRY_MS;
    GvEvlog_Write("wave", "wave=%d report not stored, retrying", wave);
}

/* Ends a wave whose hosts are all done; else begins the maintenance of the
   next hosts. */
static void
step_wave(gv_pools_t *p, gv_wave_t *w, int64_t now_ms, int64_t wall_ms)
{
    gv_wave_count_t c = count_hosts(p, w);
    if (c.waiting - c.missing == 0 && c.open == 0) {
        /* Missing hosts have left the fleet and are not waited for. */
        GvEvlog_Write("wave", "wave=%d done hosts=%d missing=%d", w->number,
                      w->n_hosts, c.missing);
        w->done = true;
        GvPools_StoreWave(p, w);
        return;
    }
    int host_ms = p->opts.maintenance_ms + GV_POOL_WAVE_WAIT_MS;
    int want = wanted_hosts(w, c.waiting, wall_ms, host_ms);
    while (c.open < want) {
        gv_host_t *h = next_host(p, w, c.lasting, now_ms, wall_ms);
        gv_target_view_t v;
        if (h == NULL) {
            break;
        }
        c.open++;
        if (h->target != NULL &&
            GvSched_View(p->opts.sched, GvStr_C(h->target), &v) &&
            v.n_long_running > 0) {
            c.lasting++;
        }
        GvPools_BeginOperation(p, h, w->number, NULL, now_ms);
    }
}

void
GvPools_StepWaves(gv_pools_t *p, int64_t now_ms, int64_t wall_ms)
{
    for (guint i = 0; i < p->waves->len; i++) {
        gv_wave_t *w = g_ptr_array_index(p->waves, i);
        if (!w->done) {
            step_wave(p, w, now_ms, wall_ms);
        }
        report_wave(p, w, now_ms);
    }
}
