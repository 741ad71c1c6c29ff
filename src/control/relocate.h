/* Decides whether a queued gang fits the workers of its cell, and otherwise
   whether it moves to another cell or ends.  No I/O, no clock.  */
#ifndef CONTROL_RELOCATE_H
#define CONTROL_RELOCATE_H

#include <jansson.h>
#include <stdint.h>

#include "control/control.h"

enum
{
  HM_MAX_SHAPES = 32, /* worker shapes in one cell */
  /* A gang that its cell can't hold moves after this time.  */
  HM_MOVE_AFTER_MS = 2000,
  /* A gang that no cell can hold ends after this time.  A worker that is
     recreated sooner finds the gang still queued.  */
  HM_END_AFTER_MS = 60000,
  HM_RETRY_AFTER_S = 60 /* retry delay reported to the caller */
};

/* Number of workers with the same accelerators and slots.  */
struct hm_shape
{
  int32_t accelerators, slots, count;
};

/* Total capacity of the workers of a cell that are up, by shape.  */
struct hm_capacity
{
  char cell[CT_NAME];
  int known;    /* 0: the capacity is unknown */
  int64_t free; /* free accelerators */
  int shapes;
  struct hm_shape shape[HM_MAX_SHAPES];
};

/* What a job needs.  */
struct hm_demand
{
  int32_t tasks, per_task; /* PER_TASK 0: the task needs a slot only */
};

/* What becomes of a queued job.  */
enum hm_decision
{
  HM_STAY,
  HM_MOVE,
  HM_END
};

/* Adds a worker.  With too many shapes the capacity becomes unknown.  */
void hm_add_worker (struct hm_capacity *capacity, int32_t accelerators,
                    int32_t slots);
/* Whether empty workers of CAPACITY can run DEMAND.  */
int hm_fits (const struct hm_capacity *capacity, struct hm_demand demand);
/* Returns a new array for the cell's row.  */
json_t *hm_print (const struct hm_capacity *capacity);
/* Parses a cell's row.  Without a holder or valid shapes the capacity is
   unknown.  */
void hm_parse (struct hm_capacity *capacity, const char *cell,
               const json_t *row);
/* Decides about a job with demand DEMAND.  SINCE_MS is state that the caller
   stores for the job, initially 0: the time since when OWN does not hold it.
   TO is set to the cell to move to for HM_MOVE, else to NULL.  */
enum hm_decision hm_decide (const struct hm_capacity *own,
                            const struct hm_capacity *other, int others,
                            struct hm_demand demand, int64_t *since_ms,
                            int64_t now_ms, const struct hm_capacity **to);

#endif
