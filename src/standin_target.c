#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "error.h"
#include "httpserver.h"
#include "limits.h"
#include "sync.h"

/* Stand-in for targets in tests: each listening address is one target. Tests
   switch faults on and read the history of runs. */

#define RUN_MAX_MS        (60 * 60 * 1000)
#define HISTORY_MAX_LINES 200000
#define WORD_MAX_BYTES    64

typedef struct {
    bool fail_all;    /* every run ends with status 500 */
    bool freeze;      /* requests are accepted but not answered until reset */
    bool refuse;      /* new connections are refused */
    bool silent;      /* connections opened earlier get no answer */
    uint64_t late_ms; /* delay of the answer after the run */
} faults_t;

typedef struct {
    char *name;
    char *addr;
    gv_server_t *server;
    pthread_mutex_t lock; /* covers everything below */
    pthread_cond_t wake;  /* any change of state */
    bool stopping;
    bool leaving;
    int64_t reboot_until_ms; /* 0: not rebooting */
    int boots;
    int running;
    faults_t faults;
    int64_t silent_us; /* connections opened before get no answer */
    GQueue history;    /* of char *, oldest first */
    uint64_t dropped;  /* lines removed from the history */
} target_t;

static int slots = GV_TARGET_SLOTS;
static int connections = GV_TARGET_CONNECTIONS;
static int run_ms = 10;
static int reboot_ms = 1000;
static int64_t start_ms;

/* Adds an event to the history, with the time of GvClock_MonoMs; `details` is
   empty or begins with a space. The lock is held. */
static void
add_history(target_t *t, const char *event, const char *attempt,
            const char *details)
{
    char *line = g_strdup_printf("%s %s%s %" G_GINT64_FORMAT "\n", event,
                                 attempt, details, GvClock_MonoMs());
    g_queue_push_tail(&t->history, line);
    if (g_queue_get_length(&t->history) > HISTORY_MAX_LINES) {
        g_free(g_queue_pop_head(&t->history));
        t->dropped++;
    }
}

/* Returns true if the target is rebooting; ends a reboot that is over. */
static bool
is_rebooting(target_t *t)
{
    if (t->reboot_until_ms != 0 && GvClock_MonoMs() >= t->reboot_until_ms) {
        t->reboot_until_ms = 0;
        t->leaving = false;
        t->boots++;
    }
    return t->reboot_until_ms != 0;
}

/* Waits for a change of state until end_us, or forever for INT64_MAX. Returns
   false at end_us. The lock is held. */
static bool
wait_change(target_t *t, int64_t end_us)
{
    if (end_us == INT64_MAX) {
        pthread_cond_wait(&t->wake, &t->lock);
        return true;
    }
    return GvSync_WaitUntil(&t->wake, &t->lock, end_us);
}

/* Waits while a fault suppresses the answers on the connection; a silent one
   gets none until the faults are reset. Returns false if the stand-in stops.
   The lock is held. */
static bool
wait_for_faults(target_t *t, gv_server_request_t *rq)
{
    while (!t->stopping && (t->faults.freeze ||
                            (t->faults.silent &&
                             GvServerRequest_OpenedUs(rq) < t->silent_us))) {
        wait_change(t, INT64_MAX);
    }
    return !t->stopping;
}

/* Answers with the header that marks a request as refused before its start. */
static void
reply_not_started(gv_server_request_t *rq, int status, const char *why)
{
    GvServerRequest_AddHeader(rq, "Gv-Not-Started", "true");
    GvServerRequest_ReplyText(rq, status, "%s\n", why);
}

/* Returns value if it is one printable word of at most WORD_MAX_BYTES, else
   "-", so that it is one column of the history. */
static const char *
word_or_dash(const char *value)
{
    if (value == NULL || value[0] == '\0' || strlen(value) > WORD_MAX_BYTES) {
        return "-";
    }
    for (const char *p = value; *p != '\0'; p++) {
        if (!g_ascii_isgraph(*p)) {
            return "-";
        }
    }
    return value;
}

/* Reads the run time and the time until the deadline of a request. Returns
   false after answering with an error. */
static bool
parse_run(gv_server_request_t *rq, uint64_t *ms, uint64_t *deadline_ms)
{
    const char *header = GvServerRequest_Header(rq, "X-Run-Ms");
    const char *deadline = GvServerRequest_Header(rq, "Gv-Deadline-Ms");
    const char *bad = NULL;
    *ms = (uint64_t)run_ms;
    *deadline_ms = RUN_MAX_MS;
    if (header != NULL &&
        GvServer_ParseNumber(header, RUN_MAX_MS, ms) != GV_OK) {
        bad = "X-Run-Ms";
    }
    if (GvServerRequest_QueryNumber(rq, "run_ms", RUN_MAX_MS, ms) != GV_OK) {
        bad = "run_ms";
    }
    if (deadline != NULL &&
        GvServer_ParseNumber(deadline, RUN_MAX_MS, deadline_ms) != GV_OK) {
        bad = "Gv-Deadline-Ms";
    }
    if (bad != NULL) {
        GvServerRequest_AddHeader(rq, "Gv-Not-Started", "true");
        GvServerRequest_ReplyText(rq, 400, "invalid %s\n", bad);
    }
    return bad == NULL;
}

typedef enum { RUN_DONE, RUN_FAILED, RUN_DEADLINE, RUN_ABORTED } run_result_t;

/* Waits for the time of a run: ms, or until the deadline, a reboot or the stop
   of the stand-in. Freezing a target delays its answers but not its runs. */
static run_result_t
run(target_t *t, uint64_t ms, int64_t deadline_us)
{
    int64_t end_us = GvClock_MonoUs() + (int64_t)ms * 1000;
    int boots = t->boots;
    while (!t->stopping && t->reboot_until_ms == 0 && t->boots == boots &&
           wait_change(t, MIN(end_us, deadline_us))) {
    }
    if (t->stopping || t->reboot_until_ms != 0 || t->boots != boots) {
        return RUN_ABORTED;
    }
    if (deadline_us < end_us) {
        return RUN_DEADLINE;
    }
    return t->faults.fail_all ? RUN_FAILED : RUN_DONE;
}

/* Waits while faults delay the answer. Returns false if the stand-in stops. */
static bool
delay_answer(target_t *t, gv_server_request_t *rq)
{
    int64_t end_us = GvClock_MonoUs() + (int64_t)t->faults.late_ms * 1000;
    while (!t->stopping && t->faults.late_ms > 0 && wait_change(t, end_us)) {
    }
    return wait_for_faults(t, rq);
}

/* Runs a request in a slot and answers it. The lock is held. */
static void
run_request(target_t *t, gv_server_request_t *rq, uint64_t ms,
            int64_t deadline_us)
{
    const char *attempt =
        word_or_dash(GvServerRequest_Header(rq, "Gv-Attempt-Id"));
    const char *tag = GvServerRequest_Query(rq, "tag");
    if (tag == NULL) {
        tag = GvServerRequest_Header(rq, "X-Tag");
    }
    char *details =
        g_strdup_printf(" %s %s %s", GvServerRequest_Method(rq),
                        GvServerRequest_Path(rq), word_or_dash(tag));
    t->running++;
    add_history(t, "start", attempt, details);
    g_free(details);
    run_result_t end = run(t, ms, deadline_us);
    add_history(t, end == RUN_ABORTED ? "cut" : "finish", attempt, "");
    t->running--;
    if (end == RUN_ABORTED || !delay_answer(t, rq)) {
        return;
    }
    switch (end) {
    case RUN_DONE: {
        gv_str_t body = GvServerRequest_Body(rq);
        uint64_t more = 0; /* bytes of the reply, for tests of large ones */
        (void)GvServerRequest_QueryNumber(rq, "reply_bytes",
                                          GV_BODY_MAX_BYTES / 2, &more);
        GString *text = g_string_new("ok ");
        g_string_append_len(text, body.p, (gssize)body.n);
        g_string_append_printf(text, "%*s", (int)more, "");
        GvServerRequest_Reply(rq, 200, "text/plain",
                              GvStr_N(text->str, text->len));
        g_string_free(text, TRUE);
        break;
    }
    case RUN_FAILED:
        GvServerRequest_ReplyText(rq, 500, "failed\n");
        break;
    case RUN_DEADLINE:
        GvServerRequest_ReplyText(rq, 504, "deadline passed\n");
        break;
    case RUN_ABORTED:
        break;
    }
}

/* Runs a request, or refuses it before its start. */
static void
handle_work(target_t *t, gv_server_request_t *rq)
{
    uint64_t ms;
    uint64_t deadline_ms;
    int64_t arrived_us = GvClock_MonoUs();
    const char *attempt =
        word_or_dash(GvServerRequest_Header(rq, "Gv-Attempt-Id"));
    if (strcmp(attempt, "-") != 0) {
        /* Set first, so that a refusal too can be matched to its attempt. */
        GvServerRequest_AddHeader(rq, "Gv-Attempt-Id", attempt);
    }
    if (!parse_run(rq, &ms, &deadline_ms)) {
        return;
    }
    int64_t deadline_us = arrived_us + (int64_t)deadline_ms * 1000;
    pthread_mutex_lock(&t->lock);
    if (!wait_for_faults(t, rq)) {
    }
    else if (is_rebooting(t)) {
        reply_not_started(rq, 503, "rebooting");
    }
    else if (t->leaving) {
        add_history(t, "refuse", attempt, "");
        reply_not_started(rq, 503, "leaving");
    }
    else if (t->running >= slots) {
        reply_not_started(rq, 503, "all slots taken");
    }
    else if (GvClock_MonoUs() >= deadline_us) {
        reply_not_started(rq, 504, "deadline passed before the start");
    }
    else {
        run_request(t, rq, ms, deadline_us);
    }
    pthread_mutex_unlock(&t->lock);
}

/* GET /health. A rebooting target answers 503, as for work. */
static void
handle_health(target_t *t, gv_server_request_t *rq)
{
    pthread_mutex_lock(&t->lock);
    if (!wait_for_faults(t, rq)) {
    }
    else if (is_rebooting(t)) {
        reply_not_started(rq, 503, "rebooting");
    }
    else {
        GvServerRequest_ReplyText(rq, 200,
                                  "state=%s boot=%s-%" G_GINT64_MODIFIER
                                  "x-%d running=%d "
                                  "slots=%d\n",
                                  t->leaving ? "leaving" : "live", t->name,
                                  start_ms, t->boots, t->running, slots);
    }
    pthread_mutex_unlock(&t->lock);
}

/* GET /history: one event on each line, oldest first. */
static void
handle_history(target_t *t, gv_server_request_t *rq)
{
    GString *text = g_string_new(NULL);
    pthread_mutex_lock(&t->lock);
    if (t->dropped > 0) {
        g_string_append_printf(text, "dropped %" G_GUINT64_FORMAT "\n",
                               (guint64)t->dropped);
    }
    for (GList *l = t->history.head; l != NULL; l = l->next) {
        g_string_append(text, l->data);
    }
    pthread_mutex_unlock(&t->lock);
    GvServerRequest_Reply(rq, 200, "text/plain",
                          GvStr_N(text->str, text->len));
    g_string_free(text, TRUE);
}

/* Reads the faults of the query into f. Returns the name of an invalid one, or
   NULL. */
static const char *
parse_faults(gv_server_request_t *rq, faults_t *f)
{
    const struct {
        const char *name;
        bool *value;
    } flags[] = {{"fail_all", &f->fail_all},
                 {"freeze", &f->freeze},
                 {"refuse", &f->refuse},
                 {"silent", &f->silent}};
    int known = 0;
    if (GvServerRequest_Query(rq, "reset") != NULL) {
        memset(f, 0, sizeof *f);
        known++;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(flags); i++) {
        uint64_t v = *flags[i].value;
        if (GvServerRequest_QueryNumber(rq, flags[i].name, 1, &v) != GV_OK) {
            return flags[i].name;
        }
        *flags[i].value = v == 1;
        known += GvServerRequest_Query(rq, flags[i].name) != NULL;
    }
    if (GvServerRequest_QueryNumber(rq, "late_ms", RUN_MAX_MS, &f->late_ms)) {
        return "late_ms";
    }
    known += GvServerRequest_Query(rq, "late_ms") != NULL;
    known += GvServerRequest_Query(rq, "target") != NULL;
    return known == GvServerRequest_QueryCount(rq) ? NULL : "unknown fault";
}

/* POST /control/fault. Nothing changes if one of the faults is invalid. */
static void
set_faults(target_t *t, gv_server_request_t *rq)
{
    pthread_mutex_lock(&t->lock);
    faults_t f = t->faults;
    const char *bad = parse_faults(rq, &f);
    gv_server_t *server = t->server;
    if (bad == NULL && server == NULL) {
        bad = "the target is not served yet";
    }
    if (bad == NULL) {
        if (f.silent && !t->faults.silent) {
            t->silent_us = GvClock_MonoUs();
        }
        t->faults = f;
        pthread_cond_broadcast(&t->wake);
    }
    pthread_mutex_unlock(&t->lock);
    if (bad != NULL) {
        GvServerRequest_ReplyText(rq, 400, "invalid fault: %s\n", bad);
        return;
    }
    int err = GvServer_SetRefusing(server, f.refuse);
    GvServerRequest_ReplyText(rq, err == GV_OK ? 200 : 500, "%s\n",
                              Gv_StrError(err));
}

/* POST /control/VERB: leave, live, reboot or fault. */
static void
handle_control(target_t *t, gv_server_request_t *rq, const char *verb)
{
    if (strcmp(verb, "fault") == 0) {
        set_faults(t, rq);
        return;
    }
    bool known = true;
    pthread_mutex_lock(&t->lock);
    if (strcmp(verb, "leave") == 0 || strcmp(verb, "live") == 0) {
        t->leaving = strcmp(verb, "leave") == 0;
    }
    else if (strcmp(verb, "reboot") == 0) {
        if (!is_rebooting(t)) {
            t->reboot_until_ms = GvClock_MonoMs() + reboot_ms;
        }
        pthread_cond_broadcast(&t->wake);
    }
    else {
        known = false;
    }
    pthread_mutex_unlock(&t->lock);
    GvServerRequest_ReplyText(rq, known ? 200 : 404,
                              known ? "ok\n" : "unknown\n");
}

static GPtrArray *targets; /* of target_t; complete before serving begins */

/* Returns the target that the query names with target=NAME, by default `here`,
   on whose address the call arrived. NULL for an unknown name. */
static target_t *
find_target(gv_server_request_t *rq, target_t *here)
{
    const char *name = GvServerRequest_Query(rq, "target");
    for (guint i = 0; name != NULL && i < targets->len; i++) {
        target_t *t = targets->pdata[i];
        if (strcmp(t->name, name) == 0) {
            return t;
        }
    }
    return name == NULL ? here : NULL;
}

/* Passes a request to its handler; user is the target on whose address it
   arrived. */
static void
handle(void *user, gv_server_request_t *rq)
{
    target_t *here = user;
    const char *path = GvServerRequest_Path(rq);
    bool control = g_str_has_prefix(path, "/control/");
    bool history = strcmp(path, "/history") == 0;
    target_t *t = control || history ? find_target(rq, here) : here;
    if (t == NULL) {
        GvServerRequest_ReplyText(rq, 404, "no target of that name\n");
        return;
    }
    GvServerRequest_AddHeader(rq, "Gv-Target", t->name);
    if (control && strcmp(GvServerRequest_Method(rq), "POST") != 0) {
        GvServerRequest_ReplyText(rq, 405, "POST wanted\n");
    }
    else if (control) {
        handle_control(t, rq, path + strlen("/control/"));
    }
    else if (history) {
        handle_history(t, rq);
    }
    else if (strcmp(path, "/health") == 0) {
        handle_health(t, rq);
    }
    else {
        handle_work(t, rq);
    }
}

/* Adds a target given as "NAME=ADDR". Returns 0 or GV_EINVAL. */
static int
add_target(const char *spec)
{
    const char *eq = strchr(spec, '=');
    target_t *t = g_new0(target_t, 1);
    t->name = g_strndup(spec, eq == NULL ? 0 : (gsize)(eq - spec));
    t->addr = g_strdup(eq == NULL ? "" : eq + 1);
    g_queue_init(&t->history);
    pthread_mutex_init(&t->lock, NULL);
    GvSync_InitCond(&t->wake);
    g_ptr_array_add(targets, t);
    if (!GvStr_IsName(GvStr_C(t->name))) {
        g_printerr("standin-target: invalid target %s, expected NAME=ADDR\n",
                   spec);
        return GV_EINVAL;
    }
    return GV_OK;
}

/* Starts the server of a target, under its lock, because requests to this and
   other targets read t->server while this thread stores it. Returns 0 or an
   error number. */
static int
start_target(target_t *t)
{
    gv_server_opts_t o = {t->addr, connections, GV_BODY_MAX_BYTES, handle, t};
    pthread_mutex_lock(&t->lock);
    int err = GvServer_Start(&o, &t->server);
    pthread_mutex_unlock(&t->lock);
    if (err != GV_OK) {
        g_printerr("standin-target: cannot listen on %s: %s\n", t->addr,
                   Gv_StrError(err));
    }
    return err;
}

/* Wakes all waiting requests, stops the servers and frees the targets. */
static void
stop_targets(void)
{
    for (guint i = 0; i < targets->len; i++) {
        target_t *t = targets->pdata[i];
        pthread_mutex_lock(&t->lock);
        t->stopping = true;
        pthread_cond_broadcast(&t->wake);
        pthread_mutex_unlock(&t->lock);
    }
    for (guint i = 0; i < targets->len; i++) {
        target_t *t = targets->pdata[i];
        if (t->server != NULL) {
            GvServer_Stop(t->server);
        }
    }
    for (guint i = 0; i < targets->len; i++) {
        target_t *t = targets->pdata[i];
        g_queue_clear_full(&t->history, g_free);
        pthread_mutex_destroy(&t->lock);
        pthread_cond_destroy(&t->wake);
        g_free(t->name);
        g_free(t->addr);
        g_free(t);
    }
    g_ptr_array_free(targets, TRUE);
}

/* Reads the options and serves. Exit status 2 for invalid options, 1 when a
   target cannot be served. */
int
main(int argc, char **argv)
{
    char **specs = NULL;
    GOptionEntry entries[] = {
        {"target", 0, 0, G_OPTION_ARG_STRING_ARRAY, &specs,
         "A target and its address; may be repeated", "NAME=ADDR"},
        {"slots", 0, 0, G_OPTION_ARG_INT, &slots, "Slots per target", "N"},
        {"connections", 0, 0, G_OPTION_ARG_INT, &connections,
         "Connections per target", "N"},
        {"run-ms", 0, 0, G_OPTION_ARG_INT, &run_ms, "Default run time", "MS"},
        {"reboot-ms", 0, 0, G_OPTION_ARG_INT, &reboot_ms,
         "Duration of a reboot", "MS"},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
    GError *error = NULL;
    GOptionContext *ctx = g_option_context_new(NULL);
    g_option_context_add_main_entries(ctx, entries, NULL);
    bool ok = g_option_context_parse(ctx, &argc, &argv, &error);
    g_option_context_free(ctx);
    if (!ok || specs == NULL || argc > 1 || slots < 1 || connections < 1 ||
        run_ms < 0 || run_ms > RUN_MAX_MS || reboot_ms < 0) {
        g_printerr(
            "standin-target: %s\n",
            ok ? "--target NAME=ADDR is required; --slots and --connections "
                 "must be at least 1, times must not be negative or too long"
               : error->message);
        return 2;
    }
    start_ms = GvClock_WallMs();
    targets = g_ptr_array_new();
    int err = GV_OK;
    for (int i = 0; specs[i] != NULL && err == GV_OK; i++) {
        err = add_target(specs[i]);
    }
    for (guint i = 0; i < targets->len && err == GV_OK; i++) {
        err = start_target(targets->pdata[i]);
    }
    if (err == GV_OK) {
        GvServer_WaitForSignal();
    }
    stop_targets();
    g_strfreev(specs);
    return err == GV_OK ? 0 : 1;
}
