/* Reads the cells and the work that may not move from the state.  */
#include "pack.h"

#include <stdlib.h>

/* Returns whether a packing must leave JOB where it is.  */
static bool
may_not_move (const struct dc_job *job)
{
  return job->state == DC_RUNNING && !job->spec.preemptible;
}

static int
add_share (struct pk_packing *p, uint32_t worker, uint32_t first, uint32_t id)
{
  const struct dc_job *job = &p->dc->jobs.v[id];
  uint32_t at = first;

  while (at < p->shares.n && p->shares.v[at].job != id)
    at++;
  if (at == p->shares.n)
    {
      if (DC_GROW (p->dc, p->shares, at))
        return DC_ENOMEM;
      p->shares.v[at] = (struct pk_share){ .job = id,
                                           .account = job->spec.account,
                                           .worker = worker,
                                           .item = DC_NONE };
    }
  p->shares.v[at].need = dc_plus (p->shares.v[at].need, dc_need (job, 1), 1);
  p->shares.v[at].on_one_worker
      = p->shares.v[at].need.slots == job->tasks_remaining;
  return DC_OK;
}

static int
read_worker (struct pk_packing *p, uint32_t id)
{
  const struct dc_worker *w = &p->dc->workers.v[id];
  uint32_t first = p->shares.n, t = w->tasks;

  if (!dc_worker_schedulable (w))
    return DC_OK;
  p->free[id] = w->total;
  while (t != DC_NONE)
    {
      const struct dc_task *task = pl_at (&p->dc->tasks, t);
      const struct dc_job *job = &p->dc->jobs.v[task->job];

      t = task->next;
      if (!may_not_move (job))
        continue;
      p->free[id] = dc_plus (p->free[id], dc_need (job, 1), -1);
      if (job->spec.per_task > 0 && add_share (p, id, first, task->job))
        return DC_ENOMEM;
    }
  return DC_OK;
}

static int
add_cell (struct pk_packing *p, uint32_t id)
{
  const struct dc_cell *c = &p->dc->cells.v[id];
  uint32_t at = p->items.n;

  if (!c->live || c->suspended
      || (c->account == DC_SPARE_ACCOUNT && c->in_unbound
          && !p->include_spares))
    return DC_OK;
  if (DC_GROW (p->dc, p->items, at))
    return DC_ENOMEM;
  p->items.v[at].cell = id;
  p->items.v[at].account = c->account;
  p->items.v[at].size = c->size;
  return DC_OK;
}

static int
compare_shares (const void *a, const void *b)
{
  const struct pk_share *x = a, *y = b;

  if (x->account != y->account)
    return x->account < y->account ? -1 : 1;
  if (x->worker != y->worker)
    return x->worker < y->worker ? -1 : 1;
  if (x->need.accelerators != y->need.accelerators)
    return x->need.accelerators > y->need.accelerators ? -1 : 1;
  return (x->job > y->job) - (x->job < y->job);
}

static int
compare_items (const void *a, const void *b)
{
  const struct pk_item *x = a, *y = b;

  if (x->size != y->size)
    return x->size > y->size ? -1 : 1;
  return (x->cell > y->cell) - (x->cell < y->cell);
}

int
pk_init (struct pk_packing *p, struct dc *dc)
{
  p->dc = dc;
  p->free = calloc (dc->workers.n + 1, sizeof *p->free);
  p->group_capacity
      = calloc (dc->racks.n + dc->domains.n + 1, sizeof *p->group_capacity);
  if (!p->free || !p->group_capacity)
    return DC_ENOMEM;
  for (uint32_t w = 0; w < dc->workers.n; w++)
    if (read_worker (p, w))
      return DC_ENOMEM;
  for (uint32_t c = 0; c < dc->cells.n; c++)
    if (add_cell (p, c))
      return DC_ENOMEM;
  if (p->shares.n)
    qsort (p->shares.v, p->shares.n, sizeof *p->shares.v, compare_shares);
  if (p->items.n)
    qsort (p->items.v, p->items.n, sizeof *p->items.v, compare_items);
  return DC_OK;
}

void
pk_fini (struct pk_packing *p)
{
  free (p->free);
  free (p->group_capacity);
  free (p->shares.v);
  free (p->items.v);
  free (p->allocations.v);
}
