#include "hostlist.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "error.h"
#include "limits.h"
#include "pack.h"

/* Writes a message about item i (-1: the list itself) into err, of n bytes.
   Returns GV_EINVAL. */
static int
set_error(char *err, size_t n, int i, const char *field)
{
    if (i < 0) {
        snprintf(err, n, "host list: invalid %s", field);
    }
    else {
        snprintf(err, n, "host list: item %d: invalid %s", i, field);
    }
    return GV_EINVAL;
}

/* Returns true if s is empty or a valid name. */
static bool
is_name_or_empty(gv_str_t s)
{
    return s.n == 0 || GvStr_IsName(s);
}

/* Parses a state name; returns 0 or GV_EINVAL. */
static int
parse_state(gv_str_t s, gv_listed_state_t *state)
{
    static const char *const names[] = {"live", "leaving", "gone"};
    for (int i = 0; i < 3; i++) {
        if (GvStr_Equal(s, GvStr_C(names[i]))) {
            *state = (gv_listed_state_t)i;
            return GV_OK;
        }
    }
    return GV_EINVAL;
}

/* Parses item i. The strings of *out point into the message. */
static int
parse_host(const msgpack_object *o, int i, gv_listed_host_t *out, char *err,
           size_t n)
{
    gv_unpack_t u = GvUnpack_Array(o, 8);
    if (u.err != GV_OK) {
        return set_error(err, n, i, "size");
    }
    gv_listed_host_t h = {0};
    h.host = GvUnpack_Str(&u);
    h.dc = GvUnpack_Str(&u);
    h.rack = GvUnpack_Str(&u);
    h.addr = GvUnpack_Str(&u);
    int64_t slots = GvUnpack_Int(&u);
    h.pool = GvUnpack_Str(&u);
    gv_str_t state = GvUnpack_Str(&u);
    h.boot = GvUnpack_Str(&u);
    if (u.err != GV_OK) {
        return set_error(err, n, i, "type");
    }
    if (!GvStr_IsName(h.host)) {
        return set_error(err, n, i, "host");
    }
    if (!GvStr_IsName(h.dc)) {
        return set_error(err, n, i, "dc");
    }
    if (!is_name_or_empty(h.rack)) {
        return set_error(err, n, i, "rack");
    }
    if (h.addr.n == 0 || h.addr.n > GV_NAME_MAX_BYTES) {
        return set_error(err, n, i, "addr");
    }
    if (slots < 0 || slots > GV_TARGET_SLOTS_MAX) {
        return set_error(err, n, i, "slots");
    }
    if (!is_name_or_empty(h.pool)) {
        return set_error(err, n, i, "pool");
    }
    if (parse_state(state, &h.state) != GV_OK) {
        return set_error(err, n, i, "state");
    }
    if (h.boot.n > GV_NAME_MAX_BYTES) {
        return set_error(err, n, i, "boot");
    }
    h.slots = (int)slots;
    *out = h;
    return GV_OK;
}

/* Replaces the strings of h by copies that it owns. */
static void
copy_strings(gv_listed_host_t *h)
{
    h->host = GvStr_Dup(h->host);
    h->dc = GvStr_Dup(h->dc);
    h->rack = GvStr_Dup(h->rack);
    h->addr = GvStr_Dup(h->addr);
    h->pool = GvStr_Dup(h->pool);
    h->boot = GvStr_Dup(h->boot);
}

/* Parses the items into the list, which gets copies of their strings. */
static int
parse_items(const msgpack_object *o, gv_hostlist_t *list, char *err, size_t n)
{
    if (o == NULL || o->type != MSGPACK_OBJECT_ARRAY ||
        o->via.array.size > GV_HOSTS_MAX) {
        return set_error(err, n, -1, "hosts");
    }
    int count = (int)o->via.array.size;
    list->hosts = g_new0(gv_listed_host_t, (gsize)count + 1);
    GHashTable *seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    int res = GV_OK;
    for (int i = 0; i < count && res == GV_OK; i++) {
        gv_listed_host_t h;
        res = parse_host(&o->via.array.ptr[i], i, &h, err, n);
        if (res == GV_OK &&
            !g_hash_table_add(seen, g_strndup(h.host.p, h.host.n))) {
            res = set_error(err, n, i, "host: listed twice");
        }
        if (res == GV_OK) {
            copy_strings(&h);
            list->hosts[list->n++] = h;
        }
    }
    g_hash_table_destroy(seen);
    return res;
}

/* Parses a host list; the list owns its strings and is released with
   GvHostList_Clear. Returns 0, or GV_EINVAL with an empty list and the item
   and field named in err, of n bytes. */
int
GvHostList_Parse(gv_str_t bytes, gv_hostlist_t *list, char *err, size_t n)
{
    memset(list, 0, sizeof *list);
    msgpack_unpacked un;
    int res = GvUnpack_Root(&un, bytes);
    if (res != GV_OK) {
        set_error(err, n, -1, "msgpack");
    }
    else {
        gv_unpack_t u = GvUnpack_Array(&un.data, 2);
        list->version = GvUnpack_Uint(&u);
        const msgpack_object *items = GvUnpack_Any(&u);
        res = u.err != GV_OK ? set_error(err, n, -1, "version")
                             : parse_items(items, list, err, n);
    }
    msgpack_unpacked_destroy(&un);
    if (res != GV_OK) {
        GvHostList_Clear(list);
    }
    return res;
}

/* Releases the hosts and empties the list. */
void
GvHostList_Clear(gv_hostlist_t *list)
{
    for (int i = 0; i < list->n; i++) {
        gv_listed_host_t *h = &list->hosts[i];
        GvStr_Free(&h->host);
        GvStr_Free(&h->dc);
        GvStr_Free(&h->rack);
        GvStr_Free(&h->addr);
        GvStr_Free(&h->pool);
        GvStr_Free(&h->boot);
    }
    g_free(list->hosts);
    memset(list, 0, sizeof *list);
}
