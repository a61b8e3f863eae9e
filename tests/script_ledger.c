#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "ledger.h"
#include "script.h"

/* Verbs that append records to a ledger and print the verdict on each. All
   records are kept, so that `continue` can start a second reader from a
   checkpoint. */

typedef struct {
    int64_t append_ms;
    gv_str_t bytes;
} logged_t;

static gv_ledger_t *ledger;
static GArray *entries;         /* logged_t */
static GHashTable *sequences;   /* "ORIGIN.INCARNATION" to its last sequence */
static msgpack_sbuffer payload; /* of the record that a verb appends */
static int64_t now_ms = 1000000;
static int64_t created_ms = -1; /* of the next record; -1: the current time */
static int64_t expires_ms = -1; /* -1: 60 s after its creation */
static char origin[64] = "op";
static uint64_t incarnation = 1;

static const char *const verdicts[] = {"accepted", "rejected", "duplicate",
                                       "expired", "malformed"};

/* Applies the bytes of a record at the next offset and prints the verdict. */
static void
append(gv_str_t bytes)
{
    gv_verdict_t v;
    logged_t e = {now_ms, GvStr_Dup(bytes)};
    if (ledger == NULL) {
        ledger = GvLedger_New();
        entries = g_array_new(FALSE, FALSE, sizeof(logged_t));
    }
    g_array_append_val(entries, e);
    int err =
        GvLedger_Apply(ledger, GvLedger_NextOffset(ledger), now_ms, bytes, &v);
    g_assert_cmpint(err, ==, GV_OK);
    printf("%" PRIu64 " %s %s%s%s\n", v.offset, v.rec_kind, verdicts[v.kind],
           v.reason[0] == '\0' ? "" : ": ", v.reason);
}

/* Appends a record of this kind with the packed payload; clears the
   payload. */
static void
submit(const char *kind)
{
    msgpack_sbuffer sb;
    char id[96];
    snprintf(id, sizeof id, "%s.%" PRIu64, origin, incarnation);
    if (sequences == NULL) {
        sequences =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    }
    uint64_t seq = GPOINTER_TO_UINT(g_hash_table_lookup(sequences, id)) + 1;
    g_hash_table_insert(sequences, g_strdup(id), GUINT_TO_POINTER(seq));
    int64_t created = created_ms < 0 ? now_ms : created_ms;
    gv_record_t r = {.kind = GvStr_C(kind),
                     .origin = GvStr_C(origin),
                     .incarnation = incarnation,
                     .sequence = seq,
                     .created_ms = created,
                     .expires_ms =
                         expires_ms < 0 ? created + 60000 : expires_ms};
    created_ms = -1;
    expires_ms = -1;
    msgpack_sbuffer_init(&sb);
    GvRecord_Pack(&sb, &r, GvStr_N(payload.data, payload.size));
    append(GvStr_N(sb.data, sb.size));
    msgpack_sbuffer_destroy(&sb);
    msgpack_sbuffer_clear(&payload);
}

const gv_ledger_t *
GvScript_Ledger(void)
{
    return ledger;
}

/* as ORIGIN INCARNATION: sets the sender of the records that follow. */
GV_VERB("as", verb_as)
{
    g_strlcpy(origin, ARG(1).p, sizeof origin);
    incarnation = NUM(2);
}

/* wait MS: advances the append time, or sets it back if MS is negative. */
GV_VERB("wait", verb_wait)
{
    now_ms += g_ascii_strtoll(ARG(1).p, NULL, 10);
}

/* times CREATED EXPIRES: sets the times of the next record, in ms relative to
   the append time. */
GV_VERB("times", verb_times)
{
    created_ms = now_ms + g_ascii_strtoll(ARG(1).p, NULL, 10);
    expires_ms = now_ms + g_ascii_strtoll(ARG(2).p, NULL, 10);
}

/* settings BASE YAML...: publishes settings, one document for each argument,
   on top of version BASE. */
GV_VERB("settings", verb_settings)
{
    gv_document_t docs[16] = {0};
    for (int i = 2; i < argc; i++) {
        docs[i - 2].file = GV_STR("a.yaml");
        docs[i - 2].text = GvStr_C(argv[i]);
    }
    GvLedger_PackSettings(&payload, NUM(1), docs, MAX(argc - 2, 0));
    submit("settings");
}

/* host NAME DC RACK POOL BOOT up|failed|gone: reports a host. */
GV_VERB("host", verb_host)
{
    gv_ledger_host_t h = {
        .name = ARG(1),
        .dc = ARG(2),
        .rack = ARG(3),
        .addr = GV_STR("127.0.0.1:9001"),
        .pool = ARG(4),
        .boot = ARG(5),
        .slots = 8,
        .state = (gv_host_state_t)INDEX(ARG(6).p, "up", "failed", "gone")};
    GvLedger_PackHost(&payload, &h);
    submit("host");
}

/* member join|leave|removed NAME DC INCARNATION: reports a change of an entry
   host's membership. */
GV_VERB("member", verb_member)
{
    gv_member_t m = {.name = ARG(2),
                     .dc = ARG(3),
                     .incarnation = NUM(4),
                     .peer_addr = GV_STR("127.0.0.1:7001"),
                     .http_addr = GV_STR("127.0.0.1:8001")};
    GvLedger_PackMember(
        &payload, &m,
        (gv_member_change_t)INDEX(argv[1], "join", "leave", "removed"));
    submit("member");
}

/* claim HOST maintenance|move|drain WAVE-OR-POOL: claims a host for the
   sender. */
GV_VERB("claim", verb_claim)
{
    gv_str_t to = ARG(3);
    GvLedger_PackClaim(
        &payload, ARG(1),
        (gv_claim_kind_t)INDEX(argv[2], "maintenance", "move", "drain"), to,
        to, GvStr_C(origin), incarnation);
    submit("claim");
}

/* Returns the claim offset in argument 2; for "-" that of the current claim on
   the host in argument 1, or 0 if there is none. */
static uint64_t
claim_of(int argc, char **argv)
{
    const gv_ledger_host_t *h = GvLedger_Host(ledger, ARG(1));
    if (GvStr_Equal(ARG(2), GV_STR("-"))) {
        return h != NULL && h->claim != NULL ? h->claim->offset : 0;
    }
    return NUM(2);
}

/* confirm|act|takeover HOST CLAIM: the sender confirms a claim, begins its
   operation or takes it over. CLAIM is an offset or "-"; see claim_of. */
GV_VERB("confirm", verb_step)
{
    uint64_t claim = claim_of(argc, argv);
    gv_str_t host = ARG(1);
    if (argv[0][0] == 'c') {
        GvLedger_PackConfirm(&payload, host, claim, GvStr_C(origin),
                             incarnation);
    }
    else if (argv[0][0] == 'a') {
        GvLedger_PackAct(&payload, host, claim, GvStr_C(origin), incarnation);
    }
    else {
        GvLedger_PackTakeover(&payload, host, claim, GvStr_C(origin),
                              incarnation);
    }
    submit(argv[0]);
}

/* done HOST CLAIM healthy|failed|cancelled [BOOT]: ends a claim. With BOOT the
   result is healthy and BOOT the new boot identifier of the host. */
GV_VERB("done", verb_done)
{
    gv_str_t host = ARG(1);
    gv_done_result_t result =
        (gv_done_result_t)INDEX(argv[3], "healthy", "failed", "cancelled");
    if (argc > 4) {
        GvLedger_PackDoneHealthy(&payload, host, claim_of(argc, argv), ARG(4));
    }
    else {
        GvLedger_PackDone(&payload, host, claim_of(argc, argv), result);
    }
    submit("done");
}

/* wave start|stop|resume NAME POOL WIDTH: changes a maintenance wave. */
GV_VERB("wave", verb_wave)
{
    GvLedger_PackWave(
        &payload, ARG(2), ARG(3), (int)NUM(4),
        (gv_wave_change_t)INDEX(argv[1], "start", "stop", "resume"));
    submit("wave");
}

/* key [SERVICE KEY MS] ...: claims idempotency keys that expire MS after the
   append time. */
GV_VERB("key", verb_key)
{
    gv_key_item_t items[8];
    int n = 0;
    for (int i = 1; i + 2 < argc && n < 8; i += 3) {
        items[n++] =
            (gv_key_item_t){GvStr_C(argv[i]), GvStr_C(argv[i + 1]),
                            now_ms + g_ascii_strtoll(argv[i + 2], NULL, 10)};
    }
    GvLedger_PackKeys(&payload, items, n, GvStr_C(origin), incarnation);
    submit("key");
}

/* checkpoint: appends a checkpoint of the current state. */
GV_VERB("checkpoint", verb_checkpoint)
{
    GvLedger_PackCheckpoint(&payload, ledger);
    submit("checkpoint");
}

/* repeat [BACK]: appends the record of BACK records ago again, unchanged;
   without BACK the last one. */
GV_VERB("repeat", verb_repeat)
{
    unsigned back = argc > 1 ? (unsigned)NUM(1) : 1;
    append(g_array_index(entries, logged_t, entries->len - back).bytes);
}

/* raw HEX: appends these bytes as a whole record. payload KIND HEX: appends a
   record of this kind with these bytes as its payload. */
GV_VERB("raw", verb_raw)
{
    const char *hex = argv[argc - 1];
    for (size_t i = 0; i + 1 < strlen(hex); i += 2) {
        char byte = (char)(g_ascii_xdigit_value(hex[i]) * 16 +
                           g_ascii_xdigit_value(hex[i + 1]));
        msgpack_sbuffer_write(&payload, &byte, 1);
    }
    if (argv[0][0] == 'p') {
        submit(argv[1]);
        return;
    }
    append(GvStr_N(payload.data, payload.size));
    msgpack_sbuffer_clear(&payload);
}

/* reload: replaces the ledger with one loaded from its saved state and
   compares the digests. */
GV_VERB("reload", verb_reload)
{
    msgpack_sbuffer sb;
    gv_ledger_t *l;
    msgpack_sbuffer_init(&sb);
    GvLedger_Save(ledger, &sb);
    int err = GvLedger_Load(GvStr_N(sb.data, sb.size), &l);
    msgpack_sbuffer_destroy(&sb);
    if (err != GV_OK) {
        printf("reload: %s\n", Gv_StrError(err));
        return;
    }
    printf("reload: %s\n", GvLedger_Digest(l) == GvLedger_Digest(ledger)
                               ? "same digest"
                               : "DIGESTS DIFFER");
    GvLedger_Free(ledger);
    ledger = l;
}

/* continue: loads the last valid checkpoint into a second ledger, applies the
   records after it and compares the digests. */
GV_VERB("continue", verb_continue)
{
    gv_ledger_t *l = NULL;
    gv_verdict_t v;
    for (unsigned i = entries->len; i-- > 0 && l == NULL;) {
        GvLedger_LoadCheckpoint(g_array_index(entries, logged_t, i).bytes, &l);
    }
    if (l == NULL) {
        printf("continue: no checkpoint\n");
        return;
    }
    uint64_t from = GvLedger_NextOffset(l);
    for (uint64_t at = from; at < entries->len; at++) {
        const logged_t *e = &g_array_index(entries, logged_t, at);
        GvLedger_Apply(l, at, e->append_ms, e->bytes, &v);
    }
    printf("continue from %" PRIu64 " to %" PRIu64 ": %s\n", from,
           GvLedger_NextOffset(l),
           GvLedger_Digest(l) == GvLedger_Digest(ledger) ? "same digest"
                                                         : "DIGESTS DIFFER");
    GvLedger_Free(l);
}

/* Prints a host and the claim on it. */
static void
show_host(const gv_ledger_host_t *h)
{
    static const char *const states[] = {"up", "failed", "gone"};
    static const char *const phases[] = {"granted", "clear", "stopping"};
    printf("  %s pool %s %s boot %s", h->name.p, h->pool.p, states[h->state],
           h->boot.p);
    if (h->claim != NULL) {
        const gv_claim_t *c = h->claim;
        printf(" claim %" PRIu64 " fence %" PRIu64 " %s%s holder %s.%" PRIu64,
               c->offset, c->fence, phases[c->phase],
               c->waived ? " waived" : "", c->holder.p, c->holder_incarnation);
        for (unsigned i = 0; i < c->waiting->len; i++) {
            printf(" %s%s", i == 0 ? "waiting for " : "",
                   (char *)g_ptr_array_index(c->waiting, i));
        }
    }
    printf("\n");
}

/* show HOST... | show wave NAME | show version | show key SERVICE KEY: prints
   the hosts, the wave, the settings version or the owner of the key. After
   `wave NAME` hosts may follow. */
GV_VERB("show", verb_show)
{
    static const char *const states[] = {"running", "halted", "done"};
    gv_str_t what = ARG(1);
    const gv_wave_t *w = GvLedger_Wave(ledger, ARG(2));
    const gv_key_claim_t *k = GvLedger_Key(ledger, ARG(2), ARG(3));
    if (GvStr_Equal(what, GV_STR("wave")) && w != NULL) {
        printf("  wave %s %s healthy %d%s%s\n", w->name.p, states[w->state],
               w->healthy, w->halt_reason.n > 0 ? ": " : "", w->halt_reason.p);
    }
    else if (GvStr_Equal(what, GV_STR("version"))) {
        printf("  version %" PRIu64 "\n", GvLedger_SettingsVersion(ledger));
    }
    else if (GvStr_Equal(what, GV_STR("key"))) {
        printf("  %s\n", k == NULL ? "free" : k->owner.p);
    }
    for (int i = 1; i < argc; i++) {
        const gv_ledger_host_t *h = GvLedger_Host(ledger, GvStr_C(argv[i]));
        if (h != NULL) {
            show_host(h);
        }
    }
}
GV_VERB_NAME("act", verb_act, verb_step);
GV_VERB_NAME("takeover", verb_takeover, verb_step);
GV_VERB_NAME("payload", verb_payload, verb_raw);
