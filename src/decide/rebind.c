/* Finds new workers for cells that lost theirs.  What no longer fits waits,
   the smallest cells and then the highest accounts first; spare cells give
   way to all others.  */
#include <stdlib.h>

#include "state.h"

static bool
before (const struct dc *dc, uint32_t a, uint32_t b)
{
  const struct dc_cell *x = &dc->cells.v[a], *y = &dc->cells.v[b];

  if (x->size != y->size && x->account != DC_SPARE && y->account != DC_SPARE)
    return x->size > y->size;
  if (x->account != y->account)
    return x->account < y->account;
  return a < b;
}

static int
compare (const void *a, const void *b, void *arg)
{
  uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

  if (x == y)
    return 0;
  return before (arg, x, y) ? -1 : 1;
}

/* Gives up one bound spare cell; returns whether there was one.  */
static bool
use_spare (struct dc *dc)
{
  for (uint32_t s = dc->spares; s != DC_NONE; s = dc->cells.v[s].next)
    if (dc->cells.v[s].parts)
      {
        dc_cell_unbind (dc, s);
        dc_cell_wait (dc, s);
        return true;
      }
  return false;
}

static bool
bind_waiting (struct dc *dc, uint32_t cell)
{
  bool spare = dc->cells.v[cell].account == DC_SPARE;

  if (dc_cell_bind (dc, cell, DC_CAP_UNRESERVED))
    return true;
  while (!spare && use_spare (dc))
    if (dc_cell_bind (dc, cell, DC_CAP_UNRESERVED))
      return true;
  return false;
}

static void
bound (struct dc *dc, uint32_t cell)
{
  struct dc_cell *c = &dc->cells.v[cell];

  c->waiting = false;
  if (c->account != DC_SPARE)
    dc_account_touch (dc, c->account);
}

/* Takes those that are bound now out of the first N; returns how many are
   left.  */
static uint32_t
note_bound (struct dc *dc, uint32_t n)
{
  uint32_t left = 0;

  for (uint32_t i = 0; i < n; i++)
    if (dc->cells.v[dc->unbound.v[i]].parts)
      bound (dc, dc->unbound.v[i]);
    else
      dc->unbound.v[left++] = dc->unbound.v[i];
  return left;
}

void
dc_cell_rebind_all (struct dc *dc)
{
  uint32_t n = dc->unbound.n, kept = 0;

  if (n == 0)
    return;
  qsort_r (dc->unbound.v, n, sizeof *dc->unbound.v, compare, dc);
  for (uint32_t i = 0; i < n; i++)
    {
      uint32_t cell = dc->unbound.v[i];
      struct dc_cell *c = &dc->cells.v[cell];

      if (!c->live)
        {
          c->waiting = false;
          c->next = dc->free_cells;
          dc->free_cells = cell;
        }
      else if (c->parts || bind_waiting (dc, cell))
        bound (dc, cell);
      else
        dc->unbound.v[kept++] = cell;
    }
  if (kept > 0 && n == dc->unbound.n
      && (dc_repack (dc) || dc_pack (dc, false)))
    kept = note_bound (dc, kept);
  for (uint32_t i = n; i < dc->unbound.n; i++)
    dc->unbound.v[kept++] = dc->unbound.v[i];
  dc->unbound.n = kept;
}
