/* Detects workers that fail runs repeatedly, and runs that stall or are slow.

   Each task of a gang advances at its own worker's pace and waits at its end
   for the others, so a slow worker can be distinguished from the others.  */
#include <string.h>

#include "steps/state.h"

enum
{
  /* Failures of different jobs in a row that make a worker suspect.  */
  MAX_CONSECUTIVE_FAILURES = 2,
  SUSPECT_MS = 3000, /* time for which a suspect worker gets no new starts */
  /* A run is stalled after the longer of both times without progress; the
     second is a percentage of its declared run time.  A run that is six times
     slow takes a third of STALL_PERCENT for one percent.  */
  STALL_MS = 700,
  STALL_PERCENT = 20,
  /* From this number of stalls on each one lets a unit stall twice as long
     before it moves, and says nothing about the worker.  */
  PATIENT_STALLS = 2,
  MAX_PATIENCE_DOUBLINGS = 8,
  FIRST_PROGRESS_MS = 1200, /* longest time until a healthy run advances */
  /* A pace sample covers at least both; the second is a percentage of the
     declared run time.  */
  PACE_SAMPLE_MS = 500,
  PACE_SAMPLE_PERCENT = 10,
  /* The same with learned speeds.  Progress is listed in whole percent, so
     that a run on a slow worker whose declared run time is too low advances by
     two or three of them in the shorter sample.  */
  SPEED_SAMPLE_PERCENT = 20,
  NEARLY_DONE_PERCENT = 98, /* from here, a task may wait for its gang */
  /* A pace is slow below this share of the best pace of the step's tasks on
     other workers.  Run times of batch tasks may differ by a factor of four;
     those of short urgent ones differ less.  */
  SLOW_BATCH_PERCENT = 22,
  SLOW_URGENT_PERCENT = 40,
  /* Without such tasks, the share of the declared pace, which may be off by a
     factor of three.  */
  SLOW_DECLARED_PERCENT = 20,
  /* Speed of the slowest usual class, relative to fast workers.  Workers have
     0.55 and 1.2 of the declared speed, or 0.46 of the fast ones.  */
  USUAL_SPEED_PERCENT = 33,
  /* Runs that make a worker's class certain enough to find its own runs slow
     by it.  With three, slow workers that were taken for fast had gangs moved
     off them.  */
  CERTAIN_SAMPLES = 6,
  SERVED_FACTOR = 3, /* a job that ends after three times its objective is not
                        served */
  SLOW_EXPIRY_MS = 6000, /* a worker is not expected to stay slow longer */
  /* Time to stop a run, store its record and start it again.  */
  MOVE_COST_MS = 600
};

/* Excludes W from new starts for a while.  */
static void
mark_suspect (struct sj_cluster *c, struct worker *w, int64_t now)
{
  w->suspect_until_ms = now + SUSPECT_MS;
  c->changed = 1;
}

void
he_record_end (struct sj_cluster *c, struct worker *w, struct unit *u,
               enum sj_end end, int64_t now)
{
  switch (end)
    {
    case SJ_END_DONE:
      w->consecutive_failures = 0;
      break;
    case SJ_END_FAILED:
      if (!w->consecutive_failures
          || strcmp (w->last_failed_job, u->job->spec->id) != 0)
        w->consecutive_failures++;
      g_strlcpy (w->last_failed_job, u->job->spec->id,
                 sizeof w->last_failed_job);
      if (w->consecutive_failures >= MAX_CONSECUTIVE_FAILURES)
        mark_suspect (c, w, now);
      break;
    case SJ_END_STOPPED:
    case SJ_END_LEASE_EXPIRED:
    case SJ_END_GANG_BROKEN:
    case SJ_END_GANG_TIMEOUT:
      break;
    }
}

/* Declared run time of U's tasks, including the slowdown off its rack.  */
static int64_t
declared_ms (const struct sj_cluster *c, const struct unit *u)
{
  int64_t ms = un_step (u)->estimate_ms;

  return u->off_rack ? ms * c->settings.off_rack_factor : ms;
}

int64_t
he_remaining_ms (int64_t run_ms, const struct member *m)
{
  return run_ms * (100 - m->progress_percent) / 100;
}

int64_t
he_expected_run_ms (const struct sj_cluster *c, const struct member *m)
{
  int64_t ms = declared_ms (c, m->unit);

  if (m->pace_percent > 0)
    return ms * 100 / m->pace_percent;
  if (!sd_may_be_uneven (c))
    return ms;
  ms = sd_run_on_ms (c, m->unit, m->worker);
  return m->unit->off_rack ? ms * c->settings.off_rack_factor : ms;
}

int64_t
he_expected_remaining_ms (const struct sj_cluster *c, const struct member *m)
{
  int64_t run_ms = he_expected_run_ms (c, m);

  if (m->state != MB_RUNNING)
    return run_ms;
  return MAX (he_remaining_ms (run_ms, m) - (c->now - m->last_listed_ms), 0);
}

int
he_is_slow_worker (const struct sj_cluster *c, const struct worker *w)
{
  return w->seen_slow_ms && c->now - w->seen_slow_ms < SLOW_EXPIRY_MS;
}

/* Best pace of U's members on workers other than EXCLUDED; 0: none known.  */
static int
best_pace_except (const struct unit *u, const struct worker *excluded)
{
  int best = 0;

  for (int i = 0; u->members && i < u->count; i++)
    if (u->members[i].worker != excluded && u->members[i].pace_percent > best)
      best = u->members[i].pace_percent;
  return best;
}

/* Best pace of the step's tasks on other workers, which shows by how much the
   declared run time is wrong; 0: none known.  */
static int
reference_pace (const struct member *m)
{
  const struct unit *u = m->unit;
  int best = 0;

  for (guint i = 0; i < u->job->units->len; i++)
    {
      const struct unit *other = g_ptr_array_index (u->job->units, i);
      int pace;

      if (!un_same_step (other, u))
        continue;
      pace = best_pace_except (other, m->worker);
      if (pace > best)
        best = pace;
    }
  return best;
}

/* Whether M's pace is slow against REFERENCE, a reference_pace.  */
static int
is_slow_pace (const struct member *m, int reference)
{
  int percent = m->unit->job->spec->priority ? SLOW_BATCH_PERCENT
                                             : SLOW_URGENT_PERCENT;

  if (!reference)
    return m->pace_percent < SLOW_DECLARED_PERCENT;
  return m->pace_percent * 100 < reference * percent;
}

/* Whether M's pace is below LIMIT even if it has advanced by almost one
   percent more than listed.  Over the whole run, that percent weighs less than
   in one sample.  */
static int
is_pace_below (const struct sj_cluster *c, const struct member *m,
               double limit)
{
  int64_t took = m->last_listed_ms - m->average_base_ms;
  int advanced = m->progress_percent - m->average_base_percent;

  if (m->pace_percent + m->pace_resolution < limit)
    return 1;
  return m->pace_percent < limit && m->average_base_ms && took > 0
         && (double)(advanced + 1) * (double)declared_ms (c, m->unit)
                < limit * (double)took;
}

/* The same with the learned speeds: whether M is slow even for the class of
   its worker.  REFERENCE is the pace of a fast worker, or 0.  A class that is
   slower than any usual worker excuses nothing.  */
static int
is_slow_for_class (const struct sj_cluster *c, const struct member *m,
                   double reference)
{
  double speed = sd_speed (c, m->worker), percent = SLOW_BATCH_PERCENT;
  int is_usual = speed * 100 >= USUAL_SPEED_PERCENT;

  if (!is_usual)
    speed = 1;
  if (reference <= 0)
    return is_pace_below (c, m, SLOW_DECLARED_PERCENT * speed);
  /* An urgent run on a worker whose speed is not certain may be as slow as the
     slowest usual class with noise.  */
  if (!m->unit->job->spec->priority && is_usual
      && sd_class (c, m->worker) != SP_UNKNOWN
      && m->worker->speed.inliers >= CERTAIN_SAMPLES)
    percent = SLOW_URGENT_PERCENT;
  return is_pace_below (c, m, reference * speed * percent / 100);
}

/* Whether a run of another step on M's worker advances as it should, so that
   M's task is slow rather than the worker.  */
static int
has_healthy_neighbour (const struct sj_cluster *c, const struct member *m)
{
  const struct worker *w = m->worker;

  for (guint i = 0; i < w->members->len; i++)
    {
      const struct member *other = g_ptr_array_index (w->members, i);

      if (other->pace_percent > 0 && !un_same_step (other->unit, m->unit)
          && !is_slow_for_class (c, other, sd_fast_pace (other)))
        return 1;
    }
  return 0;
}

/* Whether M's pace shows that its worker is slow now.  */
static int
shows_slow_worker (const struct sj_cluster *c, const struct member *m)
{
  if (!sd_may_be_uneven (c))
    return is_slow_pace (m, reference_pace (m));
  return is_slow_for_class (c, m, sd_fast_pace (m))
         && !has_healthy_neighbour (c, m);
}

/* Updates M's pace and its worker's state once the sample is long enough.  */
static void
sample_pace (const struct sj_cluster *c, struct member *m, int percent,
             int64_t now)
{
  int64_t declared = declared_ms (c, m->unit);
  int64_t took = now - m->pace_base_ms;
  int share
      = sd_may_be_uneven (c) ? SPEED_SAMPLE_PERCENT : PACE_SAMPLE_PERCENT;

  if (took < PACE_SAMPLE_MS || took * 100 < declared * share)
    return;
  if (declared > 0 && percent < NEARLY_DONE_PERCENT)
    {
      m->pace_percent
          = (int)((percent - m->pace_base_percent) * declared / took);
      m->pace_resolution = (int)(declared / took);
      m->worker->seen_slow_ms = shows_slow_worker (c, m) ? now : 0;
    }
  m->pace_base_ms = now;
  m->pace_base_percent = percent;
}

void
he_record_progress (struct sj_cluster *c, struct member *m, int percent,
                    int64_t now)
{
  /* A run loads its checkpoint or waits for its gang before it advances.
     Sampling begins when it advances, or after FIRST_PROGRESS_MS.  */
  int first = !m->last_listed_ms
              || (m->pace_percent < 0 && percent == m->pace_base_percent
                  && now - m->started_ms < FIRST_PROGRESS_MS);

  if (percent >= 0)
    sd_record_progress (c, m, percent, declared_ms (c, m->unit), now);
  m->last_listed_ms = now;
  if (percent < 0)
    return;
  if (first)
    {
      m->pace_base_ms = now;
      m->pace_base_percent = percent;
      m->pace_percent = -1;
    }
  else
    sample_pace (c, m, percent, now);
  if (percent > m->progress_percent || first)
    m->last_progress_ms = now;
  m->progress_percent = percent;
}

static int
patience_doublings (const struct unit *u)
{
  if (u->stalls < PATIENT_STALLS)
    return 0;
  return MIN (u->stalls - PATIENT_STALLS + 1, MAX_PATIENCE_DOUBLINGS);
}

/* Whether the last listing still showed no progress after the limit.  */
static int
is_stalled (const struct sj_cluster *c, const struct member *m)
{
  int64_t limit = declared_ms (c, m->unit) * STALL_PERCENT / 100;

  if (limit < STALL_MS)
    limit = STALL_MS;
  limit <<= patience_doublings (m->unit);
  return m->last_listed_ms > m->last_progress_ms + limit;
}

/* Remaining time of M's run where it is: at PACE percent, and at full speed
   once the worker recovers after SLOW_EXPIRY_MS.  */
static int64_t
remaining_here_ms (int64_t run_ms, const struct member *m, int pace)
{
  int64_t remaining_ms = he_remaining_ms (run_ms, m);
  int64_t progress_until_recovery_ms = SLOW_EXPIRY_MS * pace / 100;

  if (progress_until_recovery_ms > remaining_ms)
    return pace > 0 ? remaining_ms * 100 / pace : SLOW_EXPIRY_MS;
  return SLOW_EXPIRY_MS + remaining_ms - progress_until_recovery_ms;
}

/* Time to move M's run and to finish it on a healthy worker.  */
static int64_t
remaining_elsewhere_ms (int64_t run_ms, const struct member *m)
{
  if (un_step (m->unit)->checkpoints)
    return MOVE_COST_MS + he_remaining_ms (run_ms, m);
  return MOVE_COST_MS + run_ms;
}

/* Whether M runs slowly and would finish much sooner elsewhere: staying takes
   more than one and a half times as long.  */
static int
is_move_worthwhile (const struct sj_cluster *c, const struct member *m)
{
  int64_t run_ms = declared_ms (c, m->unit);
  int reference, pace = m->pace_percent;

  /* A unit that was moved before and is slow again is slow by itself.  */
  if (m->pace_percent < 0 || m->unit->moved)
    return 0;
  reference = reference_pace (m);
  if (!is_slow_pace (m, reference))
    return 0;
  if (reference)
    {
      run_ms = run_ms * 100 / reference;
      pace = pace * 100 / reference;
    }
  return remaining_here_ms (run_ms, m, pace) * 2
         > remaining_elsewhere_ms (run_ms, m) * 3;
}

/* The same with the learned speeds: a run of a slow class stays.  Any other
   moves if it would finish sooner by a clear margin on a worker that has free
   capacity, and if its job then meets its objective, or is served, and would
   not otherwise.  */
static int
is_move_worthwhile_by_speed (const struct sj_cluster *c,
                             const struct member *m)
{
  int64_t here_ms, elsewhere_ms, run_ms = declared_ms (c, m->unit);
  double reference, speed;

  if (m->pace_percent < 0 || m->unit->moved)
    return 0;
  reference = sd_fast_pace (m);
  if (!is_slow_for_class (c, m, reference))
    return 0;
  speed = sd_speed_elsewhere (c, m);
  if (speed <= 0)
    return 0;
  here_ms = he_remaining_ms (run_ms, m) * 100 / MAX (m->pace_percent, 1);
  run_ms = (int64_t)((double)run_ms * 100 / (reference > 0 ? reference : 100)
                     / speed);
  elsewhere_ms = remaining_elsewhere_ms (run_ms, m);
  if (here_ms * 2 <= elsewhere_ms * 3)
    return 0;
  for (int factor = 1; factor <= SERVED_FACTOR; factor += SERVED_FACTOR - 1)
    if (sd_meets (c, m->unit, elsewhere_ms, factor)
        && !sd_meets (c, m->unit, here_ms, factor))
      return 1;
  return 0;
}

static int
should_move (struct sj_cluster *c, struct member *m)
{
  if (!sd_may_be_uneven (c))
    return is_move_worthwhile (c, m);
  if (is_move_worthwhile_by_speed (c, m))
    return 1;
  if (!m->slow_kept && is_move_worthwhile (c, m))
    sd_note_slow_kept (c, m);
  return 0;
}

/* Why M's run should move, or SJ_NO_CAUSE.  */
static enum sj_cause
move_cause (struct sj_cluster *c, struct member *m)
{
  if (m->state != MB_RUNNING || !m->last_listed_ms
      || m->progress_percent >= NEARLY_DONE_PERCENT)
    return SJ_NO_CAUSE;
  if (is_stalled (c, m))
    return SJ_STALLED;
  return should_move (c, m) ? SJ_SLOW : SJ_NO_CAUSE;
}

/* Aborts U's run if any member should move, and avoids those workers.  */
static void
check_unit_health (struct sj_cluster *c, struct unit *u, int64_t now)
{
  enum sj_cause move = SJ_NO_CAUSE;

  if (u->state != UN_ACTIVE || un_step (u)->is_continuous)
    return;
  un_set_subject (u, u->first);
  for (int i = 0; i < u->count; i++)
    {
      struct member *m = &u->members[i];
      enum sj_cause cause = move_cause (c, m);

      if (!cause)
        continue;
      ru_avoid_worker (u, m->worker->id);
      if (!patience_doublings (u)
          && !(sd_may_be_uneven (c) && has_healthy_neighbour (c, m)))
        mark_suspect (c, m->worker, now);
      move = cause;
    }
  if (!move)
    return;
  u->moved = 1;
  u->stalls += move == SJ_STALLED;
  ru_abort (c, u, move, now);
}

void
he_check_runs (struct sj_cluster *c, int64_t now)
{
  sd_update (c, now);
  if (!pt_is_on (c, SJ_PART_MOVES))
    return;
  for (guint i = 0; i < c->job_list->len; i++)
    {
      struct job *j = g_ptr_array_index (c->job_list, i);

      for (guint k = 0; k < j->units->len; k++)
        check_unit_health (c, g_ptr_array_index (j->units, k), now);
    }
}

int
sj_poll_closely (struct sj_cluster *c, const char *worker)
{
  struct worker *w = wo_find (c, worker);

  for (guint i = 0; w && i < w->members->len; i++)
    {
      const struct member *m = g_ptr_array_index (w->members, i);

      if (m->unit->job->spec->priority == 0 || m->pace_percent < 0
          || !m->last_listed_ms)
        return 1;
    }
  return 0;
}
