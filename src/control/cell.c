#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "control/cell_impl.h"
#include "skr/log.h"

enum
{
  MAX_TICK_INTERVAL_MS = 50 /* longest interval between ticks */
};

static void
free_job (void *job)
{
  jb_free (job);
}

int
cl_init (struct cl_cell *c, const char *name, const struct cl_settings *set,
         struct cf_store *config, cl_emit *emit, void *arg)
{
  memset (c, 0, sizeof *c);
  snprintf (c->name, sizeof c->name, "%s", name);
  snprintf (c->table, sizeof c->table, "jobs.%s", name);
  c->settings = set;
  c->config = config;
  c->emit = emit;
  c->arg = arg;
  c->worker_times
      = (struct mb_times){ .lease_ms = set->task_lease_ms,
                           .suspect_after_ms = set->task_lease_ms / 2,
                           .poll_ms = set->poll_ms,
                           .poll_max_ms = set->poll_max_ms,
                           .max_request_ms = set->order_timeout_ms };
  ce_init (&c->lease, set->vm, set->token, set->cell_lease_ms,
           set->cell_margin_ms);
  c->rng = gsl_rng_alloc (gsl_rng_mt19937);
  if (!c->rng)
    return CT_ENOMEM;
  gsl_rng_set (c->rng, XXH32 (set->token, strlen (set->token),
                              XXH32 (name, strlen (name), 0)));
  c->jitter = cl_random (c);
  c->workers = g_array_new (FALSE, TRUE, sizeof (struct mb_worker));
  c->racks = g_ptr_array_new_with_free_func (g_free);
  c->accounts = g_ptr_array_new_with_free_func (g_free);
  c->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_job);
  c->jobs_by_handle = g_ptr_array_new ();
  c->dropped = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  c->free_handles = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  c->gangs = g_ptr_array_new_with_free_func (cl_free_gang);
  c->gangs_by_job = g_hash_table_new (g_str_hash, g_str_equal);
  c->gangs_by_worker = g_ptr_array_new_with_free_func (cl_free_array);
  c->batch = g_ptr_array_new ();
  c->expired_rows = g_ptr_array_new_with_free_func (g_free);
  g_queue_init (&c->events);
  for (int i = 0; i <= DC_BULK; i++)
    g_queue_init (&c->dirty[i]);
  g_queue_init (&c->waiting);
  return CT_OK;
}

static void
free_decide (struct cl_cell *c)
{
  if (!c->dc)
    return;
  dc_fini (c->dc);
  free (c->dc);
  c->dc = NULL;
}

/* Discards all state of a tenure except the list of workers.  */
static void
clear_tenure (struct cl_cell *c)
{
  free_decide (c);
  g_queue_clear_full (&c->events, g_free);
  for (int i = 0; i <= DC_BULK; i++)
    g_queue_clear (&c->dirty[i]);
  g_queue_clear (&c->waiting);
  g_ptr_array_set_size (c->batch, 0);
  g_hash_table_remove_all (c->gangs_by_job);
  g_ptr_array_set_size (c->gangs_by_worker, 0);
  g_ptr_array_set_size (c->gangs, 0);
  g_hash_table_remove_all (c->jobs);
  g_hash_table_remove_all (c->dropped);
  g_ptr_array_set_size (c->jobs_by_handle, 0);
  g_array_set_size (c->free_handles, 0);
  g_ptr_array_set_size (c->accounts, 0);
  c->scan_rev = c->scan_first_rev = 0;
  c->scan_after[0] = '\0';
  c->scanning = c->reading = 0;
  c->scan_serial = 0;
  c->config_version = 0;
}

void
cl_fini (struct cl_cell *c)
{
  clear_tenure (c);
  g_array_free (c->workers, TRUE);
  g_ptr_array_free (c->racks, TRUE);
  g_ptr_array_free (c->accounts, TRUE);
  g_hash_table_destroy (c->jobs);
  g_hash_table_destroy (c->dropped);
  json_decref (c->cell_rows);
  g_ptr_array_free (c->jobs_by_handle, TRUE);
  g_array_free (c->free_handles, TRUE);
  g_hash_table_destroy (c->gangs_by_job);
  g_ptr_array_free (c->gangs_by_worker, TRUE);
  g_ptr_array_free (c->gangs, TRUE);
  g_ptr_array_free (c->batch, TRUE);
  g_ptr_array_free (c->expired_rows, TRUE);
  gsl_rng_free (c->rng);
}

double
cl_random (struct cl_cell *c)
{
  return gsl_rng_uniform (c->rng);
}

int
cl_may_act (const struct cl_cell *c)
{
  return ce_may_act (&c->lease, c->now_ms);
}

static void
log_cell (struct cl_cell *c, enum lg_event event)
{
  struct lg_field field[]
      = { lg_str ("cell", c->name), lg_int ("epoch", c->lease.row.epoch) };

  lg_log (event, 2, field);
}

void
cl_start_tenure (struct cl_cell *c)
{
  clear_tenure (c);
  c->tenure++;
  c->taken_ms = c->now_ms;
  c->lease_expired = 0;
  c->restored_rev = c->lease.doubt ? c->lease.row.version : 0;
  c->dc = calloc (1, dc_size ());
  if (!c->dc || dc_init (c->dc, &c->settings->decide))
    abort ();
  cl_workers_begin (c);
  cl_sweep_begin (c);
  c->phase = CL_LOADING;
  c->scan_at_ms = c->now_ms;
  log_cell (c, LG_CELL_TAKEN);
  if (c->restored_rev)
    log_cell (c, LG_TABLE_PUT_BACK);
}

void
cl_lease_lost (struct cl_cell *c)
{
  if (c->phase == CL_WATCHING)
    return;
  log_cell (c, c->releasing ? LG_CELL_RELEASED : LG_CELL_LOST);
  c->phase = CL_WATCHING;
  c->releasing = 0;
  c->jitter = cl_random (c);
  clear_tenure (c);
}

void
cl_release (struct cl_cell *c)
{
  if (c->phase != CL_WATCHING)
    c->releasing = 1;
}

void
cl_observe_row (struct cl_cell *c, int64_t now_ms, const json_t *value,
                int64_t version)
{
  struct ce_row row;

  c->now_ms = now_ms;
  if (ce_parse (&row, value, version))
    return;
  if (ce_observe (&c->lease, now_ms, &row))
    cl_lease_lost (c);
}

void
cl_row_read_failed (struct cl_cell *c)
{
  ce_read_failed (&c->lease);
}

void
cl_set_cell_rows (struct cl_cell *c, json_t *rows)
{
  json_incref (rows);
  json_decref (c->cell_rows);
  c->cell_rows = rows;
}

void
cl_observe_epoch (struct cl_cell *c, int64_t now_ms, int64_t epoch)
{
  c->now_ms = now_ms;
  if (ce_observe_epoch (&c->lease, now_ms, epoch))
    cl_lease_lost (c);
}

void
cl_request_scan (struct cl_cell *c)
{
  c->scan_soon = 1;
}

static void
note_lease_expiry (struct cl_cell *c)
{
  int expired = !cl_may_act (c) && !c->releasing;

  if (expired && !c->lease_expired)
    log_cell (c, LG_CELL_LAPSED);
  c->lease_expired = expired;
}

static void
scan_step (struct cl_cell *c)
{
  struct cl_effect e = { .kind = CL_SCAN, .cell = c };

  if (c->scanning || c->now_ms < (c->scan_soon ? 0 : c->scan_at_ms))
    return;
  /* Placements name workers, so the rows are read once the worker list is
     known.  */
  if (c->phase == CL_LOADING && !c->lists_received)
    return;
  c->scan_soon = 0;
  c->scanning = 1;
  e.serial = c->scan_serial = ++c->serial;
  e.u.scan.since = c->scan_rev;
  e.u.scan.after = *c->scan_after ? c->scan_after : NULL;
  c->emit (c->arg, &e);
}

int
cl_tick (struct cl_cell *c, int64_t now_ms, int64_t take_delay_ms)
{
  c->now_ms = now_ms;
  cl_commit_step (c, take_delay_ms);
  if (c->phase == CL_WATCHING)
    return MAX_TICK_INTERVAL_MS;
  cl_restore_step (c);
  note_lease_expiry (c);
  if (c->releasing)
    return MAX_TICK_INTERVAL_MS;
  scan_step (c);
  cl_workers_step (c);
  if (c->phase == CL_SURVEY && cl_may_act (c) && cl_survey_is_complete (c))
    cl_recover (c);
  if (c->phase == CL_SERVING && cl_may_act (c))
    {
      cl_apply_plans (c);
      cl_relocate_step (c);
      cl_jobs_step (c);
      cl_decide (c);
      cl_gangs_step (c);
      cl_sweep_step (c);
    }
  cl_commit_step (c, take_delay_ms);
  return MAX_TICK_INTERVAL_MS;
}
