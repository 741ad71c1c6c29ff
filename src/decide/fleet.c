/* Workers, racks and domains, and the index of workers by available
   capacity.  */
#include "state.h"

bool
dc_worker_schedulable (const struct dc_worker *w)
{
  return w->up && !w->leaving && w->health == DC_HEALTHY;
}

struct dc_amount
dc_capacity (const struct dc *dc, const struct dc_worker *w,
             enum dc_capacity cap)
{
  struct dc_amount idle = dc_plus (w->free, w->reserved, -1);
  struct dc_amount outside_cells = dc_plus (w->total, w->in_cells, -1);

  (void)dc;
  idle = dc_plus (idle, w->tentative, -1);
  outside_cells = dc_plus (outside_cells, w->nonpreemptible, -1);
  if (cap == DC_CAP_IDLE)
    return idle;
  if (cap == DC_CAP_OUTSIDE_CELLS)
    return outside_cells;
  return dc_min (idle, outside_cells);
}

static uint32_t
bucket_of (struct dc_amount capacity)
{
  int32_t a = capacity.accelerators, s = capacity.slots;

  if (a < 0)
    a = 0;
  if (s < 0)
    s = 0;
  if (s > DC_SIZES - 1)
    s = DC_SIZES - 1;
  return (uint32_t)(a * DC_SIZES + s);
}

static void
index_remove (struct dc *dc, uint32_t id, enum dc_capacity cap)
{
  struct dc_worker *w = &dc->workers.v[id];
  struct dc_index *index = dc->index[cap];
  uint32_t a = w->bucket[cap] / DC_SIZES, s = w->bucket[cap] % DC_SIZES;

  if (w->prev[cap] != DC_NONE)
    dc->workers.v[w->prev[cap]].next[cap] = w->next[cap];
  else
    index->head[a][s] = w->next[cap];
  if (w->next[cap] != DC_NONE)
    dc->workers.v[w->next[cap]].prev[cap] = w->prev[cap];
  if (index->head[a][s] == DC_NONE)
    index->nonempty[a][s / 64] &= ~(1ULL << s % 64);
}

static void
index_add (struct dc *dc, uint32_t id, enum dc_capacity cap, uint32_t key)
{
  struct dc_worker *w = &dc->workers.v[id];
  struct dc_index *index = dc->index[cap];
  uint32_t a = key / DC_SIZES, s = key % DC_SIZES;

  w->bucket[cap] = key;
  w->prev[cap] = DC_NONE;
  w->next[cap] = index->head[a][s];
  if (w->next[cap] != DC_NONE)
    dc->workers.v[w->next[cap]].prev[cap] = id;
  index->head[a][s] = id;
  index->nonempty[a][s / 64] |= 1ULL << s % 64;
}

static struct dc_amount
clamp_to_zero (struct dc_amount a)
{
  return (struct dc_amount){ a.accelerators > 0 ? a.accelerators : 0,
                             a.slots > 0 ? a.slots : 0 };
}

/* Updates the index and the sums of rack and domain from the counters of
   WORKER.  Must be called after every change of these counters.  */
void
dc_fleet_refresh (struct dc *dc, uint32_t worker)
{
  struct dc_worker *w = &dc->workers.v[worker];
  struct dc_rack *rack = &dc->racks.v[w->rack];
  struct dc_domain *domain = &dc->domains.v[rack->domain];

  for (int cap = 0; cap < DC_CAPS; cap++)
    {
      struct dc_amount capacity = { 0, 0 };
      uint32_t key = DC_NONE;

      if (dc_worker_schedulable (w) && !w->restricted)
        {
          capacity = clamp_to_zero (dc_capacity (dc, w, cap));
          key = bucket_of (capacity);
        }
      rack->available[cap]
          = dc_plus (rack->available[cap], w->available[cap], -1);
      domain->available[cap]
          = dc_plus (domain->available[cap], w->available[cap], -1);
      rack->available[cap] = dc_plus (rack->available[cap], capacity, 1);
      domain->available[cap] = dc_plus (domain->available[cap], capacity, 1);
      w->available[cap] = capacity;
      dc_rack_reindex (dc, w->rack, cap);
      if (key == w->bucket[cap])
        continue;
      if (w->bucket[cap] != DC_NONE)
        index_remove (dc, worker, cap);
      w->bucket[cap] = DC_NONE;
      if (key != DC_NONE)
        index_add (dc, worker, cap, key);
    }
}

static void
count_fleet (struct dc *dc, const struct dc_worker *w, int sign)
{
  struct dc_rack *rack = &dc->racks.v[w->rack];
  struct dc_domain *domain = &dc->domains.v[rack->domain];

  for (int per = 0; per < DC_SIZES; per++)
    {
      int32_t tasks
          = dc_tasks_fitting (w->total, (struct dc_amount){ per, 1 });

      rack->task_capacity[per] += sign * tasks;
      domain->task_capacity[per] += sign * tasks;
      if (rack->task_capacity[per] > dc->max_rack_tasks[per])
        dc->max_rack_tasks[per] = rack->task_capacity[per];
      if (domain->task_capacity[per] > dc->max_domain_tasks[per])
        dc->max_domain_tasks[per] = domain->task_capacity[per];
      if (per <= w->total.accelerators && w->total.slots > dc->max_slots[per])
        dc->max_slots[per] = w->total.slots;
    }
  dc->accelerators += sign * w->total.accelerators;
}

static int
link_new_worker (struct dc *dc, const struct dc_event *e)
{
  uint32_t rack_id = e->u.worker.rack, domain_id = e->u.worker.domain;
  uint32_t racks = dc->racks.n, domains = dc->domains.n;
  struct dc_worker *w = &dc->workers.v[e->u.worker.id];
  struct dc_rack *rack;

  if (DC_GROW (dc, dc->domains, domain_id) || DC_GROW (dc, dc->racks, rack_id))
    return DC_ENOMEM;
  for (uint32_t i = domains; i < dc->domains.n; i++)
    dc->domains.v[i].racks = DC_NONE;
  for (uint32_t i = racks; i < dc->racks.n; i++)
    {
      dc->racks.v[i].domain = dc->racks.v[i].workers = DC_NONE;
      for (int cap = 0; cap < DC_CAPS; cap++)
        dc->racks.v[i].bucket[cap] = DC_NONE;
    }
  rack = &dc->racks.v[rack_id];
  if (rack->domain == DC_NONE)
    {
      rack->domain = domain_id;
      rack->next_in_domain = dc->domains.v[domain_id].racks;
      dc->domains.v[domain_id].racks = rack_id;
    }
  else if (rack->domain != domain_id)
    return DC_EINVAL;
  w->rack = rack_id;
  w->next_in_rack = rack->workers;
  rack->workers = e->u.worker.id;
  w->joined = true;
  return DC_OK;
}

static int
grow_workers (struct dc *dc, uint32_t id)
{
  uint32_t old_count = dc->workers.n;

  if (DC_GROW (dc, dc->workers, id))
    return DC_ENOMEM;
  for (uint32_t i = old_count; i < dc->workers.n; i++)
    {
      struct dc_worker *w = &dc->workers.v[i];

      w->tasks = w->parts = DC_NONE;
      for (int cap = 0; cap < DC_CAPS; cap++)
        w->bucket[cap] = DC_NONE;
    }
  return DC_OK;
}

/* Sets a new size.  The worker must be idle unless the size is unchanged.  */
static void
resize (struct dc *dc, struct dc_worker *w, struct dc_amount total)
{
  if (w->total.accelerators == total.accelerators
      && w->total.slots == total.slots)
    return;
  count_fleet (dc, w, -1);
  w->free = dc_plus (w->free, dc_plus (total, w->total, -1), 1);
  w->total = total;
  w->free_mask = total.accelerators == DC_MAX_ACCELERATORS
                     ? UINT64_MAX
                     : (1ULL << total.accelerators) - 1;
  count_fleet (dc, w, 1);
}

int
dc_fleet_join (struct dc *dc, const struct dc_event *e)
{
  struct dc_amount total = { e->u.worker.accelerators, e->u.worker.slots };
  struct dc_worker *w;
  int error;

  if (total.accelerators < 0 || total.accelerators > DC_MAX_ACCELERATORS
      || total.slots < 0 || total.slots > DC_MAX_TASKS
      || e->u.worker.id >= DC_MAX_HANDLE || e->u.worker.rack >= DC_MAX_HANDLE
      || e->u.worker.domain >= DC_MAX_HANDLE)
    return DC_EINVAL;
  error = grow_workers (dc, e->u.worker.id);
  if (error)
    return error;
  w = &dc->workers.v[e->u.worker.id];
  if (!w->joined)
    {
      error = link_new_worker (dc, e);
      if (error)
        return error;
    }
  else if (w->rack != e->u.worker.rack)
    return DC_EINVAL;
  if (w->tasks != DC_NONE
      && (total.accelerators != w->total.accelerators
          || total.slots != w->total.slots))
    dc_worker_lost (dc, e->u.worker.id);
  resize (dc, w, total);
  w->up = true;
  w->leaving = false;
  dc_health_worker_returned (dc, e->u.worker.id);
  dc_fleet_refresh (dc, e->u.worker.id);
  dc->capacity_freed = dc->rebind_needed = true;
  return DC_OK;
}

enum dc_level
dc_level_of (const struct dc *dc, int32_t tasks, int32_t per_task)
{
  int64_t n = (int64_t)tasks * per_task;

  if (n < DC_SIZES && dc->max_slots[n] >= tasks)
    return DC_LEVEL_WORKER;
  if (dc->max_rack_tasks[per_task] >= tasks)
    return DC_LEVEL_RACK;
  if (dc->max_domain_tasks[per_task] >= tasks)
    return DC_LEVEL_DOMAIN;
  return DC_LEVEL_NONE;
}

uint32_t
dc_domain_of (const struct dc *dc, uint32_t worker)
{
  return dc->racks.v[dc->workers.v[worker].rack].domain;
}
