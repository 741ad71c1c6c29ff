/* Precedence of urgent gangs over bulk ones, in addition to the queue
   order.  */
#include "state.h"

enum
{
  MAX_IDLE_TRIED = 16, /* idle workers considered */
  MAX_CELLS_TRIED = 8  /* unused cells considered */
};

/* Returns whether an urgent gang is pending that fits the places of bulk JOB.
   JOB does not start while that is so.  */
bool
dc_urgent_is_pending (const struct dc *dc, const struct dc_job *job)
{
  if (job->spec.class == DC_URGENT)
    return false;
  for (uint32_t id = dc->pending_head; id != DC_NONE;
       id = dc->jobs.v[id].pending_next)
    {
      const struct dc_job_spec *spec = &dc->jobs.v[id].spec;

      if (spec->class == DC_URGENT
          && dc->jobs.v[id].usage != DC_USAGE_PREEMPTIBLE
          && spec->tasks <= job->spec.tasks
          && spec->per_task <= job->spec.per_task)
        return true;
    }
  return false;
}

/* Returns whether pending bulk JOB, whose capacity is reserved, leaves its
   places idle because an urgent gang that fits them is pending.  This ends
   once JOB has been pending for one checkpoint.  */
bool
dc_pending_must_yield (const struct dc *dc, const struct dc_job *job)
{
  return job->usage != DC_USAGE_PREEMPTIBLE
         && dc->now_ms - job->pending_ms < DC_CHECKPOINT_MS
         && dc_urgent_is_pending (dc, job);
}

/* Returns the first urgent gang of JOB's account and shape that is pending in
   a cell, provided that JOB is a bulk gang charged to a cell, or DC_NONE.  */
uint32_t
dc_urgent_same_shape (const struct dc *dc, const struct dc_job *job)
{
  uint32_t id = dc->pending_head;

  if (job->spec.class != DC_BULK || job->usage != DC_USAGE_GUARANTEED)
    return DC_NONE;
  for (; id != DC_NONE; id = dc->jobs.v[id].pending_next)
    {
      const struct dc_job *other = &dc->jobs.v[id];

      if (other->spec.class == DC_URGENT && other->usage == DC_USAGE_GUARANTEED
          && other->spec.account == job->spec.account
          && other->spec.tasks == job->spec.tasks
          && other->spec.per_task == job->spec.per_task)
        return id;
    }
  return DC_NONE;
}

/* Returns whether JOB can start on W now, counting capacity that is only
   tentatively reserved as free.  */
static bool
fits_now (const struct dc *dc, const struct dc_worker *w,
          const struct dc_job *job)
{
  struct dc_amount need = dc_need (job, job->spec.tasks);

  if (!dc_worker_schedulable (w) || w->restricted
      || !dc_covers (dc_plus (w->free, w->reserved, -1), need))
    return false;
  return job->spec.preemptible
         || dc_covers (dc_capacity (dc, w, DC_CAP_OUTSIDE_CELLS), need);
}

static uint32_t
tentative_worker_for (const struct dc *dc, const struct dc_job *bulk,
                      const struct dc_job *job)
{
  for (int32_t i = 0; i < bulk->spec.tasks; i++)
    {
      uint32_t worker = dc_gang_task (dc, bulk, i)->worker;

      if (fits_now (dc, &dc->workers.v[worker], job))
        return worker;
    }
  return DC_NONE;
}

/* Leaves in dc->allocations a worker whose idle capacity is tentatively
   reserved for a bulk gang and holds urgent JOB.  Returns false if there is
   none.  */
static bool
use_tentative (struct dc *dc, const struct dc_job *job)
{
  dc->allocations.n = 0;
  if (job->spec.class != DC_URGENT
      || dc_level_of (dc, job->spec.tasks, job->spec.per_task)
             != DC_LEVEL_WORKER)
    return false;
  for (uint32_t id = dc->pending_head; id != DC_NONE;
       id = dc->jobs.v[id].pending_next)
    {
      const struct dc_job *bulk = &dc->jobs.v[id];
      uint32_t worker;

      if (bulk->usage != DC_USAGE_PREEMPTIBLE || bulk->spec.class != DC_BULK)
        continue;
      worker = tentative_worker_for (dc, bulk, job);
      if (worker != DC_NONE)
        return dc_add_allocation (dc, worker, job->spec.tasks) == DC_OK;
    }
  return false;
}

/* Stores in FOUND the workers whose idle capacity holds JOB, in order of
   increasing capacity, and returns their number.  */
static int
idle_workers (const struct dc *dc, const struct dc_job *job,
              uint32_t found[MAX_IDLE_TRIED])
{
  const struct dc_index *index = dc->index[DC_CAP_IDLE];
  struct dc_amount need = dc_need (job, job->spec.tasks);
  int n = 0;

  for (int row = need.accelerators; row < DC_SIZES; row++)
    for (int word = 0; word < 2; word++)
      for (uint64_t bits = index->nonempty[row][word]; bits; bits &= bits - 1)
        {
          uint32_t id = index->head[row][word * 64 + __builtin_ctzll (bits)];

          for (int step = 0; id != DC_NONE && step < MAX_IDLE_TRIED; step++)
            {
              if (dc_covers (dc->workers.v[id].available[DC_CAP_IDLE], need)
                  && !dc_health_has_failed_on (job, id))
                found[n++] = id;
              if (n == MAX_IDLE_TRIED)
                return n;
              id = dc->workers.v[id].next[DC_CAP_IDLE];
            }
        }
  return n;
}

static bool
is_idle_in_cell (struct dc *dc, uint32_t cell, const struct dc_job *job)
{
  return dc_charge_allocate (dc, cell, job, DC_LEVEL_WORKER, false)
         && dc_allocation_is_idle (dc, job)
         && !dc_health_has_failed_on (job, dc->allocations.v[0].worker);
}

/* Finds a cell of JOB's account with idle capacity for JOB.  Returns false if
   there is none.  */
static bool
find_idle_cell (struct dc *dc, const struct dc_job *job, uint32_t *cell)
{
  for (uint32_t id = dc->accounts.v[job->spec.account].cells; id != DC_NONE;
       id = dc->cells.v[id].next)
    if (is_idle_in_cell (dc, id, job))
      {
        *cell = id;
        return true;
      }
  return false;
}

/* Moves an unused cell of JOB's account to idle capacity in exchange for
   unused cells there.  Returns false if that fails.  */
static bool
exchange_idle_cell (struct dc *dc, const struct dc_job *job, uint32_t *cell)
{
  uint32_t idle[MAX_IDLE_TRIED];
  int n = idle_workers (dc, job, idle), tried = 0;
  uint32_t id = dc->accounts.v[job->spec.account].cells;

  for (; id != DC_NONE && tried < MAX_CELLS_TRIED; id = dc->cells.v[id].next)
    {
      const struct dc_cell *c = &dc->cells.v[id];

      if (c->jobs || c->parts != 1
          || c->size < job->spec.tasks * job->spec.per_task)
        continue;
      tried++;
      for (int i = 0; i < n; i++)
        if (dc_cell_exchange (dc, id, idle[i])
            && is_idle_in_cell (dc, id, job))
          {
            *cell = id;
            return true;
          }
    }
  return false;
}

/* Moves unused cells off WORKER so that JOB, which is not preemptible, can
   start there outside cells.  Returns false and changes nothing if that
   fails.  */
static bool
clear_cells (struct dc *dc, const struct dc_job *job, uint32_t worker)
{
  struct dc_worker *w = &dc->workers.v[worker];
  struct dc_amount need = dc_need (job, job->spec.tasks);
  uint32_t moved[DC_MAX_MOVED];
  int n, placed = 0;
  bool done;

  w->nonpreemptible = dc_plus (w->nonpreemptible, need, 1);
  n = dc_cells_unbind_unused (dc, worker, (struct dc_amount){ 0, 0 }, moved);
  dc_fleet_refresh (dc, worker);
  done = dc_covers (dc_capacity (dc, w, DC_CAP_OUTSIDE_CELLS),
                    (struct dc_amount){ 0, 0 });
  while (done && placed < n)
    {
      done = dc_cell_bind (dc, moved[placed], DC_CAP_OUTSIDE_CELLS);
      placed += done;
    }
  while (!done && placed > 0)
    dc_cell_unbind (dc, moved[--placed]);
  w->nonpreemptible = dc_plus (w->nonpreemptible, need, -1);
  dc_fleet_refresh (dc, worker);
  while (!done && n > 0)
    dc_cell_bind_at (dc, moved[--n], worker);
  return done;
}

static bool
clear_idle_worker (struct dc *dc, const struct dc_job *job)
{
  uint32_t idle[MAX_IDLE_TRIED];
  int n = job->spec.preemptible ? 0 : idle_workers (dc, job, idle);

  for (int i = 0; i < n; i++)
    if (clear_cells (dc, job, idle[i]))
      {
        dc->allocations.n = 0;
        return dc_add_allocation (dc, idle[i], job->spec.tasks) == DC_OK;
      }
  return false;
}

/* Finds a place where urgent JOB can start at once although its own cell is
   not idle.  JOB must be within its guarantee.  Leaves the place in
   dc->allocations and sets CELL, to DC_NONE if the place is outside all cells.
   Returns false if there is none.  */
bool
dc_urgent_place_now (struct dc *dc, const struct dc_job *job, uint32_t *cell)
{
  if (job->spec.class != DC_URGENT
      || dc_level_of (dc, job->spec.tasks, job->spec.per_task)
             != DC_LEVEL_WORKER)
    return false;
  if (find_idle_cell (dc, job, cell) || exchange_idle_cell (dc, job, cell))
    return true;
  if (!clear_idle_worker (dc, job) && !use_tentative (dc, job))
    return false;
  *cell = DC_NONE;
  return true;
}
