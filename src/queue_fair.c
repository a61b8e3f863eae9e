#include <assert.h>
#include <string.h>

#include "limits.h"
#include "queue.h"

/* Classes of a team's waiting work. Each class has its own fair shares, so
   that a team's long work does not delay its short work. */
typedef enum { URGENT, SHORT, LONG, CLASSES } class_t;

struct team_s;

typedef struct gv_lane_s {
    struct team_s *team;
    class_t class;
    GQueue items; /* links are inside the items */
    double work_ms;
    /* Virtual time: slot time taken so far over the quota. */
    double taken;
} lane_t;

typedef struct team_s {
    gv_str_t name;
    int quota;
    lane_t lanes[CLASSES];
} team_t;

struct gv_queue_s {
    int max;
    int urgent_percent;
    int long_percent;
    team_t *teams; /* the last one takes items of unknown teams */
    int n_teams;
    int length;
    int urgent_length;
    double work_ms[CLASSES];
    double taken[CLASSES]; /* virtual time of the last start */
    /* Slot time by which urgent work is ahead of its share while other work
       waits. */
    double urgent_ahead_ms;
    int64_t first_deadline_ms; /* no deadline is earlier than this */
    uint64_t order;
};

static double
cost_of(const gv_queue_item_t *it)
{
    return MAX(it->run_ms, 1);
}

static void
init_teams(gv_queue_t *q, const gv_queue_opts_t *o)
{
    q->max = MAX(o->max_requests, 1);
    q->urgent_percent = CLAMP(o->urgent_share_percent, 0, 100);
    q->long_percent = CLAMP(o->long_share_percent, 0, 100);
    q->n_teams = o->n_teams + 1;
    q->teams = g_new0(team_t, q->n_teams);
    int least = G_MAXINT;
    for (int i = 0; i < o->n_teams; i++) {
        q->teams[i].name = GvStr_Dup(o->teams[i].name);
        q->teams[i].quota = MAX(o->teams[i].quota, 1);
        least = MIN(least, q->teams[i].quota);
    }
    q->teams[o->n_teams].quota = o->n_teams > 0 ? least : 1;
    for (int i = 0; i < q->n_teams; i++) {
        for (int c = 0; c < CLASSES; c++) {
            q->teams[i].lanes[c].team = &q->teams[i];
            q->teams[i].lanes[c].class = (class_t)c;
        }
    }
}

static void
free_teams(team_t *teams, int n)
{
    for (int i = 0; i < n; i++) {
        GvStr_Free(&teams[i].name);
    }
    g_free(teams);
}

static gv_queue_t *
create(const gv_queue_opts_t *o)
{
    gv_queue_t *q = g_new0(gv_queue_t, 1);
    q->first_deadline_ms = INT64_MAX;
    init_teams(q, o);
    return q;
}

/* Releases the queue. Items still in it belong to the caller. */
static void
destroy(gv_queue_t *q)
{
    free_teams(q->teams, q->n_teams);
    g_free(q);
}

static team_t *
team_of(gv_queue_t *q, gv_str_t name)
{
    for (int i = 0; i < q->n_teams - 1; i++) {
        if (GvStr_Equal(q->teams[i].name, name)) {
            return &q->teams[i];
        }
    }
    return &q->teams[q->n_teams - 1];
}

static lane_t *
lane_of(gv_queue_t *q, const gv_queue_item_t *it)
{
    class_t c = it->urgent ? URGENT : it->is_long ? LONG : SHORT;
    return &team_of(q, it->team)->lanes[c];
}

static void
insert(gv_queue_t *q, lane_t *l, gv_queue_item_t *it, bool first)
{
    it->lane = l;
    it->link = (GList){.data = it};
    if (g_queue_is_empty(&l->items)) {
        /* An idle lane gains no credit for the time it was idle. */
        l->taken = MAX(l->taken, q->taken[l->class]);
    }
    if (first) {
        g_queue_push_head_link(&l->items, &it->link);
    }
    else {
        g_queue_push_tail_link(&l->items, &it->link);
    }
    l->work_ms += cost_of(it);
    q->work_ms[l->class] += cost_of(it);
    q->length++;
    q->urgent_length += it->urgent;
    q->first_deadline_ms = MIN(q->first_deadline_ms, it->deadline_ms);
}

static void
take_out(gv_queue_t *q, gv_queue_item_t *it)
{
    lane_t *l = it->lane;
    assert(l != NULL);
    g_queue_unlink(&l->items, &it->link);
    it->lane = NULL;
    l->work_ms -= cost_of(it);
    q->work_ms[l->class] -= cost_of(it);
    q->length--;
    q->urgent_length -= it->urgent;
    if (g_queue_is_empty(&l->items)) {
        l->work_ms = 0; /* drops rounding errors */
    }
}

static int
by_order(const void *a, const void *b)
{
    const gv_queue_item_t *x = *(gv_queue_item_t *const *)a;
    const gv_queue_item_t *y = *(gv_queue_item_t *const *)b;
    return (x->order > y->order) - (x->order < y->order);
}

/* Changes teams and bounds; waiting items move to their teams' new lanes in
   arrival order. */
static void
configure(gv_queue_t *q, const gv_queue_opts_t *o)
{
    GPtrArray *all = g_ptr_array_new();
    for (int i = 0; i < q->n_teams; i++) {
        for (int c = 0; c < CLASSES; c++) {
            GQueue *items = &q->teams[i].lanes[c].items;
            while (!g_queue_is_empty(items)) {
                gv_queue_item_t *it = g_queue_peek_head(items);
                take_out(q, it);
                g_ptr_array_add(all, it);
            }
        }
    }
    free_teams(q->teams, q->n_teams);
    memset(q->taken, 0, sizeof q->taken);
    memset(q->work_ms, 0, sizeof q->work_ms);
    init_teams(q, o);
    if (all->len > 0) {
        qsort(all->pdata, all->len, sizeof all->pdata[0], by_order);
    }
    for (guint i = 0; i < all->len; i++) {
        gv_queue_item_t *it = all->pdata[i];
        insert(q, lane_of(q, it), it, false);
    }
    g_ptr_array_free(all, TRUE);
}

/* Slots that long work may hold: its share, but at least one. */
static int
long_slots(const gv_queue_t *q, int slots)
{
    return MAX(1, slots * q->long_percent / 100);
}

/* Expected wait in ms of an item that joins lane l now. Fair sharing bounds
   it by the whole backlog of the class and by the team's own backlog at the
   team's share of the slots. */
static double
wait_ms(const gv_queue_t *q, const lane_t *l, const gv_queue_load_t *load)
{
    int slots = MAX(load->slots, 1);
    double rate = slots;
    double ahead = q->work_ms[URGENT];
    if (l->class != URGENT) {
        double quotas = 0;
        for (int i = 0; i < q->n_teams; i++) {
            const lane_t *other = &q->teams[i].lanes[l->class];
            if (other == l || !g_queue_is_empty((GQueue *)&other->items)) {
                quotas += q->teams[i].quota;
            }
        }
        double own = l->work_ms * quotas / l->team->quota;
        ahead += MIN(q->work_ms[l->class], own);
    }
    if (l->class == LONG) {
        rate = long_slots(q, slots);
    }
    else if (l->class == SHORT) {
        rate = MAX(1, slots - MIN(load->busy_long, long_slots(q, slots)));
    }
    double first = load->busy >= slots ? load->mean_run_ms : 0;
    return (ahead + first) / rate;
}

static int
bounded_wait(double ms)
{
    return (int)CLAMP(ms, GV_RETRY_AFTER_MIN_MS, GV_RETRY_AFTER_MAX_MS);
}

/* Tells whether the queue has room for an item of this lane. An eighth is
   kept for urgent work, and a quarter for other teams, so that one team's
   backlog refuses neither. */
static bool
has_room(const gv_queue_t *q, const lane_t *l)
{
    if (q->length >= q->max) {
        return false;
    }
    if (l->class == URGENT) {
        return true;
    }
    int team = 0;
    for (int c = 0; c < CLASSES; c++) {
        team += (int)l->team->lanes[c].items.length;
    }
    if (q->n_teams > 2 && team >= q->max - q->max / 4) {
        return false;
    }
    return q->length - q->urgent_length < q->max - q->max / 8;
}

static gv_admit_t
push(gv_queue_t *q, gv_queue_item_t *it, int64_t now,
     const gv_queue_load_t *load)
{
    lane_t *l = lane_of(q, it);
    double wait = wait_ms(q, l, load);
    if (!has_room(q, l)) {
        return (gv_admit_t){GV_ADMIT_FULL, bounded_wait(wait)};
    }
    double late = wait + it->run_ms - (double)(it->deadline_ms - now);
    /* With a free slot and nothing waiting the item starts at once; a wrong
       estimate is corrected by its run. */
    bool at_once = q->length == 0 && load->busy < load->slots;
    if (it->deadline_ms <= now || (late > 0 && !at_once)) {
        return (gv_admit_t){GV_ADMIT_TOO_LATE, bounded_wait(late)};
    }
    it->queued_ms = now;
    it->order = q->order++;
    insert(q, l, it, false);
    return (gv_admit_t){GV_ADMIT_QUEUED, 0};
}

/* First item of the lane that may start: its deadline is ahead, and it is
   not long when long work may not start. */
static gv_queue_item_t *
first_of(const lane_t *l, int64_t now, bool long_ok)
{
    for (GList *at = l->items.head; at != NULL; at = at->next) {
        gv_queue_item_t *it = at->data;
        if (it->deadline_ms > now && (long_ok || !it->is_long)) {
            return it;
        }
    }
    return NULL;
}

/* First startable item of the team with the least slot time taken for its
   quota. */
static gv_queue_item_t *
fair_pick(const gv_queue_t *q, class_t c, int64_t now, bool long_ok)
{
    gv_queue_item_t *best = NULL;
    double least = 0;
    for (int i = 0; i < q->n_teams; i++) {
        const lane_t *l = &q->teams[i].lanes[c];
        if (g_queue_is_empty((GQueue *)&l->items) ||
            (best != NULL && l->taken >= least)) {
            continue;
        }
        gv_queue_item_t *it = first_of(l, now, long_ok);
        if (it != NULL) {
            best = it;
            least = l->taken;
        }
    }
    return best;
}

/* Urgent work may be ahead of its share by its part of all slots for one
   mean run. */
static bool
urgent_may_lead(const gv_queue_t *q, const gv_queue_load_t *load)
{
    double burst = load->slots * MAX(load->mean_run_ms, 1);
    return q->urgent_percent > 0 &&
           q->urgent_ahead_ms <= burst * q->urgent_percent / 100;
}

static gv_queue_item_t *
pick(const gv_queue_t *q, int64_t now, const gv_queue_load_t *load)
{
    int most = long_slots(q, load->slots);
    int urgent_most =
        MIN(most + load->slots * q->urgent_percent / 100, load->slots - 1);
    bool long_ok = load->busy_long < most;
    gv_queue_item_t *u =
        fair_pick(q, URGENT, now, load->busy_long < MAX(urgent_most, most));
    if (u != NULL && urgent_may_lead(q, load)) {
        return u;
    }
    gv_queue_item_t *s = fair_pick(q, SHORT, now, false);
    gv_queue_item_t *l = long_ok ? fair_pick(q, LONG, now, true) : NULL;
    /* Long work that waited longer goes first up to half of its share; the
       other half it takes only when no short work waits. */
    if (l != NULL && s != NULL) {
        bool owed = load->busy_long < (most + 1) / 2 && l->order < s->order;
        return owed ? l : s;
    }
    return s != NULL ? s : l != NULL ? l : u;
}

/* Charges a start to its team and keeps the account of the urgent share. */
static void
charge(gv_queue_t *q, lane_t *l, double cost)
{
    q->taken[l->class] = MAX(q->taken[l->class], l->taken);
    l->taken += cost / l->team->quota;
    int others = q->length - q->urgent_length;
    if (l->class == URGENT) {
        if (others > 0) {
            q->urgent_ahead_ms += cost * (100 - q->urgent_percent) / 100;
        }
    }
    else {
        q->urgent_ahead_ms -= cost * q->urgent_percent / 100;
        q->urgent_ahead_ms = MAX(q->urgent_ahead_ms, 0);
    }
}

static gv_queue_item_t *
pop(gv_queue_t *q, int64_t now, const gv_queue_load_t *load)
{
    if (q->length == 0 || load->busy >= load->slots) {
        return NULL;
    }
    gv_queue_item_t *it = pick(q, now, load);
    if (it != NULL) {
        lane_t *l = it->lane;
        take_out(q, it);
        charge(q, l, cost_of(it));
    }
    return it;
}

static gv_queue_item_t *
expire(gv_queue_t *q, int64_t now)
{
    if (now < q->first_deadline_ms) {
        return NULL;
    }
    int64_t first = INT64_MAX;
    for (int i = 0; i < q->n_teams * CLASSES; i++) {
        lane_t *l = &q->teams[i / CLASSES].lanes[i % CLASSES];
        for (GList *at = l->items.head; at != NULL; at = at->next) {
            gv_queue_item_t *it = at->data;
            if (it->deadline_ms <= now) {
                take_out(q, it);
                return it;
            }
            first = MIN(first, it->deadline_ms);
        }
    }
    q->first_deadline_ms = first;
    return NULL;
}

static void
requeue(gv_queue_t *q, gv_queue_item_t *it, int64_t now)
{
    (void)now;
    lane_t *l = lane_of(q, it);
    /* The start did not happen, so the team gets its slot time back. */
    l->taken -= cost_of(it) / l->team->quota;
    insert(q, l, it, true);
}

static int
length(const gv_queue_t *q)
{
    return q->length;
}

static gv_queue_policy_t fair = {.plugin = {.name = "fair"},
                                 .create = create,
                                 .destroy = destroy,
                                 .configure = configure,
                                 .push = push,
                                 .pop = pop,
                                 .expire = expire,
                                 .remove = take_out,
                                 .requeue = requeue,
                                 .length = length};
GV_REGISTER(GV_PLUGIN_QUEUE, fair);
