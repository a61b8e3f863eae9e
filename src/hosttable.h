#ifndef GV_HOSTTABLE_H
#define GV_HOSTTABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "hostlist.h"
#include "httpserver.h"

/* Hosts of the platform stand-in with the versions of their list. Not
   thread-safe. Times are passed in. */
typedef struct gv_hosttable_s gv_hosttable_t;

/* Hosts are never removed, so that pointers to them stay valid. */
typedef struct {
    gv_listed_host_t listed; /* owned strings */
    uint64_t fence;          /* highest seen */
    bool rebooting;
} gv_hosttable_host_t;

/* Newest list versions kept for lag and repetition. */
#define GV_HOSTTABLE_LISTS_MAX 64

gv_hosttable_t *GvHostTable_New(void);
void GvHostTable_Free(gv_hosttable_t *t);
/* Adds a host or replaces its data; an empty boot keeps the known one, and
   for a new target stands for "HOST-0". Returns 0 or GV_EFULL. */
int GvHostTable_Set(gv_hosttable_t *t, const gv_listed_host_t *h);
/* Finds a host for an operation and notes its fence. Returns 0, GV_ENOENT or
   GV_ESTALE for a fence lower than the highest seen. */
int GvHostTable_CheckFence(gv_hosttable_t *t, gv_str_t name, uint64_t fence,
                           gv_hosttable_host_t **out);
/* Changes the state, and the boot identifier unless boot is empty. */
void GvHostTable_SetState(gv_hosttable_t *t, gv_hosttable_host_t *h,
                          gv_listed_state_t state, gv_str_t boot);
int GvHostTable_Count(const gv_hosttable_t *t);
gv_hosttable_host_t *GvHostTable_At(const gv_hosttable_t *t, int i);
/* Adds a list version if a host changed since the newest one. */
void GvHostTable_MakeList(gv_hosttable_t *t, int64_t now_ms);
/* Returns the newest list made at until_ms or before, or the one `older`
   versions before it; the oldest kept one if there is none. */
GBytes *GvHostTable_List(const gv_hosttable_t *t, int64_t until_ms,
                         uint64_t older, uint64_t *version);
/* Reads a state name; returns 0 or GV_EINVAL. */
int GvHostTable_ParseState(const char *text, gv_listed_state_t *state);

/* Reads the query parameters that describe a host, as views. Returns the name
   of the first invalid one, or NULL. */
const char *GvHostTable_ParseQuery(const gv_server_request_t *rq,
                                   gv_listed_host_t *h);

#endif
