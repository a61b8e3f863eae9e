#ifndef GV_SCHED_PRIVATE_H
#define GV_SCHED_PRIVATE_H

#include "load.h"
#include "sched.h"

/* Shared by the files of the scheduler only. */

typedef enum {
    GV_RUN_STORING,   /* placed; its record is not stored yet */
    GV_RUN_SENDING,   /* ordered, without an answer so far */
    GV_RUN_ACTIVE,    /* the target has confirmed it */
    GV_RUN_STOPPING,  /* a stop was or will be ordered */
    GV_RUN_INHERITED, /* an earlier scheduler may have ordered it */
} gv_run_phase_t;

typedef struct gv_sched_target_s gv_sched_target_t;
typedef struct gv_active_job_s gv_active_job_t;

/* A run that is on a target, or may be. */
typedef struct {
    gv_sched_target_t *tgt;
    gv_active_job_t *job;
    int task;
    uint32_t run;
    gv_resources_t need;
    gv_run_phase_t phase;
    bool open;        /* an order waits for its answer */
    bool unsure;      /* an earlier order got no answer */
    bool listed;      /* in the newest list of its target */
    int tries;        /* orders sent in this phase */
    int64_t next_ms;  /* of the next order, while none is open */
    int64_t known_ms; /* the target confirmed the newest order */
    int64_t placed_ms;
    int percent;
} gv_run_t;

/* A job that has not ended or still has runs. */
struct gv_active_job_s {
    gv_job_t *job;
    bool lasts;
    bool started;    /* a target confirmed a start, or may have before */
    bool dirty;      /* progress differs from what was given out to store */
    gv_run_t **runs; /* by task, NULL without one */
    int n_runs;
};

/* A target with what runs on it. */
struct gv_sched_target_s {
    const char *id; /* interned */
    gv_target_info_t info;
    bool listed;     /* the host list has it */
    int64_t seen_ms; /* first entry in the list; 0: none yet */
    bool reserved;   /* for a move or maintenance: gets no new tasks */
    bool synced;     /* it has answered under this fence */
    bool wanted;     /* placement waits for a newer clock */
    bool hold_open;
    int hold_failures;
    int64_t hold_sent_ms;
    int64_t hold_next_ms;
    int64_t answered_ms; /* newest answer with a clock */
    int64_t held_ms;     /* newest list */
    int64_t clock_delta; /* the target's clock less ours */
    int64_t born;
    int64_t lease_until_ms; /* no run on it lives longer without an order */
    uint64_t noted;         /* ends applied */
    uint64_t noted_batch;   /* of them, in the batch that is being stored */
    uint64_t noted_stored;
    uint64_t noted_told; /* the target may forget up to here */
    gv_resources_t used;
    GPtrArray *runs; /* gv_run_t * */
    int n_lasting;   /* runs of lasting tasks */
    bool kept;       /* in this pass: its room is for a lasting task */
    int failures;    /* runs in a row that ended as failed */
    int64_t avoid_until_ms;
};

struct gv_sched_s {
    gv_sched_opts_t o;
    bool fenced;
    bool batch_open;
    bool jobs_known; /* see GvSched_SetJobsLoaded */
    int64_t wall_ms;
    GHashTable *targets; /* interned id -> gv_sched_target_t * */
    GHashTable *jobs;    /* gv_str_t * -> gv_active_job_t * */
    GHashTable *queues;  /* name -> gv_queue_info_t * */
    gv_loads_t *loads;
    GHashTable *advice; /* step name -> what the advice service said */
    int advice_open;    /* questions without an answer */
    GHashTable *strays; /* "target task run" -> time of the newest stop */
    GPtrArray *logging; /* gv_run_t * to be ordered after the next batch */
    GPtrArray *batched; /* gv_run_t * to be ordered after this batch */
    bool place_due;
    bool learning;     /* jobs that are added were accepted earlier: until
                          GvSched_ReplayArrivals */
    int64_t placed_ms; /* newest pass of placement */
    int64_t sampled_ms;
};

gv_sched_target_t *GvSched_FindTarget(const gv_sched_t *s, const char *id);
gv_active_job_t *GvSched_FindJob(const gv_sched_t *s, gv_str_t id);
gv_str_t GvSched_ServiceOf(const gv_sched_t *s, const gv_job_t *job);
const gv_queue_info_t *GvSched_QueueOf(const gv_sched_t *s,
                                       const gv_job_t *job);
int GvSched_AttemptsOf(const gv_sched_t *s, const gv_job_t *job);
void GvSched_TaskName(const gv_job_t *job, int task, char *out, size_t n);
gv_active_job_t *GvSched_FindTask(const gv_sched_t *s, gv_str_t name,
                                  int *task);

gv_run_t *GvSched_AddRun(gv_sched_t *s, gv_active_job_t *a, int task,
                         gv_sched_target_t *tgt, gv_run_phase_t phase,
                         int64_t now_ms);
void GvSched_DropRun(gv_sched_t *s, gv_run_t *r, const char *why);
void GvSched_StopRun(gv_sched_t *s, gv_run_t *r, const char *why,
                     int64_t now_ms);
void GvSched_StopJob(gv_sched_t *s, gv_active_job_t *a, const char *why,
                     int64_t now_ms);
void GvSched_EndRun(gv_sched_t *s, gv_run_t *r, const gv_ended_t *e,
                    int64_t now_ms);
void GvSched_SendStart(gv_sched_t *s, gv_run_t *r, int64_t now_ms);
void GvSched_SendStop(gv_sched_t *s, gv_run_t *r, int64_t now_ms);
int64_t GvSched_NewLease(const gv_sched_t *s, gv_sched_target_t *tgt,
                         int64_t now_ms);
void GvSched_HandleRestart(gv_sched_t *s, gv_sched_target_t *tgt, int64_t born,
                           int64_t now_ms);
void GvSched_DropTargetRuns(gv_sched_t *s, gv_sched_target_t *tgt,
                            const char *why);
bool GvSched_MayStop(const gv_run_t *r, int64_t now_ms);
bool GvSched_IsClockFresh(const gv_sched_target_t *tgt, int64_t now_ms);
GHashTable *GvSched_NewAdvice(void);
const char *GvSched_FindTicket(const gv_sched_t *s, const gv_job_t *job,
                               int task, const char *target, int64_t now_ms);
void GvSched_DropTicket(gv_sched_t *s, const gv_job_t *job, int task,
                        const char *target);
void GvSched_RequestAdvice(gv_sched_t *s, const gv_job_t *job, int task,
                           gv_str_t service, int64_t now_ms);
void GvSched_ForgetAdvice(gv_sched_t *s, const gv_job_t *job);
void GvSched_Place(gv_sched_t *s, int64_t now_ms);
int64_t GvSched_UpdateTargets(gv_sched_t *s, int64_t now_ms);

#endif
