#ifndef GV_STORE_RESULT_H
#define GV_STORE_RESULT_H

#include <stdint.h>

/* What became of an append to the store. */
typedef enum {
    GV_STORE_DONE,
    GV_STORE_END_CHANGED, /* nothing done: the partition ends elsewhere */
    GV_STORE_FENCED,      /* nothing done: a higher epoch was seen */
    GV_STORE_SEQUENCE,    /* nothing done: another sequence number is next */
    GV_STORE_BUSY,        /* nothing done */
    GV_STORE_UNREACHABLE, /* nothing sent */
    GV_STORE_UNKNOWN      /* it may be done, or be done later */
} gv_store_result_t;

typedef struct {
    gv_store_result_t result;
    uint64_t end;      /* offset after the last record; with DONE and MOVED */
    uint64_t expected; /* with SEQUENCE */
} gv_append_answer_t;

#endif
