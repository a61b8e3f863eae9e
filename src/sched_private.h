#ifndef GV_SCHED_PRIVATE_H
#define GV_SCHED_PRIVATE_H

#include "evlog.h"
#include "load.h"
#include "run_time.h"
#include "sched.h"

/* Included by the files of the scheduler only. */

typedef enum {
    GV_RUN_STORING,     /* placed; the record of this is not stored yet */
    GV_RUN_SENDING,     /* its start was ordered and is not confirmed yet */
    GV_RUN_ACTIVE,      /* the target has confirmed its start */
    GV_RUN_STOPPING,    /* its stop was ordered */
    GV_RUN_UNCONFIRMED, /* its start got no answer, or an earlier scheduler may
                           have ordered it; a hold shows if it is live */
} gv_run_phase_t;

/* Why the runs on a target are lost. */
typedef enum {
    GV_LOSS_CRASHED,    /* its incarnation ended without an order or notice */
    GV_LOSS_PLANNED,    /* its host was moved or maintained, or it drained */
    GV_LOSS_UNANSWERED, /* the leases ended, or it is on no host any more: it
                           may have been unreachable or taken down */
} gv_loss_t;

typedef struct gv_sched_target_s gv_sched_target_t;
typedef struct gv_active_job_s gv_active_job_t;

/* A service: only its targets run its jobs. */
typedef struct {
    gv_str_t name;
    GPtrArray *targets; /* gv_sched_target_t * */
    GHashTable *jobs;   /* set of gv_active_job_t * */
    bool place_due;     /* an event may allow new placements */
    bool checks_room;   /* its targets refuse starts that exceed their room */
    /* In this pass of placement, by whether the task is long-running: no
       target had this much free for a task without further conditions. */
    bool is_full[2];
    gv_resources_t full_for[2];
} gv_sched_service_t;

/* A client account with jobs here or in the settings. */
typedef struct {
    gv_str_t name;
    int64_t weight;       /* 0: not in the settings */
    gv_resources_t limit; /* 0: none */
    gv_resources_t former_limit;
    int64_t lowered_ms; /* when its limit was last lowered; 0: never */
    /* That its runs use, or may use, on all targets. Kept by GvSched_AddRun
       and GvSched_DropRun, so that it holds after a change of the leader. */
    gv_resources_t used;
    gv_resources_t wanted;    /* with waiting tasks, see GvSched_ResetWanted */
    GPtrArray *held_services; /* gv_sched_service_t * where its limit has held
                                 tasks back */
    int64_t logged_ms;        /* newest log line about it; 0: none yet */
    /* In this pass of placement of one service */
    bool is_sharer; /* has runs or ready tasks there */
    double share;   /* its part of the room */
    gv_resources_t room_here;
    gv_resources_t used_here;
    int head; /* its next ready step; -1: none */
    int n_over_limit;
    int n_over_share;
} gv_sched_account_t;

/* A run that is live on a target or may become so. */
typedef struct {
    gv_sched_target_t *tgt;
    gv_active_job_t *active;
    int task; /* number within the job */
    uint32_t run;
    gv_resources_t need; /* what it takes of the target's resources */
    gv_run_phase_t phase;
    bool order_pending;   /* the newest order has no answer yet */
    bool maybe_started;   /* an order to start it got no answer */
    bool listed;          /* the newest hold answer has it as running */
    bool identified;      /* an answer that names the target's incarnation has
                             confirmed or listed it */
    int64_t started_ms;   /* when the target was first known to have started
                             it; 0: not yet */
    bool isolated;        /* its target gets no other tasks */
    bool crash_counted;   /* against its task */
    bool withdrawn;       /* its start by an earlier scheduler may still
                             arrive; it is stopped to rule that out */
    int tries;            /* orders sent in this phase */
    int64_t next_stop_ms; /* an unconfirmed stop is not repeated before */
    int64_t confirmed_ms; /* when the newest order was confirmed; 0: not yet */
    int64_t placed_ms;
    const char *former; /* target of the task's run before; NULL: none */
    int64_t sent_ms; /* when its start was last sent; 0: not by this leader */
    int percent;
    bool resumed;              /* its start carried a saved state */
    bool standing;             /* see GvSched_CheckStanding */
    int64_t check_standing_ms; /* not to be checked before */
} gv_run_t;

/* Finished runs of the tasks of one step. */
typedef struct {
    int runs;
    double mean_ms;
} gv_step_runs_t;

/* A job that has not ended or still has runs. */
struct gv_active_job_s {
    gv_job_t *job;
    gv_sched_service_t *service;
    gv_sched_account_t *account; /* NULL: none */
    int n_waiting;               /* tasks in state GV_TASK_WAITING */
    /* Critical path in ms, of the whole job and from the start of each step;
       by the run times known at path_set_ms. */
    double path_ms;
    double *rest_ms;
    int64_t path_set_ms;       /* 0: not set */
    gv_step_runs_t *step_runs; /* of each step; NULL: not learned */
    bool end_due;              /* in ended_jobs of the scheduler */
    bool long_running;
    bool has_suspects;        /* some task is or was one */
    int64_t no_room_since_ms; /* since when no target could hold its waiting
                                 long-running tasks; 0: some could */
    int64_t wait_logged_ms;   /* newest log line about its waiting tasks */
    int64_t alone_since_ms;   /* since when a suspect finds no empty target;
                                 0: none does */
    bool started;    /* a target has confirmed a start, or may have done so
                        under an earlier scheduler */
    bool dirty;      /* progress has changed since the newest batch */
    gv_run_t **runs; /* by task number; NULL: the task has no run */
    int n_runs;
};

/* A target, its runs and the state of its holds. */
struct gv_sched_target_s {
    const char *id;              /* interned */
    gv_sched_service_t *service; /* NULL: not known yet */
    bool update_due;             /* in due_targets of the scheduler */
    bool end_listed;             /* in ended_targets of the scheduler */
    bool end_batched;            /* in batched_targets of the scheduler */
    gv_target_info_t info;
    bool listed;             /* the platform's list of targets has it */
    int64_t first_listed_ms; /* when it was first listed; 0: never */
    bool on_listed_host;     /* some list of hosts had it on its host, in its
                                present incarnation */
    bool reserved;           /* gets no new tasks: it is to be moved or
                                maintained */
    bool synced;             /* a hold was answered since the last event that
                                put its clock or its runs in doubt */
    bool clock_needed;       /* a start waits until its clock is read again */
    bool hold_pending;
    int hold_failures;
    int broken_holds;        /* the newest ones, in a row, whose connection was
                                refused        or broken off */
    int64_t silent_since_ms; /* first unanswered order since its last answer;
                                0: it has answered since */
    int64_t
        broken_ms; /* first broken connection since its last answer, or 0 */
    int64_t hold_sent_ms;
    int64_t hold_next_ms;
    int64_t clock_read_ms;    /* when its clock was last read */
    int64_t hold_answered_ms; /* when it last answered a hold */
    int64_t answered_ms;      /* when it last answered any order; 0: never */
    int64_t clock_offset_ms;  /* its clock minus the clock of this host */
    bool clock_went_back;     /* it may have been restarted: its clock has gone
                                 back since an answer last named its
                                 incarnation */
    int64_t started_ms;       /* of its incarnation; 0: unknown */
    int64_t started_known_ms; /* since when that is known */
    int64_t former_start_ms;  /* of the incarnation before; 0: unknown */
    int64_t lease_until_ms;   /* no lease that this scheduler has given ends
                                 later */
    bool inherited;           /* an earlier scheduler may have given leases */
    bool renewal_packed;      /* see GvSched_PackLeases */
    int64_t unanswered_ms;    /* when the newest order without an answer was
                                 sent; 0: none */
    /* Number of the newest end that was applied, is in the batch, is stored,
       and may be forgotten by the target. */
    uint64_t ends_applied;
    uint64_t ends_batched;
    uint64_t ends_stored;
    uint64_t ends_acked;
    gv_resources_t used;
    GPtrArray *runs;    /* gv_run_t * */
    int n_long_running; /* runs of long-running tasks */
    /* Runs in its newest list that this scheduler stops, as it did not start
       them, and those whose jobs may still be read. */
    int n_strays;
    int n_unread;
    bool room_kept;         /* in this pass: it gets long-running tasks only */
    bool kept_empty;        /* in this pass: it gets suspects only */
    int n_isolated;         /* runs that must be alone here */
    int failures;           /* failed runs since the last one that was done */
    int64_t avoid_until_ms; /* gets no new tasks before */
    gv_run_pace_t pace;
    int64_t paced_ms; /* newest run in `pace` */
};

/* A lease that the former scheduler gave, as it has stored it. */
typedef struct {
    int64_t started_ms; /* of the target's incarnation; 0: unknown */
    int64_t until_ms;
} gv_former_lease_t;

struct gv_sched_s {
    gv_sched_opts_t o;
    GHashTable *former_leases; /* target id -> gv_former_lease_t *; NULL: the
                                  former scheduler has stored none */
    int64_t former_others_ms;  /* no lease on any other target lasts longer */
    int64_t packed_ms;  /* when GvSched_PackLeases was called; 0: it was not */
    bool fenced;        /* a newer scheduler is the leader */
    bool batch_pending; /* a batch of progress is being stored */
    bool jobs_loaded;   /* see GvSched_SetJobsLoaded */
    int64_t wall_ms;
    int64_t records_read_ms; /* see GvSched_SetRecordsRead */
    GHashTable *targets;     /* interned id -> gv_sched_target_t * */
    GHashTable *by_host;  /* host -> newest gv_sched_target_t * on it that has
                             answered, not owned */
    GHashTable *jobs;     /* gv_str_t * -> gv_active_job_t * */
    GHashTable *queues;   /* name -> gv_queue_info_t * */
    GHashTable *services; /* gv_str_t * -> gv_sched_service_t * */
    GHashTable *accounts; /* gv_str_t * -> gv_sched_account_t * */
    int n_accounts;       /* in the settings */
    bool accounts_known;  /* see GvSched_SetAccounts */
    GPtrArray *due_targets;     /* to be updated: an event has changed them */
    GPtrArray *ended_targets;   /* ends were applied since the newest batch */
    GPtrArray *batched_targets; /* ends are in the present batch */
    GPtrArray *dirty_jobs; /* progress has changed since the newest batch */
    GPtrArray *ended_jobs; /* to be checked whether they can be removed */
    GPtrArray *failing; /* gv_active_job_t * to fail: a task crashes targets */
    int64_t swept_ms;   /* newest update of all targets */
    gv_loads_t *loads;
    gv_run_times_t *run_times;  /* NULL: they are not learned */
    int64_t run_times_saved_ms; /* when they were last in a batch */
    GHashTable *advice;         /* step name -> gv_advice_t * */
    int n_advice_pending;       /* requests for advice without an answer */
    GHashTable *strays;   /* "target task run" -> time of the newest stop of a
                             run that is not known here */
    GPtrArray *unbatched; /* gv_run_t * to start after the next batch */
    GPtrArray *batched;   /* gv_run_t * to start after the present batch */
    bool replay_pending;  /* until GvSched_ReplayArrivals: jobs that are added
                             are not counted as arriving now */
    int64_t placed_ms;    /* newest pass of placement */
    int64_t sampled_ms;   /* newest sample of the arrival rates */
};

/* A step of an occurrence that may start now and has waiting tasks. */
typedef struct {
    gv_active_job_t *active;
    const gv_step_t *step;
    int first; /* number of its first task */
    int priority;
    bool needs_advice;   /* only targets with a ticket may run its tasks */
    bool late;           /* the job can no longer meet its objective */
    int64_t deadline_ms; /* when the job has to end, wall clock */
    /* With learned run times: when the step has to start for the job to end in
       time. Else the same as deadline_ms. */
    int64_t order_ms;
} gv_ready_step_t;

/* The ready steps of a pass of placement and what comes next. */
typedef struct {
    GArray *ready; /* gv_ready_step_t */
    bool shared;   /* among accounts; else in the order of ready */
    int next;
    int head;            /* next step without an account; -1: none */
    int *following;      /* next step of the same account */
    GPtrArray *accounts; /* those with ready steps */
    double weights;      /* of all accounts that share the service */
    gv_resources_t room; /* of the service */
} gv_order_t;

bool GvSched_HasAnswered(const gv_sched_target_t *tgt);
void GvSched_ForgetHost(gv_sched_t *s, const gv_sched_target_t *tgt);
void GvSched_ReplaceOnHost(gv_sched_t *s, gv_sched_target_t *tgt,
                           int64_t now_ms);
gv_sched_target_t *GvSched_FindTarget(const gv_sched_t *s, const char *id);
gv_active_job_t *GvSched_FindJob(const gv_sched_t *s, gv_str_t id);
gv_str_t GvSched_ServiceOf(const gv_sched_t *s, const gv_job_t *job);
const gv_queue_info_t *GvSched_QueueOf(const gv_sched_t *s,
                                       const gv_job_t *job);
int GvSched_AttemptsOf(const gv_sched_t *s, const gv_job_t *job);
void GvSched_TaskName(const gv_job_t *job, int task, char *out, size_t n);
gv_active_job_t *GvSched_FindTask(const gv_sched_t *s, gv_str_t name,
                                  int *task);

gv_sched_service_t *GvSched_Service(gv_sched_t *s, gv_str_t name);
bool GvSched_KnowsRoom(const gv_sched_t *s, const gv_sched_service_t *sv,
                       int64_t now_ms);
void GvSched_FreeService(gpointer service);
void GvSched_AssignTarget(gv_sched_t *s, gv_sched_target_t *tgt);
void GvSched_AssignJob(gv_sched_t *s, gv_active_job_t *a);
void GvSched_RemoveFromService(gv_sched_target_t *tgt);
void GvSched_PlaceSoon(gv_sched_service_t *sv);
void GvSched_PlaceAllSoon(gv_sched_t *s);
void GvSched_UpdateSoon(gv_sched_t *s, gv_sched_target_t *tgt);
void GvSched_MarkDirty(gv_sched_t *s, gv_active_job_t *a);
void GvSched_SetTaskState(gv_active_job_t *a, int task, gv_task_state_t state);

gv_evlog_kind_t GvSched_LogKind(const gv_active_job_t *a);
gv_run_t *GvSched_AddRun(gv_sched_t *s, gv_active_job_t *a, int task,
                         gv_sched_target_t *tgt, gv_run_phase_t phase,
                         int64_t now_ms);
gv_run_t *GvSched_ReserveRun(gv_sched_t *s, gv_active_job_t *a, int task,
                             gv_sched_target_t *tgt, gv_run_phase_t phase,
                             uint32_t number, int64_t now_ms);
void GvSched_RecordRun(gv_sched_t *s, gv_run_t *r);
void GvSched_UndoRun(gv_run_t *r);
void GvSched_NoteBegun(gv_sched_t *s, gv_active_job_t *a);
void GvSched_DropRun(gv_sched_t *s, gv_run_t *r, const char *why);
void GvSched_StopRun(gv_sched_t *s, gv_run_t *r, const char *why,
                     int64_t now_ms);
void GvSched_StopJob(gv_sched_t *s, gv_active_job_t *a, const char *why,
                     int64_t now_ms);
double GvSched_ExpectedMs(const gv_sched_t *s, const gv_active_job_t *a,
                          int step);
bool GvSched_IsSlow(const gv_sched_target_t *tgt, int64_t now_ms);
void GvSched_LearnRun(gv_sched_t *s, const gv_run_t *r, int64_t now_ms);
void GvSched_CheckStanding(gv_sched_t *s, gv_run_t *r, int64_t now_ms);
void GvSched_AddRunTimes(gv_sched_t *s, gv_sched_add_t add, void *user);
void GvSched_EndRun(gv_sched_t *s, gv_run_t *r, const gv_ended_t *e,
                    int64_t now_ms);
bool GvSched_EndsTask(const gv_active_job_t *a, int task, gv_end_kind_t how);
void GvSched_MarkDone(gv_sched_t *s, gv_active_job_t *a, int task);
void GvSched_CountFailure(gv_sched_t *s, gv_active_job_t *a, int task,
                          uint32_t run, int64_t now_ms);
void GvSched_SetSavedState(gv_active_job_t *a, int task, gv_str_t saved);
void GvSched_SendStart(gv_sched_t *s, gv_run_t *r, int64_t now_ms);
void GvSched_SettleUnanswered(gv_sched_t *s, gv_run_t *r, const char *why,
                              int64_t now_ms);
void GvSched_SendStop(gv_sched_t *s, gv_run_t *r, int64_t now_ms);
int64_t GvSched_NewLease(const gv_sched_t *s, gv_sched_target_t *tgt,
                         int64_t now_ms);
int64_t GvSched_LeaseEndMs(const gv_sched_t *s, const gv_sched_target_t *tgt,
                           int64_t now_ms);
void GvSched_EndLeases(gv_sched_target_t *tgt, int64_t now_ms);
void GvSched_CoverFormerDeadlines(const gv_sched_t *s, gv_sched_target_t *tgt,
                                  int64_t now_ms);
bool GvSched_IsRenewed(const gv_sched_target_t *tgt);
bool GvSched_MayRenew(const gv_sched_t *s, const gv_sched_target_t *tgt,
                      int64_t now_ms);
bool GvSched_HasLateOrder(const gv_sched_target_t *tgt, int64_t now_ms);
void GvSched_HandleRestart(gv_sched_t *s, gv_sched_target_t *tgt,
                           int64_t started_ms, int64_t now_ms);
void GvSched_DropTargetRuns(gv_sched_t *s, gv_sched_target_t *tgt,
                            gv_loss_t loss, const char *why, int64_t now_ms);
void GvSched_LoseRun(gv_sched_t *s, gv_run_t *r, gv_loss_t loss,
                     const char *why, int64_t now_ms);
gv_loss_t GvSched_LossOf(const gv_sched_target_t *tgt);
void GvSched_CountCrashes(gv_sched_t *s, gv_sched_target_t *tgt,
                          bool restarted, int64_t now_ms);
int GvSched_CrashesOf(const gv_task_t *t);
bool GvSched_HasServed(const gv_run_t *r, int64_t now_ms);
void GvSched_NoteStart(gv_sched_t *s, const gv_run_t *r);
void GvSched_CountEarlierCrash(gv_sched_t *s, gv_run_t *r, int64_t now_ms);
void GvSched_FailCrashers(gv_sched_t *s, int64_t now_ms);
void GvSched_ClearSuspect(gv_sched_t *s, gv_run_t *r, int64_t now_ms);
void GvSched_FailJob(gv_sched_t *s, gv_active_job_t *a, const char *why,
                     int64_t now_ms);
bool GvSched_MayBeNew(const gv_run_t *r);
void GvSched_ResetEnds(gv_sched_target_t *tgt);
bool GvSched_IsSettling(const gv_sched_target_t *tgt);
bool GvSched_MayStop(const gv_sched_t *s, const gv_run_t *r, int64_t now_ms);
bool GvSched_IsClockFresh(const gv_sched_target_t *tgt, int64_t now_ms);
GHashTable *GvSched_NewAdvice(void);
const char *GvSched_FindTicket(const gv_sched_t *s, const gv_job_t *job,
                               int task, const char *target, int64_t now_ms);
void GvSched_DropTicket(gv_sched_t *s, const gv_job_t *job, int task,
                        const char *target);
void GvSched_RequestAdvice(gv_sched_t *s, const gv_active_job_t *active,
                           int task, int64_t now_ms);
void GvSched_ForgetAdvice(gv_sched_t *s, const gv_job_t *job);
bool GvSched_HasWaiting(const gv_active_job_t *a, int first, int count);
GArray *GvSched_ReadySteps(const gv_sched_t *s, const gv_sched_service_t *sv,
                           int64_t now_ms);
void GvSched_BeginOrder(gv_order_t *o, gv_sched_t *s,
                        const gv_sched_service_t *sv, GArray *ready);
void GvSched_EndOrder(gv_order_t *o);
const gv_ready_step_t *GvSched_NextStep(gv_order_t *o);
void GvSched_PassStep(gv_order_t *o);
int GvSched_ShareLevel(const gv_sched_account_t *acc);
GHashTable *GvSched_NewAccounts(void);
void GvSched_AssignAccount(gv_sched_t *s, gv_active_job_t *a);
void GvSched_ChargeAccount(const gv_run_t *r);
void GvSched_UnchargeAccount(const gv_run_t *r);
void GvSched_CreditAccount(const gv_run_t *r);
bool GvSched_AccountAllows(const gv_sched_t *s, const gv_active_job_t *a,
                           const gv_step_t *step, int n);
bool GvSched_IsOverLowered(const gv_run_t *r);
void GvSched_ResetWanted(gv_sched_t *s);
bool GvSched_AddWanted(gv_sched_t *s, gv_active_job_t *a,
                       const gv_step_t *step, int n);
void GvSched_NoteHeld(const gv_ready_step_t *r);
void GvSched_NoteUnplaced(const gv_ready_step_t *r);
void GvSched_LogAccounts(gv_sched_t *s, const gv_sched_service_t *sv,
                         int64_t now_ms);
bool GvSched_MayRun(const gv_sched_target_t *tgt, const gv_ready_step_t *r,
                    const gv_resources_t *free, int64_t now_ms);
gv_sched_target_t *GvSched_ChooseTarget(gv_sched_t *s,
                                        const gv_ready_step_t *r,
                                        const gv_task_t *t, int64_t now_ms);
gv_sched_target_t *GvSched_PeerTarget(const gv_ready_step_t *r,
                                      const gv_task_t *t, int64_t now_ms);
bool GvSched_EnoughSetAside(const gv_sched_service_t *sv);
void GvSched_NoteSuspect(const gv_ready_step_t *r, bool placed,
                         int64_t now_ms);
void GvSched_Place(gv_sched_t *s, int64_t now_ms);
int64_t GvSched_UpdateTargets(gv_sched_t *s, int64_t now_ms);

#endif
