#include "fake_idle_causes.h"

#include "decide/state.h"

const char *const fs_name[FS_CAUSES]
    = { "promised", "kept", "drained", "reserve", "cells", "apart", "beside" };

static int32_t
min (int32_t a, int32_t b)
{
  return a < b ? a : b;
}

/* Returns the accelerators of worker W that pending gangs drain.  */
static int32_t
draining_on (const struct dc *dc, const struct dc_worker *w)
{
  int32_t sum = 0;

  for (uint32_t t = w->tasks; t != DC_NONE;)
    {
      const struct dc_task *task = pl_at (&dc->tasks, t);
      const struct dc_job *job = &dc->jobs.v[task->job];

      t = task->next;
      if (job->state == DC_PENDING && job->draining)
        sum += job->spec.per_task;
    }
  return sum;
}

/* Returns why queued jobs do not use IDLE accelerators, of which
   IDLE_OUTSIDE_CELLS are outside cells.  */
static enum fs_cause
cause_of_remaining (const struct dc *dc, int32_t idle,
                    int32_t idle_outside_cells)
{
  enum fs_cause cause = FS_TOO_FEW;

  for (uint32_t i = 0; i < dc->jobs.n; i++)
    {
      const struct dc_job *job = &dc->jobs.v[i];
      int32_t need = job->spec.tasks * job->spec.per_task;

      if (job->state != DC_QUEUED || need == 0 || need > idle)
        continue;
      if (job->spec.preemptible ? dc_place_leaves_reserve (dc, need)
                                : need <= idle_outside_cells)
        return FS_SCATTERED;
      if (cause != FS_URGENT_RESERVE)
        cause = job->spec.preemptible ? FS_URGENT_RESERVE : FS_CELLS;
    }
  return cause;
}

void
fs_add_idle (const struct dc *dc, double weight, double sum[FS_CAUSES])
{
  int32_t idle = 0, idle_outside_cells = 0;

  for (uint32_t i = 0; i < dc->workers.n; i++)
    {
      const struct dc_worker *w = &dc->workers.v[i];
      int32_t remaining = w->free.accelerators;
      int32_t reserved = min (remaining, w->reserved.accelerators);
      int32_t draining = min (remaining - reserved, draining_on (dc, w));
      int32_t tentative
          = min (remaining - reserved - draining, w->tentative.accelerators);

      sum[FS_RESERVED] += reserved * weight;
      sum[FS_DRAINING] += draining * weight;
      sum[FS_TENTATIVE] += tentative * weight;
      idle += remaining - reserved - draining - tentative;
      idle_outside_cells
          += w->available[DC_CAP_IDLE_OUTSIDE_CELLS].accelerators;
    }
  sum[cause_of_remaining (dc, idle, idle_outside_cells)] += idle * weight;
}
