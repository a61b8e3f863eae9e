/* Guards against parts of HTTP messages that crash their reader or that are
   accepted although they are incomplete: the platform's host list, a target's
   health report and a caller's ticket. The first byte selects which. */
#include <glib.h>
#include <string.h>

#include "health.h"
#include "hostlist.h"
#include "limits.h"
#include "ticket.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Asserts that an accepted list has only complete rows with valid names, and
   that a rejected one gives an error message and no rows. */
static void
check_list(gv_str_t s)
{
    char err[160] = "";
    gv_hostlist_t l = {0};
    if (GvHostList_Parse(s, &l, err, sizeof err) != 0) {
        g_assert_true(err[0] != '\0');
        g_assert_cmpint(l.n, ==, 0);
        return;
    }
    for (int i = 0; i < l.n; i++) {
        g_assert_true(GvStr_IsName(l.hosts[i].host));
        g_assert_true(GvStr_IsName(l.hosts[i].dc));
        g_assert_cmpint(l.hosts[i].slots, >=, 0);
        g_assert_cmpint(l.hosts[i].slots, <=, GV_SLOTS_MAX);
    }
    GvHostList_Clear(&l);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    gv_health_report_t r;
    gv_ticket_t t;
    if (size == 0) {
        return 0;
    }
    gv_str_t s = GvStr_N(data + 1, size - 1);
    switch (data[0] % 3) {
    case 0:
        check_list(s);
        break;
    case 1:
        if (GvHealth_ParseReport(s, &r) == 0) {
            g_assert_cmpint(r.running, >=, 0);
            g_assert_nonnull(memchr(r.boot, '\0', sizeof r.boot));
        }
        break;
    default:
        if (GvTicket_Parse(s, &t) == 0) {
            g_assert_true(GvStr_IsName(t.entry));
        }
    }
    return 0;
}
