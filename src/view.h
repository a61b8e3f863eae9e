#ifndef GV_VIEW_H
#define GV_VIEW_H

#include <stdbool.h>
#include <stdint.h>

#include "ledger.h"
#include "target.h"

/* Views are immutable snapshots of the ledger for the request path, published
   by RCU. Readers need no registration. */

/* A service and its targets. */
typedef struct {
    const gv_service_t *service;
    gv_target_t *
        *targets; /* of the local data centre and the service's pool */
    int n_targets;
} gv_view_service_t;

typedef struct {
    uint64_t next_offset; /* of the ledger */
    uint64_t settings_version;
    gv_settings_t *settings;
    gv_view_service_t *services;
    int n_services;
    gv_member_t *members; /* strings owned by the view */
    int n_members;
    bool joined; /* this entry host's join has been applied */
} gv_view_t;

typedef struct gv_views_s gv_views_t;

gv_views_t *GvViews_New(gv_str_t self, gv_str_t dc, gv_targets_t *targets);
void GvViews_Free(gv_views_t *vs);
/* Sets this entry host's incarnation, which `joined` of the next view depends
   on. */
void GvViews_SetIncarnation(gv_views_t *vs, uint64_t incarnation);
/* Applies the ledger to the target table and publishes a new view. The
   caller holds the ledger lock, which serialises the calls. */
void GvViews_Publish(gv_views_t *vs, const gv_ledger_t *l);
/* The view is valid until GvView_Release. Never NULL. */
const gv_view_t *GvView_Acquire(gv_views_t *vs);
void GvView_Release(void);
const gv_view_service_t *GvView_Service(const gv_view_t *v, gv_str_t name);
const gv_member_t *GvView_Member(const gv_view_t *v, gv_str_t name);

#endif
