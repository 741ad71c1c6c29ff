/* Gangs that wait until their places are free.  Capacity of guaranteed and
   nonpreemptible gangs is reserved, and preemption frees it within one
   checkpoint.  Capacity for DC_USAGE_PREEMPTIBLE is reserved only tentatively:
   guaranteed and nonpreemptible gangs may still use it.  */
#include "state.h"

void
dc_pending_add (struct dc *dc, uint32_t id)
{
  struct dc_job *job = &dc->jobs.v[id];

  job->pending_next = DC_NONE;
  job->pending_ms = dc->now_ms;
  job->yielding = false;
  dc->preemptible_pending += job->usage == DC_USAGE_PREEMPTIBLE;
  if (dc->pending_head == DC_NONE)
    dc->pending_head = id;
  else
    dc->jobs.v[dc->pending_tail].pending_next = id;
  dc->pending_tail = id;
}

void
dc_pending_unlink (struct dc *dc, uint32_t id)
{
  uint32_t prev = DC_NONE, at = dc->pending_head;

  while (at != id)
    {
      prev = at;
      at = dc->jobs.v[at].pending_next;
    }
  if (prev == DC_NONE)
    dc->pending_head = dc->jobs.v[id].pending_next;
  else
    dc->jobs.v[prev].pending_next = dc->jobs.v[id].pending_next;
  if (dc->pending_tail == id)
    dc->pending_tail = prev;
  dc->preemptible_pending -= dc->jobs.v[id].usage == DC_USAGE_PREEMPTIBLE;
  dc->draining -= dc->jobs.v[id].draining;
  dc->jobs.v[id].draining = false;
}

/* Gives up the places of a pending gang and requeues it.  */
void
dc_pending_requeue (struct dc *dc, uint32_t id)
{
  int64_t queued_ms = dc->jobs.v[id].queued_ms;

  dc_pending_unlink (dc, id);
  dc_gang_unplace (dc, id);
  dc_queue_add (dc, id);
  dc->jobs.v[id].queued_ms = queued_ms;
  dc->capacity_freed = true;
}

/* Begins the checkpoint of a running preemptible gang.  */
void
dc_preempt (struct dc *dc, uint32_t id)
{
  dc_gang_set_state (dc, id, DC_CHECKPOINTING, DC_USAGE_PREEMPTIBLE, DC_NONE);
  dc_add_action (dc, DC_ACT_PREEMPT, id, dc->jobs.v[id].attempt, NULL);
}

static bool
lacks_capacity (const struct dc_worker *w, const struct dc_job *job)
{
  struct dc_amount available = dc_plus (w->free, w->checkpointing, 1);

  available = dc_plus (available, w->reserved, -1);
  if (job->usage == DC_USAGE_PREEMPTIBLE)
    available = dc_plus (available, w->tentative, -1);
  return available.slots < 0
         || (job->spec.per_task > 0 && available.accelerators < 0);
}

/* Returns whether A is smaller than B or, at equal size, started later.  */
static bool
is_cheaper (const struct dc_job *a, const struct dc_job *b)
{
  int32_t x = a->spec.tasks * a->spec.per_task;
  int32_t y = b->spec.tasks * b->spec.per_task;

  if (x != y)
    return x < y;
  return a->start_ms > b->start_ms;
}

/* Returns the cheapest gang on W whose preemption helps JOB, or DC_NONE.  */
static uint32_t
victim_on (const struct dc *dc, const struct dc_worker *w,
           const struct dc_job *job)
{
  struct dc_amount available = dc_plus (w->free, w->checkpointing, 1);
  bool slots = dc_plus (available, w->reserved, -1).slots < 0;
  uint32_t best = DC_NONE, t = w->tasks;

  while (t != DC_NONE)
    {
      const struct dc_task *task = pl_at (&dc->tasks, t);
      const struct dc_job *other = &dc->jobs.v[task->job];

      t = task->next;
      if (!dc_preempt_allowed (other, job)
          || (other->spec.per_task == 0 && job->spec.per_task > 0 && !slots))
        continue;
      if (best == DC_NONE || is_cheaper (other, &dc->jobs.v[best]))
        best = task->job;
    }
  return best;
}

static void
preempt_on_worker (struct dc *dc, uint32_t worker, const struct dc_job *job)
{
  const struct dc_worker *w = &dc->workers.v[worker];

  while (lacks_capacity (w, job))
    {
      uint32_t victim = victim_on (dc, w, job);

      if (victim == DC_NONE)
        return;
      dc_preempt (dc, victim);
    }
}

/* Preempts enough work on the workers of a pending gang to free its
   places.  */
void
dc_pending_preempt (struct dc *dc, uint32_t id)
{
  const struct dc_job *job = &dc->jobs.v[id];
  uint32_t last = DC_NONE;

  for (int32_t i = 0; i < job->spec.tasks; i++)
    {
      uint32_t worker = dc_gang_task (dc, job, i)->worker;

      if (worker != last)
        preempt_on_worker (dc, worker, job);
      last = worker;
    }
}

static struct dc_amount
free_for (const struct dc *dc, const struct dc_worker *w,
          const struct dc_job *job)
{
  struct dc_amount capacity = w->free;

  if (job->usage == DC_USAGE_PREEMPTIBLE)
    capacity = dc_plus (capacity, w->reserved, -1);
  if (w->older_needs_walk == dc->walk)
    capacity = dc_plus (capacity, w->older_needs, -1);
  return capacity;
}

/* Returns the capacity of W outside cells, including that of preemptible work,
   less what older pending gangs need.  */
static struct dc_amount
outside_cells (const struct dc *dc, const struct dc_worker *w)
{
  struct dc_amount capacity = dc_capacity (dc, w, DC_CAP_OUTSIDE_CELLS);

  if (w->older_needs_walk == dc->walk)
    capacity = dc_plus (capacity, w->older_needs, -1);
  return capacity;
}

/* Adds the needs of JOB to the capacity that younger gangs must leave free on
   its workers in this walk.  Returns whether JOB's places are free now.  */
static bool
add_older_needs (struct dc *dc, const struct dc_job *job)
{
  bool fits = true;

  for (int32_t i = 0; i < job->spec.tasks; i++)
    {
      struct dc_worker *w = &dc->workers.v[dc_gang_task (dc, job, i)->worker];

      if (!dc_covers (free_for (dc, w, job), dc_need (job, 1)))
        fits = false;
      if (job->usage == DC_USAGE_PREEMPTIBLE && !job->spec.preemptible
          && !dc_covers (outside_cells (dc, w), dc_need (job, 1)))
        fits = false;
      if (w->older_needs_walk != dc->walk)
        w->older_needs = (struct dc_amount){ 0, 0 };
      w->older_needs_walk = dc->walk;
      w->older_needs = dc_plus (w->older_needs, dc_need (job, 1), 1);
    }
  return fits;
}

static void
subtract_older_needs (struct dc *dc, const struct dc_job *job)
{
  for (int32_t i = 0; i < job->spec.tasks; i++)
    {
      struct dc_worker *w = &dc->workers.v[dc_gang_task (dc, job, i)->worker];

      w->older_needs = dc_plus (w->older_needs, dc_need (job, 1), -1);
    }
}

static bool
must_wait (struct dc *dc, struct dc_job *job, bool tentative)
{
  if (tentative)
    return dc_urgent_is_pending (dc, job);
  job->yielding = dc_pending_must_yield (dc, job);
  return job->yielding;
}

static void
start_pending (struct dc *dc, uint32_t id)
{
  const struct dc_job *job = &dc->jobs.v[id];

  subtract_older_needs (dc, job);
  dc_pending_unlink (dc, id);
  if (job->usage == DC_USAGE_PREEMPTIBLE && !job->spec.preemptible
      && dc->config.policy == DC_POLICY_DEFAULT)
    dc_gang_set_state (dc, id, DC_PENDING, DC_USAGE_NONPREEMPTIBLE, DC_NONE);
  dc_gang_start (dc, id);
}

/* Starts pending gang ID, whose places are free, or an urgent gang of the same
   account and shape in these places.  Returns whether an urgent gang was
   started.  */
static bool
start_or_swap (struct dc *dc, uint32_t id)
{
  uint32_t urgent = dc_urgent_same_shape (dc, &dc->jobs.v[id]);

  if (urgent == DC_NONE)
    {
      start_pending (dc, id);
      return dc->jobs.v[id].spec.class == DC_URGENT;
    }
  dc_gang_swap (dc, id, urgent);
  start_pending (dc, urgent);
  add_older_needs (dc, &dc->jobs.v[id]);
  return true;
}

/* Starts every pending gang of one kind whose places are free.  Returns
   whether an urgent gang was started.  */
static bool
start_ready (struct dc *dc, bool tentative)
{
  uint32_t id = dc->pending_head;
  bool urgent = false;

  dc->walk++;
  while (id != DC_NONE)
    {
      struct dc_job *job = &dc->jobs.v[id];
      uint32_t after = job->pending_next;

      if ((job->usage == DC_USAGE_PREEMPTIBLE) == tentative
          && add_older_needs (dc, job) && !must_wait (dc, job, tentative))
        urgent |= start_or_swap (dc, id);
      id = job->state == DC_PENDING ? job->pending_next : after;
    }
  return urgent;
}

/* Starts every gang with reserved capacity whose places are free, the oldest
   first.  Repeats after an urgent start, for which bulk gangs may have
   waited.  */
void
dc_pending_start_reserved (struct dc *dc)
{
  if (dc->pending_head == DC_NONE)
    return;
  while (start_ready (dc, false))
    continue;
}

/* Starts every gang with tentative capacity whose places are free, the oldest
   first, after those with reserved capacity.  */
void
dc_pending_start_tentative (struct dc *dc)
{
  if (dc->pending_head == DC_NONE)
    return;
  dc_pending_start_reserved (dc);
  start_ready (dc, true);
}
