#include "ledger_state.h"

#include <assert.h>

/* Hash function of the index; the keys point to the names in the rows. */
static guint
hash_name(gconstpointer key)
{
    return GvStr_Hash(*(const gv_str_t *)key);
}

/* Equality function of the index. */
static gboolean
same_name(gconstpointer a, gconstpointer b)
{
    return GvStr_Equal(*(const gv_str_t *)a, *(const gv_str_t *)b);
}

/* Initializes an empty table that frees its rows with free_row. `size` may be
   NULL; then the table does not track its packed size. */
void
GvTable_Init(gv_table_t *t, GDestroyNotify free_row,
             size_t (*size)(const void *row))
{
    t->rows = g_ptr_array_new_with_free_func(free_row);
    t->index = g_hash_table_new(hash_name, same_name);
    t->size = size;
    t->bytes = 0;
}

/* Frees the contents of a table with all rows. */
void
GvTable_Clear(gv_table_t *t)
{
    g_hash_table_unref(t->index);
    g_ptr_array_unref(t->rows);
}

/* Returns the row of that name, or NULL. */
void *
GvTable_Find(const gv_table_t *t, gv_str_t name)
{
    return g_hash_table_lookup(t->index, &name);
}

/* Returns the index of the first row whose name is not below `name`, or the
   number of rows if all are. */
static unsigned
lower_bound(const gv_table_t *t, gv_str_t name)
{
    unsigned lo = 0;
    unsigned hi = t->rows->len;
    while (lo < hi) {
        unsigned mid = (lo + hi) / 2;
        const gv_str_t *at = g_ptr_array_index(t->rows, mid);
        if (GvStr_Compare(*at, name) < 0) {
            lo = mid + 1;
        }
        else {
            hi = mid;
        }
    }
    return lo;
}

/* Adds a row, which the table then owns. Its name must not be in the table. */
void
GvTable_Add(gv_table_t *t, void *row)
{
    gv_str_t *name = row;
    assert(GvTable_Find(t, *name) == NULL);
    g_ptr_array_insert(t->rows, (int)lower_bound(t, *name), row);
    g_hash_table_insert(t->index, name, row);
    if (t->size != NULL) {
        t->bytes += t->size(row);
    }
}

/* Removes and frees the row of that name, if there is one. */
void
GvTable_Remove(gv_table_t *t, gv_str_t name)
{
    void *row = GvTable_Find(t, name);
    if (row == NULL) {
        return;
    }
    if (t->size != NULL) {
        t->bytes -= t->size(row);
    }
    unsigned at = lower_bound(t, name);
    g_hash_table_remove(t->index, row);
    g_ptr_array_remove_index(t->rows, at);
}
