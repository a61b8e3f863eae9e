#ifndef GV_PLATFORM_H
#define GV_PLATFORM_H

#include <stdint.h>

#include "hostlist.h"
#include "message.h"
#include "str.h"

/* Client of the platform's log, host list and host operations. Requests and
   responses (HTTP):
   POST /log/append      msgpack [bin, ...]      -> [first offset, count]
   GET  /log/read?from=N&max=M&wait_ms=W
        -> [first retained, next, retention_ms, [[offset, append_ms, bin]...]]
   GET  /hosts?known=V   -> see hostlist.h; 204 if the newest list has
        version V
   POST /hosts/drain|reboot|ready?host=H&fence=N -> 200, or 409 if a higher
        fencing token than N was used for the host
   Not thread-safe: one instance for each thread. */
typedef struct gv_platform_s gv_platform_t;

typedef struct {
    uint64_t first; /* offset of the first retained record */
    uint64_t next;  /* offset after that of the log's last record */
    int64_t retention_ms;
    gv_raw_record_t *records;
    int n_records;
    void *buffer; /* memory to which the records refer */
} gv_log_page_t;

gv_platform_t *GvPlatform_New(gv_str_t addr);
void GvPlatform_Free(gv_platform_t *p);
/* Returns 0 with the offset of the first record, or an error. After GV_ECONN,
   GV_ETIMEDOUT or GV_EIO the records may have been appended, unless *sent is
   false. */
int GvPlatform_Append(gv_platform_t *p, const gv_str_t *records, int n,
                      uint64_t *first, bool *sent);
/* Returns 0, GV_EGONE when `from` is below the first retained offset
   (page->first and page->next are set), GV_EIO for a malformed response, or a
   connection error. */
int GvPlatform_Read(gv_platform_t *p, uint64_t from, int max, int wait_ms,
                    gv_log_page_t *page);
void GvPlatform_ClearPage(gv_log_page_t *page);
/* Reads the host list. Returns 0, GV_EIO for a malformed list, or a connection
   error. */
int GvPlatform_Hosts(gv_platform_t *p, gv_hostlist_t *list);
enum { GV_PLATFORM_UNCHANGED = 1 };
/* As GvPlatform_Hosts, but returns GV_PLATFORM_UNCHANGED and an empty list if
   the platform's newest list has the version `known`. This saves the transfer
   of a whole list, about 400 KB at the fleet size this program is made for. */
int GvPlatform_HostsSince(gv_platform_t *p, uint64_t known,
                          gv_hostlist_t *list);
typedef enum {
    GV_HOSTOP_DRAIN,
    GV_HOSTOP_REBOOT,
    GV_HOSTOP_READY
} gv_hostop_t;
/* Returns 0 or an error; GV_ESTALE means that a higher fencing token than
   fence was used for the host. */
int GvPlatform_HostOp(gv_platform_t *p, gv_hostop_t op, gv_str_t host,
                      uint64_t fence);

#endif
