#ifndef GV_APPENDER_H
#define GV_APPENDER_H

#include "ledger.h"

/* Thread that appends this process's records to the log. One batch is in
   progress at a time; it is repeated unchanged until its outcome is known. */
typedef struct gv_appender_s gv_appender_t;

typedef struct {
    gv_str_t platform_addr;
    gv_str_t origin;
    uint64_t incarnation;
} gv_appender_opts_t;

/* Called exactly once per record. err is 0 with the ledger's verdict in v;
   GV_ETIMEDOUT if the outcome is unknown and the record may still take effect;
   GV_EREFUSED if the record is not in the log and never will be. */
typedef void (*gv_append_done_t)(void *user, int err, const gv_verdict_t *v);

int GvAppender_Start(const gv_appender_opts_t *o, gv_appender_t **out);
/* Asks the thread to end without waiting for it. */
void GvAppender_Halt(gv_appender_t *a);
void GvAppender_Stop(gv_appender_t *a);
/* Queues one record of the given kind; payload is already packed. done may be
   NULL; it is not called when an error is returned. Returns 0, GV_EINVAL,
   GV_ETOOBIG, GV_EFULL or GV_ESTOPPED. */
int GvAppender_Submit(gv_appender_t *a, const char *kind, gv_str_t payload,
                      int timeout_ms, gv_append_done_t done, void *user);
/* Must be called for every verdict of the log reader. */
void GvAppender_OnVerdict(gv_appender_t *a, const gv_verdict_t *v);

#endif
