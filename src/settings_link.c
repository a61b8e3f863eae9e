#include "error.h"
#include "settings_state.h"

/* Compares rows by name, then by file and line, so that duplicates have the
   same order, and cause the same problems, in every process. */
static int
compare_services(const void *a, const void *b)
{
    const gv_service_row_t *x = *(gv_service_row_t *const *)a;
    const gv_service_row_t *y = *(gv_service_row_t *const *)b;
    int c = GvStr_Compare(x->service.name, y->service.name);
    c = c != 0 ? c : g_strcmp0(x->file, y->file);
    return c != 0 ? c : x->line - y->line;
}

/* Like compare_services, for pools. */
static int
compare_pools(const void *a, const void *b)
{
    const gv_pool_row_t *x = *(gv_pool_row_t *const *)a;
    const gv_pool_row_t *y = *(gv_pool_row_t *const *)b;
    int c = GvStr_Compare(x->pool.name, y->pool.name);
    c = c != 0 ? c : g_strcmp0(x->file, y->file);
    return c != 0 ? c : x->line - y->line;
}

/* Checks that a service is declared once and that its pool is declared.
   previous is the row before it, or NULL. Returns the number of problems. */
static int
link_service(gv_settings_t *s, const gv_service_row_t *r,
             const gv_service_row_t *previous, gv_problems_t *problems)
{
    int n_problems = 0;
    const gv_service_t *sv = &r->service;
    if (sv->name.n == 0) {
        return 0; /* already reported by the parser */
    }
    if (previous != NULL && GvStr_Equal(previous->service.name, sv->name)) {
        GvProblems_Add(problems, r->file, r->line, "service",
                       "service %.*s is already declared in %s line %d",
                       GV_STR_ARG(sv->name), previous->file, previous->line);
        n_problems++;
    }
    if (sv->pool.n > 0 && GvSettings_Pool(s, sv->pool) == NULL) {
        GvProblems_Add(problems, r->file, r->line, "pool",
                       "pool %.*s is not declared", GV_STR_ARG(sv->pool));
        n_problems++;
    }
    return n_problems;
}

/* Checks that a pool is declared once and that its spare pool is a declared
   spare pool. previous is the row before it, or NULL. Returns the number of
   problems. */
static int
link_pool(gv_settings_t *s, const gv_pool_row_t *r,
          const gv_pool_row_t *previous, gv_problems_t *problems)
{
    int n_problems = 0;
    const gv_pool_t *p = &r->pool;
    if (p->name.n > 0 && previous != NULL &&
        GvStr_Equal(previous->pool.name, p->name)) {
        GvProblems_Add(problems, r->file, r->line, "pool",
                       "pool %.*s is already declared in %s line %d",
                       GV_STR_ARG(p->name), previous->file, previous->line);
        n_problems++;
    }
    if (p->spare.n == 0) {
        return n_problems;
    }
    const gv_pool_t *spare = GvSettings_Pool(s, p->spare);
    if (spare == NULL) {
        GvProblems_Add(problems, r->file, r->line, "spare",
                       "pool %.*s is not declared", GV_STR_ARG(p->spare));
        n_problems++;
    }
    else if (!spare->is_spare || spare == p) {
        GvProblems_Add(problems, r->file, r->line, "spare",
                       "pool %.*s is not a spare pool", GV_STR_ARG(p->spare));
        n_problems++;
    }
    return n_problems;
}

/* Sorts the set by name and checks the references between its documents.
   Returns 0, or GV_EINVAL with all problems added to problems. */
int
GvSettings_Link(gv_settings_t *s, gv_problems_t *problems)
{
    int n_problems = 0;
    g_ptr_array_sort(s->services, compare_services);
    g_ptr_array_sort(s->pools, compare_pools);
    for (unsigned i = 0; i < s->services->len; i++) {
        n_problems += link_service(
            s, g_ptr_array_index(s->services, i),
            i == 0 ? NULL : g_ptr_array_index(s->services, i - 1), problems);
    }
    for (unsigned i = 0; i < s->pools->len; i++) {
        n_problems += link_pool(
            s, g_ptr_array_index(s->pools, i),
            i == 0 ? NULL : g_ptr_array_index(s->pools, i - 1), problems);
    }
    return n_problems == 0 ? GV_OK : GV_EINVAL;
}
