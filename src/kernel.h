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

/* One entry daemon: its settings and modules. Modules that need several others
   get a pointer to this; its pointers do not change between start and stop. */
typedef struct gv_kernel_s gv_kernel_t;

struct gv_kernel_s {
    gv_nodeconf_t conf; /* as read at the start; not changed by a reload */
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

/* Starts a daemon. Takes ownership of conf. Returns 0, or an error after which
   nothing runs. */
int GvKernel_Start(gv_nodeconf_t *conf, gv_kernel_t **out);
/* Planned stop: refuses new requests as not-run, finishes those in progress,
   appends `leave`, then ends all threads and frees k. */
void GvKernel_Stop(gv_kernel_t *k);
/* Applies the peers of a reloaded node file. Returns GV_EREFUSED, with nothing
   changed, when a field differs that is fixed at start. */
int GvKernel_Reload(gv_kernel_t *k, gv_nodeconf_t *conf);
/* Returns true if a planned stop is in progress. */
bool GvKernel_IsStopping(gv_kernel_t *k);
/* Returns true if the daemon must end because a newer process has joined under
   its name, so that it can never join. */
bool GvKernel_HasFailed(gv_kernel_t *k);
/* Returns true if this daemon's `join` has been applied. */
bool GvKernel_IsJoined(gv_kernel_t *k);

#endif
