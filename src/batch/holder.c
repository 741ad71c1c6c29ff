/* A term as lease holder: acquires the lease, loads the jobs, decides,
   stores each decision before it orders it, and ends the term.  */
#include <string.h>

#include "batch/holder.h"
#include "batch/term.h"

enum
{
  /* Keeps the VMs from acquiring the lease at the same time.  */
  ACQUIRE_JITTER_MS = 120,
  SMALL_VM_DELAY_MS = 2500, /* delay of a small VM before it acquires the
                               lease, times the square of the missing cores */
  /* Further delay of a VM that is much smaller than the last holder.  Longer
     than most outages of the store, in which the holder lives; with the time
     of a take-over below the 12 s in which a deployment must recover if all
     larger VMs are lost.  */
  SMALLER_VM_DELAY_MS = 8000,
  /* Orders that are decided ahead, for each one that may be in progress: those
     wait for their record meanwhile.  */
  OPEN_ORDERS_FACTOR = 2,
  CLOCK_JUMP_MS = 400, /* a larger change of the time of day is a clock step */
  /* A stepped clock is accepted after this time.  */
  CLOCK_JUMP_ACCEPT_MS = 20000
};

void
ho_log_term (struct batch *b, enum lg_event event, const char *reason)
{
  struct lg_field f[]
      = { lg_int ("epoch", b->lease.epoch), lg_int ("turn", b->term),
          lg_int ("version", b->lease.version),
          lg_int ("unchanged_ms", b->now_ms - b->lease.changed_ms),
          lg_str ("reason", reason) };

  lg_log (event, 5, f);
}

/* Returns the time of day, smoothed over clock steps: a stepped clock is
   used only after CLOCK_JUMP_ACCEPT_MS.  */
static int64_t
wall_ms (struct batch *b)
{
  int64_t offset_ms = bs_wall_ms () - b->now_ms;
  int64_t jump_ms = offset_ms - b->wall_offset_ms;

  if (!b->wall_offset_ms
      || (jump_ms < CLOCK_JUMP_MS && jump_ms > -CLOCK_JUMP_MS))
    {
      b->wall_offset_ms = offset_ms;
      b->wall_seen_ms = b->now_ms;
    }
  else if (b->now_ms - b->wall_seen_ms > CLOCK_JUMP_ACCEPT_MS)
    b->wall_offset_ms = offset_ms;
  return b->now_ms + b->wall_offset_ms;
}

void
ho_begin_term (struct batch *b)
{
  struct sj_settings set
      = { .off_rack_factor = b->settings->far_factor,
          .silent_timeout_ms = wk_max_lease_ms (b->settings) * 51 / 50 + 200,
          .domains = ev_is_served (b) ? &b->domains : NULL,
          .speed_aware = (int)b->settings->speed_aware,
          .headroom_forecast = (int)b->settings->headroom_forecast,
          .reclaim_ms = b->settings->reclaim_ms,
          .stop_ms = b->settings->stop_ms,
          .checkpoint_interval_ms
          = (int64_t)(b->settings->checkpoint_interval_s * 1000),
          .fair_share = b->settings->fair_share,
          .max_record_bytes = PO_MAX_VALUE_BYTES,
          .record_pieces = b->settings->record_pieces != 0 };

  b->term++;
  b->term_began_ms = b->now_ms;
  b->phase = BA_LOADING;
  b->jobs_seen_version = b->lease.version;
  b->cluster = sj_new (&set, wk_send_order, b);
  sj_set_note_fn (b->cluster, ba_on_note, b);
  te_begin (b);
  cm_begin_term (b);
  wk_init_workers (b);
  b->starts_held = b->evacuations_held = 0;
  b->records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                      (GDestroyNotify)json_decref);
  b->loaded = g_ptr_array_new_with_free_func ((GDestroyNotify)sj_job_free);
  b->load_next_key[0] = '\0';
  b->load_purpose = BA_LOAD_RECORDS;
  b->load_in_flight = 0;
  b->next_load_ms = b->now_ms;
  ba_apply_guarantees (b);
  ta_set_poll_gap (b);
  ho_log_term (b, LG_LEASE_TAKEN, "");
}

void
ho_end_term (struct batch *b)
{
  ld_free (b);
  cm_reset (b);
  wk_clear_orders (b);
  le_drop (&b->lease);
  fo_stop (&b->worker_follower);
  sj_free (b->cluster);
  b->cluster = NULL;
  wk_fini_workers (b);
  b->phase = BA_STANDBY;
  b->term++;
  te_end (b);
  b->acquire_at_ms = 0;
  ta_set_poll_gap (b);
}

void
ho_step_down (struct batch *b, const char *reason)
{
  if (b->phase == BA_STANDBY)
    return;
  /* The change feed may deliver the released row before the write's answer. */
  if (b->commit.open && b->commit.kind == BA_COMMIT_RELEASE)
    ho_log_term (b, LG_LEASE_RELEASED, "stopping");
  else
    ho_log_term (b, LG_LEASE_LOST, reason);
  ho_end_term (b);
}

/* Enough to schedule some hundred workers.  */
static const double sufficient_cores = 0.5;

/* Returns how long this VM delays before it acquires the lease, so that VMs
   with more processor time come first.  */
static int64_t
small_vm_delay_ms (const struct batch *b)
{
  double missing_cores = sufficient_cores - b->settings->processor;

  return missing_cores > 0
             ? (int64_t)(missing_cores * missing_cores * SMALL_VM_DELAY_MS)
             : 0;
}

static int
acquire_is_due (struct batch *b)
{
  if (b->stopping_at_ms || b->commit.open || b->store_down
      || !b->job_follower.synced || !b->config || !ev_is_known (b)
      || !le_may_acquire (&b->lease, b->now_ms)
      || b->now_ms - b->job_follower.fresh_ms > b->settings->take_ms
      || b->now_ms < b->no_attempt_before_ms)
    {
      b->acquire_at_ms = 0;
      return 0;
    }
  if (!b->acquire_at_ms)
    b->acquire_at_ms = b->now_ms + g_random_int_range (0, ACQUIRE_JITTER_MS)
                       + small_vm_delay_ms (b)
                       + (le_is_small (&b->lease) ? SMALLER_VM_DELAY_MS : 0);
  return b->now_ms >= b->acquire_at_ms;
}

static void
tick_active (struct batch *b)
{
  if (le_valid (&b->lease, b->now_ms))
    {
      int64_t begin_ms = bs_now_ms (&b->clock), polled_ms;

      ta_check_starts (b);
      wk_tick (b);
      polled_ms = bs_now_ms (&b->clock);
      sj_limit_orders (b->cluster, OPEN_ORDERS_FACTOR * b->orders.limit);
      sj_decide (b->cluster, b->now_ms, wall_ms (b));
      b->usage.now.polls_ms += polled_ms - begin_ms;
      b->usage.now.decide_ms += bs_now_ms (&b->clock) - polled_ms;
    }
  if (b->commit.open)
    return;
  sj_retry_aside (b->cluster, b->now_ms);
  te_tick (b);
  if (b->stopping_at_ms || b->reload_wanted)
    {
      cm_begin (b, BA_COMMIT_RELEASE, le_release_value (&b->lease));
      le_end_orders (&b->lease, b->now_ms);
    }
  else if (sj_is_dirty (b->cluster) || le_wants_raise (&b->lease)
           || b->now_ms >= le_renew_at (&b->lease))
    cm_begin_records (b);
}

void
ho_tick (struct batch *b)
{
  switch (b->phase)
    {
    case BA_STANDBY:
      wall_ms (b);
      if (acquire_is_due (b))
        cm_begin (b, BA_COMMIT_ACQUIRE,
                  le_acquire_value (&b->lease, &b->last_end));
      break;
    case BA_LOADING:
      ld_send_read (b);
      if (!b->records && b->worker_follower.synced)
        {
          b->phase = BA_ACTIVE;
          ev_log_term (b);
        }
      if (!b->commit.open && b->now_ms >= le_renew_at (&b->lease))
        cm_begin_records (b);
      break;
    case BA_ACTIVE:
      tick_active (b);
      break;
    }
  cm_send (b);
}
