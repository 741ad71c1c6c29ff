/* Stops work of lower rank so that a unit fits.  Victims are chosen by the
   work that their stop loses; a gang stops whole.  */
#include <string.h>

#include "steps/steps.h"

enum
{
  RESTART_MS = 400, /* of work that any stop costs: stop and resume */
  MAX_VICTIMS = 64, /* units that may give way to one */
  MAX_RACKS = 64
};

/* Weight of the work that a stop of U throws away.  */
static int64_t
stop_cost (const struct unit *u, int64_t now)
{
  const struct sj_step *s = un_step (u);
  int64_t lost = RESTART_MS;

  if (!s->saves)
    lost += now - u->member[0].started_ms;
  return lost * u->count * (nd_weight (&s->need) + 1) / 1000;
}

static int
may_stop (const struct unit *victim, const struct unit *u)
{
  const struct sj_step *s = un_step (victim);

  if (victim->state != UN_ACTIVE || victim->job->rank <= u->job->rank
      || s->lasts)
    return 0;
  /* What is guaranteed takes all it needs; other work only what loses no
     work.  */
  return u->job->rank == RANK_GUARANTEED || s->saves;
}

struct plan
{
  struct unit *victim[MAX_VICTIMS];
  int victims;
  int64_t cost;
};

static int
is_chosen (const struct plan *p, const struct unit *u)
{
  for (int i = 0; i < p->victims; i++)
    if (p->victim[i] == u)
      return 1;
  return 0;
}

/* Room of W once the plan's victims have gone.  */
static struct sj_need
room_after (const struct plan *p, const struct worker *w)
{
  struct sj_need room = w->soon;

  for (guint i = 0; i < w->member->len; i++)
    {
      const struct member *m = g_ptr_array_index (w->member, i);
      struct sj_need need = nd_of_step (un_step (m->unit));

      if (is_chosen (p, m->unit))
        nd_add (&room, &need);
    }
  return room;
}

struct offer
{
  struct unit *victim[MAX_VICTIMS];
  int victims, tasks; /* more tasks that fit for these victims */
  int64_t cost;
};

static struct unit *
cheapest_there (const struct plan *p, const struct offer *o,
                const struct unit *u, const struct worker *w, int64_t now)
{
  struct unit *best = NULL;
  int64_t least = 0;

  for (guint i = 0; i < w->member->len; i++)
    {
      const struct member *m = g_ptr_array_index (w->member, i);
      int taken = is_chosen (p, m->unit) || !may_stop (m->unit, u);
      int64_t cost;

      for (int k = 0; k < o->victims && !taken; k++)
        taken = o->victim[k] == m->unit;
      if (taken)
        continue;
      cost = stop_cost (m->unit, now);
      if (!best || cost < least)
        {
          best = m->unit;
          least = cost;
        }
    }
  return best;
}

static void
take_room_of (struct sj_need *room, const struct worker *w,
              const struct unit *victim)
{
  struct sj_need need = nd_of_step (un_step (victim));

  for (guint i = 0; i < w->member->len; i++)
    {
      const struct member *m = g_ptr_array_index (w->member, i);

      if (m->unit == victim)
        nd_add (room, &need);
    }
}

/* The cheapest victims on W that make room for one task more.  */
static int
make_offer (const struct plan *p, const struct unit *u, struct worker *w,
            int limit, struct offer *o, int64_t now)
{
  struct sj_need need = nd_of_step (un_step (u)), room = room_after (p, w);
  int had = nd_times (&need, &room, limit);

  *o = (struct offer){ 0 };
  while (o->victims < MAX_VICTIMS && nd_times (&need, &room, limit) == had)
    {
      struct unit *victim = cheapest_there (p, o, u, w, now);

      if (!victim)
        return 0;
      o->victim[o->victims++] = victim;
      o->cost += stop_cost (victim, now);
      take_room_of (&room, w, victim);
    }
  o->tasks = nd_times (&need, &room, limit) - had;
  return o->tasks > 0;
}

static int
in_rack (const struct worker *w, const char *rack)
{
  return !rack || !g_strcmp0 (rack, w->rack);
}

static int
best_offer (struct sj_cluster *c, const struct plan *p, const struct unit *u,
            const char *rack, struct offer *best, int64_t now)
{
  int found = 0;

  for (guint i = 0; i < c->worker_list->len; i++)
    {
      struct worker *w = g_ptr_array_index (c->worker_list, i);
      struct offer o;

      if (!in_rack (w, rack) || !pl_allows (c, u, w)
          || !make_offer (p, u, w, pl_limit (u), &o, now))
        continue;
      if (!found || o.cost * best->tasks < best->cost * o.tasks)
        *best = o;
      found = 1;
    }
  return found;
}

static int
tasks_that_fit (struct sj_cluster *c, const struct plan *p,
                const struct unit *u, const char *rack)
{
  struct sj_need need = nd_of_step (un_step (u));
  int n = 0;

  for (guint i = 0; i < c->worker_list->len; i++)
    {
      struct worker *w = g_ptr_array_index (c->worker_list, i);
      struct sj_need room;

      if (!in_rack (w, rack) || !pl_allows (c, u, w))
        continue;
      room = room_after (p, w);
      n += nd_times (&need, &room, pl_limit (u));
    }
  return n;
}

static int
make_plan (struct sj_cluster *c, const struct unit *u, const char *rack,
           struct plan *p, int64_t now)
{
  struct offer o;

  *p = (struct plan){ 0 };
  while (tasks_that_fit (c, p, u, rack) < u->count)
    {
      if (!best_offer (c, p, u, rack, &o, now)
          || p->victims + o.victims > MAX_VICTIMS)
        return 0;
      for (int i = 0; i < o.victims; i++)
        p->victim[p->victims++] = o.victim[i];
      p->cost += o.cost;
    }
  return 1;
}

/* The cheapest plan within one rack; *RACKS is how many there are.  */
static int
best_rack_plan (struct sj_cluster *c, const struct unit *u, struct plan *best,
                guint *racks, int64_t now)
{
  GPtrArray *rack = pl_racks (c, u);
  struct plan p;
  int found = 0;

  for (guint i = 0; i < rack->len && i < MAX_RACKS; i++)
    if (make_plan (c, u, g_ptr_array_index (rack, i), &p, now)
        && (!found || p.cost < best->cost))
      {
        *best = p;
        found = 1;
      }
  *racks = rack->len;
  g_ptr_array_free (rack, TRUE);
  return found;
}

static int
best_plan (struct sj_cluster *c, const struct unit *u, int allow_far,
           struct plan *best, int64_t now)
{
  const struct sj_step *s = un_step (u);
  guint racks = 0;

  if ((s->data_rack || (s->one_rack && u->count > 1))
      && best_rack_plan (c, u, best, &racks, now))
    return 1;
  if (racks && !allow_far)
    return 0;
  return make_plan (c, u, NULL, best, now);
}

static void
stop_victim (struct sj_cluster *c, struct unit *victim, int64_t now)
{
  struct sj_need need = nd_of_step (un_step (victim));

  for (int i = 0; i < victim->count; i++)
    if (victim->member[i].state != MB_ENDED)
      nd_add (&victim->member[i].worker->soon, &need);
  ru_abort (c, victim, SJ_PREEMPTED, now);
}

int
pr_make_room (struct sj_cluster *c, struct unit *u, int allow_far, int64_t now)
{
  struct worker **place;
  struct plan p;
  int far, placed;

  if (!best_plan (c, u, allow_far, &p, now))
    return 0;
  for (int i = 0; i < p.victims; i++)
    stop_victim (c, p.victim[i], now);
  place = g_new (struct worker *, u->count);
  placed = pl_place (c, u, 1, allow_far, place, &far);
  if (placed)
    pl_reserve (u, place);
  g_free (place);
  return placed;
}
