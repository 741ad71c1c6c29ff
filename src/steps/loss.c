/* Runs that end without an end being listed, because their worker is lost.

   A task that crashes the workers that start it must not be started for ever,
   and a task that only runs beside it must not fail.  So the crashes are
   counted by task; a lost run counts once it is known that the worker has
   crashed and was not only cut off.  Once a task is given up, the crashes
   under it no longer count against what ran beside it.  */
#include <string.h>

#include "steps/state.h"

enum
{
  /* Unexplained crashes under a task before it is given up, and how many of
     them must be certain.  */
  MAX_CRASHES = 3,
  MIN_CERTAIN_CRASHES = 2,
  /* Runs that workers may have executed after so many crashes of any kind,
     before it is given up all the same.  */
  MAX_RUNS_AFTER_CRASHES = 2,
  /* A crash after a run of this length of a task that runs until its job is
     cancelled has nothing to do with earlier ones.  */
  STABLE_RUN_MS = 300000,
  /* After this time a worker that is not listed any more has crashed, or is
     lost for good; one that is still listed was only cut off.  */
  RESOLVE_WAIT_MS = 10000
};

const char *
sj_loss_name (enum sj_loss loss)
{
  switch (loss)
    {
    case SJ_LOSS_CRASH:
      return "crash";
    case SJ_LOSS_EXPIRED:
      return "expired";
    case SJ_LOSS_LEFT:
      return "left";
    }
  return "";
}

static struct crash *
crash_at (const struct unit *u, guint i)
{
  return &g_array_index (u->crashes, struct crash, i);
}

static struct unresolved_loss *
loss_at (const struct unit *u, guint i)
{
  return &g_array_index (u->unresolved, struct unresolved_loss, i);
}

static guint
crash_count (const struct unit *u)
{
  return u->crashes ? u->crashes->len : 0;
}

static guint
loss_count (const struct unit *u)
{
  return u->unresolved ? u->unresolved->len : 0;
}

static int
crashes_of_task (const struct unit *u, int index)
{
  int n = 0;

  for (guint i = 0; i < crash_count (u); i++)
    n += crash_at (u, i)->index == index;
  return n;
}

static int
unexplained_crashes_of_task (const struct unit *u, int index, int only_certain)
{
  int n = 0;

  for (guint i = 0; i < crash_count (u); i++)
    n += crash_at (u, i)->index == index && !crash_at (u, i)->is_explained
         && (crash_at (u, i)->is_certain || !only_certain);
  return n;
}

static int
losses_of_task (const struct unit *u, int index)
{
  int n = 0;

  for (guint i = 0; i < loss_count (u); i++)
    n += loss_at (u, i)->index == index;
  return n;
}

int
lo_crashes (const struct unit *u)
{
  int most = 0;

  for (guint i = 0; i < crash_count (u); i++)
    most = MAX (most,
                unexplained_crashes_of_task (u, crash_at (u, i)->index, 0));
  return most;
}

static int
possible_crashes_of_task (const struct unit *u, int index)
{
  return crashes_of_task (u, index) + losses_of_task (u, index);
}

int
lo_possible_crashes (const struct unit *u)
{
  int most = 0;

  for (guint i = 0; i < crash_count (u); i++)
    most = MAX (most, possible_crashes_of_task (u, crash_at (u, i)->index));
  for (guint i = 0; i < loss_count (u); i++)
    most = MAX (most, possible_crashes_of_task (u, loss_at (u, i)->index));
  return most;
}

void
lo_add_crash (struct unit *u, const struct crash *crash)
{
  if (!u->crashes)
    u->crashes = g_array_new (FALSE, FALSE, sizeof *crash);
  g_array_append_val (u->crashes, *crash);
}

void
lo_add_loss (struct sj_cluster *c, struct unit *u,
             const struct unresolved_loss *loss)
{
  struct unresolved_loss copy = *loss;

  copy.worker = g_strdup (loss->worker);
  if (!u->unresolved)
    u->unresolved = g_array_new (FALSE, FALSE, sizeof copy);
  g_array_append_val (u->unresolved, copy);
  g_hash_table_add (c->unresolved_workers, g_strdup (loss->worker));
}

static void
remove_loss (struct unit *u, guint i)
{
  g_free (loss_at (u, i)->worker);
  g_array_remove_index_fast (u->unresolved, i);
}

void
lo_free (struct unit *u)
{
  while (loss_count (u))
    remove_loss (u, 0);
  if (u->crashes)
    g_array_free (u->crashes, TRUE);
  if (u->unresolved)
    g_array_free (u->unresolved, TRUE);
}

static void
forget_task (struct unit *u, int index)
{
  for (guint i = crash_count (u); i-- > 0;)
    if (crash_at (u, i)->index == index)
      g_array_remove_index_fast (u->crashes, i);
  for (guint i = loss_count (u); i-- > 0;)
    if (loss_at (u, i)->index == index)
      remove_loss (u, i);
  u->last_run = 0;
}

/* Adds CRASH to U and gives its task up after too many.  */
static void
count_crash (struct sj_cluster *c, struct unit *u, const struct crash *crash)
{
  lo_add_crash (u, crash);
  pc_mark_unit (u);
  if (!u->last_run && crashes_of_task (u, crash->index) >= MAX_CRASHES)
    u->last_run = u->run_number + MAX_RUNS_AFTER_CRASHES;
  if (unexplained_crashes_of_task (u, crash->index, 0) >= MAX_CRASHES
      && unexplained_crashes_of_task (u, crash->index, 1)
             >= MIN_CERTAIN_CRASHES)
    g_ptr_array_add (c->given_up, u);
}

/* Whether M's run may have been executed.  */
static int
may_have_run (const struct member *m)
{
  return m->state != MB_PLANNED && !m->start_refused
         && (m->start_sent || m->from_record);
}

/* Whether M's run may have ended, its end not listed yet, before its worker
   did, of which no more is known than that it has by now.  */
static int
may_be_over (const struct sj_cluster *c, const struct member *m, int64_t now)
{
  int64_t run_ms = he_expected_run_ms (c, m), since_ms = m->started_ms;

  if (m->last_listed_ms)
    {
      run_ms = he_remaining_ms (run_ms, m);
      since_ms = m->last_listed_ms;
    }
  return !un_step (m->unit)->is_continuous && now - since_ms >= run_ms;
}

/* Whether M's run is known to have been executed until its worker crashed.
   One that was to be stopped may have ended before.  */
static int
has_run (const struct sj_cluster *c, const struct member *m, int64_t now)
{
  return m->state != MB_STOPPING
         && (m->start_resolved || m->last_listed_ms || m->state == MB_RUNNING)
         && !may_be_over (c, m, now);
}

static void
note_lost_run (struct sj_cluster *c, const struct member *m, enum sj_loss loss,
               int neighbours)
{
  struct sj_note note = { .kind = SJ_NOTE_RUN_LOST, .worker = m->worker->id };

  if (!c->on_note)
    return;
  ru_fill (&note.u.lost.run, m);
  note.u.lost.loss = loss;
  note.u.lost.neighbours = neighbours;
  note.u.lost.crashes = crashes_of_task (m->unit, m->index);
  note.u.lost.unresolved = losses_of_task (m->unit, m->index);
  c->on_note (c->note_arg, &note);
}

/* Accounts for the lost run of M, beside which NEIGHBOURS runs of other units
   were lost.  */
static void
account_for (struct sj_cluster *c, struct member *m, enum sj_loss loss,
             int neighbours, int64_t event, int64_t now)
{
  struct unit *u = m->unit;

  if (un_step (u)->is_continuous && now - m->started_ms >= STABLE_RUN_MS)
    forget_task (u, m->index);
  switch (loss)
    {
    case SJ_LOSS_CRASH:
      count_crash (c, u,
                   &(struct crash){ .index = m->index,
                                    .is_certain = has_run (c, m, now),
                                    .event = event });
      break;
    case SJ_LOSS_EXPIRED:
      lo_add_loss (
          c, u,
          &(struct unresolved_loss){ .index = m->index,
                                     .is_certain = has_run (c, m, now),
                                     .worker = m->worker->id,
                                     .life_tag = m->life_tag,
                                     .lost_ms = now });
      pc_mark_unit (u);
      break;
    case SJ_LOSS_LEFT:
      break;
    }
  note_lost_run (c, m, loss, neighbours);
}

/* Runs in MEMBERS that may have been executed, without those of U.  */
static int
count_others (const GPtrArray *members, const struct unit *u)
{
  int n = 0;

  for (guint i = 0; i < members->len; i++)
    {
      const struct member *m = g_ptr_array_index (members, i);

      n += m->unit != u && may_have_run (m);
    }
  return n;
}

/* Whether one of the crashes under U was EVENT.  */
static int
has_crash (const struct unit *u, int64_t event)
{
  for (guint i = 0; event && i < crash_count (u); i++)
    if (crash_at (u, i)->event == event)
      return 1;
  return 0;
}

/* The crashes under U explain those of its neighbours at the time.  */
static void
clear_neighbours (struct sj_cluster *c, const struct unit *u)
{
  for (guint i = 0; i < c->job_list->len; i++)
    {
      const struct job *j = g_ptr_array_index (c->job_list, i);

      for (guint k = 0; k < j->units->len; k++)
        {
          struct unit *other = g_ptr_array_index (j->units, k);

          for (guint n = 0; other != u && n < crash_count (other); n++)
            if (has_crash (u, crash_at (other, n)->event))
              crash_at (other, n)->is_explained = 1;
        }
    }
}

/* Fails the jobs of the tasks that were given up.  */
static void
fail_given_up (struct sj_cluster *c, int64_t now)
{
  for (guint i = 0; i < c->given_up->len; i++)
    {
      struct unit *u = g_ptr_array_index (c->given_up, i);
      struct sj_note note = { .kind = SJ_NOTE_TASK_GIVEN_UP, .worker = "" };

      if (u->state == UN_DONE || jb_ended (u->job))
        continue;
      note.u.given_up.run = (struct sj_run){ .occurrence = u->occurrence,
                                             .step = u->step,
                                             .index = u->first,
                                             .number = u->run_number };
      memcpy (note.u.given_up.run.job, u->job->spec->id, SJ_ID_SIZE);
      note.u.given_up.crashes = lo_crashes (u);
      if (c->on_note)
        c->on_note (c->note_arg, &note);
      clear_neighbours (c, u);
      jb_finish (c, u->job, SJ_FAILED, now);
    }
  g_ptr_array_set_size (c->given_up, 0);
}

void
lo_note_run_over (struct unit *u)
{
  if (!u->last_run || u->last_run - u->run_number >= MAX_RUNS_AFTER_CRASHES)
    return;
  for (int i = 0; i < u->count; i++)
    if (may_have_run (&u->members[i]))
      return;
  u->last_run++;
}

int
lo_give_up_if_spent (struct sj_cluster *c, struct unit *u, int64_t now)
{
  if (!u->last_run || u->run_number < u->last_run)
    return 0;
  g_ptr_array_add (c->given_up, u);
  fail_given_up (c, now);
  return 1;
}

/* Releases those of MEMBERS that W still has.  The release of one may end, and
   free, others of its unit.  */
static void
release_members (struct sj_cluster *c, const struct worker *w,
                 const GPtrArray *members, int64_t now)
{
  for (guint i = 0; i < members->len; i++)
    {
      struct member *m = g_ptr_array_index (members, i);

      if (g_ptr_array_find (w->members, m, NULL))
        ru_release_member (c, m, now);
    }
}

void
lo_lose_members (struct sj_cluster *c, const struct worker *w,
                 const GPtrArray *members, enum sj_loss loss, int64_t now)
{
  int64_t event = ++c->crash_serial;

  for (guint i = 0; i < members->len; i++)
    {
      struct member *m = g_ptr_array_index (members, i);

      if (may_have_run (m) && m->unit->state != UN_DONE
          && !jb_ended (m->unit->job))
        account_for (c, m, loss, count_others (members, m->unit), event, now);
    }
  release_members (c, w, members, now);
  fail_given_up (c, now);
}

/* LOSS of U was the crash EVENT.  */
static void
count_loss (struct sj_cluster *c, struct unit *u,
            const struct unresolved_loss *loss, int64_t event)
{
  count_crash (c, u,
               &(struct crash){ .index = loss->index,
                                .is_certain = loss->is_certain,
                                .event = event });
}

enum verdict
{
  WAS_ALIVE,
  HAS_CRASHED,
  STILL_UNKNOWN
};

/* What LOSS was, of a worker that now runs LIFE_TAG if IS_ALIVE, and whose
   other incarnations have ended.  */
static enum verdict
judge_loss (const struct unresolved_loss *loss, int life_tag, int is_alive)
{
  if (!loss->life_tag)
    return is_alive ? WAS_ALIVE : STILL_UNKNOWN;
  if (loss->life_tag != life_tag)
    return HAS_CRASHED;
  return is_alive ? WAS_ALIVE : STILL_UNKNOWN;
}

static void
resolve_unit (struct sj_cluster *c, struct unit *u, const char *id,
              int life_tag, int is_alive, int64_t event)
{
  for (guint i = loss_count (u); i-- > 0;)
    {
      struct unresolved_loss loss = *loss_at (u, i);
      enum verdict verdict = judge_loss (&loss, life_tag, is_alive);

      if (g_strcmp0 (loss.worker, id) || verdict == STILL_UNKNOWN)
        continue;
      remove_loss (u, i);
      pc_mark_unit (u);
      if (verdict == HAS_CRASHED && u->state != UN_DONE)
        count_loss (c, u, &loss, event);
      c->changed = 1;
    }
}

/* Settles the unresolved losses that name worker ID.  */
static void
resolve (struct sj_cluster *c, const char *id, int life_tag, int is_alive)
{
  int64_t event;

  if (!g_hash_table_contains (c->unresolved_workers, id))
    return;
  event = ++c->crash_serial;
  for (guint i = 0; i < c->job_list->len; i++)
    {
      const struct job *j = g_ptr_array_index (c->job_list, i);

      for (guint k = 0; k < j->units->len && !jb_ended (j); k++)
        resolve_unit (c, g_ptr_array_index (j->units, k), id, life_tag,
                      is_alive, event);
    }
  if (is_alive)
    g_hash_table_remove (c->unresolved_workers, id);
}

void
lo_worker_is_alive (struct sj_cluster *c, const struct worker *w)
{
  resolve (c, w->id, wo_life_tag (w->incarnation), 1);
  fail_given_up (c, c->now);
}

void
lo_worker_has_crashed (struct sj_cluster *c, const char *id, int life_tag,
                       int64_t now)
{
  resolve (c, id, life_tag, 0);
  fail_given_up (c, now);
}

static void
settle_unit (struct sj_cluster *c, struct unit *u)
{
  for (guint i = loss_count (u); i-- > 0;)
    {
      struct unresolved_loss loss = *loss_at (u, i);
      const struct worker *w = wo_find (c, loss.worker);

      if (c->now - loss.lost_ms < RESOLVE_WAIT_MS)
        continue;
      remove_loss (u, i);
      pc_mark_unit (u);
      c->changed = 1;
      if (u->state != UN_DONE && !(w && w->listed && !w->replaced))
        count_loss (c, u, &loss, ++c->crash_serial);
    }
}

void
lo_settle_old_losses (struct sj_cluster *c)
{
  if (!g_hash_table_size (c->unresolved_workers))
    return;
  for (guint i = 0; i < c->job_list->len; i++)
    {
      const struct job *j = g_ptr_array_index (c->job_list, i);

      for (guint k = 0; k < j->units->len && !jb_ended (j); k++)
        settle_unit (c, g_ptr_array_index (j->units, k));
    }
  fail_given_up (c, c->now);
}
