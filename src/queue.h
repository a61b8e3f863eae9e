#ifndef GV_QUEUE_H
#define GV_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "registry.h"
#include "settings.h"

/* Admission queue of one service at one entry host. Pure; times are
   monotonic ms given by the caller. */
typedef struct gv_queue_s gv_queue_t;

/* Intrusive: embedded in the request. Fill the first part before Push. */
typedef struct gv_queue_item_s {
    gv_str_t team;
    bool urgent;
    bool is_long;
    double run_ms; /* expected */
    int64_t deadline_ms;
    void *user;
    /* set by the queue */
    int64_t queued_ms;
    GList link;
    struct gv_lane_s *lane;
    uint64_t order;
} gv_queue_item_t;

/* Slots that the entry host may use for the service now. */
typedef struct {
    int slots;
    int busy;
    int busy_long;
    double mean_run_ms;
} gv_queue_load_t;

typedef struct {
    int max_requests;
    const gv_team_t *teams; /* copied */
    int n_teams;
    int urgent_share_percent;
    int long_share_percent;
} gv_queue_opts_t;

typedef enum {
    GV_ADMIT_QUEUED,
    GV_ADMIT_FULL,
    GV_ADMIT_TOO_LATE
} gv_admit_kind_t;

typedef struct {
    gv_admit_kind_t kind;
    int retry_after_ms; /* for refusals */
} gv_admit_t;

/* Plug-in: one queue policy. "fair" is the default, "fifo" the baseline. */
typedef struct {
    gv_plugin_t plugin;
    gv_queue_t *(*create)(const gv_queue_opts_t *o);
    void (*destroy)(gv_queue_t *q);
    void (*configure)(gv_queue_t *q, const gv_queue_opts_t *o);
    gv_admit_t (*push)(gv_queue_t *q, gv_queue_item_t *it, int64_t now,
                       const gv_queue_load_t *load);
    /* Next item that may start now, or NULL: empty, no free slot, or only
       long work is left and its share is used up. */
    gv_queue_item_t *(*pop)(gv_queue_t *q, int64_t now,
                            const gv_queue_load_t *load);
    /* Takes out one item whose deadline has passed, or NULL. */
    gv_queue_item_t *(*expire)(gv_queue_t *q, int64_t now);
    void (*remove)(gv_queue_t *q, gv_queue_item_t *it);
    /* Puts back an item whose start was refused by the target; keeps its
       place ahead of its team's others. */
    void (*requeue)(gv_queue_t *q, gv_queue_item_t *it, int64_t now);
    int (*length)(const gv_queue_t *q);
} gv_queue_policy_t;

#endif
