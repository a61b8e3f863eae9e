#ifndef GV_KERNEL_H
#define GV_KERNEL_H

#include <stdbool.h>
#include <stdint.h>

#include "appender.h"
#include "dispatch.h"
#include "logreader.h"
#include "nodeconf.h"
#include "peer.h"
#include "replica.h"
#include "request.h"
#include "target.h"
#include "view.h"

/* The parts of one entry daemon. Modules that need several of them get the
   kernel; the pointers are fixed between start and stop. */
typedef struct gv_kernel_s gv_kernel_t;

struct gv_kernel_s {
    gv_nodeconf_t conf; /* name, dc, region and addresses never change */
    uint64_t incarnation;
    gv_replica_t *replica;
    gv_targets_t *targets;
    gv_views_t *views;
    gv_requests_t *requests;
    gv_dispatch_t *dispatch;
    gv_peers_t *peers;
    gv_appender_t *appender;
    gv_logreader_t *reader;
    struct gv_forward_s *forward;
    struct gv_ledgersync_s *ledgersync;
    struct gv_lending_s *lending;
    struct gv_prober_s *prober;
    struct gv_maintain_s *maintain;
    struct gv_front_s *front;
    struct gv_kernel_private_s *private;
};

/* Starts every part; returns 0 or an error, after which nothing runs. Takes
   over conf. */
int GvKernel_Start(gv_nodeconf_t *conf, gv_kernel_t **out);
/* Planned stop: refuses new work as not-run, finishes running work, appends
   `leave`, then ends all threads. */
void GvKernel_Stop(gv_kernel_t *k);
/* Takes over a reloaded node file: peers only. GV_EREFUSED when a field
   differs that is fixed at start. */
int GvKernel_Reload(gv_kernel_t *k, gv_nodeconf_t *conf);
bool GvKernel_IsStopping(gv_kernel_t *k);
/* True when the daemon can never join, because a newer process has. */
bool GvKernel_HasFailed(gv_kernel_t *k);
/* True once the own join has been applied. */
bool GvKernel_IsJoined(gv_kernel_t *k);

#endif
