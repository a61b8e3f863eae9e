#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "body_budget.h"
#include "error.h"
#include "script.h"

/* Verbs for the memory of request bodies. Connections have names of one
   letter; their descriptors are the letters' codes. Sizes are in KB. */

static gv_body_budget_t *budget;
static gv_body_conn_t *conns[128];

#define KB        ((size_t)1024)
#define CONN(arg) conns[(guchar)(arg)[0] % G_N_ELEMENTS(conns)]

GV_VERB("body_limits", body_limits)
{
    gv_body_budget_opts_t o = GvBodyBudget_Limits(
        OPT("memory_mb", 160), OPT("fds", 4100), OPT("connections", 1500));
    printf("bodies=%zuK connections=%d waiting=%d\n", o.bytes_max / KB,
           o.connections_max, o.backlog);
}

GV_VERB("body_new", body_new)
{
    for (size_t i = 0; i < G_N_ELEMENTS(conns); i++) {
        conns[i] = NULL;
    }
    GvBodyBudget_Free(budget);
    gv_body_budget_opts_t o = {.bytes_max = (size_t)OPT("kb", 1024) * KB,
                               .connections_max = OPT("connections", 100)};
    budget = GvBodyBudget_New(&o);
}

/* body_open NAMES MS */
GV_VERB("body_open", body_open)
{
    for (const char *p = argv[1]; *p != '\0'; p++) {
        CONN(p) = GvBodyBudget_Open(budget, *p, (int64_t)NUM(2));
    }
}

/* body_begin NAMES MS KB: requests begin and reserve this much. */
GV_VERB("body_begin", body_begin)
{
    for (const char *p = argv[1]; *p != '\0'; p++) {
        bool open = GvBodyBudget_Begin(CONN(p), (int64_t)NUM(2));
        int rc = open ? GvBodyBudget_Reserve(CONN(p), NUM(3) * KB) : GV_ECONN;
        printf("%c: %s\n", *p, rc == GV_OK ? "ok" : Gv_StrError(rc));
    }
}

/* body_grow NAME KB: a body of unknown length arrives, so much of it now. */
GV_VERB("body_grow", body_grow)
{
    size_t size = GvBodyBudget_Size(NUM(2) * KB);
    printf("buffer=%zuK ", size / KB);
    bool open = GvBodyBudget_Receive(CONN(argv[1]), NUM(2) * KB);
    int rc = open ? GvBodyBudget_Reserve(CONN(argv[1]), size) : GV_ECONN;
    printf("%s\n", rc == GV_OK ? "ok" : Gv_StrError(rc));
}

/* body_receive NAME KB */
GV_VERB("body_receive", body_receive)
{
    bool open = GvBodyBudget_Receive(CONN(argv[1]), NUM(2) * KB);
    printf("%s\n", open ? "ok" : "closing");
}

GV_VERB("body_complete", body_complete)
{
    bool open = GvBodyBudget_Complete(CONN(argv[1]));
    printf("%s\n", open ? "ok" : "closing");
}

/* body_answer NAMES MS KB [sent=KB]: the requests get responses of this size,
   of which the callers take `sent`. */
GV_VERB("body_answer", body_answer)
{
    for (const char *p = argv[1]; *p != '\0'; p++) {
        int rc = GvBodyBudget_Answer(CONN(p), NUM(3) * KB);
        bool closes = GvBodyBudget_Respond(CONN(p), (int64_t)NUM(2));
        GvBodyBudget_Sent(CONN(p), (size_t)OPT("sent", 0) * KB);
        printf("%c: %s%s\n", *p, rc == GV_OK ? "ok" : Gv_StrError(rc),
               closes ? ", closes" : "");
    }
}

/* body_end NAME MS */
GV_VERB("body_end", body_end)
{
    GvBodyBudget_End(CONN(argv[1]), (int64_t)NUM(2));
}

GV_VERB("body_release", body_release)
{
    GvBodyBudget_Release(CONN(argv[1]));
}

/* body_closed NAMES */
GV_VERB("body_closed", body_closed)
{
    for (const char *p = argv[1]; *p != '\0'; p++) {
        GvBodyBudget_Close(CONN(p));
        CONN(p) = NULL;
    }
}

/* body_step MS: prints the connections that are closed now. */
GV_VERB("body_step", body_step)
{
    int fd;
    printf("close");
    while ((fd = GvBodyBudget_NextToClose(budget, (int64_t)NUM(1))) >= 0) {
        printf(" %c", fd);
    }
    printf("; connections=%d bytes=%zuK\n", GvBodyBudget_Connections(budget),
           GvBodyBudget_Bytes(budget) / KB);
}
