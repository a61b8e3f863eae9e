#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "ledger.h"
#include "script.h"

/* Verbs that append records to one log and print each verdict. The log is
   kept, so that `continue` can start a second reader from a checkpoint. */

typedef struct {
    int64_t append_ms;
    gv_str_t bytes;
} logged_t;

static gv_ledger_t *ledger;
static GArray *entries; /* logged_t */
static GHashTable *sequences;
static int64_t now_ms = 1000000;
static int64_t created_ms = -1; /* of the next record; -1: now */
static int64_t expires_ms = -1;
static char origin[64] = "op";
static uint64_t incarnation = 1;

static const char *const verdicts[] = {"accepted", "rejected", "duplicate",
                                       "expired", "malformed"};

static gv_str_t
arg(int argc, char **argv, int i)
{
    return i < argc ? GvStr_C(argv[i]) : GV_STR("");
}

static uint64_t
num(int argc, char **argv, int i)
{
    return i < argc ? g_ascii_strtoull(argv[i], NULL, 0) : 0;
}

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
    int err = GvLedger_Apply(ledger, GvLedger_Next(ledger), now_ms, bytes, &v);
    g_assert_cmpint(err, ==, GV_OK);
    printf("%" PRIu64 " %s %s%s%s\n", v.offset, v.rec_kind, verdicts[v.kind],
           v.reason[0] == '\0' ? "" : ": ", v.reason);
}

static void
submit(const char *kind, msgpack_sbuffer *payload)
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
    GvRecord_Pack(&sb, &r, GvStr_N(payload->data, payload->size));
    append(GvStr_N(sb.data, sb.size));
    msgpack_sbuffer_destroy(&sb);
    msgpack_sbuffer_destroy(payload);
}

const gv_ledger_t *
GvScript_Ledger(void)
{
    return ledger;
}

/* as ORIGIN INCARNATION: sender of the records that follow. */
static void
verb_as(int argc, char **argv)
{
    g_strlcpy(origin, arg(argc, argv, 1).p, sizeof origin);
    incarnation = num(argc, argv, 2);
}

/* wait MS: moves the append time, possibly back. */
static void
verb_wait(int argc, char **argv)
{
    now_ms += g_ascii_strtoll(arg(argc, argv, 1).p, NULL, 10);
}

/* times CREATED EXPIRES: of the next record, relative to now. */
static void
verb_times(int argc, char **argv)
{
    created_ms = now_ms + g_ascii_strtoll(arg(argc, argv, 1).p, NULL, 10);
    expires_ms = now_ms + g_ascii_strtoll(arg(argc, argv, 2).p, NULL, 10);
}

/* settings BASE YAML...: one document for each argument. */
static void
verb_settings(int argc, char **argv)
{
    msgpack_sbuffer sb;
    gv_document_t docs[16] = {0};
    msgpack_sbuffer_init(&sb);
    for (int i = 2; i < argc; i++) {
        docs[i - 2].file = GV_STR("a.yaml");
        docs[i - 2].text = GvStr_C(argv[i]);
    }
    GvLedger_PackSettings(&sb, num(argc, argv, 1), docs, MAX(argc - 2, 0));
    submit("settings", &sb);
}

/* host NAME DC RACK POOL BOOT STATE */
static void
verb_host(int argc, char **argv)
{
    msgpack_sbuffer sb;
    gv_str_t state = arg(argc, argv, 6);
    gv_lhost_t h = {.name = arg(argc, argv, 1),
                    .dc = arg(argc, argv, 2),
                    .rack = arg(argc, argv, 3),
                    .addr = GV_STR("127.0.0.1:9001"),
                    .pool = arg(argc, argv, 4),
                    .boot = arg(argc, argv, 5),
                    .slots = 8,
                    .state = state.p[0] == 'f'   ? GV_HOST_FAILED
                             : state.p[0] == 'g' ? GV_HOST_GONE
                                                 : GV_HOST_UP};
    msgpack_sbuffer_init(&sb);
    GvLedger_PackHost(&sb, &h);
    submit("host", &sb);
}

/* member join|leave|removed NAME DC INCARNATION */
static void
verb_member(int argc, char **argv)
{
    msgpack_sbuffer sb;
    char change = arg(argc, argv, 1).p[0];
    gv_member_t m = {.name = arg(argc, argv, 2),
                     .dc = arg(argc, argv, 3),
                     .incarnation = num(argc, argv, 4),
                     .peer_addr = GV_STR("127.0.0.1:7001"),
                     .http_addr = GV_STR("127.0.0.1:8001")};
    msgpack_sbuffer_init(&sb);
    GvLedger_PackMember(&sb, &m,
                        change == 'j'   ? GV_MEMBER_JOIN
                        : change == 'l' ? GV_MEMBER_LEAVE
                                        : GV_MEMBER_REMOVED);
    submit("member", &sb);
}

/* claim HOST maintenance|move|drain WAVE-OR-POOL; the sender holds it. */
static void
verb_claim(int argc, char **argv)
{
    msgpack_sbuffer sb;
    gv_str_t kind = arg(argc, argv, 2);
    gv_str_t to = arg(argc, argv, 3);
    gv_claim_kind_t k = kind.p[0] == 'd'   ? GV_CLAIM_DRAIN
                        : kind.p[1] == 'o' ? GV_CLAIM_MOVE
                                           : GV_CLAIM_MAINTENANCE;
    msgpack_sbuffer_init(&sb);
    GvLedger_PackClaim(&sb, arg(argc, argv, 1), k, to, to, GvStr_C(origin),
                       incarnation);
    submit("claim", &sb);
}

/* Returns the claim offset named by an argument; "-": the current one. */
static uint64_t
claim_of(int argc, char **argv)
{
    const gv_lhost_t *h = GvLedger_Host(ledger, arg(argc, argv, 1));
    if (GvStr_Equal(arg(argc, argv, 2), GV_STR("-"))) {
        return h != NULL && h->claim != NULL ? h->claim->offset : 0;
    }
    return num(argc, argv, 2);
}

/* confirm|act|takeover HOST CLAIM, by the sender. */
static void
verb_step(int argc, char **argv)
{
    msgpack_sbuffer sb;
    uint64_t claim = claim_of(argc, argv);
    gv_str_t host = arg(argc, argv, 1);
    msgpack_sbuffer_init(&sb);
    if (argv[0][0] == 'c') {
        GvLedger_PackConfirm(&sb, host, claim, GvStr_C(origin), incarnation);
    }
    else if (argv[0][0] == 'a') {
        GvLedger_PackAct(&sb, host, claim, GvStr_C(origin), incarnation);
    }
    else {
        GvLedger_PackTakeover(&sb, host, claim, GvStr_C(origin), incarnation);
    }
    submit(argv[0], &sb);
}

/* done HOST CLAIM healthy|failed|cancelled [BOOT] */
static void
verb_done(int argc, char **argv)
{
    msgpack_sbuffer sb;
    char result = arg(argc, argv, 3).p[0];
    msgpack_sbuffer_init(&sb);
    if (argc > 4) {
        GvLedger_PackHealthy(&sb, arg(argc, argv, 1), claim_of(argc, argv),
                             arg(argc, argv, 4));
    }
    else {
        GvLedger_PackDone(&sb, arg(argc, argv, 1), claim_of(argc, argv),
                          result == 'h'   ? GV_DONE_HEALTHY
                          : result == 'f' ? GV_DONE_FAILED
                                          : GV_DONE_CANCELLED);
    }
    submit("done", &sb);
}

/* wave start|stop|resume NAME POOL WIDTH */
static void
verb_wave(int argc, char **argv)
{
    msgpack_sbuffer sb;
    gv_str_t change = arg(argc, argv, 1);
    msgpack_sbuffer_init(&sb);
    GvLedger_PackWave(&sb, arg(argc, argv, 2), arg(argc, argv, 3),
                      (int)num(argc, argv, 4),
                      change.p[0] == 'r'   ? GV_WAVE_RESUME
                      : change.p[2] == 'o' ? GV_WAVE_STOP
                                           : GV_WAVE_START);
    submit("wave", &sb);
}

/* key SERVICE KEY MS...: keys that expire MS from now. */
static void
verb_key(int argc, char **argv)
{
    msgpack_sbuffer sb;
    gv_key_item_t items[8];
    int n = 0;
    msgpack_sbuffer_init(&sb);
    for (int i = 1; i + 2 < argc && n < 8; i += 3) {
        items[n++] =
            (gv_key_item_t){GvStr_C(argv[i]), GvStr_C(argv[i + 1]),
                            now_ms + g_ascii_strtoll(argv[i + 2], NULL, 10)};
    }
    GvLedger_PackKeys(&sb, items, n, GvStr_C(origin), incarnation);
    submit("key", &sb);
}

/* checkpoint: of the present state. */
static void
verb_checkpoint(int argc, char **argv)
{
    msgpack_sbuffer sb;
    (void)argc;
    (void)argv;
    msgpack_sbuffer_init(&sb);
    GvLedger_PackCheckpoint(&sb, ledger);
    submit("checkpoint", &sb);
}

/* repeat [BACK]: appends an earlier record again, unchanged. */
static void
verb_repeat(int argc, char **argv)
{
    unsigned back = argc > 1 ? (unsigned)num(argc, argv, 1) : 1;
    append(g_array_index(entries, logged_t, entries->len - back).bytes);
}

/* raw HEX appends bytes; payload KIND HEX wraps them in an envelope. */
static void
verb_raw(int argc, char **argv)
{
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    const char *hex = argv[argc - 1];
    for (size_t i = 0; i + 1 < strlen(hex); i += 2) {
        char byte = (char)(g_ascii_xdigit_value(hex[i]) * 16 +
                           g_ascii_xdigit_value(hex[i + 1]));
        msgpack_sbuffer_write(&sb, &byte, 1);
    }
    if (argv[0][0] == 'p') {
        submit(argv[1], &sb);
        return;
    }
    append(GvStr_N(sb.data, sb.size));
    msgpack_sbuffer_destroy(&sb);
}

/* reload: replaces the ledger by its own saved and loaded state. */
static void
verb_reload(int argc, char **argv)
{
    msgpack_sbuffer sb;
    gv_ledger_t *l;
    (void)argc;
    (void)argv;
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

/* continue: starts a reader from the last checkpoint, applies what follows
   it and compares the digests. */
static void
verb_continue(int argc, char **argv)
{
    gv_ledger_t *l = NULL;
    gv_verdict_t v;
    (void)argc;
    (void)argv;
    for (unsigned i = entries->len; i-- > 0 && l == NULL;) {
        GvLedger_LoadCheckpoint(g_array_index(entries, logged_t, i).bytes, &l);
    }
    if (l == NULL) {
        printf("continue: no checkpoint\n");
        return;
    }
    uint64_t from = GvLedger_Next(l);
    for (uint64_t at = from; at < entries->len; at++) {
        const logged_t *e = &g_array_index(entries, logged_t, at);
        GvLedger_Apply(l, at, e->append_ms, e->bytes, &v);
    }
    printf("continue from %" PRIu64 " to %" PRIu64 ": %s\n", from,
           GvLedger_Next(l),
           GvLedger_Digest(l) == GvLedger_Digest(ledger) ? "same digest"
                                                         : "DIGESTS DIFFER");
    GvLedger_Free(l);
}

static void
show_host(const gv_lhost_t *h)
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

/* show HOST... | show wave NAME | show version | show key SERVICE KEY */
static void
verb_show(int argc, char **argv)
{
    static const char *const states[] = {"running", "halted", "done"};
    gv_str_t what = arg(argc, argv, 1);
    const gv_wave_t *w = GvLedger_Wave(ledger, arg(argc, argv, 2));
    const gv_key_claim_t *k =
        GvLedger_Key(ledger, arg(argc, argv, 2), arg(argc, argv, 3));
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
        const gv_lhost_t *h = GvLedger_Host(ledger, GvStr_C(argv[i]));
        if (h != NULL) {
            show_host(h);
        }
    }
}

GV_VERB("as", verb_as);
GV_VERB("wait", verb_wait);
GV_VERB("times", verb_times);
GV_VERB("settings", verb_settings);
GV_VERB("host", verb_host);
GV_VERB("member", verb_member);
GV_VERB("claim", verb_claim);
GV_VERB("done", verb_done);
GV_VERB("wave", verb_wave);
GV_VERB("key", verb_key);
GV_VERB("checkpoint", verb_checkpoint);
GV_VERB("repeat", verb_repeat);
GV_VERB("reload", verb_reload);
GV_VERB("continue", verb_continue);
GV_VERB("show", verb_show);

/* Verbs that share one function. */
static gv_verb_t shared[] = {{.name = "confirm", .run = verb_step},
                             {.name = "act", .run = verb_step},
                             {.name = "takeover", .run = verb_step},
                             {.name = "raw", .run = verb_raw},
                             {.name = "payload", .run = verb_raw}};

__attribute__((constructor)) static void
register_shared(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(shared); i++) {
        GvScript_Add(&shared[i]);
    }
}
