#include "ticket.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "error.h"

/* Writes the text of t, NUL-terminated, into out. Returns its length, or
   GV_ETOOBIG when it does not fit into n bytes; GV_TICKET_TEXT_BYTES always
   suffice. */
int
GvTicket_Format(const gv_ticket_t *t, char *out, size_t n)
{
    int len = snprintf(out, n, "%.*s.%" PRIx64 ".%" PRIu64 ".%" PRId64,
                       GV_STR_ARG(t->entry), t->incarnation, t->sequence,
                       t->expires_ms);
    return len < 0 || (size_t)len >= n ? GV_ETOOBIG : len;
}

/* Reads a number of base 10 or 16 from the start of *s and removes it, with
   the
   '.' that follows if there is one. Returns 0 or GV_EINVAL. */
static int
read_number(gv_str_t *s, unsigned base, uint64_t *out)
{
    uint64_t v = 0;
    size_t i = 0;
    for (; i < s->n && s->p[i] != '.'; i++) {
        unsigned d = base;
        if (s->p[i] >= '0' && s->p[i] <= '9') {
            d = (unsigned)(s->p[i] - '0');
        }
        else if (s->p[i] >= 'a' && s->p[i] <= 'f') {
            d = (unsigned)(s->p[i] - 'a') + 10;
        }
        if (d >= base || v > (UINT64_MAX - d) / base) {
            return GV_EINVAL;
        }
        v = v * base + d;
    }
    *out = v;
    size_t skip = i < s->n ? i + 1 : i;
    *s = GvStr_N(s->p + skip, s->n - skip);
    return i > 0 ? GV_OK : GV_EINVAL;
}

/* Parses the text of a ticket; t->entry is a view of it. Returns 0 or
   GV_EINVAL. Only the form that GvTicket_Format writes is accepted, because
   the text is the ticket's id in the at-most-once table: another text of the
   same ticket, such as one with leading zeros, could run it again. */
int
GvTicket_Parse(gv_str_t text, gv_ticket_t *t)
{
    const char *dot = text.n == 0 ? NULL : memchr(text.p, '.', text.n);
    if (dot == NULL || text.n >= GV_TICKET_TEXT_BYTES) {
        return GV_EINVAL;
    }
    t->entry = GvStr_N(text.p, (size_t)(dot - text.p));
    gv_str_t rest = GvStr_N(dot + 1, text.n - t->entry.n - 1);
    uint64_t expires;
    if (!GvStr_IsName(t->entry) ||
        read_number(&rest, 16, &t->incarnation) != GV_OK ||
        read_number(&rest, 10, &t->sequence) != GV_OK ||
        read_number(&rest, 10, &expires) != GV_OK || expires > INT64_MAX) {
        return GV_EINVAL;
    }
    t->expires_ms = (int64_t)expires;
    char canonical[GV_TICKET_TEXT_BYTES];
    int n = GvTicket_Format(t, canonical, sizeof canonical);
    return n > 0 && GvStr_Equal(GvStr_N(canonical, (size_t)n), text)
               ? GV_OK
               : GV_EINVAL;
}
