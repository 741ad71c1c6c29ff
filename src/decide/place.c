/* Places one gang: in a cell of its account, in idle capacity, or in capacity
   that preemption frees.  */
#include "state.h"

enum
{
  /* Bulk work that has waited for longer may use the urgent reserve.  */
  RESERVE_HONORED_MS = 30000,
  /* A failed job first waits this long for a worker on which it has not
     failed. The wait doubles with each further failure up to RETRY_MAX_MS.  */
  RETRY_MS = 10000,
  RETRY_MAX_MS = 60000
};

static struct dc_request
request_of (const struct dc *dc, const struct dc_job *job, bool avoid)
{
  return (struct dc_request){ .tasks = job->spec.tasks,
                              .unit = { job->spec.per_task, 1 },
                              .level = dc_level_of (dc, job->spec.tasks,
                                                    job->spec.per_task),
                              .avoid = job->failed_on,
                              .avoid_count = avoid ? job->failures : 0 };
}

static void
schedule_retry (struct dc *dc, int64_t at_ms)
{
  if (dc->retry_ms < 0 || at_ms < dc->retry_ms)
    dc->retry_ms = at_ms;
}

/* Returns how many ms JOB waits after a failure for a worker on which it has
   not failed.  */
int64_t
dc_retry_delay (const struct dc_job *job)
{
  int64_t delay = RETRY_MS;

  for (int i = 1; i < job->failed_starts && delay < RETRY_MAX_MS; i++)
    delay *= 2;
  return delay < RETRY_MAX_MS ? delay : RETRY_MAX_MS;
}

/* Returns whether JOB still waits for a worker on which it has not failed, and
   schedules the next search if so.  */
bool
dc_retry_must_wait (struct dc *dc, const struct dc_job *job)
{
  int64_t retry = job->queued_ms + dc_retry_delay (job);

  if (retry <= dc->now_ms)
    return false;
  schedule_retry (dc, retry);
  return true;
}

/* Searches capacity for JOB, on workers where it failed only after the retry
   delay.  */
static bool
search_for_job (struct dc *dc, const struct dc_job *job, enum dc_capacity cap)
{
  struct dc_request request = request_of (dc, job, true);

  if (dc_search (dc, &request, cap))
    return true;
  if (job->failures == 0 || dc_retry_must_wait (dc, job))
    return false;
  request.avoid_count = 0;
  return dc_search (dc, &request, cap);
}

int
dc_place_start (struct dc *dc, uint32_t id, enum dc_usage usage, uint32_t cell)
{
  int error;

  dc_queue_remove (dc, id);
  error = dc_gang_place (dc, id, usage, cell);
  if (!error)
    dc_gang_start (dc, id);
  return error;
}

/* Makes JOB pending at the places in dc->allocations and preempts what is in
   their way.  */
static int
make_pending (struct dc *dc, uint32_t id, enum dc_usage usage, uint32_t cell)
{
  int error;

  dc_queue_remove (dc, id);
  error = dc_gang_place (dc, id, usage, cell);
  if (error)
    return error;
  dc_pending_add (dc, id);
  dc->jobs.v[id].yielding = dc_pending_must_yield (dc, &dc->jobs.v[id]);
  dc_pending_preempt (dc, id);
  return DC_OK;
}

/* Returns whether dc->allocations takes only idle capacity.  */
bool
dc_allocation_is_idle (const struct dc *dc, const struct dc_job *job)
{
  for (uint32_t i = 0; i < dc->allocations.n; i++)
    {
      const struct dc_worker *w = &dc->workers.v[dc->allocations.v[i].worker];

      if (!dc_covers (dc_plus (w->free, w->reserved, -1),
                      dc_need (job, dc->allocations.v[i].tasks)))
        return false;
    }
  return true;
}

/* Moves CELL to a worker on which JOB can start at once.  Returns false if
   there is none.  */
static bool
move_cell_to_idle (struct dc *dc, uint32_t cell, const struct dc_job *job,
                   enum dc_level level)
{
  if (level != DC_LEVEL_WORKER)
    return false;
  if (job->failures == 0 && dc_cell_move_to_idle (dc, cell)
      && dc_charge_allocate (dc, cell, job, level, false)
      && dc_allocation_is_idle (dc, job))
    return true;
  return search_for_job (dc, job, DC_CAP_IDLE)
         && dc_cell_exchange (dc, cell, dc->allocations.v[0].worker)
         && dc_charge_allocate (dc, cell, job, level, false)
         && dc_allocation_is_idle (dc, job);
}

static enum dc_usage
usage_in (const struct dc_job *job, uint32_t cell)
{
  if (cell != DC_NONE)
    return DC_USAGE_GUARANTEED;
  return job->spec.preemptible ? DC_USAGE_PREEMPTIBLE
                               : DC_USAGE_NONPREEMPTIBLE;
}

int
dc_place_in_cell (struct dc *dc, uint32_t id, uint32_t cell)
{
  const struct dc_job *job = &dc->jobs.v[id];
  uint32_t other;
  bool wait = dc_urgent_is_pending (dc, job);
  enum dc_level level = dc_level_of (dc, job->spec.tasks, job->spec.per_task);

  if (!dc_charge_allocate (dc, cell, job, level, false))
    {
      dc_charge_release (dc, cell, true);
      if (!dc_charge_allocate (dc, cell, job, level, false))
        return DC_EINVARIANT;
    }
  if (dc_allocation_is_idle (dc, job)
      || move_cell_to_idle (dc, cell, job, level))
    return wait ? make_pending (dc, id, DC_USAGE_GUARANTEED, cell)
                : dc_place_start (dc, id, DC_USAGE_GUARANTEED, cell);
  if (!wait
      && search_for_job (dc, job,
                         job->spec.preemptible ? DC_CAP_IDLE
                                               : DC_CAP_IDLE_OUTSIDE_CELLS))
    return dc_place_start (dc, id, usage_in (job, DC_NONE), DC_NONE);
  if (dc_urgent_place_now (dc, job, &other))
    return dc_place_start (dc, id, usage_in (job, other), other);
  if (!dc_charge_allocate (dc, cell, job, level, false))
    return DC_EINVARIANT;
  return make_pending (dc, id, DC_USAGE_GUARANTEED, cell);
}

/* Preempts work for a job outside the guarantee.  Sets DONE if a place for it
   was found.  */
int
dc_place_by_preemption (struct dc *dc, uint32_t id, bool *done)
{
  const struct dc_job *job = &dc->jobs.v[id];
  bool nonpreemptible = !job->spec.preemptible;
  int32_t cost;

  *done = false;
  if (job->spec.class == DC_URGENT && nonpreemptible)
    {
      *done = search_for_job (dc, job, DC_CAP_OUTSIDE_CELLS);
      return *done ? make_pending (dc, id, DC_USAGE_NONPREEMPTIBLE, DC_NONE)
                   : DC_OK;
    }
  cost = dc_preempt_plan (
      dc, job, dc_level_of (dc, job->spec.tasks, job->spec.per_task), false);
  *done = cost >= 0;
  return *done ? make_pending (dc, id,
                               nonpreemptible ? DC_USAGE_NONPREEMPTIBLE
                                              : DC_USAGE_PREEMPTIBLE,
                               DC_NONE)
               : DC_OK;
}

static int32_t
idle_accelerators (const struct dc *dc)
{
  int32_t n = 0;

  for (uint32_t d = 0; d < dc->domains.n; d++)
    n += dc->domains.v[d].available[DC_CAP_IDLE].accelerators;
  return n;
}

/* Returns whether N idle accelerators can be given to bulk work without using
   what urgent arrivals of the next checkpoint are expected to need.  */
bool
dc_place_leaves_reserve (const struct dc *dc, int32_t n)
{
  return n == 0 || idle_accelerators (dc) - n >= dc_learn_reserve (dc);
}

/* Returns whether JOB must leave the urgent reserve alone, which bulk work
   does until it has waited for RESERVE_HONORED_MS.  The reserve decays without
   an event, so this schedules another search.  */
static bool
must_leave_reserve (struct dc *dc, const struct dc_job *job)
{
  if (job->spec.class != DC_BULK
      || dc->now_ms - job->submit_ms >= RESERVE_HONORED_MS
      || dc_place_leaves_reserve (dc, job->spec.tasks * job->spec.per_task))
    return false;
  schedule_retry (dc, dc->now_ms + DC_CHECKPOINT_MS);
  return true;
}

int
dc_place_default (struct dc *dc, uint32_t id, bool *done)
{
  const struct dc_job *job = &dc->jobs.v[id];
  bool nonpreemptible = !job->spec.preemptible;
  int error = DC_OK;

  *done = false;
  if (dc_urgent_is_pending (dc, job) || must_leave_reserve (dc, job))
    return DC_OK;
  *done = true;
  if (search_for_job (
          dc, job, nonpreemptible ? DC_CAP_IDLE_OUTSIDE_CELLS : DC_CAP_IDLE))
    return dc_place_start (dc, id,
                           nonpreemptible ? DC_USAGE_NONPREEMPTIBLE
                                          : DC_USAGE_PREEMPTIBLE,
                           DC_NONE);
  *done = false;
  if (job->spec.class == DC_URGENT && nonpreemptible)
    error = dc_place_by_preemption (dc, id, done);
  if (!error && !*done)
    *done = dc_queue_defer (dc, id);
  return error;
}

int
dc_place_baseline (struct dc *dc, uint32_t id, bool *done)
{
  const struct dc_job *job = &dc->jobs.v[id];

  if (dc->config.policy == DC_POLICY_FIFO_FIRST_FIT)
    {
      struct dc_request request = request_of (dc, job, true);

      *done = dc_search_first (dc, &request);
    }
  else
    *done = search_for_job (dc, job, DC_CAP_IDLE);
  return *done ? dc_place_start (dc, id, DC_USAGE_PREEMPTIBLE, DC_NONE)
               : DC_OK;
}

static uint32_t
worker_of_cell (const struct dc *dc, uint32_t cell)
{
  return ((struct dc_part *)pl_at (&dc->parts, dc->cells.v[cell].part))
      ->worker;
}

/* Starts a pending gang in capacity that became idle, or leaves it pending,
   in the place that is being freed for it if possible.  */
static int
try_idle (struct dc *dc, uint32_t id)
{
  const struct dc_job *job = &dc->jobs.v[id];
  uint32_t own_cell = job->cell, cell = own_cell;
  uint32_t worker = dc_gang_task (dc, job, 0)->worker;
  bool found;
  int error;

  dc_gang_unplace (dc, id);
  found = (dc->cells.v[own_cell].jobs == 0 && dc->cells.v[own_cell].parts == 1
           && move_cell_to_idle (dc, own_cell, job, DC_LEVEL_WORKER))
          || dc_urgent_place_now (dc, job, &cell);
  if (!found)
    {
      /* The search may have moved the cell away.  */
      if (dc->cells.v[own_cell].parts == 1
          && worker_of_cell (dc, own_cell) != worker)
        dc_cell_exchange (dc, own_cell, worker);
      dc_charge_allocate (dc, own_cell, job, DC_LEVEL_WORKER, false);
    }
  error = dc_gang_place (dc, id, usage_in (job, cell), cell);
  if (error)
    return error;
  if (!found)
    {
      dc_pending_preempt (dc, id);
      return DC_OK;
    }
  dc->preemptible_pending += job->usage == DC_USAGE_PREEMPTIBLE;
  dc_pending_unlink (dc, id);
  dc_gang_start (dc, id);
  return DC_OK;
}

/* Starts urgent gangs that wait for a checkpoint in capacity that became
   idle.  */
int
dc_place_pending (struct dc *dc)
{
  uint32_t id = dc->pending_head, running = dc->running_jobs;
  int error = DC_OK;

  while (id != DC_NONE && !error)
    {
      const struct dc_job *job = &dc->jobs.v[id];
      uint32_t next = job->pending_next;

      if (job->spec.class == DC_URGENT && job->cell != DC_NONE
          && job->level == DC_LEVEL_WORKER
          && search_for_job (dc, job, DC_CAP_IDLE))
        error = try_idle (dc, id);
      id = next;
    }
  if (dc->running_jobs != running)
    dc_pending_start_reserved (dc);
  return error;
}
