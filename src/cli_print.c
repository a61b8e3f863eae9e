#include <stdio.h>

#include "cli.h"

/* Prints a scalar without quotes. */
static void
print_scalar(JsonNode *node)
{
    if (json_node_get_value_type(node) == G_TYPE_STRING) {
        printf("%s", json_node_get_string(node));
    }
    else if (json_node_get_value_type(node) == G_TYPE_DOUBLE) {
        printf("%.3f", json_node_get_double(node));
    }
    else {
        char *text = json_to_string(node, FALSE);
        printf("%s", text);
        g_free(text);
    }
}

/* Prints an object on one line; arrays inside follow on lines of their
   own. */
static void
print_row(JsonObject *o, int indent)
{
    JsonObjectIter it;
    const char *name;
    JsonNode *node;
    printf("%*s", indent, "");
    json_object_iter_init_ordered(&it, o);
    while (json_object_iter_next_ordered(&it, &name, &node)) {
        if (JSON_NODE_HOLDS_VALUE(node)) {
            printf("%s=", name);
            print_scalar(node);
            printf(" ");
        }
    }
    printf("\n");
    json_object_iter_init_ordered(&it, o);
    while (json_object_iter_next_ordered(&it, &name, &node)) {
        JsonArray *a =
            JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node) : NULL;
        for (guint i = 0; a != NULL && i < json_array_get_length(a); i++) {
            JsonNode *row = json_array_get_element(a, i);
            if (JSON_NODE_HOLDS_OBJECT(row)) {
                print_row(json_node_get_object(row), indent + 2);
            }
        }
    }
}

/* Prints a page: as JSON, or its values first and one table for each
   array. */
void
GvCli_Print(const gv_cli_t *c, JsonNode *root)
{
    JsonObjectIter it;
    const char *name;
    JsonNode *node;
    if (c->json) {
        char *text = json_to_string(root, FALSE);
        puts(text);
        g_free(text);
        return;
    }
    JsonObject *o = json_node_get_object(root);
    json_object_iter_init_ordered(&it, o);
    while (json_object_iter_next_ordered(&it, &name, &node)) {
        if (JSON_NODE_HOLDS_VALUE(node)) {
            printf("%s: ", name);
            print_scalar(node);
            printf("\n");
        }
    }
    json_object_iter_init_ordered(&it, o);
    while (json_object_iter_next_ordered(&it, &name, &node)) {
        if (!JSON_NODE_HOLDS_ARRAY(node)) {
            continue;
        }
        JsonArray *a = json_node_get_array(node);
        printf("%s: %u\n", name, json_array_get_length(a));
        for (guint i = 0; i < json_array_get_length(a); i++) {
            JsonNode *row = json_array_get_element(a, i);
            if (JSON_NODE_HOLDS_OBJECT(row)) {
                print_row(json_node_get_object(row), 2);
            }
        }
    }
}

/* Prints all problems: "FILE:LINE: FIELD: TEXT" on standard error, or a JSON
   object on standard output. */
void
GvCli_PrintProblems(const gv_cli_t *c, const gv_problems_t *ps)
{
    JsonObject *top = json_object_new();
    JsonArray *list = json_array_new();
    for (unsigned i = 0; i < ps->len; i++) {
        const gv_problem_t *p = g_ptr_array_index(ps, i);
        if (!c->json) {
            fprintf(stderr, "%s:%d: %s%s%s\n", p->file.p, p->line, p->field.p,
                    p->field.n > 0 ? ": " : "", p->text.p);
            continue;
        }
        JsonObject *o = json_object_new();
        json_object_set_string_member(o, "file", p->file.p);
        json_object_set_int_member(o, "line", p->line);
        json_object_set_string_member(o, "field", p->field.p);
        json_object_set_string_member(o, "text", p->text.p);
        json_array_add_object_element(list, o);
    }
    json_object_set_boolean_member(top, "valid", ps->len == 0);
    json_object_set_array_member(top, "problems", list);
    if (c->json) {
        JsonNode *root = json_node_new(JSON_NODE_OBJECT);
        json_node_set_object(root, top);
        char *text = json_to_string(root, FALSE);
        puts(text);
        g_free(text);
        json_node_unref(root);
    }
    json_object_unref(top);
}

/* Adds the waves of the ledger to a page. */
static void
add_waves(JsonObject *top, const gv_ledger_t *l)
{
    static const char *const states[] = {"running", "halted", "done"};
    JsonArray *list = json_array_new();
    const GPtrArray *waves = GvLedger_Waves(l);
    for (unsigned i = 0; i < waves->len; i++) {
        const gv_wave_t *w = g_ptr_array_index(waves, i);
        JsonObject *o = json_object_new();
        json_object_set_string_member(o, "name", w->name.p);
        json_object_set_string_member(o, "pool", w->pool.p);
        json_object_set_string_member(o, "state", states[w->state]);
        json_object_set_int_member(o, "width", w->width);
        json_object_set_int_member(o, "healthy", w->healthy);
        json_object_set_string_member(o, "halt_reason", w->halt_reason.p);
        json_array_add_object_element(list, o);
    }
    json_object_set_array_member(top, "waves", list);
}

/* Adds the hosts of the ledger to a page. */
static void
add_hosts(JsonObject *top, const gv_ledger_t *l)
{
    static const char *const states[] = {"up", "failed", "gone"};
    static const char *const kinds[] = {"maintenance", "move", "drain"};
    static const char *const phases[] = {"granted", "clear", "stopping"};
    JsonArray *list = json_array_new();
    const GPtrArray *hosts = GvLedger_Hosts(l);
    for (unsigned i = 0; i < hosts->len; i++) {
        const gv_ledger_host_t *h = g_ptr_array_index(hosts, i);
        JsonObject *o = json_object_new();
        json_object_set_string_member(o, "host", h->name.p);
        json_object_set_string_member(o, "data_centre", h->dc.p);
        json_object_set_string_member(o, "rack", h->rack.p);
        json_object_set_string_member(o, "pool", h->pool.p);
        json_object_set_string_member(o, "boot", h->boot.p);
        json_object_set_string_member(o, "state", states[h->state]);
        if (h->claim != NULL) {
            json_object_set_string_member(o, "claim", kinds[h->claim->kind]);
            json_object_set_string_member(o, "phase", phases[h->claim->phase]);
            json_object_set_int_member(o, "waiting",
                                       (gint64)h->claim->waiting->len);
        }
        json_array_add_object_element(list, o);
    }
    json_object_set_array_member(top, "hosts", list);
}

/* Builds a status page from the ledger. */
JsonNode *
GvCli_LedgerStatus(const gv_ledger_t *l)
{
    JsonObject *top = json_object_new();
    JsonArray *list = json_array_new();
    const GPtrArray *members = GvLedger_Members(l);
    json_object_set_int_member(top, "offset", (gint64)GvLedger_NextOffset(l));
    json_object_set_int_member(top, "settings_version",
                               (gint64)GvLedger_SettingsVersion(l));
    json_object_set_int_member(top, "covered",
                               (gint64)GvLedger_CoveredOffset(l));
    for (unsigned i = 0; i < members->len; i++) {
        const gv_member_t *m = g_ptr_array_index(members, i);
        JsonObject *o = json_object_new();
        json_object_set_string_member(o, "name", m->name.p);
        json_object_set_string_member(o, "data_centre", m->dc.p);
        json_object_set_int_member(o, "incarnation", (gint64)m->incarnation);
        json_array_add_object_element(list, o);
    }
    json_object_set_array_member(top, "members", list);
    add_waves(top, l);
    add_hosts(top, l);
    JsonNode *root = json_node_new(JSON_NODE_OBJECT);
    json_node_take_object(root, top);
    return root;
}
