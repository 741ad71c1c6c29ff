/* The places of a gang and the books of its workers.  */
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

  t->live = true;
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
  t->live = false;
}

/* Adds one task of JOB to the books of its worker, or takes it out.  */
static void
book (struct dc *dc, const struct dc_job *job, const struct dc_task *t,
      int sign)
{
  struct dc_worker *w = &dc->workers.v[t->worker];
  struct dc_amount need = dc_need (job, 1);

  if (job->kind == DC_KIND_GUARANTEED)
    {
      struct dc_part *part = dc_cell_part (dc, job->cell, t->worker);

      part->used = dc_plus (part->used, need, sign);
      if (!dc_gives_way (job))
        part->firm = dc_plus (part->firm, need, sign);
    }
  else if (job->kind == DC_KIND_HARD)
    w->hard = dc_plus (w->hard, need, sign);
  else if (job->state == DC_RUNNING)
    w->soft = dc_plus (w->soft, need, sign);
  if (job->state == DC_CHECKPOINTING)
    w->stopping = dc_plus (w->stopping, need, sign);
  if (job->state == DC_PENDING && job->kind == DC_KIND_SOFT)
    w->drained = dc_plus (w->drained, need, sign);
  else if (job->state == DC_PENDING)
    w->held = dc_plus (w->held, need, sign);
}

/* Adds JOB to the running preemptible gangs outside cells of its account, or
   takes it out.  */
static void
list_soft (struct dc *dc, struct dc_job *job, int sign)
{
  uint32_t id = (uint32_t)(job - dc->jobs.v);
  uint32_t *head = &dc->accounts.v[job->spec.account].soft;

  if (sign > 0)
    {
      job->soft_prev = DC_NONE;
      job->soft_next = *head;
      if (*head != DC_NONE)
        dc->jobs.v[*head].soft_prev = id;
      *head = id;
      return;
    }
  if (job->soft_prev != DC_NONE)
    dc->jobs.v[job->soft_prev].soft_next = job->soft_next;
  else
    *head = job->soft_next;
  if (job->soft_next != DC_NONE)
    dc->jobs.v[job->soft_next].soft_prev = job->soft_prev;
}

static void
book_all (struct dc *dc, struct dc_job *job, int sign)
{
  uint32_t last = DC_NONE;

  for (int32_t i = 0; i < job->spec.tasks; i++)
    {
      const struct dc_task *t = dc_gang_task (dc, job, i);

      if (!t->live)
        continue;
      if (last != DC_NONE && last != t->worker)
        dc_fleet_refresh (dc, last);
      last = t->worker;
      book (dc, job, t, sign);
    }
  if (last != DC_NONE)
    dc_fleet_refresh (dc, last);
  if (job->kind == DC_KIND_GUARANTEED)
    dc->cells.v[job->cell].jobs += (uint32_t)sign;
  else if (job->kind == DC_KIND_SOFT && job->state == DC_RUNNING)
    list_soft (dc, job, sign);
}

/* Moves a placed gang to another state and kind in all books.  */
void
dc_gang_set (struct dc *dc, uint32_t id, enum dc_state state,
             enum dc_kind kind, uint32_t cell)
{
  struct dc_job *job = &dc->jobs.v[id];

  book_all (dc, job, -1);
  job->state = state;
  job->kind = kind;
  job->cell = cell;
  book_all (dc, job, 1);
}

/* Gives JOB the workers in dc->spots; it is pending then.  */
int
dc_gang_place (struct dc *dc, uint32_t id, enum dc_kind kind, uint32_t cell)
{
  struct dc_job *job = &dc->jobs.v[id];
  uint32_t at = pl_take (&dc->tasks, (uint32_t)job->spec.tasks);

  if (at == DC_NONE)
    return DC_ENOMEM;
  job->task = at;
  job->left = job->spec.tasks;
  job->state = DC_PENDING;
  job->level = (uint8_t)dc_level_of (dc, job->spec.tasks, job->spec.per_task);
  job->kind = kind;
  job->cell = cell;
  for (uint32_t s = 0; s < dc->spots.n; s++)
    for (int32_t i = 0; i < dc->spots.v[s].tasks; i++, at++)
      {
        struct dc_task *t = pl_at (&dc->tasks, at);

        t->worker = dc->spots.v[s].worker;
        t->job = id;
        link_task (dc, at);
      }
  book_all (dc, job, 1);
  return DC_OK;
}

static void
rename_tasks (struct dc *dc, uint32_t id)
{
  const struct dc_job *job = &dc->jobs.v[id];

  for (int32_t i = 0; i < job->spec.tasks; i++)
    dc_gang_task (dc, job, i)->job = id;
}

/* Exchanges the places of two pending gangs of one account and shape, both
   in cells.  */
void
dc_gang_swap (struct dc *dc, uint32_t a, uint32_t b)
{
  struct dc_job *x = &dc->jobs.v[a], *y = &dc->jobs.v[b];
  uint32_t task = x->task, cell = x->cell;

  book_all (dc, x, -1);
  book_all (dc, y, -1);
  x->task = y->task;
  x->cell = y->cell;
  y->task = task;
  y->cell = cell;
  rename_tasks (dc, a);
  rename_tasks (dc, b);
  book_all (dc, x, 1);
  book_all (dc, y, 1);
}

/* Takes COUNT bits of FREE: an aligned block if there is one, in the fullest
   block of twice its size.  */
static uint64_t
pick (uint64_t free, int count)
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
      int left = __builtin_popcountll (free >> outer & around);

      bits <<= at;
      if ((free & bits) == bits && left < best)
        {
          best = left;
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
  dc->freed = true;
}

static void
act_start (struct dc *dc, uint32_t id)
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
  dc_act (dc, DC_ACT_START, id, job->attempt, NULL);
}

static void
begin (struct dc *dc, struct dc_job *job)
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

      t->mask = pick (dc->workers.v[t->worker].free_mask, job->spec.per_task);
      occupy (dc, job, t);
    }
  dc_gang_set (dc, id, DC_RUNNING, job->kind, job->cell);
  job->attempt++;
  begin (dc, job);
  act_start (dc, id);
}

/* Books a placed gang at the places where it runs already.  */
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
  dc_gang_set (dc, id, DC_RUNNING, job->kind, job->cell);
  begin (dc, job);
}

/* Ends one task of a running gang and frees its place.  */
void
dc_gang_end_task (struct dc *dc, uint32_t id, int32_t task)
{
  struct dc_job *job = &dc->jobs.v[id];
  struct dc_task *t = dc_gang_task (dc, job, task);

  book (dc, job, t, -1);
  if (job->state != DC_PENDING)
    vacate (dc, job, t);
  unlink_task (dc, job->task + (uint32_t)task);
  dc_fleet_refresh (dc, t->worker);
  job->left--;
}

/* Ends all that is left of a placed gang.  */
void
dc_gang_unplace (struct dc *dc, uint32_t id)
{
  struct dc_job *job = &dc->jobs.v[id];

  for (int32_t i = 0; i < job->spec.tasks; i++)
    if (dc_gang_task (dc, job, i)->live)
      dc_gang_end_task (dc, id, i);
  if (job->state != DC_PENDING)
    dc->running_jobs--;
  pl_give (&dc->tasks, job->task, (uint32_t)job->spec.tasks);
  job->task = DC_NONE;
  if (dc->unbound.n > 0 && job->kind != DC_KIND_SOFT)
    dc->rebind = true; /* what it leaves may hold a cell */
  if (job->kind == DC_KIND_GUARANTEED)
    {
      dc->cells.v[job->cell].jobs--;
      dc_account_touch (dc, job->spec.account);
    }
  else if (job->kind == DC_KIND_SOFT && job->state == DC_RUNNING)
    list_soft (dc, job, -1);
  job->cell = DC_NONE;
  job->kind = DC_KIND_SOFT;
  job->state = DC_QUEUED; /* or what the caller makes of it */
}
