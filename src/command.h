#ifndef GV_COMMAND_H
#define GV_COMMAND_H

#include "registry.h"

/* Exit codes of the gypsumvalve command line. */
enum {
    GV_EXIT_OK = 0,
    GV_EXIT_USAGE = 2,
    GV_EXIT_INVALID = 3,     /* settings errors */
    GV_EXIT_REJECTED = 4,    /* the ledger rejected the record */
    GV_EXIT_UNREACHABLE = 5, /* platform or entry host not reached */
    GV_EXIT_UNKNOWN = 6      /* at the deadline, not known whether appended */
};

/* Plug-in: one operator command. argv[0] is the command's name. */
typedef struct {
    gv_plugin_t plugin;
    const char *summary;
    int (*run)(int argc, char **argv);
} gv_command_t;

#endif
