#ifndef GV_YAML_READ_H
#define GV_YAML_READ_H

#include <stdbool.h>
#include <stddef.h>
#include <yaml.h>

#include "settings.h"

/* Reads YAML mappings into structs by a table of fields; every problem is
   reported with its line and field. Shared by settings and nodeconf. */

typedef enum {
    GV_FIELD_NAME, /* gv_str_t, GvStr_IsName */
    GV_FIELD_ADDR, /* gv_str_t, "IPv4:port" */
    GV_FIELD_INT,  /* int, min to max */
    GV_FIELD_REAL, /* double, above min and below max */
    GV_FIELD_BOOL, /* bool */
    GV_FIELD_MAP,  /* nested fields, stored in the same struct */
    GV_FIELD_LIST, /* handled by `list` */
    GV_FIELD_SKIP  /* read by the caller */
} gv_field_type_t;

typedef struct gv_yaml_s {
    const char *file;
    yaml_document_t doc;
    gv_problems_t *ps;
    int failed; /* problems found, reported or not */
} gv_yaml_t;

typedef struct gv_field_s {
    const char *name;
    size_t at; /* offset of the member in the struct */
    double min;
    double max;
    const struct gv_field_s *fields; /* MAP */
    void (*list)(gv_yaml_t *y, yaml_node_t *seq, const char *path, void *to);
    gv_field_type_t type;
    int n_fields;
    bool required;
} gv_field_t;

/* Called for the root node of each document. */
typedef void (*gv_yaml_root_t)(gv_yaml_t *y, yaml_node_t *root, void *user);

int GvYaml_ForEachDocument(const char *file, gv_str_t text, gv_problems_t *ps,
                           gv_yaml_root_t root, void *user);
void GvYaml_Problem(gv_yaml_t *y, const yaml_node_t *at, const char *field,
                    const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));
void GvYaml_ReadMapping(gv_yaml_t *y, yaml_node_t *map, const char *path,
                        const gv_field_t *fields, int n, void *to);
gv_str_t GvYaml_Scalar(const yaml_node_t *node);
yaml_node_t *GvYaml_Get(gv_yaml_t *y, yaml_node_t *map, const char *key);
int GvYaml_Line(const yaml_node_t *node);
bool GvYaml_IsAddr(gv_str_t s);

#endif
