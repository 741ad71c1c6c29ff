/* The control thread: processes events and timers, and ticks the cells.  */
#include <stdlib.h>
#include <string.h>

#include "sched/sched.h"
#include "skr/log.h"

enum
{
  SECOND_MS = 1000,
  VMS_CHECK_INTERVAL_MS = 100, /* between checks whether the VM list is due */
  KEYS_RELOAD_INTERVAL_MS = 2000,
  HOUR_MS = 3600 * SECOND_MS,
  MAX_EVENTS_PER_TICK = 512
};

static void
dispatch (struct sched *s, struct sc_event *e)
{
  switch (e->kind)
    {
    case SC_ORDER:
      cl_order_done (e->cell, s->now_ms, &e->ticket, e->end, e->status,
                     e->json);
      break;
    case SC_COMMIT:
      cl_commit_done (e->cell, s->now_ms, e->serial, e->error, e->json);
      break;
    case SC_READ:
      cl_read_done (e->cell, s->now_ms, e->serial, e->error, e->json);
      break;
    case SC_SCAN:
      cl_scan_done (e->cell, s->now_ms, e->serial, e->error, e->json);
      break;
    case SC_SWEEP:
      cl_sweep_done (e->cell, s->now_ms, e->serial, e->error, e->json);
      break;
    case SC_VMS:
      sc_vms_done (s, e->error, e->json);
      break;
    case SC_CELLS:
      sc_cells_done (s, e->error, e->json);
      break;
    case SC_CONFIG:
      sc_config_done (s, e->error, e->json);
      break;
    case SC_REPAIR:
      break;
    case SC_PEER:
      atomic_fetch_sub (&s->peer_queued, 1);
      sc_on_peer_message (s, e->message);
      break;
    }
  sc_free_event (e);
}

/* Waits up to WAIT_MS for the first event, then processes the queued events,
   at most MAX_EVENTS_PER_TICK.  */
static void
process_events (struct sched *s, int wait_ms)
{
  void *item;

  for (int n = 0; n < MAX_EVENTS_PER_TICK; n++)
    {
      if (rg_pop (&s->ring, &item, n ? 0 : wait_ms) != BS_OK)
        return;
      s->now_ms = bs_now_ms (&s->clock);
      dispatch (s, item);
    }
}

/* Runs due timers and all cells; returns the time in ms until the next tick,
   at least 1.  */
static int
tick (struct sched *s)
{
  int wait, cell_wait;

  s->now_ms = bs_now_ms (&s->clock);
  wait = tm_run (&s->timers, s->now_ms);
  sc_update_loading_cells (s);
  for (int i = 0; i < s->cells; i++)
    {
      s->now_ms = bs_now_ms (&s->clock);
      cell_wait
          = cl_tick (s->cell[i], s->now_ms, sc_take_delay (s, s->cell[i]));
      if (cell_wait < wait)
        wait = cell_wait;
    }
  return wait > 0 ? wait : 1;
}

/* Releases all cells.  Their tasks continue to run; the next holder of a cell
   adopts them.  */
static void
release_cells (struct sched *s)
{
  int64_t until = bs_now_ms (&s->clock) + s->settings->drain_ms;

  sc_heartbeat (s, s->now_ms);
  for (int i = 0; i < s->cells; i++)
    cl_release (s->cell[i]);
  while (sc_held_count (s) && bs_now_ms (&s->clock) < until)
    process_events (s, tick (s));
}

static void *
loop_main (void *arg)
{
  struct sched *s = arg;
  int wait = 1;

  while (!atomic_load (&s->stop))
    {
      process_events (s, wait);
      wait = tick (s);
    }
  release_cells (s);
  atomic_store (&s->stopped, 1);
  return NULL;
}

static void
init_cell_settings (struct sched *s)
{
  const struct sc_settings *set = s->settings;

  s->cell_settings = (struct cl_settings){
    .vm = set->vm,
    .token = s->token,
    .cell_lease_ms = set->cell_lease_ms,
    .cell_margin_ms = set->cell_margin_ms,
    .task_lease_ms = set->task_lease_ms,
    .poll_ms = set->poll_ms,
    .poll_max_ms = set->poll_max_ms,
    .scan_ms = set->scan_ms,
    .settle_ms = set->settle_ms,
    .order_timeout_ms = set->order_timeout_ms,
    .reserve_slots = (int)set->reserve_slots,
    .commit_rows = (int)set->commit_rows,
    .rows_per_second = (int)set->rows_per_second,
    .retention_ms = set->keep_jobs_h * HOUR_MS,
    .wall_ms = bs_wall_ms,
    .decide
    = { .weight_completion = (double)set->weight_completion / 100,
        .weight_fragmentation = (double)set->weight_fragmentation / 100,
        .spare_workers = (int32_t)set->spare_workers,
        .check = !set->no_check },
  };
}

static void
subscribe_timers (struct sched *s)
{
  int64_t now = bs_now_ms (&s->clock);
  int64_t watch = s->settings->cell_lease_ms / 8;

  tm_init (&s->timers);
  tm_subscribe (&s->timers, now, VMS_CHECK_INTERVAL_MS, sc_poll_vms, s);
  tm_subscribe (&s->timers, now, watch, sc_poll_cells, s);
  tm_subscribe (&s->timers, now, SECOND_MS, sc_poll_config, s);
  tm_subscribe (&s->timers, now, SECOND_MS, sc_heartbeat, s);
  tm_subscribe (&s->timers, now, SECOND_MS, sc_send_grants, s);
  tm_subscribe (&s->timers, now, SECOND_MS, sc_rebalance, s);
  tm_subscribe (&s->timers, now, SECOND_MS, sc_update_gauges, s);
  tm_subscribe (&s->timers, now, KEYS_RELOAD_INTERVAL_MS, sc_reload_keys, s);
}

int
sc_start (struct sched *s, const struct sc_settings *set)
{
  memset (s, 0, sizeof *s);
  s->settings = set;
  s->clock = bs_clock_boot ();
  s->now_ms = bs_now_ms (&s->clock);
  bs_random_hex (s->token, (CT_TOKEN - 1) / 2);
  gr_init (&s->grants);
  vl_init (&s->vm_list, set->vm, set->domain, 0, s->now_ms);
  if (cf_init (&s->config) || sc_io_start (s))
    return CT_ENOMEM;
  init_cell_settings (s);
  if (sc_counters_start (s) || sc_peers_start (s))
    return CT_EINVAL;
  subscribe_timers (s);
  return bs_thread_start (&s->thread, loop_main, s) ? CT_ENOMEM : CT_OK;
}

void
sc_stop (struct sched *s)
{
  atomic_store (&s->stop, 1);
  bs_thread_join (&s->thread);
  sc_counters_stop (s);
  sc_io_stop (s);
  for (int i = 0; i < s->cells; i++)
    {
      cl_fini (s->cell[i]);
      g_free (s->cell[i]);
    }
  gr_fini (&s->grants);
  cf_reader_fini (&s->reader);
  cf_fini (&s->config);
  vl_fini (&s->vm_list);
  json_decref (s->vms);
  json_decref (s->workers);
  json_decref (s->cell_rows);
}
