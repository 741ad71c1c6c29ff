/* Applies an event of the source to the simulated jobs and workers, then to
   the core.  */
#include <string.h>

#include "replay.h"

static int
apply_worker (struct rp_run *run, const struct tr_worker *worker)
{
  struct rp_worker *w = rp_get_worker (run, worker->id);
  struct dc_event event = { DC_EV_WORKER, run->now_ms };
  int rc;

  event.u.worker.id = worker->id;
  event.u.worker.rack = worker->rack;
  event.u.worker.domain = worker->domain;
  event.u.worker.accelerators = worker->accelerators;
  event.u.worker.slots = worker->slots;
  w->is_known = w->up = 1;
  w->leaving = 0;
  w->accelerators = worker->accelerators;
  rp_agent_update_measures (run, worker->id);
  rc = rp_apply_event (run, &event);
  return rc;
}

static int
apply_worker_state (struct rp_run *run, const struct tr_event *event)
{
  uint32_t id = event->u.worker_id;
  struct rp_worker *w = rp_get_worker (run, id);
  struct dc_event out = { DC_EV_WORKER_LEAVING, run->now_ms };

  out.u.worker_id = id;
  if (event->kind == TR_FAILS_ALL || event->kind == TR_HEALS)
    {
      w->fails_all = event->kind == TR_FAILS_ALL;
      return DC_OK;
    }
  if (!w->up || (event->kind == TR_LEAVING && w->leaving))
    return DC_OK;
  w->leaving = 1;
  if (event->kind == TR_DOWN)
    {
      out.kind = DC_EV_WORKER_DOWN;
      w->up = 0;
      w->incarnation++;
    }
  rp_agent_update_measures (run, id);
  return rp_apply_event (run, &out);
}

static int
apply_plan (struct rp_run *run, const struct tr_plan *plan)
{
  struct dc_event event = { DC_EV_PLAN, run->now_ms };
  int rc;

  event.u.plan.account = plan->account;
  event.u.plan.version = plan->version;
  event.u.plan.shapes = plan->shapes;
  memcpy (event.u.plan.shape, plan->shape, sizeof plan->shape);
  run->current_plan = plan;
  rc = rp_apply_event (run, &event);
  run->current_plan = NULL;
  return rc;
}

static uint32_t
allocate_handle (struct rp_run *run, uint32_t job)
{
  uint32_t handle = run->job_by_handle->len;

  if (run->free_handles->len)
    {
      handle = g_array_index (run->free_handles, uint32_t,
                              run->free_handles->len - 1);
      g_array_set_size (run->free_handles, run->free_handles->len - 1);
      g_array_index (run->job_by_handle, uint32_t, handle) = job;
    }
  else
    g_array_append_val (run->job_by_handle, job);
  return handle;
}

static int
apply_submit (struct rp_run *run, const struct tr_submit *submit)
{
  struct dc_event event = { DC_EV_SUBMIT, run->now_ms };
  const struct dc_job_spec *spec = &submit->spec;
  struct rp_job *job;
  int64_t size = (int64_t)spec->tasks * spec->per_task;

  if (run->jobs->len <= submit->job)
    g_array_set_size (run->jobs, submit->job + 1);
  job = rp_get_job (run, submit->job);
  job->submit = *submit;
  job->handle = allocate_handle (run, submit->job);
  job->submitted_ms = run->now_ms;
  job->remaining_ms = submit->actual_ms;
  job->within_guarantee = tr_measures_fits_guarantee (&run->measures, spec);
  run->unfinished_jobs++;
  if (size <= INT32_MAX)
    rp_agent_enqueue (run, job);
  else
    job->state = RP_ENDED;
  event.u.submit.id = job->handle;
  event.u.submit.spec = *spec;
  return rp_apply_event (run, &event);
}

static int
apply_cancel (struct rp_run *run, uint32_t id)
{
  struct rp_job *job = rp_get_job (run, id);
  struct dc_event event = { DC_EV_CANCEL, run->now_ms };

  if (job->state == RP_ENDED)
    return DC_OK;
  event.u.job = job->handle;
  return rp_apply_event (run, &event);
}

int
rp_apply_source_event (struct rp_run *run, const struct tr_event *event)
{
  switch (event->kind)
    {
    case TR_WORKER:
      return apply_worker (run, &event->u.worker);
    case TR_LEAVING:
    case TR_DOWN:
    case TR_FAILS_ALL:
    case TR_HEALS:
      return apply_worker_state (run, event);
    case TR_PLAN:
      return apply_plan (run, &event->u.plan);
    case TR_SUBMIT:
      return apply_submit (run, &event->u.submit);
    case TR_CANCEL:
      return apply_cancel (run, event->u.job);
    case TR_END:
      return DC_OK;
    }
  return DC_OK;
}
