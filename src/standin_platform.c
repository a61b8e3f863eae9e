#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "error.h"
#include "health.h"
#include "hosttable.h"
#include "httpclient.h"
#include "httpserver.h"
#include "limits.h"
#include "logstore.h"
#include "pack.h"
#include "sync.h"

/* Stand-in for the platform: log, host list, host operations, faults. */

#define APPEND_BYTES   (4 * 1024 * 1024)
#define READ_MAX       4096
#define WAIT_MAX_MS    60000
#define SLOW_MAX_MS    600000
#define MONITOR_MS     50
#define TARGET_WAIT_MS 2000
#define CONNECTIONS    1024

typedef enum { OUTAGE_NONE, OUTAGE_503, OUTAGE_REFUSE } outage_t;

typedef struct {
    outage_t outage;
    uint64_t slow_ms;
    uint64_t lose_append;      /* appends whose answer gets lost */
    uint64_t duplicate_append; /* appends that are delivered twice */
    uint64_t list_lag_ms;
    uint64_t list_repeat; /* the list served is this many versions older */
} faults_t;

typedef struct {
    pthread_mutex_t lock; /* covers everything below */
    pthread_cond_t wake;  /* new records or stopping */
    bool stopping;
    gv_logstore_t *log;
    faults_t faults;
    gv_hosttable_t *hosts;
    gv_server_t *main; /* refuses during an outage of that kind */
    bool has_control;
} platform_t;

/* Waits ms or until the stand-in stops; the lock is held. */
static void
pause_locked(platform_t *p, uint64_t ms)
{
    gint64 end = g_get_monotonic_time() + (gint64)ms * 1000;
    while (!p->stopping && GvSync_WaitUntil(&p->wake, &p->lock, end)) {
    }
}

/* Answers 200 with sb and releases it. */
static void
reply_msgpack(gv_server_request_t *rq, msgpack_sbuffer *sb)
{
    GvServerRequest_Reply(rq, 200, "application/msgpack",
                          GvStr_N(sb->data, sb->size));
    msgpack_sbuffer_destroy(sb);
}

/* Answers 400 that names the parameter. */
static void
reply_bad(gv_server_request_t *rq, const char *name)
{
    GvServerRequest_ReplyText(rq, 400, "missing or invalid parameter: %s\n",
                              name);
}

/* Appends valid records. Returns false when the answer gets lost. */
static bool
append_records(platform_t *p, const msgpack_object *batch, uint64_t *first)
{
    pthread_mutex_lock(&p->lock);
    int64_t now_ms = GvClock_WallMs();
    *first = GvLogStore_AppendBatch(p->log, batch, now_ms);
    if (p->faults.duplicate_append > 0) {
        p->faults.duplicate_append--;
        GvLogStore_AppendBatch(p->log, batch, now_ms);
    }
    bool lost = p->faults.lose_append > 0;
    p->faults.lose_append -= lost ? 1 : 0;
    pthread_cond_broadcast(&p->wake);
    pthread_mutex_unlock(&p->lock);
    return !lost;
}

/* POST /log/append. All records are appended, or none. */
static void
log_append(platform_t *p, gv_server_request_t *rq)
{
    msgpack_unpacked un;
    char why[80] = "body: invalid msgpack";
    uint64_t first;
    int err = GvUnpack_Root(&un, GvServerRequest_Body(rq));
    if (err == GV_OK) {
        err = GvLogStore_CheckBatch(&un.data, why, sizeof why);
    }
    if (err != GV_OK) {
        GvServerRequest_ReplyText(rq, err == GV_ETOOBIG ? 413 : 400, "%s\n",
                                  why);
    }
    else if (append_records(p, &un.data, &first)) {
        msgpack_sbuffer sb;
        GvLogStore_PackAppended(first, un.data.via.array.size, &sb);
        reply_msgpack(rq, &sb);
    }
    msgpack_unpacked_destroy(&un);
}

/* Replaces an answer by what an outage of that kind gives. */
static void
reply_outage(gv_server_request_t *rq, outage_t outage)
{
    switch (outage) {
    case OUTAGE_NONE:
        break;
    case OUTAGE_503:
        GvServerRequest_ReplyText(rq, 503, "outage\n");
        break;
    case OUTAGE_REFUSE:
        GvServerRequest_DropReply(rq);
        break;
    }
}

/* GET /log/read. Waits up to wait_ms for a record at `from`; an outage that
   begins meanwhile ends the wait. */
static void
log_read(platform_t *p, gv_server_request_t *rq)
{
    uint64_t from = 0;
    uint64_t max = GV_LOG_READ_MAX_RECORDS;
    uint64_t wait_ms = 0;
    const char *bad =
        GvServerRequest_Query(rq, "from") == NULL ||
                GvServerRequest_QueryNumber(rq, "from", INT64_MAX, &from) !=
                    GV_OK
            ? "from"
        : GvServerRequest_QueryNumber(rq, "max", READ_MAX, &max) != GV_OK
            ? "max"
        : GvServerRequest_QueryNumber(rq, "wait_ms", WAIT_MAX_MS, &wait_ms) !=
                GV_OK
            ? "wait_ms"
            : NULL;
    if (bad != NULL) {
        reply_bad(rq, bad);
        return;
    }
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    gint64 end = g_get_monotonic_time() + (gint64)wait_ms * 1000;
    pthread_mutex_lock(&p->lock);
    while (!p->stopping && p->faults.outage == OUTAGE_NONE &&
           from >= GvLogStore_Next(p->log) &&
           GvSync_WaitUntil(&p->wake, &p->lock, end)) {
    }
    outage_t outage = p->faults.outage;
    GvLogStore_Expire(p->log, GvClock_WallMs());
    GvLogStore_PackPage(p->log, from, max, GV_LOG_PAGE_BYTES, &sb);
    pthread_mutex_unlock(&p->lock);
    reply_msgpack(rq, &sb);
    reply_outage(rq, outage);
}

/* Serves the newest list, or the older one that the faults ask for; 204 for
   the version that the caller knows. */
static void
hosts_list(platform_t *p, gv_server_request_t *rq)
{
    uint64_t known = 0;
    uint64_t version;
    if (GvServerRequest_QueryNumber(rq, "known", INT64_MAX, &known) != GV_OK) {
        reply_bad(rq, "known");
        return;
    }
    pthread_mutex_lock(&p->lock);
    int64_t now_ms = GvClock_MonoMs();
    GvHostTable_MakeList(p->hosts, now_ms);
    GBytes *body =
        GvHostTable_List(p->hosts, now_ms - (int64_t)p->faults.list_lag_ms,
                         p->faults.list_repeat, &version);
    pthread_mutex_unlock(&p->lock);
    gsize n;
    const void *data = g_bytes_get_data(body, &n);
    bool same = version == known;
    GvServerRequest_Reply(rq, same ? 204 : 200, "application/msgpack",
                          GvStr_N(data, same ? 0 : n));
    g_bytes_unref(body);
}

/* Asks a target for its boot identifier; NULL unless it is live. */
static char *
ask_boot(const char *addr)
{
    char *text = NULL;
    char *boot = NULL;
    gv_health_report_t r;
    if (GvHttp_Once(addr, "GET", "/health", TARGET_WAIT_MS, &text) == 200 &&
        GvHealth_ParseReport(GvStr_C(text), &r) == GV_OK && !r.leaving) {
        boot = g_strdup(r.boot);
    }
    g_free(text);
    return boot;
}

/* Registers a host or replaces its data. A target's boot identifier is the
   one that it reports, unless the query names one. */
static void
hosts_set(platform_t *p, gv_server_request_t *rq)
{
    gv_listed_host_t h = {.state = GV_LISTED_LIVE};
    const char *bad = GvHostTable_ParseQuery(rq, &h);
    if (bad != NULL) {
        reply_bad(rq, bad);
        return;
    }
    char *boot = NULL;
    if (h.boot.n == 0 && h.slots > 0) {
        boot = ask_boot(h.addr.p);
        h.boot = GvStr_C(boot);
    }
    pthread_mutex_lock(&p->lock);
    int err = GvHostTable_Set(p->hosts, &h);
    pthread_mutex_unlock(&p->lock);
    g_free(boot);
    GvServerRequest_ReplyText(rq, err == GV_OK ? 200 : 507, "%s\n",
                              Gv_StrError(err));
}

/* Checks a host operation's parameters and fence; the lock is held. Returns
   the host, or NULL after answering. */
static gv_hosttable_host_t *
fenced_host(platform_t *p, gv_server_request_t *rq)
{
    uint64_t fence = 0;
    gv_str_t name = GvStr_C(GvServerRequest_Query(rq, "host"));
    gv_hosttable_host_t *h = NULL;
    if (!GvStr_IsName(name)) {
        reply_bad(rq, "host");
        return NULL;
    }
    if (GvServerRequest_Query(rq, "fence") == NULL ||
        GvServerRequest_QueryNumber(rq, "fence", INT64_MAX, &fence) != GV_OK) {
        reply_bad(rq, "fence");
        return NULL;
    }
    int err = GvHostTable_CheckFence(p->hosts, name, fence, &h);
    if (err != GV_OK) {
        GvServerRequest_ReplyText(rq, err == GV_ENOENT ? 404 : 409, "%s: %s\n",
                                  name.p, Gv_StrError(err));
    }
    return h;
}

/* Drains a host or makes it ready, and tells the target, which may be
 * unreachable. */
static void
hosts_mark(platform_t *p, gv_server_request_t *rq)
{
    bool drain = strcmp(GvServerRequest_Path(rq), "/hosts/drain") == 0;
    const char *path = drain ? "/control/leave" : "/control/live";
    pthread_mutex_lock(&p->lock);
    gv_hosttable_host_t *h = fenced_host(p, rq);
    char *addr = NULL;
    if (h != NULL) {
        GvHostTable_SetState(p->hosts, h,
                             drain ? GV_LISTED_LEAVING : GV_LISTED_LIVE,
                             GV_STR(""));
        addr = h->listed.slots > 0 ? g_strdup(h->listed.addr.p) : NULL;
    }
    pthread_mutex_unlock(&p->lock);
    if (addr != NULL) {
        GvHttp_Once(addr, "POST", path, TARGET_WAIT_MS, NULL);
    }
    g_free(addr);
    if (h != NULL) {
        GvServerRequest_ReplyText(rq, 200, "ok\n");
    }
}

/* Reboots a host. Each accepted call reboots it, also when repeated with the
   same fence, except while it is already rebooting. */
static void
hosts_reboot(platform_t *p, gv_server_request_t *rq)
{
    pthread_mutex_lock(&p->lock);
    gv_hosttable_host_t *h = fenced_host(p, rq);
    char *addr = NULL;
    if (h != NULL && !h->rebooting) {
        h->rebooting = true;
        GvHostTable_SetState(p->hosts, h, GV_LISTED_LEAVING, GV_STR(""));
        addr = g_strdup(h->listed.addr.p);
    }
    pthread_mutex_unlock(&p->lock);
    if (h == NULL) {
        return;
    }
    int status = addr == NULL ? 200
                              : GvHttp_Once(addr, "POST", "/control/reboot",
                                            TARGET_WAIT_MS, NULL);
    g_free(addr);
    if (status == 200) {
        GvServerRequest_ReplyText(rq, 200, "ok\n");
        return;
    }
    pthread_mutex_lock(&p->lock);
    h->rebooting = false;
    pthread_mutex_unlock(&p->lock);
    GvServerRequest_ReplyText(rq, 503, "target not reached\n");
}

/* Reads the fault switches into f. Returns the name of an invalid one. */
static const char *
parse_faults(gv_server_request_t *rq, faults_t *f)
{
    const struct {
        const char *name;
        uint64_t max;
        uint64_t *value;
    } numbers[] = {{"slow_ms", SLOW_MAX_MS, &f->slow_ms},
                   {"lose_append", INT32_MAX, &f->lose_append},
                   {"duplicate_append", INT32_MAX, &f->duplicate_append},
                   {"list_lag_ms", SLOW_MAX_MS, &f->list_lag_ms},
                   {"list_repeat", GV_HOSTTABLE_LISTS_MAX, &f->list_repeat}};
    static const char *const outages[] = {"0", "503", "refuse", NULL};
    int known = 0;
    if (GvServerRequest_Query(rq, "reset") != NULL) {
        memset(f, 0, sizeof *f);
        known++;
    }
    const char *outage = GvServerRequest_Query(rq, "outage");
    if (outage != NULL) {
        int kind = 0;
        while (outages[kind] != NULL && strcmp(outage, outages[kind]) != 0) {
            kind++;
        }
        if (outages[kind] == NULL) {
            return "outage";
        }
        f->outage = (outage_t)kind;
        known++;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
        if (GvServerRequest_QueryNumber(rq, numbers[i].name, numbers[i].max,
                                        numbers[i].value) != GV_OK) {
            return numbers[i].name;
        }
        known += GvServerRequest_Query(rq, numbers[i].name) != NULL;
    }
    return known == GvServerRequest_QueryCount(rq) ? NULL : "unknown fault";
}

/* Switches faults; nothing changes when one of them is invalid. With a
   control address an outage of kind refuse closes the listening socket. */
static void
set_faults(platform_t *p, gv_server_request_t *rq)
{
    pthread_mutex_lock(&p->lock);
    faults_t f = p->faults;
    const char *bad = parse_faults(rq, &f);
    if (bad == NULL) {
        p->faults = f;
        pthread_cond_broadcast(&p->wake);
    }
    pthread_mutex_unlock(&p->lock);
    if (bad != NULL) {
        reply_bad(rq, bad);
        return;
    }
    int err = GV_OK;
    if (p->has_control) {
        err = GvServer_SetRefusing(p->main, f.outage == OUTAGE_REFUSE);
    }
    GvServerRequest_ReplyText(rq, err == GV_OK ? 200 : 500, "%s\n",
                              Gv_StrError(err));
}

typedef struct {
    const char *method;
    const char *path;
    bool faulty; /* subject to outages and slowness */
    void (*call)(platform_t *p, gv_server_request_t *rq);
} route_t;

static const route_t routes[] = {
    {"POST", "/log/append", true, log_append},
    {"GET", "/log/read", true, log_read},
    {"GET", "/hosts", true, hosts_list},
    {"POST", "/hosts/drain", true, hosts_mark},
    {"POST", "/hosts/reboot", true, hosts_reboot},
    {"POST", "/hosts/ready", true, hosts_mark},
    {"POST", "/hosts/set", false, hosts_set},
    {"POST", "/faults", false, set_faults},
};

/* Applies slowness, then outage. Slowness comes before the effect, so that a
   call can take effect after its caller gave up. */
static void
call_route(platform_t *p, const route_t *r, gv_server_request_t *rq)
{
    outage_t outage = OUTAGE_NONE;
    if (r->faulty) {
        pthread_mutex_lock(&p->lock);
        if (p->faults.slow_ms > 0) {
            pause_locked(p, p->faults.slow_ms);
        }
        outage = p->faults.outage;
        pthread_mutex_unlock(&p->lock);
    }
    if (outage == OUTAGE_NONE) {
        r->call(p, rq);
    }
    else {
        reply_outage(rq, outage);
    }
}

/* Passes a request to its route; 404 for an unknown path, 405 for a wrong
   method. */
static void
handle(void *user, gv_server_request_t *rq)
{
    const route_t *other = NULL;
    for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
        const route_t *r = &routes[i];
        if (strcmp(r->path, GvServerRequest_Path(rq)) != 0) {
            continue;
        }
        if (strcmp(r->method, GvServerRequest_Method(rq)) == 0) {
            call_route(user, r, rq);
            return;
        }
        other = r;
    }
    GvServerRequest_ReplyText(rq, other == NULL ? 404 : 405,
                              "no such endpoint\n");
}

/* Gives a rebooted host its new boot identifier once the target reports it. */
static void
check_reboot(platform_t *p, gv_hosttable_host_t *h)
{
    pthread_mutex_lock(&p->lock);
    char *addr = h->rebooting ? g_strdup(h->listed.addr.p) : NULL;
    pthread_mutex_unlock(&p->lock);
    if (addr == NULL) {
        return;
    }
    char *boot = ask_boot(addr);
    pthread_mutex_lock(&p->lock);
    if (boot != NULL && h->rebooting &&
        !GvStr_Equal(GvStr_C(boot), h->listed.boot)) {
        h->rebooting = false;
        GvHostTable_SetState(p->hosts, h, GV_LISTED_LIVE, GvStr_C(boot));
    }
    pthread_mutex_unlock(&p->lock);
    g_free(boot);
    g_free(addr);
}

/* Makes list versions and follows reboots until the stand-in stops. */
static void *
monitor(void *user)
{
    platform_t *p = user;
    pthread_mutex_lock(&p->lock);
    while (!p->stopping) {
        GvHostTable_MakeList(p->hosts, GvClock_MonoMs());
        for (int i = 0; i < GvHostTable_Count(p->hosts); i++) {
            gv_hosttable_host_t *h = GvHostTable_At(p->hosts, i);
            if (h->rebooting) {
                pthread_mutex_unlock(&p->lock);
                check_reboot(p, h);
                pthread_mutex_lock(&p->lock);
            }
        }
        pause_locked(p, MONITOR_MS);
    }
    pthread_mutex_unlock(&p->lock);
    return NULL;
}

/* Starts a server on addr; NULL addr means none. */
static int
listen_on(platform_t *p, const char *addr, gv_server_t **out)
{
    gv_server_opts_t o = {addr, CONNECTIONS, APPEND_BYTES, handle, p};
    int err = addr == NULL ? GV_OK : GvServer_Start(&o, out);
    if (err != GV_OK) {
        g_printerr("standin-platform: %s: %s\n", addr, Gv_StrError(err));
    }
    return err;
}

/* Serves until SIGTERM or SIGINT. */
static int
serve(platform_t *p, const char *addr, const char *control)
{
    gv_server_t *extra = NULL;
    p->has_control = control != NULL;
    /* Requests read p->main once they have held the lock. */
    pthread_mutex_lock(&p->lock);
    int err = listen_on(p, addr, &p->main);
    pthread_mutex_unlock(&p->lock);
    if (err != GV_OK) {
        return 1;
    }
    if (listen_on(p, control, &extra) != GV_OK) {
        GvServer_Stop(p->main);
        return 1;
    }
    pthread_t thread;
    if (pthread_create(&thread, NULL, monitor, p) != 0) {
        return 1;
    }
    GvServer_WaitForSignal();
    pthread_mutex_lock(&p->lock);
    p->stopping = true;
    pthread_cond_broadcast(&p->wake);
    pthread_mutex_unlock(&p->lock);
    pthread_join(thread, NULL);
    GvServer_Stop(p->main);
    if (extra != NULL) {
        GvServer_Stop(extra);
    }
    return 0;
}

/* Reads the options and serves. Exit status 2 for invalid options, 1 when an
   address cannot be bound. */
int
main(int argc, char **argv)
{
    char *addr = NULL;
    char *control = NULL;
    gint64 records = 0;
    gint64 ms = 0;
    GOptionEntry entries[] = {
        {"listen", 0, 0, G_OPTION_ARG_STRING, &addr, "Address", "ADDR"},
        {"control", 0, 0, G_OPTION_ARG_STRING, &control,
         "Second address that an outage does not close", "ADDR"},
        {"retention-records", 0, 0, G_OPTION_ARG_INT64, &records,
         "Records kept, 0: all", "N"},
        {"retention-ms", 0, 0, G_OPTION_ARG_INT64, &ms,
         "Time that records are kept, 0: always", "MS"},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
    GError *error = NULL;
    GOptionContext *ctx = g_option_context_new(NULL);
    g_option_context_add_main_entries(ctx, entries, NULL);
    bool ok = g_option_context_parse(ctx, &argc, &argv, &error);
    g_option_context_free(ctx);
    if (!ok || addr == NULL || records < 0 || ms < 0 || argc > 1) {
        g_printerr("standin-platform: %s\n",
                   ok ? "--listen ADDR is needed; limits are not negative"
                      : error->message);
        return 2;
    }
    platform_t *p = g_new0(platform_t, 1);
    pthread_mutex_init(&p->lock, NULL);
    GvSync_InitCond(&p->wake);
    p->log = GvLogStore_New((uint64_t)records, ms);
    p->hosts = GvHostTable_New();
    int code = serve(p, addr, control);
    GvHostTable_Free(p->hosts);
    GvLogStore_Free(p->log);
    pthread_mutex_destroy(&p->lock);
    pthread_cond_destroy(&p->wake);
    g_free(p);
    g_free(addr);
    g_free(control);
    return code;
}
