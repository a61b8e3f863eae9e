#include "settings.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "error.h"
#include "limits.h"
#include "settings_state.h"

static void
free_problem(void *row)
{
    gv_problem_t *p = row;
    GvStr_Free(&p->file);
    GvStr_Free(&p->field);
    GvStr_Free(&p->text);
    g_free(p);
}

/* Creates an empty list of problems, to be freed with g_ptr_array_unref. */
gv_problems_t *
GvProblems_New(void)
{
    return g_ptr_array_new_with_free_func(free_problem);
}

/* Adds a problem to the list, which holds at most GV_SETTINGS_MAX_ERRORS
   items; the last of them says that further problems are omitted. Does nothing
   if problems is NULL. */
void
GvProblems_Add(gv_problems_t *problems, const char *file, int line,
               const char *field, const char *fmt, ...)
{
    char text[256];
    va_list ap;
    if (problems == NULL || problems->len >= GV_SETTINGS_MAX_ERRORS) {
        return;
    }
    va_start(ap, fmt);
    vsnprintf(text, sizeof text, fmt, ap);
    va_end(ap);
    if (problems->len + 1 == GV_SETTINGS_MAX_ERRORS) {
        snprintf(text, sizeof text, "too many problems; the rest is omitted");
        field = "";
    }
    gv_problem_t *p = g_new0(gv_problem_t, 1);
    p->file = GvStr_Dup(GvStr_C(file));
    p->line = line;
    p->field = GvStr_Dup(GvStr_C(field));
    p->text = GvStr_Dup(GvStr_C(text));
    g_ptr_array_add(problems, p);
}

/* Frees n strings and their array. */
static void
free_strs(gv_str_t *strs, int n)
{
    for (int i = 0; i < n; i++) {
        GvStr_Free(&strs[i]);
    }
    g_free(strs);
}

static void
free_service(void *row)
{
    gv_service_row_t *r = row;
    gv_service_t *sv = &r->service;
    GvStr_Free(&sv->name);
    GvStr_Free(&sv->pool);
    for (int i = 0; i < sv->n_teams; i++) {
        GvStr_Free(&sv->teams[i].name);
    }
    g_free(sv->teams);
    free_strs(sv->idempotent_methods, sv->n_methods);
    free_strs(sv->idempotent_paths, sv->n_paths);
    g_free(r->file);
    g_free(r);
}

static void
free_pool(void *row)
{
    gv_pool_row_t *r = row;
    GvStr_Free(&r->pool.name);
    GvStr_Free(&r->pool.spare);
    g_free(r->file);
    g_free(r);
}

/* Creates an empty set of settings with a reference count of 1. */
gv_settings_t *
GvSettings_New(void)
{
    gv_settings_t *s = g_new0(gv_settings_t, 1);
    atomic_init(&s->refs, 1);
    s->services = g_ptr_array_new_with_free_func(free_service);
    s->pools = g_ptr_array_new_with_free_func(free_pool);
    return s;
}

/* Adds a reference and returns s; may be called from any thread. */
gv_settings_t *
GvSettings_Ref(gv_settings_t *s)
{
    atomic_fetch_add(&s->refs, 1);
    return s;
}

/* Releases a reference and frees the set with the last one; NULL is
   allowed. */
void
GvSettings_Unref(gv_settings_t *s)
{
    if (s == NULL || atomic_fetch_sub(&s->refs, 1) > 1) {
        return;
    }
    g_ptr_array_unref(s->services);
    g_ptr_array_unref(s->pools);
    g_free(s);
}

/* Finds a row by name in a sorted array, or returns NULL. Both row types begin
   with a struct whose first member is the name. */
static void *
find_row(const GPtrArray *rows, gv_str_t name)
{
    size_t lo = 0;
    size_t hi = rows->len;
    while (lo < hi) {
        size_t mid = (lo + hi) / 2;
        const gv_str_t *at = g_ptr_array_index(rows, mid);
        int c = GvStr_Compare(*at, name);
        if (c == 0) {
            return g_ptr_array_index(rows, mid);
        }
        if (c < 0) {
            lo = mid + 1;
        }
        else {
            hi = mid;
        }
    }
    return NULL;
}

/* Returns the service with that name, or NULL. The set must be linked; it may
   be NULL. */
const gv_service_t *
GvSettings_Service(const gv_settings_t *s, gv_str_t name)
{
    return s == NULL ? NULL : find_row(s->services, name);
}

/* Returns the pool with that name, or NULL. The set must be linked; it may be
   NULL. */
const gv_pool_t *
GvSettings_Pool(const gv_settings_t *s, gv_str_t name)
{
    return s == NULL ? NULL : find_row(s->pools, name);
}

int
GvSettings_ServiceCount(const gv_settings_t *s)
{
    return s == NULL ? 0 : (int)s->services->len;
}

/* Returns the service at index i, from 0, in the order of names. */
const gv_service_t *
GvSettings_ServiceAt(const gv_settings_t *s, int i)
{
    return g_ptr_array_index(s->services, i);
}

int
GvSettings_PoolCount(const gv_settings_t *s)
{
    return s == NULL ? 0 : (int)s->pools->len;
}

/* Returns the pool at index i, from 0, in the order of names. */
const gv_pool_t *
GvSettings_PoolAt(const gv_settings_t *s, int i)
{
    return g_ptr_array_index(s->pools, i);
}

/* Returns true if path is `prefix` or lies below it. */
static bool
is_below(gv_str_t path, gv_str_t prefix)
{
    if (path.n < prefix.n || memcmp(path.p, prefix.p, prefix.n) != 0) {
        return false;
    }
    return path.n == prefix.n || prefix.p[prefix.n - 1] == '/' ||
           path.p[prefix.n] == '/' || path.p[prefix.n] == '?';
}

/* Returns true if a request may be sent more than once: because of its method,
   or because its path is at or below one of the idempotent paths. */
bool
GvService_IsIdempotent(const gv_service_t *sv, gv_str_t method, gv_str_t path)
{
    for (int i = 0; i < sv->n_methods; i++) {
        if (GvStr_Equal(sv->idempotent_methods[i], method)) {
            return true;
        }
    }
    for (int i = 0; i < sv->n_paths; i++) {
        if (is_below(path, sv->idempotent_paths[i])) {
            return true;
        }
    }
    return false;
}
