/* Runs of units: planned, ordered, stopped and ended, a gang as one.  */
#include <string.h>

#include "steps/steps.h"

enum
{
  MAX_AVOIDED = 16 /* workers that a unit remembers to have failed on */
};

static void
fill_run (struct sj_run *run, const struct member *m)
{
  const struct unit *u = m->unit;

  *run = (struct sj_run){ .occurrence = u->occurrence,
                          .step = u->step,
                          .index = m->index,
                          .number = u->run };
  memcpy (run->job, u->job->spec->id, sizeof run->job);
}

static void
send_order (struct sj_cluster *c, struct member *m, enum sj_order_kind kind)
{
  struct sj_order order = { .kind = kind,
                            .worker = m->worker->id,
                            .life = m->worker->life,
                            .payload = m->unit->job->spec->payload,
                            .checkpoint = m->unit->checkpoint,
                            .cause = m->unit->cause };

  fill_run (&order.run, m);
  c->do_order (c->arg, &order);
}

void
ru_plan (struct unit *u, struct worker **place, int far, int64_t now)
{
  u->state = UN_ACTIVE;
  u->run++;
  u->far = far;
  u->stored_run = 0;
  u->member = g_new0 (struct member, u->count);
  for (int i = 0; i < u->count; i++)
    {
      struct member *m = &u->member[i];

      m->unit = u;
      m->worker = place[i];
      m->index = u->first + i;
      m->state = MB_PLANNED;
      m->progress_ms = m->started_ms = now;
      wo_occupy (m);
    }
  jb_mark (u->job);
}

static int
can_start (const struct sj_cluster *c, const struct unit *u)
{
  for (int i = 0; i < u->count; i++)
    if (u->member[i].state != MB_PLANNED
        || !wo_usable (c, u->member[i].worker))
      return 0;
  return 1;
}

void
ru_send (struct sj_cluster *c, struct unit *u, int64_t now)
{
  if (!can_start (c, u))
    {
      ru_abort (c, u, SJ_PARTIAL, now);
      return;
    }
  u->job->begun = 1;
  for (int i = 0; i < u->count; i++)
    {
      u->member[i].state = MB_ORDERED;
      u->member[i].progress_ms = u->member[i].started_ms = now;
    }
  for (int i = 0; i < u->count; i++)
    send_order (c, &u->member[i], SJ_START);
}

static int
all_ended (const struct unit *u)
{
  for (int i = 0; i < u->count; i++)
    if (u->member[i].state != MB_ENDED)
      return 0;
  return 1;
}

/* The last member is gone: the unit may start again.  */
static void
settle (struct sj_cluster *c, struct unit *u, int64_t now)
{
  if (u->state == UN_DONE || !all_ended (u))
    return;
  g_free (u->member);
  u->member = NULL;
  u->state = UN_READY;
  u->ready_ms = now;
  u->far = 0;
  jb_mark (u->job);
  c->changed = 1;
}

void
ru_stop_member (struct sj_cluster *c, struct member *m, int64_t now)
{
  m->state = MB_STOPPING;
  m->stop_ms = now;
  send_order (c, m, SJ_STOP);
}

void
ru_abort (struct sj_cluster *c, struct unit *u, enum sj_cause cause,
          int64_t now)
{
  int ended = 1;

  if (u->state != UN_ACTIVE)
    return;
  u->state = UN_ENDING;
  u->cause = cause;
  jb_mark (u->job);
  for (int i = 0; i < u->count; i++)
    {
      struct member *m = &u->member[i];

      if (m->state == MB_PLANNED)
        {
          m->state = MB_ENDED;
          wo_release (m);
        }
      else if (m->state == MB_ORDERED || m->state == MB_RUNNING)
        ru_stop_member (c, m, now);
      ended &= m->state == MB_ENDED;
    }
  if (ended)
    settle (c, u, now);
}

void
ru_member_gone (struct sj_cluster *c, struct member *m, int64_t now)
{
  struct unit *u = m->unit;

  m->state = MB_ENDED;
  wo_release (m);
  c->changed = 1;
  if (u->state == UN_ACTIVE && !all_ended (u))
    ru_abort (c, u, SJ_PARTIAL, now);
  else
    settle (c, u, now);
}

void
ru_avoid (struct unit *u, const char *worker)
{
  if (!u->avoid)
    u->avoid = g_ptr_array_new_with_free_func (g_free);
  if (u->avoid->len == MAX_AVOIDED)
    g_ptr_array_remove_index (u->avoid, 0);
  g_ptr_array_add (u->avoid, g_strdup (worker));
}

static void
count_failure (struct sj_cluster *c, struct member *m, int64_t now)
{
  struct unit *u = m->unit;
  int lasts = un_step (u)->lasts;

  u->failures++;
  ru_avoid (u, m->worker->id);
  if (!lasts && u->failures >= u->job->spec->max_attempts)
    jb_finish (c, u->job, SJ_FAILED, now);
}

void
ru_take_checkpoint (struct unit *u, const char *checkpoint)
{
  if (un_step (u)->saves && checkpoint && *checkpoint)
    g_strlcpy (u->checkpoint, checkpoint, sizeof u->checkpoint);
}

void
ru_member_end (struct sj_cluster *c, struct member *m,
               const struct sj_listed *end, int64_t now)
{
  struct unit *u = m->unit;
  int lasts = un_step (u)->lasts;

  he_ended (c, m->worker, u, end->end, now);
  jb_mark (u->job);
  if (u->state != UN_DONE)
    switch (end->end)
      {
      case SJ_END_DONE:
        if (!lasts)
          jb_unit_done (c, u, now);
        break;
      case SJ_END_FAILED:
        ru_take_checkpoint (u, end->checkpoint);
        count_failure (c, m, now);
        break;
      case SJ_END_STOPPED:
      case SJ_END_LAPSED:
      case SJ_END_BROKEN:
      case SJ_END_ALONE:
        ru_take_checkpoint (u, end->checkpoint);
        break;
      }
  if (lasts)
    u->checkpoint[0] = '\0';
  ru_member_gone (c, m, now);
}

int
ru_names (const struct sj_run *run, const struct member *m)
{
  const struct unit *u = m->unit;

  return m->index == run->index && u->step == run->step
         && u->occurrence == run->occurrence && u->run == run->number
         && !strcmp (u->job->spec->id, run->job);
}

struct member *
ru_find (const struct worker *w, const struct sj_run *run)
{
  for (guint i = 0; i < w->member->len; i++)
    {
      struct member *m = g_ptr_array_index (w->member, i);

      if (ru_names (run, m))
        return m;
    }
  return NULL;
}

struct unit *
ru_unit (struct sj_cluster *c, const struct sj_run *run)
{
  struct job *j = jb_find (c, run->job);

  if (!j)
    return NULL;
  for (guint i = 0; i < j->unit->len; i++)
    {
      struct unit *u = g_ptr_array_index (j->unit, i);

      if (u->occurrence == run->occurrence && u->step == run->step
          && run->index >= u->first && run->index < u->first + u->count)
        return u;
    }
  return NULL;
}

void
sj_start_answered (struct sj_cluster *c, const char *worker,
                   const struct sj_run *run, enum sj_answer answer,
                   int64_t now)
{
  struct worker *w = wo_find (c, worker);
  struct member *m = w ? ru_find (w, run) : NULL;

  c->now = now;
  if (!m || m->start_settled)
    return;
  switch (answer)
    {
    case SJ_TAKEN:
      m->start_settled = 1;
      m->settled_ms = now;
      if (m->state == MB_ORDERED)
        m->state = MB_RUNNING;
      break;
    case SJ_REFUSED:
      m->start_settled = 1;
      m->settled_ms = now;
      if (m->state != MB_RUNNING)
        ru_member_gone (c, m, now);
      break;
    case SJ_UNKNOWN:
      if (m->state == MB_RUNNING)
        m->start_settled = 1;
      else if (m->unit->state == UN_ACTIVE)
        ru_abort (c, m->unit, SJ_UNHEARD, now);
      break;
    }
}

int
sj_start_wanted (struct sj_cluster *c, const char *worker,
                 const struct sj_run *run)
{
  struct worker *w = wo_find (c, worker);
  const struct member *m = w ? ru_find (w, run) : NULL;

  return m && m->state == MB_ORDERED && m->unit->state == UN_ACTIVE;
}

void
sj_stop_answered (struct sj_cluster *c, const char *worker,
                  const struct sj_run *run, enum sj_answer answer, int64_t now)
{
  struct worker *w = wo_find (c, worker);
  struct member *m = w ? ru_find (w, run) : NULL;

  if (!m || answer != SJ_TAKEN || m->stop_taken)
    return;
  m->stop_taken = 1;
  m->stop_taken_ms = now;
}
