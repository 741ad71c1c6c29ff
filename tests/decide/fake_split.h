/* Where accelerators idle while a queued job is no larger than all of them:
   for the benchmark of policies.  */
#ifndef FAKE_SPLIT_H
#define FAKE_SPLIT_H

#include "skr/decide.h"

enum fs_cause
{
  FS_PROMISED, /* to firm gangs that wait for a checkpoint */
  FS_KEPT,     /* for preemptible gangs that wait for a checkpoint */
  FS_DRAINED,  /* for a gang that waits until work there ends */
  FS_RESERVE,  /* the queued jobs that it holds leave it to urgent ones */
  FS_CELLS,  /* only work that may not move waits, and cells are bound there */
  FS_APART,  /* it holds a queued job by number, not in one place */
  FS_BESIDE, /* too little is left beside the first three */
  FS_CAUSES
};

extern const char *const fs_name[FS_CAUSES];

/* Adds what idles now, times WEIGHT, to SUM.  */
void fs_split (const struct dc *dc, double weight, double sum[FS_CAUSES]);

#endif
