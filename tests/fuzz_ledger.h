#ifndef GV_FUZZ_LEDGER_H
#define GV_FUZZ_LEDGER_H

#include <glib.h>
#include <string.h>

#include "error.h"
#include "ledger.h"
#include "support.h"

/* Helpers shared by the fuzz targets of the ledger and of settings files. */

/* Applies a record with this payload at the next offset of the ledger and
   returns its verdict; destroys the payload. */
static inline gv_verdict_t
put(gv_ledger_t *l, const char *kind, msgpack_sbuffer *payload)
{
    gv_verdict_t v;
    msgpack_sbuffer sb;
    pack_record(&sb, kind, GV_STR("e1"), 10, GvLedger_NextOffset(l) + 1, 1000,
                payload);
    msgpack_sbuffer_destroy(payload);
    ASSERT_OK(GvLedger_Apply(l, GvLedger_NextOffset(l), 1000,
                             GvStr_N(sb.data, sb.size), &v));
    msgpack_sbuffer_destroy(&sb);
    return v;
}

/* Applies a record with this payload, which must be accepted; reinitializes
   the payload for the next record. */
static inline void
put_accepted(gv_ledger_t *l, const char *kind, msgpack_sbuffer *payload)
{
    g_assert_cmpint(put(l, kind, payload).kind, ==, GV_VERDICT_ACCEPTED);
    msgpack_sbuffer_init(payload);
}

static const char *const kinds[] = {"settings", "host", "member", "claim",
                                    "confirm",  "act",  "done",   "takeover",
                                    "wave",     "key",  "nothing"};

/* Packs a payload of kinds[kind] that the ledger of base_ledger accepts; for
   "nothing", which no reader knows, that of "key". */
static inline void
template_payload(msgpack_sbuffer *out, unsigned kind)
{
    static const gv_document_t doc = {
        GV_STR("a.yaml"), GV_STR("{kind: pool, pool: p, max_out: 3}\n---\n"
                                 "{kind: pool, pool: q}\n---\n"
                                 "{kind: service, service: s, pool: p}\n")};
    gv_str_t e1 = GV_STR("e1");
    gv_ledger_host_t h = HOST("c", "r3");
    gv_member_t m = MEMBER(e1, GV_STR("k1"), 11);
    gv_key_item_t key = {GV_STR("s"), GV_STR("k"), 60000};
    msgpack_sbuffer_init(out);
    switch (kind) {
    case 0:
        GvLedger_PackSettings(out, 1, &doc, 1);
        break;
    case 1:
        GvLedger_PackHost(out, &h);
        break;
    case 2:
        GvLedger_PackMember(out, &m, GV_MEMBER_JOIN);
        break;
    case 3:
        GvLedger_PackClaim(out, GV_STR("b"), GV_CLAIM_MOVE, GV_STR("w"),
                           GV_STR("q"), e1, 10);
        break;
    case 4:
        GvLedger_PackConfirm(out, GV_STR("a"), 5, e1, 10);
        break;
    case 5:
        GvLedger_PackAct(out, GV_STR("a"), 5, e1, 10);
        break;
    case 6:
        GvLedger_PackDone(out, GV_STR("a"), 5, GV_DONE_CANCELLED);
        break;
    case 7:
        GvLedger_PackTakeover(out, GV_STR("a"), 5, e1, 10);
        break;
    case 8:
        GvLedger_PackWave(out, GV_STR("w"), GV_STR("p"), 1, GV_WAVE_STOP);
        break;
    default:
        GvLedger_PackKeys(out, &key, 1, e1, 10);
        break;
    }
}

/* Returns a ledger with settings, member e1, hosts a and b, wave w and a
   claim on host a at offset 5. */
static inline gv_ledger_t *
base_ledger(void)
{
    gv_ledger_t *l = GvLedger_New();
    msgpack_sbuffer sb;
    gv_ledger_host_t h = HOST("a", "r1");
    gv_document_t doc = {GV_STR("a.yaml"),
                         GV_STR("{kind: pool, pool: p, max_out: 2}\n---\n"
                                "{kind: pool, pool: q}\n")};
    gv_member_t m = MEMBER(GV_STR("e1"), GV_STR("k1"), 10);
    msgpack_sbuffer_init(&sb);
    GvLedger_PackSettings(&sb, 0, &doc, 1);
    put_accepted(l, "settings", &sb);
    GvLedger_PackMember(&sb, &m, GV_MEMBER_JOIN);
    put_accepted(l, "member", &sb);
    GvLedger_PackHost(&sb, &h);
    put_accepted(l, "host", &sb);
    h.name = GV_STR("b");
    h.rack = GV_STR("r2");
    GvLedger_PackHost(&sb, &h);
    put_accepted(l, "host", &sb);
    GvLedger_PackWave(&sb, GV_STR("w"), GV_STR("p"), 1, GV_WAVE_START);
    put_accepted(l, "wave", &sb);
    GvLedger_PackClaim(&sb, GV_STR("a"), GV_CLAIM_MAINTENANCE, GV_STR("w"),
                       GV_STR(""), GV_STR("e1"), 10);
    put_accepted(l, "claim", &sb);
    return l;
}

/* Overwrites bytes of a valid input: each three bytes of data are a position
   (two bytes, modulo n) and the new value. */
static inline void
edit(char *bytes, size_t n, const uint8_t *data, size_t size)
{
    for (size_t i = 0; n > 0 && i + 2 < size; i += 3) {
        bytes[(data[i] * 256u + data[i + 1]) % n] = (char)data[i + 2];
    }
}

/* Saves a ledger and returns the one loaded from it, which must have the same
   digest. */
static inline gv_ledger_t *
reloaded(const gv_ledger_t *l)
{
    gv_ledger_t *copy;
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    GvLedger_Save(l, &sb);
    ASSERT_OK(GvLedger_Load(GvStr_N(sb.data, sb.size), &copy));
    g_assert_cmpuint(GvLedger_Digest(copy), ==, GvLedger_Digest(l));
    msgpack_sbuffer_destroy(&sb);
    return copy;
}

#endif
