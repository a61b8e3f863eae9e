#ifndef GV_REGISTRY_H
#define GV_REGISTRY_H

#include "str.h"

/* Classes of plug-ins, which register themselves before main. Each class has
   its own struct of function pointers, which begins with a gv_plugin_t. */
typedef enum {
    GV_PLUGIN_RECORD,  /* gv_record_kind_t */
    GV_PLUGIN_QUEUE,   /* gv_queue_policy_t */
    GV_PLUGIN_PLACE,   /* gv_place_policy_t */
    GV_PLUGIN_RETRY,   /* gv_retry_policy_t */
    GV_PLUGIN_WAVE,    /* gv_wave_policy_t */
    GV_PLUGIN_RESERVE, /* gv_reserve_policy_t */
    GV_PLUGIN_COMMAND, /* gv_command_t */
    GV_PLUGIN_CLASSES  /* number of classes */
} gv_plugin_class_t;

typedef struct gv_plugin_s {
    const char *name;
    struct gv_plugin_s *next;
} gv_plugin_t;

void GvRegistry_Add(gv_plugin_class_t class, gv_plugin_t *p);
gv_plugin_t *GvRegistry_Find(gv_plugin_class_t class, gv_str_t name);
gv_plugin_t *GvRegistry_First(gv_plugin_class_t class);

/* Registers the plug-in var, a variable at file scope, before main. */
#define GV_REGISTER(class, var)                                               \
    __attribute__((constructor)) static void var##_register(void)             \
    {                                                                         \
        GvRegistry_Add(class, &(var).plugin);                                 \
    }                                                                         \
    struct gv_plugin_s

#endif
