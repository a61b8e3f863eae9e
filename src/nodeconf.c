#include "nodeconf.h"

#include <stdio.h>
#include <string.h>

#include "error.h"
#include "limits.h"
#include "yaml_read.h"

#define WORKERS_DEFAULT 64
#define CONF(member)    offsetof(gv_nodeconf_t, member)
#define PEER(member)    offsetof(gv_peer_conf_t, member)
#define COUNT(a)        (int)(sizeof(a) / sizeof((a)[0]))
#define FIELD(name_, type_, offset_)                                          \
    {                                                                         \
        .name = name_, .type = type_, .offset = offset_, .required = true     \
    }

static const gv_field_t peer_fields[] = {
    FIELD("name", GV_FIELD_NAME, PEER(name)),
    FIELD("data_centre", GV_FIELD_NAME, PEER(dc)),
    FIELD("region", GV_FIELD_NAME, PEER(region)),
    FIELD("peer", GV_FIELD_ADDR, PEER(addr)),
};

/* Reads the list of peers. Repeated names are reported. */
static void
read_peers(gv_yaml_t *y, yaml_node_t *seq, const char *path, void *to)
{
    gv_nodeconf_t *conf = to;
    yaml_node_item_t *start = seq->data.sequence.items.start;
    long n = seq->data.sequence.items.top - start;
    if (n >= GV_ENTRY_HOSTS_MAX) {
        GvYaml_Problem(y, seq, path, "more than %d peers",
                       GV_ENTRY_HOSTS_MAX - 1);
        return;
    }
    conf->peers = g_new0(gv_peer_conf_t, n + 1);
    conf->n_peers = (int)n;
    for (int i = 0; i < n; i++) {
        char at[64];
        yaml_node_t *v = yaml_document_get_node(&y->doc, start[i]);
        gv_peer_conf_t *p = &conf->peers[i];
        snprintf(at, sizeof at, "%s[%d]", path, i);
        GvYaml_ReadMapping(y, v, at, peer_fields, COUNT(peer_fields), p);
        for (int j = 0; j < i; j++) {
            if (p->name.n > 0 && GvStr_Equal(p->name, conf->peers[j].name)) {
                GvYaml_Problem(y, v, at, "repeated peer %.*s",
                               GV_STR_ARG(p->name));
            }
        }
    }
}

static const gv_field_t conf_fields[] = {
    FIELD("name", GV_FIELD_NAME, CONF(name)),
    FIELD("data_centre", GV_FIELD_NAME, CONF(dc)),
    FIELD("region", GV_FIELD_NAME, CONF(region)),
    FIELD("http", GV_FIELD_ADDR, CONF(http_addr)),
    FIELD("peer", GV_FIELD_ADDR, CONF(peer_addr)),
    FIELD("platform", GV_FIELD_ADDR, CONF(platform_addr)),
    {.name = "workers",
     .type = GV_FIELD_INT,
     .offset = CONF(workers),
     .min = 1,
     .max = GV_WORKERS_MAX},
    {.name = "memory_mb",
     .type = GV_FIELD_INT,
     .offset = CONF(memory_mb),
     .min = 32,
     .max = 1048576},
    {.name = "max_fds",
     .type = GV_FIELD_INT,
     .offset = CONF(max_fds),
     .min = 256,
     .max = 1048576},
    {.name = "peers", .type = GV_FIELD_LIST, .list = read_peers},
};

/* State of parsing one file. */
typedef struct {
    gv_nodeconf_t *conf;
    int documents; /* read so far */
} gv_conf_parse_t;

/* Reads the file's only document. A peer with the daemon's own name is
   reported, because each peer must be another entry host. */
static void
read_root(gv_yaml_t *y, yaml_node_t *root, void *user)
{
    gv_conf_parse_t *parse = user;
    gv_nodeconf_t *conf = parse->conf;
    if (parse->documents++ > 0) {
        GvYaml_Problem(y, root, "", "more than one document");
        return;
    }
    GvYaml_ReadMapping(y, root, "", conf_fields, COUNT(conf_fields), conf);
    for (int i = 0; i < conf->n_peers; i++) {
        if (conf->name.n > 0 && GvStr_Equal(conf->name, conf->peers[i].name)) {
            GvYaml_Problem(y, GvYaml_Get(y, root, "peers"), "peers",
                           "peer %.*s is this entry host",
                           GV_STR_ARG(conf->name));
        }
    }
}

/* Parses a daemon's settings. Returns 0, or GV_EINVAL after adding every
   problem to problems and clearing conf. `file` is only named in problems. */
int
GvNodeConf_Parse(const char *file, gv_str_t yaml, gv_nodeconf_t *conf,
                 gv_problems_t *problems)
{
    gv_conf_parse_t parse = {.conf = conf};
    memset(conf, 0, sizeof *conf);
    conf->workers = WORKERS_DEFAULT;
    conf->memory_mb = GV_HTTP_MEMORY_MB;
    conf->max_fds = GV_HTTP_FDS;
    int err = GvYaml_ForEachDocument(file, yaml, problems, read_root, &parse);
    if (err == GV_OK && parse.documents == 0) {
        GvProblems_Add(problems, file, 1, "", "the file has no document");
        err = GV_EINVAL;
    }
    if (err != GV_OK) {
        GvNodeConf_Clear(conf);
    }
    return err;
}

/* Reads and parses a file. Returns 0, GV_EIO if it cannot be read, or the
   result of GvNodeConf_Parse. */
int
GvNodeConf_Load(const char *file, gv_nodeconf_t *conf, gv_problems_t *problems)
{
    char *text = NULL;
    gsize n = 0;
    GError *error = NULL;
    memset(conf, 0, sizeof *conf);
    if (!g_file_get_contents(file, &text, &n, &error)) {
        GvProblems_Add(problems, file, 1, "", "%s", error->message);
        g_error_free(error);
        return GV_EIO;
    }
    int err = GvNodeConf_Parse(file, GvStr_N(text, n), conf, problems);
    g_free(text);
    return err;
}

/* Releases everything that conf holds. */
void
GvNodeConf_Clear(gv_nodeconf_t *conf)
{
    GvStr_Free(&conf->name);
    GvStr_Free(&conf->dc);
    GvStr_Free(&conf->region);
    GvStr_Free(&conf->http_addr);
    GvStr_Free(&conf->peer_addr);
    GvStr_Free(&conf->platform_addr);
    for (int i = 0; i < conf->n_peers; i++) {
        GvStr_Free(&conf->peers[i].name);
        GvStr_Free(&conf->peers[i].dc);
        GvStr_Free(&conf->peers[i].region);
        GvStr_Free(&conf->peers[i].addr);
    }
    g_free(conf->peers);
    memset(conf, 0, sizeof *conf);
}
