/* Units that could not be placed in a round of decisions.  As capacity only
   shrinks within a round, unless work is preempted, a unit that needs as much
   cannot be placed either and is not tried.  A full fleet in front of which
   many jobs of few shapes wait is decided in the time of the few.  */
#ifndef SKR_STEPS_BLOCKED_H
#define SKR_STEPS_BLOCKED_H

#include "steps/state.h"

enum
{
  BL_MAX_SHAPES = 32
};

struct bl_shape
{
  const struct unit *unit;
  int allow_off_rack;
  int reservations; /* of the round when it was tried */
};

struct bl_list
{
  struct bl_shape shape[BL_MAX_SHAPES];
  int count;
  int preemptions; /* of the cluster when the list was begun */
};

/* Empties L.  */
void bl_clear (struct bl_list *l, const struct sj_cluster *c);
/* Records that U could not be placed.  */
void bl_add (struct bl_list *l, const struct unit *u, int allow_off_rack,
             int reservations);
/* Whether U cannot be placed either.  Empties L if work was preempted since
   it was begun.  */
int bl_covers (struct bl_list *l, const struct sj_cluster *c,
               const struct unit *u, int allow_off_rack);

#endif
