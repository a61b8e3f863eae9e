#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "job_table.h"
#include "leader.h"
#include "limits.h"
#include "sched.h"

/* Explores hand-overs of leadership. The real decisions (lead, leader) of
   HOSTS hosts run against a simulated store and a receiver of orders that does
   not check fences. Every pair of faults out of a list is played: each is one
   kind, on one host, at one time and for one duration. Guards against two
   hosts with permission to give orders at the same time, an order that arrives
   after one with a higher epoch, a planned stop that does not hand over or
   whose stored leases get lost, and a fleet that stays without a leader.

   The clocks of the hosts differ by GV_LEAD_DRIFT_PERCENT. What a host has
   sent arrives within GV_LEAD_WAY_MS, unless its network holds it up: then the
   host withdraws it when its permission ends. A host that is paused while its
   network holds something up cannot do that; such pairs are left out. Starts
   have a deadline of their own for that case. */

#define HOSTS         2
#define STEP_MS       50
#define RUN_MS        14000
#define MESSAGES_MAX  64
#define ORDERS_MAX    64
#define APPEND_MS     20   /* duration of an append without faults */
#define ANSWER_MS     250  /* longest wait for the answer to an append */
#define LATE_MS       1500 /* a late append is executed after this time */
#define FIRST_MS      1000 /* earliest fault */
#define FAULT_STEP_MS 400
#define WAY_STEPS     (GV_LEAD_WAY_MS / STEP_MS + 1)
#define FAULT_TIMES   10
#define FAULT_STEPS   2

typedef enum {
    FAULT_PAUSE,   /* the process stands still */
    FAULT_REFUSED, /* the store refuses this host */
    FAULT_LOST,    /* the store's answers to this host are lost */
    FAULT_LATE,    /* appends of this host are executed late, unanswered */
    FAULT_DOWN,    /* the store refuses all hosts */
    FAULT_HELD,    /* the network of this host holds its orders up */
    FAULT_KILL,    /* the process is killed and started again */
    FAULT_STOP,    /* planned stop; the process is replaced at its end */
    FAULT_KINDS
} fault_kind_t;

typedef struct {
    fault_kind_t kind;
    int host;
    int64_t from_ms;
    int64_t until_ms;
} fault_t;

typedef struct {
    bool used;
    bool sent;
    uint64_t epoch;
    int64_t end_ms;    /* of the permission, on the clock of the host */
    int64_t arrive_ms; /* true time */
} order_t;

/* An append on its way to the store; it outlives the process that sent it. */
typedef struct {
    bool used;
    int number;
    int host;
    int64_t execute_ms;
    GByteArray *records;
    gv_leader_append_t append;
} message_t;

typedef struct {
    gv_leader_t *leader;
    gv_job_table_t *table;
    gv_sched_t *sched;
    uint64_t next_offset;
    int64_t read_ms;   /* newest successful read, clock of the host */
    int64_t failed_ms; /* newest failed read, clock of the host; 0: none */
    bool was_paused;
    bool stopped;
    int waits_for;     /* number of the append that has no result; 0: none */
    int64_t answer_ms; /* when its answer or the end of the wait comes */
    bool answered;
    gv_append_answer_t answer;
    uint64_t sent_epoch; /* of the newest append */
    uint64_t sent_seq;
    guint sent_hash;     /* of its records */
    bool maybe_executed; /* a try of it has no certain result */
    order_t orders[ORDERS_MAX];
    char name[16];
} host_t;

static host_t hosts[HOSTS];
static message_t messages[MESSAGES_MAX];
static int n_messages;     /* sent so far */
static GPtrArray *records; /* GBytes * of the partition: key byte, value */
static uint64_t store_epoch;
static uint64_t store_seq;
static uint64_t highest_epoch; /* that the receiver of orders has seen */
static int64_t now;            /* true time */
static const fault_t *faults;
static int n_faults;
static long n_runs;
static long n_states;
static long n_claims;
/* Leases that a leader has packed and stored, while no host has led since */
static bool leases_stored;
static int64_t leases_stored_ms; /* true time */
static const host_t *claimer; /* the host that has claimed since; NULL: none */
static bool several_claimers; /* several processes have */
static long n_leases_handed;

/* Returns the clock of a host at a true time; that of the last one is slow. */
static int64_t
clock_at(const host_t *h, int64_t true_ms)
{
    return h == &hosts[HOSTS - 1]
               ? true_ms * (100 - GV_LEAD_DRIFT_PERCENT) / 100 + 77
               : true_ms;
}

static int64_t
clock_of(const host_t *h)
{
    return clock_at(h, now);
}

static bool
has_fault(const host_t *h, fault_kind_t kind)
{
    for (int i = 0; i < n_faults; i++) {
        if (faults[i].kind == kind && now >= faults[i].from_ms &&
            now < faults[i].until_ms &&
            (kind == FAULT_DOWN || &hosts[faults[i].host] == h)) {
            return true;
        }
    }
    return false;
}

/* Ends the run with a message that names the faults. */
static void
fail(const char *what)
{
    static const char *const names[] = {"pause", "refused", "lost", "late",
                                        "down",  "held",    "kill", "stop"};
    for (int i = 0; i < n_faults; i++) {
        printf("fault %s host=%d from=%ld until=%ld\n", names[faults[i].kind],
               faults[i].host, (long)faults[i].from_ms,
               (long)faults[i].until_ms);
    }
    g_error("%s at %ld ms", what, (long)now);
}

static void
add_record(GByteArray *out, gv_str_t key, gv_str_t value)
{
    guint32 n = (guint32)value.n;
    g_assert_cmpuint(key.n, ==, 1);
    g_byte_array_append(out, (const guint8 *)key.p, 1);
    g_byte_array_append(out, (const guint8 *)&n, sizeof n);
    g_byte_array_append(out, (const guint8 *)value.p, (guint)value.n);
}

/* Checks that an append which the store may have executed is repeated
   unchanged. */
static void
check_repeat(host_t *h, const gv_leader_append_t *a)
{
    guint hash = GvStr_Hash(a->records);
    bool same = a->epoch == h->sent_epoch && a->seq == h->sent_seq;
    if (same && h->maybe_executed && hash != h->sent_hash) {
        fail("an append without a certain result is sent with other records");
    }
    h->maybe_executed = same && h->maybe_executed;
    h->sent_epoch = a->epoch;
    h->sent_seq = a->seq;
    h->sent_hash = hash;
}

static void
begin_append(void *user, const gv_leader_append_t *a)
{
    host_t *h = user;
    check_repeat(h, a);
    bool late = has_fault(h, FAULT_LATE);
    bool lost = late || has_fault(h, FAULT_LOST);
    message_t *m = messages;
    while (m->used) {
        m++;
        g_assert_true(m < messages + MESSAGES_MAX);
    }
    *m = (message_t){.used = true,
                     .number = ++n_messages,
                     .host = (int)(h - hosts),
                     .execute_ms = now + (late ? LATE_MS : APPEND_MS / 2),
                     .records = g_byte_array_new(),
                     .append = *a};
    g_byte_array_append(m->records, (const guint8 *)a->records.p,
                        (guint)a->records.n);
    if (a->at_end) {
        n_claims++;
        several_claimers =
            several_claimers || (claimer != NULL && claimer != h);
        claimer = h;
    }
    h->waits_for = lost ? -1 : m->number;
    h->answered = false;
    h->answer_ms = now + (lost ? ANSWER_MS : APPEND_MS);
}

/* Checks what a new leader is told of the leases of the former one: those that
   the last leader has stored, also if this host's first claim got no answer,
   and no other ones. A host that was paused may learn of its claim only after
   a later one was stored, and has no permission then. */
static void
check_former(const host_t *h, uint64_t epoch, const gv_former_leader_t *former)
{
    if (epoch < store_epoch) {
        return;
    }
    if (leases_stored && !several_claimers && former->leases.n == 0) {
        fail("stored leases are not handed over");
    }
    if (former->leases.n > 0 && !leases_stored) {
        fail("leases of an earlier leader than the last one are handed over");
    }
    if (former->leases.n > 0 &&
        former->read_ms < clock_at(h, leases_stored_ms)) {
        fail("leases count from before they were stored");
    }
    n_leases_handed += former->leases.n > 0 ? 1 : 0;
    leases_stored = false;
}

static gv_sched_t *
begin_leading(void *user, uint64_t epoch, const gv_former_leader_t *former)
{
    host_t *h = user;
    check_former(h, epoch, former);
    gv_sched_opts_t o = {
        .epoch = epoch, .now_ms = clock_of(h), .former_ms = former->read_ms};
    h->sched = GvSched_New(&o);
    return h->sched;
}

static void
end_leading(void *user, const char *why)
{
    host_t *h = user;
    (void)why;
    GvSched_Free(h->sched);
    h->sched = NULL;
}

static int
count_open(void *user)
{
    const host_t *h = user;
    int n = 0;
    for (int i = 0; i < ORDERS_MAX; i++) {
        n += h->orders[i].used ? 1 : 0;
    }
    return n;
}

static void
start_host(host_t *h, int number)
{
    static uint32_t starts;
    /* The name decides how long a host delays its claim. */
    g_snprintf(h->name, sizeof h->name, "h%d-%ld", number, n_runs % 64);
    gv_leader_opts_t o = {.ops = {.user = h,
                                  .add_record = add_record,
                                  .append = begin_append,
                                  .begin = begin_leading,
                                  .end = end_leading,
                                  .open_orders = count_open},
                          .self = GvStr_C(h->name),
                          .renew_ms = GV_LEAD_RENEW_MS,
                          .leader_timeout_ms = GV_LEAD_TIMEOUT_MS,
                          .orders_ms = GV_LEAD_ORDERS_MS,
                          .holds_ms = GV_LEAD_HOLDS_MS,
                          .first_seq = ++starts * 1000,
                          .now_ms = clock_of(h)};
    several_claimers = several_claimers || claimer == h;
    h->leader = GvLeader_New(&o);
    h->table = GvJobTable_New();
    h->next_offset = 0;
    h->read_ms = 0;
    h->failed_ms = 0;
    h->stopped = false;
}

/* Ends the process of a host. Its connections are reset: what the network
   holds up is lost. */
static void
end_host(host_t *h)
{
    if (h->sched != NULL) {
        GvSched_Free(h->sched);
        h->sched = NULL;
    }
    GvLeader_Free(h->leader);
    GvJobTable_Free(h->table);
    h->leader = NULL;
    h->waits_for = 0;
    for (int i = 0; i < ORDERS_MAX; i++) {
        order_t *o = &h->orders[i];
        o->used = o->used && o->sent && o->arrive_ms <= now;
    }
}

/* Notes a stored record of the lease. */
static void
note_stored(const guint8 *record, guint32 n)
{
    gv_job_table_t *table = GvJobTable_New();
    gv_job_t *job;
    gv_record_place_t at = {GV_PARTITION_PROGRESS, 0, 0};
    (void)GvJobTable_Apply(table, at, GvStr_N((const char *)record, 1),
                           GvStr_N((const char *)record + 5, n), &job);
    if (table->lease.leases.n > 0) {
        leases_stored = true;
        leases_stored_ms = now;
        claimer = NULL;
        several_claimers = false;
    }
    GvJobTable_Free(table);
}

/* Executes an append as the store does. */
static gv_append_answer_t
execute(const message_t *m)
{
    const gv_leader_append_t *a = &m->append;
    gv_append_answer_t r = {.result = GV_STORE_DONE};
    if (a->epoch < store_epoch) {
        r.result = GV_STORE_FENCED;
        return r;
    }
    if (a->epoch == store_epoch && a->seq == store_seq) {
        return r; /* a repeat */
    }
    if (a->epoch == store_epoch && a->seq != store_seq + 1) {
        r.result = GV_STORE_SEQUENCE;
        r.expected = store_seq + 1;
        return r;
    }
    if (a->at_end && a->end != records->len) {
        r.result = GV_STORE_END_CHANGED;
        return r;
    }
    store_epoch = a->epoch;
    store_seq = a->seq;
    for (guint at = 0; at < m->records->len;) {
        guint32 n;
        memcpy(&n, m->records->data + at + 1, sizeof n);
        g_ptr_array_add(records, g_bytes_new(m->records->data + at, n + 5));
        note_stored(m->records->data + at, n);
        at += n + 5;
    }
    return r;
}

/* Executes the appends that are due. */
static void
step_store(void)
{
    for (int i = 0; i < MESSAGES_MAX; i++) {
        message_t *m = &messages[i];
        host_t *h = &hosts[m->host];
        if (!m->used || now < m->execute_ms) {
            continue;
        }
        gv_append_answer_t a = {.result = GV_STORE_BUSY};
        if (!has_fault(h, FAULT_REFUSED) && !has_fault(h, FAULT_DOWN)) {
            a = execute(m);
        }
        if (h->waits_for == m->number) {
            h->answered = true;
            h->answer = a;
        }
        m->used = false;
        g_byte_array_free(m->records, TRUE);
    }
}

static void
read_store(host_t *h)
{
    if (has_fault(h, FAULT_REFUSED) || has_fault(h, FAULT_DOWN)) {
        h->failed_ms = clock_of(h);
        return;
    }
    for (; h->next_offset < records->len; h->next_offset++) {
        gsize n;
        const char *b =
            g_bytes_get_data(g_ptr_array_index(records, h->next_offset), &n);
        gv_job_t *job;
        gv_record_place_t at = {GV_PARTITION_PROGRESS, 0, h->next_offset};
        (void)GvJobTable_Apply(h->table, at, GvStr_N(b, 1),
                               GvStr_N(b + 5, n - 5), &job);
        GvLeader_RecordRead(h->leader, clock_of(h));
    }
    h->read_ms = clock_of(h);
}

/* Passes the answer to an append, or the end of the wait for one, to the
   leader. */
static void
take_answer(host_t *h)
{
    if (h->waits_for == 0 || now < h->answer_ms) {
        return;
    }
    gv_append_answer_t a = {.result = GV_STORE_UNKNOWN};
    if (h->answered) {
        a = h->answer;
    }
    h->waits_for = 0;
    h->maybe_executed = h->maybe_executed || a.result == GV_STORE_UNKNOWN;
    GvLeader_Appended(h->leader, &a, clock_of(h));
}

/* Returns how long an order that is sent now takes; it differs from order to
   order. */
static int64_t
way_ms(const host_t *h)
{
    return (now / STEP_MS * 5 + n_runs + (h - hosts)) % WAY_STEPS * STEP_MS;
}

/* Queues an order, and sends those that were queued in an earlier step. */
static void
step_orders(host_t *h)
{
    bool held = has_fault(h, FAULT_HELD);
    int64_t end_ms = GvLeader_OrdersEndMs(h->leader);
    order_t *free_order = NULL;
    for (int i = 0; i < ORDERS_MAX; i++) {
        order_t *o = &h->orders[i];
        if (!o->used) {
            free_order = o;
        }
        else if (clock_of(h) >= o->end_ms) {
            o->used = false; /* not sent, or its connection is reset */
        }
        else if (!o->sent) {
            o->sent = true;
            o->arrive_ms = held ? INT64_MAX : now + way_ms(h);
        }
        else if (!held && o->arrive_ms == INT64_MAX) {
            o->arrive_ms = now;
        }
    }
    if (free_order != NULL && clock_of(h) < end_ms) {
        *free_order = (order_t){.used = true,
                                .epoch = GvLeader_Epoch(h->leader),
                                .end_ms = end_ms};
    }
}

/* Delivers the orders that have arrived, also of a host that is paused. */
static void
deliver_orders(host_t *h)
{
    for (int i = 0; i < ORDERS_MAX; i++) {
        order_t *o = &h->orders[i];
        if (!o->used || !o->sent || now < o->arrive_ms) {
            continue;
        }
        o->used = false;
        if (o->epoch < highest_epoch) {
            fail("an order arrived after one with a higher epoch");
        }
        highest_epoch = o->epoch;
    }
}

/* Starts or ends the process of a host if that is due. Returns true if it
   runs. */
static bool
step_process(host_t *h, int number)
{
    bool stop = has_fault(h, FAULT_STOP);
    if (h->leader == NULL) {
        if (stop || has_fault(h, FAULT_KILL)) {
            return false;
        }
        start_host(h, number);
    }
    if (stop && !h->stopped) {
        h->stopped = true;
        GvLeader_Resign(h->leader);
    }
    if (h->stopped && !stop && n_faults == 1 && GvLeader_IsLeader(h->leader)) {
        fail("a host that is being stopped has not given up the lease");
    }
    if (has_fault(h, FAULT_KILL) || (h->stopped && !stop)) {
        end_host(h);
        return false;
    }
    return true;
}

static void
step_host(host_t *h, int number)
{
    if (has_fault(h, FAULT_PAUSE)) {
        h->was_paused = true;
        return;
    }
    if (!step_process(h, number)) {
        return;
    }
    take_answer(h);
    read_store(h);
    step_orders(h);
    GvLeader_Step(h->leader, &h->table->lease,
                  h->read_ms != 0 && clock_of(h) - h->read_ms < 1200,
                  h->next_offset, h->failed_ms, clock_of(h));
    if (h->was_paused) {
        h->was_paused = false;
        GvLeader_Paused(h->leader, clock_of(h));
    }
}

/* Returns how many hosts have permission to give orders now. */
static int
count_permitted(void)
{
    int n = 0;
    for (int i = 0; i < HOSTS; i++) {
        host_t *h = &hosts[i];
        n += h->leader != NULL && clock_of(h) < GvLeader_OrdersEndMs(h->leader)
                 ? 1
                 : 0;
    }
    return n;
}

static void
play(const fault_t *list, int n)
{
    faults = list;
    n_faults = n;
    records = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    store_epoch = store_seq = highest_epoch = 0;
    memset(hosts, 0, sizeof hosts);
    leases_stored = false;
    claimer = NULL;
    several_claimers = false;
    now = 0;
    for (int i = 0; i < HOSTS; i++) {
        start_host(&hosts[i], i);
    }
    for (now = STEP_MS; now < RUN_MS; now += STEP_MS) {
        step_store();
        for (int i = 0; i < HOSTS; i++) {
            step_host(&hosts[i], i);
            deliver_orders(&hosts[i]);
            n_states++;
        }
        if (count_permitted() > 1) {
            fail("two hosts have permission to give orders");
        }
    }
    if (count_permitted() != 1) {
        fail("no host leads");
    }
    for (int i = 0; i < HOSTS; i++) {
        if (hosts[i].leader != NULL) {
            end_host(&hosts[i]);
        }
    }
    for (int i = 0; i < MESSAGES_MAX; i++) {
        if (messages[i].used) {
            g_byte_array_free(messages[i].records, TRUE);
            messages[i].used = false;
        }
    }
    g_ptr_array_free(records, TRUE);
    n_runs++;
}

/* Returns the faults to be combined. */
static GArray *
list_faults(void)
{
    static const int64_t durations[FAULT_STEPS] = {1200, 4200};
    GArray *out = g_array_new(FALSE, FALSE, sizeof(fault_t));
    for (int k = 0; k < FAULT_KINDS; k++) {
        for (int h = 0; h < (k == FAULT_DOWN ? 1 : HOSTS); h++) {
            for (int t = 0; t < FAULT_TIMES; t++) {
                for (int d = 0; d < FAULT_STEPS; d++) {
                    int64_t from = FIRST_MS + t * FAULT_STEP_MS;
                    fault_t f = {(fault_kind_t)k, h, from,
                                 from + durations[d]};
                    g_array_append_val(out, f);
                }
            }
        }
    }
    return out;
}

/* Returns true if a host is paused while its network holds something up. */
static bool
is_left_out(const fault_t *a, const fault_t *b)
{
    bool kinds = (a->kind == FAULT_PAUSE && b->kind == FAULT_HELD) ||
                 (a->kind == FAULT_HELD && b->kind == FAULT_PAUSE);
    return kinds && a->host == b->host && a->from_ms < b->until_ms &&
           b->from_ms < a->until_ms;
}

/* Plays every pair of faults; GV_PAIRS=N plays every Nth one. */
static void
test_pairs(void)
{
    int every = g_getenv("GV_PAIRS") != NULL ? atoi(g_getenv("GV_PAIRS")) : 1;
    GArray *all = list_faults();
    long n = 0;
    play(NULL, 0);
    for (guint i = 0; i < all->len; i++) {
        for (guint k = i; k < all->len; k++) {
            fault_t pair[2] = {g_array_index(all, fault_t, i),
                               g_array_index(all, fault_t, k)};
            if (n++ % every == 0 && !is_left_out(&pair[0], &pair[1])) {
                play(pair, i == k ? 1 : 2);
            }
        }
    }
    g_test_message("%ld runs, %ld states, %ld claims", n_runs, n_states,
                   n_claims);
    g_assert_cmpint(n_claims, >, n_runs);
    g_assert_cmpint(n_leases_handed, >, 0);
    g_array_free(all, TRUE);
}

static GByteArray *newest_append;

static void
keep_append(void *user, const gv_leader_append_t *a)
{
    (void)user;
    g_byte_array_set_size(newest_append, 0);
    g_byte_array_append(newest_append, (const guint8 *)a->records.p,
                        (guint)a->records.n);
}

static int
no_open_orders(void *user)
{
    (void)user;
    return 0;
}

/* Plays a planned stop of a leader that follows another one: the store answers
   its first append with `first`. Returns true if the second one has the same
   records. */
static bool
is_repeated_unchanged(gv_store_result_t first)
{
    host_t h = {0};
    gv_leader_opts_t o = {.ops = {.user = &h,
                                  .add_record = add_record,
                                  .append = keep_append,
                                  .begin = begin_leading,
                                  .end = end_leading,
                                  .open_orders = no_open_orders},
                          .self = GV_STR("h"),
                          .renew_ms = GV_LEAD_RENEW_MS,
                          .leader_timeout_ms = GV_LEAD_TIMEOUT_MS,
                          .orders_ms = GV_LEAD_ORDERS_MS,
                          .holds_ms = GV_LEAD_HOLDS_MS};
    gv_lease_t lease = {.epoch = 1, .holder = GV_STR("other")};
    gv_append_answer_t done = {.result = GV_STORE_DONE};
    gv_append_answer_t answer = {.result = first};
    now = 9000;
    newest_append = g_byte_array_new();
    h.leader = GvLeader_New(&o);
    GvLeader_RecordRead(h.leader, 6500);
    GvLeader_Step(h.leader, &lease, true, 1, 0, now);
    GvLeader_Appended(h.leader, &done, now);
    g_assert_true(GvLeader_IsLeader(h.leader));
    lease = (gv_lease_t){.epoch = 2, .holder = GV_STR("h")};
    GvLeader_Resign(h.leader);
    GvLeader_Step(h.leader, &lease, true, 2, 0, now + 50);
    GBytes *sent = g_bytes_new(newest_append->data, newest_append->len);
    g_byte_array_set_size(newest_append, 0);
    GvLeader_Appended(h.leader, &answer, now + 60);
    GvLeader_Step(h.leader, &lease, true, 2, 0, now + 200);
    g_assert_cmpuint(newest_append->len, >, 0);
    bool same = g_bytes_get_size(sent) == newest_append->len &&
                memcmp(g_bytes_get_data(sent, NULL), newest_append->data,
                       newest_append->len) == 0;
    g_bytes_unref(sent);
    GvSched_Free(h.sched);
    GvLeader_Free(h.leader);
    g_byte_array_free(newest_append, TRUE);
    return same;
}

/* Guards against a record that gives the lease up with other leases than a try
   that the store may have executed, and against leases that count as given up
   since a try that it has certainly not. */
static void
test_resignation(void)
{
    g_assert_true(is_repeated_unchanged(GV_STORE_UNKNOWN));
    g_assert_false(is_repeated_unchanged(GV_STORE_BUSY));
    g_assert_false(is_repeated_unchanged(GV_STORE_UNREACHABLE));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/handover/resignation", test_resignation);
    g_test_add_func("/handover/pairs-of-faults", test_pairs);
    return g_test_run();
}
