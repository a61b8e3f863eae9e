#ifndef GV_BENCH_SIM_PRIVATE_H
#define GV_BENCH_SIM_PRIVATE_H

#include "estimate.h"
#include "placement.h"
#include "queue.h"
#include "retry.h"
#include "sim.h"
#include "slots.h"

enum { GV_SIM_ENTRIES = 8, GV_SIM_TARGETS = 16, GV_SIM_DCS = 2 };

/* One-way latency between data centres of a region. */
#define GV_SIM_HOP_MS 1.4

typedef enum {
    GV_SIM_ARRIVE,  /* a new request reaches its first entry host */
    GV_SIM_HOP,     /* a request reaches the other data centre, or returns */
    GV_SIM_FINISH,  /* an attempt ends */
    GV_SIM_TICK,    /* the timer of all entry hosts */
    GV_SIM_DISPATCH /* all entry hosts try again to start waiting work */
} gv_sim_event_kind_t;

struct gv_sim_entry_s;

typedef struct {
    gv_queue_item_t item; /* must be first: the queue returns pointers to it */
    gv_load_job_t job;
    struct gv_sim_entry_s *entry;
    struct gv_sim_entry_s *first; /* the one that the caller reached */
    int dc;                       /* of the first entry host */
    bool has_spilled;             /* a request spills only once */
    double arrived_ms;
    double started_ms; /* of the current attempt */
    double wait_ms;    /* from arrival to the first start; -1 before that */
    int target;
    int attempts;
    int hosts_failed;
    unsigned tried;    /* bit set of the targets that failed it */
    bool counted_long; /* in entry->load.busy_long */
    bool failed_on_bad_worker;
    bool trial;         /* the current attempt, of an ejected target */
    bool fails;         /* the result of the attempt, known at its start */
    gint running_index; /* index in entry->running */
} gv_sim_req_t;

typedef struct {
    double time_ms;
    gv_sim_event_kind_t kind;
    guint64 order; /* sequence number, for events at the same time */
    gv_sim_req_t *req;
} gv_sim_event_t;

/* One entry host. Arrays are indexed by target. */
typedef struct gv_sim_entry_s {
    int dc;
    gv_queue_t *queue;
    gv_estimate_t *estimate;
    gv_retry_budget_t budget;
    gv_queue_load_t load;
    GPtrArray *running;       /* gv_sim_req_t */
    int busy[GV_SIM_TARGETS]; /* own running requests */
    gv_slots_t slots[GV_SIM_TARGETS];
    gv_eject_t eject[GV_SIM_TARGETS];
    gv_candidate_t candidates[GV_SIM_TARGETS];
    guint64 turn; /* number of placements, for the placement policy */
    /* Free slots of the entry hosts of the other data centre: as of their last
       heartbeat, minus the requests sent there since. */
    int free_slots_of[GV_SIM_ENTRIES];
} gv_sim_entry_t;

typedef struct {
    const gv_sim_opts_t *opts;
    gv_sim_result_t *result;
    const gv_queue_policy_t *queue;
    const gv_place_policy_t *place;
    const gv_retry_policy_t *retry;
    gv_load_gen_t gen[GV_SIM_DCS];
    int n_entries; /* of all data centres, sorted by data centre */
    GRand *rand;
    GArray *heap;  /* gv_sim_event_t */
    guint64 order; /* of the next event */
    char teams[GV_SIM_TEAMS_MAX][8];
    double now_ms;
    gv_sim_entry_t entries[GV_SIM_ENTRIES * GV_SIM_DCS];
    int running[GV_SIM_DCS][GV_SIM_TARGETS]; /* requests on each target */
} gv_sim_t;

/* Adds an event. Events at the same time are taken in the order added. */
void GvSim_Schedule(gv_sim_t *s, double time_ms, gv_sim_event_kind_t kind,
                    gv_sim_req_t *req);
/* Removes and returns the earliest event; there must be one. */
gv_sim_event_t GvSim_NextEvent(gv_sim_t *s);

/* Updates the candidates and the load of an entry host, which placement and
   queue read. */
void GvSim_UpdateLoad(gv_sim_t *s, gv_sim_entry_t *e);
/* Draws the entry host of the data centre that a new request reaches. */
gv_sim_entry_t *GvSim_DrawEntry(gv_sim_t *s, int dc);
/* Borrows slots from entry hosts of the same data centre for waiting work. */
void GvSim_Borrow(gv_sim_t *s, gv_sim_entry_t *e);
/* Stores the free slots of each entry host at the other data centre's ones. */
void GvSim_Heartbeat(gv_sim_t *s);
/* Sends the request to the other data centre if an entry host there has a free
   slot. Returns true if it was sent. */
bool GvSim_Spill(gv_sim_t *s, gv_sim_req_t *q);

#endif
