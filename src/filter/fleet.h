/* Capacity of the cells according to the VM list, and the choice of a cell
   for a new job.  */
#ifndef FILTER_FLEET_H
#define FILTER_FLEET_H

#include <stdint.h>

#include "skr/config.h"
#include "skr/peer.h"

struct fl_fleet_worker
{
  char cell[PR_ID_SIZE], rack[PR_ID_SIZE];
  int32_t accelerators, slots;
};

struct fl_cell
{
  char cell[PR_ID_SIZE], holder[PR_ID_SIZE];
  int64_t free_accelerators; /* accelerators, last reported by the holder; -1:
                                unknown */
  int64_t jobs_rev; /* table revision up to which its jobs are known */
};

struct fl_fleet
{
  struct fl_fleet_worker *worker; /* owned by the caller */
  int workers;
  struct fl_cell cell[CF_MAX_CELLS];
  int cells;
};

/* Returns how many tasks CELL could hold when empty.  Each task needs
   PER_TASK accelerators, or one slot when PER_TASK is 0.  */
int64_t fl_fleet_capacity (const struct fl_fleet *f, const char *cell,
                           int32_t per_task);
/* True when no listed cell could hold all TASKS, even empty.  False while no
   worker is listed.  */
int fl_fleet_can_never_hold (const struct fl_fleet *f, int32_t tasks,
                             int32_t per_task);
/* Returns the cell for a new job, or NULL when none could hold it.  Cells of
   HOME, an array of HOMES entries, are preferred to all others.  Among those
   that could hold the job when empty, the one with the most free
   accelerators is chosen; a hash of SPREAD breaks ties.  The result points
   into HOME or F.  */
const char *fl_fleet_choose_cell (const struct fl_fleet *f,
                                  const char (*home)[PR_ID_SIZE], int homes,
                                  int32_t tasks, int32_t per_task,
                                  const char *spread);

#endif
