/* Replaces the guarantee of an account if all guarantees still fit.  */
#include <string.h>

#include "state.h"

enum
{
  MAX_GROUPS = 1 << 20 /* upper limit of the size and the count of one shape */
};

static bool
plan_is_valid (const struct dc_event *e)
{
  if (e->u.plan.shapes < 0 || e->u.plan.shapes > DC_MAX_SHAPES
      || e->u.plan.account >= DC_MAX_HANDLE)
    return false;
  for (int i = 0; i < e->u.plan.shapes; i++)
    if (e->u.plan.shape[i].size < 1 || e->u.plan.shape[i].count < 0
        || e->u.plan.shape[i].size > MAX_GROUPS
        || e->u.plan.shape[i].count > MAX_GROUPS)
      return false;
  return true;
}

static int64_t
count_wanted (const struct dc_event *e, int32_t size)
{
  int64_t count = 0;

  for (int i = 0; i < e->u.plan.shapes; i++)
    if (e->u.plan.shape[i].size == size)
      count += e->u.plan.shape[i].count;
  return count;
}

/* Marks the cells that the new plan keeps, used ones first, and suspends the
   others.  */
static void
mark_kept (struct dc *dc, const struct dc_event *e)
{
  uint32_t first = dc->accounts.v[e->u.plan.account].cells;

  for (uint32_t c = first; c != DC_NONE; c = dc->cells.v[c].next)
    dc->cells.v[c].kept = false;
  for (int used = 1; used >= 0; used--)
    for (uint32_t c = first; c != DC_NONE; c = dc->cells.v[c].next)
      {
        struct dc_cell *cell = &dc->cells.v[c];
        int64_t kept = 0;

        if (cell->kept || (cell->jobs > 0) != used)
          continue;
        for (uint32_t o = first; o != DC_NONE; o = dc->cells.v[o].next)
          kept += dc->cells.v[o].kept && dc->cells.v[o].size == cell->size;
        cell->kept = kept < count_wanted (e, cell->size);
      }
  for (uint32_t c = first; c != DC_NONE; c = dc->cells.v[c].next)
    if (!dc->cells.v[c].kept)
      dc_cell_suspend (dc, c, -1);
}

static int64_t
count_kept (const struct dc *dc, uint32_t account, int32_t size)
{
  int64_t kept = 0;

  for (uint32_t c = dc->accounts.v[account].cells; c != DC_NONE;
       c = dc->cells.v[c].next)
    kept += dc->cells.v[c].kept && dc->cells.v[c].size == size;
  return kept;
}

/* Adds the missing cells of one size.  They are bound one by one until one
   does not fit, which sets LACKS_CAPACITY.  Returns false if memory is
   exhausted.  */
static bool
add_size (struct dc *dc, const struct dc_event *e, int32_t size,
          bool *lacks_capacity)
{
  uint32_t account = e->u.plan.account;
  int64_t missing = count_wanted (e, size) - count_kept (dc, account, size);

  for (; missing > 0; missing--)
    {
      uint32_t cell;

      if (dc_cell_new (dc, account, size, &cell))
        return false;
      dc->cells.v[cell].kept = dc->cells.v[cell].added = true;
      if (!*lacks_capacity)
        *lacks_capacity = !dc_cell_bind (dc, cell, DC_CAP_OUTSIDE_CELLS);
    }
  return true;
}

/* Returns the largest size in the plan below BELOW, or 0.  */
static int32_t
next_size (const struct dc_event *e, int32_t below)
{
  int32_t size = 0;

  for (int i = 0; i < e->u.plan.shapes; i++)
    if (e->u.plan.shape[i].size < below && e->u.plan.shape[i].size > size)
      size = e->u.plan.shape[i].size;
  return size;
}

/* Deletes the account's cells that were added, or those that are not kept.  */
static void
delete_cells (struct dc *dc, uint32_t account, bool added)
{
  uint32_t c = dc->accounts.v[account].cells;

  while (c != DC_NONE)
    {
      struct dc_cell *cell = &dc->cells.v[c];
      uint32_t next = cell->next;

      if (added ? cell->added : !cell->kept)
        dc_cell_delete (dc, c);
      c = next;
    }
}

/* Adds cells as large as the largest worker until there are as many as spare
   workers are configured, and binds them if they fit.  Returns false if memory
   is exhausted.  */
static bool
add_spares (struct dc *dc, bool *lacks_capacity)
{
  int32_t size = dc_cell_largest (dc), spares = 0;

  if (size == 0)
    return true;
  for (uint32_t s = dc->spare_cells; s != DC_NONE; s = dc->cells.v[s].next)
    spares++;
  for (; spares < dc->config.spare_workers; spares++)
    {
      uint32_t cell;

      if (dc_cell_new (dc, DC_SPARE_ACCOUNT, size, &cell))
        return false;
      if (!*lacks_capacity)
        *lacks_capacity = !dc_cell_bind (dc, cell, DC_CAP_OUTSIDE_CELLS);
    }
  return true;
}

/* Deletes spare cells that could not be bound when they were added.  */
static void
delete_unbound_spares (struct dc *dc)
{
  uint32_t c = dc->spare_cells;

  while (c != DC_NONE)
    {
      const struct dc_cell *cell = &dc->cells.v[c];
      uint32_t next = cell->next;

      if (cell->parts == 0 && !cell->in_unbound)
        dc_cell_delete (dc, c);
      c = next;
    }
}

bool
dc_plan_add_spares (struct dc *dc)
{
  bool lacks_capacity = false, added = add_spares (dc, &lacks_capacity);

  delete_unbound_spares (dc);
  return added && !lacks_capacity;
}

static int64_t
accelerators_of (const struct dc_event *e)
{
  int64_t n = 0;

  for (int i = 0; i < e->u.plan.shapes; i++)
    n += (int64_t)e->u.plan.shape[i].count * e->u.plan.shape[i].size;
  return n;
}

static bool
adds_cells (const struct dc *dc, const struct dc_event *e)
{
  for (int i = 0; i < e->u.plan.shapes; i++)
    if (count_wanted (e, e->u.plan.shape[i].size)
        > count_kept (dc, e->u.plan.account, e->u.plan.shape[i].size))
      return true;
  return false;
}

static bool
add_all (struct dc *dc, const struct dc_event *e, bool *lacks_capacity)
{
  if (!e->u.plan.accepted && accelerators_of (e) > dc->accelerators)
    return false;
  for (int32_t size = next_size (e, INT32_MAX); size > 0;
       size = next_size (e, size))
    if (!add_size (dc, e, size, lacks_capacity))
      return false;
  return true;
}

/* Adds the missing cells and binds them.  Returns whether all fit.  ADDED
   tells whether all exist, bound or not.  */
static bool
add_and_bind (struct dc *dc, const struct dc_event *e, bool *added)
{
  bool lacks_capacity = dc->unbound.n > 0;

  *added = true;
  if (!adds_cells (dc, e))
    return true;
  *added
      = add_spares (dc, &lacks_capacity) && add_all (dc, e, &lacks_capacity);
  return *added && (!lacks_capacity || dc_repack (dc) || dc_pack (dc, true));
}

/* Lists the unbound cells of an account so that they are bound later.  */
static void
list_unbound (struct dc *dc, uint32_t account)
{
  for (uint32_t c = dc->accounts.v[account].cells; c != DC_NONE;
       c = dc->cells.v[c].next)
    if (dc->cells.v[c].parts == 0)
      dc_cell_add_unbound (dc, c);
}

static const char *
reason_of (bool fits, bool accepted)
{
  if (fits)
    return NULL;
  return accepted ? "part of the guarantee waits for room"
                  : "the guarantees do not all fit at once";
}

static void
add_plan_action (struct dc *dc, const struct dc_event *e, bool fits,
                 bool accepted)
{
  dc_add_action (dc, accepted ? DC_ACT_PLAN_ACCEPTED : DC_ACT_PLAN_REFUSED,
                 e->u.plan.account, 0, reason_of (fits, accepted));
  if (dc->actions.n)
    dc->actions.v[dc->actions.n - 1].version = e->u.plan.version;
}

int
dc_plan_apply (struct dc *dc, const struct dc_event *e)
{
  uint32_t id = e->u.plan.account;
  struct dc_account *account;
  bool fits, added, accepted;

  if (!plan_is_valid (e))
    return DC_EINVAL;
  if (dc_account_grow (dc, id))
    return DC_ENOMEM;
  account = &dc->accounts.v[id];
  if (account->has_plan && e->u.plan.version <= account->version)
    return DC_OK;
  mark_kept (dc, e);
  fits = add_and_bind (dc, e, &added);
  accepted = fits || (added && e->u.plan.accepted);
  for (uint32_t c = account->cells; c != DC_NONE; c = dc->cells.v[c].next)
    if (!dc->cells.v[c].kept)
      dc_cell_suspend (dc, c, 1);
  delete_cells (dc, id, !accepted);
  delete_unbound_spares (dc);
  for (uint32_t c = account->cells; c != DC_NONE; c = dc->cells.v[c].next)
    dc->cells.v[c].added = false;
  list_unbound (dc, id);
  if (accepted)
    {
      account->has_plan = true;
      account->version = e->u.plan.version;
      account->shapes = e->u.plan.shapes;
      memcpy (account->shape, e->u.plan.shape, sizeof account->shape);
    }
  dc->capacity_freed = dc->rebind_needed = true;
  dc_account_mark_dirty (dc, id);
  add_plan_action (dc, e, fits, accepted);
  return DC_OK;
}
