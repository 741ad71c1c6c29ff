/* Charges gangs to the cells of their account.  */
#include "state.h"

static struct dc_amount
task_size (const struct dc_job *job)
{
  return (struct dc_amount){ job->spec.per_task, 1 };
}

static struct dc_amount
unused_of_part (const struct dc_part *part, bool over_bulk)
{
  return dc_plus (part->size, over_bulk ? part->fixed : part->used, -1);
}

static bool
allocate_on_one_worker (struct dc *dc, const struct dc_cell *c,
                        const struct dc_job *job, bool over_bulk)
{
  for (int32_t i = 0; i < c->parts; i++)
    {
      const struct dc_part *part = pl_at (&dc->parts, c->part + (uint32_t)i);

      if (dc_covers (unused_of_part (part, over_bulk),
                     dc_need (job, job->spec.tasks)))
        return dc_add_allocation (dc, part->worker, job->spec.tasks) == DC_OK;
    }
  return false;
}

/* Leaves in dc->allocations the workers of CELL on which JOB fits.  OVER_BULK
   counts capacity that preemptible bulk work uses as free.  */
bool
dc_charge_allocate (struct dc *dc, uint32_t cell, const struct dc_job *job,
                    enum dc_level level, bool over_bulk)
{
  const struct dc_cell *c = &dc->cells.v[cell];
  int32_t remaining = job->spec.tasks;

  dc->allocations.n = 0;
  if (level == DC_LEVEL_WORKER)
    return allocate_on_one_worker (dc, c, job, over_bulk);
  if (c->level > level)
    return false;
  for (int32_t i = 0; i < c->parts && remaining > 0; i++)
    {
      const struct dc_part *part = pl_at (&dc->parts, c->part + (uint32_t)i);
      int32_t n = dc_tasks_fitting (unused_of_part (part, over_bulk),
                                    task_size (job));

      if (n > remaining)
        n = remaining;
      if (n > 0 && dc_add_allocation (dc, part->worker, n))
        return false;
      remaining -= n;
    }
  return remaining == 0;
}

static int32_t
unused_of_cell (const struct dc *dc, const struct dc_cell *c, bool over_bulk)
{
  int32_t unused = 0;

  for (int32_t i = 0; i < c->parts; i++)
    {
      const struct dc_part *part = pl_at (&dc->parts, c->part + (uint32_t)i);

      unused += unused_of_part (part, over_bulk).accelerators;
    }
  return unused;
}

static bool
includes_failed_worker (const struct dc *dc, const struct dc_job *job)
{
  for (uint32_t i = 0; i < dc->allocations.n; i++)
    if (dc_health_has_failed_on (job, dc->allocations.v[i].worker))
      return true;
  return false;
}

/* Returns the cell of JOB's account with the least unused capacity in which
   JOB fits, or DC_NONE.  Until the retry delay of a failed job ends, cells on
   workers where it failed are skipped.  */
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
      int32_t unused;

      if (c->parts == 0 || c->size < need)
        continue;
      unused = unused_of_cell (dc, c, over_bulk);
      if (unused < need || unused >= least
          || !dc_charge_allocate (dc, id, job, level, over_bulk))
        continue;
      if (includes_failed_worker (dc, job) && dc_retry_must_wait (dc, job))
        continue;
      least = unused;
      best = id;
    }
  return best;
}

static uint32_t
find_job_on (const struct dc *dc, uint32_t cell, uint32_t worker,
             bool bulk_only)
{
  uint32_t t = dc->workers.v[worker].tasks;

  while (t != DC_NONE)
    {
      const struct dc_task *task = pl_at (&dc->tasks, t);

      if (dc->jobs.v[task->job].cell == cell
          && (!bulk_only || dc_is_preemptible_bulk (&dc->jobs.v[task->job])))
        return task->job;
      t = task->next;
    }
  return DC_NONE;
}

/* Removes all gangs from CELL, or only the preemptible bulk ones.  Gangs that
   run keep their places, and pending ones are requeued.  */
void
dc_charge_release (struct dc *dc, uint32_t cell, bool bulk_only)
{
  const struct dc_cell *c = &dc->cells.v[cell];

  for (int32_t i = 0; i < c->parts && c->jobs; i++)
    {
      const struct dc_part *part = pl_at (&dc->parts, c->part + (uint32_t)i);
      uint32_t id;

      while ((id = find_job_on (dc, cell, part->worker, bulk_only)) != DC_NONE)
        {
          const struct dc_job *job = &dc->jobs.v[id];

          if (job->state == DC_PENDING)
            dc_pending_requeue (dc, id);
          else
            dc_gang_set_state (dc, id, job->state,
                               job->spec.preemptible ? DC_USAGE_PREEMPTIBLE
                                                     : DC_USAGE_NONPREEMPTIBLE,
                               DC_NONE);
        }
    }
}
