#include <stdio.h>

#include "cli.h"

/* Returns a drained host to service. */
static int
undrain(const gv_cli_t *c, gv_operator_t *op, const char *name)
{
    char what[128];
    msgpack_sbuffer sb;
    const gv_ledger_host_t *h =
        GvLedger_Host(GvOperator_Ledger(op), GvStr_C(name));
    if (h == NULL || h->claim == NULL || h->claim->kind != GV_CLAIM_DRAIN) {
        return GvCli_Refused(c, "host %s is not drained", name);
    }
    msgpack_sbuffer_init(&sb);
    GvLedger_PackDone(&sb, h->name, h->claim->offset, GV_DONE_CANCELLED);
    snprintf(what, sizeof what, "host %s is in service", name);
    return GvCli_Submit(c, op, "done", &sb, what);
}

/* Runs `undrain HOST`. */
static int
run(int argc, char **argv)
{
    gv_cli_t c;
    gv_operator_t *op = NULL;
    int code = GvCli_Parse(&c, "HOST", "return a drained host to service",
                           NULL, &argc, &argv);
    if (code == GV_EXIT_OK && argc != 2) {
        code = GvCli_Usage("one host is needed");
    }
    if (code == GV_EXIT_OK) {
        code = GvCli_Open(&c, &op);
    }
    if (code == GV_EXIT_OK) {
        code = undrain(&c, op, argv[1]);
    }
    GvOperator_Close(op);
    GvCli_Clear(&c);
    return code;
}

static gv_command_t command = {
    {"undrain", NULL}, "return a drained host to service", run};
GV_REGISTER(GV_PLUGIN_COMMAND, command);
