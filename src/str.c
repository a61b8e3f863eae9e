#include "str.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "limits.h"

/* Returns a view of a NUL-terminated string, or of an empty one for NULL. */
gv_str_t
GvStr_C(const char *c)
{
    return c == NULL ? (gv_str_t){"", 0} : (gv_str_t){c, strlen(c)};
}

/* Returns a view of n bytes at p. */
gv_str_t
GvStr_N(const void *p, size_t n)
{
    return (gv_str_t){p, n};
}

/* Returns an owned, NUL-terminated copy of s. */
gv_str_t
GvStr_Dup(gv_str_t s)
{
    char *p = g_malloc(s.n + 1);
    if (s.n > 0) {
        memcpy(p, s.p, s.n);
    }
    p[s.n] = '\0';
    return (gv_str_t){p, s.n};
}

/* Frees the bytes of an owned string and makes it empty. */
void
GvStr_Free(gv_str_t *s)
{
    g_free((char *)s->p);
    *s = (gv_str_t){NULL, 0};
}

bool
GvStr_Equal(gv_str_t a, gv_str_t b)
{
    return a.n == b.n && (a.n == 0 || memcmp(a.p, b.p, a.n) == 0);
}

/* Compares bytes. Returns a negative number, 0 or a positive number, as memcmp
   does; a prefix of a string is less than the string. */
int
GvStr_Compare(gv_str_t a, gv_str_t b)
{
    size_t n = MIN(a.n, b.n);
    int c = n == 0 ? 0 : memcmp(a.p, b.p, n);
    if (c != 0) {
        return c;
    }
    return (a.n > b.n) - (a.n < b.n);
}

/* Returns a hash for hash tables, which depends only on the bytes of s. */
unsigned
GvStr_Hash(gv_str_t s)
{
    return (unsigned)XXH3_64bits(s.p, s.n);
}

unsigned
GvStr_HashKey(const void *key)
{
    return GvStr_Hash(*(const gv_str_t *)key);
}

int
GvStr_EqualKeys(const void *a, const void *b)
{
    return GvStr_Equal(*(const gv_str_t *)a, *(const gv_str_t *)b);
}

/* Returns true if s is a valid name: 1 to GV_NAME_MAX_BYTES letters, digits,
   '-' or '_'. '.' is not allowed, because tickets use it as a separator. */
bool
GvStr_IsName(gv_str_t s)
{
    if (s.n == 0 || s.n > GV_NAME_MAX_BYTES) {
        return false;
    }
    for (size_t i = 0; i < s.n; i++) {
        if (!g_ascii_isalnum(s.p[i]) && s.p[i] != '-' && s.p[i] != '_') {
            return false;
        }
    }
    return true;
}
