#ifndef GV_RECORD_H
#define GV_RECORD_H

#include <stdint.h>

#include "pack.h"
#include "str.h"

/* Envelope of a log record. The payload is one msgpack array; its layout
   belongs to the record kind. */
typedef struct {
    gv_str_t kind;
    gv_str_t origin; /* entry host or operator session */
    uint64_t incarnation;
    uint64_t sequence; /* from 1, per (origin, incarnation) */
    int64_t created_ms;
    int64_t expires_ms;
    const msgpack_object *payload; /* when reading */
} gv_record_t;

/* Packs the envelope and the already packed payload. */
void GvRecord_Pack(msgpack_sbuffer *out, const gv_record_t *r,
                   gv_str_t payload);
/* The views in r live as long as un. */
int GvRecord_Unpack(gv_str_t bytes, msgpack_unpacked *un, gv_record_t *r);

#endif
