/* Moves cells between workers so that a gang can start at once instead of
   waiting for a checkpoint.  */
#include "state.h"

/* Moves an unused one-worker cell to idle capacity outside all cells.  Returns
   whether it moved; if not, it stays where it was.  */
bool
dc_cell_move_to_idle (struct dc *dc, uint32_t cell)
{
  struct dc_cell *c = &dc->cells.v[cell];
  uint32_t from;

  if (c->jobs || c->parts != 1)
    return false;
  from = ((struct dc_part *)pl_at (&dc->parts, c->part))->worker;
  dc_cell_unbind (dc, cell);
  if (dc_cell_bind (dc, cell, DC_CAP_IDLE_OUTSIDE_CELLS))
    return true;
  dc_cell_bind_at (dc, cell, from);
  return false;
}

/* Unbinds unused one-worker cells of WORKER until it has NEED outside cells.
   Stores their handles in MOVED and returns their number, at most
   DC_MAX_MOVED.  */
int
dc_cells_unbind_unused (struct dc *dc, uint32_t worker, struct dc_amount need,
                        uint32_t moved[DC_MAX_MOVED])
{
  const struct dc_worker *w = &dc->workers.v[worker];
  uint32_t id = w->parts;
  int n = 0;

  while (id != DC_NONE && n < DC_MAX_MOVED
         && !dc_covers (dc_capacity (dc, w, DC_CAP_OUTSIDE_CELLS), need))
    {
      const struct dc_part *part = pl_at (&dc->parts, id);
      const struct dc_cell *c = &dc->cells.v[part->cell];

      id = part->next;
      if (c->jobs || c->parts != 1)
        continue;
      moved[n++] = part->cell;
      dc_cell_unbind (dc, part->cell);
    }
  return n;
}

/* Moves CELL, an unused one-worker cell, to WORKER.  Unused cells there move
   to the previous worker of CELL or elsewhere.  Changes nothing and returns
   false if that fails.  */
bool
dc_cell_exchange (struct dc *dc, uint32_t cell, uint32_t worker)
{
  const struct dc_cell *c = &dc->cells.v[cell];
  uint32_t moved[DC_MAX_MOVED], from;
  bool done;
  int n, placed = 0;

  if (c->jobs || c->parts != 1)
    return false;
  from = ((struct dc_part *)pl_at (&dc->parts, c->part))->worker;
  if (from == worker)
    return true;
  dc_cell_unbind (dc, cell);
  n = dc_cells_unbind_unused (dc, worker, dc_cell_unit (dc, c->size), moved);
  done = dc_cell_bind_at (dc, cell, worker);
  while (done && placed < n)
    {
      done = dc_cell_bind_at (dc, moved[placed], from)
             || dc_cell_bind (dc, moved[placed], DC_CAP_OUTSIDE_CELLS);
      placed += done;
    }
  if (done)
    return true;
  dc_cell_unbind (dc, cell);
  while (placed > 0)
    dc_cell_unbind (dc, moved[--placed]);
  while (n > 0)
    dc_cell_bind_at (dc, moved[--n], worker);
  dc_cell_bind_at (dc, cell, from);
  return false;
}
