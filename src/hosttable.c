#include "hosttable.h"

#include <string.h>

#include "error.h"
#include "limits.h"
#include "pack.h"

/* One version of the host list. */
typedef struct {
    uint64_t version;
    int64_t made_ms;
    GBytes *body;
} list_version_t;

struct gv_hosttable_s {
    GPtrArray *hosts; /* of gv_hosttable_host_t */
    GHashTable *by_name;
    bool dirty; /* a host changed since the newest version */
    uint64_t version;
    GArray *lists; /* of list_version_t, oldest first */
};

static const char *const state_names[] = {"live", "leaving", "gone"};

/* Releases a host and its strings. */
static void
free_host(gpointer p)
{
    gv_hosttable_host_t *h = p;
    GvStr_Free(&h->listed.host);
    GvStr_Free(&h->listed.dc);
    GvStr_Free(&h->listed.rack);
    GvStr_Free(&h->listed.addr);
    GvStr_Free(&h->listed.pool);
    GvStr_Free(&h->listed.boot);
    g_free(h);
}

/* Releases the body of a list version. */
static void
clear_list(gpointer p)
{
    g_bytes_unref(((list_version_t *)p)->body);
}

/* Creates an empty table; its first list has version 1 and no hosts. */
gv_hosttable_t *
GvHostTable_New(void)
{
    gv_hosttable_t *t = g_new0(gv_hosttable_t, 1);
    t->hosts = g_ptr_array_new_with_free_func(free_host);
    t->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    t->lists = g_array_new(FALSE, FALSE, sizeof(list_version_t));
    g_array_set_clear_func(t->lists, clear_list);
    t->dirty = true;
    GvHostTable_MakeList(t, 0);
    return t;
}

/* Releases the table. */
void
GvHostTable_Free(gv_hosttable_t *t)
{
    g_hash_table_destroy(t->by_name);
    g_ptr_array_free(t->hosts, TRUE);
    g_array_free(t->lists, TRUE);
    g_free(t);
}

/* Returns the host of that name, or NULL. */
static gv_hosttable_host_t *
find(const gv_hosttable_t *t, gv_str_t name)
{
    char *key = g_strndup(name.p, name.n);
    gv_hosttable_host_t *h = g_hash_table_lookup(t->by_name, key);
    g_free(key);
    return h;
}

/* Replaces an owned string by a copy of value. */
static void
replace(gv_str_t *field, gv_str_t value)
{
    gv_str_t copy = GvStr_Dup(value);
    GvStr_Free(field);
    *field = copy;
}

/* Adds or replaces a host; see the header. */
int
GvHostTable_Set(gv_hosttable_t *t, const gv_listed_host_t *n)
{
    gv_hosttable_host_t *h = find(t, n->host);
    if (h == NULL) {
        if (t->hosts->len >= GV_HOSTS_MAX) {
            return GV_EFULL;
        }
        h = g_new0(gv_hosttable_host_t, 1);
        h->listed.host = GvStr_Dup(n->host);
        char *boot = g_strdup_printf("%s-0", h->listed.host.p);
        h->listed.boot = GvStr_Dup(GvStr_C(n->slots > 0 ? boot : ""));
        g_free(boot);
        g_ptr_array_add(t->hosts, h);
        g_hash_table_insert(t->by_name, (char *)h->listed.host.p, h);
    }
    replace(&h->listed.dc, n->dc);
    replace(&h->listed.rack, n->rack);
    replace(&h->listed.addr, n->addr);
    replace(&h->listed.pool, n->pool);
    h->listed.slots = n->slots;
    h->rebooting = false;
    GvHostTable_SetState(t, h, n->state, n->boot);
    return GV_OK;
}

/* Finds a host and checks the fencing token; see the header. */
int
GvHostTable_CheckFence(gv_hosttable_t *t, gv_str_t name, uint64_t fence,
                       gv_hosttable_host_t **out)
{
    gv_hosttable_host_t *h = find(t, name);
    if (h == NULL || h->listed.state == GV_LISTED_GONE) {
        return GV_ENOENT;
    }
    if (fence < h->fence) {
        return GV_ESTALE;
    }
    h->fence = fence;
    *out = h;
    return GV_OK;
}

/* Changes state and boot identifier; see the header. */
void
GvHostTable_SetState(gv_hosttable_t *t, gv_hosttable_host_t *h,
                     gv_listed_state_t state, gv_str_t boot)
{
    h->listed.state = state;
    if (boot.n > 0) {
        replace(&h->listed.boot, boot);
    }
    t->dirty = true;
}

/* Returns the number of hosts. */
int
GvHostTable_Count(const gv_hosttable_t *t)
{
    return (int)t->hosts->len;
}

/* Returns host i in the order of registration. */
gv_hosttable_host_t *
GvHostTable_At(const gv_hosttable_t *t, int i)
{
    return t->hosts->pdata[i];
}

/* Packs one item of the list in the order of hostlist.h. */
static void
pack_host(msgpack_packer *pk, const gv_listed_host_t *h)
{
    msgpack_pack_array(pk, 8);
    GvPack_Str(pk, h->host);
    GvPack_Str(pk, h->dc);
    GvPack_Str(pk, h->rack);
    GvPack_Str(pk, h->addr);
    GvPack_Int(pk, h->slots);
    GvPack_Str(pk, h->pool);
    GvPack_Str(pk, GvStr_C(state_names[h->state]));
    GvPack_Str(pk, h->boot);
}

/* Adds a list version if needed; see the header. */
void
GvHostTable_MakeList(gv_hosttable_t *t, int64_t now_ms)
{
    if (!t->dirty) {
        return;
    }
    t->dirty = false;
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    msgpack_packer pk = GvPack_Array(&sb, 2);
    GvPack_Uint(&pk, ++t->version);
    msgpack_pack_array(&pk, t->hosts->len);
    for (guint i = 0; i < t->hosts->len; i++) {
        pack_host(&pk, &GvHostTable_At(t, (int)i)->listed);
    }
    list_version_t l = {t->version, now_ms, g_bytes_new(sb.data, sb.size)};
    msgpack_sbuffer_destroy(&sb);
    g_array_append_val(t->lists, l);
    if (t->lists->len > GV_HOSTTABLE_LISTS_MAX) {
        g_array_remove_index(t->lists, 0);
    }
}

/* Returns a reference to one list body; see the header. */
GBytes *
GvHostTable_List(const gv_hosttable_t *t, int64_t until_ms, uint64_t older,
                 uint64_t *version)
{
    guint at = t->lists->len - 1;
    while (at > 0 &&
           g_array_index(t->lists, list_version_t, at).made_ms > until_ms) {
        at--;
    }
    at -= (guint)MIN(older, at);
    const list_version_t *l = &g_array_index(t->lists, list_version_t, at);
    *version = l->version;
    return g_bytes_ref(l->body);
}

/* Parses a state name; see the header. */
int
GvHostTable_ParseState(const char *text, gv_listed_state_t *state)
{
    for (size_t i = 0; i < G_N_ELEMENTS(state_names); i++) {
        if (strcmp(text, state_names[i]) == 0) {
            *state = (gv_listed_state_t)i;
            return GV_OK;
        }
    }
    return GV_EINVAL;
}

/* Returns a query parameter, or "" if it is absent. */
static gv_str_t
query_str(const gv_server_request_t *rq, const char *name)
{
    return GvStr_C(GvServerRequest_Query(rq, name));
}

/* Parses the parameters of /hosts/set; see the header. */
const char *
GvHostTable_ParseQuery(const gv_server_request_t *rq, gv_listed_host_t *h)
{
    uint64_t slots = 0;
    const struct {
        const char *name;
        gv_str_t *value;
        bool optional;
    } names[] = {{"host", &h->host, false},
                 {"dc", &h->dc, false},
                 {"rack", &h->rack, true},
                 {"pool", &h->pool, true}};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        *names[i].value = query_str(rq, names[i].name);
        if (!(names[i].optional && names[i].value->n == 0) &&
            !GvStr_IsName(*names[i].value)) {
            return names[i].name;
        }
    }
    h->addr = query_str(rq, "addr");
    h->boot = query_str(rq, "boot");
    if (h->addr.n > GV_NAME_MAX_BYTES || strchr(h->addr.p, ':') == NULL) {
        return "addr";
    }
    if (h->boot.n > GV_NAME_MAX_BYTES) {
        return "boot";
    }
    if (GvServerRequest_QueryNumber(rq, "slots", GV_TARGET_SLOTS_MAX,
                                    &slots) != 0) {
        return "slots";
    }
    h->slots = (int)slots;
    const char *state = GvServerRequest_Query(rq, "state");
    if (state != NULL && GvHostTable_ParseState(state, &h->state) != GV_OK) {
        return "state";
    }
    return NULL;
}
