#ifndef GV_STR_H
#define GV_STR_H

#include <stdbool.h>
#include <stddef.h>

/* A string with a length, which may contain NUL bytes. A view (GvStr_C,
   GvStr_N) refers to bytes that others own. An owned string (GvStr_Dup) has a
   NUL after its last byte and is released with GvStr_Free. */
typedef struct {
    const char *p; /* first byte */
    size_t n;      /* number of bytes */
} gv_str_t;

#define GV_STR(literal) ((gv_str_t){"" literal, sizeof(literal) - 1})
#define GV_STR_ARG(s)   (int)(s).n, (s).p /* for "%.*s" */

gv_str_t GvStr_C(const char *c);
gv_str_t GvStr_N(const void *p, size_t n);
gv_str_t GvStr_Dup(gv_str_t s);
void GvStr_Free(gv_str_t *s);
bool GvStr_Equal(gv_str_t a, gv_str_t b);
int GvStr_Compare(gv_str_t a, gv_str_t b);
unsigned GvStr_Hash(gv_str_t s);
/* For GHashTable with keys of type gv_str_t *. */
unsigned GvStr_HashKey(const void *key);
int GvStr_EqualKeys(const void *a, const void *b);
bool GvStr_IsName(gv_str_t s);

#endif
