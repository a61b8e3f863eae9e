#include "message.h"

#include <glib.h>
#include <limits.h>
#include <string.h>

#include "error.h"
#include "limits.h"

static void
pack_hello(msgpack_packer *pk, const gv_msg_hello_t *h)
{
    msgpack_pack_array(pk, 4);
    GvPack_Str(pk, h->entry);
    GvPack_Str(pk, h->dc);
    GvPack_Str(pk, h->region);
    GvPack_Uint(pk, h->incarnation);
}

static void
pack_heartbeat(msgpack_packer *pk, const gv_msg_heartbeat_t *b)
{
    msgpack_pack_array(pk, 5);
    GvPack_Uint(pk, b->offset);
    GvPack_Uint(pk, b->list_version);
    GvPack_Bool(pk, b->platform_ok);
    msgpack_pack_array(pk, (size_t)b->n_loads);
    for (int i = 0; i < b->n_loads; i++) {
        const gv_load_t *l = &b->loads[i];
        msgpack_pack_array(pk, 5);
        GvPack_Str(pk, l->service);
        GvPack_Int(pk, l->queued);
        GvPack_Int(pk, l->busy);
        GvPack_Int(pk, l->slots);
        GvPack_Int(pk, l->rate);
    }
    msgpack_pack_array(pk, (size_t)b->n_health);
    for (int i = 0; i < b->n_health; i++) {
        const gv_health_t *h = &b->health[i];
        msgpack_pack_array(pk, 5);
        GvPack_Str(pk, h->host);
        GvPack_Str(pk, h->boot);
        GvPack_Bool(pk, h->leaving);
        GvPack_Bool(pk, h->healthy);
        GvPack_Uint(pk, h->seen);
    }
}

static void
pack_execute(msgpack_packer *pk, const gv_msg_execute_t *e)
{
    msgpack_pack_array(pk, 11);
    GvPack_Str(pk, e->service);
    GvPack_Str(pk, e->method);
    GvPack_Str(pk, e->path);
    GvPack_Str(pk, e->content_type);
    GvPack_Str(pk, e->team);
    GvPack_Str(pk, e->work);
    GvPack_Bool(pk, e->urgent);
    GvPack_Bool(pk, e->to_owner);
    GvPack_Str(pk, e->ticket);
    GvPack_Str(pk, e->key);
    GvPack_Bin(pk, e->body);
}

static void
pack_result(msgpack_packer *pk, const gv_answer_t *a)
{
    msgpack_pack_array(pk, 6);
    GvPack_Int(pk, a->outcome);
    GvPack_Int(pk, a->status);
    GvPack_Int(pk, a->retry_after_ms);
    GvPack_Str(pk, a->reason);
    GvPack_Str(pk, a->content_type);
    GvPack_Bin(pk, a->body);
}

static void
pack_records(msgpack_packer *pk, const gv_msg_ledger_records_t *r)
{
    msgpack_pack_array(pk, 1);
    msgpack_pack_array(pk, (size_t)r->n_records);
    for (int i = 0; i < r->n_records; i++) {
        msgpack_pack_array(pk, 3);
        GvPack_Uint(pk, r->records[i].offset);
        GvPack_Int(pk, r->records[i].append_ms);
        GvPack_Bin(pk, r->records[i].bytes);
    }
}

static void
pack_slots(msgpack_packer *pk, const gv_msg_slots_t *s)
{
    msgpack_pack_array(pk, 3);
    GvPack_Str(pk, s->host);
    GvPack_Int(pk, s->count);
    GvPack_Int(pk, s->lease_ms);
}

/* Appends the frame body of m to out: version, kind, number, time left until
   the deadline in ms, content. A deadline that has passed is sent as 1 ms,
   because 0 means no deadline. */
void
GvMessage_Pack(msgpack_sbuffer *out, const gv_message_t *m)
{
    msgpack_packer pk;
    msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
    msgpack_pack_array(&pk, 5);
    GvPack_Uint(&pk, GV_FRAME_VERSION);
    GvPack_Uint(&pk, m->kind);
    GvPack_Uint(&pk, m->number);
    GvPack_Int(&pk, m->deadline_ms < 0 ? 1 : m->deadline_ms);
    switch (m->kind) {
    case GV_MSG_HELLO:
        pack_hello(&pk, &m->u.hello);
        break;
    case GV_MSG_HEARTBEAT:
        pack_heartbeat(&pk, &m->u.heartbeat);
        break;
    case GV_MSG_EXECUTE:
        pack_execute(&pk, &m->u.execute);
        break;
    case GV_MSG_RESULT:
        pack_result(&pk, &m->u.result);
        break;
    case GV_MSG_CANCEL:
        msgpack_pack_array(&pk, 0);
        break;
    case GV_MSG_LEDGER_GET:
        msgpack_pack_array(&pk, 1);
        GvPack_Uint(&pk, m->u.ledger_get.from);
        break;
    case GV_MSG_LEDGER_RECORDS:
        pack_records(&pk, &m->u.ledger_records);
        break;
    case GV_MSG_LEDGER_SNAPSHOT:
        msgpack_pack_array(&pk, 1);
        GvPack_Bin(&pk, m->u.ledger_snapshot);
        break;
    case GV_MSG_SLOT_BORROW:
    case GV_MSG_SLOT_LEND:
    case GV_MSG_SLOT_RETURN:
        pack_slots(&pk, &m->u.slots);
        break;
    }
}

/* Reads a number from 0 to max; sets u->err to GV_EINVAL for any other. */
static int
get_int(gv_unpack_t *u, int max)
{
    int64_t v = GvUnpack_Int(u);
    if (v < 0 || v > max) {
        u->err = GV_EINVAL;
        return 0;
    }
    return (int)v;
}

/* Reads a string; sets u->err to GV_EINVAL if it is no valid name. */
static gv_str_t
get_name(gv_unpack_t *u)
{
    gv_str_t s = GvUnpack_Str(u);
    if (u->err == GV_OK && !GvStr_IsName(s)) {
        u->err = GV_EINVAL;
    }
    return s;
}

static void
get_hello(gv_unpack_t *u, gv_msg_hello_t *h)
{
    h->entry = get_name(u);
    h->dc = get_name(u);
    h->region = get_name(u);
    h->incarnation = GvUnpack_Uint(u);
}

/* Starts reading an array of at most max items. Allocates *items, zeroed, with
   size bytes for each. */
static gv_unpack_t
get_list(gv_unpack_t *u, uint32_t max, size_t size, void **items)
{
    gv_unpack_t list = GvUnpack_Sub(u, 0);
    if (list.err == GV_OK && list.array->size > max) {
        list.err = u->err = GV_EINVAL;
    }
    if (list.err == GV_OK) {
        *items = g_malloc0_n(list.array->size, size);
    }
    return list;
}

static void
get_heartbeat(gv_unpack_t *u, gv_msg_heartbeat_t *b)
{
    b->offset = GvUnpack_Uint(u);
    b->list_version = GvUnpack_Uint(u);
    b->platform_ok = GvUnpack_Bool(u);
    gv_unpack_t list =
        get_list(u, GV_DOCUMENTS_MAX, sizeof *b->loads, (void **)&b->loads);
    while (GvUnpack_HasNext(&list)) {
        gv_unpack_t it = GvUnpack_Sub(&list, 5);
        gv_load_t *l = &b->loads[b->n_loads++];
        l->service = get_name(&it);
        l->queued = get_int(&it, INT_MAX);
        l->busy = get_int(&it, INT_MAX);
        l->slots = get_int(&it, INT_MAX);
        l->rate = get_int(&it, INT_MAX);
        list.err = it.err;
    }
    if (list.err != GV_OK) {
        u->err = list.err;
        return;
    }
    list = get_list(u, GV_HOSTS_MAX, sizeof *b->health, (void **)&b->health);
    while (GvUnpack_HasNext(&list)) {
        gv_unpack_t it = GvUnpack_Sub(&list, 5);
        gv_health_t *h = &b->health[b->n_health++];
        h->host = get_name(&it);
        h->boot = GvUnpack_Str(&it);
        h->leaving = GvUnpack_Bool(&it);
        h->healthy = GvUnpack_Bool(&it);
        h->seen = GvUnpack_Uint(&it);
        list.err = it.err;
    }
    u->err = list.err;
}

static void
get_execute(gv_unpack_t *u, gv_msg_execute_t *e)
{
    e->service = get_name(u);
    e->method = GvUnpack_Str(u);
    e->path = GvUnpack_Str(u);
    e->content_type = GvUnpack_Str(u);
    e->team = GvUnpack_Str(u);
    e->work = GvUnpack_Str(u);
    e->urgent = GvUnpack_Bool(u);
    e->to_owner = GvUnpack_Bool(u);
    e->ticket = GvUnpack_Str(u);
    e->key = GvUnpack_Str(u);
    e->body = GvUnpack_Str(u);
    if (e->body.n > GV_BODY_MAX_BYTES) {
        u->err = GV_EINVAL;
    }
}

static void
get_result(gv_unpack_t *u, gv_answer_t *a)
{
    a->outcome = (gv_outcome_t)get_int(u, GV_OUTCOME_UNKNOWN);
    a->status = get_int(u, 999);
    a->retry_after_ms = get_int(u, INT_MAX);
    a->reason = GvUnpack_Str(u);
    a->content_type = GvUnpack_Str(u);
    a->body = GvUnpack_Str(u);
}

static void
get_records(gv_unpack_t *u, gv_msg_ledger_records_t *r)
{
    gv_unpack_t list = get_list(u, GV_REPLICA_RING_RECORDS, sizeof *r->records,
                                (void **)&r->records);
    while (GvUnpack_HasNext(&list)) {
        gv_unpack_t it = GvUnpack_Sub(&list, 3);
        gv_raw_record_t *rec = &r->records[r->n_records++];
        rec->offset = GvUnpack_Uint(&it);
        rec->append_ms = GvUnpack_Int(&it);
        rec->bytes = GvUnpack_Str(&it);
        list.err = it.err;
    }
    u->err = list.err;
}

static void
get_slots(gv_unpack_t *u, gv_msg_slots_t *s)
{
    s->host = get_name(u);
    s->count = get_int(u, INT_MAX);
    s->lease_ms = get_int(u, INT_MAX);
}

/* Reads the content of a message of m->kind; sets u->err for an unknown kind
   or malformed content. */
static void
get_content(gv_unpack_t *u, gv_message_t *m)
{
    switch (m->kind) {
    case GV_MSG_HELLO:
        get_hello(u, &m->u.hello);
        break;
    case GV_MSG_HEARTBEAT:
        get_heartbeat(u, &m->u.heartbeat);
        break;
    case GV_MSG_EXECUTE:
        get_execute(u, &m->u.execute);
        break;
    case GV_MSG_RESULT:
        get_result(u, &m->u.result);
        break;
    case GV_MSG_CANCEL:
        break;
    case GV_MSG_LEDGER_GET:
        m->u.ledger_get.from = GvUnpack_Uint(u);
        break;
    case GV_MSG_LEDGER_RECORDS:
        get_records(u, &m->u.ledger_records);
        break;
    case GV_MSG_LEDGER_SNAPSHOT:
        m->u.ledger_snapshot = GvUnpack_Str(u);
        break;
    case GV_MSG_SLOT_BORROW:
    case GV_MSG_SLOT_LEND:
    case GV_MSG_SLOT_RETURN:
        get_slots(u, &m->u.slots);
        break;
    default:
        u->err = GV_EINVAL;
        break;
    }
}

/* Parses one frame body. Returns 0, with the views in m valid as long as frame
   and un, or GV_EINVAL for malformed input, another version or an unknown
   kind. The caller releases m with GvMessage_Clear and destroys un in every
   case. */
int
GvMessage_Unpack(gv_str_t frame, msgpack_unpacked *un, gv_message_t *m)
{
    memset(m, 0, sizeof *m);
    int err = GvUnpack_Root(un, frame);
    if (err != GV_OK) {
        return err;
    }
    gv_unpack_t u = GvUnpack_Array(&un->data, 5);
    uint64_t version = GvUnpack_Uint(&u);
    m->kind = (gv_msg_kind_t)get_int(&u, GV_MSG_SLOT_RETURN);
    m->number = GvUnpack_Uint(&u);
    m->deadline_ms = GvUnpack_Int(&u);
    gv_unpack_t content = GvUnpack_Sub(&u, 0);
    if (u.err != GV_OK || version != GV_FRAME_VERSION || m->deadline_ms < 0) {
        m->kind = 0;
        return GV_EINVAL;
    }
    get_content(&content, m);
    return content.err;
}

/* Frees the arrays that GvMessage_Unpack allocated in m. */
void
GvMessage_Clear(gv_message_t *m)
{
    if (m->kind == GV_MSG_HEARTBEAT) {
        g_free(m->u.heartbeat.loads);
        g_free(m->u.heartbeat.health);
    }
    else if (m->kind == GV_MSG_LEDGER_RECORDS) {
        g_free(m->u.ledger_records.records);
    }
    memset(m, 0, sizeof *m);
}
