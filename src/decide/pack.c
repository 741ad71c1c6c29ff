/* Packs cells in order of decreasing size.  A cell is placed around running
   work of its account that may not move if its worker then holds one more
   cell; otherwise where it was before; otherwise on the worker with the least
   free capacity that holds it.  With p->enclose_all a cell encloses all such
   work that fits into it.  That may pack more cells if only slots run short or
   if sizes do not divide each other.  */
#include "pack.h"

/* Allocates TASKS units of ITEM on WORKER.  */
void
pk_allocate (struct pk_packing *p, struct pk_item *item, uint32_t worker,
             int32_t tasks)
{
  uint32_t at = p->allocations.n;
  struct dc_amount size
      = { tasks * item->unit.accelerators, tasks * item->unit.slots };

  if (DC_GROW (p->dc, p->allocations, at))
    return;
  p->allocations.v[at] = (struct dc_allocation){ worker, tasks };
  if (item->allocations == 0)
    item->first_allocation = at;
  item->allocations++;
  p->free[worker] = dc_plus (p->free[worker], size, -1);
}

static uint32_t
next_unplaced (const struct pk_packing *p, uint32_t account, uint32_t first,
               uint32_t end)
{
  for (uint32_t i = first; i < end; i++)
    if (p->items.v[i].account == account && !p->items.v[i].placed)
      return i;
  return DC_NONE;
}

static uint32_t
end_of_worker (const struct pk_packing *p, uint32_t first)
{
  const struct pk_share *s = &p->shares.v[first];
  uint32_t end = first;

  while (end < p->shares.n && p->shares.v[end].account == s->account
         && p->shares.v[end].worker == s->worker)
    end++;
  return end;
}

static uint32_t
end_of_account (const struct pk_packing *p, uint32_t first)
{
  uint32_t end = first;

  while (end < p->shares.n
         && p->shares.v[end].account == p->shares.v[first].account)
    end++;
  return end;
}

static void
release_shares (struct pk_packing *p, uint32_t first, uint32_t end,
                uint32_t item)
{
  for (uint32_t i = first; i < end; i++)
    if (p->shares.v[i].item == item)
      p->shares.v[i].item = DC_NONE;
}

/* Assigns shares from FIRST to END, which are on one worker, to ITEM, the
   largest first: until the worker holds one more cell of that size, or with
   p->enclose_all as many as fit into one cell.  Returns their sum, or zero
   without a change if that does not make ITEM fit.  */
static struct dc_amount
enclose (struct pk_packing *p, uint32_t first, uint32_t end, uint32_t item)
{
  struct dc_amount unit = p->items.v[item].unit, sum = { 0, 0 };
  struct dc_amount capacity = p->free[p->shares.v[first].worker];
  int32_t cells_before = dc_tasks_fitting (capacity, unit);

  for (uint32_t i = first; i < end; i++)
    {
      struct pk_share *s = &p->shares.v[i];

      if (s->item != DC_NONE || !s->on_one_worker
          || !dc_covers (unit, dc_plus (sum, s->need, 1)))
        continue;
      s->item = item;
      sum = dc_plus (sum, s->need, 1);
      if (!p->enclose_all
          && dc_tasks_fitting (dc_plus (capacity, sum, 1), unit)
                 > cells_before)
        return sum;
    }
  if (p->enclose_all && dc_covers (dc_plus (capacity, sum, 1), unit))
    return sum;
  release_shares (p, first, end, item);
  return (struct dc_amount){ 0, 0 };
}

/* Returns the first share of the worker on which ITEM encloses the most work
   that may not move, or DC_NONE.  */
static uint32_t
best_enclosing (struct pk_packing *p, uint32_t first, uint32_t end,
                uint32_t item)
{
  uint32_t best = DC_NONE, next;
  int32_t largest = 0;

  for (uint32_t s = first; s < end; s = next)
    {
      struct dc_amount sum;

      next = end_of_worker (p, s);
      sum = enclose (p, s, next, item);
      release_shares (p, s, next, item);
      if (sum.accelerators <= largest)
        continue;
      largest = sum.accelerators;
      best = s;
    }
  return best;
}

/* Places cells of one size, items FIRST to END, around work that may not
   move.  */
static void
place_enclosing (struct pk_packing *p, uint32_t first, uint32_t end)
{
  uint32_t next;

  for (uint32_t s = 0; s < p->shares.n; s = next)
    {
      uint32_t account = p->shares.v[s].account, item, at;

      next = end_of_account (p, s);
      while ((item = next_unplaced (p, account, first, end)) != DC_NONE
             && (at = best_enclosing (p, s, next, item)) != DC_NONE)
        {
          uint32_t worker = p->shares.v[at].worker;
          struct dc_amount sum = enclose (p, at, end_of_worker (p, at), item);

          p->free[worker] = dc_plus (p->free[worker], sum, 1);
          pk_allocate (p, &p->items.v[item], worker, 1);
          p->items.v[item].placed = true;
        }
    }
}

static uint32_t
tightest_worker (const struct pk_packing *p, const struct pk_item *item)
{
  const struct dc_cell *c = &p->dc->cells.v[item->cell];
  uint32_t best = DC_NONE;

  if (c->parts == 1)
    {
      best = ((struct dc_part *)pl_at (&p->dc->parts, c->part))->worker;
      if (dc_covers (p->free[best], item->unit))
        return best;
      best = DC_NONE;
    }
  for (uint32_t w = 0; w < p->dc->workers.n; w++)
    if (dc_covers (p->free[w], item->unit)
        && (best == DC_NONE
            || p->free[w].accelerators < p->free[best].accelerators))
      best = w;
  return best;
}

static bool
place_item (struct pk_packing *p, struct pk_item *item)
{
  uint32_t worker;

  if (item->unit.accelerators < item->size)
    return pk_place_group (p, item);
  worker = tightest_worker (p, item);
  if (worker == DC_NONE)
    return false;
  pk_allocate (p, item, worker, 1);
  return true;
}

/* Returns whether every cell was placed.  */
bool
pk_solve (struct pk_packing *p)
{
  int32_t largest = dc_cell_largest (p->dc);
  uint32_t first = 0, end;

  for (; first < p->items.n; first = end)
    {
      int32_t size = p->items.v[first].size;

      for (end = first; end < p->items.n && p->items.v[end].size == size;
           end++)
        {
          p->items.v[end].level = DC_LEVEL_WORKER;
          if (size <= largest)
            p->items.v[end].unit = dc_cell_unit (p->dc, size);
        }
      if (size <= largest)
        place_enclosing (p, first, end);
      for (uint32_t i = first; i < end; i++)
        if (!p->items.v[i].placed && !place_item (p, &p->items.v[i]))
          return false;
    }
  return true;
}
