#include "yaml_read.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "error.h"
#include "limits.h"

#define PATH_BYTES 160

/* Returns the line of a node, counted from 1. */
int
GvYaml_Line(const yaml_node_t *node)
{
    return node == NULL ? 1 : (int)node->start_mark.line + 1;
}

/* Reports a problem at a node (NULL: the first line of the file). */
void
GvYaml_Problem(gv_yaml_t *y, const yaml_node_t *at, const char *field,
               const char *fmt, ...)
{
    char text[256];
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(text, sizeof text, fmt, ap);
    va_end(ap);
    y->failed++;
    GvProblems_Add(y->ps, y->file, GvYaml_Line(at), field, "%s", text);
}

/* Views the text of a scalar; any other node yields the empty string. */
gv_str_t
GvYaml_Scalar(const yaml_node_t *node)
{
    if (node == NULL || node->type != YAML_SCALAR_NODE) {
        return GV_STR("");
    }
    return GvStr_N(node->data.scalar.value, node->data.scalar.length);
}

/* Returns the first value of a key of a mapping, or NULL. */
yaml_node_t *
GvYaml_Get(gv_yaml_t *y, yaml_node_t *map, const char *key)
{
    if (map == NULL || map->type != YAML_MAPPING_NODE) {
        return NULL;
    }
    yaml_node_pair_t *p = map->data.mapping.pairs.start;
    for (; p < map->data.mapping.pairs.top; p++) {
        yaml_node_t *k = yaml_document_get_node(&y->doc, p->key);
        if (GvStr_Equal(GvYaml_Scalar(k), GvStr_C(key))) {
            return yaml_document_get_node(&y->doc, p->value);
        }
    }
    return NULL;
}

/* Tells whether s is an IPv4 address with a port, such as 127.0.0.1:80. */
bool
GvYaml_IsAddr(gv_str_t s)
{
    unsigned part[5];
    char text[32];
    int used = -1;
    if (s.n == 0 || s.n >= sizeof text || strspn(s.p, "0123456789.:") < s.n) {
        return false;
    }
    memcpy(text, s.p, s.n);
    text[s.n] = '\0';
    if (sscanf(text, "%3u.%3u.%3u.%3u:%5u%n", &part[0], &part[1], &part[2],
               &part[3], &part[4], &used) != 5 ||
        (size_t)used != s.n) {
        return false;
    }
    return part[0] < 256 && part[1] < 256 && part[2] < 256 && part[3] < 256 &&
           part[4] > 0 && part[4] < 65536;
}

/* Stores a string in a struct member, replacing an earlier value. */
static void
set_str(gv_str_t *to, gv_str_t s)
{
    GvStr_Free(to);
    *to = GvStr_Dup(s);
}

/* Reads an integer or real number within the bounds of the field. */
static void
read_number(gv_yaml_t *y, yaml_node_t *v, const char *path,
            const gv_field_t *f, char *to)
{
    gv_str_t s = GvYaml_Scalar(v);
    char *end = NULL;
    char text[32] = "";
    memcpy(text, s.p, MIN(s.n, sizeof text - 1));
    if (f->type == GV_FIELD_REAL) {
        double d = g_ascii_strtod(text, &end);
        if (s.n == 0 || s.n >= sizeof text || *end != '\0' ||
            !(d > f->min && d < f->max)) {
            GvYaml_Problem(y, v, path,
                           "expected a number above %g and below %g", f->min,
                           f->max);
            return;
        }
        memcpy(to, &d, sizeof d);
        return;
    }
    gint64 i = 0;
    if (s.n >= sizeof text ||
        !g_ascii_string_to_signed(text, 10, (gint64)f->min, (gint64)f->max, &i,
                                  NULL)) {
        GvYaml_Problem(y, v, path, "expected an integer from %.0f to %.0f",
                       f->min, f->max);
        return;
    }
    int n = (int)i;
    memcpy(to, &n, sizeof n);
}

/* Reads `true` or `false`. */
static void
read_bool(gv_yaml_t *y, yaml_node_t *v, const char *path, char *to)
{
    gv_str_t s = GvYaml_Scalar(v);
    bool b = GvStr_Equal(s, GV_STR("true"));
    if (!b && !GvStr_Equal(s, GV_STR("false"))) {
        GvYaml_Problem(y, v, path, "expected true or false");
        return;
    }
    memcpy(to, &b, sizeof b);
}

/* Reads a name or an address. */
static void
read_text(gv_yaml_t *y, yaml_node_t *v, const char *path, const gv_field_t *f,
          char *to)
{
    gv_str_t s = GvYaml_Scalar(v);
    if (f->type == GV_FIELD_NAME && !GvStr_IsName(s)) {
        GvYaml_Problem(y, v, path,
                       "expected a name of 1 to %d letters, digits, '-' or "
                       "'_'",
                       GV_NAME_MAX_BYTES);
        return;
    }
    if (f->type == GV_FIELD_ADDR && !GvYaml_IsAddr(s)) {
        GvYaml_Problem(y, v, path, "expected an address such as %s",
                       "127.0.0.1:8001");
        return;
    }
    set_str((gv_str_t *)(void *)to, s);
}

/* Reads the value of one field. */
static void
read_value(gv_yaml_t *y, yaml_node_t *v, const char *path, const gv_field_t *f,
           void *to)
{
    char *at = (char *)to + f->at;
    switch (f->type) {
    case GV_FIELD_NAME:
    case GV_FIELD_ADDR:
        read_text(y, v, path, f, at);
        return;
    case GV_FIELD_INT:
    case GV_FIELD_REAL:
        read_number(y, v, path, f, at);
        return;
    case GV_FIELD_BOOL:
        read_bool(y, v, path, at);
        return;
    case GV_FIELD_MAP:
        GvYaml_ReadMapping(y, v, path, f->fields, f->n_fields, to);
        return;
    case GV_FIELD_LIST:
        if (v->type == YAML_SCALAR_NODE && v->data.scalar.length == 0 &&
            v->data.scalar.style == YAML_PLAIN_SCALAR_STYLE) {
            return; /* a key without a value is an empty list */
        }
        if (v->type != YAML_SEQUENCE_NODE) {
            GvYaml_Problem(y, v, path, "expected a list");
            return;
        }
        f->list(y, v, path, to);
        return;
    case GV_FIELD_SKIP:
        return;
    }
}

/* Returns the index of the field named s, or -1. */
static int
find_field(const gv_field_t *fields, int n, gv_str_t s)
{
    for (int i = 0; i < n; i++) {
        if (GvStr_Equal(GvStr_C(fields[i].name), s)) {
            return i;
        }
    }
    return -1;
}

/* Reads the mapping `map` into the struct `to`. path is the field's place in
   the document, empty at the root. Reports unknown, repeated and missing
   fields besides wrong values. */
void
GvYaml_ReadMapping(gv_yaml_t *y, yaml_node_t *map, const char *path,
                   const gv_field_t *fields, int n, void *to)
{
    char at[PATH_BYTES];
    unsigned seen = 0;
    const char *dot = path[0] == '\0' ? "" : ".";
    if (map->type != YAML_MAPPING_NODE) {
        GvYaml_Problem(y, map, path, "expected a mapping of fields");
        return;
    }
    yaml_node_pair_t *p = map->data.mapping.pairs.start;
    for (; p < map->data.mapping.pairs.top; p++) {
        yaml_node_t *k = yaml_document_get_node(&y->doc, p->key);
        yaml_node_t *v = yaml_document_get_node(&y->doc, p->value);
        gv_str_t key = GvYaml_Scalar(k);
        int i = find_field(fields, n, key);
        snprintf(at, sizeof at, "%s%s%.*s", path, dot, (int)MIN(key.n, 64),
                 key.p);
        if (i < 0) {
            GvYaml_Problem(y, k, at, "unknown field");
            continue;
        }
        if (seen & (1u << i)) {
            GvYaml_Problem(y, k, at, "repeated field");
            continue;
        }
        seen |= 1u << i;
        read_value(y, v, at, &fields[i], to);
    }
    for (int i = 0; i < n; i++) {
        if (fields[i].required && !(seen & (1u << i))) {
            snprintf(at, sizeof at, "%s%s%s", path, dot, fields[i].name);
            GvYaml_Problem(y, map, at, "missing field");
        }
    }
}

/* Reports the parser's error with its line. */
static void
parser_problem(gv_yaml_t *y, const yaml_parser_t *parser)
{
    y->failed++;
    GvProblems_Add(y->ps, y->file, (int)parser->problem_mark.line + 1, "",
                   "invalid YAML: %s",
                   parser->problem == NULL ? "parse error" : parser->problem);
}

/* Calls `root` for each document of the text. Returns 0, or GV_EINVAL when a
   problem was found, by the parser or by `root`. An empty document is
   skipped. */
int
GvYaml_ForEachDocument(const char *file, gv_str_t text, gv_problems_t *ps,
                       gv_yaml_root_t root, void *user)
{
    gv_yaml_t y = {.file = file, .ps = ps};
    yaml_parser_t parser;
    if (text.n > GV_SETTINGS_MAX_BYTES) {
        GvYaml_Problem(&y, NULL, "", "file is larger than %d bytes",
                       GV_SETTINGS_MAX_BYTES);
        return GV_EINVAL;
    }
    if (!yaml_parser_initialize(&parser)) {
        return GV_ENOMEM;
    }
    /* libyaml asserts that the input is not NULL, even when it is empty. */
    yaml_parser_set_input_string(
        &parser, (const unsigned char *)(text.n == 0 ? "" : text.p), text.n);
    for (;;) {
        if (!yaml_parser_load(&parser, &y.doc)) {
            parser_problem(&y, &parser);
            break;
        }
        yaml_node_t *node = yaml_document_get_root_node(&y.doc);
        bool end = node == NULL;
        if (!end &&
            (node->type != YAML_SCALAR_NODE || GvYaml_Scalar(node).n > 0)) {
            root(&y, node, user);
        }
        yaml_document_delete(&y.doc);
        if (end) {
            break;
        }
    }
    yaml_parser_delete(&parser);
    return y.failed == 0 ? GV_OK : GV_EINVAL;
}
