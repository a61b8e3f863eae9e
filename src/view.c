#include "view.h"

#include <stdatomic.h>
#include <string.h>
#include <urcu-bp.h>

#if defined(__has_feature)
#if __has_feature(thread_sanitizer)
#include <sanitizer/tsan_interface.h>
#define GV_TSAN
#endif
#endif

/* liburcu orders memory accesses by barriers in assembly, which
   ThreadSanitizer does not see. These state the order that RCU guarantees:
   publication before use; use before the end of the grace period; callbacks
   before the return of rcu_barrier. */
#ifdef GV_TSAN
#define TSAN_RELEASE(p) __tsan_release(p)
#define TSAN_ACQUIRE(p) __tsan_acquire(p)
static char grace;

const char *__tsan_default_suppressions(void);

/* liburcu is not instrumented either: the work items that rcu_barrier
   allocates pass to its call_rcu thread through its own lock-free queue, so
   that freeing them there is reported as a race. This covers only calls made
   by the library itself, not those of callbacks into this program. */
const char *
__tsan_default_suppressions(void)
{
    return "called_from_lib:liburcu-bp.so\n";
}
#else
#define TSAN_RELEASE(p) ((void)0)
#define TSAN_ACQUIRE(p) ((void)0)
#endif

/* A view with what its publication and release need. */
typedef struct {
    gv_view_t view;
    struct rcu_head rcu;
} published_view_t;

struct gv_views_s {
    gv_str_t self;
    gv_str_t dc;
    gv_targets_t *targets;
    atomic_uint_fast64_t incarnation;
    published_view_t *current;
};

/* Frees a view that no reader can see any more. */
static void
free_view(published_view_t *b)
{
    gv_view_t *v = &b->view;
    for (int i = 0; i < v->n_services; i++) {
        for (int j = 0; j < v->services[i].n_targets; j++) {
            GvTarget_Unref(v->services[i].targets[j]);
        }
        g_free(v->services[i].targets);
    }
    g_free(v->services);
    for (int i = 0; i < v->n_members; i++) {
        GvStr_Free(&v->members[i].name);
        GvStr_Free(&v->members[i].dc);
        GvStr_Free(&v->members[i].peer_addr);
        GvStr_Free(&v->members[i].http_addr);
    }
    g_free(v->members);
    if (v->settings != NULL) {
        GvSettings_Unref(v->settings);
    }
    g_free(b);
}

/* Called after the grace period. */
static void
free_rcu(struct rcu_head *head)
{
    TSAN_ACQUIRE(&grace);
    free_view(caa_container_of(head, published_view_t, rcu));
    TSAN_RELEASE(&grace);
}

/* Makes the holder of views, with an empty view published. */
gv_views_t *
GvViews_New(gv_str_t self, gv_str_t dc, gv_targets_t *targets)
{
    gv_views_t *vs = g_new0(gv_views_t, 1);
    vs->self = GvStr_Dup(self);
    vs->dc = GvStr_Dup(dc);
    vs->targets = targets;
    vs->current = g_new0(published_view_t, 1);
    return vs;
}

/* Frees the views after the last reader has ended. */
void
GvViews_Free(gv_views_t *vs)
{
    if (vs == NULL) {
        return;
    }
    rcu_barrier();
    TSAN_ACQUIRE(&grace);
    free_view(vs->current);
    GvStr_Free(&vs->self);
    GvStr_Free(&vs->dc);
    g_free(vs);
}

/* Sets the own incarnation; the next view says whether its join has been
   applied. */
void
GvViews_SetIncarnation(gv_views_t *vs, uint64_t incarnation)
{
    atomic_store(&vs->incarnation, incarnation);
}

/* Copies the members and looks for the own join. */
static void
fill_members(gv_views_t *vs, gv_view_t *v, const gv_ledger_t *l)
{
    const GPtrArray *members = GvLedger_Members(l);
    uint64_t own = atomic_load(&vs->incarnation);
    v->members = g_new0(gv_member_t, members->len + 1);
    for (guint i = 0; i < members->len; i++) {
        const gv_member_t *m = g_ptr_array_index(members, i);
        gv_member_t *c = &v->members[v->n_members++];
        *c = *m;
        c->name = GvStr_Dup(m->name);
        c->dc = GvStr_Dup(m->dc);
        c->peer_addr = GvStr_Dup(m->peer_addr);
        c->http_addr = GvStr_Dup(m->http_addr);
        if (own != 0 && m->incarnation == own &&
            GvStr_Equal(m->name, vs->self)) {
            v->joined = true;
        }
    }
}

/* Collects the targets of one service in the own data centre. */
static void
fill_service(gv_views_t *vs, gv_view_service_t *s, const gv_ledger_t *l)
{
    const GPtrArray *hosts = GvLedger_Hosts(l);
    GPtrArray *found = g_ptr_array_new();
    for (guint i = 0; i < hosts->len; i++) {
        const gv_ledger_host_t *h = g_ptr_array_index(hosts, i);
        if (!GvStr_Equal(h->dc, vs->dc) ||
            !GvStr_Equal(h->pool, s->service->pool)) {
            continue;
        }
        gv_target_t *t = GvTargets_Find(vs->targets, h->name);
        if (t != NULL) {
            g_ptr_array_add(found, t);
        }
    }
    s->n_targets = (int)found->len;
    s->targets = (gv_target_t **)g_ptr_array_free(found, FALSE);
}

/* Applies the ledger to the target table, then publishes a view of it. The
   target table comes first: a claim closes its target before any reader can
   see the new view. The caller holds the ledger lock. */
void
GvViews_Publish(gv_views_t *vs, const gv_ledger_t *l)
{
    GvTargets_Apply(vs->targets, l);
    published_view_t *b = g_new0(published_view_t, 1);
    gv_view_t *v = &b->view;
    v->next = GvLedger_NextOffset(l);
    v->settings_version = GvLedger_SettingsVersion(l);
    gv_settings_t *set = GvLedger_Settings(l);
    if (set != NULL) {
        v->settings = GvSettings_Ref(set);
        v->n_services = GvSettings_ServiceCount(set);
        v->services = g_new0(gv_view_service_t, v->n_services + 1);
        for (int i = 0; i < v->n_services; i++) {
            v->services[i].service = GvSettings_ServiceAt(set, i);
            fill_service(vs, &v->services[i], l);
        }
    }
    fill_members(vs, v, l);
    published_view_t *old = vs->current;
    TSAN_RELEASE(b);
    rcu_assign_pointer(vs->current, b);
    GvTargets_SetJoined(vs->targets, v->joined);
    TSAN_RELEASE(&grace);
    call_rcu(&old->rcu, free_rcu);
}

/* Returns the current view, valid until GvView_Release in the same thread. */
const gv_view_t *
GvView_Acquire(gv_views_t *vs)
{
    rcu_read_lock();
    published_view_t *b = rcu_dereference(vs->current);
    TSAN_ACQUIRE(b);
    return &b->view;
}

/* Ends the use of the view that Acquire returned. */
void
GvView_Release(void)
{
    TSAN_RELEASE(&grace);
    rcu_read_unlock();
}

/* Finds a service by name, or NULL. */
const gv_view_service_t *
GvView_Service(const gv_view_t *v, gv_str_t name)
{
    for (int i = 0; i < v->n_services; i++) {
        if (GvStr_Equal(v->services[i].service->name, name)) {
            return &v->services[i];
        }
    }
    return NULL;
}

/* Finds an entry host by name, or NULL. */
const gv_member_t *
GvView_Member(const gv_view_t *v, gv_str_t name)
{
    for (int i = 0; i < v->n_members; i++) {
        if (GvStr_Equal(v->members[i].name, name)) {
            return &v->members[i];
        }
    }
    return NULL;
}
