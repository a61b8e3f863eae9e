#include "read_pace.h"

#include <glib.h>

#include "limits.h"

/* Returns the length of intervals, in thousandths of the usual one, after it
   was shortened for the time that has passed. */
int
GvReadPace_Permille(gv_read_pace_t *p, int64_t now_ms)
{
    p->permille = MAX(p->permille, 1000);
    while (p->permille > 1000 &&
           now_ms - p->shortened_ms >= GV_READ_PACE_SHORTEN_MS) {
        p->permille -= p->permille / GV_READ_PACE_SHORTEN_DIVISOR;
        p->permille = MAX(p->permille, 1000);
        p->shortened_ms += GV_READ_PACE_SHORTEN_MS;
    }
    return p->permille;
}

/* Notes that the store has carried out a read. */
void
GvReadPace_Answered(gv_read_pace_t *p, int64_t now_ms)
{
    p->answered_ms = now_ms;
}

/* Notes that the store has refused a read because there were too many. Reads
   in flight together are often refused together, so this lengthens the
   intervals at most once in GV_READ_PACE_LENGTHEN_MS. A store that carries
   out none of this host's reads does not limit their rate: fewer would not
   help. */
void
GvReadPace_Refused(gv_read_pace_t *p, int64_t now_ms)
{
    int permille = GvReadPace_Permille(p, now_ms);
    if (p->answered_ms == 0 ||
        now_ms - p->answered_ms > GV_READ_PACE_ANSWERED_MS ||
        now_ms - p->lengthened_ms < GV_READ_PACE_LENGTHEN_MS) {
        return;
    }
    p->permille = MIN(permille + permille / 2, GV_READ_PACE_MAX_PERMILLE);
    p->lengthened_ms = now_ms;
    p->shortened_ms = now_ms;
}

/* Returns when the next read is due after one that began at begun_ms and has
   just ended. interval_ms is the usual time between the starts of two reads,
   limited_ms the least for GV_READ_PACE_LIMITED_MS after the intervals were
   lengthened, 0 for none: reads of which little depends leave room for others.
   While the intervals are longer than usual, `random` spreads the reads: one
   record ends the waiting reads of all entry hosts at the same moment. */
int64_t
GvReadPace_DueMs(gv_read_pace_t *p, int64_t begun_ms, int interval_ms,
                 int limited_ms, unsigned random, int64_t now_ms)
{
    int64_t paced =
        (int64_t)interval_ms * GvReadPace_Permille(p, now_ms) / 1000;
    if (p->lengthened_ms != 0 &&
        now_ms - p->lengthened_ms < GV_READ_PACE_LIMITED_MS) {
        paced = MAX(paced, limited_ms);
    }
    int longer = (int)(paced - interval_ms);
    int spread = longer > 0 ? (int)(random % (unsigned)longer) : 0;
    return MAX(begun_ms + interval_ms + longer / 2 + spread,
               now_ms + spread / 2);
}
