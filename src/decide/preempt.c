/* Plans which preemptible work to preempt for a gang for which there is no
   idle capacity.  Only smaller gangs are preempted, and as little work as a
   bounded search finds.  */
#include <stdlib.h>

#include "state.h"

enum
{
  MAX_WORKERS_TRIED = 32, /* for a gang on one worker */
  MAX_RACKS_TRIED = 8
};

static int32_t
accelerators_of (const struct dc_job *job)
{
  return job->spec.tasks * job->spec.per_task;
}

/* Returns whether running gang OTHER may be preempted for JOB.  A job with
   DC_USAGE_PREEMPTIBLE, which a queued job has, preempts only smaller
   gangs.  */
bool
dc_preempt_allowed (const struct dc_job *other, const struct dc_job *job)
{
  if (other->state != DC_RUNNING || other->usage != DC_USAGE_PREEMPTIBLE)
    return false;
  return job->usage != DC_USAGE_PREEMPTIBLE
         || accelerators_of (other) < accelerators_of (job);
}

/* Returns the tasks of JOB that worker ID could take, and what work would be
   preempted for them.  */
static struct dc_offer
offer_of (struct dc *dc, uint32_t id, const struct dc_job *job, bool drain)
{
  const struct dc_worker *w = &dc->workers.v[id];
  struct dc_amount unit = dc_need (job, 1), available = w->total;
  struct dc_offer offer = { .worker = id };

  if (!dc_worker_schedulable (w) || w->restricted
      || (dc_health_has_failed_on (job, id) && dc_retry_must_wait (dc, job)))
    return offer;
  if (drain)
    available = dc_plus (available, w->in_cells, -1);
  else
    available = dc_plus (w->free, w->checkpointing, 1);
  available = dc_plus (dc_plus (available, w->reserved, -1), w->tentative, -1);
  offer.tasks = dc_tasks_fitting (available, unit);
  for (uint32_t t = drain ? DC_NONE : w->tasks; t != DC_NONE;)
    {
      const struct dc_task *task = pl_at (&dc->tasks, t);
      const struct dc_job *other = &dc->jobs.v[task->job];

      t = task->next;
      if (offer.tasks >= job->spec.tasks)
        break;
      if (!dc_preempt_allowed (other, job))
        continue;
      available = dc_plus (available, dc_need (other, 1), 1);
      if (task->job != offer.last_job)
        offer.cost += accelerators_of (other) + 1;
      offer.last_job = task->job;
      offer.tasks = dc_tasks_fitting (available, unit);
    }
  if (!job->spec.preemptible && !drain)
    {
      int32_t tasks_outside_cells
          = dc_tasks_fitting (dc_capacity (dc, w, DC_CAP_OUTSIDE_CELLS), unit);

      offer.tasks = tasks_outside_cells < offer.tasks ? tasks_outside_cells
                                                      : offer.tasks;
    }
  return offer;
}

/* Plans the cheapest place on one worker among those with the most idle
   capacity.  Returns its cost, or -1.  */
static int32_t
plan_in_worker (struct dc *dc, const struct dc_job *job, bool drain)
{
  const struct dc_index *index = dc->index[DC_CAP_IDLE];
  struct dc_offer best = { .worker = DC_NONE, .cost = INT32_MAX };
  int tried = 0;

  for (int row = DC_SIZES - 1; row >= 0; row--)
    for (int word = 0; word < 2; word++)
      for (uint64_t bits = index->nonempty[row][word]; bits; bits &= bits - 1)
        {
          int slots = word * 64 + __builtin_ctzll (bits);
          uint32_t id = index->head[row][slots];

          for (; id != DC_NONE && tried < MAX_WORKERS_TRIED; tried++)
            {
              struct dc_offer offer = offer_of (dc, id, job, drain);

              if (offer.tasks >= job->spec.tasks && offer.cost < best.cost)
                best = offer;
              id = dc->workers.v[id].next[DC_CAP_IDLE];
            }
        }
  dc->allocations.n = 0;
  if (best.worker == DC_NONE
      || dc_add_allocation (dc, best.worker, job->spec.tasks))
    return -1;
  return best.cost;
}

static int
cheaper_first (const void *a, const void *b)
{
  const struct dc_offer *x = a, *y = b;
  int64_t p = (int64_t)x->cost * y->tasks, q = (int64_t)y->cost * x->tasks;

  if (p != q)
    return p < q ? -1 : 1;
  if (x->tasks != y->tasks)
    return x->tasks > y->tasks ? -1 : 1;
  return (x->worker > y->worker) - (x->worker < y->worker);
}

static void
add_offers (struct dc *dc, uint32_t rack, const struct dc_job *job, bool drain)
{
  for (uint32_t id = dc->racks.v[rack].workers; id != DC_NONE;
       id = dc->workers.v[id].next_in_rack)
    {
      struct dc_offer offer = offer_of (dc, id, job, drain);
      uint32_t at = dc->offers.n;

      if (offer.tasks > 0 && !DC_GROW (dc, dc->offers, at))
        dc->offers.v[at] = offer;
    }
}

/* Fills dc->allocations from the offers, the cheapest first.  Returns the
   cost, or -1 if they do not hold JOB.  */
static int32_t
allocate_offers (struct dc *dc, const struct dc_job *job)
{
  int32_t remaining = job->spec.tasks, cost = 0;

  dc->allocations.n = 0;
  if (dc->offers.n == 0)
    return -1;
  qsort (dc->offers.v, dc->offers.n, sizeof *dc->offers.v, cheaper_first);
  for (uint32_t i = 0; i < dc->offers.n && remaining > 0; i++)
    {
      struct dc_offer offer = dc->offers.v[i];
      int32_t n = offer.tasks < remaining ? offer.tasks : remaining;

      if (dc_add_allocation (dc, offer.worker, n))
        return -1;
      remaining -= n;
      cost += offer.cost;
    }
  return remaining == 0 ? cost : -1;
}

/* Stores the racks with the most idle accelerators in RACK and returns their
   number.  */
static int
racks_with_most_idle (const struct dc *dc, uint32_t rack[MAX_RACKS_TRIED])
{
  int n = 0;

  for (int row = dc_rack_last (dc, DC_CAP_IDLE, DC_RACK_BUCKETS - 1); row >= 0;
       row = row > 0 ? dc_rack_last (dc, DC_CAP_IDLE, row - 1) : -1)
    for (uint32_t r = dc->rack_index[DC_CAP_IDLE].head[row]; r != DC_NONE;
         r = dc->racks.v[r].next[DC_CAP_IDLE])
      {
        if (n == MAX_RACKS_TRIED)
          return n;
        rack[n++] = r;
      }
  return n;
}

static int32_t
plan_in_rack (struct dc *dc, const struct dc_job *job, bool drain)
{
  uint32_t rack[MAX_RACKS_TRIED], best = DC_NONE;
  int n = racks_with_most_idle (dc, rack);
  int32_t least = INT32_MAX;

  for (int i = 0; i < n; i++)
    {
      int32_t cost;

      dc->offers.n = 0;
      add_offers (dc, rack[i], job, drain);
      cost = allocate_offers (dc, job);
      if (cost < 0 || cost >= least)
        continue;
      least = cost;
      best = rack[i];
    }
  if (best == DC_NONE)
    return -1;
  dc->offers.n = 0;
  add_offers (dc, best, job, drain);
  return allocate_offers (dc, job);
}

static int32_t
plan_in_domain (struct dc *dc, const struct dc_job *job, bool drain)
{
  for (uint32_t d = 0; d < dc->domains.n; d++)
    {
      int32_t cost;

      dc->offers.n = 0;
      for (uint32_t r = dc->domains.v[d].racks; r != DC_NONE;
           r = dc->racks.v[r].next_in_domain)
        add_offers (dc, r, job, drain);
      cost = allocate_offers (dc, job);
      if (cost >= 0)
        return cost;
    }
  return -1;
}

/* Leaves in dc->allocations the places for JOB that preemption could free;
   with DRAIN, those that are free once all work there has ended.  Returns the
   cost, see struct dc_offer, or -1 if there are none.  */
int32_t
dc_preempt_plan (struct dc *dc, const struct dc_job *job, enum dc_level level,
                 bool drain)
{
  switch (level)
    {
    case DC_LEVEL_WORKER:
      return plan_in_worker (dc, job, drain);
    case DC_LEVEL_RACK:
      return plan_in_rack (dc, job, drain);
    case DC_LEVEL_DOMAIN:
      return plan_in_domain (dc, job, drain);
    case DC_LEVEL_NONE:
      break;
    }
  return -1;
}
