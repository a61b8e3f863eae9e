#ifndef GV_SETTINGS_STATE_H
#define GV_SETTINGS_STATE_H

#include <stdatomic.h>

#include "settings.h"

/* Contents of gv_settings_t, shared by the settings_*.c files. */

/* A service and the location of its document, for problem reports. */
typedef struct {
    gv_service_t service;
    char *file;
    int line;
} gv_service_row_t;

/* A pool and the location of its document. */
typedef struct {
    gv_pool_t pool;
    char *file;
    int line;
} gv_pool_row_t;

struct gv_settings_s {
    atomic_int refs;
    GPtrArray *services; /* of gv_service_row_t, sorted by name when linked */
    GPtrArray *pools;    /* of gv_pool_row_t, likewise */
};

#endif
