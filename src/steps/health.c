/* Workers that fail all they start, stand still or are slow.  */
#include <string.h>

#include "steps/steps.h"

enum
{
  FAILURES_IN_A_ROW = 2, /* of different jobs, before a worker is suspected */
  SUSPECT_MS = 3000,     /* without new starts, then one more try */
  STILL_MS = 4000,       /* a run without any progress for so long is stuck;
                            one percent of the longest known run at a sixth
                            of the speed, far from its data, takes half */
  LEARN_DIVISOR = 4      /* weight of a new observation */
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
      if (!w->failures || strcmp (w->last_failed, u->job->spec->id))
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

static void
learn_speed (struct member *m, int percent, int64_t now)
{
  const struct unit *u = m->unit;
  int64_t estimate = un_step (u)->estimate_ms, took;
  double seen;

  if (estimate <= 0 || u->far || percent <= m->start_percent)
    return;
  took = (now - m->started_ms) * 100 / (percent - m->start_percent);
  seen = (double)took / (double)estimate;
  m->worker->slowness += (seen - m->worker->slowness) / LEARN_DIVISOR;
}

void
he_progress (struct member *m, int percent, int64_t now)
{
  m->last_listed_ms = now;
  if (percent < 0)
    return;
  if (m->adopted && !m->start_percent)
    m->start_percent = percent;
  if (percent > m->percent)
    {
      m->progress_ms = now;
      if (!m->adopted)
        learn_speed (m, percent, now);
    }
  m->percent = percent;
}

static int
is_still (const struct unit *u, int64_t now)
{
  if (u->state != UN_ACTIVE || un_step (u)->lasts)
    return 0;
  for (int i = 0; i < u->count; i++)
    {
      const struct member *m = &u->member[i];

      if (m->state == MB_RUNNING && m->worker->reachable
          && now - m->progress_ms > STILL_MS
          && m->last_listed_ms > m->progress_ms + STILL_MS)
        return 1;
    }
  return 0;
}

/* Which worker of a gang stands still can't be told: all are avoided.  */
static void
stop_still (struct sj_cluster *c, struct unit *u, int64_t now)
{
  for (int i = 0; i < u->count; i++)
    {
      ru_avoid (u, u->member[i].worker->id);
      if (u->count == 1)
        suspect (c, u->member[i].worker, now);
    }
  ru_abort (c, u, now);
}

void
he_watch (struct sj_cluster *c, int64_t now)
{
  for (guint i = 0; i < c->job_list->len; i++)
    {
      struct job *j = g_ptr_array_index (c->job_list, i);

      for (guint k = 0; k < j->unit->len; k++)
        {
          struct unit *u = g_ptr_array_index (j->unit, k);

          if (is_still (u, now))
            stop_still (c, u, now);
        }
    }
}
