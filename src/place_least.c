#include "placement.h"

/* Returns the load after one more request, relative to the usable slots. It is
   multiplied by the target's run time ratio if that is above 1. */
static double
load_of(const gv_candidate_t *c)
{
    double slowdown =
        c->run_ratio_permille > 1000 ? c->run_ratio_permille / 1000 : 1;
    return (c->busy + 1) * slowdown / c->usable;
}

/* Returns the least loaded candidate with a free slot, or -1. Candidates on
   which the request has failed count only if use_avoided is set. */
static int
best_of(const gv_candidate_t *c, int n, uint32_t random, bool use_avoided)
{
    int best = -1;
    double best_load = 0;
    for (int k = 0; k < n; k++) {
        /* Starts at a random candidate, so that entry hosts break ties
           differently. */
        int i = (int)((random + (uint32_t)k) % (uint32_t)n);
        /* A target that has just refused a request is full: peers still run
           exchanges in slots whose loan to them has ended. */
        if (c[i].ejected || c[i].busy >= c[i].usable || c[i].refused > 0 ||
            (c[i].avoid && !use_avoided)) {
            continue;
        }
        double load = load_of(&c[i]);
        if (best < 0 || load < best_load) {
            best = i;
            best_load = load;
        }
    }
    return best;
}

/* Chooses the least loaded target with a free slot. A target on which the
   request has failed is chosen only if no other target is in service. */
static int
choose(const gv_candidate_t *c, int n, uint32_t random, uint64_t turn)
{
    (void)turn;
    bool others = false;
    for (int i = 0; i < n; i++) {
        others = others || (!c[i].avoid && !c[i].ejected && c[i].usable > 0);
    }
    return best_of(c, n, random, !others);
}

static gv_place_policy_t least_loaded = {.plugin = {.name = "least-loaded"},
                                         .choose = choose};
GV_REGISTER(GV_PLUGIN_PLACE, least_loaded);
