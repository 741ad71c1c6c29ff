/* The workers of the cell: the worker list, lease renewals and polls.  */
#include <stdio.h>
#include <string.h>

#include "control/cell_impl.h"
#include "skr/log.h"

enum
{
  RENEWALS_PER_LEASE = 4, /* renewals within one task lease */
  STATUS_OK = 200
};

struct mb_worker *
cl_worker (struct cl_cell *c, uint32_t worker)
{
  return &g_array_index (c->workers, struct mb_worker, worker);
}

const char *
cl_worker_name (void *cell, uint32_t worker)
{
  return cl_worker (cell, worker)->id;
}

/* Returns the handle of the worker ID, or the number of workers if there is
   none.  */
uint32_t
cl_find_worker (struct cl_cell *c, const char *id)
{
  uint32_t i = 0;

  while (i < c->workers->len && strcmp (cl_worker (c, i)->id, id) != 0)
    i++;
  return i;
}

static void
update_worker (struct cl_cell *c, const struct mb_worker *seen)
{
  uint32_t i = cl_find_worker (c, seen->id);
  struct mb_worker *w;

  if (i == c->workers->len)
    {
      g_array_append_val (c->workers, *seen);
      c->workers_changed_ms = c->now_ms;
      return;
    }
  w = cl_worker (c, i);
  if (!w->listed)
    c->workers_changed_ms = c->now_ms;
  mb_update_listing (w, seen);
  w->listed = 2; /* 2: named by the list being read */
}

void
cl_update_workers (struct cl_cell *c, int64_t now_ms, const json_t *vms)
{
  const json_t *vm;
  size_t i;

  c->now_ms = now_ms;
  c->lists_received++;
  json_array_foreach (vms, i, vm)
  {
    const char *role = json_string_value (json_object_get (vm, "role"));
    const char *domain = json_string_value (json_object_get (vm, "domain"));
    char cell[CF_NAME_SIZE];
    struct mb_worker seen;

    if (!role || !domain || strcmp (role, "worker") != 0
        || mb_parse (&seen, vm))
      continue;
    cf_cell_name (cell, domain, seen.rack, cf_cells_per_domain (c->config));
    if (strcmp (cell, c->name) != 0)
      continue;
    seen.listed = 2;
    update_worker (c, &seen);
  }
  for (guint n = 0; n < c->workers->len; n++)
    {
      struct mb_worker *w = cl_worker (c, n);

      if (w->listed == 2)
        w->listed = 1;
      else
        mb_update_listing (w, NULL);
    }
}

void
cl_workers_begin (struct cl_cell *c)
{
  c->lists_received = 0;
  c->workers_changed_ms = c->now_ms;
  for (guint i = 0; i < c->workers->len; i++)
    {
      struct mb_worker *w = cl_worker (c, i);

      w->state = MB_NEW;
      w->answered_ms = w->fenced_ms = -1;
      /* The previous holder may have renewed the task leases until now.  */
      w->renewed_ms = c->now_ms;
      w->next_renew_ms = w->next_poll_ms = 0;
      w->last_order_ms = c->now_ms;
      w->renewing = w->polling = w->surveyed = w->announced = 0;
      w->reports_leaving = 0;
    }
}

static void
send_request (struct cl_cell *c, uint32_t worker, enum cl_request request,
              const char *path, const json_t *body)
{
  struct cl_effect e = { .kind = CL_ORDER, .cell = c };

  e.u.order.ticket = (struct cl_ticket){ .request = request,
                                         .worker = worker,
                                         .tenure = c->tenure,
                                         .sent_ms = c->now_ms };
  e.u.order.address = cl_worker (c, worker)->address;
  e.u.order.path = path;
  e.u.order.body = body;
  e.u.order.timeout_ms = (int)c->settings->order_timeout_ms;
  c->emit (c->arg, &e);
}

static void
renew_leases (struct cl_cell *c, uint32_t worker)
{
  struct mb_worker *w = cl_worker (c, worker);
  json_t *body = json_pack ("{s:s, s:I, s:I}", "cell", c->name, "epoch",
                            (json_int_t)c->lease.row.epoch, "lease_ms",
                            (json_int_t)c->settings->task_lease_ms);

  w->renewing = 1;
  w->renewed_ms = c->now_ms;
  w->next_renew_ms
      = c->now_ms + c->settings->task_lease_ms / RENEWALS_PER_LEASE;
  send_request (c, worker, CL_RENEW, "/v1/leases", body);
  json_decref (body);
}

static void
poll_tasks (struct cl_cell *c, uint32_t worker)
{
  struct mb_worker *w = cl_worker (c, worker);
  char path[CT_NAME + 32];

  w->polling = 1;
  mb_poll_sent (w, c->now_ms, &c->worker_times);
  snprintf (path, sizeof path, "/v1/tasks?cell=%s", c->name);
  send_request (c, worker, CL_POLL, path, NULL);
}

/* A worker that is no longer listed is still contacted while it may have
   tasks.  */
static int
is_contacted (const struct mb_worker *w)
{
  return w->listed || w->state == MB_UP || w->state == MB_LEAVING;
}

static void
log_worker (struct cl_cell *c, enum lg_event event, uint32_t worker)
{
  struct lg_field field[] = { lg_str ("cell", c->name),
                              lg_str ("worker", cl_worker_name (c, worker)) };

  lg_log (event, 2, field);
}

static uint32_t
rack_handle (struct cl_cell *c, const char *name)
{
  for (guint i = 0; i < c->racks->len; i++)
    if (!strcmp (g_ptr_array_index (c->racks, i), name))
      return i;
  g_ptr_array_add (c->racks, g_strdup (name));
  return c->racks->len - 1;
}

void
cl_announce_worker (struct cl_cell *c, uint32_t worker)
{
  const struct mb_worker *w = cl_worker (c, worker);
  struct dc_event e = { .kind = DC_EV_WORKER };
  int slots = w->slots - c->settings->reserve_slots;

  e.u.worker.id = worker;
  e.u.worker.rack = rack_handle (c, w->rack);
  e.u.worker.accelerators = w->accelerators;
  e.u.worker.slots = slots > 0 ? slots : 0;
  cl_worker (c, worker)->announced = 1;
  cl_apply_event (c, &e);
}

void
cl_announce_worker_state (struct cl_cell *c, enum dc_event_kind kind,
                          uint32_t worker)
{
  struct dc_event e = { .kind = kind };

  if (!cl_worker (c, worker)->announced)
    cl_announce_worker (c, worker);
  e.u.worker_id = worker;
  cl_apply_event (c, &e);
}

/* Attempts that are not running yet are withdrawn before the decision layer
   learns of the loss, so that they count as never started.  */
static void
handle_worker_loss (struct cl_cell *c, uint32_t worker)
{
  GPtrArray *gangs = cl_worker_gangs (c, worker);

  cl_note_gangs_lost (c, worker, 1);

  for (guint i = 0; i < gangs->len; i++)
    {
      struct wk_gang *g = g_ptr_array_index (gangs, i);
      struct jb_job *job = g->owner;

      if (g->phase == WK_HOLD && job && job->gang == g)
        cl_resubmit (c, job, 0);
      wk_worker_down (g, worker);
    }
  cl_announce_worker_state (c, DC_EV_WORKER_DOWN, worker);
}

static void
handle_change (struct cl_cell *c, uint32_t worker, enum mb_change what)
{
  switch (what)
    {
    case MB_NONE:
      return;
    case MB_JOINED:
      log_worker (c, LG_WORKER_UP, worker);
      if (c->phase == CL_SERVING)
        cl_announce_worker (c, worker);
      return;
    case MB_STARTED_LEAVING:
      log_worker (c, LG_WORKER_LEAVING, worker);
      if (c->phase == CL_SERVING)
        cl_announce_worker_state (c, DC_EV_WORKER_LEAVING, worker);
      return;
    case MB_LOST:
      log_worker (c, LG_WORKER_DOWN, worker);
      if (c->phase == CL_SERVING)
        handle_worker_loss (c, worker);
      return;
    }
}

void
cl_workers_step (struct cl_cell *c)
{
  for (uint32_t i = 0; i < c->workers->len; i++)
    {
      struct mb_worker *w = cl_worker (c, i);

      handle_change (c, i, mb_step (w, c->now_ms, &c->worker_times));
      w = cl_worker (c, i);
      if (!is_contacted (w))
        continue;
      if (!w->renewing && c->now_ms >= w->next_renew_ms
          && mb_may_renew (w, c->now_ms, &c->worker_times))
        renew_leases (c, i);
      if (!w->polling && c->now_ms >= w->next_poll_ms)
        poll_tasks (c, i);
    }
}

static void
handle_poll (struct cl_cell *c, const struct cl_ticket *t, const json_t *body)
{
  struct mb_worker *w = cl_worker (c, t->worker);
  const char *id = json_string_value (json_object_get (body, "id"));

  /* The address may have been reassigned to another VM.  */
  if (!id || strcmp (id, w->id) != 0)
    return;
  /* Nothing was sent to this worker under our epoch yet, so an equal epoch
     comes from another holder.  */
  if (!w->next_renew_ms
      && ce_epoch_reused (
          &c->lease, c->now_ms,
          json_integer_value (json_object_get (body, "epoch"))))
    {
      cl_lease_lost (c);
      return;
    }
  mb_answered (w, c->now_ms);
  mb_set_leaving (w, json_is_true (json_object_get (body, "leaving")));
  cl_read_task_list (c, t->worker, t->sent_ms,
                     json_object_get (body, "tasks"));
  if (w->fenced_ms >= 0 && t->sent_ms >= w->fenced_ms)
    w->surveyed = 1;
}

void
cl_worker_answered (struct cl_cell *c, const struct cl_ticket *t, int answered,
                    long status, const json_t *body)
{
  struct mb_worker *w = cl_worker (c, t->worker);
  int ok = answered && status == STATUS_OK;

  if (t->request == CL_POLL)
    {
      w->polling = 0;
      if (ok)
        handle_poll (c, t, body);
      return;
    }
  w->renewing = 0;
  if (!ok)
    return;
  mb_answered (w, c->now_ms);
  if (w->fenced_ms < 0)
    w->fenced_ms = c->now_ms;
  if (!w->surveyed)
    w->next_poll_ms = c->now_ms;
}
