/* Places of gangs and the accounting on their workers.  */
#include "state.h"

struct dc_task *
dc_gang_task (const struct dc *dc, const struct dc_job *job, int32_t task)
{
  return pl_at (&dc->tasks, job->task + (uint32_t)task);
}

static void
link_task (struct dc *dc, uint32_t id)
{
  struct dc_task *t = pl_at (&dc->tasks, id);
  struct dc_worker *w = &dc->workers.v[t->worker];

  t->active = true;
  t->prev = DC_NONE;
  t->next = w->tasks;
  if (t->next != DC_NONE)
    ((struct dc_task *)pl_at (&dc->tasks, t->next))->prev = id;
  w->tasks = id;
}

static void
unlink_task (struct dc *dc, uint32_t id)
{
  struct dc_task *t = pl_at (&dc->tasks, id);

  if (t->prev != DC_NONE)
    ((struct dc_task *)pl_at (&dc->tasks, t->prev))->next = t->next;
  else
    dc->workers.v[t->worker].tasks = t->next;
  if (t->next != DC_NONE)
    ((struct dc_task *)pl_at (&dc->tasks, t->next))->prev = t->prev;
  t->active = false;
}

/* Adds one task of JOB to the counters of its worker (SIGN is 1) or subtracts
   it (-1).  */
static void
account_task (struct dc *dc, const struct dc_job *job, const struct dc_task *t,
              int sign)
{
  struct dc_worker *w = &dc->workers.v[t->worker];
  struct dc_amount need = dc_need (job, 1);

  if (job->usage == DC_USAGE_GUARANTEED)
    {
      struct dc_part *part = dc_cell_part (dc, job->cell, t->worker);

      part->used = dc_plus (part->used, need, sign);
      if (!dc_is_preemptible_bulk (job))
        part->fixed = dc_plus (part->fixed, need, sign);
    }
  else if (job->usage == DC_USAGE_NONPREEMPTIBLE)
    w->nonpreemptible = dc_plus (w->nonpreemptible, need, sign);
  else if (job->state == DC_RUNNING)
    w->preemptible = dc_plus (w->preemptible, need, sign);
  if (job->state == DC_CHECKPOINTING)
    w->checkpointing = dc_plus (w->checkpointing, need, sign);
  if (job->state == DC_PENDING && job->usage == DC_USAGE_PREEMPTIBLE)
    w->tentative = dc_plus (w->tentative, need, sign);
  else if (job->state == DC_PENDING)
    w->reserved = dc_plus (w->reserved, need, sign);
}

/* Adds JOB to its account's list of running preemptible gangs outside cells
   (SIGN is 1) or removes it (-1).  */
static void
list_preemptible (struct dc *dc, struct dc_job *job, int sign)
{
  uint32_t id = (uint32_t)(job - dc->jobs.v);
  uint32_t *head = &dc->accounts.v[job->spec.account].preemptible_jobs;

  if (sign > 0)
    {
      job->preemptible_prev = DC_NONE;
      job->preemptible_next = *head;
      if (*head != DC_NONE)
        dc->jobs.v[*head].preemptible_prev = id;
      *head = id;
      return;
    }
  if (job->preemptible_prev != DC_NONE)
    dc->jobs.v[job->preemptible_prev].preemptible_next = job->preemptible_next;
  else
    *head = job->preemptible_next;
  if (job->preemptible_next != DC_NONE)
    dc->jobs.v[job->preemptible_next].preemptible_prev = job->preemptible_prev;
}

static void
count_gang_usage (struct dc *dc, struct dc_job *job, int sign)
{
  uint32_t last = DC_NONE;

  for (int32_t i = 0; i < job->spec.tasks; i++)
    {
      const struct dc_task *t = dc_gang_task (dc, job, i);

      if (!t->active)
        continue;
      if (last != DC_NONE && last != t->worker)
        dc_fleet_refresh (dc, last);
      last = t->worker;
      account_task (dc, job, t, sign);
    }
  if (last != DC_NONE)
    dc_fleet_refresh (dc, last);
  if (job->usage == DC_USAGE_GUARANTEED)
    dc->cells.v[job->cell].jobs += (uint32_t)sign;
  else if (job->usage == DC_USAGE_PREEMPTIBLE && job->state == DC_RUNNING)
    list_preemptible (dc, job, sign);
}

/* Changes the state, usage and cell of a placed gang and updates all
   counters.  */
void
dc_gang_set_state (struct dc *dc, uint32_t id, enum dc_state state,
                   enum dc_usage usage, uint32_t cell)
{
  struct dc_job *job = &dc->jobs.v[id];

  count_gang_usage (dc, job, -1);
  job->state = state;
  job->usage = usage;
  job->cell = cell;
  count_gang_usage (dc, job, 1);
}

/* Gives JOB the places in dc->allocations and makes it pending.  */
int
dc_gang_place (struct dc *dc, uint32_t id, enum dc_usage usage, uint32_t cell)
{
  struct dc_job *job = &dc->jobs.v[id];
  uint32_t at = pl_alloc (&dc->tasks, (uint32_t)job->spec.tasks);

  if (at == DC_NONE)
    return DC_ENOMEM;
  job->task = at;
  job->tasks_remaining = job->spec.tasks;
  job->state = DC_PENDING;
  job->level = (uint8_t)dc_level_of (dc, job->spec.tasks, job->spec.per_task);
  job->usage = usage;
  job->cell = cell;
  for (uint32_t s = 0; s < dc->allocations.n; s++)
    for (int32_t i = 0; i < dc->allocations.v[s].tasks; i++, at++)
      {
        struct dc_task *t = pl_at (&dc->tasks, at);

        t->worker = dc->allocations.v[s].worker;
        t->job = id;
        link_task (dc, at);
      }
  count_gang_usage (dc, job, 1);
  return DC_OK;
}

static void
set_task_owner (struct dc *dc, uint32_t id)
{
  const struct dc_job *job = &dc->jobs.v[id];

  for (int32_t i = 0; i < job->spec.tasks; i++)
    dc_gang_task (dc, job, i)->job = id;
}

/* Exchanges the places of two pending gangs of one account and shape that are
   both in cells.  */
void
dc_gang_swap (struct dc *dc, uint32_t a, uint32_t b)
{
  struct dc_job *x = &dc->jobs.v[a], *y = &dc->jobs.v[b];
  uint32_t task = x->task, cell = x->cell;

  count_gang_usage (dc, x, -1);
  count_gang_usage (dc, y, -1);
  x->task = y->task;
  x->cell = y->cell;
  y->task = task;
  y->cell = cell;
  set_task_owner (dc, a);
  set_task_owner (dc, b);
  count_gang_usage (dc, x, 1);
  count_gang_usage (dc, y, 1);
}

/* Picks COUNT bits of FREE.  An aligned block is preferred, in the aligned
   block of twice the size with the fewest free bits.  */
static uint64_t
pick_accelerators (uint64_t free, int count)
{
  int block = 1, best = INT32_MAX;
  uint64_t found = 0;

  if (count == 0)
    return 0;
  while (block < count)
    block *= 2;
  for (int at = 0; at < DC_MAX_ACCELERATORS; at += block)
    {
      uint64_t bits = count == 64 ? ~0ULL : (1ULL << count) - 1;
      int outer = at / (2 * block) * (2 * block);
      uint64_t around = block >= 32 ? ~0ULL : (1ULL << 2 * block) - 1;
      int free_around = __builtin_popcountll (free >> outer & around);

      bits <<= at;
      if ((free & bits) == bits && free_around < best)
        {
          best = free_around;
          found = bits;
        }
    }
  for (int i = 0; !found || __builtin_popcountll (found) < count; i++)
    if (free >> i & 1)
      found |= 1ULL << i;
  return found;
}

static void
occupy (struct dc *dc, const struct dc_job *job, struct dc_task *t)
{
  struct dc_worker *w = &dc->workers.v[t->worker];

  w->free_mask &= ~t->mask;
  w->free = dc_plus (w->free, dc_need (job, 1), -1);
}

static void
vacate (struct dc *dc, const struct dc_job *job, struct dc_task *t)
{
  struct dc_worker *w = &dc->workers.v[t->worker];

  w->free_mask |= t->mask;
  w->free = dc_plus (w->free, dc_need (job, 1), 1);
  dc->capacity_freed = true;
}

static void
add_start_action (struct dc *dc, uint32_t id)
{
  const struct dc_job *job = &dc->jobs.v[id];
  uint32_t first = dc->places.n;

  if (DC_GROW (dc, dc->places, first + (uint32_t)job->spec.tasks - 1))
    return;
  for (int32_t i = 0; i < job->spec.tasks; i++)
    {
      const struct dc_task *t = dc_gang_task (dc, job, i);

      dc->places.v[first + (uint32_t)i]
          = (struct dc_place){ t->worker, t->mask };
    }
  dc_add_action (dc, DC_ACT_START, id, job->attempt, NULL);
}

static void
mark_started (struct dc *dc, struct dc_job *job)
{
  job->start_ms = dc->now_ms;
  dc->running_jobs++;
}

/* Starts a placed gang whose places are free.  */
void
dc_gang_start (struct dc *dc, uint32_t id)
{
  struct dc_job *job = &dc->jobs.v[id];

  for (int32_t i = 0; i < job->spec.tasks; i++)
    {
      struct dc_task *t = dc_gang_task (dc, job, i);

      t->mask = pick_accelerators (dc->workers.v[t->worker].free_mask,
                                   job->spec.per_task);
      occupy (dc, job, t);
    }
  dc_gang_set_state (dc, id, DC_RUNNING, job->usage, job->cell);
  job->attempt++;
  mark_started (dc, job);
  add_start_action (dc, id);
}

/* Records that a placed gang already runs at PLACE.  */
void
dc_gang_adopt (struct dc *dc, uint32_t id, const struct dc_place *place)
{
  struct dc_job *job = &dc->jobs.v[id];

  for (int32_t i = 0; i < job->spec.tasks; i++)
    {
      struct dc_task *t = dc_gang_task (dc, job, i);

      t->mask = place[i].accelerators;
      occupy (dc, job, t);
    }
  dc_gang_set_state (dc, id, DC_RUNNING, job->usage, job->cell);
  mark_started (dc, job);
}

/* Ends one task of a placed gang and frees its place.  */
void
dc_gang_end_task (struct dc *dc, uint32_t id, int32_t task)
{
  struct dc_job *job = &dc->jobs.v[id];
  struct dc_task *t = dc_gang_task (dc, job, task);

  account_task (dc, job, t, -1);
  if (job->state != DC_PENDING)
    vacate (dc, job, t);
  unlink_task (dc, job->task + (uint32_t)task);
  dc_fleet_refresh (dc, t->worker);
  job->tasks_remaining--;
}

/* Ends all remaining tasks of a placed gang and leaves it queued.  The caller
   may set another state.  */
void
dc_gang_unplace (struct dc *dc, uint32_t id)
{
  struct dc_job *job = &dc->jobs.v[id];

  for (int32_t i = 0; i < job->spec.tasks; i++)
    if (dc_gang_task (dc, job, i)->active)
      dc_gang_end_task (dc, id, i);
  if (job->state != DC_PENDING)
    dc->running_jobs--;
  pl_release (&dc->tasks, job->task, (uint32_t)job->spec.tasks);
  job->task = DC_NONE;
  if (dc->unbound.n > 0 && job->usage != DC_USAGE_PREEMPTIBLE)
    dc->rebind_needed = true; /* the freed capacity may hold a cell */
  if (job->usage == DC_USAGE_GUARANTEED)
    {
      dc->cells.v[job->cell].jobs--;
      dc_account_mark_dirty (dc, job->spec.account);
    }
  else if (job->usage == DC_USAGE_PREEMPTIBLE && job->state == DC_RUNNING)
    list_preemptible (dc, job, -1);
  job->cell = DC_NONE;
  job->usage = DC_USAGE_PREEMPTIBLE;
  job->state = DC_QUEUED; /* the caller may set another state */
}
