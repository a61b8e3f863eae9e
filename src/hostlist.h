#ifndef GV_HOSTLIST_H
#define GV_HOSTLIST_H

#include <stdint.h>

#include "str.h"

/* The platform's list of hosts and their states. Body: msgpack array of
   [version, [[host, dc, rack, addr, slots, pool, state, boot], ...]]. Entry
   hosts are listed with pool "" and slots 0. */

typedef enum {
    GV_LISTED_LIVE,
    GV_LISTED_LEAVING,
    GV_LISTED_GONE
} gv_listed_state_t;

typedef struct {
    gv_str_t host;
    gv_str_t dc;
    gv_str_t rack;
    gv_str_t addr;
    gv_str_t pool; /* used if the ledger does not have the host yet */
    gv_str_t boot; /* boot identifier, or "" */
    int slots;
    gv_listed_state_t state;
} gv_listed_host_t;

typedef struct {
    uint64_t version;
    int64_t asked_ms; /* when it was requested, monotonic; not in the body */
    gv_listed_host_t *hosts;
    int n;
} gv_hostlist_t;

/* Returns 0, or GV_EINVAL with the item and field named in err. */
int GvHostList_Parse(gv_str_t bytes, gv_hostlist_t *list, char *err, size_t n);
void GvHostList_Clear(gv_hostlist_t *list);

#endif
