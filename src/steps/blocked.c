#include <string.h>

#include "steps/blocked.h"

void
bl_clear (struct bl_list *l, const struct sj_cluster *c)
{
  l->count = 0;
  l->preemptions = c->preemptions;
}

/* Whether the failure of U tells about other units: not if it was due to
   workers that only U avoids, or to where tasks of its own step run.  */
static int
is_general (const struct unit *u)
{
  const struct sj_step *s = un_step (u);

  return !u->avoided_workers && !s->max_per_worker && !s->filler
         && !s->latency_target_ms && !(pl_is_rack_bound (u) && u->count == 1);
}

void
bl_add (struct bl_list *l, const struct unit *u, int allow_off_rack,
        int reservations)
{
  if (l->count < BL_MAX_SHAPES && is_general (u))
    l->shape[l->count++]
        = (struct bl_shape){ u, allow_off_rack, reservations };
}

/* Whether NEED takes at least as much as LESS.  */
static int
needs_as_much (const struct sj_resources *need,
               const struct sj_resources *less)
{
  return nd_fits (less, need);
}

/* Whether U may run only where the unit of A may.  */
static int
is_as_restricted (const struct bl_shape *a, const struct unit *u,
                  int allow_off_rack)
{
  const struct sj_step *s = un_step (a->unit), *t = un_step (u);

  if (a->unit->job->service != u->job->service
      || (s->label && g_strcmp0 (s->label, t->label)))
    return 0;
  if (!pl_is_rack_bound (a->unit) || a->allow_off_rack)
    return 1;
  return pl_is_rack_bound (u) && !allow_off_rack && u->count > 1
         && (!s->data_rack || !g_strcmp0 (s->data_rack, t->data_rack));
}

/* Reserved capacity may be used by a unit that ends before the reservation
   begins, so with reservations the longer unit tells nothing about a shorter
   one, nor about one that reservations do not bind.  */
static int
is_as_long (const struct bl_shape *a, const struct unit *u)
{
  return !a->reservations
         || (un_step (u)->estimate_ms >= un_step (a->unit)->estimate_ms
             && !pl_uses_reserved (u));
}

static int
covers (const struct bl_shape *a, const struct unit *u, int allow_off_rack)
{
  struct sj_resources less = nd_for_step (un_step (a->unit)),
                      need = nd_for_step (un_step (u));

  return u->count >= a->unit->count && needs_as_much (&need, &less)
         && u->job->rank >= a->unit->job->rank && is_as_long (a, u)
         && is_as_restricted (a, u, allow_off_rack);
}

int
bl_covers (struct bl_list *l, const struct sj_cluster *c, const struct unit *u,
           int allow_off_rack)
{
  if (l->preemptions != c->preemptions)
    bl_clear (l, c);
  for (int i = 0; i < l->count; i++)
    if (covers (&l->shape[i], u, allow_off_rack))
      return 1;
  return 0;
}
