#include "admin_private.h"

/* Adds a string member. */
void
GvJson_AddString(JsonBuilder *b, const char *name, gv_str_t s)
{
    char *text = g_strndup(s.p, s.n);
    json_builder_set_member_name(b, name);
    json_builder_add_string_value(b, text);
    g_free(text);
}

/* Adds an integer member. */
void
GvJson_AddInt(JsonBuilder *b, const char *name, int64_t v)
{
    json_builder_set_member_name(b, name);
    json_builder_add_int_value(b, v);
}

/* Adds a number member. */
void
GvJson_AddNumber(JsonBuilder *b, const char *name, double v)
{
    json_builder_set_member_name(b, name);
    json_builder_add_double_value(b, v);
}

/* Adds a boolean member. */
void
GvJson_AddBool(JsonBuilder *b, const char *name, bool v)
{
    json_builder_set_member_name(b, name);
    json_builder_add_boolean_value(b, v);
}

/* Adds the waves that the ledger knows. */
static void
put_waves(JsonBuilder *b, const gv_ledger_t *l)
{
    static const char *const states[] = {"running", "halted", "done"};
    const GPtrArray *waves = GvLedger_Waves(l);
    json_builder_set_member_name(b, "waves");
    json_builder_begin_array(b);
    for (guint i = 0; i < waves->len; i++) {
        const gv_wave_t *w = waves->pdata[i];
        json_builder_begin_object(b);
        GvJson_AddString(b, "name", w->name);
        GvJson_AddString(b, "pool", w->pool);
        GvJson_AddString(b, "state", GvStr_C(states[w->state]));
        GvJson_AddInt(b, "width", w->width);
        GvJson_AddInt(b, "healthy", w->healthy);
        GvJson_AddString(b, "halt_reason", w->halt_reason);
        json_builder_end_object(b);
    }
    json_builder_end_array(b);
}

/* Adds the hosts under a claim; waiting is the number of confirmations that
   are outstanding. */
static void
put_claims(JsonBuilder *b, const gv_ledger_t *l)
{
    static const char *const kinds[] = {"maintenance", "move", "drain"};
    static const char *const phases[] = {"granted", "clear", "stopping"};
    const GPtrArray *hosts = GvLedger_Hosts(l);
    json_builder_set_member_name(b, "claims");
    json_builder_begin_array(b);
    for (guint i = 0; i < hosts->len; i++) {
        const gv_ledger_host_t *h = hosts->pdata[i];
        const gv_claim_t *c = h->claim;
        if (c == NULL) {
            continue;
        }
        json_builder_begin_object(b);
        GvJson_AddString(b, "host", h->name);
        GvJson_AddString(b, "pool", h->pool);
        GvJson_AddString(b, "kind", GvStr_C(kinds[c->kind]));
        GvJson_AddString(b, "phase", GvStr_C(phases[c->phase]));
        GvJson_AddString(b, "holder", c->holder);
        GvJson_AddInt(b, "offset", (int64_t)c->offset);
        GvJson_AddInt(b, "waiting", (int64_t)c->waiting->len);
        json_builder_end_object(b);
    }
    json_builder_end_array(b);
}

/* Adds the ledger's state under one lock, for a consistent look. */
void
GvAdmin_PutLedger(JsonBuilder *b, gv_kernel_t *k)
{
    const gv_ledger_t *l = GvReplica_Lock(k->replica);
    GvJson_AddInt(b, "offset", (int64_t)GvLedger_NextOffset(l));
    GvJson_AddInt(b, "settings_version", (int64_t)GvLedger_SettingsVersion(l));
    GvJson_AddInt(b, "covered", (int64_t)GvLedger_CoveredOffset(l));
    char digest[24];
    g_snprintf(digest, sizeof digest, "%016" G_GINT64_MODIFIER "x",
               (guint64)GvLedger_Digest(l));
    GvJson_AddString(b, "digest", GvStr_C(digest));
    put_waves(b, l);
    put_claims(b, l);
    GvReplica_Unlock(k->replica);
}
