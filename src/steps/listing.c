/* What a worker tells of its runs, against what is believed of them.  */
#include <string.h>

#include "steps/steps.h"

enum
{
  FULL_LISTING = 500 /* ends in one answer; more may follow */
};

static const struct sj_listed *
find_listed (const struct sj_listed *list, int count, const struct member *m)
{
  for (int i = 0; i < count; i++)
    if (ru_names (&list[i].run, m))
      return &list[i];
  return NULL;
}

static void
take_running (const struct sj_cluster *c, struct member *m,
              const struct sj_listed *l, int64_t now)
{
  if (m->state == MB_ORDERED)
    {
      m->state = MB_RUNNING;
      if (m->adopted)
        {
          m->start_settled = 1;
          m->settled_ms = now;
        }
    }
  ru_take_checkpoint (m->unit, l->checkpoint);
  he_progress (c, m, l->percent, now);
}

/* The worker lists neither a running nor an ended run.  */
static int
surely_absent (const struct member *m, const struct sj_listing *l)
{
  if (l->ended >= FULL_LISTING)
    return 0;
  if (m->adopted && !m->start_settled)
    return 1;
  if (m->start_settled && l->sent_ms > m->settled_ms)
    return 1;
  return m->stop_taken && l->sent_ms > m->stop_taken_ms;
}

static void
take_members (struct sj_cluster *c, struct worker *w,
              const struct sj_listing *l, int64_t now)
{
  GPtrArray *known = g_ptr_array_sized_new (w->member->len + 1);

  for (guint i = 0; i < w->member->len; i++)
    g_ptr_array_add (known, g_ptr_array_index (w->member, i));
  for (guint i = 0; i < known->len; i++)
    {
      struct member *m = g_ptr_array_index (known, i);
      const struct sj_listed *end, *run;

      /* An end before this one may have taken M along.  */
      if (!g_ptr_array_find (w->member, m, NULL) || m->state == MB_PLANNED)
        continue;
      end = find_listed (l->end, l->ended, m);
      run = find_listed (l->run, l->running, m);
      if (end)
        ru_member_end (c, m, end, now);
      else if (run)
        take_running (c, m, run, now);
      else if (surely_absent (m, l))
        ru_member_gone (c, m, now);
    }
  g_ptr_array_free (known, TRUE);
}

/* A task that ended well under a run that was given up is done all the
   same.  */
static void
take_late_done (struct sj_cluster *c, const struct sj_listed *end, int64_t now)
{
  struct unit *u = end->end == SJ_END_DONE ? ru_unit (c, &end->run) : NULL;

  if (!u || u->state == UN_DONE || un_step (u)->lasts
      || end->run.number > u->run)
    return;
  if (u->state == UN_ACTIVE)
    ru_abort (c, u, SJ_DONE_ELSEWHERE, now);
  jb_unit_done (c, u, now);
}

/* Runs that no unit stands for take room all the same and are stopped.  */
static void
stop_strangers (struct sj_cluster *c, struct worker *w,
                const struct sj_listing *l)
{
  int strangers = 0;

  for (int i = 0; i < l->running; i++)
    {
      struct sj_order order = { .kind = SJ_STOP,
                                .worker = w->id,
                                .life = w->life,
                                .run = l->run[i].run,
                                .payload = "",
                                .checkpoint = "",
                                .cause = SJ_STRANGER };

      if (ru_find (w, &l->run[i].run))
        continue;
      strangers++;
      c->do_order (c->arg, &order);
    }
  if (w->strangers != strangers)
    c->changed = 1;
  w->strangers = strangers;
}

int
sj_listing_take (struct sj_cluster *c, const char *worker,
                 const struct sj_listing *l, int64_t now)
{
  struct worker *w = wo_find (c, worker);

  c->now = now;
  if (!w)
    return SJ_EUNKNOWN;
  if (!w->surveyed)
    c->changed = 1;
  w->surveyed = 1;
  w->reachable = 1;
  take_members (c, w, l, now);
  for (int i = 0; i < l->ended; i++)
    take_late_done (c, &l->end[i], now);
  stop_strangers (c, w, l);
  return SJ_OK;
}
