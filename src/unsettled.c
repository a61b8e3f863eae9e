#include "unsettled.h"

#include "limits.h"

typedef struct {
    gv_str_t id; /* of the job */
    int64_t until_ms;
} gv_entry_t;

void
GvUnsettled_Init(gv_unsettled_t *u)
{
    g_queue_init(&u->entries);
}

static void
free_entry(gpointer p)
{
    gv_entry_t *e = p;
    GvStr_Free(&e->id);
    g_free(e);
}

void
GvUnsettled_Clear(gv_unsettled_t *u)
{
    g_queue_clear_full(&u->entries, free_entry);
}

/* Forgets the jobs whose time is over, and the oldest ones if there are too
   many. */
static void
expire(gv_unsettled_t *u, int64_t now_ms)
{
    const gv_entry_t *oldest = g_queue_peek_head(&u->entries);
    while (oldest != NULL && (now_ms >= oldest->until_ms ||
                              u->entries.length >= GV_INTAKE_UNSETTLED_MAX)) {
        free_entry(g_queue_pop_head(&u->entries));
        oldest = g_queue_peek_head(&u->entries);
    }
}

/* Notes a job whose submission may be stored up to GV_INTAKE_LATE_MS after
   now_ms, given in ascending order. */
void
GvUnsettled_Add(gv_unsettled_t *u, gv_str_t id, int64_t now_ms)
{
    gv_entry_t *e = g_new(gv_entry_t, 1);
    expire(u, now_ms);
    *e = (gv_entry_t){GvStr_Dup(id), now_ms + GV_INTAKE_LATE_MS};
    g_queue_push_tail(&u->entries, e);
}

/* Returns true if a submission of the job may still be stored. */
bool
GvUnsettled_Has(const gv_unsettled_t *u, gv_str_t id, int64_t now_ms)
{
    for (const GList *l = u->entries.head; l != NULL; l = l->next) {
        const gv_entry_t *e = l->data;
        if (now_ms < e->until_ms && GvStr_Equal(e->id, id)) {
            return true;
        }
    }
    return false;
}
