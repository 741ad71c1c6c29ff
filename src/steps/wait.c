/* Whether a unit that does not fit waits for capacity that becomes free by
   itself, or has other work stopped.  */
#include "steps/state.h"

enum
{
  /* Time from the end of a stopped run to the start in its place: the listing
     that shows the end, a round, the store's write and the order.  A loop
     under load takes up to 0.3 s (event 533).  */
  START_MS = 300,
  /* A victim that does not stop shows after this time beyond that of a stop,
     and others are stopped instead.  */
  SECOND_STOP_MS = 300,
  /* Share of the run time by which a wait ends before the latest start, as run
     times are scattered.  */
  MARGIN_PERCENT = 10,
  MAX_WAITS = 8 /* searches in one round */
};

/* The time from which on a start would be late.  A guaranteed unit of a first
   step must start within the time promised from its acceptance; others count
   from when they became ready.  */
static int64_t
start_limit_ms (const struct sj_cluster *c, const struct unit *u)
{
  const struct sj_job *s = u->job->spec;
  int is_first
      = !un_step (u)->depends_on && !s->occurrences && u->run_number == 0;

  return (is_first ? u->job->accepted_ms : u->ready_ms)
         + c->settings.reclaim_ms;
}

/* The time by which stops for U must be ordered.  */
static int64_t
stop_limit_ms (const struct sj_cluster *c, const struct unit *u,
               int64_t latest_start_ms, int64_t now)
{
  int64_t lead_ms = vi_stop_ms (c) + START_MS;
  int64_t objective_ms = latest_start_ms - lead_ms
                         - un_step (u)->estimate_ms * MARGIN_PERCENT / 100;
  int64_t promise_ms
      = start_limit_ms (c, u) - lead_ms - vi_stop_ms (c) - SECOND_STOP_MS;

  if (u->job->rank > RANK_GUARANTEED)
    return objective_ms;
  /* An objective that can't be met any more is no reason to stop work.  */
  if (now + lead_ms > latest_start_ms)
    return promise_ms;
  return MIN (objective_ms, promise_ms);
}

/* Tasks of U that fit on W within WITHIN_MS without a stop.  */
static int
fitting_within (const struct sj_cluster *c, const struct unit *u,
                const struct worker *w, int64_t within_ms, int64_t now)
{
  struct sj_resources need = nd_for_step (un_step (u)), available = w->free;

  if (!pl_is_eligible (c, u, w))
    return 0;
  nd_sub (&available, &w->reserved);
  for (guint i = 0; i < w->members->len; i++)
    {
      const struct member *m = g_ptr_array_index (w->members, i);
      struct sj_resources freed = nd_for_step (un_step (m->unit));

      if (vi_remaining_ms (c, m->unit, now) <= within_ms)
        nd_add (&available, &freed);
    }
  return nd_count_fitting (&need, &available, pl_max_per_worker (u));
}

/* Whether U will fit in RACK (any if NULL) within WITHIN_MS.  */
static int
will_fit (const struct sj_cluster *c, const struct unit *u,
          const struct rack *rack, int64_t within_ms, int64_t now)
{
  const GPtrArray *workers = rk_workers (c, rack);
  int n = 0;

  for (guint i = 0; i < workers->len && n < u->count; i++)
    n += fitting_within (c, u, g_ptr_array_index (workers, i), within_ms, now);
  return n >= u->count;
}

/* Reserves that capacity.  It counts as in use from now on, as a run that ends
   later than expected would delay U.  */
static void
reserve (struct sj_cluster *c, const struct unit *u, const struct rack *rack,
         int64_t within_ms, int64_t now)
{
  const GPtrArray *workers = rk_workers (c, rack);
  struct sj_resources need = nd_for_step (un_step (u));
  int left = u->count;

  for (guint i = 0; i < workers->len && left > 0; i++)
    {
      struct worker *w = g_ptr_array_index (workers, i);
      int n = fitting_within (c, u, w, within_ms, now);

      for (; n > 0 && left > 0; n--, left--)
        {
          nd_add (&w->reserved, &need);
          w->reserved_from_ms = now;
        }
    }
}

/* Reserves capacity for U that becomes free within WITHIN_MS.  Returns 0 if
   there is not enough.  */
static int
reserve_within (struct sj_cluster *c, const struct unit *u, int allow_off_rack,
                int64_t within_ms, int64_t now)
{
  GPtrArray *racks;
  const struct rack *rack = NULL;

  if (pl_is_rack_bound (u))
    {
      racks = pl_candidate_racks (c, u);
      for (guint i = 0; i < racks->len && !rack; i++)
        if (will_fit (c, u, g_ptr_array_index (racks, i), within_ms, now))
          rack = g_ptr_array_index (racks, i);
      g_ptr_array_free (racks, TRUE);
      if (!rack && !allow_off_rack)
        return 0;
    }
  if (!rack && !will_fit (c, u, NULL, within_ms, now))
    return 0;
  reserve (c, u, rack, within_ms, now);
  return 1;
}

static void
note_wait (const struct sj_cluster *c, struct unit *u, int64_t until_ms)
{
  struct sj_note note
      = { .kind = SJ_NOTE_WAITS,
          .u.waits = { u->job->spec->id, u->count, until_ms } };

  if (!c->on_note || u->noted_wait == u->run_number + 1)
    return;
  u->noted_wait = u->run_number + 1;
  c->on_note (c->note_arg, &note);
}

enum wt_choice
wt_choose (struct sj_cluster *c, struct unit *u, int allow_off_rack,
           int64_t latest_start_ms, int *waits, const char **reason,
           int64_t now)
{
  int64_t until_ms;

  *reason = "not weighed";
  if (!vi_avoids_stops (c))
    return WT_STOP;
  if (u->job->rank > RANK_GUARANTEED
      && now + vi_stop_ms (c) + START_MS > latest_start_ms)
    return WT_LATE;
  until_ms = stop_limit_ms (c, u, latest_start_ms, now) - now;
  *reason = "no time left";
  if (until_ms <= 0)
    return WT_STOP;
  if ((*waits)++ >= MAX_WAITS)
    return WT_WAIT;
  *reason = "no capacity becomes free in time";
  if (!reserve_within (c, u, allow_off_rack, until_ms, now))
    return WT_STOP;
  note_wait (c, u, until_ms);
  return WT_WAIT;
}
