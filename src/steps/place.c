/* Where a unit may run.  Workers are filled best-fit by accelerators, so
   that wide holes stay whole; a gang bound to a rack takes the tightest
   rack that holds it.  */
#include <string.h>

#include "steps/steps.h"

struct choice
{
  struct worker *worker;
  int times; /* tasks of the unit that fit */
  int slow;
};

static int
is_avoided (const struct unit *u, const struct worker *w)
{
  if (!u->avoid)
    return 0;
  for (guint i = 0; i < u->avoid->len; i++)
    if (!strcmp (g_ptr_array_index (u->avoid, i), w->id))
      return 1;
  return 0;
}

static int
has_label (const struct worker *w, const char *label)
{
  return !g_strcmp0 (w->kind, label) || !g_strcmp0 (w->rack, label);
}

int
pl_allows (const struct sj_cluster *c, const struct unit *u,
           const struct worker *w)
{
  const struct sj_step *s = un_step (u);

  return wo_usable (c, w) && !g_strcmp0 (w->service, u->job->spec->service)
         && (!s->label || has_label (w, s->label)) && !is_avoided (u, w);
}

int
pl_limit (const struct unit *u)
{
  int limit = un_step (u)->max_per_worker;

  return limit && limit < u->count ? limit : u->count;
}

/* Tasks of the step that may still go to W.  */
static int
left_per_worker (const struct unit *u, const struct worker *w)
{
  int limit = un_step (u)->max_per_worker, there = 0;

  if (!limit)
    return u->count;
  for (guint i = 0; i < w->member->len; i++)
    {
      const struct member *m = g_ptr_array_index (w->member, i);

      there += un_same_step (m->unit, u);
    }
  limit -= there;
  if (limit < 0)
    return 0;
  return limit < u->count ? limit : u->count;
}

/* Fillers disturb tasks that serve users: they share no worker.  */
static int
disturbs (const struct unit *u, const struct worker *w)
{
  const struct sj_step *s = un_step (u);

  if (!s->filler && !s->latency_ms)
    return 0;
  for (guint i = 0; i < w->member->len; i++)
    {
      const struct member *m = g_ptr_array_index (w->member, i);
      const struct sj_step *other = un_step (m->unit);

      if ((s->filler && other->latency_ms) || (s->latency_ms && other->filler))
        return 1;
    }
  return 0;
}

static int
times_at (const struct sj_cluster *c, const struct unit *u,
          const struct worker *w, int soon)
{
  struct sj_need need = nd_of_step (un_step (u));
  struct sj_need room = soon ? w->soon : w->free;

  if (!pl_allows (c, u, w) || disturbs (u, w))
    return 0;
  if (w->kept_ms && c->now + un_step (u)->estimate_ms > w->kept_ms)
    nd_sub (&room, &w->kept);
  return nd_times (&need, &room, left_per_worker (u, w));
}

/* Best first: sound, then with the least left over.  */
static int
by_fit (const void *a, const void *b)
{
  const struct choice *p = a, *q = b;
  const struct worker *x = p->worker, *y = q->worker;

  if (p->slow != q->slow)
    return p->slow - q->slow;
  if (x->free.accelerators != y->free.accelerators)
    return x->free.accelerators < y->free.accelerators ? -1 : 1;
  if (x->free.memory_mb != y->free.memory_mb)
    return x->free.memory_mb < y->free.memory_mb ? -1 : 1;
  return strcmp (x->id, y->id);
}

/* Workers of RACK (any if NULL) that take at least one task.  */
static int
gather (struct sj_cluster *c, const struct unit *u, int soon, const char *rack,
        struct choice *out, int *total)
{
  int n = 0;

  *total = 0;
  for (guint i = 0; i < c->worker_list->len; i++)
    {
      struct worker *w = g_ptr_array_index (c->worker_list, i);
      int times;

      if (rack && g_strcmp0 (rack, w->rack))
        continue;
      times = times_at (c, u, w, soon);
      if (!times)
        continue;
      out[n++] = (struct choice){ w, times, he_is_slow (c, w) };
      *total += times;
    }
  return n;
}

static int
fill (const struct unit *u, struct choice *choice, int n,
      struct worker **place)
{
  int k = 0;

  qsort (choice, (size_t)n, sizeof *choice, by_fit);
  for (int i = 0; i < n && k < u->count; i++)
    for (int t = 0; t < choice[i].times && k < u->count; t++)
      place[k++] = choice[i].worker;
  return k == u->count;
}

static int
place_in (struct sj_cluster *c, struct unit *u, int soon, const char *rack,
          struct choice *scratch, struct worker **place)
{
  int total, n = gather (c, u, soon, rack, scratch, &total);

  return total >= u->count && fill (u, scratch, n, place);
}

/* The rack whose room for U is tightest, or NULL.  */
static const char *
tightest_rack (struct sj_cluster *c, const struct unit *u, int soon)
{
  GHashTable *room = g_hash_table_new (g_str_hash, g_str_equal);
  const char *best = NULL;
  GHashTableIter iter;
  gpointer rack, sum;
  int least = 0;

  for (guint i = 0; i < c->worker_list->len; i++)
    {
      struct worker *w = g_ptr_array_index (c->worker_list, i);
      int times = w->rack ? times_at (c, u, w, soon) : 0;

      if (times)
        g_hash_table_insert (
            room, w->rack,
            GINT_TO_POINTER (
                GPOINTER_TO_INT (g_hash_table_lookup (room, w->rack))
                + times));
    }
  g_hash_table_iter_init (&iter, room);
  while (g_hash_table_iter_next (&iter, &rack, &sum))
    {
      int n = GPOINTER_TO_INT (sum);

      if (n >= u->count
          && (!best || n < least || (n == least && strcmp (rack, best) < 0)))
        {
          best = rack;
          least = n;
        }
    }
  g_hash_table_destroy (room);
  return best;
}

/* Rack of the step's other tasks, for a step that stays in one rack though
   its tasks start one by one.  */
static const char *
rack_of_siblings (const struct unit *u)
{
  const struct job *j = u->job;

  for (guint i = 0; i < j->unit->len; i++)
    {
      const struct unit *other = g_ptr_array_index (j->unit, i);

      if (other != u && other->member && un_same_step (other, u))
        return other->member[0].worker->rack;
    }
  return NULL;
}

static const char *
bound_rack (struct sj_cluster *c, const struct unit *u, int soon)
{
  const struct sj_step *s = un_step (u);
  const char *rack;

  if (s->data_rack)
    return s->data_rack;
  if (u->count == 1 && (rack = rack_of_siblings (u)))
    return rack;
  return tightest_rack (c, u, soon);
}

static int
is_bound (const struct sj_step *s)
{
  return s->data_rack || (s->one_rack && s->count > 1);
}

int
pl_is_bound (const struct unit *u)
{
  return is_bound (un_step (u));
}

int
pl_place (struct sj_cluster *c, struct unit *u, int soon, int allow_far,
          struct worker **place, int *far)
{
  struct choice *scratch = g_new (struct choice, c->worker_list->len + 1);
  const char *rack = NULL;
  int placed = 0;

  *far = 0;
  if (is_bound (un_step (u)))
    {
      rack = bound_rack (c, u, soon);
      if (rack)
        placed = place_in (c, u, soon, rack, scratch, place);
      *far = !placed;
    }
  if (!placed && (!is_bound (un_step (u)) || allow_far))
    placed = place_in (c, u, soon, NULL, scratch, place);
  g_free (scratch);
  return placed;
}

/* Tasks of U that W would hold were it empty.  */
static int
times_if_empty (const struct sj_cluster *c, const struct unit *u,
                const struct worker *w)
{
  struct sj_need need = nd_of_step (un_step (u));

  if (!pl_allows (c, u, w))
    return 0;
  return nd_times (&need, &w->capacity, pl_limit (u));
}

int
pl_rack_could (const struct sj_cluster *c, const struct unit *u)
{
  const struct sj_step *s = un_step (u);
  GHashTable *room;
  int could = 0;

  if (!is_bound (s))
    return 1;
  room = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < c->worker_list->len && !could; i++)
    {
      struct worker *w = g_ptr_array_index (c->worker_list, i);
      int n;

      if (!w->rack || (s->data_rack && strcmp (s->data_rack, w->rack) != 0))
        continue;
      n = GPOINTER_TO_INT (g_hash_table_lookup (room, w->rack))
          + times_if_empty (c, u, w);
      g_hash_table_insert (room, w->rack, GINT_TO_POINTER (n));
      could = n >= u->count;
    }
  g_hash_table_destroy (room);
  return could;
}

GPtrArray *
pl_racks (const struct sj_cluster *c, const struct unit *u)
{
  const char *data = un_step (u)->data_rack;
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  GPtrArray *racks = g_ptr_array_new ();

  if (data)
    g_ptr_array_add (racks, (gpointer)(uintptr_t)data);
  for (guint i = 0; i < c->worker_list->len && !data; i++)
    {
      const struct worker *w = g_ptr_array_index (c->worker_list, i);

      if (w->rack && g_hash_table_add (seen, w->rack))
        g_ptr_array_add (racks, w->rack);
    }
  g_hash_table_destroy (seen);
  return racks;
}

void
pl_reserve (const struct unit *u, struct worker **place)
{
  struct sj_need need = nd_of_step (un_step (u));

  for (int i = 0; i < u->count; i++)
    {
      nd_sub (&place[i]->soon, &need);
      nd_sub (&place[i]->free, &need);
    }
}
