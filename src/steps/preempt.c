/* Preemption: stops work of lower rank so that a unit fits.  Victims are
   chosen by the least work lost; a gang is stopped as a whole.  */
#include <string.h>

#include "steps/state.h"

enum
{
  MAX_VICTIMS = 64, /* most units stopped for one unit */
  MAX_RACKS = 64    /* racks considered */
};

/* What U may lose at most for other work that it stops.  Beyond a guarantee a
   stop must not throw away more work than U is.  */
static int64_t
max_cost (const struct sj_cluster *c, const struct unit *u)
{
  const struct sj_step *s = un_step (u);

  if (!vi_avoids_stops (c) || u->job->rank == RANK_GUARANTEED)
    return INT64_MAX;
  return s->estimate_ms * u->count * (nd_weight (&s->need) + 1) / 1000;
}

static int
may_preempt (const struct sj_cluster *c, struct unit *victim,
             const struct unit *u)
{
  const struct sj_step *s = un_step (victim);

  if (victim->state != UN_ACTIVE || victim->job->rank <= u->job->rank
      || s->is_continuous)
    return 0;
  /* Guaranteed work may preempt anything of lower rank; other work only what
     resumes from checkpoints.  */
  if (u->job->rank == RANK_GUARANTEED)
    return 1;
  return s->checkpoints
         && !(vi_avoids_stops (c) && vi_is_nearly_done (c, victim, c->now));
}

/* Units to stop for one unit.  */
struct plan
{
  const struct sj_cluster *c;
  const struct unit *unit; /* that is to fit */
  struct unit *victim[MAX_VICTIMS];
  int victims;
  int serial; /* marks the victims */
  int64_t cost;
};

static int
is_victim (const struct plan *p, const struct unit *u)
{
  return u->victim_of == p->serial;
}

/* Free capacity of W for U after pending stops.  What is reserved for other
   units counts only if U ends before that begins, as in placement.c.  */
static struct sj_resources
free_after_stops (const struct sj_cluster *c, const struct unit *u,
                  const struct worker *w)
{
  struct sj_resources available = w->free_after_stops;

  if (vi_avoids_stops (c) && w->reserved_from_ms
      && c->now + un_step (u)->estimate_ms > w->reserved_from_ms)
    nd_sub (&available, &w->reserved);
  return available;
}

/* The same with the plan's victims.  */
static struct sj_resources
free_after (const struct plan *p, const struct worker *w)
{
  struct sj_resources available = free_after_stops (p->c, p->unit, w);

  for (guint i = 0; i < w->members->len; i++)
    {
      const struct member *m = g_ptr_array_index (w->members, i);
      struct sj_resources need = nd_for_step (un_step (m->unit));

      if (is_victim (p, m->unit))
        nd_add (&available, &need);
    }
  return available;
}

/* Further units to stop on one worker.  */
struct worker_plan
{
  struct unit *victim[MAX_VICTIMS];
  int victims, tasks; /* additional tasks that then fit */
  int64_t cost;
};

/* The cheapest unit on W to stop for U that is in neither plan, or NULL.  */
static struct unit *
cheapest_victim (const struct plan *p, const struct worker_plan *extra,
                 const struct unit *u, const struct worker *w, int64_t now)
{
  struct unit *best = NULL;
  int64_t least = 0;

  for (guint i = 0; i < w->members->len; i++)
    {
      const struct member *m = g_ptr_array_index (w->members, i);
      int excluded = is_victim (p, m->unit) || !may_preempt (p->c, m->unit, u);
      int64_t cost;

      for (int k = 0; k < extra->victims && !excluded; k++)
        excluded = extra->victim[k] == m->unit;
      if (excluded)
        continue;
      cost = vi_stop_cost (p->c, m->unit, now);
      if (!best || cost < least)
        {
          best = m->unit;
          least = cost;
        }
    }
  return best;
}

/* Adds to AVAILABLE what VICTIM occupies on W.  */
static void
add_freed_capacity (struct sj_resources *available, const struct worker *w,
                    const struct unit *victim)
{
  struct sj_resources need = nd_for_step (un_step (victim));

  for (guint i = 0; i < w->members->len; i++)
    {
      const struct member *m = g_ptr_array_index (w->members, i);

      if (m->unit == victim)
        nd_add (available, &need);
    }
}

/* Finds the cheapest victims on W that let at least one more task fit, at most
   LIMIT tasks in total.  Returns 0 if there are none.  */
static int
plan_worker (const struct plan *p, const struct unit *u, struct worker *w,
             int limit, struct worker_plan *extra, int64_t now)
{
  struct sj_resources need = nd_for_step (un_step (u)),
                      available = free_after (p, w);
  int fitting_now = nd_count_fitting (&need, &available, limit);

  *extra = (struct worker_plan){ 0 };
  while (extra->victims < MAX_VICTIMS
         && nd_count_fitting (&need, &available, limit) == fitting_now)
    {
      struct unit *victim = cheapest_victim (p, extra, u, w, now);

      if (!victim)
        return 0;
      extra->victim[extra->victims++] = victim;
      extra->cost += vi_stop_cost (p->c, victim, now);
      add_freed_capacity (&available, w, victim);
    }
  extra->tasks = nd_count_fitting (&need, &available, limit) - fitting_now;
  return extra->tasks > 0;
}

/* What one more stop on a worker would bring.  Kept for each worker, as a
   victim changes only the workers that it runs on.  */
struct estimate
{
  struct worker *worker;
  int fitting; /* tasks of the unit that fit under the plan */
  int tasks;   /* that fit besides after the cheapest stops; 0: none */
  int64_t cost;
};

static void
refresh (const struct plan *p, const struct unit *u, struct estimate *e,
         int64_t now)
{
  struct sj_resources need = nd_for_step (un_step (u)),
                      available = free_after (p, e->worker);
  int limit = pl_max_per_worker (u);
  struct worker_plan extra;

  e->fitting = nd_count_fitting (&need, &available, limit);
  e->tasks = 0;
  if (!plan_worker (p, u, e->worker, limit, &extra, now))
    return;
  e->tasks = extra.tasks;
  e->cost = extra.cost;
}

/* Capacity of W once everything that U may preempt is stopped.  */
static struct sj_resources
free_at_most (const struct sj_cluster *c, const struct unit *u,
              const struct worker *w)
{
  struct sj_resources available = free_after_stops (c, u, w);

  for (guint i = 0; i < w->members->len; i++)
    {
      const struct member *m = g_ptr_array_index (w->members, i);
      struct sj_resources need = nd_for_step (un_step (m->unit));

      if (may_preempt (c, m->unit, u))
        nd_add (&available, &need);
    }
  return available;
}

/* Whether U would fit in RACK (any if NULL) if everything that it may preempt
   were stopped.  */
static int
could_fit (const struct sj_cluster *c, const struct unit *u,
           const struct rack *rack)
{
  const GPtrArray *workers = rk_workers (c, rack);
  struct sj_resources need = nd_for_step (un_step (u));
  int n = 0;

  for (guint i = 0; i < workers->len && n < u->count; i++)
    {
      const struct worker *w = g_ptr_array_index (workers, i);
      struct sj_resources available = free_at_most (c, u, w);

      if (nd_fits (&need, &available) && pl_is_eligible (c, u, w))
        n += nd_count_fitting (&need, &available, pl_max_per_worker (u));
    }
  return n >= u->count;
}

/* Estimates for the eligible workers of RACK.  */
static GArray *
list_estimates (const struct sj_cluster *c, const struct plan *p,
                const struct unit *u, const struct rack *rack, int64_t now)
{
  const GPtrArray *workers = rk_workers (c, rack);
  GArray *list = g_array_sized_new (FALSE, FALSE, sizeof (struct estimate),
                                    workers->len);

  for (guint i = 0; i < workers->len; i++)
    {
      struct estimate e = { .worker = g_ptr_array_index (workers, i) };

      if (!pl_is_eligible (c, u, e.worker))
        continue;
      refresh (p, u, &e, now);
      e.worker->estimate = (int)list->len;
      g_array_append_val (list, e);
    }
  return list;
}

/* The worker with the least cost per additional task, or NULL.  *FITTING is
   set to the tasks that fit on all workers without it.  */
static struct estimate *
best_estimate (GArray *list, int *fitting)
{
  struct estimate *best = NULL;

  *fitting = 0;
  for (guint i = 0; i < list->len; i++)
    {
      struct estimate *e = &g_array_index (list, struct estimate, i);

      *fitting += e->fitting;
      if (e->tasks && (!best || e->cost * best->tasks < best->cost * e->tasks))
        best = e;
    }
  return best;
}

/* Adds VICTIM to P and refreshes the estimates of the workers that it runs
   on.  */
static void
add_victim (struct plan *p, const struct unit *u, struct unit *victim,
            GArray *list, int64_t now)
{
  p->victim[p->victims++] = victim;
  victim->victim_of = p->serial;
  for (int i = 0; i < victim->count; i++)
    {
      const struct worker *w = victim->members[i].worker;
      struct estimate *e;

      if (!w || (guint)w->estimate >= list->len)
        continue;
      e = &g_array_index (list, struct estimate, w->estimate);
      if (e->worker == w)
        refresh (p, u, e, now);
    }
}

/* Stops the cheapest victims until U fits, for less than LIMIT.  */
static int
choose_victims (struct plan *p, const struct unit *u, GArray *list,
                int64_t limit, int64_t now)
{
  struct worker_plan extra;
  struct estimate *e;
  int fitting;

  while ((e = best_estimate (list, &fitting), fitting < u->count))
    {
      if (!e || p->cost >= limit
          || !plan_worker (p, u, e->worker, pl_max_per_worker (u), &extra, now)
          || p->victims + extra.victims > MAX_VICTIMS)
        return 0;
      p->cost += extra.cost;
      for (int i = 0; i < extra.victims; i++)
        add_victim (p, u, extra.victim[i], list, now);
    }
  return p->cost < limit;
}

/* Plans victims so that U fits in RACK (any if NULL) for less than LIMIT.
   Returns 0 if there is no such plan.  */
static int
make_plan (struct sj_cluster *c, const struct unit *u, const struct rack *rack,
           int64_t limit, struct plan *p, int64_t now)
{
  GArray *list;
  int found;

  if (!could_fit (c, u, rack))
    return 0;
  *p = (struct plan){ .c = c, .unit = u, .serial = ++c->plan_serial };
  list = list_estimates (c, p, u, rack, now);
  found = choose_victims (p, u, list, limit, now);
  g_array_free (list, TRUE);
  return found;
}

/* The cheapest plan within a single rack; *RACKS is the number of racks that U
   may be bound to.  */
static int
best_rack_plan (struct sj_cluster *c, const struct unit *u, struct plan *best,
                guint *racks, int64_t now)
{
  GPtrArray *rack_list = pl_candidate_racks (c, u);
  struct plan p;
  int found = 0;

  for (guint i = 0; i < rack_list->len && i < MAX_RACKS; i++)
    if (make_plan (c, u, g_ptr_array_index (rack_list, i),
                   found ? best->cost : max_cost (c, u), &p, now))
      {
        *best = p;
        found = 1;
      }
  *racks = rack_list->len;
  g_ptr_array_free (rack_list, TRUE);
  return found;
}

static int
best_plan (struct sj_cluster *c, const struct unit *u, int allow_off_rack,
           struct plan *best, int64_t now)
{
  const struct sj_step *s = un_step (u);
  guint racks = 0;

  if ((s->data_rack || (s->one_rack && u->count > 1))
      && best_rack_plan (c, u, best, &racks, now))
    return 1;
  if (racks && !allow_off_rack)
    return 0;
  return make_plan (c, u, NULL, max_cost (c, u), best, now);
}

static void
stop_victim (struct sj_cluster *c, struct unit *victim, int64_t now)
{
  struct sj_resources need = nd_for_step (un_step (victim));

  for (int i = 0; i < victim->count; i++)
    if (victim->members[i].state != MB_ENDED)
      nd_add (&victim->members[i].worker->free_after_stops, &need);
  ru_abort (c, victim, SJ_PREEMPTED, now);
}

static void
note_plan (const struct sj_cluster *c, const struct plan *p,
           const char *reason, int64_t now)
{
  const struct unit *u = p->unit;
  struct sj_note note = { .kind = SJ_NOTE_PREEMPTED,
                          .u.preempted = { .job = u->job->spec->id,
                                           .tasks = u->count,
                                           .victims = p->victims,
                                           .waited_ms = now - u->ready_ms,
                                           .reason = reason } };

  for (int i = 0; i < p->victims; i++)
    {
      note.u.preempted.runs += p->victim[i]->count;
      note.u.preempted.lost_core_ms += vi_lost_core_ms (c, p->victim[i], now);
    }
  if (c->on_note)
    c->on_note (c->note_arg, &note);
}

int
pr_preempt_for (struct sj_cluster *c, struct unit *u, int allow_off_rack,
                const char *reason, int64_t now)
{
  struct worker **placement;
  struct plan p;
  int off_rack, placed;

  if (!best_plan (c, u, allow_off_rack, &p, now))
    return 0;
  c->preemptions++;
  note_plan (c, &p, reason, now);
  for (int i = 0; i < p.victims; i++)
    stop_victim (c, p.victim[i], now);
  placement = g_new (struct worker *, u->count);
  placed = pl_place (c, u, 1, allow_off_rack, placement, &off_rack);
  if (placed)
    pl_reserve (u, placement);
  g_free (placement);
  return placed;
}
