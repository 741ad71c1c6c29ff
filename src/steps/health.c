/* Workers that fail all they start, stand still or are slow.

   Each task of a gang advances at its own worker's pace and waits at the end
   for the others, so that a slow worker can be told from its gang.  */
#include <string.h>

#include "steps/steps.h"

enum
{
  FAILURES_IN_A_ROW = 2, /* of different jobs, before a worker is suspected */
  SUSPECT_MS = 3000,     /* without new starts, then one more try */
  STILL_MS = 700,        /* without progress, at least, a run is stuck; */
  STILL_PERCENT = 20,    /* and so much of the declared run time: a run that
                            is six times slow takes a third of it for one
                            percent */
  BEGIN_MS = 1200,       /* longest time until a sound run advances */
  MARK_MS = 500,         /* shortest time over which a pace is taken; */
  MARK_PERCENT = 10,     /* and so much of the declared run time */
  NEARLY_PERCENT = 98,   /* beyond it a task may wait for its gang */
  SLOW_PERCENT = 22,     /* of the pace of the step's other tasks, whose run
                            times may differ by a factor of four, */
  SLOW_URGENT_PERCENT = 40, /* the same for short urgent runs, whose tasks
                               differ less, */
  SLOW_ALONE_PERCENT = 20,  /* or of the declared one, which may be off by a
                               factor of three */
  SLOW_LASTS_MS = 6000,     /* a worker is not expected to stay slow longer */
  MOVE_MS = 600             /* what a move costs: stop, store, start */
};

static void
suspect (struct sj_cluster *c, struct worker *w, int64_t now)
{
  w->suspect_until_ms = now + SUSPECT_MS;
  c->changed = 1;
}

void
he_ended (struct sj_cluster *c, struct worker *w, struct unit *u,
          enum sj_end end, int64_t now)
{
  switch (end)
    {
    case SJ_END_DONE:
      w->failures = 0;
      break;
    case SJ_END_FAILED:
      if (!w->failures || strcmp (w->last_failed, u->job->spec->id) != 0)
        w->failures++;
      g_strlcpy (w->last_failed, u->job->spec->id, sizeof w->last_failed);
      if (w->failures >= FAILURES_IN_A_ROW)
        suspect (c, w, now);
      break;
    case SJ_END_STOPPED:
    case SJ_END_LAPSED:
    case SJ_END_BROKEN:
    case SJ_END_ALONE:
      break;
    }
}

/* The declared run time where the unit runs.  */
static int64_t
declared_ms (const struct sj_cluster *c, const struct unit *u)
{
  int64_t ms = un_step (u)->estimate_ms;

  return u->far ? ms * c->set.far_factor : ms;
}

int64_t
he_left_ms (int64_t run_ms, const struct member *m)
{
  return run_ms * (100 - m->percent) / 100;
}

int64_t
he_run_ms (const struct sj_cluster *c, const struct member *m)
{
  int64_t ms = declared_ms (c, m->unit);

  return m->pace > 0 ? ms * 100 / m->pace : ms;
}

int
he_is_slow (const struct sj_cluster *c, const struct worker *w)
{
  return w->slow_ms && c->now - w->slow_ms < SLOW_LASTS_MS;
}

static int
best_pace_of (const struct unit *u, const struct worker *but)
{
  int best = 0;

  for (int i = 0; u->member && i < u->count; i++)
    if (u->member[i].worker != but && u->member[i].pace > best)
      best = u->member[i].pace;
  return best;
}

/* The best pace of the step's tasks on other workers, which tells how far its
   declared run time is off; 0 without any.  */
static int
reference_pace (const struct member *m)
{
  const struct unit *u = m->unit;
  int best = 0;

  for (guint i = 0; i < u->job->unit->len; i++)
    {
      const struct unit *other = g_ptr_array_index (u->job->unit, i);
      int pace;

      if (!un_same_step (other, u))
        continue;
      pace = best_pace_of (other, m->worker);
      if (pace > best)
        best = pace;
    }
  return best;
}

static int
is_slow_pace (const struct member *m, int reference)
{
  int percent
      = m->unit->job->spec->priority ? SLOW_PERCENT : SLOW_URGENT_PERCENT;

  if (!reference)
    return m->pace < SLOW_ALONE_PERCENT;
  return m->pace * 100 < reference * percent;
}

static void
take_pace (const struct sj_cluster *c, struct member *m, int percent,
           int64_t now)
{
  int64_t declared = declared_ms (c, m->unit);
  int64_t took = now - m->mark_ms;

  if (took < MARK_MS || took * 100 < declared * MARK_PERCENT)
    return;
  if (declared > 0 && percent < NEARLY_PERCENT)
    {
      m->pace = (int)((percent - m->mark_percent) * declared / took);
      m->worker->slow_ms = is_slow_pace (m, reference_pace (m)) ? now : 0;
    }
  m->mark_ms = now;
  m->mark_percent = percent;
}

void
he_progress (const struct sj_cluster *c, struct member *m, int percent,
             int64_t now)
{
  /* A run resumes its checkpoint, or waits for its gang, before it
     advances.  */
  int first = !m->last_listed_ms
              || (m->pace < 0 && percent == m->mark_percent
                  && now - m->started_ms < BEGIN_MS);

  m->last_listed_ms = now;
  if (percent < 0)
    return;
  if (first)
    {
      m->mark_ms = now;
      m->mark_percent = percent;
      m->pace = -1;
    }
  else
    take_pace (c, m, percent, now);
  if (percent > m->percent || first)
    m->progress_ms = now;
  m->percent = percent;
}

static int
is_still (const struct sj_cluster *c, const struct member *m)
{
  int64_t limit = declared_ms (c, m->unit) * STILL_PERCENT / 100;

  if (limit < STILL_MS)
    limit = STILL_MS;
  return m->last_listed_ms > m->progress_ms + limit;
}

/* What is left at the pace seen, if the worker recovers in time.  */
static int64_t
left_here (int64_t run_ms, const struct member *m, int pace)
{
  int64_t left = he_left_ms (run_ms, m);
  int64_t slow_part = SLOW_LASTS_MS * pace / 100;

  if (slow_part > left)
    return pace > 0 ? left * 100 / pace : SLOW_LASTS_MS;
  return SLOW_LASTS_MS + left - slow_part;
}

static int64_t
left_elsewhere (int64_t run_ms, const struct member *m)
{
  if (un_step (m->unit)->saves)
    return MOVE_MS + he_left_ms (run_ms, m);
  return MOVE_MS + run_ms;
}

/* Moving helps only where the unit runs too slowly, and by much.  */
static int
is_better_moved (const struct sj_cluster *c, const struct member *m)
{
  int64_t run_ms = declared_ms (c, m->unit);
  int reference, pace = m->pace;

  /* What is slow in two places is slow by itself.  */
  if (m->pace < 0 || m->unit->moved)
    return 0;
  reference = reference_pace (m);
  if (!is_slow_pace (m, reference))
    return 0;
  if (reference)
    {
      run_ms = run_ms * 100 / reference;
      pace = pace * 100 / reference;
    }
  return left_here (run_ms, m, pace) * 2 > left_elsewhere (run_ms, m) * 3;
}

static enum sj_cause
why_move (const struct sj_cluster *c, const struct member *m)
{
  if (m->state != MB_RUNNING || !m->last_listed_ms
      || m->percent >= NEARLY_PERCENT)
    return SJ_NO_CAUSE;
  if (is_still (c, m))
    return SJ_STILL;
  return is_better_moved (c, m) ? SJ_SLOW : SJ_NO_CAUSE;
}

static void
watch_unit (struct sj_cluster *c, struct unit *u, int64_t now)
{
  enum sj_cause move = SJ_NO_CAUSE;

  if (u->state != UN_ACTIVE || un_step (u)->lasts)
    return;
  for (int i = 0; i < u->count; i++)
    {
      struct member *m = &u->member[i];
      enum sj_cause cause = why_move (c, m);

      if (!cause)
        continue;
      ru_avoid (u, m->worker->id);
      suspect (c, m->worker, now);
      move = cause;
    }
  if (!move)
    return;
  u->moved = 1;
  ru_abort (c, u, move, now);
}

void
he_watch (struct sj_cluster *c, int64_t now)
{
  for (guint i = 0; i < c->job_list->len; i++)
    {
      struct job *j = g_ptr_array_index (c->job_list, i);

      for (guint k = 0; k < j->unit->len; k++)
        watch_unit (c, g_ptr_array_index (j->unit, k), now);
    }
}

int
sj_watch_closely (struct sj_cluster *c, const char *worker)
{
  struct worker *w = wo_find (c, worker);

  for (guint i = 0; w && i < w->member->len; i++)
    {
      const struct member *m = g_ptr_array_index (w->member, i);

      if (m->unit->job->spec->priority == 0 || m->pace < 0
          || !m->last_listed_ms)
        return 1;
    }
  return 0;
}
