/* Whether the workers of a cell could hold a gang, and what becomes of a gang
   that its own cell no longer holds: another cell's, or an end.  No I/O, no
   clock.  */
#ifndef CONTROL_HOME_H
#define CONTROL_HOME_H

#include <jansson.h>
#include <stdint.h>

#include "control/control.h"

enum
{
  HM_SHAPES = 32,    /* kinds of workers in one cell */
  HM_MOVE_MS = 2000, /* without room in its cell: it goes to another */
  /* Without room in any cell: it ends.  A worker that is made anew within
     this time finds the gang still there.  */
  HM_END_MS = 60000,
  HM_RETRY_S = 60 /* when the caller is told to come back */
};

struct hm_shape
{
  int32_t accelerators, slots, count;
};

/* What the workers of a cell that are up hold when empty.  */
struct hm_room
{
  char cell[CT_NAME];
  int known; /* 0: nothing can be told of the cell */
  int64_t free;
  int shapes;
  struct hm_shape shape[HM_SHAPES];
};

struct hm_need
{
  int32_t tasks, per_task; /* PER_TASK 0: a slot only */
};

enum hm_verdict
{
  HM_STAY,
  HM_MOVE,
  HM_END
};

/* Adds a worker.  */
void hm_add (struct hm_room *room, int32_t accelerators, int32_t slots);
int hm_holds (const struct hm_room *room, struct hm_need need);
/* For the cell's row: a new array.  */
json_t *hm_print (const struct hm_room *room);
/* Reads a cell's row; one without a holder or without shapes is not known. */
void hm_read (struct hm_room *room, const char *cell, const json_t *row);
/* SINCE_MS, 0 at first, is kept by the caller between the calls about a job;
 *TO is set with HM_MOVE.  */
enum hm_verdict hm_judge (const struct hm_room *own,
                          const struct hm_room *other, int others,
                          struct hm_need need, int64_t *since_ms,
                          int64_t now_ms, const struct hm_room **to);

#endif
