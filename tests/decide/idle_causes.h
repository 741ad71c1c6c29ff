/* Where accelerators idle while a queued job is no larger than all of them:
   for the benchmark of policies.  */
#ifndef IDLE_CAUSES_H
#define IDLE_CAUSES_H

#include "skr/decide.h"

enum fs_cause
{
  FS_RESERVED,       /* to firm gangs that wait for a checkpoint */
  FS_TENTATIVE,      /* for preemptible gangs that wait for a checkpoint */
  FS_DRAINING,       /* for a gang that waits until work there ends */
  FS_URGENT_RESERVE, /* the queued jobs that it holds leave it to urgent ones
                      */
  FS_CELLS, /* only work that may not move waits, and cells are bound there */
  FS_SCATTERED, /* it holds a queued job by number, not in one place */
  FS_TOO_FEW,   /* too little is left beside the first three */
  FS_CAUSES
};

extern const char *const fs_name[FS_CAUSES];

/* Adds what idles now, times WEIGHT, to SUM.  */
void fs_add_idle (const struct dc *dc, double weight, double sum[FS_CAUSES]);

#endif
