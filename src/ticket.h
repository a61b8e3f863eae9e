#ifndef GV_TICKET_H
#define GV_TICKET_H

#include <stdint.h>

#include "str.h"

/* A ticket lets a caller submit a request repeatedly that runs at most once.
   Its text is NAME.INCARNATION.SEQUENCE.EXPIRY: the incarnation in
   hexadecimal, the other numbers in decimal, the expiry in ms of the issuer's
   wall clock. */
typedef struct {
    gv_str_t entry; /* name of the entry host that issued it */
    uint64_t incarnation;
    uint64_t sequence;
    int64_t expires_ms;
} gv_ticket_t;

/* Enough for every ticket's text and its NUL. */
#define GV_TICKET_TEXT_BYTES 128

/* Returns the length of the text written to out, or GV_ETOOBIG. */
int GvTicket_Format(const gv_ticket_t *t, char *out, size_t n);
/* Parses a ticket; t->entry is a view of text. Returns 0 or GV_EINVAL. */
int GvTicket_Parse(gv_str_t text, gv_ticket_t *t);

#endif
