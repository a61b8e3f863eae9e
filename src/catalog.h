#ifndef GV_CATALOG_H
#define GV_CATALOG_H

#include "sched.h"

/* The queues and services of one version of the settings, and the routes by
   which the host and path of a request select a queue. */

typedef struct {
    gv_queue_info_t info;
    gv_str_t host;   /* that the request must name, without a port */
    gv_str_t prefix; /* with which the path of the request must begin */
} gv_route_t;

/* A client account and the keys that its callers use. */
typedef struct {
    gv_account_info_t info;
    gv_str_t *keys;
    int n_keys;
} gv_account_t;

typedef struct {
    int64_t version;
    gv_route_t *routes;
    int n_routes;
    gv_service_info_t *services;
    int n_services;
    gv_account_t *accounts;
    int n_accounts;
} gv_catalog_t;

void GvCatalog_Free(gv_catalog_t *c);
bool GvCatalog_HasService(const gv_catalog_t *c, gv_str_t service);
const gv_route_t *GvCatalog_Match(const gv_catalog_t *c, gv_str_t host,
                                  gv_str_t path);
const gv_account_t *GvCatalog_FindAccount(const gv_catalog_t *c, gv_str_t key);

#endif
