#include <stdio.h>
#include <string.h>

#include "cli.h"
#include "documents.h"
#include "error.h"

/* Removes the document with that key. Returns true if there was one. */
static bool
remove_key(GPtrArray *docs, GPtrArray *keys, const char *key)
{
    for (unsigned i = 0; i < docs->len; i++) {
        if (g_strcmp0(g_ptr_array_index(keys, i), key) == 0) {
            g_ptr_array_remove_index(docs, i);
            g_ptr_array_remove_index(keys, i);
            return true;
        }
    }
    return false;
}

/* Splits files into documents and drops documents without settings. Adds the
   key of each document to keys. */
static GPtrArray *
split(const GPtrArray *files, GPtrArray *keys)
{
    GPtrArray *docs = GvDocuments_New();
    for (unsigned i = 0; i < files->len; i++) {
        GvDocuments_Split(g_ptr_array_index(files, i), docs);
    }
    for (unsigned i = 0; i < docs->len;) {
        char *key = GvDocuments_Key(g_ptr_array_index(docs, i));
        if (key == NULL) {
            g_ptr_array_remove_index(docs, i);
            continue;
        }
        g_ptr_array_add(keys, key);
        i++;
    }
    return docs;
}

/* Merges new files into the documents in force: a service or pool replaces
   the one of the same name; all others stay, unless `replace` is set. Then
   drops the documents whose keys are in `removed`. Returns NULL after printing
   an error if one of these is not in force. */
static GPtrArray *
merge(const gv_ledger_t *l, const GPtrArray *files, bool replace,
      char **removed)
{
    GPtrArray *old_keys = g_ptr_array_new_with_free_func(g_free);
    GPtrArray *new_keys = g_ptr_array_new_with_free_func(g_free);
    GPtrArray *docs = split(GvLedger_Documents(l), old_keys);
    GPtrArray *added = split(files, new_keys);
    bool ok = true;
    if (replace) {
        g_ptr_array_set_size(docs, 0);
        g_ptr_array_set_size(old_keys, 0);
    }
    for (unsigned i = 0; i < added->len; i++) {
        remove_key(docs, old_keys, g_ptr_array_index(new_keys, i));
    }
    for (int i = 0; removed != NULL && removed[i] != NULL; i++) {
        if (!remove_key(docs, old_keys, removed[i])) {
            fprintf(stderr, "gypsumvalve: %s is not in force\n", removed[i]);
            ok = false;
        }
    }
    g_ptr_array_extend_and_steal(docs, added);
    g_ptr_array_unref(old_keys);
    g_ptr_array_unref(new_keys);
    if (!ok) {
        g_ptr_array_unref(docs);
        return NULL;
    }
    return docs;
}

/* Orders documents by file and text. */
static int
compare_docs(const void *a, const void *b)
{
    const gv_document_t *x = *(gv_document_t *const *)a;
    const gv_document_t *y = *(gv_document_t *const *)b;
    int c = GvStr_Compare(x->file, y->file);
    return c != 0 ? c : GvStr_Compare(x->text, y->text);
}

/* Returns true if the documents are the same as those in force. */
static bool
is_in_force(const gv_ledger_t *l, const GPtrArray *docs)
{
    const GPtrArray *old = GvLedger_Documents(l);
    if (old->len != docs->len) {
        return false;
    }
    for (unsigned i = 0; i < docs->len; i++) {
        const gv_document_t *a = g_ptr_array_index(old, i);
        const gv_document_t *b = g_ptr_array_index(docs, i);
        if (!GvStr_Equal(a->file, b->file) || !GvStr_Equal(a->text, b->text)) {
            return false;
        }
    }
    return true;
}

/* Appends the documents as one record based on the version in force. */
static int
append(const gv_cli_t *c, gv_operator_t *op, GPtrArray *docs)
{
    msgpack_sbuffer sb;
    char what[64];
    const gv_ledger_t *l = GvOperator_Ledger(op);
    g_ptr_array_sort(docs, compare_docs);
    if (is_in_force(l, docs)) {
        snprintf(what, sizeof what, "version %" G_GUINT64_FORMAT,
                 GvLedger_SettingsVersion(l));
        printf(c->json ? "{\"result\":\"unchanged\",\"reason\":\"%s\"}\n"
                       : "unchanged: %s\n",
               what);
        return GV_EXIT_OK;
    }
    gv_document_t *flat = g_new0(gv_document_t, docs->len);
    for (unsigned i = 0; i < docs->len; i++) {
        flat[i] = *(gv_document_t *)g_ptr_array_index(docs, i);
    }
    msgpack_sbuffer_init(&sb);
    GvLedger_PackSettings(&sb, GvLedger_SettingsVersion(l), flat,
                          (int)docs->len);
    g_free(flat);
    snprintf(what, sizeof what, "%u documents in force", docs->len);
    return GvCli_Submit(c, op, "settings", &sb, what);
}

/* Merges files that are valid on their own into the documents in force, checks
   the result and appends it. Returns an exit code. */
static int
publish(const gv_cli_t *c, const GPtrArray *files, bool replace,
        char **removed)
{
    gv_operator_t *op;
    int code = GvCli_Open(c, &op);
    if (code != GV_EXIT_OK) {
        return code;
    }
    GPtrArray *docs = merge(GvOperator_Ledger(op), files, replace, removed);
    if (docs == NULL) {
        GvOperator_Close(op);
        return GV_EXIT_USAGE;
    }
    gv_problems_t *problems = GvProblems_New();
    if (GvDocuments_Check(docs, true, problems) != GV_OK) {
        GvCli_PrintProblems(c, problems);
        code = GV_EXIT_INVALID;
    }
    else {
        code = append(c, op, docs);
    }
    g_ptr_array_unref(problems);
    g_ptr_array_unref(docs);
    GvOperator_Close(op);
    return code;
}

/* Publishes the settings files below the given paths. */
static int
run(int argc, char **argv)
{
    gv_cli_t c;
    gboolean replace = FALSE;
    char **removed = NULL;
    const GOptionEntry extra[] = {
        {"replace", 0, 0, G_OPTION_ARG_NONE, &replace,
         "Drop services and pools that are not in the files", NULL},
        {"remove", 0, 0, G_OPTION_ARG_STRING_ARRAY, &removed,
         "Drop service/NAME or pool/NAME", "KEY"},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
    int code =
        GvCli_Parse(&c, "PATH...",
                    "publish settings files; other services and pools stay "
                    "in force",
                    extra, &argc, &argv);
    if (code == GV_EXIT_OK && argc < 2 && removed == NULL) {
        code = GvCli_Usage("no directory given");
    }
    GPtrArray *files = GvDocuments_New();
    gv_problems_t *problems = GvProblems_New();
    for (int i = 1; code == GV_EXIT_OK && i < argc; i++) {
        GvDocuments_Collect(argv[i], files, problems);
    }
    GvDocuments_Check(files, false, problems);
    if (code == GV_EXIT_OK && problems->len > 0) {
        GvCli_PrintProblems(&c, problems);
        code = GV_EXIT_INVALID;
    }
    if (code == GV_EXIT_OK) {
        code = publish(&c, files, replace, removed);
    }
    g_ptr_array_unref(problems);
    g_ptr_array_unref(files);
    g_strfreev(removed);
    GvCli_Clear(&c);
    return code;
}

static gv_command_t command = {
    {"publish", NULL}, "put settings files in force", run};
GV_REGISTER(GV_PLUGIN_COMMAND, command);
