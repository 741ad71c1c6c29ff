/* Whether the workers of a cell could hold a gang, and what becomes of a gang
   that its own cell no longer holds: another cell's, or an end.  No I/O, no
   clock.  */
#ifndef CONTROL_RELOCATE_H
#define CONTROL_RELOCATE_H

#include <jansson.h>
#include <stdint.h>

#include "control/control.h"

enum
{
  HM_MAX_SHAPES = 32,      /* kinds of workers in one cell */
  HM_MOVE_AFTER_MS = 2000, /* without room in its cell: it goes to another */
  /* Without room in any cell: it ends.  A worker that is made anew within
     this time finds the gang still there.  */
  HM_END_AFTER_MS = 60000,
  HM_RETRY_AFTER_S = 60 /* when the caller is told to come back */
};

struct hm_shape
{
  int32_t accelerators, slots, count;
};

/* What the workers of a cell that are up hold when empty.  */
struct hm_capacity
{
  char cell[CT_NAME];
  int known; /* 0: nothing can be told of the cell */
  int64_t free_accelerators;
  int shapes;
  struct hm_shape shape[HM_MAX_SHAPES];
};

struct hm_demand
{
  int32_t tasks, per_task; /* PER_TASK 0: a slot only */
};

enum hm_decision
{
  HM_STAY,
  HM_MOVE,
  HM_END
};

/* Adds a worker.  */
void hm_add_worker (struct hm_capacity *room, int32_t accelerators,
                    int32_t slots);
int hm_fits (const struct hm_capacity *room, struct hm_demand need);
/* For the cell's row: a new array.  */
json_t *hm_print (const struct hm_capacity *room);
/* Reads a cell's row; one without a holder or without shapes is not known. */
void hm_parse (struct hm_capacity *room, const char *cell, const json_t *row);
/* SINCE_MS, 0 at first, is kept by the caller between the calls about a job;
 *TO is set with HM_MOVE.  */
enum hm_decision hm_decide (const struct hm_capacity *own,
                            const struct hm_capacity *other, int others,
                            struct hm_demand need, int64_t *since_ms,
                            int64_t now_ms, const struct hm_capacity **to);

#endif
