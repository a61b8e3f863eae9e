#ifndef GV_SETTINGS_H
#define GV_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/* Settings written by operators: YAML documents that describe services and
   pools. */

typedef struct {
    gv_str_t name;
    int quota; /* relative weight of the team's share of slots */
} gv_team_t;

typedef struct {
    gv_str_t name; /* document field `service` */
    gv_str_t pool;
    double objective_percent; /* availability objective */
    int min_hosts;
    int deadline_default_ms;
    int deadline_max_ms;
    gv_team_t *teams; /* if empty: one implicit team "default" */
    int n_teams;
    int urgent_share_percent; /* share of slots where urgent work goes first */
    gv_str_t *idempotent_methods;
    int n_methods;
    gv_str_t *idempotent_paths; /* path prefixes */
    int n_paths;
    int short_ms; /* work with a longer estimated run time is long work */
    int long_share_percent; /* share of slots for long work */
    int queue_max;          /* requests */
    int retry_percent;      /* limit of retries, relative to recent requests */
} gv_service_t;

typedef struct {
    gv_str_t name;  /* document field `pool` */
    int max_out;    /* limit of hosts out of service because of claims */
    gv_str_t spare; /* name of its spare pool, or empty */
    bool is_spare;
    /* Relative costs for the reserve policy: of requests that wait, and of
       hosts in reserve. */
    int weight_waiting;
    int weight_buffer;
} gv_pool_t;

/* A set of documents that refer to each other, reference-counted. Linking
   checks the references; after that the set is immutable. */
typedef struct gv_settings_s gv_settings_t;

/* A problem in a settings file, with its location. */
typedef struct {
    gv_str_t file;
    int line;       /* from 1 */
    gv_str_t field; /* such as "deadline.max_ms"; may be empty */
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
