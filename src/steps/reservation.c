/* Capacity reserved for waiting units.  A wide unit can start only when enough
   workers are free at the same time, and smaller units that arrive later would
   take each worker as it becomes free.  So the workers that are free soonest
   are reserved for it: a later unit may use them only if it ends before the
   reservation begins (backfill).  */
#include <string.h>

#include "steps/state.h"

enum
{
  STOPPING_MS = 300, /* expected time to end a run being stopped */
  HORIZON_MS = 60000 /* runs that end later are not waited for */
};

/* Capacity for one more task of the unit, free on WORKER in FREE_MS
   milliseconds.  */
struct slot
{
  struct worker *worker;
  int64_t free_ms;
};

/* Capacity that a run frees in FREED_MS milliseconds.  */
struct release
{
  struct sj_resources freed;
  int64_t freed_ms;
};

static int
by_release_time (const void *a, const void *b)
{
  const struct release *x = a, *y = b;

  return (x->freed_ms > y->freed_ms) - (x->freed_ms < y->freed_ms);
}

static int
by_slot_time (const void *a, const void *b)
{
  const struct slot *x = a, *y = b;

  if (x->free_ms != y->free_ms)
    return x->free_ms < y->free_ms ? -1 : 1;
  return strcmp (x->worker->id, y->worker->id);
}

/* Expected time until M ends.  */
static int64_t
member_remaining_ms (const struct sj_cluster *c, const struct member *m)
{
  if (un_step (m->unit)->is_continuous)
    return HORIZON_MS;
  switch (m->state)
    {
    case MB_STOPPING:
      return STOPPING_MS;
    case MB_RUNNING:
    case MB_PLANNED:
    case MB_STARTING:
    case MB_ENDED:
      break;
    }
  return he_expected_remaining_ms (c, m);
}

/* Releases on W within the time considered, the soonest first.  */
static GArray *
list_releases (const struct sj_cluster *c, const struct worker *w)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (struct release));

  for (guint i = 0; i < w->members->len; i++)
    {
      const struct member *m = g_ptr_array_index (w->members, i);
      struct release r
          = { nd_for_step (un_step (m->unit)), member_remaining_ms (c, m) };

      if (m->state != MB_ENDED && r.freed_ms < HORIZON_MS)
        g_array_append_val (list, r);
    }
  g_array_sort (list, by_release_time);
  return list;
}

/* Appends the slots on W for U's step to OUT.  */
static void
add_slots (const struct sj_cluster *c, const struct unit *u, struct worker *w,
           GArray *out)
{
  GArray *releases = list_releases (c, w);
  struct sj_resources need = nd_for_step (un_step (u)), available = w->free;
  int limit = pl_max_per_worker (u), listed = 0;

  nd_sub (&available, &w->reserved);
  for (guint i = 0; i <= releases->len; i++)
    {
      struct slot s = { w, 0 };
      int fits;

      if (i > 0)
        {
          const struct release *r
              = &g_array_index (releases, struct release, i - 1);

          nd_add (&available, &r->freed);
          s.free_ms = r->freed_ms;
        }
      for (fits = nd_count_fitting (&need, &available, limit); listed < fits;
           listed++)
        g_array_append_val (out, s);
    }
  g_array_free (releases, TRUE);
}

/* Slots for U's step in RACK (any if NULL), the soonest first.  */
static GArray *
list_slots (const struct sj_cluster *c, const struct unit *u,
            const struct rack *rack)
{
  const GPtrArray *workers = rk_workers (c, rack);
  GArray *out = g_array_new (FALSE, FALSE, sizeof (struct slot));

  for (guint i = 0; i < workers->len; i++)
    {
      struct worker *w = g_ptr_array_index (workers, i);

      if (pl_is_eligible (c, u, w))
        add_slots (c, u, w, out);
    }
  g_array_sort (out, by_slot_time);
  return out;
}

/* Time from now until TASKS tasks fit; INT64_MAX: not within the time
   considered.  */
static int64_t
earliest_start_ms (const GArray *slots, int tasks)
{
  if ((int)slots->len < tasks)
    return INT64_MAX;
  return g_array_index (slots, struct slot, tasks - 1).free_ms;
}

/* The slots of the rack where TASKS tasks fit first, or of all workers if U is
   not bound to a rack.  */
static GArray *
best_slots (const struct sj_cluster *c, const struct unit *u, int tasks)
{
  GPtrArray *racks;
  GArray *best = NULL;

  if (!pl_is_rack_bound (u))
    return list_slots (c, u, NULL);
  racks = pl_candidate_racks (c, u);
  for (guint i = 0; i < racks->len; i++)
    {
      GArray *here = list_slots (c, u, g_ptr_array_index (racks, i));

      if (best
          && earliest_start_ms (best, tasks)
                 <= earliest_start_ms (here, tasks))
        {
          g_array_free (here, TRUE);
          continue;
        }
      if (best)
        g_array_free (best, TRUE);
      best = here;
    }
  g_ptr_array_free (racks, TRUE);
  return best;
}

int
rs_reserve (struct sj_cluster *c, const struct unit *u, int tasks)
{
  GArray *slots = best_slots (c, u, tasks);
  struct sj_resources need = nd_for_step (un_step (u));
  int64_t start_ms = slots ? earliest_start_ms (slots, tasks) : INT64_MAX;

  for (int i = 0; i < tasks && start_ms < INT64_MAX; i++)
    {
      const struct slot *s = &g_array_index (slots, struct slot, i);
      int64_t from_ms = u->count > 1 ? start_ms : s->free_ms;

      nd_add (&s->worker->reserved, &need);
      if (!s->worker->reserved_from_ms
          || c->now + from_ms < s->worker->reserved_from_ms)
        s->worker->reserved_from_ms = c->now + from_ms;
    }
  if (slots)
    g_array_free (slots, TRUE);
  return start_ms < INT64_MAX;
}
