#ifndef GV_CLI_H
#define GV_CLI_H

#include <glib.h>
#include <json-glib/json-glib.h>

#include "command.h"
#include "operator.h"

/* What the operator commands share: options, sessions and output. */

typedef struct {
    char *platform; /* address, or NULL */
    char *entry;    /* address, or NULL */
    int timeout_s;
    gboolean json;
} gv_cli_t;

/* The commands' options besides the shared ones are an array of GOptionEntry,
   or NULL. Returns GV_EXIT_OK or GV_EXIT_USAGE. */
int GvCli_Parse(gv_cli_t *c, const char *params, const char *summary,
                const GOptionEntry *extra, int *argc, char ***argv);
void GvCli_Clear(gv_cli_t *c);
int GvCli_Usage(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
int GvCli_Open(const gv_cli_t *c, gv_operator_t **op);
/* Appends the payload, which it releases, and prints the verdict. */
int GvCli_Submit(const gv_cli_t *c, gv_operator_t *op, const char *kind,
                 msgpack_sbuffer *payload, const char *what);
int GvCli_Refused(const gv_cli_t *c, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/* Reads a page of an entry host. NULL with a message when not reached. */
JsonNode *GvCli_Get(const gv_cli_t *c, const char *path);
void GvCli_Print(const gv_cli_t *c, JsonNode *root);
void GvCli_PrintProblems(const gv_cli_t *c, const gv_problems_t *ps);
/* A page of the same form, from the ledger. */
JsonNode *GvCli_LedgerStatus(const gv_ledger_t *l);

#endif
