/* The whole: made and freed, records given out, counts and invariants.  */
#include <stdlib.h>
#include <string.h>

#include "steps/steps.h"

struct sj_cluster *
sj_new (const struct sj_settings *settings, sj_do_order *do_order, void *arg)
{
  struct sj_cluster *c = g_new0 (struct sj_cluster, 1);

  c->set = *settings;
  c->do_order = do_order;
  c->arg = arg;
  c->workers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, wo_free);
  c->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, jb_free);
  c->guarantee
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  c->worker_list = g_ptr_array_new ();
  c->job_list = g_ptr_array_new ();
  return c;
}

void
sj_free (struct sj_cluster *c)
{
  if (!c)
    return;
  g_ptr_array_free (c->job_list, TRUE);
  g_ptr_array_free (c->worker_list, TRUE);
  g_hash_table_destroy (c->jobs);
  g_hash_table_destroy (c->workers);
  g_hash_table_destroy (c->guarantee);
  g_free (c);
}

void
sj_set_guarantee (struct sj_cluster *c, const char *account,
                  int64_t accelerators)
{
  gint64 *n = g_new (gint64, 1);

  *n = accelerators;
  g_hash_table_replace (c->guarantee, g_strdup (account), n);
  c->changed = 1;
}

static enum sj_state
shown_state (const struct job *j)
{
  return j->state == SJ_QUEUED && j->begun ? SJ_RUNNING : j->state;
}

static void
note_in_commit (struct job *j)
{
  for (guint i = 0; i < j->unit->len; i++)
    {
      struct unit *u = g_ptr_array_index (j->unit, i);

      if (u->state == UN_ACTIVE && !u->stored_run)
        u->stored_run = 1;
      /* The record shows the job as begun with its first start.  */
      if (u->state == UN_ACTIVE)
        j->begun = 1;
    }
}

int
sj_dirty (struct sj_cluster *c, struct sj_dirty *out, int max)
{
  int n = 0;

  for (guint i = 0; i < c->job_list->len && n < max; i++)
    {
      struct job *j = g_ptr_array_index (c->job_list, i);

      if (!j->dirty || j->in_commit)
        continue;
      note_in_commit (j);
      j->dirty = 0;
      j->in_commit = 1;
      j->commit_state = shown_state (j);
      out[n] = (struct sj_dirty){ .record = rc_write (j),
                                  .state = j->commit_state,
                                  .state_changed
                                  = j->commit_state != j->stored_state };
      memcpy (out[n++].id, j->spec->id, SJ_ID);
    }
  return n;
}

int
sj_is_dirty (struct sj_cluster *c)
{
  for (guint i = 0; i < c->job_list->len; i++)
    {
      const struct job *j = g_ptr_array_index (c->job_list, i);

      if (j->dirty && !j->in_commit)
        return 1;
    }
  return 0;
}

static void
commit_units (struct sj_cluster *c, struct job *j, int ok, int64_t now)
{
  for (guint i = 0; i < j->unit->len; i++)
    {
      struct unit *u = g_ptr_array_index (j->unit, i);

      if (u->stored_run != 1)
        continue;
      u->stored_run = ok ? 2 : 0;
      if (ok && u->state == UN_ACTIVE)
        ru_send (c, u, now);
    }
}

void
sj_committed (struct sj_cluster *c, int ok, int64_t now)
{
  c->now = now;
  for (guint i = 0; i < c->job_list->len; i++)
    {
      struct job *j = g_ptr_array_index (c->job_list, i);

      if (!j->in_commit)
        continue;
      j->in_commit = 0;
      if (ok)
        j->stored_state = j->commit_state;
      else
        j->dirty = 1;
      commit_units (c, j, ok, now);
    }
  c->changed = 1;
}

static int
is_waiting (const struct job *j)
{
  return !jb_ended (j) && !j->begun;
}

void
sj_count (struct sj_cluster *c, struct sj_counts *out)
{
  *out = (struct sj_counts){ .workers = (int)c->worker_list->len };
  for (guint i = 0; i < c->job_list->len; i++)
    {
      const struct job *j = g_ptr_array_index (c->job_list, i);

      out->jobs += !jb_ended (j);
      out->waiting += is_waiting (j);
    }
  for (guint i = 0; i < c->worker_list->len; i++)
    {
      const struct worker *w = g_ptr_array_index (c->worker_list, i);

      out->runs += (int)w->member->len;
      out->usable_workers += wo_usable (c, w);
      out->busy_workers += w->member->len > 0;
      out->accelerators_used += w->used.accelerators;
      out->accelerators += w->listed ? w->capacity.accelerators : 0;
    }
}

static void
fail_check (const char *what, const char *id)
{
  g_printerr ("invariant broken: %s: %s\n", what, id);
  abort ();
}

static void
check_worker (const struct worker *w)
{
  struct sj_need sum = { 0, 0, 0 };

  for (guint i = 0; i < w->member->len; i++)
    {
      const struct member *m = g_ptr_array_index (w->member, i);
      struct sj_need need = nd_of_step (un_step (m->unit));

      if (m->state == MB_ENDED || m->worker != w)
        fail_check ("an ended run takes room", w->id);
      nd_add (&sum, &need);
    }
  if (memcmp (&sum, &w->used, sizeof sum) != 0)
    fail_check ("room is counted wrongly", w->id);
  if (w->surveyed && !nd_fits (&sum, &w->capacity))
    fail_check ("a worker is over its capacity", w->id);
}

static void
check_unit (const struct unit *u)
{
  for (int i = 0; u->member && i < u->count; i++)
    {
      if (u->state == UN_READY)
        fail_check ("a waiting unit still runs", u->job->spec->id);
      if (u->state == UN_ACTIVE && u->member[i].state == MB_ENDED)
        fail_check ("part of a unit runs", u->job->spec->id);
    }
}

void
sj_check (struct sj_cluster *c)
{
  for (guint i = 0; i < c->worker_list->len; i++)
    check_worker (g_ptr_array_index (c->worker_list, i));
  for (guint i = 0; i < c->job_list->len; i++)
    {
      const struct job *j = g_ptr_array_index (c->job_list, i);

      for (guint k = 0; k < j->unit->len; k++)
        check_unit (g_ptr_array_index (j->unit, k));
    }
}
