#include "evlog.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "counter.h"
#include "limits.h"

GV_COUNTER(lines_dropped, "log_lines_dropped_total",
           "Decision log lines dropped by the rate bound or a full pipe");

static char *node_name;
static char buffer[GV_EVLOG_BUFFER_BYTES];
static size_t used;
static int64_t second;    /* monotonic; the one that lines_left counts for */
static int lines_left[2]; /* of each kind, in this second */
static int64_t dropped;   /* lines since the last one that was written */

/* Opens the decision log of this process and makes standard output
   non-blocking. To be called once. */
void
GvEvlog_Open(const char *node)
{
    g_free(node_name);
    node_name = g_strdup(node);
    int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        (void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

/* Writes the buffer to standard output until that would block; what is left
   stays buffered. */
void
GvEvlog_Flush(void)
{
    while (used > 0) {
        ssize_t n = write(STDOUT_FILENO, buffer, used);
        if (n <= 0) {
            if (n < 0 && errno == EINTR) {
                continue;
            }
            return;
        }
        used -= (size_t)n;
        memmove(buffer, buffer + n, used);
    }
}

/* Counts one line against the limit per second of its kind. Returns false if
   the limit is reached. */
static bool
count_line(gv_evlog_kind_t kind)
{
    int64_t now = GvClock_MonoMs() / 1000;
    if (now != second) {
        second = now;
        lines_left[GV_EVLOG_ROUTINE] = GV_EVLOG_LINES_PER_S;
        lines_left[GV_EVLOG_RARE] = GV_EVLOG_RARE_LINES_PER_S;
    }
    if (lines_left[kind] == 0) {
        return false;
    }
    lines_left[kind]--;
    return true;
}

/* Adds one line to the buffer; one that is too long is cut. Does nothing
   before GvEvlog_Open, so that the library writes nothing in programs that
   embed it. */
static void
add_line(gv_evlog_kind_t kind, const char *event, const char *fmt, va_list ap)
{
    char line[GV_EVLOG_LINE_BYTES];
    if (node_name == NULL) {
        return;
    }
    int n = snprintf(line, sizeof line, "t=%lld node=%s ev=%s ",
                     (long long)GvClock_WallMs(), node_name, event);
    n += vsnprintf(line + n, sizeof line - (size_t)n, fmt, ap);
    n = MIN(n, (int)sizeof line - 32);
    if (dropped > 0) {
        n += snprintf(line + n, sizeof line - (size_t)n, " dropped=%lld",
                      (long long)dropped);
    }
    line[n++] = '\n';
    if (used + (size_t)n > sizeof buffer) {
        GvEvlog_Flush();
    }
    if (used + (size_t)n > sizeof buffer || !count_line(kind)) {
        dropped++;
        GvCounter_Add(&lines_dropped, 1);
        return;
    }
    dropped = 0;
    memcpy(buffer + used, line, (size_t)n);
    used += (size_t)n;
}

/* Writes a routine line. */
void
GvEvlog_Write(const char *event, const char *fmt, ...)
{
    va_list ap;
    va_start(ap, fmt);
    add_line(GV_EVLOG_ROUTINE, event, fmt, ap);
    va_end(ap);
}

/* Writes a line of that kind. */
void
GvEvlog_WriteKind(gv_evlog_kind_t kind, const char *event, const char *fmt,
                  ...)
{
    va_list ap;
    va_start(ap, fmt);
    add_line(kind, event, fmt, ap);
    va_end(ap);
}
