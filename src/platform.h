#ifndef GV_PLATFORM_H
#define GV_PLATFORM_H

#include <stdint.h>

#include "hostlist.h"
#include "message.h"
#include "str.h"

/* Client of the platform's log, host list and host operations. HTTP:
   POST /log/append      msgpack [bin, ...]      -> [first offset, count]
   GET  /log/read?from=N&max=M&wait_ms=W
        -> [first retained, next, retention_ms, [[offset, append_ms, bin]...]]
   GET  /hosts?known=V   -> see hostlist.h; 204 when V is the version that
        would be served
   POST /hosts/drain|reboot|ready?host=H&fence=N -> 200, or 409 for an older
        fence
   Not thread-safe: one instance for each thread. */
typedef struct gv_platform_s gv_platform_t;

typedef struct {
    uint64_t first; /* first retained offset */
    uint64_t next;  /* offset after the last record of the log */
    int64_t retention_ms;
    gv_raw_record_t *records;
    int n_records;
    void *buffer; /* buffer behind the records */
} gv_log_page_t;

gv_platform_t *GvPlatform_New(gv_str_t addr);
void GvPlatform_Free(gv_platform_t *p);
/* Returns 0; GV_ECONN or GV_ETIMEDOUT leave the fate of the records unknown
   unless *sent is false. */
int GvPlatform_Append(gv_platform_t *p, const gv_str_t *records, int n,
                      uint64_t *first, bool *sent);
/* Returns 0, GV_EGONE when `from` is below the first retained offset
   (page->first and page->next are set), or a connection error. */
int GvPlatform_Read(gv_platform_t *p, uint64_t from, int max, int wait_ms,
                    gv_log_page_t *page);
void GvPlatform_ClearPage(gv_log_page_t *page);
int GvPlatform_Hosts(gv_platform_t *p, gv_hostlist_t *list);
/* As above; returns 1 and an empty list when the platform has no other list
   than version `known`. A list of the target size takes some 400 KB. */
int GvPlatform_HostsSince(gv_platform_t *p, uint64_t known,
                          gv_hostlist_t *list);
typedef enum {
    GV_HOSTOP_DRAIN,
    GV_HOSTOP_REBOOT,
    GV_HOSTOP_READY
} gv_hostop_t;
/* GV_ESTALE: the platform has seen a higher fence for the host. */
int GvPlatform_HostOp(gv_platform_t *p, gv_hostop_t op, gv_str_t host,
                      uint64_t fence);

#endif
