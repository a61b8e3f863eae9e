#ifndef GV_STORE_RESULT_H
#define GV_STORE_RESULT_H

#include <stdbool.h>
#include <stdint.h>

/* Result of an append to the store. */
typedef enum {
    GV_STORE_DONE,
    GV_STORE_END_CHANGED, /* not stored: the partition ends elsewhere */
    GV_STORE_FENCED,      /* not stored: the store has seen a higher epoch */
    GV_STORE_SEQUENCE,    /* not stored: another sequence number is next */
    GV_STORE_BUSY,        /* not stored: the store refuses for now */
    GV_STORE_UNREACHABLE, /* not sent */
    GV_STORE_UNKNOWN      /* may be stored, or be stored later */
} gv_store_result_t;

typedef struct {
    gv_store_result_t result;
    uint64_t end; /* offset after the last record, if the store sent one */
    uint64_t expected; /* next sequence number, with SEQUENCE */
    bool broken; /* with UNKNOWN: the connection broke off, as a kept one that
                    the store has closed does */
} gv_append_answer_t;

#endif
