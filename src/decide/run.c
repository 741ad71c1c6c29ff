/* Makes all decisions that are possible at one instant.  */
#include "state.h"

enum
{
  /* A blocked gang that has been queued for longer drains a place.  */
  AGE_LIMIT_MS = 300000,
  /* A preemptible gang pending for longer is requeued: others took its
     capacity.  */
  PENDING_TIMEOUT_MS = 3000,
  /* A gang that drains a place for longer is requeued.  */
  DRAIN_TIMEOUT_MS = 600000,
  /* No preemption is planned for blocked gangs while there are this many
     pending gangs of DC_USAGE_PREEMPTIBLE.  */
  MAX_PREEMPTIBLE_PENDING = 16,
  /* Gangs for which one run plans preemption, or a drain.  */
  MAX_PLANS_PER_RUN = 4
};

static bool
head_before (const struct dc *dc, uint32_t a, uint32_t b)
{
  const struct dc_job *x = &dc->jobs.v[a], *y = &dc->jobs.v[b];

  if (x->spec.class != y->spec.class)
    return x->spec.class < y->spec.class;
  if (x->sort_key != y->sort_key)
    return x->sort_key < y->sort_key;
  return x->seq < y->seq;
}

/* Returns a cell for JOB or DC_NONE.  For an urgent job the cell may be in use
   by preemptible bulk work of the account.  */
static uint32_t
find_cell (struct dc *dc, const struct dc_job *job)
{
  enum dc_level level = dc_level_of (dc, job->spec.tasks, job->spec.per_task);
  uint32_t cell = dc_charge_find (dc, job, level, false);

  if (cell == DC_NONE && job->spec.class == DC_URGENT)
    cell = dc_charge_find (dc, job, level, true);
  return cell;
}

/* Returns the first queued job of ACCOUNT and CLASS that fits one of its
   cells, and sets CELL.  */
static uint32_t
next_guaranteed (struct dc *dc, uint32_t account, enum dc_class class,
                 uint32_t *cell)
{
  uint32_t best = DC_NONE;

  for (uint32_t i = dc->accounts.v[account].queues; i != DC_NONE;
       i = dc->account_queues.v[i].next)
    {
      const struct dc_account_queue *account_queue = &dc->account_queues.v[i];
      const struct dc_job *job;
      uint32_t found;

      if (account_queue->jobs.n == 0
          || dc->queues.v[account_queue->queue].class != class)
        continue;
      job = &dc->jobs.v[account_queue->jobs.v[0]];
      if (best != DC_NONE && !head_before (dc, account_queue->jobs.v[0], best))
        continue;
      found = find_cell (dc, job);
      while (found == DC_NONE && dc_queue_defer (dc, account_queue->jobs.v[0]))
        {
          job = &dc->jobs.v[account_queue->jobs.v[0]];
          found = find_cell (dc, job);
        }
      if (found == DC_NONE)
        continue;
      best = account_queue->jobs.v[0];
      *cell = found;
    }
  return best;
}

static int
place_guaranteed (struct dc *dc, uint32_t account, enum dc_class class)
{
  uint32_t cell = DC_NONE, id;
  int error = DC_OK;

  while (!error
         && (id = next_guaranteed (dc, account, class, &cell)) != DC_NONE)
    error = dc_place_in_cell (dc, id, cell);
  return error;
}

/* Places queued jobs within the guarantees of their accounts, urgent ones of
   all accounts first.  */
static int
run_guaranteed (struct dc *dc)
{
  int error = DC_OK;

  for (uint32_t i = 0; i < dc->dirty_accounts.n && !error; i++)
    error = place_guaranteed (dc, dc->dirty_accounts.v[i], DC_URGENT);
  for (uint32_t i = 0; i < dc->dirty_accounts.n && !error; i++)
    {
      uint32_t account = dc->dirty_accounts.v[i];

      dc->accounts.v[account].dirty = false;
      error = place_guaranteed (dc, account, DC_URGENT);
      if (!error)
        error = place_guaranteed (dc, account, DC_BULK);
      dc_promote (dc, account);
    }
  dc->dirty_accounts.n = 0;
  return error;
}

/* Places the queued jobs that fit, of the classes up to LAST.  */
static int
run_queues (struct dc *dc, enum dc_class last)
{
  while (dc->queue_order.n > 0
         && dc->queues.v[dc->queue_order.v[0]].class <= last)
    {
      uint32_t queue = dc->queue_order.v[0];
      uint32_t id = dc->queues.v[queue].jobs.v[0];
      bool done;
      int error = dc->config.policy == DC_POLICY_DEFAULT
                      ? dc_place_default (dc, id, &done)
                      : dc_place_baseline (dc, id, &done);

      if (error)
        return error;
      if (done)
        continue;
      if (dc->config.policy == DC_POLICY_FIFO_FIRST_FIT)
        return DC_OK;
      dc_queue_block (dc, queue);
    }
  return DC_OK;
}

/* Preempts work for blocked gangs that fit the idle accelerators by number,
   but not in one place.  */
static int
run_blocked (struct dc *dc)
{
  int plans = 0;

  for (uint32_t i = 0;
       i < dc->blocked.n && dc->preemptible_pending < MAX_PREEMPTIBLE_PENDING
       && plans < MAX_PLANS_PER_RUN;
       i++)
    {
      const struct dc_queue *q = &dc->queues.v[dc->blocked.v[i]];
      bool done;
      int error;

      if (q->jobs.n == 0 || q->tasks * q->per_task == 0
          || !dc_place_leaves_reserve (dc, q->tasks * q->per_task))
        continue;
      plans++;
      error = dc_place_by_preemption (dc, q->jobs.v[0], &done);
      if (error)
        return error;
    }
  return DC_OK;
}

/* Returns the blocked gang that was queued first, of those queued after
   AFTER_MS and beyond the age limit, or DC_NONE.  */
static uint32_t
oldest_over_age_limit (const struct dc *dc, int64_t after_ms)
{
  uint32_t oldest = DC_NONE;
  int64_t since = dc->now_ms - AGE_LIMIT_MS;

  for (uint32_t i = 0; i < dc->blocked.n; i++)
    {
      const struct dc_queue *q = &dc->queues.v[dc->blocked.v[i]];
      const struct dc_job *job;

      if (q->jobs.n == 0)
        continue;
      job = &dc->jobs.v[q->jobs.v[0]];
      if (job->queued_ms >= since || job->queued_ms <= after_ms)
        continue;
      since = job->queued_ms;
      oldest = q->jobs.v[0];
    }
  return oldest;
}

/* Leaves in dc->allocations places to drain for the oldest gang beyond the age
   limit that has such places.  Returns the gang, or DC_NONE if none of those
   tried has.  */
static uint32_t
plan_drain (struct dc *dc)
{
  int64_t after_ms = -1;

  for (int tries = 0; tries < MAX_PLANS_PER_RUN; tries++)
    {
      uint32_t id = oldest_over_age_limit (dc, after_ms);
      const struct dc_job *job;

      if (id == DC_NONE)
        return DC_NONE;
      job = &dc->jobs.v[id];
      if (dc_preempt_plan (
              dc, job, dc_level_of (dc, job->spec.tasks, job->spec.per_task),
              true)
          >= 0)
        return id;
      after_ms = job->queued_ms;
    }
  return DC_NONE;
}

/* Drains a place for the oldest gang beyond the age limit: no new work starts
   there until the present work has ended.  */
static int
run_drain (struct dc *dc)
{
  uint32_t id;
  int error;

  if (dc->draining > 0)
    return DC_OK;
  id = plan_drain (dc);
  if (id == DC_NONE)
    return DC_OK;
  dc_queue_remove (dc, id);
  error = dc_gang_place (dc, id, DC_USAGE_PREEMPTIBLE, DC_NONE);
  if (error)
    return error;
  dc->jobs.v[id].draining = true;
  dc->draining++;
  dc_pending_add (dc, id);
  return DC_OK;
}

/* Returns when a pending gang gives up its places or, if it yields to urgent
   ones, when it starts nonetheless.  INT64_MAX if neither applies.  */
static int64_t
pending_deadline_ms (const struct dc_job *job)
{
  if (job->yielding)
    return job->pending_ms + DC_CHECKPOINT_MS;
  if (job->usage != DC_USAGE_PREEMPTIBLE)
    return INT64_MAX;
  return job->pending_ms
         + (job->draining ? DRAIN_TIMEOUT_MS : PENDING_TIMEOUT_MS);
}

/* Requeues pending gangs whose timeout ended because others took their
   capacity or their places did not drain, and lets gangs start that have
   yielded to urgent ones for long enough.  */
static void
run_pending_timeouts (struct dc *dc)
{
  uint32_t id = dc->pending_head;
  bool yield_expired = false;

  while (id != DC_NONE)
    {
      struct dc_job *job = &dc->jobs.v[id];
      uint32_t next = job->pending_next;
      bool expired = dc->now_ms >= pending_deadline_ms (job);

      if (expired && job->yielding)
        {
          yield_expired = true;
          job->yielding = false;
        }
      else if (expired)
        dc_pending_requeue (dc, id);
      id = next;
    }
  if (yield_expired)
    dc_pending_start_reserved (dc);
}

/* Starts one repeatable job on each worker on probation.  */
static int
run_probes (struct dc *dc)
{
  for (uint32_t i = 0; i < dc->watched.n; i++)
    {
      uint32_t id = dc->watched.v[i];
      const struct dc_worker *w = &dc->workers.v[id];

      if (w->health != DC_PROBATION || w->probing || w->failed_jobs > 0
          || !w->up || w->leaving || w->tasks != DC_NONE)
        continue;
      for (uint32_t q = 0; q < dc->queue_order.n; q++)
        {
          uint32_t job = dc->queues.v[dc->queue_order.v[q]].jobs.v[0];
          const struct dc_job *j = &dc->jobs.v[job];

          if (!j->spec.repeatable || !j->spec.preemptible || j->failures
              || dc_urgent_is_pending (dc, j)
              || !dc_covers (w->free, dc_need (j, j->spec.tasks)))
            continue;
          dc->allocations.n = 0;
          if (dc_add_allocation (dc, id, j->spec.tasks))
            return DC_ENOMEM;
          dc->workers.v[id].probing = true;
          if (dc_place_start (dc, job, DC_USAGE_PREEMPTIBLE, DC_NONE))
            return DC_ENOMEM;
          break;
        }
    }
  return DC_OK;
}

int
dc_run (struct dc *dc)
{
  int error = DC_OK;
  bool was_freed;

  dc_health_tick (dc);
  if (dc->rebind_needed || (dc->capacity_freed && dc->unbound.n > 0))
    {
      dc->rebind_needed = false;
      dc_cell_rebind_all (dc);
    }
  if (dc->retry_ms >= 0 && dc->retry_ms <= dc->now_ms)
    {
      dc->retry_ms = -1;
      dc->capacity_freed = true;
      for (uint32_t i = 0; i < dc->accounts.n; i++)
        dc_account_mark_dirty (dc, i);
    }
  was_freed = dc->capacity_freed;
  if (was_freed)
    {
      dc->capacity_freed = false;
      dc_pending_start_reserved (dc);
      error = dc_place_pending (dc);
      if (error)
        return error;
      dc_queue_unblock_all (dc);
    }
  if (dc->config.policy == DC_POLICY_DEFAULT)
    {
      run_pending_timeouts (dc);
      error = run_guaranteed (dc);
    }
  if (!error)
    error = run_probes (dc);
  if (!error && dc->config.policy == DC_POLICY_DEFAULT)
    error = run_queues (dc, DC_URGENT);
  /* These gangs come last because a queued urgent one would preempt them at
     once.  */
  if (!error && was_freed)
    dc_pending_start_tentative (dc);
  if (!error)
    error = run_queues (dc, DC_BULK);
  if (!error && dc->config.policy == DC_POLICY_DEFAULT)
    error = run_blocked (dc);
  if (!error && dc->config.policy == DC_POLICY_DEFAULT)
    error = run_drain (dc);
  return error;
}

int64_t
dc_run_next_ms (const struct dc *dc)
{
  int64_t next = dc_health_next_ms (dc);

  if (dc->retry_ms >= 0 && (next < 0 || dc->retry_ms < next))
    next = dc->retry_ms;
  for (uint32_t id = dc->pending_head; id != DC_NONE;
       id = dc->jobs.v[id].pending_next)
    {
      int64_t at = pending_deadline_ms (&dc->jobs.v[id]);

      if (at < INT64_MAX && (next < 0 || at < next))
        next = at;
    }
  return next;
}
