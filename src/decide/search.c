/* Finds capacity for a gang: best fit within a worker, then a rack, then a
   failure domain.  */
#include "state.h"

enum
{
  MAX_LIST_STEPS = 64, /* workers examined in one bucket of the index */
  MAX_RACK_TRIES = 16  /* racks whose workers are counted one by one */
};

/* Returns how many tasks of UNIT fit CAPACITY.  */
int32_t
dc_tasks_fitting (struct dc_amount capacity, struct dc_amount unit)
{
  int32_t tasks = capacity.slots / unit.slots;

  if (unit.accelerators > 0
      && capacity.accelerators / unit.accelerators < tasks)
    tasks = capacity.accelerators / unit.accelerators;
  return tasks > 0 ? tasks : 0;
}

static struct dc_amount
need_of (const struct dc_request *request)
{
  return (struct dc_amount){ request->tasks * request->unit.accelerators,
                             request->tasks * request->unit.slots };
}

int
dc_add_allocation (struct dc *dc, uint32_t worker, int32_t tasks)
{
  uint32_t at = dc->allocations.n;

  if (DC_GROW (dc, dc->allocations, at))
    return DC_ENOMEM;
  dc->allocations.v[at] = (struct dc_allocation){ worker, tasks };
  return DC_OK;
}

static bool
avoided (const struct dc_request *request, uint32_t worker)
{
  for (int i = 0; i < request->avoid_count; i++)
    if (request->avoid[i] == worker)
      return true;
  return false;
}

/* Returns the lowest slot count at or above FROM with a worker in ROW, or
   -1.  */
static int
next_slot_count (const struct dc_index *index, int row, int from)
{
  for (int word = from / 64; word < 2; word++)
    {
      uint64_t bits = index->nonempty[row][word];

      if (word == from / 64)
        bits &= ~0ULL << from % 64;
      if (bits)
        return word * 64 + __builtin_ctzll (bits);
    }
  return -1;
}

static uint32_t
search_list (const struct dc *dc, const struct dc_request *request,
             enum dc_capacity cap, uint32_t id)
{
  struct dc_amount need = need_of (request);

  for (int step = 0; id != DC_NONE && step < MAX_LIST_STEPS; step++)
    {
      const struct dc_worker *w = &dc->workers.v[id];

      if (dc_covers (w->available[cap], need) && !avoided (request, id))
        return id;
      id = w->next[cap];
    }
  return DC_NONE;
}

static bool
search_worker (struct dc *dc, const struct dc_request *request,
               enum dc_capacity cap)
{
  const struct dc_index *index = dc->index[cap];
  struct dc_amount need = need_of (request);
  int least = need.slots < DC_SIZES - 1 ? need.slots : DC_SIZES - 1;

  for (int row = need.accelerators; row < DC_SIZES; row++)
    {
      int slots = next_slot_count (index, row, least);

      while (slots >= 0 && slots < DC_SIZES)
        {
          uint32_t id
              = search_list (dc, request, cap, index->head[row][slots]);

          if (id != DC_NONE)
            return dc_add_allocation (dc, id, request->tasks) == DC_OK;
          slots = next_slot_count (index, row, slots + 1);
        }
    }
  return false;
}

static bool
may_hold (const struct dc_request *request, struct dc_amount capacity)
{
  return dc_covers (capacity, need_of (request));
}

static int32_t
tasks_of (const struct dc *dc, const struct dc_request *request, uint32_t id,
          enum dc_capacity cap)
{
  const struct dc_worker *w = &dc->workers.v[id];

  if (avoided (request, id))
    return 0;
  return dc_tasks_fitting (w->available[cap], request->unit);
}

static int32_t
tasks_in_rack (const struct dc *dc, const struct dc_request *request,
               uint32_t rack, enum dc_capacity cap)
{
  int32_t sum = 0;

  for (uint32_t id = dc->racks.v[rack].workers; id != DC_NONE;
       id = dc->workers.v[id].next_in_rack)
    sum += tasks_of (dc, request, id, cap);
  return sum;
}

static bool
already_allocated (const struct dc *dc, uint32_t first, uint32_t worker)
{
  for (uint32_t i = first; i < dc->allocations.n; i++)
    if (dc->allocations.v[i].worker == worker)
      return true;
  return false;
}

/* Returns the worker with the least capacity that holds all REMAINING tasks,
   or else the one with the most.  Sets TASKS to what it holds.  */
static uint32_t
best_in_rack (const struct dc *dc, const struct dc_request *request,
              uint32_t rack, enum dc_capacity cap, uint32_t first,
              int32_t remaining, int32_t *tasks)
{
  uint32_t best = DC_NONE;

  *tasks = 0;
  for (uint32_t id = dc->racks.v[rack].workers; id != DC_NONE;
       id = dc->workers.v[id].next_in_rack)
    {
      int32_t n = tasks_of (dc, request, id, cap);
      bool tighter = *tasks >= remaining && n >= remaining && n < *tasks;
      bool larger = *tasks < remaining && n > *tasks;

      if ((tighter || larger) && !already_allocated (dc, first, id))
        {
          best = id;
          *tasks = n;
        }
    }
  return best;
}

/* Allocates up to REMAINING tasks on workers of RACK.  Returns how many do not
   fit.  */
static int32_t
fill_rack (struct dc *dc, const struct dc_request *request, uint32_t rack,
           enum dc_capacity cap, int32_t remaining)
{
  uint32_t first = dc->allocations.n;

  while (remaining > 0)
    {
      int32_t n;
      uint32_t id
          = best_in_rack (dc, request, rack, cap, first, remaining, &n);

      if (id == DC_NONE)
        return remaining;
      if (n > remaining)
        n = remaining;
      if (dc_add_allocation (dc, id, n))
        return remaining;
      remaining -= n;
    }
  return 0;
}

/* Allocates the gang in the rack with the least capacity that holds it, of
   those examined.  */
static bool
search_rack (struct dc *dc, const struct dc_request *request,
             enum dc_capacity cap)
{
  int32_t need = need_of (request).accelerators;
  int row = need < DC_RACK_BUCKETS ? need : DC_RACK_BUCKETS - 1;
  int steps = 0, tries = 0;

  for (row = dc_rack_next (dc, cap, row); row >= 0 && tries < MAX_RACK_TRIES;
       row = row + 1 < DC_RACK_BUCKETS ? dc_rack_next (dc, cap, row + 1) : -1)
    for (uint32_t r = dc->rack_index[cap].head[row];
         r != DC_NONE && steps < MAX_LIST_STEPS && tries < MAX_RACK_TRIES;
         r = dc->racks.v[r].next[cap], steps++)
      {
        if (!may_hold (request, dc->racks.v[r].available[cap]))
          continue;
        tries++;
        if (tasks_in_rack (dc, request, r, cap) >= request->tasks)
          return fill_rack (dc, request, r, cap, request->tasks) == 0;
      }
  return false;
}

static bool
search_domain (struct dc *dc, const struct dc_request *request,
               enum dc_capacity cap)
{
  for (uint32_t d = 0; d < dc->domains.n; d++)
    {
      int32_t remaining = request->tasks;

      if (!may_hold (request, dc->domains.v[d].available[cap]))
        continue;
      dc->allocations.n = 0;
      for (uint32_t r = dc->domains.v[d].racks; r != DC_NONE && remaining > 0;
           r = dc->racks.v[r].next_in_domain)
        if (dc->racks.v[r].available[cap].slots > 0)
          remaining = fill_rack (dc, request, r, cap, remaining);
      if (remaining == 0)
        return true;
    }
  return false;
}

bool
dc_search (struct dc *dc, const struct dc_request *request,
           enum dc_capacity cap)
{
  dc->allocations.n = 0;
  switch (request->level)
    {
    case DC_LEVEL_WORKER:
      return search_worker (dc, request, cap);
    case DC_LEVEL_RACK:
      return search_rack (dc, request, cap);
    case DC_LEVEL_DOMAIN:
      return search_domain (dc, request, cap);
    case DC_LEVEL_NONE:
      break;
    }
  return false;
}

/* First fit, for the baseline policy: the worker, rack or domain with the
   lowest handle.  */
bool
dc_search_first (struct dc *dc, const struct dc_request *request)
{
  dc->allocations.n = 0;
  if (request->level == DC_LEVEL_DOMAIN)
    return search_domain (dc, request, DC_CAP_IDLE);
  if (request->level == DC_LEVEL_RACK)
    for (uint32_t r = 0; r < dc->racks.n; r++)
      if (tasks_in_rack (dc, request, r, DC_CAP_IDLE) >= request->tasks)
        return fill_rack (dc, request, r, DC_CAP_IDLE, request->tasks) == 0;
  if (request->level == DC_LEVEL_WORKER)
    for (uint32_t id = 0; id < dc->workers.n; id++)
      if (tasks_of (dc, request, id, DC_CAP_IDLE) >= request->tasks)
        return dc_add_allocation (dc, id, request->tasks) == DC_OK;
  return false;
}
