#include <stdio.h>
#include <string.h>

#include "cli.h"

/* Appends a change of a wave. */
static int
change(const gv_cli_t *c, const char *name, const char *pool, int width,
       gv_wave_change_t how, const char *word)
{
    char what[128];
    msgpack_sbuffer sb;
    gv_operator_t *op;
    int code = GvCli_Open(c, &op);
    if (code != GV_EXIT_OK) {
        return code;
    }
    const gv_wave_t *w = GvLedger_Wave(GvOperator_Ledger(op), GvStr_C(name));
    if (pool == NULL && w == NULL) {
        code = GvCli_Refused(c, "no wave %s", name);
    }
    else {
        msgpack_sbuffer_init(&sb);
        GvLedger_PackWave(&sb, GvStr_C(name),
                          pool != NULL ? GvStr_C(pool) : w->pool, width, how);
        snprintf(what, sizeof what, "wave %s is %s", name, word);
        code = GvCli_Submit(c, op, "wave", &sb, what);
    }
    GvOperator_Close(op);
    return code;
}

/* Reduces a page to its waves, or to the one of that name. Returns NULL when
   the page has none. */
static JsonNode *
filter_waves(JsonNode *page, const char *name)
{
    JsonObject *from = json_node_get_object(page);
    if (!json_object_has_member(from, "waves")) {
        return NULL;
    }
    JsonArray *all = json_object_get_array_member(from, "waves");
    JsonArray *kept = json_array_new();
    for (guint i = 0; i < json_array_get_length(all); i++) {
        JsonObject *o = json_array_get_object_element(all, i);
        const char *at =
            json_object_get_string_member_with_default(o, "name", "");
        if (name == NULL || strcmp(name, at) == 0) {
            json_array_add_object_element(kept, json_object_ref(o));
        }
    }
    JsonObject *top = json_object_new();
    json_object_set_array_member(top, "waves", kept);
    JsonNode *root = json_node_new(JSON_NODE_OBJECT);
    json_node_take_object(root, top);
    return root;
}

/* Releases a page; NULL is allowed. */
static void
drop(JsonNode *page)
{
    if (page != NULL) {
        json_node_unref(page);
    }
}

/* Prints the waves that an entry host knows; reads the log when there is no
   entry host or its page has no waves. */
static int
status(const gv_cli_t *c, const char *name)
{
    JsonNode *page = c->entry != NULL ? GvCli_Get(c, "/v1/status") : NULL;
    JsonNode *waves = page != NULL ? filter_waves(page, name) : NULL;
    int code = GV_EXIT_OK;
    if (waves == NULL) {
        gv_operator_t *op = NULL;
        drop(page);
        page = NULL;
        code = GvCli_Open(c, &op);
        if (code == GV_EXIT_OK) {
            page = GvCli_LedgerStatus(GvOperator_Ledger(op));
            waves = filter_waves(page, name);
        }
        GvOperator_Close(op);
    }
    if (waves != NULL) {
        JsonArray *list =
            json_object_get_array_member(json_node_get_object(waves), "waves");
        if (name != NULL && json_array_get_length(list) == 0) {
            code = GvCli_Refused(c, "no wave %s", name);
        }
        else {
            GvCli_Print(c, waves);
        }
        json_node_unref(waves);
    }
    drop(page);
    return code;
}

/* Runs one of the subcommands. */
static int
dispatch(const gv_cli_t *c, int argc, char **argv, const char *pool, int width)
{
    const char *verb = argc > 1 ? argv[1] : "";
    const char *name = argc > 2 ? argv[2] : NULL;
    if (argc <= 3 && strcmp(verb, "status") == 0) {
        return status(c, name);
    }
    if (argc != 3) {
        return GvCli_Usage("wave needs start, stop, resume or status and a "
                           "name");
    }
    if (strcmp(verb, "start") == 0) {
        if (pool == NULL || width < 1 || width > GV_HOSTS_MAX) {
            return GvCli_Usage("wave start needs --pool, and --width from 1 "
                               "to %d",
                               GV_HOSTS_MAX);
        }
        return change(c, name, pool, width, GV_WAVE_START, "running");
    }
    if (strcmp(verb, "stop") == 0) {
        return change(c, name, pool, width, GV_WAVE_STOP, "ended");
    }
    if (strcmp(verb, "resume") == 0) {
        return change(c, name, pool, width, GV_WAVE_RESUME, "running");
    }
    return GvCli_Usage("unknown subcommand %s", verb);
}

/* Runs the command. */
static int
run(int argc, char **argv)
{
    gv_cli_t c;
    char *pool = NULL;
    int width = 1;
    const GOptionEntry extra[] = {
        {"pool", 0, 0, G_OPTION_ARG_STRING, &pool, "Pool of a new wave",
         "POOL"},
        {"width", 0, 0, G_OPTION_ARG_INT, &width,
         "Hosts out at once, at most (default: 1)", "HOSTS"},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
    int code =
        GvCli_Parse(&c, "start|stop|resume NAME | status [NAME]",
                    "maintain all hosts of a pool", extra, &argc, &argv);
    if (code == GV_EXIT_OK) {
        code = dispatch(&c, argc, argv, pool, width);
    }
    g_free(pool);
    GvCli_Clear(&c);
    return code;
}

static gv_command_t command = {
    {"wave", NULL}, "start, stop, resume or show maintenance waves", run};
GV_REGISTER(GV_PLUGIN_COMMAND, command);
