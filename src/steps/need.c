/* Arithmetic on resource requests and capacities.  */
#include "steps/state.h"

enum
{
  CORE_MILLI = 1000,
  ACCELERATOR_CORES = 8 /* weight of an accelerator in cores */
};

void
nd_add (struct sj_resources *a, const struct sj_resources *b)
{
  a->cpu_milli += b->cpu_milli;
  a->memory_mb += b->memory_mb;
  a->accelerators += b->accelerators;
}

void
nd_sub (struct sj_resources *a, const struct sj_resources *b)
{
  a->cpu_milli -= b->cpu_milli;
  a->memory_mb -= b->memory_mb;
  a->accelerators -= b->accelerators;
}

/* Capacity that is overcommitted, so negative, fits nothing, not even a task
   that requests nothing.  */
int
nd_fits (const struct sj_resources *need, const struct sj_resources *available)
{
  return available->cpu_milli >= need->cpu_milli
         && available->memory_mb >= need->memory_mb
         && available->accelerators >= need->accelerators;
}

/* How many times NEED fits into AVAILABLE in one dimension, at most MAX.  */
static int64_t
count_by_dimension (int64_t need, int64_t available, int64_t max)
{
  if (available < 0)
    return 0;
  if (need <= 0)
    return max;
  return available / need < max ? available / need : max;
}

int
nd_count_fitting (const struct sj_resources *need,
                  const struct sj_resources *available, int max)
{
  int64_t n = max;

  /* Most workers of a busy fleet are full, and a division takes long.  */
  if (!nd_fits (need, available))
    return 0;
  if (max <= 1)
    return max;
  n = count_by_dimension (need->cpu_milli, available->cpu_milli, n);
  n = count_by_dimension (need->memory_mb, available->memory_mb, n);
  return (int)count_by_dimension (need->accelerators, available->accelerators,
                                  n);
}

struct sj_resources
nd_for_step (const struct sj_step *step)
{
  struct sj_resources need = step->need;

  if (step->filler)
    need.cpu_milli = 0;
  return need;
}

int64_t
nd_weight (const struct sj_resources *need)
{
  return need->cpu_milli + need->accelerators * ACCELERATOR_CORES * CORE_MILLI;
}
