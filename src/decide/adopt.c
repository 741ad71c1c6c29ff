/* Recovery: takes over a gang that already runs, at its present places.  */
#include "state.h"

static bool
place_is_free (const struct dc *dc, const struct dc_job *job,
               const struct dc_place *place)
{
  const struct dc_worker *w;

  if (place->worker >= dc->workers.n)
    return false;
  w = &dc->workers.v[place->worker];
  return w->joined && w->up
         && __builtin_popcountll (place->accelerators) == job->spec.per_task
         && (place->accelerators & ~w->free_mask) == 0 && w->free.slots > 0;
}

static void
release_places (struct dc *dc, const struct dc_job *job,
                const struct dc_place *place, int32_t count)
{
  for (int32_t i = 0; i < count; i++)
    {
      struct dc_worker *w = &dc->workers.v[place[i].worker];

      w->free_mask |= place[i].accelerators;
      w->free = dc_plus (w->free, dc_need (job, 1), 1);
    }
}

/* Returns whether all places in PLACE are free and no accelerator is listed
   twice.  */
static bool
places_are_free (struct dc *dc, const struct dc_job *job,
                 const struct dc_place *place)
{
  int32_t n = 0;

  for (; n < job->spec.tasks && place_is_free (dc, job, &place[n]); n++)
    {
      struct dc_worker *w = &dc->workers.v[place[n].worker];

      w->free_mask &= ~place[n].accelerators;
      w->free = dc_plus (w->free, dc_need (job, 1), -1);
    }
  release_places (dc, job, place, n);
  return n == job->spec.tasks;
}

static bool
in_one_worker (const struct dc_job *job, const struct dc_place *place)
{
  for (int32_t i = 1; i < job->spec.tasks; i++)
    if (place[i].worker != place[0].worker)
      return false;
  return true;
}

/* Returns a cell of JOB's account to charge the gang to, binding an unused one
   to its worker if necessary, or DC_NONE.  */
static uint32_t
find_cell_at (struct dc *dc, const struct dc_job *job,
              const struct dc_place *place)
{
  uint32_t cell = dc_charge_find (dc, job, DC_LEVEL_WORKER, false);
  uint32_t worker = place[0].worker;

  if (cell == DC_NONE || !in_one_worker (job, place))
    return DC_NONE;
  for (uint32_t id = dc->accounts.v[job->spec.account].cells; id != DC_NONE;
       id = dc->cells.v[id].next)
    if (dc_cell_part (dc, id, worker)
        && dc_charge_allocate (dc, id, job, DC_LEVEL_WORKER, false)
        && dc->allocations.v[0].worker == worker)
      return id;
  if (dc->cells.v[cell].jobs)
    return DC_NONE;
  dc_cell_unbind (dc, cell);
  if (dc_cell_bind_at (dc, cell, worker))
    return cell;
  dc_cell_add_unbound (dc, cell);
  return DC_NONE;
}

static enum dc_usage
usage_of (const struct dc *dc, const struct dc_job *job, uint32_t cell)
{
  if (dc->config.policy != DC_POLICY_DEFAULT)
    return DC_USAGE_PREEMPTIBLE;
  if (cell != DC_NONE)
    return DC_USAGE_GUARANTEED;
  return job->spec.preemptible ? DC_USAGE_PREEMPTIBLE
                               : DC_USAGE_NONPREEMPTIBLE;
}

/* Evicts pending gangs and unused cells that no longer fit beside the adopted
   gang.  */
static void
evict_conflicts (struct dc *dc, const struct dc_job *job,
                 const struct dc_place *place)
{
  for (int32_t i = 0; i < job->spec.tasks; i++)
    {
      const struct dc_worker *w = &dc->workers.v[place[i].worker];
      struct dc_amount idle = dc_plus (w->free, w->reserved, -1);

      if (idle.accelerators < 0 || idle.slots < 0)
        dc_worker_requeue_pending (dc, place[i].worker);
      dc_cell_evict_excess (dc, place[i].worker);
    }
}

int
dc_job_adopt (struct dc *dc, const struct dc_event *e)
{
  uint32_t id = e->u.adopt.job, cell;
  const struct dc_place *place = e->u.adopt.place;
  struct dc_job *job;
  int error;

  if (id >= dc->jobs.n || dc->jobs.v[id].state == DC_UNUSED)
    return DC_ENOENT;
  job = &dc->jobs.v[id];
  if (job->state == DC_PENDING)
    dc_pending_requeue (dc, id);
  if (job->state != DC_QUEUED || e->u.adopt.attempt < 1)
    return DC_EINVAL;
  if (!places_are_free (dc, job, place))
    return DC_EINVAL;
  dc_queue_remove (dc, id);
  cell = dc->config.policy == DC_POLICY_DEFAULT ? find_cell_at (dc, job, place)
                                                : DC_NONE;
  dc->allocations.n = 0;
  for (int32_t i = 0; i < job->spec.tasks; i++)
    if (dc_add_allocation (dc, place[i].worker, 1))
      return DC_ENOMEM;
  error = dc_gang_place (dc, id, usage_of (dc, job, cell), cell);
  if (error)
    return error;
  job->attempt = e->u.adopt.attempt;
  job->adopted = true;
  job->level = DC_LEVEL_DOMAIN; /* not all workers may be known yet */
  dc_gang_adopt (dc, id, place);
  evict_conflicts (dc, job, place);
  return DC_OK;
}
