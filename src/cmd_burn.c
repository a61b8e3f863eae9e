#include <string.h>

#include "cli.h"

/* Removes all services but one from the page. Returns false if the page does
   not have that service. */
static bool
keep_service(JsonNode *root, const char *service)
{
    JsonObject *o = json_node_get_object(root);
    JsonArray *kept = json_array_new();
    JsonArray *all = json_object_has_member(o, "services")
                         ? json_object_get_array_member(o, "services")
                         : NULL;
    for (guint i = 0; all != NULL && i < json_array_get_length(all); i++) {
        JsonObject *row = json_array_get_object_element(all, i);
        const char *name =
            json_object_get_string_member_with_default(row, "service", "");
        if (strcmp(name, service) == 0) {
            json_array_add_object_element(kept, json_object_ref(row));
        }
    }
    bool found = json_array_get_length(kept) > 0;
    json_object_set_array_member(o, "services", kept);
    return found;
}

/* Prints an entry host's report of how fast services use up their error
   budget. */
static int
run(int argc, char **argv)
{
    gv_cli_t c;
    int code = GvCli_Parse(&c, "[SERVICE]",
                           "print how fast services use up their error budget",
                           NULL, &argc, &argv);
    if (code == GV_EXIT_OK && argc > 2) {
        code = GvCli_Usage("more than one service given");
    }
    if (code == GV_EXIT_OK && c.entry == NULL) {
        code = GvCli_Usage("no entry host: use --entry or GYPSUMVALVE_ENTRY");
    }
    if (code == GV_EXIT_OK) {
        JsonNode *root = GvCli_Get(&c, "/v1/burn");
        if (root == NULL) {
            code = GV_EXIT_UNREACHABLE;
        }
        else if (argc == 2 && !keep_service(root, argv[1])) {
            code = GvCli_Usage("no service %s", argv[1]);
        }
        else {
            GvCli_Print(&c, root);
        }
        if (root != NULL) {
            json_node_unref(root);
        }
    }
    GvCli_Clear(&c);
    return code;
}

static gv_command_t command = {
    {"burn", NULL}, "print the service-level burn report", run};
GV_REGISTER(GV_PLUGIN_COMMAND, command);
