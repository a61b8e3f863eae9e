#ifndef GV_QUEUE_H
#define GV_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "registry.h"
#include "settings.h"

/* Admission queue of one service at one entry host. No locking and no I/O;
   times are monotonic ms given by the caller. */
typedef struct gv_queue_s gv_queue_t;

/* Queue entry, embedded in the request. */
typedef struct gv_queue_item_s {
    /* Set by the caller before push. */
    gv_str_t team;
    bool urgent;
    bool is_long;
    double run_ms; /* expected run time */
    int64_t deadline_ms;
    void *user;
    /* Set by the queue. */
    int64_t queued_ms;
    GList link;
    struct gv_lane_s *lane; /* NULL: not queued */
    uint64_t order;         /* of arrival */
} gv_queue_item_t;

/* Load of the service at this entry host. */
typedef struct {
    int slots;     /* that this entry host may use */
    int busy;      /* slots in use, or without a free exchange thread */
    int busy_long; /* exchanges of long requests in progress */
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
    GV_ADMIT_TOO_LATE /* the deadline cannot be met */
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
    /* Takes out the next item that may start now. Returns NULL if the queue is
       empty, no slot is free, or only long requests are left and their share
       of the slots is in use. */
    gv_queue_item_t *(*pop)(gv_queue_t *q, int64_t now,
                            const gv_queue_load_t *load);
    /* Takes out one item whose deadline has passed; returns NULL if there is
       none. */
    gv_queue_item_t *(*expire)(gv_queue_t *q, int64_t now);
    void (*remove)(gv_queue_t *q, gv_queue_item_t *it);
    /* Puts back an item that was taken out by pop, ahead of the other items of
       its team. */
    void (*requeue)(gv_queue_t *q, gv_queue_item_t *it, int64_t now);
    int (*length)(const gv_queue_t *q);
} gv_queue_policy_t;

#endif
