#ifndef GV_BENCH_SIM_PRIVATE_H
#define GV_BENCH_SIM_PRIVATE_H

#include "estimate.h"
#include "placement.h"
#include "queue.h"
#include "retry.h"
#include "sim.h"
#include "slots.h"

enum { GV_SIM_ENTRIES = 8, GV_SIM_TARGETS = 16, GV_SIM_DCS = 2 };

/* One way between data centres of a region. */
#define GV_SIM_HOP_MS 1.4

typedef enum {
    GV_SIM_ARRIVE, /* at the first entry host */
    GV_SIM_HOP,    /* at the one that it spilled to, or back */
    GV_SIM_FINISH,
    GV_SIM_TICK,
    GV_SIM_DISPATCH
} gv_sim_event_kind_t;

struct gv_sim_entry_s;

typedef struct {
    gv_queue_item_t item; /* first */
    gv_load_job_t job;
    struct gv_sim_entry_s *entry;
    struct gv_sim_entry_s *first; /* that the caller reached */
    int dc;                       /* of the first */
    bool has_spilled;             /* does not spill (again) */
    double arrived_ms;
    double started_ms; /* of the current attempt */
    double wait_ms;    /* until the first start, -1 before */
    int target;
    int attempts;
    int hosts_failed;
    unsigned tried; /* bit set of targets */
    bool counted_long;
    bool failed_on_bad_worker;
    bool trial;         /* the current attempt, of an ejected target */
    bool fails;         /* decided at the start */
    gint running_index; /* index in entry->running */
} gv_sim_req_t;

typedef struct {
    double time_ms;
    gv_sim_event_kind_t kind;
    guint64 order;
    gv_sim_req_t *req;
} gv_sim_event_t;

typedef struct gv_sim_entry_s {
    int dc;
    gv_queue_t *queue;
    gv_estimate_t *estimate;
    gv_retry_budget_t budget;
    gv_queue_load_t load;
    GPtrArray *running;
    int busy[GV_SIM_TARGETS];
    gv_slots_t slots[GV_SIM_TARGETS];
    gv_eject_t eject[GV_SIM_TARGETS];
    gv_candidate_t candidates[GV_SIM_TARGETS];
    guint64 turn;
    /* Free slots of the other data centre's entry hosts by their last
       heartbeats, less what went there since. */
    int free_slots_of[GV_SIM_ENTRIES];
} gv_sim_entry_t;

typedef struct {
    const gv_sim_opts_t *opts;
    gv_sim_result_t *result;
    const gv_queue_policy_t *queue;
    const gv_place_policy_t *place;
    const gv_retry_policy_t *retry;
    gv_load_gen_t gen[GV_SIM_DCS];
    int n_entries; /* of all data centres, in their order */
    GRand *rand;
    GArray *heap; /* gv_sim_event_t */
    guint64 order;
    char teams[GV_SIM_TEAMS_MAX][8];
    double now_ms;
    gv_sim_entry_t entries[GV_SIM_ENTRIES * GV_SIM_DCS];
    int running[GV_SIM_DCS][GV_SIM_TARGETS];
} gv_sim_t;

/* Adds an event. Events at the same time come out in the order added. */
void GvSim_Schedule(gv_sim_t *s, double time_ms, gv_sim_event_kind_t kind,
                    gv_sim_req_t *req);
/* Takes out the next event; the heap must not be empty. */
gv_sim_event_t GvSim_NextEvent(gv_sim_t *s);

/* Fills the candidates and the load of an entry host. */
void GvSim_UpdateLoad(gv_sim_t *s, gv_sim_entry_t *e);
/* Draws the entry host that a new request of the data centre reaches. */
gv_sim_entry_t *GvSim_DrawEntry(gv_sim_t *s, int dc);
void GvSim_Borrow(gv_sim_t *s, gv_sim_entry_t *e);
/* Tells the free slots of each entry host to the other data centre. */
void GvSim_Heartbeat(gv_sim_t *s);
/* Sends the request to the other data centre if an entry host there has a
   free slot. */
bool GvSim_Spill(gv_sim_t *s, gv_sim_req_t *q);

#endif
