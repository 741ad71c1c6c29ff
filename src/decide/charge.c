/* Charges gangs to the cells of their account.  */
#include "state.h"

static struct dc_amount
unit_of (const struct dc_job *job)
{
  return (struct dc_amount){ job->spec.per_task, 1 };
}

static struct dc_amount
rest_of (const struct dc_part *part, bool over_bulk)
{
  return dc_plus (part->size, over_bulk ? part->firm : part->used, -1);
}

static bool
spots_in_one (struct dc *dc, const struct dc_cell *c, const struct dc_job *job,
              bool over_bulk)
{
  for (int32_t i = 0; i < c->parts; i++)
    {
      const struct dc_part *part = pl_at (&dc->parts, c->part + (uint32_t)i);

      if (dc_covers (rest_of (part, over_bulk),
                     dc_need (job, job->spec.tasks)))
        return dc_add_spot (dc, part->worker, job->spec.tasks) == DC_OK;
    }
  return false;
}

/* Leaves in dc->spots the workers of CELL on which JOB fits, with OVER_BULK
   as if preemptible bulk work in it were gone.  */
bool
dc_charge_spots (struct dc *dc, uint32_t cell, const struct dc_job *job,
                 enum dc_level level, bool over_bulk)
{
  const struct dc_cell *c = &dc->cells.v[cell];
  int32_t left = job->spec.tasks;

  dc->spots.n = 0;
  if (level == DC_LEVEL_WORKER)
    return spots_in_one (dc, c, job, over_bulk);
  if (c->level > level)
    return false;
  for (int32_t i = 0; i < c->parts && left > 0; i++)
    {
      const struct dc_part *part = pl_at (&dc->parts, c->part + (uint32_t)i);
      int32_t n = dc_tasks_in (rest_of (part, over_bulk), unit_of (job));

      if (n > left)
        n = left;
      if (n > 0 && dc_add_spot (dc, part->worker, n))
        return false;
      left -= n;
    }
  return left == 0;
}

static int32_t
rest_of_cell (const struct dc *dc, const struct dc_cell *c, bool over_bulk)
{
  int32_t rest = 0;

  for (int32_t i = 0; i < c->parts; i++)
    {
      const struct dc_part *part = pl_at (&dc->parts, c->part + (uint32_t)i);

      rest += rest_of (part, over_bulk).accelerators;
    }
  return rest;
}

static bool
spots_failed (const struct dc *dc, const struct dc_job *job)
{
  for (uint32_t i = 0; i < dc->spots.n; i++)
    if (dc_health_failed_on (job, dc->spots.v[i].worker))
      return true;
  return false;
}

/* The cell of JOB's account with the least room in which it fits, for a while
   only where it has not failed before; DC_NONE if it fits none.  */
uint32_t
dc_charge_find (struct dc *dc, const struct dc_job *job, enum dc_level level,
                bool over_bulk)
{
  uint32_t best = DC_NONE;
  int32_t need = job->spec.tasks * job->spec.per_task, least = INT32_MAX;

  if (job->spec.per_task == 0)
    return DC_NONE;
  for (uint32_t id = dc->accounts.v[job->spec.account].cells; id != DC_NONE;
       id = dc->cells.v[id].next)
    {
      const struct dc_cell *c = &dc->cells.v[id];
      int32_t rest;

      if (c->parts == 0 || c->size < need)
        continue;
      rest = rest_of_cell (dc, c, over_bulk);
      if (rest < need || rest >= least
          || !dc_charge_spots (dc, id, job, level, over_bulk))
        continue;
      if (spots_failed (dc, job) && dc_retry_later (dc, job))
        continue;
      least = rest;
      best = id;
    }
  return best;
}

static uint32_t
job_on (const struct dc *dc, uint32_t cell, uint32_t worker, bool bulk_only)
{
  uint32_t t = dc->workers.v[worker].tasks;

  while (t != DC_NONE)
    {
      const struct dc_task *task = pl_at (&dc->tasks, t);

      if (dc->jobs.v[task->job].cell == cell
          && (!bulk_only || dc_gives_way (&dc->jobs.v[task->job])))
        return task->job;
      t = task->next;
    }
  return DC_NONE;
}

/* Frees CELL of its gangs, or of the preemptible bulk ones.  Those that run
   keep their places.  */
void
dc_charge_release (struct dc *dc, uint32_t cell, bool bulk_only)
{
  const struct dc_cell *c = &dc->cells.v[cell];

  for (int32_t i = 0; i < c->parts && c->jobs; i++)
    {
      const struct dc_part *part = pl_at (&dc->parts, c->part + (uint32_t)i);
      uint32_t id;

      while ((id = job_on (dc, cell, part->worker, bulk_only)) != DC_NONE)
        {
          const struct dc_job *job = &dc->jobs.v[id];

          if (job->state == DC_PENDING)
            dc_pending_drop (dc, id);
          else
            dc_gang_set (dc, id, job->state,
                         job->spec.preemptible ? DC_KIND_SOFT : DC_KIND_HARD,
                         DC_NONE);
        }
    }
}
