#ifndef GV_UNSETTLED_H
#define GV_UNSETTLED_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/* Jobs whose submission has ended without a certain result: it may be stored
   for up to GV_INTAKE_LATE_MS more. At most GV_INTAKE_UNSETTLED_MAX are kept,
   the newest ones. */

typedef struct {
    GQueue entries; /* oldest first */
} gv_unsettled_t;

void GvUnsettled_Init(gv_unsettled_t *u);
void GvUnsettled_Clear(gv_unsettled_t *u);
void GvUnsettled_Add(gv_unsettled_t *u, gv_str_t id, int64_t now_ms);
bool GvUnsettled_Has(const gv_unsettled_t *u, gv_str_t id, int64_t now_ms);

#endif
