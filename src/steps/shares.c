/* The accounts' shares as the decision round sees them, and what is noted
   about them.  */
#include <string.h>

#include "steps/order.h"

enum
{
  PASSED_OVER_NOTE_MS = 5000, /* between two notes about one job */
  SCARCE_END_MS = 2000 /* capacity is noted as sufficient after this time */
};

void
as_set_weight (struct sj_cluster *c, const char *account, int64_t weight)
{
  const gint64 *old = g_hash_table_lookup (c->guarantees, account);
  struct sj_note note
      = { .kind = SJ_NOTE_WEIGHT, .u.weight = { account, weight } };

  if (fs_set_weight (&c->shares, fs_find (&c->shares, account), weight)
      && c->settings.fair_share && c->on_note && (!old || *old != weight))
    c->on_note (c->note_arg, &note);
}

static struct fs_amount
amount_of (const struct sj_resources *r)
{
  return (struct fs_amount){ { (double)r->cpu_milli, (double)r->memory_mb,
                               (double)r->accelerators } };
}

static struct fs_amount
usable_capacity (const struct sj_cluster *c)
{
  struct sj_resources sum = { 0, 0, 0 };

  for (guint i = 0; i < c->worker_list->len; i++)
    {
      const struct worker *w = g_ptr_array_index (c->worker_list, i);

      if (wo_usable (c, w))
        nd_add (&sum, &w->capacity);
    }
  return amount_of (&sum);
}

static struct sj_account_share
describe (const struct sj_cluster *c, int account)
{
  const struct fs_account *a = fs_get (&c->shares, account);

  return (struct sj_account_share){ .name = a->name,
                                    .weight = a->weight,
                                    .running = a->running,
                                    .waiting = a->waiting,
                                    .share_permille = (int)(a->share * 1000),
                                    .entitled_permille
                                    = (int)(a->entitled * 1000),
                                    .is_over = a->is_over };
}

static void
note_share_changes (struct sj_cluster *c, int64_t now)
{
  for (int i = 0; i < fs_count (&c->shares); i++)
    {
      struct sj_note note = { .kind = SJ_NOTE_ACCOUNT_SHARE };

      if (!fs_take_change (&c->shares, i, now) || !c->on_note)
        continue;
      note.u.account = describe (c, i);
      c->on_note (c->note_arg, &note);
    }
}

void
as_update (struct sj_cluster *c, const GArray *ready, int64_t now)
{
  struct fs_amount capacity = usable_capacity (c);

  fs_begin_update (&c->shares, &capacity);
  for (guint i = 0; i < c->worker_list->len; i++)
    {
      const struct worker *w = g_ptr_array_index (c->worker_list, i);

      for (guint k = 0; k < w->members->len; k++)
        {
          const struct member *m = g_ptr_array_index (w->members, k);
          struct sj_resources need = nd_for_step (un_step (m->unit));
          struct fs_amount task = amount_of (&need);

          fs_add_running (&c->shares, m->unit->job->account, &task);
        }
    }
  for (guint i = 0; i < ready->len; i++)
    {
      const struct ready_step *r
          = &g_array_index (ready, struct ready_step, i);

      fs_add_waiting (&c->shares, r->job->account, r->tasks);
    }
  fs_end_update (&c->shares, now);
  /* While capacity suffices the shares have no effect.  */
  if (c->is_scarce)
    note_share_changes (c, now);
}

void
as_started (struct sj_cluster *c, const struct ready_step *s,
            const struct unit *u, int64_t now)
{
  struct fs_amount work = or_work (u, u->count);

  if (s->request.is_aged)
    fs_aged_started (&c->shares, s->job->account, &work, now);
}

static void
note_passed_over (struct sj_cluster *c, const struct ready_step *r,
                  int64_t now)
{
  const struct job *ahead = r->ahead->job;
  struct sj_note note = { .kind = SJ_NOTE_PASSED_OVER };

  if (!c->on_note
      || (r->job->passed_over_ms
          && now - r->job->passed_over_ms < PASSED_OVER_NOTE_MS))
    return;
  r->job->passed_over_ms = now;
  memcpy (note.u.passed_over.job, r->job->spec->id, SJ_ID_SIZE);
  memcpy (note.u.passed_over.ahead_job, ahead->spec->id, SJ_ID_SIZE);
  note.u.passed_over.step = r->unit->step;
  note.u.passed_over.account = describe (c, r->job->account);
  note.u.passed_over.ahead = describe (c, ahead->account);
  note.u.passed_over.waited_ms = now - r->request.ready_ms;
  note.u.passed_over.ahead_slack_ms = r->ahead_slack_ms;
  note.u.passed_over.ahead_wait_ms = r->ahead_wait_ms;
  c->on_note (c->note_arg, &note);
}

/* Notes the begin of scarcity, and its end once it has not returned.  */
static void
note_scarcity (struct sj_cluster *c, int waiting, int64_t now)
{
  struct sj_note note
      = { .kind = SJ_NOTE_SCARCE, .u.scarce = { c->is_scarce, waiting } };

  if (c->is_scarce)
    c->scarce_ms = now;
  if (c->scarce_noted == c->is_scarce
      || (!c->is_scarce && now - c->scarce_ms < SCARCE_END_MS))
    return;
  c->scarce_noted = c->is_scarce;
  if (c->on_note)
    c->on_note (c->note_arg, &note);
}

void
as_end_round (struct sj_cluster *c, const GArray *ready, int unplaced,
              int64_t now)
{
  if (!c->settings.fair_share)
    return;
  c->is_scarce = unplaced > 0;
  note_scarcity (c, unplaced, now);
  for (guint i = 0; i < ready->len; i++)
    {
      const struct ready_step *r
          = &g_array_index (ready, struct ready_step, i);

      if (r->ahead && r->unit->state == UN_READY)
        note_passed_over (c, r, now);
    }
}

int
sj_account_shares (const struct sj_cluster *c, struct sj_account_share *out,
                   int max)
{
  int n = 0;

  if (!c->settings.fair_share)
    return 0;
  for (; n < max && n < fs_count (&c->shares); n++)
    out[n] = describe (c, n);
  return n;
}
