/* Where one gang goes: in a cell of its account, in idle room, or in room
   that preemption frees.  */
#include "state.h"

enum
{
  RESERVE_WAIT_MS = 30000, /* then bulk work may use the urgent reserve */
  RETRY_MS = 10000,        /* a job waits so long for a worker new to it, */
  RETRY_MOST_MS = 60000    /* twice as long after each failure, up to this */
};

static struct dc_want
want_of (const struct dc *dc, const struct dc_job *job, bool avoid)
{
  return (struct dc_want){ .tasks = job->spec.tasks,
                           .unit = { job->spec.per_task, 1 },
                           .level = dc_level_of (dc, job->spec.tasks,
                                                 job->spec.per_task),
                           .avoid = job->failed_on,
                           .avoids = avoid ? job->failures : 0 };
}

static void
retry_at (struct dc *dc, int64_t at_ms)
{
  if (dc->retry_ms < 0 || at_ms < dc->retry_ms)
    dc->retry_ms = at_ms;
}

/* How long JOB, which failed before, waits for a worker new to it.  */
int64_t
dc_retry_delay (const struct dc_job *job)
{
  int64_t delay = RETRY_MS;

  for (int i = 1; i < job->failed_starts && delay < RETRY_MOST_MS; i++)
    delay *= 2;
  return delay < RETRY_MOST_MS ? delay : RETRY_MOST_MS;
}

/* Whether JOB, which failed before, still waits for a worker new to it.  */
bool
dc_retry_later (struct dc *dc, const struct dc_job *job)
{
  int64_t retry = job->queued_ms + dc_retry_delay (job);

  if (retry <= dc->now_ms)
    return false;
  retry_at (dc, retry);
  return true;
}

/* Searches room for JOB, for a while only away from where it failed.  */
static bool
search (struct dc *dc, const struct dc_job *job, enum dc_capacity cap)
{
  struct dc_want want = want_of (dc, job, true);

  if (dc_search (dc, &want, cap))
    return true;
  if (job->failures == 0 || dc_retry_later (dc, job))
    return false;
  want.avoids = 0;
  return dc_search (dc, &want, cap);
}

int
dc_place_start (struct dc *dc, uint32_t id, enum dc_kind kind, uint32_t cell)
{
  int error;

  dc_queue_remove (dc, id);
  error = dc_gang_place (dc, id, kind, cell);
  if (!error)
    dc_gang_start (dc, id);
  return error;
}

/* Has the room in dc->spots freed for JOB.  */
static int
pend (struct dc *dc, uint32_t id, enum dc_kind kind, uint32_t cell)
{
  int error;

  dc_queue_remove (dc, id);
  error = dc_gang_place (dc, id, kind, cell);
  if (error)
    return error;
  dc_pending_add (dc, id);
  dc->jobs.v[id].behind = dc_pending_behind (dc, &dc->jobs.v[id]);
  dc_pending_make_room (dc, id);
  return DC_OK;
}

/* Whether what dc->spots takes of its workers is idle.  */
bool
dc_spots_idle (const struct dc *dc, const struct dc_job *job)
{
  for (uint32_t i = 0; i < dc->spots.n; i++)
    {
      const struct dc_worker *w = &dc->workers.v[dc->spots.v[i].worker];

      if (!dc_covers (dc_plus (w->free, w->held, -1),
                      dc_need (job, dc->spots.v[i].tasks)))
        return false;
    }
  return true;
}

/* Moves CELL to where JOB can start at once, if there is such a worker.  */
static bool
move_to_idle (struct dc *dc, uint32_t cell, const struct dc_job *job,
              enum dc_level level)
{
  if (level != DC_LEVEL_WORKER)
    return false;
  if (job->failures == 0 && dc_cell_move (dc, cell)
      && dc_charge_spots (dc, cell, job, level, false)
      && dc_spots_idle (dc, job))
    return true;
  return search (dc, job, DC_CAP_IDLE)
         && dc_cell_displace (dc, cell, dc->spots.v[0].worker)
         && dc_charge_spots (dc, cell, job, level, false)
         && dc_spots_idle (dc, job);
}

static enum dc_kind
kind_in (const struct dc_job *job, uint32_t cell)
{
  if (cell != DC_NONE)
    return DC_KIND_GUARANTEED;
  return job->spec.preemptible ? DC_KIND_SOFT : DC_KIND_HARD;
}

int
dc_place_in_cell (struct dc *dc, uint32_t id, uint32_t cell)
{
  const struct dc_job *job = &dc->jobs.v[id];
  uint32_t other;
  bool wait = dc_pending_urgent (dc, job);
  enum dc_level level = dc_level_of (dc, job->spec.tasks, job->spec.per_task);

  if (!dc_charge_spots (dc, cell, job, level, false))
    {
      dc_charge_release (dc, cell, true);
      if (!dc_charge_spots (dc, cell, job, level, false))
        return DC_EBROKEN;
    }
  if (dc_spots_idle (dc, job) || move_to_idle (dc, cell, job, level))
    return wait ? pend (dc, id, DC_KIND_GUARANTEED, cell)
                : dc_place_start (dc, id, DC_KIND_GUARANTEED, cell);
  if (!wait
      && search (dc, job, job->spec.preemptible ? DC_CAP_IDLE : DC_CAP_FIRM))
    return dc_place_start (dc, id, kind_in (job, DC_NONE), DC_NONE);
  if (dc_urgent_now (dc, job, &other))
    return dc_place_start (dc, id, kind_in (job, other), other);
  if (!dc_charge_spots (dc, cell, job, level, false))
    return DC_EBROKEN;
  return pend (dc, id, DC_KIND_GUARANTEED, cell);
}

/* Makes room for a job outside the guarantee by preemption.  */
int
dc_place_by_preemption (struct dc *dc, uint32_t id, bool *done)
{
  const struct dc_job *job = &dc->jobs.v[id];
  bool hard = !job->spec.preemptible;
  int32_t cost;

  *done = false;
  if (job->spec.class == DC_URGENT && hard)
    {
      *done = search (dc, job, DC_CAP_UNRESERVED);
      return *done ? pend (dc, id, DC_KIND_HARD, DC_NONE) : DC_OK;
    }
  cost = dc_room_plan (
      dc, job, dc_level_of (dc, job->spec.tasks, job->spec.per_task), false);
  *done = cost >= 0;
  return *done ? pend (dc, id, hard ? DC_KIND_HARD : DC_KIND_SOFT, DC_NONE)
               : DC_OK;
}

static int32_t
idle_accelerators (const struct dc *dc)
{
  int32_t n = 0;

  for (uint32_t d = 0; d < dc->domains.n; d++)
    n += dc->domains.v[d].cap[DC_CAP_IDLE].accelerators;
  return n;
}

/* Whether N accelerators of idle room can go to bulk work without touching
   what urgent arrivals of the next checkpoint are expected to need.  */
bool
dc_place_leaves_reserve (const struct dc *dc, int32_t n)
{
  return n == 0 || idle_accelerators (dc) - n >= dc_learn_reserve (dc);
}

/* Bulk work leaves the reserve alone until it has waited for long enough;
   the reserve shrinks without an event, so it is looked at again.  */
static bool
keeps_off (struct dc *dc, const struct dc_job *job)
{
  if (job->spec.class != DC_BULK
      || dc->now_ms - job->submit_ms >= RESERVE_WAIT_MS
      || dc_place_leaves_reserve (dc, job->spec.tasks * job->spec.per_task))
    return false;
  retry_at (dc, dc->now_ms + DC_CHECKPOINT_MS);
  return true;
}

int
dc_place_default (struct dc *dc, uint32_t id, bool *done)
{
  const struct dc_job *job = &dc->jobs.v[id];
  bool hard = !job->spec.preemptible;
  int error = DC_OK;

  *done = false;
  if (dc_pending_urgent (dc, job) || keeps_off (dc, job))
    return DC_OK;
  *done = true;
  if (search (dc, job, hard ? DC_CAP_FIRM : DC_CAP_IDLE))
    return dc_place_start (dc, id, hard ? DC_KIND_HARD : DC_KIND_SOFT,
                           DC_NONE);
  *done = false;
  if (job->spec.class == DC_URGENT && hard)
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
      struct dc_want want = want_of (dc, job, true);

      *done = dc_search_first (dc, &want);
    }
  else
    *done = search (dc, job, DC_CAP_IDLE);
  return *done ? dc_place_start (dc, id, DC_KIND_SOFT, DC_NONE) : DC_OK;
}

/* Starts a pending gang where room fell idle, or leaves it pending.  */
static int
try_idle (struct dc *dc, uint32_t id)
{
  const struct dc_job *job = &dc->jobs.v[id];
  uint32_t own = job->cell, cell = own;
  bool found;
  int error;

  dc_gang_unplace (dc, id);
  found = (dc->cells.v[own].jobs == 0 && dc->cells.v[own].parts == 1
           && move_to_idle (dc, own, job, DC_LEVEL_WORKER))
          || dc_urgent_now (dc, job, &cell);
  if (!found)
    dc_charge_spots (dc, own, job, DC_LEVEL_WORKER, false);
  error = dc_gang_place (dc, id, kind_in (job, cell), cell);
  if (error || !found)
    return error;
  dc->soft_pending += job->kind == DC_KIND_SOFT;
  dc_pending_unlink (dc, id);
  dc_gang_start (dc, id);
  return DC_OK;
}

/* Starts urgent gangs that wait for a checkpoint where room fell idle.  */
int
dc_place_waiting (struct dc *dc)
{
  uint32_t id = dc->pending, running = dc->running_jobs;
  int error = DC_OK;

  while (id != DC_NONE && !error)
    {
      const struct dc_job *job = &dc->jobs.v[id];
      uint32_t next = job->pending_next;

      if (job->spec.class == DC_URGENT && job->cell != DC_NONE
          && job->level == DC_LEVEL_WORKER && search (dc, job, DC_CAP_IDLE))
        error = try_idle (dc, id);
      id = next;
    }
  if (dc->running_jobs != running)
    dc_pending_walk_firm (dc);
  return error;
}
