/* Guaranteed cells and the workers that they are bound to.  A cell of S
   accelerators also reserves S slots, so that S tasks of one accelerator fit
   into it, or as many slots as the largest workers of S accelerators have if
   that is less.  */
#include "state.h"

struct dc_part *
dc_cell_part (const struct dc *dc, uint32_t cell, uint32_t worker)
{
  const struct dc_cell *c = &dc->cells.v[cell];

  for (int32_t i = 0; i < c->parts; i++)
    {
      struct dc_part *part = pl_at (&dc->parts, c->part + (uint32_t)i);

      if (part->worker == worker)
        return part;
    }
  return NULL;
}

int
dc_cell_new (struct dc *dc, uint32_t account, int32_t size, uint32_t *cell)
{
  struct dc_cell *c;

  if (dc->free_cells != DC_NONE)
    {
      *cell = dc->free_cells;
      dc->free_cells = dc->cells.v[*cell].next;
    }
  else
    {
      *cell = dc->cells.n;
      if (DC_GROW (dc, dc->cells, *cell))
        return DC_ENOMEM;
    }
  c = &dc->cells.v[*cell];
  *c = (struct dc_cell){ .account = account, .size = size, .live = true };
  if (account == DC_SPARE_ACCOUNT)
    {
      c->next = dc->spare_cells;
      dc->spare_cells = *cell;
    }
  else
    {
      c->next = dc->accounts.v[account].cells;
      dc->accounts.v[account].cells = *cell;
    }
  return DC_OK;
}

static void
link_part (struct dc *dc, uint32_t id)
{
  struct dc_part *part = pl_at (&dc->parts, id);
  struct dc_worker *w = &dc->workers.v[part->worker];

  part->prev = DC_NONE;
  part->next = w->parts;
  if (part->next != DC_NONE)
    ((struct dc_part *)pl_at (&dc->parts, part->next))->prev = id;
  w->parts = id;
}

static void
unlink_part (struct dc *dc, uint32_t id)
{
  struct dc_part *part = pl_at (&dc->parts, id);

  if (part->prev != DC_NONE)
    ((struct dc_part *)pl_at (&dc->parts, part->prev))->next = part->next;
  else
    dc->workers.v[part->worker].parts = part->next;
  if (part->next != DC_NONE)
    ((struct dc_part *)pl_at (&dc->parts, part->next))->prev = part->prev;
}

/* Binds CELL to the workers in dc->allocations, with UNIT for each task.  */
bool
dc_cell_bind_allocation (struct dc *dc, uint32_t cell, struct dc_amount unit)
{
  struct dc_cell *c = &dc->cells.v[cell];
  uint32_t first = pl_alloc (&dc->parts, dc->allocations.n);

  if (first == DC_NONE)
    return false;
  c->part = first;
  c->parts = (int32_t)dc->allocations.n;
  for (uint32_t i = 0; i < dc->allocations.n; i++)
    {
      struct dc_allocation allocation = dc->allocations.v[i];
      struct dc_part *part = pl_at (&dc->parts, first + i);

      *part = (struct dc_part){ .worker = allocation.worker, .cell = cell };
      part->size.accelerators = allocation.tasks * unit.accelerators;
      part->size.slots = allocation.tasks * unit.slots;
      link_part (dc, first + i);
      dc->workers.v[allocation.worker].in_cells
          = dc_plus (dc->workers.v[allocation.worker].in_cells, part->size, 1);
      dc_fleet_refresh (dc, allocation.worker);
    }
  return true;
}

void
dc_cell_unbind (struct dc *dc, uint32_t cell)
{
  struct dc_cell *c = &dc->cells.v[cell];

  if (c->jobs)
    dc_charge_release (dc, cell, false);
  for (int32_t i = 0; i < c->parts; i++)
    {
      uint32_t id = c->part + (uint32_t)i;
      struct dc_part *part = pl_at (&dc->parts, id);
      struct dc_worker *w = &dc->workers.v[part->worker];

      unlink_part (dc, id);
      w->in_cells = dc_plus (w->in_cells, part->size, -1);
      dc_fleet_refresh (dc, part->worker);
    }
  if (c->parts)
    pl_release (&dc->parts, c->part, (uint32_t)c->parts);
  c->parts = 0;
}

/* Binds an unused cell to the PARTS parts in COPY, which it had before.  */
void
dc_cell_restore (struct dc *dc, uint32_t cell, uint8_t level,
                 const struct dc_part *copy, int32_t parts)
{
  struct dc_cell *c = &dc->cells.v[cell];
  uint32_t first = pl_alloc (&dc->parts, (uint32_t)parts);

  if (first == DC_NONE)
    {
      dc_cell_add_unbound (dc, cell);
      return;
    }
  c->level = level;
  c->part = first;
  c->parts = parts;
  for (int32_t i = 0; i < parts; i++)
    {
      struct dc_worker *w = &dc->workers.v[copy[i].worker];

      *(struct dc_part *)pl_at (&dc->parts, first + (uint32_t)i) = copy[i];
      link_part (dc, first + (uint32_t)i);
      w->in_cells = dc_plus (w->in_cells, copy[i].size, 1);
      dc_fleet_refresh (dc, copy[i].worker);
    }
}

/* Removes the unused part of CELL from the accounting of its workers (SIGN is
   -1) or adds it again (1).  */
void
dc_cell_suspend (struct dc *dc, uint32_t cell, int sign)
{
  struct dc_cell *c = &dc->cells.v[cell];

  c->suspended = sign < 0;
  for (int32_t i = 0; i < c->parts; i++)
    {
      struct dc_part *part = pl_at (&dc->parts, c->part + (uint32_t)i);
      struct dc_worker *w = &dc->workers.v[part->worker];
      struct dc_amount unused = dc_plus (part->size, part->used, -1);

      w->in_cells = dc_plus (w->in_cells, unused, sign);
      dc_fleet_refresh (dc, part->worker);
    }
}

void
dc_cell_delete (struct dc *dc, uint32_t cell)
{
  struct dc_cell *c = &dc->cells.v[cell];
  uint32_t *link = c->account == DC_SPARE_ACCOUNT
                       ? &dc->spare_cells
                       : &dc->accounts.v[c->account].cells;

  dc_cell_unbind (dc, cell);
  while (*link != cell)
    link = &dc->cells.v[*link].next;
  *link = c->next;
  c->live = false;
  if (c->in_unbound)
    return; /* dc_cell_rebind_all removes it from dc->unbound and frees it */
  c->next = dc->free_cells;
  dc->free_cells = cell;
}

/* Adds CELL, which is not bound, to the list of unbound cells.  */
void
dc_cell_add_unbound (struct dc *dc, uint32_t cell)
{
  struct dc_cell *c = &dc->cells.v[cell];

  if (c->in_unbound || DC_GROW (dc, dc->unbound, dc->unbound.n))
    return;
  dc->unbound.v[dc->unbound.n - 1] = cell;
  c->in_unbound = true;
  dc->rebind_needed = true;
}

/* Unbinds every cell on WORKER, which may start no new work.  */
void
dc_cell_evict (struct dc *dc, uint32_t worker)
{
  while (dc->workers.v[worker].parts != DC_NONE)
    {
      const struct dc_part *part
          = pl_at (&dc->parts, dc->workers.v[worker].parts);
      uint32_t cell = part->cell;

      dc_cell_unbind (dc, cell);
      dc_cell_add_unbound (dc, cell);
    }
}

/* Unbinds cells of WORKER, unused ones first, until it is no longer
   overcommitted.  */
void
dc_cell_evict_excess (struct dc *dc, uint32_t worker)
{
  const struct dc_worker *w = &dc->workers.v[worker];

  while (w->parts != DC_NONE)
    {
      struct dc_amount unused = dc_capacity (dc, w, DC_CAP_OUTSIDE_CELLS);
      uint32_t id = w->parts, cell;

      if (unused.accelerators >= 0 && unused.slots >= 0)
        return;
      while (id != DC_NONE)
        {
          const struct dc_part *part = pl_at (&dc->parts, id);

          if (part->used.slots == 0 || part->next == DC_NONE)
            break;
          id = part->next;
        }
      cell = ((struct dc_part *)pl_at (&dc->parts, id))->cell;
      dc_cell_unbind (dc, cell);
      dc_cell_add_unbound (dc, cell);
    }
}
