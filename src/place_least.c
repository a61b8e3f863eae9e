#include "placement.h"

/* Load after one more request, relative to the usable slots. A target that
   runs slower than expected counts as busier. */
static double
load_of(const gv_candidate_t *c)
{
    double slow =
        c->run_ratio_permille > 1000 ? c->run_ratio_permille / 1000 : 1;
    return (c->busy + 1) * slow / c->usable;
}

static int
best_of(const gv_candidate_t *c, int n, uint32_t random, bool tried)
{
    int best = -1;
    double best_load = 0;
    for (int k = 0; k < n; k++) {
        /* A random first candidate breaks ties differently on each entry
           host. */
        int i = (int)((random + (uint32_t)k) % (uint32_t)n);
        /* A target that has just refused work is full: its slots are in use
           by peers whose loans outlast their lease. */
        if (c[i].ejected || c[i].busy >= c[i].usable || c[i].refused > 0 ||
            (c[i].avoid && !tried)) {
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

/* Chooses the least loaded target with a free slot. A target that this
   request already tried is taken only when there is no other in service. */
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

static gv_place_policy_t least = {.plugin = {.name = "least-loaded"},
                                  .choose = choose};
GV_REGISTER(GV_PLUGIN_PLACE, least);
