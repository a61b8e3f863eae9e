#include "fuzz_ledger.h"

/* Guards against records that crash the reader, that change the state although
   they are not accepted, or that leave a state which cannot be saved and
   loaded. The first byte selects the record kind; the second, modulo 3,
   whether the rest is a payload (0), edits of a valid payload (1) or a whole
   record (2). */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    gv_verdict_t v;
    msgpack_sbuffer sb;
    msgpack_sbuffer other;
    if (size < 3) {
        return 0;
    }
    unsigned kind = data[0] % G_N_ELEMENTS(kinds);
    gv_ledger_t *l = base_ledger();
    if (data[1] % 3 == 2) {
        GvLedger_Apply(l, GvLedger_NextOffset(l), 1000,
                       GvStr_N(data + 2, size - 2), &v);
        GvLedger_Free(reloaded(l));
        GvLedger_Free(l);
        return 0;
    }
    if (data[1] % 3 == 1) {
        template_payload(&sb, kind);
        edit(sb.data, sb.size, data + 2, size - 2);
    }
    else {
        msgpack_sbuffer_init(&sb);
        msgpack_sbuffer_write(&sb, (const char *)data + 2, size - 2);
    }
    /* The control ledger applies a record of an unknown kind instead, which
       changes only the offset and the sequence of the origin. */
    gv_ledger_t *control = reloaded(l);
    msgpack_sbuffer_init(&other);
    msgpack_sbuffer_write(&other, "\x90", 1);
    put(control, "nothing", &other);
    v = put(l, kinds[kind], &sb);
    if (v.kind != GV_VERDICT_ACCEPTED && v.rec_kind[0] != '\0') {
        g_assert_cmpuint(GvLedger_Digest(l), ==, GvLedger_Digest(control));
    }
    GvLedger_Free(reloaded(l));
    GvLedger_Free(control);
    GvLedger_Free(l);
    return 0;
}
