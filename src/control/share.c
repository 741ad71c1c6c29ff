#include "control/share.h"

static int
fair_share (const struct sh_distribution *view)
{
  int vms = view->vms > 0 ? view->vms : 1;

  return (view->cells + vms - 1) / vms;
}

int64_t
sh_take_delay (const struct sh_distribution *view, double random)
{
  int64_t delay = (int64_t)view->held * SH_DELAY_PER_CELL_MS;

  if (view->held >= fair_share (view))
    delay += SH_DELAY_FULL_MS;
  return delay + (int64_t)(random * SH_DELAY_PER_CELL_MS);
}

int
sh_should_release (const struct sh_distribution *view)
{
  return view->held > view->min_held + 1;
}
