#ifndef GV_PROBER_H
#define GV_PROBER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "health.h"
#include "hostlist.h"
#include "message.h"

/* Threads that read the platform's host list and probe the targets that
   GvHealth_IsProber assigns to this entry host. All functions are thread-safe.
   on_health is called in the order of the changes, on a thread of the prober
   or on the thread that calls GvProber_OnPeer or GvProber_SetTargets; it must
   not call the prober. */
typedef struct gv_prober_s gv_prober_t;

typedef struct {
    gv_str_t platform_addr;
    gv_str_t self; /* name of this entry host */
    /* Called when a target's state changed; see gv_health_view_t. */
    void (*on_health)(void *user, gv_str_t host, gv_str_t boot, bool healthy,
                      bool leaving, int running);
    /* Called for each host list newer than all before; the list is valid
       during the call. May be NULL. */
    void (*on_list)(void *user, const gv_hostlist_t *list);
    /* Called when a read shows that the newest list is still the current one.
       May be NULL. */
    void (*on_list_current)(void *user, int64_t asked_ms);
    void *user;
    /* Age at which a target's kept connection is replaced; 0:
       GV_PROBE_RENEW_MS. */
    int renew_ms;
} gv_prober_opts_t;

typedef struct {
    gv_str_t host;
    gv_str_t addr;
} gv_probe_target_t;

/* Starts the threads. Returns 0, or GV_EIO if one cannot be started. */
int GvProber_Start(const gv_prober_opts_t *o, gv_prober_t **out);
/* Makes the threads end, without waiting for them. */
void GvProber_RequestStop(gv_prober_t *p);
/* Waits until the threads have ended, then frees p. */
void GvProber_Stop(gv_prober_t *p);
/* Replaces the targets of this data centre. */
void GvProber_SetTargets(gv_prober_t *p, const gv_probe_target_t *targets,
                         int n);
/* Replaces the names of the live entry hosts of this data centre, which share
   the probing. self counts also if it is not among them. */
void GvProber_SetMembers(gv_prober_t *p, const gv_str_t *members, int n);
/* Applies the n health reports in a heartbeat of the peer `from`. */
void GvProber_OnPeer(gv_prober_t *p, gv_str_t from, uint64_t incarnation,
                     const gv_health_t *health, int n);
/* Appends what GvHealth_ListOwnReports lists, with copied strings, which
   GvProber_ClearHealth frees. */
void GvProber_ListOwnReports(gv_prober_t *p, uint64_t since, GArray *out);
/* Frees the strings of an array of gv_health_t and empties it. */
void GvProber_ClearHealth(GArray *health);
/* Copies a target's state, with empty strings; false for an unknown target. */
bool GvProber_Get(gv_prober_t *p, gv_str_t host, gv_health_view_t *v);
/* Returns the version of the newest host list read; 0 before the first. */
uint64_t GvProber_ListVersion(gv_prober_t *p);

/* Probes a target once on a new connection, on the caller's thread. Returns 0,
   GV_EREFUSED for a status other than 200, GV_EINVAL for a malformed report,
   or an error of GvHttp_Do. */
int GvProber_Probe(gv_str_t addr, int timeout_ms, gv_health_report_t *r);

#endif
