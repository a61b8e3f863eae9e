#include "cli.h"

/* Prints the status of an entry host, or that of the log without one. */
static int
run(int argc, char **argv)
{
    gv_cli_t c;
    gv_operator_t *op = NULL;
    JsonNode *root = NULL;
    int code = GvCli_Parse(&c, "",
                           "print the status of an entry host, or of the log "
                           "if there is none or it is not reached",
                           NULL, &argc, &argv);
    if (code == GV_EXIT_OK && c.entry == NULL && c.platform == NULL) {
        code = GvCli_Usage("no address: use --entry or --platform");
    }
    if (code == GV_EXIT_OK && c.entry != NULL) {
        root = GvCli_Get(&c, "/v1/status");
        code = root == NULL && c.platform == NULL ? GV_EXIT_UNREACHABLE
                                                  : GV_EXIT_OK;
    }
    if (code == GV_EXIT_OK && root == NULL) {
        code = GvCli_Open(&c, &op);
        root = code == GV_EXIT_OK ? GvCli_LedgerStatus(GvOperator_Ledger(op))
                                  : NULL;
    }
    if (root != NULL) {
        GvCli_Print(&c, root);
        json_node_unref(root);
    }
    GvOperator_Close(op);
    GvCli_Clear(&c);
    return code;
}

static gv_command_t command = {
    {"status", NULL}, "print the status of an entry host or the log", run};
GV_REGISTER(GV_PLUGIN_COMMAND, command);
