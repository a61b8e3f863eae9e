#include <stdio.h>

#include "cli.h"
#include "documents.h"
#include "error.h"

/* Checks all settings files below the given paths, including the references
   between them. */
static int
run(int argc, char **argv)
{
    gv_cli_t c;
    int code = GvCli_Parse(&c, "PATH...", "check settings files together",
                           NULL, &argc, &argv);
    if (code == GV_EXIT_OK && argc < 2) {
        code = GvCli_Usage("no directory given");
    }
    if (code != GV_EXIT_OK) {
        GvCli_Clear(&c);
        return code;
    }
    GPtrArray *files = GvDocuments_New();
    gv_problems_t *problems = GvProblems_New();
    for (int i = 1; i < argc; i++) {
        GvDocuments_Collect(argv[i], files, problems);
    }
    GvDocuments_Check(files, true, problems);
    if (problems->len > 0 || c.json) {
        GvCli_PrintProblems(&c, problems);
    }
    else {
        printf("valid: %u files\n", files->len);
    }
    code = problems->len > 0 ? GV_EXIT_INVALID : GV_EXIT_OK;
    g_ptr_array_unref(problems);
    g_ptr_array_unref(files);
    GvCli_Clear(&c);
    return code;
}

static gv_command_t command = {
    {"check", NULL}, "check settings files, all errors at once", run};
GV_REGISTER(GV_PLUGIN_COMMAND, command);
