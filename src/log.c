#include "log.h"

#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <time.h>

#include "error.h"

static log4c_category_t *category;

/* Formats a log event as "date level category message", in UTC. */
static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *ev)
{
    static _Thread_local char line[1200];
    (void)layout;
    time_t now = ev->evt_timestamp.tv_sec;
    struct tm tm;
    gmtime_r(&now, &tm);
    char date[32];
    strftime(date, sizeof date, "%Y-%m-%dT%H:%M:%S", &tm);
    snprintf(line, sizeof line, "%s.%03ldZ %s %s %s\n", date,
             (long)ev->evt_timestamp.tv_usec / 1000,
             log4c_priority_to_string(ev->evt_priority), ev->evt_category,
             ev->evt_msg);
    return line;
}

static const log4c_layout_type_t line_layout = {"gv_line", format_line};

/* Makes GvLog_Write write to standard error through log4c, with `program` as
   the category. Must be called before other threads start. Returns 0 or
   GV_EIO. */
int
GvLog_Open(const char *program)
{
    log4c_layout_type_set(&line_layout);
    if (log4c_init() != 0) {
        return GV_EIO;
    }
    category = log4c_category_get(program);
    log4c_layout_t *layout = log4c_layout_get("gv_layout");
    log4c_layout_set_type(layout, &line_layout);
    log4c_appender_t *app = log4c_appender_get("stderr");
    log4c_appender_set_type(app, log4c_appender_type_get("stream"));
    log4c_appender_set_layout(app, layout);
    log4c_category_set_appender(category, app);
    log4c_category_set_priority(category, LOG4C_PRIORITY_INFO);
    log4c_category_set_additivity(category, 0);
    return GV_OK;
}

/* Writes one log line, truncated to 999 bytes. Does nothing before GvLog_Open,
   so that the library writes nothing in programs that embed it. */
void
GvLog_Write(gv_log_level_t level, const char *fmt, ...)
{
    static const int priority[] = {LOG4C_PRIORITY_ERROR, LOG4C_PRIORITY_WARN,
                                   LOG4C_PRIORITY_INFO};
    if (category == NULL) {
        return;
    }
    char text[1000];
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(text, sizeof text, fmt, ap);
    va_end(ap);
    log4c_category_log(category, priority[level], "%s", text);
}

/* Releases the state of log4c. GvLog_Write does nothing afterwards. */
void
GvLog_Close(void)
{
    category = NULL;
    log4c_fini();
}
