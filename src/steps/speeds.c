/* Uses the speeds of workers and the run times that runs have shown.  Both are
   learned from the progress that workers list, and kept in memory only: a new
   holder learns them again.  */
#include <math.h>
#include <string.h>

#include "steps/state.h"

enum
{
  UPDATE_MS = 500, /* interval of the estimates */
  /* An average pace covers at least both.  Progress is listed in whole
     percent.  */
  AVERAGE_MS = 350,
  AVERAGE_PERCENT = 8,
  NEARLY_DONE_PERCENT = 98, /* from here, a task may wait for its gang */
  RATED_PERCENT = 50,       /* from here, the pace shows the run time */
  MAX_RATIOS = 1024,        /* pairs of account and queue */
  /* Longest wait of a unit for a fast worker, and the same as a part of the
     time within which a guaranteed unit must start: the rest is for the stop
     of others and the start.  */
  MAX_FAST_WAIT_MS = 900,
  RECLAIM_DIVISOR = 3,
  /* While more of the fast workers' accelerators are free, batch work that may
     miss its objective on slow ones leaves enough to urgent work.  */
  FAST_IDLE_PERCENT = 35,
  START_MS = 150, /* from the decision to the start */
  LAST_FACTOR = 3 /* a job that ends later than so many objectives is not
                     served */
};

void
sd_init (struct sj_cluster *c)
{
  c->run_ratios
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
sd_fini (struct sj_cluster *c)
{
  g_hash_table_destroy (c->run_ratios);
}

int
sd_is_active (const struct sj_cluster *c)
{
  return c->settings.speed_aware && c->fleet.is_uneven;
}

double
sd_speed (const struct sj_cluster *c, const struct worker *w)
{
  return sd_class (c, w) == SP_UNKNOWN ? 1 : w->speed.speed;
}

enum sp_class
sd_class (const struct sj_cluster *c, const struct worker *w)
{
  if (!c->settings.speed_aware || w->speed_incarnation != w->incarnation)
    return SP_UNKNOWN;
  return w->speed.class;
}

int
sd_may_be_uneven (const struct sj_cluster *c)
{
  return c->settings.speed_aware
         && (c->fleet.is_uneven
             || c->fleet.measured * 2 < (int)c->worker_list->len);
}

/* Another incarnation may run on other hardware.  */
static struct sp_worker *
speed_of (struct worker *w)
{
  if (w->speed_incarnation != w->incarnation)
    w->speed = (struct sp_worker){ 0 };
  w->speed_incarnation = w->incarnation;
  return &w->speed;
}

/* Fills OUT with the members of M's step on other workers whose pace is known
   and that are on or off their rack as M is.  Returns their number.  */
static int
list_siblings (const struct member *m, struct sp_sibling *out)
{
  const struct unit *u = m->unit;
  const struct job *j = u->job;
  int n = 0;

  for (guint i = 0; i < j->units->len; i++)
    {
      const struct unit *other = g_ptr_array_index (j->units, i);

      if (!other->members || other->off_rack != u->off_rack
          || !un_same_step (other, u))
        continue;
      for (int k = 0; k < other->count; k++)
        {
          const struct member *o = &other->members[k];

          if (o->worker == m->worker || o->average_pace <= 0)
            continue;
          out[n++] = (struct sp_sibling){ o->average_pace, &o->worker->speed };
          if (n == SP_MAX_SIBLINGS)
            return n;
        }
    }
  return n;
}

double
sd_fast_pace (const struct member *m)
{
  struct sp_sibling sibling[SP_MAX_SIBLINGS];

  return sp_fast_pace (sibling, list_siblings (m, sibling));
}

/* The ratios of J's account and queue, or NULL if there are too many.  */
static struct rt_ratio *
ratio_of (struct job *j)
{
  struct sj_cluster *c = j->cluster;
  const struct sj_job *s = j->spec;
  char *key;

  if (j->run_ratio)
    return j->run_ratio;
  key = g_strconcat (s->account ? s->account : "", "\n",
                     s->queue ? s->queue : "", NULL);
  j->run_ratio = g_hash_table_lookup (c->run_ratios, key);
  if (j->run_ratio || g_hash_table_size (c->run_ratios) >= MAX_RATIOS)
    {
      g_free (key);
      return j->run_ratio;
    }
  j->run_ratio = g_new0 (struct rt_ratio, 1);
  g_hash_table_insert (c->run_ratios, key, j->run_ratio);
  return j->run_ratio;
}

/* Updates M's average pace.  Returns 0 if it is not known.  */
static int
average_pace (struct member *m, int percent, int64_t declared_ms, int64_t now)
{
  int64_t took = now - m->average_base_ms;
  int advanced = percent - m->average_base_percent;

  if (!m->average_base_ms)
    {
      /* A run loads its checkpoint or waits for its gang before it
         advances.  */
      if (m->last_listed_ms && percent > m->progress_percent)
        {
          m->average_base_ms = now;
          m->average_base_percent = percent;
        }
      return 0;
    }
  if (took < AVERAGE_MS || advanced < AVERAGE_PERCENT
      || percent >= NEARLY_DONE_PERCENT || declared_ms <= 0)
    return 0;
  m->average_pace = (double)advanced * (double)declared_ms / (double)took;
  return 1;
}

/* Number of M's step, the same for all its tasks that are on or off their rack
   as M is.  */
static uint32_t
step_number (const struct member *m)
{
  const struct unit *u = m->unit;
  uint32_t n = g_str_hash (u->job->spec->id);

  n = n * 31 + (uint32_t)u->occurrence;
  n = n * 31 + (uint32_t)u->step;
  return n * 2 + (u->off_rack != 0);
}

/* The median pace of the runs of M's step on M's worker.  */
static double
pace_on_worker (const struct member *m)
{
  const struct worker *w = m->worker;
  struct sp_sibling run[SP_MAX_SIBLINGS];
  struct sp_worker any = { .speed = 1 };
  int n = 0;

  for (guint i = 0; i < w->members->len && n < SP_MAX_SIBLINGS; i++)
    {
      const struct member *o = g_ptr_array_index (w->members, i);

      if (o->average_pace > 0 && o->unit->off_rack == m->unit->off_rack
          && un_same_step (o->unit, m->unit))
        run[n++] = (struct sp_sibling){ o->average_pace, &any };
    }
  return sp_fast_pace (run, n);
}

static void
observe (const struct member *m, int64_t now)
{
  struct sp_sibling sibling[SP_MAX_SIBLINGS];

  sp_observe (speed_of (m->worker), step_number (m), pace_on_worker (m),
              sibling, list_siblings (m, sibling), now);
}

void
sd_record_progress (struct sj_cluster *c, struct member *m, int percent,
                    int64_t declared_ms, int64_t now)
{
  struct rt_ratio *ratio;

  if (!c->settings.speed_aware || un_step (m->unit)->is_continuous
      || m->state != MB_RUNNING
      || !average_pace (m, percent, declared_ms, now))
    return;
  /* The holder before placed its runs by speed: siblings that all run on slow
     workers would show these as equal to the others.  */
  if (!m->from_record)
    observe (m, now);
  if (m->rated || percent < RATED_PERCENT)
    return;
  m->rated = 1;
  ratio = ratio_of (m->unit->job);
  if (ratio)
    rt_observe (ratio, 100 / m->average_pace * sd_speed (c, m->worker), now);
}

static void
note_class (const struct sj_cluster *c, const struct worker *w,
            enum sp_class was)
{
  struct sj_note note
      = { .kind = SJ_NOTE_SPEED,
          .worker = w->id,
          .u.speed = { sp_class_name (was), sp_class_name (w->speed.class),
                       (int)(100 * w->speed.speed), w->speed.samples } };

  if (c->on_note)
    c->on_note (c->note_arg, &note);
}

static void
note_fleet (const struct sj_cluster *c)
{
  const struct sp_fleet *f = &c->fleet;
  struct sj_note note
      = { .kind = SJ_NOTE_FLEET,
          .worker = "",
          .u.fleet = { f->is_uneven, f->classes, (int)(100 * f->spread),
                       (int)(100 * f->noise), f->workers[SP_FAST],
                       f->workers[SP_MEDIUM], f->workers[SP_SLOW],
                       f->workers[SP_UNKNOWN] } };

  if (c->on_note)
    c->on_note (c->note_arg, &note);
}

/* Share of the fast workers' accelerators that are free.  */
static int
fast_idle_percent (const struct sj_cluster *c)
{
  int64_t used = 0, all = 0;

  for (guint i = 0; i < c->worker_list->len; i++)
    {
      const struct worker *w = g_ptr_array_index (c->worker_list, i);

      if (sd_class (c, w) != SP_FAST || !wo_usable (c, w))
        continue;
      used += w->used.accelerators;
      all += w->capacity.accelerators;
    }
  return all > used ? (int)((all - used) * 100 / all) : 0;
}

void
sd_update (struct sj_cluster *c, int64_t now)
{
  guint n = c->worker_list->len;
  struct sp_worker **list;
  enum sp_class *was;
  int was_uneven = c->fleet.is_uneven;

  if (!c->settings.speed_aware || now - c->speeds_updated_ms < UPDATE_MS)
    return;
  c->speeds_updated_ms = now;
  list = g_new (struct sp_worker *, n + 1);
  was = g_new (enum sp_class, n + 1);
  for (guint i = 0; i < n; i++)
    {
      list[i] = speed_of (g_ptr_array_index (c->worker_list, i));
      was[i] = list[i]->class;
    }
  sp_update (&c->fleet, list, (int)n, now);
  for (guint i = 0; i < n; i++)
    if (list[i]->class != was[i])
      note_class (c, g_ptr_array_index (c->worker_list, i), was[i]);
  if (c->fleet.is_uneven != was_uneven)
    note_fleet (c);
  c->fast_idle_percent = fast_idle_percent (c);
  g_free (list);
  g_free (was);
}

int64_t
sd_run_ms (const struct sj_cluster *c, const struct unit *u)
{
  int64_t declared_ms = un_step (u)->estimate_ms;
  const struct rt_ratio *ratio = sd_is_active (c) ? ratio_of (u->job) : NULL;

  if (!ratio)
    return declared_ms;
  return (int64_t)((double)declared_ms * rt_median (ratio, c->now));
}

int64_t
sd_tail_ms (const struct sj_cluster *c, const struct unit *u)
{
  int64_t declared_ms = un_step (u)->estimate_ms;
  const struct rt_ratio *ratio = sd_is_active (c) ? ratio_of (u->job) : NULL;

  if (!ratio)
    return declared_ms;
  return (int64_t)((double)declared_ms * rt_tail (ratio, c->now));
}

int64_t
sd_run_on_ms (const struct sj_cluster *c, const struct unit *u,
              const struct worker *w)
{
  return (int64_t)((double)sd_run_ms (c, u) / sd_speed (c, w));
}

/* Time until FACTOR times the objective of U's job.  */
static int64_t
time_left_ms (const struct sj_cluster *c, const struct unit *u, int factor)
{
  const struct job *j = u->job;
  const struct sj_job *s = j->spec;
  /* When an occurrence fell due is not known here; its first units were ready
     then.  */
  int64_t base_ms = s->occurrences ? u->ready_ms : j->accepted_ms;
  int64_t objective_ms
      = (int64_t)(s->stretch * (double)j->critical_path_ms) + s->target_ms;

  return base_ms + factor * objective_ms - c->now;
}

int
sd_meets (const struct sj_cluster *c, const struct unit *u, int64_t run_ms,
          int factor)
{
  return run_ms <= time_left_ms (c, u, factor);
}

/* Speed of the slowest class that has workers.  */
static double
slowest_speed (const struct sp_fleet *f)
{
  enum sp_class k = f->workers[SP_SLOW] ? SP_SLOW : SP_MEDIUM;

  return f->workers[k] ? exp (f->level[k] - f->level[SP_FAST]) : 1;
}

int
sd_wants_fast (const struct sj_cluster *c, const struct unit *u)
{
  int64_t run_ms = sd_run_ms (c, u), slow_ms;

  /* A unit that was moved is behind its siblings.  */
  if (u->job->rank < RANK_BATCH || u->moved)
    return 1;
  slow_ms
      = c->fast_idle_percent >= FAST_IDLE_PERCENT ? sd_tail_ms (c, u) : run_ms;
  slow_ms = (int64_t)((double)slow_ms / slowest_speed (&c->fleet));
  return sd_meets (c, u, START_MS + run_ms, 1)
         && !sd_meets (c, u, START_MS + slow_ms, 1);
}

/* Best speed of the workers other than M's that could start M's task now;
   0: none can.  */
static double
best_free_speed (const struct sj_cluster *c, const struct member *m)
{
  struct sj_resources need = nd_for_step (un_step (m->unit));
  double best = 0;

  for (guint i = 0; i < c->worker_list->len; i++)
    {
      const struct worker *w = g_ptr_array_index (c->worker_list, i);
      struct sj_resources available = w->capacity;

      nd_sub (&available, &w->used);
      if (w == m->worker || sd_speed (c, w) <= best
          || !nd_fits (&need, &available) || !pl_is_eligible (c, m->unit, w))
        continue;
      best = sd_speed (c, w);
    }
  return best;
}

double
sd_speed_elsewhere (const struct sj_cluster *c, const struct member *m)
{
  const struct unit *u = m->unit;
  double speed = best_free_speed (c, m);

  for (int i = 0; i < u->count; i++)
    if (u->members[i].worker != m->worker)
      speed = MIN (speed, sd_speed (c, u->members[i].worker));
  return speed;
}

void
sd_note_slow_kept (struct sj_cluster *c, struct member *m)
{
  double pace = sd_fast_pace (m);
  struct sj_note note
      = { .kind = SJ_NOTE_SLOW_KEPT,
          .worker = m->worker->id,
          .u.slow_kept
          = { .pace_percent = pace > 0 ? (int)(100 * m->pace_percent / pace)
                                       : m->pace_percent,
              .worker_percent = (int)(100 * sd_speed (c, m->worker)) } };

  if (m->slow_kept)
    return;
  m->slow_kept = 1;
  c->slow_kept++;
  ru_fill (&note.u.slow_kept.run, m);
  if (c->on_note)
    c->on_note (c->note_arg, &note);
}

/* Capacity of W that is free within MS milliseconds as far as expected.  */
static struct sj_resources
free_within (const struct sj_cluster *c, const struct worker *w, int64_t ms)
{
  struct sj_resources available = w->capacity;

  nd_sub (&available, &w->used);
  for (guint i = 0; i < w->members->len; i++)
    {
      const struct member *m = g_ptr_array_index (w->members, i);
      struct sj_resources need = nd_for_step (un_step (m->unit));

      if (!un_step (m->unit)->is_continuous
          && (m->state == MB_STOPPING
              || he_expected_remaining_ms (c, m) <= ms))
        nd_add (&available, &need);
    }
  return available;
}

/* Whether U is expected to fit on fast workers within MS milliseconds.  */
static int
fits_fast_within (const struct sj_cluster *c, const struct unit *u, int64_t ms)
{
  struct sj_resources need = nd_for_step (un_step (u));
  int tasks = 0;

  for (guint i = 0; i < c->worker_list->len && tasks < u->count; i++)
    {
      const struct worker *w = g_ptr_array_index (c->worker_list, i);
      struct sj_resources available;

      if (sd_class (c, w) != SP_FAST || !pl_is_eligible (c, u, w))
        continue;
      available = free_within (c, w, ms);
      tasks += nd_count_fitting (&need, &available, pl_max_per_worker (u));
    }
  return tasks >= u->count;
}

static void
note_fast_wait (struct sj_cluster *c, struct unit *u, int64_t expected_ms)
{
  struct sj_note note = { .kind = SJ_NOTE_FAST_WAIT,
                          .worker = "",
                          .u.fast_wait = { .expected_ms = expected_ms } };
  struct sj_run *run = &note.u.fast_wait.run;

  if (u->fast_waiting)
    return;
  u->fast_waiting = 1;
  c->fast_waits++;
  *run = (struct sj_run){ .occurrence = u->occurrence,
                          .step = u->step,
                          .index = u->first,
                          .number = u->run_number };
  memcpy (run->job, u->job->spec->id, sizeof run->job);
  if (c->on_note)
    c->on_note (c->note_arg, &note);
}

static int64_t
longest_fast_wait_ms (const struct sj_cluster *c)
{
  int64_t reclaim_ms = c->settings.reclaim_ms;

  if (!reclaim_ms)
    return MAX_FAST_WAIT_MS;
  return MIN (MAX_FAST_WAIT_MS, reclaim_ms / RECLAIM_DIVISOR);
}

int
sd_should_wait (struct sj_cluster *c, struct unit *u,
                struct worker *const *placement)
{
  int64_t run_ms = sd_run_ms (c, u) + START_MS;
  int64_t wait_ms = longest_fast_wait_ms (c) - (c->now - u->ready_ms);
  double speed = 1;

  if (!sd_is_active (c) || u->job->rank >= RANK_BATCH || pl_is_rack_bound (u))
    return 0;
  for (int i = 0; i < u->count; i++)
    speed = MIN (speed, sd_speed (c, placement[i]));
  wait_ms = MIN (wait_ms, time_left_ms (c, u, 1) - run_ms);
  if (speed >= 1 || wait_ms <= 0
      || sd_meets (c, u, (int64_t)((double)run_ms / speed), 1)
      || !fits_fast_within (c, u, wait_ms))
    return 0;
  note_fast_wait (c, u, wait_ms);
  return 1;
}

void
sd_count (const struct sj_cluster *c, struct sj_counts *out)
{
  if (!c->settings.speed_aware)
    return;
  out->fast_workers = c->fleet.workers[SP_FAST];
  out->medium_workers = c->fleet.workers[SP_MEDIUM];
  out->slow_workers = c->fleet.workers[SP_SLOW];
  out->unknown_workers = c->fleet.workers[SP_UNKNOWN];
  out->speeds_uneven = c->fleet.is_uneven;
  out->slow_kept = c->slow_kept;
  out->fast_waits = c->fast_waits;
}
