/* Chooses workers for cells and binds the cells to them.  */
#include "state.h"

/* Returns what a cell reserves on one worker for a block of ACCELERATORS.  */
struct dc_amount
dc_cell_unit (const struct dc *dc, int32_t accelerators)
{
  int32_t slots = dc->max_slots[accelerators];

  return (struct dc_amount){ accelerators,
                             slots < accelerators ? slots : accelerators };
}

/* Returns the accelerators of the largest worker that has slots.  */
int32_t
dc_cell_largest (const struct dc *dc)
{
  int32_t size = DC_MAX_ACCELERATORS;

  while (size > 0 && dc->max_slots[size] == 0)
    size--;
  return size;
}

/* Returns the level at which SIZE accelerators count as adjacent: one worker
   if the largest holds that many, else one rack if any split into equal blocks
   fits the largest rack, else one failure domain.  */
enum dc_level
dc_cell_level (const struct dc *dc, int32_t size)
{
  enum dc_level least = DC_LEVEL_NONE;

  if (size <= dc_cell_largest (dc))
    return DC_LEVEL_WORKER;
  for (int32_t block = dc_cell_largest (dc); block > 0; block--)
    if (size % block == 0)
      {
        enum dc_level level = dc_level_of (dc, size / block, block);

        if (level != DC_LEVEL_WORKER && level < least)
          least = level;
      }
  return least;
}

/* Searches capacity of kind CAP for a cell of SIZE: on one worker if the cell
   fits one, else for the largest equal blocks that can all be placed.  */
static bool
search_cell (struct dc *dc, int32_t size, enum dc_capacity cap,
             struct dc_request *request)
{
  int32_t block = dc_cell_largest (dc);

  request->level = dc_cell_level (dc, size);
  if (block == 0 || request->level == DC_LEVEL_NONE)
    return false;
  if (request->level == DC_LEVEL_WORKER)
    block = size;
  for (; block > 0; block--)
    if (size % block == 0)
      {
        request->tasks = size / block;
        request->unit = dc_cell_unit (dc, block);
        if (dc_search (dc, request, cap))
          return true;
        if (request->level == DC_LEVEL_WORKER)
          return false;
      }
  return false;
}

/* Binds CELL, which must be unbound, where there is capacity of kind CAP.
   Returns false if there is none.  */
bool
dc_cell_bind (struct dc *dc, uint32_t cell, enum dc_capacity cap)
{
  struct dc_request request = { 0 };
  struct dc_cell *c = &dc->cells.v[cell];

  if (!search_cell (dc, c->size, cap, &request))
    return false;
  c->level = request.level;
  return dc_cell_bind_allocation (dc, cell, request.unit);
}

/* Returns whether CELL fits on WORKER alone.  */
static bool
fits_at (const struct dc *dc, uint32_t cell, uint32_t worker)
{
  const struct dc_cell *c = &dc->cells.v[cell];
  const struct dc_worker *w = &dc->workers.v[worker];

  return c->size <= w->total.accelerators && dc_worker_schedulable (w)
         && dc_covers (dc_capacity (dc, w, DC_CAP_OUTSIDE_CELLS),
                       dc_cell_unit (dc, c->size));
}

/* Binds CELL, which must be unbound, to WORKER alone.  Returns false if it
   does not fit there.  */
bool
dc_cell_bind_at (struct dc *dc, uint32_t cell, uint32_t worker)
{
  struct dc_cell *c = &dc->cells.v[cell];

  if (!fits_at (dc, cell, worker))
    return false;
  dc->allocations.n = 0;
  if (dc_add_allocation (dc, worker, 1))
    return false;
  c->level = DC_LEVEL_WORKER;
  return dc_cell_bind_allocation (dc, cell, dc_cell_unit (dc, c->size));
}
