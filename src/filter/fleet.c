#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "filter/fleet.h"

int64_t
fl_fleet_capacity (const struct fl_fleet *f, const char *cell,
                   int32_t per_task)
{
  int64_t capacity = 0;

  for (int i = 0; i < f->workers; i++)
    if (!strcmp (f->worker[i].cell, cell))
      capacity += per_task ? f->worker[i].accelerators / per_task
                           : f->worker[i].slots;
  return capacity;
}

int
fl_fleet_can_never_hold (const struct fl_fleet *f, int32_t tasks,
                         int32_t per_task)
{
  const char *previous_cell = "";

  if (!f->workers)
    return 0;
  for (int i = 0; i < f->workers; i++)
    {
      if (!strcmp (previous_cell, f->worker[i].cell))
        continue;
      previous_cell = f->worker[i].cell;
      if (fl_fleet_capacity (f, previous_cell, per_task) >= tasks)
        return 0;
    }
  return 1;
}

static int64_t
free_accelerators (const struct fl_fleet *f, const char *cell)
{
  for (int i = 0; i < f->cells; i++)
    if (!strcmp (f->cell[i].cell, cell))
      return f->cell[i].free_accelerators;
  return -1;
}

static XXH64_hash_t
tie_break (const char *cell, const char *spread)
{
  char text[2 * PR_ID_SIZE + 2];
  int size = snprintf (text, sizeof text, "%s/%s", cell, spread);

  return XXH3_64bits (text, (size_t)size);
}

static const char *
better_cell (const struct fl_fleet *f, const char *a, const char *b,
             const char *spread)
{
  if (!a || free_accelerators (f, b) > free_accelerators (f, a))
    return b;
  if (free_accelerators (f, b) < free_accelerators (f, a))
    return a;
  return tie_break (b, spread) > tie_break (a, spread) ? b : a;
}

const char *
fl_fleet_choose_cell (const struct fl_fleet *f, const char (*home)[PR_ID_SIZE],
                      int homes, int32_t tasks, int32_t per_task,
                      const char *spread)
{
  const char *best = NULL;

  for (int i = 0; i < homes; i++)
    if (fl_fleet_capacity (f, home[i], per_task) >= tasks)
      best = better_cell (f, best, home[i], spread);
  if (best)
    return best;
  for (int i = 0; i < f->workers; i++)
    {
      const char *cell = f->worker[i].cell;

      if ((!best || strcmp (best, cell) != 0)
          && fl_fleet_capacity (f, cell, per_task) >= tasks)
        best = better_cell (f, best, cell, spread);
    }
  return best;
}
