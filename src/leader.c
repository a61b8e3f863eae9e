#include "leader.h"

#include "counter.h"
#include "evlog.h"
#include "limits.h"

GV_GAUGE(is_leader, "leader", "1 while this process schedules");
GV_COUNTER(claims, "lease_claims_total", "Tries to take the lease");
GV_COUNTER(batches, "progress_batches_total", "Batches of progress stored");

typedef enum { FOLLOWING, CLAIMING, LEADING } gv_leader_state_t;

struct gv_leader_s {
    gv_leader_opts_t o;
    gv_leader_state_t state;
    gv_sched_t *sched;
    uint64_t epoch; /* claimed or held */
    uint64_t seq;   /* of the open or next append */
    bool open;
    bool resign;     /* asked to give up */
    bool resigning;  /* the open append says so */
    bool with_batch; /* the open append holds a batch of the scheduler */
    bool fresh;
    GByteArray *records; /* of the open append */
    GByteArray *extra;   /* for the next one */
    bool at_end;
    uint64_t end;
    int call_ms; /* duration of a call of the store */
    int64_t started_ms;
    int64_t heard_ms;
    int64_t renewed_ms; /* newest stored append */
    int64_t next_ms;    /* of the next try */
};

/* Returns a process that is not the leader. */
gv_leader_t *
GvLeader_New(const gv_leader_opts_t *o)
{
    gv_leader_t *c = g_new0(gv_leader_t, 1);
    c->o = *o;
    c->records = g_byte_array_new();
    c->extra = g_byte_array_new();
    c->started_ms = o->now_ms;
    return c;
}

void
GvLeader_Free(gv_leader_t *c)
{
    g_byte_array_free(c->records, TRUE);
    g_byte_array_free(c->extra, TRUE);
    g_free(c);
}

/* A record of the leader was read. */
void
GvLeader_RecordRead(gv_leader_t *c, int64_t now_ms)
{
    c->heard_ms = now_ms;
}

void
GvLeader_SetCallMs(gv_leader_t *c, int call_ms)
{
    c->call_ms = call_ms;
}

/* This process stood still: what it believes of others' silence is void. */
void
GvLeader_Paused(gv_leader_t *c, int64_t now_ms)
{
    c->started_ms = now_ms;
}

bool
GvLeader_IsLeader(const gv_leader_t *c)
{
    return c->state == LEADING;
}

uint64_t
GvLeader_Epoch(const gv_leader_t *c)
{
    return c->epoch;
}

/* Returns when the store last confirmed that this process is the leader. */
int64_t
GvLeader_RenewedMs(const gv_leader_t *c)
{
    return c->renewed_ms;
}

/* Gives the lease up with the next append. */
void
GvLeader_Resign(gv_leader_t *c)
{
    c->resign = true;
}

void
GvLeader_AddRecord(gv_leader_t *c, gv_str_t key, gv_str_t value)
{
    c->o.ops.add_record(c->extra, key, value);
}

static void
lose(gv_leader_t *c, const char *why)
{
    bool held = c->state == LEADING;
    GvEvlog_Write("lead", "lost epoch=%llu why=\"%s\"",
                  (unsigned long long)c->epoch, why);
    c->state = FOLLOWING;
    c->sched = NULL;
    g_byte_array_set_size(c->records, 0);
    g_byte_array_set_size(c->extra, 0);
    GvCounter_Set(&is_leader, 0);
    if (held) {
        c->o.ops.end(c->o.ops.user, why);
    }
}

static void
send(gv_leader_t *c)
{
    gv_leader_append_t a = {
        .records = GvStr_N(c->records->data, c->records->len),
        .at_end = c->at_end,
        .end = c->end,
        .epoch = c->epoch,
        .seq = c->seq,
        .fresh = c->fresh,
    };
    c->open = true;
    c->o.ops.append(c->o.ops.user, &a);
}

static void
put_lease(gv_leader_t *c, bool resigned)
{
    GByteArray *value = g_byte_array_new();
    gv_lease_t lead = {c->epoch, c->o.self, resigned};
    GvJobTable_PackLease(&lead, value);
    c->o.ops.add_record(c->records, GV_STR("L"),
                        GvStr_N(value->data, value->len));
    g_byte_array_free(value, TRUE);
}

/* Claims the lease by a record that is stored only if nothing was added since
   everything was read: two claims of one epoch cannot both succeed. */
static void
claim(gv_leader_t *c, const gv_lease_t *lead, uint64_t next, int64_t now_ms)
{
    GvCounter_Add(&claims, 1);
    GvEvlog_Write("lead", "claim epoch=%llu from=%.*s silent_ms=%lld at=%llu",
                  (unsigned long long)lead->epoch + 1,
                  GV_STR_ARG(lead->holder), (long long)(now_ms - c->heard_ms),
                  (unsigned long long)next);
    c->state = CLAIMING;
    c->epoch = lead->epoch + 1;
    c->seq = c->o.first_seq;
    c->at_end = true;
    c->end = next;
    c->fresh = false;
    g_byte_array_set_size(c->records, 0);
    put_lease(c, false);
    send(c);
}

static void
add_progress(void *user, gv_str_t key, gv_str_t value)
{
    gv_leader_t *c = user;
    c->o.ops.add_record(c->records, key, value);
}

/* Fills and sends the next batch, if there is anything to store. */
static void
store_next(gv_leader_t *c, int64_t now_ms)
{
    c->with_batch = GvSched_TakeBatch(c->sched, add_progress, c) > 0;
    g_byte_array_append(c->records, c->extra->data, c->extra->len);
    g_byte_array_set_size(c->extra, 0);
    if (c->resign) {
        put_lease(c, true);
        c->resigning = true;
    }
    else if (c->records->len == 0 && now_ms - c->renewed_ms >= c->o.renew_ms) {
        put_lease(c, false);
    }
    if (c->records->len > 0) {
        c->at_end = false;
        send(c);
    }
}

/* Returns why this process no longer is the leader, or NULL. */
static const char *
why_lost(const gv_leader_t *c, const gv_lease_t *lead, int64_t now_ms)
{
    if (lead->epoch > c->epoch) {
        return "another holds the lease";
    }
    if (GvSched_IsFenced(c->sched)) {
        return "a target has seen a newer fence";
    }
    if (now_ms - c->renewed_ms > c->o.orphan_ms) {
        return "store out of reach";
    }
    return NULL;
}

/* Carries on: claims the lease when it is free, stores progress while this
   process is the leader, and steps down when it no longer is. */
void
GvLeader_Step(gv_leader_t *c, const gv_lease_t *lead, bool current,
              uint64_t next, int64_t failed_ms, int64_t now_ms)
{
    const char *why = c->state == LEADING ? why_lost(c, lead, now_ms) : NULL;
    if (why != NULL) {
        lose(c, why);
        return;
    }
    if (c->open || now_ms < c->next_ms) {
        return;
    }
    if (c->state == LEADING) {
        if (c->records->len > 0) {
            send(c);
        }
        else {
            store_next(c, now_ms);
        }
        return;
    }
    if (c->state == CLAIMING) {
        c->state = FOLLOWING;
    }
    gv_lead_view_t v = {
        .self = c->o.self,
        .lead = lead,
        .now_ms = now_ms,
        .started_ms = c->started_ms,
        .heard_ms = c->heard_ms,
        .failed_ms = failed_ms,
        .current = current,
        .ours = false,
        .stopping = c->resign,
        .claim_delay_ms = c->o.claim_delay_ms,
        .leader_timeout_ms =
            c->o.leader_timeout_ms + GV_LEAD_SLOW_CALLS * c->call_ms,
    };
    if (GvLead_MayClaim(&v)) {
        claim(c, lead, next, now_ms);
    }
}

static void
become_leader(gv_leader_t *c, int64_t now_ms)
{
    c->state = LEADING;
    c->seq++;
    c->renewed_ms = now_ms;
    g_byte_array_set_size(c->records, 0);
    GvCounter_Set(&is_leader, 1);
    GvEvlog_Write("lead", "became leader epoch=%llu",
                  (unsigned long long)c->epoch);
    c->sched = c->o.ops.begin(c->o.ops.user, c->epoch);
}

/* The open batch is stored. */
static void
stored(gv_leader_t *c, int64_t now_ms)
{
    c->seq++;
    c->renewed_ms = now_ms;
    c->fresh = false;
    g_byte_array_set_size(c->records, 0);
    GvCounter_Add(&batches, 1);
    if (c->with_batch) {
        c->with_batch = false;
        GvSched_ConfirmBatch(c->sched, now_ms);
    }
    if (c->resigning) {
        c->resigning = false;
        lose(c, "resigned");
    }
}

static void
claim_answered(gv_leader_t *c, const gv_append_answer_t *a, int64_t now_ms)
{
    if (a->result == GV_STORE_DONE) {
        become_leader(c, now_ms);
        return;
    }
    /* Also without an answer: whether the claim was stored shows when the
       partition is read; its own record is then claimed anew. */
    c->state = FOLLOWING;
    g_byte_array_set_size(c->records, 0);
    c->next_ms = now_ms + GV_LEAD_RANKS * GV_LEAD_RANK_MS;
}

/* Takes the result of the open append. */
void
GvLeader_Appended(gv_leader_t *c, const gv_append_answer_t *a, int64_t now_ms)
{
    c->open = false;
    if (c->state == CLAIMING) {
        claim_answered(c, a, now_ms);
        return;
    }
    if (c->state != LEADING) {
        return;
    }
    switch (a->result) {
    case GV_STORE_DONE:
        stored(c, now_ms);
        return;
    case GV_STORE_SEQUENCE:
        GvEvlog_Write("lead", "sequence sent=%llu expected=%llu",
                      (unsigned long long)c->seq,
                      (unsigned long long)a->expected);
        if (a->expected == c->seq + 1) {
            stored(c, now_ms);
        }
        else {
            c->seq = a->expected;
        }
        return;
    case GV_STORE_FENCED:
    case GV_STORE_END_CHANGED:
        lose(c, "fenced by the store");
        return;
    case GV_STORE_BUSY:
    case GV_STORE_UNREACHABLE:
    case GV_STORE_UNKNOWN:
        c->fresh = a->result != GV_STORE_BUSY;
        c->next_ms = now_ms + GV_LEAD_RETRY_MS;
        GvEvlog_Write("lead", "append result=%d, tried again", a->result);
        return;
    }
}
