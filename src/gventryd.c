#include <glib.h>
#include <signal.h>
#include <stdio.h>

#include "error.h"
#include "kernel.h"
#include "log.h"

#define CHECK_MS 200

/* Prints every problem of a node file as FILE:LINE: FIELD: TEXT. */
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

/* Reads the node file and logs its problems. */
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

/* Reloads the node file. A file that is not valid, or that changes a field
   fixed at start, is refused and the settings in force stay. */
static void
reload(gv_kernel_t *k, const char *file)
{
    gv_nodeconf_t conf = {0};
    if (load(file, &conf) != GV_OK) {
        GvLog_Write(GV_LOG_ERROR, "%s refused; last valid settings stay",
                    file);
        return;
    }
    if (GvKernel_Reload(k, &conf) != GV_OK) {
        GvLog_Write(GV_LOG_ERROR,
                    "%s refused: only peers may change without a restart",
                    file);
    }
    else {
        GvLog_Write(GV_LOG_INFO, "%s reloaded", file);
    }
    GvNodeConf_Clear(&conf);
}

/* Waits for signals until the daemon has to stop. Returns false when it
   failed. */
static bool
serve(gv_kernel_t *k, const char *file, const sigset_t *set)
{
    struct timespec check = {.tv_nsec = CHECK_MS * 1000000L};
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

/* Returns the name of the node file, or NULL after an error message. */
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
    /* Blocked before any thread starts, so that only serve sees them. */
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
