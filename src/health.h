#ifndef GV_HEALTH_H
#define GV_HEALTH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "hostlist.h"
#include "message.h"
#include "str.h"

/* What to believe about targets from the platform's list, this process's own
   probes and peers' reports. Pure; not thread-safe. */

/* A target's own health response: "state=live boot=ID running=N slots=N". */
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
    bool leaving;  /* reported for this boot by any source; sticky */
    int running;   /* from the last own probe; -1: unknown */
    uint64_t seen; /* number of this process's last change; 0: never probed */
} gv_health_view_t;

typedef struct gv_health_table_s gv_health_table_t;
/* Called for each host whose view changed; v is valid during the call. */
typedef void (*gv_health_changed_t)(void *user, const gv_health_view_t *v);

gv_health_table_t *GvHealth_New(gv_health_changed_t changed, void *user);
void GvHealth_Free(gv_health_table_t *t);
/* Returns false for a list that is not newer than the newest one seen; such
   a list changes nothing. */
bool GvHealth_OnList(gv_health_table_t *t, const gv_hostlist_t *list);
/* r is NULL for a probe without a valid response. */
void GvHealth_OnProbe(gv_health_table_t *t, gv_str_t host,
                      const gv_health_report_t *r);
/* Reports that are not newer than the last one of this peer's incarnation
   change nothing. */
void GvHealth_OnPeer(gv_health_table_t *t, gv_str_t from, uint64_t incarnation,
                     const gv_health_t *h);
/* Returns false for an unknown host. */
bool GvHealth_Get(const gv_health_table_t *t, gv_str_t host,
                  gv_health_view_t *v);
/* Forgets the hosts that keep() does not name. */
void GvHealth_RetainHosts(gv_health_table_t *t, const gv_str_t *hosts, int n);
/* Appends a gv_health_t (views, valid until the next call on t) for each host
   that this process was the last to probe and whose state changed after
   `since`. */
void GvHealth_ListOwnReports(const gv_health_table_t *t, uint64_t since,
                             GArray *out);

/* Tells whether member `self` is the one that probes the host: rendezvous
   hashing over the members. */
bool GvHealth_IsProber(gv_str_t host, gv_str_t self, const gv_str_t *members,
                       int n);

#endif
