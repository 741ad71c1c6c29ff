/* Gangs that wait until their places are free.  Firm ones are promised their
   room: preemption frees it within one checkpoint.  A soft one has room kept
   for it, which firm ones may still take.  */
#include "state.h"

void
dc_pending_add (struct dc *dc, uint32_t id)
{
  struct dc_job *job = &dc->jobs.v[id];

  job->pending_next = DC_NONE;
  job->pending_ms = dc->now_ms;
  job->behind = false;
  dc->soft_pending += job->kind == DC_KIND_SOFT;
  if (dc->pending == DC_NONE)
    dc->pending = id;
  else
    dc->jobs.v[dc->pending_last].pending_next = id;
  dc->pending_last = id;
}

void
dc_pending_unlink (struct dc *dc, uint32_t id)
{
  uint32_t prev = DC_NONE, at = dc->pending;

  while (at != id)
    {
      prev = at;
      at = dc->jobs.v[at].pending_next;
    }
  if (prev == DC_NONE)
    dc->pending = dc->jobs.v[id].pending_next;
  else
    dc->jobs.v[prev].pending_next = dc->jobs.v[id].pending_next;
  if (dc->pending_last == id)
    dc->pending_last = prev;
  dc->soft_pending -= dc->jobs.v[id].kind == DC_KIND_SOFT;
  dc->drains -= dc->jobs.v[id].draining;
  dc->jobs.v[id].draining = false;
}

/* Gives up the places of a pending gang; it is queued again.  */
void
dc_pending_drop (struct dc *dc, uint32_t id)
{
  int64_t queued_ms = dc->jobs.v[id].queued_ms;

  dc_pending_unlink (dc, id);
  dc_gang_unplace (dc, id);
  dc_queue_add (dc, id);
  dc->jobs.v[id].queued_ms = queued_ms;
  dc->freed = true;
}

/* Begins the checkpoint of a running preemptible gang.  */
void
dc_preempt (struct dc *dc, uint32_t id)
{
  dc_gang_set (dc, id, DC_CHECKPOINTING, DC_KIND_SOFT, DC_NONE);
  dc_act (dc, DC_ACT_PREEMPT, id, dc->jobs.v[id].attempt, NULL);
}

static bool
lacks (const struct dc_worker *w, const struct dc_job *job)
{
  struct dc_amount have = dc_plus (w->free, w->stopping, 1);

  have = dc_plus (have, w->held, -1);
  if (job->kind == DC_KIND_SOFT)
    have = dc_plus (have, w->drained, -1);
  return have.slots < 0 || (job->spec.per_task > 0 && have.accelerators < 0);
}

/* The smaller gang first, then the one that started last.  */
static bool
cheaper (const struct dc_job *a, const struct dc_job *b)
{
  int32_t x = a->spec.tasks * a->spec.per_task;
  int32_t y = b->spec.tasks * b->spec.per_task;

  if (x != y)
    return x < y;
  return a->start_ms > b->start_ms;
}

/* The cheapest soft gang on W, if ending it helps.  */
static uint32_t
victim_on (const struct dc *dc, const struct dc_worker *w,
           const struct dc_job *job)
{
  struct dc_amount have = dc_plus (w->free, w->stopping, 1);
  bool slots = dc_plus (have, w->held, -1).slots < 0;
  uint32_t best = DC_NONE, t = w->tasks;

  while (t != DC_NONE)
    {
      const struct dc_task *task = pl_at (&dc->tasks, t);
      const struct dc_job *other = &dc->jobs.v[task->job];

      t = task->next;
      if (!dc_room_victim (other, job)
          || (other->spec.per_task == 0 && job->spec.per_task > 0 && !slots))
        continue;
      if (best == DC_NONE || cheaper (other, &dc->jobs.v[best]))
        best = task->job;
    }
  return best;
}

static void
clear_worker (struct dc *dc, uint32_t worker, const struct dc_job *job)
{
  const struct dc_worker *w = &dc->workers.v[worker];

  while (lacks (w, job))
    {
      uint32_t victim = victim_on (dc, w, job);

      if (victim == DC_NONE)
        return;
      dc_preempt (dc, victim);
    }
}

/* Preempts enough on the workers of a pending gang to make room for it.  */
void
dc_pending_make_room (struct dc *dc, uint32_t id)
{
  const struct dc_job *job = &dc->jobs.v[id];
  uint32_t last = DC_NONE;

  for (int32_t i = 0; i < job->spec.tasks; i++)
    {
      uint32_t worker = dc_gang_task (dc, job, i)->worker;

      if (worker != last)
        clear_worker (dc, worker, job);
      last = worker;
    }
}

static struct dc_amount
room_for (const struct dc *dc, const struct dc_worker *w,
          const struct dc_job *job)
{
  struct dc_amount room = w->free;

  if (job->kind == DC_KIND_SOFT)
    room = dc_plus (room, w->held, -1);
  if (w->ahead_round == dc->walk_round)
    room = dc_plus (room, w->ahead, -1);
  return room;
}

/* What W has outside cells for work that is not preemptible.  */
static struct dc_amount
unreserved (const struct dc *dc, const struct dc_worker *w)
{
  struct dc_amount room = dc_capacity (dc, w, DC_CAP_UNRESERVED);

  if (w->ahead_round == dc->walk_round)
    room = dc_plus (room, w->ahead, -1);
  return room;
}

/* Adds the needs of JOB to those ahead of later gangs on each worker.
   Returns whether all of them have room for it now.  */
static bool
count_ahead (struct dc *dc, const struct dc_job *job)
{
  bool fits = true;

  for (int32_t i = 0; i < job->spec.tasks; i++)
    {
      struct dc_worker *w = &dc->workers.v[dc_gang_task (dc, job, i)->worker];

      if (!dc_covers (room_for (dc, w, job), dc_need (job, 1)))
        fits = false;
      if (job->kind == DC_KIND_SOFT && !job->spec.preemptible
          && !dc_covers (unreserved (dc, w), dc_need (job, 1)))
        fits = false;
      if (w->ahead_round != dc->walk_round)
        w->ahead = (struct dc_amount){ 0, 0 };
      w->ahead_round = dc->walk_round;
      w->ahead = dc_plus (w->ahead, dc_need (job, 1), 1);
    }
  return fits;
}

static void
forget_ahead (struct dc *dc, const struct dc_job *job)
{
  for (int32_t i = 0; i < job->spec.tasks; i++)
    {
      struct dc_worker *w = &dc->workers.v[dc_gang_task (dc, job, i)->worker];

      w->ahead = dc_plus (w->ahead, dc_need (job, 1), -1);
    }
}

static bool
held_up (struct dc *dc, struct dc_job *job, bool soft)
{
  if (soft)
    return dc_pending_urgent (dc, job);
  job->behind = dc_pending_behind (dc, job);
  return job->behind;
}

static void
start (struct dc *dc, uint32_t id)
{
  const struct dc_job *job = &dc->jobs.v[id];

  forget_ahead (dc, job);
  dc_pending_unlink (dc, id);
  if (job->kind == DC_KIND_SOFT && !job->spec.preemptible
      && dc->config.policy == DC_POLICY_DEFAULT)
    dc_gang_set (dc, id, DC_PENDING, DC_KIND_HARD, DC_NONE);
  dc_gang_start (dc, id);
}

/* Starts pending gang ID, whose place is free, or an urgent one of its
   account in this place.  Returns whether an urgent gang was started.  */
static bool
start_first (struct dc *dc, uint32_t id)
{
  uint32_t urgent = dc_urgent_alike (dc, &dc->jobs.v[id]);

  if (urgent == DC_NONE)
    {
      start (dc, id);
      return dc->jobs.v[id].spec.class == DC_URGENT;
    }
  dc_gang_swap (dc, id, urgent);
  start (dc, urgent);
  count_ahead (dc, &dc->jobs.v[id]);
  return true;
}

/* Returns whether an urgent gang was started.  */
static bool
walk_kind (struct dc *dc, bool soft)
{
  uint32_t id = dc->pending;
  bool urgent = false;

  dc->walk_round++;
  while (id != DC_NONE)
    {
      struct dc_job *job = &dc->jobs.v[id];
      uint32_t after = job->pending_next;

      if ((job->kind == DC_KIND_SOFT) == soft && count_ahead (dc, job)
          && !held_up (dc, job, soft))
        urgent |= start_first (dc, id);
      id = job->state == DC_PENDING ? job->pending_next : after;
    }
  return urgent;
}

/* Starts every firm pending gang whose places are free, the oldest first.  */
void
dc_pending_walk_firm (struct dc *dc)
{
  if (dc->pending == DC_NONE)
    return;
  while (walk_kind (dc, false))
    continue;
}

/* Starts every soft pending gang whose places are free, the oldest first.  */
void
dc_pending_walk_soft (struct dc *dc)
{
  if (dc->pending == DC_NONE)
    return;
  dc_pending_walk_firm (dc);
  walk_kind (dc, true);
}
