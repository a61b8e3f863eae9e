#include "script.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

static gv_verb_t *verbs;

/* Adds a verb; called before main. */
void
GvScript_Add(gv_verb_t *v)
{
    v->next = verbs;
    verbs = v;
}

/* Runs one line. Lines that are empty or start with '#' are skipped; the
   words follow shell quoting. Returns -1 for an unknown verb. */
static int
run_line(const char *line)
{
    int argc;
    char **argv;
    if (line[0] == '#' || !g_shell_parse_argv(line, &argc, &argv, NULL)) {
        return 0;
    }
    gv_verb_t *v = verbs;
    while (v != NULL && strcmp(v->name, argv[0]) != 0) {
        v = v->next;
    }
    if (v != NULL) {
        v->run(argc, argv);
    }
    g_strfreev(argv);
    return v == NULL ? -1 : 0;
}

int
main(void)
{
    char line[4096];
    while (fgets(line, sizeof line, stdin) != NULL) {
        g_strchomp(line);
        if (run_line(line) != 0) {
            printf("unknown verb: %s\n", line);
            return 1;
        }
    }
    return 0;
}
