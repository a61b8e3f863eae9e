#include <stdio.h>

#include "cli.h"

/* Claims a host for a move; the host changes pools once every entry host of
   its data centre has confirmed the claim. */
static int
start(const gv_cli_t *c, gv_operator_t *op, const char *name, const char *to)
{
    char what[192];
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    GvLedger_PackClaim(&sb, GvStr_C(name), GV_CLAIM_MOVE, GV_STR(""),
                       GvStr_C(to), GvOperator_Origin(op),
                       GvOperator_Incarnation(op));
    snprintf(what, sizeof what, "host %s moves to pool %s", name, to);
    return GvCli_Submit(c, op, "claim", &sb, what);
}

/* Cancels a move that has not completed. */
static int
cancel(const gv_cli_t *c, gv_operator_t *op, const char *name)
{
    char what[128];
    msgpack_sbuffer sb;
    const gv_ledger_host_t *h =
        GvLedger_Host(GvOperator_Ledger(op), GvStr_C(name));
    if (h == NULL || h->claim == NULL || h->claim->kind != GV_CLAIM_MOVE) {
        return GvCli_Refused(c, "host %s is not being moved", name);
    }
    msgpack_sbuffer_init(&sb);
    GvLedger_PackDone(&sb, h->name, h->claim->offset, GV_DONE_CANCELLED);
    snprintf(what, sizeof what, "host %s stays in pool %s", name, h->pool.p);
    return GvCli_Submit(c, op, "done", &sb, what);
}

/* Runs `move HOST --to POOL` or `move HOST --cancel`. */
static int
run(int argc, char **argv)
{
    gv_cli_t c;
    gv_operator_t *op = NULL;
    char *to = NULL;
    gboolean stop = FALSE;
    const GOptionEntry extra[] = {
        {"to", 0, 0, G_OPTION_ARG_STRING, &to, "Destination pool", "POOL"},
        {"cancel", 0, 0, G_OPTION_ARG_NONE, &stop,
         "End a move that has not completed", NULL},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
    int code = GvCli_Parse(&c, "HOST", "move a host to another pool", extra,
                           &argc, &argv);
    if (code == GV_EXIT_OK && (argc != 2 || (to == NULL) != stop)) {
        code = GvCli_Usage("one host and either --to or --cancel are needed");
    }
    if (code == GV_EXIT_OK) {
        code = GvCli_Open(&c, &op);
    }
    if (code == GV_EXIT_OK) {
        code = stop ? cancel(&c, op, argv[1]) : start(&c, op, argv[1], to);
    }
    GvOperator_Close(op);
    g_free(to);
    GvCli_Clear(&c);
    return code;
}

static gv_command_t command = {
    {"move", NULL}, "move a host to another pool", run};
GV_REGISTER(GV_PLUGIN_COMMAND, command);
