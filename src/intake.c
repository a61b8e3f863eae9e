#include "intake.h"

#include "counter.h"
#include "evlog.h"
#include "job_record.h"
#include "limits.h"
#include "unsettled.h"

GV_COUNTER(accepted, "jobs_accepted_total", "Jobs accepted");
GV_COUNTER(refused, "jobs_refused_total", "Submissions refused as not run");
GV_COUNTER(unknown, "jobs_unknown_total",
           "Submissions and cancellations that ended without a known result");

typedef struct {
    bool used;
    bool in_flight;    /* an append of it has no result yet */
    bool maybe_stored; /* an earlier try may be stored, or still become so */
    int tries;
    int64_t next_ms; /* earliest time of the next try */
    GByteArray *records;
    GPtrArray *requests; /* gv_intake_request_t * */
} gv_batch_t;

GV_COUNTER(early_stored, "cancellations_early_total",
           "Cancellations of unknown jobs that were to be stored");
GV_COUNTER(early_refused, "cancellations_early_refused_total",
           "Cancellations of unknown jobs refused as too many are kept");
GV_COUNTER(over_memory, "jobs_over_memory_total",
           "Submissions refused because jobs took too much memory");

struct gv_intake_s {
    gv_intake_ops_t ops;
    gv_job_table_t *table;
    GQueue waiting; /* gv_intake_request_t * without a batch */
    gv_batch_t batches[GV_INTAKE_APPENDS];
    gv_unsettled_t unsettled;
    size_t submitted; /* bytes of the jobs that wait to be stored */
};

/* Returns an intake that looks jobs up in a table; it doesn't own the table.
 */
gv_intake_t *
GvIntake_New(const gv_intake_ops_t *ops, gv_job_table_t *table)
{
    gv_intake_t *in = g_new0(gv_intake_t, 1);
    in->ops = *ops;
    in->table = table;
    g_queue_init(&in->waiting);
    GvUnsettled_Init(&in->unsettled);
    for (int i = 0; i < GV_INTAKE_APPENDS; i++) {
        in->batches[i].records = g_byte_array_new();
        in->batches[i].requests = g_ptr_array_new();
    }
    return in;
}

void
GvIntake_Free(gv_intake_t *in)
{
    GvUnsettled_Clear(&in->unsettled);
    for (int i = 0; i < GV_INTAKE_APPENDS; i++) {
        g_byte_array_free(in->batches[i].records, TRUE);
        g_ptr_array_free(in->batches[i].requests, TRUE);
    }
    g_queue_clear(&in->waiting);
    g_free(in);
}

/* Sends a reply and counts it; logs it unless it carries a state or count. */
static void
reply(gv_intake_t *in, gv_intake_request_t *rq, gv_intake_reply_t r)
{
    static const char *const kind_names[] = {"submit", "state", "cancel",
                                             "count"};
    static const char *const result_names[] = {
        "accepted", "cancelled",   "state",   "pending",
        "no-job",   "no-queue",    "invalid", "not-run",
        "unknown",  "unavailable", "id-taken"};
    bool query_result =
        r.result == GV_INTAKE_STATE || r.result == GV_INTAKE_PENDING;
    if (!query_result) {
        bool named = rq->account.n > 0;
        GvEvlog_Write(kind_names[rq->kind],
                      "job=%.*s%s%.*s said=%s why=\"%s\"", GV_STR_ARG(rq->id),
                      named ? " account=" : "", GV_STR_ARG(rq->account),
                      result_names[r.result], r.why == NULL ? "" : r.why);
    }
    GvCounter_Add(&accepted, r.result == GV_INTAKE_ACCEPTED ? 1 : 0);
    GvCounter_Add(&refused, r.result == GV_INTAKE_NOT_RUN ? 1 : 0);
    GvCounter_Add(&unknown, r.result == GV_INTAKE_UNKNOWN ? 1 : 0);
    if (rq->waiting && rq->kind == GV_INTAKE_KIND_SUBMIT) {
        in->submitted -= GvJob_Bytes(rq->job);
    }
    rq->waiting = false;
    in->ops.reply(in->ops.user, rq, &r);
}

/* Returns true if another submission of the same job may be stored: its append
   is in flight or has ended without a certain result. */
static bool
is_unsettled(const gv_intake_t *in, const gv_intake_request_t *rq,
             int64_t now_ms)
{
    if (GvUnsettled_Has(&in->unsettled, rq->id, now_ms)) {
        return true;
    }
    for (int i = 0; i < GV_INTAKE_APPENDS; i++) {
        const gv_batch_t *b = &in->batches[i];
        bool open = b->in_flight || b->maybe_stored;
        for (guint k = 0; b->used && open && k < b->requests->len; k++) {
            const gv_intake_request_t *other =
                g_ptr_array_index(b->requests, k);
            if (other != rq && other->kind == GV_INTAKE_KIND_SUBMIT &&
                GvStr_Equal(other->id, rq->id)) {
                return true;
            }
        }
    }
    return false;
}

/* Refuses a request whose record was not sent or not stored. A submission is
   refused as not run only if no earlier one of the same job may be stored. */
static void
refuse(gv_intake_t *in, gv_intake_request_t *rq, const char *why,
       int retry_after_ms, int64_t now_ms)
{
    gv_intake_reply_t r = {.result = GV_INTAKE_NOT_RUN,
                           .retry_after_ms = retry_after_ms,
                           .why = why};
    if (rq->kind != GV_INTAKE_KIND_SUBMIT) {
        r.result = GV_INTAKE_UNAVAILABLE;
    }
    else if (is_unsettled(in, rq, now_ms)) {
        r = (gv_intake_reply_t){.result = GV_INTAKE_UNKNOWN,
                                .why = "an earlier submission may be stored"};
    }
    reply(in, rq, r);
}

static void
reply_state(gv_intake_t *in, gv_intake_request_t *rq, const gv_job_t *job)
{
    reply(in, rq,
          (gv_intake_reply_t){.result = GV_INTAKE_STATE,
                              .state = GvJob_State(job)});
}

/* Returns true if the caller may see and cancel the job. */
static bool
may_access(const gv_intake_request_t *rq, const gv_job_t *job)
{
    return GvJob_MayAccess(job, rq->account, rq->open_queue);
}

/* Replies to a request for the job of another account. */
static void
reply_no_access(gv_intake_t *in, gv_intake_request_t *rq)
{
    bool submit = rq->kind == GV_INTAKE_KIND_SUBMIT;
    reply(in, rq,
          (gv_intake_reply_t){.result = submit ? GV_INTAKE_ID_TAKEN
                                               : GV_INTAKE_NO_JOB,
                              .why = "job of another account"});
}

/* Replies from the table of jobs if that suffices, else returns false. */
static bool
reply_if_known(gv_intake_t *in, gv_intake_request_t *rq)
{
    const gv_job_t *job = GvJobTable_Find(in->table, rq->id);
    if (job == NULL) {
        return false;
    }
    if (rq->kind != GV_INTAKE_KIND_PENDING && !may_access(rq, job)) {
        reply_no_access(in, rq);
        return true;
    }
    switch (rq->kind) {
    case GV_INTAKE_KIND_SUBMIT:
        reply(
            in, rq,
            (gv_intake_reply_t){.result = GV_INTAKE_ACCEPTED, .why = "known"});
        return true;
    case GV_INTAKE_KIND_STATE:
        reply_state(in, rq, job);
        return true;
    case GV_INTAKE_KIND_CANCEL:
        if (!GvJob_Ended(job)) {
            return false;
        }
        reply(in, rq,
              (gv_intake_reply_t){.result = GV_INTAKE_CANCELLED,
                                  .why = "already ended"});
        return true;
    case GV_INTAKE_KIND_PENDING:
        break;
    }
    return false;
}

static void
queue_for_append(gv_intake_t *in, gv_intake_request_t *rq, int64_t now_ms)
{
    rq->waiting = true;
    if (rq->kind == GV_INTAKE_KIND_SUBMIT) {
        in->submitted += GvJob_Bytes(rq->job);
    }
    g_queue_push_tail(&in->waiting, rq);
    GvIntake_Step(in, now_ms);
}

static void
reply_pending(gv_intake_t *in, gv_intake_request_t *rq)
{
    reply(
        in, rq,
        (gv_intake_reply_t){.result = GV_INTAKE_PENDING,
                            .pending = GvJobTable_Pending(in->table, rq->id)});
}

/* Returns true if the record of a job is not larger than the store takes. Its
   size is not computed for jobs that are much smaller. */
static bool
fits_record(const gv_intake_t *in, const gv_job_t *job)
{
    msgpack_sbuffer sb;
    size_t tasks = (size_t)job->n_tasks * GV_JOB_TASK_BYTES;
    if (GvJob_Bytes(job) - tasks < in->ops.record_bytes_max / 2) {
        return true;
    }
    msgpack_sbuffer_init(&sb);
    GvJobRecord_PackDefinition(job, &sb);
    size_t bytes = sb.size + GV_JOB_ID_BYTES + 2;
    msgpack_sbuffer_destroy(&sb);
    return bytes <= in->ops.record_bytes_max;
}

/* Returns true if there is memory for a job beside those that are known or
   wait to be stored. */
static bool
fits_memory(const gv_intake_t *in, const gv_job_t *job)
{
    size_t bytes = GvJob_Bytes(job);
    size_t max = in->ops.jobs_bytes_max;
    if (bytes > GV_INTAKE_SMALL_JOB_BYTES) {
        max = max / 100 * GV_INTAKE_LARGE_JOBS_PERCENT;
    }
    return in->table->bytes + in->submitted + bytes <= max;
}

/* Handles the submission of a job that is not known. It is refused before its
   record is sent if the store does not answer or would not take it, or if
   there is no memory for it. */
static void
submit(gv_intake_t *in, gv_intake_request_t *rq, int64_t now_ms)
{
    if (!in->ops.store_available(in->ops.user, now_ms)) {
        refuse(in, rq, "store does not answer", GV_INTAKE_REFUSED_RETRY_MS,
               now_ms);
    }
    else if (!fits_record(in, rq->job)) {
        reply(in, rq,
              (gv_intake_reply_t){.result = GV_INTAKE_INVALID,
                                  .why = "larger than a record"});
    }
    else if (!fits_memory(in, rq->job)) {
        GvCounter_Add(&over_memory, 1);
        refuse(in, rq, "jobs take too much memory", GV_INTAKE_FULL_RETRY_MS,
               now_ms);
    }
    else {
        queue_for_append(in, rq, now_ms);
    }
}

/* Handles a request; the reply may be sent within this call. While the store
   does not answer, submissions are refused before their records are sent: they
   can then be refused for certain. */
void
GvIntake_Request(gv_intake_t *in, gv_intake_request_t *rq, int64_t now_ms)
{
    if (rq->kind == GV_INTAKE_KIND_PENDING) {
        if (in->ops.age_ms(in->ops.user, now_ms) <= GV_INTAKE_COUNT_AGE_MS) {
            reply_pending(in, rq);
        }
        else {
            in->ops.sync(in->ops.user, rq);
        }
        return;
    }
    if (reply_if_known(in, rq)) {
        return;
    }
    if (rq->kind == GV_INTAKE_KIND_SUBMIT) {
        submit(in, rq, now_ms);
        return;
    }
    if (GvJobTable_Find(in->table, rq->id) != NULL) {
        queue_for_append(in, rq, now_ms);
        return;
    }
    in->ops.sync(in->ops.user, rq);
}

/* Handles the cancellation of an unknown job. It is stored before it is
   acknowledged: a submission of the job, at any host, may be stored after the
   read that did not find it. */
static void
cancel_unknown(gv_intake_t *in, gv_intake_request_t *rq, int64_t now_ms)
{
    if (in->table->n_early_cancels >= GV_INTAKE_EARLY_CANCELS_MAX &&
        !is_unsettled(in, rq, now_ms)) {
        GvCounter_Add(&early_refused, 1);
        refuse(in, rq, "too many cancellations of unknown jobs",
               GV_INTAKE_FULL_RETRY_MS, now_ms);
        return;
    }
    GvCounter_Add(&early_stored, 1);
    rq->early = true;
    queue_for_append(in, rq, now_ms);
}

/* Continues a request after the read that it asked for. If ok, the table holds
   all that was stored before the request; else the store was not read. */
void
GvIntake_Synced(gv_intake_t *in, gv_intake_request_t *rq, bool ok,
                int64_t now_ms)
{
    if (rq->kind == GV_INTAKE_KIND_PENDING && ok) {
        reply_pending(in, rq);
        return;
    }
    if (rq->kind != GV_INTAKE_KIND_PENDING && reply_if_known(in, rq)) {
        return;
    }
    if (!ok) {
        reply(in, rq,
              (gv_intake_reply_t){.result = GV_INTAKE_UNAVAILABLE,
                                  .retry_after_ms = 1000,
                                  .why = "store not read"});
    }
    else if (GvJobTable_Find(in->table, rq->id) != NULL) {
        queue_for_append(in, rq, now_ms);
    }
    else if (rq->kind == GV_INTAKE_KIND_CANCEL) {
        cancel_unknown(in, rq, now_ms);
    }
    else {
        reply(in, rq, (gv_intake_reply_t){.result = GV_INTAKE_NO_JOB});
    }
}

typedef void (*gv_record_fn_t)(gv_intake_t *in, gv_batch_t *b, gv_str_t key,
                               gv_str_t value);

static void
add_record(gv_intake_t *in, gv_batch_t *b, gv_str_t key, gv_str_t value)
{
    in->ops.add_record(b->records, key, value);
}

static void
apply_record(gv_intake_t *in, gv_batch_t *b, gv_str_t key, gv_str_t value)
{
    (void)b;
    in->ops.stored(in->ops.user, key, value);
}

/* Encodes the record of a request and passes it to fn. */
static void
with_record(gv_intake_t *in, gv_batch_t *b, const gv_intake_request_t *rq,
            gv_record_fn_t fn)
{
    char key[GV_EARLY_KEY_BYTES];
    if (rq->early) {
        GByteArray *caller = g_byte_array_new();
        GvJobTable_EarlyCancelKey(rq->id, rq->account, rq->open_queue, key);
        GvJobTable_PackEarlyCancel(rq->account, rq->open_queue, caller);
        fn(in, b, GvStr_C(key), GvStr_N(caller->data, caller->len));
        g_byte_array_free(caller, TRUE);
        return;
    }
    if (rq->kind == GV_INTAKE_KIND_CANCEL) {
        g_snprintf(key, sizeof key, "C%.*s", GV_STR_ARG(rq->id));
        fn(in, b, GvStr_C(key), GV_STR("1"));
        return;
    }
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    g_snprintf(key, sizeof key, "J%.*s", GV_STR_ARG(rq->id));
    GvJobRecord_PackDefinition(rq->job, &sb);
    fn(in, b, GvStr_C(key), GvStr_N(sb.data, sb.size));
    msgpack_sbuffer_destroy(&sb);
}

/* Appends a batch, on a new connection if it was tried before. */
static void
send_batch(gv_intake_t *in, int i)
{
    gv_batch_t *b = &in->batches[i];
    b->in_flight = true;
    b->tries++;
    in->ops.append(in->ops.user, i, GvStr_N(b->records->data, b->records->len),
                   b->tries > 1);
}

/* Fills a free batch with waiting requests and sends it. */
static void
begin_batch(gv_intake_t *in, int i)
{
    gv_batch_t *b = &in->batches[i];
    b->used = true;
    b->maybe_stored = false;
    b->tries = 0;
    g_byte_array_set_size(b->records, 0);
    while (in->waiting.length > 0 && b->requests->len < GV_INTAKE_BATCH &&
           b->records->len < GV_INTAKE_BATCH_BYTES) {
        gv_intake_request_t *rq = g_queue_pop_head(&in->waiting);
        with_record(in, b, rq, add_record);
        g_ptr_array_add(b->requests, rq);
    }
    send_batch(in, i);
}

static void
end_batch(gv_batch_t *b)
{
    g_ptr_array_set_size(b->requests, 0);
    g_byte_array_set_size(b->records, 0);
    b->used = false;
}

/* Applies the records of a stored batch and accepts its requests. */
static void
batch_stored(gv_intake_t *in, gv_batch_t *b)
{
    for (guint i = 0; i < b->requests->len; i++) {
        gv_intake_request_t *rq = g_ptr_array_index(b->requests, i);
        with_record(in, b, rq, apply_record);
        const gv_job_t *job = GvJobTable_Find(in->table, rq->id);
        if (job != NULL && !may_access(rq, job)) {
            reply_no_access(in, rq);
            continue;
        }
        if (rq->early && job == NULL) {
            reply(in, rq,
                  (gv_intake_reply_t){.result = GV_INTAKE_NO_JOB,
                                      .why = "cancellation stored"});
            continue;
        }
        reply(in, rq,
              (gv_intake_reply_t){.result = rq->kind == GV_INTAKE_KIND_CANCEL
                                                ? GV_INTAKE_CANCELLED
                                                : GV_INTAKE_ACCEPTED,
                                  .why = "stored"});
    }
    end_batch(b);
}

/* Refuses the requests of a batch that cannot have been stored. */
static void
batch_refused(gv_intake_t *in, gv_batch_t *b, const char *why, int64_t now_ms)
{
    for (guint i = 0; i < b->requests->len; i++) {
        refuse(in, g_ptr_array_index(b->requests, i), why,
               GV_INTAKE_REFUSED_RETRY_MS, now_ms);
    }
    end_batch(b);
}

/* Handles the result of an append. A batch that may have been stored is tried
   again also when the store refuses it: an earlier append may still take
   effect, so its requests cannot be refused. The first repetition is sent at
   once after a broken connection, which may have been closed while idle. */
void
GvIntake_Appended(gv_intake_t *in, int batch, const gv_append_answer_t *a,
                  int64_t now_ms)
{
    gv_batch_t *b = &in->batches[batch];
    b->in_flight = false;
    switch (a->result) {
    case GV_STORE_DONE:
        batch_stored(in, b);
        break;
    case GV_STORE_BUSY:
    case GV_STORE_UNREACHABLE:
    case GV_STORE_END_CHANGED:
    case GV_STORE_FENCED:
    case GV_STORE_SEQUENCE:
        if (!b->maybe_stored) {
            batch_refused(in, b,
                          a->result == GV_STORE_UNREACHABLE
                              ? "store unreachable"
                              : "store refuses",
                          now_ms);
            break;
        }
        b->next_ms = now_ms + GV_INTAKE_RETRY_MS;
        break;
    case GV_STORE_UNKNOWN:
        b->maybe_stored = true;
        b->next_ms =
            now_ms + (a->broken && b->tries == 1 ? 0 : GV_INTAKE_RETRY_MS);
        break;
    }
    GvIntake_Step(in, now_ms);
}

/* Replies "unknown" to requests of a batch that are past their deadline. */
static void
end_overdue(gv_intake_t *in, gv_batch_t *b, int64_t now_ms)
{
    for (guint i = b->requests->len; i > 0; i--) {
        gv_intake_request_t *rq = g_ptr_array_index(b->requests, i - 1);
        if (now_ms >= rq->deadline_ms) {
            g_ptr_array_remove_index(b->requests, i - 1);
            if (rq->kind == GV_INTAKE_KIND_SUBMIT) {
                GvUnsettled_Add(&in->unsettled, rq->id, now_ms);
            }
            reply(in, rq,
                  (gv_intake_reply_t){.result = GV_INTAKE_UNKNOWN,
                                      .why = "store has not answered"});
        }
    }
    if (b->requests->len == 0 && !b->in_flight) {
        end_batch(b);
    }
}

/* Refuses the waiting requests, whose records were not sent. */
static void
refuse_waiting(gv_intake_t *in, int64_t now_ms)
{
    while (in->waiting.length > 0) {
        refuse(in, g_queue_pop_head(&in->waiting), "store does not answer",
               GV_INTAKE_REFUSED_RETRY_MS, now_ms);
    }
}

/* Refuses the waiting requests that are past their deadline. After a stop of
   the process it may be long past. */
static void
refuse_overdue(gv_intake_t *in, int64_t now_ms)
{
    GQueue overdue = G_QUEUE_INIT; /* a reply may bring further requests */
    GList *next = NULL;
    for (GList *l = in->waiting.head; l != NULL; l = next) {
        const gv_intake_request_t *rq = l->data;
        next = l->next;
        if (now_ms >= rq->deadline_ms) {
            g_queue_unlink(&in->waiting, l);
            g_queue_push_tail_link(&overdue, l);
        }
    }
    while (overdue.length > 0) {
        refuse(in, g_queue_pop_head(&overdue), "no append could start in time",
               GV_INTAKE_REFUSED_RETRY_MS, now_ms);
    }
}

/* Sends waiting requests, or refuses them if the store does not answer.
   Repeats appends and replies to requests that are past their deadline. */
void
GvIntake_Step(gv_intake_t *in, int64_t now_ms)
{
    refuse_overdue(in, now_ms);
    if (in->waiting.length > 0 &&
        !in->ops.store_available(in->ops.user, now_ms)) {
        refuse_waiting(in, now_ms);
    }
    for (int i = 0; i < GV_INTAKE_APPENDS; i++) {
        gv_batch_t *b = &in->batches[i];
        if (b->used) {
            end_overdue(in, b, now_ms);
        }
        if (b->used && !b->in_flight && now_ms >= b->next_ms) {
            send_batch(in, i);
        }
        if (!b->used && in->waiting.length > 0) {
            begin_batch(in, i);
        }
    }
}
