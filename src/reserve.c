#include "reserve.h"

/* Returns the index of the spare pool of pool i, or -1. */
int
GvReserve_FindSpare(const gv_reserve_pool_t *p, int n, int i)
{
    for (int j = 0; j < n; j++) {
        if (j != i && p[j].pool->is_spare &&
            GvStr_Equal(p[j].pool->name, p[i].pool->spare)) {
            return j;
        }
    }
    return -1;
}
