#ifndef GV_LOG_H
#define GV_LOG_H

/* Log of a daemon, for its operators. */
typedef enum { GV_LOG_ERROR, GV_LOG_WARN, GV_LOG_INFO } gv_log_level_t;

int GvLog_Open(const char *program);
void GvLog_Write(gv_log_level_t level, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void GvLog_Close(void);

#endif
