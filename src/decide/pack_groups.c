/* Packs cells that are larger than any worker.  A cell stays where it is if it
   fits there beside the work that may not move; otherwise it is divided into
   equal blocks in one rack or failure domain.  */
#include "pack.h"

#include <string.h>

/* Returns what gangs that stay charged to ITEM use on WORKER.  */
static struct dc_amount
used_by_charged_gangs (const struct pk_packing *p, const struct pk_item *item,
                       uint32_t worker)
{
  struct dc_amount sum = { 0, 0 };

  for (uint32_t i = 0; i < p->shares.n; i++)
    {
      const struct pk_share *s = &p->shares.v[i];

      if (s->worker == worker && s->item == DC_NONE
          && p->dc->jobs.v[s->job].cell == item->cell)
        sum = dc_plus (sum, s->need, 1);
    }
  return sum;
}

static void
assign_shares (struct pk_packing *p, struct pk_item *item)
{
  for (uint32_t i = 0; i < p->shares.n; i++)
    if (p->shares.v[i].item == DC_NONE
        && p->dc->jobs.v[p->shares.v[i].job].cell == item->cell)
      {
        struct pk_share *s = &p->shares.v[i];

        s->item = (uint32_t)(item - p->items.v);
        p->free[s->worker] = dc_plus (p->free[s->worker], s->need, 1);
      }
}

/* Returns the largest block of which all parts of C are multiples.  */
static struct dc_amount
block_of (const struct dc *dc, const struct dc_cell *c)
{
  const struct dc_part *part = pl_at (&dc->parts, c->part);
  int32_t block = part->size.accelerators;

  for (int32_t i = 1; i < c->parts; i++)
    {
      const struct dc_part *next = pl_at (&dc->parts, c->part + (uint32_t)i);
      int32_t divisor = next->size.accelerators;

      while (divisor != 0)
        {
          int32_t remainder = block % divisor;

          block = divisor;
          divisor = remainder;
        }
    }
  return (struct dc_amount){ block, part->size.slots
                                        / (part->size.accelerators / block) };
}

/* Leaves ITEM where its cell is bound, with the work in it.  Returns false if
   it does not fit there.  */
static bool
keep_in_place (struct pk_packing *p, struct pk_item *item)
{
  const struct dc_cell *c = &p->dc->cells.v[item->cell];

  if (c->parts == 0)
    return false;
  for (int32_t i = 0; i < c->parts; i++)
    {
      const struct dc_part *part
          = pl_at (&p->dc->parts, c->part + (uint32_t)i);
      struct dc_amount capacity
          = dc_plus (p->free[part->worker],
                     used_by_charged_gangs (p, item, part->worker), 1);

      if (!dc_covers (capacity, part->size))
        return false;
    }
  assign_shares (p, item);
  item->unit = block_of (p->dc, c);
  item->level = c->level;
  for (int32_t i = 0; i < c->parts; i++)
    {
      const struct dc_part *part
          = pl_at (&p->dc->parts, c->part + (uint32_t)i);

      pk_allocate (p, item, part->worker,
                   part->size.accelerators / item->unit.accelerators);
    }
  return true;
}

static uint32_t
group_of (const struct dc *dc, uint32_t worker, enum dc_level level)
{
  return level == DC_LEVEL_RACK ? dc->workers.v[worker].rack
                                : dc_domain_of (dc, worker);
}

/* Returns the rack or domain with the fewest free blocks that still has
   BLOCKS, or DC_NONE.  */
static uint32_t
tightest_group (struct pk_packing *p, const struct pk_item *item,
                int32_t blocks)
{
  const struct dc *dc = p->dc;
  uint32_t best = DC_NONE, groups = dc->racks.n + dc->domains.n;

  memset (p->group_capacity, 0, groups * sizeof *p->group_capacity);
  for (uint32_t w = 0; w < dc->workers.n; w++)
    if (dc->workers.v[w].joined)
      p->group_capacity[group_of (dc, w, item->level)]
          += dc_tasks_fitting (p->free[w], item->unit);
  for (uint32_t g = 0; g < groups; g++)
    if (p->group_capacity[g] >= blocks
        && (best == DC_NONE || p->group_capacity[g] < p->group_capacity[best]))
      best = g;
  return best;
}

static void
fill_group (struct pk_packing *p, struct pk_item *item, uint32_t group,
            int32_t blocks)
{
  for (uint32_t w = 0; w < p->dc->workers.n && blocks > 0; w++)
    {
      int32_t n = dc_tasks_fitting (p->free[w], item->unit);

      if (n == 0 || group_of (p->dc, w, item->level) != group)
        continue;
      if (n > blocks)
        n = blocks;
      pk_allocate (p, item, w, n);
      blocks -= n;
    }
}

/* Places a cell that is larger than any worker.  Returns false if it fits
   nowhere.  */
bool
pk_place_group (struct pk_packing *p, struct pk_item *item)
{
  if (keep_in_place (p, item))
    return true;
  item->level = dc_cell_level (p->dc, item->size);
  if (item->level == DC_LEVEL_NONE)
    return false;
  for (int32_t block = dc_cell_largest (p->dc); block > 0; block--)
    {
      int32_t blocks = item->size / block;
      uint32_t group;

      if (item->size % block != 0)
        continue;
      item->unit = dc_cell_unit (p->dc, block);
      group = tightest_group (p, item, blocks);
      if (group == DC_NONE)
        continue;
      fill_group (p, item, group, blocks);
      return true;
    }
  return false;
}
