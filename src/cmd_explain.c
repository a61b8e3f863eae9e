#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"

/* A line of the decision log that mentions the request. */
typedef struct {
    long long ms;
    char *text;
} gv_log_line_t;

static void
free_line(gpointer p)
{
    gv_log_line_t *line = p;
    g_free(line->text);
    g_free(line);
}

/* Orders lines by time. */
static int
compare_lines(gconstpointer a, gconstpointer b)
{
    const gv_log_line_t *x = *(const gv_log_line_t *const *)a;
    const gv_log_line_t *y = *(const gv_log_line_t *const *)b;
    return (x->ms > y->ms) - (x->ms < y->ms);
}

/* Adds the lines of a log that contain id. Anything before "t=" is dropped,
   because log collectors put a prefix before each line. */
static void
collect(FILE *in, const char *id, GPtrArray *out)
{
    char *text = NULL;
    size_t size = 0;
    while (getline(&text, &size, in) > 0) {
        const char *from = strstr(text, "t=");
        if (strstr(text, id) == NULL || from == NULL ||
            strstr(from, " ev=") == NULL) {
            continue;
        }
        gv_log_line_t *line = g_new0(gv_log_line_t, 1);
        line->ms = strtoll(from + 2, NULL, 10);
        line->text = g_strchomp(g_strdup(from));
        g_ptr_array_add(out, line);
    }
    free(text);
}

/* Reads the logs named after the identifier, or standard input if there are
   none. Returns an exit code. */
static int
collect_files(int argc, char **argv, GPtrArray *lines)
{
    if (argc == 2) {
        collect(stdin, argv[1], lines);
    }
    for (int i = 2; i < argc; i++) {
        FILE *in = fopen(argv[i], "r");
        if (in == NULL) {
            perror(argv[i]);
            return GV_EXIT_INVALID;
        }
        collect(in, argv[1], lines);
        (void)fclose(in);
    }
    return GV_EXIT_OK;
}

/* Prints the decisions about one request ordered by time, each with the
   milliseconds since the first. */
static int
run(int argc, char **argv)
{
    gv_cli_t c;
    int code = GvCli_Parse(&c, "ID [LOG...]",
                           "print the decisions about a request from logs",
                           NULL, &argc, &argv);
    if (code == GV_EXIT_OK && argc < 2) {
        code = GvCli_Usage("no identifier given");
    }
    if (code == GV_EXIT_OK) {
        GPtrArray *lines = g_ptr_array_new_with_free_func(free_line);
        code = collect_files(argc, argv, lines);
        g_ptr_array_sort(lines, compare_lines);
        for (guint i = 0; i < lines->len; i++) {
            const gv_log_line_t *first = g_ptr_array_index(lines, 0);
            const gv_log_line_t *line = g_ptr_array_index(lines, i);
            printf("+%lld %s\n", line->ms - first->ms, line->text);
        }
        g_ptr_array_free(lines, TRUE);
    }
    GvCli_Clear(&c);
    return code;
}

static gv_command_t command = {
    {"explain", NULL}, "print the decisions about a request from logs", run};
GV_REGISTER(GV_PLUGIN_COMMAND, command);
