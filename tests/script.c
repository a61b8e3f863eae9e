#include "script.h"

#include <fcntl.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static gv_verb_t *verbs;

/* Registers a verb; called before main, from the constructor of GV_VERB. */
void
GvScript_Add(gv_verb_t *v)
{
    v->next = verbs;
    verbs = v;
}

/* Returns the value of the argument "name=value", or the given default if
   there is none. */
const char *
GvScript_Option(int argc, char **argv, const char *name,
                const char *default_value)
{
    size_t n = strlen(name);
    for (int i = 1; i < argc; i++) {
        if (strncmp(argv[i], name, n) == 0 && argv[i][n] == '=') {
            return argv[i] + n + 1;
        }
    }
    return default_value;
}

/* Returns the index of a word in a NULL-terminated list; fails the run if it
   is not in it. */
int
GvScript_Index(const char *word, const char *const *names)
{
    int i = 0;
    while (names[i] != NULL && strcmp(names[i], word) != 0) {
        i++;
    }
    g_assert_cmpstr(names[i], ==, word);
    return i;
}

/* Runs one line, split into words by the rules of shell quoting. Lines that
   are empty, start with '#' or have unbalanced quotes are skipped. Returns -1
   for an unknown verb. */
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

/* Runs the lines of a block without printing what they print. Returns -1 for
   an unknown block or verb. */
static int
run_block(const GPtrArray *lines)
{
    int rc = lines == NULL ? -1 : 0;
    fflush(stdout);
    int kept = dup(STDOUT_FILENO);
    int null = open("/dev/null", O_WRONLY);
    dup2(null, STDOUT_FILENO);
    for (guint i = 0; rc == 0 && i < lines->len; i++) {
        rc = run_line(g_ptr_array_index(lines, i));
    }
    fflush(stdout);
    dup2(kept, STDOUT_FILENO);
    close(kept);
    close(null);
    return rc;
}

/* Reads the lines of a block up to "end". Those of a block that it uses are
   copied; the line "use NAME" of an unknown one stays, as an unknown verb. */
static GPtrArray *
read_block(GHashTable *blocks)
{
    char line[4096];
    GPtrArray *lines = g_ptr_array_new();
    while (fgets(line, sizeof line, stdin) != NULL &&
           strcmp(g_strchomp(line), "end") != 0) {
        GPtrArray *used = g_str_has_prefix(line, "use ")
                              ? g_hash_table_lookup(blocks, line + 4)
                              : NULL;
        if (used == NULL) {
            g_ptr_array_add(lines, g_strdup(line));
            continue;
        }
        for (guint i = 0; i < used->len; i++) {
            g_ptr_array_add(lines, g_strdup(g_ptr_array_index(used, i)));
        }
    }
    return lines;
}

/* Besides verbs, a script may have "block NAME", lines and "end", which
   defines a block, and "use NAME", which runs it without printing: a common
   beginning of several runs. A block may use an earlier one. */
int
main(void)
{
    char line[4096];
    GHashTable *blocks = g_hash_table_new(g_str_hash, g_str_equal);
    while (fgets(line, sizeof line, stdin) != NULL) {
        int rc = 0;
        g_strchomp(line);
        if (g_str_has_prefix(line, "block ")) {
            g_hash_table_insert(blocks, g_strdup(line + 6),
                                read_block(blocks));
        }
        else if (g_str_has_prefix(line, "use ")) {
            printf("%s\n", line);
            rc = run_block(g_hash_table_lookup(blocks, line + 4));
        }
        else {
            rc = run_line(line);
        }
        if (rc != 0) {
            printf("unknown verb: %s\n", line);
            return 1;
        }
    }
    return 0;
}
