/* Creates and frees the scheduler, and checks counts and invariants.  */
#include <stdlib.h>
#include <string.h>

#include "steps/state.h"

struct sj_cluster *
sj_new (const struct sj_settings *settings, sj_order_fn *on_order, void *arg)
{
  struct sj_cluster *c = g_new0 (struct sj_cluster, 1);

  c->wanted_settings = *settings;
  c->left_alone
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  sj_set_parts (c, SJ_ALL_PARTS);
  c->on_order = on_order;
  c->arg = arg;
  c->workers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, wo_free);
  c->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, jb_free);
  c->guarantees
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  c->unresolved_workers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  c->given_up = g_ptr_array_new ();
  c->kept_apart = g_new0 (int, 1);
  rk_init (c);
  sd_init (c);
  fs_init (&c->shares);
  g_queue_init (&c->dirty_jobs);
  c->aside_jobs = g_ptr_array_new ();
  c->committing = g_ptr_array_new ();
  c->dropped_rows = g_ptr_array_new_with_free_func (g_free);
  c->worker_list = g_ptr_array_new ();
  c->job_list = g_ptr_array_new ();
  return c;
}

void
sj_set_note_fn (struct sj_cluster *c, sj_note_fn *on_note, void *arg)
{
  c->on_note = on_note;
  c->note_arg = arg;
}

void
sj_free (struct sj_cluster *c)
{
  if (!c)
    return;
  g_queue_clear (&c->dirty_jobs);
  g_ptr_array_free (c->job_list, TRUE);
  g_ptr_array_free (c->worker_list, TRUE);
  g_hash_table_destroy (c->jobs);
  rk_fini (c);
  sd_fini (c);
  g_hash_table_destroy (c->workers);
  g_hash_table_destroy (c->guarantees);
  g_hash_table_destroy (c->unresolved_workers);
  g_hash_table_destroy (c->left_alone);
  g_ptr_array_free (c->given_up, TRUE);
  g_free (c->kept_apart);
  g_ptr_array_free (c->aside_jobs, TRUE);
  g_ptr_array_free (c->committing, TRUE);
  g_ptr_array_free (c->dropped_rows, TRUE);
  fs_fini (&c->shares);
  g_free (c);
}

void
sj_set_guarantee (struct sj_cluster *c, const char *account,
                  int64_t accelerators)
{
  gint64 *n = g_new (gint64, 1);

  as_set_weight (c, account, accelerators);
  *n = accelerators;
  g_hash_table_replace (c->guarantees, g_strdup (account), n);
  c->changed = 1;
}

static int
is_waiting (const struct job *j)
{
  return !jb_ended (j) && !j->started;
}

void
sj_count (struct sj_cluster *c, struct sj_counts *out)
{
  *out = (struct sj_counts){ .workers = (int)c->worker_list->len };
  out->headroom_kept = c->headroom.kept;
  out->headroom_used = c->headroom.used;
  out->preemptions = c->preemptions;
  out->stopped_runs = c->stopped_runs;
  out->lost_core_ms = c->lost_core_ms;
  out->rounds = c->rounds;
  out->aside_jobs = (int)c->aside_jobs->len;
  for (guint i = 0; i < c->job_list->len; i++)
    {
      const struct job *j = g_ptr_array_index (c->job_list, i);

      out->jobs += !jb_ended (j);
      out->waiting += is_waiting (j);
    }
  for (guint i = 0; i < c->worker_list->len; i++)
    {
      const struct worker *w = g_ptr_array_index (c->worker_list, i);

      out->runs += (int)w->members->len;
      out->usable_workers += wo_usable (c, w);
      out->closed_workers += w->listed && w->domain_closed;
      out->busy_workers += w->members->len > 0;
      out->accelerators_used += w->used.accelerators;
      out->accelerators += w->listed ? w->capacity.accelerators : 0;
    }
  sd_count (c, out);
}

static void
abort_check (const char *what, const char *id)
{
  g_printerr ("invariant violated: %s: %s\n", what, id);
  abort ();
}

/* A worker may shrink below what runs there, but nothing may be planned beyond
   the capacity that is known.  */
static void
check_worker (const struct worker *w)
{
  struct sj_resources sum = { 0, 0, 0 };
  int planned = 0;

  for (guint i = 0; i < w->members->len; i++)
    {
      const struct member *m = g_ptr_array_index (w->members, i);
      struct sj_resources need = nd_for_step (un_step (m->unit));

      if (m->state == MB_ENDED || m->worker != w)
        abort_check ("ended run still occupies capacity", w->id);
      planned
          |= m->capacity_serial && m->capacity_serial == w->capacity_serial;
      nd_add (&sum, &need);
    }
  if (memcmp (&sum, &w->used, sizeof sum) != 0)
    abort_check ("used capacity differs from the sum of runs", w->id);
  if (planned && !nd_fits (&sum, &w->capacity))
    abort_check ("worker over capacity", w->id);
}

/* What state.h says of a member that has ended, and of its worker.  */
static void
check_member (const struct member *m)
{
  const char *id = m->unit->job->spec->id;

  if (m->state != MB_ENDED && !m->worker)
    abort_check ("run without a worker", id);
  if (m->state == MB_ENDED && m->worker)
    abort_check ("ended run still has a worker", id);
  if (m->state == MB_ENDED
      && (m->life_tag || m->started_ms || m->last_listed_ms
          || m->progress_percent || m->pace_percent || m->average_pace > 0))
    abort_check ("ended run is still described", id);
}

static void
check_unit (const struct unit *u)
{
  for (int i = 0; u->members && i < u->count; i++)
    {
      check_member (&u->members[i]);
      if (u->state == UN_READY)
        abort_check ("waiting unit still has runs", u->job->spec->id);
      if (u->state == UN_ACTIVE && u->members[i].state == MB_ENDED)
        abort_check ("unit runs in part", u->job->spec->id);
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

      for (guint k = 0; k < j->units->len; k++)
        check_unit (g_ptr_array_index (j->units, k));
    }
}
