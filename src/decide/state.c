/* Creation and destruction of the state, and dispatch of events.  */
#include "state.h"

#include <stdlib.h>
#include <string.h>

enum
{
  INITIAL_CAPACITY = 16 /* elements of a new vector */
};

int
dc_grow (void **v, uint32_t *n, uint32_t *cap, uint32_t at, size_t size)
{
  if (at < *n)
    return DC_OK;
  if (at >= *cap)
    {
      uint32_t more = *cap ? *cap : INITIAL_CAPACITY;
      void *moved;

      while (more <= at)
        more += more / 2;
      moved = realloc (*v, more * size);
      if (!moved)
        return DC_ENOMEM;
      *v = moved;
      *cap = more;
    }
  memset ((char *)*v + *n * size, 0, (at + 1 - *n) * size);
  *n = at + 1;
  return DC_OK;
}

size_t
dc_size (void)
{
  return sizeof (struct dc);
}

int
dc_init (struct dc *dc, const struct dc_config *config)
{
  memset (dc, 0, sizeof *dc);
  dc->config = *config;
  dc->free_cells = dc->spare_cells = dc->pending_head = dc->pending_tail
      = DC_NONE;
  dc->retry_ms = -1;
  for (int cap = 0; cap < DC_CAPS; cap++)
    memset (dc->rack_index[cap].head, 0xff, sizeof dc->rack_index[cap].head);
  pl_init (&dc->tasks, sizeof (struct dc_task));
  pl_init (&dc->parts, sizeof (struct dc_part));
  for (int cap = 0; cap < DC_CAPS; cap++)
    {
      dc->index[cap] = calloc (1, sizeof *dc->index[cap]);
      if (!dc->index[cap])
        {
          dc_fini (dc);
          return DC_ENOMEM;
        }
      memset (dc->index[cap]->head, 0xff, sizeof dc->index[cap]->head);
    }
  return DC_OK;
}

void
dc_fini (struct dc *dc)
{
  for (uint32_t i = 0; i < dc->queues.n; i++)
    hp_fini (&dc->queues.v[i].jobs);
  for (uint32_t i = 0; i < dc->account_queues.n; i++)
    hp_fini (&dc->account_queues.v[i].jobs);
  for (int cap = 0; cap < DC_CAPS; cap++)
    free (dc->index[cap]);
  hp_fini (&dc->queue_order);
  pl_fini (&dc->tasks);
  pl_fini (&dc->parts);
  free (dc->workers.v);
  free (dc->racks.v);
  free (dc->domains.v);
  free (dc->accounts.v);
  free (dc->jobs.v);
  free (dc->cells.v);
  free (dc->queues.v);
  free (dc->account_queues.v);
  free (dc->actions.v);
  free (dc->places.v);
  free (dc->dirty_accounts.v);
  free (dc->unbound.v);
  free (dc->blocked.v);
  free (dc->watched.v);
  free (dc->allocations.v);
  free (dc->offers.v);
  memset (dc, 0, sizeof *dc);
}

int
dc_account_grow (struct dc *dc, uint32_t account)
{
  uint32_t old_count = dc->accounts.n;

  if (DC_GROW (dc, dc->accounts, account))
    return DC_ENOMEM;
  for (uint32_t i = old_count; i < dc->accounts.n; i++)
    dc->accounts.v[i].cells = dc->accounts.v[i].queues
        = dc->accounts.v[i].preemptible_jobs = DC_NONE;
  return DC_OK;
}

void
dc_add_action (struct dc *dc, enum dc_action_kind kind, uint32_t id,
               int32_t attempt, const char *reason)
{
  struct dc_action *a;

  if (DC_GROW (dc, dc->actions, dc->actions.n))
    return;
  a = &dc->actions.v[dc->actions.n - 1];
  a->kind = kind;
  a->at_ms = dc->now_ms;
  a->id = id;
  a->attempt = attempt;
  a->reason = reason;
  if (kind != DC_ACT_START)
    return;
  a->place_count = dc->jobs.v[id].spec.tasks;
  a->version = dc->places.n - (uint32_t)a->place_count; /* index in dc->places
                                                      until dc_take_action */
}

int
dc_take_action (struct dc *dc, struct dc_action *action)
{
  if (dc->actions_taken == dc->actions.n)
    {
      dc->actions_taken = dc->actions.n = 0;
      return 0;
    }
  *action = dc->actions.v[dc->actions_taken++];
  if (action->kind == DC_ACT_START)
    {
      action->place = &dc->places.v[action->version];
      action->version = 0;
    }
  return 1;
}

static int
worker_leaves (struct dc *dc, uint32_t id, bool down)
{
  struct dc_worker *w;

  if (id >= dc->workers.n || !dc->workers.v[id].joined)
    return DC_ENOENT;
  w = &dc->workers.v[id];
  if (!w->up)
    return DC_OK;
  w->leaving = true;
  if (down)
    {
      w->up = false;
      dc_worker_lost (dc, id);
    }
  dc_worker_cordon (dc, id);
  dc->rebind_needed = true;
  return DC_OK;
}

static int
apply (struct dc *dc, const struct dc_event *e)
{
  switch (e->kind)
    {
    case DC_EV_WORKER:
      return dc_fleet_join (dc, e);
    case DC_EV_WORKER_LEAVING:
      return worker_leaves (dc, e->u.worker_id, false);
    case DC_EV_WORKER_DOWN:
      return worker_leaves (dc, e->u.worker_id, true);
    case DC_EV_PLAN:
      return dc_plan_apply (dc, e);
    case DC_EV_SUBMIT:
      return dc_job_submit (dc, e);
    case DC_EV_CANCEL:
      return dc_job_cancel (dc, e->u.job);
    case DC_EV_TASK_DONE:
      return dc_job_task_done (dc, e);
    case DC_EV_TASK_FAILED:
      return dc_job_task_failed (dc, e);
    case DC_EV_CHECKPOINTED:
      return dc_job_checkpointed (dc, e);
    case DC_EV_ADOPT:
      return dc_job_adopt (dc, e);
    case DC_EV_TASK_LOST:
      return dc_job_task_lost (dc, e);
    }
  return DC_EINVAL;
}

int
dc_apply (struct dc *dc, const struct dc_event *event)
{
  int error;

  if (event->at_ms < dc->now_ms)
    return DC_EORDER;
  dc->now_ms = event->at_ms;
  if (dc->actions_taken == dc->actions.n)
    dc->actions_taken = dc->actions.n = dc->places.n = 0;
  error = apply (dc, event);
  if (!error && dc->config.check)
    error = dc_check (dc);
  return error;
}

int
dc_decide (struct dc *dc, int64_t now_ms)
{
  int error;

  if (now_ms < dc->now_ms)
    return DC_EORDER;
  dc->now_ms = now_ms;
  error = dc_run (dc);
  if (!error && dc->config.check)
    error = dc_check (dc);
  return error;
}

int64_t
dc_next_decision_ms (const struct dc *dc)
{
  return dc_run_next_ms (dc);
}

const char *
dc_broken_invariant (const struct dc *dc)
{
  return dc->broken_invariant;
}

size_t
dc_state_bytes (const struct dc *dc)
{
  size_t bytes = sizeof *dc + DC_CAPS * sizeof *dc->index[0];

  bytes += dc->workers.cap * sizeof *dc->workers.v;
  bytes += dc->racks.cap * sizeof *dc->racks.v;
  bytes += dc->domains.cap * sizeof *dc->domains.v;
  bytes += dc->accounts.cap * sizeof *dc->accounts.v;
  bytes += dc->jobs.cap * sizeof *dc->jobs.v;
  bytes += dc->cells.cap * sizeof *dc->cells.v;
  bytes += dc->queues.cap * sizeof *dc->queues.v;
  bytes += dc->account_queues.cap * sizeof *dc->account_queues.v;
  bytes += dc->actions.cap * sizeof *dc->actions.v;
  bytes += dc->places.cap * sizeof *dc->places.v;
  bytes += (dc->dirty_accounts.cap + dc->unbound.cap + dc->blocked.cap
            + dc->watched.cap + dc->queue_order.cap)
           * sizeof (uint32_t);
  bytes += dc->allocations.cap * sizeof *dc->allocations.v;
  bytes += dc->offers.cap * sizeof *dc->offers.v;
  for (uint32_t i = 0; i < dc->queues.n; i++)
    bytes += dc->queues.v[i].jobs.cap * sizeof (uint32_t);
  for (uint32_t i = 0; i < dc->account_queues.n; i++)
    bytes += dc->account_queues.v[i].jobs.cap * sizeof (uint32_t);
  return bytes + pl_bytes (&dc->tasks) + pl_bytes (&dc->parts);
}

const char *
dc_strerror (int error)
{
  switch ((enum dc_error)error)
    {
    case DC_OK:
      return "success";
    case DC_EINVAL:
      return "invalid field in an event";
    case DC_ENOMEM:
      return "out of memory";
    case DC_EORDER:
      return "time went backwards";
    case DC_EEXIST:
      return "handle already in use";
    case DC_ENOENT:
      return "unknown handle";
    case DC_EINVARIANT:
      return "an invariant does not hold";
    }
  return "unknown error";
}
