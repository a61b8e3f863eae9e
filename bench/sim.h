#ifndef GV_BENCH_SIM_H
#define GV_BENCH_SIM_H

#include "load.h"

/* Simulates one service in one or two data centres in virtual time: entry
   hosts with a queue each, and targets that refuse work beyond their slots.
   Calls the modules queue, estimate, slots, placement and retry as the daemon
   does. */

enum { GV_SIM_TEAMS_MAX = 130 };

typedef struct {
    guint32 seed;
    const char *queue; /* names of the policies */
    const char *place;
    const char *retry;
    int retry_percent; /* retry budget in % of the requests; 0 means 10 */
    int entries;       /* entry hosts of each data centre */
    int targets;       /* of each data centre */
    double seconds;    /* simulated time */
    double load;       /* mean demand divided by capacity */
    bool no_classes;   /* no work counts as long */
    bool no_shares;    /* each entry host uses all slots of each target */
    bool lending;      /* entry hosts lend each other slots */
    bool uneven;       /* entry hosts get 4:3:2:1 of the arrivals */
    bool slow;     /* requests run three times longer on one target in five */
    bool cancels;  /* every 7 s a third of the waiting work is cancelled */
    bool no_eject; /* failing targets are not ejected */
    bool trial_any_request; /* trials use any request, not only idempotent */
    bool bad_worker;        /* the first target fails all requests for 60 s */
    bool collapse;          /* all targets fail four of five runs for 60 s */
    /* Mean demand of a second data centre divided by its capacity; 0 for no
       second data centre. */
    double second_load;
    bool second_apart; /* its bursts come at other times than the first's */
    /* Number of teams with equal quotas, GV_SIM_TEAMS_MAX at most; the first
       requests half of the work. 0 for the two default teams. */
    int teams;
    bool spill; /* full entry hosts forward work to the other data centre */
} gv_sim_opts_t;

typedef struct {
    /* Waits (double) in ms from arrival to the first start. In all but
       urgent_wait, work never started counts with its whole deadline. */
    GArray *short_wait;
    GArray *long_wait;
    GArray *within_quota_wait; /* short work of all teams but the first */
    GArray *above_quota_wait;  /* short work of the first team */
    GArray *urgent_wait;
    GArray *response;   /* response times of short work in ms, from arrival */
    double short_worst; /* longest wait of started short work in ms */
    double requests;
    double shorts;
    double longs;
    double urgents;
    double in_time; /* answered before the deadline */
    double short_in_time;
    double long_in_time;
    double urgent_not_started; /* urgent work never started */
    double starts;
    double refusals;           /* starts refused by full targets */
    double lost_to_bad_worker; /* requests whose last attempt failed there */
    double lost_in_trials;     /* of these, trials while it was ejected */
    double attempts_in_fault;  /* started during the fault */
    double requests_in_fault;  /* that arrived during the fault */
    double answered_after_deadline; /* successful runs that ended too late */
    double refused;                 /* requests not admitted */
    double spilled;                 /* forwarded requests that ran */
    /* Requests whose callers reached the second data centre. The counts above
       are of the first one, except for refusals, starts, attempts and spilled
       requests. */
    GArray *second_wait; /* of short work */
    double second_requests;
    double second_in_time;
    double second_refused;
} gv_sim_result_t;

/* Runs one simulation; release its result with GvSim_Clear. */
void GvSim_Run(const gv_sim_opts_t *o, gv_sim_result_t *r);
void GvSim_Clear(gv_sim_result_t *r);

#endif
