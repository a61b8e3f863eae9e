#ifndef GV_SETTINGS_H
#define GV_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/* Operators' settings: service and pool documents. */

typedef struct {
    gv_str_t name;
    int quota; /* weight of the team's share */
} gv_team_t;

typedef struct {
    gv_str_t name; /* field `service` */
    gv_str_t pool;
    double objective_percent;
    int min_hosts;
    int deadline_default_ms;
    int deadline_max_ms;
    gv_team_t *teams; /* none: one implicit team "default" */
    int n_teams;
    int urgent_share_percent; /* slots that urgent work may take first */
    gv_str_t *idempotent_methods;
    int n_methods;
    gv_str_t *idempotent_paths; /* path prefixes */
    int n_paths;
    int short_ms; /* work estimated above this is long */
    int long_share_percent;
    int queue_max;
    int retry_percent; /* retries allowed, of recent requests */
} gv_service_t;

typedef struct {
    gv_str_t name; /* field `pool` */
    int max_out;   /* hosts out because of claims */
    gv_str_t spare;
    bool is_spare;
    int weight_waiting;
    int weight_buffer;
} gv_pool_t;

/* A set of documents that are valid together. Immutable once linked. */
typedef struct gv_settings_s gv_settings_t;

/* One problem, with its place. */
typedef struct {
    gv_str_t file;
    int line;
    gv_str_t field;
    gv_str_t text;
} gv_problem_t;

typedef GPtrArray gv_problems_t; /* of gv_problem_t */

gv_problems_t *GvProblems_New(void);
void GvProblems_Add(gv_problems_t *problems, const char *file, int line,
                    const char *field, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));

gv_settings_t *GvSettings_New(void);
gv_settings_t *GvSettings_Ref(gv_settings_t *s);
void GvSettings_Unref(gv_settings_t *s);
int GvSettings_AddDocument(gv_settings_t *s, const char *file, gv_str_t yaml,
                           gv_problems_t *problems);
int GvSettings_Link(gv_settings_t *s, gv_problems_t *problems);
const gv_service_t *GvSettings_Service(const gv_settings_t *s, gv_str_t name);
const gv_pool_t *GvSettings_Pool(const gv_settings_t *s, gv_str_t name);
int GvSettings_ServiceCount(const gv_settings_t *s);
const gv_service_t *GvSettings_ServiceAt(const gv_settings_t *s, int i);
int GvSettings_PoolCount(const gv_settings_t *s);
const gv_pool_t *GvSettings_PoolAt(const gv_settings_t *s, int i);
bool GvService_IsIdempotent(const gv_service_t *sv, gv_str_t method,
                            gv_str_t path);

#endif
