#ifndef GV_RECORD_H
#define GV_RECORD_H

#include <stdint.h>

#include "pack.h"
#include "str.h"

/* Envelope of a log record. The payload is one msgpack array, whose layout
   depends on the record kind. */
typedef struct {
    gv_str_t kind;
    gv_str_t origin;      /* entry host or operator session */
    uint64_t incarnation; /* of the origin's process */
    uint64_t sequence;    /* from 1, per (origin, incarnation) */
    int64_t created_ms;   /* wall clock, as expires_ms */
    int64_t expires_ms;
    const msgpack_object *payload; /* set by GvRecord_Unpack only */
} gv_record_t;

void GvRecord_Pack(msgpack_sbuffer *out, const gv_record_t *r,
                   gv_str_t payload);
/* The strings and the payload in r are views that are valid as long as un and
   bytes. */
int GvRecord_Unpack(gv_str_t bytes, msgpack_unpacked *un, gv_record_t *r);

#endif
