#include "steps/steps.h"

enum
{
  CORE_MILLI = 1000,
  ACCELERATOR_CORES = 8 /* weight of an accelerator against cores */
};

void
nd_add (struct sj_need *a, const struct sj_need *b)
{
  a->cpu_milli += b->cpu_milli;
  a->memory_mb += b->memory_mb;
  a->accelerators += b->accelerators;
}

void
nd_sub (struct sj_need *a, const struct sj_need *b)
{
  a->cpu_milli -= b->cpu_milli;
  a->memory_mb -= b->memory_mb;
  a->accelerators -= b->accelerators;
}

/* A worker that is reserved beyond its room takes nothing, not even a task
   without a need.  */
int
nd_fits (const struct sj_need *need, const struct sj_need *room)
{
  return room->cpu_milli >= need->cpu_milli
         && room->memory_mb >= need->memory_mb
         && room->accelerators >= need->accelerators;
}

static int64_t
part (int64_t need, int64_t room, int64_t most)
{
  if (room < 0)
    return 0;
  if (need <= 0)
    return most;
  return room / need < most ? room / need : most;
}

int
nd_times (const struct sj_need *need, const struct sj_need *room, int max)
{
  int64_t n = max;

  n = part (need->cpu_milli, room->cpu_milli, n);
  n = part (need->memory_mb, room->memory_mb, n);
  return (int)part (need->accelerators, room->accelerators, n);
}

struct sj_need
nd_of_step (const struct sj_step *step)
{
  struct sj_need need = step->need;

  if (step->filler)
    need.cpu_milli = 0;
  return need;
}

int64_t
nd_weight (const struct sj_need *need)
{
  return need->cpu_milli + need->accelerators * ACCELERATOR_CORES * CORE_MILLI;
}
