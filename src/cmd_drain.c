#include <stdio.h>

#include "cli.h"

/* Takes a host out of service until `undrain`. */
static int
run(int argc, char **argv)
{
    gv_cli_t c;
    gv_operator_t *op = NULL;
    int code = GvCli_Parse(&c, "HOST", "take a host out of service", NULL,
                           &argc, &argv);
    if (code == GV_EXIT_OK && argc != 2) {
        code = GvCli_Usage("one host is needed");
    }
    if (code == GV_EXIT_OK) {
        code = GvCli_Open(&c, &op);
    }
    if (code == GV_EXIT_OK) {
        char what[128];
        msgpack_sbuffer sb;
        msgpack_sbuffer_init(&sb);
        GvLedger_PackClaim(&sb, GvStr_C(argv[1]), GV_CLAIM_DRAIN, GV_STR(""),
                           GV_STR(""), GvOperator_Origin(op),
                           GvOperator_Incarnation(op));
        snprintf(what, sizeof what, "host %s gets no new work", argv[1]);
        code = GvCli_Submit(&c, op, "claim", &sb, what);
    }
    GvOperator_Close(op);
    GvCli_Clear(&c);
    return code;
}

static gv_command_t command = {
    {"drain", NULL}, "take a host out of service", run};
GV_REGISTER(GV_PLUGIN_COMMAND, command);
