#include "frame.h"

#include "error.h"
#include "limits.h"

#define HEADER_BYTES 4

/* Appends body to out as one frame. The caller ensures that body is not
   longer than GV_FRAME_MAX_BYTES. */
void
GvFrame_Append(GByteArray *out, gv_str_t body)
{
    uint32_t n = GUINT32_TO_BE((uint32_t)body.n);
    g_byte_array_append(out, (const guint8 *)&n, sizeof n);
    g_byte_array_append(out, (const guint8 *)body.p, (guint)body.n);
}

uint32_t
GvFrame_Length(gv_str_t buf)
{
    const unsigned char *b = (const unsigned char *)buf.p;
    if (buf.n < HEADER_BYTES) {
        return 0;
    }
    return (uint32_t)b[0] << 24 | (uint32_t)b[1] << 16 | (uint32_t)b[2] << 8 |
           b[3];
}

/* Parses the first frame in buf. Returns its total size in bytes with
   *body set to a view of its content, GV_EAGAIN when more bytes are needed,
   GV_ETOOBIG when the content exceeds GV_FRAME_MAX_BYTES, or GV_EINVAL for
   an empty frame. The limit is checked as soon as the length is known, so
   that an oversize frame is not buffered. */
int
GvFrame_Next(gv_str_t buf, gv_str_t *body)
{
    if (buf.n < HEADER_BYTES) {
        return GV_EAGAIN;
    }
    uint32_t n = GvFrame_Length(buf);
    if (n == 0) {
        return GV_EINVAL;
    }
    if (n > GV_FRAME_MAX_BYTES) {
        return GV_ETOOBIG;
    }
    if (buf.n - HEADER_BYTES < n) {
        return GV_EAGAIN;
    }
    *body = GvStr_N(buf.p + HEADER_BYTES, n);
    return (int)(HEADER_BYTES + n);
}
