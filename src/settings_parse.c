#include <stdio.h>
#include <string.h>

#include "error.h"
#include "limits.h"
#include "settings_state.h"
#include "yaml_read.h"

#define SERVICE_OFFSET(member) offsetof(gv_service_t, member)
#define POOL_OFFSET(member)    offsetof(gv_pool_t, member)
#define COUNT(a)               (int)(sizeof(a) / sizeof((a)[0]))

static const gv_field_t team_fields[] = {
    {.name = "name",
     .type = GV_FIELD_NAME,
     .offset = offsetof(gv_team_t, name),
     .required = true},
    {.name = "quota",
     .type = GV_FIELD_INT,
     .offset = offsetof(gv_team_t, quota),
     .min = 1,
     .max = GV_QUOTA_MAX,
     .required = true},
};

/* Reads the list of teams of a service; `to` is a gv_service_t. */
static void
read_teams(gv_yaml_t *y, yaml_node_t *seq, const char *path, void *to)
{
    gv_service_t *sv = to;
    yaml_node_item_t *start = seq->data.sequence.items.start;
    long n = seq->data.sequence.items.top - start;
    if (n > GV_TEAMS_MAX) {
        GvYaml_Problem(y, seq, path, "more than %d teams", GV_TEAMS_MAX);
        return;
    }
    sv->teams = g_new0(gv_team_t, n);
    sv->n_teams = (int)n;
    for (int i = 0; i < n; i++) {
        char at[80];
        yaml_node_t *v = yaml_document_get_node(&y->doc, start[i]);
        gv_team_t *t = &sv->teams[i];
        snprintf(at, sizeof at, "%s[%d]", path, i);
        GvYaml_ReadMapping(y, v, at, team_fields, COUNT(team_fields), t);
        for (int j = 0; j < i; j++) {
            if (t->name.n > 0 && GvStr_Equal(t->name, sv->teams[j].name)) {
                GvYaml_Problem(y, v, at, "repeated team %.*s",
                               GV_STR_ARG(t->name));
            }
        }
    }
}

/* Returns true if s consists of upper-case letters, as an HTTP method does. */
static bool
is_method(gv_str_t s)
{
    for (size_t i = 0; i < s.n; i++) {
        if (!g_ascii_isupper(s.p[i])) {
            return false;
        }
    }
    return s.n > 0 && s.n <= GV_METHOD_MAX_BYTES;
}

/* Returns true if s is an absolute path of printable characters. */
static bool
is_path(gv_str_t s)
{
    for (size_t i = 0; i < s.n; i++) {
        if (!g_ascii_isgraph(s.p[i])) {
            return false;
        }
    }
    return s.n > 0 && s.n <= GV_PATH_MAX_BYTES && s.p[0] == '/';
}

/* Reads a list of strings into *strs and *n, replacing the previous value (the
   defaults). Reports each item for which valid() returns false; `what`
   describes a valid item in that message. */
static void
read_strs(gv_yaml_t *y, yaml_node_t *seq, const char *path,
          bool (*valid)(gv_str_t), const char *what, gv_str_t **strs, int *n)
{
    yaml_node_item_t *start = seq->data.sequence.items.start;
    long count = seq->data.sequence.items.top - start;
    if (count > GV_IDEMPOTENT_MAX) {
        GvYaml_Problem(y, seq, path, "more than %d items", GV_IDEMPOTENT_MAX);
        return;
    }
    for (int i = 0; i < *n; i++) {
        GvStr_Free(&(*strs)[i]);
    }
    g_free(*strs);
    *strs = g_new0(gv_str_t, count + 1);
    *n = (int)count;
    for (int i = 0; i < count; i++) {
        yaml_node_t *v = yaml_document_get_node(&y->doc, start[i]);
        gv_str_t s = GvYaml_Scalar(v);
        (*strs)[i] = GvStr_Dup(s);
        if (!valid(s)) {
            char at[80];
            snprintf(at, sizeof at, "%s[%d]", path, i);
            GvYaml_Problem(y, v, at, "expected %s", what);
        }
    }
}

/* Reads the list of idempotent methods; `to` is a gv_service_t. */
static void
read_methods(gv_yaml_t *y, yaml_node_t *seq, const char *path, void *to)
{
    gv_service_t *sv = to;
    read_strs(y, seq, path, is_method, "a method in upper-case letters",
              &sv->idempotent_methods, &sv->n_methods);
}

/* Reads the list of idempotent path prefixes; `to` is a gv_service_t. */
static void
read_paths(gv_yaml_t *y, yaml_node_t *seq, const char *path, void *to)
{
    gv_service_t *sv = to;
    read_strs(y, seq, path, is_path, "a path that begins with '/'",
              &sv->idempotent_paths, &sv->n_paths);
}

#define INT_FIELD(name_, at_, min_, max_)                                     \
    {                                                                         \
        .name = name_, .type = GV_FIELD_INT, .offset = at_, .min = min_,      \
        .max = max_                                                           \
    }
#define NAME_FIELD(name_, at_, required_)                                     \
    {                                                                         \
        .name = name_, .type = GV_FIELD_NAME, .offset = at_,                  \
        .required = required_                                                 \
    }
#define MAP_FIELD(name_, fields_)                                             \
    {                                                                         \
        .name = name_, .type = GV_FIELD_MAP, .fields = fields_,               \
        .n_fields = COUNT(fields_)                                            \
    }
#define LIST_FIELD(name_, list_)                                              \
    {                                                                         \
        .name = name_, .type = GV_FIELD_LIST, .list = list_                   \
    }

static const gv_field_t availability_fields[] = {
    {.name = "objective_percent",
     .type = GV_FIELD_REAL,
     .offset = SERVICE_OFFSET(objective_percent),
     .min = 0,
     .max = 100},
    INT_FIELD("min_hosts", SERVICE_OFFSET(min_hosts), 0, GV_HOSTS_MAX),
};
static const gv_field_t deadline_fields[] = {
    INT_FIELD("default_ms", SERVICE_OFFSET(deadline_default_ms), 1,
              GV_DEADLINE_MAX_MS),
    INT_FIELD("max_ms", SERVICE_OFFSET(deadline_max_ms), 1,
              GV_DEADLINE_MAX_MS),
};
static const gv_field_t urgent_fields[] = {
    INT_FIELD("max_share_percent", SERVICE_OFFSET(urgent_share_percent), 0,
              100),
};
static const gv_field_t idempotent_fields[] = {
    LIST_FIELD("methods", read_methods),
    LIST_FIELD("paths", read_paths),
};
static const gv_field_t run_time_fields[] = {
    INT_FIELD("short_ms", SERVICE_OFFSET(short_ms), 1, GV_DEADLINE_MAX_MS),
    INT_FIELD("long_share_percent", SERVICE_OFFSET(long_share_percent), 1,
              100),
};
static const gv_field_t queue_fields[] = {
    INT_FIELD("max_requests", SERVICE_OFFSET(queue_max), 1,
              GV_QUEUE_LIMIT_REQUESTS),
};
static const gv_field_t retry_fields[] = {
    INT_FIELD("percent", SERVICE_OFFSET(retry_percent), 0, 100),
};
static const gv_field_t service_fields[] = {
    {.name = "kind", .type = GV_FIELD_SKIP},
    NAME_FIELD("service", SERVICE_OFFSET(name), true),
    NAME_FIELD("pool", SERVICE_OFFSET(pool), true),
    MAP_FIELD("availability", availability_fields),
    MAP_FIELD("deadline", deadline_fields),
    LIST_FIELD("teams", read_teams),
    MAP_FIELD("urgent", urgent_fields),
    MAP_FIELD("idempotent", idempotent_fields),
    MAP_FIELD("run_time", run_time_fields),
    MAP_FIELD("queue", queue_fields),
    MAP_FIELD("retry", retry_fields),
};
static const gv_field_t reserve_fields[] = {
    INT_FIELD("weight_waiting", POOL_OFFSET(weight_waiting), 0, GV_WEIGHT_MAX),
    INT_FIELD("weight_buffer", POOL_OFFSET(weight_buffer), 0, GV_WEIGHT_MAX),
};
static const gv_field_t pool_fields[] = {
    {.name = "kind", .type = GV_FIELD_SKIP},
    NAME_FIELD("pool", POOL_OFFSET(name), true),
    INT_FIELD("max_out", POOL_OFFSET(max_out), 0, GV_HOSTS_MAX),
    NAME_FIELD("spare", POOL_OFFSET(spare), false),
    {.name = "is_spare",
     .type = GV_FIELD_BOOL,
     .offset = POOL_OFFSET(is_spare)},
    MAP_FIELD("reserve", reserve_fields),
};

/* Sets the default values of the optional fields. */
static void
service_defaults(gv_service_t *sv)
{
    static const char *const methods[] = {"GET", "HEAD", "PUT", "DELETE",
                                          "OPTIONS"};
    sv->objective_percent = 99.9;
    sv->min_hosts = 1;
    sv->deadline_default_ms = GV_DEADLINE_DEFAULT_MS;
    sv->deadline_max_ms = GV_DEADLINE_MAX_DEFAULT_MS;
    sv->urgent_share_percent = 50;
    sv->n_methods = COUNT(methods);
    sv->idempotent_methods = g_new0(gv_str_t, COUNT(methods));
    for (int i = 0; i < COUNT(methods); i++) {
        sv->idempotent_methods[i] = GvStr_Dup(GvStr_C(methods[i]));
    }
    sv->short_ms = 200;
    sv->long_share_percent = 40;
    sv->queue_max = GV_QUEUE_DEFAULT_REQUESTS;
    sv->retry_percent = 10;
}

/* Reads one service document and adds it to s. */
static void
read_service(gv_yaml_t *y, yaml_node_t *root, gv_settings_t *s)
{
    gv_service_row_t *r = g_new0(gv_service_row_t, 1);
    gv_service_t *sv = &r->service;
    service_defaults(sv);
    r->file = g_strdup(y->file);
    r->line = GvYaml_Line(root);
    g_ptr_array_add(s->services, r);
    GvYaml_ReadMapping(y, root, "", service_fields, COUNT(service_fields), sv);
    if (sv->deadline_default_ms > sv->deadline_max_ms) {
        yaml_node_t *at = GvYaml_Get(y, root, "deadline");
        GvYaml_Problem(y, at == NULL ? root : at, "deadline.default_ms",
                       "the default %d is above max_ms %d",
                       sv->deadline_default_ms, sv->deadline_max_ms);
    }
}

/* Reads one pool document and adds it to s. */
static void
read_pool(gv_yaml_t *y, yaml_node_t *root, gv_settings_t *s)
{
    gv_pool_row_t *r = g_new0(gv_pool_row_t, 1);
    r->pool.max_out = 1;
    r->pool.weight_waiting = 1;
    r->pool.weight_buffer = 1;
    r->file = g_strdup(y->file);
    r->line = GvYaml_Line(root);
    g_ptr_array_add(s->pools, r);
    GvYaml_ReadMapping(y, root, "", pool_fields, COUNT(pool_fields), &r->pool);
}

/* Reads one service or pool document; user is the gv_settings_t. */
static void
read_root(gv_yaml_t *y, yaml_node_t *root, void *user)
{
    gv_settings_t *s = user;
    yaml_node_t *kind = GvYaml_Get(y, root, "kind");
    if (root->type != YAML_MAPPING_NODE) {
        GvYaml_Problem(y, root, "", "expected a mapping of fields");
    }
    else if (s->services->len + s->pools->len >= GV_DOCUMENTS_MAX) {
        GvYaml_Problem(y, root, "", "more than %d documents",
                       GV_DOCUMENTS_MAX);
    }
    else if (kind == NULL) {
        GvYaml_Problem(y, root, "kind", "missing field");
    }
    else if (GvStr_Equal(GvYaml_Scalar(kind), GV_STR("service"))) {
        read_service(y, root, s);
    }
    else if (GvStr_Equal(GvYaml_Scalar(kind), GV_STR("pool"))) {
        read_pool(y, root, s);
    }
    else {
        GvYaml_Problem(y, kind, "kind", "expected service or pool");
    }
}

/* Adds the documents of one file to a set that is not linked yet. Returns 0,
   or GV_EINVAL with all problems of the file added to problems; the set must
   then only be used to find more problems. */
int
GvSettings_AddDocument(gv_settings_t *s, const char *file, gv_str_t yaml,
                       gv_problems_t *problems)
{
    return GvYaml_ForEachDocument(file, yaml, problems, read_root, s);
}
