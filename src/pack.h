#ifndef GV_PACK_H
#define GV_PACK_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/* Helper functions for msgpack-c. Objects are packed as arrays. A reader
   ignores extra items at the end of an array, so that later versions can add
   fields. */

msgpack_packer GvPack_Array(msgpack_sbuffer *out, size_t n);
void GvPack_Str(msgpack_packer *pk, gv_str_t s);
void GvPack_Bin(msgpack_packer *pk, gv_str_t s);
void GvPack_Uint(msgpack_packer *pk, uint64_t v);
void GvPack_Int(msgpack_packer *pk, int64_t v);
void GvPack_Bool(msgpack_packer *pk, bool v);

/* A cursor over one msgpack array. An item that is missing or of the wrong
   type sets `err` and reads as an empty value, as do all items after it, so
   the caller needs to check `err` only once at the end. */
typedef struct {
    const msgpack_object_array *array;
    uint32_t index; /* of the next item */
    int err;
} gv_unpack_t;

gv_unpack_t GvUnpack_Array(const msgpack_object *o, uint32_t min_size);
gv_str_t GvUnpack_Str(gv_unpack_t *u); /* str or bin; a view, not a copy */
uint64_t GvUnpack_Uint(gv_unpack_t *u);
int64_t GvUnpack_Int(gv_unpack_t *u);
bool GvUnpack_Bool(gv_unpack_t *u);
const msgpack_object *GvUnpack_Any(gv_unpack_t *u);
gv_unpack_t GvUnpack_Sub(gv_unpack_t *u, uint32_t min_size);
bool GvUnpack_HasNext(const gv_unpack_t *u);

int GvUnpack_Root(msgpack_unpacked *un, gv_str_t bytes);

#endif
