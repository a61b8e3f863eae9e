#ifndef GV_READ_PACE_H
#define GV_READ_PACE_H

#include <stdint.h>

/* Pace of this entry host's reads of the store. The store limits the reads of
   all entry hosts together and refuses what exceeds the limit, and none of
   them knows how many others there are. So each one lengthens its intervals
   when a read is refused and shortens them slowly afterwards. No input or
   output and no clock. */

typedef struct {
    int permille;          /* length of intervals, of the usual one; 0: 1000 */
    int64_t answered_ms;   /* newest read that was carried out; 0: none */
    int64_t lengthened_ms; /* when the intervals were last lengthened */
    int64_t shortened_ms;  /* up to when they have been shortened */
} gv_read_pace_t;

void GvReadPace_Answered(gv_read_pace_t *p, int64_t now_ms);
void GvReadPace_Refused(gv_read_pace_t *p, int64_t now_ms);
int GvReadPace_Permille(gv_read_pace_t *p, int64_t now_ms);
int64_t GvReadPace_DueMs(gv_read_pace_t *p, int64_t begun_ms, int interval_ms,
                         int limited_ms, unsigned random, int64_t now_ms);

#endif
