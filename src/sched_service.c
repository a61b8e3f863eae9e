#include "sched_private.h"

/* Services of the scheduler, and the marks that limit its work to what events
   have changed: services with something to place, targets to update, jobs to
   store. */

/* Returns the service of that name, which is added if it is new. */
gv_sched_service_t *
GvSched_Service(gv_sched_t *s, gv_str_t name)
{
    gv_sched_service_t *sv = g_hash_table_lookup(s->services, &name);
    if (sv == NULL) {
        sv = g_new0(gv_sched_service_t, 1);
        sv->name = GvStr_Dup(name);
        sv->targets = g_ptr_array_new();
        sv->jobs = g_hash_table_new(g_direct_hash, g_direct_equal);
        g_hash_table_insert(s->services, &sv->name, sv);
    }
    return sv;
}

/* Sets which services have targets that check their room; the others do not.
 */
void
GvSched_SetServices(gv_sched_t *s, const gv_service_info_t *services, int n)
{
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, s->services);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        ((gv_sched_service_t *)value)->checks_room = false;
    }
    for (int i = 0; i < n; i++) {
        GvSched_Service(s, services[i].name)->checks_room =
            services[i].checks_room;
    }
}

/* Sets when the records of the targets were last read. */
void
GvSched_SetRecordsRead(gv_sched_t *s, int64_t read_ms)
{
    s->records_read_ms = read_ms;
}

/* Returns true if the room of a service's targets is known as far as starts
   need it: they check it, or their records were read lately enough. */
bool
GvSched_KnowsRoom(const gv_sched_t *s, const gv_sched_service_t *sv,
                  int64_t now_ms)
{
    return s->o.records_max_age_ms == 0 || (sv != NULL && sv->checks_room) ||
           now_ms - s->records_read_ms <= s->o.records_max_age_ms;
}

/* Releases a service; its targets and jobs are not touched. */
void
GvSched_FreeService(gpointer service)
{
    gv_sched_service_t *sv = service;
    g_ptr_array_free(sv->targets, TRUE);
    g_hash_table_destroy(sv->jobs);
    GvStr_Free(&sv->name);
    g_free(sv);
}

/* Takes a target out of its service, if it has one. */
void
GvSched_RemoveFromService(gv_sched_target_t *tgt)
{
    if (tgt->service != NULL) {
        g_ptr_array_remove_fast(tgt->service->targets, tgt);
        tgt->service = NULL;
    }
}

/* Puts a target into the service that it reports. */
void
GvSched_AssignTarget(gv_sched_t *s, gv_sched_target_t *tgt)
{
    gv_sched_service_t *sv = GvSched_Service(s, tgt->info.service);
    if (sv != tgt->service) {
        GvSched_RemoveFromService(tgt);
        tgt->service = sv;
        g_ptr_array_add(sv->targets, tgt);
    }
}

/* Puts a job into the service that runs it by the present settings. */
void
GvSched_AssignJob(gv_sched_t *s, gv_active_job_t *a)
{
    gv_sched_service_t *sv = GvSched_Service(s, GvSched_ServiceOf(s, a->job));
    if (sv != a->service) {
        if (a->service != NULL) {
            g_hash_table_remove(a->service->jobs, a);
        }
        a->service = sv;
        g_hash_table_add(sv->jobs, a);
    }
    sv->place_due = true;
}

/* The next step of the scheduler places tasks of the service, which may be
   NULL. */
void
GvSched_PlaceSoon(gv_sched_service_t *sv)
{
    if (sv != NULL) {
        sv->place_due = true;
    }
}

void
GvSched_PlaceAllSoon(gv_sched_t *s)
{
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, s->services);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        GvSched_PlaceSoon(value);
    }
}

/* The next step of the scheduler updates the target, without waiting for the
   update of all. */
void
GvSched_UpdateSoon(gv_sched_t *s, gv_sched_target_t *tgt)
{
    if (!tgt->update_due) {
        tgt->update_due = true;
        g_ptr_array_add(s->due_targets, tgt);
    }
}

/* The next batch holds the progress of the job. */
void
GvSched_MarkDirty(gv_sched_t *s, gv_active_job_t *a)
{
    if (!a->dirty) {
        a->dirty = true;
        g_ptr_array_add(s->dirty_jobs, a);
    }
}

void
GvSched_SetTaskState(gv_active_job_t *a, int task, gv_task_state_t state)
{
    gv_task_t *t = &a->job->tasks[task];
    a->n_waiting += (state == GV_TASK_WAITING) - (t->state == GV_TASK_WAITING);
    t->state = state;
}
