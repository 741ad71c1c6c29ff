/* What the VM list proves about a job, and the cell that a job goes to.  */
#ifndef FILTER_FLEET_H
#define FILTER_FLEET_H

#include <stdint.h>

#include "skr/config.h"
#include "skr/peer.h"

struct fl_fleet_worker
{
  char cell[PR_ID], rack[PR_ID];
  int32_t accelerators, slots;
};

struct fl_cell
{
  char cell[PR_ID], holder[PR_ID];
  int64_t free;     /* accelerators as the holder last told; -1: unknown */
  int64_t jobs_rev; /* its jobs are known up to this revision */
};

struct fl_fleet
{
  struct fl_fleet_worker *worker; /* owned by the caller */
  int workers;
  struct fl_cell cell[CF_MAX_CELLS];
  int cells;
};

/* Tasks of PER_TASK accelerators (0: slots) that CELL could hold when
   empty.  */
int64_t fl_fleet_capacity (const struct fl_fleet *f, const char *cell,
                           int32_t per_task);
/* True when no cell of a list that names workers could ever hold the whole
   gang.  */
int fl_fleet_can_never_hold (const struct fl_fleet *f, int32_t tasks,
                             int32_t per_task);
/* Cell for a new job: among the HOMES that could hold it, else among all
   such cells, the one with the most free; SPREAD breaks ties.  NULL when
   there is none.  */
const char *fl_fleet_choose_cell (const struct fl_fleet *f,
                                  const char (*home)[PR_ID], int homes,
                                  int32_t tasks, int32_t per_task,
                                  const char *spread);

#endif
