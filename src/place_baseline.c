#include "placement.h"

/* Returns true if the request may start on the candidate now. */
static bool
has_room(const gv_candidate_t *c)
{
    return !c->ejected && !c->avoid && c->busy < c->usable;
}

/* Baseline: the next target with a free slot, round robin. */
static int
choose_round_robin(const gv_candidate_t *c, int n, uint32_t random,
                   uint64_t turn)
{
    (void)random;
    for (int k = 0; k < n; k++) {
        int i = (int)((turn + (uint64_t)k) % (uint64_t)n);
        if (has_room(&c[i])) {
            return i;
        }
    }
    return -1;
}

/* Baseline: the less busy of two random targets with a free slot. Both picks
   may be the same target. */
static int
choose_random_two(const gv_candidate_t *c, int n, uint32_t random,
                  uint64_t turn)
{
    (void)turn;
    int free = 0;
    for (int i = 0; i < n; i++) {
        free += has_room(&c[i]);
    }
    if (free == 0) {
        return -1;
    }
    int pick[2] = {(int)((random & 0xffff) % (uint32_t)free),
                   (int)((random >> 16) % (uint32_t)free)};
    int best = -1;
    int at = 0;
    for (int i = 0; i < n; i++) {
        if (!has_room(&c[i])) {
            continue;
        }
        if ((at == pick[0] || at == pick[1]) &&
            (best < 0 || c[i].busy < c[best].busy)) {
            best = i;
        }
        at++;
    }
    return best;
}

static gv_place_policy_t round_robin = {.plugin = {.name = "round-robin"},
                                        .choose = choose_round_robin};
GV_REGISTER(GV_PLUGIN_PLACE, round_robin);

static gv_place_policy_t random_two = {.plugin = {.name = "random-two"},
                                       .choose = choose_random_two};
GV_REGISTER(GV_PLUGIN_PLACE, random_two);
