/* The decision round: opens due occurrences, and starts, reserves for or
   preempts in favour of each waiting unit in the order of order.c.  */
#include <stdlib.h>
#include <string.h>

#include "skr/crash.h"
#include "steps/blocked.h"
#include "steps/order.h"

enum
{
  HEALTH_CHECK_MS = 120,    /* interval of the checks of all runs' pace */
  ROUND_MS = 250,           /* longest time between two decision rounds */
  STOP_RESEND_MS = 500,     /* time until an unanswered stop is sent again */
  OFF_RACK_URGENT_MS = 900, /* longest wait for the rack, guaranteed unit */
  /* The same in a mostly idle service, any unit, and of a task that lasts.  */
  OFF_RACK_IDLE_MS = 1500,
  RESERVE_AFTER_MS = 30000, /* a tenth of what a gang that fits may wait */
  MAX_RESERVATIONS = 4,     /* units with reserved capacity in one round */
  MAX_GANGS_HELPED = 1,     /* gangs at risk in one round */
  MAX_FAILED_ALONE = 16     /* units of a step that are tried in vain */
};

static void
update_usable (struct sj_cluster *c)
{
  for (guint i = 0; i < c->worker_list->len; i++)
    {
      struct worker *w = g_ptr_array_index (c->worker_list, i);

      w->usable = wo_usable (c, w);
    }
}

/* Computes each worker's free capacity, clears all reservations and counts the
   open orders.  */
static void
reset_free_capacity (struct sj_cluster *c)
{
  int starts = 0, stops = 0;

  for (guint i = 0; i < c->worker_list->len; i++)
    {
      struct worker *w = g_ptr_array_index (c->worker_list, i);

      w->free = w->capacity;
      nd_sub (&w->free, &w->used);
      w->free_after_stops = w->free;
      w->reserved = (struct sj_resources){ 0, 0, 0 };
      w->reserved_from_ms = 0;
      for (guint k = 0; k < w->members->len; k++)
        {
          const struct member *m = g_ptr_array_index (w->members, k);
          struct sj_resources need = nd_for_step (un_step (m->unit));

          if (m->state == MB_STOPPING && !vi_is_overdue (c, m))
            nd_add (&w->free_after_stops, &need);
          starts += !m->from_record
                    && (m->state == MB_PLANNED || m->state == MB_STARTING);
          stops += m->stop_pending;
        }
    }
  c->open_orders = starts + MIN (stops, c->max_orders / 2);
}

/* Weighted accelerators and cores of a service's usable workers.  */
struct service_load
{
  const char *service; /* interned */
  int64_t used, all;
};

static struct service_load *
find_load (GArray *loads, const char *service)
{
  for (guint i = 0; i < loads->len; i++)
    if (g_array_index (loads, struct service_load, i).service == service)
      return &g_array_index (loads, struct service_load, i);
  return NULL;
}

/* The loads of all services, which the caller frees.  */
static GArray *
list_loads (const struct sj_cluster *c)
{
  GArray *loads = g_array_new (FALSE, FALSE, sizeof (struct service_load));

  for (guint i = 0; i < c->worker_list->len; i++)
    {
      const struct worker *w = g_ptr_array_index (c->worker_list, i);
      struct service_load *l;

      if (!w->usable)
        continue;
      l = find_load (loads, w->service);
      if (!l)
        {
          struct service_load new_load = { .service = w->service };

          g_array_append_val (loads, new_load);
          l = find_load (loads, w->service);
        }
      l->used += nd_weight (&w->used);
      l->all += nd_weight (&w->capacity);
    }
  return loads;
}

/* Whether less than half of SERVICE is in use.  */
static int
is_mostly_idle (GArray *loads, const char *service)
{
  const struct service_load *l = find_load (loads, service);

  return l && l->used * 2 < l->all;
}

/* Whether U may run outside its preferred rack.  Such a run takes longer
   by the configured factor, so waiting for the rack is better until the wait
   reaches the extra run time.  */
static int
may_leave_rack (const struct sj_cluster *c, const struct unit *u, int idle,
                int64_t now)
{
  int64_t waited = now - u->ready_ms;

  if (u->job->rank == RANK_GUARANTEED && waited >= OFF_RACK_URGENT_MS)
    return 1;
  if ((idle || un_step (u)->is_continuous) && waited >= OFF_RACK_IDLE_MS)
    return 1;
  if (waited > un_step (u)->estimate_ms * (c->settings.off_rack_factor - 1))
    return 1;
  return !pl_rack_can_hold (c, u);
}

/* Starts U or reserves capacity that pending stops will free.  Returns 1 if
   one of these succeeded.  */
static int
start_or_reserve (struct sj_cluster *c, struct unit *u, int off_rack_ok,
                  int64_t now)
{
  struct worker **placement = g_new (struct worker *, u->count);
  int off_rack, placed = pl_place (c, u, 0, off_rack_ok, placement, &off_rack);

  if (placed && sd_should_wait (c, u, placement))
    {
      /* Others may take the slow workers.  */
      *c->kept_apart = 1;
      placed = 0;
    }
  else if (placed)
    {
      ru_plan (u, placement, off_rack, now);
      pl_reserve (u, placement);
      c->open_orders += u->count;
    }
  else if (u->job->rank <= RANK_BATCH
           && pl_place (c, u, 1, off_rack_ok, placement, &off_rack))
    {
      pl_reserve (u, placement);
      placed = 1;
    }
  g_free (placement);
  return placed;
}

/* Number of tasks of R that wait from unit U on: those of a gang, or of the
   step's waiting units.  */
static int
waiting_tasks (const struct ready_step *r, const struct unit *u)
{
  int tasks = 0, reached = 0;

  if (u->count > 1)
    return u->count;
  for (guint i = r->first; i < r->end; i++)
    {
      reached |= jb_unit (r->job, i) == u;
      if (reached && jb_unit (r->job, i)->state == UN_READY)
        tasks += jb_unit (r->job, i)->count;
    }
  return tasks;
}

/* A round's state.  */
struct round
{
  GArray *loads; /* of the services, as of its begin */
  int is_idle;   /* the service of the step in work is mostly idle */
  int reservations;
  int waits;               /* units that may wait for capacity */
  int64_t latest_start_ms; /* of the step in work */
  int gangs_at_risk;       /* that were helped */
  int kept_back;           /* a step that may be late leaves headroom */
  int unplaced;            /* steps that did not start for want of capacity */
  struct hd_round headroom;
  struct bl_list blocked;    /* units that fit nowhere */
  struct bl_list no_plan;    /* units that no stops make room for */
  struct pl_singles singles; /* where the single tasks of a step go */
};

/* Stops other work for U if U may not wait for capacity.  Returns 1 if U fits
   then.  */
static int
preempt_for (struct sj_cluster *c, struct round *r, struct unit *u,
             int allow_off_rack, int64_t now)
{
  const char *reason;

  if (u->job->rank > RANK_BATCH
      || bl_covers (&r->no_plan, c, u, allow_off_rack)
      || wt_choose (c, u, allow_off_rack, r->latest_start_ms, &r->waits,
                    &reason, now)
             != WT_STOP)
    return 0;
  if (pr_preempt_for (c, u, allow_off_rack, reason, now))
    return 1;
  if (!*c->kept_apart)
    bl_add (&r->no_plan, u, allow_off_rack, r->reservations + r->waits);
  return 0;
}

/* Starts U, reserves capacity for it or preempts other work for it.  Returns 1
   if one of these succeeded.  */
static int
place_unit (struct sj_cluster *c, struct round *r, struct unit *u, int64_t now)
{
  int allow_off_rack = may_leave_rack (c, u, r->is_idle, now);
  struct worker *w;

  if (bl_covers (&r->blocked, c, u, allow_off_rack))
    {
      /* The unit that failed may have waited, and this one may not.  */
      if (!vi_avoids_stops (c) || !preempt_for (c, r, u, allow_off_rack, now))
        return 0;
      hd_count (c, &r->headroom);
      return 1;
    }
  w = pl_next_single (c, &r->singles, u);
  if (w)
    {
      hd_leave (&r->headroom, w);
      ru_plan (u, &w, 0, now);
      pl_reserve (u, &w);
      c->open_orders++;
      hd_return (&r->headroom, w);
      return 1;
    }
  c->searches++;
  *c->kept_apart = 0;
  if (!start_or_reserve (c, u, allow_off_rack, now)
      && !preempt_for (c, r, u, allow_off_rack, now))
    {
      /* The failure of a unit that is kept from workers tells nothing about
         others.  */
      if (!*c->kept_apart)
        bl_add (&r->blocked, u, allow_off_rack, r->reservations + r->waits);
      return 0;
    }
  hd_count (c, &r->headroom);
  return 1;
}

/* Whether U is a gang that other accounts' work would make late.  Narrow tasks
   take each place that becomes free, so the order alone does not help it: it
   may use the headroom, and capacity is reserved for it at once.  A round
   helps one, as it costs a search and a plan to preempt.  Not urgent work: it
   stops other work, and would stop it again and again for places that are
   reserved for others.
 */
static int
is_gang_at_risk (struct round *r, const struct ready_step *s,
                 const struct unit *u)
{
  return u->job->rank >= RANK_BATCH && s->request.is_at_risk && u->count > 1
         && r->gangs_at_risk++ < MAX_GANGS_HELPED;
}

/* Whether S leaves the capacity to a step that it was moved behind and that
   waits for headroom.  Otherwise S would take it once S has waited long enough
   to ignore the headroom.  Tasks that last wait for no headroom.  */
static int
gives_way (const struct round *r, const struct ready_step *s)
{
  return s->ahead && r->kept_back && !un_step (s->unit)->is_continuous;
}

static int
may_order (const struct sj_cluster *c)
{
  return !c->max_orders || c->open_orders < c->max_orders;
}

/* Whether the failure of U tells nothing about the other units of its step,
   which last: it is kept from workers that they may use.  */
static int
fails_alone (const struct sj_cluster *c, const struct unit *u)
{
  return un_step (u)->is_continuous && (u->avoided_workers || *c->kept_apart);
}

/* Tries to start the units of one step.  Once a unit can't start, the rest of
   its step is skipped in this round, unless it lasts.  */
static void
place_step (struct sj_cluster *c, struct round *r, const struct ready_step *s,
            int64_t now)
{
  int failed = 0;

  r->singles = (struct pl_singles){ 0 };
  r->latest_start_ms = s->latest_start_ms;
  r->is_idle = is_mostly_idle (r->loads, s->job->service);
  for (guint i = s->first; i < s->end && !jb_ended (s->job) && may_order (c)
                           && ad_may_plan (s->job);
       i++)
    {
      struct unit *u = jb_unit (s->job, i);
      int helped;

      /* A unit preempted in this round is considered again in a later one.  */
      un_set_subject (u, u->first);
      if (u->state != UN_READY || now < u->not_before_ms || !su_may_start (u)
          || lo_give_up_if_spent (c, u, now))
        continue;
      ru_end_avoidance (c, u, now);
      helped = is_gang_at_risk (r, s, u);
      if ((!helped && hd_must_wait (&r->headroom, u, now)) || gives_way (r, s))
        {
          r->unplaced++;
          r->kept_back |= s->request.is_at_risk;
          break;
        }
      if (place_unit (c, r, u, now))
        {
          as_started (c, s, u, now);
          continue;
        }
      if (!failed++)
        {
          r->unplaced++;
          if ((now - u->ready_ms >= RESERVE_AFTER_MS || helped)
              && pt_is_on (c, SJ_PART_RESERVATIONS)
              && r->reservations < MAX_RESERVATIONS)
            r->reservations += rs_reserve (c, u, waiting_tasks (s, u));
        }
      if (failed == MAX_FAILED_ALONE || !fails_alone (c, u))
        break;
    }
  pl_end_singles (&r->singles);
}

/* Tries to start all waiting units in order of urgency.  */
static void
place_all (struct sj_cluster *c, int64_t now, int64_t wall_offset)
{
  GArray *ready = or_list_ready (c, now, wall_offset);
  struct round r = { .loads = list_loads (c) };

  c->searches = 0;
  hd_begin (c, &r.headroom, now);
  bl_clear (&r.blocked, c);
  bl_clear (&r.no_plan, c);
  for (guint i = 0; i < ready->len && may_order (c); i++)
    place_step (c, &r, &g_array_index (ready, struct ready_step, i), now);
  hd_end (c, &r.headroom, now);
  as_end_round (c, ready, r.unplaced, now);
  g_array_free (r.loads, TRUE);
  g_array_free (ready, TRUE);
}

/* Sends stops that are still due: to members of an aborted run restored from a
   record, and again to those that have not ended in time.  */
static void
resend_stops (struct sj_cluster *c, struct unit *u, int64_t now)
{
  if (u->state != UN_STOPPING && u->state != UN_DONE)
    return;
  vi_note_overdue (c, u);
  for (int i = 0; u->members && i < u->count; i++)
    {
      struct member *m = &u->members[i];

      if (u->state == UN_STOPPING
          && (m->state == MB_STARTING || m->state == MB_RUNNING))
        ru_stop_member (c, m, now);
      else if (m->state == MB_STOPPING && !m->stop_pending
               && now - m->stop_sent_ms >= STOP_RESEND_MS)
        {
          int acked = m->stop_acked;

          ru_stop_member (c, m, now);
          m->stop_acked = acked;
        }
    }
}

/* Aborts U's run if a draining worker would be removed before it finishes, so
   that its checkpoint is resumed elsewhere.  */
static void
abort_if_drain_too_short (struct sj_cluster *c, struct unit *u, int64_t now)
{
  if (u->state != UN_ACTIVE)
    return;
  for (int i = 0; i < u->count; i++)
    {
      const struct member *m = &u->members[i];
      int64_t remaining_ms;

      if (m->state != MB_RUNNING || !m->worker->draining)
        continue;
      remaining_ms = sd_is_active (c)
                         ? he_expected_remaining_ms (c, m)
                         : he_remaining_ms (un_step (u)->estimate_ms, m);
      if (!un_step (u)->is_continuous
          && now + remaining_ms <= m->worker->drain_end_ms)
        continue;
      ru_abort (c, u, SJ_DRAINING, now);
      return;
    }
}

static int
occupies_capacity (const struct unit *u)
{
  for (int i = 0; u->members && i < u->count; i++)
    if (u->members[i].state != MB_ENDED)
      return 1;
  return 0;
}

/* Frees J's done units whose members have all ended.  */
static void
remove_finished_units (struct job *j)
{
  for (guint k = j->units->len; k-- > 0;)
    {
      struct unit *u = g_ptr_array_index (j->units, k);

      if ((u->state == UN_DONE || jb_ended (j)) && !occupies_capacity (u))
        g_ptr_array_remove_index (j->units, k);
    }
}

/* Opens due occurrences, handles draining workers and pending stops, and
   frees ended jobs whose final record is stored.  */
static void
update_jobs (struct sj_cluster *c, int64_t now, int64_t wall_ms)
{
  for (guint i = c->job_list->len; i-- > 0;)
    {
      struct job *j = g_ptr_array_index (c->job_list, i);

      cr_set_job (j->spec->id);
      if (!jb_ended (j) && !j->aside)
        jb_open_due_occurrences (c, j, now, wall_ms);
      for (guint k = 0; k < j->units->len; k++)
        {
          abort_if_drain_too_short (c, g_ptr_array_index (j->units, k), now);
          resend_stops (c, g_ptr_array_index (j->units, k), now);
        }
      remove_finished_units (j);
      if (!jb_ended (j) || j->units->len || j->dirty || j->in_commit)
        continue;
      cr_clear ();
      g_ptr_array_remove_index_fast (c->job_list, i);
      g_hash_table_remove (c->jobs, j->spec->id);
    }
}

void
sj_hold_starts (struct sj_cluster *c, int held)
{
  c->changed |= c->starts_held != held;
  if (held && !c->starts_held)
    c->hold_start_ms = c->now;
  if (c->starts_held && !held)
    c->held_ms += c->now - c->hold_start_ms;
  c->starts_held = held;
}

void
sj_limit_orders (struct sj_cluster *c, int max)
{
  c->max_orders = max;
}

int64_t
sj_decide (struct sj_cluster *c, int64_t now, int64_t wall_ms)
{
  c->now = now;
  wo_remove_expired (c);
  if (now - c->health_checked_ms >= HEALTH_CHECK_MS)
    {
      c->health_checked_ms = now;
      update_usable (c);
      he_check_runs (c, now);
      lo_settle_old_losses (c);
    }
  update_jobs (c, now, wall_ms);
  cr_clear ();
  if (!c->changed && now - c->decided_ms < ROUND_MS)
    return ROUND_MS - (now - c->decided_ms);
  c->changed = 0;
  c->decided_ms = now;
  c->rounds++;
  or_rank_jobs (c);
  update_usable (c);
  reset_free_capacity (c);
  su_count_suspects (c);
  if (!c->starts_held)
    place_all (c, now, wall_ms - now);
  cr_clear ();
  return ROUND_MS;
}
