/* Divides idle accelerators by cause while some queued job needs no more than
   all of them, for the benchmark of policies.  */
#ifndef FAKE_IDLE_CAUSES_H
#define FAKE_IDLE_CAUSES_H

#include "skr/decide.h"

enum fs_cause
{
  FS_RESERVED,       /* for gangs that wait for a checkpoint, guaranteed or not
                        preemptible */
  FS_TENTATIVE,      /* for preemptible gangs that wait for a checkpoint */
  FS_DRAINING,       /* for a gang that waits until the work there ends */
  FS_URGENT_RESERVE, /* jobs that fit them leave them to urgent ones */
  FS_CELLS,     /* only work that is not preemptible waits, and cells are bound
                   there */
  FS_SCATTERED, /* enough for a queued job, but not in one place */
  FS_TOO_FEW,   /* too few after the first three causes for any queued job */
  FS_CAUSES
};

extern const char *const fs_name[FS_CAUSES];

/* Adds the accelerators that are idle now, times WEIGHT, to SUM by cause.  */
void fs_add_idle (const struct dc *dc, double weight, double sum[FS_CAUSES]);

#endif
