#include "catalog.h"

#include <string.h>

/* Frees a catalog; NULL is allowed. */
void
GvCatalog_Free(gv_catalog_t *c)
{
    if (c == NULL) {
        return;
    }
    for (int i = 0; i < c->n_routes; i++) {
        GvStr_Free(&c->routes[i].info.name);
        GvStr_Free(&c->routes[i].info.service);
        GvStr_Free(&c->routes[i].host);
        GvStr_Free(&c->routes[i].prefix);
    }
    for (int i = 0; i < c->n_services; i++) {
        GvStr_Free(&c->services[i].name);
    }
    for (int i = 0; i < c->n_accounts; i++) {
        gv_account_t *a = &c->accounts[i];
        for (int k = 0; k < a->n_keys; k++) {
            GvStr_Free(&a->keys[k]);
        }
        g_free(a->keys);
        GvStr_Free(&a->info.name);
    }
    g_free(c->accounts);
    g_free(c->routes);
    g_free(c->services);
    g_free(c);
}

/* Returns true if the settings name the service, by itself or in a route. */
bool
GvCatalog_HasService(const gv_catalog_t *c, gv_str_t service)
{
    for (int i = 0; i < c->n_services; i++) {
        if (GvStr_Equal(c->services[i].name, service)) {
            return true;
        }
    }
    for (int i = 0; i < c->n_routes; i++) {
        if (GvStr_Equal(c->routes[i].info.service, service)) {
            return true;
        }
    }
    return false;
}

/* Host names are compared without regard to upper and lower case. */
static bool
same_host(gv_str_t a, gv_str_t b)
{
    return a.n == b.n && g_ascii_strncasecmp(a.p, b.p, a.n) == 0;
}

/* Returns the route of this host with the longest prefix that the path begins
   with, or NULL if there is none. A port in the host is ignored. */
const gv_route_t *
GvCatalog_Match(const gv_catalog_t *c, gv_str_t host, gv_str_t path)
{
    const gv_route_t *best = NULL;
    const char *colon = memchr(host.p, ':', host.n);
    if (colon != NULL) {
        host.n = (size_t)(colon - host.p);
    }
    for (int i = 0; i < c->n_routes; i++) {
        const gv_route_t *r = &c->routes[i];
        if (same_host(r->host, host) && r->prefix.n <= path.n &&
            memcmp(r->prefix.p, path.p, r->prefix.n) == 0 &&
            (best == NULL || r->prefix.n > best->prefix.n)) {
            best = r;
        }
    }
    return best;
}

/* Returns the account that has the key, or NULL. */
const gv_account_t *
GvCatalog_FindAccount(const gv_catalog_t *c, gv_str_t key)
{
    for (int i = 0; key.n > 0 && i < c->n_accounts; i++) {
        for (int k = 0; k < c->accounts[i].n_keys; k++) {
            if (GvStr_Equal(c->accounts[i].keys[k], key)) {
                return &c->accounts[i];
            }
        }
    }
    return NULL;
}
