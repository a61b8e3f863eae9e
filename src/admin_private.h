#ifndef GV_ADMIN_PRIVATE_H
#define GV_ADMIN_PRIVATE_H

#include <json-glib/json-glib.h>

#include "admin.h"

void GvJson_AddString(JsonBuilder *b, const char *name, gv_str_t s);
void GvJson_AddInt(JsonBuilder *b, const char *name, int64_t v);
void GvJson_AddNumber(JsonBuilder *b, const char *name, double v);
void GvJson_AddBool(JsonBuilder *b, const char *name, bool v);
/* Offset, settings version, digest, waves and claims. */
void GvAdmin_PutLedger(JsonBuilder *b, gv_kernel_t *k);

#endif
