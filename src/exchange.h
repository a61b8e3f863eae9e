#ifndef GV_EXCHANGE_H
#define GV_EXCHANGE_H

#include <stdbool.h>
#include <stdint.h>

#include "outcome.h"
#include "request.h"
#include "retry.h"
#include "target.h"

/* Pool of a fixed number of worker threads, each with its own HTTP client. A
   job is one exchange: one attempt to run one request on one target. */
typedef struct gv_exchange_pool_s gv_exchange_pool_t;

typedef struct {
    gv_request_t *request; /* a reference owned by the job */
    gv_target_t *target;   /* a reference owned by the job */
    char addr[64];         /* of the target */
    uint64_t attempt;      /* number, unique in this process */
    bool idempotent;
    int64_t begin_ms; /* monotonic */
    void *user;       /* not used by the pool */
} gv_exchange_job_t;

typedef struct {
    gv_attempt_t attempt;
    bool not_run;       /* the request has certainly not run */
    bool final;         /* refused; every other target would refuse it too */
    gv_answer_t answer; /* set for OK, FAILED and a final refusal */
    double run_ms;      /* duration of the exchange */
} gv_exchange_result_t;

typedef struct {
    int workers;
    gv_str_t entry; /* name of this entry host, part of the attempt id */
    /* Called once for each job, on the thread of its worker. It must release
       the job's references and the answer's strings. */
    void (*done)(void *user, gv_exchange_job_t *job, gv_exchange_result_t *r);
    void *user;
} gv_exchange_opts_t;

int GvExchange_Start(const gv_exchange_opts_t *o, gv_exchange_pool_t **out);
/* Waits for the jobs in progress, then frees the pool. */
void GvExchange_Stop(gv_exchange_pool_t *x);
/* Returns the number of workers that have no job. */
int GvExchange_CountIdle(gv_exchange_pool_t *x);
/* Gives a copy of the job to a free worker; false if none is free. */
bool GvExchange_Run(gv_exchange_pool_t *x, const gv_exchange_job_t *job);

#endif
