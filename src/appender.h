#ifndef GV_APPENDER_H
#define GV_APPENDER_H

#include "ledger.h"

/* Thread that appends this process's records to the log, one batch
   outstanding at a time, repeated unchanged until its fate is known. */
typedef struct gv_appender_s gv_appender_t;

typedef struct {
    gv_str_t platform_addr;
    gv_str_t origin;
    uint64_t incarnation;
} gv_appender_opts_t;

/* Called exactly once. err 0: v is the ledger's verdict. GV_ETIMEDOUT: fate
   unknown, the record may still take effect. GV_EREFUSED: certainly never
   sent. */
typedef void (*gv_append_done_t)(void *user, int err, const gv_verdict_t *v);

int GvAppender_Start(const gv_appender_opts_t *o, gv_appender_t **out);
/* Lets the thread end without waiting for it. */
void GvAppender_Halt(gv_appender_t *a);
void GvAppender_Stop(gv_appender_t *a);
/* Queues one record of that kind with an already packed payload. done may be
   NULL. Returns 0 or GV_EFULL. */
int GvAppender_Submit(gv_appender_t *a, const char *kind, gv_str_t payload,
                      int timeout_ms, gv_append_done_t done, void *user);
/* To be called for every verdict of the log reader. */
void GvAppender_OnVerdict(gv_appender_t *a, const gv_verdict_t *v);

#endif
