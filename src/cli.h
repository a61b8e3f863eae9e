#ifndef GV_CLI_H
#define GV_CLI_H

#include <glib.h>
#include <json-glib/json-glib.h>

#include "command.h"
#include "operator.h"

/* Options, sessions and output shared by the operator commands. */

typedef struct {
    char *platform; /* address, or NULL */
    char *entry;    /* address, or NULL */
    int timeout_s;
    gboolean json;
} gv_cli_t;

/* extra lists the command's own options, ended by an empty entry; NULL if it
   has none. Returns GV_EXIT_OK or GV_EXIT_USAGE. */
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
/* Fetches a JSON page of the entry host. Returns NULL after printing an error
   if that fails. */
JsonNode *GvCli_Get(const gv_cli_t *c, const char *path);
void GvCli_Print(const gv_cli_t *c, JsonNode *root);
void GvCli_PrintProblems(const gv_cli_t *c, const gv_problems_t *problems);
/* Builds a status page from the ledger, for use in place of the entry host's
   page. */
JsonNode *GvCli_LedgerStatus(const gv_ledger_t *l);

#endif
