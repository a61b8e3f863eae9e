#ifndef GV_MAINTAIN_H
#define GV_MAINTAIN_H

#include "hostlist.h"
#include "kernel.h"

/* Thread that proposes and carries out claims for waves and moves, and updates
   the hosts in the ledger from the platform's host list and the targets'
   health. */
typedef struct gv_maintain_s gv_maintain_t;

int GvMaintain_Start(gv_kernel_t *k, gv_maintain_t **out);
/* Stops the thread. GvMaintain_OnList and GvMaintain_OnHeartbeat may still be
   called until GvMaintain_Free. */
void GvMaintain_Stop(gv_maintain_t *m);
void GvMaintain_Free(gv_maintain_t *m);
/* Must be called for each host list that is newer than all before; the list is
   copied. */
void GvMaintain_OnList(gv_maintain_t *m, const gv_hostlist_t *list);
/* Must be called when a read requested at asked_ms shows that the newest list
   is still the current one. */
void GvMaintain_OnListCurrent(gv_maintain_t *m, int64_t asked_ms);
/* Must be called for each heartbeat of a peer; its loads are copied. */
void GvMaintain_OnHeartbeat(gv_maintain_t *m, gv_str_t from,
                            const gv_msg_heartbeat_t *h);

#endif
