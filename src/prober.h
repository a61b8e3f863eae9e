#ifndef GV_PROBER_H
#define GV_PROBER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "health.h"
#include "hostlist.h"
#include "message.h"

/* Threads that poll the platform's host list and probe this entry host's
   share of the targets. All functions are thread-safe. on_health is called in
   the order of the changes, on one of the prober's threads or on the caller's
   of GvProber_OnPeer or GvProber_SetTargets; it must not call the prober. */
typedef struct gv_prober_s gv_prober_t;

typedef struct {
    gv_str_t platform_addr;
    gv_str_t self; /* entry host */
    /* A target's believed state changed (see gv_health_view_t). */
    void (*on_health)(void *user, gv_str_t host, gv_str_t boot, bool healthy,
                      bool leaving, int running);
    /* A list newer than all before; valid during the call. May be NULL. */
    void (*on_list)(void *user, const gv_hostlist_t *list);
    void *user;
    /* Age at which the connection of the periodic probes is replaced; 0:
       GV_PROBE_RENEW_MS. */
    int renew_ms;
} gv_prober_opts_t;

typedef struct {
    gv_str_t host;
    gv_str_t addr;
} gv_probe_target_t;

int GvProber_Start(const gv_prober_opts_t *o, gv_prober_t **out);
/* Lets the threads end without waiting for them. */
void GvProber_RequestStop(gv_prober_t *p);
void GvProber_Stop(gv_prober_t *p);
/* Replaces the targets of this data centre. */
void GvProber_SetTargets(gv_prober_t *p, const gv_probe_target_t *targets,
                         int n);
/* Replaces the live entry hosts of this data centre; self always counts. */
void GvProber_SetMembers(gv_prober_t *p, const gv_str_t *members, int n);
/* Applies the health part of a heartbeat. */
void GvProber_OnPeer(gv_prober_t *p, gv_str_t from, uint64_t incarnation,
                     const gv_health_t *health, int n);
/* Appends a gv_health_t with owned strings (GvProber_ClearHealth) for each
   target that this process was the last to probe and whose state changed
   after `since`. */
void GvProber_ListOwnReports(gv_prober_t *p, uint64_t since, GArray *out);
void GvProber_ClearHealth(GArray *health);
/* Returns false for an unknown target; the strings of *v are empty. */
bool GvProber_Get(gv_prober_t *p, gv_str_t host, gv_health_view_t *v);
/* Newest version of the host list seen; 0 before the first. */
uint64_t GvProber_ListVersion(gv_prober_t *p);

/* Probes a target once on a new connection, on the caller's thread. Returns
   0, GV_EREFUSED for an answer other than 200, GV_EINVAL for a malformed
   report, or a connection error. */
int GvProber_Probe(gv_str_t addr, int timeout_ms, gv_health_report_t *r);

#endif
