#ifndef GV_HEALTH_H
#define GV_HEALTH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "hostlist.h"
#include "message.h"
#include "str.h"

/* State of targets, merged from the platform's host list, this process's own
   probes and peers' reports. No I/O and no locking: the caller serialises the
   calls for a table. */

/* A target's response to a probe: "state=live boot=ID running=N slots=N". The
   state is live or leaving. */
typedef struct {
    bool leaving;
    char boot[64];
    int running;
    int slots;
} gv_health_report_t;

/* Returns 0 or GV_EINVAL. */
int GvHealth_ParseReport(gv_str_t text, gv_health_report_t *r);

typedef struct {
    gv_str_t host;
    gv_str_t boot; /* "" until known */
    bool healthy;  /* by the last probes, and live in the newest list */
    bool leaving;  /* some source reported it for this boot; stays set */
    int running;   /* requests running, from the last own probe; -1: unknown */
    /* Number of the last change that this process's probes or list found; a
       counter over all hosts of the table. 0: never probed. */
    uint64_t change_number;
} gv_health_view_t;

typedef struct gv_health_table_s gv_health_table_t;
/* Called after each change of a host's view; v is valid during the call. */
typedef void (*gv_health_changed_t)(void *user, const gv_health_view_t *v);

gv_health_table_t *GvHealth_New(gv_health_changed_t changed, void *user);
void GvHealth_Free(gv_health_table_t *t);
/* Applies a host list. Returns false, and changes nothing, unless its version
   is higher than that of every list applied before. */
bool GvHealth_OnList(gv_health_table_t *t, const gv_hostlist_t *list);
/* Applies the result of an own probe; r is NULL for a probe that got no valid
   response. */
void GvHealth_OnProbe(gv_health_table_t *t, gv_str_t host,
                      const gv_health_report_t *r);
/* Applies a report of the peer `from` about one host. A report of an older
   incarnation of the peer, or with a change number (h->seen) not higher than
   that of the last one of the same incarnation, changes nothing. */
void GvHealth_OnPeer(gv_health_table_t *t, gv_str_t from, uint64_t incarnation,
                     const gv_health_t *h);
/* Copies the view of a host; false for an unknown host. */
bool GvHealth_Get(const gv_health_table_t *t, gv_str_t host,
                  gv_health_view_t *v);
/* Removes the hosts that are not among the n given. */
void GvHealth_RetainHosts(gv_health_table_t *t, const gv_str_t *hosts, int n);
/* Appends a gv_health_t for each host whose last report is this process's own
   and whose change number is higher than `since`. Its strings stay valid until
   the next call for the table. */
void GvHealth_ListOwnReports(const gv_health_table_t *t, uint64_t since,
                             GArray *out);

/* Returns true if `self`, by rendezvous hashing, is the one of the members
   that probes the host. */
bool GvHealth_IsProber(gv_str_t host, gv_str_t self, const gv_str_t *members,
                       int n);

#endif
