/* What keeps urgent gangs ahead of bulk ones beside the order of queues.  */
#include "state.h"

/* Whether an urgent gang that the room of bulk JOB could hold is pending.  */
bool
dc_pending_urgent (const struct dc *dc, const struct dc_job *job)
{
  if (job->spec.class == DC_URGENT)
    return false;
  for (uint32_t id = dc->pending; id != DC_NONE;
       id = dc->jobs.v[id].pending_next)
    {
      const struct dc_job_spec *spec = &dc->jobs.v[id].spec;

      if (spec->class == DC_URGENT && dc->jobs.v[id].cell != DC_NONE
          && spec->tasks <= job->spec.tasks
          && spec->per_task <= job->spec.per_task)
        return true;
    }
  return false;
}

/* Whether JOB could start on W now, in room that is kept for soft gangs.  */
static bool
holds_now (const struct dc *dc, const struct dc_worker *w,
           const struct dc_job *job)
{
  struct dc_amount need = dc_need (job, job->spec.tasks);

  if (!dc_worker_open (w) || w->held_back
      || !dc_covers (dc_plus (w->free, w->held, -1), need))
    return false;
  return job->spec.preemptible
         || dc_covers (dc_capacity (dc, w, DC_CAP_UNRESERVED), need);
}

static uint32_t
kept_worker (const struct dc *dc, const struct dc_job *bulk,
             const struct dc_job *job)
{
  for (int32_t i = 0; i < bulk->spec.tasks; i++)
    {
      uint32_t worker = dc_gang_task (dc, bulk, i)->worker;

      if (holds_now (dc, &dc->workers.v[worker], job))
        return worker;
    }
  return DC_NONE;
}

/* Leaves in dc->spots a worker with idle room for urgent JOB that is kept
   for a bulk gang beyond its guarantee.  */
bool
dc_pending_take (struct dc *dc, const struct dc_job *job)
{
  dc->spots.n = 0;
  if (job->spec.class != DC_URGENT
      || dc_level_of (dc, job->spec.tasks, job->spec.per_task)
             != DC_LEVEL_WORKER)
    return false;
  for (uint32_t id = dc->pending; id != DC_NONE;
       id = dc->jobs.v[id].pending_next)
    {
      const struct dc_job *bulk = &dc->jobs.v[id];
      uint32_t worker;

      if (bulk->kind != DC_KIND_SOFT || bulk->spec.class != DC_BULK)
        continue;
      worker = kept_worker (dc, bulk, job);
      if (worker != DC_NONE)
        return dc_add_spot (dc, worker, job->spec.tasks) == DC_OK;
    }
  return false;
}
