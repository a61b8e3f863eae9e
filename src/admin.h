#ifndef GV_ADMIN_H
#define GV_ADMIN_H

#include "kernel.h"

/* Answers /metrics, /healthz, /v1/status, /v1/burn, POST /v1/tickets and
   DELETE /v1/requests/ID. Returns 0, or GV_ENOENT for another path, or for a
   method other than GET on the first four. */
int GvAdmin_Handle(gv_kernel_t *k, gv_str_t method, gv_str_t path,
                   gv_answer_t *a);

#endif
