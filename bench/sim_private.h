#ifndef GV_BENCH_SIM_PRIVATE_H
#define GV_BENCH_SIM_PRIVATE_H

#include "estimate.h"
#include "placement.h"
#include "queue.h"
#include "retry.h"
#include "sim.h"
#include "slots.h"

enum { GV_SIM_ENTRIES = 4, GV_SIM_TARGETS = 16 };

typedef enum {
    GV_SIM_ARRIVE,
    GV_SIM_FINISH,
    GV_SIM_TICK,
    GV_SIM_AGAIN
} gv_sim_event_kind_t;

struct gv_sim_entry_s;

typedef struct {
    gv_queue_item_t it; /* first */
    gv_gen_job_t job;
    struct gv_sim_entry_s *entry;
    double arrived_ms;
    double started_ms; /* of the current attempt */
    double wait_ms;    /* until the first start, -1 before */
    int target;
    int attempts;
    int hosts_failed;
    unsigned tried; /* bit set of targets */
    bool counted_long;
    bool bad_last;
    bool fails;      /* decided at the start */
    gint running_at; /* index in entry->running */
} gv_sim_req_t;

typedef struct {
    double at;
    gv_sim_event_kind_t kind;
    guint64 order;
    gv_sim_req_t *req;
} gv_sim_event_t;

typedef struct gv_sim_entry_s {
    gv_queue_t *queue;
    gv_estimate_t *estimate;
    gv_retry_budget_t budget;
    gv_queue_load_t load;
    GPtrArray *running;
    int busy[GV_SIM_TARGETS];
    gv_slots_t slots[GV_SIM_TARGETS];
    gv_eject_t eject[GV_SIM_TARGETS];
    gv_candidate_t cand[GV_SIM_TARGETS];
    guint64 turn;
} gv_sim_entry_t;

typedef struct {
    const gv_sim_opts_t *o;
    gv_sim_result_t *r;
    const gv_queue_policy_t *queue;
    const gv_place_policy_t *place;
    const gv_retry_policy_t *retry;
    gv_gen_t gen;
    GRand *rand;
    GArray *heap; /* gv_sim_event_t */
    guint64 order;
    double now;
    gv_sim_entry_t entries[GV_SIM_ENTRIES];
    int running[GV_SIM_TARGETS];
} gv_sim_t;

/* Adds an event. Events at the same time come out in the order added. */
void GvSim_Schedule(gv_sim_t *s, double at, gv_sim_event_kind_t kind,
                    gv_sim_req_t *req);
/* Takes out the next event; the heap must not be empty. */
gv_sim_event_t GvSim_NextEvent(gv_sim_t *s);

/* Fills the candidates and the load of an entry host. */
void GvSim_UpdateLoad(gv_sim_t *s, gv_sim_entry_t *e);
/* Draws the entry host that a new request reaches. */
gv_sim_entry_t *GvSim_EntryFor(gv_sim_t *s);
void GvSim_Borrow(gv_sim_t *s, gv_sim_entry_t *e);

#endif
