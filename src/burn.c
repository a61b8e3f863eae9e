#include "burn.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#define FINE_SLOTS   300 /* of 1 s: windows of 1 min and 5 min */
#define COARSE_SLOTS 360 /* of 1 min: windows of 1 h and 6 h */

typedef struct {
    int64_t period; /* time divided by the slot's width; names the slot */
    uint32_t good;
    uint32_t bad;
} slot_t;

struct gv_burn_s {
    double allowed; /* ratio of requests that may fail */
    slot_t fine[FINE_SLOTS];
    slot_t coarse[COARSE_SLOTS];
};

static const int windows_s[GV_BURN_WINDOWS] = {60, 300, 3600, 21600};

/* Creates an empty burn counter for an objective in percent. */
gv_burn_t *
GvBurn_New(double objective_percent)
{
    gv_burn_t *b = g_new0(gv_burn_t, 1);
    GvBurn_Configure(b, objective_percent);
    return b;
}

/* Releases a burn counter. */
void
GvBurn_Free(gv_burn_t *b)
{
    g_free(b);
}

/* Changes the objective; the counts stay. An objective of 100 percent is
   treated as one failure in a million so that the burn stays finite. */
void
GvBurn_Configure(gv_burn_t *b, double objective_percent)
{
    b->allowed = CLAMP(1.0 - objective_percent / 100.0, 1e-6, 1.0);
}

static void
note_slot(slot_t *ring, int n, int64_t period, int good)
{
    slot_t *s = &ring[period % n];
    if (s->period != period) {
        *s = (slot_t){.period = period};
    }
    if (good) {
        s->good++;
    }
    else {
        s->bad++;
    }
}

/* Counts one finished request. good is 0 for a request that counts against
   the objective. */
void
GvBurn_CountRequest(gv_burn_t *b, int good, int64_t now_ms)
{
    assert(now_ms >= 0);
    note_slot(b->fine, FINE_SLOTS, now_ms / 1000, good);
    note_slot(b->coarse, COARSE_SLOTS, now_ms / 60000, good);
}

static void
sum_slots(const slot_t *ring, int n, int64_t period, int count,
          gv_burn_row_t *row)
{
    for (int i = 0; i < n; i++) {
        if (ring[i].period <= period && ring[i].period > period - count) {
            row->good += ring[i].good;
            row->bad += ring[i].bad;
        }
    }
}

/* Fills one row for each window, shortest first. A window without requests
   has a burn of 0. */
void
GvBurn_Report(gv_burn_t *b, int64_t now_ms,
              gv_burn_row_t rows[GV_BURN_WINDOWS])
{
    for (int i = 0; i < GV_BURN_WINDOWS; i++) {
        gv_burn_row_t *r = &rows[i];
        *r = (gv_burn_row_t){.window_s = windows_s[i]};
        if (r->window_s <= FINE_SLOTS) {
            sum_slots(b->fine, FINE_SLOTS, now_ms / 1000, r->window_s, r);
        }
        else {
            sum_slots(b->coarse, COARSE_SLOTS, now_ms / 60000,
                      r->window_s / 60, r);
        }
        uint64_t all = r->good + r->bad;
        r->burn = all == 0 ? 0 : (double)r->bad / (double)all / b->allowed;
    }
}
