/* Where tasks run under which workers have crashed.  Such a task prefers an
   empty worker; after two crashes it gets a worker for itself, so that a third
   one tells that the task is the cause, and harms no other.  */
#include "steps/state.h"

enum
{
  ISOLATE_AFTER_CRASHES = 2,
  ISOLATION_WAIT_MS = 2500, /* longest wait for an empty worker */
  /* A run that has gone on for so long is not expected to crash its
     worker.  */
  HARMLESS_AFTER_MS = 30000,
  /* With so many crashes, certain or possible, a task waits until it is known
     which of them were some.  */
  MAX_POSSIBLE_CRASHES = 3,
  /* A worker that has restarted may soon do so again.  */
  RESTARTED_MS = 30000
};

int
su_may_start (const struct unit *u)
{
  return !u->unresolved || !u->unresolved->len
         || lo_possible_crashes (u) < MAX_POSSIBLE_CRASHES;
}

static int
needs_isolation (const struct unit *u)
{
  return u->crashes && lo_crashes (u) >= ISOLATE_AFTER_CRASHES;
}

/* Whether M must have its worker for itself.  */
static int
is_isolated (const struct sj_cluster *c, const struct member *m)
{
  return needs_isolation (m->unit)
         && c->now - m->started_ms < HARMLESS_AFTER_MS;
}

/* Guaranteed work is not kept from capacity, so that it can be started in
   time.  */
int
su_may_share (const struct sj_cluster *c, const struct unit *u,
              const struct worker *w)
{
  int isolate;

  if (!c->suspects || !w->members->len)
    return 1;
  isolate = needs_isolation (u) && c->now - u->ready_ms < ISOLATION_WAIT_MS;
  for (guint i = 0; i < w->members->len; i++)
    {
      const struct member *m = g_ptr_array_index (w->members, i);

      if (m->unit == u)
        continue;
      if (isolate)
        return 0;
      if (u->job->rank != RANK_GUARANTEED && is_isolated (c, m))
        return 0;
    }
  return 1;
}

int
su_is_risky (const struct sj_cluster *c, const struct unit *u,
             const struct worker *w)
{
  int is_suspect;

  if (!c->suspects)
    return 0;
  is_suspect = lo_crashes (u) > 0;
  if (is_suspect && w->restarted_ms && c->now - w->restarted_ms < RESTARTED_MS)
    return 1;
  for (guint i = 0; i < w->members->len; i++)
    {
      const struct unit *other
          = ((const struct member *)g_ptr_array_index (w->members, i))->unit;

      if (other != u && (is_suspect || lo_crashes (other)))
        return 1;
    }
  return 0;
}
