#include "kernel.h"

#include <time.h>
#include <unistd.h>

#include "admin.h"
#include "clock.h"
#include "counter.h"
#include "error.h"
#include "front.h"
#include "kernel_private.h"
#include "log.h"

GV_GAUGE(offset_gauge, "ledger_offset", "Next log offset to apply");
GV_GAUGE(joined_gauge, "joined", "1 once the own join has been applied");
GV_COUNTER(rejected, "records_rejected_total",
           "Log records that were not accepted");

/* The start waits this long for the log, then for a peer's ledger. */
#define START_LOG_MS  3000
#define START_PEER_MS 3000
/* Disconnected callers are looked for at every fourth tick. */
#define CALLER_TICKS 4
#define STOP_POLL_MS  20
#define STOP_REPLY_MS 2000

/* Tells whether a planned stop is in progress. */
bool
GvKernel_Stopping(gv_kernel_t *k)
{
    return atomic_load(&k->private->stopping);
}

/* Tells whether the daemon has to end because it can never join. */
bool
GvKernel_Failed(gv_kernel_t *k)
{
    return atomic_load(&k->private->failed);
}

/* Tells whether the own join has been applied. */
bool
GvKernel_Joined(gv_kernel_t *k)
{
    const gv_view_t *v = GvView_Acquire(k->views);
    bool joined = v->joined;
    GvView_Release();
    return joined;
}

/* Counts a verdict and passes it to the appender. */
void
GvKernel_OnVerdict(void *user, const gv_verdict_t *v)
{
    gv_kernel_t *k = user;
    if (v->kind != GV_VERDICT_ACCEPTED && v->kind != GV_VERDICT_DUPLICATE) {
        GvCounter_Add(&rejected, 1);
    }
    gv_appender_t *a = __atomic_load_n(&k->appender, __ATOMIC_ACQUIRE);
    if (a != NULL) {
        GvAppender_OnVerdict(a, v);
    }
}

/* Publishes a view of the ledger and lets the dispatcher follow it. */
void
GvKernel_OnBatch(void *user)
{
    gv_kernel_t *k = user;
    const gv_ledger_t *l = GvReplica_Lock(k->replica);
    GvViews_Publish(k->views, l);
    GvCounter_Set(&offset_gauge, (int64_t)GvLedger_Next(l));
    GvReplica_Unlock(k->replica);
    GvDispatch_OnView(k->dispatch);
}

static void *
timer_thread(void *arg)
{
    gv_kernel_t *k = arg;
    struct timespec tick = {.tv_nsec = GV_TIMER_TICK_MS * 1000000L};
    for (unsigned n = 0; !atomic_load(&k->private->timer_stop); n++) {
        int64_t now = GvClock_MonoMs();
        GvRequests_Expire(k->requests, now);
        GvDispatch_Tick(k->dispatch, now);
        if (n % CALLER_TICKS == 0) {
            GvFront_CheckCallers(k->front);
            GvCounter_Set(&joined_gauge, GvKernel_Joined(k));
        }
        GvKernel_Join(k, now);
        clock_nanosleep(CLOCK_MONOTONIC, 0, &tick, NULL);
    }
    return NULL;
}

static void
on_message(void *user, gv_str_t from, uint64_t from_incarnation,
           const gv_message_t *m)
{
    (void)user;
    (void)from;
    (void)from_incarnation;
    (void)m;
}

static int
start_peers(gv_kernel_t *k, uint64_t incarnation)
{
    gv_peers_opts_t po = {
        .listen_addr = k->conf.peer_addr,
        .self = {.entry = k->conf.name,
                 .dc = k->conf.dc,
                 .region = k->conf.region,
                 .incarnation = incarnation},
        .on_message = on_message,
        .user = k,
    };
    int rc = GvPeers_Start(&po, &k->peers);
    for (int i = 0; rc == GV_OK && i < k->conf.n_peers; i++) {
        const gv_peer_conf_t *c = &k->conf.peers[i];
        gv_peer_addr_t a = {c->name, c->dc, c->region, c->addr};
        GvPeers_Set(k->peers, &a);
    }
    return rc;
}

static void
submit(void *user, gv_request_t *rq)
{
    gv_kernel_t *k = user;
    GvDispatch_Submit(k->dispatch, rq);
}

static int
local(void *user, gv_str_t method, gv_str_t path, gv_answer_t *a)
{
    return GvAdmin_Handle(user, method, path, a);
}

static void
ended(void *user, gv_request_t *rq)
{
    gv_kernel_t *k = user;
    GvDispatch_NoteEnd(k->dispatch, rq);
}

/* Makes the parts of the request path. */
static int
start_path(gv_kernel_t *k)
{
    k->replica = GvReplica_New();
    k->targets = GvTargets_New(k->conf.name, k->conf.dc);
    k->views = GvViews_New(k->conf.name, k->conf.dc, k->targets);
    k->requests = GvRequests_New(GV_REQUESTS_MAX);
    gv_dispatch_opts_t o = {
        .views = k->views,
        .targets = k->targets,
        .requests = k->requests,
        .entry = k->conf.name,
        .workers = k->conf.workers,
        .user = k,
    };
    return GvDispatch_Start(&o, &k->dispatch);
}

/* Starts reading the log and waits until its head is applied, or until a
   peer has given its ledger. Without either the daemon starts empty and hands
   its work to peers. */
static int
start_log(gv_kernel_t *k)
{
    gv_logreader_opts_t o = {
        .platform_addr = k->conf.platform_addr,
        .replica = k->replica,
        .on_verdict = GvKernel_OnVerdict,
        .on_batch = GvKernel_OnBatch,
        .user = k,
    };
    int rc = GvLogReader_Start(&o, &k->reader);
    if (rc != GV_OK) {
        return rc;
    }
    if (GvLogReader_SyncToHead(k->reader, START_LOG_MS) != GV_OK) {
        int64_t end = GvClock_MonoMs() + START_PEER_MS;
        uint64_t next = 0;
        while (next == 0 && GvClock_MonoMs() < end) {
            usleep(STOP_POLL_MS * 1000);
            next = GvLedger_Next(GvReplica_Lock(k->replica));
            GvReplica_Unlock(k->replica);
        }
        GvLog_Write(GV_LOG_WARN, "log not read at start; ledger offset %lu",
                    (unsigned long)next);
    }
    return GV_OK;
}

static int
start_appender(gv_kernel_t *k)
{
    gv_appender_opts_t o = {
        .platform_addr = k->conf.platform_addr,
        .origin = k->conf.name,
        .incarnation = k->incarnation,
    };
    gv_appender_t *a;
    int rc = GvAppender_Start(&o, &a);
    if (rc == GV_OK) {
        __atomic_store_n(&k->appender, a, __ATOMIC_RELEASE);
    }
    return rc;
}

static int
start_front(gv_kernel_t *k)
{
    gv_front_opts_t o = {
        .addr = k->conf.http_addr,
        .views = k->views,
        .requests = k->requests,
        .submit = submit,
        .local = local,
        .ended = ended,
        .user = k,
    };
    return GvFront_Start(&o, &k->front);
}

static int
start_timer(gv_kernel_t *k)
{
    struct gv_kernel_private_s *p = k->private;
    if (pthread_create(&p->timer, NULL, timer_thread, k) != 0) {
        return GV_EIO;
    }
    p->timer_runs = true;
    return GV_OK;
}

/* Starts the parts in the order of their needs. */
static int
start_all(gv_kernel_t *k)
{
    uint64_t first = (uint64_t)GvClock_WallMs();
    int rc = start_path(k);
    if (rc == GV_OK) {
        rc = start_peers(k, first);
    }
    if (rc == GV_OK) {
        rc = start_log(k);
    }
    if (rc == GV_OK) {
        GvKernel_ChooseIncarnation(k);
        rc = start_appender(k);
    }
    if (rc == GV_OK) {
        rc = start_front(k);
    }
    if (rc == GV_OK) {
        rc = start_timer(k);
    }
    return rc;
}

static void
free_kernel(gv_kernel_t *k)
{
    struct gv_kernel_private_s *p = k->private;
    if (p->timer_runs) {
        atomic_store(&p->timer_stop, true);
        pthread_join(p->timer, NULL);
    }
    GvFront_Stop(k->front);
    if (k->reader != NULL) {
        GvLogReader_Stop(k->reader);
    }
    if (k->appender != NULL) {
        GvAppender_Stop(k->appender);
    }
    if (k->peers != NULL) {
        GvPeers_Stop(k->peers);
    }
    GvDispatch_Stop(k->dispatch);
    GvRequests_Free(k->requests);
    GvViews_Free(k->views);
    GvTargets_Free(k->targets);
    if (k->replica != NULL) {
        GvReplica_Free(k->replica);
    }
    GvNodeConf_Clear(&k->conf);
    pthread_mutex_destroy(&p->lock);
    pthread_cond_destroy(&p->wake);
    g_free(p);
    g_free(k);
}

/* Starts a daemon with these node settings, which are taken over. Returns 0,
   or an error after which nothing runs. */
int
GvKernel_Start(gv_nodeconf_t *conf, gv_kernel_t **out)
{
    gv_kernel_t *k = g_new0(gv_kernel_t, 1);
    k->conf = *conf;
    *conf = (gv_nodeconf_t){0};
    k->private = g_new0(struct gv_kernel_private_s, 1);
    pthread_mutex_init(&k->private->lock, NULL);
    pthread_cond_init(&k->private->wake, NULL);
    int rc = start_all(k);
    if (rc != GV_OK) {
        free_kernel(k);
        return rc;
    }
    GvLog_Write(GV_LOG_INFO, "%.*s started, incarnation %lu",
                GV_STR_ARG(k->conf.name), (unsigned long)k->incarnation);
    *out = k;
    return GV_OK;
}

/* Waits until no request and no exchange is in progress. Every request has a
   deadline and every exchange ends a grace time after it, so that this ends
   too. */
static void
wait_idle(gv_kernel_t *k)
{
    while (GvRequests_Count(k->requests) > 0 ||
           GvTargets_Busy(k->targets) > 0) {
        usleep(STOP_POLL_MS * 1000);
    }
    /* Responses on their way out; a caller that stalls does not hold up the
       stop for long. */
    int64_t end = GvClock_MonoMs() + STOP_REPLY_MS;
    while (GvFront_Open(k->front) > 0 && GvClock_MonoMs() < end) {
        usleep(STOP_POLL_MS * 1000);
    }
}

/* Stops the daemon: refuses new work as not-run, finishes what is in
   progress, appends `leave` and ends all threads. */
void
GvKernel_Stop(gv_kernel_t *k)
{
    atomic_store(&k->private->stopping, true);
    GvLog_Write(GV_LOG_INFO, "stopping");
    GvDispatch_Refuse(k->dispatch);
    wait_idle(k);
    GvKernel_Leave(k);
    GvLog_Write(GV_LOG_INFO, "stopped");
    free_kernel(k);
}

/* Takes over the peers of a reloaded node file. Returns GV_EREFUSED when a
   field differs that is fixed at start; then nothing changes. */
int
GvKernel_Reload(gv_kernel_t *k, gv_nodeconf_t *conf)
{
    const gv_nodeconf_t *c = &k->conf;
    if (!GvStr_Equal(conf->name, c->name) || !GvStr_Equal(conf->dc, c->dc) ||
        !GvStr_Equal(conf->region, c->region) ||
        !GvStr_Equal(conf->http_addr, c->http_addr) ||
        !GvStr_Equal(conf->peer_addr, c->peer_addr) ||
        !GvStr_Equal(conf->platform_addr, c->platform_addr) ||
        conf->workers != c->workers) {
        return GV_EREFUSED;
    }
    for (int i = 0; i < conf->n_peers; i++) {
        const gv_peer_conf_t *p = &conf->peers[i];
        gv_peer_addr_t a = {p->name, p->dc, p->region, p->addr};
        GvPeers_Set(k->peers, &a);
    }
    return GV_OK;
}
