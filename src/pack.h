#ifndef GV_PACK_H
#define GV_PACK_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/* Shorthand over msgpack-c. Objects are packed as arrays; a reader accepts
   arrays longer than it knows, so that fields can be appended later. */

msgpack_packer GvPack_Array(msgpack_sbuffer *out, size_t n);
void GvPack_Str(msgpack_packer *pk, gv_str_t s);
void GvPack_Bin(msgpack_packer *pk, gv_str_t s);
void GvPack_Uint(msgpack_packer *pk, uint64_t v);
void GvPack_Int(msgpack_packer *pk, int64_t v);
void GvPack_Bool(msgpack_packer *pk, bool v);

/* A cursor over one msgpack array. The first wrong type sets `err` and all
   later reads yield empty values, so that a reader checks once at the end. */
typedef struct {
    const msgpack_object_array *array;
    uint32_t at;
    int err;
} gv_unpack_t;

gv_unpack_t GvUnpack_Array(const msgpack_object *o, uint32_t min_size);
gv_str_t GvUnpack_Str(gv_unpack_t *u); /* str or bin; a view */
uint64_t GvUnpack_Uint(gv_unpack_t *u);
int64_t GvUnpack_Int(gv_unpack_t *u);
bool GvUnpack_Bool(gv_unpack_t *u);
const msgpack_object *GvUnpack_Any(gv_unpack_t *u);
gv_unpack_t GvUnpack_Sub(gv_unpack_t *u, uint32_t min_size);
bool GvUnpack_HasNext(const gv_unpack_t *u);

int GvUnpack_Root(msgpack_unpacked *un, gv_str_t bytes);

#endif
