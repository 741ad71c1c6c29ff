/* Reconciles the runs that a worker lists with the scheduler's state.  */
#include <string.h>

#include "skr/crash.h"
#include "steps/state.h"

enum
{
  MAX_LISTED_ENDS = 500 /* in one listing; if full, more may follow */
};

static const struct sj_listed_run *
find_listed (const struct sj_listed_run *list, int count,
             const struct member *m)
{
  for (int i = 0; i < count; i++)
    if (ru_matches (&list[i].run, m))
      return &list[i];
  return NULL;
}

static void
apply_running (struct sj_cluster *c, struct member *m,
               const struct sj_listed_run *l, int64_t now)
{
  if (m->state == MB_STARTING)
    {
      m->state = MB_RUNNING;
      if (m->from_record)
        {
          m->start_resolved = 1;
          m->start_resolved_ms = now;
        }
    }
  ru_note_taken (m->unit);
  m->life_tag = wo_life_tag (m->worker->incarnation);
  ru_set_checkpoint (m->unit, l->checkpoint);
  he_record_progress (c, m, l->percent, now);
}

/* Whether the present incarnation of M's worker, which knows nothing of M's
   run, may still execute a try of its start.  Then only a stop that it
   accepts prevents that.  */
static int
may_start_again (const struct member *m)
{
  return m->start_open && wo_has_crashed_under (m);
}

/* Whether L was requested after the start's outcome was known.  */
static int
is_after_start (const struct member *m, const struct sj_listing *l)
{
  return m->start_resolved && l->requested_ms > m->start_resolved_ms;
}

/* Whether listing L, which has M neither running nor ended, proves that M's
   run has ended or was never started, and can't start any more.  */
static int
is_proven_absent (const struct member *m, const struct sj_listing *l)
{
  if (l->end_count >= MAX_LISTED_ENDS || l->is_incomplete)
    return 0;
  if (m->from_record && !m->start_resolved)
    return 1;
  if (is_after_start (m, l) && !may_start_again (m))
    return 1;
  return m->stop_acked && l->requested_ms > m->stop_acked_ms;
}

/* Loses the members whose runs were sent to an earlier incarnation of W and
   are proven absent from this one.  */
static void
lose_crashed_members (struct sj_cluster *c, struct worker *w,
                      const struct sj_listing *l, int64_t now)
{
  GPtrArray *lost = g_ptr_array_new ();

  for (guint i = 0; i < w->members->len; i++)
    {
      struct member *m = g_ptr_array_index (w->members, i);

      if (m->state != MB_PLANNED && wo_has_crashed_under (m)
          && !find_listed (l->ends, l->end_count, m)
          && !find_listed (l->runs, l->run_count, m)
          && is_proven_absent (m, l))
        g_ptr_array_add (lost, m);
    }
  if (lost->len)
    lo_lose_members (c, w, lost, w->has_left ? SJ_LOSS_LEFT : SJ_LOSS_CRASH,
                     now);
  g_ptr_array_free (lost, TRUE);
}

static void
apply_to_members (struct sj_cluster *c, struct worker *w,
                  const struct sj_listing *l, int64_t now)
{
  GPtrArray *known = g_ptr_array_sized_new (w->members->len + 1);

  for (guint i = 0; i < w->members->len; i++)
    g_ptr_array_add (known, g_ptr_array_index (w->members, i));
  for (guint i = 0; i < known->len; i++)
    {
      struct member *m = g_ptr_array_index (known, i);
      const struct sj_listed_run *end, *run;

      /* The end of another member may have released M.  */
      if (!g_ptr_array_find (w->members, m, NULL) || m->state == MB_PLANNED)
        continue;
      un_set_subject (m->unit, m->index);
      end = find_listed (l->ends, l->end_count, m);
      run = find_listed (l->runs, l->run_count, m);
      if (end)
        ru_apply_end (c, m, end, now);
      else if (run)
        apply_running (c, m, run, now);
      else if (is_proven_absent (m, l))
        ru_release_member (c, m, now);
      else if (is_after_start (m, l) && may_start_again (m))
        ru_abort (c, m->unit, SJ_START_UNANSWERED, now);
    }
  g_ptr_array_free (known, TRUE);
}

/* Marks a task as done if one of its runs was completed, even if that run had
   been aborted before.  */
static void
apply_late_end (struct sj_cluster *c, const struct sj_listed_run *end,
                int64_t now)
{
  struct unit *u
      = end->end == SJ_END_DONE ? ru_find_unit (c, &end->run) : NULL;

  if (!u || u->state == UN_DONE || un_step (u)->is_continuous
      || end->run.number > u->run_number)
    return;
  ru_note_taken (u);
  if (u->state == UN_ACTIVE)
    ru_abort (c, u, SJ_DONE_ELSEWHERE, now);
  jb_unit_done (c, u, now);
}

/* Stops the listed runs that belong to no unit, unless their jobs are left
   alone.  They occupy capacity that is
   not accounted, so the worker takes no starts while it has any.  */
static void
stop_unknown_runs (struct sj_cluster *c, struct worker *w,
                   const struct sj_listing *l)
{
  int unknown_runs = 0, left_alone = 0;

  for (int i = 0; i < l->run_count; i++)
    {
      struct sj_order order = { .kind = SJ_STOP,
                                .worker = w->id,
                                .incarnation = w->incarnation,
                                .run = l->runs[i].run,
                                .payload = "",
                                .checkpoint = "",
                                .cause = SJ_UNKNOWN_RUN };

      if (ru_find_member (w, &l->runs[i].run))
        continue;
      unknown_runs++;
      if (sj_is_left_alone (c, l->runs[i].run.job))
        left_alone++;
      else
        c->on_order (c->arg, &order);
    }
  if (w->unknown_runs != unknown_runs)
    c->changed = 1;
  w->unknown_runs = unknown_runs;
  w->left_alone = left_alone;
}

int
sj_listing_apply (struct sj_cluster *c, const char *worker,
                  const struct sj_listing *l, int64_t now)
{
  struct worker *w = wo_find (c, worker);

  c->now = now;
  if (!w)
    return SJ_EUNKNOWN;
  if (!w->runs_known)
    c->changed = 1;
  w->runs_known = 1;
  w->reachable = 1;
  w->replaced = 0;
  lo_worker_is_alive (c, w);
  lose_crashed_members (c, w, l, now);
  apply_to_members (c, w, l, now);
  for (int i = 0; i < l->end_count; i++)
    apply_late_end (c, &l->ends[i], now);
  stop_unknown_runs (c, w, l);
  cr_clear ();
  return SJ_OK;
}
