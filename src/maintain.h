#ifndef GV_MAINTAIN_H
#define GV_MAINTAIN_H

#include "hostlist.h"
#include "kernel.h"

/* Thread that takes part in claims, waves and moves, and keeps the ledger's
   hosts in line with the platform's list and with the targets' health. */
typedef struct gv_maintain_s gv_maintain_t;

int GvMaintain_Start(gv_kernel_t *k, gv_maintain_t **out);
/* Ends the thread; the callbacks may still come until Free. */
void GvMaintain_Stop(gv_maintain_t *m);
void GvMaintain_Free(gv_maintain_t *m);
/* Takes a copy of a host list newer than all before. */
void GvMaintain_OnList(gv_maintain_t *m, const gv_hostlist_t *list);
/* Takes the load part of a peer's heartbeat. */
void GvMaintain_OnHeartbeat(gv_maintain_t *m, gv_str_t from,
                            const gv_msg_heartbeat_t *h);

#endif
