#ifndef GV_BENCH_SIM_H
#define GV_BENCH_SIM_H

#include "load.h"

/* One service in one or two data centres in virtual time: entry hosts with a
   queue each, and targets that refuse work beyond their slots. Drives queue,
   estimate, slots, placement and retry as the daemon does. */

enum { GV_SIM_TEAMS_MAX = 130 };

typedef struct {
    guint32 seed;
    const char *queue;
    const char *place;
    const char *retry;
    int retry_percent; /* budget; 0: 10 */
    int entries;       /* in a data centre, as the targets */
    int targets;
    double seconds;
    double load;     /* mean demand over capacity */
    bool no_classes; /* no work counts as long */
    bool no_shares;  /* each entry host uses all slots of each target */
    bool lending;
    bool uneven;  /* entry hosts get 4:3:2:1 of the arrivals */
    bool slow;    /* one target in five is three times slower */
    bool cancels; /* every 7 s a third of the waiting work is cancelled */
    bool no_eject;
    bool trial_any_request; /* trials take whichever request is placed there */
    bool bad_worker;        /* the first target fails everything for 60 s */
    bool collapse;          /* all targets fail four in five runs for 60 s */
    /* A second data centre with this mean demand over its capacity; 0: none.
       Its queue bursts at the same time, or when another service's would. */
    double second_load;
    bool second_apart;
    /* Teams with equal quotas in place of the two usual ones; the first asks
       for half of the work. At most GV_SIM_TEAMS_MAX. */
    int teams;
    bool spill; /* full entry hosts hand work to the other data centre */
} gv_sim_opts_t;

typedef struct {
    GArray *short_wait; /* double, ms; the deadline for work not started */
    GArray *long_wait;
    GArray *within_quota_wait; /* short work of all teams but the first */
    GArray *above_quota_wait;  /* short work of the first team */
    GArray *urgent_wait;
    GArray *response;   /* of short work, from arrival */
    double short_worst; /* of started work */
    double requests;
    double shorts;
    double longs;
    double urgents;
    double in_time; /* answered before the deadline */
    double short_in_time;
    double long_in_time;
    double urgent_not_started; /* urgent work never started */
    double starts;
    double refusals;           /* by full targets */
    double lost_to_bad_worker; /* failed last on the bad worker */
    double lost_in_trials;     /* of them, as a trial of an ejected worker */
    double attempts_in_fault;  /* during the fault */
    double requests_in_fault;
    double answered_after_deadline; /* ended after the deadline */
    double refused;                 /* not admitted */
    double spilled;                 /* run in the second data centre */
    /* Requests that reached the second data centre first; the others are
       counted above. */
    GArray *second_wait; /* of short work */
    double second_requests;
    double second_in_time;
    double second_refused;
} gv_sim_result_t;

void GvSim_Run(const gv_sim_opts_t *o, gv_sim_result_t *r);
void GvSim_Clear(gv_sim_result_t *r);

#endif
