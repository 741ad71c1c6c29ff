#include "fake_split.h"

#include "decide/state.h"

const char *const fs_name[FS_CAUSES]
    = { "promised", "kept", "drained", "reserve", "cells", "apart", "beside" };

static int32_t
least (int32_t a, int32_t b)
{
  return a < b ? a : b;
}

/* What gangs that a place is drained for keep of worker W.  */
static int32_t
drained_of (const struct dc *dc, const struct dc_worker *w)
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

/* Why queued jobs leave IDLE accelerators, of which FIRM are outside cells,
   alone.  */
static enum fs_cause
cause_of_rest (const struct dc *dc, int32_t idle, int32_t firm)
{
  enum fs_cause cause = FS_BESIDE;

  for (uint32_t i = 0; i < dc->jobs.n; i++)
    {
      const struct dc_job *job = &dc->jobs.v[i];
      int32_t need = job->spec.tasks * job->spec.per_task;

      if (job->state != DC_QUEUED || need == 0 || need > idle)
        continue;
      if (job->spec.preemptible ? dc_place_leaves_reserve (dc, need)
                                : need <= firm)
        return FS_APART;
      if (cause != FS_RESERVE)
        cause = job->spec.preemptible ? FS_RESERVE : FS_CELLS;
    }
  return cause;
}

void
fs_split (const struct dc *dc, double weight, double sum[FS_CAUSES])
{
  int32_t idle = 0, firm = 0;

  for (uint32_t i = 0; i < dc->workers.n; i++)
    {
      const struct dc_worker *w = &dc->workers.v[i];
      int32_t rest = w->free.accelerators;
      int32_t held = least (rest, w->held.accelerators);
      int32_t drained = least (rest - held, drained_of (dc, w));
      int32_t kept = least (rest - held - drained, w->drained.accelerators);

      sum[FS_PROMISED] += held * weight;
      sum[FS_DRAINED] += drained * weight;
      sum[FS_KEPT] += kept * weight;
      idle += rest - held - drained - kept;
      firm += w->cap[DC_CAP_FIRM].accelerators;
    }
  sum[cause_of_rest (dc, idle, firm)] += idle * weight;
}
