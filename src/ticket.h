#ifndef GV_TICKET_H
#define GV_TICKET_H

#include <stdint.h>

#include "str.h"

/* NAME.INCARNATION.SEQUENCE.EXPIRY: incarnation in hex, the others decimal,
   expiry in wall-clock ms of the issuer. */
typedef struct {
    gv_str_t entry;
    uint64_t incarnation;
    uint64_t sequence;
    int64_t expires_ms;
} gv_ticket_t;

#define GV_TICKET_TEXT_BYTES 128

int GvTicket_Format(const gv_ticket_t *t, char *out, size_t n);
int GvTicket_Parse(gv_str_t text, gv_ticket_t *t);

#endif
