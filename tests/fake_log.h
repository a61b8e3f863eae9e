#ifndef GV_FAKE_LOG_H
#define GV_FAKE_LOG_H

#include <pthread.h>
#include <string.h>

#include "clock.h"
#include "error.h"
#include "httpserver.h"
#include "limits.h"
#include "logstore.h"
#include "pack.h"
#include "support.h"

/* The platform's log in this process, with switchable faults. */
typedef struct {
    pthread_mutex_t lock;
    gv_logstore_t *log;
    unsigned page;   /* records in one answer */
    int lose;        /* appends whose answer gets lost */
    int duplicate;   /* appends delivered twice */
    int status;      /* answered to everything unless 0 */
    gv_str_t canned; /* answered to everything unless empty */
    char addr[32];
    gv_server_t *server;
} fake_t;

static void
fake_append(fake_t *f, gv_server_request_t *rq)
{
    msgpack_unpacked un;
    msgpack_sbuffer sb;
    g_assert_cmpint(GvUnpack_Root(&un, GvServerRequest_Body(rq)), ==, GV_OK);
    uint64_t first =
        GvLogStore_AppendBatch(f->log, &un.data, GvClock_WallMs());
    if (f->duplicate > 0) {
        f->duplicate--;
        GvLogStore_AppendBatch(f->log, &un.data, GvClock_WallMs());
    }
    GvLogStore_PackAppended(first, un.data.via.array.size, &sb);
    msgpack_unpacked_destroy(&un);
    if (f->lose > 0) {
        f->lose--;
    }
    else {
        GvServerRequest_Reply(rq, 200, "", GvStr_N(sb.data, sb.size));
    }
    msgpack_sbuffer_destroy(&sb);
}

static void
fake_handle(void *user, gv_server_request_t *rq)
{
    fake_t *f = user;
    uint64_t from = 0;
    pthread_mutex_lock(&f->lock);
    if (f->status != 0) {
        GvServerRequest_ReplyText(rq, f->status, "x");
    }
    else if (f->canned.n > 0) {
        GvServerRequest_Reply(rq, 200, "", f->canned);
    }
    else if (strcmp(GvServerRequest_Path(rq), "/log/append") == 0) {
        fake_append(f, rq);
    }
    else {
        msgpack_sbuffer sb;
        msgpack_sbuffer_init(&sb);
        GvServerRequest_QueryNumber(rq, "from", INT64_MAX, &from);
        GvLogStore_Expire(f->log, GvClock_WallMs());
        GvLogStore_PackPage(f->log, from, f->page, GV_LOG_PAGE_BYTES, &sb);
        GvServerRequest_Reply(rq, 200, "", GvStr_N(sb.data, sb.size));
        msgpack_sbuffer_destroy(&sb);
    }
    bool empty = from >= GvLogStore_Next(f->log);
    pthread_mutex_unlock(&f->lock);
    g_usleep(empty ? 10000 : 0);
}

static void
fake_start(fake_t *f, uint64_t retention)
{
    memset(f, 0, sizeof *f);
    f->page = 3;
    close(bind_loopback(f->addr, sizeof f->addr));
    pthread_mutex_init(&f->lock, NULL);
    f->log = GvLogStore_New(retention, 0);
    gv_server_opts_t o = {f->addr, 16, 4 * GV_RECORD_MAX_BYTES, fake_handle,
                          f};
    g_assert_cmpint(GvServer_Start(&o, &f->server), ==, GV_OK);
}

static void
fake_stop(fake_t *f)
{
    GvServer_Stop(f->server);
    GvLogStore_Free(f->log);
    pthread_mutex_destroy(&f->lock);
}

/* Sets what everything is answered with. */
static inline void
fake_answer(fake_t *f, int status, gv_str_t canned)
{
    pthread_mutex_lock(&f->lock);
    f->status = status;
    f->canned = canned;
    pthread_mutex_unlock(&f->lock);
}

#endif
