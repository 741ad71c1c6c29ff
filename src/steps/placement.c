/* Placement of units.  Workers are chosen best-fit by free accelerators, to
   limit fragmentation; a gang bound to a rack takes the rack with the least
   free capacity that holds it.  With the learned speeds, the speed class comes
   first: urgent work takes fast workers, other work slow ones, and a gang,
   which is as slow as its slowest worker, takes workers of one class.  */
#include <string.h>

#include "steps/state.h"

struct candidate
{
  struct worker *worker;
  int tasks; /* tasks of the unit that fit */
  int is_slow, is_cold;
  int order;    /* by speed class; the lowest first */
  int stranded; /* by the unit, in steps of STRANDED_STEP; the least first */
  int64_t accelerators, memory_mb; /* free when it was listed */
};

/* Speed classes as the choice of workers sees them, the fastest first.  A
   worker of unknown speed is more likely fast than slow.  */
enum
{
  LEVELS = 4,
  MIXED = LEVELS,    /* grade of a batch gang on workers of several classes */
  COLD = 2 * LEVELS, /* added to the grade of a rack with cold workers */
  /* Workers that the unit leaves with a similar imbalance are chosen by best
     fit.  */
  STRANDED_STEP = 250,
  ACCELERATOR_WEIGHT = 2, /* of stranded accelerators, against the others */
  /* Longest wait of a task that lasts, and has run, for capacity that is free
     and reserved for others.  */
  RESERVED_WAIT_MS = 2000
};

static int
level_of (const struct sj_cluster *c, const struct worker *w)
{
  switch (sd_class (c, w))
    {
    case SP_FAST:
      return 0;
    case SP_MEDIUM:
      return 2;
    case SP_SLOW:
      return 3;
    case SP_UNKNOWN:
    case SP_CLASSES:
      break;
    }
  return 1;
}

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

  return w->usable && w->service == u->job->service
         && (!s->label || has_label (w, s->label)) && !is_avoided (u, w)
         && su_may_share (c, u, w);
}

int
pl_has_other_worker (const struct sj_cluster *c, const struct unit *u)
{
  const struct sj_step *s = un_step (u);
  struct sj_resources need = nd_for_step (s);

  for (guint i = 0; i < c->worker_list->len; i++)
    {
      const struct worker *w = g_ptr_array_index (c->worker_list, i);

      if (w->listed && !w->draining && !w->domain_closed
          && w->service == u->job->service
          && (!s->label || has_label (w, s->label))
          && nd_fits (&need, &w->capacity) && !is_avoided (u, w))
        return 1;
    }
  return 0;
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

int
pl_uses_reserved (const struct unit *u)
{
  return un_step (u)->is_continuous && u->run_number > 0
         && u->job->cluster->now - u->ready_ms >= RESERVED_WAIT_MS;
}

/* Tasks of U that fit on W now or AFTER_STOPS.  Reserved capacity counts only
   if U ends before the reservation begins.  */
static int
tasks_fitting_on (const struct sj_cluster *c, const struct unit *u,
                  const struct worker *w, int after_stops)
{
  struct sj_resources need = nd_for_step (un_step (u));
  struct sj_resources available = after_stops ? w->free_after_stops : w->free;

  /* First, as most workers of a full fleet fail it.  */
  if (!nd_fits (&need, &available) || !pl_is_eligible (c, u, w)
      || conflicts_with_latency (u, w))
    return 0;
  if (w->reserved_from_ms && !pl_uses_reserved (u)
      && c->now + sd_run_on_ms (c, u, w) > w->reserved_from_ms)
    nd_sub (&available, &w->reserved);
  return nd_count_fitting (&need, &available, remaining_per_worker (u, w));
}

/* Share of what is free on a worker of CAPACITY that a task which needs all
   resources in equal shares can't use, in thousandths of the worker.  */
static int
stranded (const struct sj_resources *available,
          const struct sj_resources *capacity)
{
  int64_t cpu = available->cpu_milli * 1000 / MAX (capacity->cpu_milli, 1);
  int64_t memory = available->memory_mb * 1000 / MAX (capacity->memory_mb, 1);
  int64_t accelerators
      = available->accelerators * 1000 / MAX (capacity->accelerators, 1);
  int64_t usable = MIN (cpu, memory);

  if (capacity->accelerators)
    usable = MIN (usable, accelerators);
  usable = MAX (usable, 0);
  return (int)(cpu + memory - 2 * usable
               + MAX (accelerators - usable, 0) * ACCELERATOR_WEIGHT);
}

/* By how much a task of U increases what is stranded on W.  */
static int
stranded_by (const struct sj_cluster *c, const struct unit *u,
             const struct worker *w, int after_stops)
{
  struct sj_resources need = nd_for_step (un_step (u));
  struct sj_resources available = after_stops ? w->free_after_stops : w->free;
  int before;

  if (!sd_is_active (c))
    return 0;
  before = stranded (&available, &w->capacity);
  nd_sub (&available, &need);
  return (stranded (&available, &w->capacity) - before) / STRANDED_STEP;
}

/* Best first: warm, not slow, of the preferred class, with the least capacity
   stranded, then with the least free capacity.  */
static int
by_fit (const struct candidate *p, const struct candidate *q)
{
  if (p->is_cold != q->is_cold)
    return p->is_cold - q->is_cold;
  if (p->is_slow != q->is_slow)
    return p->is_slow - q->is_slow;
  if (p->order != q->order)
    return p->order - q->order;
  if (p->stranded != q->stranded)
    return p->stranded - q->stranded;
  if (p->accelerators != q->accelerators)
    return p->accelerators < q->accelerators ? -1 : 1;
  if (p->memory_mb != q->memory_mb)
    return p->memory_mb < q->memory_mb ? -1 : 1;
  return strcmp (p->worker->id, q->worker->id);
}

/* Moves the candidate at AT of the heap down to its place.  */
static void
sift_down (struct candidate *heap, int n, int at)
{
  struct candidate moved = heap[at];

  for (int child; (child = 2 * at + 1) < n; at = child)
    {
      if (child + 1 < n && by_fit (&heap[child + 1], &heap[child]) < 0)
        child++;
      if (by_fit (&moved, &heap[child]) <= 0)
        break;
      heap[at] = heap[child];
    }
  heap[at] = moved;
}

/* Makes a heap of the N candidates, the best at 0.  Few of them are used, so
   that sorting all would take longer than the rest of a search.  */
static void
make_heap (struct candidate *list, int n)
{
  for (int i = n / 2; i-- > 0;)
    sift_down (list, n, i);
}

/* Removes the best of the N candidates and returns how many are left.  */
static int
pop_heap (struct candidate *heap, int n)
{
  heap[0] = heap[--n];
  if (n > 1)
    sift_down (heap, n, 0);
  return n;
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
      out[n++] = (struct candidate){ .worker = w,
                                     .tasks = tasks,
                                     .accelerators = w->free.accelerators,
                                     .memory_mb = w->free.memory_mb,
                                     .is_slow = he_is_slow_worker (c, w),
                                     .is_cold = wo_is_cold (c, w),
                                     .stranded
                                     = stranded_by (c, u, w, after_stops) };
      *total += tasks;
    }
  return n;
}

/* The slowest level that U should use, of workers that fit TASKS tasks by
   level.  *GRADE is set to how good that is, 0 the best.  */
static int
choose_level (const struct unit *u, int wants_fast, const int *tasks,
              int *grade)
{
  int sum = 0;

  if (wants_fast)
    {
      for (*grade = 0; *grade < LEVELS - 1; ++*grade)
        if ((sum += tasks[*grade]) >= u->count)
          break;
      return *grade;
    }
  for (int level = LEVELS - 1; level >= 0; level--)
    if (tasks[level] >= u->count)
      {
        *grade = LEVELS - 1 - level;
        return level;
      }
  *grade = MIXED;
  return LEVELS - 1;
}

/* Sets the order by speed of the N candidates for U.  A single task takes the
   fastest or the slowest.  A gang that needs a slower worker is as slow as
   that, and leaves the faster ones to others.  */
static void
order_by_speed (const struct sj_cluster *c, const struct unit *u,
                struct candidate *list, int n)
{
  int tasks[LEVELS] = { 0 }, level, grade;

  if (!sd_is_active (c))
    return;
  for (int i = 0; i < n; i++)
    tasks[level_of (c, list[i].worker)] += list[i].tasks;
  level = choose_level (u, sd_wants_fast (c, u), tasks, &grade);
  for (int i = 0; i < n; i++)
    {
      int at = level_of (c, list[i].worker);

      list[i].order = at <= level ? level - at : LEVELS + at;
    }
}

/* Fills PLACEMENT from the N candidates, best first.  Returns 1 if all of U
   fits.  */
static int
assign_tasks (const struct unit *u, struct candidate *candidates, int n,
              struct worker **placement)
{
  int k = 0;

  make_heap (candidates, n);
  for (; n && k < u->count; n = pop_heap (candidates, n))
    for (int t = 0; t < candidates[0].tasks && k < u->count; t++)
      placement[k++] = candidates[0].worker;
  return k == u->count;
}

static int
place_in_rack (struct sj_cluster *c, struct unit *u, int after_stops,
               const struct rack *rack, struct candidate *candidates,
               struct worker **placement)
{
  int total, n = list_candidates (c, u, after_stops, rack, candidates, &total);

  if (total < u->count)
    return 0;
  order_by_speed (c, u, candidates, n);
  return assign_tasks (u, candidates, n, placement);
}

/* Tasks of U that fit in R.  *GRADE is set as by choose_level, to 0 without
   speeds, and is higher by COLD if U needs cold workers there.  */
static int
tasks_fitting_in (const struct sj_cluster *c, const struct unit *u,
                  const struct rack *r, int after_stops, int wants_fast,
                  int *grade)
{
  int by_level[LEVELS] = { 0 }, n = 0, cold = 0;

  for (guint i = 0; i < r->workers->len; i++)
    {
      const struct worker *w = g_ptr_array_index (r->workers, i);
      int tasks = tasks_fitting_on (c, u, w, after_stops);

      cold += wo_is_cold (c, w) ? tasks : 0;
      by_level[level_of (c, w)] += tasks;
      n += tasks;
    }
  *grade = 0;
  if (sd_is_active (c) && n >= u->count)
    choose_level (u, wants_fast, by_level, grade);
  if (n - cold < u->count)
    *grade += COLD;
  return n;
}

/* The rack that holds U on warm workers, if possible, of the preferred speed
   and with the least capacity to spare, or NULL.  */
static const struct rack *
tightest_rack (struct sj_cluster *c, const struct unit *u, int after_stops)
{
  const struct rack *best = NULL;
  int least = 0, best_grade = 0;
  int wants_fast = sd_is_active (c) && sd_wants_fast (c, u);

  for (guint i = 0; i < c->rack_list->len; i++)
    {
      const struct rack *r = g_ptr_array_index (c->rack_list, i);
      int grade,
          n = tasks_fitting_in (c, u, r, after_stops, wants_fast, &grade);

      if (n < u->count || (best && grade > best_grade))
        continue;
      if (!best || grade < best_grade || n < least
          || (n == least && strcmp (r->name, best->name) < 0))
        {
          best = r;
          least = n;
          best_grade = grade;
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
      const struct member *m = un_first_member (other);

      if (m && other != u && un_same_step (other, u)
          && !m->worker->domain_closed)
        return m->worker->rack;
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
      const struct member *m = un_first_member (other);

      if (m && other != u && un_same_step (other, u)
          && m->worker->domain_closed)
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
  order_by_speed (c, u, s->list, s->count);
  make_heap (s->list, s->count);
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
  for (; s->count; s->count = pop_heap (s->list, s->count))
    {
      struct worker *w = s->list[0].worker;

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
