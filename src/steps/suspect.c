/* Where tasks run under which workers have crashed.  Those that a crash hit
   together are kept apart, so that a second one hits one of them only.  After
   two crashes a task gets a worker for itself, so that a third one tells that
   the task is the cause, and harms no other.  */
#include "steps/state.h"

enum
{
  ISOLATE_AFTER_CRASHES = 2,
  SEPARATION_WAIT_MS = 2500, /* longest wait for such a worker */
  /* A run that has gone on for so long is not expected to crash its
     worker.  */
  HARMLESS_AFTER_MS = 30000,
  /* With more suspects than one for so many workers the workers crash by
     themselves, and none is isolated.  */
  WORKERS_PER_SUSPECT = 8,
  /* With so many crashes, certain or possible, a task waits until it is known
     which of them were some.  */
  MAX_POSSIBLE_CRASHES = 3
};

int
su_may_start (const struct unit *u)
{
  return !u->unresolved || !u->unresolved->len
         || lo_possible_crashes (u) < MAX_POSSIBLE_CRASHES;
}

static int
is_suspect (const struct unit *u)
{
  return u->crashes && lo_crashes (u) >= ISOLATE_AFTER_CRASHES;
}

void
su_count_suspects (struct sj_cluster *c)
{
  c->suspects = 0;
  for (guint i = 0; i < c->job_list->len; i++)
    {
      const struct job *j = g_ptr_array_index (c->job_list, i);

      for (guint k = 0; k < j->units->len; k++)
        c->suspects += is_suspect (g_ptr_array_index (j->units, k));
    }
}

/* Whether suspects are isolated at all.  */
static int
isolates (const struct sj_cluster *c)
{
  return c->suspects
         && (c->suspects == 1
             || (guint)c->suspects * WORKERS_PER_SUSPECT
                    <= c->worker_list->len);
}

/* Whether M must have its worker for itself.  */
static int
is_isolated (const struct sj_cluster *c, const struct member *m)
{
  return is_suspect (m->unit) && c->now - m->started_ms < HARMLESS_AFTER_MS;
}

/* Whether one crash hit both A and B.  */
static int
crashed_together (const struct unit *a, const struct unit *b)
{
  for (guint i = 0; a->crashes && b->crashes && i < a->crashes->len; i++)
    {
      int64_t event = g_array_index (a->crashes, struct crash, i).event;

      for (guint k = 0; event && k < b->crashes->len; k++)
        if (g_array_index (b->crashes, struct crash, k).event == event)
          return 1;
    }
  return 0;
}

/* Whether U must not run beside M.  Guaranteed work is not kept from capacity
   for others, so that it can be started in time, nor is a task that lasts for
   longer than seconds.  */
static int
must_be_apart (const struct sj_cluster *c, const struct unit *u,
               const struct member *m)
{
  int has_waited = c->now - u->ready_ms >= SEPARATION_WAIT_MS;

  if (m->unit == u || (has_waited && un_step (u)->is_continuous))
    return 0;
  if (!has_waited
      && (crashed_together (u, m->unit) || (isolates (c) && is_suspect (u))))
    return 1;
  return u->job->rank != RANK_GUARANTEED && isolates (c) && is_isolated (c, m);
}

int
su_may_share (const struct sj_cluster *c, const struct unit *u,
              const struct worker *w)
{
  if (!u->crashes && !c->suspects)
    return 1;
  for (guint i = 0; i < w->members->len; i++)
    if (must_be_apart (c, u, g_ptr_array_index (w->members, i)))
      {
        *c->kept_apart = 1;
        return 0;
      }
  return 1;
}
