/* Estimates about runs that may be stopped for other work: the time until they
   end by themselves, and what a stop costs.  */
#include "steps/state.h"

enum
{
  RESTART_MS = 400, /* time that any stop loses, for stopping and resuming */
  DEFAULT_STOP_MS = 300, /* duration of a stop if it is not known */
  /* A run that occupies its worker longer after the stop than a stop takes is
     not counted on.  Covers the listing that shows the end.  */
  OVERDUE_MS = 300,
  /* A listed progress that has not risen for this time says nothing about when
     the run ends.  Longer than a run at a tenth of its pace takes for one
     percent of 8 s.  */
  NO_PROGRESS_MS = 1200,
  GANG_WAIT_PERCENT = 98, /* from here a task may wait for its gang */
  NEARLY_DONE_FACTOR = 4, /* on the cost of stopping what ends anyway */
  /* Cost of the orders, the record and the new start of each run.  Without it
     many small runs are stopped where one large one would do.  */
  RUN_CORE_MS = 5000
};

int
vi_avoids_stops (const struct sj_cluster *c)
{
  return c->settings.reclaim_ms > 0;
}

int64_t
vi_stop_ms (const struct sj_cluster *c)
{
  return c->settings.stop_ms > 0 ? c->settings.stop_ms : DEFAULT_STOP_MS;
}

int
vi_is_overdue (const struct sj_cluster *c, const struct member *m)
{
  return vi_avoids_stops (c) && m->state == MB_STOPPING
         && c->now - m->stop_first_ms > vi_stop_ms (c) + OVERDUE_MS;
}

/* Expected time until M ends.  */
static int64_t
member_remaining_ms (const struct sj_cluster *c, const struct member *m,
                     int64_t now)
{
  int64_t run_ms, remaining_ms;

  if (m->state == MB_ENDED)
    return 0;
  if (m->state == MB_STOPPING)
    return vi_is_overdue (c, m) ? INT64_MAX : vi_stop_ms (c);
  run_ms = he_expected_run_ms (c, m);
  if (m->state != MB_RUNNING || !m->last_listed_ms)
    return MAX (run_ms - (now - m->started_ms), run_ms / 10);
  if (m->progress_percent < GANG_WAIT_PERCENT
      && now - m->last_progress_ms > NO_PROGRESS_MS)
    return INT64_MAX;
  remaining_ms = he_remaining_ms (run_ms, m);
  return MAX (remaining_ms - (now - m->last_listed_ms), remaining_ms / 2);
}

/* Work since the last checkpoint, in milliseconds of a task.  Progress tells
   more than the start for a run that was taken over.  The tasks of a gang
   advance together, so that any one at work tells it.  */
static int64_t
lost_ms (const struct sj_cluster *c, const struct unit *u, int64_t now)
{
  const struct member *m = un_first_member (u);
  int64_t interval_ms = c->settings.checkpoint_interval_ms, done_ms;

  if (!m)
    return 0;
  done_ms = now - m->started_ms;
  if (vi_avoids_stops (c))
    done_ms
        = MAX (done_ms, he_expected_run_ms (c, m) * m->progress_percent / 100);
  if (!un_step (u)->checkpoints)
    return done_ms;
  return interval_ms > 0 ? done_ms % interval_ms : 0;
}

static int64_t
core_ms (const struct unit *u, int64_t task_ms)
{
  return task_ms * u->count * (nd_weight (&un_step (u)->need) + 1) / 1000;
}

int64_t
vi_lost_core_ms (const struct sj_cluster *c, const struct unit *u, int64_t now)
{
  return core_ms (u, lost_ms (c, u, now));
}

/* The tasks of a gang end together, with the last one.  */
static int64_t
estimate_remaining_ms (const struct sj_cluster *c, const struct unit *u,
                       int64_t now)
{
  int64_t longest = 0;

  if (un_step (u)->is_continuous)
    return INT64_MAX;
  for (int i = 0; u->members && i < u->count; i++)
    longest = MAX (longest, member_remaining_ms (c, &u->members[i], now));
  return longest;
}

/* Each earlier run of U raises the cost, so that no unit is stopped again and
   again.  */
static int64_t
estimate_cost (const struct sj_cluster *c, const struct unit *u, int64_t now)
{
  int64_t cost = core_ms (u, RESTART_MS + lost_ms (c, u, now));

  if (!vi_avoids_stops (c))
    return cost;
  if (u->remaining_ms <= vi_stop_ms (c) + RESTART_MS)
    cost *= NEARLY_DONE_FACTOR;
  cost += RUN_CORE_MS * (int64_t)u->count;
  return cost * MAX (u->run_number, 1);
}

/* Estimates are computed once in a round, since a plan compares the same runs
   many times.  */
static void
estimate (const struct sj_cluster *c, struct unit *u, int64_t now)
{
  if (u->estimated_round == c->rounds)
    return;
  u->estimated_round = c->rounds;
  u->remaining_ms = estimate_remaining_ms (c, u, now);
  u->stop_cost = estimate_cost (c, u, now);
}

int64_t
vi_remaining_ms (const struct sj_cluster *c, struct unit *u, int64_t now)
{
  estimate (c, u, now);
  return u->remaining_ms;
}

int64_t
vi_stop_cost (const struct sj_cluster *c, struct unit *u, int64_t now)
{
  estimate (c, u, now);
  return u->stop_cost;
}

int
vi_is_nearly_done (const struct sj_cluster *c, struct unit *u, int64_t now)
{
  return vi_remaining_ms (c, u, now) <= vi_stop_ms (c) + RESTART_MS;
}

void
vi_note_stop (struct sj_cluster *c, const struct unit *u, int64_t now)
{
  struct sj_note note
      = { .kind = SJ_NOTE_STOPPED, .u.stopped = { .cause = u->stop_cause } };

  for (int i = 0; i < u->count; i++)
    note.u.stopped.runs += u->members[i].state == MB_STARTING
                           || u->members[i].state == MB_RUNNING;
  if (!note.u.stopped.runs)
    return;
  note.u.stopped.lost_core_ms = vi_lost_core_ms (c, u, now);
  c->stopped_runs += note.u.stopped.runs;
  c->lost_core_ms += note.u.stopped.lost_core_ms;
  if (c->on_note)
    c->on_note (c->note_arg, &note);
}

void
vi_note_overdue (const struct sj_cluster *c, struct unit *u)
{
  for (int i = 0; u->members && i < u->count; i++)
    {
      struct member *m = &u->members[i];
      struct sj_note note = { .kind = SJ_NOTE_STOP_OVERDUE };

      if (m->is_overdue_noted || !vi_is_overdue (c, m))
        continue;
      m->is_overdue_noted = 1;
      note.worker = m->worker->id;
      ru_fill (&note.u.overdue.run, m);
      note.u.overdue.since_ms = c->now - m->stop_first_ms;
      if (c->on_note)
        c->on_note (c->note_arg, &note);
    }
}
