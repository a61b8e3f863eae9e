#include "limits.h"
#include "sim_private.h"

/* Updates the candidates and the load, which placement and queue read. */
void
GvSim_UpdateLoad(gv_sim_t *s, gv_sim_entry_t *e)
{
    int slots = 0;
    for (int t = 0; t < s->opts->targets; t++) {
        gv_candidate_t *c = &e->candidates[t];
        c->usable = s->opts->no_shares
                        ? GV_TARGET_SLOTS
                        : GvSlots_Usable(&e->slots[t], (int64_t)s->now_ms);
        c->busy = e->busy[t];
        /* An ejected target may get a request when its trial is due. */
        const gv_eject_t *out = &e->eject[t];
        int64_t now = (int64_t)s->now_ms;
        c->ejected = out->ejected && !GvEject_IsTrialDue(out, true, now);
        c->idempotent_only = !s->opts->trial_any_request && out->ejected &&
                             !c->ejected &&
                             !GvEject_IsTrialDue(out, false, now);
        slots += c->ejected ? 0 : c->usable;
    }
    e->load.slots = slots;
    e->load.mean_run_ms = GvEstimate_MeanMs(e->estimate);
}

/* Borrows slots from the entry hosts of the same data centre for waiting work
   that exceeds the free slots. */
void
GvSim_Borrow(gv_sim_t *s, gv_sim_entry_t *e)
{
    GvSim_UpdateLoad(s, e);
    int want = s->queue->length(e->queue) - (e->load.slots - e->load.busy);
    int64_t now = (int64_t)s->now_ms;
    for (int p = 0; p < s->n_entries && want > 0; p++) {
        gv_sim_entry_t *peer = &s->entries[p];
        int queued = s->queue->length(peer->queue);
        if (peer == e || peer->dc != e->dc) {
            continue;
        }
        for (int t = 0; t < s->opts->targets && want > 0; t++) {
            int n = GvSlots_Lend(&peer->slots[t], want, peer->busy[t], queued,
                                 now, GV_LOAN_MS);
            if (n > 0) {
                GvSlots_AddBorrowed(&e->slots[t], n, now + GV_LOAN_MS);
                want -= n;
            }
        }
    }
}

/* Draws the entry host that a new request reaches: each of n with the same
   probability, or with probabilities n : n-1 : ... : 1. */
gv_sim_entry_t *
GvSim_DrawEntry(gv_sim_t *s, int dc)
{
    int n = s->opts->entries;
    gv_sim_entry_t *first = &s->entries[dc * n];
    if (!s->opts->uneven) {
        return &first[g_rand_int_range(s->rand, 0, n)];
    }
    int u = g_rand_int_range(s->rand, 0, n * (n + 1) / 2);
    int i = 0;
    while (u >= n - i) {
        u -= n - i;
        i++;
    }
    return &first[i];
}

/* Stores the free slots of each entry host, minus its waiting work, at all
   entry hosts of the other data centre. */
void
GvSim_Heartbeat(gv_sim_t *s)
{
    int n = s->opts->entries;
    for (int i = 0; i < s->n_entries; i++) {
        gv_sim_entry_t *e = &s->entries[i];
        GvSim_UpdateLoad(s, e);
        int spare = e->load.slots - e->load.busy - s->queue->length(e->queue);
        for (int k = 0; k < s->n_entries; k++) {
            if (s->entries[k].dc != e->dc) {
                s->entries[k].free_slots_of[i % n] = spare;
            }
        }
    }
}

/* Sends the request to the entry host of the other data centre with the most
   free slots, as the daemon does. Returns false if spilling is off, if the
   request has spilled before or if no slot is free there. */
bool
GvSim_Spill(gv_sim_t *s, gv_sim_req_t *q)
{
    gv_sim_entry_t *e = q->entry;
    int best = -1;
    if (!s->opts->spill || q->has_spilled) {
        return false;
    }
    for (int i = 0; i < s->opts->entries; i++) {
        if (e->free_slots_of[i] > (best < 0 ? 0 : e->free_slots_of[best])) {
            best = i;
        }
    }
    if (best < 0) {
        return false;
    }
    e->free_slots_of[best]--;
    q->has_spilled = true;
    q->entry = &s->entries[(1 - e->dc) * s->opts->entries + best];
    GvSim_Schedule(s, s->now_ms + GV_SIM_HOP_MS, GV_SIM_HOP, q);
    return true;
}
