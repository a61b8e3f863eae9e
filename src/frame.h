#ifndef GV_FRAME_H
#define GV_FRAME_H

#include <glib.h>
#include <stdint.h>

#include "str.h"

/* 4-byte big-endian length, then that many bytes. */

void GvFrame_Append(GByteArray *out, gv_str_t body);
/* Looks at the first frame in buf. Returns its total size with *body set,
   GV_EAGAIN when incomplete, GV_ETOOBIG over GV_FRAME_MAX_BYTES, GV_EINVAL
   for a length of 0. */
int GvFrame_Next(gv_str_t buf, gv_str_t *body);

#endif
