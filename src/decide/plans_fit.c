/* Checks a list of guarantees against an empty fleet with the code that
   applies plans.  */
#include <stdlib.h>
#include <string.h>

#include "state.h"

static int
join_all (struct dc *dc, const struct dc_fleet_worker *worker, int workers)
{
  for (int i = 0; i < workers; i++)
    {
      struct dc_event e = { .kind = DC_EV_WORKER };
      int error;

      e.u.worker.id = (uint32_t)i;
      e.u.worker.rack = worker[i].rack;
      e.u.worker.domain = worker[i].domain;
      e.u.worker.accelerators = worker[i].accelerators;
      e.u.worker.slots = worker[i].slots;
      error = dc_fleet_join (dc, &e);
      if (error)
        return error;
    }
  return DC_OK;
}

struct group
{
  int32_t size;
  uint32_t account;
};

static int
larger_first (const void *a, const void *b)
{
  const struct group *x = a, *y = b;

  if (x->size != y->size)
    return x->size > y->size ? -1 : 1;
  return (x->account > y->account) - (x->account < y->account);
}

static int64_t
count_groups (const struct dc_guarantee *g, int guarantees)
{
  int64_t n = 0;

  for (int i = 0; i < guarantees; i++)
    for (int s = 0; s < g[i].shapes; s++)
      {
        if (g[i].shape[s].size < 1 || g[i].shape[s].count < 0)
          return -1;
        n += g[i].shape[s].count;
      }
  return n;
}

static void
list_groups (struct group *group, const struct dc_guarantee *g, int guarantees)
{
  for (int i = 0; i < guarantees; i++)
    for (int s = 0; s < g[i].shapes; s++)
      for (int32_t n = 0; n < g[i].shape[s].count; n++)
        *group++ = (struct group){ g[i].shape[s].size, g[i].account };
}

static int
bind_all (struct dc *dc, const struct group *group, int64_t n)
{
  for (int64_t i = 0; i < n; i++)
    {
      uint32_t cell;

      if (dc_account_grow (dc, group[i].account)
          || dc_cell_new (dc, group[i].account, group[i].size, &cell))
        return DC_ENOMEM;
      if (!dc_cell_bind (dc, cell, DC_CAP_OUTSIDE_CELLS))
        return DC_EINVAL;
    }
  return DC_OK;
}

static int64_t
accelerators_of (const struct dc_fleet_worker *worker, int workers)
{
  int64_t n = 0;

  for (int i = 0; i < workers; i++)
    n += worker[i].accelerators;
  return n;
}

static int
try_fit (struct dc *dc, const struct dc_fleet_worker *worker, int workers,
         const struct dc_guarantee *guarantee, int guarantees)
{
  int64_t n = count_groups (guarantee, guarantees);
  struct group *group;
  int error;

  if (n < 0 || n > accelerators_of (worker, workers))
    return DC_EINVAL;
  error = join_all (dc, worker, workers);
  if (error || n == 0)
    return error;
  group = malloc ((size_t)n * sizeof *group);
  if (!group)
    return DC_ENOMEM;
  list_groups (group, guarantee, guarantees);
  qsort (group, (size_t)n, sizeof *group, larger_first);
  error = dc_plan_add_spares (dc) ? bind_all (dc, group, n) : DC_EINVAL;
  free (group);
  return error;
}

int
dc_plans_fit (const struct dc_fleet_worker *worker, int workers,
              const struct dc_guarantee *guarantee, int guarantees,
              int32_t spare_workers, const char **reason)
{
  struct dc_config config = { .spare_workers = spare_workers };
  struct dc *dc = malloc (dc_size ());
  int error;

  *reason = NULL;
  if (!dc || dc_init (dc, &config))
    {
      free (dc);
      *reason = "out of memory";
      return DC_ENOMEM;
    }
  error = try_fit (dc, worker, workers, guarantee, guarantees);
  dc_fini (dc);
  free (dc);
  if (error)
    *reason = spare_workers > 0
                  ? "the guarantees do not all fit at once with the spare "
                    "workers lost"
                  : "the guarantees do not all fit at once";
  return error ? DC_EINVAL : DC_OK;
}
