/* Job lifecycle: submission, cancellation, and the events of its tasks.  */
#include "state.h"

static bool
spec_is_valid (const struct dc_job_spec *spec)
{
  return spec->tasks >= 1 && spec->per_task >= 0
         && (spec->class == DC_URGENT || spec->class == DC_BULK)
         && spec->account < DC_MAX_HANDLE;
}

static bool
is_running (const struct dc_job *job)
{
  return job->state == DC_RUNNING || job->state == DC_CHECKPOINTING;
}

static void
end_job (struct dc *dc, uint32_t id, enum dc_action_kind kind,
         const char *reason)
{
  struct dc_job *job = &dc->jobs.v[id];

  job->state = DC_ENDED;
  dc_add_action (dc, kind, id, job->attempt, reason);
}

int
dc_job_submit (struct dc *dc, const struct dc_event *e)
{
  uint32_t id = e->u.submit.id;
  const struct dc_job_spec *spec = &e->u.submit.spec;
  struct dc_job *job;

  if (!spec_is_valid (spec) || id >= DC_MAX_HANDLE)
    return DC_EINVAL;
  if (DC_GROW (dc, dc->jobs, id) || dc_account_grow (dc, spec->account))
    return DC_ENOMEM;
  job = &dc->jobs.v[id];
  if (job->state != DC_UNUSED && job->state != DC_ENDED)
    return DC_EEXIST;
  dc_health_forget_job (dc, id);
  *job = (struct dc_job){ .submit_ms = dc->now_ms,
                          .spec = *spec,
                          .seq = dc->seq++,
                          .task = DC_NONE,
                          .cell = DC_NONE };
  if (spec->tasks > DC_MAX_TASKS || spec->per_task > DC_MAX_ACCELERATORS
      || dc_level_of (dc, spec->tasks, spec->per_task) == DC_LEVEL_NONE)
    {
      end_job (dc, id, DC_ACT_REFUSED, "larger than the fleet can hold");
      return DC_OK;
    }
  if (spec->class == DC_URGENT)
    dc_learn_urgent_arrival (dc, job);
  return dc_queue_add (dc, id);
}

int
dc_job_cancel (struct dc *dc, uint32_t id)
{
  struct dc_job *job;

  if (id >= dc->jobs.n || dc->jobs.v[id].state == DC_UNUSED)
    return DC_ENOENT;
  job = &dc->jobs.v[id];
  if (job->state == DC_ENDED)
    return DC_OK;
  if (job->state == DC_PENDING)
    dc_pending_requeue (dc, id);
  if (job->state == DC_QUEUED)
    dc_queue_remove (dc, id);
  else
    {
      dc_add_action (dc, DC_ACT_STOP, id, job->attempt, NULL);
      dc_gang_unplace (dc, id);
    }
  end_job (dc, id, DC_ACT_CANCELLED, "cancelled by the caller");
  return DC_OK;
}

/* Returns the job of a task event, or NULL if the event is stale or invalid.
   Sets ERROR.  */
static struct dc_job *
find_job (struct dc *dc, const struct dc_event *e, int *error)
{
  struct dc_job *job;

  *error = DC_OK;
  if (e->u.task.job >= dc->jobs.n
      || dc->jobs.v[e->u.task.job].state == DC_UNUSED)
    {
      *error = DC_ENOENT;
      return NULL;
    }
  job = &dc->jobs.v[e->u.task.job];
  if (!is_running (job) || job->attempt != e->u.task.attempt)
    return NULL;
  if (e->kind == DC_EV_CHECKPOINTED)
    return job;
  if (e->u.task.task >= (uint32_t)job->spec.tasks)
    {
      *error = DC_EINVAL;
      return NULL;
    }
  if (!dc_gang_task (dc, job, (int32_t)e->u.task.task)->active)
    return NULL;
  return job;
}

int
dc_job_task_done (struct dc *dc, const struct dc_event *e)
{
  int error;
  uint32_t id = e->u.task.job;
  struct dc_job *job = find_job (dc, e, &error);
  uint32_t worker;

  if (!job)
    return error;
  worker = dc_gang_task (dc, job, (int32_t)e->u.task.task)->worker;
  dc_gang_end_task (dc, id, (int32_t)e->u.task.task);
  dc_health_task_succeeded (dc, id, worker);
  if (job->tasks_remaining > 0)
    return DC_OK;
  dc_gang_unplace (dc, id);
  dc_learn_completed (dc, job);
  dc->accounts.v[job->spec.account].ended_jobs++;
  end_job (dc, id, DC_ACT_DONE, NULL);
  dc_health_job_succeeded (dc, id);
  return DC_OK;
}

/* Ends the attempt: stops the remaining tasks and frees all places.  */
static void
stop_attempt (struct dc *dc, uint32_t id)
{
  const struct dc_job *job = &dc->jobs.v[id];

  if (job->tasks_remaining > 0)
    dc_add_action (dc, DC_ACT_STOP, id, job->attempt, NULL);
  dc_gang_unplace (dc, id);
}

static void
requeue (struct dc *dc, uint32_t id, const char *reason)
{
  dc_add_action (dc, DC_ACT_REQUEUE, id, dc->jobs.v[id].attempt, reason);
  dc_queue_add (dc, id);
}

/* Handles the loss of a task: the attempt ends, and the job is requeued if it
   is repeatable.  */
void
dc_job_lost (struct dc *dc, uint32_t id, const char *reason)
{
  stop_attempt (dc, id);
  if (dc->jobs.v[id].spec.repeatable)
    requeue (dc, id, reason);
  else
    end_job (dc, id, DC_ACT_UNKNOWN, reason);
}

int
dc_job_task_failed (struct dc *dc, const struct dc_event *e)
{
  int error;
  uint32_t id = e->u.task.job;
  struct dc_job *job = find_job (dc, e, &error);
  uint32_t worker;
  bool give_up;

  if (!job)
    return error;
  worker = dc_gang_task (dc, job, (int32_t)e->u.task.task)->worker;
  dc_gang_end_task (dc, id, (int32_t)e->u.task.task);
  stop_attempt (dc, id);
  give_up = dc_health_task_failed (dc, id, worker) || !job->spec.repeatable;
  if (!give_up)
    {
      requeue (dc, id, "a task failed");
      return DC_OK;
    }
  dc->accounts.v[job->spec.account].ended_jobs++;
  dc->accounts.v[job->spec.account].failed_jobs++;
  end_job (dc, id, DC_ACT_FAILED,
           job->spec.repeatable ? "failed on every worker tried"
                                : "a task failed");
  return DC_OK;
}

int
dc_job_task_lost (struct dc *dc, const struct dc_event *e)
{
  int error;
  const struct dc_job *job = find_job (dc, e, &error);

  if (!job)
    return error;
  dc_gang_end_task (dc, e->u.task.job, (int32_t)e->u.task.task);
  dc_job_lost (dc, e->u.task.job, "a task was lost");
  return DC_OK;
}

int
dc_job_checkpointed (struct dc *dc, const struct dc_event *e)
{
  int error;
  struct dc_job *job = find_job (dc, e, &error);

  if (!job)
    return error;
  if (job->state != DC_CHECKPOINTING)
    return DC_OK;
  job->ran_ms += dc->now_ms - job->start_ms;
  dc_gang_unplace (dc, e->u.task.job);
  return dc_queue_add (dc, e->u.task.job);
}

/* Requeues the pending gangs that have places on WORKER.  */
void
dc_worker_requeue_pending (struct dc *dc, uint32_t worker)
{
  uint32_t t = dc->workers.v[worker].tasks;

  while (t != DC_NONE)
    {
      const struct dc_task *task = pl_at (&dc->tasks, t);

      t = task->next;
      if (dc->jobs.v[task->job].state != DC_PENDING)
        continue;
      dc_pending_requeue (dc, task->job);
      t = dc->workers.v[worker].tasks;
    }
}

/* Handles the loss of all tasks on WORKER.  */
void
dc_worker_lost (struct dc *dc, uint32_t worker)
{
  dc_worker_requeue_pending (dc, worker);
  while (dc->workers.v[worker].tasks != DC_NONE)
    {
      uint32_t first = dc->workers.v[worker].tasks;
      uint32_t id = ((struct dc_task *)pl_at (&dc->tasks, first))->job;
      struct dc_job *job = &dc->jobs.v[id];

      for (int32_t i = 0; i < job->spec.tasks; i++)
        {
          const struct dc_task *t = dc_gang_task (dc, job, i);

          if (t->active && t->worker == worker)
            dc_gang_end_task (dc, id, i);
        }
      dc_job_lost (dc, id, "worker lost");
    }
}

/* Stops new starts on WORKER, unbinds its cells and requeues its pending
   gangs.  */
void
dc_worker_cordon (struct dc *dc, uint32_t worker)
{
  dc_worker_requeue_pending (dc, worker);
  dc_cell_evict (dc, worker);
  dc_fleet_refresh (dc, worker);
}
