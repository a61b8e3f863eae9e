#include "leader.h"

#include "counter.h"
#include "evlog.h"
#include "limits.h"

GV_GAUGE(is_leader, "leader", "1 while this process schedules");
GV_COUNTER(claims, "lease_claims_total", "Tries to take the lease");
GV_COUNTER(batches, "progress_batches_total", "Batches of progress stored");

typedef enum { FOLLOWING, CLAIMING, LEADING } gv_leader_state_t;

struct gv_leader_s {
    gv_leader_opts_t opts;
    gv_leader_state_t state;
    gv_sched_t *sched;
    uint64_t epoch;    /* claimed or held */
    uint64_t seq;      /* of the current or next append */
    bool in_flight;    /* the current append has no result yet */
    bool resign;       /* GvLeader_Resign was called */
    bool resigning;    /* the current append gives the lease up */
    bool maybe_stored; /* a try of the current append has no certain result */
    bool has_batch;    /* the current append holds a batch of the scheduler */
    bool new_connection;
    GByteArray *records; /* of the current append; empty for none */
    guint resign_at;     /* where the record that gives the lease up begins */
    GByteArray *next_records; /* added by GvLeader_AddRecord */
    bool at_end;
    uint64_t end;
    int call_ms;            /* duration of a call of the store */
    int64_t started_ms;     /* start of the process or end of its last pause */
    int64_t record_read_ms; /* when a record of the leader was last read */
    int64_t sent_ms;        /* when the current append was first sent */
    int64_t renewed_ms;     /* sent_ms of the newest append that was stored */
    int64_t next_ms;        /* earliest time of the next append */
    /* Of the leader before the newest claim */
    uint64_t first_claim; /* first epoch that this process has claimed from it
                             without a certain result; 0: none */
    int64_t former_read_ms;
    GByteArray *former_leases;
};

/* Returns the state of a process that is not the leader. */
gv_leader_t *
GvLeader_New(const gv_leader_opts_t *o)
{
    gv_leader_t *c = g_new0(gv_leader_t, 1);
    c->opts = *o;
    c->records = g_byte_array_new();
    c->next_records = g_byte_array_new();
    c->former_leases = g_byte_array_new();
    c->started_ms = o->now_ms;
    return c;
}

void
GvLeader_Free(gv_leader_t *c)
{
    g_byte_array_free(c->records, TRUE);
    g_byte_array_free(c->next_records, TRUE);
    g_byte_array_free(c->former_leases, TRUE);
    g_free(c);
}

/* Notes that a record of the leader was read. */
void
GvLeader_RecordRead(gv_leader_t *c, int64_t now_ms)
{
    c->record_read_ms = now_ms;
}

/* Sets how long calls of the store take at present. A slow store delays the
   records of the leader, so claims wait longer. */
void
GvLeader_SetCallMs(gv_leader_t *c, int call_ms)
{
    c->call_ms = call_ms;
}

/* Restarts the time that the leader may be without records: this process was
   paused and could not read them. */
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

/* Returns the time from which on no order may be sent and none may be on its
   way; 0 without leadership, and once the lease is to be given up. */
int64_t
GvLeader_OrdersEndMs(const gv_leader_t *c)
{
    return c->state == LEADING && !c->resign
               ? c->renewed_ms + c->opts.orders_ms
               : 0;
}

/* The same for holds. */
int64_t
GvLeader_HoldsEndMs(const gv_leader_t *c)
{
    return c->state == LEADING ? c->renewed_ms + c->opts.holds_ms : 0;
}

/* Stops orders and gives the lease up as soon as none is on its way. */
void
GvLeader_Resign(gv_leader_t *c)
{
    c->resign = true;
}

/* Adds a record to the next append. */
void
GvLeader_AddRecord(gv_leader_t *c, gv_str_t key, gv_str_t value)
{
    c->opts.ops.add_record(c->next_records, key, value);
}

/* Makes this process a follower and drops records that are not stored. */
static void
step_down(gv_leader_t *c, const char *why)
{
    bool held = c->state == LEADING;
    GvEvlog_Write("lead", "lost epoch=%llu why=\"%s\"",
                  (unsigned long long)c->epoch, why);
    c->state = FOLLOWING;
    c->sched = NULL;
    g_byte_array_set_size(c->records, 0);
    g_byte_array_set_size(c->next_records, 0);
    GvCounter_Set(&is_leader, 0);
    if (held) {
        c->opts.ops.end(c->opts.ops.user, why);
    }
}

/* Sends the current append, for the first time or again. */
static void
send_append(gv_leader_t *c)
{
    gv_leader_append_t a = {
        .records = GvStr_N(c->records->data, c->records->len),
        .at_end = c->at_end,
        .end = c->end,
        .epoch = c->epoch,
        .seq = c->seq,
        .new_connection = c->new_connection,
    };
    c->in_flight = true;
    c->opts.ops.append(c->opts.ops.user, &a);
}

/* Adds a record of the lease to the current append. */
static void
put_lease(gv_leader_t *c, bool resigned, gv_str_t leases)
{
    GByteArray *value = g_byte_array_new();
    gv_lease_t lease = {c->epoch, c->opts.self, resigned, leases};
    GvJobTable_PackLease(&lease, value);
    c->opts.ops.add_record(c->records, GV_STR("L"),
                           GvStr_N(value->data, value->len));
    g_byte_array_free(value, TRUE);
}

/* Adds the record by which this process gives the lease up. */
static void
put_resignation(gv_leader_t *c, int64_t now_ms)
{
    GByteArray *leases = g_byte_array_new();
    c->resign_at = c->records->len;
    GvSched_PackLeases(c->sched, now_ms, leases);
    put_lease(c, true, GvStr_N(leases->data, leases->len));
    g_byte_array_free(leases, TRUE);
    c->resigning = true;
}

/* The store has certainly not executed the append that gives the lease up: the
   leases are packed again for the next try, so that targets are held until
   then. */
static void
take_resignation_back(gv_leader_t *c)
{
    c->resigning = false;
    g_byte_array_set_size(c->records, c->resign_at);
    GvSched_UnpackLeases(c->sched);
}

/* Keeps what the lease to be claimed says of its holder. If that is an earlier
   claim of this process, which has not led since, what was kept then still
   holds. */
static void
keep_former(gv_leader_t *c, const gv_lease_t *lease)
{
    if (c->first_claim != 0 && lease->epoch >= c->first_claim &&
        GvStr_Equal(lease->holder, c->opts.self)) {
        return;
    }
    c->first_claim = lease->epoch + 1;
    c->former_read_ms = c->record_read_ms;
    g_byte_array_set_size(c->former_leases, 0);
    if (lease->resigned) {
        g_byte_array_append(c->former_leases, (const guint8 *)lease->leases.p,
                            (guint)lease->leases.n);
    }
}

/* Claims the lease with a record that is stored only if the partition still
   ends where this process has read to: two claims of one epoch cannot both
   succeed. */
static void
claim(gv_leader_t *c, const gv_lease_t *lease, uint64_t next_offset,
      int64_t now_ms)
{
    GvCounter_Add(&claims, 1);
    GvEvlog_Write("lead", "claim epoch=%llu from=%.*s silent_ms=%lld at=%llu",
                  (unsigned long long)lease->epoch + 1,
                  GV_STR_ARG(lease->holder),
                  (long long)(now_ms - c->record_read_ms),
                  (unsigned long long)next_offset);
    keep_former(c, lease);
    c->state = CLAIMING;
    c->epoch = lease->epoch + 1;
    c->seq = c->opts.first_seq;
    c->sent_ms = now_ms;
    c->at_end = true;
    c->end = next_offset;
    c->new_connection = false;
    g_byte_array_set_size(c->records, 0);
    put_lease(c, false, GV_STR(""));
    send_append(c);
}

static void
add_progress(void *user, gv_str_t key, gv_str_t value)
{
    gv_leader_t *c = user;
    c->opts.ops.add_record(c->records, key, value);
}

/* Fills the next append and sends it if there is anything to store. */
static void
store_next(gv_leader_t *c, int64_t now_ms)
{
    c->has_batch = GvSched_TakeBatch(c->sched, add_progress, c) > 0;
    g_byte_array_append(c->records, c->next_records->data,
                        c->next_records->len);
    g_byte_array_set_size(c->next_records, 0);
    if (c->resign && c->opts.ops.open_orders(c->opts.ops.user) == 0) {
        put_resignation(c, now_ms);
    }
    else if (c->records->len == 0 &&
             now_ms - c->renewed_ms >= c->opts.renew_ms) {
        put_lease(c, false, GV_STR(""));
    }
    if (c->records->len > 0) {
        c->at_end = false;
        c->maybe_stored = false;
        c->sent_ms = now_ms;
        send_append(c);
    }
}

/* Returns why this process no longer is the leader, or NULL. */
static const char *
why_lost(const gv_leader_t *c, const gv_lease_t *lease, int64_t now_ms)
{
    if (lease->epoch > c->epoch) {
        return "another process holds the lease";
    }
    if (GvSched_IsFenced(c->sched)) {
        return "a target has seen the fence of a newer leader";
    }
    if (now_ms >= GvLeader_HoldsEndMs(c)) {
        return "store has not confirmed the lease in time";
    }
    return NULL;
}

/* Claims the lease when it is free, stores progress while this process is the
   leader, and steps down when it no longer is. To be called repeatedly. The
   partition of progress was read up to next_offset; failed_ms is the time of
   the last failed read, 0 for none. */
void
GvLeader_Step(gv_leader_t *c, const gv_lease_t *lease, bool caught_up,
              uint64_t next_offset, int64_t failed_ms, int64_t now_ms)
{
    const char *why = c->state == LEADING ? why_lost(c, lease, now_ms) : NULL;
    if (why != NULL) {
        step_down(c, why);
        return;
    }
    if (c->in_flight || now_ms < c->next_ms) {
        return;
    }
    if (c->state == LEADING) {
        if (c->records->len > 0) {
            send_append(c);
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
        .self = c->opts.self,
        .lease = lease,
        .now_ms = now_ms,
        .started_ms = c->started_ms,
        .record_read_ms = c->record_read_ms,
        .failed_ms = failed_ms,
        .caught_up = caught_up,
        .is_leader = false,
        .stopping = c->resign,
        .claim_delay_ms = c->opts.claim_delay_ms,
        .leader_timeout_ms =
            c->opts.leader_timeout_ms + GV_LEAD_TIMEOUT_CALLS * c->call_ms,
    };
    if (GvLead_MayClaim(&v)) {
        claim(c, lease, next_offset, now_ms);
    }
}

static void
become_leader(gv_leader_t *c)
{
    c->state = LEADING;
    c->seq++;
    c->renewed_ms = c->sent_ms;
    g_byte_array_set_size(c->records, 0);
    GvCounter_Set(&is_leader, 1);
    GvEvlog_Write("lead", "became leader epoch=%llu",
                  (unsigned long long)c->epoch);
    c->first_claim = 0;
    gv_former_leader_t former = {
        c->former_read_ms,
        GvStr_N(c->former_leases->data, c->former_leases->len)};
    c->sched = c->opts.ops.begin(c->opts.ops.user, c->epoch, &former);
}

/* Handles the current append once it is stored. */
static void
stored(gv_leader_t *c, int64_t now_ms)
{
    c->seq++;
    c->renewed_ms = c->sent_ms;
    c->new_connection = false;
    g_byte_array_set_size(c->records, 0);
    GvCounter_Add(&batches, 1);
    if (c->has_batch) {
        c->has_batch = false;
        GvSched_ConfirmBatch(c->sched, now_ms);
    }
    if (c->resigning) {
        c->resigning = false;
        step_down(c, "resigned");
    }
}

/* Handles the result of a claim. */
static void
claim_answered(gv_leader_t *c, const gv_append_answer_t *a, int64_t now_ms)
{
    if (a->result == GV_STORE_DONE) {
        become_leader(c);
        return;
    }
    /* Also without an answer: reading the partition shows whether the claim
       was stored. If it was, this process claims the lease again, from itself.
     */
    c->state = FOLLOWING;
    g_byte_array_set_size(c->records, 0);
    c->next_ms = now_ms + GV_LEAD_RANKS * GV_LEAD_RANK_MS;
}

/* Handles the result of the append in flight. */
void
GvLeader_Appended(gv_leader_t *c, const gv_append_answer_t *a, int64_t now_ms)
{
    c->in_flight = false;
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
        step_down(c, "fenced by the store");
        return;
    case GV_STORE_BUSY:
    case GV_STORE_UNREACHABLE:
    case GV_STORE_UNKNOWN:
        /* A kept connection may have been closed while it was idle. */
        if (c->new_connection || !a->broken) {
            c->next_ms = now_ms + GV_LEAD_RETRY_MS;
        }
        c->new_connection = a->result != GV_STORE_BUSY;
        c->maybe_stored = c->maybe_stored || a->result == GV_STORE_UNKNOWN;
        if (c->resigning && !c->maybe_stored) {
            take_resignation_back(c);
        }
        GvEvlog_Write("lead", "append result=%d, tried again", a->result);
        return;
    }
}
