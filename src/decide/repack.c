/* Binds all unused cells again in order of decreasing size, when they do not
   fit where they are.  */
#include <stdlib.h>
#include <string.h>

#include "state.h"

struct saved
{
  uint32_t cell;
  uint8_t level;
  int32_t parts;
  uint32_t first_part; /* index in PART of struct repack */
};

struct repack
{
  struct dc *dc;
  struct saved *cell;
  uint32_t cells;
  struct dc_part *part;
  uint32_t parts;
};

static bool
movable (const struct dc_cell *c)
{
  return c->live && c->jobs == 0 && !c->suspended;
}

static bool
allocate (struct repack *r)
{
  uint32_t cells = 0, parts = 0;

  for (uint32_t i = 0; i < r->dc->cells.n; i++)
    if (movable (&r->dc->cells.v[i]))
      {
        cells++;
        parts += (uint32_t)r->dc->cells.v[i].parts;
      }
  r->cell = malloc ((cells + 1) * sizeof *r->cell);
  r->part = malloc ((parts + 1) * sizeof *r->part);
  return r->cell && r->part;
}

static void
save (struct repack *r)
{
  for (uint32_t i = 0; i < r->dc->cells.n; i++)
    {
      const struct dc_cell *c = &r->dc->cells.v[i];

      if (!movable (c))
        continue;
      r->cell[r->cells++] = (struct saved){ i, c->level, c->parts, r->parts };
      for (int32_t p = 0; p < c->parts; p++)
        memcpy (&r->part[r->parts++],
                pl_at (&r->dc->parts, c->part + (uint32_t)p), sizeof *r->part);
    }
}

static int
larger_first (const void *a, const void *b, void *arg)
{
  const struct saved *x = a, *y = b;
  const struct dc *dc = arg;
  int32_t p = dc->cells.v[x->cell].size, q = dc->cells.v[y->cell].size;

  if (p != q)
    return p > q ? -1 : 1;
  return (x->cell > y->cell) - (x->cell < y->cell);
}

static void
unbind_all (struct repack *r)
{
  for (uint32_t i = 0; i < r->cells; i++)
    if (r->dc->cells.v[r->cell[i].cell].parts)
      dc_cell_unbind (r->dc, r->cell[i].cell);
}

static bool
bind_all (struct repack *r)
{
  for (uint32_t i = 0; i < r->cells; i++)
    if (!dc_cell_bind (r->dc, r->cell[i].cell, DC_CAP_OUTSIDE_CELLS))
      return false;
  return true;
}

static void
restore (struct repack *r)
{
  unbind_all (r);
  for (uint32_t i = 0; i < r->cells; i++)
    if (r->cell[i].parts)
      dc_cell_restore (r->dc, r->cell[i].cell, r->cell[i].level,
                       &r->part[r->cell[i].first_part], r->cell[i].parts);
}

/* Returns whether all unused cells are bound.  If they do not fit, nothing
   changes.  */
bool
dc_repack (struct dc *dc)
{
  struct repack r = { .dc = dc };
  bool done = false;

  if (allocate (&r))
    {
      save (&r);
      unbind_all (&r);
      qsort_r (r.cell, r.cells, sizeof *r.cell, larger_first, dc);
      done = bind_all (&r);
      if (!done)
        restore (&r);
    }
  free (r.cell);
  free (r.part);
  return done;
}
