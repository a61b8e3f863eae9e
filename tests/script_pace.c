#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#include "limits.h"
#include "read_pace.h"
#include "script.h"

/* Verbs for the pace of reads of the store. Model: every entry host has
   READERS followers: of the progress, of the settings, whose reads wait for
   SETTINGS_WAIT_MS, and of the partitions of accepted jobs. The store refuses
   the reads of a tenth of a second that exceed a tenth of its limit. */

enum { READERS = 10, TICK_MS = 10, WINDOW_MS = 100, SETTINGS_WAIT_MS = 800 };

typedef struct {
    gv_read_pace_t pace;
    bool asked; /* callers ask for the progress of jobs */
    int64_t due_ms[READERS];
} gv_reading_host_t;

typedef struct {
    int left; /* reads in the present window */
    int limit_per_s;
    int carried_out;
    int refused;
    GRand *random;
} gv_read_store_t;

/* Carries a read out or refuses it. */
static bool
take_read(gv_read_store_t *st)
{
    if (st->left == 0) {
        st->refused++;
        return false;
    }
    st->left--;
    st->carried_out++;
    return true;
}

/* Performs the reads of a host that are due. */
static void
step_host(gv_reading_host_t *h, gv_read_store_t *st, int64_t now)
{
    static const int intervals_ms[READERS] = {80,   50,   1500, 1500, 1500,
                                              1500, 1500, 1500, 1500, 1500};
    for (int i = 0; i < READERS; i++) {
        if (now < h->due_ms[i]) {
            continue;
        }
        int64_t end = now + TICK_MS;
        if (take_read(st)) {
            GvReadPace_Answered(&h->pace, now);
            end += i == 1 ? SETTINGS_WAIT_MS : 0;
        }
        else {
            GvReadPace_Refused(&h->pace, now);
        }
        int limited_ms = i > 1 ? 6000 : i == 0 && !h->asked ? 600 : 0;
        h->due_ms[i] =
            GvReadPace_DueMs(&h->pace, now, intervals_ms[i], limited_ms,
                             g_rand_int(st->random), end);
    }
}

/* Prints whether the store, in the second half of the time, refused few reads
   and was used, and the mean length of the intervals of hosts that callers ask
   for progress, which are all or the first ones. */
GV_VERB("read_pace", read_pace)
{
    int n = OPT("hosts", 1);
    int n_asked = MIN(OPT("asked", 10000), n);
    int64_t end = (int64_t)OPT("s", 60) * 1000;
    gv_read_store_t st = {.limit_per_s = OPT("limit", 2000),
                          .random = g_rand_new_with_seed(7)};
    gv_reading_host_t *hosts = g_new0(gv_reading_host_t, n);
    for (int i = 0; i < n_asked; i++) {
        hosts[i].asked = true;
    }
    for (int64_t now = 0; now < end; now += TICK_MS) {
        if (now % WINDOW_MS == 0) {
            st.left = st.limit_per_s * WINDOW_MS / 1000;
        }
        if (now == end / 2) {
            st.carried_out = st.refused = 0;
        }
        int first = g_rand_int_range(st.random, 0, n);
        for (int i = 0; i < n; i++) {
            step_host(&hosts[(first + i) % n], &st, now);
        }
    }
    int permille = 0;
    for (int i = 0; i < n_asked; i++) {
        permille += GvReadPace_Permille(&hosts[i].pace, end) / n_asked;
    }
    int reads = st.carried_out + st.refused;
    printf("hosts=%d refused under 5%%: %s, 60%% of the limit used: %s, "
           "progress %s\n",
           n, st.refused * 20 < reads ? "yes" : "no",
           st.carried_out / (end / 2000) * 10 > st.limit_per_s * 6 ? "yes"
                                                                   : "no",
           permille < 2500 ? "under 2.5 times" : "longer");
    g_rand_free(st.random);
    g_free(hosts);
}

/* Applies answered and refused reads ("a" or "r" and the time, ms) and prints
   the length of the intervals, in thousandths, at the end. */
GV_VERB("read_pace_after", read_pace_after)
{
    gv_read_pace_t p = {0};
    for (int i = 1; i < argc; i++) {
        int64_t at = g_ascii_strtoll(argv[i] + 1, NULL, 10);
        if (argv[i][0] == 'a') {
            GvReadPace_Answered(&p, at);
        }
        else if (argv[i][0] == 'r') {
            GvReadPace_Refused(&p, at);
        }
        else {
            printf("permille=%d\n", GvReadPace_Permille(&p, at));
        }
    }
}
