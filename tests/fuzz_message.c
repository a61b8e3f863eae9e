#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "error.h"
#include "frame.h"
#include "message.h"
#include "ticket.h"

/* Guards against crashes and unbounded memory on bytes from a peer, and
   against an accepted message that changes when it is packed and unpacked. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Unpacks a message and packs it to out; returns the error of unpacking. */
static int
repack(gv_str_t body, msgpack_sbuffer *out)
{
    msgpack_unpacked un;
    gv_message_t m;
    int err = GvMessage_Unpack(body, &un, &m);
    if (err == GV_OK) {
        GvMessage_Pack(out, &m);
    }
    GvMessage_Clear(&m);
    msgpack_unpacked_destroy(&un);
    return err;
}

/* Asserts that an accepted body, once packed, is accepted again and packs to
   the same bytes. */
static void
check(gv_str_t body)
{
    msgpack_sbuffer a;
    msgpack_sbuffer b;
    msgpack_sbuffer_init(&a);
    msgpack_sbuffer_init(&b);
    if (repack(body, &a) == GV_OK) {
        g_assert_cmpint(repack(GvStr_N(a.data, a.size), &b), ==, GV_OK);
        g_assert_cmpmem(a.data, a.size, b.data, b.size);
    }
    msgpack_sbuffer_destroy(&a);
    msgpack_sbuffer_destroy(&b);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    gv_str_t buf = GvStr_N(data, size);
    gv_str_t body;
    gv_ticket_t t;
    int n;
    check(buf); /* as a body without a frame */
    while ((n = GvFrame_Next(buf, &body)) > 0) {
        check(body);
        buf = GvStr_N(buf.p + n, buf.n - (size_t)n);
    }
    (void)GvTicket_Parse(GvStr_N(data, size), &t);
    return 0;
}
