#ifndef GV_SETTINGS_STATE_H
#define GV_SETTINGS_STATE_H

#include <stdatomic.h>

#include "settings.h"

/* Inside of gv_settings_t, shared by the settings files. */

/* A service or pool with the place of its document, for link errors. */
typedef struct {
    gv_service_t service;
    char *file;
    int line;
} gv_service_row_t;

typedef struct {
    gv_pool_t pool;
    char *file;
    int line;
} gv_pool_row_t;

struct gv_settings_s {
    atomic_int refs;
    GPtrArray *services; /* gv_service_row_t, sorted by name once linked */
    GPtrArray *pools;    /* gv_pool_row_t, likewise */
};

#endif
