/* Checks the invariants by counting again from gangs and cells alone,
   independently of the counters that decisions use.  */
#include <stdlib.h>

#include "state.h"

struct recount
{
  uint64_t mask;
  struct dc_amount used, nonpreemptible, guaranteed, preemptible,
      checkpointing, reserved, tentative, in_cells;
};

struct checker
{
  struct dc *dc;
  struct recount *worker;
  const char *broken_invariant;
};

static void
expect (struct checker *k, bool holds, const char *name)
{
  if (!holds && !k->broken_invariant)
    k->broken_invariant = name;
}

static bool
equal (struct dc_amount a, struct dc_amount b)
{
  return a.accelerators == b.accelerators && a.slots == b.slots;
}

static void
add (struct dc_amount *sum, struct dc_amount a)
{
  *sum = dc_plus (*sum, a, 1);
}

static void
count_task (struct checker *k, const struct dc_job *job, uint32_t id,
            const struct dc_task *t)
{
  struct recount *r = &k->worker[t->worker];
  const struct dc_worker *w = &k->dc->workers.v[t->worker];
  struct dc_amount need = dc_need (job, 1);

  expect (k, t->job == id, "task belongs to its gang");
  if (job->state == DC_PENDING)
    {
      expect (k, dc_worker_schedulable (w),
              "no task is pending on a worker that may not start work");
      add (job->usage == DC_USAGE_PREEMPTIBLE ? &r->tentative : &r->reserved,
           need);
    }
  else
    {
      expect (k, w->up, "no task on a worker that is down");
      expect (k, __builtin_popcountll (t->mask) == job->spec.per_task,
              "a task holds as many accelerators as it requested");
      expect (k, (r->mask & t->mask) == 0,
              "no accelerator is allocated twice");
      r->mask |= t->mask;
      add (&r->used, need);
    }
  if (job->usage == DC_USAGE_NONPREEMPTIBLE)
    add (&r->nonpreemptible, need);
  else if (job->usage == DC_USAGE_GUARANTEED)
    add (&r->guaranteed, need);
  else if (job->state == DC_RUNNING)
    add (&r->preemptible, need);
  if (job->state == DC_CHECKPOINTING)
    add (&r->checkpointing, need);
}

static void
check_adjacent (struct checker *k, const struct dc_job *job)
{
  const struct dc *dc = k->dc;
  const struct dc_task *first = dc_gang_task (dc, job, 0);
  enum dc_level level = dc_level_of (dc, job->spec.tasks, job->spec.per_task);
  uint32_t rack = dc->workers.v[first->worker].rack;

  /* A larger worker may have joined since the start, which lowers the
     level.  */
  if (job->level > level)
    level = job->level;
  for (int32_t i = 1; i < job->spec.tasks; i++)
    {
      uint32_t worker = dc_gang_task (dc, job, i)->worker;

      if (level == DC_LEVEL_WORKER)
        expect (k, worker == first->worker, "a gang is in one worker");
      else if (level == DC_LEVEL_RACK)
        expect (k, dc->workers.v[worker].rack == rack,
                "a gang is in one rack");
      else
        expect (k, dc_domain_of (dc, worker) == dc->racks.v[rack].domain,
                "a gang is in one failure domain");
    }
}

static void
check_gang (struct checker *k, uint32_t id)
{
  struct dc *dc = k->dc;
  const struct dc_job *job = &dc->jobs.v[id];
  int32_t active = 0;

  for (int32_t i = 0; i < job->spec.tasks; i++)
    {
      const struct dc_task *t = dc_gang_task (dc, job, i);

      if (!t->active)
        continue;
      active++;
      count_task (k, job, id, t);
    }
  expect (k, active == job->tasks_remaining && active > 0,
          "remaining tasks are counted correctly");
  expect (k, job->state != DC_PENDING || active == job->spec.tasks,
          "all tasks of a pending gang are placed");
  expect (k,
          job->state != DC_CHECKPOINTING || job->usage == DC_USAGE_PREEMPTIBLE,
          "only preemptible work beyond a guarantee is preempted");
  expect (k, (job->usage == DC_USAGE_GUARANTEED) == (job->cell != DC_NONE),
          "guaranteed work is in a cell");
  expect (k,
          job->cell == DC_NONE
              || dc->cells.v[job->cell].account == job->spec.account,
          "a cell serves its own account");
  expect (k,
          job->spec.repeatable || job->spec.preemptible || job->attempt <= 1
              || job->adopted,
          "a non-repeatable job starts at most once");
  check_adjacent (k, job);
}

static void
check_jobs (struct checker *k)
{
  struct dc *dc = k->dc;
  uint32_t running = 0, queued = 0;

  for (uint32_t i = 0; i < dc->jobs.n; i++)
    {
      const struct dc_job *job = &dc->jobs.v[i];

      running += job->state == DC_RUNNING || job->state == DC_CHECKPOINTING;
      queued += job->state == DC_QUEUED;
      if (job->state >= DC_PENDING && job->state <= DC_CHECKPOINTING)
        check_gang (k, i);
      if (job->state == DC_QUEUED)
        expect (k,
                dc->queues.v[job->queue].jobs.v[job->position[0]] == i
                    && dc->account_queues.v[job->account_queue]
                               .jobs.v[job->position[1]]
                           == i,
                "a queued job is in its queues");
    }
  expect (k, running == dc->running_jobs,
          "running jobs are counted correctly");
  expect (k, queued == dc->queued_jobs, "queued jobs are counted correctly");
}

static void
check_cells (struct checker *k)
{
  struct dc *dc = k->dc;

  for (uint32_t c = 0; c < dc->cells.n; c++)
    {
      const struct dc_cell *cell = &dc->cells.v[c];
      int32_t size = 0;

      if (!cell->live)
        continue;
      for (int32_t i = 0; i < cell->parts; i++)
        {
          const struct dc_part *part
              = pl_at (&dc->parts, cell->part + (uint32_t)i);

          size += part->size.accelerators;
          add (&k->worker[part->worker].in_cells, part->size);
          expect (k, dc_covers (part->size, part->used),
                  "a cell is not used beyond its size");
          expect (k, dc_worker_schedulable (&dc->workers.v[part->worker]),
                  "a cell is on workers that may start work");
        }
      expect (k, cell->parts == 0 ? cell->in_unbound : size == cell->size,
              "a cell is bound whole, or listed as unbound");
    }
}

static void
check_worker (struct checker *k, uint32_t id)
{
  const struct dc_worker *w = &k->dc->workers.v[id];
  const struct recount *r = &k->worker[id];
  struct dc_amount committed = dc_plus (r->nonpreemptible, r->in_cells, 1);
  struct dc_amount unused = dc_plus (r->in_cells, r->guaranteed, -1);
  struct dc_amount reclaimable = dc_plus (w->total, r->nonpreemptible, -1);

  if (!w->joined)
    return;
  reclaimable = dc_plus (reclaimable, r->guaranteed, -1);
  expect (k, dc_covers (w->total, r->used), "no slot is allocated twice");
  expect (k, equal (w->free, dc_plus (w->total, r->used, -1)),
          "free capacity is counted correctly");
  expect (k, (r->mask & w->free_mask) == 0,
          "no allocated accelerator is marked free");
  expect (k, __builtin_popcountll (w->free_mask) == w->free.accelerators,
          "free accelerators are counted correctly");
  expect (k,
          equal (w->nonpreemptible, r->nonpreemptible)
              && equal (w->preemptible, r->preemptible)
              && equal (w->checkpointing, r->checkpointing)
              && equal (w->reserved, r->reserved)
              && equal (w->tentative, r->tentative)
              && equal (w->in_cells, r->in_cells),
          "the counters of a worker agree with a recount");
  if (!dc_worker_schedulable (w))
    return;
  expect (k, dc_covers (dc_plus (w->free, r->checkpointing, 1), r->reserved),
          "capacity reserved for a pending gang is free or being freed");
  expect (k, dc_covers (w->total, committed),
          "cells and work that cannot be preempted fit together");
  expect (k, dc_covers (reclaimable, unused),
          "capacity for an unused guarantee can be freed");
}

int
dc_check (struct dc *dc)
{
  struct checker k = { .dc = dc };

  k.worker = calloc (dc->workers.n + 1, sizeof *k.worker);
  if (!k.worker)
    return DC_ENOMEM;
  check_jobs (&k);
  check_cells (&k);
  for (uint32_t i = 0; i < dc->workers.n; i++)
    check_worker (&k, i);
  free (k.worker);
  if (!k.broken_invariant)
    return DC_OK;
  dc->broken_invariant = k.broken_invariant;
  return DC_EINVARIANT;
}
