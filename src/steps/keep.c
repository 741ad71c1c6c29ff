/* Room kept for units that wait.  A wide unit starts when enough workers are
   free at the same time; smaller units that come later would take each of
   them as it falls free.  So the workers that are free soonest are kept for
   it: a later unit may use them only if it ends before.  */
#include <string.h>

#include "steps/steps.h"

enum
{
  STOPPING_MS = 300,  /* a stop under way takes about so long */
  MAX_LEFT_MS = 60000 /* work that ends later is not waited for */
};

/* One task more of the unit fits on WORKER from AT_MS on.  */
struct opening
{
  struct worker *worker;
  int64_t at_ms;
};

struct ending
{
  struct sj_need need;
  int64_t at_ms;
};

static int
by_end (const void *a, const void *b)
{
  const struct ending *x = a, *y = b;

  return (x->at_ms > y->at_ms) - (x->at_ms < y->at_ms);
}

static int
by_opening (const void *a, const void *b)
{
  const struct opening *x = a, *y = b;

  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  return strcmp (x->worker->id, y->worker->id);
}

static int64_t
left_ms (const struct sj_cluster *c, const struct member *m)
{
  int64_t run_ms = he_run_ms (c, m);

  if (un_step (m->unit)->lasts)
    return MAX_LEFT_MS;
  switch (m->state)
    {
    case MB_STOPPING:
      return STOPPING_MS;
    case MB_RUNNING:
      return MAX (he_left_ms (run_ms, m) - (c->now - m->last_listed_ms), 0);
    case MB_PLANNED:
    case MB_ORDERED:
    case MB_ENDED:
      break;
    }
  return run_ms;
}

static GArray *
list_ends (const struct sj_cluster *c, const struct worker *w)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (struct ending));

  for (guint i = 0; i < w->member->len; i++)
    {
      const struct member *m = g_ptr_array_index (w->member, i);
      struct ending e = { nd_of_step (un_step (m->unit)), left_ms (c, m) };

      if (m->state != MB_ENDED && e.at_ms < MAX_LEFT_MS)
        g_array_append_val (list, e);
    }
  g_array_sort (list, by_end);
  return list;
}

static void
add_openings (const struct sj_cluster *c, const struct unit *u,
              struct worker *w, GArray *out)
{
  GArray *ends = list_ends (c, w);
  struct sj_need need = nd_of_step (un_step (u)), room = w->free;
  int limit = pl_limit (u), had = 0;

  nd_sub (&room, &w->kept);
  for (guint i = 0; i <= ends->len; i++)
    {
      struct opening o = { w, 0 };
      int fits;

      if (i > 0)
        {
          const struct ending *e = &g_array_index (ends, struct ending, i - 1);

          nd_add (&room, &e->need);
          o.at_ms = e->at_ms;
        }
      for (fits = nd_times (&need, &room, limit); had < fits; had++)
        g_array_append_val (out, o);
    }
  g_array_free (ends, TRUE);
}

static GArray *
openings_in (const struct sj_cluster *c, const struct unit *u,
             const char *rack)
{
  GArray *out = g_array_new (FALSE, FALSE, sizeof (struct opening));

  for (guint i = 0; i < c->worker_list->len; i++)
    {
      struct worker *w = g_ptr_array_index (c->worker_list, i);

      if ((!rack || !g_strcmp0 (rack, w->rack)) && pl_allows (c, u, w))
        add_openings (c, u, w, out);
    }
  g_array_sort (out, by_opening);
  return out;
}

/* When TASKS have room; INT64_MAX: never.  */
static int64_t
start_ms (const GArray *openings, int tasks)
{
  if ((int)openings->len < tasks)
    return INT64_MAX;
  return g_array_index (openings, struct opening, tasks - 1).at_ms;
}

/* The openings of the rack where TASKS have room first.  */
static GArray *
best_openings (const struct sj_cluster *c, const struct unit *u, int tasks)
{
  GPtrArray *racks;
  GArray *best = NULL;

  if (!pl_is_bound (u))
    return openings_in (c, u, NULL);
  racks = pl_racks (c, u);
  for (guint i = 0; i < racks->len; i++)
    {
      GArray *here = openings_in (c, u, g_ptr_array_index (racks, i));

      if (best && start_ms (best, tasks) <= start_ms (here, tasks))
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
ke_keep (struct sj_cluster *c, const struct unit *u, int tasks)
{
  GArray *openings = best_openings (c, u, tasks);
  struct sj_need need = nd_of_step (un_step (u));
  int64_t start = openings ? start_ms (openings, tasks) : INT64_MAX;

  for (int i = 0; i < tasks && start < INT64_MAX; i++)
    {
      const struct opening *o = &g_array_index (openings, struct opening, i);
      int64_t from = u->count > 1 ? start : o->at_ms;

      nd_add (&o->worker->kept, &need);
      if (!o->worker->kept_ms || c->now + from < o->worker->kept_ms)
        o->worker->kept_ms = c->now + from;
    }
  if (openings)
    g_array_free (openings, TRUE);
  return start < INT64_MAX;
}
