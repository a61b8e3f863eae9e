#include "kernel.h"

#include <time.h>

#include "admin.h"
#include "clock.h"
#include "counter.h"
#include "error.h"
#include "forward.h"
#include "front.h"
#include "kernel_private.h"
#include "ledgersync.h"
#include "lending.h"
#include "log.h"
#include "maintain.h"
#include "prober.h"
#include "sync.h"

GV_GAUGE(offset_gauge, "ledger_offset", "Next log offset to apply");
GV_GAUGE(joined_gauge, "joined", "1 once the own join has been applied");
GV_COUNTER(rejected, "records_rejected_total",
           "Log records that were not accepted");

/* How long the start waits for the log, then for a peer's ledger. */
#define START_LOG_MS  3000
#define START_PEER_MS 3000
/* Disconnected callers, loans of slots and expired tickets and keys are
   checked at every SLOW_TICKS-th tick of the timer. */
#define SLOW_TICKS   4
#define STOP_POLL_MS 20

/* Returns true if a planned stop is in progress. */
bool
GvKernel_IsStopping(gv_kernel_t *k)
{
    return atomic_load(&k->private->stopping);
}

/* Returns true if the daemon must end because it can never join. */
bool
GvKernel_HasFailed(gv_kernel_t *k)
{
    return atomic_load(&k->private->failed);
}

/* Returns true if this daemon's `join` has been applied. */
bool
GvKernel_IsJoined(gv_kernel_t *k)
{
    const gv_view_t *v = GvView_Acquire(k->views);
    bool joined = v->joined;
    GvView_Release();
    return joined;
}

/* Counts rejected records and passes the verdict to the appender. */
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

/* Publishes a view of the ledger and updates the modules that depend on it. */
void
GvKernel_OnBatch(void *user)
{
    gv_kernel_t *k = user;
    const gv_ledger_t *l = GvReplica_Lock(k->replica);
    GvViews_Publish(k->views, l);
    GvCounter_Set(&offset_gauge, (int64_t)GvLedger_NextOffset(l));
    GvReplica_Unlock(k->replica);
    GvDispatch_OnView(k->dispatch);
    GvKernel_SetPeers(k);
    if (atomic_load(&k->private->ready)) {
        GvKernel_SetTargets(k);
    }
}

static void
pause_ms(int ms)
{
    struct timespec t = {.tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000L};
    clock_nanosleep(CLOCK_MONOTONIC, 0, &t, NULL);
}

/* Thread: calls the timer functions of the modules; none of them blocks. */
static void *
timer_thread(void *arg)
{
    gv_kernel_t *k = arg;
    for (unsigned n = 0; !atomic_load(&k->private->threads_stop); n++) {
        int64_t now = GvClock_MonoMs();
        GvRequests_Expire(k->requests, now);
        GvDispatch_Tick(k->dispatch, now);
        if (n % SLOW_TICKS == 0) {
            GvFront_CheckCallers(k->front);
            GvLending_Tick(k->lending, now);
            GvForward_Tick(k->forward);
            GvCounter_Set(&joined_gauge, GvKernel_IsJoined(k));
        }
        GvKernel_Join(k, now);
        GvKernel_SendHeartbeats(k, now);
        pause_ms(GV_TIMER_TICK_MS);
    }
    return NULL;
}

/* Thread: probes targets on request and writes checkpoints. These wait for the
   network or pack much data, so that the timer thread cannot do them. */
static void *
background_thread(void *arg)
{
    gv_kernel_t *k = arg;
    int64_t checkpoint_ms = 0;
    while (!atomic_load(&k->private->threads_stop)) {
        GvKernel_ProbeSuspectTargets(k);
        int64_t now = GvClock_MonoMs();
        if (now >= checkpoint_ms) {
            checkpoint_ms = now + GV_MAINTAIN_INTERVAL_MS;
            GvCheckpointer_Tick(k->private->checkpointer, now);
        }
        pause_ms(GV_TIMER_TICK_MS);
    }
    return NULL;
}

/* Starts the peer module and sets the configured peers. */
static int
start_peers(gv_kernel_t *k, uint64_t incarnation)
{
    gv_peers_opts_t po = {
        .listen_addr = k->conf.peer_addr,
        .max_fds = k->conf.max_fds,
        .self = {.entry = k->conf.name,
                 .dc = k->conf.dc,
                 .region = k->conf.region,
                 .incarnation = incarnation},
        .on_message = GvKernel_OnMessage,
        .user = k,
    };
    gv_peers_t *peers = NULL;
    int rc = GvPeers_Start(&po, &peers);
    if (rc == GV_OK) {
        __atomic_store_n(&k->peers, peers, __ATOMIC_RELEASE);
        GvLedgerSync_SetPeers(k->ledgersync, peers);
    }
    for (int i = 0; rc == GV_OK && i < k->conf.n_peers; i++) {
        const gv_peer_conf_t *c = &k->conf.peers[i];
        gv_peer_addr_t a = {c->name, c->dc, c->region, c->addr};
        GvPeers_SetAddr(k->peers, &a);
    }
    return rc;
}

/* Runs a caller's request. */
static void
submit(void *user, gv_request_t *rq)
{
    gv_kernel_t *k = user;
    GvForward_Run(k->forward, rq);
}

/* Runs a request here; its ticket or key has been handled. */
static void
submit_locally(void *user, gv_request_t *rq)
{
    gv_kernel_t *k = user;
    GvDispatch_Submit(k->dispatch, rq);
}

/* The dispatcher's spill hook. */
static bool
spill(void *user, gv_request_t *rq)
{
    gv_kernel_t *k = user;
    return GvForward_Spill(k->forward, rq);
}

/* Returns the number of requests queued for a target, for lending. */
static int
queued_for(void *user, gv_str_t host)
{
    gv_kernel_t *k = user;
    return GvDispatch_QueuedFor(k->dispatch, host);
}

/* Starts queued requests after slots were borrowed. */
static void
pump(void *user)
{
    gv_kernel_t *k = user;
    GvDispatch_Pump(k->dispatch);
}

/* Passes a change of a target's health to the target table. */
static void
on_health(void *user, gv_str_t host, gv_str_t boot, bool healthy, bool leaving,
          int running)
{
    gv_kernel_t *k = user;
    (void)running;
    GvTargets_UpdateHealth(k->targets, host, boot, leaving, healthy);
}

/* Passes a new host list to the maintenance module, which exists before the
   prober reads the first one. */
void
GvKernel_OnList(void *user, const gv_hostlist_t *list)
{
    gv_kernel_t *k = user;
    GvMaintain_OnList(k->maintain, list);
}

/* Passes on that the newest host list is still the current one. */
static void
on_list_current(void *user, int64_t asked_ms)
{
    gv_kernel_t *k = user;
    GvMaintain_OnListCurrent(k->maintain, asked_ms);
}

/* Answers paths outside /svc/. */
static int
on_other_path(void *user, gv_str_t method, gv_str_t path, gv_answer_t *a)
{
    return GvAdmin_Handle(user, method, path, a);
}

/* Counts the end of a caller's request for the burn rate. */
static void
on_ended(void *user, gv_request_t *rq)
{
    gv_kernel_t *k = user;
    GvDispatch_CountResult(k->dispatch, rq);
}

/* Creates the modules that need neither the log nor the incarnation. */
static int
create_request_path(gv_kernel_t *k)
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
        .spill = spill,
        .user = k,
    };
    gv_ledgersync_opts_t so = {
        .dc = k->conf.dc,
        .region = k->conf.region,
        .replica = k->replica,
        .on_verdict = GvKernel_OnVerdict,
        .user = k,
    };
    k->ledgersync = GvLedgerSync_New(&so);
    return GvDispatch_Start(&o, &k->dispatch);
}

/* Gets the records that follow this ledger from a peer during a log outage. */
static bool
fetch_from_peer(void *user)
{
    gv_kernel_t *k = user;
    return GvLedgerSync_Fetch(k->ledgersync);
}

/* Starts reading the log; its callbacks run on the reader thread. */
static int
start_reader(gv_kernel_t *k)
{
    gv_logreader_opts_t o = {
        .platform_addr = k->conf.platform_addr,
        .replica = k->replica,
        .on_verdict = GvKernel_OnVerdict,
        .on_batch = GvKernel_OnBatch,
        .fetch_from_peer = fetch_from_peer,
        .user = k,
    };
    return GvLogReader_Start(&o, &k->reader);
}

/* Waits for a ledger from a peer. Without one the daemon starts with an empty
   ledger and sends its requests to peers. Returns false when the ledger has
   this incarnation or a higher one. */
static bool
wait_peer_ledger(gv_kernel_t *k)
{
    int64_t end = GvClock_MonoMs() + START_PEER_MS;
    uint64_t next = 0;
    uint64_t known = 0;
    while (next == 0 && GvClock_MonoMs() < end) {
        pause_ms(STOP_POLL_MS);
        const gv_ledger_t *l = GvReplica_Lock(k->replica);
        const gv_member_t *m = GvLedger_Member(l, k->conf.name);
        next = GvLedger_NextOffset(l);
        known = m != NULL ? m->incarnation : 0;
        GvReplica_Unlock(k->replica);
    }
    GvLog_Write(GV_LOG_WARN,
                "log not read at start, retrying; ledger offset %lu",
                (unsigned long)next);
    return known < k->incarnation;
}

/* Starts the appender and sets it atomically, because the log reader's thread
   already runs. */
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

/* Starts the HTTP server, which accepts requests from now on. */
static int
start_front(gv_kernel_t *k)
{
    gv_front_opts_t o = {
        .addr = k->conf.http_addr,
        .views = k->views,
        .requests = k->requests,
        .memory_mb = k->conf.memory_mb,
        .max_fds = k->conf.max_fds,
        .submit = submit,
        .on_other_path = on_other_path,
        .on_ended = on_ended,
        .user = k,
    };
    return GvFront_Start(&o, &k->front);
}

/* Starts the timer thread and the background thread. */
static int
start_threads(gv_kernel_t *k)
{
    struct gv_kernel_private_s *p = k->private;
    p->timer_started = pthread_create(&p->timer, NULL, timer_thread, k) == 0;
    p->background_started =
        pthread_create(&p->background, NULL, background_thread, k) == 0;
    return p->timer_started && p->background_started ? GV_OK : GV_EIO;
}

/* Creates forwarding, lending and the checkpointer. */
static void
create_modules(gv_kernel_t *k)
{
    gv_forward_opts_t fo = {
        .self = k->conf.name,
        .dc = k->conf.dc,
        .region = k->conf.region,
        .incarnation = k->incarnation,
        .requests = k->requests,
        .replica = k->replica,
        .views = k->views,
        .peers = k->peers,
        .appender = k->appender,
        .submit = submit_locally,
        .user = k,
    };
    k->forward = GvForward_New(&fo);
    gv_lending_opts_t lo = {
        .dc = k->conf.dc,
        .targets = k->targets,
        .views = k->views,
        .peers = k->peers,
        .queued_for = queued_for,
        .pump = pump,
        .user = k,
    };
    k->lending = GvLending_New(&lo);
    k->private->checkpointer =
        GvCheckpointer_New(k->replica, k->reader, k->appender);
}

/* Starts probing targets and reading the host list. */
static int
start_prober(gv_kernel_t *k)
{
    gv_prober_opts_t o = {
        .platform_addr = k->conf.platform_addr,
        .self = k->conf.name,
        .on_health = on_health,
        .on_list = GvKernel_OnList,
        .on_list_current = on_list_current,
        .user = k,
    };
    return GvProber_Start(&o, &k->prober);
}

/* Starts the modules that need the ledger or the incarnation. */
static int
start_after_ledger(gv_kernel_t *k)
{
    int rc = start_appender(k);
    if (rc == GV_OK) {
        create_modules(k);
        rc = GvMaintain_Start(k, &k->maintain);
    }
    if (rc == GV_OK) {
        rc = start_prober(k);
    }
    if (rc == GV_OK) {
        atomic_store(&k->private->ready, true);
        GvKernel_OnBatch(k);
        rc = start_front(k);
    }
    return rc == GV_OK ? start_threads(k) : rc;
}

/* Starts the modules, each after those that it needs. The HELLO to peers
   contains the incarnation. Without the log it is the wall-clock time; a
   higher one in a peer's ledger shows that the clock was set back. */
static int
start_modules(gv_kernel_t *k)
{
    int rc = create_request_path(k);
    if (rc == GV_OK) {
        rc = start_reader(k);
    }
    if (rc != GV_OK) {
        return rc;
    }
    bool read = GvLogReader_SyncToHead(k->reader, START_LOG_MS) == GV_OK;
    GvKernel_ChooseIncarnation(k);
    rc = start_peers(k, k->incarnation);
    if (rc == GV_OK && !read && !wait_peer_ledger(k)) {
        GvLog_Write(GV_LOG_ERROR,
                    "start failed: the wall clock is not ahead of this "
                    "entry host's incarnation in the ledger");
        rc = GV_ESTALE;
    }
    return rc == GV_OK ? start_after_ledger(k) : rc;
}

/* Ends the threads that start_threads has started. */
static void
stop_threads(struct gv_kernel_private_s *p)
{
    atomic_store(&p->threads_stop, true);
    if (p->timer_started) {
        pthread_join(p->timer, NULL);
    }
    if (p->background_started) {
        pthread_join(p->background, NULL);
    }
}

/* Signals all threads that wait for the platform, before any is joined, so
   that an unresponsive platform delays the stop by only one timeout. */
static void
halt_threads(gv_kernel_t *k)
{
    if (k->reader != NULL) {
        GvLogReader_Halt(k->reader);
    }
    if (k->appender != NULL) {
        GvAppender_Halt(k->appender);
    }
    if (k->prober != NULL) {
        GvProber_RequestStop(k->prober);
    }
}

/* Stops and frees the modules; callers stop before the modules they call. */
static void
free_kernel(gv_kernel_t *k)
{
    struct gv_kernel_private_s *p = k->private;
    halt_threads(k);
    stop_threads(p);
    GvFront_Stop(k->front);
    GvMaintain_Stop(k->maintain);
    if (k->reader != NULL) {
        GvLogReader_Stop(k->reader);
    }
    /* Before the appender: requests of peers claim keys through it. */
    if (k->peers != NULL) {
        GvPeers_Stop(k->peers);
    }
    if (k->appender != NULL) {
        GvAppender_Stop(k->appender);
    }
    GvCheckpointer_Free(p->checkpointer);
    if (k->prober != NULL) {
        GvProber_Stop(k->prober);
    }
    GvMaintain_Free(k->maintain);
    GvDispatch_Stop(k->dispatch);
    GvLending_Free(k->lending);
    GvForward_Free(k->forward);
    GvLedgerSync_Free(k->ledgersync);
    if (k->peers != NULL) {
        GvPeers_Free(k->peers);
    }
    GvRequests_Free(k->requests);
    GvViews_Free(k->views);
    GvTargets_Free(k->targets);
    if (k->replica != NULL) {
        GvReplica_Free(k->replica);
    }
    GvNodeConf_Clear(&k->conf);
    pthread_mutex_destroy(&p->leave_lock);
    pthread_cond_destroy(&p->leave_cond);
    g_hash_table_destroy(p->health_synced);
    g_free(p);
    g_free(k);
}

/* Starts a daemon. Takes ownership of conf. Returns 0, or an error after which
   nothing runs. */
int
GvKernel_Start(gv_nodeconf_t *conf, gv_kernel_t **out)
{
    gv_kernel_t *k = g_new0(gv_kernel_t, 1);
    k->conf = *conf;
    *conf = (gv_nodeconf_t){0};
    k->private = g_new0(struct gv_kernel_private_s, 1);
    k->private->health_synced =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    pthread_mutex_init(&k->private->leave_lock, NULL);
    GvSync_InitCond(&k->private->leave_cond);
    int rc = start_modules(k);
    if (rc != GV_OK) {
        free_kernel(k);
        return rc;
    }
    GvLog_Write(GV_LOG_INFO, "%.*s started, incarnation %lu",
                GV_STR_ARG(k->conf.name), (unsigned long)k->incarnation);
    *out = k;
    return GV_OK;
}

/* Waits until no request and no exchange with a target is in progress. The
   wait is limited: every request has a deadline, and every exchange ends
   within a grace time after it. */
static void
wait_idle(gv_kernel_t *k)
{
    while (GvRequests_Count(k->requests) > 0 ||
           GvTargets_CountBusy(k->targets) > 0) {
        pause_ms(STOP_POLL_MS);
    }
    /* Then for responses being sent; the time limit is for callers that do
       not read theirs. */
    int64_t end = GvClock_MonoMs() + GV_STOP_REPLY_MS;
    while (GvFront_CountOpen(k->front) > 0 && GvClock_MonoMs() < end) {
        pause_ms(STOP_POLL_MS);
    }
}

/* Stops the daemon: refuses new requests as not-run, finishes those in
   progress, appends `leave` and ends all threads. */
void
GvKernel_Stop(gv_kernel_t *k)
{
    atomic_store(&k->private->stopping, true);
    GvLog_Write(GV_LOG_INFO, "stopping");
    GvFront_Refuse(k->front);
    GvDispatch_Refuse(k->dispatch);
    wait_idle(k);
    GvKernel_Leave(k);
    GvLog_Write(GV_LOG_INFO, "stopped");
    free_kernel(k);
}

/* Applies the peers of a reloaded node file. Returns GV_EREFUSED, with nothing
   changed, when a field differs that is fixed at start. */
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
        GvPeers_SetAddr(k->peers, &a);
    }
    return GV_OK;
}
