#include <glib.h>
#include <signal.h>
#include <stdio.h>

#include "error.h"
#include "kernel.h"
#include "log.h"

/* Time between two checks whether the daemon has failed. */
#define FAILURE_CHECK_MS 200

/* Logs every problem of a node file as FILE:LINE: FIELD: TEXT. */
static void
log_problems(const gv_problems_t *ps)
{
    for (guint i = 0; i < ps->len; i++) {
        const gv_problem_t *p = g_ptr_array_index(ps, i);
        GvLog_Write(GV_LOG_ERROR, "%.*s:%d: %.*s%s%.*s", GV_STR_ARG(p->file),
                    p->line, GV_STR_ARG(p->field), p->field.n > 0 ? ": " : "",
                    GV_STR_ARG(p->text));
    }
}

/* Reads the node file and logs its problems. Returns 0 or an error number. */
static int
load(const char *file, gv_nodeconf_t *conf)
{
    gv_problems_t *ps = GvProblems_New();
    int rc = GvNodeConf_Load(file, conf, ps);
    if (rc != GV_OK) {
        log_problems(ps);
    }
    g_ptr_array_free(ps, TRUE);
    return rc;
}

/* Reloads the node file. If it is invalid or changes a field that cannot
   change without a restart, the current settings stay in force. */
static void
reload(gv_kernel_t *k, const char *file)
{
    gv_nodeconf_t conf = {0};
    if (load(file, &conf) != GV_OK) {
        GvLog_Write(GV_LOG_ERROR,
                    "%s not reloaded because of these problems; the current "
                    "settings stay in force",
                    file);
        return;
    }
    if (GvKernel_Reload(k, &conf) != GV_OK) {
        GvLog_Write(
            GV_LOG_ERROR,
            "%s not reloaded: only peers can change without a restart; "
            "the current settings stay in force",
            file);
    }
    else {
        GvLog_Write(GV_LOG_INFO, "%s reloaded", file);
    }
    GvNodeConf_Clear(&conf);
}

/* Handles signals until the daemon has to stop. Returns false if it failed. */
static bool
serve(gv_kernel_t *k, const char *file, const sigset_t *set)
{
    struct timespec check = {.tv_nsec = FAILURE_CHECK_MS * 1000000L};
    for (;;) {
        int sig = sigtimedwait(set, NULL, &check);
        if (sig == SIGTERM || sig == SIGINT) {
            return true;
        }
        if (sig == SIGHUP) {
            reload(k, file);
        }
        if (GvKernel_HasFailed(k)) {
            return false;
        }
    }
}

/* Returns the name of the node file, or NULL after printing an error. */
static char *
parse_args(int argc, char **argv)
{
    char *file = NULL;
    GOptionEntry entries[] = {
        {"config", 'c', 0, G_OPTION_ARG_FILENAME, &file,
         "Node settings of this entry host", "FILE"},
        {0},
    };
    GError *err = NULL;
    GOptionContext *ctx = g_option_context_new("- gypsumvalve entry daemon");
    g_option_context_add_main_entries(ctx, entries, NULL);
    if (!g_option_context_parse(ctx, &argc, &argv, &err)) {
        fprintf(stderr, "gventryd: %s\n", err->message);
        g_error_free(err);
    }
    else if (file == NULL) {
        fprintf(stderr, "gventryd: --config FILE is required\n");
    }
    g_option_context_free(ctx);
    return file;
}

/* Exit status: 0 after a planned stop, 1 after a failure, 2 for wrong
   arguments. */
int
main(int argc, char **argv)
{
    char *file = parse_args(argc, argv);
    if (file == NULL) {
        return 2;
    }
    GvLog_Open("gventryd");
    /* Blocked before any thread starts, because threads inherit the mask: only
       serve receives these signals. */
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    signal(SIGPIPE, SIG_IGN);
    gv_nodeconf_t conf = {0};
    gv_kernel_t *k = NULL;
    int rc = load(file, &conf);
    if (rc == GV_OK) {
        rc = GvKernel_Start(&conf, &k);
        if (rc != GV_OK) {
            GvLog_Write(GV_LOG_ERROR, "start failed: %s", Gv_StrError(rc));
        }
    }
    bool ok = rc == GV_OK;
    if (ok) {
        ok = serve(k, file, &set);
        GvKernel_Stop(k);
    }
    GvLog_Close();
    g_free(file);
    return ok ? 0 : 1;
}
