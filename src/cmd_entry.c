#include <stdio.h>
#include <string.h>

#include "cli.h"

/* Records that the current incarnation of an entry host has ended. */
static int
remove_entry(const gv_cli_t *c, gv_operator_t *op, const char *name)
{
    char what[128];
    msgpack_sbuffer sb;
    const gv_member_t *m =
        GvLedger_Member(GvOperator_Ledger(op), GvStr_C(name));
    if (m == NULL) {
        return GvCli_Refused(c, "%s is not a member", name);
    }
    msgpack_sbuffer_init(&sb);
    GvLedger_PackMember(&sb, m, GV_MEMBER_REMOVED);
    snprintf(what, sizeof what, "entry host %s is removed", name);
    return GvCli_Submit(c, op, "member", &sb, what);
}

/* Runs `entry remove NAME`. */
static int
run(int argc, char **argv)
{
    gv_cli_t c;
    gv_operator_t *op = NULL;
    int code = GvCli_Parse(&c, "remove NAME",
                           "remove an entry host whose process has certainly "
                           "ended: hosts that wait for its confirmation may "
                           "then be stopped",
                           NULL, &argc, &argv);
    if (code == GV_EXIT_OK && (argc != 3 || strcmp(argv[1], "remove") != 0)) {
        code = GvCli_Usage("entry remove needs one name");
    }
    if (code == GV_EXIT_OK) {
        code = GvCli_Open(&c, &op);
    }
    if (code == GV_EXIT_OK) {
        code = remove_entry(&c, op, argv[2]);
    }
    GvOperator_Close(op);
    GvCli_Clear(&c);
    return code;
}

static gv_command_t command = {
    {"entry", NULL}, "remove an entry host that has ended", run};
GV_REGISTER(GV_PLUGIN_COMMAND, command);
