#include "intake.h"

#include "counter.h"
#include "evlog.h"
#include "job_record.h"
#include "limits.h"

GV_COUNTER(accepted, "jobs_accepted_total", "Jobs accepted");
GV_COUNTER(refused, "jobs_refused_total", "Submissions refused as not run");
GV_COUNTER(unknown, "jobs_unknown_total",
           "Submissions and cancellations that ended without a known result");

typedef struct {
    bool used;
    bool open;
    bool unsure; /* an earlier try may have been stored, or may be later */
    int tries;
    int64_t next_ms;
    GByteArray *records;
    GPtrArray *asked; /* gv_intake_request_t * */
} gv_batch_t;

struct gv_intake_s {
    gv_intake_ops_t ops;
    gv_job_table_t *table;
    GQueue waiting; /* gv_intake_request_t * without a batch */
    gv_batch_t batches[GV_INTAKE_APPENDS];
};

/* Returns an intake over a table of jobs that stays the caller's. */
gv_intake_t *
GvIntake_New(const gv_intake_ops_t *ops, gv_job_table_t *table)
{
    gv_intake_t *in = g_new0(gv_intake_t, 1);
    in->ops = *ops;
    in->table = table;
    g_queue_init(&in->waiting);
    for (int i = 0; i < GV_INTAKE_APPENDS; i++) {
        in->batches[i].records = g_byte_array_new();
        in->batches[i].asked = g_ptr_array_new();
    }
    return in;
}

void
GvIntake_Free(gv_intake_t *in)
{
    for (int i = 0; i < GV_INTAKE_APPENDS; i++) {
        g_byte_array_free(in->batches[i].records, TRUE);
        g_ptr_array_free(in->batches[i].asked, TRUE);
    }
    g_queue_clear(&in->waiting);
    g_free(in);
}

static void
say(gv_intake_t *in, gv_intake_request_t *rq, gv_intake_reply_t r)
{
    static const char *const asks[] = {"submit", "state", "cancel", "count"};
    static const char *const said[] = {
        "accepted", "cancelled", "state",   "pending", "no-job",
        "no-queue", "invalid",   "not-run", "unknown", "unavailable"};
    bool usual = r.said == GV_INTAKE_STATE || r.said == GV_INTAKE_PENDING;
    if (!usual) {
        GvEvlog_Write(asks[rq->ask], "job=%.*s said=%s why=\"%s\"",
                      GV_STR_ARG(rq->id), said[r.said],
                      r.why == NULL ? "" : r.why);
    }
    GvCounter_Add(&accepted, r.said == GV_INTAKE_ACCEPTED ? 1 : 0);
    GvCounter_Add(&refused, r.said == GV_INTAKE_NOT_RUN ? 1 : 0);
    GvCounter_Add(&unknown, r.said == GV_INTAKE_UNKNOWN ? 1 : 0);
    rq->waiting = false;
    in->ops.reply(in->ops.user, rq, &r);
}

static void
say_state(gv_intake_t *in, gv_intake_request_t *rq, const gv_job_t *job)
{
    say(in, rq,
        (gv_intake_reply_t){.said = GV_INTAKE_STATE,
                            .state = GvJob_State(job)});
}

/* Answers from what is known, or returns false. */
static bool
answer_known(gv_intake_t *in, gv_intake_request_t *rq)
{
    const gv_job_t *job = GvJobTable_Find(in->table, rq->id);
    if (job == NULL) {
        return false;
    }
    switch (rq->ask) {
    case GV_INTAKE_KIND_SUBMIT:
        say(in, rq,
            (gv_intake_reply_t){.said = GV_INTAKE_ACCEPTED, .why = "known"});
        return true;
    case GV_INTAKE_KIND_STATE:
        say_state(in, rq, job);
        return true;
    case GV_INTAKE_KIND_CANCEL:
        if (!GvJob_Ended(job)) {
            return false;
        }
        say(in, rq,
            (gv_intake_reply_t){.said = GV_INTAKE_CANCELLED,
                                .why = "had ended"});
        return true;
    case GV_INTAKE_KIND_PENDING:
        break;
    }
    return false;
}

static void
wait_for_store(gv_intake_t *in, gv_intake_request_t *rq, int64_t now_ms)
{
    rq->waiting = true;
    g_queue_push_tail(&in->waiting, rq);
    GvIntake_Step(in, now_ms);
}

static void
say_pending(gv_intake_t *in, gv_intake_request_t *rq)
{
    say(in, rq,
        (gv_intake_reply_t){.said = GV_INTAKE_PENDING,
                            .pending = GvJobTable_Pending(in->table, rq->id)});
}

/* Takes a request. The reply may come from within this call. A submission
   that the store would not answer is refused before anything of it is sent. */
void
GvIntake_Request(gv_intake_t *in, gv_intake_request_t *rq, int64_t now_ms)
{
    if (rq->ask == GV_INTAKE_KIND_PENDING) {
        if (in->ops.age_ms(in->ops.user, now_ms) <= GV_INTAKE_COUNT_AGE_MS) {
            say_pending(in, rq);
        }
        else {
            in->ops.sync(in->ops.user, rq);
        }
        return;
    }
    if (answer_known(in, rq)) {
        return;
    }
    if (rq->ask == GV_INTAKE_KIND_SUBMIT &&
        !in->ops.store_available(in->ops.user, now_ms)) {
        say(in, rq,
            (gv_intake_reply_t){.said = GV_INTAKE_NOT_RUN,
                                .retry_after_ms = 1000,
                                .why = "store does not answer"});
        return;
    }
    if (rq->ask == GV_INTAKE_KIND_SUBMIT ||
        GvJobTable_Find(in->table, rq->id) != NULL) {
        wait_for_store(in, rq, now_ms);
        return;
    }
    in->ops.sync(in->ops.user, rq);
}

/* All that was stored before the request is known now, or could not be
   read. */
void
GvIntake_Synced(gv_intake_t *in, gv_intake_request_t *rq, bool ok)
{
    if (rq->ask == GV_INTAKE_KIND_PENDING && ok) {
        say_pending(in, rq);
        return;
    }
    if (rq->ask != GV_INTAKE_KIND_PENDING && answer_known(in, rq)) {
        return;
    }
    if (!ok) {
        say(in, rq,
            (gv_intake_reply_t){.said = GV_INTAKE_UNAVAILABLE,
                                .retry_after_ms = 1000,
                                .why = "store not read"});
    }
    else if (GvJobTable_Find(in->table, rq->id) == NULL) {
        say(in, rq, (gv_intake_reply_t){.said = GV_INTAKE_NO_JOB});
    }
    else {
        rq->waiting = true;
        g_queue_push_tail(&in->waiting, rq);
    }
}

typedef void (*gv_intake_record_t)(gv_intake_t *in, gv_batch_t *b,
                                   gv_str_t key, gv_str_t value);

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

/* Calls fn with the record of a request. */
static void
with_record(gv_intake_t *in, gv_batch_t *b, const gv_intake_request_t *rq,
            gv_intake_record_t fn)
{
    char key[GV_JOB_ID_BYTES + 2];
    if (rq->ask == GV_INTAKE_KIND_CANCEL) {
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

static void
send_batch(gv_intake_t *in, int i)
{
    gv_batch_t *b = &in->batches[i];
    b->open = true;
    b->tries++;
    in->ops.append(in->ops.user, i, GvStr_N(b->records->data, b->records->len),
                   b->tries > 1);
}

static void
begin_batch(gv_intake_t *in, int i)
{
    gv_batch_t *b = &in->batches[i];
    b->used = true;
    b->unsure = false;
    b->tries = 0;
    g_byte_array_set_size(b->records, 0);
    while (in->waiting.length > 0 && b->asked->len < GV_INTAKE_BATCH) {
        gv_intake_request_t *rq = g_queue_pop_head(&in->waiting);
        with_record(in, b, rq, add_record);
        g_ptr_array_add(b->asked, rq);
    }
    send_batch(in, i);
}

static void
end_batch(gv_batch_t *b)
{
    g_ptr_array_set_size(b->asked, 0);
    g_byte_array_set_size(b->records, 0);
    b->used = false;
}

static void
batch_stored(gv_intake_t *in, gv_batch_t *b)
{
    for (guint i = 0; i < b->asked->len; i++) {
        gv_intake_request_t *rq = g_ptr_array_index(b->asked, i);
        with_record(in, b, rq, apply_record);
        say(in, rq,
            (gv_intake_reply_t){.said = rq->ask == GV_INTAKE_KIND_CANCEL
                                            ? GV_INTAKE_CANCELLED
                                            : GV_INTAKE_ACCEPTED,
                                .why = "stored"});
    }
    end_batch(b);
}

/* Nothing of the batch can have been stored: its callers are told so. */
static void
batch_refused(gv_intake_t *in, gv_batch_t *b, const char *why)
{
    for (guint i = 0; i < b->asked->len; i++) {
        gv_intake_request_t *rq = g_ptr_array_index(b->asked, i);
        say(in, rq,
            (gv_intake_reply_t){.said = rq->ask == GV_INTAKE_KIND_CANCEL
                                            ? GV_INTAKE_UNAVAILABLE
                                            : GV_INTAKE_NOT_RUN,
                                .retry_after_ms = 1000,
                                .why = why});
    }
    end_batch(b);
}

/* Takes the result of an append. */
void
GvIntake_Appended(gv_intake_t *in, int batch, const gv_append_answer_t *a,
                  int64_t now_ms)
{
    gv_batch_t *b = &in->batches[batch];
    b->open = false;
    switch (a->result) {
    case GV_STORE_DONE:
        batch_stored(in, b);
        break;
    case GV_STORE_BUSY:
    case GV_STORE_UNREACHABLE:
    case GV_STORE_END_CHANGED:
    case GV_STORE_FENCED:
    case GV_STORE_SEQUENCE:
        if (!b->unsure) {
            batch_refused(in, b,
                          a->result == GV_STORE_UNREACHABLE
                              ? "store out of reach"
                              : "store refuses");
            break;
        }
        b->next_ms = now_ms + GV_INTAKE_RETRY_MS;
        break;
    case GV_STORE_UNKNOWN:
        b->unsure = true;
        b->next_ms = now_ms + GV_INTAKE_RETRY_MS;
        break;
    }
    GvIntake_Step(in, now_ms);
}

/* Tells callers whose time is up that the result is not known. */
static void
end_overdue(gv_intake_t *in, gv_batch_t *b, int64_t now_ms)
{
    for (guint i = b->asked->len; i > 0; i--) {
        gv_intake_request_t *rq = g_ptr_array_index(b->asked, i - 1);
        if (now_ms >= rq->by_ms) {
            g_ptr_array_remove_index(b->asked, i - 1);
            say(in, rq,
                (gv_intake_reply_t){.said = GV_INTAKE_UNKNOWN,
                                    .why = "store has not answered"});
        }
    }
    if (b->asked->len == 0 && !b->open) {
        end_batch(b);
    }
}

/* Sends what waits and ends what is overdue. */
void
GvIntake_Step(gv_intake_t *in, int64_t now_ms)
{
    for (int i = 0; i < GV_INTAKE_APPENDS; i++) {
        gv_batch_t *b = &in->batches[i];
        if (b->used) {
            end_overdue(in, b, now_ms);
        }
        if (b->used && !b->open && now_ms >= b->next_ms) {
            send_batch(in, i);
        }
        if (!b->used && in->waiting.length > 0) {
            begin_batch(in, i);
        }
    }
    while (in->waiting.length > 0) {
        gv_intake_request_t *rq = g_queue_peek_head(&in->waiting);
        if (now_ms < rq->by_ms) {
            break;
        }
        g_queue_pop_head(&in->waiting);
        say(in, rq,
            (gv_intake_reply_t){.said = rq->ask == GV_INTAKE_KIND_CANCEL
                                            ? GV_INTAKE_UNAVAILABLE
                                            : GV_INTAKE_NOT_RUN,
                                .retry_after_ms = 1000,
                                .why = "no append was free"});
    }
}
