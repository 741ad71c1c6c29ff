/* Capacity that batch work leaves free for urgent work yet to come: by the
   forecast of urgent demand, or by constant shares of the accelerators.  */
#include <stdlib.h>

#include "steps/state.h"

enum
{
  /* Share of the accelerators that batch units leave free for urgent work,
     without and with checkpoints.  */
  HEADROOM_PERCENT = 25,
  HEADROOM_CHECKPOINTING_PERCENT = 8,
  HEADROOM_WAIT_MS = 20000, /* a unit that waits longer ignores the headroom */
  GROWTH_WAIT_MS = 40000,   /* and the expected growth of urgent demand */
  NOTE_MS = 1000,           /* least time between two notes of a change */
  NOTE_PERCENT = 25         /* least change that is noted */
};

/* Arrivals above the expected number that still find a place, in standard
   deviations, beside work without and with checkpoints.  Stopping the former
   loses all of its progress.  */
static const double deviations[] = { 3, 2 };

static void
begin_forecast (struct sj_cluster *c, int64_t now)
{
  if (c->headroom.has_begun)
    return;
  c->headroom.has_begun = 1;
  hr_init (&c->forecast, now);
}

/* Only the steps that start at once are demand of that moment.  */
void
hd_add_job (struct sj_cluster *c, const struct job *j, int64_t now)
{
  begin_forecast (c, now);
  for (int i = 0; i < j->spec->step_count; i++)
    {
      const struct sj_step *s = &j->spec->step[i];
      struct sj_resources need = nd_for_step (s);
      struct hr_need n = { need.cpu_milli, need.memory_mb, need.accelerators };

      if (s->depends_on || s->is_continuous || j->spec->occurrences)
        continue;
      if (j->spec->priority)
        hr_add_batch (&c->forecast, s->estimate_ms);
      else
        hr_add_urgent (&c->forecast, &n, s->count, s->estimate_ms,
                       j->accepted_ms, now);
    }
}

/* Adds SIGN times what W has free for each shape.  */
static void
count_fitting (struct hd_round *h, const struct worker *w, int sign)
{
  for (int i = 0; i < HR_SHAPES; i++)
    {
      struct sj_resources need
          = { h->keep[0].need[i].cpu_milli, h->keep[0].need[i].memory_mb,
              h->keep[0].need[i].accelerators };

      if (h->keep[0].tasks[i])
        h->fitting[i]
            += sign * nd_count_fitting (&need, &w->free, h->keep[0].tasks[i]);
    }
}

static void
count_worker (struct hd_round *h, const struct worker *w, int sign)
{
  if (w->free.accelerators > 0)
    h->idle += sign * w->free.accelerators;
  if (h->is_forecast)
    count_fitting (h, w, sign);
}

void
hd_leave (struct hd_round *h, const struct worker *w)
{
  count_worker (h, w, -1);
}

void
hd_return (struct hd_round *h, const struct worker *w)
{
  count_worker (h, w, 1);
}

void
hd_count (const struct sj_cluster *c, struct hd_round *h)
{
  h->idle = h->all = 0;
  for (int i = 0; i < HR_SHAPES; i++)
    h->fitting[i] = 0;
  for (guint i = 0; i < c->worker_list->len; i++)
    {
      const struct worker *w = g_ptr_array_index (c->worker_list, i);

      if (!w->usable)
        continue;
      h->all += w->capacity.accelerators;
      count_worker (h, w, 1);
    }
}

static int64_t
sum_of_guarantees (const struct sj_cluster *c)
{
  GHashTableIter iter;
  gpointer n;
  int64_t sum = 0;

  g_hash_table_iter_init (&iter, c->guarantees);
  while (g_hash_table_iter_next (&iter, NULL, &n))
    sum += *(const gint64 *)n;
  return sum;
}

void
hd_begin (struct sj_cluster *c, struct hd_round *h, int64_t now)
{
  begin_forecast (c, now);
  h->is_off = !pt_is_on (c, SJ_PART_HEADROOM);
  h->is_forecast
      = c->settings.headroom_forecast
        && hr_has_history (&c->forecast, c->settings.headroom_forecast, now);
  for (int i = 0; i < 2 && h->is_forecast; i++)
    hr_get_keep (&c->forecast, deviations[i], sum_of_guarantees (c), now,
                 &h->keep[i]);
  hd_count (c, h);
}

/* Tasks of NEED whose place a task of S takes at most.  */
static int64_t
displaced (const struct hr_need *need, const struct sj_step *s)
{
  struct sj_resources taken = nd_for_step (s);
  int64_t n = 0;

  if (need->accelerators)
    n = (taken.accelerators + need->accelerators - 1) / need->accelerators;
  if (need->cpu_milli)
    n = MAX (n, (taken.cpu_milli + need->cpu_milli - 1) / need->cpu_milli);
  if (need->memory_mb)
    n = MAX (n, (taken.memory_mb + need->memory_mb - 1) / need->memory_mb);
  return n;
}

/* Whether U leaves what is kept.  A unit that is too wide to ever leave it
   starts while more than half of the fleet is idle.  */
static int
leaves_forecast (const struct hd_round *h, const struct unit *u)
{
  const struct sj_step *s = un_step (u);
  const struct hr_keep *k = &h->keep[s->checkpoints];
  int64_t requested = s->need.accelerators * u->count;

  if (requested + k->accelerators > h->all && h->idle * 2 > h->all)
    return 1;
  if (h->idle - requested < k->accelerators)
    return 0;
  for (int i = 0; i < HR_SHAPES; i++)
    if (k->tasks[i]
        && h->fitting[i] - displaced (&k->need[i], s) * u->count < k->tasks[i])
      return 0;
  return 1;
}

/* The same by constant shares.  Work without checkpoints leaves more, as
   stopping it loses its progress.  */
static int
leaves_share (const struct hd_round *h, const struct unit *u)
{
  const struct sj_step *s = un_step (u);
  int64_t requested = s->need.accelerators * u->count;
  int percent
      = s->checkpoints ? HEADROOM_CHECKPOINTING_PERCENT : HEADROOM_PERCENT;

  if (requested * 100 > h->all * (100 - percent) && h->idle * 2 > h->all)
    return 1;
  return (h->idle - requested) * 100 >= h->all * percent;
}

/* Whether U would take capacity that is expected to be needed before it can
   end, and would lose all of its work then.  */
static int
would_be_stopped (const struct hd_round *h, const struct unit *u)
{
  const struct sj_step *s = un_step (u);

  return h->is_forecast && !s->checkpoints
         && h->idle - s->need.accelerators * u->count < h->keep[0].growth;
}

int
hd_must_wait (const struct hd_round *h, const struct unit *u, int64_t now)
{
  int64_t waited_ms = now - u->ready_ms;

  /* A task that lasts is away for as long as it waits.  */
  if (h->is_off || u->job->rank < RANK_BATCH || un_step (u)->is_continuous
      || waited_ms > GROWTH_WAIT_MS)
    return 0;
  if (waited_ms > HEADROOM_WAIT_MS)
    return would_be_stopped (h, u);
  return !(h->is_forecast ? leaves_forecast (h, u) : leaves_share (h, u));
}

static void
note_change (struct sj_cluster *c, const struct hd_round *h, int64_t now)
{
  struct headroom *x = &c->headroom;
  struct sj_note note
      = { .kind = SJ_NOTE_HEADROOM,
          .u.headroom = { x->kept, x->used, h->idle, h->is_forecast,
                          h->keep[0].jobs_per_s, h->keep[0].peak_per_s } };

  if (!c->on_note || !c->settings.headroom_forecast
      || (x->noted_ms && now - x->noted_ms < NOTE_MS)
      || llabs (x->kept - x->noted_kept) * 100 <= x->noted_kept * NOTE_PERCENT)
    return;
  x->noted_ms = now;
  x->noted_kept = x->kept;
  c->on_note (c->note_arg, &note);
}

void
hd_end (struct sj_cluster *c, const struct hd_round *h, int64_t now)
{
  c->headroom.is_forecast = h->is_forecast;
  c->headroom.kept = h->is_forecast ? h->keep[0].accelerators
                                    : h->all * HEADROOM_PERCENT / 100;
  c->headroom.used = MAX (c->headroom.kept - h->idle, 0);
  note_change (c, h, now);
}
