/* Finds workers for unbound cells.  Those that do not fit stay unbound, small
   cells and then high account handles first.  Spare cells are unbound to make
   space for any other cell.  */
#include <stdlib.h>

#include "state.h"

static bool
binds_before (const struct dc *dc, uint32_t a, uint32_t b)
{
  const struct dc_cell *x = &dc->cells.v[a], *y = &dc->cells.v[b];

  if (x->size != y->size && x->account != DC_SPARE_ACCOUNT
      && y->account != DC_SPARE_ACCOUNT)
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
  return binds_before (arg, x, y) ? -1 : 1;
}

/* Unbinds one spare cell.  Returns false if none is bound.  */
static bool
unbind_spare (struct dc *dc)
{
  for (uint32_t s = dc->spare_cells; s != DC_NONE; s = dc->cells.v[s].next)
    if (dc->cells.v[s].parts)
      {
        dc_cell_unbind (dc, s);
        dc_cell_add_unbound (dc, s);
        return true;
      }
  return false;
}

static bool
bind_unbound (struct dc *dc, uint32_t cell)
{
  bool spare = dc->cells.v[cell].account == DC_SPARE_ACCOUNT;

  if (dc_cell_bind (dc, cell, DC_CAP_OUTSIDE_CELLS))
    return true;
  while (!spare && unbind_spare (dc))
    if (dc_cell_bind (dc, cell, DC_CAP_OUTSIDE_CELLS))
      return true;
  return false;
}

static void
mark_bound (struct dc *dc, uint32_t cell)
{
  struct dc_cell *c = &dc->cells.v[cell];

  c->in_unbound = false;
  if (c->account != DC_SPARE_ACCOUNT)
    dc_account_mark_dirty (dc, c->account);
}

/* Removes cells that are bound now from the first N of dc->unbound.  Returns
   how many of these remain.  */
static uint32_t
remove_bound (struct dc *dc, uint32_t n)
{
  uint32_t remaining = 0;

  for (uint32_t i = 0; i < n; i++)
    if (dc->cells.v[dc->unbound.v[i]].parts)
      mark_bound (dc, dc->unbound.v[i]);
    else
      dc->unbound.v[remaining++] = dc->unbound.v[i];
  return remaining;
}

void
dc_cell_rebind_all (struct dc *dc)
{
  uint32_t n = dc->unbound.n, still_unbound = 0;

  if (n == 0)
    return;
  qsort_r (dc->unbound.v, n, sizeof *dc->unbound.v, compare, dc);
  for (uint32_t i = 0; i < n; i++)
    {
      uint32_t cell = dc->unbound.v[i];
      struct dc_cell *c = &dc->cells.v[cell];

      if (!c->live)
        {
          c->in_unbound = false;
          c->next = dc->free_cells;
          dc->free_cells = cell;
        }
      else if (c->parts || bind_unbound (dc, cell))
        mark_bound (dc, cell);
      else
        dc->unbound.v[still_unbound++] = cell;
    }
  if (still_unbound > 0 && n == dc->unbound.n
      && (dc_repack (dc) || dc_pack (dc, false)))
    still_unbound = remove_bound (dc, still_unbound);
  for (uint32_t i = n; i < dc->unbound.n; i++)
    dc->unbound.v[still_unbound++] = dc->unbound.v[i];
  dc->unbound.n = still_unbound;
}
