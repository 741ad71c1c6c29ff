/* Distribution of cells over the VMs: how long a VM waits before it takes over
   a free cell, and when it releases one to another VM.  */
#ifndef CONTROL_SHARE_H
#define CONTROL_SHARE_H

#include <stdint.h>

enum
{
  SH_DELAY_PER_CELL_MS = 400, /* take-over delay per cell already held */
  SH_DELAY_FULL_MS = 2000, /* additional delay when the fair share is held */
  SH_RELEASE_INTERVAL_MS = 5000, /* interval between two releases */
  /* Longest interval, reached when no other VM takes the released cell.  */
  SH_RELEASE_INTERVAL_MAX_MS = 300000
};

/* Distribution of the cells as seen by one VM.  */
struct sh_distribution
{
  int held;     /* cells held by this VM */
  int cells;    /* cells in total */
  int vms;      /* VMs that can hold cells */
  int min_held; /* cells held by the VM with the fewest */
};

/* Returns the milliseconds to wait before taking over a free cell.  RANDOM is
   in [0, 1).  */
int64_t sh_take_delay (const struct sh_distribution *view, double random);
/* Whether this VM should release a cell to another VM.  */
int sh_should_release (const struct sh_distribution *view);

#endif
