/* Placement of units.  Workers are chosen best-fit by free accelerators, to
   limit fragmentation; a gang bound to a rack takes the rack with the least
   free capacity that holds it.  */
#include <string.h>

#include "steps/state.h"

struct candidate
{
  struct worker *worker;
  int tasks; /* tasks of the unit that fit */
  int is_slow, is_cold;
};

static int
is_avoided (const struct unit *u, const struct worker *w)
{
  if (!u->avoided_workers)
    return 0;
  for (guint i = 0; i < u->avoided_workers->len; i++)
    if (!strcmp (g_ptr_array_index (u->avoided_workers, i), w->id))
      return 1;
  return 0;
}

static int
has_label (const struct worker *w, const char *label)
{
  return !g_strcmp0 (w->kind, label)
         || (w->rack && !strcmp (w->rack->name, label));
}

int
pl_is_eligible (const struct sj_cluster *c, const struct unit *u,
                const struct worker *w)
{
  const struct sj_step *s = un_step (u);

  return wo_usable (c, w) && w->service == u->job->service
         && (!s->label || has_label (w, s->label)) && !is_avoided (u, w)
         && su_may_share (c, u, w);
}

int
pl_max_per_worker (const struct unit *u)
{
  int limit = un_step (u)->max_per_worker;

  return limit && limit < u->count ? limit : u->count;
}

/* Most tasks of U that may still go to W under the step's limit.  */
static int
remaining_per_worker (const struct unit *u, const struct worker *w)
{
  int limit = un_step (u)->max_per_worker, placed = 0;

  if (!limit)
    return u->count;
  for (guint i = 0; i < w->members->len; i++)
    {
      const struct member *m = g_ptr_array_index (w->members, i);

      placed += un_same_step (m->unit, u);
    }
  limit -= placed;
  if (limit < 0)
    return 0;
  return limit < u->count ? limit : u->count;
}

/* Whether W runs tasks that U must not share a worker with: fillers disturb
   tasks that serve users.  */
static int
conflicts_with_latency (const struct unit *u, const struct worker *w)
{
  const struct sj_step *s = un_step (u);

  if (!s->filler && !s->latency_target_ms)
    return 0;
  for (guint i = 0; i < w->members->len; i++)
    {
      const struct member *m = g_ptr_array_index (w->members, i);
      const struct sj_step *other = un_step (m->unit);

      if ((s->filler && other->latency_target_ms)
          || (s->latency_target_ms && other->filler))
        return 1;
    }
  return 0;
}

/* Tasks of U that fit on W now or AFTER_STOPS.  Reserved capacity counts only
   if U ends before the reservation begins.  */
static int
tasks_fitting_on (const struct sj_cluster *c, const struct unit *u,
                  const struct worker *w, int after_stops)
{
  struct sj_resources need = nd_for_step (un_step (u));
  struct sj_resources available = after_stops ? w->free_after_stops : w->free;

  if (!pl_is_eligible (c, u, w) || conflicts_with_latency (u, w))
    return 0;
  if (w->reserved_from_ms
      && c->now + un_step (u)->estimate_ms > w->reserved_from_ms)
    nd_sub (&available, &w->reserved);
  return nd_count_fitting (&need, &available, remaining_per_worker (u, w));
}

/* Best first: warm, not slow, then with the least free capacity.  */
static int
by_fit (const void *a, const void *b)
{
  const struct candidate *p = a, *q = b;
  const struct worker *x = p->worker, *y = q->worker;

  if (p->is_cold != q->is_cold)
    return p->is_cold - q->is_cold;
  if (p->is_slow != q->is_slow)
    return p->is_slow - q->is_slow;
  if (x->free.accelerators != y->free.accelerators)
    return x->free.accelerators < y->free.accelerators ? -1 : 1;
  if (x->free.memory_mb != y->free.memory_mb)
    return x->free.memory_mb < y->free.memory_mb ? -1 : 1;
  return strcmp (x->id, y->id);
}

/* Fills OUT with the workers of RACK (any if NULL) that fit at least one task,
   and *TOTAL with the tasks that fit.  Returns the number of workers.  */
static int
list_candidates (struct sj_cluster *c, const struct unit *u, int after_stops,
                 const struct rack *rack, struct candidate *out, int *total)
{
  const GPtrArray *workers = rk_workers (c, rack);
  int n = 0;

  *total = 0;
  for (guint i = 0; i < workers->len; i++)
    {
      struct worker *w = g_ptr_array_index (workers, i);
      int tasks = tasks_fitting_on (c, u, w, after_stops);

      if (!tasks)
        continue;
      out[n++] = (struct candidate){ w, tasks, he_is_slow_worker (c, w),
                                     wo_is_cold (c, w) };
      *total += tasks;
    }
  return n;
}

/* Fills PLACEMENT from the N candidates, best first.  Returns 1 if all of U
   fits.  */
static int
assign_tasks (const struct unit *u, struct candidate *candidates, int n,
              struct worker **placement)
{
  int k = 0;

  qsort (candidates, (size_t)n, sizeof *candidates, by_fit);
  for (int i = 0; i < n && k < u->count; i++)
    for (int t = 0; t < candidates[i].tasks && k < u->count; t++)
      placement[k++] = candidates[i].worker;
  return k == u->count;
}

static int
place_in_rack (struct sj_cluster *c, struct unit *u, int after_stops,
               const struct rack *rack, struct candidate *candidates,
               struct worker **placement)
{
  int total, n = list_candidates (c, u, after_stops, rack, candidates, &total);

  return total >= u->count && assign_tasks (u, candidates, n, placement);
}

/* Tasks of U that fit in R; *IS_COLD is set if U needs cold workers there.  */
static int
tasks_fitting_in (const struct sj_cluster *c, const struct unit *u,
                  const struct rack *r, int after_stops, int *is_cold)
{
  int n = 0, cold = 0;

  for (guint i = 0; i < r->workers->len; i++)
    {
      const struct worker *w = g_ptr_array_index (r->workers, i);
      int tasks = tasks_fitting_on (c, u, w, after_stops);

      n += tasks;
      cold += wo_is_cold (c, w) ? tasks : 0;
    }
  *is_cold = n - cold < u->count;
  return n;
}

/* The rack that holds U with the least capacity to spare, if possible on warm
   workers, or NULL.  */
static const struct rack *
tightest_rack (struct sj_cluster *c, const struct unit *u, int after_stops)
{
  const struct rack *best = NULL;
  int least = 0, best_is_cold = 0;

  for (guint i = 0; i < c->rack_list->len; i++)
    {
      const struct rack *r = g_ptr_array_index (c->rack_list, i);
      int is_cold, n = tasks_fitting_in (c, u, r, after_stops, &is_cold);

      if (n < u->count || (best && is_cold > best_is_cold))
        continue;
      if (!best || is_cold < best_is_cold || n < least
          || (n == least && strcmp (r->name, best->name) < 0))
        {
          best = r;
          least = n;
          best_is_cold = is_cold;
        }
    }
  return best;
}

/* Rack of an active unit of the same step that more tasks may join, or NULL.
   Used for a step that stays in one rack although its tasks start
   separately.  A rack in a closed domain is left behind.  */
static const struct rack *
rack_of_siblings (const struct unit *u)
{
  const struct job *j = u->job;

  for (guint i = 0; i < j->units->len; i++)
    {
      const struct unit *other = g_ptr_array_index (j->units, i);

      if (other != u && other->members && un_same_step (other, u)
          && !other->members[0].worker->domain_closed)
        return other->members[0].worker->rack;
    }
  return NULL;
}

/* Whether U runs away from tasks of its step that run in a closed domain.  */
static int
leaves_siblings_behind (const struct unit *u)
{
  const struct job *j = u->job;

  for (guint i = 0; i < j->units->len; i++)
    {
      const struct unit *other = g_ptr_array_index (j->units, i);

      if (other != u && other->members && un_same_step (other, u)
          && other->members[0].worker->domain_closed)
        return 1;
    }
  return 0;
}

/* The rack in which U should run, or NULL.  */
static const struct rack *
preferred_rack (struct sj_cluster *c, const struct unit *u, int after_stops)
{
  const struct sj_step *s = un_step (u);
  const struct rack *rack;

  if (s->data_rack)
    return rk_find (c, s->data_rack);
  if (u->count == 1 && (rack = rack_of_siblings (u)))
    return rack;
  return tightest_rack (c, u, after_stops);
}

static int
is_step_rack_bound (const struct sj_step *s)
{
  return s->data_rack || (s->one_rack && s->count > 1);
}

int
pl_is_rack_bound (const struct unit *u)
{
  return is_step_rack_bound (un_step (u));
}

int
pl_place (struct sj_cluster *c, struct unit *u, int after_stops,
          int allow_off_rack, struct worker **placement, int *off_rack)
{
  struct candidate *candidates
      = g_new (struct candidate, c->worker_list->len + 1);
  const struct rack *rack = NULL;
  int placed = 0;

  *off_rack = 0;
  if (is_step_rack_bound (un_step (u)))
    {
      rack = preferred_rack (c, u, after_stops);
      if (rack)
        placed
            = place_in_rack (c, u, after_stops, rack, candidates, placement);
      *off_rack
          = !placed || (!un_step (u)->data_rack && leaves_siblings_behind (u));
    }
  if (!placed && (!is_step_rack_bound (un_step (u)) || allow_off_rack))
    placed = place_in_rack (c, u, after_stops, NULL, candidates, placement);
  g_free (candidates);
  return placed;
}

/* Searches workers for U's step.  */
static void
begin_singles (struct sj_cluster *c, struct pl_singles *s, struct unit *u)
{
  int total;

  s->list = g_new (struct candidate, c->worker_list->len + 1);
  s->count = list_candidates (c, u, 0, NULL, s->list, &total);
  qsort (s->list, (size_t)s->count, sizeof *s->list, by_fit);
}

/* A worker that is filled is left for the next one.  A worker that only U
   avoids or may not share is kept for the others, and U is searched for by
   itself.  */
struct worker *
pl_next_single (struct sj_cluster *c, struct pl_singles *s, struct unit *u)
{
  if (u->count > 1 || is_step_rack_bound (un_step (u)))
    return NULL;
  if (!s->list)
    begin_singles (c, s, u);
  for (; s->next < s->count; s->next++)
    {
      struct worker *w = s->list[s->next].worker;

      if (is_avoided (u, w) || !su_may_share (c, u, w))
        return NULL;
      if (tasks_fitting_on (c, u, w, 0))
        return w;
    }
  return NULL;
}

void
pl_end_singles (struct pl_singles *s)
{
  g_free (s->list);
  s->list = NULL;
}

/* Tasks of U that fit on W when it is empty.  */
static int
tasks_if_empty (const struct sj_cluster *c, const struct unit *u,
                const struct worker *w)
{
  struct sj_resources need = nd_for_step (un_step (u));

  if (!pl_is_eligible (c, u, w))
    return 0;
  return nd_count_fitting (&need, &w->capacity, pl_max_per_worker (u));
}

/* Whether R would hold all of U if it were empty.  */
static int
can_hold (const struct sj_cluster *c, const struct unit *u,
          const struct rack *r)
{
  int n = 0;

  for (guint i = 0; i < r->workers->len && n < u->count; i++)
    n += tasks_if_empty (c, u, g_ptr_array_index (r->workers, i));
  return n >= u->count;
}

int
pl_rack_can_hold (const struct sj_cluster *c, const struct unit *u)
{
  GPtrArray *racks;
  int found = 0;

  if (!is_step_rack_bound (un_step (u)))
    return 1;
  racks = pl_candidate_racks (c, u);
  for (guint i = 0; i < racks->len && !found; i++)
    found = can_hold (c, u, g_ptr_array_index (racks, i));
  g_ptr_array_free (racks, TRUE);
  return found;
}

GPtrArray *
pl_candidate_racks (const struct sj_cluster *c, const struct unit *u)
{
  const char *data = un_step (u)->data_rack;
  GPtrArray *racks = g_ptr_array_new ();

  for (guint i = 0; i < c->rack_list->len && !data; i++)
    g_ptr_array_add (racks, g_ptr_array_index (c->rack_list, i));
  if (rk_find (c, data))
    g_ptr_array_add (racks, rk_find (c, data));
  return racks;
}

void
pl_reserve (const struct unit *u, struct worker **placement)
{
  struct sj_resources need = nd_for_step (un_step (u));

  for (int i = 0; i < u->count; i++)
    {
      nd_sub (&placement[i]->free_after_stops, &need);
      nd_sub (&placement[i]->free, &need);
    }
}
