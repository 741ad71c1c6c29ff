/* Binds all cells again, including used ones.  Work that may move loses its
   cell and can be preempted, and pending gangs are requeued.  */
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
bind_item (struct dc *dc, const struct pk_packing *p,
           const struct pk_item *item)
{
  dc->allocations.n = 0;
  for (uint32_t i = item->first_allocation;
       i < item->first_allocation + item->allocations; i++)
    if (dc_add_allocation (dc, p->allocations.v[i].worker,
                           p->allocations.v[i].tasks))
      return false;
  dc->cells.v[item->cell].level = (uint8_t)item->level;
  return dc_cell_bind_allocation (dc, item->cell, item->unit);
}

/* Charges the gangs that the packing assigned to a cell to that cell.  */
static void
charge_shares (struct dc *dc, const struct pk_packing *p)
{
  for (uint32_t i = 0; i < p->shares.n; i++)
    {
      const struct pk_share *s = &p->shares.v[i];

      if (s->item != DC_NONE && dc->jobs.v[s->job].cell == DC_NONE)
        dc_gang_set_state (dc, s->job, DC_RUNNING, DC_USAGE_GUARANTEED,
                           p->items.v[s->item].cell);
    }
}

/* Requeues pending gangs on workers that the new cells overcommit.  */
static void
requeue_pending (struct dc *dc)
{
  for (uint32_t id = 0; id < dc->workers.n; id++)
    {
      const struct dc_worker *w = &dc->workers.v[id];

      if (dc_worker_schedulable (w)
          && !dc_covers (dc_capacity (dc, w, DC_CAP_OUTSIDE_CELLS),
                         (struct dc_amount){ 0, 0 }))
        dc_worker_requeue_pending (dc, id);
    }
}

static bool
apply_packing (struct dc *dc, const struct pk_packing *p)
{
  unbind_all (dc);
  for (uint32_t i = 0; i < p->items.n; i++)
    if (!bind_item (dc, p, &p->items.v[i]))
      dc_cell_add_unbound (dc, p->items.v[i].cell);
  charge_shares (dc, p);
  requeue_pending (dc);
  for (uint32_t a = 0; a < dc->accounts.n; a++)
    dc_account_mark_dirty (dc, a);
  return true;
}

static bool
try_pack (struct dc *dc, bool include_spares, bool enclose_all)
{
  struct pk_packing p
      = { .include_spares = include_spares, .enclose_all = enclose_all };
  bool done = !pk_init (&p, dc) && pk_solve (&p) && apply_packing (dc, &p);

  pk_fini (&p);
  return done;
}

/* Binds all cells again, unbound spare cells only with SPARES.  Returns false
   and changes nothing if they do not all fit.  */
bool
dc_pack (struct dc *dc, bool include_spares)
{
  return try_pack (dc, include_spares, false)
         || try_pack (dc, include_spares, true);
}
