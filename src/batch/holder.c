/* The scheduler's turn: the lease is taken, jobs are loaded, decisions are
   stored before they are ordered, and the turn ends.  */
#include <string.h>

#include "batch/holder.h"

enum
{
  JITTER_MS = 120,        /* so that VMs do not try to take a lease as one */
  SMALLNESS_MS = 2500,    /* a VM waits before it takes a lease, times the
                             square of the cores that it lacks */
  CLOCK_JUMP_MS = 400,    /* beyond it the time of day was set */
  CLOCK_BELIEF_MS = 20000 /* a set time of day is believed after this */
};

void
ho_log_turn (struct batch *b, enum lg_event event, const char *reason)
{
  struct lg_field f[]
      = { lg_int ("epoch", b->lease.epoch), lg_int ("turn", b->turn),
          lg_int ("version", b->lease.version),
          lg_int ("unchanged_ms", b->now - b->lease.changed_ms),
          lg_str ("reason", reason) };

  lg_log (event, 5, f);
}

/* The time of day without its jumps.  */
static int64_t
wall_ms (struct batch *b)
{
  int64_t offset = bs_wall_ms () - b->now;
  int64_t jump = offset - b->wall_offset;

  if (!b->wall_offset || (jump < CLOCK_JUMP_MS && jump > -CLOCK_JUMP_MS))
    {
      b->wall_offset = offset;
      b->wall_seen_ms = b->now;
    }
  else if (b->now - b->wall_seen_ms > CLOCK_BELIEF_MS)
    b->wall_offset = offset;
  return b->now + b->wall_offset;
}

void
ho_begin_turn (struct batch *b)
{
  struct sj_settings set = { .far_factor = b->set->far_factor,
                             .survey_ms = b->set->hold_ms * 51 / 50 + 200 };

  b->turn++;
  b->phase = BA_LOADING;
  b->jobs_up_to = b->lease.version;
  b->cluster = sj_new (&set, wk_do_order, b);
  b->workers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, wk_free);
  b->records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                      (GDestroyNotify)json_decref);
  b->loaded = g_ptr_array_new_with_free_func ((GDestroyNotify)sj_job_free);
  b->load_from[0] = '\0';
  b->load_next = BA_LOAD_RECORDS;
  b->load_in_flight = 0;
  b->load_at_ms = b->now;
  ba_apply_guarantees (b);
  ta_set_pace (b);
  ho_log_turn (b, LG_LEASE_TAKEN, "");
}

void
ho_end_turn (struct batch *b)
{
  ld_end (b);
  cm_end (b);
  le_drop (&b->lease);
  fo_stop (&b->worker_follow);
  sj_free (b->cluster);
  b->cluster = NULL;
  if (b->workers)
    g_hash_table_destroy (b->workers);
  b->workers = NULL;
  b->phase = BA_FOLLOWS;
  b->turn++;
  b->take_at_ms = 0;
  ta_set_pace (b);
}

void
ho_step_down (struct batch *b, const char *reason)
{
  if (b->phase == BA_FOLLOWS)
    return;
  /* The feed may show the freed row before its write is answered.  */
  if (b->commit.open && b->commit.kind == BA_FREE)
    ho_log_turn (b, LG_LEASE_RELEASED, "stopping");
  else
    ho_log_turn (b, LG_LEASE_LOST, reason);
  ho_end_turn (b);
}

/* Enough to schedule some hundred workers.  */
static const double ample_cores = 0.5;

/* VMs with more processor time go first.  */
static int64_t
smallness_ms (const struct batch *b)
{
  double lacks = ample_cores - b->set->processor;

  return lacks > 0 ? (int64_t)(lacks * lacks * SMALLNESS_MS) : 0;
}

static int
may_take (struct batch *b)
{
  if (b->stopping_at_ms || b->commit.open || b->store_down
      || !b->job_follow.whole || !b->config || !le_may_take (&b->lease, b->now)
      || b->now - b->job_follow.fresh_ms > b->set->take_ms)
    {
      b->take_at_ms = 0;
      return 0;
    }
  if (!b->take_at_ms)
    b->take_at_ms
        = b->now + g_random_int_range (0, JITTER_MS) + smallness_ms (b);
  return b->now >= b->take_at_ms;
}

static void
tick_holder (struct batch *b)
{
  if (le_valid (&b->lease, b->now))
    {
      wk_tick (b);
      sj_decide (b->cluster, b->now, wall_ms (b));
    }
  if (b->commit.open)
    return;
  if (b->stopping_at_ms)
    cm_begin (b, BA_FREE, le_free_value (&b->lease));
  else if (sj_is_dirty (b->cluster) || b->now >= le_renew_at (&b->lease))
    cm_begin_records (b);
}

void
ho_tick (struct batch *b)
{
  switch (b->phase)
    {
    case BA_FOLLOWS:
      wall_ms (b);
      if (may_take (b))
        cm_begin (b, BA_TAKE, le_take_value (&b->lease));
      break;
    case BA_LOADING:
      ld_send (b);
      if (!b->records && b->worker_follow.whole)
        b->phase = BA_HOLDS;
      if (!b->commit.open && b->now >= le_renew_at (&b->lease))
        cm_begin_records (b);
      break;
    case BA_HOLDS:
      tick_holder (b);
      break;
    }
  cm_send (b);
}
