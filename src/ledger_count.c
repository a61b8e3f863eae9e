#include "ledger_state.h"

#include <stdio.h>
#include <string.h>

/* Room for "p/", two names and a separator. */
#define TALLY_KEY (2 * GV_NAME_MAX_BYTES + 8)

/* Adds a host to one tally with the given sign; a tally without hosts is
   dropped so that the table stays as small as the state. */
static void
add_tally(gv_ledger_t *l, const char *key, const gv_ledger_host_t *h, int sign)
{
    gv_tally_t *t = g_hash_table_lookup(l->tallies, key);
    if (t == NULL) {
        t = g_new0(gv_tally_t, 1);
        g_hash_table_insert(l->tallies, g_strdup(key), t);
    }
    t->hosts += sign;
    if (h->claim != NULL) {
        t->claims += sign;
        t->maintenance += h->claim->kind == GV_CLAIM_MAINTENANCE ? sign : 0;
    }
    else if (h->state == GV_HOST_UP) {
        t->serving += sign;
    }
    if (t->hosts == 0) {
        g_hash_table_remove(l->tallies, key);
    }
}

/* Formats a tally's key. Names hold no '/', so keys are unambiguous. */
static const char *
tally_key(char out[TALLY_KEY], char scope, gv_str_t a, gv_str_t b)
{
    snprintf(out, TALLY_KEY, "%c/%.*s/%.*s", scope, GV_STR_ARG(a),
             GV_STR_ARG(b));
    return out;
}

/* Returns the packed size of a string. */
static size_t
str_size(gv_str_t s)
{
    return s.n + (s.n < 32 ? 1 : s.n < 256 ? 2 : 3);
}

/* Returns the packed size of a number. */
static size_t
uint_size(uint64_t v)
{
    return v < 128           ? 1
           : v < 256         ? 2
           : v <= UINT16_MAX ? 3
           : v <= UINT32_MAX ? 5
                             : 9;
}

/* Returns the packed size of a host with its claim. It is exact, because at
   the target size hosts take most of a checkpoint. */
static size_t
host_bytes(const gv_ledger_host_t *h)
{
    size_t n = str_size(h->name) + str_size(h->dc) + str_size(h->rack) +
               str_size(h->addr) + str_size(h->pool) + str_size(h->boot) +
               uint_size((uint64_t)h->slots) + uint_size(h->wave_done) + 3;
    const gv_claim_t *c = h->claim;
    if (c != NULL) {
        n += uint_size(c->offset) + uint_size(c->fence) + str_size(c->wave) +
             str_size(c->to_pool) + str_size(c->holder) +
             uint_size(c->holder_incarnation) + 6 +
             (size_t)c->waiting->len * (GV_NAME_MAX_BYTES + 2);
    }
    return n;
}

/* Counts a host into (sign 1) or out of (sign -1) all tallies. A change of a
   host or its claim is enclosed in a pair of calls: out, then in. */
void
GvLedger_CountHost(gv_ledger_t *l, const gv_ledger_host_t *h, int sign)
{
    char key[TALLY_KEY];
    gv_str_t none = GV_STR("");
    add_tally(l, tally_key(key, 'p', h->pool, none), h, sign);
    add_tally(l, tally_key(key, 'd', h->pool, h->dc), h, sign);
    add_tally(l, tally_key(key, 'r', h->dc, h->rack), h, sign);
    if (h->claim != NULL && h->claim->kind == GV_CLAIM_MAINTENANCE) {
        add_tally(l, tally_key(key, 'w', h->claim->wave, none), h, sign);
    }
    if (sign > 0) {
        l->hosts_bytes += host_bytes(h);
    }
    else {
        l->hosts_bytes -= host_bytes(h);
    }
}

/* Returns a tally, zero when nothing is counted under the key. */
static gv_tally_t
get_tally(const gv_ledger_t *l, char scope, gv_str_t a, gv_str_t b)
{
    char key[TALLY_KEY];
    const gv_tally_t *t =
        g_hash_table_lookup(l->tallies, tally_key(key, scope, a, b));
    return t == NULL ? (gv_tally_t){0} : *t;
}

/* Returns the tally of a pool. */
gv_tally_t
GvLedger_PoolTally(const gv_ledger_t *l, gv_str_t pool)
{
    return get_tally(l, 'p', pool, GV_STR(""));
}

/* Returns the tally of a pool's hosts in one data centre. */
gv_tally_t
GvLedger_PoolDcTally(const gv_ledger_t *l, gv_str_t pool, gv_str_t dc)
{
    return get_tally(l, 'd', pool, dc);
}

/* Returns the tally of a rack; rack names are unique within a data centre. */
gv_tally_t
GvLedger_RackTally(const gv_ledger_t *l, gv_str_t dc, gv_str_t rack)
{
    return get_tally(l, 'r', dc, rack);
}

/* Returns the tally of the hosts under claim for a wave. */
gv_tally_t
GvLedger_WaveTally(const gv_ledger_t *l, gv_str_t wave)
{
    return get_tally(l, 'w', wave, GV_STR(""));
}

/* Packed bytes of everything but keys. */
static size_t
state_bytes(const gv_ledger_t *l)
{
    return l->hosts_bytes + l->docs_bytes + l->members.bytes +
           l->former.bytes + l->waves.bytes + l->tombstones.bytes +
           l->origins.bytes;
}

/* Tells whether the state may grow by so many packed bytes and still fit in
   a checkpoint. Rows past their time do not count. */
bool
GvLedger_HasRoom(gv_ledger_t *l, size_t bytes)
{
    if (state_bytes(l) + bytes <= GV_STATE_MAX_BYTES) {
        return true;
    }
    GvLedger_DropExpired(l);
    return state_bytes(l) + bytes <= GV_STATE_MAX_BYTES;
}
