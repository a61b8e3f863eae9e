#ifndef GV_EXCHANGE_H
#define GV_EXCHANGE_H

#include <stdbool.h>
#include <stdint.h>

#include "outcome.h"
#include "request.h"
#include "retry.h"
#include "target.h"

/* Bounded pool of worker threads, each with its own HTTP client. One job is
   one attempt of one request at one target. */
typedef struct gv_exchange_pool_s gv_exchange_pool_t;

typedef struct {
    gv_request_t *rq;    /* one reference, kept by the job */
    gv_target_t *target; /* one reference, kept by the job */
    char addr[64];
    uint64_t attempt; /* unique in this process */
    bool idempotent;
    int64_t begin_ms;
    void *user;
} gv_job_t;

typedef struct {
    gv_attempt_t attempt;
    bool not_run;       /* certainly not run */
    bool final;         /* the target's refusal holds for every target */
    gv_answer_t answer; /* for OK, FAILED and a final refusal */
    double run_ms;
} gv_exchange_result_t;

typedef struct {
    int workers;
    gv_str_t entry; /* own name, part of the attempt id */
    /* Called once for each job on its worker's thread; takes over the job's
       references and the answer's strings. */
    void (*done)(void *user, gv_job_t *job, gv_exchange_result_t *r);
    void *user;
} gv_exchange_opts_t;

int GvExchange_Start(const gv_exchange_opts_t *o, gv_exchange_pool_t **out);
/* Waits for the jobs in progress. */
void GvExchange_Stop(gv_exchange_pool_t *x);
/* Number of workers that are neither busy nor spoken for. */
int GvExchange_CountIdle(gv_exchange_pool_t *x);
/* Hands a job to a free worker; false when none is free. */
bool GvExchange_Run(gv_exchange_pool_t *x, const gv_job_t *job);

#endif
