#ifndef GV_FRAME_H
#define GV_FRAME_H

#include <glib.h>
#include <stdint.h>

#include "str.h"

/* Frames of the protocol between entry hosts: a 4-byte big-endian length,
   then that many bytes of content. */

void GvFrame_Append(GByteArray *out, gv_str_t body);
/* Parses the first frame in buf. Returns its total size in bytes with *body
   set, GV_EAGAIN when it is incomplete, GV_ETOOBIG when its content exceeds
   GV_FRAME_MAX_BYTES, or GV_EINVAL for a length of 0. */
int GvFrame_Next(gv_str_t buf, gv_str_t *body);

/* Returns the length of the content of the first frame in buf, or 0 if it is
   not known yet. */
uint32_t GvFrame_Length(gv_str_t buf);

#endif
