#include <stdio.h>
#include <string.h>

#include "error.h"
#include "ledger_state.h"

/* Packs settings: [base version, [[file, text], ...]]. */
void
GvLedger_PackSettings(msgpack_sbuffer *out, uint64_t base,
                      const gv_document_t *docs, int n)
{
    msgpack_packer pk = GvPack_Array(out, 2);
    GvPack_Uint(&pk, base);
    msgpack_pack_array(&pk, (size_t)n);
    for (int i = 0; i < n; i++) {
        msgpack_pack_array(&pk, 2);
        GvPack_Str(&pk, docs[i].file);
        GvPack_Str(&pk, docs[i].text);
    }
}

/* Reads [[file, text], ...] into owned documents and adds up their packed
   bytes. Returns 0 or GV_EINVAL. */
int
GvLedger_ReadDocuments(gv_unpack_t *u, GPtrArray *docs, size_t *bytes)
{
    gv_unpack_t list = GvUnpack_Sub(u, 0);
    *bytes = 0;
    while (GvUnpack_HasNext(&list)) {
        gv_unpack_t item = GvUnpack_Sub(&list, 2);
        gv_str_t file = GvUnpack_Str(&item);
        gv_str_t text = GvUnpack_Str(&item);
        if (item.err != GV_OK || docs->len >= GV_DOCUMENTS_MAX ||
            file.n > GV_PATH_MAX_BYTES ||
            memchr(file.p, '\0', file.n) != NULL) {
            return GV_EINVAL;
        }
        gv_document_t *d = g_new0(gv_document_t, 1);
        d->file = GvStr_Dup(file);
        d->text = GvStr_Dup(text);
        g_ptr_array_add(docs, d);
        *bytes += file.n + text.n + 11;
    }
    return u->err != GV_OK || list.err != GV_OK ? GV_EINVAL : GV_OK;
}

/* Parses and links documents. Returns the set, or NULL with the problems. */
gv_settings_t *
GvLedger_ParseDocuments(const GPtrArray *docs, gv_problems_t *ps)
{
    int err = GV_OK;
    gv_settings_t *s = GvSettings_New();
    for (unsigned i = 0; i < docs->len; i++) {
        const gv_document_t *d = g_ptr_array_index(docs, i);
        if (GvSettings_AddDocument(s, d->file.p, d->text, ps) != GV_OK) {
            err = GV_EINVAL;
        }
    }
    if (err != GV_OK || GvSettings_Link(s, ps) != GV_OK) {
        GvSettings_Unref(s);
        return NULL;
    }
    return s;
}

/* Refuses with the first problem and the number of others. */
static int
refuse_problems(const gv_problems_t *ps, char *reason, size_t n)
{
    const gv_problem_t *p = ps->len > 0 ? g_ptr_array_index(ps, 0) : NULL;
    if (p == NULL) {
        return GvLedger_Refuse(reason, n, "the documents are invalid");
    }
    return GvLedger_Refuse(reason, n, "%.40s:%d: %.40s: %.80s (%u problems)",
                           p->file.p, p->line, p->field.p, p->text.p, ps->len);
}

/* Refuses settings that drop a pool which still has hosts, is the
   destination of a move or has a wave: its budget would be undefined. */
static int
check_pools(const gv_ledger_t *l, const gv_settings_t *s, char *reason,
            size_t n)
{
    for (int i = 0; i < GvSettings_PoolCount(l->settings); i++) {
        gv_str_t pool = GvSettings_PoolAt(l->settings, i)->name;
        if (GvSettings_Pool(s, pool) != NULL) {
            continue;
        }
        if (GvLedger_PoolTally(l, pool).hosts > 0 ||
            GvLedger_ActiveWave(l, pool) != NULL) {
            return GvLedger_Refuse(reason, n,
                                   "pool %.*s is dropped but has hosts or a "
                                   "wave",
                                   GV_STR_ARG(pool));
        }
    }
    for (unsigned i = 0; i < l->hosts.rows->len; i++) {
        const gv_ledger_host_t *h = g_ptr_array_index(l->hosts.rows, i);
        if (h->claim != NULL && h->claim->kind == GV_CLAIM_MOVE &&
            GvSettings_Pool(s, h->claim->to_pool) == NULL) {
            return GvLedger_Refuse(reason, n,
                                   "pool %.*s is dropped but host %.*s moves "
                                   "to it",
                                   GV_STR_ARG(h->claim->to_pool),
                                   GV_STR_ARG(h->name));
        }
    }
    return GV_OK;
}

/* Checks size, validity and pools of new documents. Returns 0 with the
   parsed set. */
static int
check_documents(gv_ledger_t *l, const GPtrArray *docs, size_t bytes,
                gv_settings_t **out, char *reason, size_t n)
{
    size_t grown = bytes > l->docs_bytes ? bytes - l->docs_bytes : 0;
    if (bytes > GV_SETTINGS_TEXT_BYTES || !GvLedger_HasRoom(l, grown)) {
        return GvLedger_Refuse(reason, n, "the documents are too large");
    }
    gv_problems_t *ps = GvProblems_New();
    gv_settings_t *s = GvLedger_ParseDocuments(docs, ps);
    int err = s == NULL ? refuse_problems(ps, reason, n)
                        : check_pools(l, s, reason, n);
    g_ptr_array_unref(ps);
    if (err != GV_OK) {
        GvSettings_Unref(s);
        return err;
    }
    *out = s;
    return GV_OK;
}

/* Applies a settings record: its documents replace the ones in force. The
   version is the offset after the record, because 0 stands for no settings
   and a record at offset 0 has to differ from it. */
static int
fold_settings(gv_ledger_t *l, uint64_t offset, const gv_record_t *r,
              char *reason, size_t n)
{
    size_t bytes = 0;
    gv_settings_t *s = NULL;
    gv_unpack_t u = GvUnpack_Array(r->payload, 2);
    uint64_t base = GvUnpack_Uint(&u);
    GPtrArray *docs = g_ptr_array_new_with_free_func(GvLedger_FreeDocument);
    int err = GvLedger_ReadDocuments(&u, docs, &bytes);
    if (err == GV_OK && base != l->version) {
        err = GvLedger_Refuse(
            reason, n, "base version %llu is not the current %llu",
            (unsigned long long)base, (unsigned long long)l->version);
    }
    if (err == GV_OK) {
        err = check_documents(l, docs, bytes, &s, reason, n);
    }
    if (err != GV_OK) {
        g_ptr_array_unref(docs);
        return err;
    }
    GvSettings_Unref(l->settings);
    g_ptr_array_unref(l->docs);
    l->settings = s;
    l->docs = docs;
    l->docs_bytes = bytes;
    l->version = offset + 1;
    return GV_OK;
}

static gv_record_kind_t settings_kind = {{"settings", NULL}, fold_settings};
GV_REGISTER(GV_PLUGIN_RECORD, settings_kind);
