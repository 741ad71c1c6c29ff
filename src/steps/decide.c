/* One round of decisions: what falls due, who comes first, what starts and
   what gives way.  */
#include <stdlib.h>
#include <string.h>

#include "steps/steps.h"

enum
{
  WATCH_MS = 120,        /* between two looks at the pace of all runs */
  ROUND_MS = 250,        /* longest time between two rounds */
  STOP_AGAIN_MS = 500,   /* a stop without an answer is sent again */
  FAR_URGENT_MS = 900,   /* an urgent unit waits for its rack so long */
  HEADROOM_PERCENT = 25, /* of the accelerators */
  HEADROOM_SAVING_PERCENT = 8,
  HEADROOM_MS = 20000,   /* a unit leaves room no longer */
  FAR_IDLE_MS = 1500,    /* any unit, while most of the room is free */
  KEEP_AFTER_MS = 30000, /* a tenth of what a gang that fits may wait */
  MAX_KEPT = 4           /* units that room is kept for in a round */
};

static void
begin_room (struct sj_cluster *c)
{
  for (guint i = 0; i < c->worker_list->len; i++)
    {
      struct worker *w = g_ptr_array_index (c->worker_list, i);

      w->free = w->capacity;
      nd_sub (&w->free, &w->used);
      w->soon = w->free;
      w->kept = (struct sj_need){ 0, 0, 0 };
      w->kept_ms = 0;
      for (guint k = 0; k < w->member->len; k++)
        {
          const struct member *m = g_ptr_array_index (w->member, k);
          struct sj_need need = nd_of_step (un_step (m->unit));

          if (m->state == MB_STOPPING)
            nd_add (&w->soon, &need);
        }
    }
}

static int
by_acceptance (const void *a, const void *b)
{
  const struct job *x = *(struct job *const *)a, *y = *(struct job *const *)b;

  if (x->accepted_ms != y->accepted_ms)
    return x->accepted_ms < y->accepted_ms ? -1 : 1;
  return strcmp (x->spec->id, y->spec->id);
}

/* An account's jobs of priority 0 lie within its guarantee in the order of
   their acceptance, as long as they fit into it together.  */
static void
rank_jobs (struct sj_cluster *c)
{
  GHashTable *used = g_hash_table_new (g_str_hash, g_str_equal);

  g_ptr_array_sort (c->job_list, by_acceptance);
  for (guint i = 0; i < c->job_list->len; i++)
    {
      struct job *j = g_ptr_array_index (c->job_list, i);
      const char *account = j->spec->account ? j->spec->account : "";
      gint64 sum, *guarantee;

      j->rank = RANK_URGENT + j->spec->priority;
      if (j->spec->priority || jb_ended (j))
        continue;
      sum = GPOINTER_TO_INT (g_hash_table_lookup (used, account))
            + j->accelerators;
      guarantee = g_hash_table_lookup (c->guarantee, account);
      if (!guarantee || sum > *guarantee)
        continue;
      j->rank = RANK_GUARANTEED;
      g_hash_table_insert (used, (gpointer)account,
                           GINT_TO_POINTER ((int)sum));
    }
  g_hash_table_destroy (used);
}

struct ready
{
  struct unit *unit;
  int64_t latest_ms; /* start by which its objective can be kept */
};

static int64_t
latest_start (const struct unit *u, int64_t wall_offset)
{
  const struct job *j = u->job;
  const struct sj_job *s = j->spec;
  int64_t base = j->accepted_ms;

  if (s->times)
    base = s->first_due_ms + u->occurrence * s->interval_ms - wall_offset;
  return base + (int64_t)(s->stretch * (double)j->chain_ms) + s->target_ms
         - un_step (u)->estimate_ms;
}

static int
by_urgency (const void *a, const void *b)
{
  const struct ready *x = a, *y = b;
  const struct unit *p = x->unit, *q = y->unit;
  int order;

  if (p->job->rank != q->job->rank)
    return p->job->rank - q->job->rank;
  if (x->latest_ms != y->latest_ms)
    return x->latest_ms < y->latest_ms ? -1 : 1;
  order = strcmp (p->job->spec->id, q->job->spec->id);
  if (order)
    return order;
  if (p->occurrence != q->occurrence)
    return p->occurrence - q->occurrence;
  return p->step != q->step ? p->step - q->step : p->first - q->first;
}

static GArray *
list_ready (struct sj_cluster *c, int64_t wall_offset)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (struct ready));

  for (guint i = 0; i < c->job_list->len; i++)
    {
      struct job *j = g_ptr_array_index (c->job_list, i);

      if (jb_ended (j))
        continue;
      for (guint k = 0; k < j->unit->len; k++)
        {
          struct unit *u = g_ptr_array_index (j->unit, k);
          struct ready r = { u, latest_start (u, wall_offset) };

          if (u->state == UN_READY)
            g_array_append_val (list, r);
        }
    }
  g_array_sort (list, by_urgency);
  return list;
}

/* Whether less than half of the accelerators and cores are taken.  */
static int
mostly_idle (const struct sj_cluster *c)
{
  int64_t used = 0, all = 0;

  for (guint i = 0; i < c->worker_list->len; i++)
    {
      const struct worker *w = g_ptr_array_index (c->worker_list, i);

      if (!wo_usable (c, w))
        continue;
      used += nd_weight (&w->used);
      all += nd_weight (&w->capacity);
    }
  return used * 2 < all;
}

/* A run away from its data takes far_factor times as long; waiting is
   better until it would take as long.  */
static int
may_go_far (const struct sj_cluster *c, const struct unit *u, int idle,
            int64_t now)
{
  int64_t waited = now - u->ready_ms;

  if (u->job->rank == RANK_GUARANTEED && waited >= FAR_URGENT_MS)
    return 1;
  if (idle && waited >= FAR_IDLE_MS)
    return 1;
  if (waited > un_step (u)->estimate_ms * (c->set.far_factor - 1))
    return 1;
  return !pl_rack_could (c, u);
}

static int
start_or_reserve (struct sj_cluster *c, struct unit *u, int far_ok,
                  int64_t now)
{
  struct worker **place = g_new (struct worker *, u->count);
  int far, placed = pl_place (c, u, 0, far_ok, place, &far);

  if (placed)
    {
      ru_plan (u, place, far, now);
      pl_reserve (u, place);
    }
  else if (u->job->rank <= RANK_BATCH
           && pl_place (c, u, 1, far_ok, place, &far))
    {
      pl_reserve (u, place);
      placed = 1;
    }
  else if (u->job->rank <= RANK_BATCH)
    placed = pr_make_room (c, u, far_ok, now);
  g_free (place);
  return placed;
}

/* Accelerators that no unit has been given, on workers in use.  */
static int64_t
idle_accelerators (const struct sj_cluster *c, int64_t *all)
{
  int64_t idle = 0;

  *all = 0;
  for (guint i = 0; i < c->worker_list->len; i++)
    {
      const struct worker *w = g_ptr_array_index (c->worker_list, i);

      if (!wo_usable (c, w))
        continue;
      *all += w->capacity.accelerators;
      if (w->free.accelerators > 0)
        idle += w->free.accelerators;
    }
  return idle;
}

/* Batch work whose stop would lose its work leaves room for urgent work that
   is still to come.  */
static int
must_leave_room (const struct unit *u, int64_t idle, int64_t all, int64_t now)
{
  const struct sj_step *s = un_step (u);
  int64_t need = s->need.accelerators * u->count;
  int percent = s->saves ? HEADROOM_SAVING_PERCENT : HEADROOM_PERCENT;

  if (u->job->rank < RANK_BATCH || now - u->ready_ms > HEADROOM_MS)
    return 0;
  /* What is too wide to leave that room ever starts on an idle fleet.  */
  if (need * 100 > all * (100 - percent) && idle * 2 > all)
    return 0;
  return (idle - need) * 100 < all * percent;
}

/* Tasks of the ready units of U's step, which stand together from I on.  */
static int
tasks_from (const GArray *ready, guint i)
{
  const struct unit *u = g_array_index (ready, struct ready, i).unit;
  int tasks = 0;

  for (; i < ready->len; i++)
    {
      const struct unit *other = g_array_index (ready, struct ready, i).unit;

      if (!un_same_step (u, other))
        break;
      tasks += other->state == UN_READY ? other->count : 0;
    }
  return u->count > 1 ? u->count : tasks;
}

static void
place_all (struct sj_cluster *c, int64_t now, int64_t wall_offset)
{
  GArray *ready = list_ready (c, wall_offset);
  const struct unit *blocked = NULL;
  int is_idle = mostly_idle (c), kept = 0;
  int64_t all, idle = idle_accelerators (c, &all);

  for (guint i = 0; i < ready->len; i++)
    {
      struct unit *u = g_array_index (ready, struct ready, i).unit;

      /* A victim of this round starts again in a later one.  */
      if (u->state != UN_READY || (blocked && un_same_step (blocked, u)))
        continue;
      if (must_leave_room (u, idle, all, now))
        {
          blocked = u;
          continue;
        }
      if (start_or_reserve (c, u, may_go_far (c, u, is_idle, now), now))
        idle = idle_accelerators (c, &all);
      else
        {
          blocked = u;
          if (now - u->ready_ms >= KEEP_AFTER_MS && kept < MAX_KEPT)
            kept += ke_keep (c, u, tasks_from (ready, i));
        }
    }
  g_array_free (ready, TRUE);
}

/* Stops that were not answered, or of members that a record named.  */
static void
push_stops (struct sj_cluster *c, struct unit *u, int64_t now)
{
  if (u->state != UN_ENDING && u->state != UN_DONE)
    return;
  for (int i = 0; u->member && i < u->count; i++)
    {
      struct member *m = &u->member[i];

      if (u->state == UN_ENDING
          && (m->state == MB_ORDERED || m->state == MB_RUNNING))
        ru_stop_member (c, m, now);
      else if (m->state == MB_STOPPING && now - m->stop_ms >= STOP_AGAIN_MS)
        {
          int taken = m->stop_taken;

          ru_stop_member (c, m, now);
          m->stop_taken = taken;
        }
    }
}

/* A run on a worker that leaves before it could end is moved at once: what
   it saves now is resumed elsewhere.  */
static void
leave_draining (struct sj_cluster *c, struct unit *u, int64_t now)
{
  if (u->state != UN_ACTIVE)
    return;
  for (int i = 0; i < u->count; i++)
    {
      const struct member *m = &u->member[i];
      int64_t left;

      if (m->state != MB_RUNNING || !m->worker->draining)
        continue;
      left = he_left_ms (un_step (u)->estimate_ms, m);
      if (!un_step (u)->lasts && now + left <= m->worker->drain_end_ms)
        continue;
      ru_abort (c, u, SJ_LEAVING, now);
      return;
    }
}

static int
takes_room (const struct unit *u)
{
  for (int i = 0; u->member && i < u->count; i++)
    if (u->member[i].state != MB_ENDED)
      return 1;
  return 0;
}

static void
collect_units (struct job *j)
{
  for (guint k = j->unit->len; k-- > 0;)
    {
      struct unit *u = g_ptr_array_index (j->unit, k);

      if ((u->state == UN_DONE || jb_ended (j)) && !takes_room (u))
        g_ptr_array_remove_index_fast (j->unit, k);
    }
}

static void
tend_jobs (struct sj_cluster *c, int64_t now, int64_t wall_ms)
{
  for (guint i = c->job_list->len; i-- > 0;)
    {
      struct job *j = g_ptr_array_index (c->job_list, i);

      if (!jb_ended (j))
        jb_open_due (c, j, now, wall_ms);
      for (guint k = 0; k < j->unit->len; k++)
        {
          leave_draining (c, g_ptr_array_index (j->unit, k), now);
          push_stops (c, g_ptr_array_index (j->unit, k), now);
        }
      collect_units (j);
      if (!jb_ended (j) || j->unit->len || j->dirty || j->in_commit)
        continue;
      g_ptr_array_remove_index_fast (c->job_list, i);
      g_hash_table_remove (c->jobs, j->spec->id);
    }
}

int64_t
sj_decide (struct sj_cluster *c, int64_t now, int64_t wall_ms)
{
  c->now = now;
  wo_collect (c);
  if (now - c->watched_ms >= WATCH_MS)
    {
      c->watched_ms = now;
      he_watch (c, now);
    }
  tend_jobs (c, now, wall_ms);
  if (!c->changed && now - c->decided_ms < ROUND_MS)
    return ROUND_MS - (now - c->decided_ms);
  c->changed = 0;
  c->decided_ms = now;
  rank_jobs (c);
  begin_room (c);
  place_all (c, now, wall_ms - now);
  return ROUND_MS;
}
