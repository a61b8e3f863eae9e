#include "fuzz_ledger.h"

/* Guards against a checkpoint that crashes the reader that loads it, whose
   state changes when it is saved and loaded again, or in whose state applying
   a record crashes. If bit 0 of the first byte is set, the rest is the saved
   state; otherwise it is edits of a valid one. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    gv_ledger_t *l;
    msgpack_sbuffer sb;
    if (size < 2) {
        return 0;
    }
    msgpack_sbuffer_init(&sb);
    if (data[0] & 1) {
        msgpack_sbuffer_write(&sb, (const char *)data + 1, size - 1);
    }
    else {
        gv_ledger_t *base = base_ledger();
        msgpack_sbuffer key;
        template_payload(&key, 9);
        put(base, "key", &key);
        GvLedger_Save(base, &sb);
        edit(sb.data, sb.size, data + 1, size - 1);
        GvLedger_Free(base);
    }
    int err = GvLedger_Load(GvStr_N(sb.data, sb.size), &l);
    msgpack_sbuffer_destroy(&sb);
    if (err != GV_OK) {
        return 0;
    }
    GvLedger_Free(reloaded(l));
    for (unsigned kind = 0; kind < G_N_ELEMENTS(kinds); kind++) {
        msgpack_sbuffer payload;
        template_payload(&payload, kind);
        put(l, kinds[kind], &payload);
    }
    GvLedger_Free(reloaded(l));
    GvLedger_Free(l);
    return 0;
}
