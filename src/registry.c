#include "registry.h"

#include <assert.h>
#include <string.h>

static gv_plugin_t *plugins[GV_PLUGIN_CLASSES];

/* Adds a plug-in to its class, sorted by name. Names are unique within a
   class. Needs no lock, because constructors call it before main. */
void
GvRegistry_Add(gv_plugin_class_t class, gv_plugin_t *p)
{
    gv_plugin_t **at = &plugins[class];
    while (*at != NULL && strcmp((*at)->name, p->name) < 0) {
        at = &(*at)->next;
    }
    assert(*at == NULL || strcmp((*at)->name, p->name) != 0);
    p->next = *at;
    *at = p;
}

/* Returns NULL if the class has no plug-in of that name. */
gv_plugin_t *
GvRegistry_Find(gv_plugin_class_t class, gv_str_t name)
{
    for (gv_plugin_t *p = plugins[class]; p != NULL; p = p->next) {
        if (GvStr_Equal(GvStr_C(p->name), name)) {
            return p;
        }
    }
    return NULL;
}

/* Returns the first plug-in of a class, or NULL; `next` links the others in
   the order of their names. */
gv_plugin_t *
GvRegistry_First(gv_plugin_class_t class)
{
    return plugins[class];
}
