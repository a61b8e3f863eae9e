#include "limits.h"
#include "queue.h"

/* Baseline: one queue in arrival order, without teams, classes or early
   refusal. */
struct gv_queue_s {
    int max;
    GQueue items;
};

/* Only a flag here: an item's lane points to it while the item is queued. */
struct gv_lane_s {
    char unused;
};
static struct gv_lane_s queued;

static gv_queue_t *
create(const gv_queue_opts_t *o)
{
    gv_queue_t *q = g_new0(gv_queue_t, 1);
    q->max = MAX(o->max_requests, 1);
    return q;
}

static void
destroy(gv_queue_t *q)
{
    g_free(q);
}

static void
configure(gv_queue_t *q, const gv_queue_opts_t *o)
{
    q->max = MAX(o->max_requests, 1);
}

static gv_admit_t
push(gv_queue_t *q, gv_queue_item_t *it, int64_t now,
     const gv_queue_load_t *load)
{
    (void)load;
    if ((int)q->items.length >= q->max) {
        return (gv_admit_t){GV_ADMIT_FULL, GV_RETRY_AFTER_MIN_MS};
    }
    it->queued_ms = now;
    it->lane = &queued;
    it->link = (GList){.data = it};
    g_queue_push_tail_link(&q->items, &it->link);
    return (gv_admit_t){GV_ADMIT_QUEUED, 0};
}

static void
take_out(gv_queue_t *q, gv_queue_item_t *it)
{
    g_queue_unlink(&q->items, &it->link);
    it->lane = NULL;
}

static gv_queue_item_t *
pop(gv_queue_t *q, int64_t now, const gv_queue_load_t *load)
{
    if (load->busy >= load->slots) {
        return NULL;
    }
    for (GList *at = q->items.head; at != NULL; at = at->next) {
        gv_queue_item_t *it = at->data;
        if (it->deadline_ms > now) {
            take_out(q, it);
            return it;
        }
    }
    return NULL;
}

static gv_queue_item_t *
expire(gv_queue_t *q, int64_t now)
{
    for (GList *at = q->items.head; at != NULL; at = at->next) {
        gv_queue_item_t *it = at->data;
        if (it->deadline_ms <= now) {
            take_out(q, it);
            return it;
        }
    }
    return NULL;
}

static void
requeue(gv_queue_t *q, gv_queue_item_t *it, int64_t now)
{
    (void)now;
    it->lane = &queued;
    it->link = (GList){.data = it};
    g_queue_push_head_link(&q->items, &it->link);
}

static int
length(const gv_queue_t *q)
{
    return (int)q->items.length;
}

static gv_queue_policy_t fifo = {.plugin = {.name = "fifo"},
                                 .create = create,
                                 .destroy = destroy,
                                 .configure = configure,
                                 .push = push,
                                 .pop = pop,
                                 .expire = expire,
                                 .remove = take_out,
                                 .requeue = requeue,
                                 .length = length};
GV_REGISTER(GV_PLUGIN_QUEUE, fifo);
