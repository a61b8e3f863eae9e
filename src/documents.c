#include "documents.h"

#include <string.h>

#include "error.h"

#define FILE_NAME "gypsumvalve.yaml"
/* Source trees are not this deep; also ends loops made by bind mounts. */
#define DEPTH_MAX 32

/* Releases a document. */
static void
free_document(void *row)
{
    gv_document_t *d = row;
    GvStr_Free(&d->file);
    GvStr_Free(&d->text);
    g_free(d);
}

/* Creates an empty list. */
GPtrArray *
GvDocuments_New(void)
{
    return g_ptr_array_new_with_free_func(free_document);
}

/* Adds a copy of a document to a list. */
static void
add(GPtrArray *docs, gv_str_t file, gv_str_t text)
{
    gv_document_t *d = g_new0(gv_document_t, 1);
    d->file = GvStr_Dup(file);
    d->text = GvStr_Dup(text);
    g_ptr_array_add(docs, d);
}

/* Adds one file to the list, or a problem if it cannot be read. */
static void
read_file(const char *path, GPtrArray *files, gv_problems_t *problems)
{
    char *text = NULL;
    gsize n = 0;
    GError *error = NULL;
    if (files->len >= GV_DOCUMENTS_MAX) {
        GvProblems_Add(problems, path, 1, "", "more than %d files",
                       GV_DOCUMENTS_MAX);
        return;
    }
    if (!g_file_get_contents(path, &text, &n, &error)) {
        GvProblems_Add(problems, path, 1, "", "%s", error->message);
        g_error_free(error);
        return;
    }
    add(files, GvStr_C(path), GvStr_N(text, n));
    g_free(text);
}

/* Orders names, so that files are read in the same order on every file
   system. */
static int
compare_names(const void *a, const void *b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Reads the settings files of a directory and its subdirectories. Skips hidden
   entries and symbolic links. */
static void
read_dir(const char *path, int depth, GPtrArray *files,
         gv_problems_t *problems)
{
    GError *error = NULL;
    GDir *dir = g_dir_open(path, 0, &error);
    if (dir == NULL) {
        GvProblems_Add(problems, path, 1, "", "%s", error->message);
        g_error_free(error);
        return;
    }
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    for (const char *name; (name = g_dir_read_name(dir)) != NULL;) {
        g_ptr_array_add(names, g_strdup(name));
    }
    g_dir_close(dir);
    g_ptr_array_sort(names, compare_names);
    for (unsigned i = 0; i < names->len; i++) {
        const char *name = g_ptr_array_index(names, i);
        char *full = g_build_filename(path, name, NULL);
        if (name[0] == '.' || g_file_test(full, G_FILE_TEST_IS_SYMLINK)) {
            g_free(full);
            continue;
        }
        if (strcmp(name, FILE_NAME) == 0) {
            read_file(full, files, problems);
        }
        else if (depth < DEPTH_MAX && g_file_test(full, G_FILE_TEST_IS_DIR)) {
            read_dir(full, depth + 1, files, problems);
        }
        g_free(full);
    }
    g_ptr_array_unref(names);
}

/* Adds the settings files at or below path; a path of a file is read whatever
   its name. If there is no settings file, adds a problem. */
void
GvDocuments_Collect(const char *path, GPtrArray *files,
                    gv_problems_t *problems)
{
    unsigned before = files->len + problems->len;
    if (g_file_test(path, G_FILE_TEST_IS_DIR)) {
        read_dir(path, 0, files, problems);
    }
    else {
        read_file(path, files, problems);
    }
    if (files->len + problems->len == before) {
        GvProblems_Add(problems, path, 1, "", "no %s found", FILE_NAME);
    }
}

/* Returns true if the line at p separates two YAML documents. */
static bool
is_separator(const char *p, const char *end)
{
    return end - p >= 3 && memcmp(p, "---", 3) == 0 &&
           (end - p == 3 || g_ascii_isspace(p[3]));
}

/* Adds one document for each YAML document of a file, without comments and
   space around it, so that a part of the settings can be replaced by name. */
void
GvDocuments_Split(const gv_document_t *file, GPtrArray *out)
{
    const char *end = file->text.p + file->text.n;
    const char *start = file->text.p;
    for (const char *p = start; p <= end;) {
        const char *eol = memchr(p, '\n', (size_t)(end - p));
        const char *next = eol == NULL ? end : eol + 1;
        if (p == end || (p > start && is_separator(p, end))) {
            add(out, file->file, GvStr_N(start, (size_t)(p - start)));
            start = p;
        }
        p = p == end ? end + 1 : next;
    }
}

/* Returns the key of a document, "service/NAME" or "pool/NAME", to be released
   with g_free; NULL for a document without settings. */
char *
GvDocuments_Key(const gv_document_t *d)
{
    char *key = NULL;
    gv_settings_t *s = GvSettings_New();
    GvSettings_AddDocument(s, d->file.p, d->text, NULL);
    if (GvSettings_ServiceCount(s) > 0) {
        key = g_strdup_printf("service/%.*s",
                              GV_STR_ARG(GvSettings_ServiceAt(s, 0)->name));
    }
    else if (GvSettings_PoolCount(s) > 0) {
        key = g_strdup_printf("pool/%.*s",
                              GV_STR_ARG(GvSettings_PoolAt(s, 0)->name));
    }
    GvSettings_Unref(s);
    return key;
}

/* Parses documents and, with `link`, checks the references between them.
   Returns 0, or GV_EINVAL after adding every problem to problems. */
int
GvDocuments_Check(const GPtrArray *docs, bool link, gv_problems_t *problems)
{
    int err = GV_OK;
    gv_settings_t *s = GvSettings_New();
    for (unsigned i = 0; i < docs->len; i++) {
        const gv_document_t *d = g_ptr_array_index(docs, i);
        if (GvSettings_AddDocument(s, d->file.p, d->text, problems) != GV_OK) {
            err = GV_EINVAL;
        }
    }
    if (link && GvSettings_Link(s, problems) != GV_OK) {
        err = GV_EINVAL;
    }
    GvSettings_Unref(s);
    return err;
}
