/* Binds all cells anew, also those in use: work that may move loses its claim
   to a cell and can be preempted, gangs that only wait for room are queued
   again.  */
#include "pack.h"

static void
unbind_all (struct dc *dc)
{
  for (uint32_t c = 0; c < dc->cells.n; c++)
    {
      if (!dc->cells.v[c].live || dc->cells.v[c].parts == 0)
        continue;
      if (dc->cells.v[c].suspended)
        dc_cell_suspend (dc, c, 1);
      dc_cell_unbind (dc, c);
    }
}

static bool
bind (struct dc *dc, const struct pk_packing *p, const struct pk_item *item)
{
  dc->spots.n = 0;
  for (uint32_t i = item->spot; i < item->spot + item->spots; i++)
    if (dc_add_spot (dc, p->spots.v[i].worker, p->spots.v[i].tasks))
      return false;
  dc->cells.v[item->cell].level = (uint8_t)item->level;
  return dc_cell_bind_spots (dc, item->cell, item->unit);
}

/* Charges the gangs that the packing counted in cells to these.  */
static void
charge (struct dc *dc, const struct pk_packing *p)
{
  for (uint32_t i = 0; i < p->shares.n; i++)
    {
      const struct pk_share *s = &p->shares.v[i];

      if (s->item != DC_NONE && dc->jobs.v[s->job].cell == DC_NONE)
        dc_gang_set (dc, s->job, DC_RUNNING, DC_KIND_GUARANTEED,
                     p->items.v[s->item].cell);
    }
}

/* Gangs that wait for room that is now a cell's wait in the queue again.  */
static void
drop_pending (struct dc *dc)
{
  for (uint32_t id = 0; id < dc->workers.n; id++)
    {
      const struct dc_worker *w = &dc->workers.v[id];

      if (dc_worker_open (w)
          && !dc_covers (dc_capacity (dc, w, DC_CAP_UNRESERVED),
                         (struct dc_amount){ 0, 0 }))
        dc_worker_drop_pending (dc, id);
    }
}

static bool
apply (struct dc *dc, const struct pk_packing *p)
{
  unbind_all (dc);
  for (uint32_t i = 0; i < p->items.n; i++)
    if (!bind (dc, p, &p->items.v[i]))
      dc_cell_wait (dc, p->items.v[i].cell);
  charge (dc, p);
  drop_pending (dc);
  for (uint32_t a = 0; a < dc->accounts.n; a++)
    dc_account_touch (dc, a);
  return true;
}

static bool
pack (struct dc *dc, bool spares, bool most)
{
  struct pk_packing p = { .spares = spares, .most = most };
  bool done = !pk_init (&p, dc) && pk_solve (&p) && apply (dc, &p);

  pk_fini (&p);
  return done;
}

/* Returns whether all cells are bound then, spare ones that gave way only with
   SPARES; if not, all is as before.  */
bool
dc_pack (struct dc *dc, bool spares)
{
  return pack (dc, spares, false) || pack (dc, spares, true);
}
