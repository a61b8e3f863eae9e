#ifndef GV_HOSTTABLE_H
#define GV_HOSTTABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "hostlist.h"
#include "httpserver.h"

/* Hosts of the platform stand-in and the versions of the list that it serves.
   Not thread-safe. The caller passes the current time. */
typedef struct gv_hosttable_s gv_hosttable_t;

/* Hosts are never removed, so that pointers to them stay valid. */
typedef struct {
    gv_listed_host_t listed; /* owned strings */
    uint64_t fence;          /* highest fencing token of an operation */
    bool rebooting;
} gv_hosttable_host_t;

/* Number of list versions kept, so that delayed and repeated lists can be
   served. */
#define GV_HOSTTABLE_LISTS_MAX 64

gv_hosttable_t *GvHostTable_New(void);
void GvHostTable_Free(gv_hosttable_t *t);
/* Adds a host or replaces its data. An empty boot keeps the stored boot
   identifier; a new target then gets "HOST-0". Returns 0 or GV_EFULL. */
int GvHostTable_Set(gv_hosttable_t *t, const gv_listed_host_t *h);
/* Finds a host for an operation and stores the operation's fencing token.
   Returns 0, GV_ENOENT if the host is unknown or gone, or GV_ESTALE if the
   token is lower than the stored one. */
int GvHostTable_CheckFence(gv_hosttable_t *t, gv_str_t name, uint64_t fence,
                           gv_hosttable_host_t **out);
/* Changes the state, and the boot identifier unless boot is empty. */
void GvHostTable_SetState(gv_hosttable_t *t, gv_hosttable_host_t *h,
                          gv_listed_state_t state, gv_str_t boot);
int GvHostTable_Count(const gv_hosttable_t *t);
gv_hosttable_host_t *GvHostTable_At(const gv_hosttable_t *t, int i);
/* Adds a list version if a host changed since the newest one. */
void GvHostTable_MakeList(gv_hosttable_t *t, int64_t now_ms);
/* Returns a reference to the newest list made at until_ms or before, or to the
   one `older` versions before it; to the oldest one kept if there is none. */
GBytes *GvHostTable_List(const gv_hosttable_t *t, int64_t until_ms,
                         uint64_t older, uint64_t *version);
/* Parses a state name; returns 0 or GV_EINVAL. */
int GvHostTable_ParseState(const char *text, gv_listed_state_t *state);

/* Parses the query parameters that describe a host; its strings point into the
   request. Returns the name of the first invalid parameter, or NULL. */
const char *GvHostTable_ParseQuery(const gv_server_request_t *rq,
                                   gv_listed_host_t *h);

#endif
