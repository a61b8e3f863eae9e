#include "maintain.h"

#include "error.h"

struct gv_maintain_s {
    gv_kernel_t *k;
};

int
GvMaintain_Start(gv_kernel_t *k, gv_maintain_t **out)
{
    *out = g_new0(gv_maintain_t, 1);
    (*out)->k = k;
    return GV_OK;
}

void
GvMaintain_Stop(gv_maintain_t *m)
{
    (void)m;
}

void
GvMaintain_Free(gv_maintain_t *m)
{
    g_free(m);
}

void
GvMaintain_OnList(gv_maintain_t *m, const gv_hostlist_t *list)
{
    (void)m;
    (void)list;
}

void
GvMaintain_OnHeartbeat(gv_maintain_t *m, gv_str_t from,
                       const gv_msg_heartbeat_t *h)
{
    (void)m;
    (void)from;
    (void)h;
}
