/* Runs of units: planning, starting, stopping and ending.  The members of a
   gang start and stop together.  */
#include <string.h>

#include "steps/state.h"

enum
{
  MAX_AVOIDED = 16, /* workers that a unit avoids; the oldest is dropped */
  /* Longest wait for a worker that the unit does not avoid, if it avoids all
     that it may use or lasts, and if others may come free.  */
  AVOID_ALL_WAIT_MS = 3000,
  AVOID_WAIT_MS = 30000,
  /* A unit that is refused again waits, twice as long each time.  */
  FIRST_BACKOFF_MS = 100,
  MAX_BACKOFF_MS = 2000
};

void
ru_fill (struct sj_run *run, const struct member *m)
{
  const struct unit *u = m->unit;

  *run = (struct sj_run){ .occurrence = u->occurrence,
                          .step = u->step,
                          .index = m->index,
                          .number = u->run_number };
  memcpy (run->job, u->job->spec->id, sizeof run->job);
}

static void
send_order (struct sj_cluster *c, struct member *m, enum sj_order_kind kind)
{
  struct sj_order order = { .kind = kind,
                            .worker = m->worker->id,
                            .incarnation = m->worker->incarnation,
                            .payload = m->unit->job->spec->payload,
                            .checkpoint = un_checkpoint (m->unit),
                            .priority = m->unit->job->spec->priority,
                            .cause = m->unit->stop_cause };

  ru_fill (&order.run, m);
  c->on_order (c->arg, &order);
}

void
ru_plan (struct unit *u, struct worker **placement, int off_rack, int64_t now)
{
  u->state = UN_ACTIVE;
  u->run_number++;
  u->off_rack = off_rack;
  u->run_commit = RUN_NOT_STORED;
  u->job->planned_tasks += u->count;
  u->members = g_new0 (struct member, u->count);
  for (int i = 0; i < u->count; i++)
    {
      struct member *m = &u->members[i];

      m->unit = u;
      m->worker = placement[i];
      m->index = u->first + i;
      m->state = MB_PLANNED;
      m->life_tag = wo_life_tag (m->worker->incarnation);
      m->capacity_serial = m->worker->capacity_serial;
      m->last_progress_ms = m->started_ms = now;
      wo_add_member (m);
    }
  pc_mark_unit (u);
}

/* Whether all members are planned on workers that are usable and have the
   capacity still.  */
static int
can_start (const struct sj_cluster *c, const struct unit *u)
{
  for (int i = 0; i < u->count; i++)
    {
      const struct member *m = &u->members[i];

      if (m->state != MB_PLANNED || wo_has_crashed_under (m)
          || !wo_usable (c, m->worker) || !wo_fits_capacity (m->worker))
        return 0;
    }
  return !c->starts_held;
}

void
ru_send_starts (struct sj_cluster *c, struct unit *u, int64_t now)
{
  if (!can_start (c, u))
    {
      ru_abort (c, u, SJ_GANG_INCOMPLETE, now);
      return;
    }
  for (int i = 0; i < u->count; i++)
    {
      u->members[i].state = MB_STARTING;
      u->members[i].last_progress_ms = u->members[i].started_ms = now;
    }
  for (int i = 0; i < u->count; i++)
    send_order (c, &u->members[i], SJ_START);
}

static int
all_ended (const struct unit *u)
{
  for (int i = 0; i < u->count; i++)
    if (u->members[i].state != MB_ENDED)
      return 0;
  return 1;
}

/* Requeues U if it is not done and its last member has ended.  */
static void
requeue_if_ended (struct sj_cluster *c, struct unit *u, int64_t now)
{
  if (u->state == UN_DONE || !all_ended (u))
    return;
  lo_note_run_over (u);
  g_free (u->members);
  u->members = NULL;
  u->state = UN_READY;
  u->ready_ms = now;
  u->off_rack = 0;
  pc_mark_unit (u);
  c->changed = 1;
}

void
ru_stop_member (struct sj_cluster *c, struct member *m, int64_t now)
{
  if (m->state != MB_STOPPING)
    m->stop_first_ms = now;
  m->state = MB_STOPPING;
  m->stop_sent_ms = now;
  m->stop_pending = 1;
  send_order (c, m, SJ_STOP);
}

void
ru_end_member (struct member *m)
{
  if (m->worker)
    wo_remove_member (m);
  *m = (struct member){ .unit = m->unit,
                        .index = m->index,
                        .state = MB_ENDED,
                        .from_record = m->from_record,
                        .start_sent = m->start_sent,
                        .start_refused = m->start_refused };
}

void
ru_abort (struct sj_cluster *c, struct unit *u, enum sj_cause cause,
          int64_t now)
{
  int ended = 1;

  if (u->state != UN_ACTIVE)
    return;
  u->state = UN_STOPPING;
  u->stop_cause = cause;
  vi_note_stop (c, u, now);
  pc_mark_unit (u);
  for (int i = 0; i < u->count; i++)
    {
      struct member *m = &u->members[i];

      if (m->state == MB_PLANNED)
        ru_end_member (m);
      else if (m->state == MB_STARTING || m->state == MB_RUNNING)
        ru_stop_member (c, m, now);
      ended &= m->state == MB_ENDED;
    }
  if (ended)
    requeue_if_ended (c, u, now);
}

void
ru_release_member (struct sj_cluster *c, struct member *m, int64_t now)
{
  struct unit *u = m->unit;

  ru_end_member (m);
  c->changed = 1;
  if (u->state == UN_ACTIVE && !all_ended (u))
    ru_abort (c, u, SJ_GANG_INCOMPLETE, now);
  else
    requeue_if_ended (c, u, now);
}

void
ru_avoid_worker (struct unit *u, const char *worker)
{
  if (!u->avoided_workers)
    u->avoided_workers = g_ptr_array_new_with_free_func (g_free);
  if (u->avoided_workers->len == MAX_AVOIDED)
    g_ptr_array_remove_index (u->avoided_workers, 0);
  g_ptr_array_add (u->avoided_workers, g_strdup (worker));
}

void
ru_end_avoidance (const struct sj_cluster *c, struct unit *u, int64_t now)
{
  int64_t waited_ms = now - u->ready_ms;

  if (!u->avoided_workers || waited_ms < AVOID_ALL_WAIT_MS)
    return;
  if (waited_ms < AVOID_WAIT_MS && !un_step (u)->is_continuous
      && pl_has_other_worker (c, u))
    return;
  g_ptr_array_free (u->avoided_workers, TRUE);
  u->avoided_workers = NULL;
}

/* W has refused a start of U, which then tries others, and more and more
   rarely.  */
static void
note_refusal (struct unit *u, const struct worker *w, int64_t now)
{
  int64_t backoff_ms = 0;

  for (int i = 0; i < u->refusals && backoff_ms < MAX_BACKOFF_MS; i++)
    backoff_ms = backoff_ms ? backoff_ms * 2 : FIRST_BACKOFF_MS;
  u->refusals++;
  u->not_before_ms
      = now + (backoff_ms < MAX_BACKOFF_MS ? backoff_ms : MAX_BACKOFF_MS);
  ru_avoid_worker (u, w->id);
}

/* Counts M's failed run, once for all members, and fails the job after too
   many.  */
static void
count_failure (struct sj_cluster *c, struct member *m, int64_t now)
{
  struct unit *u = m->unit;
  int is_continuous = un_step (u)->is_continuous;

  ru_avoid_worker (u, m->worker->id);
  if (u->failed_run == u->run_number)
    return;
  u->failed_run = u->run_number;
  u->failures++;
  if (!is_continuous && u->failures >= u->job->spec->max_attempts)
    jb_finish (c, u->job, SJ_FAILED, now);
}

const char *
un_checkpoint (const struct unit *u)
{
  return u->checkpoint ? u->checkpoint : "";
}

static void
note_checkpoint (struct unit *u, int64_t bytes)
{
  const struct sj_cluster *c = u->job->cluster;
  struct sj_note note = { .kind = SJ_NOTE_CHECKPOINT, .worker = "" };

  if (!c->on_note || u->noted_checkpoint == u->run_number)
    return;
  u->noted_checkpoint = u->run_number;
  note.u.checkpoint.bytes = bytes;
  note.u.checkpoint.run = (struct sj_run){ .occurrence = u->occurrence,
                                           .step = u->step,
                                           .index = u->first,
                                           .number = u->run_number };
  memcpy (note.u.checkpoint.run.job, u->job->spec->id, SJ_ID_SIZE);
  c->on_note (c->note_arg, &note);
}

void
ru_set_checkpoint (struct unit *u, const char *checkpoint)
{
  size_t size = checkpoint ? strlen (checkpoint) : 0;
  int is_text = checkpoint && g_utf8_validate (checkpoint, -1, NULL);

  if (!un_step (u)->checkpoints || (checkpoint && !size))
    return;
  if (!is_text || size > SJ_MAX_CHECKPOINT)
    {
      note_checkpoint (u, is_text ? (int64_t)size : -1);
      return;
    }
  if (!g_strcmp0 (u->checkpoint, checkpoint))
    return;
  g_free (u->checkpoint);
  u->checkpoint = g_strdup (checkpoint);
}

void
ru_note_taken (struct unit *u)
{
  if (u->job->started)
    return;
  u->job->started = 1;
  jb_mark_dirty (u->job);
}

void
ru_apply_end (struct sj_cluster *c, struct member *m,
              const struct sj_listed_run *end, int64_t now)
{
  struct unit *u = m->unit;
  int is_continuous = un_step (u)->is_continuous;

  he_record_end (c, m->worker, u, end->end, now);
  ru_note_taken (u);
  pc_mark_unit (u);
  if (u->state != UN_DONE)
    switch (end->end)
      {
      case SJ_END_DONE:
        if (!is_continuous)
          jb_unit_done (c, u, now);
        break;
      case SJ_END_FAILED:
        ru_set_checkpoint (u, end->checkpoint);
        count_failure (c, m, now);
        break;
      case SJ_END_STOPPED:
      case SJ_END_LEASE_EXPIRED:
      case SJ_END_GANG_BROKEN:
      case SJ_END_GANG_TIMEOUT:
        ru_set_checkpoint (u, end->checkpoint);
        break;
      }
  if (is_continuous)
    g_clear_pointer (&u->checkpoint, g_free);
  ru_release_member (c, m, now);
}

int
ru_matches (const struct sj_run *run, const struct member *m)
{
  const struct unit *u = m->unit;

  return m->index == run->index && u->step == run->step
         && u->occurrence == run->occurrence && u->run_number == run->number
         && !strcmp (u->job->spec->id, run->job);
}

struct member *
ru_find_member (const struct worker *w, const struct sj_run *run)
{
  for (guint i = 0; i < w->members->len; i++)
    {
      struct member *m = g_ptr_array_index (w->members, i);

      if (ru_matches (run, m))
        return m;
    }
  return NULL;
}

struct unit *
ru_find_unit (struct sj_cluster *c, const struct sj_run *run)
{
  struct job *j = jb_find (c, run->job);

  if (!j)
    return NULL;
  for (guint i = 0; i < j->units->len; i++)
    {
      struct unit *u = g_ptr_array_index (j->units, i);

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
  struct member *m = w ? ru_find_member (w, run) : NULL;

  c->now = now;
  if (!m || m->start_resolved)
    return;
  c->changed |= c->max_orders && c->open_orders >= c->max_orders;
  switch (answer)
    {
    case SJ_EXECUTED:
      m->start_resolved = 1;
      m->start_resolved_ms = now;
      m->unit->refusals = 0;
      ru_note_taken (m->unit);
      if (m->state == MB_STARTING)
        m->state = MB_RUNNING;
      break;
    case SJ_REFUSED:
      if (m->start_sent && m->state == MB_STARTING)
        note_refusal (m->unit, w, now);
      m->start_refused = m->state != MB_RUNNING;
      m->start_resolved = 1;
      m->start_resolved_ms = now;
      if (m->state != MB_RUNNING)
        ru_release_member (c, m, now);
      break;
    case SJ_UNANSWERED:
      m->start_open = 1;
      if (m->state == MB_RUNNING)
        m->start_resolved = 1;
      else if (w->replaced)
        wo_lose_member (c, m, now);
      else if (m->unit->state == UN_ACTIVE)
        ru_abort (c, m->unit, SJ_START_UNANSWERED, now);
      break;
    }
}

void
sj_start_sent (struct sj_cluster *c, const char *worker,
               const struct sj_run *run)
{
  struct worker *w = wo_find (c, worker);
  struct member *m = w ? ru_find_member (w, run) : NULL;

  if (!m)
    return;
  m->start_open |= m->start_sent;
  m->start_sent = 1;
}

int
sj_may_send_start (struct sj_cluster *c, const char *worker,
                   const struct sj_run *run)
{
  struct worker *w = wo_find (c, worker);
  const struct member *m = w ? ru_find_member (w, run) : NULL;

  return m && m->state == MB_STARTING && m->unit->state == UN_ACTIVE
         && !c->starts_held && !w->domain_closed && w->capacity_known
         && !w->unknown_runs && !wo_report_is_overdue (c, w)
         && wo_fits_capacity (w);
}

void
sj_stop_answered (struct sj_cluster *c, const char *worker,
                  const struct sj_run *run, enum sj_answer answer, int64_t now)
{
  struct worker *w = wo_find (c, worker);
  struct member *m = w ? ru_find_member (w, run) : NULL;

  if (m)
    m->stop_pending = 0;
  if (!m || answer != SJ_EXECUTED || m->stop_acked)
    return;
  m->stop_acked = 1;
  m->stop_acked_ms = now;
}
