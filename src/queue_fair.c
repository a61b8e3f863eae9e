#include <assert.h>
#include <string.h>

#include "limits.h"
#include "queue.h"

/* Classes of requests. Slot time is shared between the teams in each class
   separately, so that a team's long requests do not delay its short ones. */
typedef enum { URGENT, SHORT, LONG, CLASSES } class_t;

struct team_s;

/* Queued items of one team and class, in arrival order. */
typedef struct gv_lane_s {
    struct team_s *team;
    class_t class;
    GQueue items;      /* the links are embedded in the items */
    double work_ms;    /* expected run time of all items */
    double virtual_ms; /* slot time used so far, divided by the quota */
} lane_t;

typedef struct team_s {
    gv_str_t name;
    int quota;
    lane_t lanes[CLASSES];
} team_t;

struct gv_queue_s {
    int max;            /* requests */
    int urgent_percent; /* share of the slots for urgent requests */
    int long_percent;   /* share of the slots for long requests */
    team_t *teams;      /* the last one takes items of unknown teams */
    int n_teams;
    int length;
    int urgent_length;
    double work_ms[CLASSES];    /* expected run time of all items */
    double virtual_ms[CLASSES]; /* virtual time of the last start */
    /* Slot time that urgent requests have used beyond their share while other
       requests were queued. */
    double urgent_ahead_ms;
    int64_t first_deadline_ms; /* no queued item has an earlier deadline */
    uint64_t order;            /* of the next item */
};

/* Returns the slot time in ms that a start of the item is charged with. */
static double
cost_of(const gv_queue_item_t *it)
{
    return MAX(it->run_ms, 1);
}

/* Sets the limits and creates the teams, with one more for items of unknown
   teams, which gets the smallest quota. */
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

/* Frees the queue. Items still in it belong to the caller. */
static void
destroy(gv_queue_t *q)
{
    free_teams(q->teams, q->n_teams);
    g_free(q);
}

/* Returns the team of that name, or the one for unknown teams. */
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

/* Adds the item to the lane, at its head if at_head is set. */
static void
insert(gv_queue_t *q, lane_t *l, gv_queue_item_t *it, bool at_head)
{
    it->lane = l;
    it->link = (GList){.data = it};
    if (g_queue_is_empty(&l->items)) {
        /* A lane earns no slot time while it is empty. */
        l->virtual_ms = MAX(l->virtual_ms, q->virtual_ms[l->class]);
    }
    if (at_head) {
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
        l->work_ms = 0; /* clears rounding errors */
    }
}

static int
by_order(const void *a, const void *b)
{
    const gv_queue_item_t *x = *(gv_queue_item_t *const *)a;
    const gv_queue_item_t *y = *(gv_queue_item_t *const *)b;
    return (x->order > y->order) - (x->order < y->order);
}

/* Changes the teams and limits. Queued items move to their teams' new lanes in
   arrival order; the virtual times start again at 0. */
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
    memset(q->virtual_ms, 0, sizeof q->virtual_ms);
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

/* Returns the slots that long requests may use: their share, at least one. */
static int
long_slots(const gv_queue_t *q, int slots)
{
    return MAX(1, slots * q->long_percent / 100);
}

/* Returns the expected wait in ms of an item that joins lane l now. With fair
   sharing the wait is at most the time for the backlog of the whole class, and
   at most the time for the team's own backlog on the team's share of the
   slots. */
static double
expected_wait_ms(const gv_queue_t *q, const lane_t *l,
                 const gv_queue_load_t *load)
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

/* Returns the retry-after time of a refused request, in ms. */
static int
retry_after_ms(double wait_ms)
{
    return (int)CLAMP(wait_ms, GV_RETRY_AFTER_MIN_MS, GV_RETRY_AFTER_MAX_MS);
}

/* Returns true if the queue has room for an item of this lane. An eighth of
   the queue is reserved for urgent requests and a quarter for other teams, so
   that one team's backlog does not cause either to be refused. */
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
    double wait = expected_wait_ms(q, l, load);
    if (!has_room(q, l)) {
        return (gv_admit_t){GV_ADMIT_FULL, retry_after_ms(wait)};
    }
    double late = wait + it->run_ms - (double)(it->deadline_ms - now);
    /* If a slot is free and the queue is empty, the item starts at once
       whatever its estimate; its run then corrects a wrong estimate. */
    bool starts_now = q->length == 0 && load->busy < load->slots;
    if (it->deadline_ms <= now || (late > 0 && !starts_now)) {
        return (gv_admit_t){GV_ADMIT_TOO_LATE, retry_after_ms(late)};
    }
    it->queued_ms = now;
    it->order = q->order++;
    insert(q, l, it, false);
    return (gv_admit_t){GV_ADMIT_QUEUED, 0};
}

/* Returns the first item of the lane that may start, or NULL: its deadline has
   not passed, and it is not long unless long_ok is set. */
static gv_queue_item_t *
first_startable(const lane_t *l, int64_t now, bool long_ok)
{
    for (GList *at = l->items.head; at != NULL; at = at->next) {
        gv_queue_item_t *it = at->data;
        if (it->deadline_ms > now && (long_ok || !it->is_long)) {
            return it;
        }
    }
    return NULL;
}

/* Returns the first startable item of the team that has the least virtual time
   in class c, or NULL. */
static gv_queue_item_t *
fair_pick(const gv_queue_t *q, class_t c, int64_t now, bool long_ok)
{
    gv_queue_item_t *best = NULL;
    double least = 0;
    for (int i = 0; i < q->n_teams; i++) {
        const lane_t *l = &q->teams[i].lanes[c];
        if (g_queue_is_empty((GQueue *)&l->items) ||
            (best != NULL && l->virtual_ms >= least)) {
            continue;
        }
        gv_queue_item_t *it = first_startable(l, now, long_ok);
        if (it != NULL) {
            best = it;
            least = l->virtual_ms;
        }
    }
    return best;
}

/* Returns true if urgent requests may start before others: they may exceed
   their share by the slot time that this share amounts to in one mean run. */
static bool
urgent_may_go_first(const gv_queue_t *q, const gv_queue_load_t *load)
{
    double burst = load->slots * MAX(load->mean_run_ms, 1);
    return q->urgent_percent > 0 &&
           q->urgent_ahead_ms <= burst * q->urgent_percent / 100;
}

/* Returns the item to start next, or NULL. A slot must be free. */
static gv_queue_item_t *
pick(const gv_queue_t *q, int64_t now, const gv_queue_load_t *load)
{
    int long_max = long_slots(q, load->slots);
    /* Long urgent requests may use the urgent share too, up to all slots but
       one. */
    int urgent_long_max =
        MIN(long_max + load->slots * q->urgent_percent / 100, load->slots - 1);
    bool long_ok = load->busy_long < long_max;
    gv_queue_item_t *u = fair_pick(
        q, URGENT, now, load->busy_long < MAX(urgent_long_max, long_max));
    if (u != NULL && urgent_may_go_first(q, load)) {
        return u;
    }
    gv_queue_item_t *s = fair_pick(q, SHORT, now, false);
    gv_queue_item_t *l = long_ok ? fair_pick(q, LONG, now, true) : NULL;
    /* A long request that has waited longer goes first while long requests use
       less than half of their share. The other half goes to long requests only
       if no short one is queued. */
    if (l != NULL && s != NULL) {
        bool long_first =
            load->busy_long < (long_max + 1) / 2 && l->order < s->order;
        return long_first ? l : s;
    }
    return s != NULL ? s : l != NULL ? l : u;
}

/* Charges the slot time of a start to its team, and updates by how much urgent
   requests exceed their share. */
static void
charge(gv_queue_t *q, lane_t *l, double cost)
{
    q->virtual_ms[l->class] = MAX(q->virtual_ms[l->class], l->virtual_ms);
    l->virtual_ms += cost / l->team->quota;
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
    /* The team gets back the slot time that pop has charged. */
    l->virtual_ms -= cost_of(it) / l->team->quota;
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
