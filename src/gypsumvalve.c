#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "command.h"

/* Prints the usage, the commands and the exit codes. */
static void
print_help(FILE *out)
{
    fprintf(out, "Usage: gypsumvalve COMMAND [OPTION...]\n\nCommands:\n");
    for (gv_plugin_t *p = GvRegistry_First(GV_PLUGIN_COMMAND); p != NULL;
         p = p->next) {
        fprintf(out, "  %-9s %s\n", p->name, ((gv_command_t *)p)->summary);
    }
    fprintf(out,
            "\nEach command has --help. Exit codes: 0 done, 2 wrong usage, "
            "3 invalid\nsettings, 4 rejected, 5 platform or entry host not "
            "reached, 6 unknown whether\nthe change takes effect.\n");
}

int
main(int argc, char **argv)
{
    if (argc < 2) {
        print_help(stderr);
        return GV_EXIT_USAGE;
    }
    if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0) {
        print_help(stdout);
        return GV_EXIT_OK;
    }
    gv_command_t *c =
        (gv_command_t *)GvRegistry_Find(GV_PLUGIN_COMMAND, GvStr_C(argv[1]));
    if (c == NULL) {
        fprintf(stderr, "gypsumvalve: unknown command %s (see --help)\n",
                argv[1]);
        return GV_EXIT_USAGE;
    }
    char *name = g_strdup_printf("gypsumvalve %s", argv[1]);
    g_set_prgname(name); /* for the usage line of --help */
    g_free(name);
    return c->run(argc - 1, argv + 1);
}
