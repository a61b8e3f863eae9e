#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "maintain_plan.h"
#include "script.h"

/* step granted|clear|stopping [probes=N running=N halted=1 waived=1 drained=1
   rebooted=1 reboot_ms=N new_boot=1 leaving=1 readied=1]: prints the next step
   of the holder of a maintenance claim in this phase. Without running= the
   last probe got no report; see gv_claim_facts_t for the others. */
GV_VERB("step", verb_step)
{
    static const char *const names[] = {"wait",    "probe",  "act",
                                        "drain",   "reboot", "ready",
                                        "healthy", "failed", "cancelled"};
    const char *running = GvScript_Option(argc, argv, "running", NULL);
    gv_claim_facts_t f = {
        .phase =
            (gv_claim_phase_t)INDEX(argv[1], "granted", "clear", "stopping"),
        .wave_running = OPT("halted", 0) == 0,
        .waived = OPT("waived", 0) == 1,
        .probes = OPT("probes", 0),
        .reported = running != NULL,
        .running = OPT("running", 0),
        .boot_changed = OPT("new_boot", 0) == 1,
        .leaving = OPT("leaving", 0) == 1,
        .drained = OPT("drained", 0) == 1,
        .reboot_requested = OPT("rebooted", 0) == 1,
        .reboot_ms = OPT("reboot_ms", 0),
        .readied = OPT("readied", 0) == 1,
    };
    for (int i = 1; i < argc; i++) {
        printf("%s ", argv[i]);
    }
    printf("-> %s\n", names[GvMaintain_NextStep(&f)]);
}

/* report KNOWN LISTED HEALTH MS [undeclared]: prints what is to be reported
   about a host. KNOWN is its state in the ledger: none, up, failed or stopping
   (under a claim). LISTED is its state in the platform's list: none, live,
   leaving or gone. Both may have ",BOOT" appended. HEALTH is healthy or not,
   since MS. A fifth argument: "undeclared", the settings lack its pool;
   "older", the list was requested before the ledger had this boot. */
GV_VERB("report", verb_report)
{
    static const char *const names[] = {"none", "add",    "change",
                                        "gone", "failed", "up"};
    gv_claim_t claim = {.phase = GV_PHASE_STOPPING};
    char **known = g_strsplit(argv[1], ",", 2);
    char **listed = g_strsplit(argv[2], ",", 2);
    gv_ledger_host_t k = {
        .addr = GV_STR("a:1"),
        .boot = GvStr_C(known[1] != NULL ? known[1] : ""),
        .state = strcmp(known[0], "failed") == 0 ? GV_HOST_FAILED : GV_HOST_UP,
        .claim = strcmp(known[0], "stopping") == 0 ? &claim : NULL,
    };
    gv_listed_host_t l = {
        .addr = GV_STR("a:1"),
        .boot = GvStr_C(listed[1] != NULL ? listed[1] : ""),
        .state = strcmp(listed[0], "live") == 0      ? GV_LISTED_LIVE
                 : strcmp(listed[0], "leaving") == 0 ? GV_LISTED_LEAVING
                                                     : GV_LISTED_GONE,
    };
    const char *word = argc < 6 ? "" : argv[5];
    gv_host_facts_t f = {
        .known = strcmp(known[0], "none") == 0 ? NULL : &k,
        .listed = strcmp(listed[0], "none") == 0 ? NULL : &l,
        .list_older = strcmp(word, "older") == 0,
        .healthy = strcmp(argv[3], "healthy") == 0,
        .health_ms = atol(argv[4]),
        .pool_declared = strcmp(word, "undeclared") != 0,
    };
    gv_report_t r = GvMaintain_Report(&f);
    printf("%s %s %s %s -> %s\n", argv[1], argv[2], argv[3], argv[4],
           names[r]);
    g_strfreev(known);
    g_strfreev(listed);
}
