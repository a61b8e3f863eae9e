#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "health.h"
#include "hosttable.h"
#include "script.h"

/* Verbs for the health table. They print every change that it reports. */

static gv_health_table_t *table;

static void
print_view(const char *what, const gv_health_view_t *v)
{
    printf("%s %.*s boot=%.*s healthy=%d leaving=%d running=%d\n", what,
           GV_STR_ARG(v->host), GV_STR_ARG(v->boot), v->healthy, v->leaving,
           v->running);
}

static void
on_changed(void *user, const gv_health_view_t *v)
{
    (void)user;
    print_view("changed", v);
}

/* health.new: replaces the table with an empty one. */
GV_VERB("health.new", run_new)
{
    if (table != NULL) {
        GvHealth_Free(table);
    }
    table = GvHealth_New(on_changed, NULL);
}

/* health.list VERSION [HOST BOOT STATE] ...: passes the platform's host list
   to the table. */
GV_VERB("health.list", run_list)
{
    gv_listed_host_t hosts[8] = {0};
    gv_hostlist_t list = {.version = (uint64_t)atoi(argv[1]),
                          .hosts = hosts,
                          .n = (argc - 2) / 3};
    for (int i = 0; i < list.n; i++) {
        char **item = argv + 2 + 3 * i;
        hosts[i].host = GvStr_C(item[0]);
        hosts[i].boot = GvStr_C(item[1]);
        g_assert_cmpint(GvHostTable_ParseState(item[2], &hosts[i].state), ==,
                        0);
        hosts[i].slots = 8;
    }
    printf("list %s\n", GvHealth_OnList(table, &list) ? "taken" : "ignored");
}

/* health.probe HOST REPORT: passes the answer to a probe of a target to the
   table. A report that cannot be parsed, such as "fail", is a failed probe. */
GV_VERB("health.probe", run_probe)
{
    gv_health_report_t r;
    int err = GvHealth_ParseReport(GvStr_C(argv[2]), &r);
    GvHealth_OnProbe(table, GvStr_C(argv[1]), err == 0 ? &r : NULL);
}

/* health.peer FROM INCARNATION SEEN HOST BOOT HEALTHY LEAVING: passes a report
   of another entry host to the table. */
GV_VERB("health.peer", run_peer)
{
    gv_health_t h = {.host = GvStr_C(argv[4]),
                     .boot = GvStr_C(argv[5]),
                     .healthy = atoi(argv[6]) != 0,
                     .leaving = atoi(argv[7]) != 0,
                     .seen = (uint64_t)atoi(argv[3])};
    GvHealth_OnPeer(table, GvStr_C(argv[1]), (uint64_t)atoi(argv[2]), &h);
}

/* health.show HOST: prints the state of a host. */
GV_VERB("health.show", run_show)
{
    gv_health_view_t v;
    if (GvHealth_Get(table, GvStr_C(argv[1]), &v)) {
        print_view("now", &v);
    }
    else {
        printf("unknown %s\n", argv[1]);
    }
}

/* health.keep HOST ...: removes all other hosts from the table. */
GV_VERB("health.keep", run_keep)
{
    gv_str_t hosts[8] = {0};
    for (int i = 1; i < argc; i++) {
        hosts[i - 1] = GvStr_C(argv[i]);
    }
    GvHealth_RetainHosts(table, hosts, argc - 1);
}

/* health.own-reports SINCE: prints the reports of this process's own probes
   with a change number above SINCE. */
GV_VERB("health.own-reports", run_own_reports)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(gv_health_t));
    GvHealth_ListOwnReports(table, (uint64_t)atoi(argv[1]), out);
    printf("own-reports");
    for (guint i = 0; i < out->len; i++) {
        gv_health_t *h = &g_array_index(out, gv_health_t, i);
        printf(" %.*s:%d:%s", GV_STR_ARG(h->host), (int)h->seen,
               h->leaving ? "leaving" : "staying");
    }
    printf("\n");
    g_array_free(out, TRUE);
}

/* health.share HOSTS MEMBER ...: prints how many of the hosts each member
   probes; each host must have exactly one prober. */
GV_VERB("health.share", run_share)
{
    gv_str_t members[8] = {0};
    int counts[8] = {0};
    int hosts = atoi(argv[1]);
    for (int i = 2; i < argc; i++) {
        members[i - 2] = GvStr_C(argv[i]);
    }
    for (int h = 0; h < hosts; h++) {
        char name[16];
        int probers = 0;
        g_snprintf(name, sizeof name, "host-%d", h);
        for (int m = 0; m < argc - 2; m++) {
            bool own = GvHealth_IsProber(GvStr_C(name), members[m], members,
                                         argc - 2);
            counts[m] += own;
            probers += own;
        }
        g_assert_cmpint(probers, ==, 1);
    }
    printf("share");
    for (int m = 0; m < argc - 2; m++) {
        printf(" %s=%d", argv[m + 2], counts[m]);
    }
    printf("\n");
}
