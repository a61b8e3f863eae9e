#include <stdio.h>

#include "cli.h"
#include "gypsumvalve.h"

/* Prints the program's version. */
static int
run(int argc, char **argv)
{
    gv_cli_t c;
    int code = GvCli_Parse(&c, "", "print the version", NULL, &argc, &argv);
    if (code == GV_EXIT_OK) {
        printf(c.json ? "{\"version\":\"%s\"}\n" : "gypsumvalve %s\n",
               GV_VERSION);
    }
    GvCli_Clear(&c);
    return code;
}

static gv_command_t command = {{"version", NULL}, "print the version", run};
GV_REGISTER(GV_PLUGIN_COMMAND, command);
